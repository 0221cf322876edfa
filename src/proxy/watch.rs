//! What is learnt from the platform's store: the configuration, and where the other proxies are.

use std::{rc::Rc, time::Duration};

use rand::RngExt as _;
use tokio::time::sleep;

use crate::{
    platform::{ConfigObject, ParsedConfig, PresenceObject, StoreFailure, WatchEnd},
    proxy::{Proxy, events::Event},
};

/// How long a watch waits: each call has its price, and a connection may be silent for good.
const WATCH: Duration = Duration::from_secs(20);
/// The first pause after a failed call, and the longest: a change must be in force two seconds after
/// the store is back, and each refused call has its price.
const FIRST_PAUSE: Duration = Duration::from_millis(250);
const LONGEST_PAUSE: Duration = Duration::from_millis(1_500);

/// After a change the watch is taken up again this much later: changes come in quick series at times, each
/// watch has its price, and a change must be in force within two seconds.
const SETTLE: Duration = Duration::from_millis(400);

/// Pauses that grow, with jitter, while the store fails.
struct Backoff<'a> {
    proxy: &'a Proxy,
    failures: u32,
}

impl Backoff<'_> {
    async fn failed(&mut self, error: &StoreFailure) {
        self.failures += 1;
        metrics::counter!("jayreach_store_failures_total").increment(1);
        if self.failures == 1 {
            let why = error.to_string();
            self.proxy.events.emit(&Event::Store { reachable: false, why: &why, failures: 1 });
        }
        let pause = FIRST_PAUSE.saturating_mul(1 << self.failures.min(8)).min(LONGEST_PAUSE);
        sleep(pause.mul_f64(rand::rng().random_range(0.6..1.2))).await;
    }

    fn answered(&mut self) {
        if self.failures > 0 {
            self.proxy.events.emit(&Event::Store { reachable: true, why: "answered", failures: self.failures });
            self.failures = 0;
        }
    }
}

impl Proxy {
    /// Follows the configuration for ever.
    pub(super) async fn follow_config(self: Rc<Self>) {
        let mut backoff = Backoff { proxy: &self, failures: 0 };
        loop {
            let object = match self.store.config().await {
                Ok(it) => it,
                Err(error) => {
                    backoff.failed(&error).await;
                    continue;
                }
            };
            backoff.answered();
            let mut revision = self.take_config(object);
            loop {
                match self.store.watch_config(revision, WATCH).await {
                    Ok(WatchEnd::Went(object)) => {
                        backoff.answered();
                        let changed = object.config.is_some();
                        revision = self.take_config(object);
                        if changed {
                            sleep(SETTLE).await;
                        }
                    }
                    Ok(WatchEnd::HistoryGone) => break,
                    Err(error) => backoff.failed(&error).await,
                }
            }
        }
    }

    fn take_config(&self, object: ConfigObject) -> u64 {
        match object.config {
            Some(Ok(it)) => {
                self.tell_findings(&it);
                self.put_in_force(it.config, "store");
            }
            Some(Err(error)) => {
                self.events.emit(&Event::ConfigRefused { version: 0, place: "all of it", why: &error.to_string() });
            }
            None => (),
        }
        object.revision
    }

    /// Says what of a new configuration isn't understood.
    fn tell_findings(&self, parsed: &ParsedConfig) {
        let version = parsed.config.version;
        if version <= self.version() {
            return;
        }
        for it in &parsed.findings {
            self.events.emit(&Event::ConfigRefused { version, place: &it.place, why: &it.problem });
        }
    }

    /// Says where this proxy is, then finds the others: of two that start together, the one that
    /// lists later sees the other.
    pub(super) async fn join(self: Rc<Self>) {
        let mut backoff = Backoff { proxy: &self, failures: 0 };
        let presence = PresenceObject { name: self.name.clone(), peers: self.settings.borrow().advertised };
        while let Err(error) = self.store.put_presence(&presence).await {
            backoff.failed(&error).await;
        }
        loop {
            match self.store.presences().await {
                Ok(list) => {
                    backoff.answered();
                    for it in &list.skipped {
                        self.tell_skipped("store", &it.name, &it.why);
                    }
                    for it in list.presences {
                        self.link_to(&it.name, it.peers);
                    }
                    return;
                }
                Err(error) => backoff.failed(&error).await,
            }
        }
    }
}

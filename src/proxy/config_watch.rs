//! Follows the configuration in the platform's store.
//!
//! Only a few proxies watch the store; the others get new versions by gossip. A watcher that loses the store asks a
//! peer to watch in its place.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use rand::{RngExt as _, seq::SliceRandom as _};
use tokio::{task::spawn_local, time::sleep};

use crate::{
    decide::watchers::{self, StoreWatch},
    platform::{ConfigSnapshot, Consistency, WatchEnd, WatchPosition},
    proxy::{
        Proxy,
        backoff::Backoff,
        clock,
        directory::ProxyName,
        events::{Event, StoreTask},
        message::path,
        peer_link::Link,
    },
};

/// How often a proxy that does not watch checks whether it should.
const WATCHER_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// How long a starting proxy waits for the list of members, without which it would always watch.
const MEMBERS_TIMEOUT: Duration = Duration::from_millis(2_500);
/// The pause after a change before the next watch, so that a quick series of changes costs few store calls. It must
/// leave time for the next change to be active within two seconds.
const CHANGE_PAUSE: Duration = Duration::from_millis(400);

/// How long a peer may take to answer a request to substitute.
const SUBSTITUTE_REQUEST_TIMEOUT: Duration = Duration::from_millis(300);

impl Proxy {
    /// Watches the store whenever this proxy is a watcher. Never returns.
    pub(super) async fn follow_config(self: Rc<Self>) {
        let start = clock::now();
        while !self.members_loaded.get() && clock::now() < start + MEMBERS_TIMEOUT {
            sleep(WATCHER_CHECK_INTERVAL / 4).await;
        }
        loop {
            while !self.is_watcher(start) {
                sleep(WATCHER_CHECK_INTERVAL).await;
            }
            self.set_watching(true);
            self.watch_store(start).await;
            self.set_watching(false);
        }
    }

    fn set_watching(&self, begins: bool) {
        self.watching.set(begins);
        self.events.emit(&Event::Watch { begins, confirmed_ms: self.confirmed_ms() });
    }

    /// Reads the configuration once at start, since no peer has one while the whole fleet starts. A stale read costs
    /// the store a tenth of a linearizable one, and a newer version comes by gossip.
    pub(super) async fn read_initial_config(self: Rc<Self>) {
        match self.store.read_config(Consistency::Stale).await {
            Ok(it) => _ = self.apply_config(it),
            Err(error) => log::debug!("reading the initial configuration from the store: {error}"),
        }
    }

    /// Whether this proxy should watch the store, by its rank or as a substitute.
    fn is_watcher(&self, start: Instant) -> bool {
        if self.substitution.get().is_substitute(clock::now()) {
            return true;
        }
        let mut directory = self.directory.borrow_mut();
        let data_centres = directory.data_centre_count();
        let data_centre = &directory.own().data_centre;
        let local_members = directory.members().filter(|it| it.1.data_centre == *data_centre).map(|it| it.0);
        let rank = watchers::watch_rank(directory.own_key(), local_members);
        match self.confirmed_ago() {
            Some(it) => watchers::is_watcher(rank, data_centres, it),
            None => watchers::is_initial_watcher(rank, data_centres, clock::now().saturating_duration_since(start)),
        }
    }

    /// The time since the store last confirmed to any proxy that the active configuration is the newest, as far as this
    /// proxy knows.
    pub(super) fn confirmed_ago(&self) -> Option<Duration> {
        self.config_confirmed_at.get().map(|it| clock::now().saturating_duration_since(it))
    }

    /// [`Self::confirmed_ago`] in milliseconds.
    pub(super) fn confirmed_ms(&self) -> Option<u128> {
        self.confirmed_ago().map(|it| it.as_millis())
    }

    /// Records that the store confirmed the active version `ago` before now; an older confirmation changes nothing.
    pub(super) fn record_confirmation(&self, ago: Duration) {
        let at = clock::now().checked_sub(ago);
        self.config_confirmed_at.set(self.config_confirmed_at.get().max(at));
    }

    /// Reads and watches the configuration in the store while this proxy is a watcher.
    async fn watch_store(self: &Rc<Self>, start: Instant) {
        let mut backoff = Backoff::new(self, StoreTask::FollowConfig);
        while self.is_watcher(start) {
            let requested_at = clock::now();
            let object = match self.store.read_config(Consistency::Linearizable).await {
                Ok(it) => it,
                Err(error) => {
                    self.store_failed();
                    backoff.pause_after_failure(&error).await;
                    continue;
                }
            };
            backoff.record_answer();
            self.store_answered();
            let mut position = self.apply_config(object);
            self.record_confirmation(clock::now().saturating_duration_since(requested_at));
            while self.is_watcher(start) {
                let watch = StoreWatch::with_jitter(rand::rng().random());
                match self.store.watch_config(position, watch).await {
                    Ok(WatchEnd::Completed(object)) => {
                        backoff.record_answer();
                        self.store_answered();
                        let changed = object.config.is_some();
                        position = self.apply_config(object);
                        self.record_confirmation(Duration::ZERO);
                        if changed {
                            sleep(CHANGE_PAUSE).await;
                        }
                    }
                    Ok(WatchEnd::HistoryGone) => break,
                    Err(error) => {
                        self.store_failed();
                        backoff.pause_after_failure(&error).await;
                        // The store may have been restored from a backup, where a later change can have a revision
                        // before this position: read again.
                        break;
                    }
                }
            }
        }
    }

    /// Records that the store answered this watcher.
    fn store_answered(&self) {
        self.store_unreachable.set(false);
        let mut substitution = self.substitution.get();
        substitution.store_answered();
        self.substitution.set(substitution);
    }

    /// Records that a store call of this watcher failed, and asks for a substitute. Without one, if all watchers lost
    /// the store, other proxies would begin to watch only once the last confirmation is old.
    fn store_failed(self: &Rc<Self>) {
        self.store_unreachable.set(true);
        let mut substitution = self.substitution.get();
        if substitution.should_request_substitute(clock::now()) {
            spawn_local(Rc::clone(self).request_substitute());
        }
        self.substitution.set(substitution);
    }

    /// Asks linked peers in random order until one agrees to watch.
    async fn request_substitute(self: Rc<Self>) {
        let mut links: Vec<(ProxyName, Rc<Link>)> =
            self.links.borrow().iter().filter(|it| it.1.is_connected()).cloned().collect();
        links.shuffle(&mut rand::rng());
        let (requested_at, mut asked, mut found) = (clock::now(), 0, None);
        for (name, link) in links {
            asked += 1;
            if link.call_within::<_, bool>(SUBSTITUTE_REQUEST_TIMEOUT, path::WATCH, &()).await == Some(true) {
                found = Some(name);
                break;
            }
        }
        let took_ms = clock::now().saturating_duration_since(requested_at).as_millis();
        self.events.emit(&Event::Substitute { found: found.as_deref(), asked, took_ms });
        let result = if found.is_some() { "found" } else { "none" };
        metrics::counter!("jayreach_substitutes_total", "result" => result).increment(1);
    }

    /// Starts to watch for a peer that cannot reach the store. Returns false if this proxy watches and cannot reach it
    /// either.
    pub(super) fn start_substituting(&self) -> bool {
        if self.watching.get() {
            return !self.store_unreachable.get();
        }
        let mut substitution = self.substitution.get();
        substitution.start_substituting(clock::now());
        self.substitution.set(substitution);
        true
    }

    fn apply_config(&self, object: ConfigSnapshot) -> WatchPosition {
        match object.config {
            Some(Ok(it)) => self.activate_config(it, "store"),
            Some(Err(error)) => {
                self.events.emit(&Event::ConfigRefused { version: 0, place: "all of it", why: &error.to_string() });
            }
            None => (),
        }
        object.position
    }
}

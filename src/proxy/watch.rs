//! What is learnt from the platform's store: the configuration, and where the other proxies are.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use rand::RngExt as _;
use tokio::time::sleep;

use crate::{
    decide::watchers::{self, Watch},
    platform::{ConfigObject, Consistency, PresenceList, PresenceObject, StoreFailure, WatchEnd},
    proxy::{Proxy, clock, directory::Listed, events::Event},
};

/// How often a proxy that doesn't watch looks whether it should.
const LOOK_EVERY: Duration = Duration::from_millis(200);
/// How long a proxy that has just started looks for the others before it decides whether to watch: alone it would always.
const JOIN_WAIT: Duration = Duration::from_millis(2_500);
/// The first pause after a failed call, and the longest: a change must be in force two seconds after
/// the store is back, or after a connection to it went silent, and each refused call has its price.
const FIRST_PAUSE: Duration = Duration::from_millis(250);
const LONGEST_PAUSE: Duration = Duration::from_millis(1_500);

/// After a change the watch is taken up again this much later: changes come in quick series at times, each
/// watch has its price, and a change must be in force within two seconds.
const SETTLE: Duration = Duration::from_millis(400);

/// How long after its own object was written a proxy lists the others again; at that time a fleet that starts for the
/// first time is complete.
const LIST_AGAIN: Duration = Duration::from_millis(1_000);
/// How many such listings may be stale ones, which cost a tenth: one that lags by seconds has caught up by then.
const STALE_LOOKS: u32 = 4;

/// Pauses that grow, with jitter, while the store fails.
struct Backoff<'a> {
    proxy: &'a Proxy,
    failures: u32,
    /// When the store last answered; at first, when it was first to be called.
    heard: Instant,
}

impl<'a> Backoff<'a> {
    fn new(proxy: &'a Proxy) -> Self {
        Self { proxy, failures: 0, heard: clock::now() }
    }

    fn silent_ms(&self) -> u128 {
        clock::now().saturating_duration_since(self.heard).as_millis()
    }

    async fn failed(&mut self, error: &StoreFailure) {
        self.failures += 1;
        metrics::counter!("jayreach_store_failures_total").increment(1);
        if self.failures == 1 {
            let why = error.to_string();
            let silent_ms = self.silent_ms();
            self.proxy.events.emit(&Event::Store { reachable: false, why: &why, failures: 1, silent_ms });
        }
        let pause = FIRST_PAUSE.saturating_mul(1 << (self.failures - 1).min(8)).min(LONGEST_PAUSE);
        sleep(pause.mul_f64(rand::rng().random_range(0.6..1.2))).await;
    }

    fn answered(&mut self) {
        if self.failures > 0 {
            let (failures, silent_ms) = (self.failures, self.silent_ms());
            self.proxy.events.emit(&Event::Store { reachable: true, why: "answered", failures, silent_ms });
            self.failures = 0;
        }
        self.heard = clock::now();
    }
}

impl Proxy {
    /// Follows the configuration for ever: at the store when it is this proxy's turn, else as others tell it.
    pub(super) async fn follow_config(self: Rc<Self>) {
        let start = clock::now();
        while !self.joined.get() && clock::now() < start + JOIN_WAIT {
            sleep(LOOK_EVERY / 4).await;
        }
        loop {
            while !self.watches(start) {
                sleep(LOOK_EVERY).await;
            }
            self.turn_watching(true);
            self.watch_store(start).await;
            self.turn_watching(false);
        }
    }

    fn turn_watching(&self, begins: bool) {
        self.watching.set(begins);
        self.events.emit(&Event::Watch { begins, confirmed_ms: self.confirmed_ms() });
    }

    /// Reads the configuration once at the start, at a tenth of the price: whoever has a newer one says so. Where a whole fleet
    /// starts at once nobody has one.
    pub(super) async fn read_first_config(self: Rc<Self>) {
        match self.store.config(Consistency::Stale).await {
            Ok(it) => _ = self.take_config(it),
            Err(error) => log::debug!("no first configuration: {error}"),
        }
    }

    /// Whether it is this proxy's turn to watch the store.
    fn watches(&self, start: Instant) -> bool {
        let directory = self.directory.borrow();
        let data_centre = &directory.own().data_centre;
        let near = directory.members().filter(|it| it.1.data_centre == *data_centre).map(|it| it.0);
        let rank = watchers::rank(directory.own_key(), near);
        let data_centres = directory.data_centres();
        match self.confirmed_ago() {
            Some(it) => watchers::watches(rank, data_centres, it),
            None => watchers::watches_first(rank, data_centres, clock::now().saturating_duration_since(start)),
        }
    }

    /// How long ago anyone had the store's answer that the configuration in force is the newest, as far as known.
    pub(super) fn confirmed_ago(&self) -> Option<Duration> {
        self.confirmed.get().map(|it| clock::now().saturating_duration_since(it))
    }

    /// [`Self::confirmed_ago`] for people.
    pub(super) fn confirmed_ms(&self) -> Option<u128> {
        self.confirmed_ago().map(|it| it.as_millis())
    }

    /// Takes in how long ago someone had the store's answer.
    pub(super) fn confirm(&self, ago: Duration) {
        let at = clock::now().checked_sub(ago);
        self.confirmed.set(self.confirmed.get().max(at));
    }

    /// Follows the configuration at the store while it is this proxy's turn.
    async fn watch_store(&self, start: Instant) {
        let mut backoff = Backoff::new(self);
        while self.watches(start) {
            let asked = clock::now();
            let object = match self.store.config(Consistency::Linearizable).await {
                Ok(it) => it,
                Err(error) => {
                    backoff.failed(&error).await;
                    continue;
                }
            };
            backoff.answered();
            let mut revision = self.take_config(object);
            self.confirm(clock::now().saturating_duration_since(asked));
            while self.watches(start) {
                let watch = Watch::by_luck(rand::rng().random());
                match self.store.watch_config(revision, watch).await {
                    Ok(WatchEnd::Went(object)) => {
                        backoff.answered();
                        let changed = object.config.is_some();
                        revision = self.take_config(object);
                        self.confirm(Duration::ZERO);
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
            Some(Ok(it)) => self.put_in_force(it, "store"),
            Some(Err(error)) => {
                self.events.emit(&Event::ConfigRefused { version: 0, place: "all of it", why: &error.to_string() });
            }
            None => (),
        }
        object.revision
    }

    /// Finds the others, and says where this proxy is unless the store has that from an earlier run. Of two that start
    /// together for the first time, the one that lists later sees the other.
    pub(super) async fn join(self: Rc<Self>) {
        let presence = self.presence();
        let mut backoff = Backoff::new(&self);
        let listed = loop {
            match self.store.presences(Consistency::Stale).await {
                Ok(it) => break it,
                Err(error) => backoff.failed(&error).await,
            }
        };
        backoff.answered();
        let is_listed = listed.presences.contains(&presence);
        self.take_list(listed);
        if is_listed {
            return;
        }
        while let Err(error) = self.store.put_presence(&presence).await {
            backoff.failed(&error).await;
        }
        self.list_after(&presence).await;
    }

    /// Lists the others once more, as they are after this proxy's own object was written.
    async fn list_after(&self, presence: &PresenceObject) {
        let mut backoff = Backoff::new(self);
        for look in 0.. {
            sleep(LIST_AGAIN.mul_f64(rand::rng().random_range(0.7..1.3))).await;
            let consistency = if look < STALE_LOOKS { Consistency::Stale } else { Consistency::Linearizable };
            match self.store.presences(consistency).await {
                Ok(it) => {
                    backoff.answered();
                    // A stale listing that holds it is newer than it.
                    let is_listed = it.presences.contains(presence);
                    self.take_list(it);
                    if is_listed || consistency == Consistency::Linearizable {
                        return;
                    }
                }
                Err(error) => backoff.failed(&error).await,
            }
        }
    }

    fn presence(&self) -> PresenceObject {
        let settings = self.settings.borrow();
        PresenceObject {
            name: self.name.clone(),
            peers: settings.advertised,
            data_centre: settings.data_centre.clone(),
            service: settings.service.clone(),
        }
    }

    fn take_list(&self, list: PresenceList) {
        for it in &list.skipped {
            self.tell_skipped("store", &it.name, &it.why);
        }
        // An empty one may be older than all the fleet.
        self.joined.set(self.joined.get() || !list.presences.is_empty());
        let listed = list.presences.into_iter().filter(|it| it.name != self.name).map(|it| Listed {
            name: it.name,
            peers: it.peers,
            data_centre: it.data_centre,
            service: it.service,
        });
        self.directory.borrow_mut().seed(listed, clock::now());
        self.members_changed.notify_one();
    }
}

//! What is learnt of the configuration from the platform's store.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use rand::{RngExt as _, seq::SliceRandom as _};
use tokio::{task::spawn_local, time::sleep};

use crate::{
    decide::watchers::{self, StoreWatch},
    platform::{ConfigSnapshot, Consistency, WatchEnd, WatchPosition},
    proxy::{Proxy, backoff::Backoff, clock, events::Event, message::path, peer_link::Link},
};

/// How often a proxy that doesn't watch looks whether it should.
const LOOK_EVERY: Duration = Duration::from_millis(200);
/// How long a proxy that has just started looks for the others before it decides whether to watch: alone it would always.
const JOIN_WAIT: Duration = Duration::from_millis(2_500);
/// After a change the watch is taken up again this much later: changes come in quick series at times, each
/// watch has its price, and a change must be in force within two seconds.
const SETTLE: Duration = Duration::from_millis(400);

/// How long a peer may take to say whether it watches.
const ASK_LIMIT: Duration = Duration::from_millis(300);

impl Proxy {
    /// Follows the configuration for ever: at the store when it is this proxy's turn, else as others tell it.
    pub(super) async fn follow_config(self: Rc<Self>) {
        let start = clock::now();
        while !self.members_loaded.get() && clock::now() < start + JOIN_WAIT {
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
    pub(super) async fn read_initial_config(self: Rc<Self>) {
        match self.store.read_config(Consistency::Stale).await {
            Ok(it) => _ = self.take_config(it),
            Err(error) => log::debug!("no first configuration: {error}"),
        }
    }

    /// Whether it is this proxy's turn to watch the store, or it does so in another's place.
    fn watches(&self, start: Instant) -> bool {
        if self.substitution.get().is_substitute(clock::now()) {
            return true;
        }
        let mut directory = self.directory.borrow_mut();
        let data_centres = directory.data_centre_count();
        let data_centre = &directory.own().data_centre;
        let near = directory.members().filter(|it| it.1.data_centre == *data_centre).map(|it| it.0);
        let rank = watchers::watch_rank(directory.own_key(), near);
        match self.confirmed_ago() {
            Some(it) => watchers::is_watcher(rank, data_centres, it),
            None => watchers::is_initial_watcher(rank, data_centres, clock::now().saturating_duration_since(start)),
        }
    }

    /// How long ago anyone had the store's answer that the configuration in force is the newest, as far as known.
    pub(super) fn confirmed_ago(&self) -> Option<Duration> {
        self.config_confirmed_at.get().map(|it| clock::now().saturating_duration_since(it))
    }

    /// [`Self::confirmed_ago`] for people.
    pub(super) fn confirmed_ms(&self) -> Option<u128> {
        self.confirmed_ago().map(|it| it.as_millis())
    }

    /// Takes in how long ago someone had the store's answer.
    pub(super) fn record_confirmation(&self, ago: Duration) {
        let at = clock::now().checked_sub(ago);
        self.config_confirmed_at.set(self.config_confirmed_at.get().max(at));
    }

    /// Follows the configuration at the store while it is this proxy's turn.
    async fn watch_store(self: &Rc<Self>, start: Instant) {
        let mut backoff = Backoff::new(self);
        while self.watches(start) {
            let asked = clock::now();
            let object = match self.store.read_config(Consistency::Linearizable).await {
                Ok(it) => it,
                Err(error) => {
                    self.lost_store();
                    backoff.pause_after_failure(&error).await;
                    continue;
                }
            };
            backoff.record_answer();
            self.regained_store();
            let mut position = self.take_config(object);
            self.record_confirmation(clock::now().saturating_duration_since(asked));
            while self.watches(start) {
                let watch = StoreWatch::with_jitter(rand::rng().random());
                match self.store.watch_config(position, watch).await {
                    Ok(WatchEnd::Completed(object)) => {
                        backoff.record_answer();
                        self.regained_store();
                        let changed = object.config.is_some();
                        position = self.take_config(object);
                        self.record_confirmation(Duration::ZERO);
                        if changed {
                            sleep(SETTLE).await;
                        }
                    }
                    Ok(WatchEnd::HistoryGone) => break,
                    Err(error) => {
                        self.lost_store();
                        backoff.pause_after_failure(&error).await;
                        // It may be restored from a backup, and what was changed meanwhile stand before this position.
                        break;
                    }
                }
            }
        }
    }

    /// The store answers this watcher.
    fn regained_store(&self) {
        self.store_unreachable.set(false);
        let mut substitution = self.substitution.get();
        substitution.store_answered();
        self.substitution.set(substitution);
    }

    /// The store gives this watcher no answer. All watchers, and only they, may have lost their way to it: another is asked
    /// to watch at once, since the others would notice only when the last confirmation has grown old.
    fn lost_store(self: &Rc<Self>) {
        self.store_unreachable.set(true);
        let mut substitution = self.substitution.get();
        if substitution.should_request_substitute(clock::now()) {
            spawn_local(Rc::clone(self).ask_for_substitute());
        }
        self.substitution.set(substitution);
    }

    /// Asks one peer after the other, until one watches that sees the store, as far as it knows.
    async fn ask_for_substitute(self: Rc<Self>) {
        let mut links: Vec<Rc<Link>> =
            self.links.borrow().iter().map(|it| Rc::clone(&it.1)).filter(|it| it.is_connected()).collect();
        links.shuffle(&mut rand::rng());
        for link in links {
            if link.call_within::<_, bool>(ASK_LIMIT, path::WATCH, &()).await == Some(true) {
                return;
            }
        }
    }

    /// Watches in the place of a peer that lost its way to the store; false if this proxy has lost it, too.
    pub(super) fn start_substituting(&self) -> bool {
        if self.watching.get() {
            return !self.store_unreachable.get();
        }
        let mut substitution = self.substitution.get();
        substitution.start_substituting(clock::now());
        self.substitution.set(substitution);
        true
    }

    fn take_config(&self, object: ConfigSnapshot) -> WatchPosition {
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

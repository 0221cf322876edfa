//! Follows the configuration in the platform's store.
//!
//! Only a few proxies watch the store; the others get new versions by gossip. A watcher that loses the store searches for
//! a proxy that reaches it.

use std::{
    pin::pin,
    rc::Rc,
    time::{Duration, Instant},
};

use rand::RngExt as _;
use tokio::time::{sleep, timeout};

use crate::{
    decide::watchers::{self, StoreWatch},
    platform::{ConfigSnapshot, Consistency, StoreFailure, WatchEnd, WatchPosition},
    proxy::{
        CallError, Proxy,
        backoff::Backoff,
        clock,
        events::{Event, StoreTask},
    },
};

/// How often a proxy that does not watch checks whether it should.
const WATCHER_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// How long a starting proxy waits for the list of members, without which it would always watch.
const MEMBERS_TIMEOUT: Duration = Duration::from_millis(2_500);
/// The pause after a change before the next watch, so that a quick series of changes costs few store calls. It must
/// leave time for the next change to be active within two seconds.
const CHANGE_PAUSE: Duration = Duration::from_millis(400);
/// How long a read of the store may take before others are asked whether it answers them.
const LOST_AFTER: Duration = Duration::from_millis(400);

impl Proxy {
    /// Watches the store whenever this proxy is a watcher. Never returns.
    pub(super) async fn follow_config(self: Rc<Self>) {
        let start = clock::now();
        self.wait_for_members().await;
        loop {
            while !self.is_watcher(start) {
                _ = timeout(WATCHER_CHECK_INTERVAL, self.watch_duty_changed.notified()).await;
            }
            self.set_watching(true);
            self.watch_store(start).await;
            self.store_search.take();
            self.set_watching(false);
        }
    }

    /// Waits for the list of members, but not for long.
    pub(super) async fn wait_for_members(&self) {
        let start = clock::now();
        while !self.members_loaded.get() && clock::now() < start + MEMBERS_TIMEOUT {
            sleep(WATCHER_CHECK_INTERVAL / 4).await;
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

    /// Whether this proxy should watch the store, by its rank, as a substitute, or as no proxy before it in rank does.
    fn is_watcher(&self, start: Instant) -> bool {
        if self.stands_in.get() || self.substitution.get().is_active(clock::now()) {
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
            let object = match self.read_or_report_loss().await {
                Ok(it) => it,
                Err(error) => {
                    self.store_lost();
                    backoff.set_max_pause(watchers::max_retry_pause(self.watcher_keys().len()));
                    backoff.pause_after_failure(&error).await;
                    continue;
                }
            };
            backoff.record_answer();
            self.store_answered();
            let mut position = self.apply_config(object);
            self.record_confirmation(clock::now().saturating_duration_since(requested_at));
            while self.is_watcher(start) {
                let watch = self.next_watch();
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
                    // The store may have been restored from a backup, where a later change can have a revision before
                    // this position: read again.
                    Err(error @ StoreFailure::NoResponse(CallError::TimedOut)) => {
                        // Perhaps only the open connections lost their paths, those of the links, too.
                        backoff.record_failure(&error);
                        self.avoid_links();
                        break;
                    }
                    Err(error) => {
                        self.store_lost();
                        backoff.pause_after_failure(&error).await;
                        break;
                    }
                }
            }
        }
    }

    fn next_watch(&self) -> StoreWatch {
        let watchers = self.watcher_keys();
        let own_key = self.directory.borrow().own_key();
        let since_activation = clock::now().saturating_duration_since(self.config_activated_at.get());
        // A substitute stands for any of the watchers.
        let index = watchers
            .iter()
            .position(|it| *it == own_key)
            .unwrap_or_else(|| rand::rng().random_range(0..watchers.len()));
        StoreWatch::of_watcher(index, watchers.len(), since_activation)
    }

    /// Reads the configuration, and starts a search for a proxy that reaches the store if the answer takes long.
    async fn read_or_report_loss(self: &Rc<Self>) -> Result<ConfigSnapshot, StoreFailure> {
        let mut read = pin!(self.store.read_config(Consistency::Linearizable));
        match timeout(LOST_AFTER, &mut read).await {
            Ok(it) => it,
            Err(_) => {
                self.store_lost();
                read.await
            }
        }
    }

    pub(super) fn apply_config(&self, object: ConfigSnapshot) -> WatchPosition {
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

//! How a proxy finds the others at its start: their objects in the platform's store, and its own among them.

use std::{rc::Rc, time::Duration};

use rand::RngExt as _;
use tokio::time::sleep;

use crate::{
    platform::{Consistency, Listing, PresenceObject},
    proxy::{Proxy, backoff::Backoff, clock},
};

/// How long after its own object was written a proxy lists the others again; at that time a fleet that starts for the
/// first time is complete.
const LIST_AGAIN: Duration = Duration::from_millis(1_000);
/// Within this time after the store was restored from a backup proxies write their objects again, not all at once.
const WRITE_AGAIN: Duration = Duration::from_millis(1_000);
/// How many such listings may be stale ones, which cost a tenth: one that lags by seconds has caught up by then.
const STALE_LOOKS: u32 = 4;

impl Proxy {
    /// Finds the others, and says where this proxy is unless the store has that from an earlier run. Of two that start
    /// together for the first time, the one that lists later sees the other.
    pub(super) async fn join_fleet(self: Rc<Self>) {
        let presence = self.presence();
        let mut backoff = Backoff::new(&self);
        let listed = loop {
            match self.store.list_presences(Consistency::Stale).await {
                Ok(it) => break it,
                Err(error) => backoff.pause_after_failure(&error).await,
            }
        };
        backoff.record_answer();
        let is_listed = listed.objects.contains(&presence);
        self.take_list(listed);
        if is_listed {
            return;
        }
        while let Err(error) = self.store.put_presence(&presence).await {
            backoff.pause_after_failure(&error).await;
        }
        self.list_after(&presence).await;
    }

    /// Writes what this proxy had written again, each time the store has been restored from a backup.
    pub(super) async fn republish_after_restore(self: Rc<Self>) {
        loop {
            self.store.wait_for_restore().await;
            // A whole fleet hears of it within a few seconds.
            sleep(WRITE_AGAIN.mul_f64(rand::rng().random_range(0.0..1.0))).await;
            let presence = self.presence();
            let mut backoff = Backoff::new(&self);
            while let Err(error) = self.store.put_presence(&presence).await {
                backoff.pause_after_failure(&error).await;
            }
            backoff.record_answer();
            self.store_held_cases();
        }
    }

    /// Lists the others once more, as they are after this proxy's own object was written.
    async fn list_after(&self, presence: &PresenceObject) {
        let mut backoff = Backoff::new(self);
        for look in 0.. {
            sleep(LIST_AGAIN.mul_f64(rand::rng().random_range(0.7..1.3))).await;
            let consistency = if look < STALE_LOOKS { Consistency::Stale } else { Consistency::Linearizable };
            match self.store.list_presences(consistency).await {
                Ok(it) => {
                    backoff.record_answer();
                    // A stale listing that holds it is newer than it.
                    let is_listed = it.objects.contains(presence);
                    self.take_list(it);
                    if is_listed || consistency == Consistency::Linearizable {
                        return;
                    }
                }
                Err(error) => backoff.pause_after_failure(&error).await,
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

    fn take_list(&self, list: Listing<PresenceObject>) {
        for it in &list.skipped {
            self.report_skipped_entry("store", &it.name, &it.reason);
        }
        // An empty one may be older than all the fleet.
        self.members_loaded.set(self.members_loaded.get() || !list.objects.is_empty());
        let listed = list.objects.into_iter().filter(|it| it.name != self.name);
        self.directory.borrow_mut().seed_from_store(listed, clock::now());
        self.members_changed.notify_one();
    }
}

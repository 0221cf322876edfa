//! Joins the fleet at start: reads the presence objects of the other proxies from the platform's store and writes its
//! own.

use std::{rc::Rc, time::Duration};

use rand::RngExt as _;
use tokio::time::sleep;

use crate::{
    platform::{Consistency, Listing, PresenceObject},
    proxy::{Proxy, backoff::Backoff, clock, events::StoreTask},
};

/// The delay between writing the own presence object and listing all objects again, so that proxies which start
/// together have written theirs.
const RELIST_DELAY: Duration = Duration::from_millis(1_000);
/// Proxies write their objects again after a random delay up to this, once the store was restored from a backup.
const MAX_REPUBLISH_DELAY: Duration = Duration::from_millis(1_000);
/// How many listings are tried as stale reads before a linearizable one, which costs the store ten times as much.
const STALE_LISTINGS: u32 = 4;

impl Proxy {
    /// Lists the other proxies. Unless the store already holds this proxy's object, writes it and lists again: of two
    /// proxies that start together, the one that lists later sees the other.
    pub(super) async fn join_fleet(self: Rc<Self>) {
        let presence = self.presence();
        let mut backoff = Backoff::new(&self, StoreTask::Join);
        let listed = loop {
            match self.store.list_presences(Consistency::Stale).await {
                Ok(it) => break it,
                Err(error) => backoff.pause_after_failure(&error).await,
            }
        };
        backoff.record_answer();
        let is_listed = listed.objects.contains(&presence);
        self.merge_listing(listed);
        if is_listed {
            return;
        }
        while let Err(error) = self.store.put_presence(&presence).await {
            backoff.pause_after_failure(&error).await;
        }
        self.list_after_write(&presence).await;
    }

    /// Writes this proxy's objects again each time the store was restored from a backup.
    pub(super) async fn republish_after_restore(self: Rc<Self>) {
        loop {
            self.store.wait_for_restore().await;
            // Spreads the writes of the fleet, whose proxies notice the restore within a few seconds.
            sleep(MAX_REPUBLISH_DELAY.mul_f64(rand::rng().random_range(0.0..1.0))).await;
            let presence = self.presence();
            let mut backoff = Backoff::new(&self, StoreTask::Join);
            while let Err(error) = self.store.put_presence(&presence).await {
                backoff.pause_after_failure(&error).await;
            }
            backoff.record_answer();
            self.store_quarantined();
        }
    }

    /// Lists the other proxies until a listing is newer than this proxy's own object.
    async fn list_after_write(&self, presence: &PresenceObject) {
        let mut backoff = Backoff::new(self, StoreTask::Join);
        for attempt in 0.. {
            sleep(RELIST_DELAY.mul_f64(rand::rng().random_range(0.7..1.3))).await;
            let consistency = if attempt < STALE_LISTINGS { Consistency::Stale } else { Consistency::Linearizable };
            match self.store.list_presences(consistency).await {
                Ok(it) => {
                    backoff.record_answer();
                    // A stale listing that contains the object is newer than the write.
                    let is_listed = it.objects.contains(presence);
                    self.merge_listing(it);
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

    fn merge_listing(&self, listing: Listing<PresenceObject>) {
        for it in &listing.skipped {
            self.report_skipped_entry("store", &it.name, &it.reason);
        }
        // An empty listing may be a stale read from before the fleet started.
        self.members_loaded.set(self.members_loaded.get() || !listing.objects.is_empty());
        let listed = listing.objects.into_iter().filter(|it| it.name != self.name);
        self.directory.borrow_mut().seed_from_store(listed, clock::now());
        self.members_changed.notify_one();
    }
}

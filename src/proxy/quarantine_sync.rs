//! Distribution of crash records: the evidence that requests crash endpoints.
//!
//! Proxies gossip the records to each other. The store keeps the quarantined requests, so that they survive a restart
//! of all proxies, and it lets only one proxy claim each trial of a request.

use std::{rc::Rc, time::Duration};

use rand::seq::IndexedRandom as _;
use tokio::{
    task::spawn_local,
    time::{sleep, timeout},
};

use crate::{
    decide::{
        fingerprint::Fingerprint,
        quarantine::{CrashRecord, CrashRecordUpdate},
    },
    platform::{Consistency, QuarantineObject, StoreFailure, TrialClaim},
    proxy::{
        Proxy,
        backoff::Backoff,
        events::StoreTask,
        gossip::{COALESCE_DELAY, PEER_CALL_TIMEOUT},
        guard::quarantine::CrashRecordSource,
        message::{QuarantineExchange, path},
        peer_link::Link,
    },
};

/// Number of random peers that each proxy forwards a new crash record to. It reaches all but a few proxies in a
/// thousand; those get it with the next anti-entropy exchange.
const GOSSIP_FANOUT: usize = 6;
/// Maximum age of the data that a stale read of the store returns. A request may have been quarantined just before all
/// proxies ended.
const MAX_STALENESS: Duration = Duration::from_secs(4);
/// Timeout for claiming a trial in the store; the request waits for it, and a refusal should be sent soon.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(300);

impl Proxy {
    /// Sends new crash records to some peers, which forward them, and writes those that were found here to the store.
    pub(super) async fn gossip_crash_records(self: Rc<Self>) {
        loop {
            self.guard.crash_records_changed.notified().await;
            sleep(COALESCE_DELAY).await;
            for fingerprint in self.guard.take_crash_records_to_store() {
                spawn_local(Rc::clone(&self).store_crash_record(fingerprint));
            }
            let update =
                QuarantineExchange { crash_records: self.guard.take_changed_crash_records(), wants_reply: false };
            let links: Vec<Rc<Link>> = self.links.borrow().iter().map(|it| Rc::clone(&it.1)).collect();
            let connected: Vec<&Rc<Link>> = links.iter().filter(|it| it.is_connected()).collect();
            for link in connected.sample(&mut rand::rng(), GOSSIP_FANOUT) {
                let (link, update) = (Rc::clone(link), update.clone());
                spawn_local(async move {
                    // A lost message is made up for by the next anti-entropy exchange.
                    _ = link
                        .call_within::<_, Vec<CrashRecordUpdate>>(PEER_CALL_TIMEOUT, path::CRASH_RECORDS, &update)
                        .await;
                });
            }
        }
    }

    /// Merges a peer's crash records, and returns all local ones if the peer asks for them.
    pub(super) fn exchange_crash_records(&self, theirs: &QuarantineExchange) -> Vec<CrashRecordUpdate> {
        self.guard.merge_crash_records(&theirs.crash_records, CrashRecordSource::Peer);
        if theirs.wants_reply { self.guard.crash_records() } else { Vec::new() }
    }

    /// Exchanges all crash records with a peer whose digest differs.
    pub(super) async fn sync_crash_records(&self, their_digest: u64, link: &Rc<Link>) {
        if their_digest == self.guard.crash_records_digest() {
            return;
        }
        let ours = QuarantineExchange { crash_records: self.guard.crash_records(), wants_reply: true };
        if let Some(it) =
            link.call_within::<_, Vec<CrashRecordUpdate>>(PEER_CALL_TIMEOUT, path::CRASH_RECORDS, &ours).await
        {
            self.guard.merge_crash_records(&it, CrashRecordSource::Peer);
        }
    }

    /// Loads the quarantine from the store with two stale reads, which cost a tenth of a linearizable one. The second
    /// read returns what was written just before the start.
    pub(super) async fn load_quarantine(self: Rc<Self>) {
        let mut backoff = Backoff::new(&self, StoreTask::Quarantine);
        for delay in [Duration::ZERO, MAX_STALENESS] {
            sleep(delay).await;
            while let Err(error) = self.read_quarantine().await {
                backoff.pause_after_failure(&error).await;
            }
            backoff.record_answer();
        }
    }

    /// Merges the quarantined requests of a stale read of the store.
    async fn read_quarantine(&self) -> Result<(), StoreFailure> {
        let list = self.store.list_quarantined(Consistency::Stale).await?;
        for it in &list.skipped {
            self.report_skipped_entry("store", &it.name, &it.reason);
        }
        let updates = list.objects.iter().map(|it| CrashRecordUpdate {
            fingerprint: it.fingerprint,
            record: it.crash_record,
            age: Duration::ZERO,
        });
        self.guard.merge_crash_records(&updates.collect::<Vec<_>>(), CrashRecordSource::Store);
        Ok(())
    }

    /// Writes all quarantined requests to the store, if this proxy watches the store for the fleet.
    pub(super) fn store_quarantined(self: &Rc<Self>) {
        if !self.watching.get() {
            return;
        }
        for it in self.guard.crash_records().into_iter().filter(|it| it.record.is_quarantined()) {
            spawn_local(Rc::clone(self).store_crash_record(it.fingerprint));
        }
    }

    /// Writes a quarantined request to the store, or removes it if it was cleared.
    async fn store_crash_record(self: Rc<Self>, fingerprint: Fingerprint) {
        let mut backoff = Backoff::new(&self, StoreTask::Quarantine);
        loop {
            let record = self.guard.crash_record(fingerprint);
            let result = if record.is_quarantined() {
                let object = QuarantineObject { fingerprint, crash_record: record, written_by: self.name.clone() };
                self.store.add_quarantined(&object).await
            } else if record.is_cleared() {
                self.store.remove_quarantined(fingerprint).await
            } else {
                return;
            };
            match result {
                Ok(()) => break,
                Err(error) => backoff.pause_after_failure(&error).await,
            }
        }
        backoff.record_answer();
    }

    /// Claims the quarantine trial of a request in the store if one is due; the caller begins it on true. Returns false
    /// if none is due, if another proxy has claimed it, or if the store doesn't respond in time.
    pub(super) async fn claim_trial(&self, fingerprint: Fingerprint) -> bool {
        if self.guard.time_to_next_trial(fingerprint) != Some(Duration::ZERO) {
            return false;
        }
        // Requests with the same fingerprint that arrive in the meantime are refused.
        self.guard.postpone_trial(fingerprint);
        let object = QuarantineObject {
            fingerprint,
            crash_record: self.guard.crash_record(fingerprint),
            written_by: self.name.clone(),
        };
        match timeout(CLAIM_TIMEOUT, self.store.claim_trial(&object)).await {
            Ok(Ok(TrialClaim::Claimed(record))) => {
                self.merge_trial_record(fingerprint, record);
                true
            }
            Ok(Ok(TrialClaim::ClaimedByOther(record))) => {
                self.merge_trial_record(fingerprint, record);
                false
            }
            Ok(Err(error)) => {
                log::debug!("trial of {fingerprint} not claimed: {error}");
                false
            }
            Err(_) => {
                log::debug!("trial of {fingerprint} not claimed: no response from the store within {CLAIM_TIMEOUT:?}");
                false
            }
        }
    }

    fn merge_trial_record(&self, fingerprint: Fingerprint, record: CrashRecord) {
        self.guard.merge_crash_records(
            &[CrashRecordUpdate { fingerprint, record, age: Duration::ZERO }],
            CrashRecordSource::Trial,
        );
    }
}

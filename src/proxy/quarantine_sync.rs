//! What proxies and the store tell each other of requests that end their endpoints.
//!
//! Between proxies it spreads as versions do. The store has what is held back, so that it outlasts the end of all proxies at
//! once; and it decides which proxy begins a trial, where several want to.

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
        gossip::{COALESCE_DELAY, PEER_CALL_TIMEOUT},
        guard::quarantine::CaseSource,
        message::{QuarantineExchange, path},
        peer_link::Link,
    },
};

/// How many peers are told of a request by each proxy that learns of it: all but a few in a thousand hear of it so, before
/// its next attempt as a rule.
const RELAYS: usize = 6;
/// What the store tells at this price may be some seconds old: a request may have been held back just before all proxies ended.
const CAUGHT_UP: Duration = Duration::from_secs(4);
/// How long a request may be kept waiting for the store to say whether its trial begins: the store answers in milliseconds,
/// and a refusal should come at once.
const TRIAL_WAIT: Duration = Duration::from_millis(300);

impl Proxy {
    /// Tells some peers of what is known anew against requests; they tell others.
    pub(super) async fn gossip_cases(self: Rc<Self>) {
        loop {
            self.guard.cases_changed.notified().await;
            sleep(COALESCE_DELAY).await;
            for fingerprint in self.guard.take_cases_to_store() {
                spawn_local(Rc::clone(&self).write_down(fingerprint));
            }
            let news = QuarantineExchange { cases: self.guard.take_changed_cases(), wants_reply: false };
            let links: Vec<Rc<Link>> = self.links.borrow().iter().map(|it| Rc::clone(&it.1)).collect();
            let connected: Vec<&Rc<Link>> = links.iter().filter(|it| it.is_connected()).collect();
            for link in connected.sample(&mut rand::rng(), RELAYS) {
                let (link, news) = (Rc::clone(link), news.clone());
                spawn_local(async move {
                    // What is lost here comes with an exchange.
                    _ = link.call_within::<_, Vec<CrashRecordUpdate>>(PEER_CALL_TIMEOUT, path::CASES, &news).await;
                });
            }
        }
    }

    /// Takes in what a peer knows against requests, and answers with what is known here if that is wanted.
    pub(super) fn exchange_cases(&self, theirs: &QuarantineExchange) -> Vec<CrashRecordUpdate> {
        self.guard.merge_cases(&theirs.cases, CaseSource::Peer);
        if theirs.wants_reply { self.guard.cases() } else { Vec::new() }
    }

    /// Exchanges cases with a peer whose digest differs.
    pub(super) async fn sync_cases(&self, their_digest: u64, link: &Rc<Link>) {
        if their_digest == self.guard.cases_digest() {
            return;
        }
        let ours = QuarantineExchange { cases: self.guard.cases(), wants_reply: true };
        if let Some(it) = link.call_within::<_, Vec<CrashRecordUpdate>>(PEER_CALL_TIMEOUT, path::CASES, &ours).await {
            self.guard.merge_cases(&it, CaseSource::Peer);
        }
    }

    /// Takes in what the store has of an earlier time: at once, and again when that has caught up, at a tenth of the price each.
    pub(super) async fn load_quarantine(self: Rc<Self>) {
        let mut backoff = Backoff::new(&self);
        for pause in [Duration::ZERO, CAUGHT_UP] {
            sleep(pause).await;
            while let Err(error) = self.read_quarantine().await {
                backoff.pause_after_failure(&error).await;
            }
            backoff.record_answer();
        }
    }

    /// Takes in what the store has, which may be some seconds old.
    async fn read_quarantine(&self) -> Result<(), StoreFailure> {
        let list = self.store.list_quarantined(Consistency::Stale).await?;
        for it in &list.skipped {
            self.report_skipped_entry("store", &it.name, &it.reason);
        }
        let told = list.objects.iter().map(|it| CrashRecordUpdate {
            fingerprint: it.fingerprint,
            record: it.crash_record,
            age: Duration::ZERO,
        });
        self.guard.merge_cases(&told.collect::<Vec<_>>(), CaseSource::Store);
        Ok(())
    }

    /// Writes down all that is held back, where this proxy watches the store for the rest.
    pub(super) fn store_held_cases(self: &Rc<Self>) {
        if !self.watching.get() {
            return;
        }
        for it in self.guard.cases().into_iter().filter(|it| it.record.is_quarantined()) {
            spawn_local(Rc::clone(self).write_down(it.fingerprint));
        }
    }

    /// Writes down that a request is held back, or takes that back.
    async fn write_down(self: Rc<Self>, fingerprint: Fingerprint) {
        let mut backoff = Backoff::new(&self);
        loop {
            let case = self.guard.case(fingerprint);
            let done = if case.is_quarantined() {
                let object = QuarantineObject { fingerprint, crash_record: case, written_by: self.name.clone() };
                self.store.add_quarantined(&object).await
            } else if case.is_cleared() {
                self.store.remove_quarantined(fingerprint).await
            } else {
                return;
            };
            match done {
                Ok(()) => break,
                Err(error) => backoff.pause_after_failure(&error).await,
            }
        }
        backoff.record_answer();
    }

    /// Begins the trial of a request that is held back, if one is due and no other proxy begins it.
    pub(super) async fn begin_trial(&self, fingerprint: Fingerprint) -> bool {
        if self.guard.time_to_next_trial(fingerprint) != Some(Duration::ZERO) {
            return false;
        }
        // Other requests of this kind that come meanwhile are refused.
        self.guard.postpone_trial(fingerprint);
        let object =
            QuarantineObject { fingerprint, crash_record: self.guard.case(fingerprint), written_by: self.name.clone() };
        match timeout(TRIAL_WAIT, self.store.claim_trial(&object)).await {
            Ok(Ok(TrialClaim::Claimed(case))) => {
                self.take_trial(fingerprint, case);
                true
            }
            Ok(Ok(TrialClaim::ClaimedByOther(case))) => {
                self.take_trial(fingerprint, case);
                false
            }
            Ok(Err(error)) => {
                log::debug!("no trial of {fingerprint}: {error}");
                false
            }
            Err(_) => {
                log::debug!("no trial of {fingerprint}: no answer from the store in {TRIAL_WAIT:?}");
                false
            }
        }
    }

    fn take_trial(&self, fingerprint: Fingerprint, case: CrashRecord) {
        self.guard
            .merge_cases(&[CrashRecordUpdate { fingerprint, record: case, age: Duration::ZERO }], CaseSource::Trial);
    }
}

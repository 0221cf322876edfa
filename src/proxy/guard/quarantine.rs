//! Maintains the crash records of requests: adds evidence from this VM's endpoint and merges the records of other
//! proxies and of the store, so that a request that crashes endpoints is quarantined everywhere.

use std::{rc::Rc, time::Duration};

use super::{Guard, GuardState};
use crate::{
    decide::{
        fingerprint::Fingerprint,
        incarnation::EndpointId,
        quarantine::{CrashRecord, CrashRecordUpdate},
    },
    proxy::{clock, events::Event, message::Grant},
};

/// The source of a change to a crash record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(in crate::proxy) enum CrashRecordSource {
    /// This VM's endpoint crashed while it ran the request.
    Ended,
    /// This VM's endpoint answered the request successfully.
    Answered,
    /// Another proxy.
    Peer,
    /// A listing of the store, which may be stale.
    Store,
    /// The store's reply to the claim of a trial.
    Trial,
}

impl CrashRecordSource {
    /// The name used in events.
    fn name(self) -> &'static str {
        match self {
            Self::Ended => "ended",
            Self::Answered => "answered",
            Self::Peer => "peer",
            Self::Store => "store",
            Self::Trial => "trial",
        }
    }
}

impl Guard {
    /// The crash record of a request.
    pub fn crash_record(&self, fingerprint: Fingerprint) -> CrashRecord {
        self.state.borrow().quarantine.crash_record(fingerprint)
    }

    /// The crash record of a request that has just arrived; extends the time for which the record is kept.
    pub fn note_request(&self, fingerprint: Fingerprint) -> CrashRecord {
        self.state.borrow_mut().quarantine.touch(fingerprint, clock::now())
    }

    /// Merges a crash record that another proxy sent along with a message.
    pub(in crate::proxy) fn merge_crash_record(self: &Rc<Self>, fingerprint: Fingerprint, record: CrashRecord) {
        let update = CrashRecordUpdate { fingerprint, record, age: Duration::ZERO };
        self.merge_crash_records(&[update], CrashRecordSource::Peer);
    }

    /// Merges crash records from `source`.
    pub(in crate::proxy) fn merge_crash_records(
        self: &Rc<Self>,
        crash_records: &[CrashRecordUpdate],
        source: CrashRecordSource,
    ) {
        let now = clock::now();
        for it in crash_records {
            let mut state = self.state.borrow_mut();
            let was_quarantined = state.quarantine.crash_record(it.fingerprint).is_quarantined();
            let changed = state.quarantine.merge_update(it, now);
            drop(state);
            if changed {
                self.handle_record_change(it.fingerprint, was_quarantined, source);
            }
        }
    }

    /// Records a crash of `endpoint` against all requests that ran there.
    pub(super) fn add_crash_evidence(self: &Rc<Self>, endpoint: &EndpointId) {
        let mut state = self.state.borrow_mut();
        let GuardState { ledger, quarantine, .. } = &mut *state;
        let runs: Vec<(Fingerprint, CrashRecord)> =
            ledger.runs_at(endpoint).map(|(work, it)| (work.fingerprint, it.crash_record_at_start)).collect();
        let previously_quarantined: Vec<(Fingerprint, bool)> =
            runs.iter().map(|it| (it.0, quarantine.crash_record(it.0).is_quarantined())).collect();
        let changed = quarantine.record_crash(&runs, clock::now());
        drop(state);
        for (fingerprint, was_quarantined) in previously_quarantined.into_iter().filter(|it| changed.contains(&it.0)) {
            self.handle_record_change(fingerprint, was_quarantined, CrashRecordSource::Ended);
        }
    }

    /// Emits the event that the endpoint crashed while it ran the request of `grant`.
    pub(super) fn emit_ended_under(&self, grant: &Grant, request: &str, ran: Duration) {
        let state = self.state.borrow();
        let Some(entry) = state.ledger.entry(grant.id) else { return };
        let fingerprint = entry.work.fingerprint;
        self.events.emit(&Event::EndedUnder {
            endpoint: &grant.endpoint.name,
            request,
            fingerprint,
            ran_ms: ran.as_millis(),
            running: state.ledger.runs_at(&grant.endpoint).count(),
            evidence: state.quarantine.crash_record(fingerprint).evidence(),
        });
        metrics::counter!("jayreach_endpoint_ended_under_work_total").increment(1);
    }

    /// Records that the endpoint answered a request successfully, which clears the request.
    pub(super) fn add_success_evidence(self: &Rc<Self>, fingerprint: Fingerprint) {
        let mut state = self.state.borrow_mut();
        let was_quarantined = state.quarantine.crash_record(fingerprint).is_quarantined();
        let changed = state.quarantine.record_success(fingerprint, clock::now());
        drop(state);
        if changed {
            self.handle_record_change(fingerprint, was_quarantined, CrashRecordSource::Answered);
        }
    }

    /// Takes the crash records that changed since the last call, to send them to other proxies.
    pub(in crate::proxy) fn take_changed_crash_records(&self) -> Vec<CrashRecordUpdate> {
        let mut state = self.state.borrow_mut();
        let mut changed = std::mem::take(&mut state.records_to_send);
        changed.sort_unstable();
        changed.dedup();
        let crash_records = state.quarantine.updates(clock::now());
        crash_records.into_iter().filter(|it| changed.binary_search(&it.fingerprint).is_ok()).collect()
    }

    /// All crash records.
    pub(in crate::proxy) fn crash_records(&self) -> Vec<CrashRecordUpdate> {
        self.state.borrow().quarantine.updates(clock::now())
    }

    /// A digest of all crash records, to compare two proxies.
    pub(in crate::proxy) fn crash_records_digest(&self) -> u64 {
        self.state.borrow().quarantine.digest()
    }

    /// Removes expired crash records.
    pub(in crate::proxy) fn remove_expired_crash_records(&self) {
        self.state.borrow_mut().quarantine.remove_expired(clock::now());
    }

    /// The time until the next trial of a quarantined request; `None` if it has used up its trials.
    pub(in crate::proxy) fn time_to_next_trial(&self, fingerprint: Fingerprint) -> Option<Duration> {
        self.state.borrow().quarantine.next_trial_in(fingerprint, clock::now())
    }

    /// Restarts the pause before the next trial of a request.
    pub(in crate::proxy) fn postpone_trial(&self, fingerprint: Fingerprint) {
        self.state.borrow_mut().quarantine.postpone_trial(fingerprint, clock::now());
    }

    /// Takes the requests whose crash record this VM's endpoint changed since the last call, to store the records.
    pub(in crate::proxy) fn take_crash_records_to_store(&self) -> Vec<Fingerprint> {
        std::mem::take(&mut self.state.borrow_mut().records_to_store)
    }

    /// Schedules a changed crash record for sending and storing, updates metrics and events, and re-evaluates the
    /// queue.
    fn handle_record_change(
        self: &Rc<Self>,
        fingerprint: Fingerprint,
        was_quarantined: bool,
        source: CrashRecordSource,
    ) {
        let mut state = self.state.borrow_mut();
        state.records_to_send.push(fingerprint);
        if matches!(source, CrashRecordSource::Ended | CrashRecordSource::Answered) {
            state.records_to_store.push(fingerprint);
        }
        let record = state.quarantine.crash_record(fingerprint);
        let (suspects, quarantined) = state.quarantine.counts();
        drop(state);
        metrics::gauge!("jayreach_suspect_requests").set(suspects as f64);
        metrics::gauge!("jayreach_quarantined_requests").set(quarantined as f64);
        let is_quarantined = record.is_quarantined();
        if is_quarantined != was_quarantined {
            let (evidence, source) = (record.evidence(), source.name());
            self.events.emit(&Event::Quarantine { fingerprint, held: is_quarantined, evidence, source });
        }
        self.crash_records_changed.notify_one();
        self.issue_grants();
    }
}

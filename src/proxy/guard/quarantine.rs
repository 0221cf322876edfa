//! What this VM's endpoint, its end above all, says of the requests that it worked on.

use std::{rc::Rc, time::Duration};

use super::{Guard, State};
use crate::{
    decide::{
        fingerprint::Fingerprint,
        incarnation::EndpointId,
        quarantine::{CrashRecord, CrashRecordUpdate},
    },
    proxy::{clock, events::Event, message::Grant},
};

/// Who says something of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(in crate::proxy) enum CaseSource {
    /// This VM's endpoint ended under it.
    Ended,
    /// This VM's endpoint answered it well.
    Answered,
    /// Another proxy.
    Peer,
    /// The store, from an earlier time perhaps.
    Store,
    /// The store, asked whose its next trial is.
    Trial,
}

impl CaseSource {
    /// As written in events.
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
    /// What is known against a request.
    pub fn case(&self, fingerprint: Fingerprint) -> CrashRecord {
        self.state.borrow().quarantine.crash_record(fingerprint)
    }

    /// What is known against a request that has just come.
    pub fn note_request(&self, fingerprint: Fingerprint) -> CrashRecord {
        self.state.borrow_mut().quarantine.touch(fingerprint, clock::now())
    }

    /// Takes in what a guard said of a request.
    pub(in crate::proxy) fn merge_case(self: &Rc<Self>, fingerprint: Fingerprint, case: CrashRecord) {
        let told = CrashRecordUpdate { fingerprint, record: case, age: Duration::ZERO };
        self.merge_cases(&[told], CaseSource::Peer);
    }

    /// Takes in what others know against requests.
    pub(in crate::proxy) fn merge_cases(self: &Rc<Self>, cases: &[CrashRecordUpdate], source: CaseSource) {
        let now = clock::now();
        for it in cases {
            let mut state = self.state.borrow_mut();
            let before = state.quarantine.crash_record(it.fingerprint).is_quarantined();
            let is_news = state.quarantine.merge_update(it, now);
            drop(state);
            if is_news {
                self.note_news(it.fingerprint, before, source);
            }
        }
    }

    /// The endpoint ended: all its work may be to blame.
    pub(super) fn add_crash_evidence(self: &Rc<Self>, endpoint: &EndpointId) {
        let mut state = self.state.borrow_mut();
        let State { ledger, quarantine, .. } = &mut *state;
        let work: Vec<(Fingerprint, CrashRecord)> =
            ledger.runs_at(endpoint).map(|(work, it)| (work.fingerprint, it.case_at_start)).collect();
        let before: Vec<(Fingerprint, bool)> =
            work.iter().map(|it| (it.0, quarantine.crash_record(it.0).is_quarantined())).collect();
        let news = quarantine.record_crash(&work, clock::now());
        drop(state);
        for (fingerprint, held) in before.into_iter().filter(|it| news.contains(&it.0)) {
            self.note_news(fingerprint, held, CaseSource::Ended);
        }
    }

    /// Says that the endpoint ended while it had this work.
    pub(super) fn emit_ended_under(&self, grant: &Grant, request: &str, ran: Duration) {
        let state = self.state.borrow();
        let Some(given) = state.ledger.entry(grant.id) else { return };
        let fingerprint = given.work.fingerprint;
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

    /// The endpoint answered a request well.
    pub(super) fn add_success_evidence(self: &Rc<Self>, fingerprint: Fingerprint) {
        let mut state = self.state.borrow_mut();
        let before = state.quarantine.crash_record(fingerprint).is_quarantined();
        let is_news = state.quarantine.record_success(fingerprint, clock::now());
        drop(state);
        if is_news {
            self.note_news(fingerprint, before, CaseSource::Answered);
        }
    }

    /// The cases of which there is something to tell, once.
    pub(in crate::proxy) fn take_changed_cases(&self) -> Vec<CrashRecordUpdate> {
        let mut state = self.state.borrow_mut();
        let mut news = std::mem::take(&mut state.quarantine_news);
        news.sort_unstable();
        news.dedup();
        let cases = state.quarantine.updates(clock::now());
        cases.into_iter().filter(|it| news.binary_search(&it.fingerprint).is_ok()).collect()
    }

    /// All cases.
    pub(in crate::proxy) fn cases(&self) -> Vec<CrashRecordUpdate> {
        self.state.borrow().quarantine.updates(clock::now())
    }

    /// One number that differs where any case differs.
    pub(in crate::proxy) fn cases_digest(&self) -> u64 {
        self.state.borrow().quarantine.digest()
    }

    /// Forgets cases that are over.
    pub(in crate::proxy) fn remove_expired_cases(&self) {
        self.state.borrow_mut().quarantine.remove_expired(clock::now());
    }

    /// How long until a request that is held back may have its next trial; `None` if it has had all.
    pub(in crate::proxy) fn time_to_next_trial(&self, fingerprint: Fingerprint) -> Option<Duration> {
        self.state.borrow().quarantine.next_trial_in(fingerprint, clock::now())
    }

    /// The next trial of a request is due after its whole pause from now.
    pub(in crate::proxy) fn postpone_trial(&self, fingerprint: Fingerprint) {
        self.state.borrow_mut().quarantine.postpone_trial(fingerprint, clock::now());
    }

    /// The requests of which this VM's endpoint showed that they are to be held back, or no longer, once.
    pub(in crate::proxy) fn take_cases_to_store(&self) -> Vec<Fingerprint> {
        std::mem::take(&mut self.state.borrow_mut().quarantine_found)
    }

    /// Has a changed case told to others, and lets work begin, or not, as it now should.
    fn note_news(self: &Rc<Self>, fingerprint: Fingerprint, was_held: bool, source: CaseSource) {
        let mut state = self.state.borrow_mut();
        state.quarantine_news.push(fingerprint);
        if matches!(source, CaseSource::Ended | CaseSource::Answered) {
            state.quarantine_found.push(fingerprint);
        }
        let case = state.quarantine.crash_record(fingerprint);
        let (suspects, quarantined) = state.quarantine.counts();
        drop(state);
        metrics::gauge!("jayreach_suspect_requests").set(suspects as f64);
        metrics::gauge!("jayreach_quarantined_requests").set(quarantined as f64);
        let held = case.is_quarantined();
        if held != was_held {
            let (evidence, source) = (case.evidence(), source.name());
            self.events.emit(&Event::Quarantine { fingerprint, held, evidence, source });
        }
        self.cases_changed.notify_one();
        self.issue_grants();
    }
}

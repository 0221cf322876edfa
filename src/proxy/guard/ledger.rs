//! The places of one guard: each is used once, and what became of it is remembered for a while.
//!
//! Pure: this is what makes "not run" true, so it is checked by itself against messages that are lost,
//! late and doubled, and guards that restart (tests/grant_ledger.rs).

use std::time::{Duration, Instant};

use crate::{
    decide::{fingerprint::Fingerprint, incarnation::EndpointId, quarantine::CrashRecord},
    proxy::{
        directory::Incarnation,
        message::{Grant, GrantId, NotRunReason, RunEnd},
        routes::RouteName,
    },
};

/// How long an end is remembered for an ingress that lost its connection.
const ENDED_KEPT: Duration = Duration::from_secs(20);
/// How many ends are remembered at most; far above slots times the runs of 20 s.
const ENDED_COUNT: usize = 512;
/// How many bytes of answers are remembered at most.
const ENDED_BYTES: usize = 16 << 20;

/// What a place is given for.
#[derive(Debug, Clone, PartialEq)]
pub struct GrantedWork {
    /// The work's class.
    pub route: RouteName,
    /// What the request asks for.
    pub fingerprint: Fingerprint,
    /// Whether it is the trial of a request that is held back.
    pub quarantine_trial: bool,
    /// Whether the work may run again.
    pub idempotent: bool,
    /// How much of it counts as a repeat, 0 to 1.
    pub retry_share: f64,
    /// Whether the endpoint is not clean.
    pub endpoint_trial: bool,
}

/// The work that uses a place.
#[derive(Debug, Clone, PartialEq)]
pub struct ActiveRun {
    /// How much of it counts as a repeat, 0 to 1.
    pub retry_share: f64,
    /// What was known against the request when it was begun.
    pub case_at_start: CrashRecord,
    /// When it was begun.
    pub started_at: Instant,
    /// The endpoint was told to stop by then.
    pub deadline: Instant,
    /// Failed calls that may be its own; the failure of the work that made one is not the endpoint's.
    pub failed_calls: Vec<FailedCallId>,
    /// It failed, and a failed call explains it.
    pub failure_explained: bool,
}

/// Numbers the calls that were not answered well.
pub type FailedCallId = u64;

/// A place that is offered or in use.
#[derive(Debug, Clone, PartialEq)]
pub struct GrantEntry {
    id: GrantId,
    endpoint: EndpointId,
    /// What it is for.
    pub work: GrantedWork,
    /// What uses it; `None` while it is offered.
    pub active_run: Option<ActiveRun>,
}

impl GrantEntry {
    /// The work that uses it, with its class.
    pub fn as_active_run(&self) -> Option<(GrantId, &str, &ActiveRun)> {
        Some((self.id, &*self.work.route, self.active_run.as_ref()?))
    }
}

struct Ended {
    id: GrantId,
    end: RunEnd,
    at: Instant,
}

impl Ended {
    fn bytes(&self) -> usize {
        match &self.end {
            RunEnd::Answered { content, .. } => content.body.len(),
            RunEnd::NotRun(_) | RunEnd::Unknown(_) => 0,
        }
    }
}

/// What is known of a place.
#[derive(Debug, Clone, PartialEq)]
pub enum GrantStatus {
    /// It is offered and not used yet.
    Unused,
    /// It is in use.
    Running,
    /// It was used, or taken back.
    Ended(RunEnd),
    /// It is another run's, or was forgotten: it may have been used.
    Unknown,
}

/// The places of one run of a guard.
pub struct GrantLedger {
    incarnation: Incarnation,
    /// Offered or in use; bounded by the endpoint's slots.
    entries: Vec<GrantEntry>,
    /// In the order of their ends. An unused place stands here as not run, so it never runs later.
    ended: Vec<Ended>,
    /// The last number given; numbers are never used again.
    last: GrantId,
}

impl GrantLedger {
    /// Of a guard that has just started.
    pub fn new(incarnation: Incarnation) -> Self {
        Self { incarnation, entries: Vec::new(), ended: Vec::new(), last: 0 }
    }

    /// Offers a place at an endpoint.
    pub fn issue(&mut self, endpoint: EndpointId, work: GrantedWork) -> Grant {
        self.last += 1;
        let grant = Grant { id: self.last, guard: self.incarnation, endpoint: endpoint.clone() };
        self.entries.push(GrantEntry { id: self.last, endpoint, work, active_run: None });
        grant
    }

    /// Places that are offered or in use.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no place is offered or in use.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Places that were given while the endpoint was not clean.
    pub fn endpoint_trials(&self) -> usize {
        self.entries.iter().filter(|it| it.work.endpoint_trial).count()
    }

    /// Places that are offered and not used yet.
    pub fn unused_grants(&self) -> Vec<GrantId> {
        self.entries.iter().filter(|it| it.active_run.is_none()).map(|it| it.id).collect()
    }

    /// The place `id`, while it is offered or in use.
    pub fn entry(&self, id: GrantId) -> Option<&GrantEntry> {
        self.entries.iter().find(|it| it.id == id)
    }

    /// What places are offered or used for.
    pub fn granted_work(&self) -> impl Iterator<Item = &GrantedWork> {
        self.entries.iter().map(|it| &it.work)
    }

    /// The work at `endpoint`, with what it is.
    pub fn runs_at(&self, endpoint: &EndpointId) -> impl Iterator<Item = (&GrantedWork, &ActiveRun)> {
        let there = self.entries.iter().filter(move |it| it.endpoint == *endpoint);
        there.filter_map(|it| Some((&it.work, it.active_run.as_ref()?)))
    }

    /// The work that runs, with its class.
    pub fn active_runs(&self) -> impl Iterator<Item = (GrantId, &str, &ActiveRun)> {
        self.entries.iter().filter_map(GrantEntry::as_active_run)
    }

    /// A call of one of `parents` was not answered well.
    pub fn add_failed_call(&mut self, call: FailedCallId, parents: &[GrantId]) {
        for it in self.entries.iter_mut().filter(|it| parents.contains(&it.id)) {
            if let Some(running) = &mut it.active_run {
                running.failed_calls.push(call);
            }
        }
    }

    /// Whether the failure of `id` is explained by a failed call. Each explains the failure of one piece of
    /// work only, whichever of its possible parents fails first.
    pub fn explain_failure_by_call(&mut self, id: GrantId) -> bool {
        let running = self.entries.iter_mut().find(|it| it.id == id).and_then(|it| it.active_run.as_mut());
        let Some(running) = running.filter(|it| !it.failed_calls.is_empty()) else { return false };
        running.failure_explained = true;
        let call = running.failed_calls[0];
        for it in self.entries.iter_mut().filter_map(|it| it.active_run.as_mut()) {
            it.failed_calls.retain(|it| *it != call);
        }
        true
    }

    /// Uses a place, once; `None` if it is not offered by this run, or for another endpoint.
    pub fn start_run(&mut self, grant: &Grant, running: ActiveRun) -> Option<&GrantEntry> {
        let ours = grant.guard == self.incarnation;
        let matches_grant =
            |it: &&mut GrantEntry| it.id == grant.id && it.endpoint == grant.endpoint && it.active_run.is_none();
        let entry = self.entries.iter_mut().find(matches_grant).filter(|_| ours)?;
        entry.active_run = Some(running);
        Some(entry)
    }

    /// Ends a place and remembers how, unless its work may simply run again.
    pub fn end(&mut self, id: GrantId, end: RunEnd, now: Instant) -> Option<GrantEntry> {
        let at = self.entries.iter().position(|it| it.id == id)?;
        let entry = self.entries.swap_remove(at);
        if !entry.work.idempotent || end == RunEnd::NotRun(NotRunReason::NoGrant) {
            self.ended.push(Ended { id, end, at: now });
        }
        self.ended.retain(|it| now.saturating_duration_since(it.at) < ENDED_KEPT);
        let mut bytes: usize = self.ended.iter().map(Ended::bytes).sum();
        while self.ended.len() > ENDED_COUNT || bytes > ENDED_BYTES {
            bytes -= self.ended.remove(0).bytes();
        }
        Some(entry)
    }

    /// What is known of a place.
    pub fn status(&self, grant: &Grant) -> GrantStatus {
        if grant.guard != self.incarnation {
            return GrantStatus::Unknown;
        }
        if let Some(it) = self.entry(grant.id) {
            return if it.active_run.is_none() { GrantStatus::Unused } else { GrantStatus::Running };
        }
        let ended = self.ended.iter().find(|it| it.id == grant.id);
        ended.map_or(GrantStatus::Unknown, |it| GrantStatus::Ended(it.end.clone()))
    }
}

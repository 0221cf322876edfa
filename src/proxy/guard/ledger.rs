//! The grants of one guard: each is used at most once, and how it ended is remembered for a while.
//!
//! The proxy relies on it to report "not run" only for requests that never run. It does no I/O, so that
//! tests/grant_ledger.rs can check it against lost, late and duplicated messages and restarts of guards.

use std::time::{Duration, Instant};

use crate::{
    decide::{fingerprint::Fingerprint, incarnation::EndpointId, quarantine::CrashRecord},
    proxy::{
        directory::Incarnation,
        message::{Grant, GrantId, NotRunReason, RunEnd},
        routes::RouteName,
    },
};

/// How long the end of a grant is remembered for an ingress that lost its connection.
const ENDED_TTL: Duration = Duration::from_secs(20);
/// The maximum number of remembered ends; well above the number of runs within `ENDED_TTL`.
const MAX_ENDED: usize = 2048;
/// An answer is kept for at least this long after its ingress last asked for it, even if its memory is needed: the
/// ingress detects a lost connection and opens another one within it.
const ANSWER_MIN_TTL: Duration = Duration::from_secs(5);

/// The request that a grant is for.
#[derive(Debug, Clone, PartialEq)]
pub struct GrantedWork {
    /// The route that the request matched.
    pub route: RouteName,
    /// Identifies requests with the same content.
    pub fingerprint: Fingerprint,
    /// Whether this is a trial of a quarantined request.
    pub quarantine_trial: bool,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// The part of the request that counts as a retry, 0 to 1.
    pub retry_share: f64,
    /// Whether the endpoint was not clean when the grant was issued.
    pub endpoint_trial: bool,
}

/// A run that uses a grant.
#[derive(Debug, Clone, PartialEq)]
pub struct ActiveRun {
    /// The part of the run that counts as a retry, 0 to 1.
    pub retry_share: f64,
    /// How much of the answer's body the ingress gets with the end of the run, in bytes; it fetches the rest.
    pub first_part: usize,
    /// The crash record of the request when the run started.
    pub crash_record_at_start: CrashRecord,
    /// When the run started.
    pub started_at: Instant,
    /// The deadline that was sent to the endpoint.
    pub deadline: Instant,
    /// Failed nested calls that this run may have made; a run that fails because of one does not count against the
    /// endpoint.
    pub failed_calls: Vec<FailedCallId>,
    /// Whether the run failed and a failed nested call explains that.
    pub failure_explained: bool,
}

/// Identifies a failed nested call.
pub type FailedCallId = u64;

/// A grant that is unused or in use.
#[derive(Debug, Clone, PartialEq)]
pub struct GrantEntry {
    id: GrantId,
    endpoint: EndpointId,
    /// The request that the grant is for.
    pub work: GrantedWork,
    /// The run that uses the grant; `None` while it is unused.
    pub active_run: Option<ActiveRun>,
}

impl GrantEntry {
    /// The incarnation of the endpoint that the grant is for.
    pub fn endpoint(&self) -> &EndpointId {
        &self.endpoint
    }

    /// The grant's id, route and run, if the grant is in use.
    pub fn as_active_run(&self) -> Option<(GrantId, &str, &ActiveRun)> {
        Some((self.id, &*self.work.route, self.active_run.as_ref()?))
    }
}

struct EndedGrant {
    id: GrantId,
    end: RunEnd,
    /// When its ingress last asked for it; at first, when it ended.
    needed_at: Instant,
    /// Whether the ingress has to fetch a part of the answer.
    is_partial: bool,
}

/// The status of a grant in the ledger.
#[derive(Debug, Clone, PartialEq)]
pub enum GrantStatus {
    /// The grant was issued and not used yet.
    Unused,
    /// A run uses the grant.
    Running,
    /// The run ended, or the grant was revoked unused.
    Ended(RunEnd),
    /// Another incarnation of the guard issued the grant, or its end is no longer remembered: it may have been used.
    Unknown,
}

/// The grants issued by one incarnation of a guard.
pub struct GrantLedger {
    incarnation: Incarnation,
    /// Grants that are unused or in use; bounded by the endpoint's slots.
    entries: Vec<GrantEntry>,
    /// In the order in which the grants ended. A grant revoked unused is listed as not run, so that it never runs
    /// later.
    ended: Vec<EndedGrant>,
    /// The id of the last grant; ids are never reused.
    last_id: GrantId,
}

impl GrantLedger {
    /// Creates the ledger of a guard that has just started.
    pub fn new(incarnation: Incarnation) -> Self {
        Self { incarnation, entries: Vec::new(), ended: Vec::new(), last_id: 0 }
    }

    /// Issues a grant for `endpoint`.
    pub fn issue(&mut self, endpoint: EndpointId, work: GrantedWork) -> Grant {
        self.last_id += 1;
        let grant = Grant { id: self.last_id, guard: self.incarnation, endpoint: endpoint.clone() };
        self.entries.push(GrantEntry { id: self.last_id, endpoint, work, active_run: None });
        grant
    }

    /// The number of grants that are unused or in use.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no grant is unused or in use.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// The number of open grants that were issued while the endpoint was not clean.
    pub fn endpoint_trials(&self) -> usize {
        self.entries.iter().filter(|it| it.work.endpoint_trial).count()
    }

    /// The grants that are not used yet.
    pub fn unused_grants(&self) -> Vec<GrantId> {
        self.entries.iter().filter(|it| it.active_run.is_none()).map(|it| it.id).collect()
    }

    /// The grant `id`, if it is unused or in use.
    pub fn entry(&self, id: GrantId) -> Option<&GrantEntry> {
        self.entries.iter().find(|it| it.id == id)
    }

    /// The requests that hold a grant, running or not.
    pub fn granted_work(&self) -> impl Iterator<Item = &GrantedWork> {
        self.entries.iter().map(|it| &it.work)
    }

    /// The runs at `endpoint`, with their requests.
    pub fn runs_at(&self, endpoint: &EndpointId) -> impl Iterator<Item = (&GrantedWork, &ActiveRun)> {
        let at_endpoint = self.entries.iter().filter(move |it| it.endpoint == *endpoint);
        at_endpoint.filter_map(|it| Some((&it.work, it.active_run.as_ref()?)))
    }

    /// All runs, with the id of their grant and their route.
    pub fn active_runs(&self) -> impl Iterator<Item = (GrantId, &str, &ActiveRun)> {
        self.entries.iter().filter_map(GrantEntry::as_active_run)
    }

    /// Adds a failed nested call to the runs that may have made it.
    pub fn add_failed_call(&mut self, call: FailedCallId, parents: &[GrantId]) {
        for it in self.entries.iter_mut().filter(|it| parents.contains(&it.id)) {
            if let Some(run) = &mut it.active_run {
                run.failed_calls.push(call);
            }
        }
    }

    /// Whether a failed nested call explains the failure of the run `id`. Each call explains the failure of one run
    /// only: of those that may have made it, the one that fails first.
    pub fn explain_failure_by_call(&mut self, id: GrantId) -> bool {
        let run = self.entries.iter_mut().find(|it| it.id == id).and_then(|it| it.active_run.as_mut());
        let Some(run) = run.filter(|it| !it.failed_calls.is_empty()) else { return false };
        run.failure_explained = true;
        let call = run.failed_calls[0];
        for it in self.entries.iter_mut().filter_map(|it| it.active_run.as_mut()) {
            it.failed_calls.retain(|it| *it != call);
        }
        true
    }

    /// Starts the run of a grant; a second run under it is refused. Returns `None` if the grant is not an unused one of
    /// this incarnation, or is for another endpoint.
    pub fn start_run(&mut self, grant: &Grant, run: ActiveRun) -> Option<&GrantEntry> {
        let same_incarnation = grant.guard == self.incarnation;
        let matches_grant =
            |it: &&mut GrantEntry| it.id == grant.id && it.endpoint == grant.endpoint && it.active_run.is_none();
        let entry = self.entries.iter_mut().find(matches_grant).filter(|_| same_incarnation)?;
        entry.active_run = Some(run);
        Some(entry)
    }

    /// Ends a grant. The end is remembered unless the request is idempotent; a revoked grant and an answer that is sent in
    /// parts are always remembered.
    pub fn end(&mut self, id: GrantId, end: RunEnd, now: Instant) -> Option<GrantEntry> {
        let at = self.entries.iter().position(|it| it.id == id)?;
        let entry = self.entries.swap_remove(at);
        let is_partial = entry.active_run.as_ref().is_some_and(|it| end.body_len() > it.first_part);
        if !entry.work.idempotent || end == RunEnd::NotRun(NotRunReason::NoGrant) || is_partial {
            self.ended.push(EndedGrant { id, end, needed_at: now, is_partial });
        }
        self.forget_old(now);
        Some(entry)
    }

    /// Forgets the ends that no ingress asks for any more.
    pub fn forget_old(&mut self, now: Instant) {
        self.ended.retain(|it| now.saturating_duration_since(it.needed_at) < ENDED_TTL);
        let excess = self.ended.len().saturating_sub(MAX_ENDED);
        self.ended.drain(..excess);
    }

    /// Forgets the answers that their ingresses have probably received, because memory is needed.
    pub fn free_memory(&mut self, now: Instant) {
        self.ended.retain(|it| it.end.body_len() == 0 || now.saturating_duration_since(it.needed_at) < ANSWER_MIN_TTL);
    }

    /// Forgets the end of a grant.
    pub fn forget(&mut self, grant: &Grant) {
        if grant.guard == self.incarnation {
            self.ended.retain(|it| it.id != grant.id);
        }
    }

    /// Records that the ingress of a grant still needs its answer.
    pub fn note_needed(&mut self, grant: &Grant, now: Instant) {
        if grant.guard == self.incarnation
            && let Some(it) = self.ended.iter_mut().find(|it| it.id == grant.id)
        {
            it.needed_at = now;
        }
    }

    /// The number of answers of which an ingress still fetches parts.
    pub fn partial_answers(&self, now: Instant) -> usize {
        let is_needed = |it: &&EndedGrant| now.saturating_duration_since(it.needed_at) < ANSWER_MIN_TTL;
        self.ended.iter().filter(|it| it.is_partial).filter(is_needed).count()
    }

    /// The status of `grant`.
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

//! The places of one guard: each is used once, and what became of it is remembered for a while.
//!
//! Pure: this is what makes "not run" true, so it is checked by itself against messages that are lost,
//! late and doubled, and guards that restart (tests/places.rs).

use std::time::{Duration, Instant};

use crate::{
    decide::{fingerprint::Fingerprint, life::EndpointId, quarantine::Case},
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
pub struct Purpose {
    /// The work's class.
    pub route: RouteName,
    /// What the request asks for.
    pub fingerprint: Fingerprint,
    /// Whether it is the trial of a request that is held back.
    pub released: bool,
    /// Whether the work may run again.
    pub idempotent: bool,
    /// How much of it counts as a repeat, 0 to 1.
    pub repeat_share: f64,
    /// Whether the endpoint is not clean.
    pub trial: bool,
}

/// The work that uses a place.
#[derive(Debug, Clone, PartialEq)]
pub struct Running {
    /// How much of it counts as a repeat, 0 to 1.
    pub repeat_share: f64,
    /// What was known against the request when it was begun.
    pub known: Case,
    /// When it was begun.
    pub begun: Instant,
    /// The endpoint was told to stop by then.
    pub until: Instant,
    /// Failed calls that may be its own; the failure of the work that made one is not the endpoint's.
    pub failed_calls: Vec<FailedCall>,
    /// It failed, and a failed call explains it.
    pub explained: bool,
}

/// Numbers the calls that were not answered well.
pub type FailedCall = u64;

/// A place that is offered or in use.
#[derive(Debug, Clone, PartialEq)]
pub struct Given {
    id: GrantId,
    endpoint: EndpointId,
    /// What it is for.
    pub purpose: Purpose,
    /// What uses it; `None` while it is offered.
    pub running: Option<Running>,
}

impl Given {
    /// The work that uses it, with its class.
    pub fn as_running(&self) -> Option<(GrantId, &str, &Running)> {
        Some((self.id, &*self.purpose.route, self.running.as_ref()?))
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
pub enum Known {
    /// It is offered and not used yet.
    Offered,
    /// It is in use.
    Running,
    /// It was used, or taken back.
    Ended(RunEnd),
    /// It is another run's, or was forgotten: it may have been used.
    Unknown,
}

/// The places of one run of a guard.
pub struct Ledger {
    incarnation: Incarnation,
    /// Offered or in use; bounded by the endpoint's slots.
    given: Vec<Given>,
    /// In the order of their ends. An unused place stands here as not run, so it never runs later.
    ended: Vec<Ended>,
    /// The last number given; numbers are never used again.
    last: GrantId,
}

impl Ledger {
    /// Of a guard that has just started.
    pub fn new(incarnation: Incarnation) -> Self {
        Self { incarnation, given: Vec::new(), ended: Vec::new(), last: 0 }
    }

    /// Offers a place at an endpoint.
    pub fn offer(&mut self, endpoint: EndpointId, purpose: Purpose) -> Grant {
        self.last += 1;
        let grant = Grant { id: self.last, guard: self.incarnation, endpoint: endpoint.clone() };
        self.given.push(Given { id: self.last, endpoint, purpose, running: None });
        grant
    }

    /// Places that are offered or in use.
    pub fn len(&self) -> usize {
        self.given.len()
    }

    /// Whether no place is offered or in use.
    pub fn is_empty(&self) -> bool {
        self.given.is_empty()
    }

    /// Places that were given while the endpoint was not clean.
    pub fn trials(&self) -> usize {
        self.given.iter().filter(|it| it.purpose.trial).count()
    }

    /// Places that are offered and not used yet.
    pub fn offered(&self) -> Vec<GrantId> {
        self.given.iter().filter(|it| it.running.is_none()).map(|it| it.id).collect()
    }

    /// The place `id`, while it is offered or in use.
    pub fn given(&self, id: GrantId) -> Option<&Given> {
        self.given.iter().find(|it| it.id == id)
    }

    /// What places are offered or used for.
    pub fn purposes(&self) -> impl Iterator<Item = &Purpose> {
        self.given.iter().map(|it| &it.purpose)
    }

    /// The work at `endpoint`, with what it is.
    pub fn working_at(&self, endpoint: &EndpointId) -> impl Iterator<Item = (&Purpose, &Running)> {
        let there = self.given.iter().filter(move |it| it.endpoint == *endpoint);
        there.filter_map(|it| Some((&it.purpose, it.running.as_ref()?)))
    }

    /// The work that runs, with its class.
    pub fn running(&self) -> impl Iterator<Item = (GrantId, &str, &Running)> {
        self.given.iter().filter_map(Given::as_running)
    }

    /// A call of one of `parents` was not answered well.
    pub fn call_failed(&mut self, call: FailedCall, parents: &[GrantId]) {
        for it in self.given.iter_mut().filter(|it| parents.contains(&it.id)) {
            if let Some(running) = &mut it.running {
                running.failed_calls.push(call);
            }
        }
    }

    /// Whether the failure of `id` is explained by a failed call. Each explains the failure of one piece of
    /// work only, whichever of its possible parents fails first.
    pub fn explain_failure(&mut self, id: GrantId) -> bool {
        let running = self.given.iter_mut().find(|it| it.id == id).and_then(|it| it.running.as_mut());
        let Some(running) = running.filter(|it| !it.failed_calls.is_empty()) else { return false };
        running.explained = true;
        let call = running.failed_calls[0];
        for it in self.given.iter_mut().filter_map(|it| it.running.as_mut()) {
            it.failed_calls.retain(|it| *it != call);
        }
        true
    }

    /// Uses a place, once; `None` if it is not offered by this run, or for another endpoint.
    pub fn begin(&mut self, grant: &Grant, running: Running) -> Option<&Given> {
        let ours = grant.guard == self.incarnation;
        let fits = |it: &&mut Given| it.id == grant.id && it.endpoint == grant.endpoint && it.running.is_none();
        let given = self.given.iter_mut().find(fits).filter(|_| ours)?;
        given.running = Some(running);
        Some(given)
    }

    /// Ends a place and remembers how, unless its work may simply run again.
    pub fn end(&mut self, id: GrantId, end: RunEnd, now: Instant) -> Option<Given> {
        let at = self.given.iter().position(|it| it.id == id)?;
        let given = self.given.swap_remove(at);
        if !given.purpose.idempotent || end == RunEnd::NotRun(NotRunReason::NoGrant) {
            self.ended.push(Ended { id, end, at: now });
        }
        self.ended.retain(|it| now.saturating_duration_since(it.at) < ENDED_KEPT);
        let mut bytes: usize = self.ended.iter().map(Ended::bytes).sum();
        while self.ended.len() > ENDED_COUNT || bytes > ENDED_BYTES {
            bytes -= self.ended.remove(0).bytes();
        }
        Some(given)
    }

    /// What is known of a place.
    pub fn look_up(&self, grant: &Grant) -> Known {
        if grant.guard != self.incarnation {
            return Known::Unknown;
        }
        if let Some(it) = self.given(grant.id) {
            return if it.running.is_none() { Known::Offered } else { Known::Running };
        }
        let ended = self.ended.iter().find(|it| it.id == grant.id);
        ended.map_or(Known::Unknown, |it| Known::Ended(it.end.clone()))
    }
}

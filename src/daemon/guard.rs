//! The guard: the only way to the endpoints that announce to this daemon.

use std::{
    sync::{
        Condvar, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use crossbeam::channel::{Sender, bounded};
use serde::{Deserialize, Serialize};

use crate::{
    daemon::{endpoint, http_client::Client},
    decide::{
        AdmissionController, AdmissionDecision, AdmissionRequest, EjectionConfig, EndpointEvent, EndpointHealth,
        Sample, WaiterDecision, WaiterId, failure_level,
    },
    rows::{EndpointId, EndpointRow, EndpointState, Incarnation},
    targets::Weighs,
    ticket::{Ledger, Opening},
    util::lock,
    wire::{Dispatch, DispatchReply, Outcome, Refusal, Revoke, RevokeReply, Ticket, TicketStatus, UnknownReason},
};

/// After so long a silence an endpoint gets no new work (issue 3, towards endpoints).
const SILENCE: Duration = Duration::from_secs(3);
/// How long the row of an endpoint that is gone is kept.
const FORGET_GONE: Duration = Duration::from_secs(30);
/// With less than this left, work is not sent any more.
const LEAST_BUDGET: Duration = Duration::from_millis(1);

/// What an endpoint says of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// The service it belongs to.
    pub service: Box<str>,
    /// Where its guard reaches it.
    pub address: std::net::SocketAddr,
    /// How much work it takes at once.
    pub slots: u16,
    /// Whether it takes work.
    pub state: AnnouncedState,
    /// Its own report of its load; a hint only.
    #[serde(default)]
    pub load: u32,
}

/// Whether an endpoint takes work, in its own words.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum AnnouncedState {
    /// Not yet.
    Starting,
    /// Yes.
    Serving,
    /// Not any more.
    Leaving,
}

/// What a service weighs and how its other endpoints fare.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Measure {
    pub(crate) baseline: f64,
    pub(crate) weighs: Weighs,
}

/// What a guard asks of its daemon while it runs a dispatch.
pub(crate) struct Hooks<'a> {
    /// What an endpoint's service weighs, and how its others fare.
    pub(crate) measure: &'a dyn Fn(&str) -> Measure,
    /// The endpoint's row has to be told anew.
    pub(crate) changed: &'a dyn Fn(),
}

struct Endpoint {
    id: EndpointId,
    service: Box<str>,
    slots: u16,
    last_heard: Instant,
    standing: EndpointHealth,
    gate: AdmissionController,
    waiters: Vec<(WaiterId, Sender<AdmissionDecision>)>,
}

#[derive(Default)]
struct Inner {
    /// Sorted by id.
    endpoints: Vec<Endpoint>,
    ledger: Ledger,
}

/// The guard's state.
pub(crate) struct GuardDesk {
    incarnation: Incarnation,
    inner: Mutex<Inner>,
    /// Told whenever a line of the ledger ends.
    ended: Condvar,
    next_waiter: AtomicU64,
}

/// What the ledger and gates hold, for operators.
#[derive(Debug, Serialize)]
pub(crate) struct GuardCount {
    ledger: usize,
    running: usize,
}

impl GuardDesk {
    pub(crate) fn new(incarnation: Incarnation) -> Self {
        Self { incarnation, inner: Mutex::default(), ended: Condvar::new(), next_waiter: AtomicU64::new(1) }
    }

    /// Takes an announcement; returns whether the row changed.
    pub(crate) fn announce(&self, it: &Announcement, now: Instant) -> bool {
        let mut inner = lock(&self.inner);
        let id: EndpointId = it.address.to_string().into();
        let at = match inner.endpoints.binary_search_by(|e| e.id.cmp(&id)) {
            Ok(at) => at,
            Err(at) => {
                inner.endpoints.insert(at, Endpoint::new(id, it, now));
                at
            }
        };
        let endpoint = &mut inner.endpoints[at];
        endpoint.last_heard = now;
        let resized = endpoint.slots != it.slots || endpoint.service != it.service;
        endpoint.slots = it.slots;
        endpoint.service = it.service.clone();
        endpoint.gate.set_slots(it.slots);
        let event = match it.state {
            AnnouncedState::Starting => EndpointEvent::AnnouncedStarting,
            AnnouncedState::Serving => EndpointEvent::AnnouncedServing,
            AnnouncedState::Leaving => EndpointEvent::AnnouncedLeaving,
        };
        endpoint.on(event, now) || resized
    }

    /// Lets time pass; returns whether the row changed.
    pub(crate) fn tick(&self, now: Instant) -> bool {
        let mut inner = lock(&self.inner);
        let mut changed = false;
        for endpoint in &mut inner.endpoints {
            let silent = now.saturating_duration_since(endpoint.last_heard) >= SILENCE;
            changed |= silent && endpoint.on(EndpointEvent::Silent, now);
            changed |= endpoint.standing.tick(now);
        }
        let count = inner.endpoints.len();
        inner.endpoints.retain(|it| {
            let gone = it.standing.state() == EndpointState::Gone && it.gate.running() == 0;
            !gone || now.saturating_duration_since(it.last_heard) < FORGET_GONE
        });
        changed || count != inner.endpoints.len()
    }

    /// The endpoints, for the row.
    pub(crate) fn rows(&self) -> Vec<EndpointRow> {
        lock(&self.inner).endpoints.iter().map(Endpoint::row).collect()
    }

    /// The endpoint's service, if it is here.
    pub(crate) fn service_of(&self, endpoint: &str) -> Option<Box<str>> {
        let inner = lock(&self.inner);
        inner.find(endpoint).map(|at| inner.endpoints[at].service.clone())
    }

    /// Counts for operators.
    pub(crate) fn count(&self) -> GuardCount {
        let inner = lock(&self.inner);
        GuardCount { ledger: inner.ledger.len(), running: inner.ledger.running() }
    }

    /// Runs a dispatch.
    pub(crate) fn execute(&self, client: &Client, dispatch: &Dispatch, hooks: &Hooks<'_>) -> DispatchReply {
        let outcome = self.run(client, dispatch, hooks);
        let inner = lock(&self.inner);
        let gate = inner.find(&dispatch.endpoint).map(|at| &inner.endpoints[at].gate);
        let (load, min_importance) = gate.map_or((0, 0), |it| (it.load(), it.min_importance()));
        DispatchReply { outcome, load, min_importance }
    }

    fn run(&self, client: &Client, dispatch: &Dispatch, hooks: &Hooks<'_>) -> Outcome {
        if dispatch.guard_incarnation != self.incarnation {
            return Outcome::NotRun(Refusal::StaleDispatch);
        }
        let Some(ticket_attempt) = &dispatch.ticket_attempt else {
            return self.run_once(client, dispatch, hooks);
        };
        match lock(&self.inner).ledger.open(ticket_attempt) {
            Opening::Run => (),
            Opening::Running => return Outcome::Unknown(UnknownReason::StillRunning),
            Opening::Ended(outcome) => return outcome,
            Opening::Stale => return Outcome::NotRun(Refusal::StaleDispatch),
        }
        let outcome = self.run_once(client, dispatch, hooks);
        lock(&self.inner).ledger.finish(&ticket_attempt.ticket, outcome.clone());
        self.ended.notify_all();
        outcome
    }

    /// Admits the work, passes it to the endpoint and takes the evidence.
    fn run_once(&self, client: &Client, dispatch: &Dispatch, hooks: &Hooks<'_>) -> Outcome {
        let started = Instant::now();
        let deadline = started + Duration::from_millis(dispatch.budget_ms);
        if let Err(refusal) = self.admit(dispatch, deadline) {
            metrics::counter!("jayreach_guard_refusals_total").increment(1);
            return Outcome::NotRun(refusal);
        }
        let admitted = Instant::now();
        let left = deadline.saturating_duration_since(admitted);
        let (outcome, sample) = if left < LEAST_BUDGET {
            (Outcome::NotRun(Refusal::TooLate), None)
        } else {
            endpoint::call(client, dispatch, left)
        };
        let now = Instant::now();
        let measure = (hooks.measure)(&dispatch.endpoint);
        if outcome == Outcome::Unknown(UnknownReason::EndpointSilent) {
            // The endpoint's slot stays in use until the cancellation has reached it.
            endpoint::cancel(client, dispatch);
        }
        if self.leave(&dispatch.endpoint, now - admitted, sample, measure, now) {
            (hooks.changed)();
        }
        outcome
    }

    fn admit(&self, dispatch: &Dispatch, deadline: Instant) -> Result<(), Refusal> {
        let id = self.next_waiter.fetch_add(1, Ordering::Relaxed);
        let arrival = AdmissionRequest { id, importance: dispatch.importance, deadline };
        let (tx, rx) = bounded(1);
        {
            let mut inner = lock(&self.inner);
            let at = inner.find(&dispatch.endpoint).ok_or(Refusal::EndpointLeaving)?;
            let endpoint = &mut inner.endpoints[at];
            if !endpoint.standing.accepts_work() {
                return Err(Refusal::EndpointLeaving);
            }
            let (admission, evicted) = endpoint.gate.admit(arrival, Instant::now());
            endpoint.release(evicted);
            match admission {
                AdmissionDecision::Admit => return Ok(()),
                AdmissionDecision::Refuse(refusal) => return Err(refusal),
                AdmissionDecision::Queue => endpoint.waiters.push((id, tx)),
            }
        }
        let decided = rx.recv_deadline(deadline).ok();
        match decided.unwrap_or_else(|| self.give_up(&dispatch.endpoint, id, &rx)) {
            AdmissionDecision::Admit => Ok(()),
            AdmissionDecision::Refuse(refusal) => Err(refusal),
            AdmissionDecision::Queue => unreachable!("a release never says wait"),
        }
    }

    /// The deadline came first, unless the decision was under way.
    fn give_up(
        &self,
        endpoint: &str,
        id: WaiterId,
        rx: &crossbeam::channel::Receiver<AdmissionDecision>,
    ) -> AdmissionDecision {
        let mut inner = lock(&self.inner);
        let Some(at) = inner.find(endpoint) else { return AdmissionDecision::Refuse(Refusal::EndpointLeaving) };
        let endpoint = &mut inner.endpoints[at];
        if endpoint.gate.cancel(id) {
            endpoint.waiters.retain(|it| it.0 != id);
            return AdmissionDecision::Refuse(Refusal::TooLate);
        }
        rx.try_recv().unwrap_or(AdmissionDecision::Refuse(Refusal::TooLate))
    }

    /// Frees the slot and takes the evidence; returns whether the row changed.
    fn leave(&self, endpoint: &str, took: Duration, sample: Option<Sample>, measure: Measure, now: Instant) -> bool {
        let mut inner = lock(&self.inner);
        let at = inner.find(endpoint).expect("an endpoint stays while work is running there");
        let endpoint = &mut inner.endpoints[at];
        let before = endpoint.row();
        for release in endpoint.gate.release_slot(took, now) {
            endpoint.release(Some(release));
        }
        if let Some(sample) = sample {
            let state = endpoint.standing.state();
            if endpoint.standing.record_sample(sample, measure.baseline, measure.weighs, now) {
                log_change(&endpoint.id, state, endpoint.standing.state());
            }
        }
        tells_more(&before, &endpoint.row())
    }

    /// Makes sure an attempt will not run, waiting a while for one that is running.
    pub(crate) fn revoke(&self, revoke: &Revoke) -> RevokeReply {
        if revoke.guard_incarnation != self.incarnation {
            return RevokeReply::GuardRestarted;
        }
        let deadline = Instant::now() + Duration::from_millis(revoke.wait_ms);
        let mut inner = lock(&self.inner);
        loop {
            let reply = inner.ledger.revoke(&revoke.ticket_attempt);
            let left = deadline.saturating_duration_since(Instant::now());
            if reply != RevokeReply::Running || left.is_zero() {
                return reply;
            }
            let waited = self.ended.wait_timeout(inner, left);
            inner = waited.unwrap_or_else(std::sync::PoisonError::into_inner).0;
        }
    }

    /// What the ledger holds of a ticket.
    pub(crate) fn status(&self, ticket: &Ticket) -> TicketStatus {
        lock(&self.inner).ledger.status(ticket)
    }
}

impl Inner {
    fn find(&self, endpoint: &str) -> Option<usize> {
        self.endpoints.binary_search_by(|it| (*it.id).cmp(endpoint)).ok()
    }
}

impl Endpoint {
    fn new(id: EndpointId, it: &Announcement, now: Instant) -> Self {
        Self {
            id,
            service: it.service.clone(),
            slots: it.slots,
            last_heard: now,
            standing: EndpointHealth::new(EjectionConfig::default(), now),
            gate: AdmissionController::new(it.slots),
            waiters: Vec::new(),
        }
    }

    fn row(&self) -> EndpointRow {
        EndpointRow {
            id: self.id.clone(),
            service: self.service.clone(),
            slots: self.slots,
            state: self.standing.state(),
            failures: failure_level(self.standing.failure_rate()),
        }
    }

    fn on(&mut self, event: EndpointEvent, now: Instant) -> bool {
        let before = self.standing.state();
        let changed = self.standing.handle(event, now);
        if changed {
            log_change(&self.id, before, self.standing.state());
        }
        if !self.standing.accepts_work() {
            for release in self.gate.refuse_waiters(Refusal::EndpointLeaving) {
                self.release(Some(release));
            }
        }
        changed
    }

    /// Tells a waiter what became of it.
    fn release(&mut self, release: Option<WaiterDecision>) {
        let Some(WaiterDecision { id, decision }) = release else { return };
        let at = self.waiters.iter().position(|it| it.0 == id).expect("each waiter has a channel");
        let (_, tx) = self.waiters.swap_remove(at);
        tx.send(decision).expect("a waiter takes itself out before it goes");
    }
}

fn log_change(id: &str, before: EndpointState, after: EndpointState) {
    let (before, after) = (format!("{before:?}"), format!("{after:?}"));
    log::info!(endpoint = id, before = before.as_str(), after = after.as_str(); "endpoint changed its state");
    metrics::counter!("jayreach_endpoint_changes_total", "to" => after).increment(1);
}

/// Whether the fleet must hear of a change at once; load alone rides on answers.
fn tells_more(before: &EndpointRow, after: &EndpointRow) -> bool {
    before.state != after.state || before.failures.abs_diff(after.failures) >= 2
}

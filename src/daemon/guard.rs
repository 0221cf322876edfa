//! The guard of the endpoints that announce themselves to this daemon. Every request to them passes through it, so that
//! it can limit concurrency, run a ticketed request at most once, and eject endpoints that fail.

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
        Sample, WaiterDecision, WaiterId, failure_level, rate_limit::RequestRate,
    },
    rows::{EndpointId, EndpointRow, EndpointState, Incarnation},
    targets::EjectionPreference,
    ticket::{DispatchDecision, DispatchLedger},
    util::lock,
    wire::{Dispatch, DispatchReply, Outcome, Refusal, Revoke, RevokeReply, Ticket, TicketStatus, UnknownReason},
};

/// Time without an announcement after which an endpoint gets no new requests.
const ANNOUNCEMENT_TIMEOUT: Duration = Duration::from_secs(3);
/// How long an endpoint that is gone stays listed after its last announcement.
const GONE_RETENTION: Duration = Duration::from_secs(30);
/// How often the waiters of an endpoint with a rate limit check whether the next one may start.
const LIMIT_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// A request with less time left than this is not sent to the endpoint.
const MIN_BUDGET: Duration = Duration::from_millis(1);

/// The body of `POST /announce`, which an endpoint sends at regular intervals.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// The service that the endpoint belongs to.
    pub service: Box<str>,
    /// The address at which the guard sends requests to it.
    pub address: std::net::SocketAddr,
    /// How many requests it runs at once; 1 or more.
    pub slots: u16,
    /// Whether it accepts requests.
    pub state: AnnouncedState,
    /// The load that it reports. The guard doesn't use it.
    #[serde(default)]
    pub load: u32,
    /// The requests a second that it takes from all daemons together; absent for any number.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub limit: Option<RequestRate>,
}

/// Whether an endpoint accepts requests, as it announces itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum AnnouncedState {
    /// It doesn't accept requests yet.
    Starting,
    /// It accepts requests.
    Serving,
    /// It accepts no new requests.
    Leaving,
}

/// What the decision to eject an endpoint takes from its service.
#[derive(Debug, Clone, Copy)]
pub(crate) struct EjectionContext {
    /// The median failure rate of the service's other endpoints.
    pub(crate) baseline: f64,
    pub(crate) weighs: EjectionPreference,
}

/// Calls from the guard to its daemon while it runs a dispatch.
pub(crate) struct ExecutionHooks<'a> {
    /// Looks up the ejection context of an endpoint.
    pub(crate) ejection_context: &'a dyn Fn(&str) -> EjectionContext,
    /// Called when the endpoint's row has changed enough to be gossiped.
    pub(crate) row_changed: &'a dyn Fn(),
}

struct Endpoint {
    id: EndpointId,
    service: Box<str>,
    slots: u16,
    last_announced: Instant,
    health: EndpointHealth,
    admission: AdmissionController,
    waiters: Vec<(WaiterId, Sender<AdmissionDecision>)>,
}

#[derive(Default)]
struct Inner {
    /// Sorted by id.
    endpoints: Vec<Endpoint>,
    ledger: DispatchLedger,
}

/// The guard of the local endpoints.
pub(crate) struct LocalGuard {
    incarnation: Incarnation,
    inner: Mutex<Inner>,
    /// Notified whenever a run in the ledger ends.
    run_ended: Condvar,
    next_waiter: AtomicU64,
}

/// The numbers of ledger entries and of running requests, for the status page.
#[derive(Debug, Serialize)]
pub(crate) struct LedgerCounts {
    ledger: usize,
    running: usize,
}

impl LocalGuard {
    pub(crate) fn new(incarnation: Incarnation) -> Self {
        Self { incarnation, inner: Mutex::default(), run_ended: Condvar::new(), next_waiter: AtomicU64::new(1) }
    }

    /// Records an announcement; returns whether the row changed.
    pub(crate) fn announce(&self, announcement: &Announcement, now: Instant) -> bool {
        let mut inner = lock(&self.inner);
        let id: EndpointId = announcement.address.to_string().into();
        let at = match inner.endpoints.binary_search_by(|e| e.id.cmp(&id)) {
            Ok(at) => at,
            Err(at) => {
                inner.endpoints.insert(at, Endpoint::new(id, announcement, now));
                at
            }
        };
        let endpoint = &mut inner.endpoints[at];
        endpoint.last_announced = now;
        let row_edited = endpoint.slots != announcement.slots || endpoint.service != announcement.service;
        endpoint.slots = announcement.slots;
        endpoint.service = announcement.service.clone();
        endpoint.admission.set_slots(announcement.slots);
        endpoint.set_limit(announcement.limit, now);
        let event = match announcement.state {
            AnnouncedState::Starting => EndpointEvent::AnnouncedStarting,
            AnnouncedState::Serving => EndpointEvent::AnnouncedServing,
            AnnouncedState::Leaving => EndpointEvent::AnnouncedLeaving,
        };
        endpoint.handle(event, now) || row_edited
    }

    /// Updates the states that depend on time and removes endpoints that are gone; returns whether the row changed.
    pub(crate) fn tick(&self, now: Instant) -> bool {
        let mut inner = lock(&self.inner);
        let mut changed = false;
        for endpoint in &mut inner.endpoints {
            let timed_out = now.saturating_duration_since(endpoint.last_announced) >= ANNOUNCEMENT_TIMEOUT;
            changed |= timed_out && endpoint.handle(EndpointEvent::Silent, now);
            changed |= endpoint.health.tick(now);
        }
        let count = inner.endpoints.len();
        inner.endpoints.retain(|it| {
            let gone = it.health.state() == EndpointState::Gone && it.admission.running() == 0;
            !gone || now.saturating_duration_since(it.last_announced) < GONE_RETENTION
        });
        changed || count != inner.endpoints.len()
    }

    /// The endpoints as this daemon's row lists them.
    pub(crate) fn rows(&self) -> Vec<EndpointRow> {
        lock(&self.inner).endpoints.iter().map(Endpoint::row).collect()
    }

    /// The service of an endpoint, if the endpoint is listed.
    pub(crate) fn service_of(&self, endpoint: &str) -> Option<Box<str>> {
        let inner = lock(&self.inner);
        inner.find(endpoint).map(|at| inner.endpoints[at].service.clone())
    }

    /// The counts for the status page.
    pub(crate) fn count(&self) -> LedgerCounts {
        let inner = lock(&self.inner);
        LedgerCounts { ledger: inner.ledger.len(), running: inner.ledger.running() }
    }

    /// Runs a dispatch and adds the endpoint's load to the reply.
    pub(crate) fn execute(&self, client: &Client, dispatch: &Dispatch, hooks: &ExecutionHooks<'_>) -> DispatchReply {
        let outcome = self.run_dispatch(client, dispatch, hooks);
        let inner = lock(&self.inner);
        let admission = inner.find(&dispatch.endpoint).map(|at| &inner.endpoints[at].admission);
        let (load, min_importance) = admission.map_or((0, 0), |it| (it.load(), it.min_importance()));
        DispatchReply { outcome, load, min_importance }
    }

    /// Runs a dispatch. A ticketed one is looked up in the ledger first, so that it runs at most once.
    fn run_dispatch(&self, client: &Client, dispatch: &Dispatch, hooks: &ExecutionHooks<'_>) -> Outcome {
        if dispatch.guard_incarnation != self.incarnation {
            return Outcome::NotRun(Refusal::StaleDispatch);
        }
        let Some(ticket_attempt) = &dispatch.ticket_attempt else {
            return self.run_on_endpoint(client, dispatch, hooks);
        };
        match lock(&self.inner).ledger.start_dispatch(ticket_attempt) {
            DispatchDecision::Run => (),
            DispatchDecision::AlreadyRunning => return Outcome::Unknown(UnknownReason::StillRunning),
            DispatchDecision::Ended(outcome) => return outcome,
            DispatchDecision::Stale => return Outcome::NotRun(Refusal::StaleDispatch),
        }
        let outcome = self.run_on_endpoint(client, dispatch, hooks);
        lock(&self.inner).ledger.record_outcome(&ticket_attempt.ticket, outcome.clone());
        self.run_ended.notify_all();
        outcome
    }

    /// Waits for admission, sends the request to the endpoint and records the result as evidence about the endpoint.
    fn run_on_endpoint(&self, client: &Client, dispatch: &Dispatch, hooks: &ExecutionHooks<'_>) -> Outcome {
        let started = Instant::now();
        let deadline = started + Duration::from_millis(dispatch.budget_ms);
        if let Err(refusal) = self.admit(dispatch, deadline) {
            metrics::counter!("jayreach_guard_refusals_total").increment(1);
            return Outcome::NotRun(refusal);
        }
        let admitted = Instant::now();
        let left = deadline.saturating_duration_since(admitted);
        let (outcome, sample) = if left < MIN_BUDGET {
            (Outcome::NotRun(Refusal::TooLate), None)
        } else {
            endpoint::call(client, dispatch, left)
        };
        let now = Instant::now();
        let context = (hooks.ejection_context)(&dispatch.endpoint);
        if outcome == Outcome::Unknown(UnknownReason::EndpointSilent) {
            // The slot is released only after the cancellation, so that the endpoint doesn't run more requests
            // than it has slots.
            endpoint::cancel(client, dispatch);
        }
        if self.finish_request(&dispatch.endpoint, now - admitted, sample, context, now) {
            (hooks.row_changed)();
        }
        outcome
    }

    /// Waits until the request may run on its endpoint, or returns why it may not.
    fn admit(&self, dispatch: &Dispatch, deadline: Instant) -> Result<(), Refusal> {
        let id = self.next_waiter.fetch_add(1, Ordering::Relaxed);
        let request = AdmissionRequest { id, importance: dispatch.importance, deadline };
        let (tx, rx) = bounded(1);
        {
            let mut inner = lock(&self.inner);
            let at = inner.find(&dispatch.endpoint).ok_or(Refusal::EndpointLeaving)?;
            let endpoint = &mut inner.endpoints[at];
            if !endpoint.health.accepts_work() {
                return Err(Refusal::EndpointLeaving);
            }
            let (decision, evicted) = endpoint.admission.admit(request, Instant::now());
            endpoint.deliver_decision(evicted);
            match decision {
                AdmissionDecision::Admit => return Ok(()),
                AdmissionDecision::Refuse(refusal) => return Err(refusal),
                AdmissionDecision::Queue => endpoint.waiters.push((id, tx)),
            }
        }
        let received = self.wait_for_decision(&dispatch.endpoint, &rx, deadline);
        match received.unwrap_or_else(|| self.cancel_waiter(&dispatch.endpoint, id, &rx)) {
            AdmissionDecision::Admit => Ok(()),
            AdmissionDecision::Refuse(refusal) => Err(refusal),
            AdmissionDecision::Queue => unreachable!("a waiter is never queued again"),
        }
    }

    /// Waits for the decision on a waiter; `None` if it has not come by `deadline`. A free slot is given to a waiter
    /// when a request ends; when the endpoint's rate limit lets the next one start, the waiters find out by themselves.
    fn wait_for_decision(
        &self,
        endpoint: &str,
        rx: &crossbeam::channel::Receiver<AdmissionDecision>,
        deadline: Instant,
    ) -> Option<AdmissionDecision> {
        loop {
            let is_limited = {
                let inner = lock(&self.inner);
                inner.find(endpoint).is_some_and(|at| inner.endpoints[at].admission.limit().is_some())
            };
            let until = if is_limited { deadline.min(Instant::now() + LIMIT_CHECK_INTERVAL) } else { deadline };
            if let Ok(it) = rx.recv_deadline(until) {
                return Some(it);
            }
            if until == deadline {
                return None;
            }
            let mut inner = lock(&self.inner);
            let Some(at) = inner.find(endpoint) else { continue };
            let endpoint = &mut inner.endpoints[at];
            for decision in endpoint.admission.admit_waiters(Instant::now()) {
                endpoint.deliver_decision(Some(decision));
            }
        }
    }

    /// Removes a waiter whose deadline has passed; returns its decision if one was sent meanwhile.
    fn cancel_waiter(
        &self,
        endpoint: &str,
        id: WaiterId,
        rx: &crossbeam::channel::Receiver<AdmissionDecision>,
    ) -> AdmissionDecision {
        let mut inner = lock(&self.inner);
        let Some(at) = inner.find(endpoint) else { return AdmissionDecision::Refuse(Refusal::EndpointLeaving) };
        let endpoint = &mut inner.endpoints[at];
        if endpoint.admission.cancel(id) {
            endpoint.waiters.retain(|it| it.0 != id);
            return AdmissionDecision::Refuse(Refusal::TooLate);
        }
        rx.try_recv().unwrap_or(AdmissionDecision::Refuse(Refusal::TooLate))
    }

    /// Releases the slot and records the sample; returns whether the row has changed enough to be gossiped.
    fn finish_request(
        &self,
        endpoint: &str,
        took: Duration,
        sample: Option<Sample>,
        context: EjectionContext,
        now: Instant,
    ) -> bool {
        let mut inner = lock(&self.inner);
        let at = inner.find(endpoint).expect("an endpoint with a running request is kept");
        let endpoint = &mut inner.endpoints[at];
        let before = endpoint.row();
        for decision in endpoint.admission.release_slot(took, now) {
            endpoint.deliver_decision(Some(decision));
        }
        if let Some(sample) = sample {
            let state = endpoint.health.state();
            if endpoint.health.record_sample(sample, context.baseline, context.weighs, now) {
                log_change(&endpoint.id, state, endpoint.health.state());
            }
        }
        is_worth_gossip(&before, &endpoint.row())
    }

    /// Revokes an attempt, so that it can't run later. If it is running, waits up to `wait_ms` for its outcome.
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
            let waited = self.run_ended.wait_timeout(inner, left);
            inner = waited.unwrap_or_else(std::sync::PoisonError::into_inner).0;
        }
    }

    /// The state of a ticket by the ledger.
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
    fn new(id: EndpointId, announcement: &Announcement, now: Instant) -> Self {
        Self {
            id,
            service: announcement.service.clone(),
            slots: announcement.slots,
            last_announced: now,
            health: EndpointHealth::new(EjectionConfig::default(), now),
            admission: AdmissionController::new(announcement.slots),
            waiters: Vec::new(),
        }
    }

    fn row(&self) -> EndpointRow {
        EndpointRow {
            id: self.id.clone(),
            service: self.service.clone(),
            slots: self.slots,
            state: self.health.state(),
            failure_level: failure_level(self.health.failure_rate()),
        }
    }

    /// Sets the rate limit that the endpoint announced.
    fn set_limit(&mut self, limit: Option<RequestRate>, now: Instant) {
        let before = self.admission.limit();
        self.admission.set_limit(limit, now);
        if limit != before {
            let text = |it: Option<RequestRate>| it.map_or_else(|| "none".to_owned(), |it| f64::from(it).to_string());
            let (before, after) = (text(before), text(limit));
            log::info!(endpoint = &*self.id, before = &*before, after = &*after; "endpoint rate limit changed");
        }
    }

    /// Applies an event and refuses the waiters if the endpoint accepts no more requests; returns whether its state
    /// changed.
    fn handle(&mut self, event: EndpointEvent, now: Instant) -> bool {
        let before = self.health.state();
        let changed = self.health.handle(event, now);
        if changed {
            log_change(&self.id, before, self.health.state());
        }
        if !self.health.accepts_work() {
            for decision in self.admission.refuse_waiters(Refusal::EndpointLeaving) {
                self.deliver_decision(Some(decision));
            }
        }
        changed
    }

    /// Sends a waiter its decision.
    fn deliver_decision(&mut self, decision: Option<WaiterDecision>) {
        let Some(WaiterDecision { id, decision }) = decision else { return };
        let at = self.waiters.iter().position(|it| it.0 == id).expect("each waiter has a channel");
        let (_, tx) = self.waiters.swap_remove(at);
        tx.send(decision).expect("a waiter keeps its receiver until it is removed");
    }
}

fn log_change(id: &str, before: EndpointState, after: EndpointState) {
    let (before, after) = (format!("{before:?}"), format!("{after:?}"));
    log::info!(endpoint = id, before = before.as_str(), after = after.as_str(); "endpoint state changed");
    metrics::counter!("jayreach_endpoint_changes_total", "to" => after).increment(1);
}

/// Whether a row changed enough to be gossiped: another state, or a failure level that differs by 2 or more.
fn is_worth_gossip(before: &EndpointRow, after: &EndpointRow) -> bool {
    before.state != after.state || before.failure_level.abs_diff(after.failure_level) >= 2
}

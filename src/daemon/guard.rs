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
use ureq::http::Request;

use crate::{
    daemon::client::{Client, Connection, Reply},
    decide::{Admission, Arrival, Event, Gate, Release, Sample, Standing, Tuning, WaiterId, failure_level},
    rows::{EndpointId, EndpointRow, EndpointState, Incarnation},
    targets::Weighs,
    ticket::{Ledger, Opening, Silence},
    util::lock,
    wire::{
        Answer, Dispatch, DispatchReply, Doubt, Header, Outcome, Refusal, Revoke, RevokeReply, Ticket, TicketStatus,
        Work,
    },
};

/// After so long a silence an endpoint gets no new work (issue 3, towards endpoints).
const SILENCE: Duration = Duration::from_secs(3);
/// How long the row of an endpoint that is gone is kept.
const FORGET_GONE: Duration = Duration::from_secs(30);
/// With less than this left, work is not sent any more.
const LEAST_BUDGET: Duration = Duration::from_millis(1);
/// How long telling an endpoint that a request is cancelled may take.
const CANCEL_TIMEOUT: Duration = Duration::from_millis(200);
/// The header by which an endpoint says that it shed a request without running it.
const OUTCOME_HEADER: &str = "jayreach-outcome";

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

struct Endpoint {
    id: EndpointId,
    service: Box<str>,
    slots: u16,
    last_heard: Instant,
    standing: Standing,
    gate: Gate,
    waiters: Vec<(WaiterId, Sender<Admission>)>,
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
        endpoint.gate.resize(it.slots);
        let event = match it.state {
            AnnouncedState::Starting => Event::AnnouncedStarting,
            AnnouncedState::Serving => Event::AnnouncedServing,
            AnnouncedState::Leaving => Event::AnnouncedLeaving,
        };
        endpoint.on(event, now) || resized
    }

    /// Lets time pass; returns whether the row changed.
    pub(crate) fn tick(&self, now: Instant) -> bool {
        let mut inner = lock(&self.inner);
        let mut changed = false;
        for endpoint in &mut inner.endpoints {
            let silent = now.saturating_duration_since(endpoint.last_heard) >= SILENCE;
            changed |= silent && endpoint.on(Event::Silent, now);
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

    /// Runs a dispatch; `changed` is called if the endpoint's row has to be told anew.
    pub(crate) fn execute(
        &self,
        client: &Client,
        dispatch: &Dispatch,
        measure: impl Fn(&str) -> Measure,
        changed: impl Fn(),
    ) -> DispatchReply {
        let outcome = self.run(client, dispatch, measure, changed);
        let inner = lock(&self.inner);
        let gate = inner.find(&dispatch.endpoint).map(|at| &inner.endpoints[at].gate);
        let (load, admits) = gate.map_or((0, 0), |it| (it.load(), it.admits()));
        DispatchReply { outcome, load, admits }
    }

    fn run(
        &self,
        client: &Client,
        dispatch: &Dispatch,
        measure: impl Fn(&str) -> Measure,
        changed: impl Fn(),
    ) -> Outcome {
        if dispatch.guard_incarnation != self.incarnation {
            return Outcome::NotRun(Refusal::StaleDispatch);
        }
        let Some(leg) = &dispatch.leg else {
            return self.run_once(client, dispatch, measure, changed);
        };
        match lock(&self.inner).ledger.open(leg) {
            Opening::Run => (),
            Opening::Running => return Outcome::Unknown(Doubt::StillRunning),
            Opening::Ended(outcome) => return outcome,
            Opening::Stale => return Outcome::NotRun(Refusal::StaleDispatch),
        }
        let outcome = self.run_once(client, dispatch, measure, changed);
        lock(&self.inner).ledger.finish(&leg.ticket, outcome.clone());
        self.ended.notify_all();
        outcome
    }

    /// Admits the work, passes it to the endpoint and takes the evidence.
    fn run_once(
        &self,
        client: &Client,
        dispatch: &Dispatch,
        measure: impl Fn(&str) -> Measure,
        changed: impl Fn(),
    ) -> Outcome {
        let started = Instant::now();
        let deadline = started + Duration::from_millis(dispatch.budget_ms);
        if let Err(refusal) = self.admit(dispatch, deadline) {
            metrics::counter!("jayreach_guard_refusals_total").increment(1);
            return Outcome::NotRun(refusal);
        }
        let admitted = Instant::now();
        let left = deadline.saturating_duration_since(admitted);
        let called =
            if left < LEAST_BUDGET { Called::NotSent(Refusal::TooLate) } else { call_endpoint(client, dispatch, left) };
        let now = Instant::now();
        let (outcome, sample) = judge(called);
        let measure = measure(&dispatch.endpoint);
        if outcome == Outcome::Unknown(Doubt::EndpointSilent) {
            // The endpoint's slot stays in use until the cancellation has reached it.
            cancel(client, dispatch);
        }
        if self.leave(&dispatch.endpoint, now - admitted, sample, measure, now) {
            changed();
        }
        outcome
    }

    fn admit(&self, dispatch: &Dispatch, deadline: Instant) -> Result<(), Refusal> {
        let id = self.next_waiter.fetch_add(1, Ordering::Relaxed);
        let arrival = Arrival { id, importance: dispatch.importance, deadline };
        let (tx, rx) = bounded(1);
        {
            let mut inner = lock(&self.inner);
            let at = inner.find(&dispatch.endpoint).ok_or(Refusal::EndpointLeaving)?;
            let endpoint = &mut inner.endpoints[at];
            if !endpoint.standing.admits() {
                return Err(Refusal::EndpointLeaving);
            }
            let (admission, evicted) = endpoint.gate.arrive(arrival, Instant::now());
            endpoint.release(evicted);
            match admission {
                Admission::Run => return Ok(()),
                Admission::Refuse(refusal) => return Err(refusal),
                Admission::Wait => endpoint.waiters.push((id, tx)),
            }
        }
        let decided = rx.recv_deadline(deadline).ok();
        match decided.unwrap_or_else(|| self.give_up(&dispatch.endpoint, id, &rx)) {
            Admission::Run => Ok(()),
            Admission::Refuse(refusal) => Err(refusal),
            Admission::Wait => unreachable!("a release never says wait"),
        }
    }

    /// The deadline came first, unless the decision was under way.
    fn give_up(&self, endpoint: &str, id: WaiterId, rx: &crossbeam::channel::Receiver<Admission>) -> Admission {
        let mut inner = lock(&self.inner);
        let Some(at) = inner.find(endpoint) else { return Admission::Refuse(Refusal::EndpointLeaving) };
        let endpoint = &mut inner.endpoints[at];
        if endpoint.gate.give_up(id) {
            endpoint.waiters.retain(|it| it.0 != id);
            return Admission::Refuse(Refusal::TooLate);
        }
        rx.try_recv().unwrap_or(Admission::Refuse(Refusal::TooLate))
    }

    /// Frees the slot and takes the evidence; returns whether the row changed.
    fn leave(&self, endpoint: &str, took: Duration, sample: Option<Sample>, measure: Measure, now: Instant) -> bool {
        let mut inner = lock(&self.inner);
        let at = inner.find(endpoint).expect("an endpoint stays while work is running there");
        let endpoint = &mut inner.endpoints[at];
        let before = endpoint.row();
        for release in endpoint.gate.leave(took, now) {
            endpoint.release(Some(release));
        }
        if let Some(sample) = sample {
            let state = endpoint.standing.state();
            if endpoint.standing.sample(sample, measure.baseline, measure.weighs, now) {
                log_change(&endpoint.id, state, endpoint.standing.state());
            }
        }
        tells_more(&before, &endpoint.row())
    }

    /// Makes sure an attempt will not run, waiting a while for one that is running.
    pub(crate) fn revoke(&self, revoke: &Revoke) -> RevokeReply {
        if revoke.guard_incarnation != self.incarnation {
            return RevokeReply::NoMemory;
        }
        let deadline = Instant::now() + Duration::from_millis(revoke.wait_ms);
        let mut inner = lock(&self.inner);
        loop {
            let reply = inner.ledger.revoke(&revoke.leg);
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
            standing: Standing::new(Tuning::default(), now),
            gate: Gate::new(it.slots),
            waiters: Vec::new(),
        }
    }

    fn row(&self) -> EndpointRow {
        EndpointRow {
            id: self.id.clone(),
            service: self.service.clone(),
            slots: self.slots,
            state: self.standing.state(),
            failures: failure_level(self.standing.rate()),
            admits: self.gate.admits(),
        }
    }

    fn on(&mut self, event: Event, now: Instant) -> bool {
        let before = self.standing.state();
        let changed = self.standing.on(event, now);
        if changed {
            log_change(&self.id, before, self.standing.state());
        }
        if !self.standing.admits() {
            for release in self.gate.refuse_all(Refusal::EndpointLeaving) {
                self.release(Some(release));
            }
        }
        changed
    }

    /// Tells a waiter what became of it.
    fn release(&mut self, release: Option<Release>) {
        let Some(Release { id, admission }) = release else { return };
        let at = self.waiters.iter().position(|it| it.0 == id).expect("each waiter has a channel");
        let (_, tx) = self.waiters.swap_remove(at);
        tx.send(admission).expect("a waiter takes itself out before it goes");
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

enum Called {
    Answered(Reply),
    Silent(Silence),
    NotSent(Refusal),
}

fn call_endpoint(client: &Client, dispatch: &Dispatch, left: Duration) -> Called {
    let Some(req) = request(dispatch, left) else {
        return Called::NotSent(Refusal::BadRequest);
    };
    let connection = if dispatch.retry || dispatch.leg.is_some() { Connection::Fresh } else { Connection::Kept };
    match client.call(req, connection, left) {
        Ok(reply) => Called::Answered(reply),
        Err(silence) => Called::Silent(silence),
    }
}

fn request(dispatch: &Dispatch, left: Duration) -> Option<Request<Vec<u8>>> {
    let Work { method, target, headers, body } = &dispatch.work;
    let mut req = Request::builder().method(&**method).uri(format!("http://{}{target}", dispatch.endpoint));
    for Header { name, value } in headers {
        req = req.header(&**name, &**value);
    }
    req.header("Jayreach-Request-Id", &*dispatch.request_id)
        .header("Jayreach-Deadline-Ms", left.as_millis() as u64)
        .body(body.clone())
        .ok()
}

/// What an endpoint's answer or silence means to the caller, and what it says of the endpoint.
fn judge(called: Called) -> (Outcome, Option<Sample>) {
    match called {
        Called::NotSent(refusal) => (Outcome::NotRun(refusal), None),
        Called::Answered(reply) if shed(&reply) => (Outcome::NotRun(Refusal::EndpointShed), None),
        Called::Answered(reply) => {
            let sample = if reply.status >= 500 { Sample::Bad } else { Sample::Good };
            let Reply { status, headers, body } = reply;
            (Outcome::Done(Answer { status, headers, body }), Some(sample))
        }
        Called::Silent(Silence::NoLocalPort) => (Outcome::NotRun(Refusal::Overloaded), None),
        Called::Silent(Silence::Refused) => (Outcome::NotRun(Refusal::EndpointUnreachable), Some(Sample::Bad)),
        Called::Silent(Silence::Lost) => (Outcome::Unknown(Doubt::EndpointSilent), Some(Sample::Bad)),
    }
}

fn shed(reply: &Reply) -> bool {
    let says = |it: &Header| it.name.eq_ignore_ascii_case(OUTCOME_HEADER) && &*it.value == "not-run";
    reply.status == 503 && reply.headers.iter().any(says)
}

/// Tells the endpoint that nobody waits any more; its connection was closed before.
fn cancel(client: &Client, dispatch: &Dispatch) {
    let uri = format!("http://{}/.jayreach/requests/{}", dispatch.endpoint, dispatch.request_id);
    let Ok(req) = Request::builder().method("DELETE").uri(uri).body(Vec::new()) else { return };
    if client.call(req, Connection::Fresh, CANCEL_TIMEOUT).is_err() {
        metrics::counter!("jayreach_cancellations_lost_total").increment(1);
    }
}

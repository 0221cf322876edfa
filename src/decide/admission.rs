//! Admission control for one endpoint: a request takes a free slot, waits in a bounded queue ordered by
//! importance and deadline, or is refused. This keeps an endpoint from running more than its slots.

use std::time::{Duration, Instant};

use super::rate_limit::{EndpointLimit, LimitStatement, RequestRate};
use crate::{targets::Importance, wire::Refusal};

/// Identifies a request in the queue of one [`AdmissionController`].
pub type WaiterId = u64;

/// Queue capacity for each slot of the endpoint.
const QUEUE_PER_SLOT: usize = 4;
/// Smoothing factor of the running means of service times.
const SMOOTHING_FACTOR: f64 = 0.1;
/// Mean absolute deviations above the mean that cover nearly all service times.
const DEVIATIONS: f64 = 2.5;

/// A request that needs a slot of the endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AdmissionRequest {
    /// Identifies the request if it has to wait.
    pub id: WaiterId,
    /// Requests of higher importance run first.
    pub importance: Importance,
    /// The time by which its answer is due.
    pub deadline: Instant,
}

/// The result of admission control for one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// The request holds a slot and may run.
    Admit,
    /// The request waits; a later [`WaiterDecision`] admits or refuses it.
    Queue,
    /// The request is refused and has not run.
    Refuse(Refusal),
}

/// The decision on a request that was waiting.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WaiterDecision {
    /// The request that no longer waits.
    pub id: WaiterId,
    /// `Admit` or `Refuse`, never `Queue`.
    pub decision: AdmissionDecision,
}

/// Slots and waiting queue of one endpoint.
#[derive(Debug, Clone)]
pub struct AdmissionController {
    slots: u16,
    /// Slots in use. It exceeds `slots` only after `slots` was lowered.
    running: u16,
    /// In the order in which the requests will run, at most [`Self::queue_limit`] long.
    queue: Vec<AdmissionRequest>,
    /// Running mean of service times in seconds; zero before the first.
    mean: f64,
    /// Running mean of the absolute deviation of service times from `mean`, in seconds.
    deviation: f64,
    /// Bounds how many requests start, as the slots bound how many run.
    limit: EndpointLimit,
}

impl AdmissionController {
    /// Creates the controller of an idle endpoint with `slots` slots.
    pub fn new(slots: u16) -> Self {
        Self { slots, running: 0, queue: Vec::new(), mean: 0.0, deviation: 0.0, limit: EndpointLimit::default() }
    }

    /// Changes the number of slots; running requests keep theirs.
    pub fn set_slots(&mut self, slots: u16) {
        self.slots = slots;
    }

    /// The rate limit in force.
    pub fn limit(&self) -> Option<RequestRate> {
        self.limit.rate()
    }

    /// Changes the rate limit; `None` for no limit.
    pub fn set_limit(&mut self, limit: Option<RequestRate>, now: Instant) {
        self.limit.record_answer(limit.map_or(LimitStatement::None, LimitStatement::Limit), now, now);
    }

    /// Number of running and queued requests.
    pub fn load(&self) -> u32 {
        u32::from(self.running) + self.queue.len() as u32
    }

    /// Number of slots in use.
    pub fn running(&self) -> u16 {
        self.running
    }

    /// The lowest importance that a full queue would not refuse; 0 while the queue has room.
    pub fn min_importance(&self) -> Importance {
        if self.queue.len() < self.queue_limit() {
            return 0;
        }
        self.queue.last().map_or(0, |it| it.importance.saturating_add(1))
    }

    /// Admits, queues or refuses a request. Also returns the refusal of the waiter that it evicted, if any.
    pub fn admit(&mut self, req: AdmissionRequest, now: Instant) -> (AdmissionDecision, Option<WaiterDecision>) {
        if self.running < self.slots && self.queue.is_empty() && self.limit.allows(now) {
            self.running += 1;
            self.limit.record_start(now);
            return (AdmissionDecision::Admit, None);
        }
        let at = self.queue.partition_point(|it| !runs_before(&req, it));
        if now + self.expected_time(at, now) > req.deadline {
            return (AdmissionDecision::Refuse(Refusal::TooLate), None);
        }
        if at >= self.queue_limit() {
            return (AdmissionDecision::Refuse(Refusal::Overloaded), None);
        }
        self.queue.insert(at, req);
        let evicted = (self.queue.len() > self.queue_limit()).then(|| self.queue.pop()).flatten();
        let eviction =
            evicted.map(|it| WaiterDecision { id: it.id, decision: AdmissionDecision::Refuse(Refusal::Overloaded) });
        (AdmissionDecision::Queue, eviction)
    }

    /// Frees the slot of a request that ran for `took`, and decides on the waiters that can run now.
    ///
    /// # Panics
    ///
    /// If no slot is in use.
    pub fn release_slot(&mut self, took: Duration, now: Instant) -> Vec<WaiterDecision> {
        assert!(self.running > 0, "a slot was released that is not in use");
        self.running -= 1;
        self.record_service_time(took);
        self.admit_waiters(now)
    }

    /// Removes a waiter from the queue. Returns false if it has been admitted or refused already.
    pub fn cancel(&mut self, id: WaiterId) -> bool {
        let at = self.queue.iter().position(|it| it.id == id);
        at.map(|at| self.queue.remove(at)).is_some()
    }

    /// Empties the queue and refuses every waiter with `refusal`.
    pub fn refuse_waiters(&mut self, refusal: Refusal) -> Vec<WaiterDecision> {
        let waiters = self.queue.drain(..);
        waiters.map(|it| WaiterDecision { id: it.id, decision: AdmissionDecision::Refuse(refusal) }).collect()
    }

    /// Gives free slots to waiters in queue order, and refuses those that would miss their deadline.
    pub fn admit_waiters(&mut self, now: Instant) -> Vec<WaiterDecision> {
        let mut decisions = Vec::new();
        while self.running < self.slots && !self.queue.is_empty() && self.limit.allows(now) {
            let first = self.queue.remove(0);
            let in_time = now + self.service_time_bound() <= first.deadline;
            let decision = if in_time { AdmissionDecision::Admit } else { AdmissionDecision::Refuse(Refusal::TooLate) };
            if in_time {
                self.running += 1;
                self.limit.record_start(now);
            }
            decisions.push(WaiterDecision { id: first.id, decision });
        }
        decisions
    }

    /// Expected time until a request at queue index `at` is answered: its wait and its service time.
    fn expected_time(&self, at: usize, now: Instant) -> Duration {
        let rounds = (at + 1) as f64 / f64::from(self.slots.max(1));
        let wait = Duration::from_secs_f64(rounds * self.mean).max(self.limit.delay(at + 1, now));
        wait + self.service_time_bound()
    }

    /// Upper bound of nearly all service times.
    fn service_time_bound(&self) -> Duration {
        Duration::from_secs_f64(self.mean + DEVIATIONS * self.deviation)
    }

    fn queue_limit(&self) -> usize {
        usize::from(self.slots) * QUEUE_PER_SLOT
    }

    fn record_service_time(&mut self, took: Duration) {
        let took = took.as_secs_f64();
        if self.mean == 0.0 {
            self.mean = took;
            return;
        }
        self.deviation += ((took - self.mean).abs() - self.deviation) * SMOOTHING_FACTOR;
        self.mean += (took - self.mean) * SMOOTHING_FACTOR;
    }
}

/// Orders by importance, highest first, then by deadline, earliest first.
fn runs_before(a: &AdmissionRequest, b: &AdmissionRequest) -> bool {
    (b.importance, a.deadline) < (a.importance, b.deadline)
}

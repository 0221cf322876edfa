//! Admission to one endpoint: its slots, then a short queue by importance and deadline.
//!
//! The gate is at the guard, which sees all of the endpoint's work, so its count of slots in use
//! is the truth (docs/DESIGN.md, admission).

use std::time::{Duration, Instant};

use crate::{targets::Importance, wire::Refusal};

/// Names a waiter of a gate.
pub type WaiterId = u64;

/// How many waiters a gate holds for each of its slots.
const QUEUE_PER_SLOT: usize = 4;
/// The share of a new service time in the running mean.
const MEAN_SHARE: f64 = 0.1;
/// By how many mean distances nearly all service times exceed their mean.
const SPREADS: f64 = 2.5;

/// Work that asks to be admitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AdmissionRequest {
    /// Names it.
    pub id: WaiterId,
    /// How much it matters.
    pub importance: Importance,
    /// When its answer is due.
    pub deadline: Instant,
}

/// What becomes of an arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// It has a slot.
    Admit,
    /// It waits; a [`Release`] will name it.
    Queue,
    /// It is refused and has not run.
    Refuse(Refusal),
}

/// What becomes of a waiter.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WaiterDecision {
    /// Which waiter.
    pub id: WaiterId,
    /// `Admit` or `Refuse`.
    pub decision: AdmissionDecision,
}

/// The gate of one endpoint.
#[derive(Debug, Clone)]
pub struct AdmissionController {
    slots: u16,
    /// Never above the slots the endpoint had when the work was admitted.
    running: u16,
    /// Sorted: the first to run comes first. Never longer than the slots allow.
    queue: Vec<AdmissionRequest>,
    /// The running mean of service times, in seconds; zero before the first.
    mean: f64,
    /// The running mean of their distance from it, in seconds.
    spread: f64,
}

impl AdmissionController {
    /// A gate before an endpoint with `slots`.
    pub fn new(slots: u16) -> Self {
        Self { slots, running: 0, queue: Vec::new(), mean: 0.0, spread: 0.0 }
    }

    /// Takes a new number of slots.
    pub fn set_slots(&mut self, slots: u16) {
        self.slots = slots;
    }

    /// Slots in use and work queued.
    pub fn load(&self) -> u32 {
        u32::from(self.running) + self.queue.len() as u32
    }

    /// Slots in use.
    pub fn running(&self) -> u16 {
        self.running
    }

    /// The lowest importance that would not be refused for the queue being full.
    pub fn min_importance(&self) -> Importance {
        if self.queue.len() < self.queue_limit() {
            return 0;
        }
        self.queue.last().map_or(0, |it| it.importance.saturating_add(1))
    }

    /// Admits, queues or refuses work; also names the waiter whose place it took.
    pub fn admit(&mut self, arrival: AdmissionRequest, now: Instant) -> (AdmissionDecision, Option<WaiterDecision>) {
        if self.running < self.slots && self.queue.is_empty() {
            self.running += 1;
            return (AdmissionDecision::Admit, None);
        }
        let at = self.queue.partition_point(|it| !runs_before(&arrival, it));
        if now + self.expected(at) > arrival.deadline {
            return (AdmissionDecision::Refuse(Refusal::TooLate), None);
        }
        if at >= self.queue_limit() {
            return (AdmissionDecision::Refuse(Refusal::Overloaded), None);
        }
        self.queue.insert(at, arrival);
        let evicted = (self.queue.len() > self.queue_limit()).then(|| self.queue.pop()).flatten();
        let release =
            evicted.map(|it| WaiterDecision { id: it.id, decision: AdmissionDecision::Refuse(Refusal::Overloaded) });
        (AdmissionDecision::Queue, release)
    }

    /// Frees a slot after work that took `took`, and names the waiters that are decided by it.
    pub fn release_slot(&mut self, took: Duration, now: Instant) -> Vec<WaiterDecision> {
        assert!(self.running > 0, "only work that was admitted leaves");
        self.running -= 1;
        self.learn(took);
        self.admit_waiters(now)
    }

    /// Takes a waiter out that gave up; false if it has been decided already.
    pub fn cancel(&mut self, id: WaiterId) -> bool {
        let at = self.queue.iter().position(|it| it.id == id);
        at.map(|at| self.queue.remove(at)).is_some()
    }

    /// Refuses all waiters, because the endpoint takes no new work.
    pub fn refuse_waiters(&mut self, refusal: Refusal) -> Vec<WaiterDecision> {
        let waiters = self.queue.drain(..);
        waiters.map(|it| WaiterDecision { id: it.id, decision: AdmissionDecision::Refuse(refusal) }).collect()
    }

    /// Gives free slots to waiters; those that can't be in time are refused at once.
    pub fn admit_waiters(&mut self, now: Instant) -> Vec<WaiterDecision> {
        let mut releases = Vec::new();
        while self.running < self.slots && !self.queue.is_empty() {
            let first = self.queue.remove(0);
            let in_time = now + self.own_run() <= first.deadline;
            let decision = if in_time { AdmissionDecision::Admit } else { AdmissionDecision::Refuse(Refusal::TooLate) };
            self.running += u16::from(in_time);
            releases.push(WaiterDecision { id: first.id, decision });
        }
        releases
    }

    /// How long work at place `at` of the queue is expected to take, with its own run.
    fn expected(&self, at: usize) -> Duration {
        let rounds = (at + 1) as f64 / f64::from(self.slots.max(1));
        Duration::from_secs_f64(rounds * self.mean) + self.own_run()
    }

    /// How long nearly all work takes once it runs.
    fn own_run(&self) -> Duration {
        Duration::from_secs_f64(self.mean + SPREADS * self.spread)
    }

    fn queue_limit(&self) -> usize {
        usize::from(self.slots) * QUEUE_PER_SLOT
    }

    fn learn(&mut self, took: Duration) {
        let took = took.as_secs_f64();
        if self.mean == 0.0 {
            self.mean = took;
            return;
        }
        self.spread += ((took - self.mean).abs() - self.spread) * MEAN_SHARE;
        self.mean += (took - self.mean) * MEAN_SHARE;
    }
}

fn runs_before(a: &AdmissionRequest, b: &AdmissionRequest) -> bool {
    (b.importance, a.deadline) < (a.importance, b.deadline)
}

//! The order in which waiting work is begun at an endpoint.
//!
//! Load pattern: sustained overload, in which work of all ranks waits for few slots. Refusing a call
//! of running work wastes its parent's work too, so calls go first; then ranks, strictly; within a
//! rank what can still be in time, oldest first, and only then what is late already: a queue in
//! order of arrival lets all of a class become late together. Where a more urgent class alone fills every
//! slot, the others still get a small part, so that none starves for as long as that lasts.

use std::time::Instant;

use super::{fingerprint::Fingerprint, guard_retry_budget::Retry, suspicion::EndpointStanding};

/// So many places go to the more urgent while others wait; then one goes to those. A ninth of the places costs
/// the urgent class little, and lies above the quarter of the average share at which users call a class starved
/// while under half of all is served.
const URGENT_IN_A_ROW: u32 = 8;

/// Names a waiter at its queue.
pub type WaiterId = u64;

/// Work that waits.
#[derive(Debug, Clone, PartialEq)]
pub struct Waiter {
    /// Which.
    pub id: WaiterId,
    /// Whether running work waits for it.
    pub is_nested_call: bool,
    /// The rank of its class, or of the work that made it; 0 goes first.
    pub rank: u32,
    /// Whether it may run again.
    pub idempotent: bool,
    /// Whether a suspect endpoint may be tried with it.
    pub may_be_trial: bool,
    /// Up to this standing an endpoint is good enough for it.
    pub accepts: EndpointStanding,
    /// When it came.
    pub arrived: Instant,
    /// After this it can't be in time.
    pub latest_start: Instant,
    /// Whether it needs an allowance for repeats.
    pub is_retry: bool,
    /// How much of it counts as a repeat, 0 to 1.
    pub repeat_share: f64,
    /// Its class.
    pub route: Box<str>,
    /// What the request asks for.
    pub fingerprint: Fingerprint,
    /// It is the trial of a request that is held back.
    pub is_quarantine_trial: bool,
}

impl Waiter {
    /// It, as the allowance for repeats sees it.
    pub fn retry(&self) -> Retry {
        Retry { rank: self.rank, is_nested_call: self.is_nested_call }
    }
}

/// The work that waits for one endpoint.
#[derive(Debug, Clone, Default)]
pub struct WaitQueue {
    /// In the order of arrival.
    waiters: Vec<Waiter>,
    /// Places given while less urgent work waited, since such work got one; at most `URGENT_IN_A_ROW`.
    passed_over: u32,
}

impl WaitQueue {
    /// How many wait.
    pub fn len(&self) -> usize {
        self.waiters.len()
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.waiters.is_empty()
    }

    /// Adds a waiter.
    pub fn push(&mut self, waiter: Waiter) {
        self.waiters.push(waiter);
    }

    /// Takes a waiter out that no longer waits.
    pub fn remove(&mut self, id: WaiterId) -> Option<Waiter> {
        let at = self.waiters.iter().position(|it| it.id == id)?;
        Some(self.waiters.remove(at))
    }

    /// Takes out the next to begin, of those that `admits` lets through.
    pub fn next(&mut self, now: Instant, admits: impl Fn(&Waiter) -> bool) -> Option<Waiter> {
        let first = |fits: &dyn Fn(&Waiter) -> bool| {
            let fitting = self.waiters.iter().enumerate().filter(|(_, it)| admits(it) && fits(it));
            fitting.min_by_key(|(_, it)| order(it, now)).map(|(at, _)| at)
        };
        let best = first(&|_| true)?;
        let Waiter { is_nested_call, rank, .. } = self.waiters[best];
        let passed_over =
            first(&|it| !is_nested_call && !it.is_nested_call && it.rank > rank && it.latest_start >= now);
        let at = match passed_over {
            Some(it) if self.passed_over >= URGENT_IN_A_ROW => it,
            Some(_) | None => best,
        };
        if passed_over.is_some() {
            self.passed_over = if at == best { self.passed_over + 1 } else { 0 };
        }
        Some(self.waiters.remove(at))
    }

    /// Takes out one that `fits`, if there is any.
    pub fn remove_first(&mut self, fits: impl Fn(&Waiter) -> bool) -> Option<Waiter> {
        let at = self.waiters.iter().position(fits)?;
        Some(self.waiters.remove(at))
    }
}

/// The lower goes first.
fn order(waiter: &Waiter, now: Instant) -> (bool, u32, bool, Instant) {
    (!waiter.is_nested_call, waiter.rank, waiter.latest_start < now, waiter.arrived)
}

//! The order in which waiting work is begun at an endpoint.
//!
//! Load pattern: sustained overload, in which work of all ranks waits for few slots. Refusing a call
//! of running work wastes its parent's work too, so calls go first; then ranks, strictly; within a
//! rank what can still be in time, oldest first, and only then what is late already: a queue in
//! order of arrival lets all of a class become late together.

use std::time::Instant;

use super::suspicion::Standing;

/// Names a waiter at its queue.
pub type WaiterId = u64;

/// Work that waits.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Waiter {
    /// Which.
    pub id: WaiterId,
    /// Whether running work waits for it.
    pub call: bool,
    /// The rank of its class; 0 goes first.
    pub rank: u32,
    /// Whether it may run again.
    pub idempotent: bool,
    /// Whether a suspect endpoint may be tried with it.
    pub trial: bool,
    /// Up to this standing an endpoint is good enough for it.
    pub accepts: Standing,
    /// When it came.
    pub arrived: Instant,
    /// After this it can't be in time.
    pub useful_until: Instant,
    /// Whether it needs an allowance for repeats.
    pub needs_allowance: bool,
    /// Whether it counts as a repeat.
    pub repeat: bool,
    /// Its class.
    pub route: Box<str>,
}

/// The work that waits for one endpoint.
#[derive(Debug, Clone, Default)]
pub struct WaitQueue {
    /// In the order of arrival.
    waiters: Vec<Waiter>,
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

    /// Takes all out.
    pub fn drain(&mut self) -> Vec<Waiter> {
        std::mem::take(&mut self.waiters)
    }

    /// How many of those that wait would go before `waiter`.
    pub fn ahead(&self, waiter: &Waiter, now: Instant) -> usize {
        self.waiters.iter().filter(|it| order(it, now) <= order(waiter, now)).count()
    }

    /// Takes out the first that `admits` lets through.
    pub fn next(&mut self, now: Instant, admits: impl Fn(&Waiter) -> bool) -> Option<Waiter> {
        let admitted = self.waiters.iter().enumerate().filter(|(_, it)| admits(it));
        let (at, _) = admitted.min_by_key(|(_, it)| order(it, now))?;
        Some(self.waiters.remove(at))
    }
}

/// The lower goes first.
fn order(waiter: &Waiter, now: Instant) -> (bool, u32, bool, Instant) {
    (!waiter.call, waiter.rank, waiter.useful_until < now, waiter.arrived)
}

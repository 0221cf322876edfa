//! Decides which waiting request an endpoint starts next: nested calls first, then by rank, then those that can still
//! be in time, oldest first. A first-come queue would make all requests late together under overload. A small share
//! of the slots goes to less urgent requests, so that none starves.

use std::time::{Duration, Instant};

use super::{fingerprint::Fingerprint, guard_retry_budget::Retry, suspicion::EndpointStanding};

/// Slots given in a row to the most urgent requests while less urgent ones wait; the next slot goes to one of these. A
/// ninth of the slots costs the urgent class little.
const URGENT_IN_A_ROW: u32 = 8;

/// Identifies a waiter in its queue.
pub type WaiterId = u64;

/// A request that waits for a slot.
#[derive(Debug, Clone, PartialEq)]
pub struct Waiter {
    /// Identifies the waiter.
    pub id: WaiterId,
    /// Whether a running request waits for this one.
    pub is_nested_call: bool,
    /// The rank of its class, or of the request that made this call; 0 goes first.
    pub rank: u32,
    /// Whether it may be executed more than once.
    pub idempotent: bool,
    /// Whether it may be used as a trial of a suspect endpoint.
    pub allows_endpoint_trial: bool,
    /// The worst standing of an endpoint that may run it, unless it is a trial.
    pub worst_standing: EndpointStanding,
    /// When it arrived at the guard.
    pub arrived: Instant,
    /// A request that starts after this is expected to be late.
    pub latest_start: Instant,
    /// Whether it spends the guard's retry budget.
    pub is_retry: bool,
    /// The fraction of it that counts as a retry, 0 to 1.
    pub retry_share: f64,
    /// Its class.
    pub route: Box<str>,
    /// The fingerprint by which a quarantine applies to it.
    pub fingerprint: Fingerprint,
    /// Whether it is the trial run of a quarantined request.
    pub is_quarantine_trial: bool,
}

impl Waiter {
    /// What the retry budget considers of this request if it is a retry.
    pub fn retry(&self) -> Retry {
        Retry { rank: self.rank, is_nested_call: self.is_nested_call }
    }
}

/// The requests that wait for one endpoint.
#[derive(Debug, Clone, Default)]
pub struct WaitQueue {
    /// In order of arrival.
    waiters: Vec<Waiter>,
    /// Slots given to more urgent requests since a less urgent one got its turn; at most [`URGENT_IN_A_ROW`].
    urgent_in_a_row: u32,
}

impl WaitQueue {
    /// Number of waiters.
    pub fn len(&self) -> usize {
        self.waiters.len()
    }

    /// Whether there is no waiter.
    pub fn is_empty(&self) -> bool {
        self.waiters.is_empty()
    }

    /// Adds a waiter at the end.
    pub fn push(&mut self, waiter: Waiter) {
        self.waiters.push(waiter);
    }

    /// Removes the waiter `id`; `None` if it doesn't wait here.
    pub fn remove(&mut self, id: WaiterId) -> Option<Waiter> {
        let at = self.waiters.iter().position(|it| it.id == id)?;
        Some(self.waiters.remove(at))
    }

    /// Removes and returns the request to start next, among those for which `admits` returns true.
    pub fn next(&mut self, now: Instant, admits: impl Fn(&Waiter) -> bool) -> Option<Waiter> {
        let first = |matches: &dyn Fn(&Waiter) -> bool| {
            let matching = self.waiters.iter().enumerate().filter(|(_, it)| admits(it) && matches(it));
            matching.min_by_key(|(_, it)| start_order(it, now)).map(|(at, _)| at)
        };
        let most_urgent = first(&|_| true)?;
        let Waiter { is_nested_call, rank, .. } = self.waiters[most_urgent];
        let less_urgent =
            first(&|it| !is_nested_call && !it.is_nested_call && it.rank > rank && it.latest_start >= now);
        let at = match less_urgent {
            Some(it) if self.urgent_in_a_row >= URGENT_IN_A_ROW => it,
            Some(_) | None => most_urgent,
        };
        if less_urgent.is_some() {
            self.urgent_in_a_row = if at == most_urgent { self.urgent_in_a_row + 1 } else { 0 };
        }
        Some(self.waiters.remove(at))
    }

    /// Removes and returns a waiter that would start too late if `delay(n)` is the time until the n-th of the waiters
    /// may start.
    pub fn remove_too_late(&mut self, now: Instant, delay: impl Fn(usize) -> Duration) -> Option<Waiter> {
        let mut order: Vec<usize> = (0..self.waiters.len()).collect();
        order.sort_by_key(|it| start_order(&self.waiters[*it], now));
        let first = &self.waiters[*order.first()?];
        let mut less_urgent_before = 0;
        let too_late = order.iter().enumerate().find(|(position, at)| {
            let waiter = &self.waiters[**at];
            let mut starts = position + 1;
            if !first.is_nested_call && !waiter.is_nested_call && waiter.rank > first.rank {
                // Less urgent waiters get every ninth slot.
                let until_turn = URGENT_IN_A_ROW.saturating_sub(self.urgent_in_a_row) as usize + 1;
                starts = starts.min(until_turn + less_urgent_before * (URGENT_IN_A_ROW as usize + 1));
                less_urgent_before += 1;
            }
            let delay = delay(starts);
            !delay.is_zero() && now + delay > waiter.latest_start
        });
        let (_, at) = too_late?;
        Some(self.waiters.remove(*at))
    }

    /// Removes and returns the oldest waiter for which `matches` returns true.
    pub fn remove_first(&mut self, matches: impl Fn(&Waiter) -> bool) -> Option<Waiter> {
        let at = self.waiters.iter().position(matches)?;
        Some(self.waiters.remove(at))
    }
}

/// Sort key: the waiter with the lowest key starts first.
fn start_order(waiter: &Waiter, now: Instant) -> (bool, u32, bool, Instant) {
    (!waiter.is_nested_call, waiter.rank, waiter.latest_start < now, waiter.arrived)
}

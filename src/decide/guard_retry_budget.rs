//! One guard's part of a service's retry budget, as a token bucket: first arrivals add a share of a token, retries take
//! one. It prevents retry storms when many endpoints fail or shed load. In any time window, a guard's retries are at
//! most that share of its first arrivals plus the bucket size, so all guards together keep the limit without messages.
//!
//! A sliding window at each guard would not do: each guard would grant retries for the time when it had most requests,
//! these times differ, and the sum would exceed the limit.

use std::{
    num::NonZeroUsize,
    time::{Duration, Instant},
};

/// Fraction of the slack that the buckets of all guards hold. The rest is a margin for nested calls of retried
/// requests, which count but are never refused, and for guards that start or stop.
const SLACK_FRACTION: f64 = 0.6;
/// Fraction of the bucket reserved for nested calls, because a failed call wastes the request that waits for it. The
/// same fraction is reserved for more urgent ranks while these request retries.
const RESERVED_FRACTION: f64 = 0.2;
/// How long the demand for a retry reserves tokens for its rank.
const DEMAND_TTL: Duration = Duration::from_secs(1);
/// Fill level of a new guard's bucket. It is below one because the tokens that a previous process spent are unknown.
const INITIAL_FILL: f64 = 0.4;

/// Limits on the retries sent to one service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBudgetConfig {
    /// Retries allowed for each first arrival.
    pub ratio: f64,
    /// Retries allowed in addition in any time window, for all guards of the service together.
    pub slack: f64,
}

/// An arrival of a request that was sent to an endpoint before.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Retry {
    /// The rank of its class, or of the request that made this call; 0 goes first.
    pub rank: u32,
    /// Whether a running request waits for this one.
    pub is_nested_call: bool,
}

/// The token bucket of one guard.
#[derive(Debug, Clone, PartialEq)]
pub struct GuardRetryBudget {
    config: RetryBudgetConfig,
    /// Number of guards that share the slack; `None` until known.
    guards: Option<NonZeroUsize>,
    /// Retries available, at most the bucket size. Negative after nested calls of retried requests, which are never
    /// refused.
    tokens: f64,
    /// Ranks for which a retry was requested and the time of the last request, sorted by rank.
    demand: Vec<(u32, Instant)>,
}

impl GuardRetryBudget {
    /// Creates the budget of a guard that has just started. It allows no retry before
    /// [`set_guard_count`](Self::set_guard_count).
    pub fn new(config: RetryBudgetConfig) -> Self {
        Self { config, guards: None, tokens: 0.0, demand: Vec::new() }
    }

    /// Sets the number of guards that share the slack of the service.
    pub fn set_guard_count(&mut self, guards: usize) {
        let previous = self.guards.replace(NonZeroUsize::new(guards).unwrap_or(NonZeroUsize::MIN));
        match previous {
            None => self.tokens += (self.size() * INITIAL_FILL).max(1.0),
            // The tokens shrink with the guard's share, or a guard that discovers the others one by one would keep
            // too many.
            Some(it) if it.get() < guards && self.tokens > 0.0 => self.tokens *= it.get() as f64 / guards as f64,
            Some(_) => (),
        }
        self.tokens = self.tokens.min(self.size());
    }

    /// Adds or takes tokens for an arrival; `retry_share` is the fraction of it that counts as a retry, 0 to 1.
    pub fn record_arrival(&mut self, retry_share: f64) {
        self.add_tokens(self.tokens_of_arrival(retry_share));
    }

    /// Reverts [`record_arrival`](Self::record_arrival) for a reserved slot that was not used. Under load, two guards
    /// often reserve a slot for the same request.
    pub fn undo_arrival(&mut self, retry_share: f64) {
        self.add_tokens(-self.tokens_of_arrival(retry_share));
    }

    /// Tokens that an arrival adds; negative if it takes some.
    fn tokens_of_arrival(&self, retry_share: f64) -> f64 {
        self.config.ratio * (1.0 - retry_share) - retry_share
    }

    /// Records that a retry was requested, whether it is allowed or not. This reserves tokens for its rank.
    pub fn record_demand(&mut self, retry: Retry, now: Instant) {
        match self.demand.binary_search_by_key(&retry.rank, |it| it.0) {
            Ok(at) => self.demand[at].1 = now,
            Err(at) => self.demand.insert(at, (retry.rank, now)),
        }
    }

    /// Whether the tokens suffice for one more retry, besides those reserved for nested calls and more urgent ranks.
    pub fn allows(&self, retry: Retry, now: Instant) -> bool {
        let is_recent = |it: &(u32, Instant)| now.saturating_duration_since(it.1) < DEMAND_TTL;
        let has_urgent_demand = self.demand.iter().take_while(|it| it.0 < retry.rank).any(is_recent);
        let reserves = u32::from(has_urgent_demand) + u32::from(!retry.is_nested_call);
        self.tokens >= 1.0 + self.size() * RESERVED_FRACTION * f64::from(reserves)
    }

    /// Whether every retry would be refused.
    pub fn is_exhausted(&self) -> bool {
        self.tokens < 1.0
    }

    fn add_tokens(&mut self, tokens: f64) {
        self.tokens = (self.tokens + tokens).min(self.size());
    }

    /// The bucket size: this guard's share of the slack, but at least one token, without which no retry would ever be
    /// allowed.
    fn size(&self) -> f64 {
        (self.config.slack * SLACK_FRACTION / self.guards.map_or(1, NonZeroUsize::get) as f64).max(1.0)
    }
}

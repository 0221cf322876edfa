//! Each guard's part of the fleet's allowance for arrivals beyond a request's first.
//!
//! Load pattern: gray endpoints, endpoints that shed, and stalls make every ingress want to send work
//! again at once, and suspicion moves the load from guard to guard while it lasts. The fleet may send
//! again, at each service, a share of its requests and a fixed slack in any window. No messages: guards
//! see every arrival at their endpoint, and each fills a bucket with the share of its first arrivals and
//! takes one token out for each repeat. In whichever window, its repeats are at most the share of its
//! first arrivals there plus what the bucket holds, so the sums over the service's guards keep the rule
//! wherever the load goes. (A sliding window at each guard did not: each granted repeats for the time when
//! it had most requests, and these times differ.)

use std::{
    num::NonZeroUsize,
    time::{Duration, Instant},
};

/// The part of the slack that the buckets hold together. The rest is the margin for calls of repeated
/// work, which count and can't be held back, and for guards that come and go.
const SLACK_USED: f64 = 0.6;
/// The part of a bucket that repeats of callers' requests leave to repeats of calls, since a call that
/// fails wastes the work that waits for it, and a caller that is refused can come back. Repeats leave as much to those
/// of more urgent work, calls or not: a repeat saves a caller's request at once, and a call's only where all calls of
/// its work end well.
const KEPT_PART: f64 = 0.2;
/// How long a request for a repeat keeps that part from less urgent work: some times the pause between two of them at a
/// guard whose service declines half.
const WANTED_FOR: Duration = Duration::from_secs(1);
/// The part of the bucket that a guard begins with: what its predecessor spent is not known, and guards
/// that all start anew must not have the slack twice.
const AT_START: f64 = 0.4;

/// What the fleet may spend on each service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBudgetConfig {
    /// Arrivals beyond the first, as a share of requests.
    pub ratio: f64,
    /// More of them in each window, for all guards of a service together.
    pub slack: f64,
}

/// An arrival beyond the first of its request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Retry {
    /// The rank of its class, or of the work that made it; 0 goes first.
    pub rank: u32,
    /// Whether running work waits for it.
    pub is_nested_call: bool,
}

/// The allowance at one guard.
#[derive(Debug, Clone, PartialEq)]
pub struct GuardRetryBudget {
    config: RetryBudgetConfig,
    /// How many guards share the slack; `None` until that is known.
    guards: Option<NonZeroUsize>,
    /// In repeats; at most the bucket's size. Below zero after calls of repeated work, which are not held
    /// back.
    tokens: f64,
    /// Ranks of which a repeat was wanted here, and when last; sorted.
    wanted: Vec<(u32, Instant)>,
}

impl GuardRetryBudget {
    /// The allowance of a guard that has just started.
    pub fn new(config: RetryBudgetConfig) -> Self {
        Self { config, guards: None, tokens: 0.0, wanted: Vec::new() }
    }

    /// Takes in how many guards share the slack.
    pub fn set_guard_count(&mut self, guards: usize) {
        let before = self.guards.replace(NonZeroUsize::new(guards).unwrap_or(NonZeroUsize::MIN));
        match before {
            None => self.tokens += (self.size() * AT_START).max(1.0),
            // A guard that has just started finds the others one by one; each has its part.
            Some(it) if it.get() < guards && self.tokens > 0.0 => self.tokens *= it.get() as f64 / guards as f64,
            Some(_) => (),
        }
        self.tokens = self.tokens.min(self.size());
    }

    /// Counts an arrival, of which `repeat_share` counts as a repeat.
    pub fn record_arrival(&mut self, repeat_share: f64) {
        self.fill(self.worth(repeat_share));
    }

    /// Takes back what was counted for a place that was not used: nothing arrived. Places are often
    /// given by two guards at once under load, and firsts that never came would raise the allowance.
    pub fn undo_arrival(&mut self, repeat_share: f64) {
        self.fill(-self.worth(repeat_share));
    }

    /// The tokens that an arrival brings, below zero for those that it takes.
    fn worth(&self, repeat_share: f64) -> f64 {
        self.config.ratio * (1.0 - repeat_share) - repeat_share
    }

    /// A repeat is wanted here, whether it may arrive or not.
    pub fn record_demand(&mut self, repeat: Retry, now: Instant) {
        match self.wanted.binary_search_by_key(&repeat.rank, |it| it.0) {
            Ok(at) => self.wanted[at].1 = now,
            Err(at) => self.wanted.insert(at, (repeat.rank, now)),
        }
    }

    /// Whether one more repeat may arrive.
    pub fn allows(&self, repeat: Retry, now: Instant) -> bool {
        let recent = |it: &(u32, Instant)| now.saturating_duration_since(it.1) < WANTED_FOR;
        let yields = self.wanted.iter().take_while(|it| it.0 < repeat.rank).any(recent);
        // A caller's repeat leaves a part to calls, and any repeat one to more urgent work.
        let parts = u32::from(yields) + u32::from(!repeat.is_nested_call);
        self.tokens >= 1.0 + self.size() * KEPT_PART * f64::from(parts)
    }

    /// Whether no repeat may arrive, of whatever work.
    pub fn is_exhausted(&self) -> bool {
        self.tokens < 1.0
    }

    fn fill(&mut self, tokens: f64) {
        self.tokens = (self.tokens + tokens).min(self.size());
    }

    /// What the bucket holds: this guard's part of the slack, or one repeat where that is less, since a
    /// smaller bucket would allow none ever.
    fn size(&self) -> f64 {
        (self.config.slack * SLACK_USED / self.guards.map_or(1, NonZeroUsize::get) as f64).max(1.0)
    }
}

//! Decides whom a watcher that lost the store asks to read it, and how often a proxy tries a store that does not answer.
//!
//! All watchers can lose the store at the same time while other proxies reach it. One of these must be found in time for
//! a change of the configuration, and a store that is down for all must not be overloaded by the search.

use std::time::{Duration, Instant};

use crate::util::mix;

/// The pause between two rounds of a search. A store that refuses calls does so within it, so that most rounds know the
/// results of the one before.
pub const ROUND_INTERVAL: Duration = Duration::from_millis(150);
/// The largest round: proxies that aren't linked are asked over new connections.
const MAX_ROUND: usize = 8;
/// How many proxies a search asks beyond the watcher's share; their own watchers may be down.
const ASKED_BEYOND_SHARE: usize = 56;
/// How long the result of a call answers for the store, after an answer and after the first failure.
const RESULT_VALIDITY: (Duration, Duration) = (Duration::from_secs(1), Duration::from_secs(2));
/// The longest time between two calls of a proxy to a store that doesn't answer.
const MAX_RETRY_INTERVAL: Duration = Duration::from_secs(4);

/// A proxy that a search may ask.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SearchCandidate {
    /// Hash of its name.
    pub key: u64,
    /// Whether the searching proxy has an open link to it.
    pub linked: bool,
}

/// Returns the keys of the proxies that `me` asks, in order. `watchers` are all watchers of the fleet, in an order that
/// all proxies agree on.
///
/// The other proxies are divided among the watchers, which lose the store together at worst. Each asks its own share
/// first, then the other watchers, which may not have noticed yet, then others.
pub fn search_order(me: u64, watchers: &[u64], candidates: &[SearchCandidate]) -> Vec<u64> {
    let mut shared: Vec<SearchCandidate> =
        candidates.iter().filter(|it| !watchers.contains(&it.key)).copied().collect();
    shared.sort_unstable_by_key(|it| (mix(&[it.key]), it.key));
    let own_index = watchers.iter().position(|it| *it == me);
    let is_own = |at: usize| own_index.is_some_and(|it| at % watchers.len() == it);
    let (own, others): (Vec<_>, Vec<_>) = shared.iter().enumerate().partition(|it| is_own(it.0));
    let mut others: Vec<SearchCandidate> = others.into_iter().map(|it| *it.1).collect();
    others.sort_unstable_by_key(|it| (!it.linked, mix(&[me, it.key])));
    let other_watchers = watchers.iter().filter(|it| **it != me).copied();
    let beyond_share = other_watchers.chain(others.iter().map(|it| it.key)).take(ASKED_BEYOND_SHARE);
    own.into_iter().map(|it| it.1.key).chain(beyond_share).collect()
}

/// How many proxies are asked in a round of a search; `round` counts from 0.
pub fn round_size(round: u32) -> usize {
    1_usize.checked_shl(round).unwrap_or(MAX_ROUND).min(MAX_ROUND)
}

/// What this proxy knows from its own calls about whether the store answers it.
#[derive(Debug, Clone, Copy, Default)]
pub struct StoreReachability {
    answered_at: Option<Instant>,
    failed_at: Option<Instant>,
    /// Failed calls since the last answer.
    failures: u32,
}

impl StoreReachability {
    /// Records that the store answered.
    pub fn record_answer(&mut self, now: Instant) {
        *self = Self { answered_at: Some(now), failed_at: None, failures: 0 };
    }

    /// Records that the store refused a call or did not answer it.
    pub fn record_failure(&mut self, now: Instant) {
        self.failed_at = Some(now);
        self.failures += 1;
    }

    /// Whether the store answers this proxy. `None` if the last call was too long ago, so that a new one has to tell.
    pub fn current(&self, now: Instant) -> Option<bool> {
        let is_recent = |at: Instant, validity| now.saturating_duration_since(at) < validity;
        match (self.failed_at, self.answered_at) {
            (Some(at), _) => is_recent(at, retry_interval(self.failures)).then_some(false),
            (None, Some(at)) => is_recent(at, RESULT_VALIDITY.0).then_some(true),
            (None, None) => None,
        }
    }
}

/// The time from a failed call to the next one, after `failures` failures in a row. It is also the pause between two
/// searches without a result.
pub fn retry_interval(failures: u32) -> Duration {
    RESULT_VALIDITY.1.saturating_mul(1 << failures.saturating_sub(1).min(8)).min(MAX_RETRY_INTERVAL)
}

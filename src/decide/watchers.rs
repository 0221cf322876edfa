//! Decides which proxies watch the store for a new configuration, as store calls are expensive and a change has to be
//! active everywhere within seconds. A few proxies watch, chosen by hash, and gossip to the others. When those of a
//! data centre are gone, the next in rank there watches. The older the newest confirmation by the store, the more
//! proxies watch, as all watchers may be cut off.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::util::mix;

/// Watchers in each data centre, so that some reach the store when others are cut off: with one in three unable to, the
/// chance that none can is 1 in 10^7 at five data centres.
const WATCHERS_PER_DATA_CENTRE: usize = 3;
/// Fewest watchers in a fleet with few data centres: with one in three unable to reach the store, none can in 1 of 700
/// cases.
const MIN_WATCHERS: usize = 6;
/// The time between two answers of the store to a watcher while nothing changes. Watches are short because a connection
/// can be lost without an error.
const WATCH_INTERVAL: Duration = Duration::from_millis(1_600);
/// The shortest watch; one that would be shorter lasts until the interval after.
const MIN_WAIT: Duration = Duration::from_millis(200);
/// Time after the end of a watch for the store's answer, before the connection counts as lost: the store usually
/// answers within milliseconds, and in a quarter of a second when it is in trouble.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(400);
/// Age of the last confirmation from which more proxies watch: the longest watch, plus the time in which its result
/// spreads through the fleet.
const MAX_CONFIRMATION_AGE: Duration = Duration::from_secs(11);
/// Interval at which one more proxy of each data centre starts to watch then, so that the store isn't overloaded when
/// it recovers.
const EXTRA_WATCHER_INTERVAL: Duration = Duration::from_millis(100);
/// How long a substitute watches; a watcher that can't reach the store searches for one again before that.
const SUBSTITUTION_TIME: Duration = Duration::from_secs(10);
/// The pause after a search that found a substitute; shorter than `SUBSTITUTION_TIME`, so that the substitutes overlap.
pub const SUBSTITUTED_SEARCH_INTERVAL: Duration = Duration::from_secs(5);
/// Calls of all watchers together to a store that they can't reach are about this far apart.
const RETRY_PAUSE_PER_WATCHER: Duration = Duration::from_millis(500);
/// The least and the greatest of the longest pauses of a watcher.
const RETRY_PAUSE_LIMITS: (Duration, Duration) = (Duration::from_millis(1_500), Duration::from_secs(4));
/// How long a proxy without a confirmation since its start waits for the watchers before it may watch as an extra.
const INITIAL_WAIT: Duration = Duration::from_secs(3);

/// The times of one long poll of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StoreWatch {
    /// How long the store waits for a change before it answers.
    pub wait: Duration,
    /// When the call fails because the connection counts as lost.
    pub timeout: Duration,
}

impl StoreWatch {
    /// The watch of the watcher with this index, of `watchers` in the fleet, that begins `since_activation` after the
    /// active configuration was activated.
    ///
    /// Watchers begin to watch together after a change. Each has its own moment in the interval at which its watches
    /// end, evenly spread: if all connections are lost at once, the next watcher soon notices it.
    pub fn of_watcher(index: usize, watchers: usize, since_activation: Duration) -> Self {
        let end = WATCH_INTERVAL.mul_f64((index + 1) as f64 / watchers.max(1) as f64).as_nanos();
        let interval = WATCH_INTERVAL.as_nanos();
        let wait = (end + interval - since_activation.as_nanos() % interval) % interval;
        let wait = if wait < MIN_WAIT.as_nanos() { wait + interval } else { wait };
        let wait = Duration::from_nanos(u64::try_from(wait).expect("a wait is shorter than two intervals"));
        Self { wait, timeout: wait + ANSWER_TIMEOUT }
    }
}

/// What a proxy does for the watch of the store, as those behind it in rank need to know.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum WatchDuty {
    /// It watches, whether or not the store answers.
    Watches,
    /// It watches once no proxy before it in rank does.
    StandsBy,
    /// It does neither, as it has just started.
    None,
}

impl WatchDuty {
    /// Whether the proxies behind it in rank needn't watch.
    pub fn is_on_duty(self) -> bool {
        matches!(self, Self::Watches | Self::StandsBy)
    }
}

/// The time for which a proxy watches in the place of one that lost the store.
#[derive(Debug, Clone, Copy, Default)]
pub struct Substitution {
    until: Option<Instant>,
}

impl Substitution {
    /// Begins or extends it.
    pub fn start(&mut self, now: Instant) {
        self.until = Some(now + SUBSTITUTION_TIME);
    }

    /// Whether it lasts at `now`.
    pub fn is_active(&self, now: Instant) -> bool {
        self.until.is_some_and(|it| now < it)
    }
}

/// Returns the keys of the watchers among all proxies of a fleet, given as data centre and key.
pub fn choose_watchers(mut members: Vec<(&str, u64)>) -> Vec<u64> {
    members.sort_unstable_by_key(|it| (it.0, score(it.1)));
    let data_centres = members.chunk_by(|a, b| a.0 == b.0);
    let count = watchers_per_data_centre(data_centres.clone().count());
    let mut watchers: Vec<(usize, usize, u64)> = data_centres
        .enumerate()
        .flat_map(|(at, local)| local.iter().take(count).enumerate().map(move |(rank, it)| (rank, at, it.1)))
        .collect();
    watchers.sort_unstable();
    watchers.into_iter().map(|it| it.2).collect()
}

/// The longest pause between two calls of a watcher that can't reach the store: the more watchers there are, the sooner
/// one of them notices that the store is back.
pub fn max_retry_pause(watchers: usize) -> Duration {
    RETRY_PAUSE_PER_WATCHER
        .saturating_mul(u32::try_from(watchers).unwrap_or(u32::MAX))
        .clamp(RETRY_PAUSE_LIMITS.0, RETRY_PAUSE_LIMITS.1)
}

/// By which the proxies of a data centre are ranked.
fn score(key: u64) -> (u64, u64) {
    (mix(&[key]), key)
}

fn watchers_per_data_centre(data_centres: usize) -> usize {
    WATCHERS_PER_DATA_CENTRE.max(MIN_WATCHERS.div_ceil(data_centres.max(1)))
}

/// The rank of the proxy with the key `me` in its data centre, from 0, by a hash of the keys; `others` are the keys
/// of the other proxies there.
pub fn watch_rank(me: u64, others: impl Iterator<Item = u64>) -> usize {
    let own_score = score(me);
    others.filter(|it| score(*it) < own_score).count()
}

/// Returns the keys of the proxies before `me` in rank, the first in rank first; `others` are the keys of the other
/// proxies in its data centre. Empty if `me` is a watcher by its rank.
///
/// The order doesn't depend on the members known, so that of any proxies that are left, the first in rank finds none
/// before it.
pub fn watch_predecessors(me: u64, others: impl Iterator<Item = u64>, data_centres: usize) -> Vec<u64> {
    let own_score = score(me);
    let mut before: Vec<u64> = others.filter(|it| score(*it) < own_score).collect();
    if before.len() < watchers_per_data_centre(data_centres) {
        return Vec::new();
    }
    before.sort_unstable_by_key(|it| score(*it));
    before
}

/// Whether the proxy of this rank watches the store; `confirmed_ago` is the age of the newest confirmation known.
pub fn is_watcher(rank: usize, data_centres: usize, confirmed_ago: Duration) -> bool {
    should_watch(rank, data_centres, confirmed_ago, MAX_CONFIRMATION_AGE)
}

/// Whether the proxy of this rank watches the store when it has received no confirmation since its start.
pub fn is_initial_watcher(rank: usize, data_centres: usize, started_ago: Duration) -> bool {
    should_watch(rank, data_centres, started_ago, INITIAL_WAIT)
}

fn should_watch(rank: usize, data_centres: usize, unconfirmed_for: Duration, limit: Duration) -> bool {
    let Some(extra) = rank.checked_sub(watchers_per_data_centre(data_centres)) else { return true };
    unconfirmed_for > limit + EXTRA_WATCHER_INTERVAL.saturating_mul(u32::try_from(extra).unwrap_or(u32::MAX))
}

//! Which proxies wait at the store for a new configuration, for the rest.
//!
//! Load pattern: hundreds of proxies, a store whose every call has its price, and a change that must be in force everywhere
//! within seconds. A few watch, chosen by hash; they tell a few others, who tell a few others. How long ago any watcher
//! last had the store's answer goes round with that. The longer nobody had one, the more proxies watch: all watchers may
//! be killed, or cut off from a store that serves the others.

use std::time::{Duration, Instant};

use crate::util::mix;

/// How many watch in each data centre: with one in three of them unable to reach the store, at five data centres the
/// chance that none can is 1 in 10^7.
const WATCHERS: usize = 3;
/// How many watch at least in a fleet of few data centres: with one in three unable to reach the store, none can in 1 of
/// 700 cases.
const WATCHERS_IN_ALL: usize = 6;
/// The shortest and the longest watch. A connection may go silent for good without a word, and a change must be in force
/// two seconds after it was accepted, with what its way through the fleet takes.
const SHORTEST_WAIT: Duration = Duration::from_millis(1_200);
const LONGEST_WAIT: Duration = Duration::from_millis(2_000);
/// How much later than asked a watch may end before its connection is held to be silent: the store answers in 4 ms, and
/// up to 60 times slower when it is in trouble.
const LATE: Duration = Duration::from_millis(600);
/// How old the last confirmation may become while some watch: the longest watch, and eight rounds of exchanges until
/// word of its answer has come round.
const SILENCE: Duration = Duration::from_secs(11);
/// Beyond that one more in each data centre watches after each such time: all at once would be a surge of calls when
/// the store comes back.
const STEP: Duration = Duration::from_millis(100);
/// How long a proxy watches in the place of one that lost its way to the store. The word of its answers has come round by then,
/// and where the store fails everybody no more watch for longer.
const SUBSTITUTES_FOR: Duration = Duration::from_secs(10);
/// A watcher without the store asks for a substitute again after this: before the last one ends.
const ASKS_AGAIN: Duration = Duration::from_secs(5);
/// How long the others are waited for by one that has no configuration yet, and no word of one.
const FIRST: Duration = Duration::from_secs(3);

/// One wait at the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StoreWatch {
    /// How long the store is asked to wait for a change.
    pub wait: Duration,
    /// When its connection is held to be silent.
    pub timeout: Duration,
}

impl StoreWatch {
    /// A watch of a length by `luck`, from 0 to 1. After a change all take up their watches at the same moment; lengths that
    /// differ spread them out, so that soon after all connections went silent one of them is opened anew.
    pub fn with_jitter(luck: f64) -> Self {
        let wait = SHORTEST_WAIT + (LONGEST_WAIT - SHORTEST_WAIT).mul_f64(luck);
        Self { wait, timeout: wait + LATE }
    }
}

/// What a watcher without the store, and its substitute, keep of that.
#[derive(Debug, Clone, Copy, Default)]
pub struct WatchSubstitution {
    /// When this proxy asked for a substitute last.
    asked: Option<Instant>,
    /// It watches in the place of another until then.
    until: Option<Instant>,
}

impl WatchSubstitution {
    /// Whether to ask another proxy to watch, now that the store gives this one no answer. One that is a substitute
    /// itself doesn't: where the store fails everybody, the whole fleet would come to ask it.
    pub fn should_request_substitute(&mut self, now: Instant) -> bool {
        let asked_lately = self.asked.is_some_and(|it| now.saturating_duration_since(it) < ASKS_AGAIN);
        if self.is_substitute(now) || asked_lately {
            return false;
        }
        self.asked = Some(now);
        true
    }

    /// The store answers: the next loss of it is news.
    pub fn store_answered(&mut self) {
        self.asked = None;
    }

    /// This proxy is asked to be the substitute of another.
    pub fn start_substituting(&mut self, now: Instant) {
        self.until = Some(now + SUBSTITUTES_FOR);
    }

    /// Whether this proxy watches in the place of another.
    pub fn is_substitute(&self, now: Instant) -> bool {
        self.until.is_some_and(|it| now < it)
    }
}

/// The place of `me` among the members of a data centre, itself not among them, by a hash of their keys.
pub fn watch_rank(me: u64, others: impl Iterator<Item = u64>) -> usize {
    let score = |key: u64| (mix(&[key]), key);
    let mine = score(me);
    others.filter(|it| score(*it) < mine).count()
}

/// Whether the member with that place in one of `data_centres` watches, if the newest confirmation anyone had is that old.
pub fn is_watcher(rank: usize, data_centres: usize, confirmed_ago: Duration) -> bool {
    is_turn(rank, data_centres, confirmed_ago, SILENCE)
}

/// Whether the member with that place watches, if it has had no confirmation since its start.
pub fn is_initial_watcher(rank: usize, data_centres: usize, started_ago: Duration) -> bool {
    is_turn(rank, data_centres, started_ago, FIRST)
}

fn is_turn(rank: usize, data_centres: usize, silent_for: Duration, limit: Duration) -> bool {
    let watchers = WATCHERS.max(WATCHERS_IN_ALL.div_ceil(data_centres.max(1)));
    let Some(later) = rank.checked_sub(watchers) else { return true };
    silent_for > limit + STEP.saturating_mul(u32::try_from(later).unwrap_or(u32::MAX))
}

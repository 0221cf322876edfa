//! Which proxies wait at the store for a new configuration, for the rest.
//!
//! Load pattern: hundreds of proxies, a store whose every call has its price, and a change that must be in force everywhere
//! within seconds. A few watch, chosen by hash; they tell a few others, who tell a few others. How long ago any watcher
//! last had the store's answer goes round with that. The longer nobody had one, the more proxies watch: all watchers may
//! be killed, or cut off from a store that serves the others.

use std::time::Duration;

use crate::util::mix;

/// How many watch in each data centre: with one in three of them unable to reach the store, at five data centres the
/// chance that none can is 1 in 10^7.
const WATCHERS: usize = 3;
/// How old the last confirmation may become while some watch: a watch of five seconds, and as much until word of its
/// answer has come round.
const SILENCE: Duration = Duration::from_secs(11);
/// Beyond that one more in each data centre watches after each such time: all at once would be a surge of calls when
/// the store comes back.
const STEP: Duration = Duration::from_millis(100);
/// How long the others are waited for by one that has no configuration yet, and no word of one.
const FIRST: Duration = Duration::from_secs(3);

/// The place of `me` among the members of a data centre, itself not among them, by a hash of their keys.
pub fn rank(me: u64, others: impl Iterator<Item = u64>) -> usize {
    let score = |key: u64| (mix(&[key]), key);
    let mine = score(me);
    others.filter(|it| score(*it) < mine).count()
}

/// Whether the member with that place watches, if the newest confirmation anyone had is that old.
pub fn watches(rank: usize, confirmed_ago: Duration) -> bool {
    is_turn(rank, confirmed_ago, SILENCE)
}

/// Whether the member with that place watches, if it has had no confirmation since its start.
pub fn watches_first(rank: usize, started_ago: Duration) -> bool {
    is_turn(rank, started_ago, FIRST)
}

fn is_turn(rank: usize, silent_for: Duration, limit: Duration) -> bool {
    let Some(later) = rank.checked_sub(WATCHERS) else { return true };
    silent_for > limit + STEP.saturating_mul(u32::try_from(later).unwrap_or(u32::MAX))
}

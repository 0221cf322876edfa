//! Until when waiting for a place makes sense.
//!
//! Load pattern: more work than slots for many seconds. Work that begins too late for its goal takes a slot from work
//! that could still be in time, and then both end late; a caller whose work can't begin in time is better refused at
//! once, with when to come back. Work varies: with its mean time left, four pieces in ten end late.

use std::time::{Duration, Instant};

/// Work is begun only with so many times its mean time left: with less, an overloaded service spends slots on work that ends
/// late, and with more it refuses work that would have been in time.
const TIMES_MEAN: f64 = 1.8;
/// The part of the goal that a class of unknown length is taken to work.
const UNKNOWN_WORK: u32 = 3;
/// The part of the goal for which work may wait at least, however long it takes: a class whose usual time is near its
/// goal would never wait, and be served by luck.
const LEAST_WAIT: u32 = 3;

/// What is asked of a piece of work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WorkTiming {
    /// When it came.
    pub arrived: Instant,
    /// Answers are worth most within this.
    pub target_latency: Duration,
    /// Its answer must be given by then.
    pub deadline: Instant,
    /// Running work waits for it, so that it is of use until its time is over.
    pub is_nested_call: bool,
}

/// When `work` no longer let work be begun whose mean time is `mean`, if known.
pub fn latest_start(work: WorkTiming, mean: Option<Duration>) -> Instant {
    let WorkTiming { arrived, target_latency, deadline, is_nested_call } = work;
    let takes = mean.map_or(target_latency / UNKNOWN_WORK, |it| it.mul_f64(TIMES_MEAN));
    let by_deadline = deadline.checked_sub(takes).unwrap_or(arrived);
    if is_nested_call {
        return by_deadline;
    }
    by_deadline.min(arrived + target_latency.saturating_sub(takes).max(target_latency / LEAST_WAIT))
}

//! Decides how long a request may wait for a slot. During an overload, requests that start too late to meet their
//! target latency would take slots from requests that could still meet theirs, and make these late too.

use std::time::{Duration, Instant};

/// Time reserved for a request, as a multiple of the mean service time of its class. Service times vary, so a reserve
/// of one mean would let four in ten requests end late.
const MEAN_FACTOR: f64 = 1.8;
/// Divisor of the target latency that gives the time reserved for a class with unknown service time.
const UNKNOWN_RESERVE_DIVISOR: u32 = 3;
/// Divisor of the target latency that gives the shortest wait. Without it, classes whose service time is close to
/// their target latency could not wait at all.
const MIN_WAIT_DIVISOR: u32 = 3;

/// Arrival and time limits of one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WorkTiming {
    /// When the request arrived.
    pub arrived: Instant,
    /// The latency that the class of the request aims for.
    pub target_latency: Duration,
    /// The time by which the request must be answered.
    pub deadline: Instant,
    /// Whether a running request waits for this one; the target latency then doesn't limit its wait.
    pub is_nested_call: bool,
}

/// The instant after which a request should be refused rather than started. `mean` is the mean service time of its
/// class; `None` if unknown.
pub fn latest_start(work: WorkTiming, mean: Option<Duration>) -> Instant {
    let WorkTiming { arrived, target_latency, deadline, is_nested_call } = work;
    let reserve = mean.map_or(target_latency / UNKNOWN_RESERVE_DIVISOR, |it| it.mul_f64(MEAN_FACTOR));
    let by_deadline = deadline.checked_sub(reserve).unwrap_or(arrived);
    if is_nested_call {
        return by_deadline;
    }
    by_deadline.min(arrived + target_latency.saturating_sub(reserve).max(target_latency / MIN_WAIT_DIVISOR))
}

//! Decides when an idempotent request that is running also gets a run at a second endpoint, a hedge.
//!
//! A run that takes much longer than usual may never end. And a proxy that stops must answer all its requests by then:
//! one whose run would end later gets no answer, although a second run might have ended in time.

use std::time::{Duration, Instant};

/// A run is overdue after this many times the mean service time of its class plus [`OVERDUE_MARGIN`].
const OVERDUE_FACTOR: u32 = 4;
/// Added because short runs vary more.
const OVERDUE_MARGIN: Duration = Duration::from_millis(300);
/// Divisor of the mean service time of a class. A hedge starts only while this much time is left, in which a good part
/// of the runs end.
const MIN_TIME_DIVISOR: u32 = 2;
/// Divisor of the target latency that gives the assumed service time of a class with unknown service time.
const UNKNOWN_MEAN_DIVISOR: u32 = 3;

/// A run of an idempotent request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OpenRun {
    /// When it started.
    pub started_at: Instant,
    /// The mean service time of its class; `None` if unknown.
    pub mean: Option<Duration>,
    /// The latency that its class aims for.
    pub target_latency: Duration,
    /// The time by which its request must be answered.
    pub deadline: Instant,
}

impl OpenRun {
    /// When the request should get a second run; `None` if it should not.
    pub fn hedge_at(&self) -> Option<Instant> {
        let overdue_at = self.mean.map(|it| self.started_at + it * OVERDUE_FACTOR + OVERDUE_MARGIN);
        overdue_at.filter(|it| *it < self.deadline)
    }

    /// The instant after which a second run should not start. Unlike a first run, it may start when the target latency
    /// has passed: what is left to gain is an answer at all.
    pub fn latest_hedge_start(&self) -> Instant {
        let reserve = self.expected_time() / MIN_TIME_DIVISOR;
        self.deadline.checked_sub(reserve).unwrap_or(self.started_at)
    }

    fn expected_time(&self) -> Duration {
        self.mean.unwrap_or(self.target_latency / UNKNOWN_MEAN_DIVISOR)
    }
}

//! Decides when an idempotent request that is running also gets a run at a second endpoint, a hedge.
//!
//! A run that takes much longer than usual may never end. And a run may outlast its ingress: a proxy that stops must
//! answer all its requests by then, and a long run would leave its caller without the answer that a second run gives.

use std::time::{Duration, Instant};

/// A run is overdue after this many times the mean service time of its class plus [`OVERDUE_MARGIN`].
const OVERDUE_FACTOR: u32 = 4;
/// Added because short runs vary more.
const OVERDUE_MARGIN: Duration = Duration::from_millis(300);
/// Few runs take longer than this many times the mean service time of their class.
const LONG_RUN_FACTOR: u32 = 2;
/// Time for finding an endpoint with a free slot.
const RESERVATION_TIME: Duration = Duration::from_secs(1);
/// Divisor of the mean service time. Many runs end within that time, so a hedge before a stop waits for it, and starts
/// only while it is left.
const SHORT_RUN_DIVISOR: u32 = 2;
/// Divisor of the target latency that gives the assumed service time of a class with unknown service time.
const UNKNOWN_MEAN_DIVISOR: u32 = 3;

/// What an ingress knows about its own end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum IngressStop {
    /// It is not expected to stop.
    NotExpected,
    /// It may be asked to stop at any time, and must then answer its requests within this time.
    Soon(Duration),
    /// It stops and must have answered its requests by then.
    AnswersBy(Instant),
}

/// Why a request is hedged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HedgeReason {
    /// Its run takes much longer than usual.
    Overdue,
    /// Its run may outlast its ingress.
    IngressStops,
}

/// A run of an idempotent request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OpenRun {
    /// When it started.
    pub started_at: Instant,
    /// The mean service time of its class; `None` if unknown.
    pub mean: Option<Duration>,
    /// The latency that its class aims for.
    pub target_latency: Duration,
    /// The time by which its request must be answered, whether the ingress stops or not.
    pub deadline: Instant,
}

impl OpenRun {
    /// When and why the request should get a second run; `None` if it should not.
    pub fn hedge_at(&self, stop: IngressStop) -> Option<(Instant, HedgeReason)> {
        let overdue_at = self.mean.map(|it| self.started_at + it * OVERDUE_FACTOR + OVERDUE_MARGIN);
        let overdue = overdue_at.map(|it| (it, HedgeReason::Overdue));
        let before_stop = self.hedge_before(stop).map(|it| (it, HedgeReason::IngressStops));
        let due = [overdue, before_stop].into_iter().flatten().min_by_key(|it| it.0);
        due.filter(|it| it.0 < self.latest_second_start(stop))
    }

    /// When a second run must start to end before the ingress does, unless the first run is still short then; `None` if
    /// that need not be ensured yet, or not at all.
    fn hedge_before(&self, stop: IngressStop) -> Option<Instant> {
        let long_run = self.expected_time() * LONG_RUN_FACTOR + RESERVATION_TIME;
        match stop {
            IngressStop::NotExpected => None,
            IngressStop::Soon(answer_time) => {
                (long_run > answer_time).then_some(self.started_at + self.expected_time())
            }
            IngressStop::AnswersBy(by) if by >= self.deadline => None,
            IngressStop::AnswersBy(by) => {
                let earliest = self.started_at + self.expected_time() / SHORT_RUN_DIVISOR;
                Some(by.checked_sub(long_run).map_or(earliest, |it| it.max(earliest)))
            }
        }
    }

    /// The instant after which a second run should not start, be it a hedge or in place of a run whose result is lost.
    /// Unlike a first run, it may start when the target latency has passed: what is left to gain is an answer at all.
    pub fn latest_second_start(&self, stop: IngressStop) -> Instant {
        let deadline = match stop {
            IngressStop::AnswersBy(by) => by.min(self.deadline),
            IngressStop::NotExpected | IngressStop::Soon(_) => self.deadline,
        };
        deadline.checked_sub(self.expected_time() / SHORT_RUN_DIVISOR).unwrap_or(self.started_at)
    }

    fn expected_time(&self) -> Duration {
        self.mean.unwrap_or(self.target_latency / UNKNOWN_MEAN_DIVISOR)
    }
}

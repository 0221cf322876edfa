//! Decides when an endpoint is suspect and which requests it then takes, so that an endpoint that fails requests fast
//! while its health check passes does not attract more of them.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

/// Good answers in a row that end a probation. An endpoint that still fails three in four requests gets as many in 2 of
/// 100 tries.
const GOOD_ANSWERS_TO_CLEAR: u32 = 3;
/// Soft failures in a row that make an endpoint suspect. Healthy endpoints fail one request in a hundred, so two in a
/// row are rare.
const SOFT_FAILURES_TO_SUSPECT: u32 = 2;
/// Backoff after the first failure: long enough that failures of requests already running don't extend it.
const INITIAL_BACKOFF: Duration = Duration::from_millis(300);
/// The longest backoff between trials. A gray failure lasts for seconds, and each trial costs a retry.
const MAX_BACKOFF: Duration = Duration::from_millis(900);
/// A running trial blocks the next one for at most this long, so that one long request doesn't delay recovery.
const TRIAL_SPACING: Duration = Duration::from_millis(500);
/// Most trials running before any has succeeded; limits the requests lost at an endpoint that hangs.
const MAX_UNPROVEN_TRIALS: u32 = 4;
/// After this long without a trial any request may be one; otherwise an endpoint without idempotent requests could not
/// recover.
const ANY_REQUEST_AFTER: Duration = Duration::from_millis(1_500);
/// A failure is fast if it takes less than the usual service time divided by this.
const FAST_FAILURE_DIVISOR: u32 = 8;
/// Limit of a fast failure where the usual service time is unknown.
const DEFAULT_FAST_FAILURE_LIMIT: Duration = Duration::from_millis(10);

/// The standing of an endpoint in outlier detection, the best first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EndpointStanding {
    /// Takes any request.
    #[default]
    Clean,
    /// It declined requests, and has not recovered since.
    Declining,
    /// It failed requests, and has not recovered since.
    Suspect,
}

impl EndpointStanding {
    /// The label in events and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Clean => "clean",
            Self::Declining => "declining",
            Self::Suspect => "suspect",
        }
    }
}

/// What the outcome of a request shows about its endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerSample {
    /// The endpoint answered it well.
    Good,
    /// It has been running for longer than fast failures take.
    LongRunning,
    /// The endpoint declined to start it, although it had free slots.
    Declined,
    /// It failed slowly, as happens at healthy endpoints too.
    SoftFailure,
    /// It failed fast, or the endpoint crashed or could not be reached.
    HardFailure,
}

impl AnswerSample {
    /// Classifies a failure after `took`; `usual` is the mean service time of such requests.
    pub fn from_failure(took: Duration, usual: Option<Duration>) -> Self {
        if took < fast_failure_limit(usual) { Self::HardFailure } else { Self::SoftFailure }
    }
}

/// The duration below which a failure is fast; `usual` is the mean service time of such requests.
pub fn fast_failure_limit(usual: Option<Duration>) -> Duration {
    usual.map_or(DEFAULT_FAST_FAILURE_LIMIT, |it| it / FAST_FAILURE_DIVISOR)
}

/// Whether a request with `attempts` made of at most `max_attempts` may be a trial of a suspect.
///
/// Most trials fail, so the request must be idempotent and have an attempt left for a retry. The retry budget is not
/// checked: otherwise suspects could not recover while it is exhausted.
pub fn may_be_trial(idempotent: bool, attempts: u32, max_attempts: u32) -> bool {
    idempotent && attempts + 2 <= max_attempts
}

/// Tracks the standing of one endpoint.
///
/// A fast failure makes an endpoint suspect at once, a slow one only if a second follows. Suspects get a few
/// idempotent requests, which can be retried at another endpoint, until several succeed in a row. Endpoints that
/// decline requests are avoided in the same way but rank before suspects, as a declined request is not lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct StandingTracker {
    /// Soft failures in a row while the endpoint is not suspect; below `SOFT_FAILURES_TO_SUSPECT`.
    soft_failures: u32,
    /// The probation after failures.
    failing: Option<Probation>,
    /// The probation after declined requests.
    declining: Option<Probation>,
}

/// The time until an endpoint takes any request again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Probation {
    /// When it began. Outcomes of requests started before are ignored: an endpoint that begins to fail may still finish
    /// them well.
    started_at: Instant,
    /// Whether all failures so far were fast or declined requests. If so, a request that runs for longer counts as a
    /// good answer before it ends.
    fast_only: bool,
    /// Good answers since the last failure; below `GOOD_ANSWERS_TO_CLEAR`.
    good: u32,
    /// No trial starts before this.
    backoff_until: Instant,
    /// Length of the current backoff.
    backoff: Duration,
    /// Start of the last trial, or of the probation if there was none.
    last_trial: Instant,
}

impl Probation {
    fn new(fast_only: bool, now: Instant) -> Self {
        Self {
            started_at: now,
            fast_only,
            good: 0,
            backoff_until: now + INITIAL_BACKOFF,
            backoff: INITIAL_BACKOFF,
            last_trial: now,
        }
    }

    /// The probation after a good answer to a request started at `request_started`; `None` when it ends.
    fn after_success(self, request_started: Instant) -> Option<Self> {
        if request_started < self.started_at {
            return Some(self);
        }
        let good = self.good + 1;
        (good < GOOD_ANSWERS_TO_CLEAR).then_some(Self { good, ..self })
    }

    /// The probation when a request started at `request_started` runs for longer than fast failures take.
    fn after_long_run(self, request_started: Instant) -> Option<Self> {
        if self.fast_only { self.after_success(request_started) } else { Some(self) }
    }

    /// The probation after a failed or declined request started at `request_started`.
    fn after_failure(self, fast: bool, request_started: Instant, now: Instant) -> Self {
        if request_started < self.started_at {
            return self;
        }
        let backoff = (self.backoff * 3 / 2).min(MAX_BACKOFF);
        Self { fast_only: self.fast_only && fast, good: 0, backoff_until: now + backoff, backoff, ..self }
    }
}

impl StandingTracker {
    /// The standing by the outcomes recorded so far.
    pub fn standing(&self) -> EndpointStanding {
        match (self.failing, self.declining) {
            (Some(_), _) => EndpointStanding::Suspect,
            (None, Some(_)) => EndpointStanding::Declining,
            (None, None) => EndpointStanding::Clean,
        }
    }

    /// Records the outcome of a request started at `request_started`; returns whether the standing changed.
    pub fn record_sample(&mut self, sample: AnswerSample, request_started: Instant, now: Instant) -> bool {
        let before = self.standing();
        match sample {
            AnswerSample::Good => {
                self.soft_failures = 0;
                self.failing = self.failing.and_then(|it| it.after_success(request_started));
                self.declining = self.declining.and_then(|it| it.after_success(request_started));
            }
            AnswerSample::LongRunning => {
                self.failing = self.failing.and_then(|it| it.after_long_run(request_started));
                self.declining = self.declining.and_then(|it| it.after_long_run(request_started));
            }
            AnswerSample::Declined => {
                let it =
                    self.declining.map_or(Probation::new(true, now), |it| it.after_failure(true, request_started, now));
                self.declining = Some(it);
            }
            AnswerSample::SoftFailure => self.record_failure(self.soft_failures + 1, false, request_started, now),
            AnswerSample::HardFailure => self.record_failure(SOFT_FAILURES_TO_SUSPECT, true, request_started, now),
        }
        before != self.standing()
    }

    fn record_failure(&mut self, soft_failures: u32, fast: bool, request_started: Instant, now: Instant) {
        if let Some(it) = self.failing {
            self.failing = Some(it.after_failure(fast, request_started, now));
        } else if soft_failures >= SOFT_FAILURES_TO_SUSPECT {
            self.soft_failures = 0;
            self.failing = Some(Probation::new(fast, now));
        } else {
            self.soft_failures = soft_failures;
        }
    }

    /// Whether the endpoint may start a request that accepts endpoints up to the standing `worst`; `trials`
    /// is the number of trials running.
    ///
    /// An endpoint of a worse standing takes requests that [may be a trial](may_be_trial): one at a time, plus one
    /// for each good answer and one each time that no trial started for a while. After longer without a trial it
    /// takes any request.
    pub fn admits(&self, worst: EndpointStanding, trial: bool, trials: u32, now: Instant) -> bool {
        let Some(it) = self.failing.or(self.declining).filter(|_| self.standing() > worst) else { return true };
        let since_last_trial = now.saturating_duration_since(it.last_trial);
        let has_room = trials <= it.good || (trials < MAX_UNPROVEN_TRIALS && since_last_trial >= TRIAL_SPACING);
        has_room && now >= it.backoff_until && (trial || since_last_trial >= ANY_REQUEST_AFTER)
    }

    /// Records the start of a request, which is a trial unless the endpoint is clean.
    pub fn record_start(&mut self, now: Instant) {
        for it in [&mut self.failing, &mut self.declining].into_iter().flatten() {
            it.last_trial = now;
        }
    }
}

//! Who bears the risk of an endpoint that may be failing gray.
//!
//! Load pattern: at any time several endpoints fail most of their work, within milliseconds and for
//! many seconds, while their health says all is well; whoever chooses by load pours work into them.
//! Healthy endpoints fail one answer in a hundred too, but after working on it. So a failure in a
//! small part of the usual time makes a suspect at once, and a slow failure only if another one
//! follows it. Suspects get idempotent work only, which a clean endpoint can repeat, and little of
//! it, until several good answers came in a row.
//!
//! An endpoint that declines work says so, and nothing is lost but an arrival, so it is avoided for the
//! same time, and still goes before a suspect. Where a whole service sheds, declines and failures must not
//! look alike: all endpoints decline, and the gray ones among them would get their full share of the work.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

/// Good answers in a row that clear a suspect: of one that still fails three in four, two in a
/// hundred pass.
const CLEARING: u32 = 3;
/// Doubtful answers in a row that make a suspect: healthy endpoints give two in a row once in some
/// thousand answers.
const DOUBTS: u32 = 2;
/// The pause after the first bad answer: shorter than the spells, longer than a burst of answers
/// that were under way together.
const FIRST_REST: Duration = Duration::from_millis(300);
/// The longest pause between trials: spells last several seconds, and each trial costs a retry.
const LONGEST_REST: Duration = Duration::from_millis(900);
/// A trial that has not failed for this long no longer keeps the next one back: the long work of a class
/// would else be the only trial for seconds, and gray endpoints fail within milliseconds.
const TRIAL_SPACING: Duration = Duration::from_millis(500);
/// Trials at once before any has ended well: an endpoint that hangs keeps this much work at most.
const MOST_TRIALS: u32 = 4;
/// After this without a trial any work may be one: where none is idempotent, nobody else would find out that
/// the endpoint is sound again.
const UNTESTED: Duration = Duration::from_millis(1_500);
/// A failure in less than this part of the usual time is a fast one.
const FAST_PART: u32 = 8;
/// With no usual time known, a failure is fast below this.
const FAST: Duration = Duration::from_millis(10);

/// How far an endpoint is trusted, the best first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EndpointStanding {
    /// Its last answers were good.
    #[default]
    Clean,
    /// It declined work of late.
    Declining,
    /// It failed work of late.
    Suspect,
}

impl EndpointStanding {
    /// As written in events and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Clean => "clean",
            Self::Declining => "declining",
            Self::Suspect => "suspect",
        }
    }
}

/// What an answer says of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerSample {
    /// It did the work.
    Good,
    /// It has worked for longer than fast failures take.
    Working,
    /// It said that it did not begin the work, though it was below its slots.
    Declined,
    /// It failed as healthy endpoints do now and then: after working on it.
    SoftFailure,
    /// It failed at once, or could not be reached.
    HardFailure,
}

impl AnswerSample {
    /// What a failure after `took` says, with the usual time of such work.
    pub fn from_failure(took: Duration, usual: Option<Duration>) -> Self {
        if took < fast_failure_limit(usual) { Self::HardFailure } else { Self::SoftFailure }
    }
}

/// Failures that take less than this are fast ones, with the usual time of such work.
pub fn fast_failure_limit(usual: Option<Duration>) -> Duration {
    usual.map_or(FAST, |it| it / FAST_PART)
}

/// Whether a suspect may be tried with work that was sent to `attempts` of at most `max_attempts` endpoints.
///
/// Trials fail more often than not, so only work that is sure to be sent to another endpoint afterwards
/// bears them: it must be idempotent, with an attempt left for the repeat. (With the allowance used up the
/// repeat may be refused; trials go on all the same, or no suspect would return while room is short.)
pub fn may_be_trial(idempotent: bool, attempts: u32, max_attempts: u32) -> bool {
    idempotent && attempts + 2 <= max_attempts
}

/// The recent record of one endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct StandingTracker {
    /// Doubtful answers in a row while it is no suspect; below `DOUBTS`.
    doubts: u32,
    /// `None` unless it failed of late.
    failing: Option<Probation>,
    /// `None` unless it declined of late.
    declining: Option<Probation>,
}

/// The time until an endpoint is trusted again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Probation {
    /// When it began. Work that was begun before says nothing: an endpoint that turns gray still ends well what
    /// it had begun well.
    since: Instant,
    /// All failures so far were fast ones or declines. Then work that goes on for longer is as good as done, and
    /// the endpoint returns without waiting for its end.
    fast: bool,
    /// Good answers since the last bad one; below `CLEARING`.
    good: u32,
    /// Before this it gets no trial.
    rests_until: Instant,
    /// The length of the current pause.
    rest: Duration,
    /// When the last trial began, or this did.
    tried: Instant,
}

impl Probation {
    fn new(fast: bool, now: Instant) -> Self {
        Self { since: now, fast, good: 0, rests_until: now + FIRST_REST, rest: FIRST_REST, tried: now }
    }

    /// After a good answer to work begun at `begun`; `None` when it is over.
    fn passed(self, begun: Instant) -> Option<Self> {
        if begun < self.since {
            return Some(self);
        }
        let good = self.good + 1;
        (good < CLEARING).then_some(Self { good, ..self })
    }

    /// Work begun at `begun` goes on.
    fn works(self, begun: Instant) -> Option<Self> {
        if self.fast { self.passed(begun) } else { Some(self) }
    }

    /// After a bad answer to work begun at `begun`.
    fn failed(self, fast: bool, begun: Instant, now: Instant) -> Self {
        if begun < self.since {
            return self;
        }
        let rest = (self.rest * 3 / 2).min(LONGEST_REST);
        Self { fast: self.fast && fast, good: 0, rests_until: now + rest, rest, ..self }
    }
}

impl StandingTracker {
    /// How far the endpoint is trusted.
    pub fn standing(&self) -> EndpointStanding {
        match (self.failing, self.declining) {
            (Some(_), _) => EndpointStanding::Suspect,
            (None, Some(_)) => EndpointStanding::Declining,
            (None, None) => EndpointStanding::Clean,
        }
    }

    /// Takes in what an answer says to work begun at `begun`; returns whether the standing changed.
    pub fn record_sample(&mut self, sample: AnswerSample, begun: Instant, now: Instant) -> bool {
        let before = self.standing();
        match sample {
            AnswerSample::Good => {
                self.doubts = 0;
                self.failing = self.failing.and_then(|it| it.passed(begun));
                self.declining = self.declining.and_then(|it| it.passed(begun));
            }
            AnswerSample::Working => {
                self.failing = self.failing.and_then(|it| it.works(begun));
                self.declining = self.declining.and_then(|it| it.works(begun));
            }
            AnswerSample::Declined => {
                let it = self.declining.map_or(Probation::new(true, now), |it| it.failed(true, begun, now));
                self.declining = Some(it);
            }
            AnswerSample::SoftFailure => self.failed(self.doubts + 1, false, begun, now),
            AnswerSample::HardFailure => self.failed(DOUBTS, true, begun, now),
        }
        before != self.standing()
    }

    fn failed(&mut self, doubts: u32, fast: bool, begun: Instant, now: Instant) {
        if let Some(it) = self.failing {
            self.failing = Some(it.failed(fast, begun, now));
        } else if doubts >= DOUBTS {
            self.doubts = 0;
            self.failing = Some(Probation::new(fast, now));
        } else {
            self.doubts = doubts;
        }
    }

    /// Whether work may be begun that takes endpoints up to the standing `accepts`, with `trials` begun
    /// during the probation and not ended.
    ///
    /// Beyond that, an endpoint takes work that [may be a trial](may_be_trial), one piece at a time, one
    /// more for each good answer and for each spell without an answer, and any work when no trial came.
    pub fn admits(&self, accepts: EndpointStanding, trial: bool, trials: u32, now: Instant) -> bool {
        let Some(it) = self.failing.or(self.declining).filter(|_| self.standing() > accepts) else { return true };
        let untried = now.saturating_duration_since(it.tried);
        let room = trials <= it.good || (trials < MOST_TRIALS && untried >= TRIAL_SPACING);
        room && now >= it.rests_until && (trial || untried >= UNTESTED)
    }

    /// Takes in that work was begun; while the endpoint is not clean that is a trial.
    pub fn record_start(&mut self, now: Instant) {
        for it in [&mut self.failing, &mut self.declining].into_iter().flatten() {
            it.tried = now;
        }
    }
}

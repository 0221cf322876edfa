//! Who bears the risk of an endpoint that may be failing gray.
//!
//! Load pattern: at any time several endpoints fail most of their work, within milliseconds and for
//! many seconds, while their health says all is well; whoever chooses by load pours work into them.
//! Healthy endpoints fail one answer in a hundred too, but after working on it. So a failure in a
//! small part of the usual time makes a suspect at once, and a slow failure only if another one
//! follows it. Suspects get idempotent work only, which a clean endpoint can repeat, and little of
//! it, until several good answers came in a row.

use std::time::{Duration, Instant};

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
const LONGEST_REST: Duration = Duration::from_millis(1_200);
/// A failure in less than this part of the usual time is a fast one.
const FAST_PART: u32 = 8;
/// With no usual time known, a failure is fast below this.
const FAST: Duration = Duration::from_millis(10);

/// What an answer says of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Sample {
    /// It did the work.
    Good,
    /// It failed as healthy endpoints do now and then: after working on it.
    Doubtful,
    /// It failed at once, or was full below its slots.
    Bad,
}

impl Sample {
    /// What a failure after `took` says, with the usual time of such work.
    pub fn failure(took: Duration, usual: Option<Duration>) -> Self {
        if took < usual.map_or(FAST, |it| it / FAST_PART) { Self::Bad } else { Self::Doubtful }
    }
}

/// Whether a suspect may be tried with work that was sent to `attempts` of at most `max_attempts` endpoints.
///
/// Trials fail more often than not, so only work that is sure to be sent to another endpoint afterwards
/// bears them: it must be idempotent, with an attempt and an allowance left for the repeat.
pub fn may_be_trial(idempotent: bool, attempts: u32, max_attempts: u32, allowance_used: bool) -> bool {
    idempotent && attempts + 2 <= max_attempts && !allowance_used
}

/// The recent record of one endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Record {
    /// Doubtful answers in a row while it is clean; below `DOUBTS`.
    doubts: u32,
    /// `None` while it is clean.
    suspect: Option<Suspect>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Suspect {
    /// Good answers since the last bad one; below `CLEARING`.
    good: u32,
    /// Before this it gets no trial.
    rests_until: Instant,
    /// The length of the current pause.
    rest: Duration,
}

impl Record {
    /// Whether the last answers were bad.
    pub fn is_suspect(&self) -> bool {
        self.suspect.is_some()
    }

    /// Takes a sample in; returns whether suspicion began or ended.
    pub fn sample(&mut self, sample: Sample, now: Instant) -> bool {
        let before = self.is_suspect();
        match &mut self.suspect {
            None => self.sample_clean(sample, now),
            Some(it) => match sample {
                Sample::Good => {
                    it.good += 1;
                    if it.good >= CLEARING {
                        *self = Self::default();
                    }
                }
                // Answers that were under way when suspicion began say nothing new.
                Sample::Doubtful | Sample::Bad if now < it.rests_until => it.good = 0,
                Sample::Doubtful | Sample::Bad => {
                    let rest = (it.rest * 3 / 2).min(LONGEST_REST);
                    *it = Suspect { good: 0, rests_until: now + rest, rest };
                }
            },
        }
        before != self.is_suspect()
    }

    fn sample_clean(&mut self, sample: Sample, now: Instant) {
        self.doubts = match sample {
            Sample::Good => 0,
            Sample::Doubtful => self.doubts + 1,
            Sample::Bad => DOUBTS,
        };
        if self.doubts >= DOUBTS {
            self.doubts = 0;
            self.suspect = Some(Suspect { good: 0, rests_until: now + FIRST_REST, rest: FIRST_REST });
        }
    }

    /// Whether work may be begun, with `trials` begun during this suspicion and not ended.
    ///
    /// A suspect takes work that [may be a trial](may_be_trial), one piece at a time, one more for each
    /// good answer.
    pub fn admits(&self, trial: bool, trials: u32, now: Instant) -> bool {
        match self.suspect {
            None => true,
            Some(it) => trial && now >= it.rests_until && trials <= it.good,
        }
    }
}

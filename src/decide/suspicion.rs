//! Who bears the risk of an endpoint that may be failing gray.
//!
//! Load pattern: at any time several endpoints fail most of their work within a millisecond while
//! their health says all is well, so whoever chooses by load pours work into them. Healthy endpoints
//! fail one answer in a hundred, gray ones most of theirs: a single bad answer makes gray far
//! likelier than not. So one bad answer makes a suspect. Suspects get idempotent work only, which a
//! clean endpoint can repeat, and little of it, until several good answers came in a row.

use std::time::{Duration, Instant};

/// Good answers in a row that clear a suspect: at one bad answer in a hundred of a healthy endpoint
/// and three bad in four of a gray one, three good ones leave a chance of one in three that it is
/// gray still, and by then most spells of a few seconds are over.
const CLEARING: u32 = 3;
/// The pause after the first bad answer: shorter than the spells, longer than a burst of answers
/// that were under way together.
const FIRST_REST: Duration = Duration::from_millis(300);
/// The longest pause between trials: spells last several seconds, and each trial costs a retry.
const LONGEST_REST: Duration = Duration::from_millis(1_200);

/// What an endpoint's answers say of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Sample {
    /// It did the work.
    Good,
    /// It failed, broke off, stayed silent, or was full below its slots.
    Bad,
}

/// The recent record of one endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Record {
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

    /// When the next trial may begin; `None` while it is clean.
    pub fn next_trial(&self) -> Option<Instant> {
        self.suspect.map(|it| it.rests_until)
    }

    /// Takes a sample in; returns whether suspicion began or ended.
    pub fn sample(&mut self, sample: Sample, now: Instant) -> bool {
        let before = self.is_suspect();
        self.suspect = match (sample, self.suspect) {
            (Sample::Good, None) => None,
            (Sample::Good, Some(it)) if it.good + 1 >= CLEARING => None,
            (Sample::Good, Some(it)) => Some(Suspect { good: it.good + 1, ..it }),
            (Sample::Bad, None) => Some(Suspect { good: 0, rests_until: now + FIRST_REST, rest: FIRST_REST }),
            // Answers that were under way when suspicion began say nothing new.
            (Sample::Bad, Some(it)) if now < it.rests_until => Some(Suspect { good: 0, ..it }),
            (Sample::Bad, Some(it)) => {
                let rest = (it.rest * 3 / 2).min(LONGEST_REST);
                Some(Suspect { good: 0, rests_until: now + rest, rest })
            }
        };
        before != self.is_suspect()
    }

    /// Whether work may be begun, with `running` at the endpoint already.
    ///
    /// A trial is one piece of idempotent work at a time, one more for each good answer.
    pub fn admits(&self, idempotent: bool, running: u32, now: Instant) -> bool {
        match self.suspect {
            None => true,
            Some(it) => idempotent && now >= it.rests_until && running <= it.good,
        }
    }
}

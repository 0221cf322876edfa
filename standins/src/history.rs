//! Checks what callers were told against what really ran.

use std::fmt;

use crate::load::{Record, ReportedOutcome, RequestClass};

/// How many broken operations are printed.
const EXAMPLES: usize = 5;

/// What the check found. All but `unknown` must be zero.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct HistoryReport {
    /// Operations.
    pub operations: usize,
    /// Those that ended with an answer below 500.
    pub done: usize,
    /// Ticketed operations that ran more than once.
    pub ran_twice: usize,
    /// Told "not run", but it ran.
    pub not_run_but_ran: usize,
    /// Told "done", but it did not run.
    pub done_but_not_run: usize,
    /// Got the answer to another operation.
    pub wrong_answers: usize,
    /// Ticketed operations whose outcome stayed unknown, lost connections included.
    pub unknown: usize,
    /// Of those, the ones that ran.
    pub unknown_but_ran: usize,
    /// The operations that broke a promise.
    pub violations: Vec<Box<str>>,
}

impl HistoryReport {
    /// Whether every caller learnt the truth and nothing was doubled.
    pub fn passed(&self) -> bool {
        self.ran_twice + self.not_run_but_ran + self.done_but_not_run + self.wrong_answers == 0
    }
}

impl fmt::Display for HistoryReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "operations {} (done {}), ran twice {}, told not-run but ran {}, told done but not run {}, another's answer {}, \
             unknown {} (of which ran {})",
            self.operations,
            self.done,
            self.ran_twice,
            self.not_run_but_ran,
            self.done_but_not_run,
            self.wrong_answers,
            self.unknown,
            self.unknown_but_ran
        )?;
        self.violations.iter().take(EXAMPLES).try_for_each(|it| write!(f, "\n  {it}"))
    }
}

/// Checks a history against the sorted runs of all endpoints.
pub fn check(mix: &[RequestClass], history: &[Record], runs: &[Box<str>]) -> HistoryReport {
    let mut verdict = HistoryReport { operations: history.len(), ..HistoryReport::default() };
    for record in history {
        let ran = count(runs, &record.operation);
        let ticketed = mix[record.class_index].ticketed;
        verdict.ran_twice += usize::from(ticketed && ran > 1);
        verdict.done += usize::from(matches!(record.last_outcome, ReportedOutcome::Done(..500)));
        verdict.wrong_answers += usize::from(record.wrong_answer);
        let untrue = match record.last_outcome {
            ReportedOutcome::NotRun => ran > 0,
            ReportedOutcome::Done(_) => ran == 0,
            ReportedOutcome::Unknown | ReportedOutcome::Lost => false,
        };
        if untrue || record.wrong_answer || (ticketed && ran > 1) {
            verdict.violations.push(format!("{record:?}, ran {ran}").into());
        }
        match record.last_outcome {
            ReportedOutcome::NotRun => verdict.not_run_but_ran += usize::from(ran > 0),
            ReportedOutcome::Done(_) => verdict.done_but_not_run += usize::from(ran == 0),
            ReportedOutcome::Unknown | ReportedOutcome::Lost => {
                verdict.unknown += usize::from(ticketed);
                verdict.unknown_but_ran += usize::from(ticketed && ran > 0);
            }
        }
    }
    verdict
}

fn count(runs: &[Box<str>], operation: &str) -> usize {
    let from = runs.partition_point(|it| **it < *operation);
    runs[from..].iter().take_while(|it| ***it == *operation).count()
}

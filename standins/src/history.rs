//! Checks the outcomes that callers received against the operations that endpoints executed.

use std::fmt;

use crate::load::{Record, ReportedOutcome, RequestClass};

/// Number of violations that are printed.
const PRINTED_VIOLATIONS: usize = 5;

/// Result of a check. The counts of `passed` must be zero; the others are informative.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct HistoryReport {
    /// All operations.
    pub operations: usize,
    /// Operations whose last outcome was done, with a status below 500.
    pub done: usize,
    /// Operations with a ticket that ran more than once.
    pub ran_twice: usize,
    /// Operations reported as not run that did run.
    pub not_run_but_ran: usize,
    /// Operations reported as done that did not run.
    pub done_but_not_run: usize,
    /// Operations that received the answer to another operation.
    pub wrong_answers: usize,
    /// Operations with a ticket whose outcome stayed unknown, lost connections included.
    pub unknown: usize,
    /// Operations of `unknown` that did run.
    pub unknown_but_ran: usize,
    /// Records of the operations that failed the check.
    pub violations: Vec<Box<str>>,
}

impl HistoryReport {
    /// Whether no reported outcome was false and no operation with a ticket ran twice.
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
        self.violations.iter().take(PRINTED_VIOLATIONS).try_for_each(|it| write!(f, "\n  {it}"))
    }
}

/// Checks a history against the sorted operations in the run logs of all endpoints.
pub fn check(mix: &[RequestClass], history: &[Record], runs: &[Box<str>]) -> HistoryReport {
    let mut report = HistoryReport { operations: history.len(), ..HistoryReport::default() };
    for record in history {
        let ran = run_count(runs, &record.operation);
        let ticketed = mix[record.class_index].ticketed;
        report.ran_twice += usize::from(ticketed && ran > 1);
        report.done += usize::from(matches!(record.last_outcome, ReportedOutcome::Done(..500)));
        report.wrong_answers += usize::from(record.wrong_answer);
        let false_outcome = match record.last_outcome {
            ReportedOutcome::NotRun => ran > 0,
            ReportedOutcome::Done(_) => ran == 0,
            ReportedOutcome::Unknown | ReportedOutcome::Lost => false,
        };
        if false_outcome || record.wrong_answer || (ticketed && ran > 1) {
            report.violations.push(format!("{record:?}, ran {ran}").into());
        }
        match record.last_outcome {
            ReportedOutcome::NotRun => report.not_run_but_ran += usize::from(ran > 0),
            ReportedOutcome::Done(_) => report.done_but_not_run += usize::from(ran == 0),
            ReportedOutcome::Unknown | ReportedOutcome::Lost => {
                report.unknown += usize::from(ticketed);
                report.unknown_but_ran += usize::from(ticketed && ran > 0);
            }
        }
    }
    report
}

fn run_count(runs: &[Box<str>], operation: &str) -> usize {
    let start = runs.partition_point(|it| **it < *operation);
    runs[start..].iter().take_while(|it| ***it == *operation).count()
}

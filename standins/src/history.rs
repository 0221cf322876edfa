//! Checks what callers were told against what really ran.

use std::fmt;

use crate::load::{Kind, Record, Told};

/// How many broken operations are printed.
const EXAMPLES: usize = 5;

/// What the check found. All but `unknown` must be zero.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Verdict {
    /// Operations.
    pub operations: usize,
    /// Those that ended with an answer below 500.
    pub done: usize,
    /// Ticketed operations that ran more than once.
    pub doubled: usize,
    /// Told "not run", but it ran.
    pub not_run_but_ran: usize,
    /// Told "done", but it did not run.
    pub done_but_not_run: usize,
    /// Got the answer to another operation.
    pub foreign: usize,
    /// Ticketed operations whose outcome stayed unknown, lost connections included.
    pub unknown: usize,
    /// Of those, the ones that ran.
    pub unknown_but_ran: usize,
    /// The operations that broke a promise.
    pub examples: Vec<Box<str>>,
}

impl Verdict {
    /// Whether every caller learnt the truth and nothing was doubled.
    pub fn holds(&self) -> bool {
        self.doubled + self.not_run_but_ran + self.done_but_not_run + self.foreign == 0
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "operations {} (done {}), ran twice {}, told not-run but ran {}, told done but not run {}, another's answer {}, \
             unknown {} (of which ran {})",
            self.operations,
            self.done,
            self.doubled,
            self.not_run_but_ran,
            self.done_but_not_run,
            self.foreign,
            self.unknown,
            self.unknown_but_ran
        )?;
        self.examples.iter().take(EXAMPLES).try_for_each(|it| write!(f, "\n  {it}"))
    }
}

/// Checks a history against the sorted runs of all endpoints.
pub fn check(mix: &[Kind], history: &[Record], runs: &[Box<str>]) -> Verdict {
    let mut verdict = Verdict { operations: history.len(), ..Verdict::default() };
    for record in history {
        let ran = count(runs, &record.operation);
        let ticketed = mix[record.kind].ticketed;
        verdict.doubled += usize::from(ticketed && ran > 1);
        verdict.done += usize::from(matches!(record.told, Told::Done(..500)));
        verdict.foreign += usize::from(record.foreign);
        let untrue = match record.told {
            Told::NotRun => ran > 0,
            Told::Done(_) => ran == 0,
            Told::Unknown | Told::Lost => false,
        };
        if untrue || record.foreign || (ticketed && ran > 1) {
            verdict.examples.push(format!("{record:?}, ran {ran}").into());
        }
        match record.told {
            Told::NotRun => verdict.not_run_but_ran += usize::from(ran > 0),
            Told::Done(_) => verdict.done_but_not_run += usize::from(ran == 0),
            Told::Unknown | Told::Lost => {
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

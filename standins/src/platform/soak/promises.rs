//! The promises, checked against what callers and endpoints saw.

#[cfg(test)]
mod tests;

use std::{
    fmt,
    time::{Duration, Instant},
};

use super::{
    callers::{Outcome, Record},
    crashing,
    faults::{Disturbed, Left, Troubled},
};
use crate::platform::endpoint::Arrival;

/// How many broken promises are printed in full.
const EXAMPLES: usize = 5;
/// After an acknowledged leaving, work may still be on its way for this long.
const DRAIN: Duration = Duration::from_secs(2);
/// A connection that ends this close to a disturbance may have ended for it.
const NEAR: Duration = Duration::from_millis(300);

/// All that was seen.
pub(super) struct Seen {
    pub(super) records: Vec<Record>,
    /// By proxy.
    pub(super) arrivals: Vec<Vec<Arrival>>,
    /// The services of the endpoints, by proxy.
    pub(super) services: Vec<String>,
    pub(super) disturbed: Vec<Disturbed>,
    pub(super) troubled: Vec<Troubled>,
    pub(super) left: Vec<Left>,
    pub(super) reverts: usize,
    pub(super) crashes: usize,
    pub(super) converged: bool,
}

/// What the check found. All but the first three must be zero.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ProxySoakReport {
    /// Requests.
    pub requests: usize,
    /// Those with an endpoint's good answer.
    pub served: usize,
    /// Those that may have run, for all their callers know.
    pub unknown: usize,
    /// Work that must not run twice, and did.
    pub twice: usize,
    /// Told that it did not run, but it did.
    pub refused_but_ran: usize,
    /// Answers that are not the endpoint's whole answer to their request.
    pub mixed: usize,
    /// Work that nobody asked for, or that was changed on the way.
    pub unasked: usize,
    /// Proper requests that were denied.
    pub denied: usize,
    /// Work that began after its endpoint's leaving was acknowledged.
    pub after_leaving: usize,
    /// Connections that ended without an answer to what had been passed on.
    pub lost: usize,
    /// Runs of a request that ends its endpoints after it had to be known, beyond what is allowed.
    pub late_ends: usize,
    /// Other requests that were refused as if they ended their endpoints.
    pub held_back: usize,
    /// Versions that went back.
    pub reverts: usize,
    /// Proxies that ended of themselves.
    pub crashes: usize,
    /// Whether the fleet was not whole again in time.
    pub scattered: bool,
    /// What broke a promise.
    pub examples: Vec<Box<str>>,
}

impl ProxySoakReport {
    /// Whether every promise was kept.
    pub fn passed(&self) -> bool {
        let broken = self.twice
            + self.refused_but_ran
            + self.mixed
            + self.unasked
            + self.denied
            + self.after_leaving
            + self.lost
            + self.late_ends
            + self.held_back
            + self.reverts
            + self.crashes;
        broken == 0 && !self.scattered
    }

    fn note(&mut self, promise: &str, what: &impl fmt::Debug) {
        if self.examples.len() < EXAMPLES {
            self.examples.push(format!("{promise}: {what:?}").into());
        }
    }
}

impl fmt::Display for ProxySoakReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "requests {} (served {}, unknown {}); twice {}, refused but ran {}, mixed {}, unasked {}, denied {}, \
             after leaving {}, lost {}, late ends {}, held back {}, versions back {}, crashes {}, scattered {}",
            self.requests,
            self.served,
            self.unknown,
            self.twice,
            self.refused_but_ran,
            self.mixed,
            self.unasked,
            self.denied,
            self.after_leaving,
            self.lost,
            self.late_ends,
            self.held_back,
            self.reverts,
            self.crashes,
            self.scattered
        )?;
        self.examples.iter().try_for_each(|it| write!(f, "\n  {it}"))
    }
}

/// Checks the promises.
pub(super) fn judge(mut seen: Seen) -> ProxySoakReport {
    seen.records.sort_by(|a, b| a.request.cmp(&b.request));
    let mut verdict = ProxySoakReport {
        requests: seen.records.len(),
        reverts: seen.reverts,
        crashes: seen.crashes,
        scattered: !seen.converged,
        ..ProxySoakReport::default()
    };
    check_arrivals(&seen, &mut verdict);
    verdict.late_ends = crashing::late_runs(&seen.arrivals, &seen.records, &seen.troubled);
    let mut runs: Vec<&str> = seen.arrivals.iter().flatten().filter(|it| it.ran).map(|it| &*it.request).collect();
    runs.sort_unstable();
    for record in &seen.records {
        let from = runs.partition_point(|it| **it < *record.request);
        let ran = runs[from..].iter().take_while(|it| **it == record.request).count();
        check_record(record, ran, &seen.disturbed, &mut verdict);
    }
    verdict
}

fn check_record(record: &Record, ran: usize, disturbed: &[Disturbed], verdict: &mut ProxySoakReport) {
    if !record.idempotent && ran > 1 {
        verdict.twice += 1;
        verdict.note("ran twice", &(record, ran));
    }
    if matches!(record.outcome, Outcome::Told { held_back: true, .. }) && record.line != crashing::LINE {
        verdict.held_back += 1;
        verdict.note("held back, though it ends nothing", record);
    }
    match record.outcome {
        Outcome::Told { status: 429 | 503 | 408 | 421, .. } if !record.idempotent && ran > 0 => {
            verdict.refused_but_ran += 1;
            verdict.note("refused, but ran", record);
        }
        Outcome::Told { status: 200, genuine: true, .. } => verdict.served += 1,
        Outcome::Told { status: 200, genuine: false, .. } => {
            verdict.mixed += 1;
            verdict.note("not the endpoint's answer", record);
        }
        Outcome::Told { status: 400..=499, .. } => {
            verdict.denied += 1;
            verdict.note("denied", record);
        }
        Outcome::Told { status: 502 | 504, .. } => verdict.unknown += 1,
        Outcome::Told { .. } => (),
        Outcome::Closed | Outcome::Silent => {
            verdict.unknown += 1;
            let excused = disturbed
                .iter()
                .any(|it| it.proxy == record.proxy && it.from < record.ended + NEAR && record.sent < it.to + NEAR);
            if ran > 0 && !excused {
                verdict.lost += 1;
                verdict.note("no answer to what was passed on", record);
            }
        }
    }
}

fn check_arrivals(seen: &Seen, verdict: &mut ProxySoakReport) {
    for (proxy, arrivals) in seen.arrivals.iter().enumerate() {
        for arrival in arrivals.iter().filter(|it| it.ran) {
            let asked = seen.records.binary_search_by(|it| it.request.cmp(&arrival.request));
            let same = asked.is_ok_and(|it| {
                let record = &seen.records[it];
                let body: &[u8] = if record.idempotent { b"" } else { record.request.as_bytes() };
                record.line == arrival.line && arrival.body == body && seen.services[record.proxy] == arrival.caller
            });
            if !same {
                verdict.unasked += 1;
                verdict.note("nobody asked for this", arrival);
            }
            if left_before(&seen.left, proxy, arrival.at) {
                verdict.after_leaving += 1;
                verdict.note("began after the endpoint's leaving was acknowledged", arrival);
            }
        }
    }
}

fn left_before(left: &[Left], proxy: usize, at: Instant) -> bool {
    let gone = |it: &Left| it.from + DRAIN < at && it.to.is_none_or(|to| at < to);
    left.iter().any(|it| it.proxy == proxy && gone(it))
}

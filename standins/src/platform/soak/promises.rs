//! Checks the promises of the fleet against the records of callers and endpoints: which requests ran, where and how
//! often, and which responses their callers got.

#[cfg(test)]
mod tests;

use std::{
    fmt,
    time::{Duration, Instant},
};

use super::{
    callers::{Outcome, Record},
    crashing,
    faults::{DisturbedPeriod, DrainingPeriod, FaultPeriod},
};
use crate::platform::{
    endpoint::{Arrival, NamedLimit},
    endpoint_rules::{CallerRecord, EndpointRecord, EndpointRules, ProxyFault},
};

/// Number of violations that are printed in full.
const MAX_VIOLATIONS: usize = 5;
/// Time for which requests may still arrive after an endpoint's draining was acknowledged.
const DRAIN_TIME: Duration = Duration::from_secs(2);
/// A connection that ends within this time of a disturbance may have ended because of it.
const DISTURBANCE_MARGIN: Duration = Duration::from_millis(300);

/// Everything that was recorded during a soak.
pub(super) struct Observations {
    pub(super) records: Vec<Record>,
    /// Arrivals at the endpoints, by proxy.
    pub(super) arrivals: Vec<Vec<Arrival>>,
    /// The services of the endpoints, by proxy.
    pub(super) services: Vec<String>,
    pub(super) disturbances: Vec<DisturbedPeriod>,
    pub(super) fault_periods: Vec<FaultPeriod>,
    pub(super) draining_periods: Vec<DrainingPeriod>,
    /// Limits that the endpoints named, by proxy.
    pub(super) limits: Vec<Vec<NamedLimit>>,
    pub(super) restarts: Vec<ProxyFault>,
    pub(super) endpoint_path_faults: Vec<ProxyFault>,
    pub(super) reverts: usize,
    pub(super) crashes: usize,
    pub(super) converged: bool,
}

/// Findings of the checks. All counts but the first three must be zero.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ProxySoakReport {
    /// Requests that callers sent.
    pub requests: usize,
    /// Requests with the complete 200 of an endpoint.
    pub served: usize,
    /// Requests whose callers don't know whether they ran.
    pub unknown: usize,
    /// Non-idempotent requests that ran more than once.
    pub ran_twice: usize,
    /// Non-idempotent requests that were refused as not run, but ran.
    pub refused_but_ran: usize,
    /// Responses with status 200 that aren't the endpoint's complete response to their request.
    pub wrong_answers: usize,
    /// Runs of requests that no caller sent, or that were changed on the way.
    pub unrequested: usize,
    /// Valid requests that got a 4xx status.
    pub denied: usize,
    /// Runs that started too long after the endpoint's draining was acknowledged.
    pub started_after_leaving: usize,
    /// Requests that ran and got no response, without a disturbance that explains it.
    pub lost_responses: usize,
    /// Runs of the crashing request after it had to be quarantined, beyond the allowed number.
    pub late_crash_runs: usize,
    /// Other requests that were refused as quarantined.
    pub wrongly_quarantined: usize,
    /// Endpoints that got more requests than a limit that they had named.
    pub limits_exceeded: usize,
    /// Requests that arrived at endpoints that had said in an answer that they were leaving.
    pub arrived_after_leaving: usize,
    /// Decreases of a proxy's configuration version.
    pub reverts: usize,
    /// Proxies that exited although the soak had neither killed nor stopped them.
    pub crashes: usize,
    /// Whether the fleet failed to converge in time after the last fault.
    pub not_converged: bool,
    /// The first violations, with the name of the promise.
    pub violations: Vec<Box<str>>,
}

impl ProxySoakReport {
    /// Whether no violation was found.
    pub fn passed(&self) -> bool {
        let violations = self.ran_twice
            + self.refused_but_ran
            + self.wrong_answers
            + self.unrequested
            + self.denied
            + self.started_after_leaving
            + self.lost_responses
            + self.late_crash_runs
            + self.wrongly_quarantined
            + self.limits_exceeded
            + self.arrived_after_leaving
            + self.reverts
            + self.crashes;
        violations == 0 && !self.not_converged
    }

    fn add_violation(&mut self, promise: &str, subject: &impl fmt::Debug) {
        if self.violations.len() < MAX_VIOLATIONS {
            self.violations.push(format!("{promise}: {subject:?}").into());
        }
    }
}

impl fmt::Display for ProxySoakReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "requests {} (served {}, unknown {}); twice {}, refused but ran {}, mixed {}, unasked {}, denied {}, \
             after leaving {}, lost {}, late ends {}, held back {}, over limits {}, to leaving {}, versions back {}, crashes {}, scattered {}",
            self.requests,
            self.served,
            self.unknown,
            self.ran_twice,
            self.refused_but_ran,
            self.wrong_answers,
            self.unrequested,
            self.denied,
            self.started_after_leaving,
            self.lost_responses,
            self.late_crash_runs,
            self.wrongly_quarantined,
            self.limits_exceeded,
            self.arrived_after_leaving,
            self.reverts,
            self.crashes,
            self.not_converged
        )?;
        self.violations.iter().try_for_each(|it| write!(f, "\n  {it}"))
    }
}

/// Runs all checks.
pub(super) fn check(mut observations: Observations) -> ProxySoakReport {
    observations.records.sort_by(|a, b| a.request_id.cmp(&b.request_id));
    let mut report = ProxySoakReport {
        requests: observations.records.len(),
        reverts: observations.reverts,
        crashes: observations.crashes,
        not_converged: !observations.converged,
        ..ProxySoakReport::default()
    };
    check_arrivals(&observations, &mut report);
    check_endpoint_rules(&observations, &mut report);
    report.late_crash_runs =
        crashing::late_runs(&observations.arrivals, &observations.records, &observations.fault_periods);
    let mut runs: Vec<&str> =
        observations.arrivals.iter().flatten().filter(|it| it.ran).map(|it| &*it.request_id).collect();
    runs.sort_unstable();
    for record in &observations.records {
        let from = runs.partition_point(|it| **it < *record.request_id);
        let ran = runs[from..].iter().take_while(|it| **it == record.request_id).count();
        check_record(record, ran, &observations.disturbances, &mut report);
    }
    report
}

fn check_record(record: &Record, ran: usize, disturbances: &[DisturbedPeriod], report: &mut ProxySoakReport) {
    if !record.idempotent && ran > 1 {
        report.ran_twice += 1;
        report.add_violation("ran twice", &(record, ran));
    }
    if matches!(record.outcome, Outcome::Response { quarantined: true, .. })
        && record.method_and_target != crashing::REQUEST_LINE
    {
        report.wrongly_quarantined += 1;
        report.add_violation("held back, though it ends nothing", record);
    }
    match record.outcome {
        Outcome::Response { status: 429 | 503 | 408 | 421, .. } if !record.idempotent && ran > 0 => {
            report.refused_but_ran += 1;
            report.add_violation("refused, but ran", record);
        }
        Outcome::Response { status: 200, from_endpoint: true, .. } => report.served += 1,
        Outcome::Response { status: 200, from_endpoint: false, .. } => {
            report.wrong_answers += 1;
            report.add_violation("not the endpoint's answer", record);
        }
        Outcome::Response { status: 400..=499, .. } => {
            report.denied += 1;
            report.add_violation("denied", record);
        }
        Outcome::Response { status: 502 | 504, .. } => report.unknown += 1,
        Outcome::Response { .. } => (),
        Outcome::Closed | Outcome::Silent => {
            report.unknown += 1;
            let excused = disturbances.iter().any(|it| {
                it.proxy == record.proxy
                    && it.from < record.ended + DISTURBANCE_MARGIN
                    && record.sent < it.to + DISTURBANCE_MARGIN
            });
            if ran > 0 && !excused {
                report.lost_responses += 1;
                report.add_violation("no answer to what was passed on", record);
            }
        }
    }
}

fn check_arrivals(observations: &Observations, report: &mut ProxySoakReport) {
    for (proxy, arrivals) in observations.arrivals.iter().enumerate() {
        for arrival in arrivals.iter().filter(|it| it.ran) {
            let sender = observations.records.binary_search_by(|it| it.request_id.cmp(&arrival.request_id));
            let unchanged = sender.is_ok_and(|it| {
                let record = &observations.records[it];
                let body: &[u8] = if record.idempotent { b"" } else { record.request_id.as_bytes() };
                record.method_and_target == arrival.method_and_target
                    && arrival.body == body
                    && observations.services[record.proxy] == arrival.caller
            });
            if !unchanged {
                report.unrequested += 1;
                report.add_violation("nobody asked for this", arrival);
            }
            if was_draining(&observations.draining_periods, proxy, arrival.at) {
                report.started_after_leaving += 1;
                report.add_violation("began after the endpoint's leaving was acknowledged", arrival);
            }
        }
    }
}

/// Checks what endpoints asked for in their answers.
fn check_endpoint_rules(observations: &Observations, report: &mut ProxySoakReport) {
    let to_caller_record = |it: &Record| CallerRecord {
        request_id: it.request_id.clone(),
        proxy: it.proxy,
        sent: it.sent,
        ended: it.ended,
        notice: it.notice.clone(),
    };
    let records: Vec<_> = observations.records.iter().map(to_caller_record).collect();
    let endpoints = observations.arrivals.iter().zip(&observations.limits).enumerate();
    let endpoints: Vec<_> = endpoints
        .map(|(proxy, (arrivals, limits))| EndpointRecord {
            arrivals: arrivals.clone(),
            limits: limits.clone(),
            path_faults: observations.endpoint_path_faults.iter().filter(|it| it.proxy == proxy).copied().collect(),
        })
        .collect();
    let rules = EndpointRules::new(&records, &endpoints, &observations.restarts);
    let (exceeded, late) = (rules.limits_exceeded(), rules.arrived_after_leaving());
    report.limits_exceeded = exceeded.len();
    report.arrived_after_leaving = late.len();
    exceeded.iter().for_each(|it| report.add_violation("limit exceeded", it));
    late.iter().for_each(|it| report.add_violation("arrived after leaving", it));
}

fn was_draining(draining_periods: &[DrainingPeriod], proxy: usize, at: Instant) -> bool {
    let covers = |it: &DrainingPeriod| it.from + DRAIN_TIME < at && it.to.is_none_or(|to| at < to);
    draining_periods.iter().any(|it| it.proxy == proxy && covers(it))
}

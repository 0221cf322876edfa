//! Each check finds one violation of its own kind and allows what the faults explain.

use std::time::{Duration, Instant};

use super::{
    DisturbedPeriod, DrainingPeriod, FaultPeriod, Observations, Outcome, ProxySoakReport, Record, check, crashing,
};
use crate::platform::{endpoint::Arrival, endpoint_rules::AnswerNotice};

const SECOND: Duration = Duration::from_secs(1);

fn record(outcome: Outcome, start: Instant) -> Record {
    let (request_id, method_and_target) = ("a-1".to_owned(), "POST /write/1".to_owned());
    let (ended, notice) = (start + SECOND, AnswerNotice::default());
    Record { request_id, idempotent: false, proxy: 0, method_and_target, sent: start, ended, outcome, notice }
}

fn arrival(at: Instant) -> Arrival {
    Arrival {
        request_id: "a-1".to_owned(),
        method_and_target: "POST /write/1".to_owned(),
        instance: "i-1".into(),
        misdirected: false,
        caller: "desk".to_owned(),
        deadline_ms: 2_000,
        body: b"a-1".to_vec(),
        ran: true,
        cancelled: false,
        at,
    }
}

fn response(status: u16, from_endpoint: bool) -> Outcome {
    Outcome::Response { status, from_endpoint, quarantined: false }
}

fn observations(outcome: Outcome, arrivals: Vec<Arrival>, start: Instant) -> Observations {
    Observations {
        records: vec![record(outcome, start)],
        arrivals: vec![arrivals],
        services: vec!["desk".to_owned()],
        disturbances: Vec::new(),
        fault_periods: Vec::new(),
        limits: vec![Vec::new()],
        restarts: Vec::new(),
        endpoint_path_faults: Vec::new(),
        draining_periods: Vec::new(),
        reverts: 0,
        crashes: 0,
        converged: true,
    }
}

#[test]
fn a_request_that_ran_once_and_got_its_response_passes() {
    let start = Instant::now();

    let report = check(observations(response(200, true), vec![arrival(start)], start));

    assert!(report.passed(), "{report}");
    assert_eq!((report.requests, report.served), (1, 1));
}

/// Reads one count of a report.
type Count = fn(&ProxySoakReport) -> usize;

#[test]
fn each_violation_is_counted() {
    let start = Instant::now();
    let changed = Arrival { body: b"other".to_vec(), ..arrival(start) };
    let forged = Arrival { caller: "ledger".to_owned(), ..arrival(start) };
    let once = || vec![arrival(start)];
    let draining_period = DrainingPeriod { proxy: 0, from: start - 3 * SECOND, to: None };
    let quarantined = Outcome::Response { status: 503, from_endpoint: false, quarantined: true };
    let cases: [(Observations, Count); 11] = [
        (observations(quarantined, Vec::new(), start), |it| it.wrongly_quarantined),
        (observations(response(200, true), vec![arrival(start), arrival(start)], start), |it| it.ran_twice),
        (observations(response(503, false), once(), start), |it| it.refused_but_ran),
        (observations(response(200, false), once(), start), |it| it.wrong_answers),
        (observations(response(200, true), vec![changed], start), |it| it.unrequested),
        (observations(response(200, true), vec![forged], start), |it| it.unrequested),
        (observations(response(404, false), Vec::new(), start), |it| it.denied),
        (observations(Outcome::Closed, once(), start), |it| it.lost_responses),
        (
            Observations {
                draining_periods: vec![draining_period],
                ..observations(response(200, true), once(), start)
            },
            |it| it.started_after_leaving,
        ),
        (Observations { reverts: 1, ..observations(response(200, true), once(), start) }, |it| it.reverts),
        (Observations { crashes: 1, ..observations(response(200, true), once(), start) }, |it| it.crashes),
    ];

    for (at, (observations, count)) in cases.into_iter().enumerate() {
        let report = check(observations);
        assert_eq!(count(&report), 1, "case {at}: {report}");
        assert!(!report.passed(), "case {at}: {report}");
    }
}

/// The crashing request runs once a second; runs that a fault may explain don't count.
#[test]
fn late_runs_of_the_crashing_request_count_unless_a_fault_explains_them() {
    let start = Instant::now();
    let runs = |count: u32| {
        let ran = (0..count)
            .map(|at| Arrival { method_and_target: crashing::REQUEST_LINE.to_owned(), ..arrival(start + at * SECOND) });
        let request = Record {
            idempotent: true,
            method_and_target: crashing::REQUEST_LINE.to_owned(),
            ..record(response(502, false), start)
        };
        Observations { records: vec![request], ..observations(response(502, false), ran.collect(), start) }
    };
    let fault_period = |proxy| FaultPeriod { proxy, from: start, to: Some(start + 60 * SECOND) };

    // The third run starts at 2 s, so the quarantine is due at 5.02 s. Four of ten runs are later, and six of twelve;
    // three are allowed.
    assert_eq!(check(runs(10)).late_crash_runs, 1);
    assert_eq!(check(runs(12)).late_crash_runs, 3);
    assert_eq!(check(Observations { fault_periods: vec![fault_period(Some(0))], ..runs(12) }).late_crash_runs, 0);
    assert_eq!(check(Observations { fault_periods: vec![fault_period(None)], ..runs(12) }).late_crash_runs, 0);
    assert_eq!(check(Observations { fault_periods: vec![fault_period(Some(1))], ..runs(12) }).late_crash_runs, 3);
}

#[test]
fn only_a_killed_proxy_may_lose_responses() {
    let start = Instant::now();
    let killed = |proxy| DisturbedPeriod { proxy, from: start, to: start + SECOND };
    let lost = |proxy| {
        let observations = Observations {
            disturbances: vec![killed(proxy)],
            ..observations(Outcome::Closed, vec![arrival(start)], start)
        };
        check(observations).lost_responses
    };

    assert_eq!((lost(0), lost(1)), (0, 1));
}

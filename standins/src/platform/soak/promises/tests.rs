//! Each promise, broken once, is found.

use std::time::{Duration, Instant};

use super::{Disturbed, Left, Outcome, ProxySoakReport, Record, Seen, Troubled, crashing, judge};
use crate::platform::endpoint::Arrival;

const SECOND: Duration = Duration::from_secs(1);

fn record(outcome: Outcome, start: Instant) -> Record {
    let (request, line) = ("a-1".to_owned(), "POST /write/1".to_owned());
    Record { request, idempotent: false, proxy: 0, line, sent: start, ended: start + SECOND, outcome }
}

fn arrival(at: Instant) -> Arrival {
    Arrival {
        request: "a-1".to_owned(),
        line: "POST /write/1".to_owned(),
        caller: "desk".to_owned(),
        deadline_ms: 2_000,
        body: b"a-1".to_vec(),
        ran: true,
        cut_off: false,
        at,
    }
}

fn told(status: u16, genuine: bool) -> Outcome {
    Outcome::Told { status, genuine, held_back: false }
}

fn seen(outcome: Outcome, arrivals: Vec<Arrival>, start: Instant) -> Seen {
    Seen {
        records: vec![record(outcome, start)],
        arrivals: vec![arrivals],
        services: vec!["desk".to_owned()],
        disturbed: Vec::new(),
        troubled: Vec::new(),
        left: Vec::new(),
        reverts: 0,
        crashes: 0,
        converged: true,
    }
}

#[test]
fn what_ran_once_and_was_answered_keeps_all_promises() {
    let start = Instant::now();

    let verdict = judge(seen(told(200, true), vec![arrival(start)], start));

    assert!(verdict.passed(), "{verdict}");
    assert_eq!((verdict.requests, verdict.served), (1, 1));
}

/// How often a promise was broken.
type Count = fn(&ProxySoakReport) -> usize;

#[test]
fn each_broken_promise_is_found() {
    let start = Instant::now();
    let changed = Arrival { body: b"other".to_vec(), ..arrival(start) };
    let forged = Arrival { caller: "ledger".to_owned(), ..arrival(start) };
    let once = || vec![arrival(start)];
    let left = Left { proxy: 0, from: start - 3 * SECOND, to: None };
    let held_back = Outcome::Told { status: 503, genuine: false, held_back: true };
    let cases: [(Seen, Count); 11] = [
        (seen(held_back, Vec::new(), start), |it| it.held_back),
        (seen(told(200, true), vec![arrival(start), arrival(start)], start), |it| it.twice),
        (seen(told(503, false), once(), start), |it| it.refused_but_ran),
        (seen(told(200, false), once(), start), |it| it.mixed),
        (seen(told(200, true), vec![changed], start), |it| it.unasked),
        (seen(told(200, true), vec![forged], start), |it| it.unasked),
        (seen(told(404, false), Vec::new(), start), |it| it.denied),
        (seen(Outcome::Closed, once(), start), |it| it.lost),
        (Seen { left: vec![left], ..seen(told(200, true), once(), start) }, |it| it.after_leaving),
        (Seen { reverts: 1, ..seen(told(200, true), once(), start) }, |it| it.reverts),
        (Seen { crashes: 1, ..seen(told(200, true), once(), start) }, |it| it.crashes),
    ];

    for (at, (seen, count)) in cases.into_iter().enumerate() {
        let verdict = judge(seen);
        assert_eq!(count(&verdict), 1, "case {at}: {verdict}");
        assert!(!verdict.passed(), "case {at}: {verdict}");
    }
}

/// A request that ends its endpoints, which ran once a second; in trouble, or not, the proxy that took it.
#[test]
fn runs_of_a_request_that_ends_its_endpoints_count_once_it_had_to_be_known() {
    let start = Instant::now();
    let runs = |count: u32| {
        let ran = (0..count).map(|at| Arrival { line: crashing::LINE.to_owned(), ..arrival(start + at * SECOND) });
        let request = Record { idempotent: true, line: crashing::LINE.to_owned(), ..record(told(502, false), start) };
        Seen { records: vec![request], ..seen(told(502, false), ran.collect(), start) }
    };
    let trouble = |proxy| Troubled { proxy, from: start, to: Some(start + 60 * SECOND) };

    // The third is at 2 s; later than 5 s and a moment are four of ten, of twelve six.
    assert_eq!(judge(runs(10)).late_ends, 1);
    assert_eq!(judge(runs(12)).late_ends, 3);
    assert_eq!(judge(Seen { troubled: vec![trouble(Some(0))], ..runs(12) }).late_ends, 0);
    assert_eq!(judge(Seen { troubled: vec![trouble(None)], ..runs(12) }).late_ends, 0);
    assert_eq!(judge(Seen { troubled: vec![trouble(Some(1))], ..runs(12) }).late_ends, 3);
}

#[test]
fn a_killed_proxy_may_lose_its_answers_and_no_other() {
    let start = Instant::now();
    let killed = |proxy| Disturbed { proxy, from: start, to: start + SECOND };
    let lost = |proxy| {
        let seen = Seen { disturbed: vec![killed(proxy)], ..seen(Outcome::Closed, vec![arrival(start)], start) };
        judge(seen).lost
    };

    assert_eq!((lost(0), lost(1)), (0, 1));
}

//! Each promise, broken once, is found.

use std::time::{Duration, Instant};

use super::{Disturbed, Left, Outcome, Record, Seen, Verdict, judge};
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
    Outcome::Told { status, genuine }
}

fn seen(outcome: Outcome, arrivals: Vec<Arrival>, start: Instant) -> Seen {
    Seen {
        records: vec![record(outcome, start)],
        arrivals: vec![arrivals],
        services: vec!["desk".to_owned()],
        disturbed: Vec::new(),
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

    assert!(verdict.holds(), "{verdict}");
    assert_eq!((verdict.requests, verdict.served), (1, 1));
}

/// How often a promise was broken.
type Count = fn(&Verdict) -> usize;

#[test]
fn each_broken_promise_is_found() {
    let start = Instant::now();
    let changed = Arrival { body: b"other".to_vec(), ..arrival(start) };
    let forged = Arrival { caller: "ledger".to_owned(), ..arrival(start) };
    let once = || vec![arrival(start)];
    let left = Left { proxy: 0, from: start - 3 * SECOND, to: None };
    let cases: [(Seen, Count); 10] = [
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
        assert!(!verdict.holds(), "case {at}: {verdict}");
    }
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

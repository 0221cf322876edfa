//! Crash records of requests: which requests crashes make suspect or quarantine, when trials are due, and how records
//! merge.

use std::time::{Duration, Instant};

use jayreach::{
    decide::{
        fingerprint::Fingerprint,
        quarantine::{CrashRecord, CrashRecordUpdate, Quarantine},
        suspicion::EndpointStanding,
    },
    proxy::message::{AttemptKind, ReserveRequest},
};
use proptest::prelude::*;
use rstest::rstest;

fn fingerprint(number: u32) -> Fingerprint {
    Fingerprint::of_request("GET", "desk.example", &format!("/read/{number}"), b"", b"")
}

/// Records the crash of an endpoint that was running `requests`, all started with their current crash records.
fn crash_under(quarantine: &mut Quarantine, requests: &[Fingerprint], now: Instant) {
    let running: Vec<(Fingerprint, CrashRecord)> =
        requests.iter().map(|it| (*it, quarantine.crash_record(*it))).collect();
    quarantine.record_crash(&running, now);
}

#[test]
fn one_crash_makes_all_running_requests_suspect_and_quarantines_none() {
    let mut quarantine = Quarantine::default();
    let running = [1, 2, 3].map(fingerprint);

    crash_under(&mut quarantine, &running, Instant::now());

    assert!(
        running
            .iter()
            .all(|it| quarantine.crash_record(*it).is_suspect() && !quarantine.crash_record(*it).is_quarantined())
    );
    assert_eq!(quarantine.counts(), (3, 0));
}

#[test]
fn the_only_suspect_in_a_second_crash_is_quarantined_and_requests_running_with_it_are_not() {
    let mut quarantine = Quarantine::default();
    let [crashing, harmless, later] = [1, 2, 3].map(fingerprint);
    crash_under(&mut quarantine, &[crashing, harmless], Instant::now());

    crash_under(&mut quarantine, &[crashing, later], Instant::now());

    assert!(quarantine.crash_record(crashing).is_quarantined());
    assert!(!quarantine.crash_record(harmless).is_quarantined() && !quarantine.crash_record(later).is_quarantined());
}

#[test]
fn two_suspects_in_a_second_crash_are_not_quarantined_before_a_third() {
    let mut quarantine = Quarantine::default();
    let both = [1, 2].map(fingerprint);
    crash_under(&mut quarantine, &both, Instant::now());

    crash_under(&mut quarantine, &both, Instant::now());
    assert_eq!(quarantine.counts(), (2, 0));

    crash_under(&mut quarantine, &both[..1], Instant::now());
    assert!(quarantine.crash_record(both[0]).is_quarantined() && !quarantine.crash_record(both[1]).is_quarantined());
}

#[test]
fn simultaneous_crashes_count_once() {
    let mut quarantine = Quarantine::default();
    let request = fingerprint(1);
    let empty = CrashRecord::default();

    // Six endpoints that run the same request crash at once.
    for _ in 0..6 {
        quarantine.record_crash(&[(request, empty)], Instant::now());
    }

    assert!(quarantine.crash_record(request).is_suspect() && !quarantine.crash_record(request).is_quarantined());
}

#[test]
fn a_good_answer_clears_a_request_and_older_evidence_does_not_come_back() {
    let mut quarantine = Quarantine::default();
    let request = fingerprint(1);
    crash_under(&mut quarantine, &[request], Instant::now());
    let older = quarantine.crash_record(request);

    assert!(quarantine.record_success(request, Instant::now()));
    assert!(!quarantine.merge(request, older, Instant::now()));
    quarantine.record_crash(&[(request, older)], Instant::now());

    assert!(!quarantine.crash_record(request).is_suspect());
}

#[rstest]
#[case::suspect(1, Duration::from_secs(601), false)]
#[case::suspect_before_retention_ends(1, Duration::from_secs(599), true)]
#[case::quarantined(2, Duration::from_secs(601), true)]
#[case::quarantined_after_a_day(2, Duration::from_secs(24 * 3_600 + 1), false)]
fn records_expire(#[case] crashes: u32, #[case] after: Duration, #[case] known: bool) {
    let mut quarantine = Quarantine::default();
    let request = fingerprint(1);
    let now = Instant::now();
    (0..crashes).for_each(|_| crash_under(&mut quarantine, &[request], now));
    let updates = quarantine.updates(now + after);

    quarantine.remove_expired(now + after);

    assert_eq!(quarantine.crash_record(request).is_suspect(), known);
    // An update from a proxy that still has the record must not restore it.
    assert!(!updates.iter().any(|it| quarantine.merge_update(it, now + after)));
}

#[test]
fn the_newest_suspects_and_all_quarantined_requests_are_kept_at_the_limit() {
    let mut quarantine = Quarantine::default();
    let start = Instant::now();
    let quarantined = fingerprint(0);
    (0..2).for_each(|_| crash_under(&mut quarantine, &[quarantined], start));

    for number in 1..5_000 {
        crash_under(&mut quarantine, &[fingerprint(number)], start + Duration::from_millis(number.into()));
    }

    assert!(quarantine.crash_record(quarantined).is_quarantined());
    assert!(
        quarantine.crash_record(fingerprint(4_999)).is_suspect()
            && !quarantine.crash_record(fingerprint(1)).is_suspect()
    );
    assert!(quarantine.counts().0 <= 2_048);
}

/// Each trial may crash an endpoint, so their number is limited and their delays grow.
#[test]
fn trial_delays_grow_and_trials_end() {
    let mut quarantine = Quarantine::default();
    let request = fingerprint(1);
    let mut now = Instant::now();
    (0..2).for_each(|_| crash_under(&mut quarantine, &[request], now));

    let mut delays = Vec::new();
    while let Some(delay) = quarantine.next_trial_in(request, now) {
        delays.push(delay.as_secs());
        now += delay;
        assert_eq!(quarantine.next_trial_in(request, now), Some(Duration::ZERO));
        // The trial starts and crashes its endpoint.
        let trial = quarantine.crash_record(request).with_trial();
        quarantine.merge(request, trial, now);
        crash_under(&mut quarantine, &[request], now);
    }

    assert_eq!(delays, [30, 300, 3_600]);
    assert!(quarantine.crash_record(request).is_quarantined());
}

#[test]
fn a_postponed_trial_is_due_after_its_whole_delay() {
    let mut quarantine = Quarantine::default();
    let request = fingerprint(1);
    let now = Instant::now();
    (0..2).for_each(|_| crash_under(&mut quarantine, &[request], now));
    let due = now + quarantine.next_trial_in(request, now).expect("a trial is left");

    quarantine.postpone_trial(request, due);

    assert_eq!(quarantine.next_trial_in(request, due), Some(Duration::from_secs(30)));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, rng_seed: proptest::test_runner::RngSeed::Fixed(5), ..ProptestConfig::default() })]

    /// Updates are lost, duplicated and reordered; proxies that have exchanged all their records must agree.
    #[test]
    fn records_converge_whatever_the_order_of_updates(steps in proptest::collection::vec((0..3_usize, 0..4_u32, 0..4_u8), 1..60)) {
        let now = Instant::now();
        let mut proxies: [Quarantine; 3] = Default::default();
        for (at, request, action) in steps {
            let request = fingerprint(request);
            match action {
                0 => _ = proxies[at].record_success(request, now),
                1 => crash_under(&mut proxies[at], &[request], now),
                2 => {
                    let updates = proxies[at].updates(now);
                    updates.iter().rev().for_each(|it| _ = proxies[(at + 1) % 3].merge_update(it, now));
                }
                _ => {
                    let updates: Option<CrashRecordUpdate> = proxies[at].updates(now).first().copied();
                    updates.iter().for_each(|it| _ = proxies[(at + 2) % 3].merge_update(it, now));
                }
            }
        }
        for _ in 0..2 {
            for at in 0..3 {
                let updates = proxies[at].updates(now);
                updates.iter().for_each(|it| _ = proxies[(at + 1) % 3].merge_update(it, now));
            }
        }

        prop_assert_eq!(proxies[0].updates(now), proxies[1].updates(now));
        prop_assert_eq!(proxies[1].digest(), proxies[2].digest());
    }
}

/// During an upgrade, proxies receive reservations of an earlier release, which lack the last fields.
#[test]
fn a_reservation_of_an_earlier_release_is_decoded() {
    let start_within = Duration::from_secs(1);
    let attempt_kind = AttemptKind::First { retry_share: 0.0 };
    let earlier = (
        "vm-1",
        7_u64,
        "desk",
        "read",
        true,
        true,
        attempt_kind,
        false,
        false,
        2_u32,
        start_within,
        EndpointStanding::default(),
    );

    let bytes = rmp_serde::to_vec(&earlier).expect("tuples can be encoded");
    let reserve: ReserveRequest = rmp_serde::from_slice(&bytes).expect("an earlier reservation can be decoded");

    assert_eq!(
        (&*reserve.route, reserve.crash_record, reserve.is_quarantine_trial),
        ("read", CrashRecord::default(), false)
    );
}

//! What speaks against requests under which endpoints ended, replayed against the load patterns that it answers.

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

/// An endpoint ended under these requests, all of which had begun when no more was known than now.
fn end_under(quarantine: &mut Quarantine, requests: &[Fingerprint], now: Instant) {
    let work: Vec<(Fingerprint, CrashRecord)> = requests.iter().map(|it| (*it, quarantine.crash_record(*it))).collect();
    quarantine.record_crash(&work, now);
}

#[test]
fn one_end_makes_suspects_of_all_work_and_holds_none_back() {
    let mut quarantine = Quarantine::default();
    let work = [1, 2, 3].map(fingerprint);

    end_under(&mut quarantine, &work, Instant::now());

    assert!(
        work.iter()
            .all(|it| quarantine.crash_record(*it).is_suspect() && !quarantine.crash_record(*it).is_quarantined())
    );
    assert_eq!(quarantine.counts(), (3, 0));
}

#[test]
fn the_only_suspect_under_a_second_end_is_held_back_and_what_ran_beside_it_is_not() {
    let mut quarantine = Quarantine::default();
    let [crashing, beside, later] = [1, 2, 3].map(fingerprint);
    end_under(&mut quarantine, &[crashing, beside], Instant::now());

    end_under(&mut quarantine, &[crashing, later], Instant::now());

    assert!(quarantine.crash_record(crashing).is_quarantined());
    assert!(!quarantine.crash_record(beside).is_quarantined() && !quarantine.crash_record(later).is_quarantined());
}

#[test]
fn of_two_suspects_under_a_second_end_neither_is_held_back_before_a_third() {
    let mut quarantine = Quarantine::default();
    let both = [1, 2].map(fingerprint);
    end_under(&mut quarantine, &both, Instant::now());

    end_under(&mut quarantine, &both, Instant::now());
    assert_eq!(quarantine.counts(), (2, 0));

    end_under(&mut quarantine, &both[..1], Instant::now());
    assert!(quarantine.crash_record(both[0]).is_quarantined() && !quarantine.crash_record(both[1]).is_quarantined());
}

#[test]
fn ends_at_the_same_time_count_once() {
    let mut quarantine = Quarantine::default();
    let page = fingerprint(1);
    let unknown = CrashRecord::default();

    // Six endpoints are lost at once, and all of them had work for the same page.
    for _ in 0..6 {
        quarantine.record_crash(&[(page, unknown)], Instant::now());
    }

    assert!(quarantine.crash_record(page).is_suspect() && !quarantine.crash_record(page).is_quarantined());
}

#[test]
fn a_good_answer_clears_a_request_and_older_evidence_does_not_come_back() {
    let mut quarantine = Quarantine::default();
    let page = fingerprint(1);
    end_under(&mut quarantine, &[page], Instant::now());
    let older = quarantine.crash_record(page);

    assert!(quarantine.record_success(page, Instant::now()));
    assert!(!quarantine.merge(page, older, Instant::now()));
    quarantine.record_crash(&[(page, older)], Instant::now());

    assert!(!quarantine.crash_record(page).is_suspect());
}

#[rstest]
#[case::suspect(1, Duration::from_secs(601), false)]
#[case::suspect_for_a_while(1, Duration::from_secs(599), true)]
#[case::held(2, Duration::from_secs(601), true)]
#[case::held_for_a_day(2, Duration::from_secs(24 * 3_600 + 1), false)]
fn cases_are_forgotten_in_time(#[case] ends: u32, #[case] after: Duration, #[case] known: bool) {
    let mut quarantine = Quarantine::default();
    let request = fingerprint(1);
    let now = Instant::now();
    (0..ends).for_each(|_| end_under(&mut quarantine, &[request], now));
    let told = quarantine.updates(now + after);

    quarantine.remove_expired(now + after);

    assert_eq!(quarantine.crash_record(request).is_suspect(), known);
    // Nor does it come back from a proxy that has not forgotten it yet.
    assert!(!told.iter().any(|it| quarantine.merge_update(it, now + after)));
}

#[test]
fn the_newest_of_very_many_suspects_are_kept_and_all_that_are_held_back() {
    let mut quarantine = Quarantine::default();
    let start = Instant::now();
    let held = fingerprint(0);
    (0..2).for_each(|_| end_under(&mut quarantine, &[held], start));

    for number in 1..5_000 {
        end_under(&mut quarantine, &[fingerprint(number)], start + Duration::from_millis(number.into()));
    }

    assert!(quarantine.crash_record(held).is_quarantined());
    assert!(
        quarantine.crash_record(fingerprint(4_999)).is_suspect()
            && !quarantine.crash_record(fingerprint(1)).is_suspect()
    );
    assert!(quarantine.counts().0 <= 2_048);
}

/// Pauses between trials grow, and there are three.
#[test]
fn trials_come_further_and_further_apart_and_end() {
    let mut quarantine = Quarantine::default();
    let request = fingerprint(1);
    let mut now = Instant::now();
    (0..2).for_each(|_| end_under(&mut quarantine, &[request], now));

    let mut pauses = Vec::new();
    while let Some(pause) = quarantine.next_trial_in(request, now) {
        pauses.push(pause.as_secs());
        now += pause;
        assert_eq!(quarantine.next_trial_in(request, now), Some(Duration::ZERO));
        // It begins, and ends its endpoint.
        let trial = quarantine.crash_record(request).with_trial();
        quarantine.merge(request, trial, now);
        end_under(&mut quarantine, &[request], now);
    }

    assert_eq!(pauses, [30, 300, 3_600]);
    assert!(quarantine.crash_record(request).is_quarantined());
}

#[test]
fn a_trial_that_is_put_off_is_due_after_its_whole_pause() {
    let mut quarantine = Quarantine::default();
    let request = fingerprint(1);
    let now = Instant::now();
    (0..2).for_each(|_| end_under(&mut quarantine, &[request], now));
    let due = now + quarantine.next_trial_in(request, now).expect("it has a trial");

    quarantine.postpone_trial(request, due);

    assert_eq!(quarantine.next_trial_in(request, due), Some(Duration::from_secs(30)));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, rng_seed: proptest::test_runner::RngSeed::Fixed(5), ..ProptestConfig::default() })]

    /// Messages are lost, doubled and reordered; once two proxies have told each other all, they agree.
    #[test]
    fn proxies_agree_whatever_they_hear_first(steps in proptest::collection::vec((0..3_usize, 0..4_u32, 0..4_u8), 1..60)) {
        let now = Instant::now();
        let mut proxies: [Quarantine; 3] = Default::default();
        for (at, request, what) in steps {
            let request = fingerprint(request);
            match what {
                0 => _ = proxies[at].record_success(request, now),
                1 => end_under(&mut proxies[at], &[request], now),
                2 => {
                    let told = proxies[at].updates(now);
                    told.iter().rev().for_each(|it| _ = proxies[(at + 1) % 3].merge_update(it, now));
                }
                _ => {
                    let told: Option<CrashRecordUpdate> = proxies[at].updates(now).first().copied();
                    told.iter().for_each(|it| _ = proxies[(at + 2) % 3].merge_update(it, now));
                }
            }
        }
        for _ in 0..2 {
            for at in 0..3 {
                let told = proxies[at].updates(now);
                told.iter().for_each(|it| _ = proxies[(at + 1) % 3].merge_update(it, now));
            }
        }

        prop_assert_eq!(proxies[0].updates(now), proxies[1].updates(now));
        prop_assert_eq!(proxies[1].digest(), proxies[2].digest());
    }
}

/// While a fleet is upgraded, proxies of both releases ask each other.
#[test]
fn a_reservation_of_an_earlier_release_is_understood() {
    let useful_for = Duration::from_secs(1);
    let arrival = AttemptKind::First { retry_share: 0.0 };
    let earlier = (
        "vm-1",
        7_u64,
        "desk",
        "read",
        true,
        true,
        arrival,
        false,
        false,
        2_u32,
        useful_for,
        EndpointStanding::default(),
    );

    let bytes = rmp_serde::to_vec(&earlier).expect("messages can be coded");
    let reserve: ReserveRequest = rmp_serde::from_slice(&bytes).expect("it is understood");

    assert_eq!((&*reserve.route, reserve.case, reserve.is_quarantine_trial), ("read", CrashRecord::default(), false));
}

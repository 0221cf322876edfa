//! The proxies' decisions, replayed against the load patterns that they answer.

use std::time::{Duration, Instant};

use jayreach::decide::{
    placement::{PlacementCandidate, rank_candidates},
    service_times::ServiceTimes,
    suspicion::{AnswerSample, EndpointStanding, StandingTracker},
    weighted_round_robin::WeightedRoundRobin,
};
use rand::{Rng, RngExt as _, SeedableRng as _, rngs::SmallRng};
use rstest::rstest;

const MS: Duration = Duration::from_millis(1);
const WORK: Duration = Duration::from_millis(400);

fn rng() -> SmallRng {
    SmallRng::seed_from_u64(7)
}

// Suspicion

/// How one answer of an endpoint came about.
#[derive(Debug, Clone, Copy)]
struct Answer {
    failed: bool,
    took: Duration,
}

/// A healthy endpoint fails one answer in eighty after working on it; one in a gray spell fails
/// nine in ten within a millisecond.
fn answer(gray: bool, rng: &mut impl Rng) -> Answer {
    match gray {
        true if rng.random_bool(0.9) => Answer { failed: true, took: MS },
        true | false => Answer { failed: rng.random_bool(0.0125), took: WORK },
    }
}

fn sample(it: Answer) -> AnswerSample {
    if it.failed { AnswerSample::from_failure(it.took, Some(WORK)) } else { AnswerSample::Good }
}

/// Replays an endpoint with spells of 12 s, three in ten of them gray, at 8 requests a second;
/// returns work lost that must not repeat, and the share of healthy time under suspicion.
fn replay_spells(judge: impl Fn(Answer) -> AnswerSample) -> (u32, f64) {
    let (mut rng, start) = (rng(), Instant::now());
    let (mut record, mut lost) = (StandingTracker::default(), 0);
    let (mut healthy, mut suspected) = (0u32, 0u32);
    for at in 0..8 * 12 * 100 {
        let now = start + Duration::from_millis(125) * at;
        let gray = (at / (8 * 12)) % 10 < 3;
        let idempotent = at % 2 == 0;
        if !gray {
            healthy += 1;
            suspected += u32::from(record.standing() == EndpointStanding::Suspect);
        }
        if !record.admits(EndpointStanding::Clean, idempotent, 0, now) {
            continue;
        }
        record.record_start(now);
        let answer = answer(gray, &mut rng);
        lost += u32::from(answer.failed && !idempotent);
        record.record_sample(judge(answer), now, now);
    }
    (lost, f64::from(suspected) / f64::from(healthy))
}

#[test]
fn gray_spells_cost_little_and_healthy_endpoints_are_seldom_suspected() {
    let (lost, suspected) = replay_spells(sample);
    let (lost_before, suspected_before) =
        replay_spells(|it| if it.failed { AnswerSample::HardFailure } else { AnswerSample::Good });

    assert!(lost <= 55, "{lost} pieces of work lost in 100 spells");
    assert!(suspected < 0.06, "healthy, and under suspicion {suspected:.3} of the time");
    // One failure of any kind, as at first: about the same loss, and several times the suspicion.
    assert!(suspected_before > 2.0 * suspected, "{suspected_before:.3} against {suspected:.3}");
    assert!(lost <= lost_before + 10, "{lost} against {lost_before}");
}

#[rstest]
#[case(&[AnswerSample::HardFailure], EndpointStanding::Suspect)]
#[case(&[AnswerSample::SoftFailure], EndpointStanding::Clean)]
#[case(&[AnswerSample::SoftFailure, AnswerSample::Good, AnswerSample::SoftFailure], EndpointStanding::Clean)]
#[case(&[AnswerSample::SoftFailure, AnswerSample::SoftFailure], EndpointStanding::Suspect)]
#[case(&[AnswerSample::HardFailure, AnswerSample::Good, AnswerSample::Good], EndpointStanding::Suspect)]
#[case(&[AnswerSample::HardFailure, AnswerSample::Good, AnswerSample::Good, AnswerSample::Good], EndpointStanding::Clean)]
#[case(&[AnswerSample::HardFailure, AnswerSample::Good, AnswerSample::Good, AnswerSample::HardFailure, AnswerSample::Good], EndpointStanding::Suspect)]
#[case(&[AnswerSample::Declined], EndpointStanding::Declining)]
#[case(&[AnswerSample::Declined, AnswerSample::Good, AnswerSample::Good, AnswerSample::Good], EndpointStanding::Clean)]
#[case(&[AnswerSample::Declined, AnswerSample::HardFailure], EndpointStanding::Suspect)]
#[case(&[AnswerSample::HardFailure, AnswerSample::Declined, AnswerSample::Good, AnswerSample::Good, AnswerSample::Good], EndpointStanding::Clean)]
#[case(&[AnswerSample::HardFailure, AnswerSample::Good, AnswerSample::Good, AnswerSample::Declined, AnswerSample::Good], EndpointStanding::Declining)]
#[case(&[AnswerSample::HardFailure, AnswerSample::Working, AnswerSample::Working, AnswerSample::Working], EndpointStanding::Clean)]
#[case(&[AnswerSample::Declined, AnswerSample::Working, AnswerSample::Working, AnswerSample::Working], EndpointStanding::Clean)]
#[case(&[AnswerSample::SoftFailure, AnswerSample::SoftFailure, AnswerSample::Working, AnswerSample::Working, AnswerSample::Working], EndpointStanding::Suspect)]
#[case(&[AnswerSample::HardFailure, AnswerSample::SoftFailure, AnswerSample::Working, AnswerSample::Working, AnswerSample::Working], EndpointStanding::Suspect)]
#[case(&[AnswerSample::Working, AnswerSample::SoftFailure, AnswerSample::Working, AnswerSample::SoftFailure], EndpointStanding::Suspect)]
fn suspicion_begins_with_certainty_or_two_doubts_and_ends_with_three_good_answers(
    #[case] samples: &[AnswerSample],
    #[case] standing: EndpointStanding,
) {
    let now = Instant::now();
    let mut record = StandingTracker::default();

    for it in samples {
        record.record_sample(*it, now, now);
    }

    assert_eq!(record.standing(), standing);
}

#[test]
fn a_suspect_gets_one_trial_at_a_time_and_only_idempotent_work() {
    let now = Instant::now();
    let mut record = StandingTracker::default();
    record.record_sample(AnswerSample::HardFailure, now, now);
    let rested = now + Duration::from_secs(1);

    assert!(!record.admits(EndpointStanding::Clean, true, 0, now), "it rests first");
    assert!(record.admits(EndpointStanding::Clean, true, 0, rested));
    record.record_start(rested);
    assert!(!record.admits(EndpointStanding::Clean, true, 1, rested), "one at a time");
    assert!(
        record.admits(EndpointStanding::Clean, true, 1, rested + Duration::from_millis(500)),
        "it did not fail fast"
    );
    assert!(!record.admits(EndpointStanding::Clean, true, 4, rested + Duration::from_millis(500)), "it may hang");
    assert!(!record.admits(EndpointStanding::Clean, false, 0, rested), "what must not repeat goes elsewhere");
    record.record_sample(AnswerSample::Good, rested, rested);
    assert!(record.admits(EndpointStanding::Clean, true, 1, rested), "a good answer allows one more");
    assert!(record.admits(EndpointStanding::Suspect, false, 9, now), "where all are suspect, suspicion means nothing");
    assert!(!record.admits(EndpointStanding::Declining, false, 0, rested));
    let untested = rested + Duration::from_secs(2);
    assert!(record.admits(EndpointStanding::Clean, false, 0, untested), "nothing else was a trial for long");
    record.record_start(untested);
    assert!(
        !record.admits(EndpointStanding::Clean, false, 1, untested + Duration::from_secs(1)),
        "one trial is enough"
    );
}

/// An endpoint with four pieces of work under way turns gray for 12 s: work comes, eight pieces a second, a quarter
/// of it idempotent; returns what is lost of the rest. What was under way ends well meanwhile.
fn replay_turn(begun_before: bool) -> u32 {
    let start = Instant::now();
    let (mut record, mut lost) = (StandingTracker::default(), 0);
    for at in 0..96u32 {
        let now = start + Duration::from_millis(125) * at;
        if (1..5).contains(&at) {
            let begun = if begun_before { now - WORK } else { now };
            record.record_sample(AnswerSample::Good, begun, now);
        }
        let idempotent = at % 4 == 1;
        if !record.admits(EndpointStanding::Clean, idempotent, 0, now) {
            continue;
        }
        record.record_start(now);
        lost += u32::from(!idempotent);
        record.record_sample(sample(Answer { failed: true, took: MS }), now, now);
    }
    lost
}

#[test]
fn work_begun_before_the_suspicion_does_not_clear_it() {
    let lost_before = replay_turn(false);

    let lost = replay_turn(true);

    assert_eq!(lost, 1, "the failure that made it suspect");
    assert!(lost_before > lost, "{lost_before} lost while any good answer clears");
}

// Placing

fn candidate(same_data_centre: bool, standing: EndpointStanding, load: u32) -> PlacementCandidate {
    PlacementCandidate { same_data_centre, standing, path_backing_off: false, load, slots: 4 }
}

#[test]
fn near_and_idle_endpoints_are_asked_first_and_full_ones_last() {
    let candidates = [
        candidate(false, EndpointStanding::Clean, 0),
        candidate(true, EndpointStanding::Clean, 4),
        candidate(true, EndpointStanding::Clean, 0),
    ];

    for _ in 0..50 {
        assert_eq!(rank_candidates(&candidates, false, &mut rng()).ranked, [2, 0, 1]);
    }
}

#[test]
fn work_that_must_not_repeat_seldom_asks_a_suspect_while_one_is_clean() {
    let mut candidates = vec![candidate(false, EndpointStanding::Clean, 9); 5];
    candidates.push(candidate(true, EndpointStanding::Suspect, 0));
    let mut rng = rng();

    let orders: Vec<_> = (0..1_000).map(|_| rank_candidates(&candidates, false, &mut rng)).collect();

    assert!(orders.iter().all(|it| it.worst_accepted == EndpointStanding::Clean && !it.ranked[..3].contains(&5)));
    let asked = orders.iter().filter(|it| it.ranked.contains(&5)).count();
    assert!(
        (250..350).contains(&asked),
        "{asked} of 1000; the suspect's guard refuses unless nobody tried it for long"
    );
}

#[test]
fn when_all_are_suspect_suspicion_means_nothing() {
    let candidates = [candidate(true, EndpointStanding::Suspect, 0), candidate(true, EndpointStanding::Suspect, 0)];

    let order = rank_candidates(&candidates, false, &mut rng());

    assert_eq!(order.worst_accepted, EndpointStanding::Suspect);
    assert_eq!(order.ranked.len(), 2);
}

#[rstest]
#[case(5, 3, 0, EndpointStanding::Clean)]
#[case(4, 4, 0, EndpointStanding::Clean)]
#[case(3, 4, 1, EndpointStanding::Declining)]
#[case(0, 1, 7, EndpointStanding::Declining)]
#[case(1, 0, 7, EndpointStanding::Clean)]
#[case(0, 0, 8, EndpointStanding::Suspect)]
fn what_is_left_of_a_service_bears_its_load(
    #[case] clean: usize,
    #[case] declining: usize,
    #[case] suspect: usize,
    #[case] accepts: EndpointStanding,
) {
    let mut candidates = vec![candidate(true, EndpointStanding::Clean, 0); clean];
    candidates.extend(vec![candidate(true, EndpointStanding::Declining, 0); declining]);
    candidates.extend(vec![candidate(true, EndpointStanding::Suspect, 0); suspect]);

    let order = rank_candidates(&candidates, false, &mut rng());

    assert_eq!(order.worst_accepted, accepts);
    let beyond = order.ranked.iter().filter(|it| candidates[**it].standing > accepts).count();
    assert!(beyond <= 1, "one at most, as a trial");
}

#[test]
fn suspects_are_tried_with_some_idempotent_work() {
    let candidates = [candidate(true, EndpointStanding::Suspect, 0), candidate(true, EndpointStanding::Clean, 0)];
    let mut rng = rng();

    let tried = (0..1_000).filter(|_| rank_candidates(&candidates, true, &mut rng).ranked[0] == 0).count();

    assert!((300..500).contains(&tried), "{tried} of 1000");
}

// Shares and pace

#[rstest]
#[case(&[90.0, 10.0], 100, &[90, 10])]
#[case(&[1.0, 1.0, 2.0], 40, &[10, 10, 20])]
#[case(&[0.0, 5.0], 7, &[0, 7])]
fn shares_are_kept_over_any_run(#[case] weights: &[f64], #[case] requests: usize, #[case] wanted: &[usize]) {
    let mut shares = WeightedRoundRobin::new(weights.to_vec(), &mut rng());
    let mut dealt = vec![0usize; weights.len()];

    for _ in 0..requests {
        dealt[shares.pick()] += 1;
    }

    for (dealt, wanted) in dealt.iter().zip(wanted) {
        assert!(dealt.abs_diff(*wanted) <= 1, "{dealt} where {wanted} are due");
    }
}

#[test]
fn the_pace_of_a_class_follows_its_durations() {
    let mut pace = ServiceTimes::default();

    for _ in 0..100 {
        pace.record("a", 100 * MS);
        pace.record("b", WORK);
    }

    assert_eq!(pace.mean("c"), None);
    assert!(pace.mean("a").expect("it is known").abs_diff(100 * MS) < MS);
    pace.retain(|it| it == "a");
    assert_eq!(pace.mean("b"), None);
}

//! The decisions of the proxies: endpoint standing, ranking of candidates, weighted round robin and service times.

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
const SERVICE_TIME: Duration = Duration::from_millis(400);

fn rng() -> SmallRng {
    SmallRng::seed_from_u64(7)
}

// Endpoint standing

/// One answer of an endpoint.
#[derive(Debug, Clone, Copy)]
struct Answer {
    failed: bool,
    took: Duration,
}

/// A healthy endpoint fails one request in eighty after the usual service time; one with a gray failure fails nine in
/// ten within a millisecond.
fn answer(gray: bool, rng: &mut impl Rng) -> Answer {
    match gray {
        true if rng.random_bool(0.9) => Answer { failed: true, took: MS },
        true | false => Answer { failed: rng.random_bool(0.0125), took: SERVICE_TIME },
    }
}

fn sample(it: Answer) -> AnswerSample {
    if it.failed { AnswerSample::from_failure(it.took, Some(SERVICE_TIME)) } else { AnswerSample::Good }
}

/// Simulates an endpoint at eight requests a second in periods of 12 s, three in ten of them with a gray failure.
/// Returns how many non-idempotent requests failed, and the fraction of the healthy time in which the endpoint was a
/// suspect.
fn simulate_gray_failures(classify: impl Fn(Answer) -> AnswerSample) -> (u32, f64) {
    let (mut rng, start) = (rng(), Instant::now());
    let (mut tracker, mut lost) = (StandingTracker::default(), 0);
    let (mut healthy, mut suspected) = (0u32, 0u32);
    for at in 0..8 * 12 * 100 {
        let now = start + Duration::from_millis(125) * at;
        let gray = (at / (8 * 12)) % 10 < 3;
        let idempotent = at % 2 == 0;
        if !gray {
            healthy += 1;
            suspected += u32::from(tracker.standing() == EndpointStanding::Suspect);
        }
        if !tracker.admits(EndpointStanding::Clean, idempotent, 0, now) {
            continue;
        }
        tracker.record_start(now);
        let answer = answer(gray, &mut rng);
        lost += u32::from(answer.failed && !idempotent);
        tracker.record_sample(classify(answer), now, now);
    }
    (lost, f64::from(suspected) / f64::from(healthy))
}

#[test]
fn gray_failures_lose_few_requests_and_healthy_endpoints_are_rarely_suspects() {
    let (lost, suspected) = simulate_gray_failures(sample);
    let (lost_all_hard, suspected_all_hard) =
        simulate_gray_failures(|it| if it.failed { AnswerSample::HardFailure } else { AnswerSample::Good });

    assert!(lost <= 55, "{lost} requests lost in 100 periods");
    assert!(suspected < 0.06, "a suspect for {suspected:.3} of the healthy time");
    // If every failure counted as a hard one, healthy endpoints would be suspects much more often.
    assert!(suspected_all_hard > 2.0 * suspected, "{suspected_all_hard:.3} against {suspected:.3}");
    assert!(lost <= lost_all_hard + 10, "{lost} against {lost_all_hard}");
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
#[case(&[AnswerSample::HardFailure, AnswerSample::LongRunning, AnswerSample::LongRunning, AnswerSample::LongRunning], EndpointStanding::Clean)]
#[case(&[AnswerSample::Declined, AnswerSample::LongRunning, AnswerSample::LongRunning, AnswerSample::LongRunning], EndpointStanding::Clean)]
#[case(&[AnswerSample::SoftFailure, AnswerSample::SoftFailure, AnswerSample::LongRunning, AnswerSample::LongRunning, AnswerSample::LongRunning], EndpointStanding::Suspect)]
#[case(&[AnswerSample::HardFailure, AnswerSample::SoftFailure, AnswerSample::LongRunning, AnswerSample::LongRunning, AnswerSample::LongRunning], EndpointStanding::Suspect)]
#[case(&[AnswerSample::LongRunning, AnswerSample::SoftFailure, AnswerSample::LongRunning, AnswerSample::SoftFailure], EndpointStanding::Suspect)]
fn one_hard_or_two_soft_failures_make_a_suspect_and_three_good_answers_clear_it(
    #[case] samples: &[AnswerSample],
    #[case] standing: EndpointStanding,
) {
    let now = Instant::now();
    let mut tracker = StandingTracker::default();

    for it in samples {
        tracker.record_sample(*it, now, now);
    }

    assert_eq!(tracker.standing(), standing);
}

#[test]
fn a_suspect_gets_idempotent_trials_one_at_a_time_or_any_request_after_a_long_pause() {
    let now = Instant::now();
    let mut tracker = StandingTracker::default();
    tracker.record_sample(AnswerSample::HardFailure, now, now);
    let after_backoff = now + Duration::from_secs(1);

    assert!(!tracker.admits(EndpointStanding::Clean, true, 0, now), "no trial during the backoff");
    assert!(tracker.admits(EndpointStanding::Clean, true, 0, after_backoff));
    tracker.record_start(after_backoff);
    assert!(!tracker.admits(EndpointStanding::Clean, true, 1, after_backoff), "one trial at a time");
    assert!(
        tracker.admits(EndpointStanding::Clean, true, 1, after_backoff + Duration::from_millis(500)),
        "the running trial did not fail fast"
    );
    assert!(
        !tracker.admits(EndpointStanding::Clean, true, 4, after_backoff + Duration::from_millis(500)),
        "the endpoint may hang"
    );
    assert!(!tracker.admits(EndpointStanding::Clean, false, 0, after_backoff), "a non-idempotent request is no trial");
    tracker.record_sample(AnswerSample::Good, after_backoff, after_backoff);
    assert!(tracker.admits(EndpointStanding::Clean, true, 1, after_backoff), "a good answer allows one more trial");
    assert!(tracker.admits(EndpointStanding::Suspect, false, 9, now), "the request accepts a suspect");
    assert!(!tracker.admits(EndpointStanding::Declining, false, 0, after_backoff));
    let long_after = after_backoff + Duration::from_secs(2);
    assert!(tracker.admits(EndpointStanding::Clean, false, 0, long_after), "there was no trial for long");
    tracker.record_start(long_after);
    assert!(
        !tracker.admits(EndpointStanding::Clean, false, 1, long_after + Duration::from_secs(1)),
        "another trial is running"
    );
}

/// Simulates an endpoint that has a gray failure for 12 s while four requests end successfully. Eight requests a second
/// arrive, a quarter of them idempotent, and all fail. Returns how many non-idempotent requests fail. The four requests
/// started before the failure if `started_before`, otherwise during it.
fn simulate_onset_of_gray_failure(started_before: bool) -> u32 {
    let start = Instant::now();
    let (mut tracker, mut lost) = (StandingTracker::default(), 0);
    for at in 0..96u32 {
        let now = start + Duration::from_millis(125) * at;
        if (1..5).contains(&at) {
            let started_at = if started_before { now - SERVICE_TIME } else { now };
            tracker.record_sample(AnswerSample::Good, started_at, now);
        }
        let idempotent = at % 4 == 1;
        if !tracker.admits(EndpointStanding::Clean, idempotent, 0, now) {
            continue;
        }
        tracker.record_start(now);
        lost += u32::from(!idempotent);
        tracker.record_sample(sample(Answer { failed: true, took: MS }), now, now);
    }
    lost
}

#[test]
fn requests_started_before_the_first_failure_do_not_clear_a_suspect() {
    let lost_if_cleared = simulate_onset_of_gray_failure(false);

    let lost = simulate_onset_of_gray_failure(true);

    assert_eq!(lost, 1, "only the failure that made the endpoint a suspect");
    assert!(lost_if_cleared > lost, "{lost_if_cleared} lost if the answers clear the suspect");
}

// Ranking of candidates

fn candidate(same_data_centre: bool, standing: EndpointStanding, load: u32) -> PlacementCandidate {
    PlacementCandidate { same_data_centre, standing, path_backing_off: false, load, slots: 4, limit: None }
}

#[test]
fn idle_endpoints_of_the_same_data_centre_rank_first_and_full_ones_last() {
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
fn non_idempotent_requests_rarely_ask_a_suspect_if_clean_endpoints_exist() {
    let mut candidates = vec![candidate(false, EndpointStanding::Clean, 9); 5];
    candidates.push(candidate(true, EndpointStanding::Suspect, 0));
    let mut rng = rng();

    let rankings: Vec<_> = (0..1_000).map(|_| rank_candidates(&candidates, false, &mut rng)).collect();

    assert!(rankings.iter().all(|it| it.worst_accepted == EndpointStanding::Clean && !it.ranked[..3].contains(&5)));
    let asked = rankings.iter().filter(|it| it.ranked.contains(&5)).count();
    assert!((250..350).contains(&asked), "{asked} of 1000 rankings contain the suspect");
}

#[test]
fn suspects_are_accepted_if_all_endpoints_are_suspects() {
    let candidates = [candidate(true, EndpointStanding::Suspect, 0), candidate(true, EndpointStanding::Suspect, 0)];

    let ranking = rank_candidates(&candidates, false, &mut rng());

    assert_eq!(ranking.worst_accepted, EndpointStanding::Suspect);
    assert_eq!(ranking.ranked.len(), 2);
}

#[rstest]
#[case(5, 3, 0, EndpointStanding::Clean)]
#[case(4, 4, 0, EndpointStanding::Clean)]
#[case(3, 4, 1, EndpointStanding::Declining)]
#[case(0, 1, 7, EndpointStanding::Declining)]
#[case(1, 0, 7, EndpointStanding::Clean)]
#[case(0, 0, 8, EndpointStanding::Suspect)]
fn the_worst_accepted_standing_leaves_a_service_enough_slots(
    #[case] clean: usize,
    #[case] declining: usize,
    #[case] suspect: usize,
    #[case] worst_accepted: EndpointStanding,
) {
    let mut candidates = vec![candidate(true, EndpointStanding::Clean, 0); clean];
    candidates.extend(vec![candidate(true, EndpointStanding::Declining, 0); declining]);
    candidates.extend(vec![candidate(true, EndpointStanding::Suspect, 0); suspect]);

    let ranking = rank_candidates(&candidates, false, &mut rng());

    assert_eq!(ranking.worst_accepted, worst_accepted);
    let not_accepted = ranking.ranked.iter().filter(|it| candidates[**it].standing > worst_accepted).count();
    assert!(not_accepted <= 1, "at most one endpoint is asked for a trial");
}

#[test]
fn some_idempotent_requests_ask_a_suspect_first() {
    let candidates = [candidate(true, EndpointStanding::Suspect, 0), candidate(true, EndpointStanding::Clean, 0)];
    let mut rng = rng();

    let tried = (0..1_000).filter(|_| rank_candidates(&candidates, true, &mut rng).ranked[0] == 0).count();

    assert!((300..500).contains(&tried), "{tried} of 1000 rankings");
}

// Weighted round robin and service times

#[rstest]
#[case(&[90.0, 10.0], 100, &[90, 10])]
#[case(&[1.0, 1.0, 2.0], 40, &[10, 10, 20])]
#[case(&[0.0, 5.0], 7, &[0, 7])]
fn weighted_round_robin_stays_within_one_request_of_the_weights(
    #[case] weights: &[f64],
    #[case] requests: usize,
    #[case] expected: &[usize],
) {
    let mut round_robin = WeightedRoundRobin::new(weights.to_vec(), &mut rng());
    let mut picked = vec![0usize; weights.len()];

    for _ in 0..requests {
        picked[round_robin.pick()] += 1;
    }

    for (picked, expected) in picked.iter().zip(expected) {
        assert!(picked.abs_diff(*expected) <= 1, "picked {picked} times instead of {expected}");
    }
}

#[test]
fn the_mean_service_time_of_a_class_follows_its_requests() {
    let mut service_times = ServiceTimes::default();

    for _ in 0..100 {
        service_times.record("a", 100 * MS);
        service_times.record("b", SERVICE_TIME);
    }

    assert_eq!(service_times.mean("c"), None);
    assert!(service_times.mean("a").expect("class a has requests").abs_diff(100 * MS) < MS);
    service_times.retain(|it| it == "a");
    assert_eq!(service_times.mean("b"), None);
}

//! Admission, floor, standing, choice, budget: properties over seeded random runs.

use std::time::{Duration, Instant};

use jayreach::{
    decide::{
        AdmissionController, AdmissionDecision, AdmissionRequest, Candidate, ClassRetryBudget, EjectionConfig,
        EndpointCapacity, EndpointEvent, EndpointHealth, Evidence, FailureDetector, PathHealth, Sample,
        choose_endpoint, ejection_threshold, eligible_endpoints, failure_level, failure_rate_from_level,
        median_failure_rate,
    },
    rows::EndpointState,
    targets::Weighs,
    wire::Refusal,
};
use proptest::prelude::*;
use rand::{SeedableRng as _, rngs::SmallRng};
use rstest::rstest;

const SECOND: Duration = Duration::from_secs(1);

fn arrival(id: u64, importance: u8, deadline: Instant) -> AdmissionRequest {
    AdmissionRequest { id, importance, deadline }
}

fn full_gate(now: Instant) -> AdmissionController {
    let mut gate = AdmissionController::new(1);
    gate.admit(arrival(0, 50, now + SECOND), now);
    gate
}

#[test]
fn the_most_important_runs_next_and_then_the_most_urgent() {
    let now = Instant::now();
    let mut gate = full_gate(now);
    for (id, importance, ms) in [(1, 30, 900), (2, 90, 900), (3, 90, 500)] {
        gate.admit(arrival(id, importance, now + Duration::from_millis(ms)), now);
    }

    let order: Vec<_> = (0..3).map(|_| gate.release_slot(Duration::from_millis(1), now)[0].id).collect();

    assert_eq!(order, [3, 2, 1]);
}

#[test]
fn a_full_queue_evicts_its_least_important_entry() {
    let now = Instant::now();
    let mut gate = full_gate(now);
    for id in 1..=4 {
        gate.admit(arrival(id, 30, now + SECOND), now);
    }

    let lookup = gate.admit(arrival(5, 30, now + SECOND), now);
    let admits = gate.min_importance();
    let charge = gate.admit(arrival(6, 90, now + SECOND), now);

    assert_eq!(lookup, (AdmissionDecision::Refuse(Refusal::Overloaded), None));
    assert_eq!(admits, 31);
    assert_eq!(charge.0, AdmissionDecision::Queue);
    assert_eq!(charge.1.expect("someone had to go").decision, AdmissionDecision::Refuse(Refusal::Overloaded));
}

#[test]
fn work_that_cannot_be_in_time_is_refused_at_once() {
    let now = Instant::now();
    let mut gate = full_gate(now);
    gate.release_slot(Duration::from_millis(400), now);
    gate.admit(arrival(1, 50, now + SECOND), now);

    let late = gate.admit(arrival(2, 50, now + Duration::from_millis(300)), now);

    assert_eq!(late, (AdmissionDecision::Refuse(Refusal::TooLate), None));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 500, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..ProptestConfig::default() })]

    #[test]
    fn a_gate_never_runs_more_than_its_slots_and_decides_everyone(
        slots in 1u16..6,
        steps in prop::collection::vec((any::<bool>(), 1u8..100, 1u64..500), 1..200),
    ) {
        let start = Instant::now();
        let mut gate = AdmissionController::new(slots);
        let mut waiting = Vec::new();
        for (id, (arrives, importance, ms)) in steps.into_iter().enumerate() {
            let now = start + Duration::from_millis(id as u64);
            let mut releases = Vec::new();
            if arrives {
                let (admission, evicted) = gate.admit(arrival(id as u64, importance, now + Duration::from_millis(ms)), now);
                if admission == AdmissionDecision::Queue {
                    waiting.push(id as u64);
                }
                releases.extend(evicted);
            } else if gate.running() > 0 {
                releases = gate.release_slot(Duration::from_millis(ms / 10), now);
            }
            for it in releases {
                let at = waiting.iter().position(|id| *id == it.id);
                prop_assert!(at.is_some(), "{it:?} was not waiting");
                waiting.swap_remove(at.unwrap());
            }
            prop_assert!(gate.running() <= slots);
            prop_assert_eq!(gate.load() as usize, usize::from(gate.running()) + waiting.len());
        }
    }

    #[test]
    fn ejections_never_take_a_service_below_its_floor(
        states in prop::collection::vec((1u16..10, 0usize..7, 0u8..12), 0..30),
        floor in 1u8..101,
    ) {
        use EndpointState::{Ejected, Gone, Leaving, Serving, Starting, Suspect, Trial};
        let all = [Starting, Serving, Suspect, Ejected, Trial, Leaving, Gone];
        let endpoints: Vec<_> =
            states.iter().map(|it| EndpointCapacity { slots: it.0, state: all[it.1], failure_level: it.2 }).collect();

        let allowed = eligible_endpoints(&endpoints, floor);

        let announced = |it: &&EndpointCapacity| matches!(it.state, Serving | Suspect | Ejected | Trial);
        let total: u32 = endpoints.iter().filter(announced).map(|it| u32::from(it.slots)).sum();
        let given: u32 = endpoints.iter().zip(&allowed).filter(|it| *it.1).map(|it| u32::from(it.0.slots)).sum();
        prop_assert!(given * 100 >= total * u32::from(floor).min(100));
        let leaving_gets_none =
            endpoints.iter().zip(&allowed).all(|(it, ok)| !ok || !matches!(it.state, Leaving | Gone | Starting));
        prop_assert!(leaving_gets_none);
    }
}

fn serving(now: Instant) -> EndpointHealth {
    let mut standing = EndpointHealth::new(EjectionConfig::default(), now);
    standing.handle(EndpointEvent::AnnouncedServing, now);
    standing
}

fn eject(standing: &mut EndpointHealth, now: Instant) -> u32 {
    let mut count = 0;
    while standing.state() != EndpointState::Ejected {
        standing.record_sample(Sample::Bad, 0.0, Weighs::DetectionTime, now);
        count += 1;
    }
    count
}

#[test]
fn hold_down_doubles_for_an_endpoint_that_flaps() {
    let mut now = Instant::now();
    let mut standing = serving(now);
    let mut held = Vec::new();

    for _ in 0..3 {
        eject(&mut standing, now);
        held.push(standing.hold_down().as_secs());
        now += standing.hold_down();
        assert!(standing.tick(now));
        for _ in 0..EjectionConfig::default().trial_successes {
            standing.record_sample(Sample::Good, 0.0, Weighs::DetectionTime, now);
        }
        assert_eq!(standing.state(), EndpointState::Serving);
    }

    assert_eq!(held, [5, 10, 20]);
}

#[test]
fn a_trial_without_idempotent_work_ends_in_a_little_of_any_work() {
    let mut now = Instant::now();
    let mut standing = serving(now);
    eject(&mut standing, now);

    for _ in 0..2 {
        now += standing.hold_down();
        standing.tick(now);
    }

    assert_eq!(standing.state(), EndpointState::Suspect);
    standing.record_sample(Sample::Good, 0.0, Weighs::DetectionTime, now);
    assert_eq!(standing.state(), EndpointState::Serving);
}

#[rstest]
#[case(Weighs::DetectionTime)]
#[case(Weighs::FalseEjections)]
fn trouble_that_all_endpoints_share_ejects_nobody(#[case] weighs: Weighs) {
    let mut rng = SmallRng::seed_from_u64(5);
    let mut detector = FailureDetector::default();

    let worst = (0..5_000).map(|_| {
        let sample = if rng.random_bool(0.3) { Sample::Bad } else { Sample::Good };
        detector.record(sample, 0.3, ejection_threshold(weighs))
    });

    assert!(worst.into_iter().all(|it| it != Evidence::Bad));
}

#[test]
fn the_baseline_is_the_median_of_the_others() {
    assert_eq!(median_failure_rate(&mut []), 0.0);
    assert_eq!(median_failure_rate(&mut [0, 11, 0]), 0.0);
    assert_eq!(median_failure_rate(&mut [10, 10, 10, 0]), 0.5);
    assert_eq!(failure_level(failure_rate_from_level(7)), 7);
}

#[test]
fn a_choice_prefers_near_then_less_loaded_and_avoids_only_while_it_can() {
    let it = Candidate { near: true, suspect: false, avoid: false, load: 0, slots: 4 };
    let far = Candidate { near: false, ..it };
    let busy = Candidate { load: 4, ..it };
    let avoided = Candidate { avoid: true, ..it };
    let mut rng = SmallRng::seed_from_u64(1);

    assert_eq!(choose_endpoint(&[far, it], &mut rng), Some(1));
    assert_eq!(choose_endpoint(&[far, busy], &mut rng), Some(0));
    assert_eq!(choose_endpoint(&[avoided, far], &mut rng), Some(1));
    assert_eq!(choose_endpoint(&[avoided], &mut rng), Some(0));
    assert_eq!(choose_endpoint(&[], &mut rng), None);
}

#[test]
fn retries_stay_a_tenth_of_the_traffic() {
    let mut budget = ClassRetryBudget::default();

    let spent = (0..1_000).filter(|_| {
        budget.deposit();
        budget.withdraw()
    });

    assert!(spent.count() <= 110);
}

#[test]
fn a_path_rests_longer_each_time_and_recovers_with_one_answer() {
    let now = Instant::now();
    let mut path = PathHealth::default();

    path.record_failure(now);
    path.record_failure(now);

    assert!(path.is_backing_off(now + Duration::from_millis(400)));
    assert!(!path.is_backing_off(now + Duration::from_millis(600)));
    path.record_success();
    assert!(!path.is_backing_off(now));
}

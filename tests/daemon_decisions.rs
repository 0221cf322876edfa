//! The decisions of the daemons: admission, capacity floor, endpoint health, endpoint choice, retry budget and path
//! health.

use std::time::{Duration, Instant};

use jayreach::{
    decide::{
        AdmissionController, AdmissionDecision, AdmissionRequest, Candidate, ClassRetryBudget, EjectionConfig,
        EndpointCapacity, EndpointEvent, EndpointHealth, Evidence, FailureDetector, PathHealth, Sample,
        choose_endpoint, ejection_threshold, eligible_endpoints, failure_level, failure_rate_from_level,
        median_failure_rate,
    },
    rows::EndpointState,
    targets::EjectionPreference,
    wire::Refusal,
};
use proptest::prelude::*;
use rand::{SeedableRng as _, rngs::SmallRng};
use rstest::rstest;

const SECOND: Duration = Duration::from_secs(1);

fn request(id: u64, importance: u8, deadline: Instant) -> AdmissionRequest {
    AdmissionRequest { id, importance, deadline }
}

/// A controller whose only slot is in use.
fn busy_controller(now: Instant) -> AdmissionController {
    let mut controller = AdmissionController::new(1);
    controller.admit(request(0, 50, now + SECOND), now);
    controller
}

#[test]
fn waiters_run_by_importance_then_by_deadline() {
    let now = Instant::now();
    let mut controller = busy_controller(now);
    for (id, importance, ms) in [(1, 30, 900), (2, 90, 900), (3, 90, 500)] {
        controller.admit(request(id, importance, now + Duration::from_millis(ms)), now);
    }

    let order: Vec<_> = (0..3).map(|_| controller.release_slot(Duration::from_millis(1), now)[0].id).collect();

    assert_eq!(order, [3, 2, 1]);
}

#[test]
fn an_endpoint_starts_no_more_requests_than_its_rate_limit_allows() {
    let start = Instant::now();
    let mut controller = AdmissionController::new(4);
    controller.set_limit(Some(2.0.try_into().expect("the rate is valid")), start);
    let mut started = 0;

    for tick in 0..1_000_u32 {
        let now = start + Duration::from_millis(10) * tick;
        let (decision, _) = controller.admit(request(u64::from(tick), 50, now + SECOND), now);
        let admitted =
            controller.admit_waiters(now).iter().filter(|it| it.decision == AdmissionDecision::Admit).count();
        let starts = usize::from(decision == AdmissionDecision::Admit) + admitted;
        for _ in 0..starts {
            let also = controller.release_slot(Duration::from_millis(1), now);
            assert!(also.iter().all(|it| it.decision != AdmissionDecision::Admit), "the rate binds, not the slots");
        }
        started += starts;
    }

    assert!((19..=22).contains(&started), "{started} requests started in 10 s at 2 a second");
}

#[test]
fn a_request_that_the_rate_limit_lets_start_too_late_is_refused_at_once() {
    let now = Instant::now();
    let mut controller = AdmissionController::new(4);
    controller.set_limit(Some(0.5.try_into().expect("the rate is valid")), now);
    controller.admit(request(0, 50, now + SECOND), now);

    let (decision, _) = controller.admit(request(1, 50, now + SECOND), now);

    assert_eq!(decision, AdmissionDecision::Refuse(Refusal::TooLate));
}

#[test]
fn a_full_queue_evicts_its_least_important_entry() {
    let now = Instant::now();
    let mut controller = busy_controller(now);
    for id in 1..=4 {
        controller.admit(request(id, 30, now + SECOND), now);
    }

    let less_important = controller.admit(request(5, 30, now + SECOND), now);
    let min_importance = controller.min_importance();
    let more_important = controller.admit(request(6, 90, now + SECOND), now);

    assert_eq!(less_important, (AdmissionDecision::Refuse(Refusal::Overloaded), None));
    assert_eq!(min_importance, 31);
    assert_eq!(more_important.0, AdmissionDecision::Queue);
    assert_eq!(more_important.1.expect("a waiter is evicted").decision, AdmissionDecision::Refuse(Refusal::Overloaded));
}

#[test]
fn a_request_that_would_miss_its_deadline_is_refused_at_once() {
    let now = Instant::now();
    let mut controller = busy_controller(now);
    controller.release_slot(Duration::from_millis(400), now);
    controller.admit(request(1, 50, now + SECOND), now);

    let late = controller.admit(request(2, 50, now + Duration::from_millis(300)), now);

    assert_eq!(late, (AdmissionDecision::Refuse(Refusal::TooLate), None));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 500, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..ProptestConfig::default() })]

    #[test]
    fn a_controller_never_runs_more_than_its_slots_and_decides_on_every_waiter(
        slots in 1u16..6,
        steps in prop::collection::vec((any::<bool>(), 1u8..100, 1u64..500), 1..200),
    ) {
        let start = Instant::now();
        let mut controller = AdmissionController::new(slots);
        let mut waiting = Vec::new();
        for (id, (arrives, importance, ms)) in steps.into_iter().enumerate() {
            let now = start + Duration::from_millis(id as u64);
            let mut decisions = Vec::new();
            if arrives {
                let (decision, evicted) = controller.admit(request(id as u64, importance, now + Duration::from_millis(ms)), now);
                if decision == AdmissionDecision::Queue {
                    waiting.push(id as u64);
                }
                decisions.extend(evicted);
            } else if controller.running() > 0 {
                decisions = controller.release_slot(Duration::from_millis(ms / 10), now);
            }
            for it in decisions {
                let at = waiting.iter().position(|id| *id == it.id);
                prop_assert!(at.is_some(), "{it:?} was not waiting");
                waiting.swap_remove(at.unwrap());
            }
            prop_assert!(controller.running() <= slots);
            prop_assert_eq!(controller.load() as usize, usize::from(controller.running()) + waiting.len());
        }
    }

    #[test]
    fn ejections_never_leave_a_service_below_its_capacity_floor(
        states in prop::collection::vec((1u16..10, 0usize..7, 0u8..12), 0..30),
        floor in 1u8..101,
    ) {
        use EndpointState::{Ejected, Gone, Leaving, Serving, Starting, Suspect, Trial};
        let all = [Starting, Serving, Suspect, Ejected, Trial, Leaving, Gone];
        let endpoints: Vec<_> =
            states.iter().map(|it| EndpointCapacity { slots: it.0, state: all[it.1], failure_level: it.2 }).collect();

        let allowed = eligible_endpoints(&endpoints, floor);

        let announced = |it: &&EndpointCapacity| matches!(it.state, Serving | Suspect | Ejected | Trial);
        let announced_slots: u32 = endpoints.iter().filter(announced).map(|it| u32::from(it.slots)).sum();
        let allowed_slots: u32 = endpoints.iter().zip(&allowed).filter(|it| *it.1).map(|it| u32::from(it.0.slots)).sum();
        prop_assert!(allowed_slots * 100 >= announced_slots * u32::from(floor).min(100));
        let unavailable_get_none =
            endpoints.iter().zip(&allowed).all(|(it, ok)| !ok || !matches!(it.state, Leaving | Gone | Starting));
        prop_assert!(unavailable_get_none);
    }
}

fn serving_endpoint(now: Instant) -> EndpointHealth {
    let mut health = EndpointHealth::new(EjectionConfig::default(), now);
    health.handle(EndpointEvent::AnnouncedServing, now);
    health
}

/// Records failures until the endpoint is ejected; returns how many it took.
fn eject(health: &mut EndpointHealth, now: Instant) -> u32 {
    let mut count = 0;
    while health.state() != EndpointState::Ejected {
        health.record_sample(Sample::Bad, 0.0, EjectionPreference::DetectionTime, now);
        count += 1;
    }
    count
}

#[test]
fn hold_down_doubles_for_a_flapping_endpoint() {
    let mut now = Instant::now();
    let mut health = serving_endpoint(now);
    let mut hold_downs = Vec::new();

    for _ in 0..3 {
        eject(&mut health, now);
        hold_downs.push(health.hold_down().as_secs());
        now += health.hold_down();
        assert!(health.tick(now));
        for _ in 0..EjectionConfig::default().trial_successes {
            health.record_sample(Sample::Good, 0.0, EjectionPreference::DetectionTime, now);
        }
        assert_eq!(health.state(), EndpointState::Serving);
    }

    assert_eq!(hold_downs, [5, 10, 20]);
}

#[test]
fn a_trial_without_requests_makes_the_endpoint_a_suspect() {
    let mut now = Instant::now();
    let mut health = serving_endpoint(now);
    eject(&mut health, now);

    for _ in 0..2 {
        now += health.hold_down();
        health.tick(now);
    }

    assert_eq!(health.state(), EndpointState::Suspect);
    health.record_sample(Sample::Good, 0.0, EjectionPreference::DetectionTime, now);
    assert_eq!(health.state(), EndpointState::Serving);
}

#[rstest]
#[case(EjectionPreference::DetectionTime)]
#[case(EjectionPreference::FalseEjections)]
fn failures_at_the_baseline_rate_eject_no_endpoint(#[case] weighs: EjectionPreference) {
    let mut rng = SmallRng::seed_from_u64(5);
    let mut detector = FailureDetector::default();

    let evidence = (0..5_000).map(|_| {
        let sample = if rng.random_bool(0.3) { Sample::Bad } else { Sample::Good };
        detector.record(sample, 0.3, ejection_threshold(weighs))
    });

    assert!(evidence.into_iter().all(|it| it != Evidence::Bad));
}

#[test]
fn the_median_failure_rate_is_that_of_the_middle_level() {
    assert_eq!(median_failure_rate(&mut []), 0.0);
    assert_eq!(median_failure_rate(&mut [0, 11, 0]), 0.0);
    assert_eq!(median_failure_rate(&mut [10, 10, 10, 0]), 0.5);
    assert_eq!(failure_level(failure_rate_from_level(7)), 7);
}

#[test]
fn the_choice_prefers_near_and_less_loaded_endpoints_and_avoids_some_if_others_exist() {
    let near = Candidate { same_data_centre: true, suspect: false, avoid: false, load: 0, slots: 4 };
    let far = Candidate { same_data_centre: false, ..near };
    let busy = Candidate { load: 4, ..near };
    let avoided = Candidate { avoid: true, ..near };
    let mut rng = SmallRng::seed_from_u64(1);

    assert_eq!(choose_endpoint(&[far, near], &mut rng), Some(1));
    assert_eq!(choose_endpoint(&[far, busy], &mut rng), Some(0));
    assert_eq!(choose_endpoint(&[avoided, far], &mut rng), Some(1));
    assert_eq!(choose_endpoint(&[avoided], &mut rng), Some(0));
    assert_eq!(choose_endpoint(&[], &mut rng), None);
}

#[test]
fn retries_stay_near_a_tenth_of_the_first_attempts() {
    let mut budget = ClassRetryBudget::default();

    let retries = (0..1_000).filter(|_| {
        budget.deposit();
        budget.withdraw()
    });

    assert!(retries.count() <= 110);
}

#[test]
fn the_backoff_of_a_path_doubles_and_ends_with_one_answer() {
    let now = Instant::now();
    let mut path = PathHealth::default();

    path.record_failure(now);
    path.record_failure(now);

    assert!(path.is_backing_off(now + Duration::from_millis(400)));
    assert!(!path.is_backing_off(now + Duration::from_millis(600)));
    path.record_success();
    assert!(!path.is_backing_off(now));
}

//! Classification of callers' requests and nested calls, which differ only in their deadlines and in what runs
//! meanwhile.

use std::time::{Duration, Instant};

use jayreach::decide::origin::{OriginTracker, RequestOrigin, RunningWork};
use rand::{RngExt as _, SeedableRng as _, rngs::SmallRng};
use rstest::rstest;

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn work(id: u64, route: &str, until: Instant, retry_share: f64) -> RunningWork<'_> {
    RunningWork { id, route, deadline: until, retry_share }
}

const CERTAIN_CALLER: RequestOrigin = RequestOrigin::Caller { certain: true };
const CALLER_BY_ROUTE: RequestOrigin = RequestOrigin::Caller { certain: false };

#[test]
fn a_request_with_a_later_deadline_than_all_running_work_marks_its_route_as_used_by_callers() {
    let now = Instant::now();
    let mut origins = OriginTracker::default();
    let running = [work(1, "pay", now + ms(2_000), 0.0)];

    let first = origins.classify("view", now + ms(4_000), &running);
    let second = origins.classify("view", now + ms(1_000), &running);

    assert_eq!((first, second), (CERTAIN_CALLER, CALLER_BY_ROUTE));
}

#[test]
fn a_request_while_the_endpoint_is_idle_comes_from_a_caller() {
    assert_eq!(OriginTracker::default().classify("view", Instant::now(), &[]), CERTAIN_CALLER);
}

#[test]
fn every_running_request_with_a_deadline_as_late_may_be_the_parent_of_a_nested_call() {
    let now = Instant::now();
    let running = [
        work(1, "pay", now + ms(2_000), 1.0),
        work(2, "pay", now + ms(3_000), 0.0),
        work(3, "look", now + ms(200), 1.0),
    ];

    let origin = OriginTracker::default().classify("price", now + ms(1_500), &running);

    assert_eq!(origin, RequestOrigin::NestedCall { parents: vec![1, 2], retry_share: 0.5 });
}

#[test]
fn the_last_report_of_a_guard_about_a_route_is_used() {
    let now = Instant::now();
    let running = [work(1, "plan", now + ms(50_000), 0.0)];
    let mut origins = OriginTracker::default();

    let unknown = origins.classify("charge", now + ms(10_000), &running);
    origins.set_used_by_callers("charge", true);
    let reported = origins.classify("charge", now + ms(10_000), &running);
    origins.set_used_by_callers("charge", false);
    let corrected = origins.classify("charge", now + ms(10_000), &running);

    assert!(matches!(unknown, RequestOrigin::NestedCall { .. }));
    assert_eq!(reported, CALLER_BY_ROUTE);
    assert!(matches!(corrected, RequestOrigin::NestedCall { .. }));
}

#[rstest]
#[case::too_few_requests(7, 7, None)]
#[case::one_in_ten(300, 30, Some(true))]
#[case::one_nested_call_whose_parent_was_lost(300, 1, Some(false))]
#[case::none(300, 0, Some(false))]
fn a_guard_classifies_a_route_by_its_certain_caller_requests(
    #[case] all: u32,
    #[case] certain: u32,
    #[case] expected: Option<bool>,
) {
    let mut origins = OriginTracker::default();

    (0..all).for_each(|at| origins.record("route", at < certain));

    assert_eq!(origins.used_by_callers("route"), expected);
}

#[test]
fn a_wrong_classification_is_corrected_by_later_requests() {
    let mut origins = OriginTracker::default();
    (0..20).for_each(|_| origins.record("price", true));

    (0..3_000).for_each(|_| origins.record("price", false));

    assert_eq!(origins.used_by_callers("price"), Some(false));
}

/// Endpoints are rarely idle, and one class runs longer than the deadlines of all others, so an ingress beside it
/// depends on the guard's reports. Nearly all caller requests and all nested calls must be classified correctly.
#[rstest]
#[case(1, 0.3)]
#[case(2, 0.8)]
#[case(3, 0.95)]
fn nested_calls_are_distinguished_from_caller_requests_under_load(#[case] seed: u64, #[case] busy: f64) {
    const CLASSES: [(&str, u64); 4] = [("view", 4_000), ("pay", 6_000), ("fetch", 4_000), ("intake", 4_000)];
    const SERVED: [[(&str, u64); 2]; 3] =
        [[CLASSES[1], ("plan", 50_000)], [CLASSES[0], CLASSES[1]], [CLASSES[2], CLASSES[3]]];
    const VMS: usize = 9;
    let mut rng = SmallRng::seed_from_u64(seed);
    let start = Instant::now();
    let mut guard = OriginTracker::default();
    let mut ingresses = vec![OriginTracker::default(); VMS];
    let mut running: Vec<Vec<(u64, &str, Instant, Instant)>> = vec![Vec::new(); VMS];
    let (mut requests, mut wrong_caller_requests, mut wrong_nested_calls) = (0, 0, 0);
    for tick in 0..80_000 {
        let now = start + ms(tick);
        let vm = rng.random_range(0..VMS);
        let running = &mut running[vm];
        running.retain(|it| it.3 > now);
        if running.len() < 5 && rng.random_bool(busy) {
            let (class, deadline) = SERVED[vm % 3][rng.random_range(0..2)];
            running.push((tick, class, now + ms(deadline), now + ms(rng.random_range(300..2_500))));
        }
        let running_work: Vec<_> = running.iter().map(|it| work(it.0, it.1, it.2, 0.0)).collect();
        let mut is_nested_call = |route: &str, until: Instant| {
            let origin = ingresses[vm].classify(route, until, &running_work);
            guard.record(route, origin == CERTAIN_CALLER);
            if let Some(is_callers) = guard.used_by_callers(route) {
                ingresses[vm].set_used_by_callers(route, is_callers);
            }
            matches!(origin, RequestOrigin::NestedCall { .. }) && guard.used_by_callers(route) != Some(true)
        };
        if rng.random_bool(0.1) {
            let (class, deadline) = CLASSES[rng.random_range(0..CLASSES.len())];
            requests += 1;
            wrong_caller_requests += u32::from(is_nested_call(class, now + ms(deadline)));
        }
        if let Some(parent) = running_work.first().filter(|_| rng.random_bool(0.2)) {
            wrong_nested_calls += u32::from(!is_nested_call("price", parent.deadline.min(now + ms(1_500))));
        }
    }

    assert_eq!(wrong_nested_calls, 0);
    assert!(
        wrong_caller_requests * 50 < requests,
        "{wrong_caller_requests} of {requests} caller requests were classified as nested calls"
    );
}

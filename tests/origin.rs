//! Callers' requests and calls of running work, told apart by nothing but when they come and expire.

use std::time::{Duration, Instant};

use jayreach::decide::origin::{OriginTracker, RequestOrigin, RunningWork};
use rand::{RngExt as _, SeedableRng as _, rngs::SmallRng};
use rstest::rstest;

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn work(id: u64, route: &str, until: Instant, repeat_share: f64) -> RunningWork<'_> {
    RunningWork { id, route, deadline: until, repeat_share }
}

const CERTAIN: RequestOrigin = RequestOrigin::Caller { certain: true };
const BY_ROUTE: RequestOrigin = RequestOrigin::Caller { certain: false };

#[test]
fn a_request_that_outlives_all_work_here_is_a_callers_and_so_is_its_route() {
    let now = Instant::now();
    let mut origins = OriginTracker::default();
    let works = [work(1, "pay", now + ms(2_000), 0.0)];

    let first = origins.classify("view", now + ms(4_000), &works);
    let second = origins.classify("view", now + ms(1_000), &works);

    assert_eq!((first, second), (CERTAIN, BY_ROUTE));
}

#[test]
fn a_request_beside_an_idle_endpoint_is_a_callers() {
    assert_eq!(OriginTracker::default().classify("view", Instant::now(), &[]), CERTAIN);
}

#[test]
fn a_call_may_have_been_made_by_any_work_that_lasts_as_long() {
    let now = Instant::now();
    let works = [
        work(1, "pay", now + ms(2_000), 1.0),
        work(2, "pay", now + ms(3_000), 0.0),
        work(3, "look", now + ms(200), 1.0),
    ];

    let origin = OriginTracker::default().classify("price", now + ms(1_500), &works);

    assert_eq!(origin, RequestOrigin::NestedCall { parents: vec![1, 2], repeat_share: 0.5 });
}

#[test]
fn what_a_guard_says_of_a_route_holds_until_it_says_otherwise() {
    let now = Instant::now();
    let works = [work(1, "plan", now + ms(50_000), 0.0)];
    let mut origins = OriginTracker::default();

    let unknown = origins.classify("charge", now + ms(10_000), &works);
    origins.set_used_by_callers("charge", true);
    let told = origins.classify("charge", now + ms(10_000), &works);
    origins.set_used_by_callers("charge", false);
    let corrected = origins.classify("charge", now + ms(10_000), &works);

    assert!(matches!(unknown, RequestOrigin::NestedCall { .. }));
    assert_eq!(told, BY_ROUTE);
    assert!(matches!(corrected, RequestOrigin::NestedCall { .. }));
}

#[rstest]
#[case::few_say_nothing(7, 7, None)]
#[case::one_in_ten(300, 30, Some(true))]
#[case::a_call_whose_parent_was_lost(300, 1, Some(false))]
#[case::none(300, 0, Some(false))]
fn a_guard_judges_a_route_by_its_certain_requests(
    #[case] all: u32,
    #[case] certain: u32,
    #[case] wanted: Option<bool>,
) {
    let mut origins = OriginTracker::default();

    (0..all).for_each(|at| origins.record("route", at < certain));

    assert_eq!(origins.used_by_callers("route"), wanted);
}

#[test]
fn a_wrong_mark_heals() {
    let mut origins = OriginTracker::default();
    (0..20).for_each(|_| origins.record("price", true));

    (0..3_000).for_each(|_| origins.record("price", false));

    assert_eq!(origins.used_by_callers("price"), Some(false));
}

/// VMs of three services, whose endpoints are hardly ever idle from the start; the work of one outlives what any other
/// class's callers ask for, so that nothing can be found out beside it. Each request also asks for a place at the one guard of its route, which tells the ingress what it
/// has found. Nearly all requests are told right, and no call is taken for a caller's.
#[rstest]
#[case(1, 0.3)]
#[case(2, 0.8)]
#[case(3, 0.95)]
fn calls_are_told_from_requests_under_load(#[case] seed: u64, #[case] busy: f64) {
    const CLASSES: [(&str, u64); 4] = [("view", 4_000), ("pay", 6_000), ("fetch", 4_000), ("intake", 4_000)];
    const SERVED: [[(&str, u64); 2]; 3] =
        [[CLASSES[1], ("plan", 50_000)], [CLASSES[0], CLASSES[1]], [CLASSES[2], CLASSES[3]]];
    const VMS: usize = 9;
    let mut rng = SmallRng::seed_from_u64(seed);
    let start = Instant::now();
    let mut guard = OriginTracker::default();
    let mut ingresses = vec![OriginTracker::default(); VMS];
    let mut works: Vec<Vec<(u64, &str, Instant, Instant)>> = vec![Vec::new(); VMS];
    let (mut requests, mut wrong_requests, mut wrong_calls) = (0, 0, 0);
    for tick in 0..80_000 {
        let now = start + ms(tick);
        let vm = rng.random_range(0..VMS);
        let works = &mut works[vm];
        works.retain(|it| it.3 > now);
        if works.len() < 5 && rng.random_bool(busy) {
            let (class, deadline) = SERVED[vm % 3][rng.random_range(0..2)];
            works.push((tick, class, now + ms(deadline), now + ms(rng.random_range(300..2_500))));
        }
        let running: Vec<_> = works.iter().map(|it| work(it.0, it.1, it.2, 0.0)).collect();
        let mut ask = |route: &str, until: Instant| {
            let origin = ingresses[vm].classify(route, until, &running);
            guard.record(route, origin == CERTAIN);
            if let Some(is_callers) = guard.used_by_callers(route) {
                ingresses[vm].set_used_by_callers(route, is_callers);
            }
            matches!(origin, RequestOrigin::NestedCall { .. }) && guard.used_by_callers(route) != Some(true)
        };
        if rng.random_bool(0.1) {
            let (class, deadline) = CLASSES[rng.random_range(0..CLASSES.len())];
            requests += 1;
            wrong_requests += u32::from(ask(class, now + ms(deadline)));
        }
        if let Some(parent) = running.first().filter(|_| rng.random_bool(0.2)) {
            wrong_calls += u32::from(!ask("price", parent.deadline.min(now + ms(1_500))));
        }
    }

    assert_eq!(wrong_calls, 0);
    assert!(wrong_requests * 50 < requests, "{wrong_requests} of {requests}");
}

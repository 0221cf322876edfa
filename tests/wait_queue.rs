//! The order in which waiting requests start: under overload, slots must go to urgent requests first, and few to late
//! ones.

use std::time::{Duration, Instant};

use jayreach::decide::{
    fingerprint::Fingerprint,
    suspicion::EndpointStanding,
    wait_queue::{WaitQueue, Waiter},
};
use proptest::prelude::*;

const MS: Duration = Duration::from_millis(1);
const SERVICE_TIME: Duration = Duration::from_millis(400);
/// Milliseconds during which requests arrive.
const LOAD_MS: u32 = 20_000;

fn waiter(id: u64, is_nested_call: bool, rank: u32, arrived: Instant, max_wait: Duration) -> Waiter {
    Waiter {
        id,
        is_nested_call,
        rank,
        idempotent: true,
        allows_endpoint_trial: true,
        worst_standing: EndpointStanding::Clean,
        arrived,
        latest_start: arrived + max_wait,
        is_retry: false,
        retry_share: 0.0,
        fingerprint: Fingerprint::default(),
        is_quarantine_trial: false,
        route: "r".into(),
    }
}

#[test]
fn nested_calls_start_first_then_lower_ranks_then_requests_that_can_be_in_time() {
    let now = Instant::now();
    let mut queue = WaitQueue::default();
    queue.push(waiter(1, false, 2, now, Duration::from_secs(9)));
    queue.push(waiter(2, false, 1, now, 10 * MS));
    queue.push(waiter(3, false, 1, now + MS, Duration::from_secs(9)));
    queue.push(waiter(4, false, 1, now + 2 * MS, Duration::from_secs(9)));
    queue.push(waiter(5, true, 7, now + 3 * MS, Duration::from_secs(9)));

    let order: Vec<_> = (0..5).filter_map(|_| queue.next(now + 50 * MS, |_| true)).map(|it| it.id).collect();

    assert_eq!(order, [5, 3, 4, 2, 1], "2 is already late, 1 has a less urgent rank");
}

/// Simulates an endpoint with four slots. Every `every_ms` a request of one of two classes arrives and has to start
/// within 600 ms. Returns how many requests of each class started in time.
fn simulate(every_ms: u32, class: impl Fn(u32) -> usize, ranks: [u32; 2]) -> [u32; 2] {
    let start = Instant::now();
    let mut queue = WaitQueue::default();
    let mut busy: Vec<Instant> = Vec::new();
    let mut in_time = [0; 2];
    for tick in 0..LOAD_MS + 1_000 {
        let now = start + MS * tick;
        if tick % every_ms == 0 && tick < LOAD_MS {
            let number = tick / every_ms;
            queue.push(waiter(u64::from(number), false, ranks[class(number)], now, Duration::from_millis(600)));
        }
        busy.retain(|it| *it > now);
        while busy.len() < 4 {
            let Some(next) = queue.next(now, |_| true) else { break };
            busy.push(now + SERVICE_TIME);
            in_time[class(next.id as u32)] += u32::from(next.latest_start >= now);
        }
    }
    in_time
}

#[test]
fn under_twofold_overload_the_urgent_class_is_served_completely_and_few_slots_are_wasted() {
    // 20 requests a second arrive and 10 can be served; one in four is urgent.
    let class = |number: u32| usize::from(!number.is_multiple_of(4));
    let [urgent, other] = simulate(50, class, [0, 1]);
    let [urgent_unranked, other_unranked] = simulate(50, class, [0, 0]);

    assert_eq!(urgent, 100, "all requests of the urgent class start in time");
    assert!(urgent + other >= 190, "nearly every slot runs a request that is in time: {urgent} + {other}");
    assert!(
        urgent_unranked < 60,
        "with equal ranks the urgent class is served no better than the other: {urgent_unranked} + {other_unranked}"
    );
}

#[test]
fn the_less_urgent_class_gets_a_ninth_of_the_slots_that_the_urgent_one_could_fill() {
    // 40 requests a second arrive and 10 can be served; every second one is urgent.
    let [urgent, other] = simulate(25, |number| (number % 2) as usize, [0, 1]);

    assert!((195..=212).contains(&(urgent + other)), "every slot runs a request that is in time: {urgent} + {other}");
    assert!((20..=24).contains(&other), "{other} of {} requests were less urgent", urgent + other);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, rng_seed: proptest::test_runner::RngSeed::Fixed(11), ..ProptestConfig::default() })]

    #[test]
    fn every_waiter_leaves_the_queue_exactly_once(waiters in prop::collection::vec((any::<bool>(), 0u32..4, 0u64..500), 1..60)) {
        let now = Instant::now();
        let mut queue = WaitQueue::default();
        for (at, (is_nested_call, rank, max_wait_ms)) in waiters.iter().enumerate() {
            queue.push(waiter(at as u64, *is_nested_call, *rank, now, Duration::from_millis(*max_wait_ms)));
        }
        let mut started = Vec::new();
        let mut time = now;
        while let Some(it) = queue.next(time, |_| true) {
            started.push(it.id);
            time += 10 * MS;
        }
        started.sort_unstable();
        prop_assert_eq!(started, (0..waiters.len() as u64).collect::<Vec<_>>());
    }
}

//! The order in which waiting work is begun, replayed against the load patterns that it answers.

use std::time::{Duration, Instant};

use jayreach::decide::{
    fingerprint::Fingerprint,
    suspicion::EndpointStanding,
    wait_queue::{WaitQueue, Waiter},
};
use proptest::prelude::*;

const MS: Duration = Duration::from_millis(1);
const WORK: Duration = Duration::from_millis(400);
/// For how long work comes, in milliseconds.
const LOAD_MS: u32 = 20_000;

fn waiter(id: u64, call: bool, rank: u32, arrived: Instant, useful: Duration) -> Waiter {
    Waiter {
        id,
        is_nested_call: call,
        rank,
        idempotent: true,
        may_be_trial: true,
        accepts: EndpointStanding::Clean,
        arrived,
        latest_start: arrived + useful,
        is_retry: false,
        repeat_share: 0.0,
        fingerprint: Fingerprint::default(),
        is_quarantine_trial: false,
        route: "r".into(),
    }
}

#[test]
fn calls_of_running_work_go_first_then_ranks_then_what_can_still_be_in_time() {
    let now = Instant::now();
    let mut queue = WaitQueue::default();
    queue.push(waiter(1, false, 2, now, Duration::from_secs(9)));
    queue.push(waiter(2, false, 1, now, 10 * MS));
    queue.push(waiter(3, false, 1, now + MS, Duration::from_secs(9)));
    queue.push(waiter(4, false, 1, now + 2 * MS, Duration::from_secs(9)));
    queue.push(waiter(5, true, 7, now + 3 * MS, Duration::from_secs(9)));

    let order: Vec<_> = (0..5).filter_map(|_| queue.next(now + 50 * MS, |_| true)).map(|it| it.id).collect();

    assert_eq!(order, [5, 3, 4, 2, 1], "2 is late already, 1 is of a lower rank");
}

/// One endpoint with four slots; a piece of work comes every so many milliseconds, of one of two classes, each
/// with its rank, and is of use for 600 ms; returns how many of each class began in time.
fn replay(every_ms: u32, class: impl Fn(u32) -> usize, ranks: [u32; 2]) -> [u32; 2] {
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
            busy.push(now + WORK);
            in_time[class(next.id as u32)] += u32::from(next.latest_start >= now);
        }
    }
    in_time
}

#[test]
fn under_twice_the_load_the_urgent_class_is_served_whole_and_slots_do_useful_work() {
    // 20 pieces a second, where 10 a second can be served; one in four is urgent.
    let class = |number: u32| usize::from(!number.is_multiple_of(4));
    let [urgent, other] = replay(50, class, [0, 1]);
    let [urgent_before, other_before] = replay(50, class, [0, 0]);

    assert_eq!(urgent, 100, "all of the urgent class");
    assert!(urgent + other >= 190, "nearly every slot did work that was still in time: {urgent} + {other}");
    assert!(urgent_before < 60, "in order of arrival it suffers like the rest: {urgent_before} + {other_before}");
}

#[test]
fn the_less_urgent_class_gets_a_ninth_where_the_urgent_one_fills_every_slot() {
    // 40 pieces a second, every second one urgent: these alone are twice what can be served.
    let [urgent, other] = replay(25, |number| (number % 2) as usize, [0, 1]);

    assert!((195..=212).contains(&(urgent + other)), "every slot does work that is still in time: {urgent} + {other}");
    assert!((20..=24).contains(&other), "{other} of {}", urgent + other);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, rng_seed: proptest::test_runner::RngSeed::Fixed(11), ..ProptestConfig::default() })]

    #[test]
    fn every_waiter_leaves_the_queue_once(ranks in prop::collection::vec((any::<bool>(), 0u32..4, 0u64..500), 1..60)) {
        let now = Instant::now();
        let mut queue = WaitQueue::default();
        for (at, (call, rank, useful)) in ranks.iter().enumerate() {
            queue.push(waiter(at as u64, *call, *rank, now, Duration::from_millis(*useful)));
        }
        let mut seen = Vec::new();
        let mut time = now;
        while let Some(it) = queue.next(time, |_| true) {
            seen.push(it.id);
            time += 10 * MS;
        }
        seen.sort_unstable();
        prop_assert_eq!(seen, (0..ranks.len() as u64).collect::<Vec<_>>());
    }
}

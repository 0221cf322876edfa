//! Waiting at a service that gets more work than it can do.

use std::{
    collections::BinaryHeap,
    time::{Duration, Instant},
};

use jayreach::decide::{
    latest_start::{WorkTiming, latest_start},
    service_times::ServiceTimes,
};
use rand::{RngExt as _, SeedableRng as _, rngs::SmallRng};
use rstest::rstest;

const GOAL: Duration = Duration::from_millis(2_000);

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn timing(arrived: Instant, call: bool) -> WorkTiming {
    WorkTiming { arrived, target_latency: GOAL, deadline: arrived + ms(6_000), is_nested_call: call }
}

#[rstest]
#[case::short_work(Some(100), false, 1_820)]
#[case::usual_work(Some(500), false, 1_100)]
#[case::work_as_long_as_its_goal(Some(2_000), false, 666)]
#[case::work_longer_than_its_deadline(Some(9_000), false, 0)]
#[case::unknown_work(None, false, 1_333)]
#[case::a_call(Some(500), true, 5_100)]
fn work_begins_with_enough_of_its_time_left(#[case] mean: Option<u64>, #[case] call: bool, #[case] wanted: u64) {
    let now = Instant::now();

    let by = latest_start(timing(now, call), mean.map(ms));

    assert_eq!((by - now).as_millis(), u128::from(wanted));
}

/// Answers in time, late answers and refusals of a service of five slots at 1.4 times its load, with work of 200 to
/// 1,400 ms, where work may still begin `late_by` after `latest_start` says.
fn replay(seed: u64, late_by: Duration) -> (u32, u32, u32) {
    const SLOTS: usize = 5;
    let mut rng = SmallRng::seed_from_u64(seed);
    let start = Instant::now();
    let mut pace = ServiceTimes::default();
    let mut free_at: BinaryHeap<std::cmp::Reverse<Instant>> = (0..SLOTS).map(|_| std::cmp::Reverse(start)).collect();
    let (mut in_time, mut late, mut refused) = (0, 0, 0);
    let mut arrived = start;
    for _ in 0..3_000 {
        arrived += ms(rng.random_range(0..228));
        let takes = ms(rng.random_range(200..1_400));
        let free = free_at.peek().expect("there are slots").0.max(arrived);
        if free > latest_start(timing(arrived, false), pace.mean("pay")) + late_by {
            refused += 1;
            continue;
        }
        free_at.pop();
        free_at.push(std::cmp::Reverse(free + takes));
        pace.record("pay", takes);
        if free + takes - arrived <= GOAL { in_time += 1 } else { late += 1 }
    }
    (in_time, late, refused)
}

#[rstest]
#[case(1)]
#[case(2)]
#[case(3)]
fn under_overload_what_begins_ends_in_time(#[case] seed: u64) {
    let (in_time, late, refused) = replay(seed, Duration::ZERO);
    let (with_the_mean, late_with_the_mean, _) = replay(seed, ms(640));

    assert!(late * 20 < in_time, "{late} late, {in_time} in time");
    assert!(in_time > with_the_mean * 5 / 4, "{in_time} against {with_the_mean}, {late_with_the_mean} of those late");
    assert!(refused < 3_000 / 2, "{refused}");
}

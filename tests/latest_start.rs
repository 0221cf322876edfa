//! The latest start of waiting requests: an overloaded service must spend its slots on requests that end in time.

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

const TARGET_LATENCY: Duration = Duration::from_millis(2_000);

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn timing(arrived: Instant, is_nested_call: bool) -> WorkTiming {
    WorkTiming { arrived, target_latency: TARGET_LATENCY, deadline: arrived + ms(6_000), is_nested_call }
}

#[rstest]
#[case::short(Some(100), false, 1_820)]
#[case::medium(Some(500), false, 1_100)]
#[case::as_long_as_the_target_latency(Some(2_000), false, 666)]
#[case::longer_than_the_deadline(Some(9_000), false, 0)]
#[case::unknown(None, false, 1_333)]
#[case::nested_call(Some(500), true, 5_100)]
fn the_latest_start_leaves_enough_time_for_the_request(
    #[case] mean_ms: Option<u64>,
    #[case] is_nested_call: bool,
    #[case] expected_ms: u64,
) {
    let now = Instant::now();

    let latest = latest_start(timing(now, is_nested_call), mean_ms.map(ms));

    assert_eq!((latest - now).as_millis(), u128::from(expected_ms));
}

/// Simulates five slots at 1.4 times their capacity, with service times from 200 to 1,400 ms. Requests may start up to
/// `late_by` after their latest start. Returns the numbers of responses in time, late responses and refusals.
fn simulate_overload(seed: u64, late_by: Duration) -> (u32, u32, u32) {
    const SLOTS: usize = 5;
    let mut rng = SmallRng::seed_from_u64(seed);
    let start = Instant::now();
    let mut service_times = ServiceTimes::default();
    let mut free_at: BinaryHeap<std::cmp::Reverse<Instant>> = (0..SLOTS).map(|_| std::cmp::Reverse(start)).collect();
    let (mut in_time, mut late, mut refused) = (0, 0, 0);
    let mut arrived = start;
    for _ in 0..3_000 {
        arrived += ms(rng.random_range(0..228));
        let service_time = ms(rng.random_range(200..1_400));
        let starts_at = free_at.peek().expect("the service has slots").0.max(arrived);
        if starts_at > latest_start(timing(arrived, false), service_times.mean("pay")) + late_by {
            refused += 1;
            continue;
        }
        free_at.pop();
        free_at.push(std::cmp::Reverse(starts_at + service_time));
        service_times.record("pay", service_time);
        if starts_at + service_time - arrived <= TARGET_LATENCY { in_time += 1 } else { late += 1 }
    }
    (in_time, late, refused)
}

#[rstest]
#[case(1)]
#[case(2)]
#[case(3)]
fn requests_that_start_under_overload_end_in_time(#[case] seed: u64) {
    let (in_time, late, refused) = simulate_overload(seed, Duration::ZERO);
    // The reserve shrinks from 1.8 mean service times to one, about 640 ms less.
    let (in_time_with_mean, late_with_mean, _) = simulate_overload(seed, ms(640));

    assert!(late * 20 < in_time, "{late} late, {in_time} in time");
    assert!(
        in_time > in_time_with_mean * 5 / 4,
        "{in_time} in time; with a reserve of one mean {in_time_with_mean} in time, {late_with_mean} late"
    );
    assert!(refused < 3_000 / 2, "{refused} refused of 3000");
}

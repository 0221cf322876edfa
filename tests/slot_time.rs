//! The slot time totals account for all slot time, whatever the occupancy.

use std::time::{Duration, Instant};

use jayreach::decide::{
    slot_time::{SlotOccupancy, SlotTime, SlotUse},
    suspicion::EndpointStanding,
};
use rand::{RngExt as _, SeedableRng as _, rngs::SmallRng};
use rstest::rstest;

const SLOTS: u32 = 5;

#[rstest]
#[case(1)]
#[case(2)]
#[case(3)]
fn the_totals_add_up_to_slots_times_elapsed_time(#[case] seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let start = Instant::now();
    let (mut now, mut account) = (start, SlotTime::default());
    let mut running: Vec<Instant> = Vec::new();
    account.advance(SlotOccupancy { slots: SLOTS, usable: SLOTS, ..SlotOccupancy::default() }, now);

    for _ in 0..2_000 {
        now += Duration::from_millis(rng.random_range(0..50));
        let usable = if rng.random_bool(0.2) { SLOTS.div_ceil(2) } else { SLOTS };
        if rng.random_bool(0.5) && running.len() < 4 {
            running.push(now);
        } else if let Some(started) = running.pop() {
            account.add_work(SlotUse::ALL[rng.random_range(0..5)], now - started);
        }
        let running_count = u32::try_from(running.len()).expect("fewer than SLOTS");
        let unused_grants = rng.random_range(0..=SLOTS - running_count);
        let standing = if rng.random_bool(0.3) { EndpointStanding::Suspect } else { EndpointStanding::Clean };
        account.advance(
            SlotOccupancy {
                slots: SLOTS,
                usable,
                unused_grants,
                running: running_count,
                standing,
                has_waiters: rng.random_bool(0.5),
                rate_limited: rng.random_bool(0.2),
            },
            now,
        );
    }

    let running_time: Duration = running.iter().map(|it| now - *it).sum();
    let sum: Duration = SlotUse::ALL.iter().map(|it| account.total(*it)).sum();
    assert_eq!(sum + running_time, (now - start) * SLOTS);
}

#[rstest]
#[case::no_request_waits(EndpointStanding::Clean, false, false, SlotUse::Idle)]
#[case::a_request_waits(EndpointStanding::Clean, true, false, SlotUse::Blocked)]
#[case::endpoint_suspect(EndpointStanding::Suspect, true, false, SlotUse::Distrusted)]
#[case::endpoint_declining(EndpointStanding::Declining, false, false, SlotUse::Distrusted)]
#[case::rate_limit_reached(EndpointStanding::Clean, true, true, SlotUse::Limited)]
fn a_free_slot_is_counted_by_its_reason(
    #[case] standing: EndpointStanding,
    #[case] has_waiters: bool,
    #[case] rate_limited: bool,
    #[case] expected: SlotUse,
) {
    let start = Instant::now();
    let mut account = SlotTime::default();
    let occupancy = SlotOccupancy {
        slots: SLOTS,
        usable: SLOTS,
        unused_grants: 1,
        running: 1,
        standing,
        has_waiters,
        rate_limited,
    };

    account.advance(occupancy, start);
    account.advance(occupancy, start + Duration::from_secs(2));

    assert_eq!(account.total(expected), Duration::from_secs(6));
    assert_eq!(account.total(SlotUse::Offered), Duration::from_secs(2));
}

//! Announcements of several incarnations of one endpoint: late, duplicated, under the same name, after clock changes,
//! and after a restart of the guard.

use jayreach::decide::incarnation::{
    AnnouncementClass, EndpointId, KnownIncarnation, UnconfirmedIncarnation, classify_announcement,
};
use proptest::prelude::*;
use rstest::rstest;

/// Sequence number of the last announcement of the known incarnation, `a` started at 1,000.
const KNOWN_SEQUENCE: u64 = 7;

fn id(name: &str, started_at: impl Into<Option<u64>>) -> EndpointId {
    EndpointId { name: name.into(), started_at: started_at.into() }
}

fn known(id: &EndpointId, missed_heartbeats: f64) -> KnownIncarnation<'_> {
    KnownIncarnation { id, sequence: KNOWN_SEQUENCE, accepts_work: true, missed_heartbeats }
}

#[rstest]
#[case::newer_announcement(id("a", 1_000), 8, AnnouncementClass::Update)]
#[case::duplicate_announcement(id("a", 1_000), 7, AnnouncementClass::Stale)]
#[case::reordered_announcement(id("a", 1_000), 6, AnnouncementClass::Stale)]
#[case::restarted_under_the_same_name(id("a", 1_001), 1, AnnouncementClass::NewIncarnation)]
#[case::former_incarnation_of_that_name(id("a", 999), 99, AnnouncementClass::Stale)]
#[case::no_start_time(id("a", None), 8, AnnouncementClass::Update)]
#[case::no_start_time_and_duplicate(id("a", None), 7, AnnouncementClass::Stale)]
#[case::another_endpoint(id("b", 2_000), 1, AnnouncementClass::Unconfirmed)]
#[case::endpoint_started_before(id("b", 500), 99, AnnouncementClass::Stale)]
#[case::another_endpoint_without_start_time(id("b", None), 1, AnnouncementClass::Unconfirmed)]
fn announcements_are_classified_while_the_known_endpoint_is_alive(
    #[case] announced: EndpointId,
    #[case] sequence: u64,
    #[case] expected: AnnouncementClass,
) {
    let known_id = id("a", 1_000);

    let class = classify_announcement(Some(known(&known_id, 0.5)), None, &[], &announced, sequence);

    assert_eq!(class, expected);
}

#[rstest]
#[case::another_endpoint(id("b", 2_000), 3.0, AnnouncementClass::NewIncarnation)]
#[case::endpoint_started_before(id("b", 500), 3.0, AnnouncementClass::Stale)]
#[case::after_a_clock_set_back(id("a", 500), 5.0, AnnouncementClass::NewIncarnation)]
fn an_endpoint_that_misses_heartbeats_is_replaced(
    #[case] announced: EndpointId,
    #[case] missed_heartbeats: f64,
    #[case] expected: AnnouncementClass,
) {
    let known_id = id("a", 1_000);

    assert_eq!(classify_announcement(Some(known(&known_id, missed_heartbeats)), None, &[], &announced, 1), expected);
}

#[test]
fn a_known_incarnation_with_an_earlier_start_time_than_a_retired_one_is_still_updated() {
    let known_id = id("a", 500);
    let retired = [id("a", 1_000)];

    assert_eq!(
        classify_announcement(Some(known(&known_id, 0.5)), None, &retired, &known_id, KNOWN_SEQUENCE + 1),
        AnnouncementClass::Update
    );
    assert_eq!(
        classify_announcement(Some(known(&known_id, 0.5)), None, &retired, &known_id, KNOWN_SEQUENCE),
        AnnouncementClass::Stale
    );
    assert_eq!(
        classify_announcement(Some(known(&known_id, 0.5)), None, &retired, &retired[0], 99),
        AnnouncementClass::Stale
    );
}

#[rstest]
#[case::the_retired_incarnation(id("a", 1_000), AnnouncementClass::Stale)]
#[case::former_incarnation(id("a", 900), AnnouncementClass::Stale)]
#[case::without_start_time(id("a", None), AnnouncementClass::Stale)]
#[case::newer_incarnation(id("a", 1_001), AnnouncementClass::Unconfirmed)]
#[case::another_endpoint(id("b", 10), AnnouncementClass::Unconfirmed)]
fn a_retired_incarnation_stays_retired_and_its_name_may_be_reused(
    #[case] announced: EndpointId,
    #[case] expected: AnnouncementClass,
) {
    assert_eq!(classify_announcement(None, None, &[id("a", 1_000)], &announced, 99), expected);
}

/// Guards against a late announcement that brings an endpoint back after the restart of its guard, and against an
/// endpoint that stays without requests because its health checks fail.
#[rstest]
#[case::late(id("a", 1_000), 8, 3.9, AnnouncementClass::Unconfirmed)]
#[case::repeated(id("a", 1_000), 7, 60.0, AnnouncementClass::Unconfirmed)]
#[case::of_another_endpoint(id("b", 1_000), 8, 60.0, AnnouncementClass::Unconfirmed)]
#[case::of_an_endpoint_that_goes_on(id("a", 1_000), 8, 4.0, AnnouncementClass::NewIncarnation)]
fn an_endpoint_that_no_health_check_confirms_is_known_once_it_has_announced_itself_for_long(
    #[case] announced: EndpointId,
    #[case] sequence: u64,
    #[case] heartbeats_since_first: f64,
    #[case] expected: AnnouncementClass,
) {
    let first = id("a", 1_000);
    let unconfirmed = UnconfirmedIncarnation { id: &first, first_sequence: 7, heartbeats_since_first };

    assert_eq!(classify_announcement(None, Some(unconfirmed), &[], &announced, sequence), expected);
}

#[test]
fn a_start_time_in_the_future_is_dropped() {
    assert_eq!(EndpointId::new("a", Some(u64::MAX), 1_000).started_at, None);
    assert_eq!(EndpointId::new("a", Some(1_000 + 2_000), 1_000).started_at, Some(3_000));
    assert_eq!(EndpointId::new("a", Some(u64::MAX), u64::MAX).started_at, Some(u64::MAX));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, rng_seed: proptest::test_runner::RngSeed::Fixed(5), ..ProptestConfig::default() })]

    /// Late and duplicate announcements must never bring back an ended incarnation; incarnations at one address may
    /// share a name.
    #[test]
    fn a_former_incarnation_never_comes_back(
        names in proptest::collection::vec(0u8..3, 1..8),
        order in proptest::collection::vec((0usize..8, 0u64..6), 1..60),
    ) {
        let incarnations: Vec<EndpointId> =
            names.iter().enumerate().map(|(at, name)| id(&format!("n{name}"), at as u64 * 100)).collect();
        let mut known_now: Option<(EndpointId, u64)> = None;
        let mut retired: Vec<EndpointId> = Vec::new();
        let mut started = 0;
        for (at, sequence) in order {
            let at = at.min(started).min(incarnations.len() - 1);
            started = started.max(at + 1);
            let announced = &incarnations[at];
            let known_incarnation = known_now.as_ref().map(|(id, sequence)| {
                KnownIncarnation { id, sequence: *sequence, accepts_work: true, missed_heartbeats: 3.0 }
            });
            match classify_announcement(known_incarnation, None, &retired, announced, sequence) {
                // The first one is confirmed by a health check.
                AnnouncementClass::Unconfirmed if known_now.is_none() => known_now = Some((announced.clone(), sequence)),
                AnnouncementClass::NewIncarnation => {
                    if let Some((before, _)) = known_now.replace((announced.clone(), sequence)) {
                        prop_assert!(before.started_at < announced.started_at, "{:?} came back after {:?}", announced, before);
                        retired.push(before);
                    }
                }
                AnnouncementClass::Update => known_now = Some((announced.clone(), sequence)),
                AnnouncementClass::Stale | AnnouncementClass::Unconfirmed => (),
            }
        }
    }
}

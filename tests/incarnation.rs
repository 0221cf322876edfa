//! Announcements of the lives of one endpoint: late, doubled, under the same name, and from clocks that are set.

use jayreach::decide::incarnation::{AnnouncementClass, EndpointId, KnownIncarnation, classify_announcement};
use proptest::prelude::*;
use rstest::rstest;

/// The known life: `a`, born at 1,000, at its sequence 7.
const KNOWN_SEQUENCE: u64 = 7;

fn id(name: &str, started_at: impl Into<Option<u64>>) -> EndpointId {
    EndpointId { name: name.into(), started_at: started_at.into() }
}

fn known(id: &EndpointId, missed_heartbeats: f64) -> KnownIncarnation<'_> {
    KnownIncarnation { id, sequence: KNOWN_SEQUENCE, accepts_work: true, missed_heartbeats }
}

#[rstest]
#[case::the_next_word(id("a", 1_000), 8, AnnouncementClass::Update)]
#[case::the_same_word_again(id("a", 1_000), 7, AnnouncementClass::Stale)]
#[case::a_word_overtaken(id("a", 1_000), 6, AnnouncementClass::Stale)]
#[case::restarted_under_its_name(id("a", 1_001), 1, AnnouncementClass::NewIncarnation)]
#[case::an_earlier_life_of_that_name(id("a", 999), 99, AnnouncementClass::Stale)]
#[case::no_start_told(id("a", None), 8, AnnouncementClass::Update)]
#[case::no_start_told_and_late(id("a", None), 7, AnnouncementClass::Stale)]
#[case::another_endpoint(id("b", 2_000), 1, AnnouncementClass::Unconfirmed)]
#[case::an_endpoint_from_before(id("b", 500), 99, AnnouncementClass::Stale)]
#[case::another_endpoint_without_a_start(id("b", None), 1, AnnouncementClass::Unconfirmed)]
fn a_living_endpoint_is_told_from_others(
    #[case] told: EndpointId,
    #[case] sequence: u64,
    #[case] wanted: AnnouncementClass,
) {
    let life = id("a", 1_000);

    let verdict = classify_announcement(Some(known(&life, 0.5)), &[], &told, sequence);

    assert_eq!(verdict, wanted);
}

#[rstest]
#[case::another_endpoint(id("b", 2_000), 3.0, AnnouncementClass::NewIncarnation)]
#[case::an_endpoint_from_before(id("b", 500), 3.0, AnnouncementClass::Stale)]
#[case::after_the_clock_was_set_back(id("a", 500), 5.0, AnnouncementClass::NewIncarnation)]
fn a_silent_endpoint_gives_way(
    #[case] told: EndpointId,
    #[case] missed_heartbeats: f64,
    #[case] wanted: AnnouncementClass,
) {
    let life = id("a", 1_000);

    assert_eq!(classify_announcement(Some(known(&life, missed_heartbeats)), &[], &told, 1), wanted);
}

#[test]
fn a_life_whose_start_seems_earlier_than_a_former_one_is_still_heard() {
    let life = id("a", 500);
    let former = [id("a", 1_000)];

    assert_eq!(
        classify_announcement(Some(known(&life, 0.5)), &former, &life, KNOWN_SEQUENCE + 1),
        AnnouncementClass::Update
    );
    assert_eq!(
        classify_announcement(Some(known(&life, 0.5)), &former, &life, KNOWN_SEQUENCE),
        AnnouncementClass::Stale
    );
    assert_eq!(classify_announcement(Some(known(&life, 0.5)), &former, &former[0], 99), AnnouncementClass::Stale);
}

#[rstest]
#[case::itself(id("a", 1_000), AnnouncementClass::Stale)]
#[case::an_earlier_life(id("a", 900), AnnouncementClass::Stale)]
#[case::without_a_start(id("a", None), AnnouncementClass::Stale)]
#[case::a_later_life(id("a", 1_001), AnnouncementClass::NewIncarnation)]
#[case::another_endpoint(id("b", 10), AnnouncementClass::NewIncarnation)]
fn what_is_over_stays_over_and_its_name_may_come_back(#[case] told: EndpointId, #[case] wanted: AnnouncementClass) {
    assert_eq!(classify_announcement(None, &[id("a", 1_000)], &told, 99), wanted);
}

#[test]
fn a_start_in_the_future_is_not_believed() {
    assert_eq!(EndpointId::new("a", Some(u64::MAX), 1_000).started_at, None);
    assert_eq!(EndpointId::new("a", Some(1_000 + 2_000), 1_000).started_at, Some(3_000));
    assert_eq!(EndpointId::new("a", Some(u64::MAX), u64::MAX).started_at, Some(u64::MAX));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, rng_seed: proptest::test_runner::RngSeed::Fixed(5), ..ProptestConfig::default() })]

    /// Lives follow each other at one address, some under the same name; each announcement comes at once, or late, or
    /// twice. Whatever the order, the guard never goes back to a life that is over.
    #[test]
    fn an_earlier_life_never_comes_back(
        names in proptest::collection::vec(0u8..3, 1..8),
        order in proptest::collection::vec((0usize..8, 0u64..6), 1..60),
    ) {
        let lives: Vec<EndpointId> =
            names.iter().enumerate().map(|(at, name)| id(&format!("n{name}"), at as u64 * 100)).collect();
        let mut now_known: Option<(EndpointId, u64)> = None;
        let mut retired: Vec<EndpointId> = Vec::new();
        let mut begun = 0;
        for (at, sequence) in order {
            let at = at.min(begun).min(lives.len() - 1);
            begun = begun.max(at + 1);
            let told = &lives[at];
            let life = now_known.as_ref().map(|(id, sequence)| {
                KnownIncarnation { id, sequence: *sequence, accepts_work: true, missed_heartbeats: 3.0 }
            });
            match classify_announcement(life, &retired, told, sequence) {
                AnnouncementClass::NewIncarnation => {
                    if let Some((before, _)) = now_known.replace((told.clone(), sequence)) {
                        prop_assert!(before.started_at < told.started_at, "{:?} came back after {:?}", told, before);
                        retired.push(before);
                    }
                }
                AnnouncementClass::Update => now_known = Some((told.clone(), sequence)),
                AnnouncementClass::Stale | AnnouncementClass::Unconfirmed => (),
            }
        }
    }
}

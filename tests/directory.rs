//! What a proxy knows of the fleet: which row is the newer one, and how rows come round.

use std::{
    net::{Ipv4Addr, SocketAddr},
    time::Instant,
};

use jayreach::{
    decide::incarnation::EndpointId,
    platform::PresenceObject,
    proxy::directory::{Directory, EndpointRow, GuardedService, Row},
    rows::{MergeResult, Stamp},
};
use rand::{RngExt as _, SeedableRng as _, rngs::SmallRng};
use rstest::rstest;

fn address() -> SocketAddr {
    (Ipv4Addr::LOCALHOST, 7_000).into()
}

fn row(name: &str, incarnation: u64, sequence: u64) -> Row {
    Row {
        name: name.into(),
        stamp: Stamp { incarnation, sequence, down: false },
        data_centre: "dc-1".into(),
        peer_address: address(),
        leaving: false,
        endpoints: GuardedService { service: "desk".into(), endpoint: None },
    }
}

fn directory(name: &str, incarnation: u64) -> Directory {
    Directory::new(row(name, incarnation, 1), Instant::now())
}

fn endpoint(name: &str) -> Option<EndpointRow> {
    Some(EndpointRow { id: EndpointId { name: name.into(), started_at: None }, slots: 4 })
}

/// One exchange as two proxies have it.
fn exchange(a: &mut Directory, b: &mut Directory) {
    if a.digest() == b.digest() {
        return;
    }
    let now = Instant::now();
    let compared = b.answer_compare(&a.compare(1), 1);
    if let Some(deliver) = compared.follow_up(a.table()) {
        let (delivered, _) = b.answer_deliver(deliver, now);
        a.merge_all(delivered.rows, now);
    }
}

#[rstest]
#[case::a_later_change(row("b", 5, 3), MergeResult::Updated)]
#[case::a_late_call(row("b", 5, 1), MergeResult::Ignored)]
#[case::a_later_run(row("b", 6, 1), MergeResult::Updated)]
#[case::an_earlier_run(row("b", 4, 9), MergeResult::Ignored)]
fn the_newer_row_of_a_proxy_counts(#[case] told: Row, #[case] wanted: MergeResult) {
    let mut directory = directory("a", 1);
    directory.merge(row("b", 5, 2), Instant::now());

    assert_eq!(directory.merge(told, Instant::now()), wanted);
}

/// Its VM's clock was set back between two runs, so the later run seems to be the earlier one.
#[test]
fn a_run_goes_above_what_is_told_of_an_earlier_one() {
    let (mut again, mut other) = (directory("a", 900), directory("b", 1));
    other.merge(row("a", 1_000, 7), Instant::now());

    exchange(&mut again, &mut other);
    exchange(&mut again, &mut other);

    assert!(again.own().stamp.incarnation > 1_000);
    assert_eq!(other.get("a").map(|it| it.stamp), Some(again.own().stamp));
}

#[test]
fn a_proxy_that_is_held_to_be_down_refutes_it() {
    let (mut held, mut other) = (directory("a", 1), directory("b", 1));
    exchange(&mut held, &mut other);
    let tried = held.own().stamp;
    assert!(other.mark_down("a", tried, Instant::now()));
    let without = other.members().count();

    exchange(&mut held, &mut other);
    exchange(&mut held, &mut other);

    assert_eq!((without, other.members().count()), (0, 1));
}

#[test]
fn a_listing_replaces_nothing_that_a_proxy_said_itself() {
    let mut directory = directory("a", 1);
    let mut told = row("b", 5, 1);
    told.endpoints.endpoint = endpoint("i-1");
    directory.merge(told.clone(), Instant::now());
    let listed = ["b", "c"].map(|it| PresenceObject {
        name: it.into(),
        peers: address(),
        data_centre: "dc-2".into(),
        service: "desk".into(),
    });

    directory.seed_from_store(listed.into_iter(), Instant::now());

    assert_eq!(directory.get("b").map(|it| Row::clone(it)), Some(told));
    assert_eq!(directory.guard_count("desk"), 3, "all share the allowance of the service");
}

#[test]
fn who_left_or_is_down_does_not_count() {
    let mut directory = directory("a", 1);
    let mut left = row("b", 5, 2);
    left.leaving = true;
    directory.merge(left, Instant::now());
    directory.merge(row("c", 5, 2), Instant::now());
    directory.mark_down("c", row("c", 5, 2).stamp, Instant::now());
    directory.merge(row("d", 5, 2), Instant::now());

    assert_eq!(directory.guard_count("desk"), 2);
    assert_eq!(directory.guard_count("ledger"), 0);
    assert_eq!(directory.members().map(|it| &*it.1.name).collect::<Vec<_>>(), ["d"]);
}

/// A fleet in which each has exchanges with a few dozen others only. The table is the pause between a change and the time
/// at which all know it, in rounds of one exchange each.
#[rstest]
#[case(24, 6)]
#[case(354, 9)]
fn a_change_comes_round_in_a_few_exchanges(#[case] size: usize, #[case] most: usize) {
    const LINKED: usize = 48;
    let mut rng = SmallRng::seed_from_u64(7);
    let rows: Vec<Row> = (0..size).map(|it| row(&format!("vm-{it}"), 1, 1)).collect();
    let mut fleet: Vec<Directory> = rows
        .iter()
        .map(|own| {
            let mut directory = Directory::new(own.clone(), Instant::now());
            directory.merge_all(rows.clone(), Instant::now());
            directory
        })
        .collect();
    let links: Vec<Vec<usize>> =
        (0..size).map(|me| (0..LINKED).map(|_| (me + rng.random_range(1..size)) % size).collect()).collect();
    fleet[0].update_own(Instant::now(), |it| it.endpoints.endpoint = endpoint("i-1"));
    let changed = fleet[0].own().stamp;

    let knows = |it: &Directory| it.get("vm-0").is_some_and(|it| it.stamp == changed);
    let mut rounds = 0;
    while !fleet.iter().all(knows) {
        rounds += 1;
        for (me, linked) in links.iter().enumerate() {
            let partner = linked[rng.random_range(0..LINKED)];
            let [a, b] = fleet.get_disjoint_mut([me, partner]).expect("two proxies");
            exchange(a, b);
        }
    }

    assert!(rounds <= most, "{rounds} rounds");
    assert!(fleet.iter().all(|it| it.digest() == fleet[0].digest()));
}

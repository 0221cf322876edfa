//! Tests of the directory of proxies: which of two rows is newer, and how rows spread by anti-entropy.

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

/// Runs one complete anti-entropy exchange, opened by `a`.
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
#[case::later_change(row("b", 5, 3), MergeResult::Updated)]
#[case::stale_change(row("b", 5, 1), MergeResult::Ignored)]
#[case::later_incarnation(row("b", 6, 1), MergeResult::Updated)]
#[case::earlier_incarnation(row("b", 4, 9), MergeResult::Ignored)]
fn merge_keeps_the_newer_row(#[case] received: Row, #[case] expected: MergeResult) {
    let mut directory = directory("a", 1);
    directory.merge(row("b", 5, 2), Instant::now());

    assert_eq!(directory.merge(received, Instant::now()), expected);
}

/// The VM's clock was set back between two incarnations, so the later one has the lower number.
#[test]
fn a_proxy_outbids_the_higher_number_of_its_earlier_incarnation() {
    let (mut restarted, mut other) = (directory("a", 900), directory("b", 1));
    other.merge(row("a", 1_000, 7), Instant::now());

    exchange(&mut restarted, &mut other);
    exchange(&mut restarted, &mut other);

    assert!(restarted.own().stamp.incarnation > 1_000);
    assert_eq!(other.get("a").map(|it| it.stamp), Some(restarted.own().stamp));
}

#[test]
fn a_live_proxy_refutes_that_it_is_marked_down() {
    let (mut live, mut other) = (directory("a", 1), directory("b", 1));
    exchange(&mut live, &mut other);
    let stamp = live.own().stamp;
    assert!(other.mark_down("a", stamp, Instant::now()));
    let members_while_down = other.members().count();

    exchange(&mut live, &mut other);
    exchange(&mut live, &mut other);

    assert_eq!((members_while_down, other.members().count()), (0, 1));
}

#[test]
fn a_store_listing_does_not_replace_rows_from_proxies() {
    let mut directory = directory("a", 1);
    let mut received = row("b", 5, 1);
    received.endpoints.endpoint = endpoint("i-1");
    directory.merge(received.clone(), Instant::now());
    let listed = ["b", "c"].map(|it| PresenceObject {
        name: it.into(),
        peers: address(),
        data_centre: "dc-2".into(),
        service: "desk".into(),
    });

    directory.seed_from_store(listed.into_iter(), Instant::now());

    assert_eq!(directory.get("b").map(|it| Row::clone(it)), Some(received));
    assert_eq!(directory.guard_count("desk"), 3, "all guards of a service share its retry budget");
}

#[test]
fn proxies_that_left_or_are_down_are_not_counted() {
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

/// Each proxy of a fleet exchanges rows with its linked peers only. `max_rounds` bounds the rounds, of one exchange by each
/// proxy, until a change is known everywhere.
#[rstest]
#[case(24, 6)]
#[case(354, 9)]
fn a_change_spreads_in_few_rounds(#[case] size: usize, #[case] max_rounds: usize) {
    const LINKS_PER_PROXY: usize = 48;
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
        (0..size).map(|me| (0..LINKS_PER_PROXY).map(|_| (me + rng.random_range(1..size)) % size).collect()).collect();
    fleet[0].update_own(Instant::now(), |it| it.endpoints.endpoint = endpoint("i-1"));
    let changed = fleet[0].own().stamp;

    let has_change = |it: &Directory| it.get("vm-0").is_some_and(|it| it.stamp == changed);
    let mut rounds = 0;
    while !fleet.iter().all(has_change) {
        rounds += 1;
        for (me, linked) in links.iter().enumerate() {
            let partner = linked[rng.random_range(0..LINKS_PER_PROXY)];
            let [a, b] = fleet.get_disjoint_mut([me, partner]).expect("two proxies");
            exchange(a, b);
        }
    }

    assert!(rounds <= max_rounds, "the change took {rounds} rounds");
    assert!(fleet.iter().all(|it| it.digest() == fleet[0].digest()));
}

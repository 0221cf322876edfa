//! The search for a proxy that reaches the store, when watchers don't: it finds any, soon, and doesn't overload a store
//! that is down for all.

use std::time::{Duration, Instant};

use jayreach::decide::store_search::{
    ROUND_INTERVAL, SearchCandidate, StoreReachability, retry_interval, round_size, search_order,
};
use rstest::rstest;

const SECOND: Duration = Duration::from_secs(1);

/// Candidates with the keys from 0; the first of them are the watchers.
fn candidates(size: u64) -> Vec<SearchCandidate> {
    (0..size).map(|key| SearchCandidate { key, linked: key % 4 == 0 }).collect()
}

/// What each of the first `watchers` proxies of a fleet asks, and in which round.
fn searches(size: u64, watchers: u64) -> Vec<Vec<(u32, u64)>> {
    let watchers: Vec<u64> = (0..watchers).collect();
    let search = |me: &u64| {
        let others: Vec<SearchCandidate> = candidates(size).into_iter().filter(|it| it.key != *me).collect();
        let rounds = (0..).flat_map(|round| std::iter::repeat_n(round, round_size(round)));
        rounds.zip(search_order(*me, &watchers, &others)).collect()
    };
    watchers.iter().map(search).collect()
}

#[rstest]
#[case(24, 6)]
#[case(91, 12)]
#[case(354, 15)]
fn watchers_that_search_together_ask_every_proxy_within_a_second(#[case] size: u64, #[case] watchers: u64) {
    let searches = searches(size, watchers);

    for key in watchers..size {
        let first = searches.iter().flatten().filter(|it| it.1 == key).map(|it| it.0).min();
        let after = first.map(|it| ROUND_INTERVAL * it);
        assert!(after.is_some_and(|it| it < SECOND), "{key} is asked after {after:?}");
    }
}

/// The other watchers may be down, or may not have noticed yet.
#[test]
fn a_single_watcher_asks_every_proxy_of_a_small_fleet() {
    let mut asked: Vec<u64> = searches(24, 6)[2].iter().map(|it| it.1).collect();

    asked.sort_unstable();

    assert_eq!(asked, (0..24).filter(|it| *it != 2).collect::<Vec<_>>());
}

#[test]
fn a_search_begins_with_one_proxy_and_nobody_is_asked_twice() {
    for search in searches(354, 15) {
        let first_round = search.iter().filter(|it| it.0 == 0).count();
        let mut keys: Vec<u64> = search.iter().map(|it| it.1).collect();
        keys.sort_unstable();
        keys.dedup();

        assert_eq!(first_round, 1);
        assert_eq!(keys.len(), search.len());
        assert!(keys.len() < 100, "{} of 354 are asked", keys.len());
    }
}

/// Watchers search again and again, all of them; each proxy must call the store rarely all the same.
#[test]
fn a_proxy_that_cannot_reach_the_store_calls_it_ever_more_rarely() {
    let start = Instant::now();
    let mut reachability = StoreReachability::default();
    let mut calls = Vec::new();

    for at in (0..200).map(|it| SECOND / 10 * it) {
        if reachability.current(start + at).is_none() {
            calls.push(at.as_secs());
            reachability.record_failure(start + at);
        }
    }

    assert_eq!(calls, [0, 2, 6, 10, 14, 18]);
    assert_eq!(retry_interval(1_000), retry_interval(3));
}

#[test]
fn an_answer_of_the_store_counts_for_a_second_and_clears_failures() {
    let start = Instant::now();
    let mut reachability = StoreReachability::default();
    reachability.record_failure(start);
    reachability.record_failure(start);

    reachability.record_answer(start + SECOND);

    assert_eq!(reachability.current(start + SECOND), Some(true));
    assert_eq!(reachability.current(start + 2 * SECOND), None, "a silent connection looks like a waiting one");
    reachability.record_failure(start + 3 * SECOND);
    assert_eq!(reachability.current(start + 4 * SECOND), Some(false));
    assert_eq!(reachability.current(start + 5 * SECOND), None);
}

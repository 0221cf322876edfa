//! Which peers proxies link to, and which proxies watch the store, for several fleet sizes.

use std::time::{Duration, Instant};

use jayreach::{
    decide::{
        subset::{PeerCandidate, choose_peers},
        watchers::{
            SUBSTITUTED_SEARCH_INTERVAL, StoreWatch, Substitution, choose_watchers, is_initial_watcher, is_watcher,
            watch_rank,
        },
    },
    util::mix,
};
use rand::{RngExt as _, SeedableRng as _, rngs::SmallRng};
use rstest::rstest;

/// A VM of a fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Vm {
    key: u64,
    service: &'static str,
    data_centre: usize,
}

/// Three services of different sizes, spread over five data centres.
fn fleet(size: usize) -> Vec<Vm> {
    let service = |at: usize| match at * 100 / size {
        ..24 => "portal",
        24..62 => "vouchers",
        _ => "billing",
    };
    (0..size).map(|at| Vm { key: mix(&[at as u64, 7]), service: service(at), data_centre: at % 5 }).collect()
}

/// The sorted keys of the peers that `me` links to, given which proxies are reachable.
fn chosen_keys(me: Vm, fleet: &[Vm], reachable: impl Fn(Vm) -> bool) -> Vec<u64> {
    let others: Vec<Vm> = fleet.iter().copied().filter(|it| it.key != me.key).collect();
    let candidates: Vec<PeerCandidate<'_>> = others
        .iter()
        .map(|it| PeerCandidate {
            key: it.key,
            service: it.service,
            same_data_centre: it.data_centre == me.data_centre,
            reachable: reachable(*it),
        })
        .collect();
    let mut keys: Vec<u64> = choose_peers(me.key, &candidates).into_iter().map(|at| others[at].key).collect();
    keys.sort_unstable();
    keys
}

fn count_of_service(keys: &[u64], fleet: &[Vm], service: &str) -> usize {
    fleet.iter().filter(|it| it.service == service && keys.binary_search(&it.key).is_ok()).count()
}

#[rstest]
#[case(24, 1.45)]
#[case(91, 1.6)]
#[case(354, 1.6)]
#[case(1_000, 1.6)]
fn links_are_spread_evenly_over_guards(#[case] size: usize, #[case] max_ratio: f64) {
    let fleet = fleet(size);
    let links: Vec<Vec<u64>> = fleet.iter().map(|it| chosen_keys(*it, &fleet, |_| true)).collect();

    // Both sides of a link may send requests over it.
    let linked = |a: usize, b: usize| {
        links[a].binary_search(&fleet[b].key).is_ok() || links[b].binary_search(&fleet[a].key).is_ok()
    };
    for service in ["portal", "vouchers", "billing"] {
        let guards: Vec<usize> = (0..size).filter(|it| fleet[*it].service == service).collect();
        let ingresses = |guard: usize| (0..size).filter(|it| *it != guard && linked(*it, guard)).count();
        let counts: Vec<usize> = guards.iter().map(|it| ingresses(*it)).collect();
        let mean = counts.iter().sum::<usize>() as f64 / counts.len() as f64;
        let busiest = *counts.iter().max().expect("there are guards") as f64;
        assert!(busiest / mean <= max_ratio, "{service}: the busiest guard has {busiest} links, the mean is {mean:.1}");
    }
}

#[rstest]
#[case(91)]
#[case(354)]
#[case(2_400)]
fn the_number_of_links_does_not_grow_with_the_fleet(#[case] size: usize) {
    let fleet = fleet(size);

    let most = fleet.iter().take(50).map(|it| chosen_keys(*it, &fleet, |_| true).len()).max();

    assert_eq!(most, Some(24));
}

#[test]
fn all_guards_of_a_small_service_are_linked() {
    let fleet = fleet(24);

    let keys = chosen_keys(fleet[0], &fleet, |_| true);

    assert!(count_of_service(&keys, &fleet, "portal") >= 5, "all but the proxy itself");
    assert!(count_of_service(&keys, &fleet, "vouchers") >= 8);
}

#[test]
fn when_a_proxy_leaves_only_the_proxies_that_chose_it_change_a_link() {
    let before = fleet(354);
    let gone = before[100];
    let after: Vec<Vm> = before.iter().copied().filter(|it| it.key != gone.key).collect();

    for me in &after {
        let (old, new) = (chosen_keys(*me, &before, |_| true), chosen_keys(*me, &after, |_| true));
        let kept = new.iter().filter(|it| old.binary_search(it).is_ok()).count();
        let lost = old.binary_search(&gone.key).is_ok();
        assert_eq!(kept, if lost { old.len() - 1 } else { old.len() }, "{me:?}");
    }
}

/// More than half of the fleet fails at the same moment.
#[test]
fn unreachable_peers_are_replaced() {
    let fleet = fleet(354);
    let mut rng = SmallRng::seed_from_u64(7);
    let dead: Vec<u64> = fleet.iter().filter(|_| rng.random_bool(0.55)).map(|it| it.key).collect();
    let is_alive = |it: Vm| !dead.contains(&it.key);

    for me in fleet.iter().copied().filter(|it| is_alive(*it)) {
        let keys: Vec<u64> = chosen_keys(me, &fleet, is_alive).into_iter().filter(|it| !dead.contains(it)).collect();
        for service in ["portal", "vouchers", "billing"] {
            assert_eq!(count_of_service(&keys, &fleet, service), 8, "{me:?} {service}");
        }
    }
}

/// The number of watchers in the fleet when the newest confirmation is `confirmed_ago` old.
fn count_watchers(fleet: &[Vm], confirmed_ago: Duration) -> usize {
    let data_centres = (0..5).filter(|it| fleet.iter().any(|vm| vm.data_centre == *it)).count();
    let near = |me: Vm| fleet.iter().filter(move |it| it.key != me.key && it.data_centre == me.data_centre);
    fleet
        .iter()
        .filter(|me| is_watcher(watch_rank(me.key, near(**me).map(|it| it.key)), data_centres, confirmed_ago))
        .count()
}

#[rstest]
#[case(24)]
#[case(354)]
#[case(2_400)]
fn three_watch_in_each_data_centre(#[case] size: usize) {
    assert_eq!(count_watchers(&fleet(size), Duration::from_secs(5)), 15);
}

#[test]
fn more_proxies_watch_the_older_the_last_confirmation() {
    let fleet = fleet(354);

    let counts = [11, 12, 14, 20].map(|it| count_watchers(&fleet, Duration::from_secs(it)));

    assert_eq!(counts[0], 15);
    assert!(counts[0] < counts[1] && counts[1] < counts[2], "{counts:?}");
    assert_eq!(counts[3], 354, "all proxies watch in the end");
}

#[test]
fn a_proxy_without_a_configuration_waits_for_the_watchers_before_it_asks_the_store() {
    let wait = (0..200u64).map(Duration::from_millis).map(|it| it * 100).find(|it| is_initial_watcher(40, 5, *it));

    assert!(is_initial_watcher(0, 5, Duration::ZERO));
    assert_eq!(wait, Some(Duration::from_millis(6_800)));
}

/// Proxies leave at random; each data centre that still has any must have a watcher.
#[test]
fn each_data_centre_has_a_watcher_whichever_proxies_leave() {
    let mut fleet = fleet(120);
    let mut rng = SmallRng::seed_from_u64(11);

    while !fleet.is_empty() {
        fleet.swap_remove(rng.random_range(0..fleet.len()));
        let data_centres = (0..5).filter(|it| fleet.iter().any(|vm| vm.data_centre == *it)).count();
        assert!(count_watchers(&fleet, Duration::from_secs(1)) >= data_centres);
    }
}

#[rstest]
#[case(1)]
#[case(2)]
fn six_watch_where_there_are_few_data_centres(#[case] data_centres: usize) {
    let fleet: Vec<Vm> = fleet(60).into_iter().filter(|it| it.data_centre < data_centres).collect();

    assert_eq!(count_watchers(&fleet, Duration::from_secs(5)), 6);
}

/// A lost connection must be noticed within three seconds; the worst case is a watch that starts just before the loss.
#[rstest]
#[case(1)]
#[case(6)]
#[case(15)]
fn a_lost_connection_is_noticed_in_time_for_a_change(#[case] watchers: usize) {
    let longest_delay_before_the_next_call = Duration::from_millis(300);

    for since_activation in (0..5_000).map(Duration::from_millis) {
        for index in 0..watchers {
            let watch = StoreWatch::of_watcher(index, watchers, since_activation);

            assert!(watch.wait < watch.timeout);
            assert!(watch.timeout + longest_delay_before_the_next_call < Duration::from_secs(3), "{watch:?}");
        }
    }
}

#[test]
fn watches_that_begin_together_have_different_lengths() {
    let mut waits: Vec<Duration> =
        (0..6).map(|it| StoreWatch::of_watcher(it, 6, Duration::from_millis(400)).wait).collect();

    waits.sort_unstable();

    assert!(waits.windows(2).all(|it| it[0] < it[1]), "{waits:?}");
}

#[test]
fn a_substitute_watches_beyond_the_next_search_and_for_a_limited_time() {
    let start = Instant::now();
    let second = Duration::from_secs(1);
    let mut substitution = Substitution::default();
    assert!(!substitution.is_active(start));

    substitution.start(start);

    assert!(substitution.is_active(start + second));
    assert!(substitution.is_active(start + SUBSTITUTED_SEARCH_INTERVAL + second));
    assert!(!substitution.is_active(start + 10 * second), "the substitution ends");
}

/// The watchers' connections are all lost without an error at one moment after a change. The next of them must notice it
/// within half of the two seconds in which a change has to be active, with time for the change to spread.
#[rstest]
#[case(6)]
#[case(12)]
#[case(15)]
fn connections_that_are_lost_at_once_are_noticed_soon_by_one_watcher(#[case] watchers: usize) {
    let ms = Duration::from_millis;
    let change_pause = ms(400);
    let longest = ms(800);

    for lost_at in (400..5_000).map(ms) {
        let notices = |index: usize| {
            let mut at = change_pause;
            loop {
                let watch = StoreWatch::of_watcher(index, watchers, at);
                if at + watch.wait >= lost_at {
                    return at + watch.timeout;
                }
                at += watch.wait;
            }
        };
        let noticed = (0..watchers).map(notices).min().expect("there are watchers");
        assert!(noticed - lost_at <= longest, "lost {lost_at:?} after a change, noticed at {noticed:?}");
    }
}

#[rstest]
#[case(0, 1)]
#[case(3, 6)]
#[case(14, 15)]
fn a_watcher_calls_the_store_once_in_an_interval(#[case] index: usize, #[case] watchers: usize) {
    let ms = Duration::from_millis;
    let (mut at, mut watches) = (ms(400), Vec::new());

    for _ in 0..10 {
        // The answer arrives some milliseconds after the end of the wait.
        let watch = StoreWatch::of_watcher(index, watchers, at);
        at += watch.wait + ms(4);
        watches.push(watch.wait);
    }

    assert!(watches[1..].iter().all(|it| (ms(1_500)..ms(1_800)).contains(it)), "{watches:?}");
    assert!(watches[0] >= ms(200), "{watches:?}");
}

#[rstest]
#[case(24)]
#[case(354)]
fn all_proxies_name_the_same_watchers(#[case] size: usize) {
    const NAMES: [&str; 5] = ["dc-0", "dc-1", "dc-2", "dc-3", "dc-4"];
    let fleet = fleet(size);
    let watches = |me: &Vm| {
        let near = fleet.iter().filter(|it| it.key != me.key && it.data_centre == me.data_centre);
        is_watcher(watch_rank(me.key, near.map(|it| it.key)), 5, Duration::ZERO)
    };
    let mut watching: Vec<u64> = fleet.iter().filter(|it| watches(it)).map(|it| it.key).collect();

    let mut chosen = choose_watchers(fleet.iter().map(|it| (NAMES[it.data_centre], it.key)).collect());

    watching.sort_unstable();
    chosen.sort_unstable();
    assert_eq!(chosen, watching);
}

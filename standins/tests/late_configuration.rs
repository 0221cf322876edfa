//! Guards against late configuration changes: when all open connections to the store go silent without a reset, watches
//! that wait on them must not delay a change until they time out; and while any proxy reaches the store, the others must
//! find it in time.

use std::{
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use rstest::rstest;
use standins::{
    deployment::repository_file,
    fleet::{Fleet, fetch_status},
    platform::{
        fixtures::{WORK_TIME, two_routes},
        site::{Proxy, Relays, Site, eventually},
        store::StoreMode,
    },
    relay::{Impairment, Relay},
};

/// Time from a change's acceptance by the store to its activation by a proxy, at most.
const ACTIVATION_LIMIT_SECONDS: f64 = 2.0;
/// The same for a fleet whose open connections went silent once, and which has no other fault.
const SILENCE_ACTIVATION_LIMIT_SECONDS: f64 = ACTIVATION_LIMIT_SECONDS / 2.0;
/// Time after which a silence has no effect any more: connections between proxies are replaced, and used again for news
/// of versions.
const LINK_RENEWAL: Duration = Duration::from_millis(4_500);
/// Time from a silence to one that meets the news on new connections.
const REPEATED_SILENCE: Duration = Duration::from_millis(2_300);
/// Watchers of a fleet in two data centres.
const WATCHERS: usize = 6;
/// Time before the end of an outage, at which proxies don't yet watch because their last confirmation is old.
const LATE_IN_OUTAGE: Duration = Duration::from_secs(2);
/// Fleets that share the moments of a sweep.
const SWEEP_SITES: usize = 4;
/// Time from the start of the apply command to activation by all daemons, at most.
const DAEMON_ACTIVATION_LIMIT: Duration = Duration::from_secs(6);
/// Time within which the watches begin again after a change.
const WATCH_RENEWAL: Duration = Duration::from_millis(700);
/// Time after which only the selected watchers still watch the store.
const WATCHER_SELECTION: Duration = Duration::from_secs(5);
/// Time from the connections' silence to the change. It is shorter than the three seconds after which the limit is
/// promised.
const CHANGE_DELAY: Duration = Duration::from_millis(1_000);

fn site() -> Site {
    site_of(4)
}

fn site_of(proxies: usize) -> Site {
    let mut site = Site::start_with_relays().expect("a store");
    site.store.put_config(two_routes(1));
    for at in 0..proxies {
        site.add_vm("desk", if at % 2 == 0 { "dc-1" } else { "dc-2" }, 2, WORK_TIME).expect("a proxy");
    }
    assert!(site.wait_until_ready(proxies), "not all proxies list all endpoints");
    site
}

fn now() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).expect("it is later than 1970").as_secs_f64()
}

/// Time at which a proxy activated a version, in seconds since 1970.
fn activated_at(proxy: &Proxy, version: u64) -> Option<f64> {
    let events = proxy.events();
    let line = events.iter().find(|it| it["event"] == "config" && it["version"] == version)?;
    line["time"].as_f64()
}

fn all_activated(site: &Site, version: u64) -> bool {
    site.proxies.iter().all(|it| activated_at(it, version).is_some())
}

fn watches(proxy: &Proxy) -> bool {
    proxy.status()["watching"] == true
}

/// Times at which a proxy's searches for one that reaches the store ended, in seconds since 1970.
fn searched_at(proxy: &Proxy) -> Vec<f64> {
    proxy.events().iter().filter(|it| it["event"] == "substitute").filter_map(|it| it["time"].as_f64()).collect()
}

fn silence_store(relays: &Relays) {
    relays.store.silence_open_connections();
}

fn silence_store_and_peers(relays: &Relays) {
    relays.store.silence_open_connections();
    relays.peers.silence_open_connections();
}

/// Waits until all proxies have activated a version, and returns how long after `accepted` each did, in seconds.
fn activation_delays(site: &Site, version: u32, accepted: f64) -> Vec<f64> {
    assert!(eventually(|| all_activated(site, version.into())), "version {version} is not active everywhere");
    let active_at = |it: &Proxy| activated_at(it, version.into()).expect("the version was just seen active");
    site.proxies.iter().map(|it| active_at(it) - accepted).collect()
}

/// How long after a change the last proxy activates it if all open connections go silent `offset_ms` before the change
/// or, if negative, after it.
fn seconds_until_active(site: &Site, version: u32, silence: fn(&Relays), offset_ms: i64) -> f64 {
    let silence_all = || site.proxies.iter().filter_map(|it| it.relays.as_ref()).for_each(silence);
    let offset = Duration::from_millis(offset_ms.unsigned_abs());
    if offset_ms >= 0 {
        silence_all();
        thread::sleep(offset);
    }
    let accepted = now();
    site.store.put_config(two_routes(version));
    if offset_ms < 0 {
        thread::sleep(offset);
        silence_all();
    }
    activation_delays(site, version, accepted).into_iter().fold(0.0, f64::max)
}

/// For each of `offsets_ms`, the longest time in seconds until a change is active; see [`seconds_until_active`]. Each
/// fleet pauses for `renewal` before its next silence.
fn sweep(offsets_ms: &[i64], renewal: Duration, silence: fn(&Relays)) -> Vec<(i64, f64)> {
    let sweep_part = |first: usize| {
        let site = site_of(8);
        thread::sleep(WATCHER_SELECTION);
        let part = offsets_ms.iter().skip(first).step_by(SWEEP_SITES);
        let measure = |(at, offset_ms): (u32, &i64)| {
            // The moment within a watch varies, too.
            thread::sleep(renewal + Duration::from_millis(170) * (at % 10));
            (*offset_ms, seconds_until_active(&site, at + 2, silence, *offset_ms))
        };
        (0..).zip(part).map(measure).collect::<Vec<_>>()
    };
    let mut curve: Vec<(i64, f64)> = thread::scope(|scope| {
        let parts: Vec<_> = (0..SWEEP_SITES).map(|first| scope.spawn(move || sweep_part(first))).collect();
        parts.into_iter().flat_map(|it| it.join().expect("a part of the sweep")).collect()
    });
    curve.sort_by_key(|it| it.0);
    println!("milliseconds of silence before the change, seconds until active: {curve:.2?}");
    curve
}

/// Sweeps the moment of the silence from 100 ms after the change to three seconds before it.
#[rstest]
#[case::to_the_store(silence_store)]
#[case::to_the_store_and_between_proxies(silence_store_and_peers)]
fn a_change_is_activated_in_half_the_time_whenever_open_connections_go_silent(#[case] silence: fn(&Relays)) {
    let offsets_ms: Vec<i64> = [-100, -50, -20, -10, -5].into_iter().chain((0..=30).map(|it| it * 100)).collect();

    let curve = sweep(&offsets_ms, LINK_RENEWAL, silence);

    let late: Vec<_> = curve.iter().filter(|it| it.1 > SILENCE_ACTIVATION_LIMIT_SECONDS).collect();
    assert!(late.is_empty(), "{late:.2?}");
}

/// The connections that replaced silent ones, and those that carry the news meanwhile, go silent as well.
#[test]
fn a_change_is_activated_in_time_when_connections_go_silent_again_before_links_are_used_again() {
    let offsets_ms: Vec<i64> = [-10, -8, -6, -5, -4, -3, -2, 0, 100, 500].repeat(3);

    let curve = sweep(&offsets_ms, REPEATED_SILENCE, silence_store_and_peers);

    let late: Vec<_> = curve.iter().filter(|it| it.1 > ACTIVATION_LIMIT_SECONDS).collect();
    assert!(late.is_empty(), "{late:.2?}");
}

/// All watchers and all other proxies but one lose the store: half of them are refused, the others get no answer. There
/// are several other proxies for each watcher, so that its first choice is rarely the right one.
#[rstest]
#[case::at_once(Duration::ZERO, 0)]
#[case::after_a_second(Duration::from_secs(1), 5)]
#[case::after_three_seconds(Duration::from_secs(3), 11)]
#[case::after_eight_seconds(Duration::from_secs(8), 17)]
fn a_change_is_activated_in_time_while_a_single_proxy_reaches_the_store(
    #[case] delay: Duration,
    #[case] sighted_non_watcher: usize,
) {
    let site = site_of(24);
    thread::sleep(WATCHER_SELECTION);
    assert!(eventually(|| site.proxies.iter().filter(|it| watches(it)).count() == WATCHERS), "not six watchers");
    let mut non_watchers = site.proxies.iter().enumerate().filter(|it| !watches(it.1)).map(|it| it.0);
    let sighted = non_watchers.nth(sighted_non_watcher).expect("eighteen proxies don't watch");

    let lost = site.proxies.iter().enumerate().filter(|it| it.0 != sighted);
    for (at, relays) in lost.filter_map(|(at, it)| Some((at, it.relays.as_ref()?))) {
        if at % 2 == 0 {
            relays.store.refuse_connections();
        } else {
            relays.store.set_impairment(Impairment::CutTo);
            relays.store.silence_open_connections();
        }
    }
    thread::sleep(delay);
    let accepted = now();
    site.store.put_config(two_routes(2));
    let after = activation_delays(&site, 2, accepted);

    println!("activated after {after:.2?} s");
    assert!(after.iter().all(|it| *it <= ACTIVATION_LIMIT_SECONDS), "activated only after {after:.2?} s");
}

/// Searches that are repeated too soon overload the store, and those that begin late delay a change.
#[test]
fn a_watcher_without_the_store_searches_at_once_and_again_after_five_seconds() {
    let site = site_of(8);
    thread::sleep(WATCHER_SELECTION);
    let watcher = site.proxies.iter().find(|it| watches(it)).expect("a watcher");
    let relay = &watcher.relays.as_ref().expect("a relay").store;

    let lost_at = now();
    relay.set_impairment(Impairment::CutTo);
    relay.reset_open_connections();
    thread::sleep(Duration::from_secs(7));
    let searches: Vec<f64> = searched_at(watcher).into_iter().map(|it| it - lost_at).collect();

    assert!(matches!(searches[..], [first, second] if first < 1.0 && (5.0..6.5).contains(&second)), "{searches:.2?}");
}

#[test]
fn a_watcher_that_loses_the_store_again_searches_again_at_once() {
    let site = site_of(8);
    thread::sleep(WATCHER_SELECTION);
    let watcher = site.proxies.iter().find(|it| watches(it)).expect("a watcher");
    let relay = &watcher.relays.as_ref().expect("a relay").store;

    let lost_at = [(); 2].map(|()| {
        let at = now();
        relay.reset_open_connections();
        thread::sleep(Duration::from_millis(1_500));
        at
    });
    let searches = searched_at(watcher);

    let delays: Vec<f64> = searches.iter().zip(lost_at).map(|(searched, lost)| searched - lost).collect();
    assert!(searches.len() == 2 && delays.iter().all(|it| (0.0..1.0).contains(it)), "{delays:.2?}");
}

/// The search for a proxy that reaches the store must not overload one that is down for all.
#[test]
fn a_store_that_is_down_for_all_gets_few_calls() {
    let proxies = 16;
    let outage = Duration::from_secs(10);
    let site = site_of(proxies);
    thread::sleep(WATCHER_SELECTION);

    site.store.set_mode(StoreMode::Busy);
    let calls_before = site.store.request_count();
    thread::sleep(outage - LATE_IN_OUTAGE);
    let watching = site.proxies.iter().filter(|it| watches(it)).count();
    thread::sleep(LATE_IN_OUTAGE);
    let calls = site.store.request_count() - calls_before;
    site.store.set_mode(StoreMode::Good);
    let recovered = now();
    site.store.put_config(two_routes(2));
    let after = activation_delays(&site, 2, recovered).into_iter().fold(0.0, f64::max);

    println!("{calls} calls; activated {after:.2} s after the store was back");
    assert_eq!(watching, WATCHERS, "no proxy may watch in the place of others without having read the store");
    // A call of each proxy in two seconds on average.
    assert!(calls <= proxies as u64 * outage.as_secs() / 2, "{calls} calls in {outage:?}");
    assert!(after <= ACTIVATION_LIMIT_SECONDS, "activated {after:.2} s after the store was back");
}

/// Reads succeed, so that the next watch begins at once.
#[test]
fn a_store_that_resets_every_watch_gets_few_calls() {
    let proxies = 4;
    let trouble = Duration::from_secs(3);
    let shortest_pause = Duration::from_millis(150);
    let site = site_of(proxies);
    thread::sleep(WATCHER_SELECTION);

    site.store.set_mode(StoreMode::ResetsWatches);
    let calls_before = site.store.request_count();
    thread::sleep(trouble);
    let calls = site.store.request_count() - calls_before;

    // A read and a watch of each proxy between two pauses.
    let limit = 2 * proxies as u128 * trouble.as_millis() / shortest_pause.as_millis();
    println!("{calls} calls");
    assert!(u128::from(calls) <= limit, "{calls} calls in {trouble:?}");
}

#[rstest]
#[case::to_the_store(silence_store)]
#[case::to_the_store_and_between_proxies(silence_store_and_peers)]
fn a_change_is_activated_in_time_after_open_connections_went_silent(#[case] silence: fn(&Relays)) {
    let site = site();
    site.store.put_config(two_routes(2));
    assert!(eventually(|| all_activated(&site, 2)));
    thread::sleep(WATCH_RENEWAL);

    site.proxies.iter().filter_map(|it| it.relays.as_ref()).for_each(silence);
    thread::sleep(CHANGE_DELAY);
    let accepted = now();
    site.store.put_config(two_routes(3));
    assert!(eventually(|| all_activated(&site, 3)));

    let late: Vec<f64> = site
        .proxies
        .iter()
        .map(|it| activated_at(it, 3).expect("the version was just seen active") - accepted)
        .filter(|it| *it > ACTIVATION_LIMIT_SECONDS)
        .collect();
    assert!(late.is_empty(), "activated only {late:.2?} s after the change was accepted");
}

/// Only the proxies that watch the store for all others lose their path to it.
#[test]
fn a_change_is_activated_in_time_after_all_watchers_lost_the_store() {
    let site = site_of(10);
    thread::sleep(WATCHER_SELECTION);
    let all_watch = || site.proxies.iter().filter(|it| watches(it)).count() == WATCHERS;
    assert!(eventually(all_watch), "not three watchers in each data centre");
    let (cut, others): (Vec<&Proxy>, Vec<&Proxy>) = site.proxies.iter().partition(|it| watches(it));

    for it in cut.iter().filter_map(|it| it.relays.as_ref()) {
        it.store.set_impairment(Impairment::CutTo);
        it.store.silence_open_connections();
    }
    thread::sleep(CHANGE_DELAY);
    let accepted = now();
    site.store.put_config(two_routes(2));
    assert!(eventually(|| others.iter().all(|it| activated_at(it, 2).is_some())));

    let after: Vec<f64> =
        others.iter().map(|it| activated_at(it, 2).expect("the version was just seen active") - accepted).collect();
    println!("activated after {after:.2?} s");
    assert!(
        after.iter().all(|it| *it <= ACTIVATION_LIMIT_SECONDS),
        "activated only {after:.2?} s after the change was accepted"
    );
}

/// Daemons watch their store in the same way as proxies.
#[test]
fn a_change_reaches_daemons_in_time_after_open_connections_went_silent() {
    let mut fleet = Fleet::start().expect("a store");
    let relay = Relay::start(fleet.store).expect("a relay");
    fleet.store = relay.address;
    for data_centre in ["dc-1", "dc-2"] {
        fleet.add_daemon(data_centre).expect("a daemon");
    }
    let sample = repository_file("samples/prairie.toml");
    fleet.apply(&sample).expect("the sample is accepted");
    let all_activated = |version: u64| {
        fleet.daemons.iter().all(|it| fetch_status(it.local).is_ok_and(|seen| seen["config_version"] == version))
    };
    assert!(eventually(|| all_activated(1)));
    thread::sleep(WATCH_RENEWAL);
    let targets = std::fs::read_to_string(&sample).expect("the sample");
    let changed = std::env::temp_dir().join(format!("jayreach-late-{}.toml", std::process::id()));
    std::fs::write(&changed, targets.replace("importance = 30", "importance = 20")).expect("a file");

    relay.silence_open_connections();
    let started = Instant::now();
    // Returns once the change is active in all daemons.
    let applied = fleet.apply(&changed);
    let after = started.elapsed();

    assert!(applied.is_ok() && all_activated(2), "{applied:?}");
    assert!(after < DAEMON_ACTIVATION_LIMIT, "activated after {after:?}");
    std::fs::remove_file(changed).expect("the file is removed");
    fleet.close();
}

/// All daemons but one lose the store; each is that one in turn, whether it watches the store or not.
#[test]
fn a_change_reaches_daemons_in_time_while_a_single_one_reaches_the_store() {
    let mut fleet = Fleet::start().expect("a store");
    let store = fleet.store;
    let relays: Vec<Relay> = (0..4).map(|_| Relay::start(store).expect("a relay")).collect();
    for it in &relays {
        fleet.store = it.address;
        fleet.add_daemon("dc-1").expect("a daemon");
    }
    fleet.store = store;
    let sample = repository_file("samples/prairie.toml");
    fleet.apply(&sample).expect("the sample is accepted");
    let targets = std::fs::read_to_string(&sample).expect("the sample");
    let changed = std::env::temp_dir().join(format!("jayreach-blind-{}.toml", std::process::id()));

    let mut after = Vec::new();
    for sighted in 0..relays.len() {
        for it in relays.iter().enumerate().filter(|it| it.0 != sighted).map(|it| it.1) {
            it.set_impairment(Impairment::CutTo);
            it.silence_open_connections();
        }
        thread::sleep(CHANGE_DELAY);
        let importance = format!("importance = {}", 20 + sighted);
        std::fs::write(&changed, targets.replace("importance = 30", &importance)).expect("a file");
        let started = Instant::now();
        // Returns once the change is active in all daemons.
        let applied = fleet.apply(&changed);
        after.push((applied.is_ok(), started.elapsed()));
        relays.iter().for_each(|it| it.set_impairment(Impairment::None));
        thread::sleep(DAEMON_ACTIVATION_LIMIT);
    }

    println!("active after {after:.2?}");
    assert!(after.iter().all(|it| it.0 && it.1 < DAEMON_ACTIVATION_LIMIT), "{after:.2?}");
    std::fs::remove_file(changed).expect("the file is removed");
    fleet.close();
}

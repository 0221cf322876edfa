//! Guards against late configuration changes: when all open connections to the store go silent without a reset, watches
//! that wait on them must not delay a change until they time out.

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
    },
    relay::{Impairment, Relay},
};

/// Time from a change's acceptance by the store to its activation by a proxy, at most.
const ACTIVATION_LIMIT_SECONDS: f64 = 2.0;
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

fn silence_store(relays: &Relays) {
    relays.store.silence_open_connections();
}

fn silence_store_and_peers(relays: &Relays) {
    relays.store.silence_open_connections();
    relays.peers.silence_open_connections();
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
    let watches = |it: &&Proxy| it.status()["watching"] == true;
    thread::sleep(WATCHER_SELECTION);
    assert!(eventually(|| site.proxies.iter().filter(watches).count() == 6), "not three watchers in each data centre");
    let (cut, others): (Vec<&Proxy>, Vec<&Proxy>) = site.proxies.iter().partition(watches);

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

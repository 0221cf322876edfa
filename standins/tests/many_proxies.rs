//! Forty real proxies of one service: what each knows and holds, and who hears of a change.

use std::{sync::OnceLock, thread, time::Duration};

use standins::platform::{
    fixtures::{WORK_TIME, caller_request, two_routes},
    site::{Proxy, Site, config, eventually, route},
};

const PROXIES: usize = 40;
/// Of the eight that a proxy chooses and those that choose it, with room for the unevenness of a hash.
const MOST_LINKS: usize = 26;

/// After this a fleet that has started asks the store for nothing but watches.
const SETTLED: Duration = Duration::from_secs(6);

/// Both data centres half each; one fleet at a time, since it is large.
fn fleet() -> (Site, std::sync::MutexGuard<'static, ()>) {
    static ONE: OnceLock<std::sync::Mutex<()>> = OnceLock::new();
    let alone = ONE.get_or_init(Default::default).lock().unwrap_or_else(std::sync::PoisonError::into_inner);
    let mut site = Site::start().expect("a store");
    site.store.put_config(two_routes(1));
    for at in 0..PROXIES {
        site.add_vm("desk", if at % 2 == 0 { "dc-1" } else { "dc-2" }, 2, WORK_TIME).expect("a proxy");
    }
    assert!(site.wait_until_ready(PROXIES), "all proxies know all endpoints");
    (site, alone)
}

fn links(proxy: &Proxy) -> usize {
    let status = proxy.status();
    let peers = status["peers"].as_array().cloned().unwrap_or_default();
    peers.iter().filter(|it| it["linked"] == true).count()
}

fn has_version(proxy: &Proxy, version: u32) -> bool {
    proxy.status()["row"]["version"] == version
}

#[test]
fn each_knows_all_talks_to_few_and_few_ask_the_store() {
    let (site, _alone) = fleet();
    // What links and watches the start took more of is given up within seconds.
    let few = eventually(|| site.proxies.iter().all(|it| (8..=MOST_LINKS).contains(&links(it))));
    thread::sleep(SETTLED);
    let before = site.store.request_count();

    site.store.put_config(config(7, &[("read", route("/read/", "idempotent", 2, &[("desk", 1)]))]));
    let in_force = eventually(|| site.proxies.iter().all(|it| has_version(it, 7)));
    let asked = site.store.request_count() - before;

    assert!(few, "{:?}", site.proxies.iter().map(links).collect::<Vec<_>>());
    assert!(in_force);
    assert!(asked <= 2 * 3 * 3, "{asked} calls; three proxies watch in each data centre");
}

#[test]
fn a_change_is_in_force_though_half_of_the_fleet_dies_at_once() {
    let (mut site, _alone) = fleet();
    for proxy in site.proxies.iter_mut().step_by(2) {
        proxy.kill();
    }
    let living = || site.proxies.iter().skip(1).step_by(2);

    site.store.put_config(config(7, &[("read", route("/read/", "idempotent", 2, &[("desk", 1)]))]));

    assert!(eventually(|| living().all(|it| has_version(it, 7))));
    let statuses: Vec<u16> = living()
        .enumerate()
        .map(|(at, it)| {
            caller_request("GET /read/x", &format!("r-{at}")).send_and_read(it.callers).map_or(0, |it| it.status())
        })
        .collect();
    assert!(statuses.iter().all(|it| *it == 200), "{statuses:?}");
}

#[test]
fn one_that_starts_again_serves_at_once_and_costs_the_store_little() {
    let (mut site, _alone) = fleet();
    // The others list each other once more a second or two after their start.
    thread::sleep(SETTLED);
    let before = site.store.request_count();

    site.proxies[3].restart().expect("a process");
    let ready = eventually(|| site.proxies[3].is_ready());
    let answer = caller_request("GET /read/x", "r-1").send_and_read(site.proxies[3].callers).expect("an answer");
    let asked = site.store.request_count() - before;

    assert!(ready, "{answer:?}");
    assert_eq!(answer.status(), 200, "{answer:?} {:?}", site.proxies[3].events());
    let stale_reads = 2;
    let watches = 2 * 3 * 2;
    assert!(asked <= stale_reads + watches, "{asked} calls");
    let known = site.proxies[3].status()["peers"].as_array().map_or(0, Vec::len);
    assert_eq!(known, PROXIES - 1);
}

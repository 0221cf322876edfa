//! Forty proxies of one service as separate processes: links between them, spread of changes, and load on the store.

use std::{sync::OnceLock, thread, time::Duration};

use standins::platform::{
    fixtures::{WORK_TIME, caller_request, two_routes},
    site::{Proxy, Site, config, eventually, route},
};

const PROXIES: usize = 40;
/// Links that a proxy may have: the eight to the peers that it selects and those from peers that select it, whose
/// number varies with the hashes.
const MAX_LINKS: usize = 26;

/// Time from its start until a fleet's only calls to the store are watches.
const STARTUP_TIME: Duration = Duration::from_secs(6);

/// Starts a fleet, half of it in each data centre. The lock guard keeps other tests from starting a second fleet
/// meanwhile.
fn start_fleet() -> (Site, std::sync::MutexGuard<'static, ()>) {
    static FLEET_LOCK: OnceLock<std::sync::Mutex<()>> = OnceLock::new();
    let fleet_guard =
        FLEET_LOCK.get_or_init(Default::default).lock().unwrap_or_else(std::sync::PoisonError::into_inner);
    let mut site = Site::start().expect("the store starts");
    site.store.put_config(two_routes(1));
    for i in 0..PROXIES {
        site.add_vm("desk", if i % 2 == 0 { "dc-1" } else { "dc-2" }, 2, WORK_TIME).expect("the proxy starts");
    }
    assert!(site.wait_until_ready(PROXIES), "a proxy has not learnt of all endpoints");
    (site, fleet_guard)
}

fn link_count(proxy: &Proxy) -> usize {
    let status = proxy.status();
    let peers = status["peers"].as_array().cloned().unwrap_or_default();
    peers.iter().filter(|it| it["linked"] == true).count()
}

fn has_version(proxy: &Proxy, version: u32) -> bool {
    proxy.status()["row"]["version"] == version
}

#[test]
fn proxies_keep_few_links_and_a_configuration_change_costs_few_store_calls() {
    let (site, _fleet_guard) = start_fleet();
    // Proxies close the additional links and watches of the start within seconds.
    let few_links = eventually(|| site.proxies.iter().all(|it| (8..=MAX_LINKS).contains(&link_count(it))));
    thread::sleep(STARTUP_TIME);
    let calls_before = site.store.request_count();

    site.store.put_config(config(7, &[("read", route("/read/", "idempotent", 2, &[("desk", 1)]))]));
    let activated = eventually(|| site.proxies.iter().all(|it| has_version(it, 7)));
    let calls = site.store.request_count() - calls_before;

    assert!(few_links, "{:?}", site.proxies.iter().map(link_count).collect::<Vec<_>>());
    assert!(activated);
    assert!(calls <= 2 * 3 * 3, "{calls} store calls; three proxies watch in each data centre");
}

#[test]
fn a_change_is_activated_after_half_of_the_fleet_was_killed() {
    let (mut site, _fleet_guard) = start_fleet();
    for proxy in site.proxies.iter_mut().step_by(2) {
        proxy.kill();
    }
    let survivors = || site.proxies.iter().skip(1).step_by(2);

    site.store.put_config(config(7, &[("read", route("/read/", "idempotent", 2, &[("desk", 1)]))]));

    assert!(eventually(|| survivors().all(|it| has_version(it, 7))));
    let statuses: Vec<u16> = survivors()
        .enumerate()
        .map(|(i, it)| {
            caller_request("GET /read/x", &format!("r-{i}")).send_and_read(it.callers).map_or(0, |it| it.status())
        })
        .collect();
    assert!(statuses.iter().all(|it| *it == 200), "{statuses:?}");
}

#[test]
fn a_restarted_proxy_serves_its_first_request_and_makes_few_store_calls() {
    let (mut site, _fleet_guard) = start_fleet();
    // Proxies list the presence objects once more a second or two after their start.
    thread::sleep(STARTUP_TIME);
    let calls_before = site.store.request_count();

    site.proxies[3].restart().expect("the proxy starts");
    let ready = eventually(|| site.proxies[3].is_ready());
    let response = caller_request("GET /read/x", "r-1").send_and_read(site.proxies[3].callers).expect("a response");
    let calls = site.store.request_count() - calls_before;

    assert!(ready, "{response:?}");
    assert_eq!(response.status(), 200, "{response:?} {:?}", site.proxies[3].events());
    let stale_reads = 2;
    let watches = 2 * 3 * 2;
    assert!(calls <= stale_reads + watches, "{calls} store calls");
    let known_peers = site.proxies[3].status()["peers"].as_array().map_or(0, Vec::len);
    assert_eq!(known_peers, PROXIES - 1);
}

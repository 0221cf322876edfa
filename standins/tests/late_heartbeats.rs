//! Guards against heartbeats that arrive at a restarted guard although the one before it acknowledged that their
//! endpoint leaves.

use std::{
    net::SocketAddr,
    sync::atomic::{AtomicBool, Ordering},
    thread,
    time::{Duration, Instant},
};

use rstest::rstest;
use standins::platform::{
    endpoint::Endpoint,
    fixtures::{WORK_TIME, caller_request, two_routes},
    site::{Proxy, Site, eventually},
};

/// Time from the acknowledgement after which no request may arrive.
const DRAIN_TIME: Duration = Duration::from_secs(2);
/// Time in which the peers learn that an endpoint leaves.
const GOSSIP_TIME: Duration = Duration::from_millis(200);
/// Time for the links between proxies after a restart.
const LINK_TIME: Duration = Duration::from_millis(700);
/// Time within which an endpoint must be known again after a restart of its guard; its heartbeats are 150 ms apart.
const DISCOVERY_TIME: Duration = Duration::from_millis(500);

/// Starts two endpoints of `desk`, and one of `ledger` whose proxy is the ingress.
fn start_site() -> Site {
    let mut site = Site::start().expect("a store");
    site.store.put_config(two_routes(1));
    for (service, data_centre) in [("desk", "dc-1"), ("desk", "dc-2"), ("ledger", "dc-1")] {
        site.add_vm(service, data_centre, 4, WORK_TIME).expect("a proxy");
    }
    assert!(site.wait_until_ready(3), "a proxy has not learnt of all endpoints");
    site
}

/// How an endpoint says that it leaves.
type Leave = fn(&Endpoint, SocketAddr) -> std::io::Result<u16>;

fn drain(endpoint: &Endpoint, proxy: SocketAddr) -> std::io::Result<u16> {
    endpoint.announce(proxy, true)
}

fn deregister(endpoint: &Endpoint, proxy: SocketAddr) -> std::io::Result<u16> {
    endpoint.deregister(proxy)
}

/// Sends requests to `callers` while `act` runs; returns how many got 200.
fn under_load(callers: SocketAddr, act: impl FnOnce()) -> usize {
    let stop = AtomicBool::new(false);
    thread::scope(|scope| {
        let caller = scope.spawn(|| {
            let mut served = 0;
            for number in 0.. {
                if stop.load(Ordering::Acquire) {
                    break;
                }
                let id = format!("load-{number}");
                let answer = caller_request("GET /read/1", &id).send_and_read(callers).unwrap_or_default();
                served += usize::from(answer.status() == 200);
                thread::sleep(Duration::from_millis(10));
            }
            served
        });
        act();
        stop.store(true, Ordering::Release);
        caller.join().expect("the caller doesn't panic")
    })
}

fn restart(proxies: &mut [Proxy]) {
    proxies.iter_mut().for_each(Proxy::kill);
    proxies.iter_mut().for_each(|it| it.restart().expect("the proxy starts again"));
    assert!(eventually(|| proxies.iter().all(Proxy::is_listening)), "a proxy doesn't listen");
}

/// Guards against an endpoint that is lost with its requests because a heartbeat from before its leaving arrived at the
/// next process of its guard: that process doesn't know what the one before acknowledged.
#[rstest]
#[case::deregistered_and_the_guard_killed(deregister, 1, 1)]
#[case::deregistered_and_the_guard_killed_twice(deregister, 2, 1)]
#[case::deregistered_and_all_proxies_killed(deregister, 1, 3)]
#[case::drained_and_the_guard_killed(drain, 1, 1)]
#[case::drained_and_all_proxies_killed(drain, 1, 3)]
fn a_late_heartbeat_brings_no_endpoint_back_whose_leaving_a_killed_guard_acknowledged(
    #[case] leave: Leave,
    #[case] kills: u32,
    #[case] proxies: usize,
) {
    let mut site = start_site();
    let (ingress, guard) = (site.proxies[2].callers, site.proxies[0].announcements);
    let endpoint = site.proxies[0].endpoint.clone();
    let incarnation = endpoint.incarnation();
    site.proxies[0].stop_announcements();

    assert_eq!(leave(&endpoint, guard).expect("an answer"), 200);
    let acknowledged = Instant::now();
    for _ in 0..kills {
        restart(&mut site.proxies[..proxies]);
    }
    assert!(eventually(|| site.proxies[2].is_ready()), "the ingress isn't ready");
    thread::sleep(LINK_TIME);
    let late = endpoint.announce_as(guard, &incarnation, "ready", 1_000).expect("an answer");
    let mut judged_from = Instant::now();
    let served = under_load(ingress, || {
        thread::sleep(DRAIN_TIME.saturating_sub(acknowledged.elapsed()));
        judged_from = judged_from.max(acknowledged + DRAIN_TIME);
        thread::sleep(Duration::from_secs(1));
    });

    let arrivals = endpoint.arrivals();
    let arrived = arrivals.iter().filter(|it| it.at > judged_from && !it.misdirected).count();
    assert_eq!(late, 200);
    assert!(arrived == 0 && served > 0, "{arrived} requests arrived; {served} served");
}

/// Guards against a restarted guard that takes back an endpoint whose leaving the one before acknowledged, because its
/// health check succeeds: the peers remember it.
#[rstest]
#[case::the_guard_killed(1)]
#[case::the_guard_killed_twice(2)]
fn an_endpoint_that_left_gets_no_requests_after_a_kill_of_its_guard_although_it_seems_healthy(#[case] kills: u32) {
    let mut site = start_site();
    let (ingress, guard) = (site.proxies[2].callers, site.proxies[0].announcements);
    let endpoint = site.proxies[0].endpoint.clone();
    site.proxies[0].stop_announcements();
    endpoint.seem_healthy();

    assert_eq!(endpoint.deregister(guard).expect("an answer"), 200);
    thread::sleep(GOSSIP_TIME);
    for _ in 0..kills {
        restart(&mut site.proxies[..1]);
    }
    let mut judged_from = Instant::now();
    let served = under_load(ingress, || {
        thread::sleep(DRAIN_TIME);
        judged_from = Instant::now();
        thread::sleep(Duration::from_secs(1));
    });

    let arrivals = endpoint.arrivals();
    let arrived = arrivals.iter().filter(|it| it.at > judged_from && !it.misdirected).count();
    assert!(arrived == 0 && served > 0, "{arrived} requests arrived; {served} served");
}

/// Guards against a restarted guard that waits for anything but one health check before it serves a new incarnation.
#[rstest]
#[case::the_same_endpoint(false, false)]
#[case::a_new_incarnation(true, false)]
#[case::a_new_incarnation_whose_health_checks_do_not_tell_its_slots(true, true)]
fn an_endpoint_is_known_soon_after_a_restart_of_its_guard(#[case] replaced: bool, #[case] hides_load: bool) {
    let mut site = start_site();
    let endpoint = site.proxies[0].endpoint.clone();
    if hides_load {
        endpoint.hide_load();
    }

    site.proxies[0].kill();
    if replaced {
        endpoint.replace("i-next");
    }
    restart(&mut site.proxies[..1]);
    let started = Instant::now();
    let known = eventually(|| site.proxies[0].status()["row"]["endpoint"].is_object());
    let after = started.elapsed();

    assert!(known && after <= DISCOVERY_TIME, "known after {after:.2?}: {}", site.proxies[0].status());
}

/// Guards against a sound endpoint that gets no requests after a restart of its guard because its health checks fail.
#[test]
fn an_endpoint_that_goes_on_announcing_itself_is_known_although_its_health_checks_fail() {
    let mut site = start_site();
    site.proxies[0].endpoint.set_health_path("/elsewhere");

    restart(&mut site.proxies[..1]);

    assert!(eventually(|| site.proxies[0].status()["row"]["endpoint"].is_object()), "{}", site.proxies[0].status());
}

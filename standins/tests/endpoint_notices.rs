//! Guards against what endpoints say in their answers being read by nobody: a limit of requests a second, and that the
//! endpoint is leaving.

use std::{
    sync::atomic::{AtomicBool, Ordering},
    thread,
    time::{Duration, Instant},
};

use rstest::rstest;
use standins::platform::{
    endpoint_rules::{AnswerNotice, CallerRecord, EndpointRecord, EndpointRules, ProxyFault},
    fixtures::{caller_request, two_routes},
    site::Site,
};

/// Time that an endpoint takes to run a request: short, so that its slots allow far more requests than the limit.
const WORK_TIME: Duration = Duration::from_millis(20);
/// Number of callers of each proxy; each sends one request after the other.
const CALLERS: usize = 3;
/// Pause between the requests of one caller.
const PAUSE: Duration = Duration::from_millis(15);

/// Starts two endpoints of `desk` and one of `ledger`, each with its proxy.
fn start_site() -> Site {
    let mut site = Site::start().expect("the store starts");
    site.store.put_config(two_routes(1));
    for (service, data_centre) in [("desk", "dc-1"), ("desk", "dc-2"), ("ledger", "dc-1")] {
        site.add_vm(service, data_centre, 4, WORK_TIME).expect("the proxy starts");
    }
    assert!(site.wait_until_ready(3), "a proxy has not learnt of all endpoints");
    site
}

/// Sends requests to `proxy`, one after the other, until `stop` is set.
fn send_requests(name: &str, proxy: usize, callers: std::net::SocketAddr, stop: &AtomicBool) -> Vec<CallerRecord> {
    let mut records = Vec::new();
    for number in 0.. {
        if stop.load(Ordering::Acquire) {
            break;
        }
        let request_id = format!("{name}-{number}");
        let line = if number % 2 == 0 { format!("GET /read/{number}") } else { format!("POST /write/{number}") };
        let sent = Instant::now();
        // The connection ends while the proxy restarts.
        let answer = caller_request(&line, &request_id).send_and_read(callers);
        let notice = answer.map(|it| AnswerNotice::of(&it)).unwrap_or_default();
        records.push(CallerRecord { request_id, proxy, sent, ended: Instant::now(), notice });
        thread::sleep(PAUSE);
    }
    records
}

/// Sends requests to all proxies while `act` runs, and returns their records.
fn under_load(site: &mut Site, act: impl FnOnce(&mut Site)) -> Vec<CallerRecord> {
    let addresses: Vec<_> = site.proxies.iter().map(|it| it.callers).collect();
    let stop = AtomicBool::new(false);
    thread::scope(|scope| {
        let stop = &stop;
        let threads: Vec<_> = (0..addresses.len() * CALLERS)
            .map(|it| {
                let (proxy, callers) = (it % addresses.len(), addresses[it % addresses.len()]);
                scope.spawn(move || send_requests(&format!("c{it}"), proxy, callers, stop))
            })
            .collect();
        act(site);
        stop.store(true, Ordering::Release);
        threads.into_iter().flat_map(|it| it.join().expect("a caller does not panic")).collect()
    })
}

fn endpoint_records(site: &Site) -> Vec<EndpointRecord> {
    let endpoints = site.proxies.iter().map(|it| &it.endpoint);
    let records = endpoints.map(|it| EndpointRecord {
        arrivals: it.arrivals(),
        limits: it.named_limits(),
        path_faults: Vec::new(),
    });
    records.collect()
}

#[rstest]
#[case::one_a_second("1")]
#[case::a_decimal_number("3.4")]
fn an_endpoint_gets_no_more_requests_than_the_limit_that_it_named(#[case] limit: &str) {
    let mut site = start_site();

    let records = under_load(&mut site, |site| {
        thread::sleep(Duration::from_secs(1));
        site.proxies[0].endpoint.set_limit(Some(limit));
        site.proxies[1].endpoint.set_limit(Some(limit));
        thread::sleep(Duration::from_secs(9));
    });

    let endpoints = endpoint_records(&site);
    let exceeded = EndpointRules::new(&records, &endpoints, &[]).limits_exceeded();
    assert!(exceeded.is_empty(), "{exceeded:#?}");
}

#[test]
fn a_limit_binds_over_kills_of_the_guard() {
    let mut site = start_site();
    let mut restarts = Vec::new();

    let records = under_load(&mut site, |site| {
        thread::sleep(Duration::from_secs(1));
        site.proxies[0].endpoint.set_limit(Some("1"));
        thread::sleep(Duration::from_secs(4));
        for _ in 0..3 {
            let from = Instant::now();
            site.proxies[0].restart().expect("the proxy starts again");
            restarts.push(ProxyFault { proxy: 0, from, to: Some(Instant::now()) });
            thread::sleep(Duration::from_millis(1_500));
        }
        thread::sleep(Duration::from_secs(2));
    });

    let endpoints = endpoint_records(&site);
    let exceeded = EndpointRules::new(&records, &endpoints, &restarts).limits_exceeded();
    assert!(exceeded.is_empty(), "{exceeded:#?}");
}

#[rstest]
#[case::the_guard_goes_on(0)]
#[case::the_guard_is_killed_twice(2)]
fn an_endpoint_that_says_in_an_answer_that_it_leaves_gets_no_requests_although_it_announces_that_it_is_ready(
    #[case] kills: u32,
) {
    let mut site = start_site();
    let mut restarts = Vec::new();

    let records = under_load(&mut site, |site| {
        thread::sleep(Duration::from_secs(1));
        site.proxies[0].endpoint.leave_by_answers();
        thread::sleep(Duration::from_secs(2));
        for _ in 0..kills {
            let from = Instant::now();
            site.proxies[0].restart().expect("the proxy starts again");
            restarts.push(ProxyFault { proxy: 0, from, to: Some(Instant::now()) });
            thread::sleep(Duration::from_millis(1_500));
        }
        thread::sleep(Duration::from_secs(2));
    });

    let endpoints = endpoint_records(&site);
    let late = EndpointRules::new(&records, &endpoints, &restarts).arrived_after_leaving();
    assert!(late.is_empty(), "{} requests arrived late, the first: {:?}", late.len(), late.first());
    assert!(!endpoints[1].arrivals.is_empty(), "the other endpoint serves");
}

//! Proxies that stop, are killed and start again: what callers and endpoints see.

use std::{
    io::BufReader,
    thread,
    time::{Duration, Instant},
};

use rustix::process::Signal;
use serde_json::json;
use standins::platform::{
    endpoint::EndpointMode,
    fixtures::{
        arrivals_of, caller_request, explained_cause, run_count, send_to_ledger_proxy, set_modes, start_site,
        two_routes,
    },
    http,
    site::{Proxy, Site, eventually},
};

/// Sends requests one after the other until told otherwise; returns how each ended.
fn keep_asking(proxy: &Proxy, line: &str, stop: Instant) -> Vec<Result<u16, std::io::ErrorKind>> {
    let mut ends = Vec::new();
    while Instant::now() < stop {
        let request = format!("{line}-{}", ends.len());
        ends.push(
            caller_request(line, &request.replace(' ', ""))
                .send_and_read(proxy.callers)
                .map(|it| it.status())
                .map_err(|it| it.kind()),
        );
    }
    ends
}

#[test]
fn a_stop_cuts_nothing_that_was_taken() {
    let mut site = start_site();
    let stop = Instant::now() + Duration::from_millis(2_500);

    let ends = thread::scope(|scope| {
        let asking = scope.spawn(|| keep_asking(&site.proxies[2], "POST /write/x", stop));
        thread::sleep(Duration::from_millis(300));
        site.proxies[0].signal(Signal::TERM);
        asking.join().expect("a caller")
    });

    assert!(ends.iter().all(|it| *it == Ok(200)), "{ends:?}");
    assert!(site.proxies[0].exits_in_time(), "the process ends by itself");
    assert!(!site.proxies[0].is_ready());
}

#[test]
fn a_stopping_guard_goes_on_with_what_is_sure_to_end() {
    let mut site = start_site();
    for at in 0..12 {
        assert_eq!(send_to_ledger_proxy(&site, "GET /read/x", &format!("r-first-{at}")).status(), 200);
    }
    let at_stopping = |site: &Site| site.proxies[0].endpoint.arrivals().len();

    site.proxies[0].signal(Signal::TERM);
    assert!(eventually(|| !site.proxies[0].is_ready()));
    let before = at_stopping(&site);
    let ends: Vec<u16> =
        (0..16).map(|at| send_to_ledger_proxy(&site, "GET /read/x", &format!("r-{at}")).status()).collect();
    let taken = at_stopping(&site) - before;
    assert!(site.proxies[0].exits_in_time(), "the process ends by itself");

    assert!(ends.iter().all(|it| *it == 200), "{ends:?}");
    assert!(taken > 0, "its endpoint lives on and has room");
    assert!(site.proxies[0].endpoint.arrivals().iter().all(|it| !it.cut_off));
}

#[test]
fn a_stopping_ingress_answers_what_it_holds() {
    let site = start_site();
    set_modes(&site, EndpointMode::Hangs);
    let stream = caller_request("GET /read/x", "r-1").send(site.proxies[2].callers).expect("a connection");
    assert!(eventually(|| arrivals_of(&site, "r-1").len() == 1));

    site.proxies[2].signal(Signal::TERM);
    let answer = http::read_message(&mut BufReader::new(stream)).expect("an answer").expect("not just an end");

    assert!(matches!(answer.status(), 502 | 504), "it may have run: {answer:?}");
}

#[test]
fn a_stopping_ingress_refuses_at_once_what_it_could_not_finish() {
    let site = start_site();
    set_modes(&site, EndpointMode::Hangs);
    let held = caller_request("GET /read/x", "r-held").send(site.proxies[2].callers).expect("a connection");
    assert!(eventually(|| arrivals_of(&site, "r-held").len() == 1));
    site.proxies[2].signal(Signal::TERM);
    thread::sleep(Duration::from_millis(1_600));
    let start = Instant::now();

    let answer = send_to_ledger_proxy(&site, "GET /read/x", "r-late");

    drop(held);
    assert_eq!(answer.status(), 503, "{answer:?}");
    assert!(start.elapsed() < Duration::from_millis(300), "{:?}", start.elapsed());
    assert_eq!(answer.header("connection"), Some("close"));
    assert!(arrivals_of(&site, "r-late").is_empty());
}

#[test]
fn a_second_sigterm_grants_the_whole_grace_anew() {
    let site = start_site();
    set_modes(&site, EndpointMode::Hangs);
    site.proxies[2].signal(Signal::TERM);
    thread::sleep(Duration::from_millis(1_000));
    let stream = caller_request("GET /read/x", "r-1").send(site.proxies[2].callers).expect("a connection");
    thread::sleep(Duration::from_millis(800));

    site.proxies[2].signal(Signal::TERM);
    let answer = http::read_message(&mut BufReader::new(stream)).expect("an answer").expect("not just an end");

    let stopping: Vec<_> = site.proxies[2].events().into_iter().filter(|it| it["event"] == "stopping").collect();
    let cause = explained_cause(&site, "r-1");
    assert_eq!(answer.status(), 504, "the route's timeout ends it, not the first grace: {cause} {stopping:?}");
}

#[test]
fn a_guard_that_is_killed_leaves_no_false_promise() {
    let mut site = start_site();
    set_modes(&site, EndpointMode::Hangs);
    let stream = caller_request("POST /write/x", "r-1").send(site.proxies[2].callers).expect("a connection");
    assert!(eventually(|| arrivals_of(&site, "r-1").len() == 1));

    for it in &mut site.proxies[..2] {
        it.kill();
    }
    let answer = http::read_message(&mut BufReader::new(stream)).expect("an answer").expect("not just an end");

    assert!(matches!(answer.status(), 502 | 504), "{answer:?}");
    assert_eq!(run_count(&site, "r-1"), 1);
}

#[test]
fn a_guard_that_restarts_beside_a_living_endpoint_finds_it() {
    let mut site = start_site();
    site.proxies[0].stop_announcements();

    site.proxies[0].restart().expect("a proxy");

    let found = eventually(|| site.proxies[0].status()["row"]["endpoint"]["id"]["name"] == "i-1");
    assert!(found, "its health path tells which incarnation it is");
}

#[test]
fn a_guard_that_restarts_asks_the_health_path_that_the_configuration_names() {
    let mut site = start_site();
    let service = site.proxies[0].endpoint.service().to_owned();
    site.proxies[0].endpoint.set_health_path("/live?deep=1");
    let mut config = two_routes(9);
    config["services"] = json!({ service: {"health_path": "/live?deep=1"} });
    site.store.put_config(config);
    assert!(eventually(|| site.proxies.iter().all(|it| it.status()["row"]["version"] == 9)));
    site.proxies[0].stop_announcements();

    site.proxies[0].restart().expect("a proxy");

    assert!(eventually(|| site.proxies[0].status()["row"]["endpoint"]["id"]["name"] == "i-1"));
}

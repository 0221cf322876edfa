//! End-to-end tests of proxies as separate processes, between stand-ins for callers, endpoints and the store.

use std::{
    io::{BufReader, Read as _, Write as _},
    net::TcpStream,
    thread,
    time::{Duration, Instant},
};

use rstest::rstest;
use rustix::process::Signal;
use standins::platform::{
    caller::Call,
    desk::{WORK, arrivals, ask, call, cause, desks, runs, set_modes, site, two_routes},
    endpoint::EndpointMode,
    http,
    site::{HOST, Site, config, eventually, route},
    store::StoreMode,
};

/// Time from its start until a fleet's only calls to the store are watches.
const STARTUP_TIME: Duration = Duration::from_secs(6);

#[test]
fn a_request_reaches_its_endpoint_and_its_response_is_returned() {
    let site = site();
    let post = Call { body: b"a charge", ..call("POST /write/a?b=c", "r-1") };

    let response = post.answer(site.proxies[2].callers).expect("a response");

    assert_eq!(response.status(), 200, "{response:?}");
    assert_eq!(response.body, b"desk r-1");
    assert_eq!(response.header("x-response-seal"), Some("seal-r-1"));
    let [arrival] = &arrivals(&site, "r-1")[..] else { panic!("the request did not arrive exactly once") };
    assert_eq!(arrival.line, "POST /write/a?b=c");
    assert_eq!(arrival.body, b"a charge");
    assert_eq!(arrival.caller, "ledger", "the ingress overwrites the caller's header with its own service");
    assert!(
        (1..=2_000).contains(&arrival.deadline_ms),
        "a deadline of {} ms is outside the route's timeout",
        arrival.deadline_ms
    );
}

#[rstest]
#[case("GET /nowhere/x", HOST, "r", 404)]
#[case("GET /read", HOST, "r", 404)]
#[case("GET /read/x", "other.example", "r", 404)]
#[case("GET /read/x", HOST, "", 400)]
fn requests_without_a_known_route_or_an_id_are_refused(
    #[case] line: &str,
    #[case] host: &str,
    #[case] request: &str,
    #[case] status: u16,
) {
    let site = site();

    let response = Call { host, ..call(line, request) }.answer(site.proxies[2].callers).expect("a response");

    assert_eq!(response.status(), status);
    assert!(desks(&site).iter().all(|it| it.arrivals().is_empty()));
}

#[test]
fn oversized_bodies_and_headers_are_refused_and_other_requests_served() {
    let site = site();
    let long_body = vec![b'x'; 70_000];
    let long_line = format!("GET /read/{} HTTP/1.1", "y".repeat(40_000));

    let body_response = Call { body: &long_body, ..call("POST /write/x", "r-long") }.answer(site.proxies[2].callers);
    let header_response = call(&long_line, "r-head").answer(site.proxies[2].callers);
    let other_response = ask(&site, "GET /read/x", "r-other");

    assert_eq!(body_response.expect("a response").status(), 413);
    assert!(header_response.is_err() || matches!(header_response.expect("not an error").status(), 400 | 414 | 431));
    assert_eq!(other_response.status(), 200);
}

#[test]
fn slow_headers_get_408_and_an_idle_connection_stays_open() {
    let site = site();
    let proxy = site.proxies[2].callers;
    let mut idle = call("GET /read/x", "r-first").send(proxy).expect("the connection opens");
    let first =
        http::read(&mut BufReader::new(idle.try_clone().expect("the socket can be cloned"))).expect("a response");
    let mut slow = TcpStream::connect(proxy).expect("the connection opens");
    slow.write_all(b"GET /read/x HTTP/1.1\r\nHost: desk.ex").expect("the bytes are sent");

    // The header timeout is 1 s, the idle timeout 5 s.
    let slow_response =
        http::read(&mut BufReader::new(slow)).expect("a response").expect("the connection is still open");
    idle.write_all(&call("GET /read/x", "r-second").text()).expect("the bytes are sent");
    let second = http::read(&mut BufReader::new(idle)).expect("a response");

    assert_eq!(slow_response.status(), 408);
    assert_eq!(slow_response.header("connection"), Some("close"));
    assert_eq!(first.expect("the connection is still open").status(), 200);
    assert_eq!(second.expect("the idle connection is still open").status(), 200);
}

#[rstest]
#[case(EndpointMode::FailsFast)]
#[case(EndpointMode::FailsSlowly)]
#[case(EndpointMode::Resets)]
#[case(EndpointMode::Truncates)]
#[case(EndpointMode::AnswersAnother)]
#[case(EndpointMode::Unsealed)]
#[case(EndpointMode::Sheds)]
fn idempotent_requests_succeed_while_one_endpoint_misbehaves(#[case] mode: EndpointMode) {
    let site = site();
    desks(&site)[0].set_mode(mode);

    for i in 0..10 {
        let request = format!("r-{i}");
        let response = ask(&site, "GET /read/x", &request);

        assert_eq!(response.status(), 200, "{mode:?} {request}: {response:?}");
        assert_eq!(response.body, format!("desk {request}").into_bytes());
    }
}

#[rstest]
#[case(EndpointMode::FailsFast, 500)]
#[case(EndpointMode::FailsSlowly, 500)]
#[case(EndpointMode::Resets, 502)]
#[case(EndpointMode::Truncates, 502)]
#[case(EndpointMode::AnswersAnother, 502)]
#[case(EndpointMode::Unsealed, 502)]
#[case(EndpointMode::Hangs, 504)]
fn a_non_idempotent_request_that_may_have_run_fails_and_is_not_retried(
    #[case] mode: EndpointMode,
    #[case] status: u16,
) {
    let site = site();
    set_modes(&site, mode);

    let response = ask(&site, "POST /write/x", "r-1");

    assert_eq!(response.status(), status, "{response:?}");
    assert_eq!(runs(&site, "r-1"), 1);
}

#[test]
fn a_request_that_all_endpoints_decline_gets_503_and_does_not_run() {
    let site = site();
    set_modes(&site, EndpointMode::Sheds);

    let response = ask(&site, "POST /write/x", "r-1");

    assert_eq!(response.status(), 503);
    assert!(response.header("retry-after").is_some(), "the refusal has no Retry-After");
    assert_eq!(runs(&site, "r-1"), 0);
    assert!(arrivals(&site, "r-1").len() <= 2, "the request reached more endpoints than max_attempts allows");
}

#[rstest]
#[case(EndpointMode::SaysMore)]
#[case(EndpointMode::Unframed)]
fn complete_responses_with_extra_bytes_or_without_a_length_are_returned(#[case] mode: EndpointMode) {
    let site = site();
    set_modes(&site, mode);

    for i in 0..6 {
        let request = format!("r-{i}");
        let response = ask(&site, "POST /write/x", &request);

        assert_eq!((response.status(), response.body), (200, format!("desk {request}").into_bytes()));
        assert_eq!(runs(&site, &request), 1);
    }
}

#[test]
fn writes_avoid_a_failing_endpoint_whose_standing_recovers_later() {
    let site = site();
    let failing = &desks(&site)[0];
    failing.set_mode(EndpointMode::FailsFast);
    for i in 0..8 {
        ask(&site, "GET /read/x", &format!("warm-{i}"));
    }

    let statuses: Vec<u16> = (0..20).map(|i| ask(&site, "POST /write/x", &format!("w-{i}")).status()).collect();

    assert!(statuses.iter().all(|it| *it == 200), "{statuses:?}");
    failing.set_mode(EndpointMode::Good);
    let recovered = eventually(|| {
        ask(&site, "GET /read/x", "again");
        site.proxies[0].status()["row"]["endpoint"]["standing"] == "clean"
    });
    assert!(recovered, "the endpoint's standing is not clean after good responses");
}

#[test]
fn an_endpoint_never_runs_more_requests_than_it_has_slots() {
    let site = site();

    let statuses: Vec<_> = thread::scope(|scope| {
        let send = |i: usize| ask(&site, "POST /write/x", &format!("r-{i}")).status();
        let threads: Vec<_> = (0..24).map(|i| scope.spawn(move || send(i))).collect();
        threads.into_iter().map(|it| it.join().expect("the caller thread does not panic")).collect()
    });

    assert!(statuses.iter().all(|it| *it == 200), "{statuses:?}");
    assert!(desks(&site).iter().all(|it| it.most_running() <= 2));
}

#[test]
fn a_running_request_is_cancelled_when_its_caller_disconnects() {
    let site = site();
    set_modes(&site, EndpointMode::Hangs);

    let stream = call("GET /read/x", "r-1").send(site.proxies[2].callers).expect("the connection opens");
    assert!(eventually(|| arrivals(&site, "r-1").len() == 1));
    let disconnected_at = Instant::now();
    drop(stream);

    assert!(eventually(|| arrivals(&site, "r-1").iter().all(|it| it.cut_off)));
    assert!(disconnected_at.elapsed() < Duration::from_millis(500), "{:?}", disconnected_at.elapsed());
}

#[test]
fn a_hanging_request_gets_504_at_the_route_timeout() {
    let site = site();
    set_modes(&site, EndpointMode::Hangs);
    let start = Instant::now();

    let response = ask(&site, "POST /write/x", "r-1");

    assert_eq!(response.status(), 504);
    assert!(start.elapsed() < Duration::from_millis(2_500), "{:?}", start.elapsed());
}

#[test]
fn a_draining_endpoint_gets_no_requests_after_its_announcement_is_acknowledged() {
    let site = site();
    let proxy = &site.proxies[0];
    proxy.silence_endpoint();

    let status = proxy.endpoint.announce(proxy.announcements, true).expect("the announcement is acknowledged");
    let arrivals_before = proxy.endpoint.arrivals().len();
    for i in 0..10 {
        assert_eq!(ask(&site, "POST /write/x", &format!("r-{i}")).status(), 200);
    }

    assert_eq!(status, 200);
    assert_eq!(proxy.endpoint.arrivals().len(), arrivals_before);
}

#[test]
fn stale_announcements_of_an_earlier_incarnation_are_ignored() {
    let site = site();
    let proxy = &site.proxies[0];
    proxy.silence_endpoint();
    thread::sleep(Duration::from_millis(400));
    let earlier = proxy.endpoint.life();
    proxy.endpoint.replace("i-new");
    proxy.endpoint.announce(proxy.announcements, false).expect("the announcement is acknowledged");

    proxy.endpoint.announce_as(proxy.announcements, &earlier, "ready", 99).expect("the announcement is acknowledged");
    proxy
        .endpoint
        .announce_as(proxy.announcements, &earlier, "draining", 100)
        .expect("the announcement is acknowledged");

    assert_eq!(proxy.status()["row"]["endpoint"]["id"]["name"], "i-new");
    for i in 0..6 {
        assert_eq!(ask(&site, "POST /write/x", &format!("r-{i}")).status(), 200);
    }
}

#[test]
fn requests_for_a_replaced_incarnation_do_not_run_at_its_successor() {
    let site = site();
    let proxy = &site.proxies[0];
    proxy.silence_endpoint();
    proxy.endpoint.replace("i-unannounced");

    for i in 0..10 {
        let request = format!("r-{i}");
        assert_eq!(ask(&site, "POST /write/x", &request).status(), 200);
        assert_eq!(runs(&site, &request), 1);
    }
    assert!(
        proxy.endpoint.arrivals().iter().all(|it| !it.ran),
        "the new incarnation ran a request that was granted for the old one"
    );
}

#[test]
fn a_new_configuration_is_activated_and_an_older_version_ignored() {
    let site = site();
    let moved = config(7, &[("read", route("/read/", "idempotent", 2, &[("ledger", 1)]))]);
    site.store.put_config(moved);

    let activated = eventually(|| ask(&site, "GET /read/x", "r-moved").body.starts_with(b"ledger"));
    site.store.put_config(two_routes(3));
    // Longer than the pause between a change and the next watch.
    thread::sleep(Duration::from_millis(1_000));

    assert!(activated);
    assert_eq!(ask(&site, "POST /write/x", "r-dropped").status(), 404);
    assert!(ask(&site, "GET /read/x", "r-kept").body.starts_with(b"ledger"), "version 3 replaced version 7");
}

#[test]
fn rapid_configuration_changes_cost_few_store_calls_and_the_last_is_activated() {
    let site = site();
    let (calls_before, last) = (site.store.calls(), 41);

    for version in 2..=last {
        site.store.put_config(two_routes(version));
        thread::sleep(Duration::from_millis(25));
    }

    assert!(eventually(|| site.proxies.iter().all(|it| it.status()["row"]["version"] == last)));
    let calls = site.store.calls() - calls_before;
    assert!(calls <= 3 * 8, "three proxies made {calls} store calls for 40 changes in a second");
}

#[test]
fn a_weighted_route_keeps_its_weights() {
    let site = site();
    let weighted = route("/read/", "idempotent", 2, &[("desk", 3), ("ledger", 1)]);
    site.store.put_config(config(2, &[("read", weighted)]));
    assert!(eventually(|| ask(&site, "GET /read/x", "r").body.starts_with(b"ledger")));

    let sent_to_ledger =
        (0..40).filter(|i| ask(&site, "GET /read/x", &format!("r-{i}")).body.starts_with(b"ledger")).count();

    assert!((9..=11).contains(&sent_to_ledger), "{sent_to_ledger} of 40 requests went to ledger");
}

#[rstest]
#[case(StoreMode::Busy)]
#[case(StoreMode::Reset)]
fn a_proxy_that_restarts_without_the_store_recovers_from_its_peers_and_serves(#[case] mode: StoreMode) {
    let mut site = site();
    site.store.set_mode(mode);

    site.proxies[2].restart().expect("the proxy starts");

    assert!(eventually(|| site.proxies[2].is_ready()), "the proxy got no configuration from its peers");
    let served =
        eventually(|| call("POST /write/x", "r").answer(site.proxies[2].callers).is_ok_and(|it| it.status() == 200));
    assert!(served);
}

#[test]
fn lost_store_responses_leave_one_presence_object_per_proxy() {
    let mut site = Site::start().expect("the store starts");
    site.store.put_config(two_routes(1));
    site.store.set_mode(StoreMode::LosesAnswers);
    site.add("desk", "dc-1", 2, WORK).expect("the proxy starts");
    site.add("desk", "dc-1", 2, WORK).expect("the proxy starts");
    thread::sleep(Duration::from_millis(600));
    site.store.set_mode(StoreMode::Good);

    assert!(site.wait_for(2));
    let mut names = site.store.names("jayreach-proxies");
    names.sort();
    assert_eq!(names, ["vm-1", "vm-2"]);
}

#[test]
fn a_configuration_change_is_found_after_the_store_compacts_its_history() {
    let site = site();
    thread::sleep(STARTUP_TIME);
    site.store.compact();
    site.store.put_config(config(9, &[("other", route("/other/", "idempotent", 2, &[("desk", 1)]))]));

    assert!(eventually(|| ask(&site, "GET /other/x", "r").status() == 200));
    let calls_before = site.store.calls();
    thread::sleep(Duration::from_millis(500));
    assert!(site.store.calls() - calls_before <= 3, "the watches poll the store instead of waiting for a change");
}

#[test]
fn a_proxy_without_a_configuration_is_not_ready_and_answers_503() {
    let mut site = Site::start().expect("the store starts");
    site.add("desk", "dc-1", 2, WORK).expect("the proxy starts");
    assert!(eventually(|| call("GET /read/x", "r").answer(site.proxies[0].callers).is_ok()));

    let response = call("GET /read/x", "r").answer(site.proxies[0].callers).expect("a response");

    assert_eq!(response.status(), 503);
    assert!(response.header("retry-after").is_some());
    assert!(!site.proxies[0].is_ready());
}

#[test]
fn a_reload_of_invalid_settings_is_reported_and_keeps_the_current_ones() {
    let site = site();
    let proxy = &site.proxies[0];
    std::fs::write(proxy.settings(), "name = 3\n").expect("the settings file is written");

    proxy.signal(Signal::HUP);

    let reported = eventually(|| proxy.events().iter().any(|it| it["event"] == "reloaded" && it["changed"] == false));
    assert!(reported);
    assert_eq!(ask(&site, "GET /read/x", "r").status(), 200);
}

#[test]
fn a_persistent_connection_carries_many_requests() {
    let site = site();
    let mut stream = call("GET /read/x", "r-0").send(site.proxies[2].callers).expect("the connection opens");
    let mut reader = BufReader::new(stream.try_clone().expect("the socket can be cloned"));

    for i in 0..5 {
        let response = http::read(&mut reader).expect("a response").expect("the connection is still open");
        assert_eq!((response.status(), response.body), (200, format!("desk r-{i}").into_bytes()));
        let next = call("GET /read/x", &format!("r-{}", i + 1)).text();
        std::io::Write::write_all(&mut stream, &next).expect("the connection is open");
    }
    drop(stream);
    let mut rest = Vec::new();
    reader.read_to_end(&mut rest).ok();
}

#[test]
fn the_cause_of_a_failed_request_is_found_from_its_id() {
    let site = site();
    set_modes(&site, EndpointMode::FailsFast);
    ask(&site, "POST /write/x", "r-gray");
    set_modes(&site, EndpointMode::Resets);
    ask(&site, "POST /write/x", "r-lost");
    set_modes(&site, EndpointMode::Hangs);
    let open_requests: Vec<_> =
        (0..4).map(|i| call("POST /write/x", &format!("r-held-{i}")).send(site.proxies[2].callers)).collect();
    thread::sleep(Duration::from_millis(100));
    ask(&site, "POST /write/x", "r-refused");

    let (gray_cause, lost_cause, refused_cause) =
        (cause(&site, "r-gray"), cause(&site, "r-lost"), cause(&site, "r-refused"));

    drop(open_requests);
    assert!(
        gray_cause.contains("answered 500 itself") && gray_cause.contains("suspect of failing gray"),
        "{gray_cause}"
    );
    assert!(lost_cause.contains("Broken") && lost_cause.contains("It may have run"), "{lost_cause}");
    assert!(
        refused_cause.contains("No place became free") && refused_cause.contains("It has not run"),
        "{refused_cause}"
    );
}

#[test]
fn slot_time_of_a_running_request_is_not_counted_as_offered() {
    const SERVICE_TIME: Duration = Duration::from_millis(1_000);
    let mut site = Site::start().expect("the store starts");
    site.store.put_config(two_routes(1));
    site.add("desk", "dc-1", 2, SERVICE_TIME).expect("the proxy starts");
    assert!(site.wait_for(1), "the proxy has not learnt of its endpoint");

    let response = call("POST /write/x", "r-1").answer(site.proxies[0].callers).expect("a response");
    let slot_times = slot_millis(&site);

    assert_eq!(response.status(), 200);
    let total = |name: &str| slot_times.iter().find(|it| it.0 == name).map_or(0, |it| it.1);
    assert!(total("answered") >= 900, "{slot_times:?}");
    assert!(total("offered") < total("answered") / 2, "{slot_times:?}");
}

/// Slot time of the first proxy's endpoint in milliseconds, by use, from the proxy's metrics.
fn slot_millis(site: &Site) -> Vec<(String, u64)> {
    let metrics = Call { line: "GET /metrics", host: "metrics", request: "", deadline: WORK * 100, body: b"" };
    let response = metrics.answer(site.proxies[0].metrics).expect("the metrics are served");
    let text = String::from_utf8(response.body).expect("the metrics are UTF-8");
    let lines = text.lines().filter_map(|it| it.strip_prefix("jayreach_slot_milliseconds_total{use=\""));
    lines.filter_map(|it| it.split_once("\"} ")).map(|it| (it.0.to_owned(), it.1.parse().unwrap_or(0))).collect()
}

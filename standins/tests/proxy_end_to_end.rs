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
    caller::CallerRequest,
    endpoint::EndpointMode,
    fixtures::{
        WORK_TIME, arrivals_of, caller_request, desk_endpoints, explained_cause, run_count, send_to_ledger_proxy,
        set_modes, start_site, two_routes,
    },
    http,
    site::{HOST, Site, config, eventually, route},
    store::StoreMode,
};

/// Time from its start until a fleet's only calls to the store are watches.
const STARTUP_TIME: Duration = Duration::from_secs(6);

#[test]
fn a_request_reaches_its_endpoint_and_its_response_is_returned() {
    let site = start_site();
    let post = CallerRequest { body: b"a charge", ..caller_request("POST /write/a?b=c", "r-1") };

    let response = post.send_and_read(site.proxies[2].callers).expect("a response");

    assert_eq!(response.status(), 200, "{response:?}");
    assert_eq!(response.body, b"desk r-1");
    assert_eq!(response.header("x-response-seal"), Some("seal-r-1"));
    let [arrival] = &arrivals_of(&site, "r-1")[..] else { panic!("the request did not arrive exactly once") };
    assert_eq!(arrival.method_and_target, "POST /write/a?b=c");
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
    let site = start_site();

    let response = CallerRequest { host, ..caller_request(line, request) }
        .send_and_read(site.proxies[2].callers)
        .expect("a response");

    assert_eq!(response.status(), status);
    assert!(desk_endpoints(&site).iter().all(|it| it.arrivals().is_empty()));
}

#[test]
fn oversized_bodies_and_headers_are_refused_and_other_requests_served() {
    let site = start_site();
    let long_body = vec![b'x'; 70_000];
    let long_line = format!("GET /read/{} HTTP/1.1", "y".repeat(40_000));

    let body_response = CallerRequest { body: &long_body, ..caller_request("POST /write/x", "r-long") }
        .send_and_read(site.proxies[2].callers);
    let header_response = caller_request(&long_line, "r-head").send_and_read(site.proxies[2].callers);
    let other_response = send_to_ledger_proxy(&site, "GET /read/x", "r-other");

    assert_eq!(body_response.expect("a response").status(), 413);
    assert!(header_response.is_err() || matches!(header_response.expect("not an error").status(), 400 | 414 | 431));
    assert_eq!(other_response.status(), 200);
}

#[test]
fn slow_headers_get_408_and_an_idle_connection_stays_open() {
    let site = start_site();
    let proxy = site.proxies[2].callers;
    let mut idle = caller_request("GET /read/x", "r-first").send(proxy).expect("the connection opens");
    let first = http::read_message(&mut BufReader::new(idle.try_clone().expect("the socket can be cloned")))
        .expect("a response");
    let mut slow = TcpStream::connect(proxy).expect("the connection opens");
    slow.write_all(b"GET /read/x HTTP/1.1\r\nHost: desk.ex").expect("the bytes are sent");

    // The header timeout is 1 s, the idle timeout 5 s.
    let slow_response =
        http::read_message(&mut BufReader::new(slow)).expect("a response").expect("the connection is still open");
    idle.write_all(&caller_request("GET /read/x", "r-second").encode()).expect("the bytes are sent");
    let second = http::read_message(&mut BufReader::new(idle)).expect("a response");

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
    let site = start_site();
    desk_endpoints(&site)[0].set_mode(mode);

    for i in 0..10 {
        let request = format!("r-{i}");
        let response = send_to_ledger_proxy(&site, "GET /read/x", &request);

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
    let site = start_site();
    set_modes(&site, mode);

    let response = send_to_ledger_proxy(&site, "POST /write/x", "r-1");

    assert_eq!(response.status(), status, "{response:?}");
    assert_eq!(run_count(&site, "r-1"), 1);
}

#[test]
fn a_request_that_all_endpoints_decline_gets_503_and_does_not_run() {
    let site = start_site();
    set_modes(&site, EndpointMode::Sheds);

    let response = send_to_ledger_proxy(&site, "POST /write/x", "r-1");

    assert_eq!(response.status(), 503);
    assert!(response.header("retry-after").is_some(), "the refusal has no Retry-After");
    assert_eq!(run_count(&site, "r-1"), 0);
    assert!(arrivals_of(&site, "r-1").len() <= 2, "the request reached more endpoints than max_attempts allows");
}

#[rstest]
#[case(EndpointMode::SaysMore)]
#[case(EndpointMode::Unframed)]
fn complete_responses_with_extra_bytes_or_without_a_length_are_returned(#[case] mode: EndpointMode) {
    let site = start_site();
    set_modes(&site, mode);

    for i in 0..6 {
        let request = format!("r-{i}");
        let response = send_to_ledger_proxy(&site, "POST /write/x", &request);

        assert_eq!((response.status(), response.body), (200, format!("desk {request}").into_bytes()));
        assert_eq!(run_count(&site, &request), 1);
    }
}

#[test]
fn writes_avoid_a_failing_endpoint_whose_standing_recovers_later() {
    let site = start_site();
    let failing = &desk_endpoints(&site)[0];
    failing.set_mode(EndpointMode::FailsFast);
    for i in 0..8 {
        send_to_ledger_proxy(&site, "GET /read/x", &format!("warm-{i}"));
    }

    let statuses: Vec<u16> =
        (0..20).map(|i| send_to_ledger_proxy(&site, "POST /write/x", &format!("w-{i}")).status()).collect();

    assert!(statuses.iter().all(|it| *it == 200), "{statuses:?}");
    failing.set_mode(EndpointMode::Good);
    let recovered = eventually(|| {
        send_to_ledger_proxy(&site, "GET /read/x", "again");
        site.proxies[0].status()["row"]["endpoint"]["standing"] == "clean"
    });
    assert!(recovered, "the endpoint's standing is not clean after good responses");
}

#[test]
fn an_endpoint_never_runs_more_requests_than_it_has_slots() {
    let site = start_site();

    let statuses: Vec<_> = thread::scope(|scope| {
        let send = |i: usize| send_to_ledger_proxy(&site, "POST /write/x", &format!("r-{i}")).status();
        let threads: Vec<_> = (0..24).map(|i| scope.spawn(move || send(i))).collect();
        threads.into_iter().map(|it| it.join().expect("the caller thread does not panic")).collect()
    });

    assert!(statuses.iter().all(|it| *it == 200), "{statuses:?}");
    assert!(desk_endpoints(&site).iter().all(|it| it.max_running() <= 2));
}

#[test]
fn a_running_request_is_cancelled_when_its_caller_disconnects() {
    let site = start_site();
    set_modes(&site, EndpointMode::Hangs);

    let stream = caller_request("GET /read/x", "r-1").send(site.proxies[2].callers).expect("the connection opens");
    assert!(eventually(|| arrivals_of(&site, "r-1").len() == 1));
    let disconnected_at = Instant::now();
    drop(stream);

    assert!(eventually(|| arrivals_of(&site, "r-1").iter().all(|it| it.cancelled)));
    assert!(disconnected_at.elapsed() < Duration::from_millis(500), "{:?}", disconnected_at.elapsed());
}

#[test]
fn a_hanging_request_gets_504_at_the_route_timeout() {
    let site = start_site();
    set_modes(&site, EndpointMode::Hangs);
    let start = Instant::now();

    let response = send_to_ledger_proxy(&site, "POST /write/x", "r-1");

    assert_eq!(response.status(), 504);
    assert!(start.elapsed() < Duration::from_millis(2_500), "{:?}", start.elapsed());
}

#[test]
fn a_draining_endpoint_gets_no_requests_after_its_announcement_is_acknowledged() {
    let site = start_site();
    let proxy = &site.proxies[0];
    proxy.stop_announcements();

    let status = proxy.endpoint.announce(proxy.announcements, true).expect("the announcement is acknowledged");
    let arrivals_before = proxy.endpoint.arrivals().len();
    for i in 0..10 {
        assert_eq!(send_to_ledger_proxy(&site, "POST /write/x", &format!("r-{i}")).status(), 200);
    }

    assert_eq!(status, 200);
    assert_eq!(proxy.endpoint.arrivals().len(), arrivals_before);
}

#[test]
fn stale_announcements_of_an_earlier_incarnation_are_ignored() {
    let site = start_site();
    let proxy = &site.proxies[0];
    proxy.stop_announcements();
    thread::sleep(Duration::from_millis(400));
    let earlier = proxy.endpoint.incarnation();
    proxy.endpoint.replace("i-new");
    proxy.endpoint.announce(proxy.announcements, false).expect("the announcement is acknowledged");

    proxy.endpoint.announce_as(proxy.announcements, &earlier, "ready", 99).expect("the announcement is acknowledged");
    proxy
        .endpoint
        .announce_as(proxy.announcements, &earlier, "draining", 100)
        .expect("the announcement is acknowledged");

    assert_eq!(proxy.status()["row"]["endpoint"]["id"]["name"], "i-new");
    for i in 0..6 {
        assert_eq!(send_to_ledger_proxy(&site, "POST /write/x", &format!("r-{i}")).status(), 200);
    }
}

#[test]
fn requests_for_a_replaced_incarnation_do_not_run_at_its_successor() {
    let site = start_site();
    let proxy = &site.proxies[0];
    proxy.stop_announcements();
    proxy.endpoint.replace("i-unannounced");

    for i in 0..10 {
        let request = format!("r-{i}");
        assert_eq!(send_to_ledger_proxy(&site, "POST /write/x", &request).status(), 200);
        assert_eq!(run_count(&site, &request), 1);
    }
    assert!(
        proxy.endpoint.arrivals().iter().all(|it| !it.ran),
        "the new incarnation ran a request that was granted for the old one"
    );
}

#[test]
fn a_new_configuration_is_activated_and_an_older_version_ignored() {
    let site = start_site();
    let moved = config(7, &[("read", route("/read/", "idempotent", 2, &[("ledger", 1)]))]);
    site.store.put_config(moved);

    let activated = eventually(|| send_to_ledger_proxy(&site, "GET /read/x", "r-moved").body.starts_with(b"ledger"));
    site.store.put_config(two_routes(3));
    // Longer than the pause between a change and the next watch.
    thread::sleep(Duration::from_millis(1_000));

    assert!(activated);
    assert_eq!(send_to_ledger_proxy(&site, "POST /write/x", "r-dropped").status(), 404);
    assert!(
        send_to_ledger_proxy(&site, "GET /read/x", "r-kept").body.starts_with(b"ledger"),
        "version 3 replaced version 7"
    );
}

#[test]
fn rapid_configuration_changes_cost_few_store_calls_and_the_last_is_activated() {
    let site = start_site();
    let (calls_before, last) = (site.store.request_count(), 41);

    for version in 2..=last {
        site.store.put_config(two_routes(version));
        thread::sleep(Duration::from_millis(25));
    }

    assert!(eventually(|| site.proxies.iter().all(|it| it.status()["row"]["version"] == last)));
    let calls = site.store.request_count() - calls_before;
    assert!(calls <= 3 * 8, "three proxies made {calls} store calls for 40 changes in a second");
}

#[test]
fn a_weighted_route_keeps_its_weights() {
    let site = start_site();
    let weighted = route("/read/", "idempotent", 2, &[("desk", 3), ("ledger", 1)]);
    site.store.put_config(config(2, &[("read", weighted)]));
    assert!(eventually(|| send_to_ledger_proxy(&site, "GET /read/x", "r").body.starts_with(b"ledger")));

    let sent_to_ledger = (0..40)
        .filter(|i| send_to_ledger_proxy(&site, "GET /read/x", &format!("r-{i}")).body.starts_with(b"ledger"))
        .count();

    assert!((9..=11).contains(&sent_to_ledger), "{sent_to_ledger} of 40 requests went to ledger");
}

#[rstest]
#[case(StoreMode::Busy)]
#[case(StoreMode::Reset)]
fn a_proxy_that_restarts_without_the_store_recovers_from_its_peers_and_serves(#[case] mode: StoreMode) {
    let mut site = start_site();
    site.store.set_mode(mode);

    site.proxies[2].restart().expect("the proxy starts");

    assert!(eventually(|| site.proxies[2].is_ready()), "the proxy got no configuration from its peers");
    let served = eventually(|| {
        caller_request("POST /write/x", "r").send_and_read(site.proxies[2].callers).is_ok_and(|it| it.status() == 200)
    });
    assert!(served);
}

#[test]
fn lost_store_responses_leave_one_presence_object_per_proxy() {
    let mut site = Site::start().expect("the store starts");
    site.store.put_config(two_routes(1));
    site.store.set_mode(StoreMode::LosesAnswers);
    site.add_vm("desk", "dc-1", 2, WORK_TIME).expect("the proxy starts");
    site.add_vm("desk", "dc-1", 2, WORK_TIME).expect("the proxy starts");
    thread::sleep(Duration::from_millis(600));
    site.store.set_mode(StoreMode::Good);

    assert!(site.wait_until_ready(2));
    let mut names = site.store.object_names("jayreach-proxies");
    names.sort();
    assert_eq!(names, ["vm-1", "vm-2"]);
}

#[test]
fn a_configuration_change_is_found_after_the_store_compacts_its_history() {
    let site = start_site();
    thread::sleep(STARTUP_TIME);
    site.store.compact();
    site.store.put_config(config(9, &[("other", route("/other/", "idempotent", 2, &[("desk", 1)]))]));

    assert!(eventually(|| send_to_ledger_proxy(&site, "GET /other/x", "r").status() == 200));
    let calls_before = site.store.request_count();
    thread::sleep(Duration::from_millis(500));
    assert!(
        site.store.request_count() - calls_before <= 3,
        "the watches poll the store instead of waiting for a change"
    );
}

#[test]
fn a_proxy_without_a_configuration_is_not_ready_and_answers_503() {
    let mut site = Site::start().expect("the store starts");
    site.add_vm("desk", "dc-1", 2, WORK_TIME).expect("the proxy starts");
    assert!(eventually(|| caller_request("GET /read/x", "r").send_and_read(site.proxies[0].callers).is_ok()));

    let response = caller_request("GET /read/x", "r").send_and_read(site.proxies[0].callers).expect("a response");

    assert_eq!(response.status(), 503);
    assert!(response.header("retry-after").is_some());
    assert!(!site.proxies[0].is_ready());
}

#[test]
fn a_reload_of_invalid_settings_is_reported_and_keeps_the_current_ones() {
    let site = start_site();
    let proxy = &site.proxies[0];
    std::fs::write(proxy.settings_path(), "name = 3\n").expect("the settings file is written");

    proxy.signal(Signal::HUP);

    let reported = eventually(|| proxy.events().iter().any(|it| it["event"] == "reloaded" && it["changed"] == false));
    assert!(reported);
    assert_eq!(send_to_ledger_proxy(&site, "GET /read/x", "r").status(), 200);
}

#[test]
fn a_persistent_connection_carries_many_requests() {
    let site = start_site();
    let mut stream = caller_request("GET /read/x", "r-0").send(site.proxies[2].callers).expect("the connection opens");
    let mut reader = BufReader::new(stream.try_clone().expect("the socket can be cloned"));

    for i in 0..5 {
        let response = http::read_message(&mut reader).expect("a response").expect("the connection is still open");
        assert_eq!((response.status(), response.body), (200, format!("desk r-{i}").into_bytes()));
        let next = caller_request("GET /read/x", &format!("r-{}", i + 1)).encode();
        std::io::Write::write_all(&mut stream, &next).expect("the connection is open");
    }
    drop(stream);
    let mut rest = Vec::new();
    reader.read_to_end(&mut rest).ok();
}

#[test]
fn the_cause_of_a_failed_request_is_found_from_its_id() {
    let site = start_site();
    set_modes(&site, EndpointMode::FailsFast);
    send_to_ledger_proxy(&site, "POST /write/x", "r-gray");
    set_modes(&site, EndpointMode::Resets);
    send_to_ledger_proxy(&site, "POST /write/x", "r-lost");
    set_modes(&site, EndpointMode::Hangs);
    let open_requests: Vec<_> =
        (0..4).map(|i| caller_request("POST /write/x", &format!("r-held-{i}")).send(site.proxies[2].callers)).collect();
    thread::sleep(Duration::from_millis(100));
    send_to_ledger_proxy(&site, "POST /write/x", "r-refused");

    let (gray_cause, lost_cause, refused_cause) =
        (explained_cause(&site, "r-gray"), explained_cause(&site, "r-lost"), explained_cause(&site, "r-refused"));

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
    site.add_vm("desk", "dc-1", 2, SERVICE_TIME).expect("the proxy starts");
    assert!(site.wait_until_ready(1), "the proxy has not learnt of its endpoint");

    let response = caller_request("POST /write/x", "r-1").send_and_read(site.proxies[0].callers).expect("a response");
    let slot_times = slot_millis(&site);

    assert_eq!(response.status(), 200);
    let total = |name: &str| slot_times.iter().find(|it| it.0 == name).map_or(0, |it| it.1);
    assert!(total("answered") >= 900, "{slot_times:?}");
    assert!(total("offered") < total("answered") / 2, "{slot_times:?}");
}

/// Slot time of the first proxy's endpoint in milliseconds, by use, from the proxy's metrics.
fn slot_millis(site: &Site) -> Vec<(String, u64)> {
    let metrics = CallerRequest {
        method_and_target: "GET /metrics",
        host: "metrics",
        request_id: "",
        deadline: WORK_TIME * 100,
        body: b"",
    };
    let response = metrics.send_and_read(site.proxies[0].metrics).expect("the metrics are served");
    let text = String::from_utf8(response.body).expect("the metrics are UTF-8");
    let lines = text.lines().filter_map(|it| it.strip_prefix("jayreach_slot_milliseconds_total{use=\""));
    lines.filter_map(|it| it.split_once("\"} ")).map(|it| (it.0.to_owned(), it.1.parse().unwrap_or(0))).collect()
}

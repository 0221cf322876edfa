//! The users' platform's form through real proxies: what callers and endpoints see.

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

/// After this a fleet that has started asks the store for nothing but watches.
const SETTLED: Duration = Duration::from_secs(6);

#[test]
fn a_request_reaches_its_service_and_comes_back_whole() {
    let site = start_site();
    let post = CallerRequest { body: b"a charge", ..caller_request("POST /write/a?b=c", "r-1") };

    let answer = post.send_and_read(site.proxies[2].callers).expect("an answer");

    assert_eq!(answer.status(), 200, "{answer:?}");
    assert_eq!(answer.body, b"desk r-1");
    assert_eq!(answer.header("x-response-seal"), Some("seal-r-1"));
    let [arrival] = &arrivals_of(&site, "r-1")[..] else { panic!("one arrival") };
    assert_eq!(arrival.line, "POST /write/a?b=c");
    assert_eq!(arrival.body, b"a charge");
    assert_eq!(arrival.caller, "ledger", "the service beside the ingress, whatever the caller wrote");
    assert!((1..=2_000).contains(&arrival.deadline_ms), "the route's timeout bounds {}", arrival.deadline_ms);
}

#[rstest]
#[case("GET /nowhere/x", HOST, "r", 404)]
#[case("GET /read", HOST, "r", 404)]
#[case("GET /read/x", "other.example", "r", 404)]
#[case("GET /read/x", HOST, "", 400)]
fn what_is_not_allowed_is_refused_and_runs_nowhere(
    #[case] line: &str,
    #[case] host: &str,
    #[case] request: &str,
    #[case] status: u16,
) {
    let site = start_site();

    let answer = CallerRequest { host, ..caller_request(line, request) }
        .send_and_read(site.proxies[2].callers)
        .expect("an answer");

    assert_eq!(answer.status(), status);
    assert!(desk_endpoints(&site).iter().all(|it| it.arrivals().is_empty()));
}

#[test]
fn too_long_a_body_or_head_is_refused_and_others_go_on() {
    let site = start_site();
    let body = vec![b'x'; 70_000];
    let long = format!("GET /read/{} HTTP/1.1", "y".repeat(40_000));

    let body = CallerRequest { body: &body, ..caller_request("POST /write/x", "r-long") }
        .send_and_read(site.proxies[2].callers);
    let head = caller_request(&long, "r-head").send_and_read(site.proxies[2].callers);
    let other = send_to_ledger_proxy(&site, "GET /read/x", "r-other");

    assert_eq!(body.expect("an answer").status(), 413);
    assert!(head.is_err() || matches!(head.expect("just looked").status(), 400 | 414 | 431));
    assert_eq!(other.status(), 200);
}

#[test]
fn a_head_that_comes_too_slowly_is_told_so_and_an_idle_connection_is_kept() {
    let site = start_site();
    let proxy = site.proxies[2].callers;
    let mut idle = caller_request("GET /read/x", "r-first").send(proxy).expect("a connection");
    let first = http::read_message(&mut BufReader::new(idle.try_clone().expect("a handle"))).expect("an answer");
    let mut slow = TcpStream::connect(proxy).expect("a connection");
    slow.write_all(b"GET /read/x HTTP/1.1\r\nHost: desk.ex").expect("it is sent");

    // The limit of a head is 1 s, that of an idle connection 5 s.
    let told = http::read_message(&mut BufReader::new(slow)).expect("an answer").expect("not the end");
    idle.write_all(&caller_request("GET /read/x", "r-second").encode()).expect("it is sent");
    let second = http::read_message(&mut BufReader::new(idle)).expect("an answer");

    assert_eq!(told.status(), 408);
    assert_eq!(told.header("connection"), Some("close"));
    assert_eq!(first.expect("not the end").status(), 200);
    assert_eq!(second.expect("it was idle, not slow").status(), 200);
}

#[rstest]
#[case(EndpointMode::FailsFast)]
#[case(EndpointMode::FailsSlowly)]
#[case(EndpointMode::Resets)]
#[case(EndpointMode::Truncates)]
#[case(EndpointMode::AnswersAnother)]
#[case(EndpointMode::Unsealed)]
#[case(EndpointMode::Sheds)]
fn idempotent_work_is_served_by_the_sound_endpoint(#[case] mode: EndpointMode) {
    let site = start_site();
    desk_endpoints(&site)[0].set_mode(mode);

    for at in 0..10 {
        let request = format!("r-{at}");
        let answer = send_to_ledger_proxy(&site, "GET /read/x", &request);

        assert_eq!(answer.status(), 200, "{mode:?} {request}: {answer:?}");
        assert_eq!(answer.body, format!("desk {request}").into_bytes());
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
fn work_that_may_have_run_is_never_repeated_nor_called_not_run(#[case] mode: EndpointMode, #[case] status: u16) {
    let site = start_site();
    set_modes(&site, mode);

    let answer = send_to_ledger_proxy(&site, "POST /write/x", "r-1");

    assert_eq!(answer.status(), status, "{answer:?}");
    assert_eq!(run_count(&site, "r-1"), 1);
}

#[test]
fn work_that_all_endpoints_decline_is_refused_as_not_run() {
    let site = start_site();
    set_modes(&site, EndpointMode::Sheds);

    let answer = send_to_ledger_proxy(&site, "POST /write/x", "r-1");

    assert_eq!(answer.status(), 503);
    assert!(answer.header("retry-after").is_some(), "a refused caller is told when to come back");
    assert_eq!(run_count(&site, "r-1"), 0);
    assert!(arrivals_of(&site, "r-1").len() <= 2, "no more endpoints than the route allows");
}

#[rstest]
#[case(EndpointMode::SaysMore)]
#[case(EndpointMode::Unframed)]
fn odd_answers_that_are_whole_are_passed_on(#[case] mode: EndpointMode) {
    let site = start_site();
    set_modes(&site, mode);

    for at in 0..6 {
        let request = format!("r-{at}");
        let answer = send_to_ledger_proxy(&site, "POST /write/x", &request);

        assert_eq!((answer.status(), answer.body), (200, format!("desk {request}").into_bytes()));
        assert_eq!(run_count(&site, &request), 1);
    }
}

#[test]
fn an_endpoint_that_fails_fast_bears_no_work_that_must_not_repeat() {
    let site = start_site();
    let bad = &desk_endpoints(&site)[0];
    bad.set_mode(EndpointMode::FailsFast);
    for at in 0..8 {
        send_to_ledger_proxy(&site, "GET /read/x", &format!("warm-{at}"));
    }

    let statuses: Vec<u16> =
        (0..20).map(|at| send_to_ledger_proxy(&site, "POST /write/x", &format!("w-{at}")).status()).collect();

    assert!(statuses.iter().all(|it| *it == 200), "{statuses:?}");
    bad.set_mode(EndpointMode::Good);
    let cleared = eventually(|| {
        send_to_ledger_proxy(&site, "GET /read/x", "again");
        site.proxies[0].status()["row"]["endpoint"]["standing"] == "clean"
    });
    assert!(cleared, "good answers clear it");
}

#[test]
fn an_endpoint_never_works_on_more_than_its_slots() {
    let site = start_site();

    let answers: Vec<_> = thread::scope(|scope| {
        let send = |at: usize| send_to_ledger_proxy(&site, "POST /write/x", &format!("r-{at}")).status();
        let threads: Vec<_> = (0..24).map(|at| scope.spawn(move || send(at))).collect();
        threads.into_iter().map(|it| it.join().expect("a caller")).collect()
    });

    assert!(answers.iter().all(|it| *it == 200), "{answers:?}");
    assert!(desk_endpoints(&site).iter().all(|it| it.max_running() <= 2));
}

#[test]
fn a_caller_that_leaves_frees_the_endpoint() {
    let site = start_site();
    set_modes(&site, EndpointMode::Hangs);

    let stream = caller_request("GET /read/x", "r-1").send(site.proxies[2].callers).expect("a connection");
    assert!(eventually(|| arrivals_of(&site, "r-1").len() == 1));
    let left = Instant::now();
    drop(stream);

    assert!(eventually(|| arrivals_of(&site, "r-1").iter().all(|it| it.cut_off)));
    assert!(left.elapsed() < Duration::from_millis(500), "{:?}", left.elapsed());
}

#[test]
fn a_route_s_timeout_ends_the_wait() {
    let site = start_site();
    set_modes(&site, EndpointMode::Hangs);
    let start = Instant::now();

    let answer = send_to_ledger_proxy(&site, "POST /write/x", "r-1");

    assert_eq!(answer.status(), 504);
    assert!(start.elapsed() < Duration::from_millis(2_500), "{:?}", start.elapsed());
}

#[test]
fn a_leaving_endpoint_gets_no_work_once_its_word_is_acknowledged() {
    let site = start_site();
    let proxy = &site.proxies[0];
    proxy.stop_announcements();

    let status = proxy.endpoint.announce(proxy.announcements, true).expect("an acknowledgement");
    let before = proxy.endpoint.arrivals().len();
    for at in 0..10 {
        assert_eq!(send_to_ledger_proxy(&site, "POST /write/x", &format!("r-{at}")).status(), 200);
    }

    assert_eq!(status, 200);
    assert_eq!(proxy.endpoint.arrivals().len(), before);
}

#[test]
fn late_words_of_an_earlier_incarnation_change_nothing() {
    let site = start_site();
    let proxy = &site.proxies[0];
    proxy.stop_announcements();
    thread::sleep(Duration::from_millis(400));
    let earlier = proxy.endpoint.incarnation();
    proxy.endpoint.replace("i-new");
    proxy.endpoint.announce(proxy.announcements, false).expect("an acknowledgement");

    proxy.endpoint.announce_as(proxy.announcements, &earlier, "ready", 99).expect("an acknowledgement");
    proxy.endpoint.announce_as(proxy.announcements, &earlier, "draining", 100).expect("an acknowledgement");

    assert_eq!(proxy.status()["row"]["endpoint"]["id"]["name"], "i-new");
    for at in 0..6 {
        assert_eq!(send_to_ledger_proxy(&site, "POST /write/x", &format!("r-{at}")).status(), 200);
    }
}

#[test]
fn work_for_an_incarnation_that_is_gone_runs_nowhere_else() {
    let site = start_site();
    let proxy = &site.proxies[0];
    proxy.stop_announcements();
    proxy.endpoint.replace("i-unannounced");

    for at in 0..10 {
        let request = format!("r-{at}");
        assert_eq!(send_to_ledger_proxy(&site, "POST /write/x", &request).status(), 200);
        assert_eq!(run_count(&site, &request), 1);
    }
    assert!(proxy.endpoint.arrivals().iter().all(|it| !it.ran), "another incarnation ran what was not meant for it");
}

#[test]
fn a_new_configuration_is_in_force_at_once_and_an_old_one_never_again() {
    let site = start_site();
    let moved = config(7, &[("read", route("/read/", "idempotent", 2, &[("ledger", 1)]))]);
    site.store.put_config(moved);

    let in_force = eventually(|| send_to_ledger_proxy(&site, "GET /read/x", "r-moved").body.starts_with(b"ledger"));
    site.store.put_config(two_routes(3));
    // Longer than the pause between a change and the next watch.
    thread::sleep(Duration::from_millis(1_000));

    assert!(in_force);
    assert_eq!(send_to_ledger_proxy(&site, "POST /write/x", "r-dropped").status(), 404);
    assert!(
        send_to_ledger_proxy(&site, "GET /read/x", "r-kept").body.starts_with(b"ledger"),
        "version 3 does not replace version 7"
    );
}

#[test]
fn a_storm_of_configurations_costs_few_calls_and_ends_with_the_last() {
    let site = start_site();
    let (before, last) = (site.store.request_count(), 41);

    for version in 2..=last {
        site.store.put_config(two_routes(version));
        thread::sleep(Duration::from_millis(25));
    }

    assert!(eventually(|| site.proxies.iter().all(|it| it.status()["row"]["version"] == last)));
    let calls = site.store.request_count() - before;
    assert!(calls <= 3 * 8, "{calls} calls of three proxies for 40 changes in a second");
}

#[test]
fn a_split_route_keeps_its_shares() {
    let site = start_site();
    let split = route("/read/", "idempotent", 2, &[("desk", 3), ("ledger", 1)]);
    site.store.put_config(config(2, &[("read", split)]));
    assert!(eventually(|| send_to_ledger_proxy(&site, "GET /read/x", "r").body.starts_with(b"ledger")));

    let ledger = (0..40)
        .filter(|at| send_to_ledger_proxy(&site, "GET /read/x", &format!("r-{at}")).body.starts_with(b"ledger"))
        .count();

    assert!((9..=11).contains(&ledger), "{ledger} of 40");
}

#[rstest]
#[case(StoreMode::Busy)]
#[case(StoreMode::Reset)]
fn without_the_store_requests_go_on_and_a_restarted_proxy_learns_from_its_peers(#[case] mode: StoreMode) {
    let mut site = start_site();
    site.store.set_mode(mode);

    site.proxies[2].restart().expect("a proxy");

    assert!(eventually(|| site.proxies[2].is_ready()), "its configuration comes from a peer");
    let served = eventually(|| {
        caller_request("POST /write/x", "r").send_and_read(site.proxies[2].callers).is_ok_and(|it| it.status() == 200)
    });
    assert!(served);
}

#[test]
fn a_store_that_loses_answers_gets_one_object_for_each_proxy() {
    let mut site = Site::start().expect("a store");
    site.store.put_config(two_routes(1));
    site.store.set_mode(StoreMode::LosesAnswers);
    site.add_vm("desk", "dc-1", 2, WORK_TIME).expect("a proxy");
    site.add_vm("desk", "dc-1", 2, WORK_TIME).expect("a proxy");
    thread::sleep(Duration::from_millis(600));
    site.store.set_mode(StoreMode::Good);

    assert!(site.wait_until_ready(2));
    let mut names = site.store.object_names("jayreach-proxies");
    names.sort();
    assert_eq!(names, ["vm-1", "vm-2"]);
}

#[test]
fn a_configuration_is_found_again_when_the_history_is_gone() {
    let site = start_site();
    thread::sleep(SETTLED);
    site.store.compact();
    site.store.put_config(config(9, &[("other", route("/other/", "idempotent", 2, &[("desk", 1)]))]));

    assert!(eventually(|| send_to_ledger_proxy(&site, "GET /other/x", "r").status() == 200));
    let calls = site.store.request_count();
    thread::sleep(Duration::from_millis(500));
    assert!(site.store.request_count() - calls <= 3, "a watch waits; it does not ask again and again");
}

#[test]
fn a_proxy_without_a_configuration_says_so_and_promises_nothing_else() {
    let mut site = Site::start().expect("a store");
    site.add_vm("desk", "dc-1", 2, WORK_TIME).expect("a proxy");
    assert!(eventually(|| caller_request("GET /read/x", "r").send_and_read(site.proxies[0].callers).is_ok()));

    let answer = caller_request("GET /read/x", "r").send_and_read(site.proxies[0].callers).expect("an answer");

    assert_eq!(answer.status(), 503);
    assert!(answer.header("retry-after").is_some());
    assert!(!site.proxies[0].is_ready());
}

#[test]
fn bad_settings_are_told_and_the_good_ones_stay() {
    let site = start_site();
    let proxy = &site.proxies[0];
    std::fs::write(proxy.settings_path(), "name = 3\n").expect("a file");

    proxy.signal(Signal::HUP);

    let told = eventually(|| proxy.events().iter().any(|it| it["event"] == "reloaded" && it["changed"] == false));
    assert!(told);
    assert_eq!(send_to_ledger_proxy(&site, "GET /read/x", "r").status(), 200);
}

#[test]
fn a_kept_connection_carries_many_requests() {
    let site = start_site();
    let mut stream = caller_request("GET /read/x", "r-0").send(site.proxies[2].callers).expect("a connection");
    let mut reader = BufReader::new(stream.try_clone().expect("a handle"));

    for at in 0..5 {
        let answer = http::read_message(&mut reader).expect("an answer").expect("not just an end");
        assert_eq!((answer.status(), answer.body), (200, format!("desk r-{at}").into_bytes()));
        let next = caller_request("GET /read/x", &format!("r-{}", at + 1)).encode();
        std::io::Write::write_all(&mut stream, &next).expect("the connection is open");
    }
    drop(stream);
    let mut rest = Vec::new();
    reader.read_to_end(&mut rest).ok();
}

#[test]
fn three_kinds_of_failed_request_are_explained_from_their_ids() {
    let site = start_site();
    set_modes(&site, EndpointMode::FailsFast);
    send_to_ledger_proxy(&site, "POST /write/x", "r-gray");
    set_modes(&site, EndpointMode::Resets);
    send_to_ledger_proxy(&site, "POST /write/x", "r-lost");
    set_modes(&site, EndpointMode::Hangs);
    let held: Vec<_> = (0..4)
        .map(|at| caller_request("POST /write/x", &format!("r-held-{at}")).send(site.proxies[2].callers))
        .collect();
    thread::sleep(Duration::from_millis(100));
    send_to_ledger_proxy(&site, "POST /write/x", "r-refused");

    let (gray, lost, refused) =
        (explained_cause(&site, "r-gray"), explained_cause(&site, "r-lost"), explained_cause(&site, "r-refused"));

    drop(held);
    assert!(gray.contains("answered 500 itself") && gray.contains("suspect of failing gray"), "{gray}");
    assert!(lost.contains("Broken") && lost.contains("It may have run"), "{lost}");
    assert!(refused.contains("No place became free") && refused.contains("It has not run"), "{refused}");
}

#[test]
fn a_place_in_use_is_not_accounted_for_as_offered() {
    const LONG: Duration = Duration::from_millis(1_000);
    let mut site = Site::start().expect("a store");
    site.store.put_config(two_routes(1));
    site.add_vm("desk", "dc-1", 2, LONG).expect("a proxy");
    assert!(site.wait_until_ready(1), "the proxy knows its endpoint");

    let answer = caller_request("POST /write/x", "r-1").send_and_read(site.proxies[0].callers).expect("an answer");
    let uses = slot_millis(&site);

    assert_eq!(answer.status(), 200);
    let sum_of = |name: &str| uses.iter().find(|it| it.0 == name).map_or(0, |it| it.1);
    assert!(sum_of("answered") >= 900, "{uses:?}");
    assert!(sum_of("offered") < sum_of("answered") / 2, "{uses:?}");
}

/// The account of the first proxy's slots.
fn slot_millis(site: &Site) -> Vec<(String, u64)> {
    let metrics =
        CallerRequest { line: "GET /metrics", host: "metrics", request: "", deadline: WORK_TIME * 100, body: b"" };
    let answer = metrics.send_and_read(site.proxies[0].metrics).expect("metrics");
    let text = String::from_utf8(answer.body).expect("text");
    let lines = text.lines().filter_map(|it| it.strip_prefix("jayreach_slot_milliseconds_total{use=\""));
    lines.filter_map(|it| it.split_once("\"} ")).map(|it| (it.0.to_owned(), it.1.parse().unwrap_or(0))).collect()
}

//! End-to-end tests with a store, daemons and endpoints as separate processes.

use std::{
    fs,
    io::Read as _,
    net::{SocketAddr, TcpListener},
    path::Path,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
};

use rstest::rstest;
use rustix::process::Signal;
use standins::{
    deployment::{prairie, repository_file},
    endpoint::EndpointFault,
    fleet::{EndpointProfile, Fleet, TOKEN, fetch_status},
    history,
    load::{self, Load},
};
use ureq::{Agent, Body, http::Response};

const ENDPOINT_PROFILE: EndpointProfile = EndpointProfile { slots: 4, service_ms: 5, cold_start_ms: 0 };

fn small_fleet() -> Fleet {
    let mut fleet = Fleet::start().expect("a store");
    for data_centre in ["dc-1", "dc-2"] {
        fleet.add_daemon(data_centre).expect("a daemon");
    }
    for (at, service) in ["portal", "vouchers", "billing", "billing"].into_iter().enumerate() {
        fleet.add_endpoint(service, at % 2, ENDPOINT_PROFILE).expect("an endpoint");
    }
    fleet.apply(&repository_file("samples/prairie.toml")).expect("the sample is accepted");
    fleet.wait_for_endpoints(4).expect("all endpoints are eligible");
    fleet
}

fn agent() -> Agent {
    Agent::new_with_config(Agent::config_builder().http_status_as_error(false).build())
}

fn call(address: SocketAddr, path: &str, ticket: Option<&str>, token: &str, body: &str) -> Response<Body> {
    let mut req = agent().post(format!("http://{address}{path}")).header("Authorization", format!("Bearer {token}"));
    req = req.header("X-Operation", body);
    if let Some(ticket) = ticket {
        req = req.header("Jayreach-Ticket", ticket);
    }
    req.send(body).expect("an answer")
}

fn outcome(resp: &Response<Body>) -> (u16, &str) {
    let header = resp.headers().get("Jayreach-Outcome").and_then(|it| it.to_str().ok());
    (resp.status().as_u16(), header.unwrap_or("none"))
}

fn ticket(address: SocketAddr) -> String {
    let resp = call(address, "/billing/charges", None, TOKEN, "no-ticket");
    assert_eq!(outcome(&resp), (428, "not-run"));
    resp.headers()["Jayreach-Ticket"].to_str().expect("a ticket").to_owned()
}

#[test]
fn a_charge_a_voucher_and_a_lookup_reach_their_endpoints() {
    let fleet = small_fleet();
    let callers = fleet.callers();

    let charge_ticket = ticket(callers[0]);
    let charge = call(callers[0], "/billing/charges", Some(&charge_ticket), TOKEN, "charge-1");
    let voucher = call(callers[1], "/vouchers/new?x=1", Some(&ticket(callers[0])), TOKEN, "voucher-1");
    let mut lookup = call(callers[1], "/portal", None, "", "lookup-1");

    assert_eq!(outcome(&charge), (200, "done"));
    assert_eq!(outcome(&voucher), (200, "done"));
    assert_eq!(outcome(&lookup), (200, "done"));
    assert_eq!(lookup.body_mut().read_to_string().expect("a body"), "lookup-1");

    let mut again = call(callers[1], "/billing/charges", Some(&charge_ticket), TOKEN, "charge-1");
    let other = call(callers[1], "/billing/charges", Some(&charge_ticket), TOKEN, "charge-2");
    let refused = call(callers[0], "/billing/charges", Some(&charge_ticket), "wrong", "charge-1");

    assert_eq!(outcome(&again), (200, "done"));
    assert_eq!(again.body_mut().read_to_string().expect("a body"), "charge-1");
    assert_eq!(outcome(&other), (422, "not-run"));
    assert_eq!(outcome(&refused), (401, "unknown"), "the ticket's operation ran, so the outcome must not be not-run");
    let runs = fleet.read_run_logs().expect("the run logs");
    assert_eq!(runs.iter().filter(|it| ***it == *"charge-1").count(), 1);
    assert!(!runs.iter().any(|it| **it == *"charge-2"));
    fleet.close();
}

#[test]
fn refused_requests_are_reported_as_not_run() {
    let fleet = small_fleet();
    let caller = fleet.callers()[0];
    let too_large = "x".repeat((1 << 20) + 1);

    let no_route = call(caller, "/nowhere", None, TOKEN, "a");
    let no_account = call(caller, "/vouchers", Some(&ticket(caller)), "wrong", "b");
    let bad_ticket = call(caller, "/vouchers", Some("what"), TOKEN, "c");
    let large = agent().post(format!("http://{caller}/portal")).send(&too_large).expect("an answer");

    assert_eq!(outcome(&no_route), (404, "not-run"));
    assert_eq!(outcome(&no_account), (401, "not-run"));
    assert_eq!(outcome(&bad_ticket), (400, "not-run"));
    assert_eq!(outcome(&large), (413, "not-run"));
    assert!(fleet.read_run_logs().expect("the run logs").is_empty());
    fleet.close();
}

#[test]
fn a_change_is_activated_everywhere_and_a_concurrent_one_is_refused() {
    let fleet = small_fleet();
    let dir = std::env::temp_dir().join(format!("jayreach-change-{}", std::process::id()));
    fs::create_dir_all(&dir).expect("a folder");
    let shown = fleet.run_command(&["show"]).expect("the targets").1;
    let (first, second) = (dir.join("mine.toml"), dir.join("theirs.toml"));
    fs::write(&first, shown.replace("importance = 30", "importance = 31")).expect("a file");
    fs::write(&second, shown.replace("importance = 30", "importance = 32")).expect("a file");

    let applied = fleet.apply(&first).expect("the change is accepted");
    let refused =
        fleet.run_command(&["apply", path(&second), "--why", "racing", "--who", "second"]).expect("a command");

    assert!(applied.contains("in force in all 2 daemons"), "{applied}");
    assert_eq!(refused.0, Some(3), "{}", refused.1);
    assert!(
        refused.1.contains("version 2 is in force") && refused.1.contains("by operator (stand-in)"),
        "{}",
        refused.1
    );
    let versions: Vec<_> =
        fleet.daemons.iter().map(|it| fetch_status(it.local).expect("a status")["config_version"].as_u64()).collect();
    assert_eq!(versions, [Some(2), Some(2)]);
    let audit = fleet.run_command(&["audit", "--last", "1"]).expect("a command").1;
    assert!(audit.contains("version 2") && audit.contains("~ class lookup"), "{audit}");
    fs::remove_dir_all(dir).expect("the folder is removed");
    fleet.close();
}

fn path(it: &Path) -> &str {
    it.to_str().expect("a path in UTF-8")
}

#[test]
fn operator_commands_show_and_drain_a_daemon() {
    let mut fleet = small_fleet();
    let (local, caller) = (fleet.daemons[0].local.to_string(), fleet.callers()[0]);
    let sample = repository_file("samples/prairie.toml");
    let used = ticket(caller);
    call(caller, "/billing/charges", Some(&used), TOKEN, "charge-1");
    let run = |args: &[&str]| fleet.run_command(args).expect("a command");

    let checked = run(&["check", path(&sample)]);
    let diff = run(&["diff", path(&sample), "--json"]);
    let status = run(&["status", "--daemon", &local]);
    let ticket_status = run(&["ticket", "--callers", &caller.to_string(), &used]);
    let no_daemon = run(&["apply", path(&sample), "--why", "x", "--wait"]);
    let drained = run(&["drain", "--daemon", &local]);

    assert!(checked.1.contains("3 classes, 3 services, 3 routes, 1 accounts"), "{}", checked.1);
    assert_eq!(diff.1.trim(), "[]");
    assert!(status.1.contains("phase: serving") && status.1.contains("state=serving"), "{}", status.1);
    assert!(ticket_status.1.contains(r#""state":"done","status":200"#), "{}", ticket_status.1);
    assert_eq!(no_daemon.0, Some(1), "{}", no_daemon.1);
    assert_eq!(drained.0, Some(0));
    wait_for_exit(&mut fleet);
    fleet.close();
}

fn wait_for_exit(fleet: &mut Fleet) {
    for _ in 0..200 {
        if fleet.daemons[0].process.has_exited() {
            return;
        }
        thread::sleep(Duration::from_millis(50));
    }
    panic!("the drained daemon is still running after 10 s");
}

#[rstest]
#[case("/billing/charges", 1)]
#[case("/portal", 4)]
fn an_unanswered_charge_is_sent_once_and_a_lookup_at_most_four_times(#[case] path: &str, #[case] max_requests: usize) {
    let mut fleet = Fleet::start().expect("a store");
    fleet.add_daemon("dc-1").expect("a daemon");
    let listener = TcpListener::bind("127.0.0.1:0").expect("a listener");
    let address = listener.local_addr().expect("an address");
    let received = Arc::new(AtomicUsize::new(0));
    let count = Arc::clone(&received);
    thread::spawn(move || {
        for stream in listener.incoming() {
            // Reads the request, or its cancellation, and closes the connection without a response.
            let mut buf = [0; 4096];
            let read = stream.and_then(|mut it| it.read(&mut buf)).unwrap_or(0);
            count.fetch_add(usize::from(buf[..read].starts_with(b"POST")), Ordering::AcqRel);
        }
    });
    for service in ["billing", "portal"] {
        let body = format!(r#"{{"service":"{service}","address":"{address}","slots":2,"state":"serving"}}"#);
        let sent = ureq::post(format!("http://{}/announce", fleet.daemons[0].local)).send(&body);
        sent.expect("the announcement is accepted");
        fleet.apply(&repository_file("samples/prairie.toml")).expect("the sample is accepted");
        fleet.wait_for_endpoints(1).expect("the endpoint is eligible");
        if path.contains(service) {
            break;
        }
    }
    let caller = fleet.callers()[0];

    let charge = call(caller, path, Some(&ticket(caller)), TOKEN, "charge-1");

    assert_eq!(outcome(&charge), (504, "unknown"));
    let requests = received.load(Ordering::Acquire);
    assert!(
        (1..=max_requests).contains(&requests),
        "the endpoint received {requests} requests, expected 1 to {max_requests}"
    );
    fleet.close();
}

#[test]
fn a_graceful_stop_under_load_loses_no_outcome() {
    let mut fleet = prairie().start(3).expect("the deployment");
    let load = Load {
        mix: prairie().mix,
        rate: 150.0,
        duration: Duration::from_secs(6),
        seed: 3,
        workers: 32,
        retries_unknown: false,
    };
    let callers = fleet.callers();

    let history = thread::scope(|scope| {
        let running = scope.spawn(|| load::run(&load, &callers));
        thread::sleep(Duration::from_secs(2));
        assert!(fleet.daemons[1].process.stop(), "the daemon exits with success");
        running.join().expect("the load does not panic")
    });

    let report = history::check(&load.mix, &history, &fleet.read_run_logs().expect("the run logs"));
    assert!(report.passed(), "{report}");
    assert_eq!(report.unknown_but_ran, 0, "{report}");
    fleet.close();
}

/// The first attempt gets six tenths of the caller's time; a stopping daemon waits for longer than any class may take.
#[test]
fn a_stopping_daemon_has_a_long_request_run_at_another_endpoint() {
    let mut fleet = Fleet::start().expect("a store");
    for _ in 0..3 {
        fleet.add_daemon("dc-1").expect("a daemon");
    }
    for daemon in [1, 2] {
        fleet.add_endpoint("portal", daemon, ENDPOINT_PROFILE).expect("an endpoint");
    }
    fleet.apply(&repository_file("samples/prairie.toml")).expect("the sample is accepted");
    fleet.wait_for_endpoints(2).expect("all endpoints are eligible");
    let set_hangs = |endpoint: usize, hangs: f64| {
        let fault = EndpointFault { hangs, ..EndpointFault::default() };
        fleet.set_fault(fleet.endpoints[endpoint].address, &fault).expect("the endpoint takes the fault");
    };
    let runs_at = |endpoint: usize| fs::read_to_string(&fleet.endpoints[endpoint].log).unwrap_or_default();
    set_hangs(0, 1.0);
    set_hangs(1, 1.0);
    let address = fleet.callers()[0];

    let status = thread::scope(|scope| {
        let caller = scope.spawn(|| call(address, "/portal/x", None, TOKEN, "long").status().as_u16());
        let arrived = (0..500).find_map(|_| {
            thread::sleep(Duration::from_millis(10));
            (0..2).find(|it| !runs_at(*it).is_empty())
        });
        set_hangs(1 - arrived.expect("the request runs at an endpoint"), 0.0);
        fleet.daemons[0].process.signal(Signal::TERM);
        caller.join().expect("the caller does not panic")
    });

    assert_eq!(status, 200);
    assert_eq!(fleet.read_run_logs().expect("the run logs").len(), 2);
    fleet.close();
}

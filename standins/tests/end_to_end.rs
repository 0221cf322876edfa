//! The whole path through separate processes: store, daemons, endpoints, callers.

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
use standins::{
    deployment::{prairie, repository_file},
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
    fleet.wait_for_endpoints(4).expect("all endpoints are seen");
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
    assert_eq!(outcome(&refused), (401, "unknown"), "the ticket's work ran, so \"not-run\" would mislead");
    let runs = fleet.read_run_logs().expect("the run logs");
    assert_eq!(runs.iter().filter(|it| ***it == *"charge-1").count(), 1);
    assert!(!runs.iter().any(|it| **it == *"charge-2"));
    fleet.close();
}

#[test]
fn refusals_say_that_nothing_ran() {
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
fn a_change_is_in_force_everywhere_and_a_racing_one_names_the_winner() {
    let fleet = small_fleet();
    let dir = std::env::temp_dir().join(format!("jayreach-change-{}", std::process::id()));
    fs::create_dir_all(&dir).expect("a folder");
    let shown = fleet.run_command(&["show"]).expect("the targets").1;
    let (mine, theirs) = (dir.join("mine.toml"), dir.join("theirs.toml"));
    fs::write(&mine, shown.replace("importance = 30", "importance = 31")).expect("a file");
    fs::write(&theirs, shown.replace("importance = 30", "importance = 32")).expect("a file");

    let applied = fleet.apply(&mine).expect("the change is accepted");
    let lost = fleet.run_command(&["apply", path(&theirs), "--why", "racing", "--who", "second"]).expect("a command");

    assert!(applied.contains("in force in all 2 daemons"), "{applied}");
    assert_eq!(lost.0, Some(3), "{}", lost.1);
    assert!(lost.1.contains("version 2 is in force") && lost.1.contains("by operator (stand-in)"), "{}", lost.1);
    let versions: Vec<_> =
        fleet.daemons.iter().map(|it| fetch_status(it.local).expect("a status")["config_version"].as_u64()).collect();
    assert_eq!(versions, [Some(2), Some(2)]);
    let audit = fleet.run_command(&["audit", "--last", "1"]).expect("a command").1;
    assert!(audit.contains("version 2") && audit.contains("~ class lookup"), "{audit}");
    fs::remove_dir_all(dir).expect("the folder goes");
    fleet.close();
}

fn path(it: &Path) -> &str {
    it.to_str().expect("a path in UTF-8")
}

#[test]
fn operators_see_and_steer_a_daemon() {
    let mut fleet = small_fleet();
    let (local, caller) = (fleet.daemons[0].local.to_string(), fleet.callers()[0]);
    let sample = repository_file("samples/prairie.toml");
    let used = ticket(caller);
    call(caller, "/billing/charges", Some(&used), TOKEN, "charge-1");
    let run = |args: &[&str]| fleet.run_command(args).expect("a command");

    let checked = run(&["check", path(&sample)]);
    let diff = run(&["diff", path(&sample), "--json"]);
    let status = run(&["status", "--daemon", &local]);
    let known = run(&["ticket", "--callers", &caller.to_string(), &used]);
    let no_daemon = run(&["apply", path(&sample), "--why", "x", "--wait"]);
    let drained = run(&["drain", "--daemon", &local]);

    assert!(checked.1.contains("3 classes, 3 services, 3 routes, 1 accounts"), "{}", checked.1);
    assert_eq!(diff.1.trim(), "[]");
    assert!(status.1.contains("phase: serving") && status.1.contains("state=serving"), "{}", status.1);
    assert!(known.1.contains(r#""state":"done","status":200"#), "{}", known.1);
    assert_eq!(no_daemon.0, Some(1), "{}", no_daemon.1);
    assert_eq!(drained.0, Some(0));
    wait_for_end(&mut fleet);
    fleet.close();
}

fn wait_for_end(fleet: &mut Fleet) {
    for _ in 0..200 {
        if fleet.daemons[0].process.has_exited() {
            return;
        }
        thread::sleep(Duration::from_millis(50));
    }
    panic!("a drained daemon ends");
}

#[rstest]
#[case("/billing/charges", 1)]
#[case("/portal", 4)]
fn a_charge_is_written_once_and_a_lookup_a_few_times_however_they_end(#[case] path: &str, #[case] most: usize) {
    let mut fleet = Fleet::start().expect("a store");
    fleet.add_daemon("dc-1").expect("a daemon");
    let silent = TcpListener::bind("127.0.0.1:0").expect("a listener");
    let address = silent.local_addr().expect("an address");
    let written = Arc::new(AtomicUsize::new(0));
    let count = Arc::clone(&written);
    thread::spawn(move || {
        for stream in silent.incoming() {
            // It reads the request, or its cancellation, and closes the connection without an answer.
            let mut buf = [0; 4096];
            let read = stream.and_then(|mut it| it.read(&mut buf)).unwrap_or(0);
            count.fetch_add(usize::from(buf[..read].starts_with(b"POST")), Ordering::AcqRel);
        }
    });
    for service in ["billing", "portal"] {
        let body = format!(r#"{{"service":"{service}","address":"{address}","slots":2,"state":"serving"}}"#);
        let sent = ureq::post(format!("http://{}/announce", fleet.daemons[0].local)).send(&body);
        sent.expect("the announcement is taken");
        fleet.apply(&repository_file("samples/prairie.toml")).expect("the sample is accepted");
        fleet.wait_for_endpoints(1).expect("the endpoint is seen");
        if path.contains(service) {
            break;
        }
    }
    let caller = fleet.callers()[0];

    let charge = call(caller, path, Some(&ticket(caller)), TOKEN, "charge-1");

    assert_eq!(outcome(&charge), (504, "unknown"));
    let requests = written.load(Ordering::Acquire);
    assert!((1..=most).contains(&requests), "{requests} requests were written");
    fleet.close();
}

#[test]
fn a_stop_under_load_cuts_nothing() {
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
        assert!(fleet.daemons[1].process.stop(), "the daemon ends well");
        running.join().expect("the load does not panic")
    });

    let verdict = history::check(&load.mix, &history, &fleet.read_run_logs().expect("the run logs"));
    assert!(verdict.passed(), "{verdict}");
    assert_eq!(verdict.unknown_but_ran, 0, "{verdict}");
    fleet.close();
}

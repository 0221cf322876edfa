//! Configuration and membership while the store is unavailable, and while daemons and endpoints stop or fail.

use std::{
    thread,
    time::{Duration, Instant},
};

use jayreach::store::{ApplyOutcome, StoreClient, apply, audit_trail};
use rustix::process::Signal;
use standins::{
    deployment::{prairie, repository_file},
    fleet::{EndpointProfile, Fleet, count_eligible, fetch_status},
    history,
    load::{self, Load},
    slopes::large_targets,
    store::StoreFault,
};

const ENDPOINT_PROFILE: EndpointProfile = EndpointProfile { slots: 4, service_ms: 5, cold_start_ms: 0 };

fn fleet(daemons: usize) -> Fleet {
    let mut fleet = Fleet::start().expect("a store");
    for at in 0..daemons {
        fleet.add_daemon(&format!("dc-{}", at % 2 + 1)).expect("a daemon");
    }
    for (at, service) in ["portal", "vouchers", "billing"].into_iter().enumerate() {
        fleet.add_endpoint(service, at % daemons, ENDPOINT_PROFILE).expect("an endpoint");
    }
    fleet.apply(&repository_file("samples/prairie.toml")).expect("the sample is accepted");
    fleet.wait_for_endpoints(3).expect("all endpoints are eligible");
    fleet
}

fn wait_until(what: &str, limit: Duration, condition: impl Fn() -> bool) -> Duration {
    let start = Instant::now();
    while !condition() {
        assert!(start.elapsed() < limit, "not within {limit:?}: {what}");
        thread::sleep(Duration::from_millis(20));
    }
    start.elapsed()
}

#[test]
fn a_daemon_that_restarts_while_the_store_is_unavailable_recovers_from_its_peers() {
    let mut fleet = fleet(3);
    fleet
        .set_fault(fleet.store, &StoreFault { unavailable: true, ..StoreFault::default() })
        .expect("the store's fault is set");

    fleet.restart_daemon(2).expect("the daemon starts");
    let local = fleet.daemons[2].local;

    wait_until("the restarted daemon serves all endpoints", Duration::from_secs(20), || {
        fetch_status(local).is_ok_and(|it| it["config_version"] == 1 && it["phase"] == "serving")
            && count_eligible(local).is_ok_and(|it| it == 3)
    });
    fleet.close();
}

#[test]
fn a_daemon_paused_past_every_timeout_still_accepts_callers_and_endpoints() {
    let fleet = fleet(1);
    let daemon = &fleet.daemons[0];

    daemon.process.signal(Signal::STOP);
    thread::sleep(Duration::from_secs(12));
    daemon.process.signal(Signal::CONT);
    thread::sleep(Duration::from_secs(5));

    assert_eq!(count_eligible(daemon.local).expect("a new connection is accepted"), 3);
    let resp = ureq::get(format!("http://{}/portal", daemon.callers)).call().expect("a response");
    assert_eq!(resp.status(), 200);
    fleet.close();
}

#[test]
fn a_change_whose_response_is_lost_is_accepted_once() {
    let fleet = fleet(1);
    let targets = std::fs::read_to_string(repository_file("samples/prairie.toml")).expect("the sample");
    let file = std::env::temp_dir().join(format!("jayreach-lost-{}.toml", std::process::id()));
    std::fs::write(&file, targets.replace("importance = 30", "importance = 20")).expect("a file");
    fleet
        .set_fault(fleet.store, &StoreFault { lose_answers: 4, ..StoreFault::default() })
        .expect("the store's fault is set");

    let applied = fleet.apply(&file).expect("the change is accepted");

    assert!(applied.contains("accepted as version 2"), "{applied}");
    let audit = fleet.run_command(&["audit"]).expect("a command").1;
    assert_eq!(audit.matches("~ class lookup").count(), 1, "{audit}");
    std::fs::remove_file(file).expect("the file is removed");
    fleet.close();
}

#[test]
fn a_change_of_very_many_items_is_accepted_and_audited() {
    let fleet = fleet(1);
    let store = StoreClient::new(fleet.store);
    let targets = large_targets(100, 10, 20_000);

    let applied = apply(&store, &targets, None, "operator", "import", Duration::from_secs(10));

    assert!(matches!(applied, Ok(ApplyOutcome::Accepted { version: 2, .. })), "{applied:?}");
    let newest = audit_trail(&store, 1).expect("the trail").remove(0);
    // All new items are added, the sample's account, routes and services are removed, and one class changes its lateness.
    let (added, removed, changed) = (20_000 + 100 + 10, 1 + 3 + 3, 1);
    assert_eq!(newest.differences.len() + newest.omitted, added + removed + changed);
    fleet.close();
}

#[test]
fn a_leaving_or_killed_endpoint_becomes_ineligible_in_all_daemons() {
    let mut fleet = fleet(3);
    let eligible_everywhere =
        |fleet: &Fleet, count| fleet.daemons.iter().all(|it| count_eligible(it.local).is_ok_and(|seen| seen == count));

    fleet.endpoints[0].process.signal(Signal::TERM);
    let left = wait_until("the leaving endpoint is ineligible in all daemons", Duration::from_secs(10), || {
        eligible_everywhere(&fleet, 2)
    });
    fleet.endpoints[1].process.kill();
    let killed = wait_until("the killed endpoint is ineligible in all daemons", Duration::from_secs(15), || {
        eligible_everywhere(&fleet, 1)
    });

    println!("leaving endpoint ineligible everywhere after {left:?}, killed endpoint after {killed:?}");
    fleet.close();
}

#[test]
fn paused_and_killed_daemons_are_marked_down_and_a_resumed_one_is_not() {
    let mut fleet = fleet(4);
    let down =
        |at: usize| fetch_status(fleet.daemons[at].local).map_or(0, |it| it["daemons_down"].as_u64().unwrap_or(0));

    fleet.daemons[3].process.signal(Signal::STOP);
    wait_until("the paused daemon is marked down by all others", Duration::from_secs(60), || {
        (0..3).all(|it| down(it) == 1)
    });
    fleet.daemons[3].process.signal(Signal::CONT);
    wait_until("the resumed daemon is marked down by none", Duration::from_secs(60), || (0..3).all(|it| down(it) == 0));
    fleet.daemons[3].process.kill();

    let down =
        |at: usize| fetch_status(fleet.daemons[at].local).map_or(0, |it| it["daemons_down"].as_u64().unwrap_or(0));
    wait_until("the killed daemon is marked down by all others", Duration::from_secs(60), || {
        (0..3).all(|it| down(it) == 1)
    });
    fleet.close();
}

#[test]
fn a_rolling_restart_of_all_daemons_under_load_loses_no_outcome() {
    let mut fleet = prairie().start(4).expect("the deployment");
    let load = Load {
        mix: prairie().mix,
        rate: 100.0,
        duration: Duration::from_secs(26),
        seed: 11,
        workers: 48,
        retries_unknown: false,
    };
    let callers = fleet.callers();

    let history = thread::scope(|scope| {
        let running = scope.spawn(|| load::run(&load, &callers));
        for at in 0..4 {
            thread::sleep(Duration::from_secs(1));
            assert!(fleet.daemons[at].process.stop(), "daemon {at} exits with success");
            fleet.restart_daemon(at).expect("the daemon starts");
        }
        running.join().expect("the load does not panic")
    });

    let report = history::check(&load.mix, &history, &fleet.read_run_logs().expect("the run logs"));
    assert!(report.passed(), "{report}");
    assert_eq!(report.unknown_but_ran, 0, "a caller did not learn that its request ran: {report}");
    fleet.close();
}

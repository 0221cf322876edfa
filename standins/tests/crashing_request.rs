//! A request that crashes every endpoint which executes it, sent repeatedly to all proxies and under new ids.
//! The tests guard against one such request taking down all endpoints of a service.

use std::{
    collections::BTreeMap,
    sync::atomic::{AtomicBool, Ordering},
    thread,
    time::{Duration, Instant},
};

use rstest::rstest;
use standins::platform::{
    endpoint::Arrival,
    fixtures::{WORK_TIME, caller_request, explained_cause, two_routes},
    site::{Site, eventually},
};

/// Crashes after which a request must be quarantined.
const CRASHES_BEFORE_QUARANTINE: usize = 3;
/// Time after the last of these crashes within which all proxies must quarantine the request.
const QUARANTINE_DELAY: Duration = Duration::from_secs(3);
/// Runs that may begin after that.
const MAX_LATE_RUNS: usize = 3;
/// Time from the start of the request at an endpoint to the crash.
const CRASH_DELAY: Duration = Duration::from_millis(30);
/// Time from a crash to the restart of the endpoint.
const RESTART_DELAY: Duration = Duration::from_millis(800);
/// Pause between two crashing requests.
const PAUSE: Duration = Duration::from_millis(150);
/// Time for which the crashing request is sent.
const SEND_DURATION: Duration = Duration::from_secs(9);
const ENDPOINTS: usize = 6;

/// Starts six endpoints of `desk`, which the request crashes, and one of `ledger`, each with its proxy.
fn start_site(line: &str) -> Site {
    let mut site = Site::start().expect("the store starts");
    site.store.put_config(two_routes(1));
    for i in 0..ENDPOINTS {
        site.add_vm("desk", if i % 2 == 0 { "dc-1" } else { "dc-2" }, 4, WORK_TIME).expect("the proxy starts");
    }
    site.add_vm("ledger", "dc-1", 2, WORK_TIME).expect("the proxy starts");
    assert!(site.wait_until_ready(ENDPOINTS + 1), "a proxy has not learnt of all endpoints");
    let target = line.split(' ').nth(1).expect("a method and a target");
    site.proxies.iter().for_each(|it| it.endpoint.crash_on(target, CRASH_DELAY, RESTART_DELAY));
    site
}

/// Sends the request repeatedly for `duration`, to the proxies in turn, each time under a new id.
fn send_repeatedly(site: &Site, line: &str, id_prefix: &str, duration: Duration) {
    let start = Instant::now();
    for number in 0.. {
        if start.elapsed() >= duration {
            break;
        }
        let proxy = &site.proxies[number % site.proxies.len()];
        // The request is sent again after any response.
        _ = caller_request(line, &format!("{id_prefix}-{number}")).send_and_read(proxy.callers);
        thread::sleep(PAUSE);
    }
}

/// Times at which the request began to run, in order; each run crashed its endpoint.
fn run_starts(site: &Site, line: &str) -> Vec<Instant> {
    let arrivals = site.proxies.iter().flat_map(|it| it.endpoint.arrivals());
    let mut starts: Vec<Instant> =
        arrivals.filter(|it: &Arrival| it.ran && it.method_and_target == line).map(|it| it.at).collect();
    starts.sort_unstable();
    starts
}

/// Number of runs that began after the request had to be quarantined.
fn count_late_runs(starts: &[Instant]) -> usize {
    let Some(third) = starts.get(CRASHES_BEFORE_QUARANTINE - 1) else { return 0 };
    let quarantined_by = *third + CRASH_DELAY + QUARANTINE_DELAY;
    starts.iter().filter(|it| **it > quarantined_by).count()
}

#[rstest]
#[case::idempotent("GET /read/crash")]
#[case::not_idempotent("POST /write/crash")]
fn a_crashing_request_is_quarantined_after_few_crashes(#[case] line: &str) {
    let site = start_site(line);

    send_repeatedly(&site, line, "crash", SEND_DURATION);

    let starts = run_starts(&site, line);
    println!("{} runs, {} of them late", starts.len(), count_late_runs(&starts));
    assert!(!starts.is_empty(), "the request never ran");
    let cause = explained_cause(&site, "crash-9");
    assert!(cause.starts_with("It was held back: ") && cause.contains("endpoint(s) ended under requests"), "{cause}");
    assert!(
        count_late_runs(&starts) <= MAX_LATE_RUNS,
        "{} of {} runs began after the request had to be quarantined",
        count_late_runs(&starts),
        starts.len()
    );
}

#[rstest]
#[case::once(1)]
#[case::thrice(3)]
fn a_quarantine_outlasts_a_kill_of_all_proxies(#[case] restarts: usize) {
    let line = "GET /read/crash";
    let mut site = start_site(line);
    send_repeatedly(&site, line, "crash", SEND_DURATION / 3);
    let runs_before = run_starts(&site, line).len();

    for restart in 0..restarts {
        site.proxies.iter_mut().for_each(|it| it.kill());
        site.proxies.iter_mut().for_each(|it| it.restart().expect("the proxy starts"));
        assert!(eventually(|| site.proxies.iter().all(|it| it.is_ready())));
        thread::sleep(QUARANTINE_DELAY);
        send_repeatedly(&site, line, &format!("again-{restart}"), SEND_DURATION / 3);
    }

    let runs_after = run_starts(&site, line).len() - runs_before;
    println!("{runs_before} runs before the kill, {runs_after} after it");
    assert!(
        runs_before >= 1 && runs_after <= MAX_LATE_RUNS,
        "{runs_before} runs before the kill, {runs_after} after it"
    );
}

#[test]
fn other_requests_are_served_while_one_crashes_endpoints() {
    let line = "GET /read/crash";
    let site = start_site(line);
    let done = AtomicBool::new(false);

    // Every second request has the same target, so that requests with equal fingerprints run concurrently.
    let statuses: Vec<u16> = thread::scope(|scope| {
        let callers: Vec<_> = (0..3)
            .map(|caller| {
                let (site, done) = (&site, &done);
                scope.spawn(move || {
                    let mut statuses = Vec::new();
                    for number in 0.. {
                        if done.load(Ordering::Acquire) {
                            break;
                        }
                        let line = format!("GET /read/{}", if number % 2 == 0 { 0 } else { number });
                        let proxy = &site.proxies[(caller + number) % site.proxies.len()];
                        let response =
                            caller_request(&line, &format!("beside-{caller}-{number}")).send_and_read(proxy.callers);
                        statuses.push(response.map_or(0, |it| it.status()));
                    }
                    statuses
                })
            })
            .collect();
        send_repeatedly(&site, line, "crash", SEND_DURATION);
        done.store(true, Ordering::Release);
        callers.into_iter().flat_map(|it| it.join().expect("the caller thread does not panic")).collect()
    });

    let mut by_status = BTreeMap::new();
    statuses.iter().for_each(|it| *by_status.entry(*it).or_insert(0) += 1);
    let served = by_status.get(&200).copied().unwrap_or(0);
    println!("{by_status:?}");
    assert!(served * 100 >= statuses.len() * 99, "{served} of {} requests were served: {by_status:?}", statuses.len());
}

//! A request that crashes each endpoint that runs it, and is sent repeatedly through random proxies, under new ids.
//! After a few crashes the fleet has to quarantine it.

use std::{
    net::SocketAddr,
    sync::atomic::{AtomicBool, Ordering},
    thread,
    time::{Duration, Instant},
};

use rand::{RngExt as _, SeedableRng as _, rngs::SmallRng, seq::IndexedRandom as _};

use super::{
    callers::{self, Caller, Record},
    faults::FaultPeriod,
};
use crate::platform::{endpoint::Arrival, site::Site};

/// Method and target of the crashing request.
pub(super) const REQUEST_LINE: &str = "GET /read/crash";
const REQUEST_TARGET: &str = "/read/crash";
/// Time that it runs before its endpoint crashes.
const TIME_TO_CRASH: Duration = Duration::from_millis(20);
/// Time from a crash to the restart of the endpoint.
const DOWN_TIME: Duration = Duration::from_millis(800);
/// Pause before each request, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 100..600;
/// Time within which all proxies have to quarantine it after this many crashes.
const QUARANTINE_DELAY: Duration = Duration::from_secs(3);
const CRASHES_BEFORE_QUARANTINE: usize = 3;
/// Number of runs that are allowed after that.
const ALLOWED_LATE_RUNS: usize = 3;

/// Makes the request crash all endpoints.
pub(super) fn prepare(site: &Site) {
    site.proxies.iter().for_each(|it| it.endpoint.crash_on(REQUEST_TARGET, TIME_TO_CRASH, DOWN_TIME));
}

/// Sends the request until `stop` is set; returns the records.
pub(super) fn send(seed: u64, proxies: &[SocketAddr], stop: &AtomicBool) -> Vec<Record> {
    let mut rng = SmallRng::seed_from_u64(!seed);
    let indexes: Vec<usize> = (0..proxies.len()).collect();
    let mut records = Vec::new();
    for number in 0.. {
        if stop.load(Ordering::Acquire) {
            break;
        }
        thread::sleep(Duration::from_millis(rng.random_range(PAUSE_MS)));
        let proxy = *indexes.choose(&mut rng).expect("there are proxies");
        let Ok(mut stream) = Caller::connect_to(proxies[proxy]) else { continue };
        let request_id = format!("crash-{seed:x}-{number:x}");
        let sent = Instant::now();
        let (outcome, notice, _) = callers::exchange(&mut stream, REQUEST_LINE, &request_id);
        let (method_and_target, ended) = (REQUEST_LINE.to_owned(), Instant::now());
        records.push(Record { request_id, idempotent: true, proxy, method_and_target, sent, ended, outcome, notice });
    }
    records
}

/// Counts the runs after all proxies had to quarantine the request, beyond the allowed number. Runs don't count if one
/// of the two proxies involved, or the store, was under a fault at that time or shortly before: such a fault may keep
/// the quarantine from reaching the proxy.
pub(super) fn late_runs(arrivals: &[Vec<Arrival>], records: &[Record], fault_periods: &[FaultPeriod]) -> usize {
    let mut runs: Vec<(Instant, usize, usize)> = Vec::new();
    for (guard, arrivals) in arrivals.iter().enumerate() {
        for it in arrivals.iter().filter(|it| it.ran && it.method_and_target == REQUEST_LINE) {
            let sender = records.binary_search_by(|record| record.request_id.cmp(&it.request_id));
            runs.push((it.at, guard, sender.map_or(guard, |at| records[at].proxy)));
        }
    }
    runs.sort_unstable();
    let Some((last_run, ..)) = runs.get(CRASHES_BEFORE_QUARANTINE - 1).copied() else { return 0 };
    let quarantine_due = last_run + TIME_TO_CRASH + QUARANTINE_DELAY;
    let unaffected = |at: Instant, proxy: usize| {
        let concerns = |it: &&FaultPeriod| it.proxy.is_none_or(|it| it == proxy);
        !fault_periods
            .iter()
            .filter(concerns)
            .any(|it| it.from <= at && it.to.is_none_or(|to| at < to + QUARANTINE_DELAY))
    };
    let late_runs = runs.iter().filter(|it| it.0 > quarantine_due && unaffected(it.0, it.1) && unaffected(it.0, it.2));
    late_runs.count().saturating_sub(ALLOWED_LATE_RUNS)
}

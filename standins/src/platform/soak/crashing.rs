//! A request that ends every endpoint which works on it, and comes again at any proxy, under new ids.

use std::{
    net::SocketAddr,
    sync::atomic::{AtomicBool, Ordering},
    thread,
    time::{Duration, Instant},
};

use rand::{RngExt as _, SeedableRng as _, rngs::SmallRng, seq::IndexedRandom as _};

use super::{
    callers::{self, Caller, Record},
    faults::Troubled,
};
use crate::platform::{endpoint::Arrival, site::Site};

/// Method and target.
pub(super) const LINE: &str = "GET /read/crash";
const TARGET: &str = "/read/crash";
/// How long it works before its endpoint ends.
const ENDS_AFTER: Duration = Duration::from_millis(20);
/// How long until the endpoint is back.
const DOWN_FOR: Duration = Duration::from_millis(800);
/// The pause between two of them, in milliseconds.
const PAUSE: std::ops::Range<u64> = 100..600;
/// Within this time after so many endpoints ended under it, it must be known everywhere.
const KNOWN_AFTER: Duration = Duration::from_secs(3);
const KNOWN_AFTER_ENDS: usize = 3;
/// How often it may reach an endpoint after that.
const MORE: usize = 3;

/// Has all endpoints end under it.
pub(super) fn prepare(site: &Site) {
    site.proxies.iter().for_each(|it| it.endpoint.crash_on(TARGET, ENDS_AFTER, DOWN_FOR));
}

/// Sends it until it is over.
pub(super) fn send(seed: u64, proxies: &[SocketAddr], over: &AtomicBool) -> Vec<Record> {
    let mut rng = SmallRng::seed_from_u64(!seed);
    let places: Vec<usize> = (0..proxies.len()).collect();
    let mut records = Vec::new();
    for number in 0.. {
        if over.load(Ordering::Acquire) {
            break;
        }
        thread::sleep(Duration::from_millis(rng.random_range(PAUSE)));
        let proxy = *places.choose(&mut rng).expect("there are proxies");
        let Ok(mut stream) = Caller::connect_to(proxies[proxy]) else { continue };
        let request = format!("crash-{seed:x}-{number:x}");
        let sent = Instant::now();
        let (outcome, _) = callers::exchange(&mut stream, LINE, &request);
        let (line, ended) = (LINE.to_owned(), Instant::now());
        records.push(Record { request, idempotent: true, proxy, line, sent, ended, outcome });
    }
    records
}

/// How often it reached an endpoint after it had to be known, beyond what is allowed. What a proxy took or passed on in
/// trouble, or soon after, or while the store was, doesn't count: it may not have heard of it.
pub(super) fn late_runs(arrivals: &[Vec<Arrival>], records: &[Record], troubled: &[Troubled]) -> usize {
    let mut runs: Vec<(Instant, usize, usize)> = Vec::new();
    for (guard, arrivals) in arrivals.iter().enumerate() {
        for it in arrivals.iter().filter(|it| it.ran && it.line == LINE) {
            let sender = records.binary_search_by(|record| record.request.cmp(&it.request));
            runs.push((it.at, guard, sender.map_or(guard, |at| records[at].proxy)));
        }
    }
    runs.sort_unstable();
    let Some((third, ..)) = runs.get(KNOWN_AFTER_ENDS - 1).copied() else { return 0 };
    let known = third + ENDS_AFTER + KNOWN_AFTER;
    let in_touch = |at: Instant, proxy: usize| {
        let bears = |it: &&Troubled| it.proxy.is_none_or(|it| it == proxy);
        !troubled.iter().filter(bears).any(|it| it.from <= at && it.to.is_none_or(|to| at < to + KNOWN_AFTER))
    };
    let late = runs.iter().filter(|it| it.0 > known && in_touch(it.0, it.1) && in_touch(it.0, it.2));
    late.count().saturating_sub(MORE)
}

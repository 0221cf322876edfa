//! `standins proxy-soak`: real proxies as separate processes, under load, with faults brought about from
//! outside them: relays that delay, cut, reset or silence connections, signals, a store and endpoints that
//! misbehave. It ends with a verdict on the promises, from what callers and endpoints saw.
//!
//! The seed draws the faults and their times. The proxies use no disk and, but for the time in their event
//! lines, no clock that can be set; a pause is what misbehaves there.

mod callers;
mod crashing;
mod faults;
mod promises;

use std::{
    io,
    sync::atomic::{AtomicBool, Ordering},
    thread,
    time::{Duration, Instant},
};

use serde_json::Value;

pub use self::promises::ProxySoakReport;
use self::{
    callers::Caller,
    faults::{Played, Stage},
    promises::{Seen, judge},
};
use crate::platform::{
    site::{Proxy, Site, config, route},
    store::Store,
};

/// How long the endpoints work on a request.
const WORK: Duration = Duration::from_millis(30);
/// How much they work on at once.
const SLOTS: u32 = 4;
/// Callers of each proxy.
const CALLERS: usize = 3;
/// How old the backups are from which the store is restored, and the pause until the next one is made.
const BACKUP_AGE: Duration = Duration::from_millis(1_500);
const BETWEEN_BACKUPS: Duration = Duration::from_millis(2_500);
/// Changes of other objects at once after that: revisions of before are given out again.
const CHANGES_SINCE: u32 = 10;
/// How long after the last fault the fleet has to be whole again.
const HEALING: Duration = Duration::from_secs(20);

/// What a soak is to be.
#[derive(Debug, Clone, Copy)]
pub struct SoakOptions {
    /// Seeds the faults and the load.
    pub seed: u64,
    /// For how long there are load and faults.
    pub duration: Duration,
    /// How many proxies, each with its endpoint.
    pub proxies: usize,
    /// Whether a request that ends its endpoints comes again and again.
    pub crashing: bool,
    /// Whether the store is restored from a backup from time to time.
    pub restoring: bool,
    /// Whether a line is printed for each fault.
    pub verbose: bool,
}

/// Runs a soak.
pub fn run(options: &SoakOptions) -> io::Result<ProxySoakReport> {
    let mut site = Site::start_with_relays()?;
    site.store.put_config(configuration(1));
    for at in 0..options.proxies {
        let service = if at % 3 == 2 { "ledger" } else { "desk" };
        site.add_vm(service, &format!("dc-{}", at % 2), SLOTS, WORK)?;
    }
    if !site.wait_until_ready(options.proxies) {
        return Err(io::Error::other("the fleet did not get ready"));
    }
    let callers: Vec<Caller> = (0..options.proxies * CALLERS)
        .map(|at| Caller::new(options.seed, at, site.proxies[at % options.proxies].callers, at % options.proxies))
        .collect();
    let addresses: Vec<_> = site.proxies.iter().map(|it| it.callers).collect();
    if options.crashing {
        crashing::prepare(&site);
    }
    let store = site.store.clone();
    let metrics: Vec<_> = site.proxies.iter().map(|it| it.metrics).collect();
    let over = AtomicBool::new(false);
    let mut stage = Stage::new(options, &mut site);
    let (records, reverts, played) = thread::scope(|scope| {
        let calling: Vec<_> = callers.into_iter().map(|it| scope.spawn(|| it.run(&over))).collect();
        let crashing = options.crashing.then(|| scope.spawn(|| crashing::send(options.seed, &addresses, &over)));
        if options.restoring {
            scope.spawn(|| restore(&store, &over));
        }
        let watching = scope.spawn(|| watch_versions(&metrics, &over));
        let played = stage.play();
        over.store(true, Ordering::Release);
        let all = calling.into_iter().chain(crashing);
        let records = all.flat_map(|it| it.join().expect("a caller does not panic")).collect();
        (records, watching.join().expect("the watch does not panic"), played)
    });
    played?;
    let Played { version, crashes, disturbed, troubled, left } = stage.close();
    let converged = converges(&site, version);
    // Late runs of what was refused would be seen by now.
    let arrivals = site.proxies.iter().map(|it| it.endpoint.arrivals()).collect();
    let services = site.proxies.iter().map(|it| it.endpoint.service().to_owned()).collect();
    Ok(judge(Seen { records, arrivals, services, disturbed, troubled, left, reverts, crashes, converged }))
}

/// The operator's configuration; odd versions send writes to both services.
fn configuration(version: u32) -> Value {
    let both: &[(&str, u32)] = &[("desk", 2), ("ledger", 1)];
    let write = if version.is_multiple_of(2) { both } else { &both[..1] };
    let routes = [
        ("read", route("/read/", "idempotent", 2, &[("desk", 1)])),
        ("write", route("/write/", "non_idempotent", 0, write)),
    ];
    config(version, &routes)
}

/// Has the store restored from a backup some seconds old, again and again.
fn restore(store: &Store, over: &AtomicBool) {
    while !over.load(Ordering::Acquire) {
        store.back_up();
        thread::sleep(BACKUP_AGE);
        store.restore(None, CHANGES_SINCE);
        thread::sleep(BETWEEN_BACKUPS);
    }
}

/// Watches the proxies' versions; counts those that went back within one run of a proxy.
fn watch_versions(metrics: &[std::net::SocketAddr], over: &AtomicBool) -> usize {
    let mut seen = vec![(0, 0); metrics.len()];
    let mut reverts = 0;
    while !over.load(Ordering::Acquire) {
        for (address, seen) in metrics.iter().zip(&mut seen) {
            let row = Proxy::status_at(*address)["row"].take();
            let (Some(run), Some(version)) = (row["incarnation"].as_u64(), row["version"].as_u64()) else { continue };
            reverts += usize::from(run == seen.0 && version < seen.1);
            *seen = (run, version);
        }
        thread::sleep(Duration::from_millis(100));
    }
    reverts
}

/// Waits until all proxies are ready, have the last version in force and know all endpoints.
fn converges(site: &Site, version: u32) -> bool {
    let whole = |it: &Proxy| {
        let status = it.status();
        status["row"]["version"] == version && it.is_ready() && it.known_endpoints() == site.proxies.len()
    };
    let deadline = Instant::now() + HEALING;
    while Instant::now() < deadline {
        if site.proxies.iter().all(whole) {
            return true;
        }
        thread::sleep(Duration::from_millis(200));
    }
    site.proxies.iter().filter(|it| !whole(it)).for_each(Proxy::print_diagnostics);
    false
}

//! `standins proxy-soak`: real proxies as separate processes, under load and under faults injected from outside:
//! relays that delay, block, reset or silence connections, signals, and a misbehaving store and endpoints. At the end
//! it checks the promises of the fleet against the records of callers and endpoints.
//!
//! The seed determines the faults and their times. Disk faults and clock steps are left out, because the proxies use
//! no disk and take only the time in their event lines from a clock that can be set.

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
    faults::{FaultInjector, FaultRecord},
    promises::{Observations, check},
};
use crate::platform::{
    site::{Proxy, Site, config, route},
    store::Store,
};

/// Time that an endpoint takes to run a request.
const WORK_TIME: Duration = Duration::from_millis(30);
/// Number of requests that an endpoint runs at once.
const SLOTS: u32 = 4;
/// Number of callers of each proxy.
const CALLERS_PER_PROXY: usize = 3;
/// Age of a backup when the store is restored from it, and time from then to the next backup.
const BACKUP_AGE: Duration = Duration::from_millis(1_500);
const BACKUP_PAUSE: Duration = Duration::from_millis(2_500);
/// Number of changes of other objects right after a restore, so that revisions from before it are used again.
const CHANGES_AFTER_RESTORE: u32 = 10;
/// Time within which the fleet has to converge after the last fault.
const CONVERGENCE_TIMEOUT: Duration = Duration::from_secs(20);

/// Options of one soak.
#[derive(Debug, Clone, Copy)]
pub struct SoakOptions {
    /// Seed of the faults and the load.
    pub seed: u64,
    /// Duration of the load and the faults.
    pub duration: Duration,
    /// Number of proxies, each with its endpoint.
    pub proxies: usize,
    /// Whether a request that crashes its endpoints is sent repeatedly.
    pub crashing: bool,
    /// Whether the store is repeatedly restored from a backup.
    pub restoring: bool,
    /// Whether endpoints name limits and say that they are leaving in their answers.
    pub notices: bool,
    /// Whether each restarted proxy gets SIGHUP several times, from the opening of its ports on.
    pub reloading: bool,
    /// Whether a line is printed for the start and the end of each fault.
    pub verbose: bool,
}

/// Runs a soak and returns what its checks found. Fails if a process can't be started or the fleet doesn't get ready.
pub fn run(options: &SoakOptions) -> io::Result<ProxySoakReport> {
    let mut site = Site::start_with_relays()?;
    site.store.put_config(configuration(1));
    for at in 0..options.proxies {
        let service = if at % 3 == 2 { "ledger" } else { "desk" };
        site.add_vm(service, &format!("dc-{}", at % 2), SLOTS, WORK_TIME)?;
    }
    if !site.wait_until_ready(options.proxies) {
        return Err(io::Error::other("the fleet did not get ready"));
    }
    let callers: Vec<Caller> = (0..options.proxies * CALLERS_PER_PROXY)
        .map(|at| Caller::new(options.seed, at, site.proxies[at % options.proxies].callers, at % options.proxies))
        .collect();
    let addresses: Vec<_> = site.proxies.iter().map(|it| it.callers).collect();
    if options.crashing {
        crashing::prepare(&site);
    }
    let store = site.store.clone();
    let metrics: Vec<_> = site.proxies.iter().map(|it| it.metrics).collect();
    let stop = AtomicBool::new(false);
    let mut injector = FaultInjector::new(options, &mut site);
    let (records, reverts, injected) = thread::scope(|scope| {
        let caller_threads: Vec<_> = callers.into_iter().map(|it| scope.spawn(|| it.run(&stop))).collect();
        let crash_thread = options.crashing.then(|| scope.spawn(|| crashing::send(options.seed, &addresses, &stop)));
        if options.restoring {
            scope.spawn(|| restore(&store, &stop));
        }
        let version_thread = scope.spawn(|| count_version_reverts(&metrics, &stop));
        let injected = injector.run();
        stop.store(true, Ordering::Release);
        let threads = caller_threads.into_iter().chain(crash_thread);
        let records = threads.flat_map(|it| it.join().expect("a caller does not panic")).collect();
        (records, version_thread.join().expect("the version thread does not panic"), injected)
    });
    injected?;
    let FaultRecord { version, crashes, disturbances, fault_periods, draining_periods, restarts, endpoint_path_faults } =
        injector.into_record();
    let converged = wait_for_convergence(&site, version);
    // The arrivals are read after the wait, so they include requests that ran after their refusal.
    let arrivals = site.proxies.iter().map(|it| it.endpoint.arrivals()).collect();
    let limits = site.proxies.iter().map(|it| it.endpoint.named_limits()).collect();
    let services = site.proxies.iter().map(|it| it.endpoint.service().to_owned()).collect();
    Ok(check(Observations {
        records,
        arrivals,
        services,
        disturbances,
        fault_periods,
        draining_periods,
        limits,
        restarts,
        endpoint_path_faults,
        reverts,
        crashes,
        converged,
    }))
}

/// An operator's configuration. Writes go to both services in even versions, to `desk` only in odd ones.
fn configuration(version: u32) -> Value {
    let both: &[(&str, u32)] = &[("desk", 2), ("ledger", 1)];
    let write = if version.is_multiple_of(2) { both } else { &both[..1] };
    let routes = [
        ("read", route("/read/", "idempotent", 2, &[("desk", 1)])),
        ("write", route("/write/", "non_idempotent", 0, write)),
    ];
    config(version, &routes)
}

/// Restores the store from a recent backup, repeatedly.
fn restore(store: &Store, stop: &AtomicBool) {
    while !stop.load(Ordering::Acquire) {
        store.back_up();
        thread::sleep(BACKUP_AGE);
        store.restore(None, CHANGES_AFTER_RESTORE);
        thread::sleep(BACKUP_PAUSE);
    }
}

/// Polls the proxies' configuration versions; counts decreases within one incarnation of a proxy.
fn count_version_reverts(metrics: &[std::net::SocketAddr], stop: &AtomicBool) -> usize {
    let mut seen = vec![(0, 0); metrics.len()];
    let mut reverts = 0;
    while !stop.load(Ordering::Acquire) {
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

/// Waits until all proxies are ready, have activated the last version and list all endpoints; prints diagnostics of
/// those that haven't in time.
fn wait_for_convergence(site: &Site, version: u32) -> bool {
    let has_converged = |it: &Proxy| {
        let status = it.status();
        status["row"]["version"] == version && it.is_ready() && it.known_endpoints() == site.proxies.len()
    };
    let deadline = Instant::now() + CONVERGENCE_TIMEOUT;
    while Instant::now() < deadline {
        if site.proxies.iter().all(has_converged) {
            return true;
        }
        thread::sleep(Duration::from_millis(200));
    }
    site.proxies.iter().filter(|it| !has_converged(it)).for_each(Proxy::print_diagnostics);
    false
}

//! `standins idle`: what a fleet of daemons without requests uses, and how fast configuration changes and failures
//! spread in it.

use std::{
    fs, io,
    net::SocketAddr,
    sync::atomic::{AtomicBool, Ordering},
    thread,
    time::{Duration, Instant},
};

use jayreach::{
    daemon::{AnnouncedState, Announcement},
    store::{StoreClient, apply},
    targets::Targets,
};

use crate::{
    fleet::{Fleet, fetch_status},
    proc::usage,
    slopes::large_targets,
    store::StoreCalls,
};

/// How long the idle fleet is measured.
const IDLE_PERIOD: Duration = Duration::from_secs(10);

/// Size of the fleet and of its configuration.
#[derive(Debug, Clone, Copy)]
pub struct IdleOptions {
    /// Number of daemons.
    pub daemons: usize,
    /// Number of configuration changes.
    pub changes: usize,
    /// Number of endpoints announced to each daemon.
    pub endpoints: u16,
    /// Whether the configuration has 22,000 routes and 190,000 accounts instead of 910 and 100.
    pub large: bool,
}

/// Measures one fleet and prints its figures.
pub fn run(options: IdleOptions) -> io::Result<()> {
    let mut fleet = Fleet::start()?;
    for at in 0..options.daemons {
        fleet.add_daemon(&format!("dc-{}", at % 6 + 1))?;
    }
    let finished = AtomicBool::new(false);
    let locals: Vec<_> = fleet.daemons.iter().map(|it| it.local).collect();
    thread::scope(|scope| {
        let announcer = scope.spawn(|| announce(&locals, options.endpoints, &finished));
        let measured = measure(&mut fleet, options);
        finished.store(true, Ordering::Release);
        announcer.join().expect("the announcer does not panic");
        measured
    })?;
    fleet.close();
    Ok(())
}

fn measure(fleet: &mut Fleet, options: IdleOptions) -> io::Result<()> {
    let count = options.daemons;
    let mut targets = if options.large { large_targets(22_000, 910, 190_000) } else { large_targets(910, 910, 100) };
    let loaded = apply_and_wait(fleet, &targets)?;
    println!("{count} daemons: first configuration active everywhere after {} ms", worst_ms(&loaded));
    thread::sleep(Duration::from_secs(5));
    print_idle(fleet)?;
    let mut times = Vec::new();
    for number in 0..options.changes {
        targets.services[number % 910].floor_percent = 61 + (number % 30) as u8;
        times.extend(apply_and_wait(fleet, &targets)?);
    }
    times.sort_unstable();
    let at = |share: f64| times.get((times.len() as f64 * share) as usize).map_or(0, |it| it.as_millis());
    println!(
        "{} changes: active after p50 {} p99 {} worst {} ms",
        options.changes,
        at(0.5),
        at(0.99),
        worst_ms(&times)
    );
    let killed = fleet.daemons.pop().expect("a fleet has a daemon");
    let started = Instant::now();
    drop(killed);
    let marked_down = wait_until_marked_down(fleet, started);
    println!(
        "a killed daemon marked down: first view {} ms, all views {} ms",
        marked_down.0.as_millis(),
        marked_down.1.as_millis()
    );
    Ok(())
}

fn worst_ms(times: &[Duration]) -> u128 {
    times.iter().max().map_or(0, Duration::as_millis)
}

fn print_idle(fleet: &Fleet) -> io::Result<()> {
    let (cpu, bytes, store_calls) = (cpu(fleet)?, loopback_bytes()?, store_calls(fleet)?);
    thread::sleep(IDLE_PERIOD);
    let count = fleet.daemons.len() as f64;
    let seconds = IDLE_PERIOD.as_secs_f64();
    let share = (self::cpu(fleet)? - cpu).as_secs_f64() / seconds / count * 100.0;
    let rate = (loopback_bytes()? - bytes) as f64 / seconds / count / 1000.0;
    let now = self::store_calls(fleet)?;
    let reads = (now.reads + now.watches - store_calls.reads - store_calls.watches) as f64 / seconds;
    let usages: Vec<_> = fleet.daemons.iter().map(|it| usage(it.process.id())).collect::<Result<_, _>>()?;
    let memory = usages.iter().map(|it| it.resident).sum::<u64>() as f64 / count / 1e6;
    let threads = usages.iter().map(|it| it.threads).sum::<u64>() as f64 / count;
    println!(
        "idle, each daemon: {share:.3}% of a core, {memory:.1} MB resident, {threads:.0} threads, {rate:.2} KB/s in \
         and out with all overhead; store: {reads:.2} reads and watches/s"
    );
    Ok(())
}

fn cpu(fleet: &Fleet) -> io::Result<Duration> {
    fleet.daemons.iter().map(|it| usage(it.process.id()).map(|it| it.cpu)).sum()
}

/// Bytes that the loopback interface has received since the system's start.
fn loopback_bytes() -> io::Result<u64> {
    let text = fs::read_to_string("/proc/net/dev")?;
    let line = text.lines().find_map(|it| it.trim().strip_prefix("lo:"));
    Ok(line.and_then(|it| it.split_whitespace().next()?.parse().ok()).unwrap_or(0))
}

fn store_calls(fleet: &Fleet) -> io::Result<StoreCalls> {
    let mut resp = ureq::get(format!("http://{}/stats", fleet.store)).call().map_err(io::Error::other)?;
    let text = resp.body_mut().read_to_string().map_err(io::Error::other)?;
    Ok(serde_json::from_str(&text)?)
}

/// Applies targets and returns the time until each daemon had activated them.
fn apply_and_wait(fleet: &Fleet, targets: &Targets) -> io::Result<Vec<Duration>> {
    let started = Instant::now();
    let store = StoreClient::new(fleet.store);
    let applied =
        apply(&store, targets, None, "stand-in", "idle", Duration::from_secs(30)).map_err(io::Error::other)?;
    let jayreach::store::ApplyOutcome::Accepted { version, .. } = applied else {
        return Err(io::Error::other("the change changed nothing"));
    };
    let wait = |local: SocketAddr| {
        while fetch_status(local).ok().and_then(|it| it["config_version"].as_u64()).unwrap_or(0) < version {
            thread::sleep(Duration::from_millis(40));
        }
        started.elapsed()
    };
    Ok(thread::scope(|scope| {
        let waiting: Vec<_> = fleet.daemons.iter().map(|it| scope.spawn(move || wait(it.local))).collect();
        waiting.into_iter().map(|it| it.join().expect("a wait does not panic")).collect()
    }))
}

/// Times from `started` until the first and the last daemon had marked the killed daemon as down.
fn wait_until_marked_down(fleet: &Fleet, started: Instant) -> (Duration, Duration) {
    let wait = |local: SocketAddr| {
        while fetch_status(local).ok().and_then(|it| it["daemons_down"].as_u64()).unwrap_or(0) == 0 {
            thread::sleep(Duration::from_millis(20));
        }
        started.elapsed()
    };
    let times: Vec<_> = thread::scope(|scope| {
        let waiting: Vec<_> = fleet.daemons.iter().map(|it| scope.spawn(move || wait(it.local))).collect();
        waiting.into_iter().map(|it| it.join().expect("a wait does not panic")).collect()
    });
    let first = times.iter().min().copied().unwrap_or_default();
    let last = times.iter().max().copied().unwrap_or_default();
    (first, last)
}

/// Announces endpoints to each daemon once a second until `finished` is set; nothing listens at their addresses.
fn announce(locals: &[SocketAddr], endpoints: u16, finished: &AtomicBool) {
    let agent = ureq::Agent::new_with_defaults();
    while !finished.load(Ordering::Acquire) {
        let started = Instant::now();
        for (number, local) in locals.iter().enumerate() {
            for at in 0..endpoints {
                let announcement = Announcement {
                    service: format!("service-{:04}", (number * usize::from(endpoints) + usize::from(at)) % 910).into(),
                    address: ([127, 1, (number % 250) as u8, at as u8 + 1], 9 + (number / 250) as u16).into(),
                    slots: 7,
                    state: AnnouncedState::Serving,
                    load: 0,
                    limit: None,
                };
                let body = serde_json::to_vec(&announcement).expect("an announcement can be encoded");
                // An error is expected from a killed daemon.
                _ = agent.post(format!("http://{local}/announce")).send(&body[..]);
            }
        }
        thread::sleep(Duration::from_secs(1).saturating_sub(started.elapsed()));
    }
}

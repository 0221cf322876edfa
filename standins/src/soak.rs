//! `standins soak`: runs a sample deployment under load while faults drawn from the seed begin and end.
//!
//! Afterwards it checks that reported outcomes match what ran, that no daemon returned to an older configuration,
//! that no daemon exited unexpectedly (a violated invariant ends the process), and that the fleet recovered.

use std::{
    fmt, fs, io,
    net::SocketAddr,
    sync::atomic::{AtomicBool, Ordering},
    thread,
    time::{Duration, Instant},
};

use rand::{RngExt as _, SeedableRng as _, rngs::SmallRng};
use rustix::process::Signal;

use crate::{
    deployment::{Deployment, pila_verde, prairie},
    endpoint::EndpointFault,
    fleet::{DaemonProcess, Fleet, count_eligible, fetch_status},
    history::{self, HistoryReport},
    load::{self, Load},
    store::StoreFault,
};

/// Number of daemons of the deployment.
const DAEMONS: usize = 6;
/// How long the fleet may take to recover after the last fault.
const RECOVERY_LIMIT: Duration = Duration::from_secs(20);

/// A fault that lasts for some seconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// A daemon is killed and restarted.
    KillDaemon,
    /// A daemon is paused (SIGSTOP) and resumed.
    FreezeDaemon,
    /// A daemon is stopped gracefully and restarted.
    StopDaemon,
    /// An endpoint is killed and restarted.
    KillEndpoint,
    /// An endpoint is paused (SIGSTOP) and resumed.
    FreezeEndpoint,
    /// An endpoint fails all requests and still announces itself as serving.
    Errors,
    /// An endpoint fails all requests in every other period of half a second.
    Flaps,
    /// An endpoint hangs on half of its requests.
    Hangs,
    /// An endpoint sends response bodies shorter than their Content-Length.
    Truncates,
    /// An endpoint is slow and reports a load of zero.
    SlowAndLying,
    /// The store fails every call.
    StoreAway,
    /// The store delays every call.
    StoreSlow,
    /// An operator's change takes effect while the store answers its writes with errors.
    LoseAnswers,
    /// Two operators apply a change at the same time.
    Race,
}

/// All faults, in the order from which the seed draws.
pub const FAULTS: [Fault; 14] = [
    Fault::KillDaemon,
    Fault::FreezeDaemon,
    Fault::StopDaemon,
    Fault::KillEndpoint,
    Fault::FreezeEndpoint,
    Fault::Errors,
    Fault::Flaps,
    Fault::Hangs,
    Fault::Truncates,
    Fault::SlowAndLying,
    Fault::StoreAway,
    Fault::StoreSlow,
    Fault::LoseAnswers,
    Fault::Race,
];

/// Options of a soak.
#[derive(Debug, Clone)]
pub struct SoakOptions {
    /// Seed of the load and the faults; even: Pila Verde, odd: Prairie.
    pub seed: u64,
    /// Duration of load and faults.
    pub duration: Duration,
    /// Requests per second.
    pub rate: f64,
    /// Faults to draw from.
    pub faults: Vec<Fault>,
    /// Whether to print a line for each fault.
    pub verbose: bool,
}

/// Result of a soak.
#[derive(Debug, Clone)]
pub struct SoakReport {
    /// Check of the reported outcomes.
    pub history: HistoryReport,
    /// Number of times that a daemon's configuration version went back.
    pub reverts: usize,
    /// Daemons that exited unexpectedly.
    pub crashes: usize,
    /// Configuration changes that were accepted, the first one included.
    pub accepted: usize,
    /// Whether in the end all daemons had activated the last version and listed all endpoints as eligible.
    pub converged: bool,
}

impl SoakReport {
    /// Whether all checks passed.
    pub fn passed(&self) -> bool {
        self.history.passed() && self.reverts == 0 && self.crashes == 0 && self.converged
    }
}

impl fmt::Display for SoakReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{}", self.history)?;
        write!(
            f,
            "changes accepted {}, versions that went back {}, daemons that crashed {}, converged {}",
            self.accepted, self.reverts, self.crashes, self.converged
        )
    }
}

/// Runs a soak of the deployment that the seed selects; an error if the fleet can't be started or controlled.
pub fn run(options: &SoakOptions) -> io::Result<SoakReport> {
    let deployment = if options.seed.is_multiple_of(2) { pila_verde() } else { prairie() };
    let mut fleet = deployment.start(DAEMONS)?;
    let load = Load {
        mix: deployment.mix.clone(),
        rate: options.rate,
        duration: options.duration,
        seed: options.seed,
        workers: 128,
        retries_unknown: true,
    };
    let callers = fleet.callers();
    let locals: Vec<_> = fleet.daemons.iter().map(|it| it.local).collect();
    let finished = AtomicBool::new(false);
    let mut soak = Soak::new(options, &deployment, &mut fleet);
    let (history, reverts, injected) = thread::scope(|scope| {
        let running = scope.spawn(|| load::run(&load, &callers));
        let watching = scope.spawn(|| watch_versions(&locals, &finished));
        let injected = soak.inject_faults();
        let history = running.join().expect("the load does not panic");
        finished.store(true, Ordering::Release);
        (history, watching.join().expect("the watch does not panic"), injected)
    });
    injected?;
    let (accepted, crashes) = (soak.accepted, soak.crashes);
    let converged = wait_for_recovery(&fleet, accepted)?;
    let history = history::check(&load.mix, &history, &fleet.read_run_logs()?);
    fleet.close();
    Ok(SoakReport { history, reverts, crashes, accepted, converged })
}

struct Soak<'a> {
    options: &'a SoakOptions,
    targets: String,
    fleet: &'a mut Fleet,
    rng: SmallRng,
    accepted: usize,
    crashes: usize,
    changes: u32,
}

impl<'a> Soak<'a> {
    fn new(options: &'a SoakOptions, deployment: &Deployment, fleet: &'a mut Fleet) -> Self {
        let file = crate::deployment::repository_file(deployment.targets);
        let targets = fs::read_to_string(file).expect("the samples are part of the repository");
        let rng = SmallRng::seed_from_u64(options.seed);
        Self { options, targets, fleet, rng, accepted: 1, crashes: 0, changes: 0 }
    }

    /// Begins and ends faults, one or two at a time, until the duration has passed.
    fn inject_faults(&mut self) -> io::Result<()> {
        let start = Instant::now();
        while start.elapsed() < self.options.duration {
            thread::sleep(Duration::from_millis(self.rng.random_range(500..2000)));
            let count = if self.rng.random_bool(0.3) { 2 } else { 1 };
            let faults: Vec<_> = (0..count).map(|_| self.draw_fault()).collect();
            self.crashes +=
                self.fleet.daemons.iter_mut().filter_map(|it| it.process.has_exited().then_some(())).count();
            if self.options.verbose {
                println!("{:6.1} s  {:?}", start.elapsed().as_secs_f64(), faults);
            }
            for (fault, at) in &faults {
                self.begin_fault(*fault, *at)?;
            }
            thread::sleep(Duration::from_millis(self.rng.random_range(500..6000)));
            for (fault, at) in &faults {
                self.end_fault(*fault, *at)?;
            }
        }
        Ok(())
    }

    fn draw_fault(&mut self) -> (Fault, usize) {
        let fault = self.options.faults[self.rng.random_range(0..self.options.faults.len())];
        (fault, self.rng.random_range(0..1000))
    }

    fn begin_fault(&mut self, fault: Fault, at: usize) -> io::Result<()> {
        let (daemon, endpoint) = (at % self.fleet.daemons.len(), at % self.fleet.endpoints.len());
        let none = EndpointFault::default();
        match fault {
            Fault::KillDaemon => {
                self.fleet.daemons[daemon].process.kill();
            }
            Fault::StopDaemon => self.fleet.daemons[daemon].process.signal(Signal::TERM),
            Fault::FreezeDaemon => self.fleet.daemons[daemon].process.signal(Signal::STOP),
            Fault::KillEndpoint => self.fleet.endpoints[endpoint].process.kill(),
            Fault::FreezeEndpoint => self.fleet.endpoints[endpoint].process.signal(Signal::STOP),
            Fault::Errors => self.set_endpoint_fault(endpoint, &EndpointFault { errors: 1.0, ..none }),
            Fault::Flaps => self.set_endpoint_fault(endpoint, &EndpointFault { errors: 1.0, flap_ms: 500, ..none }),
            Fault::Hangs => self.set_endpoint_fault(endpoint, &EndpointFault { hangs: 0.5, ..none }),
            Fault::Truncates => self.set_endpoint_fault(endpoint, &EndpointFault { truncates: true, ..none }),
            Fault::SlowAndLying => {
                self.set_endpoint_fault(endpoint, &EndpointFault { slow_ms: 1500, reported_load: Some(0), ..none });
            }
            Fault::StoreAway => self.set_store_fault(&StoreFault { unavailable: true, ..StoreFault::default() })?,
            Fault::StoreSlow => self.set_store_fault(&StoreFault { slow_ms: 800, ..StoreFault::default() })?,
            Fault::LoseAnswers => {
                let lose_answers = self.rng.random_range(1..5);
                self.set_store_fault(&StoreFault { lose_answers, ..StoreFault::default() })?;
                self.apply_changes(1)?;
            }
            Fault::Race => self.apply_changes(2)?,
        }
        Ok(())
    }

    fn end_fault(&mut self, fault: Fault, at: usize) -> io::Result<()> {
        let (daemon, endpoint) = (at % self.fleet.daemons.len(), at % self.fleet.endpoints.len());
        match fault {
            Fault::KillDaemon | Fault::StopDaemon => self.fleet.restart_daemon(daemon)?,
            Fault::FreezeDaemon => {
                self.fleet.daemons[daemon].process.signal(Signal::CONT);
                // The other fault of the same turn may have killed it.
                if self.fleet.daemons[daemon].process.has_exited() {
                    self.fleet.restart_daemon(daemon)?;
                }
            }
            Fault::KillEndpoint => self.fleet.restart_endpoint(endpoint)?,
            Fault::FreezeEndpoint => self.fleet.endpoints[endpoint].process.signal(Signal::CONT),
            Fault::Errors | Fault::Flaps | Fault::Hangs | Fault::Truncates | Fault::SlowAndLying => {
                self.set_endpoint_fault(endpoint, &EndpointFault::default());
            }
            Fault::StoreAway | Fault::StoreSlow | Fault::LoseAnswers => self.set_store_fault(&StoreFault::default())?,
            Fault::Race => (),
        }
        Ok(())
    }

    fn set_endpoint_fault(&self, at: usize, fault: &EndpointFault) {
        // An error is expected if the other fault has killed or paused the endpoint.
        _ = self.fleet.set_fault(self.fleet.endpoints[at].address, fault);
    }

    fn set_store_fault(&self, fault: &StoreFault) -> io::Result<()> {
        self.fleet.set_fault(self.fleet.store, fault)
    }

    /// Applies one change for each operator, all at the same time.
    fn apply_changes(&mut self, operators: u32) -> io::Result<()> {
        let files: Vec<_> = (0..operators)
            .map(|_| {
                self.changes += 1;
                let text = self.targets.replace("importance = 90", &format!("importance = {}", 85 + self.changes % 15));
                let file = std::env::temp_dir().join(format!("jayreach-{}-{}.toml", std::process::id(), self.changes));
                fs::write(&file, text).map(|()| file)
            })
            .collect::<Result<_, _>>()?;
        let fleet = &*self.fleet;
        let codes: Vec<_> = thread::scope(|scope| {
            let apply = |file| move || fleet.run_command(&["apply", file, "--why", "soak", "--json"]);
            let names: Vec<_> = files.iter().map(|it| it.to_str().expect("a path in UTF-8")).collect();
            let running: Vec<_> = names.iter().map(|it| scope.spawn(apply(*it))).collect();
            running.into_iter().map(|it| it.join().expect("a command does not panic")).collect()
        });
        for (code, text) in codes.into_iter().flatten() {
            self.accepted += usize::from(code == Some(0) && text.contains("\"changed\": true"));
        }
        files.iter().try_for_each(fs::remove_file)
    }
}

/// Polls the daemons' versions until `finished` is set; counts how often one went back within an incarnation.
fn watch_versions(locals: &[SocketAddr], finished: &AtomicBool) -> usize {
    let mut seen = vec![(0, 0); locals.len()];
    let mut reverts = 0;
    while !finished.load(Ordering::Acquire) {
        for (local, seen) in locals.iter().zip(&mut seen) {
            let Ok(status) = fetch_status(*local) else { continue };
            let now = (status["incarnation"].as_u64().unwrap_or(0), status["config_version"].as_u64().unwrap_or(0));
            reverts += usize::from(now.0 == seen.0 && now.1 < seen.1);
            *seen = now;
        }
        thread::sleep(Duration::from_millis(200));
    }
    reverts
}

/// Waits until all daemons have activated the last accepted version and list all endpoints; false after a timeout.
fn wait_for_recovery(fleet: &Fleet, accepted: usize) -> io::Result<bool> {
    let deadline = Instant::now() + RECOVERY_LIMIT;
    while Instant::now() < deadline {
        let version = |it: &DaemonProcess| fetch_status(it.local).ok()?["config_version"].as_u64();
        let lists_all = |it: &DaemonProcess| count_eligible(it.local).is_ok_and(|seen| seen == fleet.endpoints.len());
        if fleet.daemons.iter().all(|it| version(it) == Some(accepted as u64) && lists_all(it)) {
            return Ok(true);
        }
        thread::sleep(Duration::from_millis(100));
    }
    Ok(false)
}

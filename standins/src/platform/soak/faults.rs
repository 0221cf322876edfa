//! Draws a schedule of faults from the seed, some of them overlapping, and injects them. Records the periods in which
//! the checks have to allow for a fault.

use std::{
    io,
    os::unix::process::ExitStatusExt as _,
    thread,
    time::{Duration, Instant},
};

use rand::{RngExt as _, SeedableRng as _, rngs::SmallRng, seq::IndexedRandom as _};
use rustix::process::Signal;

use super::{SoakOptions, configuration};
use crate::{
    platform::{
        endpoint::EndpointMode,
        endpoint_rules::ProxyFault,
        site::{Relays, Site},
        store::StoreMode,
    },
    relay::{Impairment, Relay},
};

/// Time between the starts of faults, in milliseconds.
const START_INTERVAL_MS: std::ops::Range<u64> = 100..1_500;
/// Duration of a fault, in milliseconds.
const DURATION_MS: std::ops::Range<u64> = 50..4_000;
/// Time that a stopping proxy may take: `grace_s` of its settings and a margin for a busy machine.
const STOP_TIMEOUT: Duration = Duration::from_secs(3 + 2);

/// Number of reloads after each restart of a proxy, if the options ask for them, and the time in which they come.
const RELOADS_AFTER_RESTART: usize = 6;
const MAX_RELOAD_AGE: Duration = Duration::from_secs(3);

/// Selects one of the relays around a proxy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Side {
    Peers,
    Endpoint,
    Store,
}

impl Side {
    /// The selected relay.
    fn of(self, relays: &Option<Relays>) -> &Relay {
        let relays = relays.as_ref().expect("a soak's proxies have relays");
        match self {
            Self::Peers => &relays.peers,
            Self::Endpoint => &relays.endpoint,
            Self::Store => &relays.store,
        }
    }
}

/// A fault; the proxy that it applies to is kept in its [`FaultEvent`]. A verbose soak prints the names.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    /// The proxy is killed, and started again at the end.
    Kill,
    /// The proxy is suspended (SIGSTOP), and resumed at the end.
    Pause,
    /// The proxy gets SIGTERM this many times, and is started again at the end.
    Stop(u32),
    /// The proxy gets SIGHUP and reads its settings again.
    Reload,
    /// The endpoint misbehaves.
    Endpoint(EndpointMode),
    /// The endpoint announces that it drains; at the end another incarnation replaces it.
    Leave,
    /// The endpoint names this limit in its answers.
    Limit(&'static str),
    /// The endpoint says in its answers that it is leaving, while its heartbeats say that it is ready; at the end
    /// another incarnation replaces it.
    LeaveByAnswers,
    /// Another incarnation takes over the endpoint's address; the former one announces no end.
    Replace,
    /// The store misbehaves.
    Store(StoreMode),
    /// The store discards its history, so that watches have to list again.
    Compact,
    /// The configuration is replaced.
    Change,
    /// A relay delays or blocks traffic.
    Weather(Side, Impairment),
    /// Open connections of a relay stay open but carry no more data.
    Silence(Side),
    /// Open connections of a relay are reset.
    Reset(Side),
}

impl Fault {
    /// Draws a fault of the kinds that only soaks with notices have.
    fn draw_notice(rng: &mut SmallRng) -> Self {
        const LIMITS: [&str; 8] = ["0.5", "1", "1", "2", "3.4", "8", "0", "many"];
        if rng.random_bool(0.8) {
            Self::Limit(LIMITS.choose(rng).expect("the list is not empty"))
        } else {
            Self::LeaveByAnswers
        }
    }

    /// How long the fault lasts, in milliseconds.
    fn duration_ms(self) -> std::ops::Range<u64> {
        match self {
            // A limit has to hold from three seconds after it was first named.
            Self::Limit(_) => 4_000..14_000,
            Self::LeaveByAnswers => 3_000..6_000,
            _ => DURATION_MS,
        }
    }

    fn draw(rng: &mut SmallRng) -> Self {
        const ENDPOINT_MODES: [EndpointMode; 9] = [
            EndpointMode::FailsFast,
            EndpointMode::FailsSlowly,
            EndpointMode::Sheds,
            EndpointMode::Hangs,
            EndpointMode::Resets,
            EndpointMode::Truncates,
            EndpointMode::AnswersAnother,
            EndpointMode::Unsealed,
            EndpointMode::SaysMore,
        ];
        const STORE_MODES: [StoreMode; 3] = [StoreMode::Busy, StoreMode::Reset, StoreMode::LosesAnswers];
        const SIDES: [Side; 3] = [Side::Peers, Side::Endpoint, Side::Store];
        let side = *SIDES.choose(rng).expect("the list is not empty");
        match rng.random_range(0..16) {
            0 | 1 => Self::Kill,
            2 => Self::Pause,
            3 | 4 => Self::Stop(rng.random_range(1..3)),
            5 => Self::Reload,
            6 | 7 => Self::Endpoint(*ENDPOINT_MODES.choose(rng).expect("the list is not empty")),
            8 => Self::Leave,
            9 => Self::Replace,
            10 => Self::Store(*STORE_MODES.choose(rng).expect("the list is not empty")),
            11 => Self::Compact,
            12 => Self::Change,
            13 => {
                let delay = Impairment::Delayed(Duration::from_millis(rng.random_range(5..300)));
                let impairments = [delay, Impairment::CutTo, Impairment::CutFrom];
                Self::Weather(side, *impairments.choose(rng).expect("the list is not empty"))
            }
            14 => Self::Silence(side),
            _ => Self::Reset(side),
        }
    }
}

impl Fault {
    /// What the fault may keep from sending or receiving changes in time: `Some(Some(index))` for the proxy `index`,
    /// `Some(None)` for the store, `None` for nothing.
    fn delays_changes(self, index: usize) -> Option<Option<usize>> {
        match self {
            Self::Kill | Self::Pause | Self::Stop(_) | Self::Weather(..) | Self::Silence(_) | Self::Reset(_) => {
                Some(Some(index))
            }
            Self::Store(_) | Self::Compact => Some(None),
            Self::Reload
            | Self::Endpoint(_)
            | Self::Leave
            | Self::Limit(_)
            | Self::LeaveByAnswers
            | Self::Replace
            | Self::Change => None,
        }
    }
}

/// Start or end of a fault in the schedule.
struct FaultEvent {
    at: Duration,
    fault: Fault,
    proxy: usize,
    is_start: bool,
}

/// Period in which a proxy may lose responses, because it was killed or suspended.
#[derive(Debug, Clone, Copy)]
pub(super) struct DisturbedPeriod {
    pub(super) proxy: usize,
    pub(super) from: Instant,
    pub(super) to: Instant,
}

/// Period in which a proxy or the store may not send or receive changes in time.
#[derive(Debug, Clone, Copy)]
pub(super) struct FaultPeriod {
    /// Index of the proxy; `None` for the store.
    pub(super) proxy: Option<usize>,
    pub(super) from: Instant,
    /// `None` until the fault ends.
    pub(super) to: Option<Instant>,
}

/// Record of the injected faults, which the checks take into account.
pub(super) struct FaultRecord {
    /// Version of the last configuration.
    pub(super) version: u32,
    pub(super) crashes: usize,
    pub(super) disturbances: Vec<DisturbedPeriod>,
    pub(super) fault_periods: Vec<FaultPeriod>,
    pub(super) draining_periods: Vec<DrainingPeriod>,
    /// Restarts of proxies.
    pub(super) restarts: Vec<ProxyFault>,
    /// Faults on the path from a proxy to its endpoint, which may hold up requests so that they arrive together.
    pub(super) endpoint_path_faults: Vec<ProxyFault>,
}

/// Period from the acknowledgement that an endpoint is draining until another incarnation replaces it.
#[derive(Debug, Clone, Copy)]
pub(super) struct DrainingPeriod {
    pub(super) proxy: usize,
    pub(super) from: Instant,
    pub(super) to: Option<Instant>,
}

/// Injects the faults into a deployment.
pub(super) struct FaultInjector<'a> {
    options: &'a SoakOptions,
    site: &'a mut Site,
    rng: SmallRng,
    version: u32,
    last_instance: u32,
    crashes: usize,
    disturbances: Vec<DisturbedPeriod>,
    fault_periods: Vec<FaultPeriod>,
    draining_periods: Vec<DrainingPeriod>,
    restarts: Vec<ProxyFault>,
    endpoint_path_faults: Vec<ProxyFault>,
    /// By proxy: whether it was killed or got SIGTERM, and has not been started again yet.
    expected_down: Vec<bool>,
    /// Draws the reloads of restarted proxies. It is separate, so that they leave the schedule of faults as it is.
    reload_rng: SmallRng,
    /// Times and proxies of the reloads to come, the last first.
    reloads: Vec<(Instant, usize)>,
}

impl<'a> FaultInjector<'a> {
    pub(super) fn new(options: &'a SoakOptions, site: &'a mut Site) -> Self {
        let expected_down = vec![false; site.proxies.len()];
        Self {
            options,
            site,
            rng: SmallRng::seed_from_u64(options.seed),
            version: 1,
            last_instance: 1_000,
            crashes: 0,
            disturbances: Vec::new(),
            fault_periods: Vec::new(),
            draining_periods: Vec::new(),
            restarts: Vec::new(),
            endpoint_path_faults: Vec::new(),
            expected_down,
            reload_rng: SmallRng::seed_from_u64(!options.seed),
            reloads: Vec::new(),
        }
    }

    /// Injects all faults and ends each of them. Fails if a proxy can't be started again.
    pub(super) fn run(&mut self) -> io::Result<()> {
        let start = Instant::now();
        for it in self.draw_schedule() {
            self.reload_restarted_proxies(start + it.at)?;
            thread::sleep(it.at.saturating_sub(start.elapsed()));
            self.restart_crashed_proxies()?;
            if self.options.verbose {
                let word = if it.is_start { "begins" } else { "ends" };
                println!("{:6.2} s  proxy {}: {:?} {word}", start.elapsed().as_secs_f64(), it.proxy + 1, it.fault);
            }
            if it.is_start { self.start_fault(it.fault, it.proxy) } else { self.end_fault(it.fault, it.proxy)? }
        }
        self.reload_restarted_proxies(Instant::now() + MAX_RELOAD_AGE)?;
        self.restart_crashed_proxies()
    }

    /// Returns the record of the injected faults.
    pub(super) fn into_record(self) -> FaultRecord {
        let Self {
            version,
            crashes,
            disturbances,
            fault_periods,
            draining_periods,
            restarts,
            endpoint_path_faults,
            ..
        } = self;
        FaultRecord { version, crashes, disturbances, fault_periods, draining_periods, restarts, endpoint_path_faults }
    }

    fn draw_schedule(&mut self) -> Vec<FaultEvent> {
        let mut schedule = Vec::new();
        let mut at = Duration::ZERO;
        loop {
            at += Duration::from_millis(self.rng.random_range(START_INTERVAL_MS));
            if at >= self.options.duration {
                break;
            }
            let fault = match self.options.notices && self.rng.random_bool(0.4) {
                true => Fault::draw_notice(&mut self.rng),
                false => Fault::draw(&mut self.rng),
            };
            let proxy = self.rng.random_range(0..self.options.proxies);
            let end = at + Duration::from_millis(self.rng.random_range(fault.duration_ms()));
            schedule.push(FaultEvent { at, fault, proxy, is_start: true });
            schedule.push(FaultEvent { at: end, fault, proxy, is_start: false });
        }
        schedule.sort_by_key(|it| it.at);
        schedule
    }

    fn start_fault(&mut self, fault: Fault, index: usize) {
        let now = Instant::now();
        if let Some(proxy) = fault.delays_changes(index) {
            self.fault_periods.push(FaultPeriod { proxy, from: now, to: None });
        }
        let proxy = &mut self.site.proxies[index];
        match fault {
            Fault::Kill => {
                self.expected_down[index] = true;
                proxy.kill();
            }
            Fault::Pause => proxy.signal(Signal::STOP),
            Fault::Stop(times) => {
                self.expected_down[index] = true;
                (0..times).for_each(|_| proxy.signal(Signal::TERM));
            }
            Fault::Reload => proxy.reload(),
            Fault::Endpoint(mode) => proxy.endpoint.set_mode(mode),
            Fault::Leave => {
                if proxy.endpoint.announce(proxy.announcements, true).is_ok_and(|it| it == 200) {
                    self.draining_periods.push(DrainingPeriod { proxy: index, from: Instant::now(), to: None });
                }
            }
            Fault::Limit(value) => proxy.endpoint.set_limit(Some(value)),
            Fault::LeaveByAnswers => proxy.endpoint.leave_by_answers(),
            Fault::Replace => self.replace_endpoint(index),
            Fault::Store(mode) => self.site.store.set_mode(mode),
            Fault::Compact => self.site.store.compact(),
            Fault::Change => {
                self.version += 1;
                self.site.store.put_config(configuration(self.version));
            }
            Fault::Weather(side, impairment) => side.of(&proxy.relays).set_impairment(impairment),
            Fault::Silence(side) => side.of(&proxy.relays).silence_open_connections(),
            Fault::Reset(side) => side.of(&proxy.relays).reset_open_connections(),
        }
        match fault {
            Fault::Kill | Fault::Stop(_) => self.restarts.push(ProxyFault { proxy: index, from: now, to: None }),
            Fault::Weather(Side::Endpoint, _) | Fault::Silence(Side::Endpoint) | Fault::Reset(Side::Endpoint) => {
                self.endpoint_path_faults.push(ProxyFault { proxy: index, from: now, to: None });
            }
            _ => (),
        }
        if matches!(fault, Fault::Kill | Fault::Pause) {
            self.disturbances.push(DisturbedPeriod { proxy: index, from: now, to: now + STOP_TIMEOUT });
        }
    }

    fn end_fault(&mut self, fault: Fault, index: usize) -> io::Result<()> {
        let proxy = &mut self.site.proxies[index];
        match fault {
            Fault::Kill | Fault::Stop(_) => self.restart_proxy(index)?,
            Fault::Pause => {
                proxy.signal(Signal::CONT);
                // The schedule waits for proxies that stop, so a pause may last longer than planned.
                if let Some(it) = self.disturbances.iter_mut().rfind(|it| it.proxy == index) {
                    it.to = it.to.max(Instant::now());
                }
            }
            Fault::Endpoint(_) => proxy.endpoint.set_mode(EndpointMode::Good),
            Fault::Limit(_) => proxy.endpoint.set_limit(None),
            Fault::Leave | Fault::LeaveByAnswers => self.replace_endpoint(index),
            Fault::Store(_) => self.site.store.set_mode(StoreMode::Good),
            Fault::Weather(side, _) => side.of(&proxy.relays).set_impairment(Impairment::None),
            Fault::Reload | Fault::Replace | Fault::Compact | Fault::Change | Fault::Silence(_) | Fault::Reset(_) => (),
        }
        if let Some(proxy) = fault.delays_changes(index)
            && let Some(it) = self.fault_periods.iter_mut().find(|it| it.proxy == proxy && it.to.is_none())
        {
            it.to = Some(Instant::now());
        }
        if matches!(
            fault,
            Fault::Weather(Side::Endpoint, _) | Fault::Silence(Side::Endpoint) | Fault::Reset(Side::Endpoint)
        ) && let Some(it) = self.endpoint_path_faults.iter_mut().find(|it| it.proxy == index && it.to.is_none())
        {
            it.to = Some(Instant::now());
        }
        Ok(())
    }

    /// Replaces the endpoint by another incarnation at the same address.
    fn replace_endpoint(&mut self, index: usize) {
        self.last_instance += 1;
        self.site.proxies[index].endpoint.replace(&format!("i-{}", self.last_instance));
        let now = Instant::now();
        self.draining_periods
            .iter_mut()
            .filter(|it| it.proxy == index && it.to.is_none())
            .for_each(|it| it.to = Some(now));
    }

    /// Starts a proxy again that was killed or got SIGTERM. Waits for its exit first, and kills it if that takes too
    /// long.
    fn restart_proxy(&mut self, index: usize) -> io::Result<()> {
        let proxy = &mut self.site.proxies[index];
        let deadline = Instant::now() + STOP_TIMEOUT;
        // An overlapping pause would keep it from exiting.
        proxy.signal(Signal::CONT);
        while !proxy.has_exited() && Instant::now() < deadline {
            thread::sleep(Duration::from_millis(20));
        }
        let now = Instant::now();
        if !proxy.has_exited() {
            // The platform kills a proxy that doesn't exit in time, so responses may be lost.
            self.disturbances.push(DisturbedPeriod { proxy: index, from: now - STOP_TIMEOUT, to: now + STOP_TIMEOUT });
        }
        if self.site.proxies[index].exit_status().and_then(|it| it.signal()) == Some(Signal::HUP.as_raw()) {
            self.crashes += 1;
            println!("          proxy {} was ended by SIGHUP before it was killed or stopped", index + 1);
        }
        self.restart(index)?;
        self.expected_down[index] = false;
        let now = Instant::now();
        for it in self.restarts.iter_mut().filter(|it| it.proxy == index && it.to.is_none()) {
            it.to = Some(now);
        }
        Ok(())
    }

    /// Starts a proxy again, and draws when it gets SIGHUP if the options ask for that.
    fn restart(&mut self, index: usize) -> io::Result<()> {
        self.site.proxies[index].restart()?;
        if self.options.reloading {
            let now = Instant::now();
            for _ in 0..RELOADS_AFTER_RESTART {
                // Squared, so that most come early, when the proxy has just opened its ports.
                let at = MAX_RELOAD_AGE.mul_f64(self.reload_rng.random::<f64>().powi(2));
                self.reloads.push((now + at, index));
            }
            self.reloads.sort_unstable_by(|a, b| b.cmp(a));
        }
        Ok(())
    }

    /// Sends the reloads that are due before `end`, each at its time.
    fn reload_restarted_proxies(&mut self, end: Instant) -> io::Result<()> {
        while let Some((at, index)) = self.reloads.pop_if(|it| it.0 < end) {
            thread::sleep(at.saturating_duration_since(Instant::now()));
            self.restart_crashed_proxies()?;
            if !self.expected_down[index] {
                self.site.proxies[index].reload();
            }
        }
        Ok(())
    }

    /// Counts and restarts proxies that exited although the soak had neither killed nor stopped them.
    fn restart_crashed_proxies(&mut self) -> io::Result<()> {
        for index in 0..self.site.proxies.len() {
            let proxy = &mut self.site.proxies[index];
            if !self.expected_down[index]
                && let Some(status) = proxy.exit_status()
            {
                self.crashes += 1;
                println!(
                    "          proxy {} ended unexpectedly: {status}, {:.1?} after its start",
                    index + 1,
                    proxy.age()
                );
                let from = Instant::now();
                self.restart(index)?;
                self.restarts.push(ProxyFault { proxy: index, from, to: Some(Instant::now()) });
            }
        }
        Ok(())
    }
}

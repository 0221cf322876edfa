//! The faults: drawn from the seed, in series and overlapping.

use std::{
    io, thread,
    time::{Duration, Instant},
};

use rand::{RngExt as _, SeedableRng as _, rngs::SmallRng, seq::IndexedRandom as _};
use rustix::process::Signal;

use super::{SoakOptions, configuration};
use crate::{
    platform::{
        endpoint::EndpointMode,
        site::{Relays, Site},
        store::StoreMode,
    },
    relay::{Impairment, Relay},
};

/// The pause between the beginnings of faults, in milliseconds.
const GAP: std::ops::Range<u64> = 100..1_500;
/// How long faults last, in milliseconds.
const LENGTH: std::ops::Range<u64> = 50..4_000;
/// How long a stopping proxy may take: its grace in the stand-ins' settings, and what a busy machine adds.
const GRACE: Duration = Duration::from_secs(3 + 2);

/// Which connections of a proxy a relay is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Side {
    Peers,
    Endpoint,
    Store,
}

impl Side {
    fn of(self, relays: &Option<Relays>) -> &Relay {
        let relays = relays.as_ref().expect("a soak's proxies stand between relays");
        match self {
            Self::Peers => &relays.peers,
            Self::Endpoint => &relays.endpoint,
            Self::Store => &relays.store,
        }
    }
}

/// A fault; where it strikes is drawn beside it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    /// The proxy is killed and comes back.
    Kill,
    /// The proxy stands still and goes on.
    Pause,
    /// The proxy is told to stop, as often as this, and comes back.
    Stop(u32),
    /// The proxy is told that its settings changed.
    Reload,
    /// The endpoint misbehaves.
    Endpoint(EndpointMode),
    /// The endpoint says that it leaves; then another comes in its place.
    Leave,
    /// Another endpoint takes the address without a word.
    Replace,
    /// The store misbehaves.
    Store(StoreMode),
    /// The store forgets its history.
    Compact,
    /// A new configuration.
    Change,
    /// The weather between two ends.
    Weather(Side, Impairment),
    /// Open connections go silent for good.
    Silence(Side),
    /// Open connections are reset.
    Reset(Side),
}

impl Fault {
    fn draw(rng: &mut SmallRng) -> Self {
        const MODES: [EndpointMode; 9] = [
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
        const STORE: [StoreMode; 3] = [StoreMode::Busy, StoreMode::Reset, StoreMode::LosesAnswers];
        const SIDES: [Side; 3] = [Side::Peers, Side::Endpoint, Side::Store];
        let side = *SIDES.choose(rng).expect("there are some");
        match rng.random_range(0..16) {
            0 | 1 => Self::Kill,
            2 => Self::Pause,
            3 | 4 => Self::Stop(rng.random_range(1..3)),
            5 => Self::Reload,
            6 | 7 => Self::Endpoint(*MODES.choose(rng).expect("there are some")),
            8 => Self::Leave,
            9 => Self::Replace,
            10 => Self::Store(*STORE.choose(rng).expect("there are some")),
            11 => Self::Compact,
            12 => Self::Change,
            13 => {
                let delay = Impairment::Delayed(Duration::from_millis(rng.random_range(5..300)));
                let weathers = [delay, Impairment::CutTo, Impairment::CutFrom];
                Self::Weather(side, *weathers.choose(rng).expect("there are some"))
            }
            14 => Self::Silence(side),
            _ => Self::Reset(side),
        }
    }
}

impl Fault {
    /// Whom it troubles so that news may not reach it in time: the proxy `at`, or the store.
    fn troubles(self, at: usize) -> Option<Option<usize>> {
        match self {
            Self::Kill | Self::Pause | Self::Stop(_) | Self::Weather(..) | Self::Silence(_) | Self::Reset(_) => {
                Some(Some(at))
            }
            Self::Store(_) | Self::Compact => Some(None),
            Self::Reload | Self::Endpoint(_) | Self::Leave | Self::Replace | Self::Change => None,
        }
    }
}

/// One end of a fault's time.
struct Cue {
    at: Duration,
    fault: Fault,
    proxy: usize,
    begins: bool,
}

/// A time in which a proxy can't be held to its promises on open connections.
#[derive(Debug, Clone, Copy)]
pub(super) struct Disturbed {
    pub(super) proxy: usize,
    pub(super) from: Instant,
    pub(super) to: Instant,
}

/// A time in which a proxy, or the store, is in trouble.
#[derive(Debug, Clone, Copy)]
pub(super) struct Troubled {
    /// `None` for the store.
    pub(super) proxy: Option<usize>,
    pub(super) from: Instant,
    /// `None` while it lasts.
    pub(super) to: Option<Instant>,
}

/// What was played, for the promises' check.
pub(super) struct Played {
    /// The last version of the configuration.
    pub(super) version: u32,
    pub(super) crashes: usize,
    pub(super) disturbed: Vec<Disturbed>,
    pub(super) troubled: Vec<Troubled>,
    pub(super) left: Vec<Left>,
}

/// An endpoint whose leaving was acknowledged, until another took its place.
#[derive(Debug, Clone, Copy)]
pub(super) struct Left {
    pub(super) proxy: usize,
    pub(super) from: Instant,
    pub(super) to: Option<Instant>,
}

/// Plays the faults on a deployment.
pub(super) struct Stage<'a> {
    options: &'a SoakOptions,
    site: &'a mut Site,
    rng: SmallRng,
    version: u32,
    endpoints: u32,
    crashes: usize,
    disturbed: Vec<Disturbed>,
    troubled: Vec<Troubled>,
    left: Vec<Left>,
    /// Proxies that were told to end.
    down: Vec<bool>,
}

impl<'a> Stage<'a> {
    pub(super) fn new(options: &'a SoakOptions, site: &'a mut Site) -> Self {
        let down = vec![false; site.proxies.len()];
        Self {
            options,
            site,
            rng: SmallRng::seed_from_u64(options.seed),
            version: 1,
            endpoints: 1_000,
            crashes: 0,
            disturbed: Vec::new(),
            troubled: Vec::new(),
            left: Vec::new(),
            down,
        }
    }

    /// Plays all faults; everything is mended at the end.
    pub(super) fn play(&mut self) -> io::Result<()> {
        let start = Instant::now();
        for cue in self.script() {
            thread::sleep(cue.at.saturating_sub(start.elapsed()));
            self.count_crashes()?;
            if self.options.verbose {
                let word = if cue.begins { "begins" } else { "ends" };
                println!("{:6.2} s  proxy {}: {:?} {word}", start.elapsed().as_secs_f64(), cue.proxy + 1, cue.fault);
            }
            if cue.begins { self.begin(cue.fault, cue.proxy) } else { self.end(cue.fault, cue.proxy)? }
        }
        self.count_crashes()
    }

    /// What was played.
    pub(super) fn close(self) -> Played {
        let Self { version, crashes, disturbed, troubled, left, .. } = self;
        Played { version, crashes, disturbed, troubled, left }
    }

    fn script(&mut self) -> Vec<Cue> {
        let mut cues = Vec::new();
        let mut at = Duration::ZERO;
        loop {
            at += Duration::from_millis(self.rng.random_range(GAP));
            if at >= self.options.duration {
                break;
            }
            let fault = Fault::draw(&mut self.rng);
            let proxy = self.rng.random_range(0..self.options.proxies);
            let end = at + Duration::from_millis(self.rng.random_range(LENGTH));
            cues.push(Cue { at, fault, proxy, begins: true });
            cues.push(Cue { at: end, fault, proxy, begins: false });
        }
        cues.sort_by_key(|it| it.at);
        cues
    }

    fn begin(&mut self, fault: Fault, at: usize) {
        let now = Instant::now();
        if let Some(proxy) = fault.troubles(at) {
            self.troubled.push(Troubled { proxy, from: now, to: None });
        }
        let proxy = &mut self.site.proxies[at];
        match fault {
            Fault::Kill => {
                self.down[at] = true;
                proxy.kill();
            }
            Fault::Pause => proxy.signal(Signal::STOP),
            Fault::Stop(times) => {
                self.down[at] = true;
                (0..times).for_each(|_| proxy.signal(Signal::TERM));
            }
            Fault::Reload => proxy.reload(),
            Fault::Endpoint(mode) => proxy.endpoint.set_mode(mode),
            Fault::Leave => {
                if proxy.endpoint.announce(proxy.announcements, true).is_ok_and(|it| it == 200) {
                    self.left.push(Left { proxy: at, from: Instant::now(), to: None });
                }
            }
            Fault::Replace => self.replace(at),
            Fault::Store(mode) => self.site.store.set_mode(mode),
            Fault::Compact => self.site.store.compact(),
            Fault::Change => {
                self.version += 1;
                self.site.store.put_config(configuration(self.version));
            }
            Fault::Weather(side, weather) => side.of(&proxy.relays).set_impairment(weather),
            Fault::Silence(side) => side.of(&proxy.relays).silence_open_connections(),
            Fault::Reset(side) => side.of(&proxy.relays).reset_open_connections(),
        }
        if matches!(fault, Fault::Kill | Fault::Pause) {
            self.disturbed.push(Disturbed { proxy: at, from: now, to: now + GRACE });
        }
    }

    fn end(&mut self, fault: Fault, at: usize) -> io::Result<()> {
        let proxy = &mut self.site.proxies[at];
        match fault {
            Fault::Kill | Fault::Stop(_) => self.bring_back(at)?,
            Fault::Pause => {
                proxy.signal(Signal::CONT);
                // Cues wait for proxies that stop, so a pause may last longer than it should.
                if let Some(it) = self.disturbed.iter_mut().rfind(|it| it.proxy == at) {
                    it.to = it.to.max(Instant::now());
                }
            }
            Fault::Endpoint(_) => proxy.endpoint.set_mode(EndpointMode::Good),
            Fault::Leave => self.replace(at),
            Fault::Store(_) => self.site.store.set_mode(StoreMode::Good),
            Fault::Weather(side, _) => side.of(&proxy.relays).set_impairment(Impairment::None),
            Fault::Reload | Fault::Replace | Fault::Compact | Fault::Change | Fault::Silence(_) | Fault::Reset(_) => (),
        }
        if let Some(proxy) = fault.troubles(at)
            && let Some(it) = self.troubled.iter_mut().find(|it| it.proxy == proxy && it.to.is_none())
        {
            it.to = Some(Instant::now());
        }
        Ok(())
    }

    /// Another incarnation takes the endpoint's address.
    fn replace(&mut self, at: usize) {
        self.endpoints += 1;
        self.site.proxies[at].endpoint.replace(&format!("i-{}", self.endpoints));
        let now = Instant::now();
        self.left.iter_mut().filter(|it| it.proxy == at && it.to.is_none()).for_each(|it| it.to = Some(now));
    }

    /// Starts a proxy anew that was told to end, once it has.
    fn bring_back(&mut self, at: usize) -> io::Result<()> {
        let proxy = &mut self.site.proxies[at];
        let deadline = Instant::now() + GRACE;
        // A pause that overlaps would keep it from ending.
        proxy.signal(Signal::CONT);
        while !proxy.has_exited() && Instant::now() < deadline {
            thread::sleep(Duration::from_millis(20));
        }
        let now = Instant::now();
        if !proxy.has_exited() {
            // The platform kills what does not end in time.
            self.disturbed.push(Disturbed { proxy: at, from: now - GRACE, to: now + GRACE });
        }
        proxy.restart()?;
        self.down[at] = false;
        Ok(())
    }

    /// A proxy that ended without being told to.
    fn count_crashes(&mut self) -> io::Result<()> {
        for at in 0..self.site.proxies.len() {
            if !self.down[at] && self.site.proxies[at].has_exited() {
                self.crashes += 1;
                self.site.proxies[at].restart()?;
            }
        }
        Ok(())
    }
}

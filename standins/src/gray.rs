//! `standins gray`: detection time against false ejections, as a curve over seeded traces.
//!
//! A trace is one service's work for some hours: samples at each endpoint's rate, with single
//! errors, short error bursts, trouble that all endpoints share, and gray faults of one endpoint.
//! The project's detector runs at several thresholds beside two published rules: ejection after
//! consecutive errors, and success-rate outliers (both with the defaults of a widely used proxy).

use std::fmt;

use jayreach::decide::{Evidence, FailureDetector, Sample, failure_level, median_failure_rate};
use rand::{RngExt as _, SeedableRng as _, rngs::SmallRng};

/// How long an ejected endpoint stays out, in seconds; the same for every rule.
const HOLD: f64 = 30.0;
/// The share of single errors of a healthy endpoint.
const BASE_ERRORS: f64 = 0.001;
/// How long a gray fault lasts, in seconds.
const FAULT_LENGTH: f64 = 60.0;
/// The time between the starts of two events of a trace, in seconds.
const EVENT_GAP: f64 = 180.0;
/// How often the outlier rule looks, in seconds.
const OUTLIER_INTERVAL: f64 = 10.0;
/// How many requests an endpoint must have had for the outlier rule.
const OUTLIER_VOLUME: u32 = 100;
/// How many standard deviations below the mean an outlier is.
const OUTLIER_FACTOR: f64 = 1.9;

/// A service whose work is traced.
#[derive(Debug, Clone, Copy)]
pub struct Service {
    /// The deployment's name.
    pub name: &'static str,
    /// How many endpoints it has.
    pub endpoints: usize,
    /// Requests a second at each of them.
    pub rate: f64,
}

/// Prairie's vouchers: 10 endpoints, busy.
pub const PRAIRIE: Service = Service { name: "Prairie", endpoints: 10, rate: 20.0 };
/// Pila Verde's intake: 8 endpoints, few requests.
pub const PILA_VERDE: Service = Service { name: "Pila Verde", endpoints: 8, rate: 4.0 };

/// How an endpoint is ejected.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Rule {
    /// The project's detector with so much evidence.
    Detector(f64),
    /// So many errors in a row.
    Consecutive(u32),
    /// A success rate far below the mean.
    Outlier,
}

impl fmt::Display for Rule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Detector(limit) => write!(f, "evidence {limit:>4.1}"),
            Self::Consecutive(count) => write!(f, "{count} in a row"),
            Self::Outlier => write!(f, "success outlier"),
        }
    }
}

/// An event of a trace.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Event {
    /// One endpoint fails a share of its work.
    Gray(f64),
    /// One endpoint fails all work for so many seconds, then none, and again.
    Flap(f64),
    /// One healthy endpoint has a short burst of errors.
    Burst,
    /// All endpoints fail a share of their work for a while: a slow-down or an overload.
    Common(f64),
}

const EVENTS: [Event; 10] = [
    Event::Gray(1.0),
    Event::Burst,
    Event::Gray(0.5),
    Event::Common(0.2),
    Event::Gray(0.2),
    Event::Burst,
    Event::Flap(1.0),
    Event::Common(0.5),
    Event::Flap(10.0),
    Event::Burst,
];

/// What a rule did on a trace.
#[derive(Debug, Clone)]
pub struct Outcome {
    /// The rule.
    pub rule: Rule,
    /// The mean time to the first ejection, in seconds, for gray faults of all, half and a fifth
    /// of the work and for the two flaps; a fault that was missed counts its whole length.
    pub detection: [f64; 5],
    /// Ejections of healthy endpoints, for each endpoint and day.
    pub false_ejections: f64,
}

/// Runs a rule over `hours` of a service's trace.
pub fn run(service: Service, rule: Rule, hours: f64, seed: u64) -> Outcome {
    let mut trace = Trace::new(service, rule, seed);
    let events = (hours * 3600.0 / EVENT_GAP) as usize;
    let mut found: Vec<(Event, f64)> = Vec::new();
    for number in 0..events {
        let event = EVENTS[number % EVENTS.len()];
        let detected = trace.run_event(event, number % service.endpoints);
        found.push((event, detected));
    }
    let mean = |wanted: Event| {
        let times: Vec<_> = found.iter().filter(|it| it.0 == wanted).map(|it| it.1).collect();
        times.iter().sum::<f64>() / times.len().max(1) as f64
    };
    let faults = [Event::Gray(1.0), Event::Gray(0.5), Event::Gray(0.2), Event::Flap(1.0), Event::Flap(10.0)];
    let endpoint_days = service.endpoints as f64 * hours / 24.0;
    Outcome { rule, detection: faults.map(mean), false_ejections: f64::from(trace.false_ejections) / endpoint_days }
}

#[derive(Clone, Default)]
struct Endpoint {
    detector: FailureDetector,
    in_a_row: u32,
    good: u32,
    bad: u32,
    out_until: f64,
}

struct Trace {
    service: Service,
    rule: Rule,
    rng: SmallRng,
    now: f64,
    looked: f64,
    endpoints: Vec<Endpoint>,
    false_ejections: u32,
}

impl Trace {
    fn new(service: Service, rule: Rule, seed: u64) -> Self {
        let endpoints = vec![Endpoint::default(); service.endpoints];
        let rng = SmallRng::seed_from_u64(seed);
        Self { service, rule, rng, now: 0.0, looked: 0.0, endpoints, false_ejections: 0 }
    }

    /// Runs one event and the quiet after it; returns when the faulty endpoint was first ejected.
    fn run_event(&mut self, event: Event, at: usize) -> f64 {
        let start = self.now;
        let mut detected = FAULT_LENGTH;
        while self.now < start + EVENT_GAP {
            // The next request of the whole service goes to a random endpoint that is in.
            let total = self.service.rate * self.service.endpoints as f64;
            self.now -= (1.0 - self.rng.random::<f64>()).ln() / total;
            let since = self.now - start;
            let to = self.rng.random_range(0..self.service.endpoints);
            if self.endpoints[to].out_until > self.now {
                continue;
            }
            let faulty = to == at && is_fault(event) && since < FAULT_LENGTH;
            let failed = self.rng.random_bool(failure_rate(event, to == at, since));
            if self.observe(to, failed) {
                if faulty {
                    detected = detected.min(since);
                } else if to != at || !is_fault(event) {
                    self.false_ejections += 1;
                }
            }
        }
        detected
    }

    /// Takes a sample in; whether the endpoint is ejected by it.
    fn observe(&mut self, at: usize, failed: bool) -> bool {
        let ejected = match self.rule {
            Rule::Detector(limit) => {
                let others = self.endpoints.iter().enumerate().filter(|it| it.0 != at);
                let mut levels: Vec<u8> = others.map(|it| failure_level(it.1.detector.failure_rate())).collect();
                let baseline = median_failure_rate(&mut levels);
                let sample = if failed { Sample::Bad } else { Sample::Good };
                self.endpoints[at].detector.record(sample, baseline, limit) == Evidence::Bad
            }
            Rule::Consecutive(count) => {
                let it = &mut self.endpoints[at];
                it.in_a_row = if failed { it.in_a_row + 1 } else { 0 };
                it.in_a_row >= count
            }
            Rule::Outlier => {
                let it = &mut self.endpoints[at];
                it.good += u32::from(!failed);
                it.bad += u32::from(failed);
                return self.look(at);
            }
        };
        if ejected {
            self.eject(at);
        }
        ejected
    }

    fn eject(&mut self, at: usize) {
        self.endpoints[at] = Endpoint { out_until: self.now + HOLD, ..Endpoint::default() };
    }

    /// The outlier rule looks at all endpoints every interval; whether `at` is ejected by it.
    fn look(&mut self, at: usize) -> bool {
        if self.now - self.looked < OUTLIER_INTERVAL {
            return false;
        }
        self.looked = self.now;
        let rate = |it: &Endpoint| f64::from(it.good) / f64::from((it.good + it.bad).max(1));
        let busy: Vec<_> = self.endpoints.iter().filter(|it| it.good + it.bad >= OUTLIER_VOLUME).map(rate).collect();
        let mean = busy.iter().sum::<f64>() / busy.len().max(1) as f64;
        let variance = busy.iter().map(|it| (it - mean).powi(2)).sum::<f64>() / busy.len().max(1) as f64;
        let limit = mean - OUTLIER_FACTOR * variance.sqrt();
        let mut hit = false;
        for index in 0..self.endpoints.len() {
            let it = &mut self.endpoints[index];
            let enough = it.good + it.bad >= OUTLIER_VOLUME && busy.len() >= 5;
            let out = enough && rate(it) < limit;
            (it.good, it.bad) = (0, 0);
            if out {
                self.eject(index);
                hit |= index == at;
                // Others than the one being served are counted here, since nobody asks for them.
                self.false_ejections += u32::from(index != at);
            }
        }
        hit
    }
}

fn is_fault(event: Event) -> bool {
    matches!(event, Event::Gray(_) | Event::Flap(_))
}

fn failure_rate(event: Event, is_target: bool, since: f64) -> f64 {
    let rate = match event {
        Event::Gray(share) if is_target && since < FAULT_LENGTH => share,
        Event::Flap(period) if is_target && since < FAULT_LENGTH && in_first_half(since, period) => 1.0,
        Event::Burst if is_target && since < 1.0 => 0.3,
        Event::Common(share) if since < 30.0 => share,
        _ => 0.0,
    };
    rate.max(BASE_ERRORS)
}

/// Whether a flapping endpoint is in the bad half of its period.
fn in_first_half(since: f64, half: f64) -> bool {
    ((since / half) as u64).is_multiple_of(2)
}

/// Prints the curve of one service.
pub fn print(service: Service, hours: f64, seed: u64) {
    println!(
        "{}: {} endpoints at {} requests/s each, {hours} h, seed {seed}",
        service.name, service.endpoints, service.rate
    );
    println!(
        "{:16} {:>8} {:>8} {:>8} {:>8} {:>9} {:>22}",
        "rule", "all s", "half s", "fifth s", "flap 1s", "flap 10s", "false/endpoint-day"
    );
    let limits = [4.0, 6.0, 8.0, 11.0, 14.0, 18.0, 24.0];
    let mut rules: Vec<_> = limits.into_iter().map(Rule::Detector).collect();
    rules.extend([Rule::Consecutive(5), Rule::Outlier]);
    for rule in rules {
        let it = run(service, rule, hours, seed);
        let [all, half, fifth, flap_1, flap_10] = it.detection;
        println!(
            "{:16} {all:>8.2} {half:>8.2} {fifth:>8.2} {flap_1:>8.2} {flap_10:>9.2} {:>22.2}",
            it.rule.to_string(),
            it.false_ejections
        );
    }
}

//! `standins gray`: detection time and false ejections of several ejection rules on simulated traces.
//!
//! A trace holds the requests of one service for some hours, with single errors, short bursts of errors, failures
//! that all endpoints share, and gray failures of one endpoint. The failure detector runs at several thresholds; for
//! comparison, two published rules run with the defaults of a widely used proxy: consecutive errors and success-rate
//! outliers.

use std::fmt;

use jayreach::decide::{Evidence, FailureDetector, Sample, failure_level, median_failure_rate};
use rand::{RngExt as _, SeedableRng as _, rngs::SmallRng};

/// How long an ejected endpoint gets no requests; the same for every rule.
const EJECTION_SECONDS: f64 = 30.0;
/// Error rate of a healthy endpoint.
const BASE_ERROR_RATE: f64 = 0.001;
/// Duration of a gray failure.
const FAULT_SECONDS: f64 = 60.0;
/// Time between the starts of two events of a trace.
const EVENT_INTERVAL_SECONDS: f64 = 180.0;
/// Interval of the outlier rule.
const OUTLIER_INTERVAL_SECONDS: f64 = 10.0;
/// Requests in an interval from which the outlier rule considers an endpoint.
const OUTLIER_MIN_REQUESTS: u32 = 100;
/// Standard deviations below the mean from which a success rate is an outlier.
const OUTLIER_DEVIATIONS: f64 = 1.9;

/// A simulated service.
#[derive(Debug, Clone, Copy)]
pub struct TracedService {
    /// Name of the deployment.
    pub name: &'static str,
    /// Number of endpoints.
    pub endpoints: usize,
    /// Requests per second at each endpoint.
    pub rate: f64,
}

/// Prairie's vouchers: 10 endpoints at a high rate.
pub const PRAIRIE: TracedService = TracedService { name: "Prairie", endpoints: 10, rate: 20.0 };
/// Pila Verde's intake: 8 endpoints at a low rate.
pub const PILA_VERDE: TracedService = TracedService { name: "Pila Verde", endpoints: 8, rate: 4.0 };

/// When an endpoint is ejected.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum EjectionRule {
    /// By the failure detector, at this threshold of evidence in nats.
    Detector(f64),
    /// After this number of consecutive errors.
    Consecutive(u32),
    /// When the success rate is far below the mean of the endpoints.
    Outlier,
}

impl fmt::Display for EjectionRule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Detector(limit) => write!(f, "evidence {limit:>4.1}"),
            Self::Consecutive(count) => write!(f, "{count} in a row"),
            Self::Outlier => write!(f, "success outlier"),
        }
    }
}

/// An event of a trace; shares and rates from 0 to 1.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Event {
    /// One endpoint fails this share of its requests.
    Gray(f64),
    /// One endpoint fails all requests in every other period of this many seconds.
    Flap(f64),
    /// One healthy endpoint has a short burst of errors.
    Burst,
    /// All endpoints fail this share of their requests for a while, as in an overload.
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

/// Result of a rule on a trace.
#[derive(Debug, Clone)]
pub struct RuleResult {
    /// Rule that was applied.
    pub rule: EjectionRule,
    /// Mean time to the first ejection, in seconds, for gray failures of all, half and a fifth of the requests and
    /// for the two flapping periods. A missed failure counts with its whole duration.
    pub detection_times: [f64; 5],
    /// Ejections of healthy endpoints, per endpoint and day.
    pub false_ejections: f64,
}

/// Applies a rule to a trace of `hours`, drawn from `seed`.
pub fn run(service: TracedService, rule: EjectionRule, hours: f64, seed: u64) -> RuleResult {
    let mut trace = Trace::new(service, rule, seed);
    let events = (hours * 3600.0 / EVENT_INTERVAL_SECONDS) as usize;
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
    RuleResult {
        rule,
        detection_times: faults.map(mean),
        false_ejections: f64::from(trace.false_ejections) / endpoint_days,
    }
}

#[derive(Clone, Default)]
struct Endpoint {
    detector: FailureDetector,
    consecutive_failures: u32,
    successes: u32,
    failures: u32,
    ejected_until: f64,
}

struct Trace {
    service: TracedService,
    rule: EjectionRule,
    rng: SmallRng,
    now: f64,
    outliers_checked: f64,
    endpoints: Vec<Endpoint>,
    false_ejections: u32,
}

impl Trace {
    fn new(service: TracedService, rule: EjectionRule, seed: u64) -> Self {
        let endpoints = vec![Endpoint::default(); service.endpoints];
        let rng = SmallRng::seed_from_u64(seed);
        Self { service, rule, rng, now: 0.0, outliers_checked: 0.0, endpoints, false_ejections: 0 }
    }

    /// Simulates one event at endpoint `at` and the time until the next event. Returns the time to the first ejection
    /// of the faulty endpoint, in seconds.
    fn run_event(&mut self, event: Event, at: usize) -> f64 {
        let start = self.now;
        let mut detected = FAULT_SECONDS;
        while self.now < start + EVENT_INTERVAL_SECONDS {
            // The service's next request goes to a random endpoint; requests to an ejected one are left out.
            let total = self.service.rate * self.service.endpoints as f64;
            self.now -= (1.0 - self.rng.random::<f64>()).ln() / total;
            let since = self.now - start;
            let to = self.rng.random_range(0..self.service.endpoints);
            if self.endpoints[to].ejected_until > self.now {
                continue;
            }
            let faulty = to == at && is_fault(event) && since < FAULT_SECONDS;
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

    /// Records a sample; true if it ejects the endpoint.
    fn observe(&mut self, at: usize, failed: bool) -> bool {
        let ejected = match self.rule {
            EjectionRule::Detector(limit) => {
                let others = self.endpoints.iter().enumerate().filter(|it| it.0 != at);
                let mut levels: Vec<u8> = others.map(|it| failure_level(it.1.detector.failure_rate())).collect();
                let baseline = median_failure_rate(&mut levels);
                let sample = if failed { Sample::Bad } else { Sample::Good };
                self.endpoints[at].detector.record(sample, baseline, limit) == Evidence::Bad
            }
            EjectionRule::Consecutive(count) => {
                let it = &mut self.endpoints[at];
                it.consecutive_failures = if failed { it.consecutive_failures + 1 } else { 0 };
                it.consecutive_failures >= count
            }
            EjectionRule::Outlier => {
                let it = &mut self.endpoints[at];
                it.successes += u32::from(!failed);
                it.failures += u32::from(failed);
                return self.eject_outliers(at);
            }
        };
        if ejected {
            self.eject(at);
        }
        ejected
    }

    fn eject(&mut self, at: usize) {
        self.endpoints[at] = Endpoint { ejected_until: self.now + EJECTION_SECONDS, ..Endpoint::default() };
    }

    /// Applies the outlier rule to all endpoints once an interval; true if it ejects `at`.
    fn eject_outliers(&mut self, at: usize) -> bool {
        if self.now - self.outliers_checked < OUTLIER_INTERVAL_SECONDS {
            return false;
        }
        self.outliers_checked = self.now;
        let rate = |it: &Endpoint| f64::from(it.successes) / f64::from((it.successes + it.failures).max(1));
        let success_rates: Vec<_> =
            self.endpoints.iter().filter(|it| it.successes + it.failures >= OUTLIER_MIN_REQUESTS).map(rate).collect();
        let mean = success_rates.iter().sum::<f64>() / success_rates.len().max(1) as f64;
        let variance =
            success_rates.iter().map(|it| (it - mean).powi(2)).sum::<f64>() / success_rates.len().max(1) as f64;
        let limit = mean - OUTLIER_DEVIATIONS * variance.sqrt();
        let mut ejected = false;
        for index in 0..self.endpoints.len() {
            let it = &mut self.endpoints[index];
            let enough = it.successes + it.failures >= OUTLIER_MIN_REQUESTS && success_rates.len() >= 5;
            let out = enough && rate(it) < limit;
            (it.successes, it.failures) = (0, 0);
            if out {
                self.eject(index);
                ejected |= index == at;
                // Counts an ejection of any endpoint but `at` as false; the caller classifies that of `at`.
                self.false_ejections += u32::from(index != at);
            }
        }
        ejected
    }
}

fn is_fault(event: Event) -> bool {
    matches!(event, Event::Gray(_) | Event::Flap(_))
}

fn failure_rate(event: Event, is_target: bool, since: f64) -> f64 {
    let rate = match event {
        Event::Gray(share) if is_target && since < FAULT_SECONDS => share,
        Event::Flap(period) if is_target && since < FAULT_SECONDS && is_failing_period(since, period) => 1.0,
        Event::Burst if is_target && since < 1.0 => 0.3,
        Event::Common(share) if since < 30.0 => share,
        _ => 0.0,
    };
    rate.max(BASE_ERROR_RATE)
}

/// Whether a flapping endpoint fails now: `half` is the length of a failing or healthy period, in seconds.
fn is_failing_period(since: f64, half: f64) -> bool {
    ((since / half) as u64).is_multiple_of(2)
}

/// Prints a table of all rules for one service.
pub fn print(service: TracedService, hours: f64, seed: u64) {
    println!(
        "{}: {} endpoints at {} requests/s each, {hours} h, seed {seed}",
        service.name, service.endpoints, service.rate
    );
    println!(
        "{:16} {:>8} {:>8} {:>8} {:>8} {:>9} {:>22}",
        "rule", "all s", "half s", "fifth s", "flap 1s", "flap 10s", "false/endpoint-day"
    );
    let limits = [4.0, 6.0, 8.0, 11.0, 14.0, 18.0, 24.0];
    let mut rules: Vec<_> = limits.into_iter().map(EjectionRule::Detector).collect();
    rules.extend([EjectionRule::Consecutive(5), EjectionRule::Outlier]);
    for rule in rules {
        let it = run(service, rule, hours, seed);
        let [all, half, fifth, flap_1, flap_10] = it.detection_times;
        println!(
            "{:16} {all:>8.2} {half:>8.2} {fifth:>8.2} {flap_1:>8.2} {flap_10:>9.2} {:>22.2}",
            it.rule.to_string(),
            it.false_ejections
        );
    }
}

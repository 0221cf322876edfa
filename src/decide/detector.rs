//! Detects gray failures of an endpoint from the results of its requests, by a CUSUM test of the log-likelihood ratio.
//! The null hypothesis follows the failure rate of the service's other endpoints, so that an overload of the whole
//! service ejects no endpoint.

use crate::targets::EjectionPreference;

/// Lower bound of the healthy failure rate.
const MIN_HEALTHY_RATE: f64 = 0.01;
/// Upper bound of the healthy failure rate.
const MAX_HEALTHY_RATE: f64 = 0.5;
/// Position of the faulty failure rate between the healthy one (0) and certain failure (1).
const FAULTY_RATE_OFFSET: f64 = 0.4;
/// Smoothing factor of the running failure rate.
const SMOOTHING_FACTOR: f64 = 0.1;
/// Factor from the baseline to the healthy rate. The baseline is an estimate; if the healthy rate were below the true
/// one, failures that all endpoints share would add up to an ejection.
const BASELINE_MARGIN: f64 = 2.0;
/// The highest failure level, which stands for a rate of 1; each level below halves the rate.
const MAX_LEVEL: f64 = 11.0;

/// The result of one request, as evidence about its endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Sample {
    /// A complete answer in time.
    Good,
    /// An error, or no complete answer in time.
    Bad,
}

/// The state of the test after the samples so far.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Evidence {
    /// Less than half of the ejection threshold.
    Clear,
    /// At least half of the ejection threshold.
    Doubtful,
    /// The ejection threshold is reached.
    Bad,
}

/// The sequential test of one endpoint.
#[derive(Debug, Clone, PartialEq)]
pub struct FailureDetector {
    /// Evidence of a failure in nats, from zero to twice the threshold.
    log_likelihood: f64,
    /// Running failure rate, 0 to 1.
    rate: f64,
}

impl Default for FailureDetector {
    fn default() -> Self {
        Self { log_likelihood: 0.0, rate: 0.0 }
    }
}

impl FailureDetector {
    /// Adds a sample and returns the evidence so far. `baseline` is the failure rate of the service's other endpoints,
    /// `threshold` the evidence in nats that ejects the endpoint.
    pub fn record(&mut self, sample: Sample, baseline: f64, threshold: f64) -> Evidence {
        let healthy = (baseline * BASELINE_MARGIN).clamp(MIN_HEALTHY_RATE, MAX_HEALTHY_RATE);
        let faulty = healthy + (1.0 - healthy) * FAULTY_RATE_OFFSET;
        let (ratio, failed) = match sample {
            Sample::Bad => (faulty / healthy, 1.0),
            Sample::Good => ((1.0 - faulty) / (1.0 - healthy), 0.0),
        };
        self.log_likelihood = (self.log_likelihood + ratio.ln()).clamp(0.0, 2.0 * threshold);
        self.rate += (failed - self.rate) * SMOOTHING_FACTOR;
        self.evidence(threshold)
    }

    fn evidence(&self, threshold: f64) -> Evidence {
        if self.log_likelihood >= threshold {
            Evidence::Bad
        } else if self.log_likelihood >= threshold / 2.0 {
            Evidence::Doubtful
        } else {
            Evidence::Clear
        }
    }

    /// Exponentially weighted failure rate, 0 to 1.
    pub fn failure_rate(&self) -> f64 {
        self.rate
    }

    /// Discards all evidence, for an endpoint that returns to service.
    pub fn reset(&mut self) {
        *self = Self::default();
    }
}

/// The evidence in nats that ejects an endpoint. A higher threshold causes fewer false ejections and slower detection;
/// both values are points of the measured curve of the two, in docs/MEASUREMENTS.md, "Gray failure".
pub fn ejection_threshold(weighs: EjectionPreference) -> f64 {
    match weighs {
        EjectionPreference::DetectionTime => 11.0,
        EjectionPreference::FalseEjections => 18.0,
    }
}

/// Rounds a failure rate to the logarithmic level that endpoint rows carry: 0 for none, `n` for about 2^(n-11).
pub fn failure_level(rate: f64) -> u8 {
    if rate <= 0.0 { 0 } else { (rate.log2() + MAX_LEVEL).round().clamp(0.0, MAX_LEVEL) as u8 }
}

/// The failure rate, 0 to 1, that a [`failure_level`] stands for.
pub fn failure_rate_from_level(level: u8) -> f64 {
    if level == 0 { 0.0 } else { (f64::from(level) - MAX_LEVEL).exp2() }
}

/// The median failure rate, 0 to 1, of endpoints with these failure levels; zero if there are none. Reorders `levels`.
pub fn median_failure_rate(levels: &mut [u8]) -> f64 {
    if levels.is_empty() {
        return 0.0;
    }
    let middle = (levels.len() - 1) / 2;
    let (_, median, _) = levels.select_nth_unstable(middle);
    failure_rate_from_level(*median)
}

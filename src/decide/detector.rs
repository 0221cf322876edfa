//! Gray failure: a sequential test (CUSUM of a log-likelihood ratio) on the endpoint's real work.
//!
//! The good hypothesis is the service's own recent baseline, so that a slow-down or an overload
//! that all endpoints share is not held against one of them.

use crate::targets::Weighs;

/// The lowest failure rate that counts as the good hypothesis.
const GOOD_RATE: f64 = 0.01;
/// The highest failure rate that counts as the good hypothesis.
const GOOD_RATE_LIMIT: f64 = 0.5;
/// How far the bad hypothesis is from the good one, in shares of what is left.
const BAD_SHARE: f64 = 0.4;
/// The share of a new sample in the running failure rate.
const RATE_SHARE: f64 = 0.1;
/// How many times the baseline is the good hypothesis: the others' rates are estimates, and below
/// the true rate the evidence of shared trouble would grow for ever.
const BASELINE_MARGIN: f64 = 2.0;
/// The levels of `failure_level` count from this power of two.
const LEVELS: f64 = 11.0;

/// What one piece of work says of its endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Sample {
    /// A whole answer in time.
    Good,
    /// An error, or no whole answer in time.
    Bad,
}

/// What the samples so far say.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Evidence {
    /// Nothing against it.
    Clear,
    /// Something, but not enough.
    Doubtful,
    /// Enough.
    Bad,
}

/// The test on one endpoint.
#[derive(Debug, Clone, PartialEq)]
pub struct FailureDetector {
    /// The evidence in nats; never below zero.
    sum: f64,
    /// The running failure rate, 0 to 1.
    rate: f64,
}

impl Default for FailureDetector {
    fn default() -> Self {
        Self { sum: 0.0, rate: 0.0 }
    }
}

impl FailureDetector {
    /// Takes a sample in; `baseline` is the failure rate of the service's other endpoints, `limit`
    /// how much evidence is enough, in nats.
    pub fn record(&mut self, sample: Sample, baseline: f64, limit: f64) -> Evidence {
        let good = (baseline * BASELINE_MARGIN).clamp(GOOD_RATE, GOOD_RATE_LIMIT);
        let bad = good + (1.0 - good) * BAD_SHARE;
        let (ratio, failed) = match sample {
            Sample::Bad => (bad / good, 1.0),
            Sample::Good => ((1.0 - bad) / (1.0 - good), 0.0),
        };
        self.sum = (self.sum + ratio.ln()).clamp(0.0, 2.0 * limit);
        self.rate += (failed - self.rate) * RATE_SHARE;
        self.evidence(limit)
    }

    /// What the samples so far say.
    fn evidence(&self, limit: f64) -> Evidence {
        if self.sum >= limit {
            Evidence::Bad
        } else if self.sum >= limit / 2.0 {
            Evidence::Doubtful
        } else {
            Evidence::Clear
        }
    }

    /// The running failure rate, 0 to 1.
    pub fn failure_rate(&self) -> f64 {
        self.rate
    }

    /// Begins anew, after a return to service.
    pub fn reset(&mut self) {
        *self = Self::default();
    }
}

/// How many nats of evidence eject an endpoint: the two points taken from the curve of detection
/// time against false ejections (docs/MEASUREMENTS.md, gray failure).
pub fn ejection_threshold(weighs: Weighs) -> f64 {
    match weighs {
        Weighs::DetectionTime => 11.0,
        Weighs::FalseEjections => 18.0,
    }
}

/// A failure rate as the power of two that rows carry: 0 for none, n for about 2^(n-11).
pub fn failure_level(rate: f64) -> u8 {
    if rate <= 0.0 { 0 } else { (rate.log2() + LEVELS).round().clamp(0.0, LEVELS) as u8 }
}

/// The failure rate of a level.
pub fn failure_rate_from_level(level: u8) -> f64 {
    if level == 0 { 0.0 } else { (f64::from(level) - LEVELS).exp2() }
}

/// The baseline of a service: the median failure rate of the other endpoints; zero if there are none.
pub fn median_failure_rate(others: &mut [u8]) -> f64 {
    if others.is_empty() {
        return 0.0;
    }
    let middle = (others.len() - 1) / 2;
    let (_, median, _) = others.select_nth_unstable(middle);
    failure_rate_from_level(*median)
}

//! Estimates the service time of each class from the requests that ended.

use std::time::Duration;

/// Smoothing factor of the running means.
const SMOOTHING_FACTOR: f64 = 0.1;

/// Exponentially weighted mean service time of each class.
#[derive(Debug, Clone, Default)]
pub struct ServiceTimes {
    /// Class and mean in seconds, sorted by class.
    means: Vec<(Box<str>, f64)>,
}

impl ServiceTimes {
    /// Adds the service time of a request of `class`.
    pub fn record(&mut self, class: &str, took: Duration) {
        let took = took.as_secs_f64();
        match self.means.binary_search_by(|it| (*it.0).cmp(class)) {
            Ok(at) => self.means[at].1 += SMOOTHING_FACTOR * (took - self.means[at].1),
            Err(at) => self.means.insert(at, (class.into(), took)),
        }
    }

    /// The mean service time of `class`; `None` before its first request.
    pub fn mean(&self, class: &str) -> Option<Duration> {
        let at = self.means.binary_search_by(|it| (*it.0).cmp(class)).ok()?;
        Some(Duration::from_secs_f64(self.means[at].1))
    }

    /// Removes the classes for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        self.means.retain(|it| keep(&it.0));
    }
}

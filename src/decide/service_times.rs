//! How long work takes, by class.

use std::time::Duration;

/// The weight of a new duration: about the last ten count.
const WEIGHT: f64 = 0.1;

/// The running mean of the durations of each class.
#[derive(Debug, Clone, Default)]
pub struct ServiceTimes {
    /// Sorted by class; in seconds.
    means: Vec<(Box<str>, f64)>,
}

impl ServiceTimes {
    /// Takes in how long work of `class` took.
    pub fn record(&mut self, class: &str, took: Duration) {
        let took = took.as_secs_f64();
        match self.means.binary_search_by(|it| (*it.0).cmp(class)) {
            Ok(at) => self.means[at].1 += WEIGHT * (took - self.means[at].1),
            Err(at) => self.means.insert(at, (class.into(), took)),
        }
    }

    /// How long work of `class` takes; `None` before the first.
    pub fn mean(&self, class: &str) -> Option<Duration> {
        let at = self.means.binary_search_by(|it| (*it.0).cmp(class)).ok()?;
        Some(Duration::from_secs_f64(self.means[at].1))
    }

    /// Forgets classes that `keep` does not name.
    pub fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        self.means.retain(|it| keep(&it.0));
    }
}

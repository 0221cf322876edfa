//! What an ingress knows of its own path to a guard: one-way cuts and frozen guards show here.

use std::time::{Duration, Instant};

/// How long a path rests after its first failure in a row.
const FIRST_REST: Duration = Duration::from_millis(250);
/// How long a path rests at most.
const LONGEST_REST: Duration = Duration::from_secs(16);

/// The health of one path.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PathHealth {
    failures: u32,
    rests_until: Option<Instant>,
}

impl PathHealth {
    /// The peer answered, whatever it said.
    pub fn record_success(&mut self) {
        *self = Self::default();
    }

    /// The peer could not be reached or gave no answer.
    pub fn record_failure(&mut self, now: Instant) {
        let rest = FIRST_REST.saturating_mul(1 << self.failures.min(16)).min(LONGEST_REST);
        self.failures += 1;
        self.rests_until = Some(now + rest);
    }

    /// Whether the path should be avoided.
    pub fn is_backing_off(&self, now: Instant) -> bool {
        self.rests_until.is_some_and(|it| now < it)
    }
}

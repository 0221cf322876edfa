//! Decides when an ingress avoids its path to a guard, so that a one-way network cut or a frozen guard is not retried
//! with every request.

use std::time::{Duration, Instant};

/// Backoff after the first of several failures in a row; each further failure doubles it.
const INITIAL_BACKOFF: Duration = Duration::from_millis(250);
/// The longest backoff.
const MAX_BACKOFF: Duration = Duration::from_secs(16);

/// Consecutive failures of one path and its backoff.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PathHealth {
    failures: u32,
    backoff_until: Option<Instant>,
}

impl PathHealth {
    /// Ends the backoff: the peer answered, even if with an error.
    pub fn record_success(&mut self) {
        *self = Self::default();
    }

    /// Starts the next, longer backoff: the peer could not be reached or did not answer.
    pub fn record_failure(&mut self, now: Instant) {
        let backoff = INITIAL_BACKOFF.saturating_mul(1 << self.failures.min(16)).min(MAX_BACKOFF);
        self.failures += 1;
        self.backoff_until = Some(now + backoff);
    }

    /// Whether the path should be avoided at `now`.
    pub fn is_backing_off(&self, now: Instant) -> bool {
        self.backoff_until.is_some_and(|it| now < it)
    }
}

//! Exponential backoff between calls to the platform's store, with an event when the store fails or recovers.

use std::time::{Duration, Instant};

use rand::RngExt as _;
use tokio::time::sleep;

use crate::{
    platform::StoreFailure,
    proxy::{
        Proxy, clock,
        events::{Event, StoreTask},
    },
};

/// The pause after the first failed call; it doubles with each further failure.
const INITIAL_PAUSE: Duration = Duration::from_millis(250);
/// The longest pause, unless another is set. A configuration change must be active two seconds after the store is back.
const MAX_PAUSE: Duration = Duration::from_millis(1_500);

/// Exponential backoff with jitter for a sequence of store calls.
pub(super) struct Backoff<'a> {
    proxy: &'a Proxy,
    task: StoreTask,
    max_pause: Duration,
    /// Failed calls since the last answer.
    failures: u32,
    /// When the store last answered; before its first answer, when this was created.
    last_answer: Instant,
}

impl<'a> Backoff<'a> {
    /// Creates a backoff without failures.
    pub(super) fn new(proxy: &'a Proxy, task: StoreTask) -> Self {
        Self { proxy, task, max_pause: MAX_PAUSE, failures: 0, last_answer: clock::now() }
    }

    /// Sets the longest pause.
    pub(super) fn set_max_pause(&mut self, max_pause: Duration) {
        self.max_pause = max_pause;
    }

    fn silent_ms(&self) -> u128 {
        clock::now().saturating_duration_since(self.last_answer).as_millis()
    }

    /// Counts a failed call and pauses.
    pub(super) async fn pause_after_failure(&mut self, error: &StoreFailure) {
        self.record_failure(error);
        let pause = INITIAL_PAUSE.saturating_mul(1 << (self.failures - 1).min(8)).min(self.max_pause);
        sleep(pause.mul_f64(rand::rng().random_range(0.6..1.2))).await;
    }

    /// Counts a failed call. Emits an event for the first failure in a row.
    pub(super) fn record_failure(&mut self, error: &StoreFailure) {
        self.failures += 1;
        metrics::counter!("jayreach_store_failures_total").increment(1);
        if self.failures == 1 {
            let why = error.to_string();
            let (task, silent_ms) = (self.task, self.silent_ms());
            self.proxy.events.emit(&Event::Store { task, reachable: false, why: &why, failures: 1, silent_ms });
        }
    }

    /// Resets the backoff after an answer. Emits an event if calls had failed.
    pub(super) fn record_answer(&mut self) {
        if self.failures > 0 {
            let (task, failures, silent_ms) = (self.task, self.failures, self.silent_ms());
            self.proxy.events.emit(&Event::Store { task, reachable: true, why: "answered", failures, silent_ms });
            self.failures = 0;
        }
        self.last_answer = clock::now();
    }
}

//! Pauses between calls of the platform's store while it fails, and what is told of that.

use std::time::{Duration, Instant};

use rand::RngExt as _;
use tokio::time::sleep;

use crate::{
    platform::StoreFailure,
    proxy::{Proxy, clock, events::Event},
};

/// The first pause after a failed call, and the longest: a change must be in force two seconds after
/// the store is back, or after a connection to it went silent, and each refused call has its price.
const FIRST_PAUSE: Duration = Duration::from_millis(250);
const LONGEST_PAUSE: Duration = Duration::from_millis(1_500);

/// Pauses that grow, with jitter, while the store fails.
pub(super) struct Backoff<'a> {
    proxy: &'a Proxy,
    failures: u32,
    /// When the store last answered; at first, when it was first to be called.
    heard: Instant,
}

impl<'a> Backoff<'a> {
    /// Before the first call.
    pub(super) fn new(proxy: &'a Proxy) -> Self {
        Self { proxy, failures: 0, heard: clock::now() }
    }

    fn silent_ms(&self) -> u128 {
        clock::now().saturating_duration_since(self.heard).as_millis()
    }

    /// Tells the first failure of a row, and pauses.
    pub(super) async fn pause_after_failure(&mut self, error: &StoreFailure) {
        self.failures += 1;
        metrics::counter!("jayreach_store_failures_total").increment(1);
        if self.failures == 1 {
            let why = error.to_string();
            let silent_ms = self.silent_ms();
            self.proxy.events.emit(&Event::Store { reachable: false, why: &why, failures: 1, silent_ms });
        }
        let pause = FIRST_PAUSE.saturating_mul(1 << (self.failures - 1).min(8)).min(LONGEST_PAUSE);
        sleep(pause.mul_f64(rand::rng().random_range(0.6..1.2))).await;
    }

    /// Tells that the store answers again, if it did not.
    pub(super) fn record_answer(&mut self) {
        if self.failures > 0 {
            let (failures, silent_ms) = (self.failures, self.silent_ms());
            self.proxy.events.emit(&Event::Store { reachable: true, why: "answered", failures, silent_ms });
            self.failures = 0;
        }
        self.heard = clock::now();
    }
}

//! Each proxy's part of the fleet's allowance for arrivals beyond a request's first.
//!
//! Load pattern: gray endpoints and stalls make every ingress want to send work again at once. The
//! fleet may do so for a share of its requests and a fixed slack in each window. No messages: each
//! proxy takes the share of its own requests and an equal part of half the slack; the other half is
//! the margin for proxies that come and go, and for calls that repeated work makes.

use std::time::{Duration, Instant};

/// The part of the slack that is handed out.
const SLACK_USED: f64 = 0.5;

/// What the fleet may spend on one service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Terms {
    /// Arrivals beyond the first, as a share of requests.
    pub ratio: f64,
    /// More of them in each window, for the whole fleet.
    pub slack: f64,
    /// The window.
    pub window: Duration,
}

/// The allowance of one proxy for one service.
#[derive(Debug, Clone, PartialEq)]
pub struct Allowance {
    terms: Terms,
    /// Saved from requests; the oldest savings, and debts, lapse with the window.
    earned: f64,
    /// Saved from the slack.
    slack: f64,
    at: Instant,
}

impl Allowance {
    /// One with half of its slack, at `now`.
    pub fn new(terms: Terms, proxies: usize, now: Instant) -> Self {
        Self { terms, earned: 0.0, slack: part(&terms, proxies) / 2.0, at: now }
    }

    /// Counts a request's first arrival, with `proxies` sharing the slack.
    pub fn earn(&mut self, proxies: usize, now: Instant) {
        self.pass(now, proxies);
        self.earned += self.terms.ratio;
    }

    /// Counts an arrival that can't be held back: a call of work that is itself a repeat.
    pub fn charge(&mut self, proxies: usize, now: Instant) {
        self.pass(now, proxies);
        self.earned -= 1.0;
    }

    /// Takes one arrival out, if there is one, with `proxies` sharing the slack.
    pub fn spend(&mut self, proxies: usize, now: Instant) -> bool {
        self.pass(now, proxies);
        let enough = self.earned + self.slack >= 1.0;
        if enough {
            let from_slack = (1.0 - self.earned).clamp(0.0, self.slack);
            self.slack -= from_slack;
            self.earned -= 1.0 - from_slack;
        }
        enough
    }

    /// Lets savings lapse and the slack come back.
    fn pass(&mut self, now: Instant, proxies: usize) {
        let passed = now.saturating_duration_since(self.at).as_secs_f64() / self.terms.window.as_secs_f64();
        self.at = self.at.max(now);
        self.earned *= 1.0 - passed.min(1.0);
        let part = part(&self.terms, proxies);
        // In any window at most the whole part is spent: half saved, half coming back.
        self.slack = (self.slack + part / 2.0 * passed).min(part / 2.0);
    }
}

fn part(terms: &Terms, proxies: usize) -> f64 {
    terms.slack * SLACK_USED / proxies.max(1) as f64
}

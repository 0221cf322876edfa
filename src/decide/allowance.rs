//! Each guard's part of the fleet's allowance for arrivals beyond a request's first.
//!
//! Load pattern: gray endpoints, endpoints that shed, and stalls make every ingress want to send work
//! again at once. The fleet may do so, at each service, for a share of its requests and a fixed slack
//! in each window. No messages: guards see every arrival at their endpoint, and each keeps the rule
//! for these with an equal part of a quarter of the slack, over its own sliding window, so that the sum over
//! the service's guards keeps it too. The rest of the slack is the margin for guards that come
//! and go, and for calls of repeated work, which are counted and can't be held back.

use std::time::{Duration, Instant};

/// The part of the slack that is handed out. At half of it a hunted day with all endpoints shedding had up to
/// 3 arrivals in 200 too many; where these come from is not known yet (docs/HUNTS.md).
const SLACK_USED: f64 = 0.25;
/// The part that repeats of callers' requests may use; the rest is for repeats of calls, since a call
/// that fails wastes the work that waits for it, and a caller that is refused can come back.
const CALLERS_PART: f64 = 0.6;
/// Into how many steps a window is cut.
const STEPS: usize = 20;

/// What the fleet may spend on each service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Terms {
    /// Arrivals beyond the first, as a share of requests.
    pub ratio: f64,
    /// More of them in each window, for all guards of a service together.
    pub slack: f64,
    /// The window.
    pub window: Duration,
}

/// What happened in one step of the window.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
struct Step {
    /// Below zero where a place that an earlier step counted was given back.
    first: i32,
    /// As above.
    repeats: i32,
}

/// The allowance at one guard.
#[derive(Debug, Clone, PartialEq)]
pub struct Allowance {
    terms: Terms,
    /// The last steps; the current one is `steps[current % STEPS]`.
    steps: [Step; STEPS],
    /// The number of the current step since `start`.
    current: u64,
    start: Instant,
}

impl Allowance {
    /// One that begins at `now`.
    pub fn new(terms: Terms, now: Instant) -> Self {
        Self { terms, steps: [Step::default(); STEPS], current: 0, start: now }
    }

    /// Counts an arrival.
    pub fn count(&mut self, repeat: bool, now: Instant) {
        let step = self.step(now);
        if repeat {
            step.repeats += 1;
        } else {
            step.first += 1;
        }
    }

    /// Takes back what was counted for a place that was not used: nothing arrived. Places are often
    /// given by two guards at once under load, and firsts that never came would raise the allowance.
    pub fn refund(&mut self, repeat: bool, now: Instant) {
        let step = self.step(now);
        let counted = if repeat { &mut step.repeats } else { &mut step.first };
        *counted -= 1;
    }

    /// Whether one more repeat may arrive, of a call or of a caller's request, with `guards` sharing
    /// the slack.
    pub fn allows(&mut self, call: bool, guards: usize, now: Instant) -> bool {
        self.step(now);
        let first: i32 = self.steps.iter().map(|it| it.first).sum();
        let repeats: i32 = self.steps.iter().map(|it| it.repeats).sum();
        let slack = self.terms.slack * SLACK_USED / guards.max(1) as f64;
        let part = if call { 1.0 } else { CALLERS_PART };
        f64::from(repeats) + 1.0 <= (f64::from(first) * self.terms.ratio + slack) * part
    }

    /// The current step; those that lie a window back are emptied.
    fn step(&mut self, now: Instant) -> &mut Step {
        // The oldest step is partly outside: the steps together cover the window at least.
        let length = self.terms.window / (STEPS as u32 - 1);
        let passed = now.saturating_duration_since(self.start).as_nanos() / length.as_nanos().max(1);
        let at = u64::try_from(passed).unwrap_or(u64::MAX).max(self.current);
        for step in (self.current + 1..=at).take(STEPS) {
            self.steps[step as usize % STEPS] = Step::default();
        }
        self.current = at;
        &mut self.steps[at as usize % STEPS]
    }
}

//! The stages of a proxy that was told to stop.
//!
//! Load pattern: a fleet that is restarted in turn while it works. The endpoint beside a stopping proxy lives on, so its
//! guard goes on with short work for a part of the grace; callers come until the platform has sent them elsewhere. An
//! idle moment in between ends nothing: work taken after it would be cut off with the process.

use std::{
    sync::LazyLock,
    time::{Duration, Instant},
};

use serde::Deserialize;

use crate::chart::Chart;

/// For how long callers may still come: the platform asks for readiness each second, and two misses
/// send them elsewhere.
const LINGER: Duration = Duration::from_millis(3_200);
/// What is left of the grace when requests get their last answers.
const LAST: Duration = Duration::from_millis(500);
/// How long the last answers have to leave.
const LAST_ANSWERS: Duration = Duration::from_millis(150);
/// The part of the grace in which new requests are taken: the platform needs two seconds of six to
/// send callers elsewhere, and what comes later could not be finished.
const TAKES_PART: f64 = 0.45;
/// The part of the grace within which the endpoint must have ended its work. It lives on beside the next run of
/// this proxy, so until then it takes what is sure to end in time.
const ENDS_PART: f64 = 0.8;

static CHART: LazyLock<Chart<ShutdownStage, Event>> =
    LazyLock::new(|| Chart::embedded(include_str!("../../charts/stopping.toml")));

/// How far the stop is (charts/stopping.toml).
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ShutdownStage {
    /// No stop was asked for.
    Serving,
    /// Callers are sent elsewhere; work that is sure to end in time is still taken.
    HandingOver,
    /// No work is taken any more; what is under way is finished.
    Finishing,
    /// Nothing is under way and nothing can come, or the time is over.
    Done,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum Event {
    Sigterm,
    HandOverEnds,
    Idle,
    OutOfTime,
}

/// A stop that is under way.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Shutdown {
    stage: ShutdownStage,
    began: Instant,
    grace: Duration,
    /// When the platform ends the process.
    killed: Instant,
}

impl Shutdown {
    /// The stop that begins with the first SIGTERM.
    pub fn new(now: Instant, grace: Duration) -> Self {
        let mut stop = Self { stage: CHART.initial, began: now, grace, killed: now + grace };
        stop.take(Event::Sigterm);
        stop
    }

    /// Another SIGTERM: the platform grants the whole grace anew. When work is no longer taken stays as it was.
    pub fn extend_grace(&mut self, now: Instant) {
        self.killed = now + self.grace;
    }

    /// How far the stop is.
    pub fn stage(&self) -> ShutdownStage {
        self.stage
    }

    /// When all requests must have their answers.
    pub fn answer_deadline(&self) -> Instant {
        self.killed - LAST.min(self.grace)
    }

    /// When the endpoint's work must have ended that is taken during the stop.
    pub fn work_deadline(&self) -> Instant {
        self.began + self.grace.mul_f64(ENDS_PART)
    }

    /// Looks whether a stage is over; `busy` while requests or runs are under way. At most one stage ends in one look,
    /// so that whoever acts on [`Stage::Finishing`] does so before idleness counts.
    pub fn advance(&mut self, now: Instant, busy: bool) -> ShutdownStage {
        let idle = !busy && now >= self.began + LINGER;
        let event = match self.stage {
            _ if now >= self.answer_deadline() + LAST_ANSWERS => Some(Event::OutOfTime),
            ShutdownStage::HandingOver if idle || now >= self.began + self.grace.mul_f64(TAKES_PART) => {
                Some(Event::HandOverEnds)
            }
            ShutdownStage::Finishing if idle => Some(Event::Idle),
            ShutdownStage::Serving | ShutdownStage::HandingOver | ShutdownStage::Finishing | ShutdownStage::Done => {
                None
            }
        };
        if let Some(it) = event {
            self.take(it);
        }
        self.stage
    }

    fn take(&mut self, event: Event) {
        self.stage = CHART.next(self.stage, event).unwrap_or(self.stage);
    }
}

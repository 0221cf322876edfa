//! Decides the stages of a graceful shutdown, so that a restarted proxy neither loses requests that callers still
//! send nor exits in an idle moment while new requests are accepted.

use std::{
    sync::LazyLock,
    time::{Duration, Instant},
};

use serde::Deserialize;

use crate::chart::Chart;

/// Time after the SIGTERM in which an idle moment ends no stage: callers still arrive until the platform has seen two
/// failed readiness probes, one a second.
const MIN_DRAIN: Duration = Duration::from_millis(3_200);
/// Time before the end of the grace at which open requests get their final answers.
const FINAL_ANSWERS_BEFORE_END: Duration = Duration::from_millis(500);
/// Time for sending the final answers.
const FINAL_ANSWERS_SEND_TIME: Duration = Duration::from_millis(150);
/// Share of the grace in which new requests are accepted: the platform needs about two seconds to send callers
/// elsewhere, and later requests could not be finished in time.
const ACCEPT_SHARE: f64 = 0.45;
/// Share of the grace within which requests at the endpoint must end. The endpoint outlives this process, so its guard
/// keeps granting slots to requests that end in time.
const ENDPOINT_SHARE: f64 = 0.8;

static CHART: LazyLock<Chart<ShutdownStage, ShutdownEvent>> =
    LazyLock::new(|| Chart::embedded(include_str!("../../charts/stopping.toml")));

/// The stages of a graceful shutdown, as in charts/stopping.toml.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ShutdownStage {
    /// No shutdown was requested.
    Serving,
    /// Readiness fails, so the platform sends callers elsewhere; requests that end in time are still accepted.
    HandingOver,
    /// No requests are accepted; open ones are finished.
    Finishing,
    /// All requests are finished, or the grace is over; the process may exit.
    Done,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum ShutdownEvent {
    Sigterm,
    HandOverEnds,
    Idle,
    OutOfTime,
}

/// A graceful shutdown in progress.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Shutdown {
    stage: ShutdownStage,
    started_at: Instant,
    grace: Duration,
    /// When the platform kills the process.
    killed_at: Instant,
}

impl Shutdown {
    /// Starts a shutdown at the first SIGTERM; `grace` is the time that the platform leaves before it kills the
    /// process.
    pub fn new(now: Instant, grace: Duration) -> Self {
        let mut shutdown = Self { stage: CHART.initial, started_at: now, grace, killed_at: now + grace };
        shutdown.apply(ShutdownEvent::Sigterm);
        shutdown
    }

    /// Restarts the grace at a further SIGTERM. The time from which new requests are refused stays.
    pub fn extend_grace(&mut self, now: Instant) {
        self.killed_at = now + self.grace;
    }

    /// The current stage.
    pub fn stage(&self) -> ShutdownStage {
        self.stage
    }

    /// Time from a SIGTERM until all open requests must be answered.
    pub fn answer_time(grace: Duration) -> Duration {
        grace.saturating_sub(FINAL_ANSWERS_BEFORE_END)
    }

    /// When all open requests must be answered.
    pub fn answer_deadline(&self) -> Instant {
        self.killed_at - FINAL_ANSWERS_BEFORE_END.min(self.grace)
    }

    /// When requests that get a slot during the shutdown must have ended at the endpoint.
    pub fn work_deadline(&self) -> Instant {
        self.started_at + self.grace.mul_f64(ENDPOINT_SHARE)
    }

    /// Moves to the next stage if the current one is over, and returns the stage; `busy` if requests or runs are
    /// open. A call ends at most one stage, so that the caller acts on [`ShutdownStage::Finishing`] before an idle
    /// moment ends it.
    pub fn advance(&mut self, now: Instant, busy: bool) -> ShutdownStage {
        let idle = !busy && now >= self.started_at + MIN_DRAIN;
        let event = match self.stage {
            _ if now >= self.answer_deadline() + FINAL_ANSWERS_SEND_TIME => Some(ShutdownEvent::OutOfTime),
            ShutdownStage::HandingOver if idle || now >= self.started_at + self.grace.mul_f64(ACCEPT_SHARE) => {
                Some(ShutdownEvent::HandOverEnds)
            }
            ShutdownStage::Finishing if idle => Some(ShutdownEvent::Idle),
            ShutdownStage::Serving | ShutdownStage::HandingOver | ShutdownStage::Finishing | ShutdownStage::Done => {
                None
            }
        };
        if let Some(event) = event {
            self.apply(event);
        }
        self.stage
    }

    fn apply(&mut self, event: ShutdownEvent) {
        self.stage = CHART.next(self.stage, event).unwrap_or(self.stage);
    }
}

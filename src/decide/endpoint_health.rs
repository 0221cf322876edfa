//! An endpoint's standing at its guard: the chart, the evidence, hold-down and trial.

use std::{
    sync::LazyLock,
    time::{Duration, Instant},
};

use serde::Deserialize;

use crate::{
    chart::Chart,
    decide::detector::{Evidence, FailureDetector, Sample, ejection_threshold},
    rows::EndpointState,
    targets::Weighs,
};

static CHART: LazyLock<Chart<EndpointState, EndpointEvent>> =
    LazyLock::new(|| Chart::embedded(include_str!("../../charts/endpoint.toml")));

/// What happens to an endpoint (charts/endpoint.toml).
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EndpointEvent {
    /// It says it is not ready.
    AnnouncedStarting,
    /// It says it takes work.
    AnnouncedServing,
    /// It says it is leaving.
    AnnouncedLeaving,
    /// It said nothing for too long.
    Silent,
    /// The evidence is gone.
    EvidenceClear,
    /// The evidence grows.
    EvidenceDoubtful,
    /// The evidence is complete.
    EvidenceBad,
    /// It was ejected for long enough.
    HoldDownOver,
    /// The trial went well.
    TrialPassed,
    /// The trial failed.
    TrialFailed,
    /// No idempotent work came to try it with.
    TrialStarved,
}

/// The lengths of time and counts of the return to service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EjectionConfig {
    /// How long the first ejection lasts.
    pub initial_hold_down: Duration,
    /// How long an ejection lasts at most.
    pub max_hold_down: Duration,
    /// How long an endpoint must serve for its hold-down to start small again.
    pub hold_down_reset: Duration,
    /// How many good answers in a row end a trial.
    pub trial_successes: u32,
}

impl Default for EjectionConfig {
    fn default() -> Self {
        Self {
            initial_hold_down: Duration::from_secs(5),
            max_hold_down: Duration::from_secs(300),
            hold_down_reset: Duration::from_secs(600),
            trial_successes: 5,
        }
    }
}

/// The standing of one endpoint.
#[derive(Debug, Clone)]
pub struct EndpointHealth {
    config: EjectionConfig,
    state: EndpointState,
    detector: FailureDetector,
    /// When the state was entered.
    since: Instant,
    /// Ejections in a row without good conduct between them; each doubles the hold-down.
    ejections: u32,
    /// Good answers of the running trial.
    passed: u32,
}

impl EndpointHealth {
    /// The standing of an endpoint that has just announced itself.
    pub fn new(config: EjectionConfig, now: Instant) -> Self {
        let state = CHART.initial;
        Self { config, state, detector: FailureDetector::default(), since: now, ejections: 0, passed: 0 }
    }

    /// The state.
    pub fn state(&self) -> EndpointState {
        self.state
    }

    /// The running failure rate, 0 to 1.
    pub fn failure_rate(&self) -> f64 {
        self.detector.failure_rate()
    }

    /// Whether work may be admitted. What ejected or tried endpoints get is for the ingresses to
    /// say, which know the floor.
    pub fn accepts_work(&self) -> bool {
        match self.state {
            EndpointState::Serving | EndpointState::Suspect | EndpointState::Ejected | EndpointState::Trial => true,
            EndpointState::Starting | EndpointState::Leaving | EndpointState::Gone => false,
        }
    }

    /// Takes an event; returns whether the state changed.
    pub fn handle(&mut self, event: EndpointEvent, now: Instant) -> bool {
        let Some(next) = CHART.next(self.state, event) else { return false };
        match next {
            EndpointState::Ejected => self.enter_ejected(now),
            EndpointState::Trial => self.passed = 0,
            EndpointState::Serving | EndpointState::Starting => self.detector.reset(),
            EndpointState::Suspect if self.state == EndpointState::Trial => self.detector.reset(),
            EndpointState::Suspect | EndpointState::Leaving | EndpointState::Gone => (),
        }
        self.state = next;
        self.since = now;
        true
    }

    fn enter_ejected(&mut self, now: Instant) {
        let served = now.saturating_duration_since(self.since);
        if self.state != EndpointState::Trial && served >= self.config.hold_down_reset {
            self.ejections = 0;
        }
        self.ejections += 1;
    }

    /// Takes a sample in; returns whether the state changed.
    pub fn record_sample(&mut self, sample: Sample, baseline: f64, weighs: Weighs, now: Instant) -> bool {
        let evidence = self.detector.record(sample, baseline, ejection_threshold(weighs));
        match self.state {
            EndpointState::Serving | EndpointState::Suspect => match evidence {
                Evidence::Clear => self.handle(EndpointEvent::EvidenceClear, now),
                Evidence::Doubtful => self.handle(EndpointEvent::EvidenceDoubtful, now),
                Evidence::Bad => self.handle(EndpointEvent::EvidenceBad, now),
            },
            EndpointState::Trial => self.try_out(sample, now),
            EndpointState::Starting | EndpointState::Ejected | EndpointState::Leaving | EndpointState::Gone => false,
        }
    }

    fn try_out(&mut self, sample: Sample, now: Instant) -> bool {
        match sample {
            Sample::Bad => self.handle(EndpointEvent::TrialFailed, now),
            Sample::Good => {
                self.passed += 1;
                self.passed >= self.config.trial_successes && self.handle(EndpointEvent::TrialPassed, now)
            }
        }
    }

    /// Lets time pass; returns whether the state changed.
    pub fn tick(&mut self, now: Instant) -> bool {
        if now.saturating_duration_since(self.since) < self.hold_down() {
            return false;
        }
        match self.state {
            EndpointState::Ejected => self.handle(EndpointEvent::HoldDownOver, now),
            EndpointState::Trial if self.passed == 0 => self.handle(EndpointEvent::TrialStarved, now),
            _ => false,
        }
    }

    /// How long this ejection lasts: doubled for each one before it.
    pub fn hold_down(&self) -> Duration {
        let doublings = self.ejections.saturating_sub(1).min(16);
        self.config.initial_hold_down.saturating_mul(1 << doublings).min(self.config.max_hold_down)
    }
}

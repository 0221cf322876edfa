//! The health of one endpoint at its guard: ejects the endpoint when its requests fail too often, and returns it to
//! service after a hold-down and a trial, so that a flapping endpoint gets less and less work.

use std::{
    sync::LazyLock,
    time::{Duration, Instant},
};

use serde::Deserialize;

use crate::{
    chart::Chart,
    decide::detector::{Evidence, FailureDetector, Sample, ejection_threshold},
    rows::EndpointState,
    targets::EjectionPreference,
};

static CHART: LazyLock<Chart<EndpointState, EndpointEvent>> =
    LazyLock::new(|| Chart::embedded(include_str!("../../charts/endpoint.toml")));

/// Inputs of the endpoint state chart in `charts/endpoint.toml`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EndpointEvent {
    /// The endpoint announced that it is not ready.
    AnnouncedStarting,
    /// The endpoint announced that it accepts work.
    AnnouncedServing,
    /// The endpoint announced that it is shutting down.
    AnnouncedLeaving,
    /// The endpoint sent no announcement for too long.
    Silent,
    /// The evidence is below half of the ejection threshold.
    EvidenceClear,
    /// The evidence reached half of the ejection threshold.
    EvidenceDoubtful,
    /// The evidence reached the ejection threshold.
    EvidenceBad,
    /// The hold-down of the ejection has passed.
    HoldDownOver,
    /// Enough requests in a row succeeded during the trial.
    TrialPassed,
    /// A request failed during the trial.
    TrialFailed,
    /// The trial had no successful request for the length of the hold-down, because no idempotent one came.
    TrialStarved,
}

/// Durations and counts that govern an endpoint's return to service after an ejection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EjectionConfig {
    /// Duration of the first ejection; each further one takes twice as long.
    pub initial_hold_down: Duration,
    /// Longest duration of an ejection.
    pub max_hold_down: Duration,
    /// An ejection after this time in a serving state has the initial hold-down again.
    pub hold_down_reset: Duration,
    /// Successful requests in a row that end a trial.
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

/// State chart, failure detector and hold-down of one endpoint.
#[derive(Debug, Clone)]
pub struct EndpointHealth {
    config: EjectionConfig,
    state: EndpointState,
    detector: FailureDetector,
    /// When the state was entered.
    since: Instant,
    /// Ejections with less than `hold_down_reset` between them; each doubles the hold-down.
    ejections: u32,
    /// Successful requests of the current trial.
    trial_passes: u32,
}

impl EndpointHealth {
    /// Creates the health of an endpoint that has just announced itself.
    pub fn new(config: EjectionConfig, now: Instant) -> Self {
        let state = CHART.initial;
        Self { config, state, detector: FailureDetector::default(), since: now, ejections: 0, trial_passes: 0 }
    }

    /// The current state of the chart.
    pub fn state(&self) -> EndpointState {
        self.state
    }

    /// Exponentially weighted failure rate, 0 to 1.
    pub fn failure_rate(&self) -> f64 {
        self.detector.failure_rate()
    }

    /// Whether the guard admits work. It does for ejected endpoints and those in trial too, because the ingresses
    /// decide by the capacity floor how much work these get.
    pub fn accepts_work(&self) -> bool {
        match self.state {
            EndpointState::Serving | EndpointState::Suspect | EndpointState::Ejected | EndpointState::Trial => true,
            EndpointState::Starting | EndpointState::Leaving | EndpointState::Gone => false,
        }
    }

    /// Applies an event; returns whether the chart has a transition for it.
    pub fn handle(&mut self, event: EndpointEvent, now: Instant) -> bool {
        let Some(next) = CHART.next(self.state, event) else { return false };
        match next {
            EndpointState::Ejected => self.enter_ejected(now),
            EndpointState::Trial => self.trial_passes = 0,
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

    /// Records the result of a request; returns whether the state changed. `baseline` is the failure rate of the
    /// service's other endpoints, 0 to 1; `weighs` selects the ejection threshold.
    pub fn record_sample(&mut self, sample: Sample, baseline: f64, weighs: EjectionPreference, now: Instant) -> bool {
        let evidence = self.detector.record(sample, baseline, ejection_threshold(weighs));
        match self.state {
            EndpointState::Serving | EndpointState::Suspect => match evidence {
                Evidence::Clear => self.handle(EndpointEvent::EvidenceClear, now),
                Evidence::Doubtful => self.handle(EndpointEvent::EvidenceDoubtful, now),
                Evidence::Bad => self.handle(EndpointEvent::EvidenceBad, now),
            },
            EndpointState::Trial => self.record_trial(sample, now),
            EndpointState::Starting | EndpointState::Ejected | EndpointState::Leaving | EndpointState::Gone => false,
        }
    }

    fn record_trial(&mut self, sample: Sample, now: Instant) -> bool {
        match sample {
            Sample::Bad => self.handle(EndpointEvent::TrialFailed, now),
            Sample::Good => {
                self.trial_passes += 1;
                self.trial_passes >= self.config.trial_successes && self.handle(EndpointEvent::TrialPassed, now)
            }
        }
    }

    /// Ends a hold-down or a trial without requests when its time is over; returns whether the state changed.
    pub fn tick(&mut self, now: Instant) -> bool {
        if now.saturating_duration_since(self.since) < self.hold_down() {
            return false;
        }
        match self.state {
            EndpointState::Ejected => self.handle(EndpointEvent::HoldDownOver, now),
            EndpointState::Trial if self.trial_passes == 0 => self.handle(EndpointEvent::TrialStarved, now),
            _ => false,
        }
    }

    /// Duration of the current ejection, doubled for each ejection before it.
    pub fn hold_down(&self) -> Duration {
        let doublings = self.ejections.saturating_sub(1).min(16);
        self.config.initial_hold_down.saturating_mul(1 << doublings).min(self.config.max_hold_down)
    }
}

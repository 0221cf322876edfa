//! A daemon's phase, by charts/daemon.toml.

use std::sync::{LazyLock, Mutex};

use serde::{Deserialize, Serialize};

use crate::{chart::Chart, util::lock};

static CHART: LazyLock<Chart<Phase, PhaseEvent>> =
    LazyLock::new(|| Chart::embedded(include_str!("../../charts/daemon.toml")));

/// Where a daemon stands between its start and its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum Phase {
    /// It has no configuration yet.
    Joining,
    /// It takes work.
    Serving,
    /// It refuses new work and finishes what is in flight.
    Leaving,
    /// It only answers for recorded tickets.
    Lingering,
    /// It is about to exit.
    Stopped,
}

/// What happens to a daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum PhaseEvent {
    /// It has its first configuration.
    Configured,
    /// It was told to stop.
    Stop,
    /// Nothing is in flight.
    Drained,
    /// Callers had their time to fetch recorded answers.
    AnswersFetched,
}

/// The current phase.
pub(crate) struct PhaseCell(Mutex<Phase>);

impl Default for PhaseCell {
    fn default() -> Self {
        Self(Mutex::new(CHART.initial))
    }
}

impl PhaseCell {
    pub(crate) fn get(&self) -> Phase {
        *lock(&self.0)
    }

    /// Takes an event; one that means nothing in this phase is ignored.
    pub(crate) fn handle(&self, event: PhaseEvent) {
        let mut phase = lock(&self.0);
        let Some(next) = CHART.next(*phase, event) else { return };
        log::info!(before:? = *phase, after:? = next; "daemon changed its phase");
        *phase = next;
    }
}

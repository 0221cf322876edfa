//! The phases of a daemon from its start to its end; the state chart is charts/daemon.toml.

use std::sync::{LazyLock, Mutex};

use serde::{Deserialize, Serialize};

use crate::{chart::Chart, util::lock};

static CHART: LazyLock<Chart<Phase, PhaseEvent>> =
    LazyLock::new(|| Chart::embedded(include_str!("../../charts/daemon.toml")));

/// The phases of a daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum Phase {
    /// It has no configuration yet.
    Joining,
    /// It accepts requests.
    Serving,
    /// It refuses new requests and finishes the open ones.
    Leaving,
    /// It only serves the recorded outcomes of tickets.
    Lingering,
    /// It is about to exit.
    Stopped,
}

/// The events that change the phase.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum PhaseEvent {
    /// The first configuration became active.
    Configured,
    /// A stop was requested.
    Stop,
    /// No request is open any more, or the drain limit has passed.
    Drained,
    /// The time for fetching recorded outcomes has passed.
    AnswersFetched,
}

/// The current phase, which any thread may read and change.
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

    /// Applies an event. An event without a transition from the current phase is ignored.
    pub(crate) fn handle(&self, event: PhaseEvent) {
        let mut phase = lock(&self.0);
        let Some(next) = CHART.next(*phase, event) else { return };
        log::info!(before:? = *phase, after:? = next; "daemon phase changed");
        *phase = next;
    }
}

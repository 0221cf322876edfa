//! State charts: files in `charts/` that this module interprets.

use serde::{Deserialize, de::DeserializeOwned};

/// One row of a chart.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
pub struct Transition<S, E> {
    /// The state before.
    pub from: S,
    /// The event.
    pub on: E,
    /// The state after.
    pub to: S,
}

/// A chart over a closed set of states and events.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct Chart<S, E> {
    /// Where everything begins.
    pub initial: S,
    /// At most one row for a state and an event.
    pub transitions: Vec<Transition<S, E>>,
}

impl<S, E> Chart<S, E>
where
    S: Copy + PartialEq + DeserializeOwned,
    E: Copy + PartialEq + DeserializeOwned,
{
    /// Parses a chart that is part of the program.
    ///
    /// # Panics
    ///
    /// If the text is not a chart over these states and events, or a row stands twice.
    pub fn embedded(text: &str) -> Self {
        let chart: Self = toml::from_str(text).expect("an embedded chart is well formed");
        for (at, row) in chart.transitions.iter().enumerate() {
            let doubled = chart.transitions[..at].iter().any(|it| it.from == row.from && it.on == row.on);
            assert!(!doubled, "an embedded chart has one row for a state and an event");
        }
        chart
    }

    /// The state after `event`; `None` if the event means nothing in this state.
    pub fn next(&self, state: S, event: E) -> Option<S> {
        let row = self.transitions.iter().find(|it| it.from == state && it.on == event)?;
        Some(row.to)
    }
}

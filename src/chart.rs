//! Interprets the state charts in `charts/`, so that a state machine allows only the transitions that its file lists.

use serde::{Deserialize, de::DeserializeOwned};

/// One transition of a chart.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
pub struct Transition<S, E> {
    /// State before the event.
    pub from: S,
    /// Event that causes the transition.
    pub on: E,
    /// State after the event.
    pub to: S,
}

/// State chart: an initial state and the transitions between states.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct Chart<S, E> {
    /// State before the first event.
    pub initial: S,
    /// The transitions; at most one for each state and event.
    pub transitions: Vec<Transition<S, E>>,
}

impl<S, E> Chart<S, E>
where
    S: Copy + PartialEq + DeserializeOwned,
    E: Copy + PartialEq + DeserializeOwned,
{
    /// Parses the TOML text of a chart that is embedded in the program.
    ///
    /// # Panics
    ///
    /// Panics if the text is not a chart with these states and events, or if it has two transitions for a state and an
    /// event.
    pub fn embedded(text: &str) -> Self {
        let chart: Self = toml::from_str(text).expect("an embedded chart is well formed");
        for (index, transition) in chart.transitions.iter().enumerate() {
            let is_duplicate =
                chart.transitions[..index].iter().any(|it| it.from == transition.from && it.on == transition.on);
            assert!(!is_duplicate, "an embedded chart has one transition for a state and an event");
        }
        chart
    }

    /// Returns the state after `event`, or `None` if the chart has no transition for it in `state`.
    pub fn next(&self, state: S, event: E) -> Option<S> {
        let transition = self.transitions.iter().find(|it| it.from == state && it.on == event)?;
        Some(transition.to)
    }
}

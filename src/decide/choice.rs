//! The choice of an endpoint: the less loaded of two random ones, near ones first.

use rand::{Rng, RngExt as _};

/// A suspect endpoint counts as this many times as loaded.
const SUSPECT_FACTOR: f32 = 4.0;
/// A near endpoint is taken if its load per slot is below this.
const NEAR_LIMIT: f32 = 0.8;

/// An endpoint that may be chosen.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// Whether it is in the chooser's data centre.
    pub near: bool,
    /// Whether its guard doubts it.
    pub suspect: bool,
    /// Whether it must not be chosen while there are others.
    pub avoid: bool,
    /// Work in flight from here and the load its guard last told.
    pub load: u32,
    /// How much it takes at once.
    pub slots: u16,
}

/// The chosen candidate's place in the list.
pub type CandidateIndex = usize;

/// Chooses among candidates; `None` if there is none.
///
/// Two are drawn among those that are near; if the better one is loaded, two are drawn among all.
/// One to avoid is chosen only if all are to be avoided.
pub fn choose_endpoint(candidates: &[Candidate], rng: &mut impl Rng) -> Option<CandidateIndex> {
    let near = better_of_two(candidates, rng, |it| it.near && !it.avoid);
    if let Some(at) = near.filter(|at| score(&candidates[*at]) < NEAR_LIMIT) {
        return Some(at);
    }
    better_of_two(candidates, rng, |it| !it.avoid).or_else(|| better_of_two(candidates, rng, |_| true))
}

fn better_of_two(
    candidates: &[Candidate],
    rng: &mut impl Rng,
    allowed: impl Fn(&Candidate) -> bool,
) -> Option<CandidateIndex> {
    let count = candidates.iter().filter(|it| allowed(it)).count();
    if count == 0 {
        return None;
    }
    let first = rng.random_range(0..count);
    let second = if count == 1 { first } else { (first + rng.random_range(1..count)) % count };
    let (low, high) = (first.min(second), first.max(second));
    let mut picked = candidates.iter().enumerate().filter(|(_, it)| allowed(it)).map(|(at, _)| at);
    let a = picked.nth(low)?;
    let b = if low == high { a } else { picked.nth(high - low - 1)? };
    Some(if score(&candidates[b]) < score(&candidates[a]) { b } else { a })
}

fn score(candidate: &Candidate) -> f32 {
    let load = candidate.load as f32 / f32::from(candidate.slots.max(1));
    if candidate.suspect { (load + 0.25) * SUSPECT_FACTOR } else { load }
}

//! The order in which endpoints are asked for a place.
//!
//! Load pattern: few endpoints a service, unlike in speed, in several data centres; what is known of
//! their load is a moment old. Near ones go first while they are not much fuller, since bytes between
//! data centres are dear; suspects are tried with work that can be repeated now and then, so that a sound one
//! comes back within a second or two.

use rand::{Rng, RngExt as _};

/// How much fuller, as a share of its slots, a near endpoint may be than a far one.
const NEAR_BONUS: f32 = 1.0;
/// The spread that keeps ingresses that know the same from choosing the same.
const JITTER: f32 = 0.15;
/// The chance that a trial goes to a suspect whose rest is over: at some ten idempotent
/// requests a second a service and three suspects this tries each about once a second.
const TRIAL_CHANCE: f64 = 0.4;

/// What is known of an endpoint's record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// Its last answers were good.
    Clean,
    /// It is suspect and may be tried.
    Trial,
    /// It is suspect and rests.
    Resting,
}

/// An endpoint that may be asked.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// Whether it is in the chooser's data centre.
    pub near: bool,
    /// What is known of its record.
    pub standing: Standing,
    /// Whether its guard could not be reached just now.
    pub path_rests: bool,
    /// Requests running and waiting there, as last told, with those sent since.
    pub load: u32,
    /// How much it works on at once.
    pub slots: u32,
}

/// The order in which to ask, by place in the list, and whether suspicion is to be ignored.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// Whom to ask, the best first.
    pub ask: Vec<usize>,
    /// No endpoint is clean and reachable, so suspicion means nothing.
    pub last_resort: bool,
}

/// Orders the candidates for one piece of work.
///
/// Of the suspects, work that [may be a trial](super::suspicion::may_be_trial) asks one only: most of them
/// rest, and each refusal costs a round trip.
pub fn order(candidates: &[Candidate], trial: bool, rng: &mut impl Rng) -> Order {
    let clean = |it: &Candidate| it.standing == Standing::Clean;
    let last_resort = !candidates.iter().any(|it| clean(it) && !it.path_rests);
    let mut ask = sorted(candidates, |it| last_resort || clean(it), rng);
    if trial && !last_resort {
        let suspects = sorted(candidates, |it| it.standing == Standing::Trial && !it.path_rests, rng);
        if !suspects.is_empty() {
            let one = suspects[rng.random_range(0..suspects.len())];
            let at = if rng.random_bool(TRIAL_CHANCE) { 0 } else { ask.len() };
            ask.insert(at, one);
        }
    }
    Order { ask, last_resort }
}

/// The places of those that fit, the best first.
fn sorted(candidates: &[Candidate], fits: impl Fn(&Candidate) -> bool, rng: &mut impl Rng) -> Vec<usize> {
    let fitting = candidates.iter().enumerate().filter(|(_, it)| fits(it));
    let mut scored: Vec<(f32, usize)> =
        fitting.map(|(at, it)| (score(it) + rng.random_range(0.0..JITTER), at)).collect();
    scored.sort_by(|a, b| a.0.total_cmp(&b.0));
    scored.into_iter().map(|(_, at)| at).collect()
}

/// The lower, the better.
fn score(candidate: &Candidate) -> f32 {
    /// Whole tiers lie this far apart.
    const TIER: f32 = 1_000.0;
    let standing = match candidate.standing {
        Standing::Clean => 0.0,
        Standing::Trial => TIER,
        Standing::Resting => 2.0 * TIER,
    };
    let path = if candidate.path_rests { 4.0 * TIER } else { 0.0 };
    let far = if candidate.near { 0.0 } else { NEAR_BONUS };
    standing + path + far + candidate.load as f32 / candidate.slots.max(1) as f32
}

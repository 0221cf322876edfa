//! The order in which endpoints are asked for a place.
//!
//! Load pattern: few endpoints a service, unlike in speed, in several data centres; what is known of
//! their load is a moment old. Near ones go first while they are not much fuller, since bytes between
//! data centres are dear; suspects are tried with work that can be repeated now and then, so that a sound one
//! comes back within a second or two.

use rand::{Rng, RngExt as _};

use super::suspicion::EndpointStanding;

/// How much fuller, as a share of its slots, a near endpoint may be than a far one.
const NEAR_BONUS: f32 = 1.0;
/// How much fuller, as a share of its slots, a clean endpoint may be than one that declines: a decline
/// costs an arrival and a round trip.
const DECLINING_MALUS: f32 = 0.5;
/// Endpoints that decline take any work while less than this part of the slots is clean: what is avoided
/// then is worth more than the repeats it costs.
const LEAST_CLEAN: f64 = 0.5;
/// The spread that keeps ingresses that know the same from choosing the same.
const JITTER: f32 = 0.15;
/// The chance that a trial goes to a suspect whose rest is over: at some ten idempotent
/// requests a second a service and three suspects this tries each about once a second.
const TRIAL_CHANCE: f64 = 0.4;

/// The chance that other work asks a suspect, which takes it only if nothing else was a trial for long.
const RISK_CHANCE: f64 = 0.3;
/// How many clean endpoints are asked before that: only where these have no room is it worth the risk to find out
/// whether there is more.
const BEFORE_RISK: usize = 3;

/// An endpoint that may be asked.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlacementCandidate {
    /// Whether it is in the chooser's data centre.
    pub same_data_centre: bool,
    /// What is known of its record.
    pub standing: EndpointStanding,
    /// Whether its guard could not be reached just now.
    pub path_backing_off: bool,
    /// Requests running and waiting there, as last told, with those sent since.
    pub load: u32,
    /// How much it works on at once.
    pub slots: u32,
}

/// The order in which to ask, by place in the list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CandidateRanking {
    /// Whom to ask, the best first.
    pub ranked: Vec<usize>,
    /// Up to this standing endpoints take any work.
    pub worst_accepted: EndpointStanding,
}

/// Orders the candidates for one piece of work.
///
/// Of the suspects, work that [may be a trial](super::suspicion::may_be_trial) asks one only: most of them
/// rest, and each refusal costs a round trip. Other work seldom does, for suspects that nobody tries.
pub fn rank_candidates(candidates: &[PlacementCandidate], trial: bool, rng: &mut impl Rng) -> CandidateRanking {
    let worst_accepted = accepted(candidates);
    let mut ranked = sorted(candidates, |it| it.standing <= worst_accepted, rng);
    let place = match trial {
        true if rng.random_bool(TRIAL_CHANCE) => Some(0),
        true => Some(ranked.len()),
        false => rng.random_bool(RISK_CHANCE).then_some(ranked.len().min(BEFORE_RISK)),
    };
    if let Some(place) = place {
        let others = sorted(candidates, |it| it.standing > worst_accepted && !it.path_backing_off, rng);
        if !others.is_empty() {
            let one = others[rng.random_range(0..others.len())];
            ranked.insert(place, one);
        }
    }
    CandidateRanking { ranked, worst_accepted }
}

/// Up to which standing endpoints take any work: what is left of a service must still bear its load.
fn accepted(candidates: &[PlacementCandidate]) -> EndpointStanding {
    let slots = |standing: EndpointStanding| -> u32 {
        candidates.iter().filter(|it| it.standing == standing && !it.path_backing_off).map(|it| it.slots).sum()
    };
    let (clean, declining) = (slots(EndpointStanding::Clean), slots(EndpointStanding::Declining));
    if clean + declining == 0 {
        EndpointStanding::Suspect
    } else if f64::from(clean) < f64::from(clean + declining) * LEAST_CLEAN {
        EndpointStanding::Declining
    } else {
        EndpointStanding::Clean
    }
}

/// The places of those that fit, the best first.
fn sorted(
    candidates: &[PlacementCandidate],
    fits: impl Fn(&PlacementCandidate) -> bool,
    rng: &mut impl Rng,
) -> Vec<usize> {
    let fitting = candidates.iter().enumerate().filter(|(_, it)| fits(it));
    let mut scored: Vec<(f32, usize)> =
        fitting.map(|(at, it)| (score(it) + rng.random_range(0.0..JITTER), at)).collect();
    scored.sort_by(|a, b| a.0.total_cmp(&b.0));
    scored.into_iter().map(|(_, at)| at).collect()
}

/// The lower, the better.
fn score(candidate: &PlacementCandidate) -> f32 {
    /// Whole tiers lie this far apart.
    const TIER: f32 = 1_000.0;
    let standing = match candidate.standing {
        EndpointStanding::Clean => 0.0,
        EndpointStanding::Declining => DECLINING_MALUS,
        EndpointStanding::Suspect => TIER,
    };
    let path = if candidate.path_backing_off { 4.0 * TIER } else { 0.0 };
    let far = if candidate.same_data_centre { 0.0 } else { NEAR_BONUS };
    standing + path + far + candidate.load as f32 / candidate.slots.max(1) as f32
}

//! Decides in which order an ingress asks the endpoints of a service, so that bytes stay in the data centre where
//! possible and requests stay away from full and failing endpoints.

use std::time::Duration;

use rand::{Rng, RngExt as _};

use super::{rate_limit::RequestRate, suspicion::EndpointStanding};

/// How much higher the load of an endpoint in the same data centre may be, as a share of its slots, before one in
/// another data centre is preferred: traffic between data centres is expensive.
const REMOTE_PENALTY: f32 = 1.0;
/// How much higher the load of a clean endpoint may be, as a share of its slots, before a declining one is preferred.
const DECLINING_PENALTY: f32 = 0.5;
/// Below this share of clean capacity, declining endpoints take any request: the lost capacity outweighs the retries.
const MIN_CLEAN_SHARE: f32 = 0.5;
/// Random part of a score; ingresses with the same view would otherwise choose the same endpoint.
const SCORE_JITTER: f32 = 0.15;
/// Probability that a request that may be a trial is sent to a suspect first: often enough that each suspect of a
/// service with some idempotent requests a second is tried about once a second.
const TRIAL_PROBABILITY: f64 = 0.4;

/// Probability that any other request also asks a suspect, which takes it only if it has had no trial for long.
const FALLBACK_TRIAL_PROBABILITY: f64 = 0.3;
/// How many endpoints are asked before that suspect: the risk is taken only if these have no free slot.
const ASKED_BEFORE_FALLBACK_TRIAL: usize = 3;

/// An endpoint that may be asked to run a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlacementCandidate {
    /// Whether it is in the ingress's data centre.
    pub same_data_centre: bool,
    /// Its standing as last reported by its guard.
    pub standing: EndpointStanding,
    /// Whether the path to its guard is in backoff.
    pub path_backing_off: bool,
    /// Requests running and waiting there, as last reported, plus those sent since.
    pub load: u32,
    /// How many requests it runs at once.
    pub slots: u32,
    /// What its rate limit lets it do, if it has one.
    pub limit: Option<RateBound>,
}

/// What a rate limit lets an endpoint do, for requests of one class.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RateBound {
    /// The mean number of requests that it runs at once at its limit.
    concurrency: f32,
    /// The time until a request may start, as a multiple of the mean service time.
    start_delay: f32,
}

impl RateBound {
    /// The effect of the limit `rate`, with which a request may start after `start_delay`, on requests with this mean
    /// service time; `None` if it is unknown.
    pub fn new(rate: RequestRate, start_delay: Duration, mean_time: Option<Duration>) -> Self {
        /// Assumed for a class whose service time is unknown.
        const DEFAULT_TIME: Duration = Duration::from_millis(500);
        /// Keeps the multiple finite.
        const MIN_TIME: Duration = Duration::from_millis(1);
        let mean_time = mean_time.unwrap_or(DEFAULT_TIME).max(MIN_TIME);
        Self {
            concurrency: (f64::from(rate) * mean_time.as_secs_f64()) as f32,
            start_delay: start_delay.div_duration_f32(mean_time),
        }
    }
}

impl PlacementCandidate {
    /// The number of requests that it can run at once, on average.
    fn capacity(&self) -> f32 {
        self.limit.map_or(self.slots as f32, |it| it.concurrency.min(self.slots as f32))
    }
}

/// The order in which to ask the candidates.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CandidateRanking {
    /// Indices into the candidates, the best first.
    pub ranked: Vec<usize>,
    /// Endpoints of this standing or a better one take any request.
    pub worst_accepted: EndpointStanding,
}

/// Ranks the candidates for one request.
///
/// At most one endpoint worse than `worst_accepted` is included, as each refusal costs a round trip. It is often the
/// first if the request [may be a trial](super::suspicion::may_be_trial), and seldom included otherwise.
pub fn rank_candidates(candidates: &[PlacementCandidate], trial: bool, rng: &mut impl Rng) -> CandidateRanking {
    let worst_accepted = worst_accepted_standing(candidates);
    let mut ranked = sorted_by_score(candidates, |it| it.standing <= worst_accepted, rng);
    let trial_index = match trial {
        true if rng.random_bool(TRIAL_PROBABILITY) => Some(0),
        true => Some(ranked.len()),
        false => rng.random_bool(FALLBACK_TRIAL_PROBABILITY).then_some(ranked.len().min(ASKED_BEFORE_FALLBACK_TRIAL)),
    };
    if let Some(trial_index) = trial_index {
        let others = sorted_by_score(candidates, |it| it.standing > worst_accepted && !it.path_backing_off, rng);
        if !others.is_empty() {
            let on_trial = others[rng.random_range(0..others.len())];
            ranked.insert(trial_index, on_trial);
        }
    }
    CandidateRanking { ranked, worst_accepted }
}

/// The worst standing that takes any request, so that enough of the service's capacity stays in use.
fn worst_accepted_standing(candidates: &[PlacementCandidate]) -> EndpointStanding {
    let of_standing = |standing: EndpointStanding| {
        candidates.iter().filter(move |it| it.standing == standing && !it.path_backing_off)
    };
    let capacity = |standing| of_standing(standing).map(PlacementCandidate::capacity).sum::<f32>();
    let any_slot = |standing| of_standing(standing).any(|it| it.slots > 0);
    let (clean, declining) = (capacity(EndpointStanding::Clean), capacity(EndpointStanding::Declining));
    if !any_slot(EndpointStanding::Clean) && !any_slot(EndpointStanding::Declining) {
        EndpointStanding::Suspect
    } else if clean < (clean + declining) * MIN_CLEAN_SHARE {
        EndpointStanding::Declining
    } else {
        EndpointStanding::Clean
    }
}

/// The indices of the candidates that pass `filter`, the best first.
fn sorted_by_score(
    candidates: &[PlacementCandidate],
    filter: impl Fn(&PlacementCandidate) -> bool,
    rng: &mut impl Rng,
) -> Vec<usize> {
    let eligible = candidates.iter().enumerate().filter(|(_, it)| filter(it));
    let mut scored: Vec<(f32, usize)> =
        eligible.map(|(index, it)| (score(it) + rng.random_range(0.0..SCORE_JITTER), index)).collect();
    scored.sort_by(|a, b| a.0.total_cmp(&b.0));
    scored.into_iter().map(|(_, index)| index).collect()
}

/// The score of a candidate; lower is better.
fn score(candidate: &PlacementCandidate) -> f32 {
    /// Distance between tiers, above any difference within a tier.
    const TIER: f32 = 1_000.0;
    let standing = match candidate.standing {
        EndpointStanding::Clean => 0.0,
        EndpointStanding::Declining => DECLINING_PENALTY,
        EndpointStanding::Suspect => TIER,
    };
    let path = if candidate.path_backing_off { 4.0 * TIER } else { 0.0 };
    let remote = if candidate.same_data_centre { 0.0 } else { REMOTE_PENALTY };
    let load = candidate.load as f32 / candidate.slots.max(1) as f32;
    // An endpoint that may start no request for a while is like one with a queue as long.
    let queue = candidate.limit.filter(|it| it.start_delay > 0.0).map_or(0.0, |it| 1.0 + it.start_delay);
    standing + path + remote + load.max(queue.min(TIER / 2.0))
}

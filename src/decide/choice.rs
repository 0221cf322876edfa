//! Chooses the endpoint of a request: the less loaded of two random candidates, those in the same data centre first.
//! Random pairs keep ingresses with the same view from sending all work to one endpoint.

use rand::{Rng, RngExt as _};

/// Factor by which the load of a suspect endpoint is scaled.
const SUSPECT_FACTOR: f32 = 4.0;
/// Load per slot from which an endpoint in the same data centre is no longer preferred.
const LOCAL_LOAD_LIMIT: f32 = 0.8;

/// What the choice considers of one endpoint.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// Whether it is in the data centre of the ingress.
    pub same_data_centre: bool,
    /// Whether its guard reports it as suspect.
    pub suspect: bool,
    /// Whether it is only chosen when all candidates are to be avoided.
    pub avoid: bool,
    /// Requests in flight from this ingress plus the load that its guard last reported.
    pub load: u32,
    /// Requests that it runs at once.
    pub slots: u16,
}

/// Index into the list of candidates.
pub type CandidateIndex = usize;

/// Chooses one of the candidates; `None` if the list is empty.
///
/// The better of two candidates in the same data centre is chosen if its load per slot is below a limit, otherwise the
/// better of two from the whole list. Candidates to avoid are drawn only if there is no other.
pub fn choose_endpoint(candidates: &[Candidate], rng: &mut impl Rng) -> Option<CandidateIndex> {
    let local = better_of_two(candidates, rng, |it| it.same_data_centre && !it.avoid);
    if let Some(at) = local.filter(|at| score(&candidates[*at]) < LOCAL_LOAD_LIMIT) {
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
    let mut indices = candidates.iter().enumerate().filter(|(_, it)| allowed(it)).map(|(at, _)| at);
    let a = indices.nth(low)?;
    let b = if low == high { a } else { indices.nth(high - low - 1)? };
    Some(if score(&candidates[b]) < score(&candidates[a]) { b } else { a })
}

/// Load per slot, scaled up for suspect endpoints; lower is better.
fn score(candidate: &Candidate) -> f32 {
    let load = candidate.load as f32 / f32::from(candidate.slots.max(1));
    if candidate.suspect { (load + 0.25) * SUSPECT_FACTOR } else { load }
}

//! Endpoint standing and candidate ranking together, over the endpoints of one service with gray failures and load
//! shedding: few requests may fail at both of the two endpoints to which they can be sent.

use std::time::{Duration, Instant};

use jayreach::decide::{
    placement::{PlacementCandidate, rank_candidates},
    suspicion::{AnswerSample, EndpointStanding, StandingTracker, may_be_trial},
};
use rand::{RngExt as _, SeedableRng as _, rngs::SmallRng};

const ENDPOINTS: usize = 8;
const MAX_ATTEMPTS: u32 = 2;
const MS: Duration = Duration::from_millis(1);
const SERVICE_TIME: Duration = Duration::from_millis(400);
/// Requests of 100 periods of 12 s at 25 requests a second.
const REQUESTS: u32 = 25 * 12 * 100;

/// The result of one attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum AttemptResult {
    Done,
    Declined,
    Failed,
}

struct Fleet {
    now: Instant,
    trackers: [StandingTracker; ENDPOINTS],
    /// Whether the endpoint has a gray failure.
    gray: [bool; ENDPOINTS],
    /// Probability that an endpoint declines a request.
    decline_rate: f64,
    /// The sample that is recorded for a declined request.
    declined: AnswerSample,
    rng: SmallRng,
}

impl Fleet {
    fn new(decline_rate: f64, declined: AnswerSample) -> Self {
        let (now, rng) = (Instant::now(), SmallRng::seed_from_u64(11));
        Self {
            now,
            trackers: [StandingTracker::default(); ENDPOINTS],
            gray: [false; ENDPOINTS],
            decline_rate,
            declined,
            rng,
        }
    }

    /// Advances to the next request. Every 12 s each endpoint has a gray failure with a probability of 0.3.
    fn advance(&mut self, request: u32) {
        self.now += 40 * MS;
        if request.is_multiple_of(25 * 12) {
            self.gray = std::array::from_fn(|_| self.rng.random_bool(0.3));
        }
    }

    fn candidates(&self, endpoints: &[usize]) -> Vec<PlacementCandidate> {
        let candidate = |it: &usize| PlacementCandidate {
            same_data_centre: true,
            standing: self.trackers[*it].standing(),
            path_backing_off: false,
            load: 0,
            slots: 4,
            limit: None,
        };
        endpoints.iter().map(candidate).collect()
    }

    /// Returns an endpoint that admits the request and was not tried before.
    fn pick_endpoint(&mut self, trial: bool, tried: &[usize]) -> Option<usize> {
        let untried: Vec<usize> = (0..ENDPOINTS).filter(|it| !tried.contains(it)).collect();
        let candidates = self.candidates(&untried);
        let ranking = rank_candidates(&candidates, trial, &mut self.rng);
        let admits = |it: &usize| self.trackers[*it].admits(ranking.worst_accepted, trial, 0, self.now);
        ranking.ranked.into_iter().map(|it| untried[it]).find(admits)
    }

    /// Sends a request to the endpoint and records the sample.
    fn attempt(&mut self, at: usize) -> AttemptResult {
        let (result, sample) = if self.rng.random_bool(self.decline_rate) {
            (AttemptResult::Declined, self.declined)
        } else if self.gray[at] && self.rng.random_bool(0.9) {
            (AttemptResult::Failed, AnswerSample::from_failure(MS, Some(SERVICE_TIME)))
        } else {
            (AttemptResult::Done, AnswerSample::Good)
        };
        self.trackers[at].record_start(self.now);
        self.trackers[at].record_sample(sample, self.now, self.now);
        result
    }

    /// Serves one request with up to [`MAX_ATTEMPTS`]; returns whether it succeeded. `trial` returns whether an
    /// idempotent request may be a trial after a number of attempts.
    fn serve(&mut self, idempotent: bool, trial: impl Fn(u32) -> bool) -> bool {
        let mut tried = Vec::new();
        while (tried.len() as u32) < MAX_ATTEMPTS {
            let Some(at) = self.pick_endpoint(idempotent && trial(tried.len() as u32), &tried) else { return false };
            tried.push(at);
            match self.attempt(at) {
                AttemptResult::Done => return true,
                AttemptResult::Failed if !idempotent => return false,
                AttemptResult::Declined | AttemptResult::Failed => (),
            }
        }
        false
    }
}

fn has_attempt_left(attempts: u32) -> bool {
    may_be_trial(true, attempts, MAX_ATTEMPTS)
}

/// Number of requests that are not served; every second one is idempotent if `mixed`, else all are.
fn lost(mut fleet: Fleet, mixed: bool, trial: impl Fn(u32) -> bool) -> u32 {
    let mut lost = 0;
    for request in 0..REQUESTS {
        fleet.advance(request);
        let idempotent = !mixed || request.is_multiple_of(2);
        lost += u32::from(!fleet.serve(idempotent, &trial));
    }
    lost
}

#[test]
fn trials_with_an_attempt_left_lose_few_requests() {
    let lost_any_attempt = lost(Fleet::new(0.0, AnswerSample::Declined), false, |_| true);

    let lost = lost(Fleet::new(0.0, AnswerSample::Declined), false, has_attempt_left);

    assert!(lost * 3 < lost_any_attempt, "{lost} lost of {REQUESTS}; {lost_any_attempt} if any attempt may be a trial");
}

#[test]
fn requests_that_cannot_be_retried_are_no_trials() {
    assert!(may_be_trial(true, 0, 2));
    assert!(!may_be_trial(false, 0, 2), "not idempotent");
    assert!(!may_be_trial(true, 1, 2), "its last attempt");
    assert!(!may_be_trial(true, 0, 1), "its only attempt");
}

#[test]
fn endpoints_with_gray_failures_get_few_requests_while_all_shed_load() {
    let lost_as_failures = lost(Fleet::new(0.55, AnswerSample::HardFailure), true, has_attempt_left);

    let lost = lost(Fleet::new(0.55, AnswerSample::Declined), true, has_attempt_left);

    // Both attempts of a request are declined with a probability of 0.55 * 0.55, whatever the ranking.
    let unavoidable = f64::from(REQUESTS) * 0.55 * 0.55;
    let ratio = |it: u32| f64::from(it) / unavoidable;
    assert!(ratio(lost) < 1.25, "{:.2} times the unavoidable losses", ratio(lost));
    assert!(
        ratio(lost_as_failures) > 1.5,
        "{:.2} times the unavoidable losses if declines count as failures",
        ratio(lost_as_failures)
    );
}

#[test]
fn a_single_shedding_endpoint_gets_only_trials() {
    let mut fleet = Fleet::new(0.0, AnswerSample::Declined);
    fleet.trackers[3].record_sample(AnswerSample::Declined, fleet.now, fleet.now);
    fleet.advance(1);

    let picked: Vec<_> = (0..200).filter_map(|_| fleet.pick_endpoint(false, &[])).collect();

    assert_eq!(picked.len(), 200);
    assert!(!picked.contains(&3));
}

#[test]
fn a_suspect_is_cleared_if_no_request_is_idempotent() {
    let mut fleet = Fleet::new(0.0, AnswerSample::Declined);
    fleet.trackers[0].record_sample(AnswerSample::HardFailure, fleet.now, fleet.now);

    // 30 s at 25 requests a second; the first three endpoints of each ranking are full.
    for _ in 0..25 * 30 {
        fleet.now += 40 * MS;
        let candidates = fleet.candidates(&(0..ENDPOINTS).collect::<Vec<_>>());
        let ranking = rank_candidates(&candidates, false, &mut fleet.rng);
        let admits = |it: &&usize| fleet.trackers[**it].admits(ranking.worst_accepted, false, 0, fleet.now);
        if let Some(at) = ranking.ranked[3..].iter().find(admits) {
            fleet.attempt(*at);
        }
    }

    assert_eq!(fleet.trackers[0].standing(), EndpointStanding::Clean);
}

//! Who bears the risk of gray and shedding endpoints, replayed over a service's endpoints: each request is
//! placed by what is known of them, may be sent to two, and is lost if neither does its work.

use std::time::{Duration, Instant};

use jayreach::decide::{
    placement::{PlacementCandidate, rank_candidates},
    suspicion::{AnswerSample, EndpointStanding, StandingTracker, may_be_trial},
};
use rand::{RngExt as _, SeedableRng as _, rngs::SmallRng};

const ENDPOINTS: usize = 8;
const MAX_ATTEMPTS: u32 = 2;
const MS: Duration = Duration::from_millis(1);
const WORK: Duration = Duration::from_millis(400);
/// Requests of 100 spells of 12 s at 25 a second.
const REQUESTS: u32 = 25 * 12 * 100;

/// What becomes of work at an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    Done,
    Declined,
    Failed,
}

struct Fleet {
    now: Instant,
    records: [StandingTracker; ENDPOINTS],
    gray: [bool; ENDPOINTS],
    /// The chance that an endpoint declines.
    sheds: f64,
    /// How a decline is judged.
    declined: AnswerSample,
    rng: SmallRng,
}

impl Fleet {
    fn new(sheds: f64, declined: AnswerSample) -> Self {
        let (now, rng) = (Instant::now(), SmallRng::seed_from_u64(11));
        Self { now, records: [StandingTracker::default(); ENDPOINTS], gray: [false; ENDPOINTS], sheds, declined, rng }
    }

    /// The next request comes; every 12 s other endpoints turn gray, three in ten.
    fn step(&mut self, request: u32) {
        self.now += 40 * MS;
        if request.is_multiple_of(25 * 12) {
            self.gray = std::array::from_fn(|_| self.rng.random_bool(0.3));
        }
    }

    fn candidates(&self, endpoints: &[usize]) -> Vec<PlacementCandidate> {
        let candidate = |it: &usize| PlacementCandidate {
            same_data_centre: true,
            standing: self.records[*it].standing(),
            path_backing_off: false,
            load: 0,
            slots: 4,
        };
        endpoints.iter().map(candidate).collect()
    }

    fn place(&mut self, trial: bool, tried: &[usize]) -> Option<usize> {
        let open: Vec<usize> = (0..ENDPOINTS).filter(|it| !tried.contains(it)).collect();
        let candidates = self.candidates(&open);
        let order = rank_candidates(&candidates, trial, &mut self.rng);
        let admitted = |it: &usize| self.records[*it].admits(order.worst_accepted, trial, 0, self.now);
        order.ranked.into_iter().map(|it| open[it]).find(admitted)
    }

    fn work(&mut self, at: usize) -> End {
        let (end, sample) = if self.rng.random_bool(self.sheds) {
            (End::Declined, self.declined)
        } else if self.gray[at] && self.rng.random_bool(0.9) {
            (End::Failed, AnswerSample::from_failure(MS, Some(WORK)))
        } else {
            (End::Done, AnswerSample::Good)
        };
        self.records[at].record_start(self.now);
        self.records[at].record_sample(sample, self.now, self.now);
        end
    }

    /// Serves one request; whether it was done.
    fn serve(&mut self, idempotent: bool, trial: impl Fn(u32) -> bool) -> bool {
        let mut tried = Vec::new();
        while (tried.len() as u32) < MAX_ATTEMPTS {
            let Some(at) = self.place(idempotent && trial(tried.len() as u32), &tried) else { return false };
            tried.push(at);
            match self.work(at) {
                End::Done => return true,
                End::Failed if !idempotent => return false,
                End::Declined | End::Failed => (),
            }
        }
        false
    }
}

fn with_attempt_left(attempts: u32) -> bool {
    may_be_trial(true, attempts, MAX_ATTEMPTS)
}

/// How many of the requests are lost; every second one is idempotent if `mixed`, else all are.
fn lost(mut fleet: Fleet, mixed: bool, trial: impl Fn(u32) -> bool) -> u32 {
    let mut lost = 0;
    for request in 0..REQUESTS {
        fleet.step(request);
        let idempotent = !mixed || request.is_multiple_of(2);
        lost += u32::from(!fleet.serve(idempotent, &trial));
    }
    lost
}

#[test]
fn only_work_with_an_attempt_left_is_a_trial() {
    let lost_before = lost(Fleet::new(0.0, AnswerSample::Declined), false, |_| true);

    let lost = lost(Fleet::new(0.0, AnswerSample::Declined), false, with_attempt_left);

    assert!(lost * 3 < lost_before, "{lost} lost of {REQUESTS}, {lost_before} with any idempotent work as a trial");
}

#[test]
fn what_cannot_be_repeated_is_no_trial() {
    assert!(may_be_trial(true, 0, 2));
    assert!(!may_be_trial(false, 0, 2), "not idempotent");
    assert!(!may_be_trial(true, 1, 2), "its last attempt");
    assert!(!may_be_trial(true, 0, 1), "its only attempt");
}

#[test]
fn where_all_endpoints_shed_the_gray_ones_still_get_little() {
    let lost_before = lost(Fleet::new(0.55, AnswerSample::HardFailure), true, with_attempt_left);

    let lost = lost(Fleet::new(0.55, AnswerSample::Declined), true, with_attempt_left);

    // Two arrivals of which each is declined with 0.55 lose 0.30 of the requests at least.
    let floor = f64::from(REQUESTS) * 0.55 * 0.55;
    let above = |it: u32| f64::from(it) / floor;
    assert!(above(lost) < 1.25, "{:.2} times what can't be avoided", above(lost));
    assert!(above(lost_before) > 1.5, "{:.2} times, with declines taken for failures", above(lost_before));
}

#[test]
fn one_endpoint_that_sheds_gets_trials_only() {
    let mut fleet = Fleet::new(0.0, AnswerSample::Declined);
    fleet.records[3].record_sample(AnswerSample::Declined, fleet.now, fleet.now);
    fleet.step(1);

    let placed: Vec<_> = (0..200).filter_map(|_| fleet.place(false, &[])).collect();

    assert_eq!(placed.len(), 200);
    assert!(!placed.contains(&3));
}

#[test]
fn an_endpoint_returns_where_no_work_is_idempotent() {
    let mut fleet = Fleet::new(0.0, AnswerSample::Declined);
    fleet.records[0].record_sample(AnswerSample::HardFailure, fleet.now, fleet.now);

    // Half a minute at 25 requests a second, all of which find the first three endpoints full.
    for _ in 0..25 * 30 {
        fleet.now += 40 * MS;
        let candidates = fleet.candidates(&(0..ENDPOINTS).collect::<Vec<_>>());
        let order = rank_candidates(&candidates, false, &mut fleet.rng);
        let admitted = |it: &&usize| fleet.records[**it].admits(order.worst_accepted, false, 0, fleet.now);
        if let Some(at) = order.ranked[3..].iter().find(admitted) {
            fleet.work(*at);
        }
    }

    assert_eq!(fleet.records[0].standing(), EndpointStanding::Clean);
}

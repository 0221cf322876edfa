//! Who bears the risk of gray and shedding endpoints, replayed over a service's endpoints: each request is
//! placed by what is known of them, may be sent to two, and is lost if neither does its work.

use std::time::{Duration, Instant};

use jayreach::decide::{
    place::{Candidate, Standing, order},
    suspicion::{Record, Sample, may_be_trial},
};
use rand::{RngExt as _, SeedableRng as _, rngs::SmallRng};

const ENDPOINTS: usize = 8;
const MAX_ATTEMPTS: u32 = 2;
const MS: Duration = Duration::from_millis(1);
const WORK: Duration = Duration::from_millis(400);
/// Requests of 100 spells of 12 s at 25 a second.
const REQUESTS: u32 = 25 * 12 * 100;

struct Fleet {
    now: Instant,
    records: [Record; ENDPOINTS],
    gray: [bool; ENDPOINTS],
    rng: SmallRng,
}

impl Fleet {
    fn new() -> Self {
        let (now, rng) = (Instant::now(), SmallRng::seed_from_u64(11));
        Self { now, records: [Record::default(); ENDPOINTS], gray: [false; ENDPOINTS], rng }
    }

    /// The next request comes; every 12 s other endpoints turn gray, three in ten.
    fn step(&mut self, request: u32) {
        self.now += 40 * MS;
        if request.is_multiple_of(25 * 12) {
            self.gray = std::array::from_fn(|_| self.rng.random_bool(0.3));
        }
    }

    fn place(&mut self, trial: bool, tried: &[usize]) -> Option<usize> {
        let open: Vec<usize> = (0..ENDPOINTS).filter(|it| !tried.contains(it)).collect();
        let candidates: Vec<Candidate> = open
            .iter()
            .map(|it| {
                let standing = if self.records[*it].is_suspect() { Standing::Trial } else { Standing::Clean };
                Candidate { near: true, standing, path_rests: false, load: 0, slots: 4 }
            })
            .collect();
        let order = order(&candidates, trial, &mut self.rng);
        let admitted = |it: &usize| order.last_resort || self.records[*it].admits(trial, 0, self.now);
        order.ask.into_iter().map(|it| open[it]).find(admitted)
    }

    /// Sends work to an endpoint; whether it was done.
    fn work(&mut self, at: usize) -> bool {
        let fails = self.gray[at] && self.rng.random_bool(0.9);
        let sample = if fails { Sample::failure(MS, Some(WORK)) } else { Sample::Good };
        self.records[at].sample(sample, self.now);
        !fails
    }

    /// Serves one idempotent request; whether it was done.
    fn serve(&mut self, trial: impl Fn(u32) -> bool) -> bool {
        let mut tried = Vec::new();
        while (tried.len() as u32) < MAX_ATTEMPTS {
            let Some(at) = self.place(trial(tried.len() as u32), &tried) else { return false };
            tried.push(at);
            if self.work(at) {
                return true;
            }
        }
        false
    }
}

fn lost(trial: impl Fn(u32) -> bool) -> u32 {
    let mut fleet = Fleet::new();
    let mut lost = 0;
    for request in 0..REQUESTS {
        fleet.step(request);
        lost += u32::from(!fleet.serve(&trial));
    }
    lost
}

#[test]
fn only_work_with_an_attempt_left_is_a_trial() {
    let lost_before = lost(|_| true);

    let lost = lost(|attempts| may_be_trial(true, attempts, MAX_ATTEMPTS, false));

    assert!(lost * 3 < lost_before, "{lost} lost of {REQUESTS}, {lost_before} with any idempotent work as a trial");
}

#[test]
fn what_cannot_be_repeated_is_no_trial() {
    assert!(may_be_trial(true, 0, 2, false));
    assert!(!may_be_trial(false, 0, 2, false), "not idempotent");
    assert!(!may_be_trial(true, 1, 2, false), "its last attempt");
    assert!(!may_be_trial(true, 0, 1, false), "its only attempt");
    assert!(!may_be_trial(true, 0, 2, true), "no allowance for the repeat");
}

//! Simulates one non-idempotent request, an ingress and the grant ledgers of two guards under random, seeded schedules of
//! lost, late and duplicated messages and guard restarts. Guards against running the request twice or reporting it as
//! not run although it ran.

use std::time::{Duration, Instant};

use hyper::{HeaderMap, body::Bytes};
use jayreach::{
    decide::{fingerprint::Fingerprint, incarnation::EndpointId, quarantine::CrashRecord},
    proxy::{
        body::Body,
        guard::ledger::{ActiveRun, GrantLedger, GrantStatus, GrantedWork},
        message::{Grant, HttpContent, NotRunReason, RunEnd, UnknownReason},
    },
};
use rand::{RngExt as _, SeedableRng as _, rngs::SmallRng};
use rstest::rstest;

const SCHEDULES: u64 = 20_000;
const STEPS_PER_ATTEMPT: u32 = 40;

/// A fault injected to show that the check detects it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    None,
    /// A grant can be used more than once.
    GrantReused,
    /// A query about an unused grant does not revoke it.
    UnusedNotRevoked,
    /// A guard reports grants without a ledger entry as not run.
    ForgottenTakenAsUnused,
    /// The ingress retries although the end of the last attempt is unknown.
    RetriesDespiteUnknownEnd,
}

fn endpoint() -> EndpointId {
    EndpointId { name: "i".into(), started_at: Some(1) }
}

fn work() -> GrantedWork {
    GrantedWork {
        route: "r".into(),
        fingerprint: Fingerprint::default(),
        quarantine_trial: false,
        idempotent: false,
        retry_share: 0.0,
        endpoint_trial: false,
    }
}

#[derive(Debug, Clone)]
enum Message {
    Run(usize, Grant),
    Query(usize, Grant),
}

struct Simulation {
    rng: SmallRng,
    now: Instant,
    guards: [GrantLedger; 2],
    /// Messages in flight; delivered in any order, possibly twice or never.
    messages: Vec<Message>,
    /// Grants in use, with the index of their guard: the endpoint may still be running the request.
    running: Vec<(usize, Grant)>,
    runs: u32,
    fault: Fault,
}

/// Result of an attempt, as far as the ingress can determine it.
#[derive(Debug, Clone, PartialEq)]
enum AttemptResult {
    Done,
    NotRun,
    MayHaveRun,
}

impl Simulation {
    fn new(seed: u64, fault: Fault) -> Self {
        Self {
            rng: SmallRng::seed_from_u64(seed),
            now: Instant::now(),
            guards: [GrantLedger::new(1), GrantLedger::new(2)],
            messages: Vec::new(),
            running: Vec::new(),
            runs: 0,
            fault,
        }
    }

    fn issue(&mut self, guard: usize) -> Grant {
        let work = work();
        self.guards[guard].issue(endpoint(), work)
    }

    fn start_run(&mut self, guard: usize, grant: &Grant) {
        let run = ActiveRun {
            retry_share: 0.0,
            first_part: usize::MAX,
            crash_record_at_start: CrashRecord::default(),
            started_at: self.now,
            deadline: self.now,
            failed_calls: Vec::new(),
            failure_explained: false,
        };
        let grant_reused = self.fault == Fault::GrantReused && grant.guard == guard as u64 + 1;
        if self.guards[guard].start_run(grant, run).is_some() || grant_reused {
            self.runs += 1;
            self.running.push((guard, grant.clone()));
        }
    }

    /// The reply of a guard to a query about a grant; `None` while the run has not ended.
    fn query_run_end(&mut self, guard: usize, grant: &Grant) -> Option<RunEnd> {
        match self.guards[guard].status(grant) {
            GrantStatus::Unused => {
                let end = RunEnd::NotRun(NotRunReason::NoGrant);
                if self.fault != Fault::UnusedNotRevoked {
                    self.guards[guard].end(grant.id, end.clone(), self.now);
                }
                Some(end)
            }
            GrantStatus::Running => None,
            GrantStatus::Ended(it) => Some(it),
            GrantStatus::Unknown if self.fault == Fault::ForgottenTakenAsUnused => {
                Some(RunEnd::NotRun(NotRunReason::NoGrant))
            }
            GrantStatus::Unknown => Some(RunEnd::Unknown(UnknownReason::GuardStateLost)),
        }
    }

    /// Simulates one random event: a delivery, the end of a run, the expiry of unused grants or a guard restart.
    fn step(&mut self) {
        self.now += Duration::from_millis(self.rng.random_range(0..400));
        match self.rng.random_range(0..10) {
            0..=3 if !self.messages.is_empty() => {
                let at = self.rng.random_range(0..self.messages.len());
                let message = self.messages[at].clone();
                if self.rng.random_bool(0.8) {
                    self.messages.swap_remove(at);
                }
                match message {
                    Message::Run(guard, grant) => self.start_run(guard, &grant),
                    Message::Query(guard, grant) => _ = self.query_run_end(guard, &grant),
                }
            }
            4 | 5 if !self.running.is_empty() => {
                let at = self.rng.random_range(0..self.running.len());
                let (guard, grant) = self.running.swap_remove(at);
                self.guards[guard].end(grant.id, RunEnd::Unknown(UnknownReason::Broken), self.now);
            }
            6 => {
                let guard = self.rng.random_range(0..2);
                // Unused grants expire.
                for id in self.guards[guard].unused_grants() {
                    self.guards[guard].end(id, RunEnd::NotRun(NotRunReason::NoGrant), self.now);
                }
            }
            7 if self.rng.random_bool(0.2) => {
                let guard = self.rng.random_range(0..2);
                self.guards[guard] = GrantLedger::new(self.rng.random_range(10..u64::MAX));
                self.running.retain(|it| it.0 != guard);
            }
            _ => (),
        }
    }

    /// Sends the request to a guard and queries the end of the run until it is known or the steps are used up.
    fn attempt(&mut self, guard: usize) -> AttemptResult {
        let grant = self.issue(guard);
        self.messages.push(Message::Run(guard, grant.clone()));
        for _ in 0..STEPS_PER_ATTEMPT {
            self.step();
            if self.rng.random_bool(0.7) {
                continue;
            }
            // The query may arrive although its reply is lost.
            if self.rng.random_bool(0.3) {
                self.messages.push(Message::Query(guard, grant.clone()));
                continue;
            }
            match self.query_run_end(guard, &grant) {
                Some(RunEnd::NotRun(_)) => return AttemptResult::NotRun,
                Some(RunEnd::Answered { .. }) => return AttemptResult::Done,
                Some(RunEnd::Unknown(_)) => return AttemptResult::MayHaveRun,
                None => (),
            }
        }
        AttemptResult::MayHaveRun
    }

    /// Serves the request, then delivers all run requests still in flight.
    fn serve(&mut self) -> AttemptResult {
        let mut result = AttemptResult::NotRun;
        for attempt in 0..3 {
            result = self.attempt(attempt % 2);
            if result != AttemptResult::NotRun && self.fault != Fault::RetriesDespiteUnknownEnd {
                break;
            }
        }
        for message in std::mem::take(&mut self.messages) {
            if let Message::Run(guard, grant) = message {
                self.start_run(guard, &grant);
            }
        }
        result
    }
}

/// Counts the schedules that ran the request twice, and those that reported it as not run although it ran.
fn run_schedules(fault: Fault) -> (u32, u32) {
    let (mut ran_twice, mut wrong_not_run) = (0, 0);
    for seed in 0..SCHEDULES {
        let mut simulation = Simulation::new(seed, fault);
        let result = simulation.serve();
        ran_twice += u32::from(simulation.runs > 1);
        wrong_not_run += u32::from(result == AttemptResult::NotRun && simulation.runs > 0);
    }
    (ran_twice, wrong_not_run)
}

#[test]
fn no_schedule_runs_a_request_twice_or_reports_a_run_as_not_run() {
    assert_eq!(run_schedules(Fault::None), (0, 0));
}

#[rstest]
#[case(Fault::GrantReused)]
#[case(Fault::UnusedNotRevoked)]
#[case(Fault::ForgottenTakenAsUnused)]
#[case(Fault::RetriesDespiteUnknownEnd)]
fn each_injected_fault_is_detected(#[case] fault: Fault) {
    let (ran_twice, wrong_not_run) = run_schedules(fault);

    assert!(ran_twice + wrong_not_run > 0, "{fault:?} is not detected");
}

#[test]
fn an_end_is_remembered_for_a_while_then_unknown() {
    let (now, mut ledger) = (Instant::now(), GrantLedger::new(1));
    let work = work();
    let grant = ledger.issue(endpoint(), work.clone());
    let other = ledger.issue(endpoint(), work);

    ledger.end(grant.id, RunEnd::NotRun(NotRunReason::Declined), now);
    let status_at_once = ledger.status(&grant);
    ledger.end(other.id, RunEnd::NotRun(NotRunReason::NoGrant), now + Duration::from_secs(30));

    assert_eq!(status_at_once, GrantStatus::Ended(RunEnd::NotRun(NotRunReason::Declined)));
    assert_eq!(ledger.status(&grant), GrantStatus::Unknown);
    assert!(ledger.is_empty());
}

/// Guards against answers that are dropped before their ingress got them, because others came after them.
#[test]
fn an_answer_is_kept_while_its_ingress_needs_it() {
    let (now, mut ledger) = (Instant::now(), GrantLedger::new(1));
    let body = Body::from(Bytes::from(vec![0; 24 << 20]));
    let end = RunEnd::Answered {
        status: 200,
        content: HttpContent::new(&HeaderMap::new(), body),
        took: Duration::from_millis(1),
    };
    let grants = [(); 3].map(|()| ledger.issue(endpoint(), work()));
    for it in &grants {
        ledger.end(it.id, end.clone(), now);
    }

    ledger.note_needed(&grants[0], now + Duration::from_secs(9));
    ledger.free_memory(now + Duration::from_secs(4));
    let early = grants.each_ref().map(|it| ledger.status(it));
    ledger.free_memory(now + Duration::from_secs(10));
    let late = grants.each_ref().map(|it| ledger.status(it));

    let kept = GrantStatus::Ended(end);
    assert_eq!(early, [&kept, &kept, &kept].map(Clone::clone));
    assert_eq!(late, [kept, GrantStatus::Unknown, GrantStatus::Unknown]);
}

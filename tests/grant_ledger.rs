//! The places of guards against messages that are lost, late and doubled, and guards that restart.
//!
//! One request that must not run twice; an ingress that goes on to another place only when the one
//! before is known not to have run; two guards. Every schedule is random and seeded.

use std::time::{Duration, Instant};

use jayreach::{
    decide::{fingerprint::Fingerprint, incarnation::EndpointId, quarantine::CrashRecord},
    proxy::{
        guard::ledger::{ActiveRun, GrantLedger, GrantStatus, GrantedWork},
        message::{Grant, NotRunReason, RunEnd, UnknownReason},
    },
};
use rand::{RngExt as _, SeedableRng as _, rngs::SmallRng};
use rstest::rstest;

const SCHEDULES: u64 = 20_000;
const STEPS: u32 = 40;

/// What is switched off, to see that the check can fail.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    None,
    /// A place can be used again.
    UsedAgain,
    /// A question about an unused place leaves it as it is.
    NotTakenBack,
    /// A guard that restarted takes what it does not know for unused.
    ForgottenIsUnused,
    /// The ingress goes on although the end is not known.
    GoesOn,
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
    Ask(usize, Grant),
}

struct World {
    rng: SmallRng,
    now: Instant,
    guards: [GrantLedger; 2],
    /// In flight; delivered in any order, perhaps twice, perhaps never.
    messages: Vec<Message>,
    /// Places in use, by guard: the endpoint may still be working.
    working: Vec<(usize, Grant)>,
    runs: u32,
    fault: Fault,
}

/// What the ingress knows of its current attempt.
#[derive(Debug, Clone, PartialEq)]
enum Verdict {
    Done,
    NotRun,
    MayHaveRun,
}

impl World {
    fn new(seed: u64, fault: Fault) -> Self {
        Self {
            rng: SmallRng::seed_from_u64(seed),
            now: Instant::now(),
            guards: [GrantLedger::new(1), GrantLedger::new(2)],
            messages: Vec::new(),
            working: Vec::new(),
            runs: 0,
            fault,
        }
    }

    fn offer(&mut self, guard: usize) -> Grant {
        let work = work();
        self.guards[guard].issue(endpoint(), work)
    }

    fn begin(&mut self, guard: usize, grant: &Grant) {
        let running = ActiveRun {
            retry_share: 0.0,
            crash_record_at_start: CrashRecord::default(),
            started_at: self.now,
            deadline: self.now,
            failed_calls: Vec::new(),
            failure_explained: false,
        };
        let used_again = self.fault == Fault::UsedAgain && grant.guard == guard as u64 + 1;
        if self.guards[guard].start_run(grant, running).is_some() || used_again {
            self.runs += 1;
            self.working.push((guard, grant.clone()));
        }
    }

    /// A guard's answer to the question what became of a place.
    fn ask(&mut self, guard: usize, grant: &Grant) -> Option<RunEnd> {
        match self.guards[guard].status(grant) {
            GrantStatus::Unused => {
                let end = RunEnd::NotRun(NotRunReason::NoGrant);
                if self.fault != Fault::NotTakenBack {
                    self.guards[guard].end(grant.id, end.clone(), self.now);
                }
                Some(end)
            }
            GrantStatus::Running => None,
            GrantStatus::Ended(it) => Some(it),
            GrantStatus::Unknown if self.fault == Fault::ForgottenIsUnused => {
                Some(RunEnd::NotRun(NotRunReason::NoGrant))
            }
            GrantStatus::Unknown => Some(RunEnd::Unknown(UnknownReason::GuardStateLost)),
        }
    }

    /// One thing happens in the world that the ingress does not decide.
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
                    Message::Run(guard, grant) => self.begin(guard, &grant),
                    Message::Ask(guard, grant) => _ = self.ask(guard, &grant),
                }
            }
            4 | 5 if !self.working.is_empty() => {
                let at = self.rng.random_range(0..self.working.len());
                let (guard, grant) = self.working.swap_remove(at);
                self.guards[guard].end(grant.id, RunEnd::Unknown(UnknownReason::Broken), self.now);
            }
            6 => {
                let guard = self.rng.random_range(0..2);
                // Places that are not used in time are taken back.
                for id in self.guards[guard].unused_grants() {
                    self.guards[guard].end(id, RunEnd::NotRun(NotRunReason::NoGrant), self.now);
                }
            }
            7 if self.rng.random_bool(0.2) => {
                let guard = self.rng.random_range(0..2);
                self.guards[guard] = GrantLedger::new(self.rng.random_range(10..u64::MAX));
                self.working.retain(|it| it.0 != guard);
            }
            _ => (),
        }
    }

    /// An attempt: the work is sent, and what became of it is asked until it is known or time is over.
    fn attempt(&mut self, guard: usize) -> Verdict {
        let grant = self.offer(guard);
        self.messages.push(Message::Run(guard, grant.clone()));
        for _ in 0..STEPS {
            self.step();
            if self.rng.random_bool(0.7) {
                continue;
            }
            // A question may arrive and its answer be lost.
            if self.rng.random_bool(0.3) {
                self.messages.push(Message::Ask(guard, grant.clone()));
                continue;
            }
            match self.ask(guard, &grant) {
                Some(RunEnd::NotRun(_)) => return Verdict::NotRun,
                Some(RunEnd::Answered { .. }) => return Verdict::Done,
                Some(RunEnd::Unknown(_)) => return Verdict::MayHaveRun,
                None => (),
            }
        }
        Verdict::MayHaveRun
    }

    /// Serves the request, then lets all that is still in flight arrive.
    fn serve(&mut self) -> Verdict {
        let mut verdict = Verdict::NotRun;
        for attempt in 0..3 {
            verdict = self.attempt(attempt % 2);
            if verdict != Verdict::NotRun && self.fault != Fault::GoesOn {
                break;
            }
        }
        for message in std::mem::take(&mut self.messages) {
            if let Message::Run(guard, grant) = message {
                self.begin(guard, &grant);
            }
        }
        verdict
    }
}

/// How many schedules ran the work twice, and how many called work "not run" that ran.
fn play(fault: Fault) -> (u32, u32) {
    let (mut twice, mut untrue) = (0, 0);
    for seed in 0..SCHEDULES {
        let mut world = World::new(seed, fault);
        let verdict = world.serve();
        twice += u32::from(world.runs > 1);
        untrue += u32::from(verdict == Verdict::NotRun && world.runs > 0);
    }
    (twice, untrue)
}

#[test]
fn no_schedule_runs_work_twice_or_calls_work_not_run_that_ran() {
    assert_eq!(play(Fault::None), (0, 0));
}

#[rstest]
#[case(Fault::UsedAgain)]
#[case(Fault::NotTakenBack)]
#[case(Fault::ForgottenIsUnused)]
#[case(Fault::GoesOn)]
fn with_any_part_switched_off_the_check_finds_it(#[case] fault: Fault) {
    let (twice, untrue) = play(fault);

    assert!(twice + untrue > 0, "{fault:?} goes unnoticed");
}

#[test]
fn an_end_is_remembered_for_a_while_and_then_unknown() {
    let (now, mut ledger) = (Instant::now(), GrantLedger::new(1));
    let work = work();
    let grant = ledger.issue(endpoint(), work.clone());
    let other = ledger.issue(endpoint(), work);

    ledger.end(grant.id, RunEnd::NotRun(NotRunReason::Declined), now);
    let soon = ledger.status(&grant);
    ledger.end(other.id, RunEnd::NotRun(NotRunReason::NoGrant), now + Duration::from_secs(30));

    assert_eq!(soon, GrantStatus::Ended(RunEnd::NotRun(NotRunReason::Declined)));
    assert_eq!(ledger.status(&grant), GrantStatus::Unknown);
    assert!(ledger.is_empty());
}

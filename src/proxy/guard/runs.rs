//! Runs at the endpoint: each place is used once, and its end is remembered for a while.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use tokio::{task::spawn_local, time::timeout};

use super::{
    Guard, State,
    ledger::{ActiveRun, GrantStatus},
};
use crate::{
    decide::{
        incarnation::EndpointId,
        slot_time::SlotUse,
        suspicion::{self, AnswerSample},
    },
    proxy::{
        clock,
        endpoint::{EndpointPool, EndpointRequest},
        events::Event,
        message::{Grant, GrantId, NotRunReason, RunEnd, RunRequest, UnknownReason},
    },
};

/// How long an [`Ask`](crate::proxy::message::Ask) waits for a run to end.
const ASK_WAIT: Duration = Duration::from_secs(10);
/// Work is overdue after this many times its usual length, and `OVERDUE_MORE`.
const OVERDUE_FACTOR: u32 = 3;
/// See `OVERDUE_FACTOR`: short work varies more.
const OVERDUE_MORE: Duration = Duration::from_millis(300);
/// Work on a trial says something after this, however short the class's work is: fast failures take a few
/// milliseconds, and the VM may be slow.
const WORKING_LEAST: Duration = Duration::from_millis(30);
/// Work of a class never seen is overdue after this.
const OVERDUE_UNKNOWN: Duration = Duration::from_secs(3);

/// What can be said of an endpoint while it works, and after how long.
struct Stages {
    /// It did not fail fast; of interest in a trial.
    working: Option<Duration>,
    /// It takes much longer than usual.
    overdue: Duration,
}

impl Stages {
    fn in_order(&self) -> impl Iterator<Item = (Duration, AnswerSample, &'static str)> {
        let working = self.working.map(|it| (it, AnswerSample::Working, "working"));
        working.into_iter().chain([(self.overdue, AnswerSample::SoftFailure, "overdue")])
    }
}

impl Guard {
    /// Uses a place: sends the work to the endpoint, once.
    ///
    /// Dropping the future stops idempotent work. Other work goes on, and its end is remembered.
    pub async fn run(self: &Rc<Self>, run: RunRequest) -> RunEnd {
        let Some((pool, idempotent, stages)) = self.begin(&run) else {
            return RunEnd::NotRun(NotRunReason::NoGrant);
        };
        let grant = run.grant.clone();
        let work = Rc::clone(self).execute(run, pool, stages);
        if idempotent {
            let _cancel = Cancel { guard: self, grant: grant.id };
            return work.await;
        }
        spawn_local(work);
        self.ended(&grant).await
    }

    fn begin(&self, run: &RunRequest) -> Option<(Rc<EndpointPool>, bool, Stages)> {
        let mut state = self.state.borrow_mut();
        let State { endpoint, ledger, quarantine, pace, .. } = &mut *state;
        let endpoint = endpoint.as_ref().filter(|it| it.announced.id == run.grant.endpoint)?;
        let work = &ledger.entry(run.grant.id)?.work;
        let known = quarantine.crash_record(work.fingerprint);
        if known.is_quarantined() && !work.quarantine_trial {
            return None;
        }
        let now = clock::now();
        let running = ActiveRun {
            retry_share: run.retry_share,
            case_at_start: known,
            started_at: now,
            deadline: now + run.timeout,
            failed_calls: Vec::new(),
            failure_explained: false,
        };
        let work = &ledger.start_run(&run.grant, running)?.work;
        let usual = pace.mean(&work.route);
        let stages = Stages {
            working: work.endpoint_trial.then(|| suspicion::fast_failure_limit(usual).max(WORKING_LEAST)),
            overdue: usual.map_or(OVERDUE_UNKNOWN, |it| it * OVERDUE_FACTOR + OVERDUE_MORE),
        };
        let begun = (Rc::clone(&endpoint.pool), work.idempotent, stages);
        state.account(now);
        Some(begun)
    }

    async fn execute(self: Rc<Self>, run: RunRequest, pool: Rc<EndpointPool>, stages: Stages) -> RunEnd {
        let RunRequest {
            grant,
            request_id: request,
            method,
            target,
            content,
            timeout: left,
            retry_share: _,
            fingerprint: _,
        } = run;
        let mut head = hyper::Request::new(());
        match (method.parse(), target.parse()) {
            (Ok(method), Ok(target)) => {
                *head.method_mut() = method;
                *head.uri_mut() = target;
            }
            (Err(_), _) | (_, Err(_)) => {
                self.end_grant(grant.id, RunEnd::NotRun(NotRunReason::NoGrant));
                return RunEnd::NotRun(NotRunReason::NoGrant);
            }
        }
        *head.headers_mut() = content.headers();
        let body = content.body.into_vec().into();
        let req = EndpointRequest {
            request_id: request.clone(),
            instance_id: grant.endpoint.name.clone(),
            head,
            body,
            time_left: left,
        };
        let start = clock::now();
        let work = pool.run(req);
        tokio::pin!(work);
        let end = 'end: {
            for (after, sample, why) in stages.in_order() {
                let left = (start + after).saturating_duration_since(clock::now());
                if let Ok(it) = timeout(left, &mut work).await {
                    break 'end it;
                }
                self.sample(&grant.endpoint, sample, start, &request, why);
            }
            work.await
        };
        self.learn(&grant, &end, &request, start, left);
        self.end_grant(grant.id, end.clone());
        end
    }

    /// Takes in what the end of a run says of the endpoint.
    fn learn(self: &Rc<Self>, grant: &Grant, end: &RunEnd, request: &str, begun: Instant, left: Duration) {
        /// An endpoint that ends this close to its deadline ran out of time.
        const CLOSE: Duration = Duration::from_millis(100);
        let took = clock::now().saturating_duration_since(begun);
        let state = self.state.borrow();
        let Some(given) = state.ledger.entry(grant.id) else { return };
        let (route, fingerprint) = (given.work.route.clone(), given.work.fingerprint);
        let failure = AnswerSample::from_failure(took, state.pace.mean(&route));
        drop(state);
        let (sample, why) = match end {
            RunEnd::Answered { status, .. } if *status < 500 => {
                self.add_success_evidence(fingerprint);
                self.state.borrow_mut().pace.record(&route, took);
                (AnswerSample::Good, "answered")
            }
            RunEnd::Answered { status: 504, .. } if took + CLOSE >= left => return,
            RunEnd::Answered { .. } if self.state.borrow_mut().ledger.explain_failure_by_call(grant.id) => return,
            RunEnd::Answered { .. } => (failure, "failed"),
            RunEnd::Unknown(UnknownReason::TimedOut | UnknownReason::GuardStateLost)
            | RunEnd::NotRun(NotRunReason::NoGrant) => return,
            RunEnd::Unknown(UnknownReason::Ended) => {
                self.add_crash_evidence(&grant.endpoint);
                self.emit_ended_under(grant, request, took);
                (AnswerSample::HardFailure, "ended")
            }
            RunEnd::Unknown(UnknownReason::Broken | UnknownReason::MalformedAnswer) => (failure, "broken"),
            RunEnd::NotRun(NotRunReason::Declined) => (AnswerSample::Declined, "declined"),
            RunEnd::NotRun(NotRunReason::NoConnection) => {
                self.mark_leaving_if_silent(&grant.endpoint);
                (AnswerSample::HardFailure, "no connection")
            }
            RunEnd::NotRun(NotRunReason::OtherInstance) => {
                self.mark_leaving(&grant.endpoint, "another instance answered");
                return;
            }
        };
        self.sample(&grant.endpoint, sample, begun, request, why);
    }

    fn sample(self: &Rc<Self>, id: &EndpointId, sample: AnswerSample, begun: Instant, request: &str, why: &str) {
        let mut state = self.state.borrow_mut();
        let Some(endpoint) = state.endpoint.as_mut().filter(|it| it.announced.id == *id) else { return };
        let now = clock::now();
        let turned = endpoint.record.record_sample(sample, begun, now);
        let standing = endpoint.record.standing();
        if turned {
            state.account(now);
        }
        drop(state);
        if turned {
            self.events.emit(&Event::Standing { endpoint: &id.name, standing, request, why });
            metrics::counter!("jayreach_standing_changes_total", "to" => standing.name()).increment(1);
            self.standing_changed.notify_one();
        }
    }

    /// Gives a place back and remembers what became of it.
    pub(super) fn end_grant(self: &Rc<Self>, grant: GrantId, end: RunEnd) {
        let now = clock::now();
        let mut state = self.state.borrow_mut();
        let unused = end == RunEnd::NotRun(NotRunReason::NoGrant);
        let may_go_on = matches!(end, RunEnd::Unknown(_));
        let on = use_of(&end);
        let Some(given) = state.ledger.end(grant, end, now) else { return };
        if let Some(it) = &given.active_run {
            let on = if it.failure_explained { SlotUse::CallFailed } else { on };
            state.slot_time.add_work(on, now.saturating_duration_since(it.started_at));
        }
        if unused {
            state.allowance.undo_arrival(given.work.retry_share);
        }
        if may_go_on {
            state.keep_unfinished(given, now);
        }
        drop(state);
        self.run_ended.notify_waiters();
        self.issue_grants();
    }

    /// What became of a place; one that was not used yet is taken back.
    pub async fn query_run_end(self: &Rc<Self>, grant: &Grant) -> RunEnd {
        let known = self.state.borrow().ledger.status(grant);
        if known == GrantStatus::Unused {
            self.end_grant(grant.id, RunEnd::NotRun(NotRunReason::NoGrant));
        }
        timeout(ASK_WAIT, self.ended(grant)).await.unwrap_or(RunEnd::Unknown(UnknownReason::TimedOut))
    }

    async fn ended(&self, grant: &Grant) -> RunEnd {
        loop {
            let ended = self.run_ended.notified();
            tokio::pin!(ended);
            ended.as_mut().enable();
            let known = self.state.borrow().ledger.status(grant);
            match known {
                GrantStatus::Unused | GrantStatus::Running => ended.await,
                GrantStatus::Ended(it) => return it,
                GrantStatus::Unknown => return RunEnd::Unknown(UnknownReason::GuardStateLost),
            }
        }
    }
}

/// What the time of work with this end was spent on.
fn use_of(end: &RunEnd) -> SlotUse {
    match end {
        RunEnd::Answered { status, .. } if *status < 500 => SlotUse::Answered,
        RunEnd::Answered { .. }
        | RunEnd::Unknown(UnknownReason::Broken | UnknownReason::Ended | UnknownReason::MalformedAnswer) => {
            SlotUse::Failed
        }
        RunEnd::NotRun(_) => SlotUse::Declined,
        RunEnd::Unknown(UnknownReason::TimedOut | UnknownReason::GuardStateLost) => SlotUse::Abandoned,
    }
}

/// Gives the place of idempotent work back when its future is dropped before its end.
struct Cancel<'a> {
    guard: &'a Rc<Guard>,
    grant: GrantId,
}

impl Drop for Cancel<'_> {
    fn drop(&mut self) {
        self.guard.end_grant(self.grant, RunEnd::Unknown(UnknownReason::TimedOut));
    }
}

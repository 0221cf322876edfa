//! Runs granted requests at the endpoint, each at most once, and learns the endpoint's standing from how they end.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use tokio::{
    sync::oneshot,
    task::spawn_local,
    time::{sleep, timeout},
};

use super::{
    Guard, GuardState,
    ledger::{ActiveRun, GrantStatus},
};
use crate::{
    decide::{
        incarnation::EndpointId,
        slot_time::SlotUse,
        suspicion::{self, AnswerSample},
    },
    proxy::{
        body::{OutBody, SEGMENT, Upload},
        body_memory::SMALL_BODY,
        clock,
        endpoint::{EndpointPool, EndpointRequest},
        events::Event,
        message::{AnswerNeed, Grant, GrantId, NotRunReason, RunEnd, RunQuery, RunRequest, UnknownReason},
    },
};

/// How long a [`RunQuery`] waits for a run to end.
const RUN_QUERY_TIMEOUT: Duration = Duration::from_secs(10);
/// How often old answers are forgotten while nothing else needs their memory.
const FORGET_INTERVAL: Duration = Duration::from_secs(5);
/// The pause between two attempts to free memory for answers.
const FREE_PAUSE: Duration = Duration::from_millis(100);
/// A run is overdue after this many times its mean service time plus `OVERDUE_MARGIN`.
const OVERDUE_FACTOR: u32 = 3;
/// Added because short runs vary more.
const OVERDUE_MARGIN: Duration = Duration::from_millis(300);
/// An endpoint trial must run at least this long to show that it did not fail fast: fast failures take a few
/// milliseconds, and the VM may be slow.
const MIN_LONG_RUNNING_TIME: Duration = Duration::from_millis(30);
/// A run of a route without a known mean service time is overdue after this.
const OVERDUE_DEFAULT: Duration = Duration::from_secs(3);

/// The run times after which a sample of the endpoint is recorded before the run ends.
struct ProgressThresholds {
    /// The endpoint did not fail fast; set only for endpoint trials.
    long_running: Option<Duration>,
    /// The run takes much longer than usual.
    overdue: Duration,
}

impl ProgressThresholds {
    fn in_order(&self) -> impl Iterator<Item = (Duration, AnswerSample, &'static str)> {
        let long_running = self.long_running.map(|it| (it, AnswerSample::LongRunning, "working"));
        long_running.into_iter().chain([(self.overdue, AnswerSample::SoftFailure, "overdue")])
    }
}

impl Guard {
    /// Uses a grant: sends its request to the endpoint, at most once. `upload` is the body if it isn't in `run`.
    ///
    /// Dropping the future cancels an idempotent request. Any other request keeps running, and its end is remembered.
    pub(in crate::proxy) async fn run(self: &Rc<Self>, run: RunRequest, upload: Option<Upload>) -> RunEnd {
        let is_whole = run.content.left == 0 || upload.is_some();
        let Some((pool, idempotent, thresholds)) = is_whole.then(|| self.start_run(&run)).flatten() else {
            return RunEnd::NotRun(NotRunReason::NoGrant);
        };
        let grant = run.grant.clone();
        let execution = Rc::clone(self).execute(run, upload, pool, thresholds);
        if idempotent {
            let _end_grant = EndGrantOnDrop { guard: self, grant: grant.id };
            return execution.await;
        }
        let (tx, rx) = oneshot::channel();
        spawn_local(async move {
            // The ingress may have gone; it can still query the end.
            _ = tx.send(execution.await);
        });
        rx.await.unwrap_or(RunEnd::Unknown(UnknownReason::GuardStateLost))
    }

    /// Uses a grant for a request of this VM, whose end no other proxy queries.
    pub(in crate::proxy) async fn run_for_this_vm(self: &Rc<Self>, run: RunRequest) -> RunEnd {
        let grant = run.grant.clone();
        let end = self.run(run, None).await;
        self.state.borrow_mut().ledger.forget(&grant);
        end
    }

    fn start_run(&self, run: &RunRequest) -> Option<(Rc<EndpointPool>, bool, ProgressThresholds)> {
        let mut state = self.state.borrow_mut();
        let GuardState { endpoint, ledger, quarantine, service_times, .. } = &mut *state;
        let endpoint = endpoint.as_ref().filter(|it| it.announcement.id == run.grant.endpoint)?;
        let work = &ledger.entry(run.grant.id)?.work;
        let record = quarantine.crash_record(work.fingerprint);
        if record.is_quarantined() && !work.quarantine_trial {
            return None;
        }
        let now = clock::now();
        let active_run = ActiveRun {
            retry_share: run.retry_share,
            first_part: run.first_part,
            crash_record_at_start: record,
            started_at: now,
            deadline: now + run.timeout,
            failed_calls: Vec::new(),
            failure_explained: false,
        };
        let work = &ledger.start_run(&run.grant, active_run)?.work;
        let mean_time = service_times.mean(&work.route);
        let thresholds = ProgressThresholds {
            long_running: work
                .endpoint_trial
                .then(|| suspicion::fast_failure_limit(mean_time).max(MIN_LONG_RUNNING_TIME)),
            overdue: mean_time.map_or(OVERDUE_DEFAULT, |it| it * OVERDUE_FACTOR + OVERDUE_MARGIN),
        };
        let started = (Rc::clone(&endpoint.pool), work.idempotent, thresholds);
        state.account_slot_time(now);
        Some(started)
    }

    async fn execute(
        self: Rc<Self>,
        run: RunRequest,
        upload: Option<Upload>,
        pool: Rc<EndpointPool>,
        thresholds: ProgressThresholds,
    ) -> RunEnd {
        let RunRequest {
            grant,
            request_id,
            method,
            target,
            content,
            timeout: time_left,
            retry_share: _,
            fingerprint: _,
            first_part: _,
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
        let own_wait = upload.as_ref().map(Upload::own_wait).unwrap_or_default();
        let body = upload.map_or_else(|| OutBody::from(&content.body), OutBody::Upload);
        let req = EndpointRequest {
            request_id: request_id.clone(),
            instance_id: grant.endpoint.name.clone(),
            head,
            body,
            time_left,
        };
        let start = clock::now();
        let on_notice = |it| self.handle_notice(&grant.endpoint, it, &request_id, start);
        let exchange = pool.run(req, &self.body_memory.answers, &own_wait, on_notice);
        tokio::pin!(exchange);
        let end = 'end: {
            for (after, sample, why) in thresholds.in_order() {
                let left = || (start + after + own_wait.total()).saturating_duration_since(clock::now());
                while !left().is_zero() {
                    if let Ok(it) = timeout(left(), &mut exchange).await {
                        break 'end it;
                    }
                }
                self.record_sample(&grant.endpoint, sample, start, &request_id, why);
            }
            exchange.await
        };
        self.record_outcome(&grant, &end, &request_id, start, own_wait.total(), time_left);
        self.end_grant(grant.id, end.clone());
        end
    }

    /// Records what the end of a run shows about the endpoint and the request.
    fn record_outcome(
        self: &Rc<Self>,
        grant: &Grant,
        end: &RunEnd,
        request_id: &str,
        started_at: Instant,
        own_wait: Duration,
        run_timeout: Duration,
    ) {
        /// A 504 that arrives this close to the deadline means that the request ran out of time.
        const DEADLINE_MARGIN: Duration = Duration::from_millis(100);
        let took = clock::now().saturating_duration_since(started_at);
        let worked = took.saturating_sub(own_wait);
        let state = self.state.borrow();
        let Some(entry) = state.ledger.entry(grant.id) else { return };
        let (route, fingerprint) = (entry.work.route.clone(), entry.work.fingerprint);
        let failure_sample = AnswerSample::from_failure(worked, state.service_times.mean(&route));
        drop(state);
        let (sample, why) = match end {
            RunEnd::Answered { status, .. } if *status < 500 => {
                self.add_success_evidence(fingerprint);
                self.state.borrow_mut().service_times.record(&route, worked);
                (AnswerSample::Good, "answered")
            }
            RunEnd::Answered { status: 504, .. } if took + DEADLINE_MARGIN >= run_timeout => return,
            RunEnd::Answered { .. } if self.state.borrow_mut().ledger.explain_failure_by_call(grant.id) => return,
            RunEnd::Answered { .. } => (failure_sample, "failed"),
            RunEnd::Unknown(UnknownReason::TimedOut | UnknownReason::GuardStateLost)
            | RunEnd::NotRun(NotRunReason::NoGrant) => return,
            RunEnd::Unknown(UnknownReason::Ended) => {
                self.add_crash_evidence(&grant.endpoint);
                self.emit_ended_under(grant, request_id, took);
                (AnswerSample::HardFailure, "ended")
            }
            RunEnd::Unknown(UnknownReason::Broken | UnknownReason::MalformedAnswer) => (failure_sample, "broken"),
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
        self.record_sample(&grant.endpoint, sample, started_at, request_id, why);
    }

    fn record_sample(
        self: &Rc<Self>,
        id: &EndpointId,
        sample: AnswerSample,
        started_at: Instant,
        request_id: &str,
        why: &str,
    ) {
        let mut state = self.state.borrow_mut();
        let Some(endpoint) = state.endpoint.as_mut().filter(|it| it.announcement.id == *id) else { return };
        let now = clock::now();
        let changed = endpoint.standing_tracker.record_sample(sample, started_at, now);
        let standing = endpoint.standing_tracker.standing();
        if changed {
            state.account_slot_time(now);
        }
        drop(state);
        if changed {
            self.events.emit(&Event::Standing { endpoint: &id.name, standing, request: request_id, why });
            metrics::counter!("jayreach_standing_changes_total", "to" => standing.name()).increment(1);
            self.standing_changed.notify_one();
        }
    }

    /// Ends a grant, frees its slot and remembers how it ended.
    pub(super) fn end_grant(self: &Rc<Self>, grant: GrantId, end: RunEnd) {
        let now = clock::now();
        let mut state = self.state.borrow_mut();
        let unused = end == RunEnd::NotRun(NotRunReason::NoGrant);
        let may_still_run = matches!(end, RunEnd::Unknown(_));
        let slot_use = slot_use_of(&end);
        let Some(entry) = state.ledger.end(grant, end, now) else { return };
        if let Some(it) = &entry.active_run {
            let slot_use = if it.failure_explained { SlotUse::CallFailed } else { slot_use };
            state.slot_time.add_work(slot_use, now.saturating_duration_since(it.started_at));
        }
        if unused {
            state.retry_budget.undo_arrival(entry.work.retry_share);
            if let Some(it) = state.endpoint.as_mut().filter(|it| it.announcement.id == *entry.endpoint()) {
                it.limit.undo_start(now);
            }
        }
        if may_still_run {
            state.keep_unfinished(entry, now);
        }
        drop(state);
        self.run_ended.notify_waiters();
        self.issue_grants();
    }

    /// Waits for the end of a grant's run, and returns the part of the answer that the query needs; a grant that is not
    /// used yet is revoked.
    pub async fn query_run_end(self: &Rc<Self>, query: &RunQuery) -> RunEnd {
        let grant = &query.grant;
        let offset = match query.need {
            AnswerNeed::From(it) => it,
            AnswerNeed::Later => {
                self.state.borrow_mut().ledger.note_needed(grant, clock::now());
                return RunEnd::Unknown(UnknownReason::TimedOut);
            }
            AnswerNeed::Done => {
                self.state.borrow_mut().ledger.forget(grant);
                return RunEnd::Unknown(UnknownReason::GuardStateLost);
            }
        };
        let status = self.state.borrow().ledger.status(grant);
        if status == GrantStatus::Unused {
            self.end_grant(grant.id, RunEnd::NotRun(NotRunReason::NoGrant));
        }
        let end = timeout(RUN_QUERY_TIMEOUT, self.wait_for_end(grant)).await;
        let end = end.unwrap_or(RunEnd::Unknown(UnknownReason::TimedOut));
        self.state.borrow_mut().ledger.note_needed(grant, clock::now());
        end.part(offset, if offset == 0 { SMALL_BODY } else { SEGMENT })
    }

    /// Forgets old answers, and also those that were probably received while others wait for their memory. Never
    /// returns.
    pub(in crate::proxy) async fn free_answers(self: Rc<Self>) {
        loop {
            let is_wanted = timeout(FORGET_INTERVAL, self.body_memory.answers.wait_until_wanted()).await.is_ok();
            let now = clock::now();
            self.state.borrow_mut().ledger.forget_old(now);
            if is_wanted {
                self.state.borrow_mut().ledger.free_memory(now);
            }
            sleep(FREE_PAUSE).await;
        }
    }

    async fn wait_for_end(&self, grant: &Grant) -> RunEnd {
        loop {
            let ended = self.run_ended.notified();
            tokio::pin!(ended);
            ended.as_mut().enable();
            let status = self.state.borrow().ledger.status(grant);
            match status {
                GrantStatus::Unused | GrantStatus::Running => ended.await,
                GrantStatus::Ended(it) => return it,
                GrantStatus::Unknown => return RunEnd::Unknown(UnknownReason::GuardStateLost),
            }
        }
    }
}

/// How the slot time of a run with this end is accounted for.
fn slot_use_of(end: &RunEnd) -> SlotUse {
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

/// Ends the grant of an idempotent request if the future is dropped before the run ended.
struct EndGrantOnDrop<'a> {
    guard: &'a Rc<Guard>,
    grant: GrantId,
}

impl Drop for EndGrantOnDrop<'_> {
    fn drop(&mut self) {
        self.guard.end_grant(self.grant, RunEnd::Unknown(UnknownReason::TimedOut));
    }
}

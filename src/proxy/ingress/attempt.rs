//! Runs attempts at endpoints and decides after each whether the request is answered or retried.
//!
//! A request that must not run twice is retried only if the last attempt is known not to have run.

use std::{
    future::pending,
    rc::Rc,
    time::{Duration, Instant},
};

use tokio::time::{sleep, timeout};

use super::{
    GuardRef, IngressRequest, RequestOutcome, Reservation, ReserveFailure, answer::HeldAnswer,
    reserve::ReservationTerms,
};
use crate::{
    decide::{
        hedge::{HedgeReason, OpenRun},
        incarnation::EndpointId,
    },
    proxy::{
        Proxy, clock,
        directory::ProxyName,
        events::{AttemptFailure, Event},
        message::{
            AnswerNeed, Grant, NotRunReason, RelayedQuery, RunEnd, RunQuery, RunRequest, RunResponse, UnknownReason,
            path,
        },
        peer_link::{Link, LinkError},
    },
};

/// How often a request may move to another endpoint because an attempt did not run.
const MAX_MOVES: u32 = 6;
/// The pause after which the guards are asked again for a hedge that they refused.
const HEDGE_RETRY_PAUSE: Duration = Duration::from_millis(300);
/// The timeout of a run query that is relayed by another proxy.
const RELAYED_QUERY_TIMEOUT: Duration = Duration::from_millis(1_000);
/// The pause between two run queries.
pub(super) const RUN_QUERY_PAUSE: Duration = Duration::from_millis(100);
/// How long a request waits for memory for the first part of its answer; its grant is revoked soon after.
const MAX_ROOM_WAIT: Duration = Duration::from_millis(200);

impl Proxy {
    pub(super) async fn serve_request(self: &Rc<Self>, req: &IngressRequest) -> RequestOutcome {
        let mut tried: Vec<EndpointId> = Vec::new();
        let mut last_failure: Option<RequestOutcome> = None;
        let mut moves = 0;
        if self.guard.note_request(req.fingerprint).is_quarantined() {
            req.is_quarantine_trial.set(self.claim_trial(req.fingerprint).await);
        }
        loop {
            if self.is_quarantined(req) {
                return last_failure.unwrap_or(req.without_grant(ReserveFailure::Quarantined));
            }
            let reservation = match self.reserve_endpoint(req, &tried).await {
                Ok(it) => it,
                Err(_) if last_failure.is_some() => return last_failure.expect("`is_some` was checked"),
                Err(it) => return req.without_grant(it),
            };
            let (reservation, end, took) = self.run_attempt(req, reservation, &mut tried).await;
            match end {
                RunEnd::Answered { status, content, took } => {
                    let outcome = RequestOutcome::Endpoint { status, content, reservation: reservation.clone() };
                    if status < 500 {
                        self.ingress.borrow_mut().service_times.record(&req.route().name, took);
                        return outcome;
                    }
                    self.report_failed_attempt(req, &reservation, AttemptFailure::Status(status), took);
                    if !req.is_idempotent() || !self.may_retry(req) {
                        return outcome;
                    }
                    last_failure = Some(outcome);
                    tried.push(reservation.grant.endpoint);
                }
                RunEnd::NotRun(why) => {
                    self.report_failed_attempt(req, &reservation, AttemptFailure::NotRun(why), took);
                    let reached = matches!(why, NotRunReason::Declined | NotRunReason::OtherInstance);
                    moves += 1;
                    if reached {
                        tried.push(reservation.grant.endpoint);
                    } else {
                        req.attempts.set(req.attempts.get() - 1);
                    }
                    if (reached && !self.may_retry(req)) || moves > MAX_MOVES {
                        return last_failure.unwrap_or(req.without_grant(ReserveFailure::NoCapacity));
                    }
                }
                RunEnd::Unknown(why) => {
                    self.report_failed_attempt(req, &reservation, AttemptFailure::Unknown(why), took);
                    // A timeout uses up all the time that the request had.
                    if why == UnknownReason::TimedOut {
                        return RequestOutcome::TimedOut;
                    }
                    if !req.is_idempotent() || !self.may_retry(req) {
                        return RequestOutcome::Unknown;
                    }
                    tried.push(reservation.grant.endpoint);
                }
            }
            req.is_quarantine_trial.set(false);
        }
    }

    /// Whether the request is quarantined and this is not its trial.
    pub(super) fn is_quarantined(&self, req: &IngressRequest) -> bool {
        self.guard.crash_record(req.fingerprint).is_quarantined() && !req.is_quarantine_trial.get()
    }

    fn report_failed_attempt(
        &self,
        req: &IngressRequest,
        reservation: &Reservation,
        why: AttemptFailure,
        took: Duration,
    ) {
        let guard = reservation.guard.name(self);
        let attempt = req.attempts.get();
        self.events.emit(&Event::Failed {
            request: &req.id,
            fingerprint: req.fingerprint,
            guard,
            attempt,
            why,
            took_ms: took.as_millis(),
        });
        metrics::counter!("jayreach_attempts_failed_total", "service" => req.service.to_string()).increment(1);
    }

    /// Whether the request may be sent to one more endpoint, if the retry budget of its guard allows it.
    fn may_retry(&self, req: &IngressRequest) -> bool {
        req.attempts.get() < req.route().max_attempts && clock::now() < req.answer_deadline
    }

    /// Runs the request under a reservation. An idempotent request that is overdue, or whose ingress stops, is hedged:
    /// it also runs at a second endpoint if one can be reserved, and the first successful answer counts. Returns the
    /// reservation whose run ended the attempt.
    async fn run_attempt(
        self: &Rc<Self>,
        req: &IngressRequest,
        reservation: Reservation,
        tried: &mut Vec<EndpointId>,
    ) -> (Reservation, RunEnd, Duration) {
        let start = clock::now();
        let primary = self.run_reserved(req, reservation.clone());
        tokio::pin!(primary);
        let (hedge_reservation, reason) = tokio::select! {
            biased;
            end = &mut primary => return (reservation, end, clock::now().saturating_duration_since(start)),
            it = self.reserve_hedge(req, &reservation, tried, start) => it,
        };
        tried.push(reservation.grant.endpoint.clone());
        let took = clock::now().saturating_duration_since(start);
        self.report_failed_attempt(req, &reservation, reason.into(), took);
        let hedge = self.run_reserved(req, hedge_reservation.clone());
        tokio::pin!(hedge);
        let (end, reservation) = tokio::select! {
            end = &mut primary => if is_success(&end) { (end, reservation) } else { (hedge.await, hedge_reservation) },
            end = &mut hedge => if is_success(&end) { (end, hedge_reservation) } else { (primary.await, reservation) },
        };
        (reservation, end, clock::now().saturating_duration_since(start))
    }

    /// Waits until the run that started at `started_at` under `primary` should be hedged, and reserves another
    /// endpoint. Doesn't return if the request must not be hedged.
    async fn reserve_hedge(
        self: &Rc<Self>,
        req: &IngressRequest,
        primary: &Reservation,
        tried: &[EndpointId],
        started_at: Instant,
    ) -> (Reservation, HedgeReason) {
        if !req.is_idempotent() {
            return pending().await;
        }
        let tried: Vec<EndpointId> = tried.iter().chain([&primary.grant.endpoint]).cloned().collect();
        // Only the first try insists on an endpoint that has warmed up: there may be none.
        let mut needs_warm_endpoint = true;
        loop {
            let reason = self.wait_for_hedge(req, started_at).await;
            if !self.may_hedge(req) {
                return pending().await;
            }
            let terms = ReservationTerms::of_hedge(self.start_deadline(req), needs_warm_endpoint);
            if let Ok(it) = self.reserve_on_terms(req, &tried, terms).await {
                return (it, reason);
            }
            needs_warm_endpoint = false;
            sleep(HEDGE_RETRY_PAUSE).await;
        }
    }

    /// Waits until the run should be hedged.
    async fn wait_for_hedge(&self, req: &IngressRequest, started_at: Instant) -> HedgeReason {
        loop {
            match self.open_run(req, started_at).hedge_at(self.ingress_stop()) {
                None => self.wait_for_ingress_stop_change().await,
                Some((at, reason)) => {
                    let left = at.saturating_duration_since(clock::now());
                    if left.is_zero() {
                        return reason;
                    }
                    _ = timeout(left, self.wait_for_ingress_stop_change()).await;
                }
            }
        }
    }

    /// The run of the request that started at `started_at`.
    pub(super) fn open_run(&self, req: &IngressRequest, started_at: Instant) -> OpenRun {
        OpenRun {
            started_at,
            mean: self.ingress.borrow().service_times.mean(&req.route().name),
            target_latency: req.route().target_latency,
            deadline: req.answer_deadline,
        }
    }

    /// Whether the idempotent request may run at one more endpoint while it is running. A request that may have crashed
    /// an endpoint runs at one endpoint at a time.
    fn may_hedge(&self, req: &IngressRequest) -> bool {
        req.attempts.get() < req.route().max_attempts && !self.guard.crash_record(req.fingerprint).is_suspect()
    }

    /// Runs the request under a reservation and counts the attempt.
    async fn run_reserved(self: &Rc<Self>, req: &IngressRequest, reservation: Reservation) -> RunEnd {
        let start = clock::now();
        req.attempts.set(req.attempts.get() + 1);
        req.open_attempts.set(req.open_attempts.get() + 1);
        let run = RunRequest {
            grant: reservation.grant.clone(),
            request_id: req.id.clone(),
            retry_share: if req.attempts.get() > 1 { 1.0 } else { req.retry_share() },
            method: req.method.clone(),
            target: req.target.clone(),
            content: req.content.clone(),
            timeout: req.work_deadline.saturating_duration_since(start),
            fingerprint: req.fingerprint,
            first_part: usize::MAX,
        };
        let end = timeout(req.time_left(), self.run_at_guard(req, &reservation, run)).await;
        let end = end.unwrap_or(RunEnd::Unknown(UnknownReason::TimedOut));
        if !matches!(end, RunEnd::Unknown(_)) {
            req.open_attempts.set(req.open_attempts.get() - 1);
        }
        end
    }

    async fn run_at_guard(
        self: &Rc<Self>,
        req: &IngressRequest,
        reservation: &Reservation,
        mut run: RunRequest,
    ) -> RunEnd {
        let (name, link) = match &reservation.guard {
            GuardRef::Local => return self.guard.run_for_this_vm(run).await,
            GuardRef::Remote(name, link) => (name, link),
        };
        let Ok(Ok(room)) = timeout(MAX_ROOM_WAIT, self.body_memory.first_parts.take_first_part()).await else {
            return RunEnd::NotRun(NotRunReason::NoGrant);
        };
        run.first_part = room.bytes();
        let grant = run.grant.clone();
        let (run, body) = run.into_message();
        let end = match link.call_with_body::<_, RunResponse>(path::RUN, &run, body.as_ref()).await {
            Ok(it) => {
                self.apply_guard_report(it.report);
                self.guard.merge_crash_record(req.fingerprint, it.crash_record);
                it.end
            }
            Err(LinkError::NotConnected) => RunEnd::NotRun(NotRunReason::NoGrant),
            Err(error) => {
                link.record_failure(clock::now());
                log::debug!("request {}: running it at guard {name} ({}) failed: {error}", req.id, link.address);
                if req.is_idempotent() {
                    RunEnd::Unknown(UnknownReason::GuardStateLost)
                } else {
                    self.resolve_run_end(req, name, link, &grant).await
                }
            }
        };
        let held = HeldAnswer { guard: name.clone(), link: Rc::clone(link), grant };
        self.receive_answer(&held, end, room).await
    }

    /// Queries how a run ended whose answer was lost, for a request that must not run twice: at its guard, or through
    /// another proxy while the link to the guard is down. The caller bounds the time by a timeout.
    async fn resolve_run_end(
        self: &Rc<Self>,
        req: &IngressRequest,
        name: &str,
        link: &Rc<Link>,
        grant: &Grant,
    ) -> RunEnd {
        let query = RunQuery { grant: grant.clone(), need: AnswerNeed::default() };
        loop {
            let (through, found) = self.query_guard(name, link, &query, req.time_left()).await;
            let summary = match &found {
                None => "no answer",
                Some(RunEnd::Answered { .. }) => "answered",
                Some(RunEnd::NotRun(_)) => "not run",
                Some(RunEnd::Unknown(_)) => "unknown",
            };
            self.events.emit(&Event::Asked { request: &req.id, guard: name, through: &through, found: summary });
            match found {
                // `TimedOut` means that the run has not ended yet, so the guard is queried again.
                Some(it) if it != RunEnd::Unknown(UnknownReason::TimedOut) => return it,
                Some(_) | None => sleep(RUN_QUERY_PAUSE).await,
            }
        }
    }

    /// Sends a query to its guard, or through another proxy while the link to the guard is down. Returns the proxy that
    /// was asked, and its answer if one came within `limit`.
    pub(super) async fn query_guard(
        &self,
        name: &str,
        link: &Link,
        query: &RunQuery,
        limit: Duration,
    ) -> (ProxyName, Option<RunEnd>) {
        if link.is_connected() {
            return (name.into(), link.call_within(limit, path::RUN_QUERY, query).await);
        }
        match self.random_connected_link_except(name, false) {
            Some((helper, it)) => {
                let relayed_query = RelayedQuery { guard_address: link.address, query: query.clone() };
                let found = it.call_within(limit.min(RELAYED_QUERY_TIMEOUT), path::RELAY, &relayed_query).await;
                (helper, found)
            }
            None => (name.into(), None),
        }
    }
}

/// Whether a run ended with a successful answer.
fn is_success(end: &RunEnd) -> bool {
    matches!(end, RunEnd::Answered { status, .. } if *status < 500)
}

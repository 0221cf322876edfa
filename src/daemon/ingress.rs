//! The ingress: sends a caller's request to the guard of a chosen endpoint and retries it, without ever running a
//! request of a class that isn't idempotent twice.

use std::{
    cell::RefCell,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use rand::{SeedableRng as _, rngs::SmallRng};

use crate::{
    daemon::{
        Daemon,
        endpoint_view::{Guard, Target},
        http_client::Connection,
        peers::{PeerCall, peer_address},
    },
    targets::Importance,
    ticket::{
        BeginDecision, ConnectionFailure, GuardIncarnation, NextStep, step_after_connection_failure, step_after_reply,
        step_after_revoke,
    },
    wire::{
        CallerRequest, Dispatch, DispatchReply, Forward, Outcome, Refusal, Revoke, RevokeReply, Sequence, Ticket,
        TicketAttempt, TicketQuery, TicketStatus, UnknownReason,
    },
};

/// The most attempts at a request, the first one included.
const MAX_ATTEMPTS: usize = 4;
/// The share of the time left that the first attempt at an idempotent request gets.
const FIRST_ATTEMPT_SHARE: f64 = 0.6;
/// How long a ticketed attempt waits for the reply before the guard is asked about it on a new connection.
const FIRST_REPLY_TIMEOUT: Duration = Duration::from_millis(300);
/// How long a guard may hold a revoke while the attempt is running.
const REVOKE_WAIT: Duration = Duration::from_secs(1);
/// Extra time for the reply of a peer, beyond the time limit that the peer itself was given.
const REPLY_MARGIN: Duration = Duration::from_millis(250);
/// The pause before a failed revoke is sent again.
const REVOKE_RETRY_PAUSE: Duration = Duration::from_millis(50);
/// How long a peer may take to report the state of a ticket or of an attempt.
const TICKET_QUERY_TIMEOUT: Duration = Duration::from_millis(300);

thread_local! {
    static RNG: RefCell<SmallRng> = RefCell::new(SmallRng::from_rng(&mut rand::rng()));
}

static NEXT_REQUEST_NUMBER: AtomicU64 = AtomicU64::new(1);

/// The routing and the deadline of a request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RequestContext<'a> {
    pub(crate) service: &'a str,
    pub(crate) class: &'a str,
    pub(crate) importance: Importance,
    pub(crate) deadline: Instant,
}

impl RequestContext<'_> {
    fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }
}

/// One attempt at a request.
struct Attempt<'a> {
    request: RequestContext<'a>,
    caller_request: &'a CallerRequest,
    /// Present exactly if the class is not idempotent.
    ticket_attempt: Option<TicketAttempt>,
    connection: Connection,
    /// The time limit of this attempt.
    budget: Duration,
}

impl Daemon {
    /// Runs an idempotent request, with retries as far as the retry budget and the deadline allow.
    pub(crate) fn run_idempotent(&self, request: RequestContext<'_>, caller_request: &CallerRequest) -> Outcome {
        self.budgets.deposit(request.class);
        let mut tried: Vec<Arc<Target>> = Vec::new();
        let mut last = Outcome::NotRun(Refusal::TooLate);
        let mut fallback = None;
        while tried.len() < MAX_ATTEMPTS && !request.time_left().is_zero() {
            if !tried.is_empty() && !self.may_retry(request, &last) {
                break;
            }
            let target = match self.choose_target(request, true, &tried) {
                Ok(it) => it,
                Err(refusal) if tried.is_empty() => return Outcome::NotRun(refusal),
                Err(_) => break,
            };
            let (connection, share) =
                if tried.is_empty() { (Connection::Pooled, FIRST_ATTEMPT_SHARE) } else { (Connection::New, 1.0) };
            let attempt = Attempt {
                request,
                caller_request,
                ticket_attempt: None,
                connection,
                budget: request.time_left().mul_f64(share),
            };
            last = self.attempt_idempotent(&target, &attempt);
            if is_conclusive(&last) {
                return last;
            }
            metrics::counter!("jayreach_failed_attempts_total", "outcome" => last.name()).increment(1);
            update_fallback(&mut fallback, &last);
            tried.push(target);
        }
        fallback.unwrap_or(last)
    }

    /// Makes one attempt at an idempotent request.
    fn attempt_idempotent(&self, target: &Arc<Target>, attempt: &Attempt<'_>) -> Outcome {
        match self.send(target, attempt, attempt.budget + REPLY_MARGIN) {
            Ok(reply) => reply.outcome,
            Err(ConnectionFailure::Refused) => Outcome::NotRun(Refusal::GuardUnreachable),
            Err(ConnectionFailure::NoLocalPort) => Outcome::NotRun(Refusal::Overloaded),
            Err(ConnectionFailure::Lost) => Outcome::Unknown(UnknownReason::GuardSilent),
        }
    }

    /// Sends an attempt to the target's guard, waits up to `timeout` for the reply, and records what it shows about the
    /// target's load and the path.
    fn send(
        &self,
        target: &Arc<Target>,
        attempt: &Attempt<'_>,
        timeout: Duration,
    ) -> Result<DispatchReply, ConnectionFailure> {
        let dispatch = Dispatch {
            request_id: self.request_id(),
            guard_incarnation: target.guard.incarnation,
            endpoint: target.row.id.clone(),
            importance: attempt.request.importance,
            budget_ms: attempt.budget.as_millis() as u64,
            retry: attempt.connection == Connection::New,
            ticket_attempt: attempt.ticket_attempt.clone(),
            request: attempt.caller_request.clone(),
        };
        let ticketed = dispatch.ticket_attempt.is_some();
        let in_flight = target.start_request();
        let result = if self.is_own_guard(&target.guard) {
            Ok(self.execute(&dispatch))
        } else {
            self.peers.dispatch(target.guard.peers, &dispatch, attempt.connection, timeout)
        };
        in_flight.close();
        match &result {
            Ok(reply) => {
                target.guard.record_success();
                target.record_reply(reply);
            }
            Err(ConnectionFailure::NoLocalPort) => (),
            Err(ConnectionFailure::Refused) => target.guard.record_failure(),
            // A ticketed attempt is revoked next, and the result of that call is recorded for the path.
            Err(ConnectionFailure::Lost) if ticketed => (),
            Err(ConnectionFailure::Lost) => target.guard.record_failure(),
        }
        result
    }

    /// Runs a request under a ticket: here if this daemon issued the ticket, otherwise at the ticket's home.
    pub(crate) fn run_ticketed(
        &self,
        request: RequestContext<'_>,
        ticket: &Ticket,
        caller_request: CallerRequest,
    ) -> Outcome {
        let forward = Forward {
            ticket: ticket.clone(),
            budget_ms: request.time_left().as_millis() as u64,
            service: request.service.into(),
            class: request.class.into(),
            importance: request.importance,
            request: caller_request,
        };
        if ticket.home == self.settings.name {
            return self.run_at_home(&forward);
        }
        let Some(address) = peer_address(self, &ticket.home) else {
            return self.query_ledgers(request, ticket);
        };
        match self.peers.forward(address, &forward, request.time_left() + REPLY_MARGIN) {
            Ok(outcome) => outcome,
            Err(ConnectionFailure::Refused | ConnectionFailure::NoLocalPort) => self.query_ledgers(request, ticket),
            Err(ConnectionFailure::Lost) => Outcome::Unknown(UnknownReason::HomeUnreachable),
        }
    }

    /// Runs a request under a ticket that this daemon issued.
    pub(crate) fn run_at_home(&self, forward: &Forward) -> Outcome {
        let deadline = Instant::now() + Duration::from_millis(forward.budget_ms);
        let Forward { service, class, importance, .. } = forward;
        let request = RequestContext { service, class, importance: *importance, deadline };
        if self.is_leaving() && !self.may_have_run(&forward.ticket) {
            return Outcome::NotRun(Refusal::ShuttingDown);
        }
        match self.tickets.begin_run(&forward.ticket, forward.request.fingerprint(), deadline) {
            BeginDecision::Run => {
                let outcome = self.run_attempts(request, &forward.ticket, &forward.request);
                Outcome::clone(&self.tickets.record_outcome(forward.ticket.sequence, outcome))
            }
            BeginDecision::Ended(outcome) => Outcome::clone(&outcome),
            BeginDecision::AlreadyRunning => Outcome::Unknown(UnknownReason::StillRunning),
            BeginDecision::Mismatch => Outcome::NotRun(Refusal::TicketMismatch),
            BeginDecision::Expired => Outcome::Unknown(UnknownReason::TicketExpired),
            BeginDecision::NeverIssued => Outcome::NotRun(Refusal::BadRequest),
            BeginDecision::IssuedElsewhere => self.query_ledgers(request, &forward.ticket),
        }
    }

    /// Makes attempts under a running ticket. Another guard is tried only after the last attempt certainly did not run
    /// and can't run later.
    fn run_attempts(&self, request: RequestContext<'_>, ticket: &Ticket, caller_request: &CallerRequest) -> Outcome {
        let mut tried: Vec<Arc<Target>> = Vec::new();
        let mut last = Refusal::TooLate;
        self.budgets.deposit(request.class);
        while tried.len() < MAX_ATTEMPTS && !request.time_left().is_zero() {
            if !tried.is_empty() && !self.may_retry(request, &Outcome::NotRun(last)) {
                break;
            }
            let target = match self.choose_target(request, false, &tried) {
                Ok(it) => it,
                Err(refusal) if tried.is_empty() => return Outcome::NotRun(refusal),
                Err(_) => break,
            };
            match self.run_attempt(request, ticket, caller_request, &target) {
                NextStep::Finish(outcome) => return outcome,
                NextStep::TryAnotherGuard(refusal) => last = refusal,
                NextStep::QueryAttempt => return Outcome::Unknown(UnknownReason::GuardSilent),
            }
            tried.push(target);
        }
        Outcome::NotRun(last)
    }

    /// Makes one attempt. While its result is unknown, revokes it again and again until the deadline.
    fn run_attempt(
        &self,
        request: RequestContext<'_>,
        ticket: &Ticket,
        caller_request: &CallerRequest,
        target: &Arc<Target>,
    ) -> NextStep {
        let guard = GuardIncarnation { daemon: target.guard.daemon.clone(), incarnation: target.guard.incarnation };
        let Some(ticket_attempt) = self.tickets.record_dispatch(ticket, guard) else {
            return NextStep::Finish(Outcome::NotRun(Refusal::TooLate));
        };
        let budget = request.time_left();
        let timeout = FIRST_REPLY_TIMEOUT.min(budget + REPLY_MARGIN);
        let attempt = Attempt {
            request,
            caller_request,
            ticket_attempt: Some(ticket_attempt.clone()),
            connection: Connection::Pooled,
            budget,
        };
        let sent = self.send(target, &attempt, timeout);
        let mut next_step = match sent {
            Ok(reply) => step_after_reply(reply.outcome),
            Err(failure) => step_after_connection_failure(failure),
        };
        while next_step == NextStep::QueryAttempt && !request.time_left().is_zero() {
            next_step = match self.revoke(&target.guard, ticket_attempt.clone(), request.time_left().min(REVOKE_WAIT)) {
                Ok(reply) => {
                    target.guard.record_success();
                    step_after_revoke(reply)
                }
                Err(_) => {
                    target.guard.record_failure();
                    thread::sleep(REVOKE_RETRY_PAUSE.min(request.time_left()));
                    NextStep::QueryAttempt
                }
            };
        }
        next_step
    }

    /// Revokes an attempt at a guard, which may wait for up to `wait` while the attempt is running.
    fn revoke(
        &self,
        guard: &Guard,
        ticket_attempt: TicketAttempt,
        wait: Duration,
    ) -> Result<RevokeReply, ConnectionFailure> {
        metrics::counter!("jayreach_revokes_total").increment(1);
        let revoke = Revoke { guard_incarnation: guard.incarnation, ticket_attempt, wait_ms: wait.as_millis() as u64 };
        if self.is_own_guard(guard) {
            return Ok(self.guard.revoke(&revoke));
        }
        self.peers.call(guard.peers, PeerCall::Revoke, &revoke, Connection::New, wait + REPLY_MARGIN)
    }

    /// Revokes the last attempt under each ticket whose unknown outcome may still be resolved, and records what the
    /// guard replies.
    pub(crate) fn resolve_unknown(&self) {
        let (unresolved, low_water) = self.tickets.unresolved();
        for (sequence, attempt, guard) in unresolved {
            let Some(address) = peer_address(self, &guard.daemon) else { continue };
            let ticket = self.own_ticket(sequence);
            let ticket_attempt = TicketAttempt { ticket, attempt, low_water };
            let revoke = Revoke { guard_incarnation: guard.incarnation, ticket_attempt, wait_ms: 0 };
            let reply = if guard.daemon == self.settings.name {
                Ok(self.guard.revoke(&revoke))
            } else {
                self.peers.call(address, PeerCall::Revoke, &revoke, Connection::New, TICKET_QUERY_TIMEOUT)
            };
            match reply.map(step_after_revoke) {
                Ok(NextStep::Finish(outcome)) => _ = self.tickets.record_outcome(sequence, outcome),
                Ok(NextStep::TryAnotherGuard(refusal)) => {
                    _ = self.tickets.record_outcome(sequence, Outcome::NotRun(refusal));
                }
                Ok(NextStep::QueryAttempt) | Err(_) => (),
            }
        }
    }

    /// Looks for the outcome in the ledgers of the service's guards when the ticket's home can't be reached. A missing
    /// record or reply doesn't prove that the request did not run, so without a record the outcome is unknown.
    fn query_ledgers(&self, request: RequestContext<'_>, ticket: &Ticket) -> Outcome {
        for guard in self.view.guards(request.service) {
            if request.time_left().is_zero() {
                break;
            }
            match self.query_ledger(&guard, ticket) {
                Some(TicketStatus::Ended(outcome)) => return outcome,
                Some(TicketStatus::Running) => return Outcome::Unknown(UnknownReason::StillRunning),
                Some(TicketStatus::Unused | TicketStatus::Expired | TicketStatus::NoRecord) | None => (),
            }
        }
        Outcome::Unknown(UnknownReason::HomeUnreachable)
    }

    fn query_ledger(&self, guard: &Guard, ticket: &Ticket) -> Option<TicketStatus> {
        if self.is_own_guard(guard) {
            return Some(self.guard.status(ticket));
        }
        let query = TicketQuery { ticket: ticket.clone() };
        self.peers.call(guard.peers, PeerCall::Ledger, &query, Connection::New, TICKET_QUERY_TIMEOUT).ok()
    }

    /// Whether an earlier request under this ticket may have run, so that the outcome "not run" would be wrong. Asks
    /// the ticket's home if that is another daemon.
    pub(crate) fn may_have_run(&self, ticket: &Ticket) -> bool {
        may_have_run(self.ticket_status(ticket).as_ref())
    }

    /// Like `may_have_run`, but without a call to another daemon: a ticket of another home counts as one that may have
    /// run.
    pub(crate) fn may_have_run_by_records(&self, ticket: &Ticket) -> bool {
        let own = ticket.home == self.settings.name;
        may_have_run(own.then(|| self.tickets.status(ticket)).as_ref())
    }

    /// The state of a ticket at its home; `None` if the home can't be reached.
    pub(crate) fn ticket_status(&self, ticket: &Ticket) -> Option<TicketStatus> {
        if ticket.home == self.settings.name {
            return Some(self.tickets.status(ticket));
        }
        let address = peer_address(self, &ticket.home)?;
        let query = TicketQuery { ticket: ticket.clone() };
        self.peers.call(address, PeerCall::Ticket, &query, Connection::New, TICKET_QUERY_TIMEOUT).ok()
    }

    fn choose_target(
        &self,
        request: RequestContext<'_>,
        idempotent: bool,
        tried: &[Arc<Target>],
    ) -> Result<Arc<Target>, Refusal> {
        RNG.with_borrow_mut(|rng| self.view.choose_target(request.service, request.importance, idempotent, tried, rng))
    }

    /// Whether another attempt is allowed after `last`. A retry that costs an endpoint anything is withdrawn from the
    /// retry budget of its class.
    fn may_retry(&self, request: RequestContext<'_>, last: &Outcome) -> bool {
        is_free_retry(last) || self.budgets.withdraw(request.class)
    }

    fn is_own_guard(&self, guard: &Guard) -> bool {
        guard.daemon == self.settings.name
    }

    fn own_ticket(&self, sequence: Sequence) -> Ticket {
        Ticket { home: self.settings.name.clone(), incarnation: self.incarnation, sequence }
    }

    fn request_id(&self) -> Box<str> {
        let number = NEXT_REQUEST_NUMBER.fetch_add(1, Ordering::Relaxed);
        format!("{}-{:x}-{number:x}", self.settings.name, self.incarnation).into()
    }
}

fn may_have_run(status: Option<&TicketStatus>) -> bool {
    !matches!(status, Some(TicketStatus::Unused | TicketStatus::Ended(Outcome::NotRun(_))))
}

/// Updates the outcome to report if no later attempt succeeds. A response takes precedence over an unknown outcome, and
/// both over "not run", which would be wrong once an attempt may have run.
fn update_fallback(fallback: &mut Option<Outcome>, last: &Outcome) {
    let replaces = match (&fallback, last) {
        (_, Outcome::NotRun(_)) | (Some(Outcome::Done(_)), _) => false,
        (_, Outcome::Done(_)) | (None, Outcome::Unknown(_)) => true,
        (Some(_), Outcome::Unknown(_)) => false,
    };
    if replaces {
        *fallback = Some(last.clone());
    }
}

/// Whether no other attempt is needed. A 5xx response may be the fault of one endpoint.
fn is_conclusive(outcome: &Outcome) -> bool {
    matches!(outcome, Outcome::Done(answer) if answer.status < 500)
}

/// Whether a retry after this outcome needs no budget, because the refused attempt cost no endpoint anything.
fn is_free_retry(last: &Outcome) -> bool {
    match last {
        Outcome::NotRun(refusal) => !matches!(refusal, Refusal::Overloaded | Refusal::TooLate | Refusal::EndpointShed),
        Outcome::Done(_) | Outcome::Unknown(_) => false,
    }
}

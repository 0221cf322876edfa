//! The ingress: runs a caller's request to its end, through guards and ticket homes.

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
        peers::{PeerCall, address_of},
    },
    targets::Importance,
    ticket::{Begin, GuardRef, Silence, Verdict, judge_reply, judge_revoke, judge_silence},
    wire::{
        CallerRequest, Dispatch, DispatchReply, Forward, Outcome, Refusal, Revoke, RevokeReply, Sequence, Ticket,
        TicketAttempt, TicketQuery, TicketStatus, UnknownReason,
    },
};

/// How often a request is sent at most, the first time included.
const ATTEMPTS: usize = 4;
/// The share of the time left that the first attempt of idempotent work gets.
const FIRST_SHARE: f64 = 0.6;
/// How long an answer to a dispatch is waited for before the guard is asked on a new connection.
const FIRST_WAIT: Duration = Duration::from_millis(300);
/// How long a guard that was asked may wait for the run to end.
const ASK_WAIT: Duration = Duration::from_secs(1);
/// What a call may take beyond the work's own time.
const GRACE: Duration = Duration::from_millis(250);
/// The pause before a silent guard is asked again.
const ASK_PAUSE: Duration = Duration::from_millis(50);
/// How long a guard may take to say what its ledger holds.
const LEDGER_TIMEOUT: Duration = Duration::from_millis(300);

thread_local! {
    static RNG: RefCell<SmallRng> = RefCell::new(SmallRng::from_rng(&mut rand::rng()));
}

static REQUESTS: AtomicU64 = AtomicU64::new(1);

/// What a request asks for, beside its bytes.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Order<'a> {
    pub(crate) service: &'a str,
    pub(crate) class: &'a str,
    pub(crate) importance: Importance,
    pub(crate) deadline: Instant,
}

impl Order<'_> {
    fn left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }
}

/// One attempt at a request.
struct Attempt<'a> {
    order: Order<'a>,
    work: &'a CallerRequest,
    /// Present exactly if the class is not idempotent.
    ticket_attempt: Option<TicketAttempt>,
    connection: Connection,
    /// What is left of the deadline for this attempt.
    budget: Duration,
}

impl Daemon {
    /// Runs idempotent work.
    pub(crate) fn run_idempotent(&self, order: Order<'_>, work: &CallerRequest) -> Outcome {
        self.budgets.earn(order.class);
        let mut tried: Vec<Arc<Target>> = Vec::new();
        let mut last = Outcome::NotRun(Refusal::TooLate);
        let mut kept = None;
        while tried.len() < ATTEMPTS && !order.left().is_zero() {
            if !tried.is_empty() && !self.may_retry(order, &last) {
                break;
            }
            let target = match self.choose(order, true, &tried) {
                Ok(it) => it,
                Err(refusal) if tried.is_empty() => return Outcome::NotRun(refusal),
                Err(_) => break,
            };
            let (connection, share) =
                if tried.is_empty() { (Connection::Kept, FIRST_SHARE) } else { (Connection::Fresh, 1.0) };
            let attempt =
                Attempt { order, work, ticket_attempt: None, connection, budget: order.left().mul_f64(share) };
            last = self.try_once(&target, &attempt);
            if answered_well(&last) {
                return last;
            }
            metrics::counter!("jayreach_failed_attempts_total", "outcome" => last.name()).increment(1);
            keep_telling(&mut kept, &last);
            tried.push(target);
        }
        kept.unwrap_or(last)
    }

    fn try_once(&self, target: &Arc<Target>, attempt: &Attempt<'_>) -> Outcome {
        match self.send(target, attempt, attempt.budget + GRACE) {
            Ok(reply) => reply.outcome,
            Err(Silence::Refused) => Outcome::NotRun(Refusal::GuardUnreachable),
            Err(Silence::NoLocalPort) => Outcome::NotRun(Refusal::Overloaded),
            Err(Silence::Lost) => Outcome::Unknown(UnknownReason::GuardSilent),
        }
    }

    /// Sends an attempt to its target's guard and waits for `timeout` at most.
    fn send(&self, target: &Arc<Target>, attempt: &Attempt<'_>, timeout: Duration) -> Result<DispatchReply, Silence> {
        let dispatch = Dispatch {
            request_id: self.request_id(),
            guard_incarnation: target.guard.incarnation,
            endpoint: target.row.id.clone(),
            importance: attempt.order.importance,
            budget_ms: attempt.budget.as_millis() as u64,
            retry: attempt.connection == Connection::Fresh,
            ticket_attempt: attempt.ticket_attempt.clone(),
            work: attempt.work.clone(),
        };
        let ticketed = dispatch.ticket_attempt.is_some();
        let in_flight = target.start();
        let result = if self.is_self(&target.guard) {
            Ok(self.execute(&dispatch))
        } else {
            self.peers.dispatch(target.guard.peers, &dispatch, attempt.connection, timeout)
        };
        in_flight.close();
        match &result {
            Ok(reply) => {
                target.guard.answered();
                target.tell(reply);
            }
            Err(Silence::NoLocalPort) => (),
            Err(Silence::Refused) => target.guard.failed(),
            // A ticketed attempt is asked about before its path is blamed.
            Err(Silence::Lost) if ticketed => (),
            Err(Silence::Lost) => target.guard.failed(),
        }
        result
    }

    /// Runs work under a ticket: here if this is its home, else there.
    pub(crate) fn run_ticketed(&self, order: Order<'_>, ticket: &Ticket, work: CallerRequest) -> Outcome {
        let forward = Forward {
            ticket: ticket.clone(),
            budget_ms: order.left().as_millis() as u64,
            service: order.service.into(),
            class: order.class.into(),
            importance: order.importance,
            work,
        };
        if ticket.home == self.settings.name {
            return self.run_at_home(&forward);
        }
        let Some(address) = address_of(self, &ticket.home) else {
            return self.ask_ledgers(order, ticket);
        };
        match self.peers.forward(address, &forward, order.left() + GRACE) {
            Ok(outcome) => outcome,
            Err(Silence::Refused | Silence::NoLocalPort) => self.ask_ledgers(order, ticket),
            Err(Silence::Lost) => Outcome::Unknown(UnknownReason::HomeUnreachable),
        }
    }

    /// Runs work under one of this daemon's own tickets.
    pub(crate) fn run_at_home(&self, forward: &Forward) -> Outcome {
        let deadline = Instant::now() + Duration::from_millis(forward.budget_ms);
        let Forward { service, class, importance, .. } = forward;
        let order = Order { service, class, importance: *importance, deadline };
        if self.leaving() && !self.may_have_run(&forward.ticket) {
            return Outcome::NotRun(Refusal::ShuttingDown);
        }
        match self.home.begin(&forward.ticket, forward.work.fingerprint(), deadline) {
            Begin::Run => {
                let outcome = self.run_attempts(order, &forward.ticket, &forward.work);
                Outcome::clone(&self.home.settle(forward.ticket.sequence, outcome))
            }
            Begin::Ended(outcome) => Outcome::clone(&outcome),
            Begin::Join => Outcome::Unknown(UnknownReason::StillRunning),
            Begin::Mismatch => Outcome::NotRun(Refusal::TicketMismatch),
            Begin::Expired => Outcome::Unknown(UnknownReason::TicketExpired),
            Begin::NeverIssued => Outcome::NotRun(Refusal::BadRequest),
            Begin::Foreign => self.ask_ledgers(order, &forward.ticket),
        }
    }

    /// Sends work under a running ticket, to another guard only when the last attempt can't run.
    fn run_attempts(&self, order: Order<'_>, ticket: &Ticket, work: &CallerRequest) -> Outcome {
        let mut tried: Vec<Arc<Target>> = Vec::new();
        let mut last = Refusal::TooLate;
        self.budgets.earn(order.class);
        while tried.len() < ATTEMPTS && !order.left().is_zero() {
            if !tried.is_empty() && !self.may_retry(order, &Outcome::NotRun(last)) {
                break;
            }
            let target = match self.choose(order, false, &tried) {
                Ok(it) => it,
                Err(refusal) if tried.is_empty() => return Outcome::NotRun(refusal),
                Err(_) => break,
            };
            match self.run_attempt(order, ticket, work, &target) {
                Verdict::Settle(outcome) => return outcome,
                Verdict::TryAnother(refusal) => last = refusal,
                Verdict::Ask => return Outcome::Unknown(UnknownReason::GuardSilent),
            }
            tried.push(target);
        }
        Outcome::NotRun(last)
    }

    /// One attempt, and asking about it until it is decided or the time is up.
    fn run_attempt(&self, order: Order<'_>, ticket: &Ticket, work: &CallerRequest, target: &Arc<Target>) -> Verdict {
        let guard = GuardRef { daemon: target.guard.daemon.clone(), incarnation: target.guard.incarnation };
        let Some(ticket_attempt) = self.home.dispatch(ticket, guard) else {
            return Verdict::Settle(Outcome::NotRun(Refusal::TooLate));
        };
        let budget = order.left();
        let timeout = FIRST_WAIT.min(budget + GRACE);
        let attempt =
            Attempt { order, work, ticket_attempt: Some(ticket_attempt.clone()), connection: Connection::Kept, budget };
        let sent = self.send(target, &attempt, timeout);
        let mut verdict = match sent {
            Ok(reply) => judge_reply(reply.outcome),
            Err(silence) => judge_silence(silence),
        };
        while verdict == Verdict::Ask && !order.left().is_zero() {
            verdict = match self.revoke(&target.guard, ticket_attempt.clone(), order.left().min(ASK_WAIT)) {
                Ok(reply) => {
                    target.guard.answered();
                    judge_revoke(reply)
                }
                Err(_) => {
                    target.guard.failed();
                    thread::sleep(ASK_PAUSE.min(order.left()));
                    Verdict::Ask
                }
            };
        }
        verdict
    }

    fn revoke(&self, guard: &Guard, ticket_attempt: TicketAttempt, wait: Duration) -> Result<RevokeReply, Silence> {
        metrics::counter!("jayreach_revokes_total").increment(1);
        let revoke = Revoke { guard_incarnation: guard.incarnation, ticket_attempt, wait_ms: wait.as_millis() as u64 };
        if self.is_self(guard) {
            return Ok(self.guard.revoke(&revoke));
        }
        self.peers.call(guard.peers, PeerCall::Revoke, &revoke, Connection::Fresh, wait + GRACE)
    }

    /// Asks what became of the tickets whose outcome was unknown when their time was up.
    pub(crate) fn resolve_unknown(&self) {
        let (unresolved, low_water) = self.home.unresolved();
        for (sequence, attempt, guard) in unresolved {
            let Some(address) = address_of(self, &guard.daemon) else { continue };
            let ticket = self.own_ticket(sequence);
            let ticket_attempt = TicketAttempt { ticket, attempt, low_water };
            let revoke = Revoke { guard_incarnation: guard.incarnation, ticket_attempt, wait_ms: 0 };
            let reply = if guard.daemon == self.settings.name {
                Ok(self.guard.revoke(&revoke))
            } else {
                self.peers.call(address, PeerCall::Revoke, &revoke, Connection::Fresh, LEDGER_TIMEOUT)
            };
            match reply.map(judge_revoke) {
                Ok(Verdict::Settle(outcome)) => _ = self.home.settle(sequence, outcome),
                Ok(Verdict::TryAnother(refusal)) => _ = self.home.settle(sequence, Outcome::NotRun(refusal)),
                Ok(Verdict::Ask) | Err(_) => (),
            }
        }
    }

    /// The home can't be asked: its guards may have a record. Silence proves nothing, so without a
    /// record it stays unknown.
    fn ask_ledgers(&self, order: Order<'_>, ticket: &Ticket) -> Outcome {
        for guard in self.view.guards(order.service) {
            if order.left().is_zero() {
                break;
            }
            match self.ask_ledger(&guard, ticket) {
                Some(TicketStatus::Ended(outcome)) => return outcome,
                Some(TicketStatus::Running) => return Outcome::Unknown(UnknownReason::StillRunning),
                Some(TicketStatus::Unused | TicketStatus::Expired | TicketStatus::NoRecord) | None => (),
            }
        }
        Outcome::Unknown(UnknownReason::HomeUnreachable)
    }

    fn ask_ledger(&self, guard: &Guard, ticket: &Ticket) -> Option<TicketStatus> {
        if self.is_self(guard) {
            return Some(self.guard.status(ticket));
        }
        let query = TicketQuery { ticket: ticket.clone() };
        self.peers.call(guard.peers, PeerCall::Ledger, &query, Connection::Fresh, LEDGER_TIMEOUT).ok()
    }

    /// Whether a refusal of this very request would leave its caller with an untruth, because an
    /// earlier one under the same ticket may have run.
    pub(crate) fn may_have_run(&self, ticket: &Ticket) -> bool {
        may_have_run(self.ticket_status(ticket).as_ref())
    }

    /// Like `may_have_run`, but without asking other daemons.
    pub(crate) fn may_have_run_by_records(&self, ticket: &Ticket) -> bool {
        let own = ticket.home == self.settings.name;
        may_have_run(own.then(|| self.home.status(ticket)).as_ref())
    }

    /// What is known of a ticket anywhere.
    pub(crate) fn ticket_status(&self, ticket: &Ticket) -> Option<TicketStatus> {
        if ticket.home == self.settings.name {
            return Some(self.home.status(ticket));
        }
        let address = address_of(self, &ticket.home)?;
        let query = TicketQuery { ticket: ticket.clone() };
        self.peers.call(address, PeerCall::Ticket, &query, Connection::Fresh, LEDGER_TIMEOUT).ok()
    }

    fn choose(&self, order: Order<'_>, idempotent: bool, tried: &[Arc<Target>]) -> Result<Arc<Target>, Refusal> {
        RNG.with_borrow_mut(|rng| self.view.choose(order.service, order.importance, idempotent, tried, rng))
    }

    /// Whether the last attempt may be followed by another one; takes it out of the class's budget
    /// if it costs the endpoints anything.
    fn may_retry(&self, order: Order<'_>, last: &Outcome) -> bool {
        free_retry(last) || self.budgets.spend(order.class)
    }

    fn is_self(&self, guard: &Guard) -> bool {
        guard.daemon == self.settings.name
    }

    fn own_ticket(&self, sequence: Sequence) -> Ticket {
        Ticket { home: self.settings.name.clone(), incarnation: self.incarnation, sequence }
    }

    fn request_id(&self) -> Box<str> {
        let number = REQUESTS.fetch_add(1, Ordering::Relaxed);
        format!("{}-{:x}-{number:x}", self.settings.name, self.incarnation).into()
    }
}

fn may_have_run(status: Option<&TicketStatus>) -> bool {
    !matches!(status, Some(TicketStatus::Unused | TicketStatus::Ended(Outcome::NotRun(_))))
}

/// Keeps what a caller must be told if no later attempt goes well: an answer before a doubt, and
/// either before "not run", which would be untrue once one attempt may have run.
fn keep_telling(kept: &mut Option<Outcome>, last: &Outcome) {
    let replaces = match (&kept, last) {
        (_, Outcome::NotRun(_)) | (Some(Outcome::Done(_)), _) => false,
        (_, Outcome::Done(_)) | (None, Outcome::Unknown(_)) => true,
        (Some(_), Outcome::Unknown(_)) => false,
    };
    if replaces {
        *kept = Some(last.clone());
    }
}

/// Whether idempotent work has the answer it was sent for; an error of one endpoint may be its own.
fn answered_well(outcome: &Outcome) -> bool {
    matches!(outcome, Outcome::Done(answer) if answer.status < 500)
}

/// Whether a retry costs the endpoints nothing, so that it needs no budget.
fn free_retry(last: &Outcome) -> bool {
    match last {
        Outcome::NotRun(refusal) => !matches!(refusal, Refusal::Overloaded | Refusal::TooLate | Refusal::EndpointShed),
        Outcome::Done(_) | Outcome::Unknown(_) => false,
    }
}

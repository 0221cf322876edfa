//! The tickets that this daemon issued, shared between threads: a second request under a ticket waits for the first
//! one.

use std::{
    sync::{Arc, Condvar, Mutex, PoisonError},
    time::Instant,
};

use crate::{
    rows::{DaemonId, Incarnation},
    ticket::{BeginDecision, GuardIncarnation, TicketCounts, TicketHome},
    util::lock,
    wire::{Fingerprint, Outcome, Sequence, Ticket, TicketAttempt, TicketStatus, UnknownReason},
};

/// The records of the tickets that this daemon issued.
pub(crate) struct IssuedTickets {
    home: Mutex<TicketHome>,
    /// Notified whenever a run ends.
    run_ended: Condvar,
}

impl IssuedTickets {
    pub(crate) fn new(daemon: DaemonId, incarnation: Incarnation) -> Self {
        Self { home: Mutex::new(TicketHome::new(daemon, incarnation)), run_ended: Condvar::new() }
    }

    /// Issues `count` tickets.
    pub(crate) fn issue(&self, count: usize) -> Vec<Ticket> {
        let mut home = lock(&self.home);
        let now = Instant::now();
        (0..count).map(|_| home.issue(now)).collect()
    }

    /// Begins a run under a ticket, or returns why none may begin. Waits until `deadline` for a run that is under way.
    pub(crate) fn begin_run(&self, ticket: &Ticket, fingerprint: Fingerprint, deadline: Instant) -> BeginDecision {
        let mut home = lock(&self.home);
        loop {
            let decision = home.begin_run(ticket, fingerprint);
            let left = deadline.saturating_duration_since(Instant::now());
            if decision != BeginDecision::AlreadyRunning {
                return decision;
            }
            if left.is_zero() {
                return BeginDecision::Ended(Arc::new(Outcome::Unknown(UnknownReason::StillRunning)));
            }
            let waited = self.run_ended.wait_timeout(home, left);
            home = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    /// Records the next attempt under a running ticket and returns its number; `None` if its record has expired.
    pub(crate) fn record_dispatch(&self, ticket: &Ticket, guard: GuardIncarnation) -> Option<TicketAttempt> {
        let mut home = lock(&self.home);
        let attempt = home.record_dispatch(ticket.sequence, guard)?;
        Some(TicketAttempt { ticket: ticket.clone(), attempt, low_water: home.low_water() })
    }

    /// Records the outcome of a run, also of one whose outcome was unknown; returns the recorded outcome.
    pub(crate) fn record_outcome(&self, sequence: Sequence, outcome: Outcome) -> Arc<Outcome> {
        let recorded = lock(&self.home).record_outcome(sequence, outcome);
        self.run_ended.notify_all();
        recorded
    }

    /// The state of a ticket.
    pub(crate) fn status(&self, ticket: &Ticket) -> TicketStatus {
        lock(&self.home).status(ticket)
    }

    /// The tickets whose unknown outcome may still be resolved, each with its last attempt and guard, and the low-water
    /// sequence.
    pub(crate) fn unresolved(&self) -> (Vec<(Sequence, u32, GuardIncarnation)>, Sequence) {
        let home = lock(&self.home);
        (home.unresolved(), home.low_water())
    }

    /// Removes expired records.
    pub(crate) fn remove_expired(&self) {
        lock(&self.home).remove_expired(Instant::now());
    }

    /// The numbers of records.
    pub(crate) fn counts(&self) -> TicketCounts {
        lock(&self.home).counts()
    }
}

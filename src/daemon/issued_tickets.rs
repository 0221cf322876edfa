//! The home's desk: the ticket records behind a lock, and waiting for runs under way.

use std::{
    sync::{Arc, Condvar, Mutex, PoisonError},
    time::Instant,
};

use crate::{
    rows::{DaemonId, Incarnation},
    ticket::{Begin, GuardRef, Home, Tally},
    util::lock,
    wire::{Fingerprint, Outcome, Sequence, Ticket, TicketAttempt, TicketStatus, UnknownReason},
};

/// The records of this daemon's tickets.
pub(crate) struct HomeDesk {
    home: Mutex<Home>,
    /// Told whenever a run ends.
    ended: Condvar,
}

impl HomeDesk {
    pub(crate) fn new(daemon: DaemonId, incarnation: Incarnation) -> Self {
        Self { home: Mutex::new(Home::new(daemon, incarnation)), ended: Condvar::new() }
    }

    /// Issues `count` tickets.
    pub(crate) fn issue(&self, count: usize) -> Vec<Ticket> {
        let mut home = lock(&self.home);
        let now = Instant::now();
        (0..count).map(|_| home.issue(now)).collect()
    }

    /// Begins a run or says why not; a run under way is waited for until `deadline`.
    pub(crate) fn begin(&self, ticket: &Ticket, fingerprint: Fingerprint, deadline: Instant) -> Begin {
        let mut home = lock(&self.home);
        loop {
            let begin = home.begin(ticket, fingerprint);
            let left = deadline.saturating_duration_since(Instant::now());
            if begin != Begin::Join {
                return begin;
            }
            if left.is_zero() {
                return Begin::Ended(Arc::new(Outcome::Unknown(UnknownReason::StillRunning)));
            }
            let waited = self.ended.wait_timeout(home, left);
            home = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    /// Numbers the next attempt under a running ticket.
    pub(crate) fn dispatch(&self, ticket: &Ticket, guard: GuardRef) -> Option<TicketAttempt> {
        let mut home = lock(&self.home);
        let attempt = home.dispatch(ticket.sequence, guard)?;
        Some(TicketAttempt { ticket: ticket.clone(), attempt, low_water: home.low_water() })
    }

    /// Ends a run, or clears up an unknown one.
    pub(crate) fn settle(&self, sequence: Sequence, outcome: Outcome) -> Arc<Outcome> {
        let settled = lock(&self.home).settle(sequence, outcome);
        self.ended.notify_all();
        settled
    }

    /// What is known of a ticket.
    pub(crate) fn status(&self, ticket: &Ticket) -> TicketStatus {
        lock(&self.home).status(ticket)
    }

    /// The unknown tickets that may still be cleared up, with the low-water sequence.
    pub(crate) fn unresolved(&self) -> (Vec<(Sequence, u32, GuardRef)>, Sequence) {
        let home = lock(&self.home);
        (home.unresolved(), home.low_water())
    }

    /// Lets records expire.
    pub(crate) fn expire(&self) {
        lock(&self.home).expire(Instant::now());
    }

    /// How many records there are.
    pub(crate) fn tally(&self) -> Tally {
        lock(&self.home).tally()
    }
}

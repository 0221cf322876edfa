//! The guard's ledger: how the dispatches under each ticket ended, and tombstones of revoked ones.
//!
//! It prevents a late or duplicate dispatch from running a ticket's request again.

use crate::{
    rows::{DaemonId, Incarnation},
    wire::{Outcome, RevokeReply, Sequence, Ticket, TicketAttempt, TicketStatus},
};

/// The state of the last dispatch under a ticket.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DispatchState {
    /// The request is running or waits for a slot.
    Running,
    /// The run ended. `NotRun` is recorded too, so that a late copy of the dispatch is refused.
    Ended(Outcome),
    /// The dispatch was revoked before it arrived or ran (a tombstone).
    Revoked,
}

#[derive(Debug, Clone)]
struct DispatchRecord {
    ticket: Ticket,
    /// The highest attempt seen; lower ones are stale.
    attempt: u32,
    state: DispatchState,
}

#[derive(Debug, Clone)]
struct LowWaterMark {
    home: DaemonId,
    incarnation: Incarnation,
    /// Dispatches with a lower sequence are refused, so their records can be dropped.
    low_water: Sequence,
}

/// Whether a guard runs a dispatch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DispatchDecision {
    /// Run the request.
    Run,
    /// A dispatch under the same ticket is running.
    AlreadyRunning,
    /// A dispatch under the same ticket ended with this outcome.
    Ended(Outcome),
    /// The dispatch is stale; it did not run.
    Stale,
}

/// The dispatches under tickets that one guard has received.
#[derive(Debug, Clone, Default)]
pub struct DispatchLedger {
    /// Sorted by ticket.
    records: Vec<DispatchRecord>,
    /// One for each incarnation of a ticket home, sorted by both.
    marks: Vec<LowWaterMark>,
}

impl DispatchLedger {
    /// Records a dispatch as running, or returns why it must not run.
    pub fn start_dispatch(&mut self, ticket_attempt: &TicketAttempt) -> DispatchDecision {
        self.raise_low_water(&ticket_attempt.ticket, ticket_attempt.low_water);
        if ticket_attempt.ticket.sequence < self.low_water(&ticket_attempt.ticket) {
            return DispatchDecision::Stale;
        }
        let at = match self.find(&ticket_attempt.ticket) {
            Err(at) => {
                let record = DispatchRecord {
                    ticket: ticket_attempt.ticket.clone(),
                    attempt: ticket_attempt.attempt,
                    state: DispatchState::Running,
                };
                self.records.insert(at, record);
                return DispatchDecision::Run;
            }
            Ok(at) => at,
        };
        let record = &mut self.records[at];
        match &record.state {
            DispatchState::Running => DispatchDecision::AlreadyRunning,
            DispatchState::Ended(it @ (Outcome::Done(_) | Outcome::Unknown(_))) => DispatchDecision::Ended(it.clone()),
            DispatchState::Ended(Outcome::NotRun(_)) | DispatchState::Revoked
                if ticket_attempt.attempt <= record.attempt =>
            {
                DispatchDecision::Stale
            }
            DispatchState::Ended(Outcome::NotRun(_)) | DispatchState::Revoked => {
                record.attempt = ticket_attempt.attempt;
                record.state = DispatchState::Running;
                DispatchDecision::Run
            }
        }
    }

    /// Records the outcome of a run.
    ///
    /// # Panics
    ///
    /// If the ticket has no running dispatch.
    pub fn record_outcome(&mut self, ticket: &Ticket, outcome: Outcome) {
        let at = self.find(ticket).expect("the record of a running dispatch is kept");
        let record = &mut self.records[at];
        assert_eq!(record.state, DispatchState::Running, "a run ends once");
        record.state = DispatchState::Ended(outcome);
    }

    /// Prevents an attempt from running later, or returns that it is running or how it ended.
    pub fn revoke(&mut self, ticket_attempt: &TicketAttempt) -> RevokeReply {
        self.raise_low_water(&ticket_attempt.ticket, ticket_attempt.low_water);
        let at = match self.find(&ticket_attempt.ticket) {
            Err(at) => {
                let record = DispatchRecord {
                    ticket: ticket_attempt.ticket.clone(),
                    attempt: ticket_attempt.attempt,
                    state: DispatchState::Revoked,
                };
                self.records.insert(at, record);
                return RevokeReply::Revoked;
            }
            Ok(at) => at,
        };
        let record = &mut self.records[at];
        match &record.state {
            DispatchState::Running => RevokeReply::Running,
            DispatchState::Ended(it @ (Outcome::Done(_) | Outcome::Unknown(_))) => RevokeReply::Ended(it.clone()),
            DispatchState::Ended(Outcome::NotRun(_)) | DispatchState::Revoked => {
                record.attempt = record.attempt.max(ticket_attempt.attempt);
                record.state = DispatchState::Revoked;
                RevokeReply::Revoked
            }
        }
    }

    /// The recorded status of a ticket, for callers that cannot reach its ticket home.
    pub fn status(&self, ticket: &Ticket) -> TicketStatus {
        match self.find(ticket).ok().map(|at| &self.records[at].state) {
            Some(DispatchState::Running) => TicketStatus::Running,
            Some(DispatchState::Ended(it @ (Outcome::Done(_) | Outcome::Unknown(_)))) => {
                TicketStatus::Ended(it.clone())
            }
            Some(DispatchState::Ended(Outcome::NotRun(_)) | DispatchState::Revoked) | None => TicketStatus::NoRecord,
        }
    }

    /// The number of tickets on record.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether no tickets are on record.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// The number of running dispatches.
    pub fn running(&self) -> usize {
        self.records.iter().filter(|it| it.state == DispatchState::Running).count()
    }

    /// Raises the low-water mark of a ticket home and drops the records below it, except running ones.
    ///
    /// Late copies of the dropped dispatches are refused, because their sequence is below the mark.
    fn raise_low_water(&mut self, ticket: &Ticket, low_water: Sequence) {
        let at = match self.find_mark(ticket) {
            Ok(at) => at,
            Err(at) => {
                let Ticket { home, incarnation, .. } = ticket.clone();
                self.marks.insert(at, LowWaterMark { home, incarnation, low_water: 0 });
                at
            }
        };
        if low_water <= self.marks[at].low_water {
            return;
        }
        self.marks[at].low_water = low_water;
        self.drop_records_below(ticket, low_water);
    }

    fn drop_records_below(&mut self, ticket: &Ticket, low_water: Sequence) {
        let from = self.records.partition_point(|it| it.ticket < Ticket { sequence: 0, ..ticket.clone() });
        let end = self.records.partition_point(|it| it.ticket < Ticket { sequence: low_water, ..ticket.clone() });
        let mut running: Vec<_> = self.records.drain(from..end).collect();
        running.retain(|it| it.state == DispatchState::Running);
        self.records.splice(from..from, running);
    }

    fn low_water(&self, ticket: &Ticket) -> Sequence {
        self.find_mark(ticket).map_or(0, |at| self.marks[at].low_water)
    }

    fn find_mark(&self, ticket: &Ticket) -> Result<usize, usize> {
        let key = (&ticket.home, ticket.incarnation);
        self.marks.binary_search_by(|it| (&it.home, it.incarnation).cmp(&key))
    }

    fn find(&self, ticket: &Ticket) -> Result<usize, usize> {
        self.records.binary_search_by(|it| it.ticket.cmp(ticket))
    }
}

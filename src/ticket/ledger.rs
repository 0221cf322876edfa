//! The guard's ledger: what became of every dispatch under a ticket, and tombstones.

use crate::{
    rows::{DaemonId, Incarnation},
    wire::{Outcome, RevokeReply, Sequence, Ticket, TicketAttempt, TicketStatus},
};

/// What the ledger holds of a ticket.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Entry {
    /// It is running, or waits for a slot.
    Running,
    /// It ended; "not run" stands here as well, so that a late copy of the dispatch is refused.
    Ended(Outcome),
    /// It was revoked before it came, or before it ran.
    Revoked,
}

#[derive(Debug, Clone)]
struct Line {
    ticket: Ticket,
    /// The highest attempt seen; lower ones are stale.
    attempt: u32,
    entry: Entry,
}

#[derive(Debug, Clone)]
struct HomeMark {
    home: DaemonId,
    incarnation: Incarnation,
    /// Dispatches below are refused, so their lines can be dropped.
    low_water: Sequence,
}

/// What the ledger says to a dispatch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Opening {
    /// Run it.
    Run,
    /// A copy of it is running.
    Running,
    /// It ended like this.
    Ended(Outcome),
    /// It is stale, and has not run by this dispatch.
    Stale,
}

/// The ledger of one guard.
#[derive(Debug, Clone, Default)]
pub struct Ledger {
    /// Sorted by ticket.
    lines: Vec<Line>,
    /// Sorted by home and incarnation.
    marks: Vec<HomeMark>,
}

impl Ledger {
    /// Opens a line for a dispatch, or says why it must not run.
    pub fn open(&mut self, ticket_attempt: &TicketAttempt) -> Opening {
        self.hear(&ticket_attempt.ticket, ticket_attempt.low_water);
        if ticket_attempt.ticket.sequence < self.low_water(&ticket_attempt.ticket) {
            return Opening::Stale;
        }
        let at = match self.find(&ticket_attempt.ticket) {
            Err(at) => {
                let line = Line {
                    ticket: ticket_attempt.ticket.clone(),
                    attempt: ticket_attempt.attempt,
                    entry: Entry::Running,
                };
                self.lines.insert(at, line);
                return Opening::Run;
            }
            Ok(at) => at,
        };
        let line = &mut self.lines[at];
        match &line.entry {
            Entry::Running => Opening::Running,
            Entry::Ended(it @ (Outcome::Done(_) | Outcome::Unknown(_))) => Opening::Ended(it.clone()),
            Entry::Ended(Outcome::NotRun(_)) | Entry::Revoked if ticket_attempt.attempt <= line.attempt => {
                Opening::Stale
            }
            Entry::Ended(Outcome::NotRun(_)) | Entry::Revoked => {
                line.attempt = ticket_attempt.attempt;
                line.entry = Entry::Running;
                Opening::Run
            }
        }
    }

    /// Ends a run.
    pub fn finish(&mut self, ticket: &Ticket, outcome: Outcome) {
        let at = self.find(ticket).expect("a line stays while its run is under way");
        let line = &mut self.lines[at];
        assert_eq!(line.entry, Entry::Running, "a run ends once");
        line.entry = Entry::Ended(outcome);
    }

    /// Makes sure that an attempt will not run any more, or says what became of it.
    pub fn revoke(&mut self, ticket_attempt: &TicketAttempt) -> RevokeReply {
        self.hear(&ticket_attempt.ticket, ticket_attempt.low_water);
        let at = match self.find(&ticket_attempt.ticket) {
            Err(at) => {
                let line = Line {
                    ticket: ticket_attempt.ticket.clone(),
                    attempt: ticket_attempt.attempt,
                    entry: Entry::Revoked,
                };
                self.lines.insert(at, line);
                return RevokeReply::Revoked;
            }
            Ok(at) => at,
        };
        let line = &mut self.lines[at];
        match &line.entry {
            Entry::Running => RevokeReply::Running,
            Entry::Ended(it @ (Outcome::Done(_) | Outcome::Unknown(_))) => RevokeReply::Ended(it.clone()),
            Entry::Ended(Outcome::NotRun(_)) | Entry::Revoked => {
                line.attempt = line.attempt.max(ticket_attempt.attempt);
                line.entry = Entry::Revoked;
                RevokeReply::Revoked
            }
        }
    }

    /// What is recorded of a ticket; for callers whose home is away.
    pub fn status(&self, ticket: &Ticket) -> TicketStatus {
        match self.find(ticket).ok().map(|at| &self.lines[at].entry) {
            Some(Entry::Running) => TicketStatus::Running,
            Some(Entry::Ended(it @ (Outcome::Done(_) | Outcome::Unknown(_)))) => TicketStatus::Ended(it.clone()),
            Some(Entry::Ended(Outcome::NotRun(_)) | Entry::Revoked) | None => TicketStatus::NoRecord,
        }
    }

    /// How many lines there are.
    pub fn len(&self) -> usize {
        self.lines.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.lines.is_empty()
    }

    /// How many lines are running.
    pub fn running(&self) -> usize {
        self.lines.iter().filter(|it| it.entry == Entry::Running).count()
    }

    /// Notes a home's low-water sequence and drops the lines below it.
    ///
    /// Those lines are never needed again: a late copy of their dispatch is refused by the mark.
    fn hear(&mut self, ticket: &Ticket, low_water: Sequence) {
        let at = match self.find_mark(ticket) {
            Ok(at) => at,
            Err(at) => {
                let Ticket { home, incarnation, .. } = ticket.clone();
                self.marks.insert(at, HomeMark { home, incarnation, low_water: 0 });
                at
            }
        };
        if low_water <= self.marks[at].low_water {
            return;
        }
        self.marks[at].low_water = low_water;
        self.drop_below(ticket, low_water);
    }

    fn drop_below(&mut self, ticket: &Ticket, low_water: Sequence) {
        let from = self.lines.partition_point(|it| it.ticket < Ticket { sequence: 0, ..ticket.clone() });
        let end = self.lines.partition_point(|it| it.ticket < Ticket { sequence: low_water, ..ticket.clone() });
        let mut running: Vec<_> = self.lines.drain(from..end).collect();
        running.retain(|it| it.entry == Entry::Running);
        self.lines.splice(from..from, running);
    }

    fn low_water(&self, ticket: &Ticket) -> Sequence {
        self.find_mark(ticket).map_or(0, |at| self.marks[at].low_water)
    }

    fn find_mark(&self, ticket: &Ticket) -> Result<usize, usize> {
        let wanted = (&ticket.home, ticket.incarnation);
        self.marks.binary_search_by(|it| (&it.home, it.incarnation).cmp(&wanted))
    }

    fn find(&self, ticket: &Ticket) -> Result<usize, usize> {
        self.lines.binary_search_by(|it| it.ticket.cmp(ticket))
    }
}

//! The home's records: one for each ticket that was used.

use std::{
    collections::VecDeque,
    sync::{Arc, LazyLock},
    time::{Duration, Instant},
};

use serde::Deserialize;

use crate::{
    chart::Chart,
    rows::{DaemonId, Incarnation},
    wire::{Fingerprint, Outcome, Sequence, Ticket, TicketStatus, UnknownReason},
};

/// How long a ticket is answered for after it was issued.
pub const KEEP_RECORDS: Duration = Duration::from_secs(600);
/// How far apart the marks are by which the low-water sequence follows time.
const MARK_STEP: Duration = Duration::from_secs(1);

static CHART: LazyLock<Chart<TicketState, TicketEvent>> =
    LazyLock::new(|| Chart::embedded(include_str!("../../charts/ticket.toml")));

/// Where a ticket stands (charts/ticket.toml).
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TicketState {
    /// Issued, and not used yet.
    Fresh,
    /// A run is under way.
    Running,
    /// It ran, and the answer is recorded.
    Done,
    /// It did not run; it may be used again.
    NotRun,
    /// It may have run; it never runs again.
    Unknown,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum TicketEvent {
    Begin,
    Answered,
    Refused,
    Lost,
}

/// The guard and endpoint an attempt went to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GuardRef {
    /// The daemon.
    pub daemon: DaemonId,
    /// Its incarnation when the attempt was sent.
    pub incarnation: Incarnation,
}

#[derive(Debug, Clone)]
struct Record {
    sequence: Sequence,
    fingerprint: Fingerprint,
    state: TicketState,
    /// How many dispatches were sent; each has its own number.
    attempts: u32,
    /// Where the last attempt went.
    guard: Option<GuardRef>,
    /// Present in the states that have ended.
    outcome: Option<Arc<Outcome>>,
}

/// What a home says to a request under one of its tickets.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Begin {
    /// Run it; nobody else does.
    Run,
    /// Someone does; wait for the end.
    Join,
    /// It has ended like this.
    Ended(Arc<Outcome>),
    /// The ticket was used for another request.
    Mismatch,
    /// The record is gone; never run.
    Expired,
    /// Another incarnation issued it; never run here.
    Foreign,
    /// Nobody issued it; never run.
    NeverIssued,
}

/// How many records there are, for metrics.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Tally {
    /// All records.
    pub records: usize,
    /// Those whose run is under way.
    pub running: usize,
}

/// The records of one home.
#[derive(Debug, Clone)]
pub struct Home {
    daemon: DaemonId,
    incarnation: Incarnation,
    /// The next sequence to issue; all below were issued.
    next: Sequence,
    /// No ticket below this is ever run.
    low_water: Sequence,
    /// When sequences were issued: all below the second were issued before the first.
    marks: VecDeque<(Instant, Sequence)>,
    /// Sorted by sequence, none below the low-water sequence.
    records: Vec<Record>,
}

impl Home {
    /// A home that has issued nothing.
    pub fn new(daemon: DaemonId, incarnation: Incarnation) -> Self {
        Self { daemon, incarnation, next: 1, low_water: 1, marks: VecDeque::new(), records: Vec::new() }
    }

    /// Issues a ticket.
    pub fn issue(&mut self, now: Instant) -> Ticket {
        let due = self.marks.back().is_none_or(|(at, _)| now.saturating_duration_since(*at) >= MARK_STEP);
        if due {
            self.marks.push_back((now, self.next));
        }
        let sequence = self.next;
        self.next += 1;
        Ticket { home: self.daemon.clone(), incarnation: self.incarnation, sequence }
    }

    /// The lowest sequence this home still answers for.
    pub fn low_water(&self) -> Sequence {
        self.low_water
    }

    /// Begins to run a ticket, or says why not.
    pub fn begin(&mut self, ticket: &Ticket, fingerprint: Fingerprint) -> Begin {
        if ticket.home != self.daemon || ticket.incarnation != self.incarnation {
            return Begin::Foreign;
        }
        if ticket.sequence >= self.next {
            return Begin::NeverIssued;
        }
        if ticket.sequence < self.low_water {
            return Begin::Expired;
        }
        let at = match self.find(ticket.sequence) {
            Ok(at) => at,
            Err(at) => {
                self.records.insert(at, Record::fresh(ticket.sequence, fingerprint));
                at
            }
        };
        let record = &mut self.records[at];
        if record.fingerprint != fingerprint {
            return Begin::Mismatch;
        }
        if record.on(TicketEvent::Begin) {
            record.outcome = None;
            return Begin::Run;
        }
        match &record.outcome {
            Some(outcome) => Begin::Ended(Arc::clone(outcome)),
            None => Begin::Join,
        }
    }

    /// Notes that the running ticket is about to be sent to `guard`; returns the attempt's number.
    pub fn dispatch(&mut self, sequence: Sequence, guard: GuardRef) -> Option<u32> {
        let record = self.record(sequence)?;
        assert_eq!(record.state, TicketState::Running, "only a running ticket is sent");
        record.attempts += 1;
        record.guard = Some(guard);
        Some(record.attempts)
    }

    /// Ends a run, or clears up an unknown one. Returns what is recorded from now on.
    pub fn settle(&mut self, sequence: Sequence, outcome: Outcome) -> Arc<Outcome> {
        let outcome = Arc::new(outcome);
        let Some(record) = self.record(sequence) else { return outcome };
        let event = match &*outcome {
            Outcome::Done(_) => TicketEvent::Answered,
            Outcome::NotRun(_) => TicketEvent::Refused,
            Outcome::Unknown(_) => TicketEvent::Lost,
        };
        if record.on(event) {
            record.outcome = Some(Arc::clone(&outcome));
        }
        record.outcome.clone().unwrap_or(outcome)
    }

    /// What is known of a ticket.
    pub fn status(&self, ticket: &Ticket) -> TicketStatus {
        if !self.issued(ticket) {
            return TicketStatus::NoRecord;
        }
        if ticket.sequence < self.low_water {
            return TicketStatus::Expired;
        }
        match self.find(ticket.sequence) {
            Err(_) => TicketStatus::Unused,
            Ok(at) => match &self.records[at].outcome {
                Some(it) => TicketStatus::Ended(Outcome::clone(it)),
                None => TicketStatus::Running,
            },
        }
    }

    /// The unknown tickets that may still be cleared up, with their last attempt.
    pub fn unresolved(&self) -> Vec<(Sequence, u32, GuardRef)> {
        let unknown = self.records.iter().filter(|it| it.state == TicketState::Unknown);
        let resolvable = unknown.filter(|it| !it.final_doubt());
        resolvable.filter_map(|it| Some((it.sequence, it.attempts, it.guard.clone()?))).collect()
    }

    /// Lets records expire: a ticket issued more than `KEEP_RECORDS` ago is never run again.
    ///
    /// A run that is still under way holds the low-water sequence back.
    pub fn expire(&mut self, now: Instant) {
        let mut low = self.low_water;
        while let Some((_, until)) =
            self.marks.get(1).filter(|(at, _)| now.saturating_duration_since(*at) >= KEEP_RECORDS)
        {
            low = *until;
            self.marks.pop_front();
        }
        let running = self.records.iter().find(|it| it.state == TicketState::Running);
        let low = running.map_or(low, |it| low.min(it.sequence));
        let gone = self.records.partition_point(|it| it.sequence < low);
        self.records.drain(..gone);
        self.low_water = self.low_water.max(low);
    }

    /// How many records there are.
    pub fn tally(&self) -> Tally {
        let running = self.records.iter().filter(|it| it.state == TicketState::Running).count();
        Tally { records: self.records.len(), running }
    }

    fn issued(&self, ticket: &Ticket) -> bool {
        ticket.home == self.daemon && ticket.incarnation == self.incarnation && ticket.sequence < self.next
    }

    fn find(&self, sequence: Sequence) -> Result<usize, usize> {
        self.records.binary_search_by_key(&sequence, |it| it.sequence)
    }

    fn record(&mut self, sequence: Sequence) -> Option<&mut Record> {
        self.find(sequence).ok().map(|at| &mut self.records[at])
    }
}

impl Record {
    fn fresh(sequence: Sequence, fingerprint: Fingerprint) -> Self {
        Self { sequence, fingerprint, state: CHART.initial, attempts: 0, guard: None, outcome: None }
    }

    fn on(&mut self, event: TicketEvent) -> bool {
        let next = CHART.next(self.state, event);
        self.state = next.unwrap_or(self.state);
        next.is_some()
    }

    /// Whether the guard has said all it will ever know; asking again is in vain.
    fn final_doubt(&self) -> bool {
        matches!(
            self.outcome.as_deref(),
            Some(Outcome::Unknown(UnknownReason::GuardStateLost | UnknownReason::EndpointSilent))
        )
    }
}

//! The ticket home: the tickets that one daemon issued, with a record of each that was used.

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

/// How long a ticket can be used and queried after it was issued.
pub const RECORD_RETENTION: Duration = Duration::from_secs(600);
/// The least time between two checkpoints, which determine the tickets that have expired.
const CHECKPOINT_INTERVAL: Duration = Duration::from_secs(1);

static CHART: LazyLock<Chart<TicketState, TicketEvent>> =
    LazyLock::new(|| Chart::embedded(include_str!("../../charts/ticket.toml")));

/// The state of a ticket (charts/ticket.toml).
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TicketState {
    /// Issued, not used yet.
    Fresh,
    /// A run is in progress.
    Running,
    /// It ran, and the response is recorded.
    Done,
    /// It did not run; it may be used again.
    NotRun,
    /// It may have run, so it must not run again.
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

/// The incarnation of a guard to which an attempt was sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GuardIncarnation {
    /// The guard's name.
    pub daemon: DaemonId,
    /// Its incarnation when the attempt was sent.
    pub incarnation: Incarnation,
}

#[derive(Debug, Clone)]
struct Record {
    sequence: Sequence,
    fingerprint: Fingerprint,
    state: TicketState,
    /// The number of dispatches sent; also the number of the last one.
    attempts: u32,
    /// The guard to which the last attempt was sent.
    guard: Option<GuardIncarnation>,
    /// Present unless the ticket is running.
    outcome: Option<Arc<Outcome>>,
}

/// Whether a request under a ticket may run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BeginDecision {
    /// Run the request; no other run is in progress.
    Run,
    /// Another run is in progress; wait for its outcome.
    AlreadyRunning,
    /// A run under the ticket has ended with this outcome.
    Ended(Arc<Outcome>),
    /// The ticket was used for a different request.
    Mismatch,
    /// The record has expired; the request must not run.
    Expired,
    /// Another daemon or incarnation issued the ticket; the request must not run here.
    IssuedElsewhere,
    /// The sequence has not been issued; the request must not run.
    NeverIssued,
}

/// The number of ticket records, for metrics.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TicketCounts {
    /// All records.
    pub records: usize,
    /// Records whose run is in progress.
    pub running: usize,
}

/// The tickets that one incarnation of a daemon issued.
#[derive(Debug, Clone)]
pub struct TicketHome {
    daemon: DaemonId,
    incarnation: Incarnation,
    /// The next sequence to issue.
    next: Sequence,
    /// The low-water mark: no ticket with a lower sequence runs again.
    low_water: Sequence,
    /// Times, each with the sequence that was next then: all lower sequences were issued earlier.
    checkpoints: VecDeque<(Instant, Sequence)>,
    /// Sorted by sequence, none below the low-water mark.
    records: Vec<Record>,
}

impl TicketHome {
    /// Creates a ticket home that has issued no tickets.
    pub fn new(daemon: DaemonId, incarnation: Incarnation) -> Self {
        Self { daemon, incarnation, next: 1, low_water: 1, checkpoints: VecDeque::new(), records: Vec::new() }
    }

    /// Issues a ticket.
    pub fn issue(&mut self, now: Instant) -> Ticket {
        let due =
            self.checkpoints.back().is_none_or(|(at, _)| now.saturating_duration_since(*at) >= CHECKPOINT_INTERVAL);
        if due {
            self.checkpoints.push_back((now, self.next));
        }
        let sequence = self.next;
        self.next += 1;
        Ticket { home: self.daemon.clone(), incarnation: self.incarnation, sequence }
    }

    /// The lowest sequence that can still be used or queried.
    pub fn low_water(&self) -> Sequence {
        self.low_water
    }

    /// Starts a run under `ticket`, or returns why it must not start.
    pub fn begin_run(&mut self, ticket: &Ticket, fingerprint: Fingerprint) -> BeginDecision {
        if ticket.home != self.daemon || ticket.incarnation != self.incarnation {
            return BeginDecision::IssuedElsewhere;
        }
        if ticket.sequence >= self.next {
            return BeginDecision::NeverIssued;
        }
        if ticket.sequence < self.low_water {
            return BeginDecision::Expired;
        }
        let at = match self.find(ticket.sequence) {
            Ok(at) => at,
            Err(at) => {
                self.records.insert(at, Record::new(ticket.sequence, fingerprint));
                at
            }
        };
        let record = &mut self.records[at];
        if record.fingerprint != fingerprint {
            return BeginDecision::Mismatch;
        }
        if record.apply(TicketEvent::Begin) {
            record.outcome = None;
            return BeginDecision::Run;
        }
        match &record.outcome {
            Some(outcome) => BeginDecision::Ended(Arc::clone(outcome)),
            None => BeginDecision::AlreadyRunning,
        }
    }

    /// Records that the running ticket is about to be sent to `guard`. Returns the number of the attempt, or `None` if
    /// there is no record.
    ///
    /// # Panics
    ///
    /// If the ticket is not running.
    pub fn record_dispatch(&mut self, sequence: Sequence, guard: GuardIncarnation) -> Option<u32> {
        let record = self.record_mut(sequence)?;
        assert_eq!(record.state, TicketState::Running, "only a running ticket is dispatched");
        record.attempts += 1;
        record.guard = Some(guard);
        Some(record.attempts)
    }

    /// Records how a run ended, or resolves an unknown outcome. Returns the outcome that is then on record.
    pub fn record_outcome(&mut self, sequence: Sequence, outcome: Outcome) -> Arc<Outcome> {
        let outcome = Arc::new(outcome);
        let Some(record) = self.record_mut(sequence) else { return outcome };
        let event = match &*outcome {
            Outcome::Done(_) => TicketEvent::Answered,
            Outcome::NotRun(_) => TicketEvent::Refused,
            Outcome::Unknown(_) => TicketEvent::Lost,
        };
        if record.apply(event) {
            record.outcome = Some(Arc::clone(&outcome));
        }
        record.outcome.clone().unwrap_or(outcome)
    }

    /// The status of a ticket, as its callers may query it.
    pub fn status(&self, ticket: &Ticket) -> TicketStatus {
        if !self.has_issued(ticket) {
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

    /// Tickets whose unknown outcome may still be resolved, with the number and guard of their last attempt.
    pub fn unresolved(&self) -> Vec<(Sequence, u32, GuardIncarnation)> {
        let unknown = self.records.iter().filter(|it| it.state == TicketState::Unknown);
        let resolvable = unknown.filter(|it| !it.is_finally_unknown());
        resolvable.filter_map(|it| Some((it.sequence, it.attempts, it.guard.clone()?))).collect()
    }

    /// Raises the low-water mark to exclude tickets issued more than `RECORD_RETENTION` ago, and removes the records
    /// below it.
    ///
    /// The low-water mark does not pass a ticket whose run is in progress.
    pub fn remove_expired(&mut self, now: Instant) {
        let mut low = self.low_water;
        while let Some((_, sequence)) =
            self.checkpoints.get(1).filter(|(at, _)| now.saturating_duration_since(*at) >= RECORD_RETENTION)
        {
            low = *sequence;
            self.checkpoints.pop_front();
        }
        let running = self.records.iter().find(|it| it.state == TicketState::Running);
        let low = running.map_or(low, |it| low.min(it.sequence));
        let expired = self.records.partition_point(|it| it.sequence < low);
        self.records.drain(..expired);
        self.low_water = self.low_water.max(low);
    }

    /// Counts the records, for metrics.
    pub fn counts(&self) -> TicketCounts {
        let running = self.records.iter().filter(|it| it.state == TicketState::Running).count();
        TicketCounts { records: self.records.len(), running }
    }

    fn has_issued(&self, ticket: &Ticket) -> bool {
        ticket.home == self.daemon && ticket.incarnation == self.incarnation && ticket.sequence < self.next
    }

    fn find(&self, sequence: Sequence) -> Result<usize, usize> {
        self.records.binary_search_by_key(&sequence, |it| it.sequence)
    }

    fn record_mut(&mut self, sequence: Sequence) -> Option<&mut Record> {
        self.find(sequence).ok().map(|at| &mut self.records[at])
    }
}

impl Record {
    fn new(sequence: Sequence, fingerprint: Fingerprint) -> Self {
        Self { sequence, fingerprint, state: CHART.initial, attempts: 0, guard: None, outcome: None }
    }

    /// Changes the state if the chart has a transition for `event`; returns whether it has.
    fn apply(&mut self, event: TicketEvent) -> bool {
        let next = CHART.next(self.state, event);
        self.state = next.unwrap_or(self.state);
        next.is_some()
    }

    /// Whether the outcome stays unknown, because another query to the guard can't resolve it.
    fn is_finally_unknown(&self) -> bool {
        matches!(
            self.outcome.as_deref(),
            Some(Outcome::Unknown(UnknownReason::GuardStateLost | UnknownReason::EndpointSilent))
        )
    }
}

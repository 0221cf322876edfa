//! The messages between daemons, coded with MessagePack over HTTP.
//!
//! Times travel as what is left of them, in milliseconds, so no two clocks need agree.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};

use crate::{
    rows::{DaemonId, EndpointId, Incarnation},
    targets::{Importance, Version},
};

/// The header that carries the peer key.
pub const PEER_KEY_HEADER: &str = "Jayreach-Peer-Key";

/// Counts the tickets one incarnation of a home has issued.
pub type Sequence = u64;

/// The idempotency key of a request: which daemon answers for it, and its number there.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ticket {
    /// The daemon that issued it.
    pub home: DaemonId,
    /// That daemon's incarnation.
    pub incarnation: Incarnation,
    /// The number it gave out.
    pub sequence: Sequence,
}

impl fmt::Display for Ticket {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}", self.home, self.incarnation, self.sequence)
    }
}

/// A text that is not a ticket.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("a ticket reads NAME.INCARNATION.SEQUENCE")]
pub struct ParseTicketError;

impl FromStr for Ticket {
    type Err = ParseTicketError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut fields = text.split('.');
        let mut field = || fields.next().filter(|it| !it.is_empty()).ok_or(ParseTicketError);
        let home = field()?.into();
        let incarnation = field()?.parse().map_err(|_| ParseTicketError)?;
        let sequence = field()?.parse().map_err(|_| ParseTicketError)?;
        match fields.next() {
            None => Ok(Self { home, incarnation, sequence }),
            Some(_) => Err(ParseTicketError),
        }
    }
}

/// Tells two requests under the same ticket apart: a digest of method, path and body.
pub type Fingerprint = u64;

/// One header of a request or an answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Header {
    /// The field's name.
    pub name: Box<str>,
    /// The field's value.
    pub value: Box<str>,
}

/// A caller's request, as it goes to the endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerRequest {
    /// The method.
    pub method: Box<str>,
    /// Path and query.
    pub target: Box<str>,
    /// The headers that are passed on.
    pub headers: Vec<Header>,
    /// The whole body.
    #[serde(with = "serde_bytes")]
    pub body: Vec<u8>,
}

impl CallerRequest {
    /// Tells this request from others under the same ticket.
    pub fn fingerprint(&self) -> Fingerprint {
        crate::util::stable_hash(&[self.method.as_bytes(), self.target.as_bytes(), &self.body])
    }
}

/// An endpoint's whole answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointResponse {
    /// The HTTP status.
    pub status: u16,
    /// The headers that are passed on.
    pub headers: Vec<Header>,
    /// The whole body.
    #[serde(with = "serde_bytes")]
    pub body: Vec<u8>,
}

/// Why work did not run. A closed set: callers and operators see its names.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Refusal {
    /// The daemon has no configuration yet.
    NoConfiguration,
    /// No route leads from the path.
    NoRoute,
    /// The account is unknown.
    UnknownAccount,
    /// The request is malformed.
    BadRequest,
    /// The body is too large.
    TooLarge,
    /// Work of a class that is not idempotent came without a ticket.
    TicketNeeded,
    /// The ticket was used for another request.
    TicketMismatch,
    /// No endpoint of the service takes work.
    NoEndpoint,
    /// The endpoint is leaving or gone.
    EndpointLeaving,
    /// The endpoint refused the connection.
    EndpointUnreachable,
    /// The endpoint said that it shed the request.
    EndpointShed,
    /// It could not have been answered in time.
    TooLate,
    /// More important work took its place.
    Overloaded,
    /// The daemon is shutting down.
    ShuttingDown,
    /// The guard has restarted or was asked a second time; the dispatch is stale.
    StaleDispatch,
    /// The guard could not be connected to.
    GuardUnreachable,
    /// The dispatch was revoked before it ran.
    Revoked,

    /// The headers are too large.
    HeadersTooLarge,
}

/// Why it is not known whether work ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum UnknownReason {
    /// The endpoint gave no whole answer in time.
    EndpointSilent,
    /// The guard gave no answer in time.
    GuardSilent,
    /// The guard restarted and has lost its records.
    #[serde(rename = "guard-forgot")]
    GuardStateLost,
    /// The ticket's home cannot be asked.
    HomeUnreachable,
    /// It is still running.
    StillRunning,
    /// The ticket was used before, and what became of it can't be told here.
    TicketUsed,
    /// The ticket's record is gone; it never runs again.
    TicketExpired,
}

/// What became of a request. Every caller learns exactly one of these.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// It ran, and this is the endpoint's whole answer.
    Done(EndpointResponse),
    /// It did not run.
    NotRun(Refusal),
    /// It may have run.
    Unknown(UnknownReason),
}

impl Outcome {
    /// Its name towards callers and in metrics.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Done(_) => "done",
            Self::NotRun(_) => "not-run",
            Self::Unknown(_) => "unknown",
        }
    }
}

/// A ticket's part of a dispatch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TicketAttempt {
    /// The ticket.
    pub ticket: Ticket,
    /// Counts the dispatches under this ticket, from 1.
    pub attempt: u32,
    /// The lowest sequence the home still answers for.
    pub low_water: Sequence,
}

/// Work on its way to a guard.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Dispatch {
    /// Names the request in the endpoint's view.
    pub request_id: Box<str>,
    /// The guard's incarnation as the sender knows it; another one refuses.
    pub guard_incarnation: Incarnation,
    /// The endpoint that was chosen.
    pub endpoint: EndpointId,
    /// How much the work matters.
    pub importance: Importance,
    /// What is left of the deadline, in milliseconds.
    pub budget_ms: u64,
    /// Whether an earlier attempt failed, so that the guard opens a connection for this one: kept
    /// ones may all have gone silent.
    pub retry: bool,
    /// Present exactly if the class is not idempotent.
    #[serde(rename = "leg")]
    pub ticket_attempt: Option<TicketAttempt>,
    /// The request.
    pub work: CallerRequest,
}

/// A guard's answer to a dispatch, with what the ingress needs for its next choice.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DispatchReply {
    /// What became of the work.
    pub outcome: Outcome,
    /// The endpoint's slots in use and work queued.
    pub load: u32,
    /// The lowest importance this endpoint admits without queueing behind more important work.
    #[serde(rename = "admits")]
    pub min_importance: Importance,
}

/// Asks a guard to make sure that an attempt will not run any more.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Revoke {
    /// The guard's incarnation that got the dispatch.
    pub guard_incarnation: Incarnation,
    /// The attempt in question.
    #[serde(rename = "leg")]
    pub ticket_attempt: TicketAttempt,
    /// How long the guard may wait for a run under way to end, in milliseconds.
    pub wait_ms: u64,
}

/// What a guard knows of an attempt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RevokeReply {
    /// It ran to this end.
    Ended(Outcome),
    /// It is running; ask again.
    Running,
    /// It has not run, and never will.
    Revoked,
    /// The guard has restarted since; it cannot tell.
    #[serde(rename = "NoMemory")]
    GuardRestarted,
}

/// Work under a ticket on its way to the ticket's home.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Forward {
    /// The ticket.
    pub ticket: Ticket,
    /// What is left of the deadline, in milliseconds.
    pub budget_ms: u64,
    /// The service.
    pub service: Box<str>,
    /// The class, whose retry budget the home keeps to.
    pub class: Box<str>,
    /// How much the work matters.
    pub importance: Importance,
    /// The request.
    pub work: CallerRequest,
}

/// Asks a home, or a guard, for what it knows of a ticket.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TicketQuery {
    /// The ticket.
    pub ticket: Ticket,
}

/// What is known of a ticket.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum TicketStatus {
    /// Issued, and not used yet.
    #[serde(rename = "Fresh")]
    Unused,
    /// Running.
    Running,
    /// Ended like this.
    Ended(Outcome),
    /// So old that its record is gone.
    Expired,
    /// Never issued here, or not recorded here.
    NoRecord,
}

/// Which configuration a daemon has in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ActiveVersion {
    /// Zero if none.
    pub version: Version,
}

/// Codes a message.
pub fn encode<T: Serialize>(message: &T) -> Vec<u8> {
    rmp_serde::to_vec(message).expect("messages have no type that cannot be coded")
}

/// Decodes a message.
pub fn decode<'a, T: Deserialize<'a>>(bytes: &'a [u8]) -> Result<T, rmp_serde::decode::Error> {
    rmp_serde::from_slice(bytes)
}

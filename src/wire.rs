//! Messages between daemons, encoded with MessagePack and sent over HTTP.
//!
//! A deadline is sent as the time left until then, in milliseconds, so the daemons' clocks need not agree.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};

use crate::{
    rows::{DaemonId, EndpointId, Incarnation},
    targets::{Importance, Version},
};

/// Name of the header in which a daemon sends the key that all daemons share.
pub const PEER_KEY_HEADER: &str = "Jayreach-Peer-Key";

/// Number of a ticket among those that one incarnation of its ticket home issued.
pub type Sequence = u64;

/// Idempotency key of a request. The daemon that issued it, the ticket home, keeps the record of its attempts.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ticket {
    /// The ticket home.
    pub home: DaemonId,
    /// Incarnation of the ticket home when it issued the ticket.
    pub incarnation: Incarnation,
    /// Number of the ticket within that incarnation.
    pub sequence: Sequence,
}

impl fmt::Display for Ticket {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}", self.home, self.incarnation, self.sequence)
    }
}

/// The text doesn't have the form `NAME.INCARNATION.SEQUENCE`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("a ticket must have the form NAME.INCARNATION.SEQUENCE")]
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

/// Digest of a request's method, target and body. Detects the use of one ticket for two different requests.
pub type Fingerprint = u64;

/// One header of a request or a response.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Header {
    /// The header's name.
    pub name: Box<str>,
    /// The header's value.
    pub value: Box<str>,
}

/// A caller's request as it is sent to the endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerRequest {
    /// The HTTP method.
    pub method: Box<str>,
    /// Path and query.
    pub target: Box<str>,
    /// The forwarded headers.
    pub headers: Vec<Header>,
    /// The complete body.
    #[serde(with = "serde_bytes")]
    pub body: Vec<u8>,
}

impl CallerRequest {
    /// Digest of the method, the target and the body. Headers are not included.
    pub fn fingerprint(&self) -> Fingerprint {
        crate::util::stable_hash(&[self.method.as_bytes(), self.target.as_bytes(), &self.body])
    }
}

/// An endpoint's complete response.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointResponse {
    /// The HTTP status.
    pub status: u16,
    /// The forwarded headers.
    pub headers: Vec<Header>,
    /// The complete body.
    #[serde(with = "serde_bytes")]
    pub body: Vec<u8>,
}

/// Why a request did not run. Callers and operators see the names of the variants in kebab case.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Refusal {
    /// The daemon has no configuration yet.
    NoConfiguration,
    /// No route matches the path.
    NoRoute,
    /// The account is unknown.
    UnknownAccount,
    /// The request is malformed.
    BadRequest,
    /// The body is too large.
    TooLarge,
    /// The request's class is not idempotent, and it has no ticket.
    TicketNeeded,
    /// The ticket was used for another request.
    TicketMismatch,
    /// No endpoint of the service accepts requests.
    NoEndpoint,
    /// The endpoint is draining or deregistered.
    EndpointLeaving,
    /// The endpoint refused the connection.
    EndpointUnreachable,
    /// The endpoint's response states that it shed the request.
    EndpointShed,
    /// The request could not have completed before its deadline.
    TooLate,
    /// The daemon shed the request, because it has no capacity left or more important requests came first.
    Overloaded,
    /// The daemon is shutting down.
    ShuttingDown,
    /// The dispatch is for an earlier incarnation of the guard, or its attempt has already ended or been revoked.
    StaleDispatch,
    /// The connection to the guard could not be opened.
    GuardUnreachable,
    /// The dispatch was revoked before it ran.
    Revoked,
    /// The headers are too large.
    HeadersTooLarge,
}

/// Why it is unknown whether a request ran. Callers see the names of the variants in kebab case.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum UnknownReason {
    /// The endpoint sent no complete response in time.
    EndpointSilent,
    /// The guard sent no reply in time.
    GuardSilent,
    /// The guard restarted and lost its records.
    #[serde(rename = "guard-forgot")]
    GuardStateLost,
    /// The ticket home can't be reached.
    HomeUnreachable,
    /// The request is still running.
    StillRunning,
    /// The ticket was used before, and this daemon has no record of the outcome.
    TicketUsed,
    /// The ticket's record has expired. No request runs under this ticket any more.
    TicketExpired,
}

/// Outcome of a request. Each caller receives exactly one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The request ran; contains the endpoint's response.
    Done(EndpointResponse),
    /// The request did not run.
    NotRun(Refusal),
    /// The request may have run.
    Unknown(UnknownReason),
}

impl Outcome {
    /// Name of the outcome in responses to callers and in metrics.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Done(_) => "done",
            Self::NotRun(_) => "not-run",
            Self::Unknown(_) => "unknown",
        }
    }
}

/// One attempt to run the request of a ticket.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TicketAttempt {
    /// The ticket.
    pub ticket: Ticket,
    /// Number of the attempt under this ticket, from 1.
    pub attempt: u32,
    /// Lowest sequence whose record the ticket home still has; guards drop the records of lower ones.
    pub low_water: Sequence,
}

/// Asks a guard to run a request at one of its endpoints.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Dispatch {
    /// Request id that the endpoint receives in a header.
    pub request_id: Box<str>,
    /// Incarnation of the guard that the sender selected. A guard of another incarnation refuses the dispatch.
    pub guard_incarnation: Incarnation,
    /// The selected endpoint.
    pub endpoint: EndpointId,
    /// Importance of the request for load shedding.
    pub importance: Importance,
    /// Time left until the deadline, in milliseconds.
    pub budget_ms: u64,
    /// Whether an earlier attempt failed. The guard then opens a new connection, because its pooled connections may be
    /// broken.
    pub retry: bool,
    /// `Some` if and only if the request's class is not idempotent.
    #[serde(rename = "leg")]
    pub ticket_attempt: Option<TicketAttempt>,
    /// The caller's request.
    #[serde(rename = "work")]
    pub request: CallerRequest,
}

/// A guard's reply to a dispatch, with the endpoint's load for the ingress's next selection.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DispatchReply {
    /// Outcome of the request.
    pub outcome: Outcome,
    /// Number of requests that run at the endpoint or wait for one of its slots.
    pub load: u32,
    /// Lowest importance that the endpoint admits without queueing it behind more important requests.
    #[serde(rename = "admits")]
    pub min_importance: Importance,
}

/// Asks a guard to revoke an attempt, so that it can't start any more, or to report how it ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Revoke {
    /// Incarnation of the guard to which the dispatch was sent.
    pub guard_incarnation: Incarnation,
    /// The attempt to revoke.
    #[serde(rename = "leg")]
    pub ticket_attempt: TicketAttempt,
    /// How long the guard may wait for a running attempt to end, in milliseconds.
    pub wait_ms: u64,
}

/// A guard's reply to [`Revoke`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RevokeReply {
    /// The attempt ended with this outcome.
    Ended(Outcome),
    /// The attempt is still running; the request can be repeated.
    Running,
    /// The attempt has not run and can't start any more.
    Revoked,
    /// The guard restarted after the dispatch and lost its records.
    #[serde(rename = "NoMemory")]
    GuardRestarted,
}

/// Sends a request under a ticket to its ticket home, which dispatches it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Forward {
    /// The ticket.
    pub ticket: Ticket,
    /// Time left until the deadline, in milliseconds.
    pub budget_ms: u64,
    /// The service.
    pub service: Box<str>,
    /// The class, whose retry budget the ticket home applies.
    pub class: Box<str>,
    /// Importance of the request for load shedding.
    pub importance: Importance,
    /// The caller's request.
    #[serde(rename = "work")]
    pub request: CallerRequest,
}

/// Asks a ticket home or a guard for the status of a ticket.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TicketQuery {
    /// The ticket.
    pub ticket: Ticket,
}

/// Status of a ticket, from the records of its ticket home or of a guard.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum TicketStatus {
    /// Issued and not used yet.
    #[serde(rename = "Fresh")]
    Unused,
    /// A request under the ticket is running.
    Running,
    /// The request under the ticket ended with this outcome.
    Ended(Outcome),
    /// The ticket's record has expired.
    Expired,
    /// The daemon has no record of the ticket.
    NoRecord,
}

/// Version of the configuration that is active at a daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ActiveVersion {
    /// Zero if no configuration is active.
    pub version: Version,
}

/// Encodes a message as MessagePack: structs by field position, enums by variant name.
pub fn encode<T: Serialize>(message: &T) -> Vec<u8> {
    rmp_serde::to_vec(message).expect("all message types can be encoded")
}

/// Decodes a message that [`encode`] wrote.
///
/// # Errors
///
/// `bytes` are not a message of type `T`.
pub fn decode<'a, T: Deserialize<'a>>(bytes: &'a [u8]) -> Result<T, rmp_serde::decode::Error> {
    rmp_serde::from_slice(bytes)
}

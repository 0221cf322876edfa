//! The messages between proxies: MessagePack over HTTP/2.
//!
//! Structs are encoded by position, enums by variant name; new fields go to the end and have a default, so that proxies
//! of two releases understand each other.

use std::{net::SocketAddr, time::Duration};

use hyper::{
    HeaderMap,
    header::{HeaderName, HeaderValue},
};
use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;

use crate::{
    decide::{
        fingerprint::Fingerprint,
        incarnation::{EndpointId, UnixMillis},
        quarantine::{CrashRecord, CrashRecordUpdate},
        rate_limit::RequestRate,
        suspicion::EndpointStanding,
        watchers::WatchDuty,
    },
    platform::Era,
    proxy::{
        body::Body,
        body_memory::SMALL_BODY,
        directory::{GuardedService, Incarnation, ProxyName, ProxyStatus, Row, StatusUpdate},
        routes::{RouteName, ServiceName, Version},
    },
};

/// The number of a grant, unique within one incarnation of its guard.
pub(super) type GrantId = u64;

/// The URL paths of the calls.
pub(super) mod path {
    pub(crate) const RESERVE: &str = "/reserve";
    pub(crate) const RUN: &str = "/run";
    pub(crate) const RUN_QUERY: &str = "/ask";
    pub(crate) const RELAY: &str = "/relay";
    pub(crate) const HELLO: &str = "/hello";
    pub(crate) const BRIEF: &str = "/brief";
    pub(crate) const NEWS: &str = "/news";
    pub(crate) const CONFIG: &str = "/config";
    pub(crate) const SUMMARY: &str = "/summary";
    pub(crate) const COMPARE: &str = "/compare";
    pub(crate) const DELIVER: &str = "/deliver";
    pub(crate) const CRASH_RECORDS: &str = "/cases";
    pub(crate) const WATCH: &str = "/watch";
    pub(crate) const LEAVING: &str = "/leaving";
    pub(crate) const WATCH_DUTY: &str = "/watch-duty";
}

/// How an attempt counts against the retry budget.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub enum AttemptKind {
    /// The first attempt of its request.
    First {
        /// The part of it that counts as a retry, 0 to 1. A nested call inherits the retry share of the request that
        /// makes it.
        #[serde(rename = "repeat_share")]
        retry_share: f64,
    },
    /// A further attempt, which needs retry budget.
    #[serde(rename = "Repeat")]
    Retry,
}

impl AttemptKind {
    /// The part of the attempt that counts as a retry, 0 to 1.
    pub fn retry_share(self) -> f64 {
        match self {
            Self::First { retry_share } => retry_share,
            Self::Retry => 1.0,
        }
    }
}

/// Asks a guard for a grant, which permits one request to run at its endpoint.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ReserveRequest {
    /// The proxy that asks.
    #[serde(rename = "from")]
    pub ingress: ProxyName,
    /// The configuration version that is active at the ingress.
    pub version: Version,
    /// The service that must handle the request.
    pub service: ServiceName,
    /// The route of the request.
    pub route: RouteName,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Whether the request may be a trial of a suspect endpoint.
    #[serde(rename = "trial")]
    pub allows_endpoint_trial: bool,
    /// How the attempt counts against the retry budget.
    #[serde(rename = "arrival")]
    pub attempt_kind: AttemptKind,
    /// Whether a running request waits for this one.
    #[serde(rename = "call")]
    pub is_nested_call: bool,
    /// Whether no request running at the ingress's own endpoint can have sent it, so that it must be a caller's.
    #[serde(rename = "certain_caller")]
    pub is_certain_caller_request: bool,
    /// The rank of its route, or of the request that makes this nested call; 0 goes first.
    pub rank: u32,
    /// The time until the latest start with which the request can still end in time.
    #[serde(rename = "useful_for")]
    pub start_within: Duration,
    /// The worst standing that the endpoint may have.
    #[serde(rename = "accepts")]
    pub worst_standing: EndpointStanding,
    /// Identifies equal requests. Proxies of earlier releases send neither this nor the fields below.
    #[serde(default)]
    pub fingerprint: Fingerprint,
    /// The crash record of the request at the ingress.
    #[serde(default)]
    #[serde(rename = "case")]
    pub crash_record: CrashRecord,
    /// Whether it is the trial of a quarantined request.
    #[serde(default, rename = "released")]
    pub is_quarantine_trial: bool,
    /// What the guard's endpoint said in answers that the ingress passed on.
    #[serde(default)]
    pub endpoint_report: Option<EndpointReport>,
    /// Whether the endpoint must not be warming up.
    #[serde(default, rename = "warm")]
    pub needs_warm_endpoint: bool,
}

/// What a proxy does for the watch of the store, and the configuration version that is active there.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct WatchDutyReply {
    /// What it does.
    pub duty: WatchDuty,
    /// The active version; 0 for none.
    pub version: Version,
}

/// Tells a peer that the endpoint on the sender's VM said that it is leaving.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct LeavingNotice {
    /// The sender.
    pub name: ProxyName,
    /// The incarnation of the endpoint.
    pub endpoint: EndpointId,
}

/// What an endpoint said about itself in answers that a proxy passed on. It binds that proxy, so the proxy tells the
/// endpoint's guard, which may have restarted since.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointReport {
    /// The incarnation of the endpoint.
    pub endpoint: EndpointId,
    /// Its rate limit, if it named one.
    pub limit: Option<RequestRate>,
    /// Whether it said that it is leaving.
    pub leaving: bool,
    /// The time since the first such answer.
    pub age: Duration,
}

impl EndpointReport {
    /// Whether this may be about the incarnation `id`; `now` is the current time in Unix milliseconds. If a start time
    /// is unknown, the endpoint may have restarted under its name since.
    pub fn may_be_about(&self, id: &EndpointId, now: UnixMillis) -> bool {
        let said_at = now.saturating_sub(UnixMillis::try_from(self.age.as_millis()).unwrap_or(UnixMillis::MAX));
        self.endpoint.name == id.name
            && match (self.endpoint.started_at, id.started_at) {
                (Some(said), Some(current)) => said == current,
                (None, Some(current)) => current <= said_at,
                (_, None) => true,
            }
    }
}

/// Status and load of a guard, part of its replies.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(super) struct GuardReport {
    /// The status of the guard's proxy.
    #[serde(rename = "brief")]
    pub update: StatusUpdate,
    /// Requests that run at the endpoint or hold a grant.
    pub running: u32,
    /// Requests that wait for a grant.
    pub waiting: u32,
    /// Whether the guard has no retry budget left.
    #[serde(rename = "allowance_used")]
    pub retry_budget_exhausted: bool,
    /// The time until a request that is reserved now may start, by the endpoint's rate limit.
    #[serde(default)]
    pub start_delay: Duration,
}

/// Why a guard refused a grant. Nothing has run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum GrantRefusal {
    /// The VM's endpoint is missing, leaving or of another service, or the request would not end before this proxy
    /// stops.
    #[serde(rename = "Elsewhere")]
    NotServed,
    /// The endpoint's standing is worse than the request accepts.
    Suspect,
    /// The retry budget is exhausted.
    #[serde(rename = "NoAllowance")]
    RetryBudgetExhausted,
    /// The request is quarantined because it crashes endpoints.
    Quarantined,
    /// The endpoint's rate limit does not let the request start in time.
    RateLimited,
    /// The endpoint is warming up and the request needs one that isn't. Proxies of earlier releases don't send such
    /// requests.
    WarmingUp,
}

/// The response to [`ReserveRequest`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(super) struct ReserveResponse {
    /// The guard's status and load.
    #[serde(rename = "news")]
    pub report: GuardReport,
    /// The grant, or why there is none.
    pub result: Result<Grant, GrantRefusal>,
    /// Whether callers use the route; `None` until the guard has seen enough of its requests.
    #[serde(rename = "callers_route")]
    pub is_caller_route: Option<bool>,
    /// The crash record of the request at the guard.
    #[serde(default)]
    #[serde(rename = "case")]
    pub crash_record: CrashRecord,
    /// Whether the refusal in `result` is [`GrantRefusal::RateLimited`], which proxies of earlier releases can't
    /// decode; these get `NotServed`.
    #[serde(default)]
    pub is_rate_limited: bool,
}

/// Permits one request to run at an endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// The number of the grant.
    pub id: GrantId,
    /// The guard's incarnation, in which the id is unique.
    pub guard: Incarnation,
    /// The incarnation of the endpoint.
    pub endpoint: EndpointId,
}

/// Headers and body of an HTTP request or response.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HttpContent {
    /// End-to-end headers.
    headers: Vec<(Box<str>, ByteBuf)>,
    /// The body, or its first part.
    pub body: Body,
    /// The number of further bytes of the body. Those of a request follow the message; those of a response are fetched
    /// with [`RunQuery`]. Not sent if it is zero, so that proxies of earlier releases understand short bodies.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub left: usize,
}

fn is_zero(number: &usize) -> bool {
    *number == 0
}

impl HttpContent {
    /// Copies `headers`; `body` is complete.
    pub fn new(headers: &HeaderMap, body: Body) -> Self {
        let headers =
            headers.iter().map(|(name, value)| (name.as_str().into(), ByteBuf::from(value.as_bytes()))).collect();
        Self { headers, body, left: 0 }
    }

    /// The length of the whole body in bytes.
    pub fn len(&self) -> usize {
        self.body.len() + self.left
    }

    /// Whether the body is empty.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// This content without its body, if that is too long for a message; the body follows the message.
    fn with_body_apart(&self) -> Option<Self> {
        let is_long = self.body.len() > SMALL_BODY;
        is_long.then(|| Self { headers: self.headers.clone(), body: Body::default(), left: self.body.len() })
    }

    /// At most `len` bytes of the body from `offset` on, with the headers if it is the first part.
    fn part(&self, offset: usize, len: usize) -> Self {
        let headers = if offset == 0 { self.headers.clone() } else { Vec::new() };
        let body = self.body.slice(offset, len);
        Self { left: self.body.len().saturating_sub(offset + body.len()), headers, body }
    }

    /// The headers, without invalid ones.
    pub fn headers(&self) -> HeaderMap {
        let valid = self.headers.iter().filter_map(|(name, value)| {
            let name = HeaderName::from_bytes(name.as_bytes()).ok()?;
            let value = HeaderValue::from_bytes(value).ok()?;
            Some((name, value))
        });
        let mut headers = HeaderMap::new();
        for (name, value) in valid {
            headers.append(name, value);
        }
        headers
    }
}

/// Runs a request under a grant.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RunRequest {
    /// The grant that permits the run.
    pub grant: Grant,
    /// The id of the caller's attempt.
    #[serde(rename = "request")]
    pub request_id: Box<str>,
    /// The part of this run that counts as a retry, 0 to 1; its nested calls inherit it.
    #[serde(rename = "repeat_share")]
    pub retry_share: f64,
    /// The HTTP method.
    pub method: Box<str>,
    /// Path and query of the URI.
    pub target: Box<str>,
    /// Headers and body.
    pub content: HttpContent,
    /// How long the ingress waits for the response.
    #[serde(rename = "left")]
    pub timeout: Duration,
    /// Identifies equal requests.
    #[serde(default)]
    pub fingerprint: Fingerprint,
    /// The longest first part of an answer that the ingress has memory for, in bytes. Not sent if it is the usual one,
    /// so that proxies of earlier releases understand the request.
    #[serde(default = "usual_first_part", skip_serializing_if = "is_usual_first_part")]
    pub first_part: usize,
}

fn usual_first_part() -> usize {
    SMALL_BODY
}

fn is_usual_first_part(len: &usize) -> bool {
    *len == SMALL_BODY
}

impl RunRequest {
    /// The message for another proxy, and the body if that follows it.
    pub(super) fn into_message(self) -> (Self, Option<Body>) {
        match self.content.with_body_apart() {
            Some(content) => {
                let body = self.content.body;
                (Self { content, ..self }, Some(body))
            }
            None => (self, None),
        }
    }
}

/// How a run ended.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum RunEnd {
    /// The endpoint's complete response.
    Answered {
        /// The HTTP status code.
        status: u16,
        /// Headers and body.
        content: HttpContent,
        /// The time from sending the request to the complete response.
        took: Duration,
    },
    /// The request did not run and never will.
    NotRun(NotRunReason),
    /// The request may have run.
    Unknown(UnknownReason),
}

impl RunEnd {
    /// This end with at most `len` bytes of the answer's body from `offset` on.
    pub fn part(&self, offset: usize, len: usize) -> Self {
        match self {
            Self::Answered { status, content, took } => {
                Self::Answered { status: *status, content: content.part(offset, len), took: *took }
            }
            Self::NotRun(_) | Self::Unknown(_) => self.clone(),
        }
    }

    /// The length of the answer's body in bytes; zero if there is no answer.
    pub fn body_len(&self) -> usize {
        match self {
            Self::Answered { content, .. } => content.len(),
            Self::NotRun(_) | Self::Unknown(_) => 0,
        }
    }
}

/// Why a request did not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum NotRunReason {
    /// The grant was revoked, or the guard has no record of it.
    NoGrant,
    /// No connection to the endpoint could be opened.
    NoConnection,
    /// The endpoint declined the request without running it.
    Declined,
    /// Another incarnation answered at the endpoint's address.
    OtherInstance,
}

/// Why it is not known whether a request ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum UnknownReason {
    /// The connection to the endpoint broke.
    Broken,
    /// The endpoint ended while the request was running.
    Ended,
    /// The response is malformed or belongs to another request.
    #[serde(rename = "Garbled")]
    MalformedAnswer,
    /// No response came within the time limit. In the reply to a [`RunQuery`]: the run has not ended yet.
    #[serde(rename = "Silent")]
    TimedOut,
    /// The guard has no record of the grant, for example after a restart, or got only a part of the request.
    #[serde(rename = "GuardGone")]
    GuardStateLost,
}

/// The response to [`RunRequest`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(super) struct RunResponse {
    /// The guard's status and load.
    #[serde(rename = "news")]
    pub report: GuardReport,
    /// How the run ended.
    pub end: RunEnd,
    /// The crash record of the request at the guard after this run.
    #[serde(default)]
    #[serde(rename = "case")]
    pub crash_record: CrashRecord,
}

/// Asks how the run of a grant ended. An unused grant is revoked.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunQuery {
    /// The grant that permits the run.
    pub grant: Grant,
    /// What the sender needs of the answer. Not sent for its beginning, so that proxies of earlier releases understand
    /// the query.
    #[serde(default, skip_serializing_if = "AnswerNeed::is_default")]
    pub need: AnswerNeed,
}

/// What an ingress needs of an answer that its guard holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum AnswerNeed {
    /// The part of its body from this offset on; with the headers if that is zero.
    From(usize),
    /// Nothing yet: the caller is slow.
    Later,
    /// Nothing more.
    Done,
}

impl AnswerNeed {
    fn is_default(&self) -> bool {
        *self == Self::default()
    }
}

impl Default for AnswerNeed {
    fn default() -> Self {
        Self::From(0)
    }
}

/// A [`RunQuery`] that the receiver forwards, because the sender can't reach the guard.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct RelayedQuery {
    /// The peer address of the guard.
    #[serde(rename = "to")]
    pub guard_address: SocketAddr,
    /// The query to forward.
    #[serde(rename = "ask")]
    pub query: RunQuery,
}

/// Introduces the sender on a link; sent again whenever its row or its selection changes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(super) struct Hello {
    /// The sender's directory row.
    pub row: Row,
    /// The sender's status.
    #[serde(rename = "current")]
    pub status: ProxyStatus,
    /// Whether the sender selected this link. If so, the receiver keeps a link back and reports changes of its status.
    #[serde(rename = "chosen")]
    pub selected: bool,
    /// What the receiver's endpoint said in answers that the sender passed on.
    #[serde(default)]
    pub endpoint_report: Option<EndpointReport>,
}

/// The response to [`Hello`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(super) struct HelloResponse {
    /// The responder's directory row.
    pub row: Row,
    /// The responder's status.
    #[serde(rename = "current")]
    pub status: ProxyStatus,
    /// The sender's row in the responder's directory, if newer than the one sent. It is then from an earlier
    /// incarnation of the sender, whose clock was set back since.
    #[serde(rename = "newer")]
    pub newer_sender_row: Option<Row>,
}

/// Tells a peer on a new connection, as its link gave no answer, which configuration version the sender has.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct VersionNews {
    /// The sender.
    pub name: ProxyName,
    /// The version that is active at the sender.
    pub version: Version,
    /// Whether most links of the sender gave no answer, so that those of the receiver may not either.
    pub links_seem_silent: bool,
}

/// Opens an anti-entropy exchange; nothing more is sent if both sides agree.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct StateSummary {
    /// The digest of all directory rows.
    pub digest: u64,
    /// The active configuration version.
    pub version: Version,
    /// The time since the store last confirmed to any proxy that this version is the newest, as far as the sender
    /// knows.
    pub confirmed_ago: Option<Duration>,
    /// The digest of all crash records.
    #[serde(default, rename = "cases")]
    pub crash_records_digest: u64,
    /// The newest store era that the sender has seen; it goes up with each restore from a backup.
    #[serde(default, rename = "era")]
    pub store_era: Option<Era>,
}

/// Sends crash records to a peer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct QuarantineExchange {
    /// The sender's crash records.
    #[serde(rename = "cases")]
    pub crash_records: Vec<CrashRecordUpdate>,
    /// Whether the receiver responds with its own crash records.
    #[serde(rename = "exchange")]
    pub wants_reply: bool,
}

/// Completes an anti-entropy exchange of directory rows.
pub(super) type DeliverRequest = crate::rows::DeliverRequest<GuardedService>;
/// The response to [`DeliverRequest`].
pub(super) type DeliverResponse = crate::rows::DeliverResponse<GuardedService>;

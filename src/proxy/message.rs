//! What proxies tell each other: `rmp-serde` over HTTP/2, one connection for each pair.

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
        incarnation::EndpointId,
        quarantine::{CrashRecord, CrashRecordUpdate},
        suspicion::EndpointStanding,
    },
    platform::Era,
    proxy::{
        directory::{GuardedService, Incarnation, ProxyName, ProxyStatus, Row, StatusUpdate},
        routes::{RouteName, ServiceName, Version},
    },
};

/// A permission to send one request to an endpoint; unique for one incarnation of its guard.
pub(super) type GrantId = u64;

/// The paths of the calls.
pub(super) mod path {
    pub(crate) const RESERVE: &str = "/reserve";
    pub(crate) const RUN: &str = "/run";
    pub(crate) const ASK: &str = "/ask";
    pub(crate) const RELAY: &str = "/relay";
    pub(crate) const HELLO: &str = "/hello";
    pub(crate) const BRIEF: &str = "/brief";
    pub(crate) const CONFIG: &str = "/config";
    pub(crate) const SUMMARY: &str = "/summary";
    pub(crate) const COMPARE: &str = "/compare";
    pub(crate) const DELIVER: &str = "/deliver";
    pub(crate) const CASES: &str = "/cases";
    pub(crate) const WATCH: &str = "/watch";
}

/// What an attempt is to the allowance for repeats.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub enum AttemptKind {
    /// The first of its request.
    First {
        /// The part of it that counts as a repeat, 0 to 1: calls of repeated work do, and running work waits
        /// for them.
        #[serde(rename = "repeat_share")]
        retry_share: f64,
    },
    /// One more of its request; needs an allowance.
    #[serde(rename = "Repeat")]
    Retry,
}

impl AttemptKind {
    /// How much of it counts as a repeat, 0 to 1.
    pub fn retry_share(self) -> f64 {
        match self {
            Self::First { retry_share } => retry_share,
            Self::Retry => 1.0,
        }
    }
}

/// What a reserved place is for.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ReserveRequest {
    /// The ingress.
    #[serde(rename = "from")]
    pub ingress: ProxyName,
    /// The version in force at the ingress.
    pub version: Version,
    /// The service that must do the work.
    pub service: ServiceName,
    /// The work's class.
    pub route: RouteName,
    /// Whether the work may run again.
    pub idempotent: bool,
    /// Whether a suspect endpoint may be tried with it.
    #[serde(rename = "trial")]
    pub allows_endpoint_trial: bool,
    /// What it is to the allowance for repeats.
    #[serde(rename = "arrival")]
    pub attempt_kind: AttemptKind,
    /// Whether running work waits for this.
    #[serde(rename = "call")]
    pub is_nested_call: bool,
    /// Whether a caller sent it for certain, as no work at the endpoint beside the ingress can have.
    #[serde(rename = "certain_caller")]
    pub is_certain_caller_request: bool,
    /// The rank of its class, or of the work that made it; 0 goes first.
    pub rank: u32,
    /// After this it is of less use to begin.
    #[serde(rename = "useful_for")]
    pub start_within: Duration,
    /// Up to this standing an endpoint is good enough for it.
    #[serde(rename = "accepts")]
    pub worst_standing: EndpointStanding,
    /// What the request asks for; proxies of earlier releases don't say it, nor what follows.
    #[serde(default)]
    pub fingerprint: Fingerprint,
    /// What the ingress knows against it.
    #[serde(default)]
    pub case: CrashRecord,
    /// It is the trial of a request that is held back.
    #[serde(default, rename = "released")]
    pub is_quarantine_trial: bool,
}

/// What a guard tells with every reply.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(super) struct GuardReport {
    /// What of its row changes often.
    #[serde(rename = "brief")]
    pub update: StatusUpdate,
    /// Requests at the endpoint, or permitted.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Its allowance for repeats is used up.
    #[serde(rename = "allowance_used")]
    pub retry_budget_exhausted: bool,
}

/// Why a guard gives no place. Nothing has run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum GrantRefusal {
    /// The VM's endpoint is not there, leaves, or is another service's.
    #[serde(rename = "Elsewhere")]
    NotServed,
    /// The endpoint is suspect or declines, and this work is not for it.
    Suspect,
    /// The endpoint has had as many repeats as it may.
    #[serde(rename = "NoAllowance")]
    RetryBudgetExhausted,
    /// The request ends the endpoints that work on it.
    Quarantined,
}

/// The answer to [`ReserveRequest`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(super) struct ReserveResponse {
    /// What the guard tells.
    #[serde(rename = "news")]
    pub report: GuardReport,
    /// The place, or why there is none.
    pub result: Result<Grant, GrantRefusal>,
    /// Whether callers use the route, if the guard has heard of enough of its requests.
    #[serde(rename = "callers_route")]
    pub is_caller_route: Option<bool>,
    /// What the guard knows against the request.
    #[serde(default)]
    pub case: CrashRecord,
}

/// A place at an endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Which.
    pub id: GrantId,
    /// The guard's incarnation, in which the id is unique.
    pub guard: Incarnation,
    /// The endpoint's life.
    pub endpoint: EndpointId,
}

/// A request or an answer, whole.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HttpContent {
    /// End-to-end headers.
    headers: Vec<(Box<str>, ByteBuf)>,
    /// The body.
    pub body: ByteBuf,
}

impl HttpContent {
    /// Of these headers and this body.
    pub fn new(headers: &HeaderMap, body: &[u8]) -> Self {
        let headers =
            headers.iter().map(|(name, value)| (name.as_str().into(), ByteBuf::from(value.as_bytes()))).collect();
        Self { headers, body: ByteBuf::from(body) }
    }

    /// The headers; one that isn't valid is left out.
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

/// Work for a reserved place.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RunRequest {
    /// The place.
    pub grant: Grant,
    /// The attempt of the caller.
    #[serde(rename = "request")]
    pub request_id: Box<str>,
    /// How much of this counts as a repeat, 0 to 1; its own calls count alike.
    #[serde(rename = "repeat_share")]
    pub retry_share: f64,
    /// The method.
    pub method: Box<str>,
    /// Path and query.
    pub target: Box<str>,
    /// Headers and body.
    pub content: HttpContent,
    /// How long the answer is waited for.
    #[serde(rename = "left")]
    pub timeout: Duration,
    /// What the request asks for.
    #[serde(default)]
    pub fingerprint: Fingerprint,
}

/// How a run ended.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum RunEnd {
    /// The endpoint's whole answer.
    Answered {
        /// Its status.
        status: u16,
        /// Headers and body.
        content: HttpContent,
        /// How long the endpoint took.
        took: Duration,
    },
    /// It did not run and never will.
    NotRun(NotRunReason),
    /// It may have run.
    Unknown(UnknownReason),
}

/// Why work did not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum NotRunReason {
    /// The place was given back, or the guard does not know it.
    NoGrant,
    /// No connection to the endpoint could be opened.
    NoConnection,
    /// The endpoint says that it did not run it.
    Declined,
    /// Another incarnation answered at the endpoint's address.
    OtherInstance,
}

/// Why it is not known whether work ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum UnknownReason {
    /// The connection to the endpoint broke.
    Broken,
    /// The endpoint ended while it had the work.
    Ended,
    /// What came is not the endpoint's whole answer to this request.
    #[serde(rename = "Garbled")]
    MalformedAnswer,
    /// No answer within the time that was left.
    #[serde(rename = "Silent")]
    TimedOut,
    /// The guard is gone, and what it knew.
    #[serde(rename = "GuardGone")]
    GuardStateLost,
}

/// The answer to [`RunRequest`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(super) struct RunResponse {
    /// What the guard tells.
    #[serde(rename = "news")]
    pub report: GuardReport,
    /// How it ended.
    pub end: RunEnd,
    /// What the guard now knows against the request.
    #[serde(default)]
    pub case: CrashRecord,
}

/// Asks what became of a place; one that was not used yet is taken back.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct RunQuery {
    /// The place.
    pub grant: Grant,
}

/// An [`RunQuery`] for a guard that the sender can't reach itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct RelayedQuery {
    /// The guard.
    pub to: SocketAddr,
    /// The question.
    pub ask: RunQuery,
}

/// Who calls, and how it stands.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(super) struct Hello {
    /// The sender's row.
    pub row: Row,
    /// What of it changes often.
    #[serde(rename = "current")]
    pub status: ProxyStatus,
    /// The sender keeps a connection because it chose the receiver, and wants to be told how its endpoint stands.
    #[serde(rename = "chosen")]
    pub selected: bool,
}

/// The answer to [`Hello`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(super) struct HelloResponse {
    /// The answerer's row.
    pub row: Row,
    /// What of it changes often.
    #[serde(rename = "current")]
    pub status: ProxyStatus,
    /// The caller's row as known here, if that is newer than what the caller says: of an earlier run, before the
    /// caller's clock was set back.
    #[serde(rename = "newer")]
    pub newer_caller_row: Option<Row>,
}

/// What two proxies compare first; most of the time they agree.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct StateSummary {
    /// Differs where any row of the directories differs.
    pub digest: u64,
    /// The version in force.
    pub version: Version,
    /// How long ago someone had the store's answer that this is the newest, as far as the sender knows.
    pub confirmed_ago: Option<Duration>,
    /// Differs where what is known against any request differs.
    #[serde(default, rename = "cases")]
    pub cases_digest: u64,
    /// The newest era of the store that the sender heard of.
    #[serde(default, rename = "era")]
    pub store_era: Option<Era>,
}

/// What a proxy knows against requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct QuarantineExchange {
    /// The cases.
    pub cases: Vec<CrashRecordUpdate>,
    /// The receiver's are wanted in return.
    #[serde(rename = "exchange")]
    pub wants_reply: bool,
}

/// Ends an exchange of rows.
pub(super) type DeliverRequest = crate::rows::DeliverRequest<GuardedService>;
/// Answers [`DeliverRequest`].
pub(super) type DeliverResponse = crate::rows::DeliverResponse<GuardedService>;

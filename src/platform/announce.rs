//! Decodes the calls by which endpoints announce and deregister themselves.

use std::{net::SocketAddr, time::Duration};

use hyper::Method;
use serde::{Deserialize, Deserializer};
use serde_json::Value;

use crate::{
    decide::incarnation::{EndpointId, UnixMillis},
    proxy::guard::{Announcement, EndpointPhase},
};

/// A call that an endpoint makes to its proxy, with the name of the endpoint from the path.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AnnounceCall {
    /// The endpoint announces its address, slots and state; the body holds a heartbeat.
    Heartbeat(Box<str>),
    /// The endpoint is about to shut down; requests that it is running may still complete.
    Deregister(Box<str>),
}

/// Returns the call that `method` and `path` stand for, or `None` if it is no announcement.
pub fn announce_call(method: &Method, path: &str) -> Option<AnnounceCall> {
    let (id, verb) = path.strip_prefix("/instances/")?.split_once('/')?;
    match (method, verb) {
        (&Method::POST, "heartbeat") if !id.is_empty() => Some(AnnounceCall::Heartbeat(id.into())),
        (&Method::POST, "deregister") if !id.is_empty() => Some(AnnounceCall::Deregister(id.into())),
        _ => None,
    }
}

/// The body of a heartbeat.
#[derive(Debug, Deserialize)]
struct Heartbeat {
    service: Box<str>,
    /// Address of the endpoint itself.
    address: SocketAddr,
    /// Number of requests that the endpoint runs concurrently.
    slots: u32,
    state: HeartbeatState,
    /// Rest of the warm-up in which the endpoint is slow, in seconds.
    #[serde(default)]
    warmup_left_s: f64,
    /// Increases with each call of one incarnation.
    sequence: u64,
    /// Start of the incarnation, in Unix milliseconds.
    #[serde(default, deserialize_with = "whole_number")]
    born: Option<UnixMillis>,
}

/// A longer warm-up counts as this long, so that its end is a time that can be computed with.
const MAX_WARMUP: Duration = Duration::from_secs(3_600);

/// The body of a deregistration; all other fields are ignored.
#[derive(Debug, Default, Deserialize)]
struct Deregistration {
    #[serde(default, deserialize_with = "whole_number")]
    born: Option<UnixMillis>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
enum HeartbeatState {
    Ready,
    Draining,
}

/// Decodes the body of a heartbeat that the endpoint `id` sent; `now` is the time of its arrival, in Unix milliseconds.
///
/// # Errors
///
/// Returns the JSON error, with its line and column, if the body is not a valid heartbeat.
pub fn parse_heartbeat(id: &str, body: &[u8], now: UnixMillis) -> Result<Announcement, serde_json::Error> {
    let heartbeat: Heartbeat = serde_json::from_slice(body)?;
    let phase = match heartbeat.state {
        HeartbeatState::Ready => EndpointPhase::Serving,
        HeartbeatState::Draining => EndpointPhase::Leaving,
    };
    Ok(Announcement {
        id: EndpointId::new(id, heartbeat.born, now),
        service: heartbeat.service,
        address: heartbeat.address,
        slots: heartbeat.slots,
        phase,
        warmup_left: Duration::try_from_secs_f64(heartbeat.warmup_left_s).unwrap_or_default().min(MAX_WARMUP),
        sequence: heartbeat.sequence,
    })
}

/// Returns the incarnation of the endpoint `id` that deregisters. Its start time is unknown if the body is empty or
/// malformed.
pub fn parse_deregistration(id: &str, body: &[u8], now: UnixMillis) -> EndpointId {
    let deregistration: Deregistration = serde_json::from_slice(body).unwrap_or_default();
    EndpointId::new(id, deregistration.born, now)
}

/// Decodes a non-negative integer; any other value counts as absent.
fn whole_number<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Option<UnixMillis>, D::Error> {
    Ok(Value::deserialize(deserializer)?.as_u64())
}

//! What endpoints announce about themselves.

use std::{net::SocketAddr, time::Duration};

use hyper::Method;
use serde::{Deserialize, Deserializer};
use serde_json::Value;

use crate::{
    decide::incarnation::{EndpointId, UnixMillis},
    proxy::guard::{Announcement, EndpointPhase},
};

/// A call of an endpoint, by method and path.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AnnounceCall {
    /// It announces itself; the body says how.
    Heartbeat(Box<str>),
    /// It leaves, and may go on for a while.
    Deregister(Box<str>),
}

/// Which call `method` and `path` are, if any.
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
    /// The endpoint's service.
    service: Box<str>,
    /// Where the endpoint is.
    address: SocketAddr,
    /// How many requests it works on at once.
    slots: u32,
    /// `ready` or `draining`.
    state: State,
    /// How much longer it stays slow after its start, in seconds.
    #[serde(default)]
    warmup_left_s: f64,
    /// Goes up with each call of one life.
    sequence: u64,
    /// When this life began, in Unix milliseconds.
    #[serde(default, deserialize_with = "whole_number")]
    born: Option<UnixMillis>,
}

/// What is understood of any announcement.
#[derive(Debug, Default, Deserialize)]
struct Birth {
    #[serde(default, deserialize_with = "whole_number")]
    born: Option<UnixMillis>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
enum State {
    Ready,
    Draining,
}

/// Decodes a heartbeat of the endpoint `id`, which came at `now`.
///
/// # Errors
///
/// A body that is not a heartbeat, with what is wrong and where.
pub fn parse_heartbeat(id: &str, body: &[u8], now: UnixMillis) -> Result<Announcement, serde_json::Error> {
    let it: Heartbeat = serde_json::from_slice(body)?;
    let phase = match it.state {
        State::Ready => EndpointPhase::Serving,
        State::Draining => EndpointPhase::Leaving,
    };
    Ok(Announcement {
        id: EndpointId::new(id, it.born, now),
        service: it.service,
        address: it.address,
        slots: it.slots,
        phase,
        warmup_left: Duration::try_from_secs_f64(it.warmup_left_s).unwrap_or_default(),
        sequence: it.sequence,
    })
}

/// Which life of the endpoint `id` says with `body` that it is gone; an empty or odd body doesn't tell its start.
pub fn parse_deregistration(id: &str, body: &[u8], now: UnixMillis) -> EndpointId {
    let birth: Birth = serde_json::from_slice(body).unwrap_or_default();
    EndpointId::new(id, birth.born, now)
}

/// A whole number; anything else counts as absent.
fn whole_number<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Option<UnixMillis>, D::Error> {
    Ok(Value::deserialize(deserializer)?.as_u64())
}

//! Probes an endpoint for its health, its incarnation and its number of slots.

use std::{net::SocketAddr, time::Duration};

use hyper::{Method, StatusCode, body::Bytes};

use crate::{
    decide::rate_limit::LimitStatement,
    platform::headers::{endpoint_load, instance_id, is_leaving, limit_statement},
    proxy,
};

/// Path of health probes for services without a health path in the configuration.
pub(super) const DEFAULT_HEALTH_PATH: &str = "/health";

/// The longest body of an answer to a health check, in bytes; it isn't used.
const MAX_BODY_BYTES: usize = 64 << 10;

/// What an endpoint answers to a health check.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HealthReply {
    /// The name of its incarnation.
    pub id: Box<str>,
    /// The number of requests that it runs at once, if it says so.
    pub slots: Option<u32>,
    /// What it states about its rate limit.
    pub limit: LimitStatement,
    /// Whether it states that it is leaving.
    pub leaving: bool,
}

/// Checks the health of the endpoint at `address`, at `path` or the default path. Returns `None` if no response comes
/// within `timeout` or it lacks its incarnation, and unless it is leaving, if the response has another status than 200.
pub async fn probe_health(address: SocketAddr, path: Option<&str>, timeout: Duration) -> Option<HealthReply> {
    let path = path.unwrap_or(DEFAULT_HEALTH_PATH);
    match proxy::call(address, Method::GET, path, Bytes::new(), timeout, MAX_BODY_BYTES).await {
        Ok(resp) if resp.status() == StatusCode::OK || is_leaving(resp.headers()) => {
            let headers = resp.headers();
            let slots = endpoint_load(headers).map(|it| it.2);
            let (id, leaving) = (instance_id(headers)?.into(), is_leaving(headers));
            Some(HealthReply { id, slots, limit: limit_statement(headers), leaving })
        }
        Ok(resp) => {
            log::debug!("health probe of {address}{path}: status {}", resp.status());
            None
        }
        Err(error) => {
            log::debug!("health probe of {address}{path}: {error}");
            None
        }
    }
}

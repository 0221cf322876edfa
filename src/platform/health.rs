//! Probes an endpoint for its health, its incarnation and its number of slots.

use std::{net::SocketAddr, time::Duration};

use hyper::{Method, StatusCode, body::Bytes};

use crate::{
    decide::rate_limit::LimitStatement,
    platform::headers::{endpoint_load, instance_id, limit_statement},
    proxy,
};

/// Path of health probes for services without a health path in the configuration.
pub(super) const DEFAULT_HEALTH_PATH: &str = "/health";

/// What an endpoint answers to a health check.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HealthReply {
    /// The name of its incarnation.
    pub id: Box<str>,
    /// The number of requests that it runs at once.
    pub slots: u32,
    /// What it states about its rate limit.
    pub limit: LimitStatement,
}

/// Checks the health of the endpoint at `address`, at `path` or the default path. Returns `None` if no response comes
/// within `timeout`, or if it lacks its incarnation or its slots or has another status than 200.
pub async fn probe_health(address: SocketAddr, path: Option<&str>, timeout: Duration) -> Option<HealthReply> {
    let path = path.unwrap_or(DEFAULT_HEALTH_PATH);
    match proxy::call(address, Method::GET, path, Bytes::new(), timeout).await {
        Ok(resp) if resp.status() == StatusCode::OK => {
            let id = instance_id(resp.headers())?.into();
            let (_, _, slots) = endpoint_load(resp.headers())?;
            Some(HealthReply { id, slots, limit: limit_statement(resp.headers()) })
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

//! Probes an endpoint for its health, its incarnation and its number of slots.

use std::{net::SocketAddr, time::Duration};

use hyper::{Method, StatusCode, body::Bytes};

use crate::{
    platform::headers::{endpoint_load, instance_id},
    proxy,
};

/// Path of health probes for services without a health path in the configuration.
pub(super) const DEFAULT_HEALTH_PATH: &str = "/health";

/// Asks the endpoint at `address` for its incarnation and its number of slots, at `path` or the default path. Returns
/// `None` if no response comes within `timeout`, or if it lacks either or has another status than 200.
pub async fn probe_health(address: SocketAddr, path: Option<&str>, timeout: Duration) -> Option<(Box<str>, u32)> {
    let path = path.unwrap_or(DEFAULT_HEALTH_PATH);
    match proxy::call(address, Method::GET, path, Bytes::new(), timeout).await {
        Ok(resp) if resp.status() == StatusCode::OK => {
            let id = instance_id(resp.headers())?.into();
            let (_, _, slots) = endpoint_load(resp.headers())?;
            Some((id, slots))
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

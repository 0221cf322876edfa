//! An endpoint's health path.

use std::{net::SocketAddr, time::Duration};

use hyper::{Method, StatusCode, body::Bytes};

use crate::{
    platform::headers::{endpoint_load, instance_id},
    proxy,
};

/// Where endpoints answer health questions unless the configuration says otherwise.
pub(super) const DEFAULT_HEALTH_PATH: &str = "/health";

/// Asks the endpoint at `address` which incarnation it is and how many slots it has; `None` if it
/// does not answer well. It answers at `path`, or at the usual one.
pub async fn probe_health(address: SocketAddr, path: Option<&str>, limit: Duration) -> Option<(Box<str>, u32)> {
    let path = path.unwrap_or(DEFAULT_HEALTH_PATH);
    match proxy::call(address, Method::GET, path, Bytes::new(), limit).await {
        Ok(it) if it.status() == StatusCode::OK => {
            let id = instance_id(it.headers())?.into();
            let (_, _, slots) = endpoint_load(it.headers())?;
            Some((id, slots))
        }
        Ok(it) => {
            log::debug!("the endpoint at {address} says {}", it.status());
            None
        }
        Err(error) => {
            log::debug!("the endpoint at {address}: {error}");
            None
        }
    }
}

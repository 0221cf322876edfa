//! The settings of one proxy, read from a TOML file.

use std::{net::SocketAddr, path::Path, time::Duration};

use crate::{
    document::{self, Section},
    error::{Error, Findings},
    proxy::directory::ProxyName,
};

/// The least memory with which a proxy starts, in megabytes.
const MIN_MEMORY_MB: f64 = 100.0;

/// Settings that the platform writes for a proxy.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Name of the proxy, unique in the fleet.
    pub name: ProxyName,
    /// Data centre of the VM.
    pub data_centre: Box<str>,
    /// Service of the endpoint on this VM; it is the caller of requests that arrive here.
    pub service: Box<str>,
    /// Listening address for requests of callers and of the VM's endpoint.
    pub callers: SocketAddr,
    /// Listening address for other proxies.
    pub peers: SocketAddr,
    /// Address that other proxies connect to; defaults to `peers`.
    pub advertised: SocketAddr,
    /// Listening address for announcements of the VM's endpoint.
    pub announcements: SocketAddr,
    /// Listening address for the platform's readiness checks.
    pub readiness: SocketAddr,
    /// Listening address for metrics and status.
    pub metrics: SocketAddr,
    /// Address of the VM's endpoint.
    pub endpoint: SocketAddr,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Heartbeat interval of the endpoint's announcements.
    pub announce_interval: Duration,
    /// Time between the platform's SIGTERM and SIGKILL.
    pub shutdown_grace: Duration,
    /// Retry budget of a service: retries allowed per first attempt.
    pub retry_ratio: f64,
    /// Retries allowed beyond `retry_ratio`, for all guards of a service together.
    pub retry_slack: f64,
    /// Memory that the process may use, in bytes, which bounds the bodies that are held; `None` for the default.
    pub memory_bytes: Option<usize>,
}

impl Settings {
    /// Reads the file at `path`.
    ///
    /// # Errors
    ///
    /// The file can't be read, or has invalid values; all findings are returned together.
    pub fn load(path: &Path) -> Result<Self, Error> {
        document::load(path, Self::parse)
    }

    /// Parses `text`, the content of `file`.
    ///
    /// # Errors
    ///
    /// Missing or invalid values; all findings are returned together.
    pub fn parse(file: &str, text: &str) -> Result<Self, Findings> {
        document::parse_settings(file, text, "the proxy's settings", parse_section)
    }
}

fn parse_section(section: &mut Section<'_>) -> Option<Settings> {
    let name = section.required_text("name");
    let data_centre = section.required_text("data_centre");
    let service = section.required_text("service");
    let callers = section.required_address("callers");
    let peers = section.required_address("peers");
    let advertised = section.address("advertised").or(peers);
    let announcements = section.required_address("announcements");
    let readiness = section.required_address("readiness");
    let metrics = section.required_address("metrics");
    let endpoint = section.required_address("endpoint");
    let store = section.required_address("store");
    let announce_interval = section.required_decimal("announce_every_s", 0.01..3_600.0);
    let shutdown_grace = section.required_decimal("grace_s", 0.5..3_600.0);
    let retry_ratio = section.required_decimal("retry_ratio", 0.0..10.0);
    let retry_slack = section.required_decimal("retry_slack", 0.0..1e9);
    let memory_mb = section.decimal("memory_mb", MIN_MEMORY_MB..1e6);
    Some(Settings {
        name: name?,
        data_centre: data_centre?,
        service: service?,
        callers: callers?,
        peers: peers?,
        advertised: advertised?,
        announcements: announcements?,
        readiness: readiness?,
        metrics: metrics?,
        endpoint: endpoint?,
        store: store?,
        announce_interval: Duration::from_secs_f64(announce_interval?),
        shutdown_grace: Duration::from_secs_f64(shutdown_grace?),
        retry_ratio: retry_ratio?,
        retry_slack: retry_slack?,
        memory_bytes: memory_mb.map(|it| (it * 1e6) as usize),
    })
}

//! The settings of one proxy, read from its TOML file.

use std::{net::SocketAddr, path::Path, time::Duration};

use crate::{
    document::{self, Section},
    error::{Error, Findings},
    proxy::directory::ProxyName,
};

/// What a proxy is told by the platform it runs on.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// The proxy's name, unique in the fleet.
    pub name: ProxyName,
    /// The data centre of the VM.
    pub data_centre: Box<str>,
    /// The service of the endpoint on this VM; requests that begin here name it as their caller.
    pub service: Box<str>,
    /// Where callers and the VM's endpoint send requests.
    pub callers: SocketAddr,
    /// Where this proxy listens for other proxies.
    pub peers: SocketAddr,
    /// Where other proxies connect; `peers` unless something stands between.
    pub advertised: SocketAddr,
    /// Where the VM's endpoint announces itself.
    pub announcements: SocketAddr,
    /// Where the platform asks for readiness.
    pub readiness: SocketAddr,
    /// Where metrics are served.
    pub metrics: SocketAddr,
    /// The VM's endpoint.
    pub endpoint: SocketAddr,
    /// The platform's store.
    pub store: SocketAddr,
    /// How often the endpoint announces itself.
    pub announce_interval: Duration,
    /// How long the platform lets a proxy finish after SIGTERM.
    pub shutdown_grace: Duration,
    /// Arrivals at a service beyond the first of each request, as a share of its requests.
    pub retry_ratio: f64,
    /// Arrivals allowed beyond the ratio, for all guards of a service together.
    pub retry_slack: f64,
}

impl Settings {
    /// Reads the file at `path`; all findings are returned together.
    pub fn load(path: &Path) -> Result<Self, Error> {
        document::load(path, Self::parse)
    }

    /// Parses `text`; all findings are returned together.
    pub fn parse(file: &str, text: &str) -> Result<Self, Findings> {
        document::parse_settings(file, text, "the proxy's settings", read)
    }
}

fn read(section: &mut Section<'_>) -> Option<Settings> {
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
    })
}

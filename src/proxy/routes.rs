//! The configuration as the proxies use it: routes, services and what callers may send.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// A version of the configuration; a higher one replaces a lower one.
pub type Version = u64;
/// A route's name, unique in a configuration.
pub type RouteName = Box<str>;
/// A service's name.
pub type ServiceName = Box<str>;

/// A path with its query, which begins with a slash and is valid in a request.
pub type HealthPath = Box<str>;

/// Whether work may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Idempotency {
    /// It may run again.
    Idempotent,
    /// It runs at most once for each attempt of a caller.
    #[serde(rename = "never")]
    NonIdempotent,
}

/// A service that gets a share of a route's requests.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Cluster {
    /// The service.
    pub service: ServiceName,
    /// Its share, relative to the other weights of the route; may be zero.
    pub weight: f64,
}

/// Where a class of requests goes, and what its callers are owed.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// The route's name.
    pub name: RouteName,
    /// The host it is for, in lower case.
    pub host: Box<str>,
    /// The path prefix it is for; begins and ends with a slash.
    pub prefix: Box<str>,
    /// Whether its work may run more than once.
    #[serde(rename = "repeat")]
    pub idempotency: Idempotency,
    /// How long a caller may be kept waiting.
    pub timeout: Duration,
    /// The response time within which an answer is worth most.
    #[serde(rename = "goal")]
    pub target_latency: Duration,
    /// How many endpoints one attempt of a caller may be sent to; at least 1.
    pub max_attempts: u32,
    /// Its rank; 0 goes first.
    pub rank: u32,
    /// Its services. Empty only where the operator's terms aren't understood: its callers are refused then.
    pub clusters: Vec<Cluster>,
}

impl Route {
    /// Whether the operator's terms for it are understood.
    pub fn is_valid(&self) -> bool {
        !self.clusters.is_empty()
    }
}

/// What a caller may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestLimits {
    /// The longest head, in bytes.
    pub head_bytes: usize,
    /// The longest body, in bytes.
    pub body_bytes: usize,
    /// How long a head may take to arrive.
    pub head_time: Duration,
    /// How long a connection may be idle.
    pub idle_time: Duration,
}

impl Default for RequestLimits {
    /// What holds before the first configuration.
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1024,
            body_bytes: 64 << 20,
            head_time: Duration::from_secs(3),
            idle_time: Duration::from_secs(15),
        }
    }
}

/// One version of the configuration.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Config {
    /// The version.
    pub version: Version,
    /// The routes, sorted by host and prefix.
    routes: Vec<Route>,
    /// What callers may send.
    pub limits: RequestLimits,
    /// Where endpoints of a service answer health questions, if not at the usual path; sorted by service. Proxies of
    /// earlier releases don't send it.
    #[serde(default)]
    health_paths: Vec<(ServiceName, HealthPath)>,
}

impl Config {
    /// A configuration of these routes, in any order.
    pub fn new(version: Version, mut routes: Vec<Route>, limits: RequestLimits) -> Self {
        routes.sort_by(|a, b| key(a).cmp(&key(b)));
        Self { version, routes, limits, health_paths: Vec::new() }
    }

    /// The same with health paths of services, in any order.
    #[must_use]
    pub fn with_health_paths(mut self, mut paths: Vec<(ServiceName, HealthPath)>) -> Self {
        paths.sort_unstable();
        self.health_paths = paths;
        self
    }

    /// Where endpoints of `service` answer health questions, if the operator says so.
    pub fn health_path(&self, service: &str) -> Option<&str> {
        let at = self.health_paths.binary_search_by(|it| (*it.0).cmp(service)).ok()?;
        Some(&self.health_paths[at].1)
    }

    /// The routes, sorted by host and prefix.
    pub fn routes(&self) -> &[Route] {
        &self.routes
    }

    /// The route of `host` with the longest prefix that begins `path` (without its query).
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let host = host_name(host).to_ascii_lowercase();
        let slashes = path.rmatch_indices('/').map(|(at, _)| &path[..=at]);
        slashes.into_iter().find_map(|prefix| self.exact(&host, prefix))
    }

    fn exact(&self, host: &str, prefix: &str) -> Option<&Route> {
        let at = self.routes.binary_search_by(|it| key(it).cmp(&(host, prefix))).ok()?;
        Some(&self.routes[at])
    }
}

fn key(route: &Route) -> (&str, &str) {
    (&route.host, &route.prefix)
}

/// The host without a port.
fn host_name(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|it| it.is_ascii_digit()) => name,
        _ => host,
    }
}

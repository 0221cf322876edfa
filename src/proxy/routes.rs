//! The configuration as proxies use it and send it to each other: routes, their services and request limits.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Version of the configuration; a higher version replaces a lower one.
pub type Version = u64;
/// Name of a route, unique in a configuration.
pub type RouteName = Box<str>;
/// Name of a service.
pub type ServiceName = Box<str>;

/// Path and query of a health check; begins with a slash and is a valid request target.
pub type HealthPath = Box<str>;

/// Whether requests of a route may be executed more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Idempotency {
    /// A request may be executed again after an attempt whose outcome is unknown.
    Idempotent,
    /// A request is executed at most once per request of a caller.
    #[serde(rename = "never")]
    NonIdempotent,
}

/// A service that receives a weighted share of a route's requests.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Cluster {
    /// Name of the service.
    pub service: ServiceName,
    /// Weight relative to the other services of the route; may be zero.
    pub weight: f64,
}

/// Which requests go to which services, with their timeout, retry and priority rules.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Name, unique in the configuration.
    pub name: RouteName,
    /// Host that the route matches, in lower case.
    pub host: Box<str>,
    /// Path prefix that the route matches; begins and ends with a slash.
    pub prefix: Box<str>,
    /// Whether its requests may be executed more than once.
    #[serde(rename = "repeat")]
    pub idempotency: Idempotency,
    /// Time from a request's arrival until its caller must have a response.
    pub timeout: Duration,
    /// Response time that the route aims for.
    #[serde(rename = "goal")]
    pub target_latency: Duration,
    /// Maximum number of endpoints that one request of a caller may be sent to; at least 1.
    pub max_attempts: u32,
    /// Priority; 0 is served first.
    pub rank: u32,
    /// Services of the route. Empty only if the route's configuration is invalid; its requests are refused then.
    pub clusters: Vec<Cluster>,
}

impl Route {
    /// Whether the route's configuration could be parsed; requests of an invalid route are refused.
    pub fn is_valid(&self) -> bool {
        !self.clusters.is_empty()
    }
}

/// Limits on the requests and connections of callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestLimits {
    /// Maximum size of a header section, in bytes.
    #[serde(rename = "head_bytes")]
    pub header_bytes: usize,
    /// Maximum size of a body, in bytes.
    pub body_bytes: usize,
    /// Time within which a header section must arrive, from its first byte.
    #[serde(rename = "head_time")]
    pub header_timeout: Duration,
    /// Time after which an idle connection is closed.
    #[serde(rename = "idle_time")]
    pub idle_timeout: Duration,
}

impl Default for RequestLimits {
    /// Limits that apply before the first configuration is received.
    fn default() -> Self {
        Self {
            header_bytes: 16 * 1024,
            body_bytes: 64 << 20,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// One version of the configuration.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Config {
    /// Version number.
    pub version: Version,
    /// Sorted by host and prefix.
    routes: Vec<Route>,
    /// Limits on the requests of callers.
    pub limits: RequestLimits,
    /// Health check paths of the services that don't use the default path; sorted by service. Proxies of earlier
    /// releases don't send this field.
    #[serde(default)]
    health_paths: Vec<(ServiceName, HealthPath)>,
}

impl Config {
    /// Creates a configuration from routes in any order.
    pub fn new(version: Version, mut routes: Vec<Route>, limits: RequestLimits) -> Self {
        routes.sort_by(|a, b| sort_key(a).cmp(&sort_key(b)));
        Self { version, routes, limits, health_paths: Vec::new() }
    }

    /// Sets the services' health check paths, in any order.
    #[must_use]
    pub fn with_health_paths(mut self, mut paths: Vec<(ServiceName, HealthPath)>) -> Self {
        paths.sort_unstable();
        self.health_paths = paths;
        self
    }

    /// Health check path that is configured for `service`; `None` means the default path.
    pub fn health_path(&self, service: &str) -> Option<&str> {
        let at = self.health_paths.binary_search_by(|it| (*it.0).cmp(service)).ok()?;
        Some(&self.health_paths[at].1)
    }

    /// Routes, sorted by host and prefix.
    pub fn routes(&self) -> &[Route] {
        &self.routes
    }

    /// Returns the route of `host` with the longest prefix of `path`. A port in `host` is ignored; `path` has no query.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let host = strip_port(host).to_ascii_lowercase();
        let prefixes = path.rmatch_indices('/').map(|(at, _)| &path[..=at]);
        prefixes.into_iter().find_map(|prefix| self.find_exact(&host, prefix))
    }

    fn find_exact(&self, host: &str, prefix: &str) -> Option<&Route> {
        let at = self.routes.binary_search_by(|it| sort_key(it).cmp(&(host, prefix))).ok()?;
        Some(&self.routes[at])
    }
}

fn sort_key(route: &Route) -> (&str, &str) {
    (&route.host, &route.prefix)
}

/// Returns `host` without its port.
fn strip_port(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|it| it.is_ascii_digit()) => name,
        _ => host,
    }
}

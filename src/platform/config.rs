//! Decodes the operator's configuration from the platform's store. Each part is decoded by itself, so that an invalid
//! route, service or limit does not invalidate the rest.

use std::time::Duration;

use hyper::http::uri::PathAndQuery;
use serde::{Deserialize, Deserializer, Serialize, de};
use serde_json::value::RawValue;
use thiserror::Error;

use crate::{
    platform::{entries::Entries, health::DEFAULT_HEALTH_PATH},
    proxy::routes::{Cluster, Config, HealthPath, Idempotency, RequestLimits, Route, ServiceName, Version},
};

/// The object's `spec`, with each part as undecoded JSON: an invalid part must not invalidate the rest.
#[derive(Debug, Deserialize)]
struct Spec<'a> {
    /// Written as hexadecimal digits.
    #[serde(deserialize_with = "hexadecimal")]
    version: Version,
    #[serde(borrow)]
    routes: Entries<&'a RawValue>,
    #[serde(borrow)]
    limits: Option<&'a RawValue>,
    #[serde(borrow)]
    services: Option<&'a RawValue>,
}

#[derive(Debug, Deserialize)]
struct ServiceSpec {
    health_path: Option<Box<str>>,
}

/// The requests that a route applies to. If the rest of the route is invalid, these requests are refused.
#[derive(Debug, Deserialize)]
struct RouteMatchSpec {
    host: Box<str>,
    path_prefix: Box<str>,
}

/// How the requests of a route are handled.
#[derive(Debug, Deserialize)]
struct RouteSpec {
    /// Whether requests may be retried; an unknown kind is treated as non-idempotent.
    kind: Box<str>,
    timeout_s: f64,
    target_latency_s: f64,
    /// 0 is the highest priority.
    priority: u32,
    max_attempts: u32,
    /// A service with weight 1, in addition to `weighted_clusters`.
    service: Option<Box<str>>,
    #[serde(default)]
    weighted_clusters: Vec<ClusterSpec>,
}

#[derive(Debug, Deserialize)]
struct ClusterSpec {
    service: Box<str>,
    weight: f64,
}

#[derive(Debug, Deserialize)]
struct LimitsSpec {
    max_header_bytes: usize,
    max_body_bytes: usize,
    header_timeout_s: f64,
    idle_timeout_s: f64,
}

/// An invalid part of a configuration.
#[derive(Debug, Clone, PartialEq, Eq, Error, Serialize, Deserialize)]
#[error("{place}: {problem}")]
pub struct ConfigFinding {
    /// Path of the part in the object, such as `routes.read.kind`.
    pub place: Box<str>,
    /// What is wrong with the part, and what applies instead.
    pub problem: Box<str>,
}

/// A decoded configuration with the findings about its invalid parts.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ParsedConfig {
    /// The valid parts, with defaults for the others.
    pub config: Config,
    /// One finding for each invalid part.
    pub findings: Vec<ConfigFinding>,
}

/// Decodes the configuration object's `spec`.
///
/// Requests of a route with invalid settings are refused; a route whose host or path prefix is invalid is ignored. The
/// other routes apply.
///
/// # Errors
///
/// Returns the JSON error, with its line and column, if the version or the table of routes is missing or invalid.
pub fn parse_config(spec: &str) -> Result<ParsedConfig, serde_json::Error> {
    let spec: Spec<'_> = serde_json::from_str(spec)?;
    let mut findings = Vec::new();
    let mut routes = Vec::new();
    for (name, raw) in spec.routes.0 {
        let place: Box<str> = format!("routes.{name}").into();
        match parse_route(name, raw, &place, &mut findings) {
            Ok(route) => routes.push(route),
            Err(error) => findings.push(finding(&place, format!("the route is ignored: {error}"))),
        }
    }
    let limits = match spec.limits.map(|it| parse_limits(it.get())) {
        Some(Ok(limits)) => limits,
        Some(Err(error)) => {
            findings.push(finding("limits", format!("the default limits apply: {error}")));
            RequestLimits::default()
        }
        None => {
            findings.push(finding("limits", "absent; the default limits apply"));
            RequestLimits::default()
        }
    };
    let health_paths = spec.services.map(|it| parse_services(it.get(), &mut findings)).unwrap_or_default();
    let config = Config::new(spec.version, routes, limits).with_health_paths(health_paths);
    Ok(ParsedConfig { config, findings })
}

/// Decodes the health paths of services whose path is not the default one.
fn parse_services(raw: &str, findings: &mut Vec<ConfigFinding>) -> Vec<(ServiceName, HealthPath)> {
    let services: Entries<&RawValue> = match serde_json::from_str(raw) {
        Ok(services) => services,
        Err(error) => {
            findings.push(finding("services", format!("the default health paths apply: {error}")));
            return Vec::new();
        }
    };
    let mut paths = Vec::new();
    for (name, raw) in services.0 {
        match parse_health_path(raw.get()) {
            Ok(None) => (),
            Ok(Some(path)) => paths.push((name, path)),
            Err(error) => {
                let place = format!("services.{name}");
                findings.push(finding(&place, format!("the default health path applies: {error}")));
            }
        }
    }
    paths
}

/// Decodes the health path of a service; `None` if it is absent or the default one.
fn parse_health_path(raw: &str) -> Result<Option<HealthPath>, serde_json::Error> {
    let Some(path) = serde_json::from_str::<ServiceSpec>(raw)?.health_path else { return Ok(None) };
    if !path.starts_with('/') || path.parse::<PathAndQuery>().is_err() {
        return Err(de::Error::custom(format_args!("invalid health path `{path}`")));
    }
    Ok(Some(path).filter(|it| **it != *DEFAULT_HEALTH_PATH))
}

fn finding(place: &str, problem: impl Into<Box<str>>) -> ConfigFinding {
    ConfigFinding { place: place.into(), problem: problem.into() }
}

/// Decodes a route. If only its host and path prefix are valid, it gets no clusters, which refuses its requests.
fn parse_route(
    name: Box<str>,
    raw: &RawValue,
    place: &str,
    findings: &mut Vec<ConfigFinding>,
) -> Result<Route, serde_json::Error> {
    let RouteMatchSpec { host, path_prefix } = serde_json::from_str(raw.get())?;
    let mut route = Route {
        name,
        host: host.to_ascii_lowercase().into(),
        prefix: path_prefix,
        idempotency: Idempotency::NonIdempotent,
        timeout: Duration::ZERO,
        target_latency: Duration::ZERO,
        max_attempts: 1,
        rank: 0,
        clusters: Vec::new(),
    };
    let unknown_kind = serde_json::from_str(raw.get()).and_then(|it| apply_route_spec(&mut route, it));
    match unknown_kind {
        Ok(None) => (),
        Ok(Some(kind)) => {
            findings.push(finding(
                &format!("{place}.kind"),
                format!("`{kind}` is unknown; the route is treated as non-idempotent"),
            ));
        }
        Err(error) => {
            route.clusters.clear();
            findings.push(finding(place, format!("its callers are refused: {error}")));
        }
    }
    Ok(route)
}

/// Sets the fields of `route` from its settings; returns the kind if that is unknown.
fn apply_route_spec(route: &mut Route, spec: RouteSpec) -> Result<Option<Box<str>>, serde_json::Error> {
    route.timeout = seconds(spec.timeout_s)?;
    route.target_latency = seconds(spec.target_latency_s)?;
    route.max_attempts = spec.max_attempts.max(1);
    route.rank = spec.priority;
    route.clusters = clusters(spec.service, spec.weighted_clusters)?;
    match &*spec.kind {
        // Downloads are idempotent requests with large responses.
        "idempotent" | "download" => route.idempotency = Idempotency::Idempotent,
        "non_idempotent" => route.idempotency = Idempotency::NonIdempotent,
        _ => return Ok(Some(spec.kind)),
    }
    Ok(None)
}

fn clusters(service: Option<Box<str>>, weighted: Vec<ClusterSpec>) -> Result<Vec<Cluster>, serde_json::Error> {
    if let Some(it) = weighted.iter().find(|it| !(it.weight.is_finite() && it.weight >= 0.0)) {
        return Err(de::Error::custom(format_args!("invalid weight of the service `{}`: {}", it.service, it.weight)));
    }
    let mut clusters: Vec<Cluster> =
        weighted.into_iter().map(|it| Cluster { service: it.service, weight: it.weight }).collect();
    clusters.extend(service.map(|service| Cluster { service, weight: 1.0 }));
    if clusters.is_empty() {
        return Err(de::Error::custom("no service in `service` or `weighted_clusters`"));
    }
    Ok(clusters)
}

fn parse_limits(raw: &str) -> Result<RequestLimits, serde_json::Error> {
    let spec: LimitsSpec = serde_json::from_str(raw)?;
    Ok(RequestLimits {
        header_bytes: spec.max_header_bytes,
        body_bytes: spec.max_body_bytes,
        header_timeout: seconds(spec.header_timeout_s)?,
        idle_timeout: seconds(spec.idle_timeout_s)?,
    })
}

fn seconds(value: f64) -> Result<Duration, serde_json::Error> {
    Duration::try_from_secs_f64(value).map_err(de::Error::custom)
}

fn hexadecimal<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Version, D::Error> {
    let text = <&str>::deserialize(deserializer)?;
    u64::from_str_radix(text, 16).map_err(de::Error::custom)
}

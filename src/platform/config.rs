//! The operator's configuration as the platform's store holds it.

use std::time::Duration;

use hyper::http::uri::PathAndQuery;
use serde::{Deserialize, Deserializer, Serialize, de};
use serde_json::value::RawValue;
use thiserror::Error;

use crate::{
    platform::{entries::Entries, health::DEFAULT_HEALTH_PATH},
    proxy::routes::{Cluster, Config, HealthPath, Idempotency, RequestLimits, Route, ServiceName, Version},
};

/// The object's `spec`, with each part as it came: one that isn't understood must not take the rest along.
#[derive(Debug, Deserialize)]
struct Spec<'a> {
    /// Eight hexadecimal digits.
    #[serde(deserialize_with = "hexadecimal")]
    version: Version,
    /// By name.
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

/// Where a route applies: enough to answer its callers, even if the rest isn't understood.
#[derive(Debug, Deserialize)]
struct PlaceSpec {
    host: Box<str>,
    path_prefix: Box<str>,
}

/// What a route asks for.
#[derive(Debug, Deserialize)]
struct TermsSpec {
    /// What may be repeated; a kind that isn't known yet is taken for work that may not be.
    kind: Box<str>,
    timeout_s: f64,
    target_latency_s: f64,
    /// 0 is the highest rank, although the name suggests the reverse.
    priority: u32,
    max_attempts: u32,
    /// The one service, unless there are `weighted_clusters`.
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

/// A part of a configuration that isn't understood.
#[derive(Debug, Clone, PartialEq, Eq, Error, Serialize, Deserialize)]
#[error("{place}: {problem}")]
pub struct ConfigFinding {
    /// Which part, by its path in the object.
    pub place: Box<str>,
    /// What is wrong with it, and what is done instead.
    pub problem: Box<str>,
}

/// A configuration with what was left out of it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ParsedConfig {
    /// All that is understood.
    pub config: Config,
    /// All that isn't.
    pub findings: Vec<ConfigFinding>,
}

/// Decodes the configuration object's `spec`.
///
/// A route that isn't understood refuses its callers; the other routes are in force.
///
/// # Errors
///
/// What is wrong and where, if it has no version or no table of routes.
pub fn parse_config(spec: &str) -> Result<ParsedConfig, serde_json::Error> {
    let spec: Spec<'_> = serde_json::from_str(spec)?;
    let mut findings = Vec::new();
    let mut routes = Vec::new();
    for (name, raw) in spec.routes.0 {
        let place: Box<str> = format!("routes.{name}").into();
        match parse_route(name, raw, &place, &mut findings) {
            Ok(it) => routes.push(it),
            Err(error) => findings.push(finding(&place, format!("left out: {error}"))),
        }
    }
    let limits = match spec.limits.map(|it| parse_limits(it.get())) {
        Some(Ok(it)) => it,
        Some(Err(error)) => {
            findings.push(finding("limits", format!("the usual ones hold: {error}")));
            RequestLimits::default()
        }
        None => {
            findings.push(finding("limits", "absent; the usual ones hold"));
            RequestLimits::default()
        }
    };
    let health_paths = spec.services.map(|it| parse_services(it.get(), &mut findings)).unwrap_or_default();
    let config = Config::new(spec.version, routes, limits).with_health_paths(health_paths);
    Ok(ParsedConfig { config, findings })
}

/// Decodes the health paths of services that have an unusual one.
fn parse_services(raw: &str, findings: &mut Vec<ConfigFinding>) -> Vec<(ServiceName, HealthPath)> {
    let services: Entries<&RawValue> = match serde_json::from_str(raw) {
        Ok(it) => it,
        Err(error) => {
            findings.push(finding("services", format!("the usual health paths hold: {error}")));
            return Vec::new();
        }
    };
    let mut paths = Vec::new();
    for (name, raw) in services.0 {
        match parse_health_path(raw.get()) {
            Ok(None) => (),
            Ok(Some(it)) => paths.push((name, it)),
            Err(error) => {
                let place = format!("services.{name}");
                findings.push(finding(&place, format!("the usual health path holds: {error}")));
            }
        }
    }
    paths
}

/// Decodes what of a service matters here: its health path, unless that is the usual one.
fn parse_health_path(raw: &str) -> Result<Option<HealthPath>, serde_json::Error> {
    let Some(path) = serde_json::from_str::<ServiceSpec>(raw)?.health_path else { return Ok(None) };
    if !path.starts_with('/') || path.parse::<PathAndQuery>().is_err() {
        return Err(de::Error::custom(format_args!("`{path}` is no path")));
    }
    Ok(Some(path).filter(|it| **it != *DEFAULT_HEALTH_PATH))
}

fn finding(place: &str, problem: impl Into<Box<str>>) -> ConfigFinding {
    ConfigFinding { place: place.into(), problem: problem.into() }
}

/// Decodes a route; one of which only the place is understood serves nobody.
fn parse_route(
    name: Box<str>,
    raw: &RawValue,
    place: &str,
    findings: &mut Vec<ConfigFinding>,
) -> Result<Route, serde_json::Error> {
    let PlaceSpec { host, path_prefix } = serde_json::from_str(raw.get())?;
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
    let terms = serde_json::from_str(raw.get()).and_then(|it| apply_terms(&mut route, it));
    match terms {
        Ok(None) => (),
        Ok(Some(kind)) => {
            findings.push(finding(&format!("{place}.kind"), format!("`{kind}` is unknown: its work is not repeated")));
        }
        Err(error) => {
            route.clusters.clear();
            findings.push(finding(place, format!("its callers are refused: {error}")));
        }
    }
    Ok(route)
}

/// Writes down what a route asks for; returns its kind if that is unknown.
fn apply_terms(route: &mut Route, terms: TermsSpec) -> Result<Option<Box<str>>, serde_json::Error> {
    route.timeout = seconds(terms.timeout_s)?;
    route.target_latency = seconds(terms.target_latency_s)?;
    route.max_attempts = terms.max_attempts.max(1);
    route.rank = terms.priority;
    route.clusters = clusters(terms.service, terms.weighted_clusters)?;
    match &*terms.kind {
        // Downloads are idempotent work with large answers.
        "idempotent" | "download" => route.idempotency = Idempotency::Idempotent,
        "non_idempotent" => route.idempotency = Idempotency::NonIdempotent,
        _ => return Ok(Some(terms.kind)),
    }
    Ok(None)
}

fn clusters(service: Option<Box<str>>, weighted: Vec<ClusterSpec>) -> Result<Vec<Cluster>, serde_json::Error> {
    if let Some(it) = weighted.iter().find(|it| !(it.weight.is_finite() && it.weight >= 0.0)) {
        return Err(de::Error::custom(format_args!("`{}` has the weight {}", it.service, it.weight)));
    }
    let mut clusters: Vec<Cluster> =
        weighted.into_iter().map(|it| Cluster { service: it.service, weight: it.weight }).collect();
    clusters.extend(service.map(|service| Cluster { service, weight: 1.0 }));
    if clusters.is_empty() {
        return Err(de::Error::custom("it names no service"));
    }
    Ok(clusters)
}

fn parse_limits(raw: &str) -> Result<RequestLimits, serde_json::Error> {
    let spec: LimitsSpec = serde_json::from_str(raw)?;
    Ok(RequestLimits {
        head_bytes: spec.max_header_bytes,
        body_bytes: spec.max_body_bytes,
        head_time: seconds(spec.header_timeout_s)?,
        idle_time: seconds(spec.idle_timeout_s)?,
    })
}

fn seconds(value: f64) -> Result<Duration, serde_json::Error> {
    Duration::try_from_secs_f64(value).map_err(de::Error::custom)
}

fn hexadecimal<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Version, D::Error> {
    let text = <&str>::deserialize(deserializer)?;
    u64::from_str_radix(text, 16).map_err(de::Error::custom)
}

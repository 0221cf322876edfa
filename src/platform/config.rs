//! The operator's configuration as the platform's store holds it.

use std::time::Duration;

use serde::{Deserialize, Deserializer, de};

use crate::{
    platform::entries::Entries,
    proxy::routes::{Cluster, Config, Limits, Repeat, Route, Version},
};

/// The object's `spec`.
#[derive(Debug, Deserialize)]
struct Spec {
    /// Eight hexadecimal digits.
    #[serde(deserialize_with = "hexadecimal")]
    version: Version,
    /// By name.
    routes: Entries<RouteSpec>,
    limits: LimitsSpec,
}

#[derive(Debug, Deserialize)]
struct RouteSpec {
    host: Box<str>,
    path_prefix: Box<str>,
    kind: Kind,
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

#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Kind {
    Idempotent,
    NonIdempotent,
}

#[derive(Debug, Deserialize)]
struct LimitsSpec {
    max_header_bytes: usize,
    max_body_bytes: usize,
    header_timeout_s: f64,
    idle_timeout_s: f64,
}

/// Decodes the configuration object's `spec`.
///
/// # Errors
///
/// What is wrong and where, if it isn't a configuration.
pub fn parse_config(spec: &[u8]) -> Result<Config, serde_json::Error> {
    let spec: Spec = serde_json::from_slice(spec)?;
    let routes = spec.routes.0.into_iter().map(|(name, it)| route(name, it)).collect::<Result<_, _>>()?;
    let limits = Limits {
        head_bytes: spec.limits.max_header_bytes,
        body_bytes: spec.limits.max_body_bytes,
        head_time: seconds(spec.limits.header_timeout_s)?,
        idle_time: seconds(spec.limits.idle_timeout_s)?,
    };
    Ok(Config::new(spec.version, routes, limits))
}

fn route(name: Box<str>, spec: RouteSpec) -> Result<Route, serde_json::Error> {
    let mut clusters: Vec<Cluster> =
        spec.weighted_clusters.into_iter().map(|it| Cluster { service: it.service, weight: it.weight }).collect();
    clusters.extend(spec.service.map(|service| Cluster { service, weight: 1.0 }));
    if clusters.is_empty() {
        return Err(de::Error::custom(format_args!("route `{name}` names no service")));
    }
    Ok(Route {
        name,
        host: spec.host.to_ascii_lowercase().into(),
        prefix: spec.path_prefix,
        repeat: match spec.kind {
            Kind::Idempotent => Repeat::Idempotent,
            Kind::NonIdempotent => Repeat::Never,
        },
        timeout: seconds(spec.timeout_s)?,
        goal: seconds(spec.target_latency_s)?,
        max_attempts: spec.max_attempts.max(1),
        rank: spec.priority,
        clusters,
    })
}

fn seconds(value: f64) -> Result<Duration, serde_json::Error> {
    Duration::try_from_secs_f64(value).map_err(de::Error::custom)
}

fn hexadecimal<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Version, D::Error> {
    let text = <&str>::deserialize(deserializer)?;
    u64::from_str_radix(text, 16).map_err(de::Error::custom)
}

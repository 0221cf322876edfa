//! The users' platform: converts its headers, paths and JSON formats to the types of this crate.
//!
//! This module makes no decisions, and no other module depends on the platform's names and formats.

mod announce;
mod config;
mod entries;
mod headers;
mod health;
mod objects;
mod store;

pub use announce::{AnnounceCall, announce_call, parse_deregistration, parse_heartbeat};
pub use config::{ConfigFinding, ParsedConfig, parse_config};
pub use headers::{
    caller_service, deadline, endpoint_load, expected_instance, has_response_seal, instance_id, is_leaving,
    limit_statement, not_executed, request_id, retry_after, set_caller_service, set_deadline, set_expected_instance,
};
pub use health::{HealthReply, probe_health};
pub use objects::{Listing, PresenceObject, QuarantineObject, SkippedObject, TrialClaim};
pub use store::{ConfigSnapshot, Consistency, Era, Store, StoreFailure, WatchEnd, WatchPosition};

/// Path at which the platform probes whether the proxy is ready.
pub const READINESS_PATH: &str = "/readiness";

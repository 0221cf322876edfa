//! The users' platform: its names, formats and calls, translated to the project's types.
//!
//! Nothing here decides. Outside this folder no one knows a header, a field or a path of the platform.

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
    caller_service, deadline, endpoint_load, expected_instance, has_response_seal, instance_id, not_executed,
    request_id, retry_after, set_caller_service, set_deadline, set_expected_instance,
};
pub use health::probe_health;
pub use objects::{Listing, PresenceObject, QuarantineObject, SkippedObject, TrialClaim};
pub use store::{ConfigSnapshot, Consistency, Era, Store, StoreFailure, WatchEnd, WatchPosition};

/// The path of the platform's readiness question.
pub const READINESS_PATH: &str = "/readiness";

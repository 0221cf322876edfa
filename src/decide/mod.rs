//! The decision logic of the proxies and daemons. It does no I/O; callers pass in the current time and the random
//! number generator.

mod admission;
mod capacity_floor;
mod choice;
mod class_retry_budget;
mod detector;
mod endpoint_health;
mod path_health;

pub mod body_pool;
pub mod fingerprint;
pub mod guard_retry_budget;
pub mod hedge;
pub mod incarnation;
pub mod latest_start;
pub mod origin;
pub mod placement;
pub mod quarantine;
pub mod rate_limit;
pub mod service_times;
pub mod shutdown;
pub mod slot_time;
pub mod store_search;
pub mod subset;
pub mod suspicion;
pub mod wait_queue;
pub mod watchers;
pub mod weighted_round_robin;

pub use admission::{AdmissionController, AdmissionDecision, AdmissionRequest, WaiterDecision, WaiterId};
pub use capacity_floor::{EndpointCapacity, eligible_endpoints};
pub use choice::{Candidate, CandidateIndex, choose_endpoint};
pub use class_retry_budget::ClassRetryBudget;
pub use detector::{
    Evidence, FailureDetector, Sample, ejection_threshold, failure_level, failure_rate_from_level, median_failure_rate,
};
pub use endpoint_health::{EjectionConfig, EndpointEvent, EndpointHealth};
pub use path_health::PathHealth;

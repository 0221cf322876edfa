//! Decisions: pure code, with time and randomness passed in.

mod admission;
mod budget;
mod choice;
mod detector;
mod floor;
mod path_health;
mod standing;

pub mod allowance;
pub mod fingerprint;
pub mod incarnation;
pub mod origin;
pub mod pace;
pub mod patience;
pub mod placement;
pub mod quarantine;
pub mod shares;
pub mod shutdown;
pub mod slot_time;
pub mod subset;
pub mod suspicion;
pub mod wait_queue;
pub mod watchers;

pub use admission::{Admission, Arrival, Gate, Release, WaiterId};
pub use budget::RetryBudget;
pub use choice::{Candidate, Choice, choose};
pub use detector::{Detector, Evidence, Sample, baseline, enough_evidence, failure_level, level_rate};
pub use floor::{Standing as FloorStanding, eligible};
pub use path_health::PathHealth;
pub use standing::{Event, Standing, Tuning};

//! The configuration that operators write: its model, parsing, comparison and division into parts.

mod config_index;
mod diff;
mod model;
mod parse;
mod parts;

pub use config_index::{ConfigIndex, ResolvedRoute};
pub use diff::{Difference, Edit, differences};
pub use model::{Account, Class, EjectionPreference, Importance, Route, Service, Targets, TokenHash, hash_token};
pub use parse::{TargetsFile, parse_targets, write_targets};
pub use parts::{
    ChangeId, ConfigChange, ConfigRoot, Digest, Part, PartRef, Version, decode as decode_object, digest, join_parts,
    split_targets,
};

//! Targets: what operators write, how it is checked, compared and cut into parts.

mod diff;
mod directory;
mod model;
mod parse;
mod parts;

pub use diff::{Difference, Edit, differences};
pub use directory::{Directory, Found};
pub use model::{Account, Class, EjectionPreference, Importance, Route, Service, Targets, TokenHash, hash_token};
pub use parse::{TargetsFile, parse_targets, write_targets};
pub use parts::{Change, ChangeId, Digest, Part, PartRef, Root, Version, decode as decode_object, digest, join, split};

//! The platform's store as the system sees it: objects with versions, conditional updates, watches.

mod client;
mod config;

use std::time::Duration;

use thiserror::Error;

pub use client::StoreClient;
pub use config::{
    ApplyOutcome, AuditEntry, ROOT_KEY, apply, audit_trail, current_root, load_targets, part_key, presence_key,
    presence_prefix,
};

/// The store's version of an object; only compared for equality and order.
pub type ObjectVersion = u64;

/// A stored object.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Object {
    /// The version to name in a conditional update.
    pub version: ObjectVersion,
    /// The value, at most a megabyte.
    pub value: Vec<u8>,
}

/// What a write demands of the object it replaces.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteCondition {
    /// There must be none.
    Absent,
    /// It must have this version.
    Version(ObjectVersion),
    /// Nothing is demanded.
    Unconditional,
}

/// Why a call to the store failed.
#[derive(Debug, Error)]
pub enum StoreError {
    /// The call did not reach the store; nothing took effect.
    #[error("the store cannot be reached: {0}")]
    Unreachable(Box<str>),
    /// The answer was lost or is an error; a write may have taken effect.
    #[error("the store gave no answer: {0}")]
    NoResponse(Box<str>),
    /// The object has another version than the write demanded; nothing took effect.
    #[error("the object was changed by someone else")]
    Conflict,
}

/// The platform's store. A call that waits counts as one call.
pub trait ObjectStore: Send + Sync {
    /// Reads an object.
    fn get(&self, key: &str) -> Result<Option<Object>, StoreError>;

    /// The keys that begin with `prefix`, sorted.
    fn list(&self, prefix: &str) -> Result<Vec<Box<str>>, StoreError>;

    /// Writes an object if `expect` holds.
    fn put(&self, key: &str, value: &[u8], expect: WriteCondition) -> Result<ObjectVersion, StoreError>;

    /// Removes an object, if it is there.
    fn remove(&self, key: &str) -> Result<(), StoreError>;

    /// Waits until the object's version is above `after`, for `wait` at most; `None` means it is not.
    fn watch(&self, key: &str, after: ObjectVersion, wait: Duration) -> Result<Option<Object>, StoreError>;
}

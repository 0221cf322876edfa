//! The platform's store: versioned objects with conditional updates and watches, and the configuration in it.

mod client;
mod config;

use std::time::Duration;

use thiserror::Error;

pub use client::StoreClient;
pub use config::{
    ApplyOutcome, AuditEntry, ROOT_KEY, apply, audit_trail, current_root, load_targets, part_key, presence_key,
    presence_prefix,
};

/// The store's version of an object; only its order has a meaning.
pub type ObjectVersion = u64;

/// An object as read from the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Object {
    /// The version, for a conditional update.
    pub version: ObjectVersion,
    /// The value, at most 1 MB.
    pub value: Vec<u8>,
}

/// The condition under which a write takes effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteCondition {
    /// The object does not exist.
    Absent,
    /// The object has this version.
    Version(ObjectVersion),
    /// None: the write always takes effect.
    Unconditional,
}

/// Why a call to the store failed.
#[derive(Debug, Error)]
pub enum StoreError {
    /// The call did not reach the store; nothing took effect.
    #[error("the store cannot be reached: {0}")]
    Unreachable(Box<str>),
    /// The response was lost or is an error; a write may have taken effect.
    #[error("no valid response from the store: {0}")]
    NoResponse(Box<str>),
    /// The condition of the write does not hold; nothing took effect.
    #[error("the object was changed by another writer")]
    Conflict,
}

/// The platform's store. A watch counts as one call, however long it waits.
pub trait ObjectStore: Send + Sync {
    /// Reads an object; `None` if it does not exist.
    fn get(&self, key: &str) -> Result<Option<Object>, StoreError>;

    /// Lists the keys that begin with `prefix`, sorted.
    fn list(&self, prefix: &str) -> Result<Vec<Box<str>>, StoreError>;

    /// Writes an object if `condition` holds; returns its new version.
    fn put(&self, key: &str, value: &[u8], condition: WriteCondition) -> Result<ObjectVersion, StoreError>;

    /// Removes an object; succeeds if it does not exist.
    fn remove(&self, key: &str) -> Result<(), StoreError>;

    /// Waits up to `wait` until the object's version is above `after`; `None` if it is not by then.
    fn watch(&self, key: &str, after: ObjectVersion, wait: Duration) -> Result<Option<Object>, StoreError>;
}

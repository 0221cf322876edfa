//! The configuration in the platform's store: applies changes, reads it and its audit trail.

use std::{
    net::SocketAddr,
    thread,
    time::{Duration, Instant},
};

use rand::RngExt as _;
use serde::{Deserialize, Serialize};

use crate::{
    error::Error,
    rows::DaemonId,
    store::{Object, ObjectStore, ObjectVersion, StoreError, WriteCondition},
    targets::{
        ChangeId, ConfigChange, ConfigRoot, Difference, Digest, PartRef, Targets, Version, differences, digest,
        join_parts, split_targets,
    },
    util,
};

/// The key of the root object, which identifies the active configuration.
pub const ROOT_KEY: &str = "config/root";
/// How many entries of the audit trail `apply` searches for its own change after a lost response.
const MAX_CHAIN_LENGTH: usize = 64;
/// How many differences an audit entry holds; keeps it below the store's limit of 1 MB, as each has at most
/// two values of 160 characters.
const MAX_AUDIT_DIFFERENCES: usize = 2_000;
/// The pause before the first retry of a call.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);
/// The longest pause between retries of a call.
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// The object key of the part with this digest.
pub fn part_key(digest: &Digest) -> String {
    format!("config/part/{}", util::hex(digest))
}

/// The key prefix of all presence objects.
pub fn presence_prefix() -> &'static str {
    "presence/"
}

/// The key of a daemon's presence object. The key itself holds what a joining daemon needs, so that one listing
/// is enough.
pub fn presence_key(data_centre: &str, daemon: &DaemonId, peers: SocketAddr) -> String {
    format!("{}{data_centre}/{daemon}/{peers}", presence_prefix())
}

/// An entry of the audit trail. It is valid only if its change was accepted, that is, if it can be reached from the
/// root.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditEntry {
    /// The version that the change created.
    pub version: Version,
    /// Who made the change, when and why.
    pub change: ConfigChange,
    /// The previous change.
    pub parent: ChangeId,
    /// The differences that it made, up to a limit.
    pub differences: Vec<Difference>,
    /// The number of differences beyond that limit.
    pub omitted: usize,
}

/// The outcome of [`apply`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// The change was accepted as this version.
    Accepted {
        /// The new version.
        version: Version,
        /// The differences from the previous version.
        differences: Vec<Difference>,
    },
    /// The targets are those of the active version.
    Unchanged {
        /// The active version.
        version: Version,
    },
}

/// Reads the active root, with the store's version of it; `None` if there is no configuration yet.
pub fn current_root(store: &dyn ObjectStore) -> Result<Option<(ObjectVersion, ConfigRoot)>, Error> {
    let object = store.get(ROOT_KEY).map_err(|it| Error::store("reading the configuration", it))?;
    object.map(|it| decode_root(&it)).transpose()
}

fn decode_root(object: &Object) -> Result<(ObjectVersion, ConfigRoot), Error> {
    let root = crate::targets::decode_object(ROOT_KEY, &object.value)?;
    Ok((object.version, root))
}

/// Reads the targets whose parts `root` lists.
pub fn load_targets(store: &dyn ObjectStore, root: &ConfigRoot) -> Result<Targets, Error> {
    let mut parts = Vec::new();
    for it in &root.parts {
        parts.push(load_part(store, it)?);
    }
    join_parts(ROOT_KEY, &parts)
}

fn load_part(store: &dyn ObjectStore, part: &PartRef) -> Result<Vec<u8>, Error> {
    let key = part_key(&part.0);
    let object = store.get(&key).map_err(|it| Error::store(key.clone(), it))?;
    let object = object.filter(|it| digest(&it.value) == part.0);
    let missing = || Error::Corrupt {
        context: key.into(),
        message: "the object is missing or does not match the digest in its key".into(),
    };
    object.map(|it| it.value).ok_or_else(missing)
}

/// Makes `targets` the active configuration, unless `based_on` is given and another version is active.
///
/// The root is written by a conditional update: of two concurrent changes one is accepted, and the other fails with
/// [`Error::Conflict`], which names the accepted one. Store calls are retried for up to `timeout`; after a lost
/// response, the audit trail shows whether the change was accepted.
pub fn apply(
    store: &dyn ObjectStore,
    targets: &Targets,
    based_on: Option<Version>,
    who: &str,
    why: &str,
    timeout: Duration,
) -> Result<ApplyOutcome, Error> {
    let deadline = Instant::now() + timeout;
    let current = retry(deadline, || current_root(store))?;
    let (object_version, old) = match current {
        Some((object_version, root)) => (Some(object_version), Some(root)),
        None => (None, None),
    };
    check_based_on(based_on, old.as_ref())?;
    let old_targets = match &old {
        Some(root) => retry(deadline, || load_targets(store, root))?,
        None => Targets::default(),
    };
    let differences = differences(&old_targets, targets);
    if let Some(root) = old.as_ref().filter(|_| differences.is_empty()) {
        return Ok(ApplyOutcome::Unchanged { version: root.version });
    }
    let change =
        ConfigChange { id: rand::rng().random(), who: who.into(), when: util::unix_seconds(), why: why.into() };
    let root = next_root(targets, old.as_ref(), change);
    retry(deadline, || store_parts(store, targets, old.as_ref()))?;
    retry(deadline, || store_audit(store, &root, &differences))?;
    write_root(store, &root, object_version, deadline)?;
    Ok(ApplyOutcome::Accepted { version: root.version, differences })
}

fn check_based_on(based_on: Option<Version>, old: Option<&ConfigRoot>) -> Result<(), Error> {
    let version = old.map_or(0, |it| it.version);
    match based_on {
        Some(based_on) if based_on != version => {
            let active = old.map_or_else(|| "there is no configuration yet".into(), describe_active);
            Err(Error::Conflict(format!("the file is based on version {based_on}, but {active}").into()))
        }
        _ => Ok(()),
    }
}

fn describe_active(root: &ConfigRoot) -> String {
    let ConfigChange { id, who, why, .. } = &root.change;
    format!("version {} is in force: change {id:016x} by {who} ({why})", root.version)
}

fn next_root(targets: &Targets, old: Option<&ConfigRoot>, change: ConfigChange) -> ConfigRoot {
    ConfigRoot {
        version: old.map_or(1, |it| it.version + 1),
        parent: old.map_or(0, |it| it.change.id),
        parts: split_targets(targets).iter().map(|it| PartRef(it.digest)).collect(),
        change,
    }
}

/// Writes the parts that the old root does not list. A part that exists already has the same content.
fn store_parts(store: &dyn ObjectStore, targets: &Targets, old: Option<&ConfigRoot>) -> Result<(), Error> {
    let mut known: Vec<_> = old.map_or_else(Vec::new, |it| it.parts.clone());
    known.sort();
    for part in split_targets(targets) {
        if known.binary_search(&PartRef(part.digest)).is_ok() {
            continue;
        }
        match store.put(&part_key(&part.digest), &part.bytes, WriteCondition::Absent) {
            Ok(_) | Err(StoreError::Conflict) => (),
            Err(it) => return Err(Error::store("writing a part", it)),
        }
    }
    Ok(())
}

fn audit_key(version: Version, change: ChangeId) -> String {
    format!("audit/{version:012}-{change:016x}")
}

fn store_audit(store: &dyn ObjectStore, root: &ConfigRoot, differences: &[Difference]) -> Result<(), Error> {
    let entry = AuditEntry {
        version: root.version,
        change: root.change.clone(),
        parent: root.parent,
        differences: differences.iter().take(MAX_AUDIT_DIFFERENCES).cloned().collect(),
        omitted: differences.len().saturating_sub(MAX_AUDIT_DIFFERENCES),
    };
    let bytes = rmp_serde::to_vec(&entry).expect("an audit entry can be encoded");
    store
        .put(&audit_key(root.version, root.change.id), &bytes, WriteCondition::Unconditional)
        .map(|_| ())
        .map_err(|it| Error::store("writing the audit entry", it))
}

/// Writes the root. If the write fails, checks in the audit trail whether it took effect.
fn write_root(
    store: &dyn ObjectStore,
    root: &ConfigRoot,
    replaces: Option<ObjectVersion>,
    deadline: Instant,
) -> Result<(), Error> {
    let condition = replaces.map_or(WriteCondition::Absent, WriteCondition::Version);
    let bytes = rmp_serde::to_vec(root).expect("a root can be encoded");
    let mut backoff = INITIAL_BACKOFF;
    loop {
        let error = match store.put(ROOT_KEY, &bytes, condition) {
            Ok(_) => return Ok(()),
            Err(it) => it,
        };
        // The conflict may be with this change, if an earlier write took effect and its response was lost.
        match was_accepted(store, root) {
            Ok(true) => return Ok(()),
            Ok(false) if matches!(error, StoreError::Conflict) => return Err(conflict_error(store)),
            Ok(false) | Err(_) if Instant::now() < deadline => pause(&mut backoff),
            Ok(false) | Err(_) => return Err(Error::store("accepting the change; it may be in force", error)),
        }
    }
}

fn conflict_error(store: &dyn ObjectStore) -> Error {
    match current_root(store) {
        Ok(Some((_, root))) => Error::Conflict(describe_active(&root).into()),
        Ok(None) => Error::Conflict("the configuration was deleted".into()),
        Err(it) => it,
    }
}

/// Whether the audit trail contains the change of `root`, which shows that it is or was active.
fn was_accepted(store: &dyn ObjectStore, root: &ConfigRoot) -> Result<bool, Error> {
    let entries = read_audit_chain(store, MAX_CHAIN_LENGTH, root.version)?;
    Ok(entries.iter().any(|it| it.change.id == root.change.id))
}

/// Reads the newest `limit` entries of the audit trail, newest first.
pub fn audit_trail(store: &dyn ObjectStore, limit: usize) -> Result<Vec<AuditEntry>, Error> {
    read_audit_chain(store, limit, 1)
}

fn read_audit_chain(store: &dyn ObjectStore, limit: usize, oldest: Version) -> Result<Vec<AuditEntry>, Error> {
    let mut entries = Vec::new();
    let Some((_, root)) = current_root(store)? else { return Ok(entries) };
    let (mut version, mut change) = (root.version, root.change.id);
    while entries.len() < limit && version >= oldest.max(1) {
        let key = audit_key(version, change);
        let object = store.get(&key).map_err(|it| Error::store(key.clone(), it))?;
        let Some(object) = object else { break };
        let entry: AuditEntry = crate::targets::decode_object(&key, &object.value)?;
        (version, change) = (version - 1, entry.parent);
        entries.push(entry);
    }
    Ok(entries)
}

/// Retries an idempotent call after store errors until it succeeds or `deadline` passes.
fn retry<T>(deadline: Instant, mut call: impl FnMut() -> Result<T, Error>) -> Result<T, Error> {
    let mut backoff = INITIAL_BACKOFF;
    loop {
        match call() {
            Err(Error::Store { .. }) if Instant::now() < deadline => pause(&mut backoff),
            result => return result,
        }
    }
}

fn pause(backoff: &mut Duration) {
    thread::sleep(backoff.mul_f64(rand::rng().random_range(0.5..1.0)));
    *backoff = (*backoff * 2).min(MAX_BACKOFF);
}

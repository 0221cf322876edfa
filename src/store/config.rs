//! The configuration in the platform's store: accepting a change, reading it, the audit trail.

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
        ChangeId, ConfigChange, ConfigRoot, Difference, Digest, PartRef, Targets, Version, differences, digest, join,
        split,
    },
    util,
};

/// The object that says which configuration is in force.
pub const ROOT_KEY: &str = "config/root";
/// How many changes back `apply` looks for its own after a lost answer.
const CHAIN_LIMIT: usize = 64;
/// How many differences an audit entry holds, so that it stays below the store's megabyte: each has
/// at most two values of 160 characters, and a name.
const AUDIT_LIMIT: usize = 2_000;
/// The first pause before a call is made again.
const BACKOFF_START: Duration = Duration::from_millis(100);
/// The longest pause before a call is made again.
const BACKOFF_LIMIT: Duration = Duration::from_secs(2);

/// The key of the part with this digest.
pub fn part_key(digest: &Digest) -> String {
    format!("config/part/{}", util::hex(digest))
}

/// The prefix of all presence objects.
pub fn presence_prefix() -> &'static str {
    "presence/"
}

/// The key of a daemon's presence object. It holds what a joiner needs, so one listing is enough.
pub fn presence_key(data_centre: &str, daemon: &DaemonId, peers: SocketAddr) -> String {
    format!("{}{data_centre}/{daemon}/{peers}", presence_prefix())
}

/// One entry of the audit trail. Accepted with the root that names its change, or never.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditEntry {
    /// The version the change made.
    pub version: Version,
    /// Who, when and why.
    pub change: ConfigChange,
    /// The change before.
    pub parent: ChangeId,
    /// What it changed; the first `AUDIT_LIMIT` of it.
    pub differences: Vec<Difference>,
    /// How many differences more there were.
    pub omitted: usize,
}

/// How an `apply` ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// The change was accepted as this version.
    Accepted {
        /// The new version.
        version: Version,
        /// What it changed.
        differences: Vec<Difference>,
    },
    /// The targets are in force already.
    Unchanged {
        /// The version in force.
        version: Version,
    },
}

/// The root in force, with the store's version of it.
pub fn current_root(platform: &dyn ObjectStore) -> Result<Option<(ObjectVersion, ConfigRoot)>, Error> {
    let object = platform.get(ROOT_KEY).map_err(|it| Error::platform("reading the configuration", it))?;
    object.map(|it| decode_root(&it)).transpose()
}

fn decode_root(object: &Object) -> Result<(ObjectVersion, ConfigRoot), Error> {
    let root = crate::targets::decode_object(ROOT_KEY, &object.value)?;
    Ok((object.version, root))
}

/// The targets a root names, read from the store.
pub fn load_targets(platform: &dyn ObjectStore, root: &ConfigRoot) -> Result<Targets, Error> {
    let mut parts = Vec::new();
    for it in &root.parts {
        parts.push(load_part(platform, it)?);
    }
    join(ROOT_KEY, &parts)
}

fn load_part(platform: &dyn ObjectStore, part: &PartRef) -> Result<Vec<u8>, Error> {
    let key = part_key(&part.0);
    let object = platform.get(&key).map_err(|it| Error::platform(key.clone(), it))?;
    let object = object.filter(|it| digest(&it.value) == part.0);
    let missing = || Error::Corrupt { context: key.into(), message: "missing, or not what its name says".into() };
    object.map(|it| it.value).ok_or_else(missing)
}

/// Makes `targets` the configuration, if none but `based_on` is in force.
///
/// The root is written by conditional update: of two operators who race, one is accepted and the
/// other gets [`Error::Conflict`] naming the winner's change. A lost answer is cleared up by
/// reading the chain of changes back, until `patience` ends.
pub fn apply(
    platform: &dyn ObjectStore,
    targets: &Targets,
    based_on: Option<Version>,
    who: &str,
    why: &str,
    patience: Duration,
) -> Result<ApplyOutcome, Error> {
    let deadline = Instant::now() + patience;
    let current = retry(deadline, || current_root(platform))?;
    let (object_version, old) = match current {
        Some((object_version, root)) => (Some(object_version), Some(root)),
        None => (None, None),
    };
    check_base(based_on, old.as_ref())?;
    let old_targets = match &old {
        Some(root) => retry(deadline, || load_targets(platform, root))?,
        None => Targets::default(),
    };
    let differences = differences(&old_targets, targets);
    if let Some(root) = old.as_ref().filter(|_| differences.is_empty()) {
        return Ok(ApplyOutcome::Unchanged { version: root.version });
    }
    let change =
        ConfigChange { id: rand::rng().random(), who: who.into(), when: util::unix_seconds(), why: why.into() };
    let root = next_root(targets, old.as_ref(), change);
    retry(deadline, || store_parts(platform, targets, old.as_ref()))?;
    retry(deadline, || store_audit(platform, &root, &differences))?;
    accept(platform, &root, object_version, deadline)?;
    Ok(ApplyOutcome::Accepted { version: root.version, differences })
}

fn check_base(based_on: Option<Version>, old: Option<&ConfigRoot>) -> Result<(), Error> {
    let version = old.map_or(0, |it| it.version);
    match based_on {
        Some(based_on) if based_on != version => {
            let by = old.map_or_else(|| "there is no configuration yet".into(), winner);
            Err(Error::Conflict(format!("the file is based on version {based_on}, but {by}").into()))
        }
        _ => Ok(()),
    }
}

fn winner(root: &ConfigRoot) -> String {
    let ConfigChange { id, who, why, .. } = &root.change;
    format!("version {} is in force: change {id:016x} by {who} ({why})", root.version)
}

fn next_root(targets: &Targets, old: Option<&ConfigRoot>, change: ConfigChange) -> ConfigRoot {
    ConfigRoot {
        version: old.map_or(1, |it| it.version + 1),
        parent: old.map_or(0, |it| it.change.id),
        parts: split(targets).iter().map(|it| PartRef(it.digest)).collect(),
        change,
    }
}

/// Writes the parts that the old root does not name. A part that is there already is the same.
fn store_parts(platform: &dyn ObjectStore, targets: &Targets, old: Option<&ConfigRoot>) -> Result<(), Error> {
    let mut known: Vec<_> = old.map_or_else(Vec::new, |it| it.parts.clone());
    known.sort();
    for part in split(targets) {
        if known.binary_search(&PartRef(part.digest)).is_ok() {
            continue;
        }
        match platform.put(&part_key(&part.digest), &part.bytes, WriteCondition::Absent) {
            Ok(_) | Err(StoreError::Conflict) => (),
            Err(it) => return Err(Error::platform("writing a part", it)),
        }
    }
    Ok(())
}

fn audit_key(version: Version, change: ChangeId) -> String {
    format!("audit/{version:012}-{change:016x}")
}

fn store_audit(platform: &dyn ObjectStore, root: &ConfigRoot, differences: &[Difference]) -> Result<(), Error> {
    let entry = AuditEntry {
        version: root.version,
        change: root.change.clone(),
        parent: root.parent,
        differences: differences.iter().take(AUDIT_LIMIT).cloned().collect(),
        omitted: differences.len().saturating_sub(AUDIT_LIMIT),
    };
    let bytes = rmp_serde::to_vec(&entry).expect("an audit entry can be coded");
    platform
        .put(&audit_key(root.version, root.change.id), &bytes, WriteCondition::Unconditional)
        .map(|_| ())
        .map_err(|it| Error::platform("writing the audit entry", it))
}

/// Writes the root, and after a lost answer finds out what became of it.
fn accept(
    platform: &dyn ObjectStore,
    root: &ConfigRoot,
    replaces: Option<ObjectVersion>,
    deadline: Instant,
) -> Result<(), Error> {
    let expect = replaces.map_or(WriteCondition::Absent, WriteCondition::Version);
    let bytes = rmp_serde::to_vec(root).expect("a root can be coded");
    let mut backoff = BACKOFF_START;
    loop {
        let error = match platform.put(ROOT_KEY, &bytes, expect) {
            Ok(_) => return Ok(()),
            Err(it) => it,
        };
        // A conflict may be our own write, whose answer was lost.
        match accepted(platform, root) {
            Ok(true) => return Ok(()),
            Ok(false) if matches!(error, StoreError::Conflict) => return Err(conflict(platform)),
            Ok(false) | Err(_) if Instant::now() < deadline => pause(&mut backoff),
            Ok(false) | Err(_) => return Err(Error::platform("accepting the change; it may be in force", error)),
        }
    }
}

fn conflict(platform: &dyn ObjectStore) -> Error {
    match current_root(platform) {
        Ok(Some((_, root))) => Error::Conflict(winner(&root).into()),
        Ok(None) => Error::Conflict("the configuration is gone".into()),
        Err(it) => it,
    }
}

/// Whether the change of `root` is in force or was, by the chain of changes.
fn accepted(platform: &dyn ObjectStore, root: &ConfigRoot) -> Result<bool, Error> {
    let entries = chain(platform, CHAIN_LIMIT, root.version)?;
    Ok(entries.iter().any(|it| it.change.id == root.change.id))
}

/// The newest `limit` entries of the audit trail, the newest first.
pub fn audit_trail(platform: &dyn ObjectStore, limit: usize) -> Result<Vec<AuditEntry>, Error> {
    chain(platform, limit, 1)
}

fn chain(platform: &dyn ObjectStore, limit: usize, oldest: Version) -> Result<Vec<AuditEntry>, Error> {
    let mut entries = Vec::new();
    let Some((_, root)) = current_root(platform)? else { return Ok(entries) };
    let (mut version, mut change) = (root.version, root.change.id);
    while entries.len() < limit && version >= oldest.max(1) {
        let key = audit_key(version, change);
        let object = platform.get(&key).map_err(|it| Error::platform(key.clone(), it))?;
        let Some(object) = object else { break };
        let entry: AuditEntry = crate::targets::decode_object(&key, &object.value)?;
        (version, change) = (version - 1, entry.parent);
        entries.push(entry);
    }
    Ok(entries)
}

/// Makes a call that does no harm when repeated again until it works or `deadline` comes.
fn retry<T>(deadline: Instant, mut call: impl FnMut() -> Result<T, Error>) -> Result<T, Error> {
    let mut backoff = BACKOFF_START;
    loop {
        match call() {
            Err(Error::Store { .. }) if Instant::now() < deadline => pause(&mut backoff),
            result => return result,
        }
    }
}

fn pause(backoff: &mut Duration) {
    thread::sleep(backoff.mul_f64(rand::rng().random_range(0.5..1.0)));
    *backoff = (*backoff * 2).min(BACKOFF_LIMIT);
}

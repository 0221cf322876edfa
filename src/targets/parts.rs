//! Splits a configuration into parts that fit the store's size limit, each named by its digest.
//!
//! The root object lists the parts, so a configuration is accepted by one conditional update of one
//! object, and a change writes and transfers only the parts that it affects.

use serde::{Deserialize, Serialize, de::DeserializeOwned};
use sha2::{Digest as _, Sha256};

use crate::{
    error::Error,
    targets::model::{Account, Class, Route, Service, Targets},
};

/// The version of a configuration; every accepted change increments it.
pub type Version = u64;
/// Identifies a change; drawn at random by the command that makes it.
pub type ChangeId = u64;
/// The SHA-256 of a part's bytes.
pub type Digest = [u8; 32];

/// Number of parts for routes.
const ROUTE_PARTS: usize = 32;
/// Number of parts for accounts.
const ACCOUNT_PARTS: usize = 256;

/// The object that identifies the active configuration and lists its parts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigRoot {
    /// The version of this configuration.
    pub version: Version,
    /// The change that created this version.
    pub change: ConfigChange,
    /// The previous change; the audit trail is read by following it.
    pub parent: ChangeId,
    /// The parts, in the order of [`split_targets`].
    pub parts: Vec<PartRef>,
}

/// Who changed the configuration, when and why.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigChange {
    /// Identifies the change.
    pub id: ChangeId,
    /// The operator who made it.
    pub who: Box<str>,
    /// Unix time in seconds by the operator's clock.
    pub when: u64,
    /// The operator's reason.
    pub why: Box<str>,
}

/// The digest of a part, which also forms its object key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct PartRef(#[serde(with = "serde_bytes")] pub Digest);

/// An encoded part and its digest.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Part {
    /// The SHA-256 of `bytes`.
    pub digest: Digest,
    /// The encoded `PartContent`.
    pub bytes: Vec<u8>,
}

/// The contents of a part.
#[derive(Serialize, Deserialize)]
pub(super) enum PartContent {
    Base { classes: Vec<Class>, services: Vec<Service> },
    Routes(Vec<Route>),
    Accounts(Vec<Account>),
}

/// Computes the digest of a part's bytes.
pub fn digest(bytes: &[u8]) -> Digest {
    Sha256::digest(bytes).into()
}

/// Splits targets into parts. Equal targets give equal parts.
pub fn split_targets(targets: &Targets) -> Vec<Part> {
    let classes = targets.classes.clone();
    let services = targets.services.clone();
    let mut parts = vec![encode(&PartContent::Base { classes, services })];
    let routes = distribute(&targets.routes, ROUTE_PARTS, |it| digest(it.prefix.as_bytes())[0]);
    parts.extend(routes.into_iter().map(|it| encode(&PartContent::Routes(it))));
    let accounts = distribute(&targets.accounts, ACCOUNT_PARTS, |it| it.token_hash[0]);
    parts.extend(accounts.into_iter().map(|it| encode(&PartContent::Accounts(it))));
    parts
}

/// Joins the encoded parts of a configuration; `context` names it in errors.
pub fn join_parts(context: &str, parts: &[impl AsRef<Vec<u8>>]) -> Result<Targets, Error> {
    let mut targets = Targets::default();
    for bytes in parts {
        match decode(context, bytes.as_ref())? {
            PartContent::Base { classes, services } => {
                targets.classes = classes;
                targets.services = services;
            }
            PartContent::Routes(it) => targets.routes.extend(it),
            PartContent::Accounts(it) => targets.accounts.extend(it),
        }
    }
    targets.routes.sort_by(|a, b| a.prefix.cmp(&b.prefix));
    targets.accounts.sort_by_key(|it| it.token_hash);
    Ok(targets)
}

/// Decodes a stored object; `context` names it in errors.
pub fn decode<T: DeserializeOwned>(context: &str, bytes: &[u8]) -> Result<T, Error> {
    rmp_serde::from_slice(bytes)
        .map_err(|it| Error::Corrupt { context: context.into(), message: it.to_string().into() })
}

fn encode(content: &PartContent) -> Part {
    let bytes = rmp_serde::to_vec(content).expect("the types in a part can be encoded");
    Part { digest: digest(&bytes), bytes }
}

fn distribute<T: Clone>(items: &[T], count: usize, hash: fn(&T) -> u8) -> Vec<Vec<T>> {
    let mut lists = vec![Vec::new(); count];
    for item in items {
        lists[usize::from(hash(item)) % count].push(item.clone());
    }
    lists.retain(|it| !it.is_empty());
    lists
}

//! Cuts targets into parts below the store's limit for a value, named by their digest.
//!
//! The root names every part, so accepting a configuration is one conditional update of one
//! object, and a change moves only the parts it touches (letter 1: 3,500 changes a day).

use serde::{Deserialize, Serialize, de::DeserializeOwned};
use sha2::{Digest as _, Sha256};

use crate::{
    error::Error,
    targets::model::{Account, Class, Route, Service, Targets},
};

/// A configuration's number; every accepted change adds one.
pub type Version = u64;
/// What names a change, drawn at random by the command that makes it.
pub type ChangeId = u64;
/// The SHA-256 of a part's bytes.
pub type Digest = [u8; 32];

/// Into how many parts the routes are cut.
const ROUTE_PARTS: usize = 32;
/// Into how many parts the accounts are cut.
const ACCOUNT_PARTS: usize = 256;

/// The object that says which configuration is in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigRoot {
    /// The number of this configuration.
    pub version: Version,
    /// The change that made it.
    pub change: ConfigChange,
    /// The change before, which the audit trail follows.
    pub parent: ChangeId,
    /// The parts, in the order of the split.
    pub parts: Vec<PartRef>,
}

/// Who changed the configuration, when and why.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigChange {
    /// What names the change.
    pub id: ChangeId,
    /// The operator.
    pub who: Box<str>,
    /// Seconds since 1970 by the operator's clock.
    pub when: u64,
    /// The operator's reason.
    pub why: Box<str>,
}

/// A part's digest; the part's object is named by it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct PartRef(#[serde(with = "serde_bytes")] pub Digest);

/// A part's bytes under their digest.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Part {
    /// The SHA-256 of `bytes`.
    pub digest: Digest,
    /// The coded `Content`.
    pub bytes: Vec<u8>,
}

/// What a part holds.
#[derive(Serialize, Deserialize)]
pub(super) enum PartContent {
    Base { classes: Vec<Class>, services: Vec<Service> },
    Routes(Vec<Route>),
    Accounts(Vec<Account>),
}

/// The digest of a part's bytes.
pub fn digest(bytes: &[u8]) -> Digest {
    Sha256::digest(bytes).into()
}

/// Cuts targets into parts. Equal targets give equal parts.
pub fn split(targets: &Targets) -> Vec<Part> {
    let classes = targets.classes.clone();
    let services = targets.services.clone();
    let mut parts = vec![encode(&PartContent::Base { classes, services })];
    let routes = scatter(&targets.routes, ROUTE_PARTS, |it| digest(it.prefix.as_bytes())[0]);
    parts.extend(routes.into_iter().map(|it| encode(&PartContent::Routes(it))));
    let accounts = scatter(&targets.accounts, ACCOUNT_PARTS, |it| it.token_hash[0]);
    parts.extend(accounts.into_iter().map(|it| encode(&PartContent::Accounts(it))));
    parts
}

/// Puts parts together again; `context` names the configuration in errors.
pub fn join(context: &str, parts: &[impl AsRef<Vec<u8>>]) -> Result<Targets, Error> {
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
    let bytes = rmp_serde::to_vec(content).expect("parts have no type that cannot be coded");
    Part { digest: digest(&bytes), bytes }
}

fn scatter<T: Clone>(items: &[T], count: usize, hash: fn(&T) -> u8) -> Vec<Vec<T>> {
    let mut lists = vec![Vec::new(); count];
    for item in items {
        lists[usize::from(hash(item)) % count].push(item.clone());
    }
    lists.retain(|it| !it.is_empty());
    lists
}

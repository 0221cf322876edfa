//! The configuration that operators write: classes, services, routes and accounts.
//!
//! It has no weights and no endpoint addresses: endpoints announce themselves.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};

/// A class of requests with its latency limit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Class {
    /// The name by which routes refer to the class.
    pub name: Box<str>,
    /// The latency limit: the longest time from a request's arrival to its response.
    pub lateness: Duration,
    /// Under overload, requests of lower importance are shed first.
    pub importance: Importance,
    /// Whether a request may safely run more than once.
    pub idempotent: bool,
}

/// The importance of a request, from 1 (lowest) to 100.
pub type Importance = u8;

/// Which cost of ejections a service prefers to keep low.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EjectionPreference {
    /// The time for which a failing endpoint keeps receiving requests.
    DetectionTime,
    /// The number of healthy endpoints that are ejected.
    FalseEjections,
}

/// A service, provided by the endpoints that announce its name.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// The name that endpoints announce.
    pub name: Box<str>,
    /// The capacity floor: the share of announced slots that ejections must leave, 1 to 100 percent.
    pub floor_percent: u8,
    /// The ejection preference of the service.
    pub weighs: EjectionPreference,
}

/// Maps a path prefix to a service and a class.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Whole path segments; begins with `/` and, unless it is the root, does not end with `/`.
    pub prefix: Box<str>,
    /// The name of the service that handles the requests.
    pub service: Box<str>,
    /// The name of the class of the requests.
    pub class: Box<str>,
    /// Whether callers without an account may use the route.
    pub public: bool,
}

/// The SHA-256 of an account's bearer token; the token itself is never stored.
pub type TokenHash = [u8; 32];

/// Hashes a bearer token as it is stored in the configuration.
pub fn hash_token(token: &str) -> TokenHash {
    Sha256::digest(token.as_bytes()).into()
}

/// A client account, identified by its bearer token.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Account {
    /// A unique name, for operators.
    pub name: Box<str>,
    /// The SHA-256 of its bearer token.
    #[serde(with = "serde_bytes")]
    pub token_hash: TokenHash,
}

/// A complete configuration. Its lists are sorted and have no duplicate names, prefixes or tokens.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Targets {
    /// Sorted by name.
    pub classes: Vec<Class>,
    /// Sorted by name.
    pub services: Vec<Service>,
    /// Sorted by prefix; their services and classes are in the lists above.
    pub routes: Vec<Route>,
    /// Sorted by token hash, by which daemons look accounts up.
    pub accounts: Vec<Account>,
}

impl Targets {
    /// The class called `name`.
    pub fn class(&self, name: &str) -> Option<&Class> {
        let at = self.classes.binary_search_by(|it| (*it.name).cmp(name)).ok()?;
        Some(&self.classes[at])
    }

    /// The service called `name`.
    pub fn service(&self, name: &str) -> Option<&Service> {
        let at = self.services.binary_search_by(|it| (*it.name).cmp(name)).ok()?;
        Some(&self.services[at])
    }
}

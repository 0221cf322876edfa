//! What operators write: targets, never weights or addresses (brief, "The product").

use std::time::Duration;

use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};

/// A class of work and its target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Class {
    /// The name operators use.
    pub name: Box<str>,
    /// How late an answer may be.
    pub lateness: Duration,
    /// How much it matters, 1 to 100; more is more important.
    pub importance: Importance,
    /// Whether running a request twice does no harm.
    pub idempotent: bool,
}

/// How much work matters, 1 to 100; more is more important.
pub type Importance = u8;

/// Which of the two measures of the brief a service weighs more.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EjectionPreference {
    /// How long a failing endpoint keeps receiving work.
    DetectionTime,
    /// How many healthy endpoints are removed.
    FalseEjections,
}

/// A service: a set of endpoints that announce its name.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// The name endpoints announce.
    pub name: Box<str>,
    /// The share of announced slots that ejections must leave, in percent.
    pub floor_percent: u8,
    /// What matters more here.
    pub weighs: EjectionPreference,
}

/// A path prefix and what it leads to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Whole path segments, beginning with `/` and, but for the root, not ending with one.
    pub prefix: Box<str>,
    /// The service that answers.
    pub service: Box<str>,
    /// The class of the work.
    pub class: Box<str>,
    /// Whether callers without an account may use it.
    pub public: bool,
}

/// The SHA-256 of an account's bearer token; the token itself is never kept.
pub type TokenHash = [u8; 32];

/// Hashes a bearer token as the configuration keeps it.
pub fn hash_token(token: &str) -> TokenHash {
    Sha256::digest(token.as_bytes()).into()
}

/// A caller's account.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Account {
    /// The name operators use.
    pub name: Box<str>,
    /// The hash of the token.
    #[serde(with = "serde_bytes")]
    pub token_hash: TokenHash,
}

/// A whole configuration. Every list is sorted by its name or prefix, without doubles.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Targets {
    /// Sorted by name.
    pub classes: Vec<Class>,
    /// Sorted by name.
    pub services: Vec<Service>,
    /// Sorted by prefix; each names a service and a class of the lists above.
    pub routes: Vec<Route>,
    /// Sorted by token hash, which is what daemons look accounts up by.
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

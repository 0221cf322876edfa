//! A row: what the fleet knows of a daemon, or of a proxy. Only the owner changes it.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// A daemon's name, unique in the fleet.
pub type DaemonId = Box<str>;
/// An endpoint's address as it announced itself.
pub type EndpointId = Box<str>;
/// Tells one run of a daemon from the next; later runs have higher numbers.
pub type Incarnation = u64;

/// What an endpoint can be given, by its guard's evidence (charts/endpoint.toml).
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EndpointState {
    /// It is not ready yet.
    Starting,
    /// It takes work.
    Serving,
    /// The evidence against it grows: it gets less work.
    Suspect,
    /// The evidence is complete: it gets none, as far as the floor allows.
    Ejected,
    /// It is tried with a little idempotent work.
    Trial,
    /// It takes no new work.
    Leaving,
    /// It has not announced itself for too long.
    Gone,
}

/// An endpoint in its guard's row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointRow {
    /// Its address, which names it.
    pub id: EndpointId,
    /// Its service.
    pub service: Box<str>,
    /// How much work it takes at once.
    pub slots: u16,
    /// What it can be given.
    pub state: EndpointState,
    /// Its recent failure rate as a power of two: 0 for none, n for about 2^(n-11).
    #[serde(rename = "failures")]
    pub failure_level: u8,
}

/// Orders the states of one row; the higher one is newer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Stamp {
    /// The owner's incarnation.
    pub incarnation: Incarnation,
    /// The owner's count of changes.
    pub sequence: u64,
    /// Whether others hold it to be down; the owner refutes that with a higher sequence.
    pub down: bool,
}

/// What the fleet knows of a daemon; `E` tells of the endpoints that it guards.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row<E = Vec<EndpointRow>> {
    /// The owner.
    #[serde(rename = "daemon")]
    pub name: DaemonId,
    /// Orders this row among the owner's others.
    pub stamp: Stamp,
    /// Where the owner stands.
    pub data_centre: Box<str>,
    /// Where its peers reach it.
    #[serde(rename = "peers")]
    pub peer_address: SocketAddr,
    /// Whether it is shutting down.
    pub leaving: bool,
    /// Its endpoints; where there may be several, sorted by id.
    pub endpoints: E,
}

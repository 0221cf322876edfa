//! The membership row of a daemon or proxy. Only its owner changes it; others may mark it as down.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// The name of a daemon or proxy, unique in the fleet.
pub type DaemonId = Box<str>;
/// The address that an endpoint announced.
pub type EndpointId = Box<str>;
/// Identifies one run of a daemon; later runs have higher numbers.
pub type Incarnation = u64;

/// Whether an endpoint receives requests, as decided by its guard (charts/endpoint.toml).
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EndpointState {
    /// It is not ready.
    Starting,
    /// It receives requests.
    Serving,
    /// It shows signs of a fault: it receives fewer requests.
    Suspect,
    /// It is ejected: it receives no requests, as far as the capacity floor allows.
    Ejected,
    /// It receives a few idempotent requests that test whether it has recovered.
    Trial,
    /// It accepts no new requests.
    Leaving,
    /// Its announcements have stopped.
    Gone,
}

/// An endpoint in its guard's row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointRow {
    /// Its address, which identifies it.
    pub id: EndpointId,
    /// The name of its service.
    pub service: Box<str>,
    /// The number of requests that it runs at once.
    pub slots: u16,
    /// Whether it receives requests.
    pub state: EndpointState,
    /// Its recent failure rate on a logarithmic scale: 0 for none, n for about 2^(n-11).
    #[serde(rename = "failures")]
    pub failure_level: u8,
}

/// The version of a row; a higher stamp is newer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Stamp {
    /// The owner's incarnation.
    pub incarnation: Incarnation,
    /// Counts the owner's changes to the row.
    pub sequence: u64,
    /// Whether others marked the owner as down; the owner supersedes that with a higher sequence.
    pub down: bool,
}

/// The membership row of a daemon or proxy; `E` describes the endpoints that it guards.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row<E = Vec<EndpointRow>> {
    /// The owner's name.
    #[serde(rename = "daemon")]
    pub name: DaemonId,
    /// The version of this row.
    pub stamp: Stamp,
    /// The owner's data centre.
    pub data_centre: Box<str>,
    /// The address at which peers connect to the owner.
    #[serde(rename = "peers")]
    pub peer_address: SocketAddr,
    /// Whether the owner is shutting down.
    pub leaving: bool,
    /// The endpoints that the owner guards; a list is sorted by id.
    pub endpoints: E,
}

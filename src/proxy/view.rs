//! What this proxy knows of the others: one row each, changed by its owner only.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{
    decide::{life::EndpointId, suspicion::Standing},
    proxy::routes::{ServiceName, Version},
};

/// A proxy's name, unique in the fleet.
pub type ProxyName = Box<str>;
/// Tells one run of a proxy from all others; random.
pub type Incarnation = u64;

/// An endpoint in its guard's row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointRow {
    /// Which incarnation.
    pub id: EndpointId,
    /// Its service.
    pub service: ServiceName,
    /// How much it works on at once.
    pub slots: u32,
    /// How far it is trusted.
    pub standing: Standing,
}

/// What a proxy says of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Its name.
    pub name: ProxyName,
    /// Which run of it.
    pub incarnation: Incarnation,
    /// Goes up with each change within a run, but for those that `turns` counts.
    pub sequence: u64,
    /// Goes up each time the endpoint's standing changes; says which row is newer where `sequence` is
    /// the same.
    pub turns: u64,
    /// Where other proxies connect.
    pub peers: SocketAddr,
    /// Its data centre.
    pub data_centre: Box<str>,
    /// The version of the configuration in force there; 0 for none.
    pub version: Version,
    /// The endpoint, while it takes work.
    pub endpoint: Option<EndpointRow>,
}

/// The part of a row that changes often.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Brief {
    /// The proxy's name.
    pub name: ProxyName,
    /// As in the row.
    pub incarnation: Incarnation,
    /// As in the row.
    pub sequence: u64,
    /// As in the row.
    pub turns: u64,
    /// As in the row.
    pub version: Version,
    /// How far the endpoint is trusted, if there is one.
    pub standing: Standing,
}

impl Row {
    /// How far the endpoint is trusted, if there is one.
    pub fn standing(&self) -> Standing {
        self.endpoint.as_ref().map(|it| it.standing).unwrap_or_default()
    }

    /// The part that changes often.
    pub fn brief(&self) -> Brief {
        Brief {
            name: self.name.clone(),
            incarnation: self.incarnation,
            sequence: self.sequence,
            turns: self.turns,
            version: self.version,
            standing: self.standing(),
        }
    }
}

/// Where a row came from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    /// Its owner called us; the call may be old.
    Told,
    /// Its owner answered a call of ours just now.
    Answered,
}

/// What became of a row.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Merged {
    /// It is new, or says something new.
    Changed,
    /// It says nothing new.
    Known,
    /// Its owner has to be asked for its row: that is unknown, or of another run, and this may be
    /// the older of the two.
    Doubtful,
}

/// The rows of the other proxies.
#[derive(Debug, Default)]
pub struct View {
    /// Sorted by name; never holds the row of this proxy.
    rows: Vec<Row>,
}

impl View {
    /// All rows, sorted by name.
    pub fn rows(&self) -> &[Row] {
        &self.rows
    }

    /// The row of `name`.
    pub fn get(&self, name: &str) -> Option<&Row> {
        let at = self.rows.binary_search_by(|it| (*it.name).cmp(name)).ok()?;
        Some(&self.rows[at])
    }

    /// Takes in a row.
    pub fn merge(&mut self, row: Row, source: Source) -> Merged {
        let at = match self.rows.binary_search_by(|it| it.name.cmp(&row.name)) {
            Ok(it) => it,
            Err(at) => {
                self.rows.insert(at, row);
                return Merged::Changed;
            }
        };
        let known = &mut self.rows[at];
        if known.incarnation != row.incarnation && source == Source::Told {
            return Merged::Doubtful;
        }
        let newer = (row.sequence, row.turns) > (known.sequence, known.turns);
        if known.incarnation == row.incarnation && !newer {
            return Merged::Known;
        }
        *known = row;
        Merged::Changed
    }

    /// Takes in the part of a row that changes often.
    pub fn merge_brief(&mut self, brief: &Brief) -> Merged {
        let Ok(at) = self.rows.binary_search_by(|it| it.name.cmp(&brief.name)) else { return Merged::Doubtful };
        let known = &mut self.rows[at];
        if known.incarnation != brief.incarnation || known.sequence < brief.sequence {
            return Merged::Doubtful;
        }
        if (known.sequence, known.turns) >= (brief.sequence, brief.turns) {
            return Merged::Known;
        }
        known.turns = brief.turns;
        if let Some(it) = &mut known.endpoint {
            it.standing = brief.standing;
        }
        Merged::Changed
    }

    /// Forgets the row of `name`.
    pub fn remove(&mut self, name: &str) {
        self.rows.retain(|it| *it.name != *name);
    }
}

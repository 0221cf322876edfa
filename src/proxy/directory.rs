//! What this proxy knows of all others: one row each, changed by its owner only.

use std::{net::SocketAddr, sync::Arc, time::Instant};

use serde::{Deserialize, Serialize};

use crate::{
    decide::{life::EndpointId, suspicion::Standing},
    proxy::routes::{ServiceName, Version},
    rows::{self, Compare, Compared, DaemonKey, Merge, OwnClaims, Stamp, Table},
};

/// A proxy's name, unique in the fleet.
pub type ProxyName = Box<str>;
/// Tells one run of a guard from all others; random.
pub type Incarnation = u64;

/// What a proxy guards.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Served {
    /// The service of its VM.
    pub service: ServiceName,
    /// The endpoint, while it takes work.
    pub endpoint: Option<EndpointRow>,
}

/// An endpoint in its guard's row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointRow {
    /// Which life of it.
    pub id: EndpointId,
    /// How much it works on at once.
    pub slots: u32,
}

/// What a proxy says of itself that changes seldom. Its incarnation is the millisecond of its start by the VM's clock.
pub type Row = rows::Row<Served>;

/// What a proxy says of itself that changes often; told only to those it is connected to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Current {
    /// The version of the configuration in force there; 0 for none.
    pub version: Version,
    /// Goes up within a run each time the endpoint or its standing changes.
    pub turns: u64,
    /// How far the endpoint is trusted, if there is one.
    pub standing: Standing,
}

/// [`Current`] with whose it is.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Brief {
    /// The proxy's name.
    pub name: ProxyName,
    /// Of its row.
    pub stamp: Stamp,
    /// What it says.
    pub current: Current,
}

/// Where a proxy is, from the store's listing.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Listed {
    /// Its name.
    pub name: ProxyName,
    /// Where other proxies connect.
    pub peers: SocketAddr,
    /// Its data centre.
    pub data_centre: Box<str>,
    /// The service of its VM.
    pub service: ServiceName,
}

/// The rows of all proxies, this one's included.
pub struct Directory {
    table: Table<Served>,
    /// Proxies by the service of their VM, sorted; `None` while it must be counted anew.
    guards: Option<Vec<(ServiceName, usize)>>,
}

impl Directory {
    /// A directory that holds the owner's row only.
    pub fn new(own: Row, now: Instant) -> Self {
        Self { table: Table::new(own, OwnClaims::Outbid, now), guards: None }
    }

    /// The owner's row.
    pub fn own(&self) -> &Arc<Row> {
        self.table.own()
    }

    /// The hash of the owner's name.
    pub fn own_key(&self) -> DaemonKey {
        self.table.own_key()
    }

    /// Changes the owner's row.
    pub fn edit_own(&mut self, now: Instant, edit: impl FnOnce(&mut Row)) {
        self.table.edit_own(now, edit);
        self.guards = None;
    }

    /// The row of `name`.
    pub fn get(&self, name: &str) -> Option<&Arc<Row>> {
        self.table.get(name)
    }

    /// The row with this short name.
    pub fn by_key(&self, key: DaemonKey) -> Option<&Arc<Row>> {
        self.table.by_key(key)
    }

    /// The rows of the other proxies that neither left nor are held to be down, with their short names.
    pub fn members(&self) -> impl Iterator<Item = (DaemonKey, &Arc<Row>)> {
        let own = self.own_key();
        self.table.entries().iter().map(|it| (it.key(), &it.row)).filter(move |(key, row)| *key != own && is_live(row))
    }

    /// The rows of those that are held to be down.
    pub fn down(&self) -> impl Iterator<Item = &Arc<Row>> {
        self.table.down()
    }

    /// How many data centres the live proxies are in, this one included.
    pub fn data_centres(&self) -> usize {
        let mut names: Vec<&str> = vec![&self.own().data_centre];
        for (_, row) in self.members() {
            if let Err(at) = names.binary_search(&&*row.data_centre) {
                names.insert(at, &row.data_centre);
            }
        }
        names.len()
    }

    /// How many proxies guard endpoints of `service`, as far as this one knows.
    pub fn guards_of(&mut self, service: &str) -> usize {
        let guards = self.guards();
        guards.binary_search_by(|it| (*it.0).cmp(service)).map_or(0, |at| guards[at].1)
    }

    /// How many services there are.
    pub fn services(&mut self) -> usize {
        self.guards().len()
    }

    fn guards(&mut self) -> &[(ServiceName, usize)] {
        let rows = self.table.entries().iter().map(|it| &it.row).filter(|it| is_live(it));
        self.guards.get_or_insert_with(|| {
            let mut services: Vec<&ServiceName> = rows.map(|it| &it.endpoints.service).collect();
            services.sort_unstable();
            services.chunk_by(|a, b| a == b).map(|it| (it[0].clone(), it.len())).collect()
        })
    }

    /// Takes a row in if it is newer than what is known.
    pub fn merge(&mut self, row: Row, now: Instant) -> Merge {
        self.guards = None;
        self.table.merge(row, now)
    }

    /// Takes rows in; returns those that were news, and the owner's if it had to be defended.
    pub fn merge_all(&mut self, rows: Vec<Row>, now: Instant) -> Vec<Row> {
        self.guards = None;
        self.table.merge_all(rows, now)
    }

    /// Takes in where proxies are, as the store lists it; whatever they said themselves is newer.
    pub fn seed(&mut self, listed: impl Iterator<Item = Listed>, now: Instant) {
        let rows = listed.map(|it| Row {
            daemon: it.name,
            stamp: Stamp { incarnation: 0, sequence: 0, down: false },
            data_centre: it.data_centre,
            peers: it.peers,
            leaving: false,
            endpoints: Served { service: it.service, endpoint: None },
        });
        self.merge_all(rows.collect(), now);
    }

    /// Holds a proxy to be down, as of the row that was known while it was tried.
    pub fn mark_down(&mut self, name: &str, tried: Stamp, now: Instant) -> bool {
        self.guards = None;
        self.table.mark_down(name, tried, now)
    }

    /// Drops the rows of those that left or are down for long.
    pub fn forget(&mut self, now: Instant) {
        self.table.forget(now);
        self.guards = None;
    }

    /// One number that differs where any row differs.
    pub fn digest(&self) -> u64 {
        self.table.digest()
    }

    /// The table, for an exchange with another's.
    pub fn table(&self) -> &Table<Served> {
        &self.table
    }

    /// Opens an exchange.
    pub fn compare(&self, version: Version) -> Compare {
        Compare::new(&self.table, version)
    }

    /// Answers an exchange.
    pub fn compared(&self, compare: &Compare, version: Version) -> Compared {
        compare.answer(&self.table, version)
    }

    /// Ends an exchange that another opened.
    pub fn deliver(&mut self, deliver: rows::Deliver<Served>, now: Instant) -> (rows::Delivered<Served>, Vec<Row>) {
        self.guards = None;
        deliver.answer(&mut self.table, now)
    }
}

/// Whether a row's owner is to be counted on.
fn is_live(row: &Row) -> bool {
    !row.leaving && !row.stamp.down
}

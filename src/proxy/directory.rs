//! What this proxy knows of all others: one row each, changed by its owner only.

use std::{sync::Arc, time::Instant};

use serde::{Deserialize, Serialize};

use crate::{
    decide::{incarnation::EndpointId, suspicion::EndpointStanding},
    platform::PresenceObject,
    proxy::routes::{ServiceName, Version},
    rows::{
        self, CompareRequest, CompareResponse, HigherIncarnationPolicy, MemberKey, MemberTable, MergeResult, Stamp,
    },
};

/// A proxy's name, unique in the fleet.
pub type ProxyName = Box<str>;
/// Tells one run of a guard from all others; random.
pub type Incarnation = u64;

/// What a proxy guards.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GuardedService {
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
pub type Row = rows::Row<GuardedService>;

/// What a proxy says of itself that changes often; told only to those it is connected to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProxyStatus {
    /// The version of the configuration in force there; 0 for none.
    pub version: Version,
    /// Goes up within a run each time the endpoint or its standing changes.
    #[serde(rename = "turns")]
    pub revision: u64,
    /// How far the endpoint is trusted, if there is one.
    pub standing: EndpointStanding,
}

/// [`ProxyStatus`] with whose it is.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusUpdate {
    /// The proxy's name.
    pub name: ProxyName,
    /// Of its row.
    pub stamp: Stamp,
    /// What it says.
    #[serde(rename = "current")]
    pub status: ProxyStatus,
}

/// The rows of all proxies, this one's included.
pub struct Directory {
    table: MemberTable<GuardedService>,
    /// Of the live rows; `None` while they must be counted anew.
    counts: Option<Counts>,
}

#[derive(Debug)]
struct Counts {
    /// Proxies by the service of their VM, sorted.
    guards: Vec<(ServiceName, usize)>,
    data_centres: usize,
}

impl Directory {
    /// A directory that holds the owner's row only.
    pub fn new(own: Row, now: Instant) -> Self {
        Self { table: MemberTable::new(own, HigherIncarnationPolicy::Supersede, now), counts: None }
    }

    /// The owner's row.
    pub fn own(&self) -> &Arc<Row> {
        self.table.own_row()
    }

    /// The hash of the owner's name.
    pub fn own_key(&self) -> MemberKey {
        self.table.own_key()
    }

    /// Changes the owner's row.
    pub fn update_own(&mut self, now: Instant, edit: impl FnOnce(&mut Row)) {
        self.table.update_own(now, edit);
        self.counts = None;
    }

    /// The row of `name`.
    pub fn get(&self, name: &str) -> Option<&Arc<Row>> {
        self.table.get(name)
    }

    /// The row with this short name.
    pub fn get_by_key(&self, key: MemberKey) -> Option<&Arc<Row>> {
        self.table.get_by_key(key)
    }

    /// The rows of the other proxies that neither left nor are held to be down, with their short names.
    pub fn members(&self) -> impl Iterator<Item = (MemberKey, &Arc<Row>)> {
        let own = self.own_key();
        self.table.entries().iter().map(|it| (it.key(), &it.row)).filter(move |(key, row)| *key != own && is_live(row))
    }

    /// The rows of those that are held to be down.
    pub fn down_rows(&self) -> impl Iterator<Item = &Arc<Row>> {
        self.table.down_rows()
    }

    /// How many data centres the live proxies are in, this one included.
    pub fn data_centre_count(&mut self) -> usize {
        self.counts().data_centres
    }

    /// How many proxies guard endpoints of `service`, as far as this one knows.
    pub fn guard_count(&mut self, service: &str) -> usize {
        let guards = &self.counts().guards;
        guards.binary_search_by(|it| (*it.0).cmp(service)).map_or(0, |at| guards[at].1)
    }

    /// How many services there are.
    pub fn service_count(&mut self) -> usize {
        self.counts().guards.len()
    }

    fn counts(&mut self) -> &Counts {
        let table = &self.table;
        self.counts.get_or_insert_with(|| {
            let live = || table.entries().iter().map(|it| &it.row).filter(|it| is_live(it));
            let mut services: Vec<&ServiceName> = live().map(|it| &it.endpoints.service).collect();
            services.sort_unstable();
            let guards = services.chunk_by(|a, b| a == b).map(|it| (it[0].clone(), it.len())).collect();
            // This proxy's own counts even while it leaves.
            let mut names: Vec<&str> = live().chain([table.own_row()]).map(|it| &*it.data_centre).collect();
            names.sort_unstable();
            names.dedup();
            Counts { guards, data_centres: names.len() }
        })
    }

    /// Takes a row in if it is newer than what is known.
    pub fn merge(&mut self, row: Row, now: Instant) -> MergeResult {
        self.counts = None;
        self.table.merge(row, now)
    }

    /// Takes rows in; returns those that were news, and the owner's if it had to be defended.
    pub fn merge_all(&mut self, rows: Vec<Row>, now: Instant) -> Vec<Row> {
        self.counts = None;
        self.table.merge_all(rows, now)
    }

    /// Takes in where proxies are, as the store lists it; whatever they said themselves is newer.
    pub fn seed_from_store(&mut self, listed: impl Iterator<Item = PresenceObject>, now: Instant) {
        let rows = listed.map(|it| Row {
            name: it.name,
            stamp: Stamp { incarnation: 0, sequence: 0, down: false },
            data_centre: it.data_centre,
            peer_address: it.peers,
            leaving: false,
            endpoints: GuardedService { service: it.service, endpoint: None },
        });
        self.merge_all(rows.collect(), now);
    }

    /// Holds a proxy to be down, as of the row that was known while it was tried.
    pub fn mark_down(&mut self, name: &str, tried: Stamp, now: Instant) -> bool {
        self.counts = None;
        self.table.mark_down(name, tried, now)
    }

    /// Drops the rows of those that left or are down for long.
    pub fn remove_expired(&mut self, now: Instant) {
        if self.table.remove_expired(now) {
            self.counts = None;
        }
    }

    /// One number that differs where any row differs.
    pub fn digest(&self) -> u64 {
        self.table.digest()
    }

    /// The table, for an exchange with another's.
    pub fn table(&self) -> &MemberTable<GuardedService> {
        &self.table
    }

    /// Opens an exchange.
    pub fn compare(&self, version: Version) -> CompareRequest {
        CompareRequest::new(&self.table, version)
    }

    /// Answers an exchange.
    pub fn answer_compare(&self, compare: &CompareRequest, version: Version) -> CompareResponse {
        compare.answer(&self.table, version)
    }

    /// Ends an exchange that another opened.
    pub fn answer_deliver(
        &mut self,
        deliver: rows::DeliverRequest<GuardedService>,
        now: Instant,
    ) -> (rows::DeliverResponse<GuardedService>, Vec<Row>) {
        self.counts = None;
        deliver.answer(&mut self.table, now)
    }
}

/// Whether a row's owner is to be counted on.
fn is_live(row: &Row) -> bool {
    !row.leaving && !row.stamp.down
}

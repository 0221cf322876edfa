//! The directory of all proxies: one versioned row each, which only its owner changes.

use std::{sync::Arc, time::Instant};

use serde::{Deserialize, Serialize};

use crate::{
    decide::{incarnation::EndpointId, rate_limit::LimitStatement, suspicion::EndpointStanding},
    platform::PresenceObject,
    proxy::routes::{ServiceName, Version},
    rows::{
        self, CompareRequest, CompareResponse, HigherIncarnationPolicy, MemberKey, MemberTable, MergeResult, Stamp,
    },
};

/// A proxy's name, unique in the fleet.
pub type ProxyName = Box<str>;
/// A random number that identifies one incarnation of a guard.
pub type Incarnation = u64;

/// The service of a VM and its endpoint, as listed in the row of the VM's proxy.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GuardedService {
    /// The name of the service.
    pub service: ServiceName,
    /// The endpoint, while it accepts requests.
    pub endpoint: Option<EndpointRow>,
}

/// An endpoint as listed in its proxy's row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointRow {
    /// The name and incarnation of the endpoint.
    pub id: EndpointId,
    /// How many requests it handles concurrently.
    pub slots: u32,
}

/// The part of a proxy's state that changes seldom. The incarnation in its stamp is the process's start in Unix
/// milliseconds, raised above that of an earlier incarnation if need be.
pub type Row = rows::Row<GuardedService>;

/// The part of a proxy's state that changes often; sent only to linked proxies.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct ProxyStatus {
    /// The active configuration version; 0 for none.
    pub version: Version,
    /// Counts the changes of the endpoint, its standing and its limit since the process started.
    #[serde(rename = "turns")]
    pub revision: u64,
    /// The standing of the endpoint, if there is one.
    pub standing: EndpointStanding,
    /// The rate limit that the endpoint states in its answers.
    #[serde(default)]
    pub limit: LimitStatement,
}

/// A [`ProxyStatus`] with the name of its proxy.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusUpdate {
    /// The proxy's name.
    pub name: ProxyName,
    /// The stamp of the proxy's row.
    pub stamp: Stamp,
    /// The status.
    #[serde(rename = "current")]
    pub status: ProxyStatus,
}

/// The rows of all known proxies, including this one, which owns the directory.
pub struct Directory {
    table: MemberTable<GuardedService>,
    /// Cached counts of the live rows; `None` after a change.
    counts: Option<Counts>,
}

#[derive(Debug)]
struct Counts {
    /// The number of proxies for each service, sorted by service.
    service_guards: Vec<(ServiceName, usize)>,
    data_centres: usize,
}

impl Directory {
    /// Creates a directory that holds only the owner's row.
    pub fn new(own: Row, now: Instant) -> Self {
        Self { table: MemberTable::new(own, HigherIncarnationPolicy::Supersede, now), counts: None }
    }

    /// Returns the owner's row.
    pub fn own(&self) -> &Arc<Row> {
        self.table.own_row()
    }

    /// Returns the hash of the owner's name.
    pub fn own_key(&self) -> MemberKey {
        self.table.own_key()
    }

    /// Changes the owner's row and its stamp.
    pub fn update_own(&mut self, now: Instant, edit: impl FnOnce(&mut Row)) {
        self.table.update_own(now, edit);
        self.counts = None;
    }

    /// Returns the row of the proxy `name`.
    pub fn get(&self, name: &str) -> Option<&Arc<Row>> {
        self.table.get(name)
    }

    /// Returns the row whose owner's name has the hash `key`.
    pub fn get_by_key(&self, key: MemberKey) -> Option<&Arc<Row>> {
        self.table.get_by_key(key)
    }

    /// Iterates over the live rows of other proxies, with the hashes of their names.
    pub fn members(&self) -> impl Iterator<Item = (MemberKey, &Arc<Row>)> {
        let own = self.own_key();
        self.table.entries().iter().map(|it| (it.key(), &it.row)).filter(move |(key, row)| *key != own && is_live(row))
    }

    /// Iterates over the rows of proxies that are marked down and not leaving.
    pub fn down_rows(&self) -> impl Iterator<Item = &Arc<Row>> {
        self.table.down_rows()
    }

    /// Counts the data centres of the live proxies and this one.
    pub fn data_centre_count(&mut self) -> usize {
        self.counts().data_centres
    }

    /// Counts the live proxies whose VM belongs to `service`.
    pub fn guard_count(&mut self, service: &str) -> usize {
        let service_guards = &self.counts().service_guards;
        service_guards.binary_search_by(|it| (*it.0).cmp(service)).map_or(0, |at| service_guards[at].1)
    }

    /// Counts the services of the live proxies.
    pub fn service_count(&mut self) -> usize {
        self.counts().service_guards.len()
    }

    fn counts(&mut self) -> &Counts {
        let table = &self.table;
        self.counts.get_or_insert_with(|| {
            let live = || table.entries().iter().map(|it| &it.row).filter(|it| is_live(it));
            let mut services: Vec<&ServiceName> = live().map(|it| &it.endpoints.service).collect();
            services.sort_unstable();
            let service_guards = services.chunk_by(|a, b| a == b).map(|it| (it[0].clone(), it.len())).collect();
            // The owner's data centre counts even while the owner leaves.
            let mut data_centres: Vec<&str> = live().chain([table.own_row()]).map(|it| &*it.data_centre).collect();
            data_centres.sort_unstable();
            data_centres.dedup();
            Counts { service_guards, data_centres: data_centres.len() }
        })
    }

    /// Stores `row` if it is newer than the known row of its owner.
    pub fn merge(&mut self, row: Row, now: Instant) -> MergeResult {
        self.counts = None;
        self.table.merge(row, now)
    }

    /// Merges `rows`. Returns those that were newer, and the owner's row if it was raised above a row in its name.
    pub fn merge_all(&mut self, rows: Vec<Row>, now: Instant) -> Vec<Row> {
        self.counts = None;
        self.table.merge_all(rows, now)
    }

    /// Adds the proxies that the store lists. Rows that came from the proxies themselves are newer and stay.
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

    /// Marks the proxy `name` down if its row still has the stamp `tried`; returns whether it did.
    pub fn mark_down(&mut self, name: &str, tried: Stamp, now: Instant) -> bool {
        self.counts = None;
        self.table.mark_down(name, tried, now)
    }

    /// Drops rows whose owner left or was marked down long ago.
    pub fn remove_expired(&mut self, now: Instant) {
        if self.table.remove_expired(now) {
            self.counts = None;
        }
    }

    /// Returns a hash of all rows; directories with equal rows have equal digests.
    pub fn digest(&self) -> u64 {
        self.table.digest()
    }

    /// Returns the underlying table for an anti-entropy exchange.
    pub fn table(&self) -> &MemberTable<GuardedService> {
        &self.table
    }

    /// Creates the first message of an anti-entropy exchange of rows.
    pub fn compare(&self, version: Version) -> CompareRequest {
        CompareRequest::new(&self.table, version)
    }

    /// Responds to the first message of an exchange.
    pub fn answer_compare(&self, compare: &CompareRequest, version: Version) -> CompareResponse {
        compare.answer(&self.table, version)
    }

    /// Merges the rows of the last message of an exchange. Returns the response and the rows that were newer.
    pub fn answer_deliver(
        &mut self,
        deliver: rows::DeliverRequest<GuardedService>,
        now: Instant,
    ) -> (rows::DeliverResponse<GuardedService>, Vec<Row>) {
        self.counts = None;
        deliver.answer(&mut self.table, now)
    }
}

/// Whether the owner of `row` neither leaves nor is marked down.
fn is_live(row: &Row) -> bool {
    !row.leaving && !row.stamp.down
}

//! The anti-entropy exchange between two tables, and the push of news.
//!
//! Two round trips at most: `CompareRequest` names the digest of every bucket, the answer the stamps in
//! those that differ; `DeliverRequest` brings what the asker has newer and names what it wants.

use std::time::Instant;

use serde::{Deserialize, Serialize};

use crate::{
    rows::{
        row::{EndpointRow, Row, Stamp},
        table::{MemberKey, MemberTable, MergeResult},
    },
    targets::Version,
};

/// Opens an exchange.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CompareRequest {
    /// The sender's digest by buckets, as little-endian words.
    #[serde(with = "serde_bytes")]
    pub digest: Vec<u8>,
    /// The version the sender has in force.
    pub version: Version,
}

/// The stamps of one bucket that differs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BucketStamps {
    /// Which bucket.
    pub bucket: u16,
    /// What the answerer has in it.
    pub stamps: Vec<(MemberKey, Stamp)>,
}

/// Answers `CompareRequest`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CompareResponse {
    /// The buckets that differ.
    pub differing: Vec<BucketStamps>,
    /// The version the answerer has in force.
    pub version: Version,
}

/// Ends an exchange in which something differed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DeliverRequest<E = Vec<EndpointRow>> {
    /// What the sender has newer.
    pub rows: Vec<Row<E>>,
    /// What it wants.
    pub wanted: Vec<MemberKey>,
}

/// Answers `DeliverRequest`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DeliverResponse<E = Vec<EndpointRow>> {
    /// The rows that were wanted.
    pub rows: Vec<Row<E>>,
}

/// News, sent at once to a few peers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PushRequest {
    /// The rows that changed.
    pub rows: Vec<Row>,
    /// The version the sender has in force.
    pub version: Version,
    /// Where the sender's peers reach it, for fetching that version.
    pub sender: std::net::SocketAddr,
}

impl CompareRequest {
    /// Opens an exchange for `table`.
    pub fn new<E: Clone>(table: &MemberTable<E>, version: Version) -> Self {
        let digest = table.buckets().iter().flat_map(|it| it.to_le_bytes()).collect();
        Self { digest, version }
    }

    /// The answer of `table`.
    pub fn answer<E: Clone>(&self, table: &MemberTable<E>, version: Version) -> CompareResponse {
        let theirs = self.digest.chunks_exact(4);
        let pairs = table.buckets().iter().zip(theirs).enumerate();
        let differing = pairs.filter(|(_, (ours, theirs))| ours.to_le_bytes() != **theirs);
        let differing = differing.map(|(at, _)| BucketStamps { bucket: at as u16, stamps: table.bucket(at) }).collect();
        CompareResponse { differing, version }
    }
}

impl CompareResponse {
    /// What to deliver and to ask for; `None` if the tables agree.
    pub fn follow_up<E: Clone>(&self, table: &MemberTable<E>) -> Option<DeliverRequest<E>> {
        let mut deliver = DeliverRequest { rows: Vec::new(), wanted: Vec::new() };
        for it in &self.differing {
            let mut theirs = it.stamps.clone();
            theirs.sort();
            let ours = table.bucket(usize::from(it.bucket));
            deliver.wanted.extend(newer(&theirs, &ours));
            let newer_here = newer(&ours, &theirs);
            deliver.rows.extend(newer_here.filter_map(|key| table.get_by_key(key)).map(|row| Row::clone(row)));
        }
        (!deliver.rows.is_empty() || !deliver.wanted.is_empty()).then_some(deliver)
    }
}

/// The keys that `here` has newer than `there`; both are sorted by key.
fn newer<'a>(here: &'a [(MemberKey, Stamp)], there: &'a [(MemberKey, Stamp)]) -> impl Iterator<Item = MemberKey> + 'a {
    here.iter().filter_map(|(key, stamp)| {
        let known = there.binary_search_by_key(key, |it| it.0).ok().map(|at| there[at].1);
        known.is_none_or(|it| it < *stamp).then_some(*key)
    })
}

impl<E: Clone> DeliverRequest<E> {
    /// Takes the rows in and answers with those that are wanted; also returns the news.
    pub fn answer(self, table: &mut MemberTable<E>, now: Instant) -> (DeliverResponse<E>, Vec<Row<E>>) {
        let wanted = self.wanted.iter().filter_map(|it| table.get_by_key(*it));
        let rows = wanted.map(|it| Row::clone(it)).collect();
        let news = table.merge_all(self.rows, now);
        (DeliverResponse { rows }, news)
    }
}

impl<E: Clone> MemberTable<E> {
    /// Takes rows in; returns those that were news, and the own row if it had to be defended.
    pub fn merge_all(&mut self, rows: Vec<Row<E>>, now: Instant) -> Vec<Row<E>> {
        let mut news = Vec::new();
        for row in rows {
            match self.merge(row.clone(), now) {
                MergeResult::Updated => news.push(row),
                MergeResult::Conflict => news.push(Row::clone(self.own_row())),
                MergeResult::Ignored => (),
            }
        }
        news
    }
}

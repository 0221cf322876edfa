//! The anti-entropy exchange between two membership tables, and the push of changed rows.
//!
//! An exchange takes at most two round trips. `CompareRequest` carries the digest of every bucket, and its response
//! the stamps in the buckets that differ. `DeliverRequest` carries the rows that are newer at the requester and the
//! keys of those that are newer at the responder.

use std::time::Instant;

use serde::{Deserialize, Serialize};

use crate::{
    rows::{
        row::{EndpointRow, Row, Stamp},
        table::{MemberKey, MemberTable, MergeResult},
    },
    targets::Version,
};

/// Starts an exchange.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CompareRequest {
    /// The digests of the sender's buckets, as little-endian 32-bit words.
    #[serde(with = "serde_bytes")]
    pub digest: Vec<u8>,
    /// The active configuration version of the sender.
    pub version: Version,
}

/// The stamps in one bucket whose digests differ.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BucketStamps {
    /// The index of the bucket.
    pub bucket: u16,
    /// The key and stamp of every row in the responder's bucket, sorted by key.
    pub stamps: Vec<(MemberKey, Stamp)>,
}

/// The response to [`CompareRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CompareResponse {
    /// The buckets that differ.
    pub differing: Vec<BucketStamps>,
    /// The active configuration version of the responder.
    pub version: Version,
}

/// Ends an exchange in which the tables differed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DeliverRequest<E = Vec<EndpointRow>> {
    /// The rows that are newer at the sender.
    pub rows: Vec<Row<E>>,
    /// The keys of the rows that are newer at the receiver.
    pub wanted: Vec<MemberKey>,
}

/// The response to [`DeliverRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DeliverResponse<E = Vec<EndpointRow>> {
    /// The requested rows.
    pub rows: Vec<Row<E>>,
}

/// Changed rows, sent at once to a few peers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PushRequest {
    /// The rows that changed.
    pub rows: Vec<Row>,
    /// The active configuration version of the sender.
    pub version: Version,
    /// The address at which peers can fetch that version from the sender.
    pub sender: std::net::SocketAddr,
}

impl CompareRequest {
    /// Creates the request of an exchange for `table`.
    pub fn new<E: Clone>(table: &MemberTable<E>, version: Version) -> Self {
        let digest = table.buckets().iter().flat_map(|it| it.to_le_bytes()).collect();
        Self { digest, version }
    }

    /// Lists the stamps in the buckets of `table` that differ from the requester's.
    pub fn answer<E: Clone>(&self, table: &MemberTable<E>, version: Version) -> CompareResponse {
        let theirs = self.digest.chunks_exact(4);
        let pairs = table.buckets().iter().zip(theirs).enumerate();
        let differing = pairs.filter(|(_, (ours, theirs))| ours.to_le_bytes() != **theirs);
        let differing = differing.map(|(at, _)| BucketStamps { bucket: at as u16, stamps: table.bucket(at) }).collect();
        CompareResponse { differing, version }
    }
}

impl CompareResponse {
    /// The rows to deliver and to request; `None` if the tables agree.
    pub fn follow_up<E: Clone>(&self, table: &MemberTable<E>) -> Option<DeliverRequest<E>> {
        let mut deliver = DeliverRequest { rows: Vec::new(), wanted: Vec::new() };
        for it in &self.differing {
            let mut theirs = it.stamps.clone();
            theirs.sort();
            let ours = table.bucket(usize::from(it.bucket));
            deliver.wanted.extend(newer_keys(&theirs, &ours));
            let to_deliver = newer_keys(&ours, &theirs);
            deliver.rows.extend(to_deliver.filter_map(|key| table.get_by_key(key)).map(|row| Row::clone(row)));
        }
        (!deliver.rows.is_empty() || !deliver.wanted.is_empty()).then_some(deliver)
    }
}

/// The keys whose stamps are newer in `here` than in `there`, or only in `here`; both are sorted by key.
fn newer_keys<'a>(
    here: &'a [(MemberKey, Stamp)],
    there: &'a [(MemberKey, Stamp)],
) -> impl Iterator<Item = MemberKey> + 'a {
    here.iter().filter_map(|(key, stamp)| {
        let known = there.binary_search_by_key(key, |it| it.0).ok().map(|at| there[at].1);
        known.is_none_or(|it| it < *stamp).then_some(*key)
    })
}

impl<E: Clone> DeliverRequest<E> {
    /// Merges the delivered rows into `table`. Returns the response and the rows that are to be pushed to peers.
    pub fn answer(self, table: &mut MemberTable<E>, now: Instant) -> (DeliverResponse<E>, Vec<Row<E>>) {
        let wanted = self.wanted.iter().filter_map(|it| table.get_by_key(*it));
        let rows = wanted.map(|it| Row::clone(it)).collect();
        let updated = table.merge_all(self.rows, now);
        (DeliverResponse { rows }, updated)
    }
}

impl<E: Clone> MemberTable<E> {
    /// Merges rows. Returns those that were newer, and the owner's row if a received one was in conflict with it.
    pub fn merge_all(&mut self, rows: Vec<Row<E>>, now: Instant) -> Vec<Row<E>> {
        let mut updated = Vec::new();
        for row in rows {
            match self.merge(row.clone(), now) {
                MergeResult::Updated => updated.push(row),
                MergeResult::Conflict => updated.push(Row::clone(self.own_row())),
                MergeResult::Ignored => (),
            }
        }
        updated
    }
}

//! The rows one daemon knows, with a digest by buckets.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use crate::{
    rows::row::{EndpointRow, Row, Stamp},
    util::{mix, stable_hash},
};

/// Into how many buckets the digest is cut; chosen by measurement (docs/CAPACITY.md, rows).
pub const BUCKETS: usize = 256;
/// How long the row of a daemon that left is kept, so that a late copy does not bring it back.
const FORGET_LEFT: Duration = Duration::from_secs(600);
/// How long the row of a daemon that is down is kept and its address tried.
const FORGET_DOWN: Duration = Duration::from_secs(6 * 3600);

/// A short name of a daemon in digests.
pub type MemberKey = u64;

/// The short name of a daemon.
pub fn member_key(daemon: &str) -> MemberKey {
    stable_hash(&[daemon.as_bytes()])
}

/// A row and when it was last replaced.
#[derive(Debug, Clone)]
pub struct TableEntry<E = Vec<EndpointRow>> {
    key: MemberKey,
    /// The row.
    pub row: Arc<Row<E>>,
    /// When this daemon took the row in.
    pub since: Instant,
}

impl<E> TableEntry<E> {
    /// The short name of the row's owner.
    pub fn key(&self) -> MemberKey {
        self.key
    }
}

/// What became of a row that was offered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MergeResult {
    /// It was newer and was taken in.
    Updated,
    /// It was known, or older.
    Ignored,
    /// It speaks of this daemon itself and claims what only the owner may.
    Conflict,
}

/// What the owner makes of a row of its name with a higher incarnation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HigherIncarnationPolicy {
    /// Another process has its name, and can't be refuted.
    Accept,
    /// It is of an earlier run, begun before the VM's clock was set back: the owner goes above it.
    Supersede,
}

/// All rows one daemon knows.
pub struct MemberTable<E = Vec<EndpointRow>> {
    own: MemberKey,
    claims: HigherIncarnationPolicy,
    /// Sorted by key, one entry a daemon.
    entries: Vec<TableEntry<E>>,
    /// Each is the sum of the hashes of its rows' stamps.
    buckets: Vec<u32>,
}

impl<E: Clone> MemberTable<E> {
    /// A table that holds the owner's row only.
    pub fn new(own: Row<E>, claims: HigherIncarnationPolicy, now: Instant) -> Self {
        let key = member_key(&own.name);
        let mut table = Self { own: key, claims, entries: Vec::new(), buckets: vec![0; BUCKETS] };
        table.store(key, Arc::new(own), now);
        table
    }

    /// The owner's row.
    pub fn own_row(&self) -> &Arc<Row<E>> {
        let at = self.find(self.own).expect("the owner's row is always there");
        &self.entries[at].row
    }

    /// The short name of the owner.
    pub fn own_key(&self) -> MemberKey {
        self.own
    }

    /// Replaces the owner's row after `edit`, with the next sequence.
    pub fn update_own(&mut self, now: Instant, edit: impl FnOnce(&mut Row<E>)) {
        let mut row = Row::clone(self.own_row());
        edit(&mut row);
        row.stamp.sequence += 1;
        row.stamp.down = false;
        self.store(self.own, Arc::new(row), now);
    }

    /// Takes a row in if it is newer than what is known.
    ///
    /// An unknown row that is down is not taken in: it would come back for ever, since each
    /// daemon forgets it at another time.
    pub fn merge(&mut self, row: Row<E>, now: Instant) -> MergeResult {
        let key = member_key(&row.name);
        let known = self.find(key).map(|at| &self.entries[at].row);
        if known.is_none() && row.stamp.down {
            return MergeResult::Ignored;
        }
        if known.is_some_and(|it| it.stamp >= row.stamp) {
            return MergeResult::Ignored;
        }
        if key == self.own {
            self.refute(row.stamp, now);
            return MergeResult::Conflict;
        }
        self.store(key, Arc::new(row), now);
        MergeResult::Updated
    }

    /// Answers a claim about the owner with a higher stamp, if it may.
    fn refute(&mut self, claim: Stamp, now: Instant) {
        if claim.incarnation == self.own_row().stamp.incarnation {
            self.update_own(now, |it| it.stamp.sequence = claim.sequence);
        } else if self.claims == HigherIncarnationPolicy::Supersede {
            self.update_own(now, |it| it.stamp.incarnation = claim.incarnation + 1);
        }
    }

    /// Marks a daemon as down, as of the stamp that was probed.
    pub fn mark_down(&mut self, daemon: &str, probed: Stamp, now: Instant) -> bool {
        let key = member_key(daemon);
        let Some(at) = self.find(key) else { return false };
        if key == self.own || self.entries[at].row.stamp != probed || probed.down {
            return false;
        }
        let mut row = Row::clone(&self.entries[at].row);
        row.stamp.down = true;
        self.store(key, Arc::new(row), now);
        true
    }

    /// Drops rows of daemons that left or are down for long; whether there were any.
    pub fn remove_expired(&mut self, now: Instant) -> bool {
        let own = self.own;
        let kept = |it: &TableEntry<E>| {
            let limit = match (it.row.leaving, it.row.stamp.down) {
                (true, _) => FORGET_LEFT,
                (false, true) => FORGET_DOWN,
                (false, false) => return true,
            };
            it.key == own || now.saturating_duration_since(it.since) < limit
        };
        let mut dropped = Vec::new();
        self.entries.retain(|it| {
            let keep = kept(it);
            if !keep {
                dropped.push((it.key, it.row.stamp));
            }
            keep
        });
        for (key, stamp) in &dropped {
            self.toggle(*key, *stamp, false);
        }
        !dropped.is_empty()
    }

    /// One number that differs, but by rare chance, where any row differs.
    pub fn digest(&self) -> u64 {
        let words: Vec<u64> = self.buckets.iter().map(|it| u64::from(*it)).collect();
        mix(&words)
    }

    /// All entries, sorted by key.
    pub fn entries(&self) -> &[TableEntry<E>] {
        &self.entries
    }

    /// The row of a daemon.
    pub fn get(&self, daemon: &str) -> Option<&Arc<Row<E>>> {
        self.get_by_key(member_key(daemon))
    }

    /// The row with this short name.
    pub fn get_by_key(&self, key: MemberKey) -> Option<&Arc<Row<E>>> {
        self.find(key).map(|at| &self.entries[at].row)
    }

    /// The digest by buckets.
    pub fn buckets(&self) -> &[u32] {
        &self.buckets
    }

    /// The short names and stamps in one bucket.
    pub fn bucket(&self, bucket: usize) -> Vec<(MemberKey, Stamp)> {
        let (start, end) = bucket_range(bucket);
        let from = self.entries.partition_point(|it| it.key < start);
        let rows = self.entries[from..].iter().take_while(|it| it.key <= end);
        rows.map(|it| (it.key, it.row.stamp)).collect()
    }

    /// The daemons that can be asked: neither down nor this one.
    pub fn live_peers(&self) -> impl Iterator<Item = &Arc<Row<E>>> {
        let own = self.own;
        self.entries.iter().filter(move |it| it.key != own && !it.row.stamp.down).map(|it| &it.row)
    }

    /// The daemons that are held to be down and still tried now and then.
    pub fn down_rows(&self) -> impl Iterator<Item = &Arc<Row<E>>> {
        self.entries.iter().filter(|it| it.row.stamp.down && !it.row.leaving).map(|it| &it.row)
    }

    fn find(&self, key: MemberKey) -> Option<usize> {
        self.entries.binary_search_by_key(&key, |it| it.key).ok()
    }

    fn store(&mut self, key: MemberKey, row: Arc<Row<E>>, now: Instant) {
        let stamp = row.stamp;
        let entry = TableEntry { key, row, since: now };
        match self.entries.binary_search_by_key(&key, |it| it.key) {
            Ok(at) => {
                let old = self.entries[at].row.stamp;
                assert!(old <= stamp, "a row never goes back");
                self.toggle(key, old, false);
                self.entries[at] = entry;
            }
            Err(at) => self.entries.insert(at, entry),
        }
        self.toggle(key, stamp, true);
    }

    /// Adds a stamp to its bucket's sum, or takes it out.
    fn toggle(&mut self, key: MemberKey, stamp: Stamp, add: bool) {
        let hash = stamp_hash(key, stamp);
        let bucket = &mut self.buckets[bucket_of(key)];
        *bucket = if add { bucket.wrapping_add(hash) } else { bucket.wrapping_sub(hash) };
    }
}

fn bucket_of(key: MemberKey) -> usize {
    (key >> (u64::BITS - BUCKETS.trailing_zeros())) as usize
}

fn bucket_range(bucket: usize) -> (MemberKey, MemberKey) {
    let width = u64::MAX / BUCKETS as u64 + 1;
    let start = bucket as u64 * width;
    (start, start + (width - 1))
}

fn stamp_hash(key: MemberKey, stamp: Stamp) -> u32 {
    mix(&[key, stamp.incarnation, stamp.sequence, u64::from(stamp.down)]) as u32
}

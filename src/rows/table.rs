//! The membership table: all rows that a daemon or proxy has received, with a digest of each bucket of keys.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use crate::{
    rows::row::{EndpointRow, Row, Stamp},
    util::{mix, stable_hash},
};

/// The number of buckets that are compared by their digests; a power of two.
pub const BUCKETS: usize = 256;
/// How long the row of a member that left is kept, so that a late copy does not restore it.
const LEFT_RETENTION: Duration = Duration::from_secs(600);
/// How long the row of a member that is down is kept and its address probed.
const DOWN_RETENTION: Duration = Duration::from_secs(6 * 3600);

/// The hash of a member's name, by which digests and exchanges identify it.
pub type MemberKey = u64;

/// Computes the key of the member called `name`.
pub fn member_key(name: &str) -> MemberKey {
    stable_hash(&[name.as_bytes()])
}

/// A row in a membership table.
#[derive(Debug, Clone)]
pub struct TableEntry<E = Vec<EndpointRow>> {
    key: MemberKey,
    /// The row.
    pub row: Arc<Row<E>>,
    /// When the row was stored in this table.
    pub updated_at: Instant,
}

impl<E> TableEntry<E> {
    /// The key of the row's owner.
    pub fn key(&self) -> MemberKey {
        self.key
    }
}

/// What merging a received row did.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MergeResult {
    /// The row was newer and was stored.
    Updated,
    /// The row was not newer, or is of an unknown member that is down.
    Ignored,
    /// The row is of the table's owner and newer than the owner's own row.
    Conflict,
}

/// What the owner does when it receives a row of its own name with a higher incarnation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HigherIncarnationPolicy {
    /// Leave its row unchanged: another process has the same name.
    Accept,
    /// Take an incarnation above it: the row is of an earlier run, before the VM's clock was set back.
    Supersede,
}

/// The membership rows that one daemon or proxy has, including its own.
pub struct MemberTable<E = Vec<EndpointRow>> {
    own_key: MemberKey,
    higher_incarnation: HigherIncarnationPolicy,
    /// Sorted by key, one entry per member.
    entries: Vec<TableEntry<E>>,
    /// Each is the wrapping sum of the hashes of its rows' stamps.
    buckets: Vec<u32>,
}

impl<E: Clone> MemberTable<E> {
    /// Creates a table that holds only the owner's row.
    pub fn new(own: Row<E>, higher_incarnation: HigherIncarnationPolicy, now: Instant) -> Self {
        let key = member_key(&own.name);
        let mut table = Self { own_key: key, higher_incarnation, entries: Vec::new(), buckets: vec![0; BUCKETS] };
        table.store_row(key, Arc::new(own), now);
        table
    }

    /// The owner's row.
    pub fn own_row(&self) -> &Arc<Row<E>> {
        let at = self.find(self.own_key).expect("the table always holds the owner's row");
        &self.entries[at].row
    }

    /// The owner's key.
    pub fn own_key(&self) -> MemberKey {
        self.own_key
    }

    /// Applies `edit` to the owner's row and increments its sequence.
    pub fn update_own(&mut self, now: Instant, edit: impl FnOnce(&mut Row<E>)) {
        let mut row = Row::clone(self.own_row());
        edit(&mut row);
        row.stamp.sequence += 1;
        row.stamp.down = false;
        self.store_row(self.own_key, Arc::new(row), now);
    }

    /// Stores a row if it is newer than the known one.
    ///
    /// An unknown row that is down is ignored: members remove such rows at different times, and would
    /// otherwise restore them to each other forever.
    pub fn merge(&mut self, row: Row<E>, now: Instant) -> MergeResult {
        let key = member_key(&row.name);
        let known = self.find(key).map(|at| &self.entries[at].row);
        if known.is_none() && row.stamp.down {
            return MergeResult::Ignored;
        }
        if known.is_some_and(|it| it.stamp >= row.stamp) {
            return MergeResult::Ignored;
        }
        if key == self.own_key {
            self.supersede(row.stamp, now);
            return MergeResult::Conflict;
        }
        self.store_row(key, Arc::new(row), now);
        MergeResult::Updated
    }

    /// Raises the owner's stamp above the `received` one, if the policy allows it.
    fn supersede(&mut self, received: Stamp, now: Instant) {
        if received.incarnation == self.own_row().stamp.incarnation {
            self.update_own(now, |it| it.stamp.sequence = received.sequence);
        } else if self.higher_incarnation == HigherIncarnationPolicy::Supersede {
            self.update_own(now, |it| it.stamp.incarnation = received.incarnation + 1);
        }
    }

    /// Marks a member as down if its stamp is still the one that was probed; returns whether it did.
    pub fn mark_down(&mut self, name: &str, probed: Stamp, now: Instant) -> bool {
        let key = member_key(name);
        let Some(at) = self.find(key) else { return false };
        if key == self.own_key || self.entries[at].row.stamp != probed || probed.down {
            return false;
        }
        let mut row = Row::clone(&self.entries[at].row);
        row.stamp.down = true;
        self.store_row(key, Arc::new(row), now);
        true
    }

    /// Removes the rows of members that left or went down long ago; returns whether there were any.
    pub fn remove_expired(&mut self, now: Instant) -> bool {
        let own = self.own_key;
        let is_retained = |it: &TableEntry<E>| {
            let retention = match (it.row.leaving, it.row.stamp.down) {
                (true, _) => LEFT_RETENTION,
                (false, true) => DOWN_RETENTION,
                (false, false) => return true,
            };
            it.key == own || now.saturating_duration_since(it.updated_at) < retention
        };
        let mut removed = Vec::new();
        self.entries.retain(|it| {
            let keep = is_retained(it);
            if !keep {
                removed.push((it.key, it.row.stamp));
            }
            keep
        });
        for (key, stamp) in &removed {
            self.update_bucket(*key, *stamp, false);
        }
        !removed.is_empty()
    }

    /// The digest of the whole table; tables with different rows have different digests, except for collisions.
    pub fn digest(&self) -> u64 {
        let words: Vec<u64> = self.buckets.iter().map(|it| u64::from(*it)).collect();
        mix(&words)
    }

    /// All entries, sorted by key.
    pub fn entries(&self) -> &[TableEntry<E>] {
        &self.entries
    }

    /// The row of the member called `name`.
    pub fn get(&self, name: &str) -> Option<&Arc<Row<E>>> {
        self.get_by_key(member_key(name))
    }

    /// The row of the member with this key.
    pub fn get_by_key(&self, key: MemberKey) -> Option<&Arc<Row<E>>> {
        self.find(key).map(|at| &self.entries[at].row)
    }

    /// The digest of each bucket.
    pub fn buckets(&self) -> &[u32] {
        &self.buckets
    }

    /// The keys and stamps in one bucket, sorted by key.
    pub fn bucket(&self, bucket: usize) -> Vec<(MemberKey, Stamp)> {
        let (start, end) = bucket_range(bucket);
        let from = self.entries.partition_point(|it| it.key < start);
        let rows = self.entries[from..].iter().take_while(|it| it.key <= end);
        rows.map(|it| (it.key, it.row.stamp)).collect()
    }

    /// The rows of the other members that are not marked as down.
    pub fn live_peers(&self) -> impl Iterator<Item = &Arc<Row<E>>> {
        let own = self.own_key;
        self.entries.iter().filter(move |it| it.key != own && !it.row.stamp.down).map(|it| &it.row)
    }

    /// The rows of members that are marked as down and did not leave; their addresses are still probed.
    pub fn down_rows(&self) -> impl Iterator<Item = &Arc<Row<E>>> {
        self.entries.iter().filter(|it| it.row.stamp.down && !it.row.leaving).map(|it| &it.row)
    }

    fn find(&self, key: MemberKey) -> Option<usize> {
        self.entries.binary_search_by_key(&key, |it| it.key).ok()
    }

    fn store_row(&mut self, key: MemberKey, row: Arc<Row<E>>, now: Instant) {
        let stamp = row.stamp;
        let entry = TableEntry { key, row, updated_at: now };
        match self.entries.binary_search_by_key(&key, |it| it.key) {
            Ok(at) => {
                let old = self.entries[at].row.stamp;
                assert!(old <= stamp, "a row's stamp never decreases");
                self.update_bucket(key, old, false);
                self.entries[at] = entry;
            }
            Err(at) => self.entries.insert(at, entry),
        }
        self.update_bucket(key, stamp, true);
    }

    /// Adds a stamp to the digest of its bucket, or removes it.
    fn update_bucket(&mut self, key: MemberKey, stamp: Stamp, add: bool) {
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

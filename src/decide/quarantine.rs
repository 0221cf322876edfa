//! Decides which requests are quarantined because they crash the endpoints that run them. Otherwise one such request,
//! sent again and again, takes down all endpoints of a service and fails all other requests running there.
//!
//! Endpoints also crash for other reasons, so all requests that ran at a crash are only suspect, and one suspect at a
//! time may run at an endpoint: the next crash tells them apart. Crashes at the same time count once, since the one was
//! not known yet when the requests of the other started. A quarantined request can't get a good answer, hence the few
//! trials.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use super::fingerprint::Fingerprint;
use crate::util::mix;

/// Evidence at which a request is quarantined.
const QUARANTINE_AT: u32 = 3;
/// Evidence from a crash when the request was not suspect at its start, or another suspect was running too.
const SHARED_EVIDENCE: u32 = 1;
/// Evidence from a crash when the request was the only suspect.
const SOLE_SUSPECT_EVIDENCE: u32 = 2;
/// Delays before the first, second and last trial of a quarantined request. There are no more trials, as each may
/// crash an endpoint.
const TRIAL_DELAYS: [Duration; 3] = [Duration::from_secs(30), Duration::from_secs(300), Duration::from_secs(3_600)];
/// Retention of a record that is not quarantined: longer than callers retry.
const RETENTION: Duration = Duration::from_secs(600);
/// Retention of a quarantined record after its last change or request.
const QUARANTINE_RETENTION: Duration = Duration::from_secs(24 * 3_600);
/// Most records kept: enough for the running requests of many endpoints that crash within `RETENTION`.
const MAX_RECORDS: usize = 2_048;

/// Evidence that a request crashes endpoints. Records merge field by field, so all proxies converge whatever the
/// order of the updates.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct CrashRecord {
    /// How often a good answer cleared the request; the other fields count from the last time.
    cleared: u32,
    /// Evidence from crashes; the request is quarantined from `QUARANTINE_AT` on.
    evidence: u32,
    /// Trials started.
    trials: u32,
}

impl CrashRecord {
    /// The evidence from crashes since the last good answer.
    pub fn evidence(self) -> u32 {
        self.evidence
    }

    /// Whether the request is quarantined.
    pub fn is_quarantined(self) -> bool {
        self.evidence >= QUARANTINE_AT
    }

    /// Whether a good answer cleared the request and there is no evidence since.
    pub fn is_cleared(self) -> bool {
        self.cleared > 0 && self.evidence == 0
    }

    /// Whether an endpoint crashed while running the request, and no good answer cleared it since.
    pub fn is_suspect(self) -> bool {
        self.evidence > 0
    }

    /// Number of trials started since the last good answer.
    pub fn trials(self) -> u32 {
        self.trials
    }

    /// The record after the start of one more trial.
    pub fn with_trial(self) -> Self {
        Self { trials: self.trials.saturating_add(1), ..self }
    }

    fn merge(self, other: Self) -> Self {
        match self.cleared.cmp(&other.cleared) {
            std::cmp::Ordering::Less => other,
            std::cmp::Ordering::Greater => self,
            std::cmp::Ordering::Equal => {
                Self { evidence: self.evidence.max(other.evidence), trials: self.trials.max(other.trials), ..self }
            }
        }
    }

    /// The record after a crash, based on the record from when the request started, so that simultaneous crashes count
    /// once.
    fn after_crash(self, only_suspect: bool) -> Self {
        let added = if self.is_suspect() && only_suspect { SOLE_SUSPECT_EVIDENCE } else { SHARED_EVIDENCE };
        Self { evidence: self.evidence.saturating_add(added), ..self }
    }

    fn after_good_answer(self) -> Self {
        Self { cleared: self.cleared.saturating_add(1), ..Self::default() }
    }
}

/// A crash record as proxies exchange it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashRecordUpdate {
    /// The request.
    pub fingerprint: Fingerprint,
    /// Its crash record.
    #[serde(rename = "case")]
    pub record: CrashRecord,
    /// Time since the record changed or the request last arrived.
    pub age: Duration,
}

#[derive(Debug, Clone, Copy)]
struct Entry {
    fingerprint: Fingerprint,
    record: CrashRecord,
    /// When the record changed or the request last arrived, at any proxy.
    last_active: Instant,
    /// Start of the current trial delay: when this proxy learnt of the last change, or postponed the trial.
    delay_start: Instant,
}

impl Entry {
    fn is_expired(&self, now: Instant) -> bool {
        let retention = if self.record.is_quarantined() { QUARANTINE_RETENTION } else { RETENTION };
        now.saturating_duration_since(self.last_active) >= retention
    }
}

/// The crash records of all requests known to this proxy.
///
/// A crash makes every request that was running at the endpoint suspect. Guards run one suspect at a time, so the
/// next crash shows which request causes it: one that was already suspect at its start, and the only suspect, is
/// quarantined. A good answer clears a request. A quarantined request gets a few trials at growing intervals.
#[derive(Debug, Default)]
pub struct Quarantine {
    /// Sorted by fingerprint; at most `MAX_RECORDS`.
    entries: Vec<Entry>,
}

impl Quarantine {
    /// The crash record of a request; empty if there is none.
    pub fn crash_record(&self, fingerprint: Fingerprint) -> CrashRecord {
        self.find(fingerprint).map_or_else(|_| CrashRecord::default(), |at| self.entries[at].record)
    }

    /// Renews the retention of a request that has just arrived, and returns its crash record.
    pub fn touch(&mut self, fingerprint: Fingerprint, now: Instant) -> CrashRecord {
        let Ok(at) = self.find(fingerprint) else { return CrashRecord::default() };
        self.entries[at].last_active = now;
        self.entries[at].record
    }

    /// Records the crash of an endpoint that was running these requests, each with its crash record from when it
    /// started. Returns the requests whose records changed.
    pub fn record_crash(&mut self, running: &[(Fingerprint, CrashRecord)], now: Instant) -> Vec<Fingerprint> {
        let suspect = |it: &&(Fingerprint, CrashRecord)| self.crash_record(it.0).is_suspect();
        let suspects: Vec<Fingerprint> = running.iter().filter(suspect).map(|it| it.0).collect();
        let mut changed = Vec::new();
        for (fingerprint, at_start) in running {
            let only_suspect = suspects.iter().all(|it| it == fingerprint);
            if self.merge(*fingerprint, at_start.after_crash(only_suspect), now) {
                changed.push(*fingerprint);
            }
        }
        changed
    }

    /// Clears a request that an endpoint answered well. Returns whether its record changed.
    pub fn record_success(&mut self, fingerprint: Fingerprint, now: Instant) -> bool {
        let record = self.crash_record(fingerprint);
        record.is_suspect() && self.merge(fingerprint, record.after_good_answer(), now)
    }

    /// Merges a record received just now. Returns whether the local record changed.
    pub fn merge(&mut self, fingerprint: Fingerprint, record: CrashRecord, now: Instant) -> bool {
        self.merge_update(&CrashRecordUpdate { fingerprint, record, age: Duration::ZERO }, now)
    }

    /// Merges an update from another proxy. Returns whether the local record changed.
    pub fn merge_update(&mut self, update: &CrashRecordUpdate, now: Instant) -> bool {
        let last_active = now.checked_sub(update.age).unwrap_or(now);
        let new = Entry { fingerprint: update.fingerprint, record: update.record, last_active, delay_start: now };
        if update.record == CrashRecord::default() || new.is_expired(now) {
            return false;
        }
        match self.find(update.fingerprint) {
            Ok(at) => {
                let known = &mut self.entries[at];
                let before = known.record;
                known.record = before.merge(update.record);
                known.last_active = known.last_active.max(last_active);
                let is_changed = known.record != before;
                if is_changed {
                    known.delay_start = now;
                }
                is_changed
            }
            Err(at) => {
                self.entries.insert(at, new);
                self.evict();
                true
            }
        }
    }

    /// Time until the next trial of a quarantined request; `None` if it has no trials left or no record.
    pub fn next_trial_in(&self, fingerprint: Fingerprint, now: Instant) -> Option<Duration> {
        let it = &self.entries[self.find(fingerprint).ok()?];
        let delay = TRIAL_DELAYS.get(it.record.trials as usize)?;
        Some(delay.saturating_sub(now.saturating_duration_since(it.delay_start)))
    }

    /// Restarts the delay before the next trial, when the trial could not start or another proxy started it.
    pub fn postpone_trial(&mut self, fingerprint: Fingerprint, now: Instant) {
        if let Ok(at) = self.find(fingerprint) {
            self.entries[at].delay_start = now;
        }
    }

    /// All records, to send to another proxy.
    pub fn updates(&self, now: Instant) -> Vec<CrashRecordUpdate> {
        let update = |it: &Entry| CrashRecordUpdate {
            fingerprint: it.fingerprint,
            record: it.record,
            age: now.saturating_duration_since(it.last_active),
        };
        self.entries.iter().map(update).collect()
    }

    /// The number of suspect requests, and how many of them are quarantined.
    pub fn counts(&self) -> (usize, usize) {
        let count = |predicate: fn(CrashRecord) -> bool| self.entries.iter().filter(|it| predicate(it.record)).count();
        (count(CrashRecord::is_suspect), count(CrashRecord::is_quarantined))
    }

    /// A hash of all records, independent of their order; it differs where any record differs.
    pub fn digest(&self) -> u64 {
        let hash = |it: &Entry| {
            let CrashRecord { cleared, evidence, trials } = it.record;
            mix(&[it.fingerprint.as_u64(), cleared.into(), evidence.into(), trials.into()])
        };
        self.entries.iter().map(hash).fold(0, u64::wrapping_add)
    }

    /// Drops the records whose retention has ended.
    pub fn remove_expired(&mut self, now: Instant) {
        self.entries.retain(|it| !it.is_expired(now));
    }

    fn find(&self, fingerprint: Fingerprint) -> Result<usize, usize> {
        self.entries.binary_search_by_key(&fingerprint, |it| it.fingerprint)
    }

    /// Drops one entry if there are too many: the oldest that is not quarantined, or the oldest of all.
    fn evict(&mut self) {
        if self.entries.len() <= MAX_RECORDS {
            return;
        }
        let victim = (0..self.entries.len()).min_by_key(|at| {
            let it = &self.entries[*at];
            (it.record.is_quarantined(), it.last_active)
        });
        if let Some(at) = victim {
            self.entries.remove(at);
        }
    }
}

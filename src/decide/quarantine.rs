//! Requests that end the endpoints which work on them.
//!
//! Load pattern: one request ends every endpoint that begins to work on it, and comes again and again, under new ids and at
//! any VM. Each time all other work at the endpoint is lost, and a service of a few endpoints is gone within seconds; but
//! endpoints also end for many other reasons, and whatever they work on then is not to blame.
//!
//! So all the work that an endpoint had when it ended is suspect, and of suspect requests one at a time may be at an
//! endpoint: the next end tells them apart. A request under which an endpoint ended, though the request was suspect already
//! when it began there, is held back everywhere. Ends at the same time count once, since nothing was known of the one when
//! the other's work began: where many endpoints are lost together, what they all worked on is not held back for it. Any
//! good answer clears a request. What is held back could never get one, so it has a few trials, further and further apart:
//! one that ends its endpoints costs a few of them in all, and one that was there by bad luck is free after the first.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use super::fingerprint::Fingerprint;
use crate::util::mix;

/// A request with so much evidence against it is held back.
const HELD_AT: u32 = 3;
/// Evidence by the end of an endpoint that worked on it: nothing was known of it yet, or it may have been another suspect.
const ONE_OF_SEVERAL: u32 = 1;
/// Evidence by the end of an endpoint at which nothing else was suspect.
const ONLY_SUSPECT: u32 = 2;
/// The pauses before the trials of a request that is held back. It gets no more of them than these: each may cost an endpoint
/// and all that works there.
const TRIALS_AFTER: [Duration; 3] = [Duration::from_secs(30), Duration::from_secs(300), Duration::from_secs(3_600)];
/// For how long a request that is not held back is remembered: longer than callers go on asking.
const REMEMBERED: Duration = Duration::from_secs(600);
/// For how long one that is held back is remembered after it came last.
const HELD_REMEMBERED: Duration = Duration::from_secs(24 * 3_600);
/// How many are remembered at most: the work of all slots of many endpoints that ended within `REMEMBERED`.
const MOST: usize = 2_048;

/// What is known against a request. Merged field by field, so that all proxies agree whatever they hear first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct CrashRecord {
    /// How often a good answer cleared it. The rest is of the time since.
    cleared: u32,
    /// The evidence by endpoints that ended under it; `HELD_AT` and more hold it back.
    evidence: u32,
    /// Trials that began.
    trials: u32,
}

impl CrashRecord {
    /// How much speaks against it.
    pub fn evidence(self) -> u32 {
        self.evidence
    }

    /// Whether it is held back.
    pub fn is_quarantined(self) -> bool {
        self.evidence >= HELD_AT
    }

    /// Whether it was cleared, and nothing speaks against it since.
    pub fn is_cleared(self) -> bool {
        self.cleared > 0 && self.evidence == 0
    }

    /// Whether an endpoint ended under it, and nothing cleared it since.
    pub fn is_suspect(self) -> bool {
        self.evidence > 0
    }

    /// How many trials began.
    pub fn trials(self) -> u32 {
        self.trials
    }

    /// With one more trial.
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

    /// After an endpoint ended under work that began when this was known of it.
    fn after_end(self, only_suspect: bool) -> Self {
        let more = if self.is_suspect() && only_suspect { ONLY_SUSPECT } else { ONE_OF_SEVERAL };
        Self { evidence: self.evidence.saturating_add(more), ..self }
    }

    fn after_good_answer(self) -> Self {
        Self { cleared: self.cleared.saturating_add(1), ..Self::default() }
    }
}

/// A case as proxies tell it each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashRecordUpdate {
    /// Of which request.
    pub fingerprint: Fingerprint,
    /// What is known.
    #[serde(rename = "case")]
    pub record: CrashRecord,
    /// How long ago that changed, or the request came last.
    pub age: Duration,
}

#[derive(Debug, Clone, Copy)]
struct Entry {
    fingerprint: Fingerprint,
    record: CrashRecord,
    /// When the case changed, or the request came last, anywhere.
    touched: Instant,
    /// When this proxy heard of the last change, or put a trial off.
    since: Instant,
}

impl Entry {
    fn is_over(&self, now: Instant) -> bool {
        let kept = if self.record.is_quarantined() { HELD_REMEMBERED } else { REMEMBERED };
        now.saturating_duration_since(self.touched) >= kept
    }
}

/// What is known against all requests.
#[derive(Debug, Default)]
pub struct Quarantine {
    /// Sorted by fingerprint; at most `MOST`.
    entries: Vec<Entry>,
}

impl Quarantine {
    /// What is known against a request.
    pub fn crash_record(&self, fingerprint: Fingerprint) -> CrashRecord {
        self.find(fingerprint).map_or_else(|_| CrashRecord::default(), |at| self.entries[at].record)
    }

    /// What is known against a request that has just come.
    pub fn touch(&mut self, fingerprint: Fingerprint, now: Instant) -> CrashRecord {
        let Ok(at) = self.find(fingerprint) else { return CrashRecord::default() };
        self.entries[at].touched = now;
        self.entries[at].record
    }

    /// An endpoint ended under this work, each piece with what was known against it when it began. Returns of which
    /// requests that is news.
    pub fn record_crash(&mut self, work: &[(Fingerprint, CrashRecord)], now: Instant) -> Vec<Fingerprint> {
        let suspect = |it: &&(Fingerprint, CrashRecord)| self.crash_record(it.0).is_suspect();
        let suspects: Vec<Fingerprint> = work.iter().filter(suspect).map(|it| it.0).collect();
        let mut news = Vec::new();
        for (fingerprint, known) in work {
            let only_suspect = suspects.iter().all(|it| it == fingerprint);
            if self.merge(*fingerprint, known.after_end(only_suspect), now) {
                news.push(*fingerprint);
            }
        }
        news
    }

    /// An endpoint answered the request well. Returns whether that is news.
    pub fn record_success(&mut self, fingerprint: Fingerprint, now: Instant) -> bool {
        let record = self.crash_record(fingerprint);
        record.is_suspect() && self.merge(fingerprint, record.after_good_answer(), now)
    }

    /// Takes in what another knows of a request. Returns whether that is news.
    pub fn merge(&mut self, fingerprint: Fingerprint, record: CrashRecord, now: Instant) -> bool {
        self.merge_update(&CrashRecordUpdate { fingerprint, record, age: Duration::ZERO }, now)
    }

    /// Takes in what another proxy tells. Returns whether that is news.
    pub fn merge_update(&mut self, told: &CrashRecordUpdate, now: Instant) -> bool {
        let touched = now.checked_sub(told.age).unwrap_or(now);
        let new = Entry { fingerprint: told.fingerprint, record: told.record, touched, since: now };
        if told.record == CrashRecord::default() || new.is_over(now) {
            return false;
        }
        match self.find(told.fingerprint) {
            Ok(at) => {
                let known = &mut self.entries[at];
                let before = known.record;
                known.record = before.merge(told.record);
                known.touched = known.touched.max(touched);
                let is_news = known.record != before;
                if is_news {
                    known.since = now;
                }
                is_news
            }
            Err(at) => {
                self.entries.insert(at, new);
                self.make_room();
                true
            }
        }
    }

    /// How long until a request that is held back may have its next trial; `None` if it has had all.
    pub fn next_trial_in(&self, fingerprint: Fingerprint, now: Instant) -> Option<Duration> {
        let it = &self.entries[self.find(fingerprint).ok()?];
        let pause = TRIALS_AFTER.get(it.record.trials as usize)?;
        Some(pause.saturating_sub(now.saturating_duration_since(it.since)))
    }

    /// The next trial is due after its whole pause from now: it could not begin, or another proxy has begun it.
    pub fn postpone_trial(&mut self, fingerprint: Fingerprint, now: Instant) {
        if let Ok(at) = self.find(fingerprint) {
            self.entries[at].since = now;
        }
    }

    /// All cases, to be told to another proxy.
    pub fn updates(&self, now: Instant) -> Vec<CrashRecordUpdate> {
        let tell = |it: &Entry| CrashRecordUpdate {
            fingerprint: it.fingerprint,
            record: it.record,
            age: now.saturating_duration_since(it.touched),
        };
        self.entries.iter().map(tell).collect()
    }

    /// How many requests are suspect, and how many of them are held back.
    pub fn counts(&self) -> (usize, usize) {
        let count = |which: fn(CrashRecord) -> bool| self.entries.iter().filter(|it| which(it.record)).count();
        (count(CrashRecord::is_suspect), count(CrashRecord::is_quarantined))
    }

    /// One number that differs where any case differs.
    pub fn digest(&self) -> u64 {
        let hash = |it: &Entry| {
            let CrashRecord { cleared, evidence, trials } = it.record;
            mix(&[it.fingerprint.as_u64(), cleared.into(), evidence.into(), trials.into()])
        };
        self.entries.iter().map(hash).fold(0, u64::wrapping_add)
    }

    /// Forgets what is over.
    pub fn remove_expired(&mut self, now: Instant) {
        self.entries.retain(|it| !it.is_over(now));
    }

    fn find(&self, fingerprint: Fingerprint) -> Result<usize, usize> {
        self.entries.binary_search_by_key(&fingerprint, |it| it.fingerprint)
    }

    /// Drops the least important entry if there are too many: what isn't held back first, and of that the oldest.
    fn make_room(&mut self) {
        if self.entries.len() <= MOST {
            return;
        }
        let least = (0..self.entries.len()).min_by_key(|at| {
            let it = &self.entries[*at];
            (it.record.is_quarantined(), it.touched)
        });
        if let Some(at) = least {
            self.entries.remove(at);
        }
    }
}

//! Decides whether an announcement comes from the known incarnation of an endpoint, a newer one or a former one, so
//! that late announcements neither revive an ended incarnation nor end its successor.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Start times further in the future than this are dropped: with one of them, no later incarnation would count as
/// newer.
const MAX_CLOCK_SKEW: Duration = Duration::from_secs(60);

/// Milliseconds since the Unix epoch by the VM's clock.
pub type UnixMillis = u64;

/// Identifies one incarnation of an endpoint.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct EndpointId {
    /// The name that the endpoint announces; its incarnations may share it.
    pub name: Box<str>,
    /// Start of the incarnation; `None` if the endpoint doesn't announce it.
    #[serde(rename = "born")]
    pub started_at: Option<UnixMillis>,
}

impl EndpointId {
    /// Drops `started_at` if it lies more than a minute after `now`.
    pub fn new(name: &str, started_at: Option<UnixMillis>, now: UnixMillis) -> Self {
        let max_skew = UnixMillis::try_from(MAX_CLOCK_SKEW.as_millis()).unwrap_or(UnixMillis::MAX);
        Self { name: name.into(), started_at: started_at.filter(|it| *it <= now.saturating_add(max_skew)) }
    }
}

/// The incarnation that a guard has on record.
#[derive(Debug, Clone, Copy)]
pub struct KnownIncarnation<'a> {
    /// Its name and start time.
    pub id: &'a EndpointId,
    /// Sequence number of its last announcement.
    pub sequence: u64,
    /// Whether it takes requests.
    pub accepts_work: bool,
    /// Time since its last announcement, in heartbeat intervals.
    pub missed_heartbeats: f64,
}

/// An incarnation that announced itself while none was known and that no health check has confirmed.
#[derive(Debug, Clone, Copy)]
pub struct UnconfirmedIncarnation<'a> {
    /// Its name and start time.
    pub id: &'a EndpointId,
    /// Sequence number of its first announcement.
    pub first_sequence: u64,
    /// Time since that announcement, in heartbeat intervals.
    pub heartbeats_since_first: f64,
}

/// What an announcement means for the known incarnation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnnouncementClass {
    /// A duplicate, a late announcement, or one of a former incarnation.
    Stale,
    /// A newer announcement of the known incarnation.
    Update,
    /// A newer incarnation, which replaces the known one.
    NewIncarnation,
    /// An endpoint that a probe of the address has to confirm: another one although the known one seems to be alive, or
    /// any while none is known, as its leaving may have been acknowledged before this process started.
    Unconfirmed,
}

/// Missed heartbeats after which an endpoint may have crashed.
const MAYBE_DEAD_AFTER_HEARTBEATS: f64 = 2.0;
/// Missed heartbeats after which an endpoint counts as dead; announcements are late by less than this.
pub const DEAD_AFTER_HEARTBEATS: f64 = 4.0;

/// Classifies the announcement number `sequence` of the incarnation `announced`.
pub fn classify_announcement(
    known: Option<KnownIncarnation<'_>>,
    unconfirmed: Option<UnconfirmedIncarnation<'_>>,
    retired: &[EndpointId],
    announced: &EndpointId,
    sequence: u64,
) -> AnnouncementClass {
    let Some(known) = known else {
        // One that still announces itself so long after its first announcement here isn't leaving: the later one was
        // sent after this process started.
        let goes_on = unconfirmed.is_some_and(|it| {
            it.id == announced && sequence > it.first_sequence && it.heartbeats_since_first >= DEAD_AFTER_HEARTBEATS
        });
        return match (is_retired(retired, announced), goes_on) {
            (true, _) => AnnouncementClass::Stale,
            (false, true) => AnnouncementClass::NewIncarnation,
            (false, false) => AnnouncementClass::Unconfirmed,
        };
    };
    let earlier = announced.started_at.zip(known.id.started_at).is_some_and(|(announced, known)| announced < known);
    let later = announced.started_at.zip(known.id.started_at).is_some_and(|(announced, known)| announced > known);
    if earlier && known.missed_heartbeats >= DEAD_AFTER_HEARTBEATS {
        // The VM's clock was set back between the two starts.
        return AnnouncementClass::NewIncarnation;
    }
    // The known incarnation itself can look retired, if the clock was set back before it started.
    if earlier || (announced != known.id && is_retired(retired, announced)) {
        return AnnouncementClass::Stale;
    }
    if announced.name == known.id.name {
        return match (later, sequence > known.sequence) {
            (true, _) => AnnouncementClass::NewIncarnation,
            (false, true) => AnnouncementClass::Update,
            (false, false) => AnnouncementClass::Stale,
        };
    }
    if known.accepts_work && known.missed_heartbeats < MAYBE_DEAD_AFTER_HEARTBEATS {
        AnnouncementClass::Unconfirmed
    } else {
        AnnouncementClass::NewIncarnation
    }
}

/// Whether `id` is in `retired`, or started no later than a retired incarnation of the same name.
pub fn is_retired(retired: &[EndpointId], id: &EndpointId) -> bool {
    retired.iter().any(|it| it.name == id.name && id.started_at <= it.started_at)
}

//! What an announcement says of the endpoint beside this proxy: the same life of it, a later one, or an earlier one.
//!
//! Load pattern: endpoints crash and start again, some under the id that they had, and their announcements come
//! seconds late, or from someone else. An earlier life must neither come back nor end the later one; a later one must
//! get work with its first announcement.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// A start that lies further ahead than this by the VM's clock is not believed: clocks are set wrong by seconds, and
/// a life that claims to be the last there will ever be would keep all later ones out.
const AHEAD: Duration = Duration::from_secs(60);

/// Milliseconds since 1970 by the VM's clock.
pub type UnixMillis = u64;

/// Names one life of an endpoint.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct EndpointId {
    /// What the endpoint calls itself; it may have had a life under this name before.
    pub name: Box<str>,
    /// When this life began; `None` if it has not said so.
    #[serde(rename = "born")]
    pub started_at: Option<UnixMillis>,
}

impl EndpointId {
    /// With a start that is believed only if it is not far in the future.
    pub fn new(name: &str, started_at: Option<UnixMillis>, now: UnixMillis) -> Self {
        let ahead = UnixMillis::try_from(AHEAD.as_millis()).unwrap_or(UnixMillis::MAX);
        Self { name: name.into(), started_at: started_at.filter(|it| *it <= now.saturating_add(ahead)) }
    }
}

/// The life that is known.
#[derive(Debug, Clone, Copy)]
pub struct KnownIncarnation<'a> {
    /// Which.
    pub id: &'a EndpointId,
    /// Of its last announcement.
    pub sequence: u64,
    /// Whether it takes work.
    pub accepts_work: bool,
    /// How long ago it was heard, in the rhythm of its announcements.
    pub missed_heartbeats: f64,
}

/// What an announcement means.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnnouncementClass {
    /// It says nothing new, or is a former life's.
    Stale,
    /// It is the known life's, and newer than what it said before.
    Update,
    /// It is a later life's; the known one is over.
    NewIncarnation,
    /// It names another endpoint while the known one seems to be alive: ask at the address.
    Unconfirmed,
}

/// An endpoint that was not heard for this long may have ended without a word.
const QUIET_BEATS: f64 = 2.0;
/// An endpoint that was not heard for this long has ended: announcements come late, but not by as much.
pub const DEAD_AFTER_HEARTBEATS: f64 = 4.0;

/// Judges an announcement of `told` with its `sequence`.
pub fn classify_announcement(
    known: Option<KnownIncarnation<'_>>,
    retired: &[EndpointId],
    told: &EndpointId,
    sequence: u64,
) -> AnnouncementClass {
    let Some(known) = known else {
        return if is_retired(retired, told) { AnnouncementClass::Stale } else { AnnouncementClass::NewIncarnation };
    };
    let earlier = told.started_at.zip(known.id.started_at).is_some_and(|(told, known)| told < known);
    let later = told.started_at.zip(known.id.started_at).is_some_and(|(told, known)| told > known);
    if earlier && known.missed_heartbeats >= DEAD_AFTER_HEARTBEATS {
        // The clock was set back between the two starts.
        return AnnouncementClass::NewIncarnation;
    }
    // The known life itself may have followed one whose start seems later.
    if earlier || (told != known.id && is_retired(retired, told)) {
        return AnnouncementClass::Stale;
    }
    if told.name == known.id.name {
        return match (later, sequence > known.sequence) {
            (true, _) => AnnouncementClass::NewIncarnation,
            (false, true) => AnnouncementClass::Update,
            (false, false) => AnnouncementClass::Stale,
        };
    }
    if known.accepts_work && known.missed_heartbeats < QUIET_BEATS {
        AnnouncementClass::Unconfirmed
    } else {
        AnnouncementClass::NewIncarnation
    }
}

/// Whether a life is over, or is earlier than one under its name that is.
pub fn is_retired(retired: &[EndpointId], id: &EndpointId) -> bool {
    retired.iter().any(|it| it.name == id.name && id.started_at <= it.started_at)
}

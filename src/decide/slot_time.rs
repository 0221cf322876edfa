//! Accounts for the time of an endpoint's slots by use, so that lost capacity can be traced to its cause. The totals,
//! with the time of current runs, add up to the number of slots times the elapsed time.

use std::time::{Duration, Instant};

use super::suspicion::EndpointStanding;

/// What a slot's time was spent on. The uses from `Blocked` on say why slots were free.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SlotUse {
    /// Running requests that the endpoint answered well.
    Answered,
    /// Running requests that failed or got an incomplete answer.
    Failed,
    /// Running requests that failed because a nested call of theirs failed.
    CallFailed,
    /// Requests that the endpoint declined.
    Declined,
    /// Requests whose caller disconnected or whose deadline passed.
    Abandoned,
    /// Granted to an ingress that had not started to run its request.
    Offered,
    /// Free, while requests were waiting here.
    Blocked,
    /// Free, while the endpoint was declining or suspect.
    Distrusted,
    /// Not usable yet, while the endpoint warms up.
    Cold,
    /// Free, while no request was waiting here.
    Idle,
    /// Free, while the endpoint's rate limit let no request start.
    Limited,
}

impl SlotUse {
    /// All uses, in the order of their totals.
    pub const ALL: [Self; 11] = [
        Self::Answered,
        Self::Failed,
        Self::CallFailed,
        Self::Declined,
        Self::Abandoned,
        Self::Offered,
        Self::Blocked,
        Self::Distrusted,
        Self::Cold,
        Self::Idle,
        Self::Limited,
    ];

    /// The label in events and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::Failed => "failed",
            Self::CallFailed => "call-failed",
            Self::Declined => "declined",
            Self::Abandoned => "abandoned",
            Self::Offered => "offered",
            Self::Blocked => "blocked",
            Self::Distrusted => "distrusted",
            Self::Cold => "cold",
            Self::Idle => "idle",
            Self::Limited => "limited",
        }
    }
}

/// How the slots are occupied at one moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct SlotOccupancy {
    /// All slots of the endpoint; 0 while it takes no requests.
    pub slots: u32,
    /// Slots that may be used now; fewer while the endpoint warms up.
    pub usable: u32,
    /// Slots granted to ingresses that have not started to run their requests.
    pub unused_grants: u32,
    /// Slots with a running request.
    pub running: u32,
    /// The endpoint's standing.
    pub standing: EndpointStanding,
    /// Whether requests wait here for a slot.
    pub has_waiters: bool,
    /// Whether the endpoint's rate limit lets no request start.
    pub rate_limited: bool,
}

impl SlotOccupancy {
    /// The use that free slots count as.
    fn free_use(&self) -> SlotUse {
        if self.rate_limited {
            return SlotUse::Limited;
        }
        match (self.standing, self.has_waiters) {
            (EndpointStanding::Suspect | EndpointStanding::Declining, _) => SlotUse::Distrusted,
            (EndpointStanding::Clean, true) => SlotUse::Blocked,
            (EndpointStanding::Clean, false) => SlotUse::Idle,
        }
    }
}

/// Slot time of one guard by use, as totals since the guard's start.
#[derive(Debug, Clone, Default)]
pub struct SlotTime {
    /// As of `updated_at`.
    occupancy: SlotOccupancy,
    /// The time of the last [`advance`](Self::advance); `None` before the first.
    updated_at: Option<Instant>,
    /// Indexed by [`SlotUse`].
    totals: [Duration; SlotUse::ALL.len()],
}

impl SlotTime {
    /// Adds the time since the last call, spent under the previous occupancy, and sets the current one.
    pub fn advance(&mut self, current: SlotOccupancy, now: Instant) {
        let elapsed = self.updated_at.map_or(Duration::ZERO, |it| now.saturating_duration_since(it));
        let SlotOccupancy { slots, usable, unused_grants, running, .. } = self.occupancy;
        let taken = unused_grants + running;
        let free = usable.saturating_sub(taken);
        self.add(SlotUse::Offered, elapsed * unused_grants);
        self.add(self.occupancy.free_use(), elapsed * free);
        self.add(SlotUse::Cold, elapsed * slots.saturating_sub(usable.max(taken)));
        self.occupancy = current;
        self.updated_at = Some(now);
    }

    /// Adds the time of a run that has ended.
    pub fn add_work(&mut self, slot_use: SlotUse, took: Duration) {
        self.add(slot_use, took);
    }

    /// The total of one use.
    pub fn total(&self, slot_use: SlotUse) -> Duration {
        self.totals[slot_use as usize]
    }

    fn add(&mut self, slot_use: SlotUse, time: Duration) {
        self.totals[slot_use as usize] += time;
    }
}

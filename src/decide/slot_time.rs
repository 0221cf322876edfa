//! Where the time of an endpoint's slots goes.
//!
//! Slots are what is short on a bad day, so each policy is a claim about one of these sums. Together they are the
//! slots times the time that passed.

use std::time::{Duration, Instant};

use super::suspicion::EndpointStanding;

/// What a slot's time was spent on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SlotUse {
    /// Work that the endpoint answered well.
    Answered,
    /// Work that it failed, or whose answer was not whole.
    Failed,
    /// Work that failed because a call that it made was not answered well.
    CallFailed,
    /// Work that the endpoint declined.
    Declined,
    /// Work whose caller left, or whose time was over.
    Abandoned,
    /// Offered to an ingress that had not begun to use it yet.
    Offered,
    /// Free, while work for the service waited here.
    Blocked,
    /// Free, and kept from work since the endpoint failed or declined work of late.
    Distrusted,
    /// Kept free while the endpoint warms up.
    Cold,
    /// Free, and no work waited here.
    Idle,
}

impl SlotUse {
    /// All uses, in the order of their sums.
    pub const ALL: [Self; 10] = [
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
    ];

    /// As written in events and metrics.
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
        }
    }
}

/// How the slots are taken at a moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct SlotOccupancy {
    /// All slots of the endpoint; 0 while it takes no work.
    pub slots: u32,
    /// Those that may be used now: fewer while it warms up.
    pub usable: u32,
    /// Offered to ingresses that have not begun.
    pub offered: u32,
    /// At work.
    pub working: u32,
    /// How far the endpoint is trusted.
    pub standing: EndpointStanding,
    /// Work waits here.
    pub has_waiters: bool,
}

impl SlotOccupancy {
    /// What the free slots are.
    fn free_use(&self) -> SlotUse {
        match (self.standing, self.has_waiters) {
            (EndpointStanding::Suspect | EndpointStanding::Declining, _) => SlotUse::Distrusted,
            (EndpointStanding::Clean, true) => SlotUse::Blocked,
            (EndpointStanding::Clean, false) => SlotUse::Idle,
        }
    }
}

/// The sums of one guard.
#[derive(Debug, Clone, Default)]
pub struct SlotTime {
    /// As of the last step.
    occupancy: SlotOccupancy,
    /// The time of the last step; `None` before the first.
    at: Option<Instant>,
    /// By [`Use::ALL`].
    sums: [Duration; SlotUse::ALL.len()],
}

impl SlotTime {
    /// Adds the time since the last step, and goes on with `next`.
    pub fn advance(&mut self, next: SlotOccupancy, now: Instant) {
        let past = self.at.map_or(Duration::ZERO, |it| now.saturating_duration_since(it));
        let SlotOccupancy { slots, usable, offered, working, .. } = self.occupancy;
        let taken = offered + working;
        let free = usable.saturating_sub(taken);
        self.add(SlotUse::Offered, past * offered);
        self.add(self.occupancy.free_use(), past * free);
        self.add(SlotUse::Cold, past * slots.saturating_sub(usable.max(taken)));
        self.occupancy = next;
        self.at = Some(now);
    }

    /// Adds work that has ended.
    pub fn add_work(&mut self, on: SlotUse, took: Duration) {
        self.add(on, took);
    }

    /// The sum of one use.
    pub fn total(&self, of: SlotUse) -> Duration {
        self.sums[of as usize]
    }

    fn add(&mut self, on: SlotUse, time: Duration) {
        self.sums[on as usize] += time;
    }
}

//! The only way to the VM's endpoint: places, the queue, and what became of each place.

mod announcements;
mod calls;
pub mod ledger;

pub(super) mod quarantine;
mod reservations;
mod runs;

use std::{
    cell::RefCell,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use tokio::sync::{Notify, oneshot};

use crate::{
    decide::{
        fingerprint::Fingerprint,
        guard_retry_budget::{GuardRetryBudget, RetryBudgetConfig},
        incarnation::EndpointId,
        origin::OriginTracker,
        quarantine::Quarantine,
        service_times::ServiceTimes,
        slot_time::{SlotOccupancy, SlotTime, SlotUse},
        suspicion::{EndpointStanding, StandingTracker},
        wait_queue::{WaitQueue, WaiterId},
    },
    proxy::{
        clock,
        directory::{EndpointRow, Incarnation},
        endpoint::EndpointPool,
        events::EventLog,
        guard::ledger::{FailedCallId, GrantEntry, GrantLedger},
        message::{Grant, GrantRefusal},
        routes::{RouteName, ServiceName},
    },
};

/// What an endpoint says of itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Announcement {
    /// Which life of it.
    pub id: EndpointId,
    /// Its service.
    pub service: ServiceName,
    /// Where it is.
    pub address: SocketAddr,
    /// How much it works on at once.
    pub slots: u32,
    /// Whether it takes work.
    pub phase: EndpointPhase,
    /// How much longer it is slow after its start.
    pub warmup_left: Duration,
    /// Goes up with each announcement of one life.
    pub sequence: u64,
}

/// Whether an endpoint takes work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointPhase {
    /// It does.
    Serving,
    /// It does not, and never will again.
    Leaving,
}

impl EndpointPhase {
    fn name(self) -> &'static str {
        match self {
            Self::Serving => "serving",
            Self::Leaving => "leaving",
        }
    }
}

/// What the proxy knows beyond its guard that bears on a place.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReservationContext {
    /// How many guards share the allowance of the service.
    pub service_guards: usize,
    /// A service that such work calls has no allowance left: a repeat would call it again.
    pub callee_budget_exhausted: bool,
}

/// What an announcement changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnnouncementEffect {
    /// Nothing, or only when it was heard last.
    Unchanged,
    /// The endpoint, or whether it takes work.
    Changed,
    /// It names another endpoint while the known one seems alive: ask at the address.
    Conflicting,
}

/// An endpoint that takes work.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServingEndpoint {
    /// Which life of it.
    pub id: EndpointId,
    /// Its service.
    pub service: ServiceName,
    /// How much it works on at once.
    pub slots: u32,
    /// How far it is trusted.
    pub standing: EndpointStanding,
}

struct Endpoint {
    announced: Announcement,
    pool: Rc<EndpointPool>,
    record: StandingTracker,
    heard: Instant,
    cold_until: Instant,
}

impl Endpoint {
    /// How much it may work on at once now.
    fn usable_slots(&self, now: Instant) -> u32 {
        let slots = self.announced.slots;
        if now < self.cold_until { slots.div_ceil(COLD_PART) } else { slots }
    }
}

/// An endpoint that warms up works at about half its speed.
const COLD_PART: u32 = 2;

type PlaceSender = oneshot::Sender<Result<Grant, GrantRefusal>>;

struct State {
    endpoint: Option<Endpoint>,
    /// Former lives at this address; the newest last.
    retired: Vec<EndpointId>,
    queue: WaitQueue,
    /// One for each waiter in the queue.
    senders: Vec<(WaiterId, PlaceSender)>,
    ledger: GrantLedger,
    pace: ServiceTimes,
    allowance: GuardRetryBudget,
    /// Requests that end endpoints.
    quarantine: Quarantine,
    /// Of which of them there is something to tell.
    quarantine_news: Vec<Fingerprint>,
    /// Of which of them the endpoint here showed something that is to be written down.
    quarantine_found: Vec<Fingerprint>,
    /// Work that ended without the endpoint's answer: it may go on, and call, until its time is over. At most
    /// `calls::LINGERING_KEPT`.
    lingering: Vec<GrantEntry>,
    /// Tells calls from callers' requests.
    origins: OriginTracker,
    /// The last number given to a failed call.
    last_failed_call: FailedCallId,
    /// Which services the work of a class called here; sorted.
    calls: Vec<(RouteName, ServiceName)>,
    /// This proxy stops: the endpoint's work must have ended by then.
    ends: Option<Instant>,
    /// Where the slots' time goes.
    slot_time: SlotTime,
    /// The last number given to a waiter.
    last_waiter: WaiterId,
}

impl State {
    /// The endpoint, while it takes work.
    fn serving(&self) -> Option<&Endpoint> {
        self.endpoint.as_ref().filter(|it| it.announced.phase == EndpointPhase::Serving)
    }

    /// Accounts for the slots until now; to be called whenever they may be taken otherwise than before.
    fn account(&mut self, now: Instant) {
        let working = count(self.ledger.active_runs().count());
        let next = self.serving().map_or_else(SlotOccupancy::default, |it| SlotOccupancy {
            slots: it.announced.slots,
            usable: it.usable_slots(now),
            offered: count(self.ledger.len()) - working,
            working,
            standing: it.record.standing(),
            has_waiters: !self.queue.is_empty(),
        });
        self.slot_time.advance(next, now);
    }
}

/// The guard of this VM's endpoint.
pub struct Guard {
    announce_every: Duration,
    events: Rc<EventLog>,
    state: RefCell<State>,
    /// Some run ended.
    run_ended: Notify,
    /// The row of this proxy must be told anew.
    pub(super) row_changed: Notify,
    /// The endpoint's standing changed.
    pub(super) standing_changed: Notify,
    /// Something is known anew against requests.
    pub(super) cases_changed: Notify,
}

impl Guard {
    /// A guard that knows no endpoint yet.
    pub fn new(
        incarnation: Incarnation,
        announce_every: Duration,
        retry_budget: RetryBudgetConfig,
        events: Rc<EventLog>,
    ) -> Self {
        Self {
            announce_every,
            events,
            state: RefCell::new(State {
                endpoint: None,
                retired: Vec::new(),
                queue: WaitQueue::default(),
                senders: Vec::new(),
                ledger: GrantLedger::new(incarnation),
                pace: ServiceTimes::default(),
                allowance: GuardRetryBudget::new(retry_budget),
                quarantine: Quarantine::default(),
                quarantine_news: Vec::new(),
                quarantine_found: Vec::new(),
                lingering: Vec::new(),
                origins: OriginTracker::default(),
                last_failed_call: 0,
                calls: Vec::new(),
                ends: None,
                slot_time: SlotTime::default(),
                last_waiter: 0,
            }),
            run_ended: Notify::new(),
            row_changed: Notify::new(),
            standing_changed: Notify::new(),
            cases_changed: Notify::new(),
        }
    }

    /// The endpoint, while it takes work.
    pub fn serving_endpoint(&self) -> Option<ServingEndpoint> {
        let state = self.state.borrow();
        let it = state.serving()?;
        Some(ServingEndpoint {
            id: it.announced.id.clone(),
            service: it.announced.service.clone(),
            slots: it.announced.slots,
            standing: it.record.standing(),
        })
    }

    /// How far the endpoint is trusted, while it takes work; told with every reply, so nothing is copied for it.
    pub fn standing(&self) -> EndpointStanding {
        self.state.borrow().serving().map(|it| it.record.standing()).unwrap_or_default()
    }

    /// The endpoint as it stands in this proxy's row.
    pub fn endpoint_row(&self) -> Option<EndpointRow> {
        self.serving_endpoint().map(|it| EndpointRow { id: it.id, slots: it.slots })
    }

    /// Requests at the endpoint or permitted, and requests that wait.
    pub fn load(&self) -> (u32, u32) {
        let state = self.state.borrow();
        (count(state.ledger.len()), count(state.queue.len()))
    }

    /// Whether no repeat may arrive now.
    pub fn retry_budget_exhausted(&self) -> bool {
        self.state.borrow().allowance.is_exhausted()
    }

    /// How many runs are under way.
    pub fn open_grants(&self) -> usize {
        self.state.borrow().ledger.len()
    }

    /// Milliseconds of slot time by use, since the start of this process.
    pub fn slot_time_ms(&self) -> Vec<(&'static str, u64)> {
        let mut state = self.state.borrow_mut();
        state.account(clock::now());
        let millis = |it: SlotUse| u64::try_from(state.slot_time.total(it).as_millis()).unwrap_or(u64::MAX);
        SlotUse::ALL.iter().map(|it| (it.name(), millis(*it))).collect()
    }

    /// Whether no endpoint is known.
    pub fn has_no_endpoint(&self) -> bool {
        self.state.borrow().endpoint.is_none()
    }
}

fn count(number: usize) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}

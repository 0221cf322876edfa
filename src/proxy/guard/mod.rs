//! The guard of this VM's endpoint: admits requests to it, so that no more run there than it has slots.
//!
//! The guard queues reservations, issues grants for free slots, runs each granted request at most once and remembers
//! how it ended.

mod announcements;
mod calls;
pub mod ledger;
mod notices;
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
        rate_limit::EndpointLimit,
        service_times::ServiceTimes,
        slot_time::{SlotOccupancy, SlotTime, SlotUse},
        suspicion::{EndpointStanding, StandingTracker},
        wait_queue::{WaitQueue, WaiterId},
    },
    proxy::{
        body_memory::BodyMemory,
        clock,
        directory::{EndpointRow, Incarnation},
        endpoint::EndpointPool,
        events::EventLog,
        guard::ledger::{FailedCallId, GrantEntry, GrantLedger},
        message::{Grant, GrantRefusal},
        routes::{RouteName, ServiceName},
    },
};

/// An endpoint's announcement of itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Announcement {
    /// The endpoint's incarnation.
    pub id: EndpointId,
    /// The service that the endpoint serves.
    pub service: ServiceName,
    /// The address on which the endpoint takes requests.
    pub address: SocketAddr,
    /// The number of requests that the endpoint runs at once.
    pub slots: u32,
    /// Whether the endpoint accepts requests.
    pub phase: EndpointPhase,
    /// The rest of the warm-up, during which the endpoint is slow.
    pub warmup_left: Duration,
    /// Increases with each announcement of one incarnation.
    pub sequence: u64,
}

/// Whether an endpoint accepts requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointPhase {
    /// The endpoint accepts requests.
    Serving,
    /// The endpoint accepts no more requests; this is final for an incarnation.
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

/// Facts outside the guard that decide about a reservation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReservationContext {
    /// The number of guards that share the retry budget of the service.
    pub service_guards: usize,
    /// Whether runs of this route call a service that has no retry budget left; a retry would call it again.
    pub callee_budget_exhausted: bool,
}

/// The effect of an announcement on the guard.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnnouncementEffect {
    /// At most the time of the last announcement and details of the same incarnation changed.
    Unchanged,
    /// The endpoint was replaced, or stopped accepting requests.
    Changed,
    /// It names an endpoint that may not be the one at its address; a health check must decide.
    Unconfirmed,
}

/// An endpoint that accepts requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServingEndpoint {
    /// The endpoint's incarnation.
    pub id: EndpointId,
    /// The service that the endpoint serves.
    pub service: ServiceName,
    /// The number of requests that the endpoint runs at once.
    pub slots: u32,
    /// The endpoint's standing from outlier detection.
    pub standing: EndpointStanding,
}

struct Endpoint {
    announcement: Announcement,
    pool: Rc<EndpointPool>,
    standing_tracker: StandingTracker,
    last_seen: Instant,
    warmup_until: Instant,
    limit: EndpointLimit,
    /// Whether the endpoint itself said that it is leaving.
    said_leaving: bool,
}

impl Endpoint {
    /// The number of slots that may be used now; fewer during the warm-up.
    fn usable_slots(&self, now: Instant) -> u32 {
        let slots = self.announcement.slots;
        if now < self.warmup_until { slots.div_ceil(WARMUP_SLOT_DIVISOR) } else { slots }
    }
}

/// An endpoint whose announcement waits for a health check that confirms it.
struct UnconfirmedEndpoint {
    /// Its last announcement.
    announcement: Announcement,
    /// Sequence number of its first announcement.
    first_sequence: u64,
    first_seen: Instant,
}

/// During its warm-up an endpoint gets its slots divided by this.
const WARMUP_SLOT_DIVISOR: u32 = 2;

/// How many former incarnations are remembered to recognise their late announcements.
const MAX_RETIRED: usize = 64;

type GrantSender = oneshot::Sender<Result<Grant, GrantRefusal>>;

struct GuardState {
    endpoint: Option<Endpoint>,
    /// The last endpoint that announced itself without being confirmed.
    unconfirmed: Option<UnconfirmedEndpoint>,
    /// Former incarnations, the newest last; at most [`MAX_RETIRED`].
    retired: Vec<EndpointId>,
    queue: WaitQueue,
    /// The reply channel of each waiter in the queue.
    grant_senders: Vec<(WaiterId, GrantSender)>,
    ledger: GrantLedger,
    service_times: ServiceTimes,
    retry_budget: GuardRetryBudget,
    /// Requests that crash endpoints.
    quarantine: Quarantine,
    /// Requests whose crash record changed and must be sent to other proxies.
    records_to_send: Vec<Fingerprint>,
    /// Requests whose crash record was changed by this VM's endpoint and must be stored.
    records_to_store: Vec<Fingerprint>,
    /// Runs that ended here without the endpoint's answer: they may still run, and make nested calls, until their
    /// deadline. At most `calls::MAX_UNFINISHED`.
    unfinished: Vec<GrantEntry>,
    /// Distinguishes nested calls from caller requests.
    origin_tracker: OriginTracker,
    /// The id of the last failed nested call.
    last_failed_call_id: FailedCallId,
    /// The services that runs of a route called through this proxy; sorted.
    nested_calls: Vec<(RouteName, ServiceName)>,
    /// Set while this proxy shuts down: runs must have ended by then.
    work_deadline: Option<Instant>,
    /// How much slot time was spent on what.
    slot_time: SlotTime,
    /// The id of the last waiter.
    last_waiter_id: WaiterId,
    /// When grants will be issued again because the endpoint's limit then lets a request start.
    next_wake: Option<Instant>,
}

impl GuardState {
    /// The endpoint, if it accepts requests.
    fn serving(&self) -> Option<&Endpoint> {
        self.endpoint.as_ref().filter(|it| it.announcement.phase == EndpointPhase::Serving)
    }

    /// Remembers that an incarnation is over. If its start time is unknown, all incarnations under its name that started
    /// before now are over.
    fn retire(&mut self, id: EndpointId) {
        if self.retired.len() >= MAX_RETIRED {
            self.retired.remove(0);
        }
        let started_at = id.started_at.unwrap_or_else(clock::unix_millis);
        self.retired.push(EndpointId { started_at: Some(started_at), ..id });
    }

    /// Remembers an announcement that a health check has to confirm.
    fn note_unconfirmed(&mut self, announcement: Announcement) {
        match &mut self.unconfirmed {
            Some(it) if it.announcement.id == announcement.id => {
                if announcement.sequence > it.announcement.sequence {
                    it.announcement = announcement;
                }
            }
            other => {
                let first_sequence = announcement.sequence;
                *other = Some(UnconfirmedEndpoint { announcement, first_sequence, first_seen: clock::now() });
            }
        }
    }

    /// Adds the slot time since the last call; must be called whenever the use of the slots may have changed.
    fn account_slot_time(&mut self, now: Instant) {
        let running = saturating_u32(self.ledger.active_runs().count());
        let next = self.serving().map_or_else(SlotOccupancy::default, |it| SlotOccupancy {
            slots: it.announcement.slots,
            usable: it.usable_slots(now),
            unused_grants: saturating_u32(self.ledger.len()) - running,
            running,
            standing: it.standing_tracker.standing(),
            has_waiters: !self.queue.is_empty(),
            rate_limited: !it.limit.allows(now),
        });
        self.slot_time.advance(next, now);
    }
}

/// Admits requests to this VM's endpoint.
pub struct Guard {
    announce_interval: Duration,
    events: Rc<EventLog>,
    body_memory: Rc<BodyMemory>,
    state: RefCell<GuardState>,
    /// Notified when a grant ended.
    run_ended: Notify,
    /// Notified when the directory entry of this proxy must be sent again.
    pub(super) row_changed: Notify,
    /// Notified when the endpoint's standing changed.
    pub(super) standing_changed: Notify,
    /// Notified when the endpoint has said that it is leaving, and when it is replaced.
    pub(super) said_leaving_changed: Notify,
    /// Notified when the crash record of a request changed.
    pub(super) crash_records_changed: Notify,
}

impl Guard {
    /// Creates a guard without an endpoint. Endpoints announce themselves every `announce_interval`.
    pub(super) fn new(
        incarnation: Incarnation,
        announce_interval: Duration,
        retry_budget: RetryBudgetConfig,
        events: Rc<EventLog>,
        body_memory: Rc<BodyMemory>,
    ) -> Self {
        Self {
            announce_interval,
            events,
            body_memory,
            state: RefCell::new(GuardState {
                endpoint: None,
                unconfirmed: None,
                retired: Vec::new(),
                queue: WaitQueue::default(),
                grant_senders: Vec::new(),
                ledger: GrantLedger::new(incarnation),
                service_times: ServiceTimes::default(),
                retry_budget: GuardRetryBudget::new(retry_budget),
                quarantine: Quarantine::default(),
                records_to_send: Vec::new(),
                records_to_store: Vec::new(),
                unfinished: Vec::new(),
                origin_tracker: OriginTracker::default(),
                last_failed_call_id: 0,
                nested_calls: Vec::new(),
                work_deadline: None,
                slot_time: SlotTime::default(),
                last_waiter_id: 0,
                next_wake: None,
            }),
            run_ended: Notify::new(),
            row_changed: Notify::new(),
            standing_changed: Notify::new(),
            said_leaving_changed: Notify::new(),
            crash_records_changed: Notify::new(),
        }
    }

    /// The endpoint, if it accepts requests.
    pub fn serving_endpoint(&self) -> Option<ServingEndpoint> {
        let state = self.state.borrow();
        let it = state.serving()?;
        Some(ServingEndpoint {
            id: it.announcement.id.clone(),
            service: it.announcement.service.clone(),
            slots: it.announcement.slots,
            standing: it.standing_tracker.standing(),
        })
    }

    /// The standing of the endpoint, or the default if none accepts requests. Every reply carries it, so this does not
    /// clone the endpoint as [`Self::serving_endpoint`] does.
    pub fn standing(&self) -> EndpointStanding {
        self.state.borrow().serving().map(|it| it.standing_tracker.standing()).unwrap_or_default()
    }

    /// The endpoint as listed in this proxy's directory entry.
    pub fn endpoint_row(&self) -> Option<EndpointRow> {
        self.serving_endpoint().map(|it| EndpointRow { id: it.id, slots: it.slots })
    }

    /// The number of grants that are unused or in use, and the number of waiting reservations.
    pub fn load(&self) -> (u32, u32) {
        let state = self.state.borrow();
        (saturating_u32(state.ledger.len()), saturating_u32(state.queue.len()))
    }

    /// Whether the retry budget allows no retry now.
    pub fn retry_budget_exhausted(&self) -> bool {
        self.state.borrow().retry_budget.is_exhausted()
    }

    /// The number of grants that are unused or in use, and of answers that other proxies still fetch.
    pub fn open_work(&self) -> usize {
        let state = self.state.borrow();
        state.ledger.len() + state.ledger.partial_answers(clock::now())
    }

    /// The slot time by use since the start of this process, in milliseconds.
    pub fn slot_time_ms(&self) -> Vec<(&'static str, u64)> {
        let mut state = self.state.borrow_mut();
        state.account_slot_time(clock::now());
        let millis = |it: SlotUse| u64::try_from(state.slot_time.total(it).as_millis()).unwrap_or(u64::MAX);
        SlotUse::ALL.iter().map(|it| (it.name(), millis(*it))).collect()
    }

    /// Whether the endpoint itself said that it is leaving. An endpoint that crashed, is silent or was replaced did not.
    pub fn endpoint_said_leaving(&self) -> bool {
        self.leaving_endpoint().is_some()
    }

    /// The endpoint, if it said that it is leaving.
    pub fn leaving_endpoint(&self) -> Option<EndpointId> {
        let state = self.state.borrow();
        state.endpoint.as_ref().filter(|it| it.said_leaving).map(|it| it.announcement.id.clone())
    }

    /// Whether no endpoint has been announced or found yet.
    pub fn has_no_endpoint(&self) -> bool {
        self.state.borrow().endpoint.is_none()
    }
}

fn saturating_u32(number: usize) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}

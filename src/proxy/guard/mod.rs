//! The only way to the VM's endpoint: places, the queue, and what became of each place.

mod announced;
pub mod ledger;
mod places;
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
        allowance::{Allowance, Terms},
        pace::Pace,
        suspicion::Record,
        wait_queue::{WaitQueue, WaiterId},
    },
    proxy::{
        endpoint::EndpointPool,
        events::Events,
        guard::ledger::Ledger,
        message::{Grant, Refusal},
        routes::{RouteName, ServiceName},
        view::{EndpointId, EndpointRow, Incarnation},
    },
};

/// What an endpoint says of itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Announced {
    /// Its incarnation.
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
    pub cold_for: Duration,
    /// Goes up with each announcement of one incarnation.
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
pub struct Surroundings {
    /// How many guards share the allowance of the service.
    pub guards: usize,
    /// A service that such work calls has no allowance left: a repeat would call it again.
    pub calls_tight: bool,
}

/// What an announcement changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Heard {
    /// Nothing, or only when it was heard last.
    Known,
    /// The endpoint, or whether it takes work.
    Changed,
    /// It names another incarnation while the known one seems alive: ask at the address.
    Doubtful,
}

struct Endpoint {
    announced: Announced,
    pool: Rc<EndpointPool>,
    record: Record,
    heard: Instant,
    cold_until: Instant,
}

/// Where a request of this VM began.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Origin {
    /// With a caller.
    Caller,
    /// With work that runs at the VM's endpoint.
    Call {
        /// That work is a repeat, so its calls count as repeats where they go.
        of_repeat: bool,
    },
}

type PlaceSender = oneshot::Sender<Result<Grant, Refusal>>;

struct State {
    endpoint: Option<Endpoint>,
    /// Former incarnations at this address; the newest last.
    retired: Vec<EndpointId>,
    queue: WaitQueue,
    /// One for each waiter in the queue.
    senders: Vec<(WaiterId, PlaceSender)>,
    ledger: Ledger,
    pace: Pace,
    allowance: Allowance,
    /// Which services the work of a class called here; sorted.
    calls: Vec<(RouteName, ServiceName)>,
    /// This proxy stops: the endpoint's work must have ended by then.
    ends: Option<Instant>,
    /// The last number given to a waiter.
    last_waiter: WaiterId,
}

/// The guard of this VM's endpoint.
pub struct Guard {
    announce_every: Duration,
    events: Rc<Events>,
    state: RefCell<State>,
    /// Some run ended.
    run_ended: Notify,
    /// The row of this proxy must be told anew.
    pub(super) changed: Notify,
    /// The endpoint's standing changed.
    pub(super) turned: Notify,
}

impl Guard {
    /// A guard that knows no endpoint yet.
    pub fn new(incarnation: Incarnation, announce_every: Duration, terms: Terms, events: Rc<Events>) -> Self {
        Self {
            announce_every,
            events,
            state: RefCell::new(State {
                endpoint: None,
                retired: Vec::new(),
                queue: WaitQueue::default(),
                senders: Vec::new(),
                ledger: Ledger::new(incarnation),
                pace: Pace::default(),
                allowance: Allowance::new(terms),
                calls: Vec::new(),
                ends: None,
                last_waiter: 0,
            }),
            run_ended: Notify::new(),
            changed: Notify::new(),
            turned: Notify::new(),
        }
    }

    /// The endpoint as others see it, while it takes work.
    pub fn row(&self) -> Option<EndpointRow> {
        let state = self.state.borrow();
        let it = state.endpoint.as_ref().filter(|it| it.announced.phase == EndpointPhase::Serving)?;
        Some(EndpointRow {
            id: it.announced.id.clone(),
            service: it.announced.service.clone(),
            slots: it.announced.slots,
            standing: it.record.standing(),
        })
    }

    /// Requests at the endpoint or permitted, and requests that wait.
    pub fn load(&self) -> (u32, u32) {
        let state = self.state.borrow();
        (count(state.ledger.len()), count(state.queue.len()))
    }

    /// Where a request of this VM for `service` began. Endpoints put the id of the work before the
    /// id of its call; an id that only looks so, without that work running here, is a caller's.
    pub fn origin(&self, request: &str, service: &str) -> Origin {
        let Some((parent, _)) = request.rsplit_once('.') else { return Origin::Caller };
        let mut state = self.state.borrow_mut();
        let State { ledger, calls, .. } = &mut *state;
        let Some(given) = ledger.used_by(parent) else { return Origin::Caller };
        let route = &given.purpose.route;
        if let Err(at) = calls.binary_search_by(|it| (&*it.0, &*it.1).cmp(&(route, service))) {
            calls.insert(at, (route.clone(), service.into()));
        }
        let of_repeat = given.running.as_ref().is_some_and(|it| it.repeat);
        Origin::Call { of_repeat }
    }

    /// Whether work of `route` called a service here for which `tight` holds.
    pub fn calls_any(&self, route: &str, tight: impl Fn(&str) -> bool) -> bool {
        self.state.borrow().calls.iter().any(|it| *it.0 == *route && tight(&it.1))
    }

    /// Whether no repeat may arrive now.
    pub fn allowance_used(&self) -> bool {
        !self.state.borrow().allowance.allows(true)
    }

    /// A call of work that runs here was not answered well.
    pub fn call_failed(&self, request: &str) {
        let Some((parent, _)) = request.rsplit_once('.') else { return };
        let mut state = self.state.borrow_mut();
        let running = state.ledger.used_by(parent).and_then(|it| it.running.as_mut());
        if let Some(it) = running {
            it.call_failed = true;
        }
    }

    /// How many runs are under way.
    pub fn running(&self) -> usize {
        self.state.borrow().ledger.len()
    }

    /// Whether no endpoint is known.
    pub fn is_without_endpoint(&self) -> bool {
        self.state.borrow().endpoint.is_none()
    }
}

fn count(number: usize) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}

//! The only way to the VM's endpoint: places, the queue, and what became of each place.

use std::{
    cell::RefCell,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use tokio::{
    sync::{Notify, oneshot},
    task::spawn_local,
    time::{sleep, timeout},
};

use crate::{
    decide::{
        allowance::{Allowance, Terms},
        pace::Pace,
        suspicion::{Record, Sample},
        wait_queue::{WaitQueue, Waiter, WaiterId},
    },
    proxy::{
        clock,
        endpoint::{EndpointPool, EndpointRequest},
        events::{Event, Events},
        message::{Arrival, Grant, GrantId, NotRun, Refusal, Reserve, Run, RunEnd, Unknown},
        routes::{RouteName, ServiceName},
        view::{EndpointId, EndpointRow, Incarnation},
    },
};

/// How long a place is kept for an ingress that does not use it: many round trips between data
/// centres, and short beside the work.
const GRANT_TTL: Duration = Duration::from_millis(300);
/// How long the end of a run is remembered for an ingress that lost its connection.
const ENDED_KEPT: Duration = Duration::from_secs(20);
/// How many ends are remembered at most; far above slots times the runs of 20 s.
const ENDED_COUNT: usize = 512;
/// How many bytes of answers are remembered at most.
const ENDED_BYTES: usize = 16 << 20;
/// How long an [`Ask`](crate::proxy::message::Ask) waits for a run to end.
const ASK_WAIT: Duration = Duration::from_secs(10);
/// Work is overdue after this many times its usual length, and `OVERDUE_MORE`.
const OVERDUE_FACTOR: u32 = 3;
/// See `OVERDUE_FACTOR`: short work varies more.
const OVERDUE_MORE: Duration = Duration::from_millis(300);
/// Work of a class never seen is overdue after this.
const OVERDUE_UNKNOWN: Duration = Duration::from_secs(3);
/// An endpoint that fails and has not announced itself for this many times its rhythm is gone.
const SILENT_BEATS: u32 = 4;
/// How many former incarnations are remembered, for announcements that come late.
const RETIRED_KEPT: usize = 64;
/// An endpoint that warms up works at about half its speed.
const COLD_PART: u32 = 2;

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

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum GrantPhase {
    Offered,
    Running,
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

struct Running {
    request: Box<str>,
    repeat: bool,
    /// A call that it made was not answered well, so its own failure is not the endpoint's.
    call_failed: bool,
}

struct Given {
    id: GrantId,
    route: RouteName,
    idempotent: bool,
    /// It counts as a repeat.
    repeat: bool,
    /// It was given while the endpoint was suspect.
    trial: bool,
    /// What runs there, once it does.
    run: Option<Running>,
    phase: GrantPhase,
}

struct Ended {
    id: GrantId,
    end: RunEnd,
    at: Instant,
}

impl Ended {
    fn bytes(&self) -> usize {
        match &self.end {
            RunEnd::Answered { content, .. } => content.body.len(),
            RunEnd::NotRun(_) | RunEnd::Unknown(_) => 0,
        }
    }
}

type PlaceSender = oneshot::Sender<Result<Grant, Refusal>>;

struct State {
    endpoint: Option<Endpoint>,
    /// Former incarnations at this address; the newest last.
    retired: Vec<EndpointId>,
    queue: WaitQueue,
    /// One for each waiter in the queue.
    senders: Vec<(WaiterId, PlaceSender)>,
    /// Places that are offered or in use; their number is bounded by the endpoint's slots.
    given: Vec<Given>,
    /// In the order of their ends.
    ended: Vec<Ended>,
    pace: Pace,
    allowance: Allowance,
    /// How many guards share the allowance of the endpoint's service.
    guards: usize,
    /// Which services the work of a class called here; sorted.
    calls: Vec<(RouteName, ServiceName)>,
    next_id: u64,
}

/// The guard of this VM's endpoint.
pub struct Guard {
    incarnation: Incarnation,
    announce_every: Duration,
    events: Rc<Events>,
    state: RefCell<State>,
    /// Some run ended.
    run_ended: Notify,
    /// The row of this proxy must be told anew.
    pub(super) changed: Notify,
    /// The endpoint became suspect or clean.
    pub(super) turned: Notify,
}

impl Guard {
    /// A guard that knows no endpoint yet.
    pub fn new(incarnation: Incarnation, announce_every: Duration, terms: Terms, events: Rc<Events>) -> Self {
        Self {
            incarnation,
            announce_every,
            events,
            state: RefCell::new(State {
                endpoint: None,
                retired: Vec::new(),
                queue: WaitQueue::default(),
                senders: Vec::new(),
                given: Vec::new(),
                ended: Vec::new(),
                pace: Pace::default(),
                allowance: Allowance::new(terms, clock::now()),
                guards: 1,
                calls: Vec::new(),
                next_id: 0,
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
            suspect: it.record.is_suspect(),
        })
    }

    /// Requests at the endpoint or permitted, and requests that wait.
    pub fn load(&self) -> (u32, u32) {
        let state = self.state.borrow();
        (count(state.given.len()), count(state.queue.len()))
    }

    /// Takes in an announcement.
    pub fn announced(self: &Rc<Self>, it: Announced) -> Heard {
        let now = clock::now();
        let mut state = self.state.borrow_mut();
        if state.retired.contains(&it.id) {
            return Heard::Known;
        }
        let silent = self.announce_every * 2;
        match &mut state.endpoint {
            Some(known) if known.announced.id == it.id => {
                if known.announced.sequence >= it.sequence {
                    return Heard::Known;
                }
                known.heard = now;
                known.announced.sequence = it.sequence;
                known.announced.slots = it.slots;
                let leaves = it.phase == EndpointPhase::Leaving && known.announced.phase == EndpointPhase::Serving;
                drop(state);
                if leaves {
                    self.leave(&it.id, "announced");
                    return Heard::Changed;
                }
                return Heard::Known;
            }
            Some(known)
                if known.announced.phase == EndpointPhase::Serving
                    && now.saturating_duration_since(known.heard) < silent =>
            {
                if it.phase == EndpointPhase::Leaving {
                    retire(&mut state, it.id);
                }
                return Heard::Doubtful;
            }
            Some(_) | None => (),
        }
        drop(state);
        self.replace(it, "announced");
        Heard::Changed
    }

    /// Takes in what the endpoint's address answered to a health question.
    pub fn found(self: &Rc<Self>, it: Announced) {
        let mut state = self.state.borrow_mut();
        if state.retired.contains(&it.id) {
            return;
        }
        if let Some(known) = &mut state.endpoint
            && known.announced.id == it.id
        {
            known.heard = clock::now();
            return;
        }
        drop(state);
        self.replace(it, "found by health");
    }

    fn replace(self: &Rc<Self>, it: Announced, why: &str) {
        let now = clock::now();
        self.events.emit(&Event::Endpoint {
            id: &it.id,
            service: &it.service,
            phase: it.phase.name(),
            sequence: it.sequence,
            why,
        });
        let mut state = self.state.borrow_mut();
        let pool = Rc::new(EndpointPool::new(it.address));
        let cold_until = now + it.cold_for;
        let next = Endpoint { announced: it, pool, record: Record::default(), heard: now, cold_until };
        if let Some(before) = state.endpoint.replace(next) {
            retire(&mut state, before.announced.id);
            if let Ok(pool) = Rc::try_unwrap(before.pool) {
                pool.close();
            }
        }
        drop(state);
        self.changed.notify_one();
        self.pump();
    }

    /// The endpoint `id` leaves: from now on it gets no new work.
    pub fn leave(self: &Rc<Self>, id: &str, why: &str) {
        let mut state = self.state.borrow_mut();
        match &mut state.endpoint {
            Some(known) if *known.announced.id == *id => {
                known.announced.phase = EndpointPhase::Leaving;
                self.events.emit(&Event::Endpoint {
                    id,
                    service: &known.announced.service,
                    phase: EndpointPhase::Leaving.name(),
                    sequence: known.announced.sequence,
                    why,
                });
            }
            Some(_) | None => retire(&mut state, id.into()),
        }
        // Places that are offered and not used yet are taken back: the ingress is told "not run".
        let offered: Vec<GrantId> =
            state.given.iter().filter(|it| it.phase == GrantPhase::Offered).map(|it| it.id).collect();
        drop(state);
        for grant in offered {
            self.end(grant, RunEnd::NotRun(NotRun::NoGrant));
        }
        self.changed.notify_one();
        self.pump();
    }

    /// Waits for a place. Dropping the future takes the wish, or the place, back.
    pub async fn reserve(self: &Rc<Self>, req: &Reserve, known: Surroundings) -> Result<Grant, Refusal> {
        let now = clock::now();
        let (tx, rx) = oneshot::channel();
        let id = {
            let mut state = self.state.borrow_mut();
            let Some(endpoint) = &state.endpoint else { return Err(Refusal::Elsewhere) };
            let announced = &endpoint.announced;
            if announced.service != req.service || announced.phase == EndpointPhase::Leaving {
                return Err(Refusal::Elsewhere);
            }
            if !req.last_resort && !endpoint.record.admits(req.idempotent, trials(&state.given), now) {
                return Err(Refusal::Suspect);
            }
            state.guards = known.guards;
            let allowed = !known.calls_tight && state.allowance.allows(req.call, known.guards, now);
            if req.arrival == Arrival::Repeat && !allowed {
                return Err(Refusal::NoAllowance);
            }
            state.next_id += 1;
            let id = state.next_id;
            state.queue.push(Waiter {
                id,
                call: req.call,
                rank: req.rank,
                idempotent: req.idempotent,
                last_resort: req.last_resort,
                arrived: now,
                useful_until: now + req.useful_for,
                needs_allowance: req.arrival == Arrival::Repeat,
                repeat: req.arrival != Arrival::First,
                route: req.route.clone(),
            });
            state.senders.push((id, tx));
            id
        };
        let mut wish = Wish { guard: self, id, rx };
        self.pump();
        (&mut wish.rx).await.unwrap_or(Err(Refusal::Elsewhere))
    }

    /// Gives free places to those that wait, in order.
    pub(super) fn pump(self: &Rc<Self>) {
        let now = clock::now();
        let mut state = self.state.borrow_mut();
        let State { endpoint, queue, senders, given, next_id, allowance, guards, .. } = &mut *state;
        let serving = endpoint.as_ref().filter(|it| it.announced.phase == EndpointPhase::Serving);
        let Some(endpoint) = serving else {
            queue.drain();
            for (_, tx) in senders.drain(..) {
                // An ingress that is gone needs no answer.
                _ = tx.send(Err(Refusal::Elsewhere));
            }
            return;
        };
        let limit = if now < endpoint.cold_until {
            endpoint.announced.slots.div_ceil(COLD_PART)
        } else {
            endpoint.announced.slots
        };
        let mut offered = Vec::new();
        while count(given.len()) < limit {
            let trials = trials(given);
            let allowed = [allowance.allows(false, *guards, now), allowance.allows(true, *guards, now)];
            let admits = |it: &Waiter| {
                (it.last_resort || endpoint.record.admits(it.idempotent, trials, now))
                    && (allowed[usize::from(it.call)] || !it.needs_allowance)
            };
            let Some(waiter) = queue.next(now, admits) else { break };
            let Some(at) = senders.iter().position(|it| it.0 == waiter.id) else { continue };
            let (_, tx) = senders.swap_remove(at);
            *next_id += 1;
            let id = *next_id;
            let grant = Grant { id, guard: self.incarnation, endpoint: endpoint.announced.id.clone() };
            if tx.send(Ok(grant)).is_err() {
                continue;
            }
            allowance.count(waiter.repeat, now);
            given.push(Given {
                id,
                route: waiter.route,
                idempotent: waiter.idempotent,
                repeat: waiter.repeat,
                trial: endpoint.record.is_suspect(),
                run: None,
                phase: GrantPhase::Offered,
            });
            offered.push(id);
        }
        // Work that can't begin here is better off elsewhere.
        let suspect = |it: &Waiter| !it.last_resort && !endpoint.record.admits(it.idempotent, 0, now);
        let allowed = [allowance.allows(false, *guards, now), allowance.allows(true, *guards, now)];
        let refused = |it: &Waiter| suspect(it) || (it.needs_allowance && !allowed[usize::from(it.call)]);
        while let Some(waiter) = queue.next(now, refused) {
            let why = if suspect(&waiter) { Refusal::Suspect } else { Refusal::NoAllowance };
            if let Some(at) = senders.iter().position(|it| it.0 == waiter.id) {
                // An ingress that is gone needs no answer.
                _ = senders.swap_remove(at).1.send(Err(why));
            }
        }
        drop(state);
        for id in offered {
            self.expire(id);
        }
    }

    /// Takes a place back that is not used in time.
    fn expire(self: &Rc<Self>, id: GrantId) {
        let guard = Rc::clone(self);
        spawn_local(async move {
            sleep(GRANT_TTL).await;
            let unused = guard.state.borrow().given.iter().any(|it| it.id == id && it.phase == GrantPhase::Offered);
            if unused {
                guard.end(id, RunEnd::NotRun(NotRun::NoGrant));
            }
        });
    }

    /// Uses a place: sends the work to the endpoint, once.
    ///
    /// Dropping the future stops idempotent work. Other work goes on, and its end is remembered.
    pub async fn run(self: &Rc<Self>, run: Run) -> RunEnd {
        let Some((pool, idempotent, overdue)) = self.begin(&run) else {
            return RunEnd::NotRun(NotRun::NoGrant);
        };
        let grant = run.grant.id;
        let work = Rc::clone(self).execute(run, pool, overdue);
        if idempotent {
            let _cancel = Cancel { guard: self, grant };
            return work.await;
        }
        spawn_local(work);
        self.ended(grant).await
    }

    fn begin(&self, run: &Run) -> Option<(Rc<EndpointPool>, bool, Duration)> {
        let grant = &run.grant;
        if grant.guard != self.incarnation {
            return None;
        }
        let mut state = self.state.borrow_mut();
        let State { endpoint, given, pace, .. } = &mut *state;
        let endpoint = endpoint.as_ref().filter(|it| it.announced.id == grant.endpoint)?;
        let given = given.iter_mut().find(|it| it.id == grant.id && it.phase == GrantPhase::Offered)?;
        given.phase = GrantPhase::Running;
        given.run = Some(Running { request: run.request.clone(), repeat: run.repeat, call_failed: false });
        let overdue = pace.mean(&given.route).map_or(OVERDUE_UNKNOWN, |it| it * OVERDUE_FACTOR + OVERDUE_MORE);
        Some((Rc::clone(&endpoint.pool), given.idempotent, overdue))
    }

    async fn execute(self: Rc<Self>, run: Run, pool: Rc<EndpointPool>, overdue: Duration) -> RunEnd {
        let Run { grant, request, method, target, content, left, repeat: _ } = run;
        let mut head = hyper::Request::new(());
        match (method.parse(), target.parse()) {
            (Ok(method), Ok(target)) => {
                *head.method_mut() = method;
                *head.uri_mut() = target;
            }
            (Err(_), _) | (_, Err(_)) => {
                self.end(grant.id, RunEnd::NotRun(NotRun::NoGrant));
                return RunEnd::NotRun(NotRun::NoGrant);
            }
        }
        *head.headers_mut() = content.headers();
        let body = content.body.into_vec().into();
        let req = EndpointRequest { request: request.clone(), instance: grant.endpoint.clone(), head, body, left };
        let start = clock::now();
        let work = pool.run(req);
        tokio::pin!(work);
        let end = match timeout(overdue, &mut work).await {
            Ok(it) => it,
            Err(_) => {
                self.sample(&grant.endpoint, Sample::Doubtful, &request, "overdue");
                work.await
            }
        };
        self.learn(&grant, &end, &request, clock::now().saturating_duration_since(start), left);
        self.end(grant.id, end.clone());
        end
    }

    /// Takes in what the end of a run says of the endpoint.
    fn learn(self: &Rc<Self>, grant: &Grant, end: &RunEnd, request: &str, took: Duration, left: Duration) {
        /// An endpoint that ends this close to its deadline ran out of time.
        const CLOSE: Duration = Duration::from_millis(100);
        let state = self.state.borrow();
        let Some(given) = state.given.iter().find(|it| it.id == grant.id) else { return };
        let route = given.route.clone();
        let call_failed = given.run.as_ref().is_some_and(|it| it.call_failed);
        let failure = Sample::failure(took, state.pace.mean(&route));
        drop(state);
        let (sample, why) = match end {
            RunEnd::Answered { status, .. } if *status < 500 => {
                self.state.borrow_mut().pace.record(&route, took);
                (Sample::Good, "answered")
            }
            RunEnd::Answered { status: 504, .. } if took + CLOSE >= left => return,
            RunEnd::Answered { .. } if call_failed => return,
            RunEnd::Answered { .. } => (failure, "failed"),
            RunEnd::Unknown(Unknown::Silent | Unknown::GuardGone) | RunEnd::NotRun(NotRun::NoGrant) => return,
            RunEnd::Unknown(Unknown::Broken | Unknown::Garbled) => (failure, "broken"),
            RunEnd::NotRun(NotRun::Declined) => (Sample::Bad, "declined"),
            RunEnd::NotRun(NotRun::NoConnection) => {
                self.forget_if_silent(&grant.endpoint);
                (Sample::Bad, "no connection")
            }
            RunEnd::NotRun(NotRun::OtherInstance) => {
                self.leave(&grant.endpoint, "another instance answered");
                return;
            }
        };
        self.sample(&grant.endpoint, sample, request, why);
    }

    fn sample(self: &Rc<Self>, id: &str, sample: Sample, request: &str, why: &str) {
        let mut state = self.state.borrow_mut();
        let Some(endpoint) = state.endpoint.as_mut().filter(|it| *it.announced.id == *id) else { return };
        let turned = endpoint.record.sample(sample, clock::now());
        let suspect = endpoint.record.is_suspect();
        drop(state);
        if turned {
            self.events.emit(&Event::Standing { endpoint: id, suspect, request, why });
            metrics::counter!("jayreach_standing_changes_total", "to" => if suspect { "suspect" } else { "clean" })
                .increment(1);
            self.turned.notify_one();
        }
    }

    /// A crashed endpoint says nothing; two signs together are enough.
    fn forget_if_silent(self: &Rc<Self>, id: &str) {
        let state = self.state.borrow();
        let Some(endpoint) = state.endpoint.as_ref().filter(|it| *it.announced.id == *id) else { return };
        let silent = clock::now().saturating_duration_since(endpoint.heard) > self.announce_every * SILENT_BEATS;
        drop(state);
        if silent {
            self.leave(id, "silent and unreachable");
        }
    }

    /// Gives a place back and remembers what became of it.
    fn end(self: &Rc<Self>, grant: GrantId, end: RunEnd) {
        let now = clock::now();
        let mut state = self.state.borrow_mut();
        let Some(at) = state.given.iter().position(|it| it.id == grant) else { return };
        let given = state.given.swap_remove(at);
        let unused = end == RunEnd::NotRun(NotRun::NoGrant);
        if unused && given.repeat {
            state.allowance.refund(now);
        }
        if !given.idempotent || unused {
            state.ended.push(Ended { id: grant, end, at: now });
        }
        state.ended.retain(|it| now.saturating_duration_since(it.at) < ENDED_KEPT);
        let mut bytes: usize = state.ended.iter().map(Ended::bytes).sum();
        while state.ended.len() > ENDED_COUNT || bytes > ENDED_BYTES {
            bytes -= state.ended.remove(0).bytes();
        }
        drop(state);
        self.run_ended.notify_waiters();
        self.pump();
    }

    /// What became of a place; one that was not used yet is taken back.
    pub async fn ask(self: &Rc<Self>, grant: &Grant) -> RunEnd {
        if grant.guard != self.incarnation {
            return RunEnd::Unknown(Unknown::GuardGone);
        }
        let offered = self.state.borrow().given.iter().any(|it| it.id == grant.id && it.phase == GrantPhase::Offered);
        if offered {
            self.end(grant.id, RunEnd::NotRun(NotRun::NoGrant));
        }
        timeout(ASK_WAIT, self.ended(grant.id)).await.unwrap_or(RunEnd::Unknown(Unknown::Silent))
    }

    async fn ended(&self, grant: GrantId) -> RunEnd {
        loop {
            let ended = self.run_ended.notified();
            tokio::pin!(ended);
            ended.as_mut().enable();
            {
                let state = self.state.borrow();
                if let Some(it) = state.ended.iter().find(|it| it.id == grant) {
                    return it.end.clone();
                }
                if !state.given.iter().any(|it| it.id == grant) {
                    return RunEnd::Unknown(Unknown::GuardGone);
                }
            }
            ended.await;
        }
    }

    /// Where a request of this VM for `service` began. Endpoints put the id of the work before the
    /// id of its call; an id that only looks so, without that work running here, is a caller's.
    pub fn origin(&self, request: &str, service: &str) -> Origin {
        let Some((parent, _)) = request.rsplit_once('.') else { return Origin::Caller };
        let mut state = self.state.borrow_mut();
        let State { given, calls, .. } = &mut *state;
        let mut running = given.iter().filter_map(|it| Some((it, it.run.as_ref()?)));
        let Some((given, run)) = running.find(|it| *it.1.request == *parent) else { return Origin::Caller };
        if let Err(at) = calls.binary_search_by(|it| (&*it.0, &*it.1).cmp(&(&given.route, service))) {
            calls.insert(at, (given.route.clone(), service.into()));
        }
        Origin::Call { of_repeat: run.repeat }
    }

    /// Whether work of `route` called a service here for which `tight` holds.
    pub fn calls_any(&self, route: &str, tight: impl Fn(&str) -> bool) -> bool {
        self.state.borrow().calls.iter().any(|it| *it.0 == *route && tight(&it.1))
    }

    /// Whether no repeat may arrive now.
    pub fn allowance_used(&self) -> bool {
        let mut state = self.state.borrow_mut();
        let guards = state.guards;
        !state.allowance.allows(true, guards, clock::now())
    }

    /// A call of work that runs here was not answered well.
    pub fn call_failed(&self, request: &str) {
        let Some((parent, _)) = request.rsplit_once('.') else { return };
        let mut state = self.state.borrow_mut();
        let mut running = state.given.iter_mut().filter_map(|it| it.run.as_mut());
        if let Some(it) = running.find(|it| *it.request == *parent) {
            it.call_failed = true;
        }
    }

    /// How many runs are under way.
    pub fn running(&self) -> usize {
        self.state.borrow().given.len()
    }

    /// Whether no endpoint is known.
    pub fn is_without_endpoint(&self) -> bool {
        self.state.borrow().endpoint.is_none()
    }

    /// Stops giving places: all that wait are sent elsewhere.
    pub fn stop(self: &Rc<Self>) {
        let id = self.state.borrow().endpoint.as_ref().map(|it| it.announced.id.clone());
        if let Some(id) = id {
            self.leave(&id, "this proxy stops");
        }
    }
}

fn retire(state: &mut State, id: EndpointId) {
    if state.retired.len() >= RETIRED_KEPT {
        state.retired.remove(0);
    }
    state.retired.push(id);
}

fn count(number: usize) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}

fn trials(given: &[Given]) -> u32 {
    count(given.iter().filter(|it| it.trial).count())
}

/// A wish for a place, taken back when its future is dropped.
struct Wish<'a> {
    guard: &'a Rc<Guard>,
    id: WaiterId,
    rx: oneshot::Receiver<Result<Grant, Refusal>>,
}

impl Drop for Wish<'_> {
    fn drop(&mut self) {
        // A place that was given and not taken yet is free again.
        if let Ok(Ok(grant)) = self.rx.try_recv() {
            self.guard.end(grant.id, RunEnd::NotRun(NotRun::NoGrant));
            return;
        }
        let mut state = self.guard.state.borrow_mut();
        state.queue.remove(self.id);
        state.senders.retain(|it| it.0 != self.id);
    }
}

/// Gives the place of idempotent work back when its future is dropped before its end.
struct Cancel<'a> {
    guard: &'a Rc<Guard>,
    grant: GrantId,
}

impl Drop for Cancel<'_> {
    fn drop(&mut self) {
        self.guard.end(self.grant, RunEnd::Unknown(Unknown::Silent));
    }
}

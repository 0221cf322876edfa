//! The daemon process: the threads, sockets and shared state around the decisions in [`crate::decide`].
//!
//! To avoid deadlocks, a thread holds one lock at a time. The one exception: the view is updated while the membership
//! table is locked, so that it sees rows in the table's order.

mod active_config;
mod caller_api;
mod config_watch;
mod endpoint;
mod endpoint_view;
mod gossip;
mod guard;
mod http_client;
mod http_server;
mod ingress;
mod issued_tickets;
mod local_api;
mod membership;
mod peers;
mod phase;
mod store_search;
mod thread_pool;

use std::{
    collections::BTreeMap,
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use metrics_exporter_prometheus::{Matcher, PrometheusBuilder, PrometheusHandle};
use rand::RngExt as _;
use signal_hook::{
    consts::{SIGHUP, SIGINT, SIGTERM},
    iterator::Signals,
};

pub use guard::{AnnouncedState, Announcement};
pub use local_api::RolloutStatus;

use crate::{
    daemon::{
        active_config::ActiveConfig,
        endpoint_view::EndpointView,
        guard::{EjectionContext, ExecutionHooks, LocalGuard},
        http_client::Client,
        http_server::{Listener, Request},
        issued_tickets::IssuedTickets,
        peers::PeerClient,
        phase::{Phase, PhaseCell, PhaseEvent},
        store_search::StoreAccess,
        thread_pool::ThreadPool,
    },
    decide::ClassRetryBudget,
    error::Error,
    rows::{HigherIncarnationPolicy, Incarnation, MemberTable, Row, Stamp},
    settings::Settings,
    startup_signals,
    store::{ObjectStore, StoreClient},
    targets::{EjectionPreference, Importance},
    util::{lock, unix_seconds},
    wire::{Dispatch, DispatchReply},
};

/// The most requests of callers that are handled at once.
const MAX_CALLER_THREADS: usize = 256;
/// The most requests from peers that run at once.
const MAX_WORK_THREADS: usize = 512;
/// The most control calls, from peers and on the local listener, that are handled at once.
const MAX_CONTROL_THREADS: usize = 32;
/// The interval at which endpoint states are updated; a shutdown checks for open requests as often.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// The interval at which ticket records are expired and unknown outcomes are resolved.
const TICKET_MAINTENANCE_INTERVAL: Duration = Duration::from_secs(1);
/// How long a daemon that shuts down refuses requests before it first checks whether it is idle; in this time its peers
/// learn that it is leaving.
const LEAVE_NOTICE: Duration = Duration::from_secs(1);
/// How long open requests may take to finish during shutdown; longer than the time limit of any class.
const DRAIN_LIMIT: Duration = Duration::from_secs(125);
/// How long a drained daemon still serves recorded outcomes.
const LINGER: Duration = Duration::from_secs(2);
/// Upper bounds of the buckets of the request time histogram, in seconds.
const REQUEST_TIME_BUCKETS: [f64; 12] = [0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 10.0];

/// Separate thread pools, so that one kind of request can't use up the threads of another.
struct ThreadPools {
    callers: ThreadPool,
    work: ThreadPool,
    control: ThreadPool,
}

/// The retry budget of each class.
#[derive(Default)]
struct RetryBudgets(Mutex<BTreeMap<Box<str>, ClassRetryBudget>>);

impl RetryBudgets {
    fn deposit(&self, class: &str) {
        self.with(class, ClassRetryBudget::deposit);
    }

    fn withdraw(&self, class: &str) -> bool {
        self.with(class, ClassRetryBudget::withdraw)
    }

    fn with<T>(&self, class: &str, act: impl FnOnce(&mut ClassRetryBudget) -> T) -> T {
        let mut budgets = lock(&self.0);
        if let Some(it) = budgets.get_mut(class) {
            return act(it);
        }
        act(budgets.entry(class.into()).or_default())
    }
}

/// The state of a daemon, shared by its threads.
pub(crate) struct Daemon {
    settings: Settings,
    incarnation: Incarnation,
    started: Instant,
    phase: PhaseCell,
    config: ActiveConfig,
    table: Mutex<MemberTable>,
    view: EndpointView,
    tickets: IssuedTickets,
    guard: LocalGuard,
    client: Arc<Client>,
    peers: PeerClient,
    platform: Box<dyn ObjectStore>,
    store_access: Mutex<StoreAccess>,
    pools: ThreadPools,
    budgets: RetryBudgets,
    open_requests: Arc<AtomicUsize>,
    gossip_queue: crossbeam::channel::Sender<Vec<Row>>,
    metrics: PrometheusHandle,
}

/// An open request, counted in `Daemon::open_requests` until it is closed.
struct TrackedRequest(Arc<AtomicUsize>);

impl TrackedRequest {
    fn close(self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Runs a daemon until it receives SIGTERM or SIGINT and has shut down gracefully.
///
/// # Errors
///
/// If a signal handler can't be installed, a listener can't be opened, or the metrics recorder can't be installed.
pub fn run(settings: Settings) -> Result<(), Error> {
    let mut signals =
        Signals::new([SIGHUP, SIGINT, SIGTERM]).map_err(|it| Error::io("installing signal handlers", it))?;
    startup_signals::release();
    let callers = Listener::open(settings.callers)?;
    let peers = Listener::open(settings.peers)?;
    let local = Listener::open(settings.local)?;
    let (tx, rx) = crossbeam::channel::unbounded();
    let daemon = Arc::new(Daemon::new(settings, tx)?);
    serve("peers", &daemon, peers, peers::accept);
    serve("local", &daemon, local, local_api::accept);
    serve("callers", &daemon, callers, caller_api::accept);
    spawn("spread", &daemon, move |it| gossip::run(it, &rx));
    spawn("membership", &daemon, membership::run);
    spawn("watcher", &daemon, config_watch::run);
    spawn("presence", &daemon, config_watch::write_presence);
    spawn("tick", &daemon, tick_endpoints);
    spawn("records", &daemon, maintain_tickets);
    log::info!(daemon = &*daemon.settings.name, incarnation = daemon.incarnation; "started");
    wait_for_stop(&mut signals);
    shut_down(&daemon);
    Ok(())
}

/// Waits for SIGTERM or SIGINT. SIGHUP is often sent to have settings read again, so it must not kill the daemon.
fn wait_for_stop(signals: &mut Signals) {
    let hangups = signals.forever().take_while(|it| *it == SIGHUP);
    hangups.for_each(|_| log::warn!("SIGHUP ignored: the settings are read at the start only"));
}

fn spawn(name: &'static str, daemon: &Arc<Daemon>, act: impl FnOnce(&Arc<Daemon>) + Send + 'static) {
    let daemon = Arc::clone(daemon);
    let result = thread::Builder::new().name(name.into()).spawn(move || act(&daemon));
    result.expect("a thread can be started");
}

/// Serves a listener on its own thread; the process aborts if it can't be served.
fn serve(name: &'static str, daemon: &Arc<Daemon>, listener: Listener, accept: fn(&Arc<Daemon>, Request)) {
    spawn(name, daemon, move |it| {
        let daemon = Arc::clone(it);
        if let Err(error) = listener.serve(move |req| accept(&daemon, req)) {
            log::error!("the {name} listener can't be served: {error}");
            std::process::abort();
        }
    });
}

/// Updates the time-dependent states of the endpoints, and this daemon's row if one changed.
fn tick_endpoints(daemon: &Arc<Daemon>) {
    loop {
        thread::sleep(TICK_INTERVAL);
        if daemon.guard.tick(Instant::now()) {
            daemon.refresh_row();
        }
    }
}

/// Expires ticket records, resolves unknown outcomes and updates the gauges.
fn maintain_tickets(daemon: &Arc<Daemon>) {
    loop {
        thread::sleep(TICKET_MAINTENANCE_INTERVAL);
        daemon.tickets.remove_expired();
        daemon.resolve_unknown();
        daemon.update_gauges();
    }
}

/// Shuts down gracefully: refuses new requests, finishes the open ones, then serves recorded outcomes for a while.
fn shut_down(daemon: &Arc<Daemon>) {
    daemon.phase.handle(PhaseEvent::Stop);
    daemon.edit_row(|it| it.leaving = true);
    thread::sleep(LEAVE_NOTICE);
    let deadline = Instant::now() + DRAIN_LIMIT;
    while daemon.open_request_count() > 0 && Instant::now() < deadline {
        thread::sleep(TICK_INTERVAL);
    }
    daemon.phase.handle(PhaseEvent::Drained);
    thread::sleep(LINGER);
    config_watch::remove_presence(daemon);
    daemon.phase.handle(PhaseEvent::AnswersFetched);
    log::info!(in_flight = daemon.open_request_count(); "stopped");
}

impl Daemon {
    fn new(settings: Settings, gossip_queue: crossbeam::channel::Sender<Vec<Row>>) -> Result<Self, Error> {
        let now = Instant::now();
        let incarnation = incarnation();
        let client = Arc::new(Client::new());
        let row = Row {
            name: settings.name.clone(),
            stamp: Stamp { incarnation, sequence: 1, down: false },
            data_centre: settings.data_centre.clone(),
            peer_address: settings.peers,
            leaving: false,
            endpoints: Vec::new(),
        };
        Ok(Self {
            incarnation,
            started: now,
            phase: PhaseCell::default(),
            config: ActiveConfig::default(),
            table: Mutex::new(MemberTable::new(row, HigherIncarnationPolicy::Accept, now)),
            view: EndpointView::new(settings.data_centre.clone()),
            tickets: IssuedTickets::new(settings.name.clone(), incarnation),
            guard: LocalGuard::new(incarnation),
            peers: PeerClient::new(Arc::clone(&client), settings.peer_key.clone()),
            client,
            platform: Box::new(StoreClient::new(settings.platform)),
            store_access: Mutex::default(),
            pools: ThreadPools {
                callers: ThreadPool::new("caller", MAX_CALLER_THREADS),
                work: ThreadPool::new("work", MAX_WORK_THREADS),
                control: ThreadPool::new("control", MAX_CONTROL_THREADS),
            },
            budgets: RetryBudgets::default(),
            open_requests: Arc::default(),
            gossip_queue,
            metrics: metrics_recorder()?,
            settings,
        })
    }

    fn is_leaving(&self) -> bool {
        !matches!(self.phase.get(), Phase::Joining | Phase::Serving)
    }

    /// Counts a request as open until the returned value is closed.
    fn track_request(&self) -> TrackedRequest {
        self.open_requests.fetch_add(1, Ordering::AcqRel);
        TrackedRequest(Arc::clone(&self.open_requests))
    }

    /// The number of requests and dispatches without a response yet.
    fn open_request_count(&self) -> usize {
        self.open_requests.load(Ordering::Acquire)
    }

    /// The share of a thread pool that requests of this importance may fill, from 0.5 to 1; the most important may fill
    /// all of it.
    fn pool_share(&self, importance: Importance) -> f64 {
        let share = self.config.get().map_or(1.0, |it| it.index.class_fraction_up_to(importance));
        0.5 + 0.5 * share
    }

    /// Runs a dispatch on an endpoint that this daemon guards.
    fn execute(&self, dispatch: &Dispatch) -> DispatchReply {
        let tracked = self.track_request();
        let hooks =
            ExecutionHooks { ejection_context: &|it| self.ejection_context(it), row_changed: &|| self.refresh_row() };
        let reply = self.guard.execute(&self.client, dispatch, &hooks);
        tracked.close();
        reply
    }

    fn ejection_context(&self, endpoint: &str) -> EjectionContext {
        let service = self.guard.service_of(endpoint).unwrap_or_default();
        let config = self.config.get();
        let weighs = config.as_ref().and_then(|it| it.index.service(&service)).map(|it| it.weighs);
        EjectionContext {
            baseline: self.view.baseline_failure_rate(&service, endpoint),
            weighs: weighs.unwrap_or(EjectionPreference::FalseEjections),
        }
    }

    /// Updates this daemon's row from the guard's endpoints.
    fn refresh_row(&self) {
        let endpoints = self.guard.rows();
        self.edit_row(|it| it.endpoints = endpoints);
    }

    /// Changes this daemon's row and queues it for gossip.
    fn edit_row(&self, edit: impl FnOnce(&mut Row)) {
        let mut table = lock(&self.table);
        table.update_own(Instant::now(), edit);
        let row = Row::clone(table.own_row());
        self.apply_row(&row);
        drop(table);
        self.queue_gossip(vec![row]);
    }

    /// Applies a row to the view. The caller holds the table's lock, so that rows are applied in the table's order.
    fn apply_row(&self, row: &Row) {
        let config = self.config.get();
        self.view.apply_row(row, config.as_ref().map(|it| &it.index));
    }

    fn queue_gossip(&self, rows: Vec<Row>) {
        // The gossip thread keeps the receiver until the process ends.
        _ = self.gossip_queue.send(rows);
    }

    fn update_gauges(&self) {
        let counts = self.tickets.counts();
        metrics::gauge!("jayreach_ticket_records").set(counts.records as f64);
        metrics::gauge!("jayreach_config_version").set(self.config.version() as f64);
        metrics::gauge!("jayreach_uptime_seconds").set(self.started.elapsed().as_secs_f64());
        let pools = [("callers", &self.pools.callers), ("work", &self.pools.work), ("control", &self.pools.control)];
        for (name, pool) in pools {
            metrics::gauge!("jayreach_pool_threads", "pool" => name).set(pool.threads() as f64);
        }
    }
}

/// Returns a new incarnation: Unix seconds in the high bits, so that it is higher than earlier ones, and random low
/// bits, so that two starts within a second differ.
fn incarnation() -> Incarnation {
    const RANDOM_BITS: u32 = 20;
    let random: u64 = rand::rng().random_range(0..1 << RANDOM_BITS);
    unix_seconds() << RANDOM_BITS | random
}

fn metrics_recorder() -> Result<PrometheusHandle, Error> {
    let matcher = Matcher::Full("jayreach_request_seconds".into());
    let builder = PrometheusBuilder::new().set_buckets_for_metric(matcher, &REQUEST_TIME_BUCKETS);
    let installed = builder.and_then(PrometheusBuilder::install_recorder);
    installed.map_err(|it| Error::io("installing the metrics recorder", std::io::Error::other(it)))
}

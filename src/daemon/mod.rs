//! The daemon: threads and sockets around the decisions.
//!
//! Locks are held one at a time, but for the table's, under which the view is brought up to date.

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
    consts::{SIGINT, SIGTERM},
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
        thread_pool::ThreadPool,
    },
    decide::ClassRetryBudget,
    error::Error,
    rows::{Incarnation, OwnClaims, Row, Stamp, Table},
    settings::Settings,
    store::{ObjectStore, StoreClient},
    targets::{Importance, Weighs},
    util::{lock, unix_seconds},
    wire::{Dispatch, DispatchReply},
};

/// How many callers' requests are answered at once.
const CALLER_THREADS: usize = 256;
/// How much of peers' work is done at once.
const WORK_THREADS: usize = 512;
/// How many of peers' control calls are answered at once.
const CONTROL_THREADS: usize = 32;
/// How often time passes for endpoints.
const TICK: Duration = Duration::from_millis(100);
/// How often ticket records expire and unknown ones are asked about.
const RECORDS_TICK: Duration = Duration::from_secs(1);
/// How long a daemon that leaves goes on refusing before it looks whether it is idle.
const LEAVE_NOTICE: Duration = Duration::from_secs(1);
/// How long work in flight may take to end after a stop; beyond any class's lateness.
const DRAIN_LIMIT: Duration = Duration::from_secs(125);
/// How long a drained daemon stays for callers that fetch recorded answers.
const LINGER: Duration = Duration::from_secs(2);
/// The buckets of the histogram of request times, in seconds.
const BUCKETS: [f64; 12] = [0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 10.0];

/// The pools of threads, so that no kind of work takes another's.
struct ThreadPools {
    callers: ThreadPool,
    work: ThreadPool,
    control: ThreadPool,
}

/// The retry budgets by class.
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

/// One daemon's state, shared by its threads.
pub(crate) struct Daemon {
    settings: Settings,
    incarnation: Incarnation,
    started: Instant,
    phase: PhaseCell,
    config: ActiveConfig,
    table: Mutex<Table>,
    view: EndpointView,
    tickets: IssuedTickets,
    guard: LocalGuard,
    client: Arc<Client>,
    peers: PeerClient,
    platform: Box<dyn ObjectStore>,
    pools: ThreadPools,
    budgets: RetryBudgets,
    open_requests: Arc<AtomicUsize>,
    gossip_queue: crossbeam::channel::Sender<Vec<Row>>,
    metrics: PrometheusHandle,
}

/// A caller's request that is being answered, until closed.
struct TrackedRequest(Arc<AtomicUsize>);

impl TrackedRequest {
    fn close(self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Runs a daemon until it is told to stop.
pub fn run(settings: Settings) -> Result<(), Error> {
    let mut signals = Signals::new([SIGTERM, SIGINT]).map_err(|it| Error::io("taking signals", it))?;
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
    signals.forever().next();
    shut_down(&daemon);
    Ok(())
}

fn spawn(name: &'static str, daemon: &Arc<Daemon>, act: impl FnOnce(&Arc<Daemon>) + Send + 'static) {
    let daemon = Arc::clone(daemon);
    let result = thread::Builder::new().name(name.into()).spawn(move || act(&daemon));
    result.expect("a daemon can start its first threads");
}

/// Serves a listener from a thread of its own.
fn serve(name: &'static str, daemon: &Arc<Daemon>, listener: Listener, accept: fn(&Arc<Daemon>, Request)) {
    spawn(name, daemon, move |it| {
        let daemon = Arc::clone(it);
        if let Err(error) = listener.serve(move |req| accept(&daemon, req)) {
            log::error!("the listener for {name} can't be served: {error}");
            std::process::abort();
        }
    });
}

/// Lets time pass for the endpoints.
fn tick_endpoints(daemon: &Arc<Daemon>) {
    loop {
        thread::sleep(TICK);
        if daemon.guard.tick(Instant::now()) {
            daemon.refresh_row();
        }
    }
}

/// Lets ticket records expire, and clears up unknown ones.
fn maintain_tickets(daemon: &Arc<Daemon>) {
    loop {
        thread::sleep(RECORDS_TICK);
        daemon.tickets.expire();
        daemon.resolve_unknown();
        daemon.update_gauges();
    }
}

/// Leaves: refuses new work, finishes what is in flight, stays a while for recorded answers.
fn shut_down(daemon: &Arc<Daemon>) {
    daemon.phase.handle(PhaseEvent::Stop);
    daemon.edit_row(|it| it.leaving = true);
    thread::sleep(LEAVE_NOTICE);
    let deadline = Instant::now() + DRAIN_LIMIT;
    while daemon.open_request_count() > 0 && Instant::now() < deadline {
        thread::sleep(TICK);
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
            daemon: settings.name.clone(),
            stamp: Stamp { incarnation, sequence: 1, down: false },
            data_centre: settings.data_centre.clone(),
            peers: settings.peers,
            leaving: false,
            endpoints: Vec::new(),
        };
        Ok(Self {
            incarnation,
            started: now,
            phase: PhaseCell::default(),
            config: ActiveConfig::default(),
            table: Mutex::new(Table::new(row, OwnClaims::Stand, now)),
            view: EndpointView::new(settings.data_centre.clone()),
            tickets: IssuedTickets::new(settings.name.clone(), incarnation),
            guard: LocalGuard::new(incarnation),
            peers: PeerClient::new(Arc::clone(&client), settings.peer_key.clone()),
            client,
            platform: Box::new(StoreClient::new(settings.platform)),
            pools: ThreadPools {
                callers: ThreadPool::new("caller", CALLER_THREADS),
                work: ThreadPool::new("work", WORK_THREADS),
                control: ThreadPool::new("control", CONTROL_THREADS),
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

    /// Counts a caller's request until the value is closed.
    fn track_request(&self) -> TrackedRequest {
        self.open_requests.fetch_add(1, Ordering::AcqRel);
        TrackedRequest(Arc::clone(&self.open_requests))
    }

    /// Requests and dispatches that are not answered yet.
    fn open_request_count(&self) -> usize {
        self.open_requests.load(Ordering::Acquire)
    }

    /// The share of a pool that work of this importance may fill; the most important may fill all.
    fn pool_share(&self, importance: Importance) -> f64 {
        let share = self.config.get().map_or(1.0, |it| it.directory.share_up_to(importance));
        0.5 + 0.5 * share
    }

    /// Runs a dispatch on an endpoint of this guard.
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
        let weighs = config.as_ref().and_then(|it| it.directory.service(&service)).map(|it| it.weighs);
        EjectionContext {
            baseline: self.view.baseline_failure_rate(&service, endpoint),
            weighs: weighs.unwrap_or(Weighs::FalseEjections),
        }
    }

    /// Brings the own row up to date with the guard's endpoints.
    fn refresh_row(&self) {
        let endpoints = self.guard.rows();
        self.edit_row(|it| it.endpoints = endpoints);
    }

    /// Changes the own row and tells the fleet.
    fn edit_row(&self, edit: impl FnOnce(&mut Row)) {
        let mut table = lock(&self.table);
        table.edit_own(Instant::now(), edit);
        let row = Row::clone(table.own());
        self.apply_row(&row);
        drop(table);
        self.queue_gossip(vec![row]);
    }

    /// Brings the view up to date with a row; called under the table's lock, so that rows arrive
    /// here in their order.
    fn apply_row(&self, row: &Row) {
        let config = self.config.get();
        self.view.apply_row(row, config.as_ref().map(|it| &it.directory));
    }

    fn queue_gossip(&self, rows: Vec<Row>) {
        // The receiver lives as long as the process.
        _ = self.gossip_queue.send(rows);
    }

    fn update_gauges(&self) {
        let tally = self.tickets.tally();
        metrics::gauge!("jayreach_ticket_records").set(tally.records as f64);
        metrics::gauge!("jayreach_config_version").set(self.config.version() as f64);
        metrics::gauge!("jayreach_uptime_seconds").set(self.started.elapsed().as_secs_f64());
        let pools = [("callers", &self.pools.callers), ("work", &self.pools.work), ("control", &self.pools.control)];
        for (name, pool) in pools {
            metrics::gauge!("jayreach_pool_threads", "pool" => name).set(pool.threads() as f64);
        }
    }
}

/// A new incarnation: higher than earlier ones by the clock, and drawn so that two that start in
/// the same second differ.
fn incarnation() -> Incarnation {
    const RANDOM_BITS: u32 = 20;
    let random: u64 = rand::rng().random_range(0..1 << RANDOM_BITS);
    unix_seconds() << RANDOM_BITS | random
}

fn metrics_recorder() -> Result<PrometheusHandle, Error> {
    let matcher = Matcher::Full("jayreach_request_seconds".into());
    let builder = PrometheusBuilder::new().set_buckets_for_metric(matcher, &BUCKETS);
    let installed = builder.and_then(PrometheusBuilder::install_recorder);
    installed.map_err(|it| Error::io("installing the metrics", std::io::Error::other(it)))
}

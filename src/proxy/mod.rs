//! The proxy of one VM. Its ingress routes the requests that arrive on the VM; its guard admits work to the endpoint.
//!
//! Everything runs on one thread, because the VM has a fraction of a core. Decisions are made in
//! [`decide`](crate::decide); this module and its submodules do the input and output.

mod admin;
mod backoff;
pub mod body;
mod body_memory;
mod client;
mod clock;
mod config_watch;
pub mod directory;
mod endpoint;
mod endpoint_reports;
pub mod events;
mod gossip;
pub mod guard;
mod header_timeout;
mod headers;
mod ingress;
mod interim_limit;
mod join;
mod link_set;
pub mod message;
mod net;
mod open_work;
mod peer_link;
mod peer_server;
mod quarantine_sync;
pub mod routes;
mod server;
pub mod settings;
mod stop;
mod store_search;
mod version_news;
mod watch_succession;

pub use client::CallError;
pub(crate) use client::call;

use std::{
    cell::{Cell, RefCell},
    io,
    path::{Path, PathBuf},
    rc::Rc,
    time::Instant,
};

use metrics_exporter_prometheus::{Matcher, PrometheusBuilder, PrometheusHandle};
use nix::sys::signal::Signal;
use tokio::{
    sync::{Mutex, Notify},
    task::LocalSet,
};

use crate::{
    decide::{
        guard_retry_budget::RetryBudgetConfig,
        shutdown::{Shutdown, ShutdownStage},
        store_search::StoreReachability,
        watchers::Substitution,
    },
    error::Error,
    platform::{ConfigFinding, ParsedConfig, Store},
    proxy::{
        body_memory::BodyMemory,
        directory::{Directory, GuardedService, ProxyName, Row},
        endpoint_reports::EndpointReports,
        events::{Event, EventLog},
        guard::Guard,
        ingress::IngressState,
        link_set::RecentServices,
        net::AbortOnDropTask,
        open_work::OpenExchanges,
        peer_link::Link,
        routes::{Config, Version},
        server::PeerConnections,
        settings::Settings,
        stop::Signals,
        version_news::ConfigOffer,
    },
    rows::{MemberKey, Stamp},
    startup_signals,
};

/// Bucket bounds of the latency histograms, in seconds.
const BUCKETS: [f64; 12] = [0.005, 0.02, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 25.0, 60.0];

/// State of the proxy, shared by all its tasks.
pub(crate) struct Proxy {
    name: ProxyName,
    started: Instant,
    settings_path: PathBuf,
    settings: RefCell<Rc<Settings>>,
    events: Rc<EventLog>,
    store: Store,
    guard: Rc<Guard>,
    /// Whether the endpoint's address is being queried because no endpoint is known.
    finding_endpoint: Cell<bool>,
    body_memory: Rc<BodyMemory>,
    /// Active configuration; its version never decreases.
    config: RefCell<Option<Rc<Config>>>,
    /// Invalid parts of the active configuration.
    config_findings: RefCell<Vec<ConfigFinding>>,
    /// When the active configuration was activated; before the first, when the process started.
    config_activated_at: Cell<Instant>,
    config_changed: Notify,
    /// Whether a configuration is being fetched from a peer.
    fetching_config: Cell<bool>,
    /// Peers that have a newer configuration, to fetch it from.
    config_offers: RefCell<Vec<ConfigOffer>>,
    /// Until when news of versions are sent on new connections, as links gave no answer.
    links_avoided_until: Cell<Option<Instant>>,
    /// When the store last confirmed to any proxy that the active configuration is the newest, as far as known here.
    config_confirmed_at: Cell<Option<Instant>>,
    /// Whether this proxy watches the store on behalf of the fleet.
    watching: Cell<bool>,
    /// Whether this proxy watches the store once no proxy before it in rank does.
    stands_by: Cell<bool>,
    /// Whether this proxy watches the store because no proxy before it in rank does.
    stands_in: Cell<bool>,
    /// Notified when `stands_in` changes.
    watch_duty_changed: Notify,
    /// The proxy before this one in rank that was last found to watch the store or to stand by.
    watch_predecessor: Cell<Option<MemberKey>>,
    /// What calls for the configuration told about the store.
    store_reachability: Cell<StoreReachability>,
    /// Held while the store is read for a peer.
    store_read_turn: Mutex<()>,
    /// Searches for a proxy that reaches the store, while this watcher doesn't.
    store_search: RefCell<Option<AbortOnDropTask>>,
    substitution: Cell<Substitution>,
    directory: RefCell<Directory>,
    /// Notified when a directory entry changes or a proxy joins or leaves.
    members_changed: Notify,
    /// Sorted by name.
    links: RefCell<Vec<(ProxyName, Rc<Link>)>>,
    recent_services: RefCell<RecentServices>,
    /// Whether a non-empty list of proxies was read from the store.
    members_loaded: Cell<bool>,
    ingress: RefCell<IngressState>,
    /// What the endpoints of other proxies said in answers that this proxy passed on.
    endpoint_reports: RefCell<EndpointReports>,
    /// Number of changes of the endpoint or its standing; sent as [`directory::ProxyStatus::revision`].
    endpoint_changes: Cell<u64>,
    /// Requests of callers whose response isn't written yet.
    caller_exchanges: OpenExchanges,
    /// Calls of peers whose response isn't passed to its connection yet.
    peer_exchanges: OpenExchanges,
    peer_connections: PeerConnections,
    /// Set when SIGTERM or SIGINT is received.
    stop: Cell<Option<Shutdown>>,
    /// Notified when `stop` is set.
    stop_requested: Notify,
    metrics: PrometheusHandle,
}

/// Runs a proxy with the settings file at `path` until SIGTERM or SIGINT.
///
/// # Errors
///
/// Invalid settings, sockets that can't be opened, and failures to start the runtime, the event writer or the metrics.
pub fn run(path: &Path) -> Result<(), Error> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|it| Error::io("starting the runtime", it))?;
    LocalSet::new().block_on(&runtime, run_in_local_set(path))
}

async fn run_in_local_set(path: &Path) -> Result<(), Error> {
    // Before the settings, so that a slow read of them delays no signal.
    let hup = startup_signals::inherited(Signal::SIGHUP);
    let term = startup_signals::inherited(Signal::SIGTERM);
    let signals = Signals::register().map_err(|it| Error::io("installing the signal handlers", it))?;
    let settings = Settings::load(path)?;
    let events = EventLog::start(settings.name.clone(), io::stdout())
        .map_err(|it| Error::io("starting the event writer", it))?;
    let proxy = Rc::new(Proxy::new(settings, path, Rc::new(events))?);
    proxy.events.emit(&Event::Started { version: env!("CARGO_PKG_VERSION"), hup, term });
    proxy.start_listeners()?;
    proxy.start_tasks();
    stop::run_until_stopped(&proxy, signals).await;
    Ok(())
}

impl Proxy {
    fn new(settings: Settings, path: &Path, events: Rc<EventLog>) -> Result<Self, Error> {
        let now = clock::now();
        let retry_budget = RetryBudgetConfig { ratio: settings.retry_ratio, slack: settings.retry_slack };
        let body_memory =
            Rc::new(BodyMemory::new(settings.memory_bytes.unwrap_or_else(body_memory::default_process_memory)));
        let guard = Guard::new(
            rand::random(),
            settings.announce_interval,
            retry_budget,
            Rc::clone(&events),
            Rc::clone(&body_memory),
        );
        Ok(Self {
            name: settings.name.clone(),
            started: now,
            settings_path: path.into(),
            store: Store::new(settings.store),
            guard: Rc::new(guard),
            finding_endpoint: Cell::new(false),
            body_memory,
            events,
            config: RefCell::default(),
            config_findings: RefCell::default(),
            config_activated_at: Cell::new(now),
            config_changed: Notify::new(),
            fetching_config: Cell::new(false),
            config_offers: RefCell::default(),
            links_avoided_until: Cell::new(None),
            config_confirmed_at: Cell::new(None),
            watching: Cell::new(false),
            stands_by: Cell::new(false),
            stands_in: Cell::new(false),
            watch_duty_changed: Notify::new(),
            watch_predecessor: Cell::new(None),
            store_reachability: Cell::default(),
            store_read_turn: Mutex::default(),
            store_search: RefCell::default(),
            substitution: Cell::default(),
            directory: RefCell::new(Directory::new(initial_row(&settings), now)),
            settings: RefCell::new(Rc::new(settings)),
            members_changed: Notify::new(),
            links: RefCell::default(),
            recent_services: RefCell::default(),
            members_loaded: Cell::new(false),
            ingress: RefCell::default(),
            endpoint_reports: RefCell::default(),
            endpoint_changes: Cell::new(0),
            caller_exchanges: OpenExchanges::default(),
            peer_exchanges: OpenExchanges::default(),
            peer_connections: PeerConnections::default(),
            stop: Cell::new(None),
            stop_requested: Notify::new(),
            metrics: metrics_recorder()?,
        })
    }

    /// Version of the active configuration; 0 if there is none.
    fn version(&self) -> Version {
        self.config.borrow().as_ref().map_or(0, |it| it.version)
    }

    /// Activates a configuration if it is newer than the active one.
    fn activate_config(&self, parsed: ParsedConfig, source: &'static str) {
        let ParsedConfig { config, findings } = parsed;
        let before = self.version();
        if config.version <= before {
            return;
        }
        for it in &findings {
            self.events.emit(&Event::ConfigRefused { version: config.version, place: &it.place, why: &it.problem });
        }
        *self.config_findings.borrow_mut() = findings;
        self.events.emit(&Event::Config {
            version: config.version,
            before,
            source,
            routes: config.routes().len(),
            confirmed_ms: self.confirmed_ms(),
        });
        metrics::counter!("jayreach_config_activations_total", "source" => source).increment(1);
        metrics::gauge!("jayreach_config_version").set(config.version as f64);
        self.drop_removed_routes(&config);
        *self.config.borrow_mut() = Some(Rc::new(config));
        self.config_activated_at.set(clock::now());
        self.config_changed.notify_one();
    }

    /// Drops the statistics of routes that are not in `config`.
    fn drop_removed_routes(&self, config: &Config) {
        let mut names: Vec<&str> = config.routes().iter().map(|it| &*it.name).collect();
        names.sort_unstable();
        let keep = |it: &str| names.binary_search(&it).is_ok();
        self.ingress.borrow_mut().retain_routes(keep);
        self.guard.retain_routes(keep);
    }

    /// Logs and counts an invalid object of the store or an invalid announcement; `of` says which of the two.
    fn report_skipped_entry(&self, of: &'static str, entry: &str, why: &str) {
        self.events.emit(&Event::EntrySkipped { entry, why });
        metrics::counter!("jayreach_entries_skipped_total", "of" => of).increment(1);
    }

    fn is_stopping(&self) -> bool {
        self.stop.get().is_some()
    }

    /// Whether new requests are refused because the shutdown leaves no time to finish them.
    fn refuses_new_requests(&self) -> bool {
        self.stop.get().is_some_and(|it| it.stage() != ShutdownStage::HandingOver)
    }

    /// Whether callers should send requests to this proxy. The platform stops a VM when its endpoint has ended, so a
    /// leaving endpoint ends the readiness: long requests would be cut off by that stop.
    fn is_ready(&self) -> bool {
        !self.is_stopping() && !self.guard.endpoint_said_leaving() && self.config.borrow().is_some()
    }
}

/// Directory entry of a proxy that has just started.
fn initial_row(settings: &Settings) -> Row {
    Row {
        name: settings.name.clone(),
        stamp: Stamp { incarnation: clock::unix_millis(), sequence: 1, down: false },
        data_centre: settings.data_centre.clone(),
        peer_address: settings.advertised,
        leaving: false,
        endpoints: GuardedService { service: settings.service.clone(), endpoint: None },
    }
}

fn metrics_recorder() -> Result<PrometheusHandle, Error> {
    let matcher = Matcher::Suffix("seconds".into());
    let builder = PrometheusBuilder::new().set_buckets_for_metric(matcher, &BUCKETS);
    let installed = builder.and_then(PrometheusBuilder::install_recorder);
    installed.map_err(|it| Error::io("starting the metrics", io::Error::other(it)))
}

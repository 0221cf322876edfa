//! One proxy beside one endpoint: ingress for the requests that begin on this VM, guard of its endpoint.
//!
//! Everything runs on one thread, since the VM has a fraction of a core. Decisions are in
//! [`decide`](crate::decide); this module and its parts do input and output and call them.

mod admin;
mod backoff;
mod client;
mod clock;
mod config_watch;
pub mod directory;
mod endpoint;
pub mod events;
mod gossip;
pub mod guard;
mod header_timeout;
mod headers;
mod ingress;
mod join;
mod link_set;
pub mod message;
mod net;
mod peer_link;
mod peer_server;
mod quarantine_sync;
pub mod routes;
mod server;
pub mod settings;
mod stop;

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
use tokio::{sync::Notify, task::LocalSet};

use crate::{
    decide::{
        guard_retry_budget::RetryBudgetConfig,
        shutdown::{Shutdown, ShutdownStage},
        watchers::WatchSubstitution,
    },
    error::Error,
    platform::{ConfigFinding, ParsedConfig, Store},
    proxy::{
        directory::{Directory, GuardedService, ProxyName, Row},
        events::{Event, EventLog},
        guard::Guard,
        ingress::IngressState,
        link_set::RecentServices,
        peer_link::Link,
        routes::{Config, Version},
        settings::Settings,
        stop::Signals,
    },
    rows::Stamp,
};

/// The bounds of the latency histograms, in seconds: from a hop to the longest timeouts.
const BUCKETS: [f64; 12] = [0.005, 0.02, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 25.0, 60.0];

/// The state of this process.
pub(crate) struct Proxy {
    name: ProxyName,
    started: Instant,
    settings_path: PathBuf,
    settings: RefCell<Rc<Settings>>,
    events: Rc<EventLog>,
    store: Store,
    guard: Rc<Guard>,
    /// The configuration in force; its version never goes down.
    config: RefCell<Option<Rc<Config>>>,
    /// What of it wasn't understood.
    config_findings: RefCell<Vec<ConfigFinding>>,
    config_changed: Notify,
    /// A configuration is being fetched from a peer.
    fetching_config: Cell<bool>,
    /// When someone last had the store's answer that the configuration in force is the newest, as far as known.
    config_confirmed_at: Cell<Option<Instant>>,
    /// This proxy watches the store for the others.
    watching: Cell<bool>,
    /// The store gave the last watch, or the read before it, no answer.
    store_unreachable: Cell<bool>,
    substitution: Cell<WatchSubstitution>,
    directory: RefCell<Directory>,
    /// Some row changed, or a proxy joined or left.
    members_changed: Notify,
    /// Sorted by name.
    links: RefCell<Vec<(ProxyName, Rc<Link>)>>,
    needs: RefCell<RecentServices>,
    /// The store's list of proxies was taken in.
    members_loaded: Cell<bool>,
    ingress: RefCell<IngressState>,
    /// See [`directory::ProxyStatus::revision`].
    endpoint_changes: Cell<u64>,
    /// Requests of callers that have no answer yet.
    open_requests: Cell<usize>,
    /// Set by SIGTERM.
    stop: Cell<Option<Shutdown>>,
    /// `stop` was set.
    stop_requested: Notify,
    metrics: PrometheusHandle,
}

/// Runs a proxy until it is told to stop.
///
/// # Errors
///
/// Settings with findings, and sockets that can't be opened.
pub fn run(path: &Path) -> Result<(), Error> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|it| Error::io("starting the runtime", it))?;
    LocalSet::new().block_on(&runtime, run_here(path))
}

async fn run_here(path: &Path) -> Result<(), Error> {
    // Before all else: a signal that finds no handler ends the process.
    let signals = Signals::register().map_err(|it| Error::io("taking signals", it))?;
    let settings = Settings::load(path)?;
    let events = EventLog::start(settings.name.clone(), io::stdout())
        .map_err(|it| Error::io("starting the event writer", it))?;
    let proxy = Rc::new(Proxy::new(settings, path, Rc::new(events))?);
    proxy.events.emit(&Event::Started { version: env!("CARGO_PKG_VERSION") });
    proxy.start_listeners()?;
    proxy.start_tasks();
    stop::run_until_stopped(&proxy, signals).await;
    Ok(())
}

impl Proxy {
    fn new(settings: Settings, path: &Path, events: Rc<EventLog>) -> Result<Self, Error> {
        let now = clock::now();
        let retry_budget = RetryBudgetConfig { ratio: settings.retry_ratio, slack: settings.retry_slack };
        Ok(Self {
            name: settings.name.clone(),
            started: now,
            settings_path: path.into(),
            store: Store::new(settings.store),
            guard: Rc::new(Guard::new(rand::random(), settings.announce_interval, retry_budget, Rc::clone(&events))),
            events,
            config: RefCell::default(),
            config_findings: RefCell::default(),
            config_changed: Notify::new(),
            fetching_config: Cell::new(false),
            config_confirmed_at: Cell::new(None),
            watching: Cell::new(false),
            store_unreachable: Cell::new(false),
            substitution: Cell::default(),
            directory: RefCell::new(Directory::new(first_row(&settings), now)),
            settings: RefCell::new(Rc::new(settings)),
            members_changed: Notify::new(),
            links: RefCell::default(),
            needs: RefCell::default(),
            members_loaded: Cell::new(false),
            ingress: RefCell::default(),
            endpoint_changes: Cell::new(0),
            open_requests: Cell::new(0),
            stop: Cell::new(None),
            stop_requested: Notify::new(),
            metrics: metrics_recorder()?,
        })
    }

    /// The version of the configuration in force; 0 for none.
    fn version(&self) -> Version {
        self.config.borrow().as_ref().map_or(0, |it| it.version)
    }

    /// Puts a configuration in force, unless a newer one is.
    fn activate_config(&self, parsed: ParsedConfig, source: &str) {
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
        metrics::gauge!("jayreach_config_version").set(config.version as f64);
        self.keep_routes(&config);
        *self.config.borrow_mut() = Some(Rc::new(config));
        self.config_changed.notify_one();
    }

    /// Forgets what was learnt of routes that `config` does not have.
    fn keep_routes(&self, config: &Config) {
        let mut names: Vec<&str> = config.routes().iter().map(|it| &*it.name).collect();
        names.sort_unstable();
        let keep = |it: &str| names.binary_search(&it).is_ok();
        self.ingress.borrow_mut().retain_routes(keep);
        self.guard.retain_routes(keep);
    }

    /// Says that something which another writer left or sent, in the store or as an announcement, can't be used.
    fn report_skipped_entry(&self, of: &'static str, entry: &str, why: &str) {
        self.events.emit(&Event::EntrySkipped { entry, why });
        metrics::counter!("jayreach_entries_skipped_total", "of" => of).increment(1);
    }

    fn is_stopping(&self) -> bool {
        self.stop.get().is_some()
    }

    /// Whether new requests are refused at once: what begins now could not be finished.
    fn refuses_new_requests(&self) -> bool {
        self.stop.get().is_some_and(|it| it.stage() != ShutdownStage::HandingOver)
    }

    /// Whether callers should come here.
    fn is_ready(&self) -> bool {
        !self.is_stopping() && self.config.borrow().is_some()
    }

    /// Counts a request until the result is dropped.
    fn count_request(self: &Rc<Self>) -> CountedRequest {
        self.open_requests.set(self.open_requests.get() + 1);
        CountedRequest(Rc::clone(self))
    }
}

/// The row of a proxy that has just started.
fn first_row(settings: &Settings) -> Row {
    Row {
        daemon: settings.name.clone(),
        stamp: Stamp { incarnation: clock::unix_millis(), sequence: 1, down: false },
        data_centre: settings.data_centre.clone(),
        peers: settings.advertised,
        leaving: false,
        endpoints: GuardedService { service: settings.service.clone(), endpoint: None },
    }
}

/// A request that has no answer yet.
struct CountedRequest(Rc<Proxy>);

impl Drop for CountedRequest {
    fn drop(&mut self) {
        self.0.open_requests.set(self.0.open_requests.get() - 1);
    }
}

fn metrics_recorder() -> Result<PrometheusHandle, Error> {
    let matcher = Matcher::Suffix("seconds".into());
    let builder = PrometheusBuilder::new().set_buckets_for_metric(matcher, &BUCKETS);
    let installed = builder.and_then(PrometheusBuilder::install_recorder);
    installed.map_err(|it| Error::io("starting the metrics", io::Error::other(it)))
}

//! A small deployment: the store, endpoints, and a proxy beside each, as separate processes.

use std::{
    fs, io,
    net::{Ipv4Addr, SocketAddr},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};

use crate::{
    fleet,
    platform::{caller::CallerRequest, endpoint::Endpoint, store::Store},
    relay::Relay,
};

/// How often endpoints announce themselves.
const ANNOUNCE_EVERY: Duration = Duration::from_millis(150);
/// How long a deployment may take to do what is waited for.
const PATIENCE: Duration = Duration::from_secs(20);
/// A process that has started handles signals within this.
const STARTED_WITHIN: Duration = Duration::from_millis(20);
/// The host of all routes.
pub const HOST: &str = "desk.example";

/// The ports of a proxy, at an address of its own: callers, peers, announcements, readiness, metrics.
const PORTS: [u16; 5] = [7100, 7101, 7102, 7103, 7104];

static SITES: AtomicU32 = AtomicU32::new(1);
static PROXIES: AtomicU32 = AtomicU32::new(1);

/// A proxy's process and addresses.
pub struct Proxy {
    child: Child,
    settings: PathBuf,
    log: PathBuf,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where its endpoint announces itself.
    pub announcements: SocketAddr,
    /// Where the platform asks for readiness.
    pub readiness: SocketAddr,
    /// Where its metrics are.
    pub metrics: SocketAddr,
    /// The endpoint beside it.
    pub endpoint: Endpoint,
    /// What stands between it and the others, if anything does.
    pub relays: Option<Relays>,
    announcing: Arc<AtomicBool>,
}

/// The relays of one proxy.
#[derive(Debug, Clone)]
pub struct Relays {
    /// Other proxies reach it through this.
    pub peers: Relay,
    /// It reaches its endpoint through this.
    pub endpoint: Relay,
    /// It reaches the store through this.
    pub store: Relay,
}

impl Relays {
    fn start(peers: SocketAddr, endpoint: SocketAddr, store: SocketAddr) -> io::Result<Self> {
        Ok(Self { peers: Relay::start(peers)?, endpoint: Relay::start(endpoint)?, store: Relay::start(store)? })
    }
}

/// A deployment; its processes are killed when it goes out of scope.
pub struct Site {
    /// The store.
    pub store: Store,
    /// The proxies.
    pub proxies: Vec<Proxy>,
    relays: bool,
    folder: PathBuf,
}

impl Site {
    /// Starts the store alone.
    pub fn start() -> io::Result<Self> {
        Self::start_with(false)
    }

    /// Starts the store; each proxy that is added will stand between relays.
    pub fn start_with_relays() -> io::Result<Self> {
        Self::start_with(true)
    }

    fn start_with(relays: bool) -> io::Result<Self> {
        let number = SITES.fetch_add(1, Ordering::Relaxed);
        let folder = std::env::temp_dir().join(format!("jayreach-site-{}-{number}", std::process::id()));
        fs::create_dir_all(&folder)?;
        Ok(Self { store: Store::start()?, proxies: Vec::new(), relays, folder })
    }

    /// Adds an endpoint with a proxy beside it.
    pub fn add_vm(&mut self, service: &str, data_centre: &str, slots: u32, work: Duration) -> io::Result<()> {
        let number = self.proxies.len() + 1;
        let mut endpoint = Endpoint::start(service, &format!("i-{number}"), slots, work)?;
        let address = own_address()?;
        let ports = PORTS.map(|it| SocketAddr::from((address, it)));
        let (mut advertised, mut store) = (ports[1], self.store.address);
        let mut relays = None;
        if self.relays {
            let it = Relays::start(ports[1], endpoint.address, store)?;
            endpoint.add_relay(&it.endpoint);
            (advertised, endpoint.address, store) = (it.peers.address, it.endpoint.address, it.store.address);
            relays = Some(it);
        }
        let settings = self.folder.join(format!("vm-{number}.toml"));
        let log = self.folder.join(format!("vm-{number}.log"));
        let text = format!(
            "name = \"vm-{number}\"\ndata_centre = \"{data_centre}\"\nservice = \"{service}\"\ncallers = \"{}\"\n\
             peers = \"{}\"\nadvertised = \"{advertised}\"\nannouncements = \"{}\"\nreadiness = \"{}\"\nmetrics = \"{}\"\nendpoint = \"{}\"\n\
             store = \"{store}\"\nannounce_every_s = {}\ngrace_s = 3\nretry_ratio = 0.2\n\
             retry_slack = 60\n",
            ports[0],
            ports[1],
            ports[2],
            ports[3],
            ports[4],
            endpoint.address,
            ANNOUNCE_EVERY.as_secs_f64(),
        );
        fs::write(&settings, text)?;
        let child = spawn(&settings, &log)?;
        let announcing = Arc::new(AtomicBool::new(true));
        keep_announcing(endpoint.clone(), ports[2], Arc::clone(&announcing));
        self.proxies.push(Proxy {
            child,
            settings,
            log,
            callers: ports[0],
            announcements: ports[2],
            readiness: ports[3],
            metrics: ports[4],
            endpoint,
            relays,
            announcing,
        });
        Ok(())
    }

    /// Waits until every proxy is ready and knows `endpoints` endpoints that take work.
    pub fn wait_until_ready(&self, endpoints: usize) -> bool {
        let found = eventually(|| self.proxies.iter().all(|it| it.is_ready() && it.known_endpoints() == endpoints));
        if !found {
            self.proxies.iter().for_each(Proxy::print_diagnostics);
        }
        found
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        for it in &mut self.proxies {
            it.announcing.store(false, Ordering::Relaxed);
            it.kill();
        }
        // A folder that stays in the temporary directory harms no one.
        _ = fs::remove_dir_all(&self.folder);
    }
}

impl Proxy {
    /// Whether it says that callers should come.
    pub fn is_ready(&self) -> bool {
        let call = CallerRequest { line: "GET /readiness", host: "ready", request: "", deadline: PATIENCE, body: b"" };
        call.send_and_read(self.readiness).is_ok_and(|it| it.status() == 200)
    }

    /// Its status, as JSON.
    pub fn status(&self) -> Value {
        Self::status_at(self.metrics)
    }

    /// The status of the proxy with this metrics address; null if there is none.
    pub fn status_at(metrics: SocketAddr) -> Value {
        let call = CallerRequest { line: "GET /status", host: "status", request: "", deadline: PATIENCE, body: b"" };
        let answer = call.send_and_read(metrics).ok();
        answer.and_then(|it| serde_json::from_slice(&it.body).ok()).unwrap_or(Value::Null)
    }

    /// How many endpoints it knows that take work.
    pub fn known_endpoints(&self) -> usize {
        let status = self.status();
        let rows = status["peers"].as_array().cloned().unwrap_or_default();
        rows.iter().chain([&status["row"]]).filter(|it| it["endpoint"].is_object()).count()
    }

    /// Prints what it wrote beside its event lines, and what it knows.
    pub fn print_diagnostics(&self) {
        let text = fs::read_to_string(&self.log).unwrap_or_default();
        let words: Vec<&str> = text.lines().filter(|it| !it.starts_with('{')).collect();
        eprintln!("{}: {words:?}; status {}", self.settings.display(), self.status());
    }

    /// Its event lines.
    pub fn events(&self) -> Vec<Value> {
        let text = fs::read_to_string(&self.log).unwrap_or_default();
        text.lines().filter_map(|it| serde_json::from_str(it).ok()).collect()
    }

    /// The path of its settings file.
    pub fn settings_path(&self) -> &PathBuf {
        &self.settings
    }

    /// The path of its event lines.
    pub fn log_path(&self) -> &PathBuf {
        &self.log
    }

    /// Sends a signal.
    pub fn signal(&self, signal: Signal) {
        // A process that has ended needs no signal.
        _ = kill_process(Pid::from_child(&self.child), signal);
    }

    /// Tells it that its settings changed, once it has come so far that it handles the signal: in its first millisecond, before
    /// any code of its own runs, every program ends by it.
    pub fn reload(&self) {
        let deadline = Instant::now() + STARTED_WITHIN;
        while !self.handles_reload() && Instant::now() < deadline {
            thread::sleep(Duration::from_micros(200));
        }
        self.signal(Signal::HUP);
    }

    /// Whether the system knows a handler of SIGHUP of the process.
    fn handles_reload(&self) -> bool {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap_or_default();
        let caught = status.lines().find_map(|it| it.strip_prefix("SigCgt:"));
        // The bits are numbered from 1.
        caught.is_some_and(|it| u64::from_str_radix(it.trim(), 16).is_ok_and(|it| it & 1 != 0))
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        _ = self.child.kill();
        _ = self.child.wait();
    }

    /// Starts the process anew.
    pub fn restart(&mut self) -> io::Result<()> {
        self.kill();
        self.child = spawn(&self.settings, &self.log)?;
        Ok(())
    }

    /// Whether the process has ended.
    pub fn has_exited(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }

    /// Whether the process ends by itself within the patience of these tests.
    pub fn exits_in_time(&mut self) -> bool {
        let deadline = Instant::now() + PATIENCE;
        while Instant::now() < deadline {
            if self.has_exited() {
                return true;
            }
            thread::sleep(Duration::from_millis(20));
        }
        false
    }

    /// Its endpoint announces itself no more.
    pub fn stop_announcements(&self) {
        self.announcing.store(false, Ordering::Relaxed);
        thread::sleep(ANNOUNCE_EVERY * 2);
    }
}

fn spawn(settings: &PathBuf, log: &PathBuf) -> io::Result<Child> {
    let out = fs::OpenOptions::new().create(true).append(true).open(log)?;
    let mut command = Command::new(fleet::program_path("jayreach")?);
    command.arg("proxy").arg("--settings").arg(settings);
    let err = out.try_clone()?;
    command.stdin(Stdio::null()).stdout(out).stderr(err).spawn()
}

fn keep_announcing(endpoint: Endpoint, proxy: SocketAddr, announcing: Arc<AtomicBool>) {
    thread::spawn(move || {
        while announcing.load(Ordering::Relaxed) {
            // A proxy that is down hears the next one.
            _ = endpoint.announce(proxy, false);
            thread::sleep(ANNOUNCE_EVERY);
        }
    });
}

/// An address of its own for each proxy: on a shared one, ports that were free a moment ago are taken
/// by other tests' listeners and connections.
fn own_address() -> io::Result<Ipv4Addr> {
    let number = u8::try_from(PROXIES.fetch_add(1, Ordering::Relaxed)).map_err(io::Error::other)?;
    let [_, _, high, low] = std::process::id().to_be_bytes();
    Ok(Ipv4Addr::new(127, 64 + high % 64, low, number))
}

/// Whether `condition` comes to hold within the patience of these tests.
pub fn eventually(condition: impl Fn() -> bool) -> bool {
    let deadline = Instant::now() + PATIENCE;
    while Instant::now() < deadline {
        if condition() {
            return true;
        }
        thread::sleep(Duration::from_millis(20));
    }
    false
}

/// A route of the operator's configuration.
pub fn route(prefix: &str, kind: &str, rank: u32, services: &[(&str, u32)]) -> Value {
    let clusters: Vec<Value> = services.iter().map(|it| json!({"service": it.0, "weight": it.1})).collect();
    let mut route = json!({
        "host": HOST, "path_prefix": prefix, "kind": kind, "timeout_s": 2.0, "target_latency_s": 1.0,
        "priority": rank, "max_attempts": 2,
    });
    match services {
        [(only, _)] => route["service"] = json!(only),
        _ => route["weighted_clusters"] = json!(clusters),
    }
    route
}

/// The operator's configuration with these routes, by name.
pub fn config(version: u32, routes: &[(&str, Value)]) -> Value {
    let routes: serde_json::Map<String, Value> =
        routes.iter().map(|(name, it)| ((*name).to_owned(), it.clone())).collect();
    json!({
        "version": format!("{version:08x}"), "routes": routes, "services": {},
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 65536, "header_timeout_s": 1.0, "idle_timeout_s": 5.0},
    })
}

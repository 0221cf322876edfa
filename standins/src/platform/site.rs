//! A small deployment: a stand-in store, stand-in endpoints, and for each endpoint a real proxy as a separate process.

use std::{
    fs, io,
    net::{Ipv4Addr, SocketAddr, TcpStream},
    path::PathBuf,
    process::{Child, Command, ExitStatus, Stdio},
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

/// Interval of the endpoints' heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(150);
/// Longest wait for a condition, a response or the exit of a process.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);
/// Age from which the platform sends SIGHUP to a process that has opened no port.
const PORTLESS_RELOAD_AGE: Duration = Duration::from_secs(8);
/// How long a reload waits for the process to open its ports.
const PORT_WAIT: Duration = Duration::from_secs(1);
/// Host of all routes.
pub const HOST: &str = "desk.example";

/// Ports of each proxy for callers, peers, announcements, readiness and metrics. Each proxy has its own address.
const PORTS: [u16; 5] = [7100, 7101, 7102, 7103, 7104];

static NEXT_SITE: AtomicU32 = AtomicU32::new(1);
static NEXT_PROXY: AtomicU32 = AtomicU32::new(1);

/// A proxy's process, its addresses and its endpoint.
pub struct Proxy {
    child: Child,
    /// When the process was started.
    started: Instant,
    settings_path: PathBuf,
    log_path: PathBuf,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for the heartbeats of its endpoint.
    pub announcements: SocketAddr,
    /// Address for readiness probes.
    pub readiness: SocketAddr,
    /// Address for metrics and status.
    pub metrics: SocketAddr,
    /// Endpoint on the same VM.
    pub endpoint: Endpoint,
    /// Relays around the proxy, if the site has relays.
    pub relays: Option<Relays>,
    heartbeats_enabled: Arc<AtomicBool>,
}

/// Relays around one proxy.
#[derive(Debug, Clone)]
pub struct Relays {
    /// From the other proxies to this one.
    pub peers: Relay,
    /// From the proxy to its endpoint.
    pub endpoint: Relay,
    /// From the proxy to the store.
    pub store: Relay,
}

impl Relays {
    fn start(peers: SocketAddr, endpoint: SocketAddr, store: SocketAddr) -> io::Result<Self> {
        Ok(Self { peers: Relay::start(peers)?, endpoint: Relay::start(endpoint)?, store: Relay::start(store)? })
    }
}

/// A deployment; its processes are killed on drop.
pub struct Site {
    /// Store that all proxies use.
    pub store: Store,
    /// Proxies in the order in which they were added.
    pub proxies: Vec<Proxy>,
    with_relays: bool,
    dir: PathBuf,
}

impl Site {
    /// Starts the store; proxies connect directly.
    pub fn start() -> io::Result<Self> {
        Self::start_with(false)
    }

    /// Starts the store; proxies connect through relays.
    pub fn start_with_relays() -> io::Result<Self> {
        Self::start_with(true)
    }

    fn start_with(with_relays: bool) -> io::Result<Self> {
        let number = NEXT_SITE.fetch_add(1, Ordering::Relaxed);
        let dir = std::env::temp_dir().join(format!("jayreach-site-{}-{number}", std::process::id()));
        fs::create_dir_all(&dir)?;
        Ok(Self { store: Store::start()?, proxies: Vec::new(), with_relays, dir })
    }

    /// Starts an endpoint, which sends heartbeats, and its proxy. `work_time` is the time that the endpoint takes to
    /// run a request.
    pub fn add_vm(&mut self, service: &str, data_centre: &str, slots: u32, work_time: Duration) -> io::Result<()> {
        let number = self.proxies.len() + 1;
        let mut endpoint = Endpoint::start(service, &format!("i-{number}"), slots, work_time)?;
        let address = unused_address()?;
        let ports = PORTS.map(|it| SocketAddr::from((address, it)));
        let (mut advertised, mut store) = (ports[1], self.store.address);
        let mut relays = None;
        if self.with_relays {
            let it = Relays::start(ports[1], endpoint.address, store)?;
            endpoint.add_relay(&it.endpoint);
            (advertised, endpoint.address, store) = (it.peers.address, it.endpoint.address, it.store.address);
            relays = Some(it);
        }
        let settings_path = self.dir.join(format!("vm-{number}.toml"));
        let log_path = self.dir.join(format!("vm-{number}.log"));
        let settings = format!(
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
            HEARTBEAT_INTERVAL.as_secs_f64(),
        );
        fs::write(&settings_path, settings)?;
        let child = spawn_proxy(&settings_path, &log_path)?;
        let heartbeats_enabled = Arc::new(AtomicBool::new(true));
        send_heartbeats(endpoint.clone(), ports[2], Arc::clone(&heartbeats_enabled));
        self.proxies.push(Proxy {
            child,
            started: Instant::now(),
            settings_path,
            log_path,
            callers: ports[0],
            announcements: ports[2],
            readiness: ports[3],
            metrics: ports[4],
            endpoint,
            relays,
            heartbeats_enabled,
        });
        Ok(())
    }

    /// Waits until every proxy is ready and lists `endpoints` endpoints; if that takes too long, prints each proxy's
    /// diagnostics and returns false.
    pub fn wait_until_ready(&self, endpoints: usize) -> bool {
        let ready = eventually(|| self.proxies.iter().all(|it| it.is_ready() && it.known_endpoints() == endpoints));
        if !ready {
            self.proxies.iter().for_each(Proxy::print_diagnostics);
        }
        ready
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        for it in &mut self.proxies {
            it.heartbeats_enabled.store(false, Ordering::Relaxed);
            it.kill();
        }
        // An error leaves a directory behind in the temporary directory.
        _ = fs::remove_dir_all(&self.dir);
    }
}

impl Proxy {
    /// Whether its readiness probe gets 200.
    pub fn is_ready(&self) -> bool {
        let req = CallerRequest {
            method_and_target: "GET /readiness",
            host: "ready",
            request_id: "",
            deadline: WAIT_TIMEOUT,
            body: b"",
        };
        req.send_and_read(self.readiness).is_ok_and(|it| it.status() == 200)
    }

    /// Status as JSON; null if the proxy doesn't respond.
    pub fn status(&self) -> Value {
        Self::status_at(self.metrics)
    }

    /// Status of the proxy with this metrics address; null if it doesn't respond.
    pub fn status_at(metrics: SocketAddr) -> Value {
        let req = CallerRequest {
            method_and_target: "GET /status",
            host: "status",
            request_id: "",
            deadline: WAIT_TIMEOUT,
            body: b"",
        };
        let resp = req.send_and_read(metrics).ok();
        resp.and_then(|it| serde_json::from_slice(&it.body).ok()).unwrap_or(Value::Null)
    }

    /// Metrics as Prometheus text; empty if the proxy doesn't respond.
    pub fn metrics_text(&self) -> String {
        let req = CallerRequest {
            method_and_target: "GET /metrics",
            host: "metrics",
            request_id: "",
            deadline: WAIT_TIMEOUT,
            body: b"",
        };
        let resp = req.send_and_read(self.metrics).ok();
        resp.map_or_else(String::new, |it| String::from_utf8_lossy(&it.body).into_owned())
    }

    /// Number of endpoints in its status, its own included.
    pub fn known_endpoints(&self) -> usize {
        let status = self.status();
        let rows = status["peers"].as_array().cloned().unwrap_or_default();
        rows.iter().chain([&status["row"]]).filter(|it| it["endpoint"].is_object()).count()
    }

    /// Number of proxies that it has an open link to.
    pub fn linked_proxies(&self) -> usize {
        let status = self.status();
        let rows = status["peers"].as_array().cloned().unwrap_or_default();
        rows.iter().filter(|it| it["linked"] == true).count()
    }

    /// Prints to stderr its output other than event lines, and its status.
    pub fn print_diagnostics(&self) {
        let text = fs::read_to_string(&self.log_path).unwrap_or_default();
        let other_lines: Vec<&str> = text.lines().filter(|it| !it.starts_with('{')).collect();
        eprintln!("{}: {other_lines:?}; status {}", self.settings_path.display(), self.status());
    }

    /// Event lines that it has written.
    pub fn events(&self) -> Vec<Value> {
        let text = fs::read_to_string(&self.log_path).unwrap_or_default();
        text.lines().filter_map(|it| serde_json::from_str(it).ok()).collect()
    }

    /// Path of its settings file.
    pub fn settings_path(&self) -> &PathBuf {
        &self.settings_path
    }

    /// Path of the file with its stdout and stderr, which contain the event lines.
    pub fn log_path(&self) -> &PathBuf {
        &self.log_path
    }

    /// The most memory that the process has had so far, in megabytes.
    pub fn peak_memory_mb(&self) -> f64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap_or_default();
        let line = status.lines().find_map(|it| it.strip_prefix("VmHWM:"));
        let kibibytes = line.and_then(|it| it.trim().strip_suffix(" kB")?.parse::<f64>().ok());
        kibibytes.unwrap_or(f64::NAN) * 1024.0 / 1e6
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: Signal) {
        // Fails if the process has exited, which is not an error here.
        _ = kill_process(Pid::from_child(&self.child), signal);
    }

    /// Kills the process and waits for its exit.
    pub fn kill(&mut self) {
        _ = self.child.kill();
        _ = self.child.wait();
    }

    /// Kills the process and starts it again with the same settings.
    pub fn restart(&mut self) -> io::Result<()> {
        self.kill();
        self.child = spawn_proxy(&self.settings_path, &self.log_path)?;
        self.started = Instant::now();
        Ok(())
    }

    /// Sends SIGHUP at the earliest when the ports are open, for which it waits a second; after that the reload is
    /// dropped. The platform, too, drops reloads of a younger process than two seconds, and until a second after its
    /// first port opens; this one sends them as soon as the ports are open, so that they come early.
    pub fn reload(&mut self) {
        let give_up_at = Instant::now() + PORT_WAIT;
        while self.age() < PORTLESS_RELOAD_AGE && !self.is_listening() {
            if self.has_exited() || Instant::now() > give_up_at {
                return;
            }
            thread::sleep(Duration::from_micros(100));
        }
        self.signal(Signal::HUP);
    }

    /// Whether its port for callers is open.
    pub fn is_listening(&self) -> bool {
        let connected = TcpStream::connect_timeout(&self.callers, Duration::from_millis(100));
        // A time-out means that the port is open and its queue is full, as after a long suspension.
        connected.map_or_else(|it| it.kind() != io::ErrorKind::ConnectionRefused, |_| true)
    }

    /// Time since the process was started.
    pub fn age(&self) -> Duration {
        self.started.elapsed()
    }

    /// Whether the process ignores a signal; false if it has exited.
    pub fn ignores(&self, signal: Signal) -> bool {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap_or_default();
        let mask = status.lines().find_map(|it| it.strip_prefix("SigIgn:"));
        let mask = mask.and_then(|it| u64::from_str_radix(it.trim(), 16).ok()).unwrap_or(0);
        mask >> (signal.as_raw() - 1) & 1 == 1
    }

    /// How the process ended; `None` while it runs.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// Whether the process has exited.
    pub fn has_exited(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }

    /// Waits for the process to exit by itself; false if it takes longer than 20 seconds.
    pub fn exits_in_time(&mut self) -> bool {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        while Instant::now() < deadline {
            if self.has_exited() {
                return true;
            }
            thread::sleep(Duration::from_millis(20));
        }
        false
    }

    /// Stops the heartbeats of its endpoint permanently, and waits for two intervals.
    pub fn stop_announcements(&self) {
        self.heartbeats_enabled.store(false, Ordering::Relaxed);
        thread::sleep(HEARTBEAT_INTERVAL * 2);
    }
}

fn spawn_proxy(settings_path: &PathBuf, log_path: &PathBuf) -> io::Result<Child> {
    let stdout = fs::OpenOptions::new().create(true).append(true).open(log_path)?;
    let mut command = Command::new(fleet::program_path("jayreach")?);
    command.arg("proxy").arg("--settings").arg(settings_path);
    let stderr = stdout.try_clone()?;
    command.stdin(Stdio::null()).stdout(stdout).stderr(stderr).spawn()
}

fn send_heartbeats(endpoint: Endpoint, proxy: SocketAddr, heartbeats_enabled: Arc<AtomicBool>) {
    thread::spawn(move || {
        while heartbeats_enabled.load(Ordering::Relaxed) {
            // A heartbeat fails while the proxy is down; the next one follows.
            _ = endpoint.announce(proxy, false);
            thread::sleep(HEARTBEAT_INTERVAL);
        }
    });
}

/// A loopback address that no other proxy uses. On a shared address, other tests could take a port between its choice
/// and its use.
fn unused_address() -> io::Result<Ipv4Addr> {
    let number = u8::try_from(NEXT_PROXY.fetch_add(1, Ordering::Relaxed)).map_err(io::Error::other)?;
    let [_, _, high, low] = std::process::id().to_be_bytes();
    Ok(Ipv4Addr::new(127, 64 + high % 64, low, number))
}

/// Waits until `condition` holds; false if it takes longer than 20 seconds.
pub fn eventually(condition: impl Fn() -> bool) -> bool {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while Instant::now() < deadline {
        if condition() {
            return true;
        }
        thread::sleep(Duration::from_millis(20));
    }
    false
}

/// A route of the operator's configuration for all paths under `prefix`, to services with these weights.
pub fn route(prefix: &str, kind: &str, priority: u32, services: &[(&str, u32)]) -> Value {
    let clusters: Vec<Value> = services.iter().map(|it| json!({"service": it.0, "weight": it.1})).collect();
    let mut route = json!({
        "host": HOST, "path_prefix": prefix, "kind": kind, "timeout_s": 2.0, "target_latency_s": 1.0,
        "priority": priority, "max_attempts": 2,
    });
    match services {
        [(only, _)] => route["service"] = json!(only),
        _ => route["weighted_clusters"] = json!(clusters),
    }
    route
}

/// An operator's configuration with these named routes.
pub fn config(version: u32, routes: &[(&str, Value)]) -> Value {
    let routes: serde_json::Map<String, Value> =
        routes.iter().map(|(name, it)| ((*name).to_owned(), it.clone())).collect();
    json!({
        "version": format!("{version:08x}"), "routes": routes, "services": {},
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 65536, "header_timeout_s": 1.0, "idle_timeout_s": 5.0},
    })
}

//! Starts a store, daemons and endpoints as separate processes on loopback, for tests and measurements.

use std::{
    env, fs,
    io::{self, Write as _},
    net::{Ipv4Addr, SocketAddr},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::atomic::{AtomicU16, AtomicU32, Ordering},
    thread,
    time::{Duration, Instant},
};

use rustix::process::{Pid, Signal, kill_process};

/// Peer key of the daemons of a fleet.
const PEER_KEY: &str = "a-key-for-stand-ins-only";
/// Token of the client account in the sample targets.
pub const TOKEN: &str = "demo-token";
/// How long a process may take to exit after SIGTERM.
const STOP_TIMEOUT: Duration = Duration::from_secs(30);

static NEXT_FLEET: AtomicU32 = AtomicU32::new(1);

/// A process of the fleet; killed on drop.
pub struct Process {
    child: Child,
}

impl Process {
    /// Sends a signal; does nothing if the process has exited.
    pub fn signal(&self, signal: Signal) {
        let pid = Pid::from_child(&self.child);
        // An error means that the process has exited.
        _ = kill_process(pid, signal);
    }

    /// Kills the process and reaps it.
    pub fn kill(&mut self) {
        _ = self.child.kill();
        _ = self.child.wait();
    }

    /// Sends SIGTERM and waits for the exit; true if the process exited with success within the timeout.
    pub fn stop(&mut self) -> bool {
        self.signal(Signal::TERM);
        let deadline = Instant::now() + STOP_TIMEOUT;
        while Instant::now() < deadline {
            if let Ok(Some(status)) = self.child.try_wait() {
                return status.success();
            }
            thread::sleep(Duration::from_millis(20));
        }
        false
    }

    /// Whether the process has exited, without waiting for it.
    pub fn has_exited(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }

    /// Process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A daemon process and its addresses.
pub struct DaemonProcess {
    /// Name in the daemon's settings.
    pub name: String,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for other daemons.
    pub peers: SocketAddr,
    /// Address for endpoints and operators on the VM.
    pub local: SocketAddr,
    /// Handle of the process.
    pub process: Process,
    settings: PathBuf,
}

/// An endpoint process and its address.
pub struct EndpointProcess {
    /// Service that the endpoint belongs to.
    pub service: String,
    /// Address that the endpoint listens on.
    pub address: SocketAddr,
    /// File with one executed operation a line.
    pub log: PathBuf,
    /// Handle of the process.
    pub process: Process,
    args: Vec<String>,
}

/// Slots and timing of an endpoint.
#[derive(Debug, Clone, Copy)]
pub struct EndpointProfile {
    /// Number of requests that may run at the same time.
    pub slots: u16,
    /// Mean service time of a request, in milliseconds.
    pub service_ms: u64,
    /// Duration of the cold start, in milliseconds.
    pub cold_start_ms: u64,
}

/// A store, daemons and endpoints that run as separate processes.
pub struct Fleet {
    dir: PathBuf,
    /// The store's address.
    pub store: SocketAddr,
    /// Handle of the store's process.
    pub store_process: Process,
    /// Daemons, in the order in which they were added.
    pub daemons: Vec<DaemonProcess>,
    /// Endpoints, in the order in which they were added.
    pub endpoints: Vec<EndpointProcess>,
}

impl Fleet {
    /// Starts a store; daemons and endpoints are added afterwards.
    pub fn start() -> io::Result<Self> {
        let number = NEXT_FLEET.fetch_add(1, Ordering::Relaxed);
        let dir = env::temp_dir().join(format!("jayreach-{}-{number}", std::process::id()));
        fs::create_dir_all(&dir)?;
        let store = free_address();
        let store_process = start_standin(&dir, "store", &["store".into(), format!("--address={store}")])?;
        wait_for_listener(store)?;
        Ok(Self { dir, store, store_process, daemons: Vec::new(), endpoints: Vec::new() })
    }

    /// Starts a daemon in a data centre and returns its index in `daemons`.
    pub fn add_daemon(&mut self, data_centre: &str) -> io::Result<usize> {
        let name = format!("vm-{}", self.daemons.len() + 1);
        let (callers, peers, local) = (free_address(), free_address(), free_address());
        let settings = self.dir.join(format!("{name}.toml"));
        let mut file = fs::File::create(&settings)?;
        writeln!(file, "name = \"{name}\"\ndata_centre = \"{data_centre}\"")?;
        writeln!(file, "callers = \"{callers}\"\npeers = \"{peers}\"\nlocal = \"{local}\"")?;
        writeln!(file, "platform = \"{}\"\npeer_key = \"{PEER_KEY}\"", self.store)?;
        if let Some(contact) = self.daemons.first() {
            writeln!(file, "contacts = [\"{}\"]", contact.peers)?;
        }
        let process = start_daemon(&self.dir, &name, &settings)?;
        wait_for_listener(local)?;
        self.daemons.push(DaemonProcess { name, callers, peers, local, process, settings });
        Ok(self.daemons.len() - 1)
    }

    /// Kills a daemon if it still runs and starts it again with the same settings.
    pub fn restart_daemon(&mut self, index: usize) -> io::Result<()> {
        let it = &mut self.daemons[index];
        it.process.kill();
        it.process = start_daemon(&self.dir, &it.name, &it.settings)?;
        wait_for_listener(it.local)
    }

    /// Starts an endpoint that announces itself to the daemon with index `daemon`; returns its index in `endpoints`.
    pub fn add_endpoint(&mut self, service: &str, daemon: usize, profile: EndpointProfile) -> io::Result<usize> {
        let address = free_address();
        let log = self.dir.join(format!("runs-{}.log", self.endpoints.len()));
        let args = [
            "endpoint".to_owned(),
            format!("--service={service}"),
            format!("--address={address}"),
            format!("--daemon={}", self.daemons[daemon].local),
            format!("--slots={}", profile.slots),
            format!("--service-ms={}", profile.service_ms),
            format!("--cold-start-ms={}", profile.cold_start_ms),
            format!("--log={}", log.display()),
        ];
        let args = args.to_vec();
        let process = start_standin(&self.dir, "endpoints", &args)?;
        self.endpoints.push(EndpointProcess { service: service.into(), address, log, process, args });
        Ok(self.endpoints.len() - 1)
    }

    /// Kills an endpoint if it still runs and starts it again at the same address.
    pub fn restart_endpoint(&mut self, index: usize) -> io::Result<()> {
        let it = &mut self.endpoints[index];
        it.process.kill();
        it.process = start_standin(&self.dir, "endpoints", &it.args)?;
        Ok(())
    }

    /// Runs a `jayreach` command as an operator; returns its exit code, and its standard output followed by its errors.
    pub fn run_command(&self, args: &[&str]) -> io::Result<(Option<i32>, String)> {
        let output = Command::new(program_path("jayreach")?)
            .args(args)
            .env("JAYREACH_STORE", self.store.to_string())
            .env("USER", "operator")
            .output()?;
        let text = String::from_utf8_lossy(&output.stdout) + String::from_utf8_lossy(&output.stderr);
        Ok((output.status.code(), text.into_owned()))
    }

    /// Applies a targets file, waits until it is active in all daemons, and returns the command's output.
    pub fn apply(&self, file: &Path) -> io::Result<String> {
        let daemon = self.daemons[0].local.to_string();
        let file = file.display().to_string();
        let args = ["apply", &file, "--why", "stand-in", "--wait", "--daemon", &daemon];
        let (code, text) = self.run_command(&args)?;
        if code == Some(0) { Ok(text) } else { Err(io::Error::other(text)) }
    }

    /// Waits until every daemon lists at least `count` eligible endpoints; an error after 30 s.
    pub fn wait_for_endpoints(&self, count: usize) -> io::Result<()> {
        let deadline = Instant::now() + Duration::from_secs(30);
        loop {
            let seen: Vec<_> = self.daemons.iter().map(|it| count_eligible(it.local).unwrap_or(0)).collect();
            if seen.iter().all(|it| *it >= count) {
                return Ok(());
            }
            if Instant::now() > deadline {
                return Err(io::Error::other(format!("endpoints seen by the daemons: {seen:?}, wanted {count}")));
            }
            thread::sleep(Duration::from_millis(50));
        }
    }

    /// Sets the fault of an endpoint or of the store at `address`.
    pub fn set_fault<T: serde::Serialize>(&self, address: SocketAddr, fault: &T) -> io::Result<()> {
        let body = serde_json::to_vec(fault)?;
        let sent = ureq::post(format!("http://{address}/control")).send(&body[..]);
        sent.map(|_| ()).map_err(io::Error::other)
    }

    /// Addresses of all daemons for callers.
    pub fn callers(&self) -> Vec<SocketAddr> {
        self.daemons.iter().map(|it| it.callers).collect()
    }

    /// All operations in the endpoints' run logs, sorted; an operation occurs once for each execution.
    pub fn read_run_logs(&self) -> io::Result<Vec<Box<str>>> {
        let mut runs = Vec::new();
        for it in &self.endpoints {
            // An endpoint that failed to start has no log.
            let text = fs::read_to_string(&it.log).unwrap_or_default();
            runs.extend(text.lines().map(Box::<str>::from));
        }
        runs.sort();
        Ok(runs)
    }

    /// Kills all processes and removes their files.
    pub fn close(self) {
        let dir = self.dir.clone();
        drop(self);
        _ = fs::remove_dir_all(dir);
    }
}

/// Number of endpoints, over all services, that a daemon considers eligible for requests.
pub fn count_eligible(local: SocketAddr) -> io::Result<usize> {
    let status = fetch_status(local)?;
    let services = status["services"].as_array().map_or(&[][..], Vec::as_slice);
    Ok(services.iter().filter_map(|it| it["eligible"].as_u64()).sum::<u64>() as usize)
}

/// Status of the daemon at `local`, as JSON.
pub fn fetch_status(local: SocketAddr) -> io::Result<serde_json::Value> {
    let mut resp = ureq::get(format!("http://{local}/status")).call().map_err(io::Error::other)?;
    let text = resp.body_mut().read_to_string().map_err(io::Error::other)?;
    Ok(serde_json::from_str(&text)?)
}

/// An address with a port below the range of ephemeral ports. The port is free, because no other process uses this IP
/// address. It is not probed with a socket: a child process that is being started would keep the socket open until its
/// exec.
fn free_address() -> SocketAddr {
    const FIRST_PORT: u16 = 10_000;
    static NEXT: AtomicU16 = AtomicU16::new(FIRST_PORT);
    SocketAddr::from((loopback_address(std::process::id()), NEXT.fetch_add(1, Ordering::Relaxed)))
}

/// The loopback address of the process `pid`; it differs for all process ids that Linux assigns.
pub fn loopback_address(pid: u32) -> Ipv4Addr {
    let [_, a, b, c] = pid.to_be_bytes();
    Ipv4Addr::new(127, 128 + a % 64, b, c)
}

/// Waits until `address` accepts connections; an error after 10 s.
fn wait_for_listener(address: SocketAddr) -> io::Result<()> {
    let deadline = Instant::now() + Duration::from_secs(10);
    loop {
        match std::net::TcpStream::connect(address) {
            Ok(_) => return Ok(()),
            Err(error) if Instant::now() > deadline => return Err(error),
            Err(_) => thread::sleep(Duration::from_millis(10)),
        }
    }
}

fn start_daemon(dir: &Path, name: &str, settings: &Path) -> io::Result<Process> {
    let args = ["daemon".into(), format!("--settings={}", settings.display())];
    start(dir, name, &program_path("jayreach")?, &args)
}

fn start_standin(dir: &Path, name: &str, args: &[String]) -> io::Result<Process> {
    start(dir, name, &program_path("standins")?, args)
}

fn start(dir: &Path, name: &str, program: &Path, args: &[String]) -> io::Result<Process> {
    let log = fs::OpenOptions::new().create(true).append(true).open(dir.join(format!("{name}.err")))?;
    let child = Command::new(program).args(args).stdin(Stdio::null()).stdout(Stdio::null()).stderr(log).spawn()?;
    Ok(Process { child })
}

/// Path of a program of this build: in the folder of the running program, or one level up when a test runs.
pub fn program_path(name: &str) -> io::Result<PathBuf> {
    let current_exe = env::current_exe()?;
    let candidates = current_exe.ancestors().skip(1).take(2).map(|it| it.join(name));
    let mut found = candidates.into_iter().filter(|it| it.is_file());
    found.next().ok_or_else(|| io::Error::other(format!("{name} is not built; run `cargo build --workspace`")))
}

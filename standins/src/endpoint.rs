//! Stand-in for an endpoint: announces itself and has slots, a cold start and faults. It writes each executed
//! operation to a run log, against which the history check compares the outcomes that callers received.

use std::{
    collections::HashMap,
    fs::{File, OpenOptions},
    io::{self, Write as _},
    net::SocketAddr,
    path::PathBuf,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use jayreach::daemon::{AnnouncedState, Announcement};
use rand::RngExt as _;
use serde::{Deserialize, Serialize};
use tiny_http::{Header, Request, Response, Server};

const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(1);
/// How long an endpoint still accepts requests after it has announced that it leaves.
const LEAVE_DELAY: Duration = Duration::from_secs(1);
/// How long a hanging request blocks.
const HANG_DURATION: Duration = Duration::from_secs(30);
/// Request header with the operation's name, which is written to the run log and returned as the response body.
pub const OPERATION_HEADER: &str = "X-Operation";

/// A fault of an endpoint, set by `POST /control`.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EndpointFault {
    /// Share of requests that run and are answered with status 500, from 0 to 1.
    pub errors: f64,
    /// Share of requests that run and then hang, from 0 to 1.
    pub hangs: f64,
    /// Time added to each service time, in milliseconds.
    pub slow_ms: u64,
    /// Length of the alternating periods with and without the fault, in milliseconds; 0 for a constant fault.
    pub flap_ms: u64,
    /// Whether response bodies are shorter than their Content-Length.
    pub truncates: bool,
    /// Load that is announced instead of the real one.
    #[serde(rename = "reports")]
    pub reported_load: Option<u32>,
}

/// Options of an endpoint.
#[derive(Debug, Clone)]
pub struct EndpointOptions {
    /// Service that the endpoint belongs to.
    pub service: Box<str>,
    /// Address to listen on.
    pub address: SocketAddr,
    /// Local address of the daemon on the same VM.
    pub daemon: SocketAddr,
    /// Number of requests that may run at the same time.
    pub slots: u16,
    /// Mean service time of a request.
    pub service_time: Duration,
    /// How long the state `Starting` is announced after the start.
    pub cold_start: Duration,
    /// Run log, with one executed operation a line.
    pub log: PathBuf,
}

struct Endpoint {
    options: EndpointOptions,
    running: AtomicU32,
    leaving: AtomicBool,
    fault: Mutex<EndpointFault>,
    /// Cancellation flags of the running requests, by the request id that the guard assigned.
    requests: Mutex<HashMap<String, Arc<AtomicBool>>>,
    log: Mutex<File>,
    started: Instant,
}

/// Serves an endpoint until SIGTERM.
pub fn run(options: EndpointOptions) -> io::Result<()> {
    let mut signals = signal_hook::iterator::Signals::new([signal_hook::consts::SIGTERM])?;
    let server = Server::http(options.address).map_err(io::Error::other)?;
    let log = OpenOptions::new().create(true).append(true).open(&options.log)?;
    let endpoint = Arc::new(Endpoint {
        options,
        running: AtomicU32::new(0),
        leaving: AtomicBool::new(false),
        fault: Mutex::default(),
        requests: Mutex::default(),
        log: Mutex::new(log),
        started: Instant::now(),
    });
    let announcer = Arc::clone(&endpoint);
    thread::spawn(move || announcer.announce());
    let listener = Arc::clone(&endpoint);
    thread::spawn(move || {
        for req in server.incoming_requests() {
            let endpoint = Arc::clone(&listener);
            thread::spawn(move || endpoint.handle(req));
        }
    });
    signals.forever().next();
    endpoint.shut_down();
    Ok(())
}

impl Endpoint {
    fn announce(&self) {
        let config = ureq::Agent::config_builder().timeout_global(Some(Duration::from_secs(1))).build();
        let agent = ureq::Agent::new_with_config(config);
        loop {
            self.announce_once(&agent);
            thread::sleep(ANNOUNCE_INTERVAL);
        }
    }

    fn announce_once(&self, agent: &ureq::Agent) {
        let state = if self.leaving.load(Ordering::Acquire) {
            AnnouncedState::Leaving
        } else if self.started.elapsed() < self.options.cold_start {
            AnnouncedState::Starting
        } else {
            AnnouncedState::Serving
        };
        let load = self.fault().reported_load.unwrap_or_else(|| self.running.load(Ordering::Relaxed));
        let announcement = Announcement {
            service: self.options.service.clone(),
            address: self.options.address,
            slots: self.options.slots,
            state,
            load,
            limit: None,
        };
        let body = serde_json::to_vec(&announcement).expect("an announcement can be encoded");
        // A lost announcement is repeated after the interval.
        _ = agent.post(format!("http://{}/announce", self.options.daemon)).send(&body[..]);
    }

    /// Announces that the endpoint leaves, and waits until its running requests have ended.
    fn shut_down(&self) {
        self.leaving.store(true, Ordering::Release);
        self.announce_once(&ureq::Agent::new_with_defaults());
        thread::sleep(LEAVE_DELAY);
        while self.running.load(Ordering::Acquire) > 0 {
            thread::sleep(Duration::from_millis(20));
        }
    }

    fn fault(&self) -> EndpointFault {
        lock(&self.fault).clone()
    }

    /// The fault that applies now: none in every second period of a flapping fault.
    fn active_fault(&self) -> EndpointFault {
        let fault = self.fault();
        let period = (self.started.elapsed().as_millis() as u64).checked_div(fault.flap_ms);
        if period.is_some_and(|it| it % 2 == 1) { EndpointFault::default() } else { fault }
    }

    fn handle(&self, mut req: Request) {
        let mut body = Vec::new();
        if req.as_reader().read_to_end(&mut body).is_err() {
            return;
        }
        if req.url() == "/control" {
            let status = match serde_json::from_slice(&body) {
                Ok(fault) => {
                    *lock(&self.fault) = fault;
                    200
                }
                Err(_) => 400,
            };
            return respond(req, status, "", "");
        }
        if let Some(id) = req.url().strip_prefix("/.jayreach/requests/") {
            let cancelled = lock(&self.requests).get(id).map(|it| it.store(true, Ordering::Release));
            return respond(req, if cancelled.is_some() { 200 } else { 404 }, "", "");
        }
        if self.running.fetch_add(1, Ordering::AcqRel) >= u32::from(self.options.slots) {
            self.running.fetch_sub(1, Ordering::AcqRel);
            return respond(req, 503, "", "not-run");
        }
        let id = header(&req, "Jayreach-Request-Id");
        let cancelled = Arc::new(AtomicBool::new(false));
        lock(&self.requests).insert(id.clone(), Arc::clone(&cancelled));
        self.execute(req, &cancelled);
        lock(&self.requests).remove(&id);
        self.running.fetch_sub(1, Ordering::AcqRel);
    }

    /// Executes a request; its effect is the line in the run log.
    fn execute(&self, req: Request, cancelled: &AtomicBool) {
        let fault = self.active_fault();
        let operation = header(&req, OPERATION_HEADER);
        let service_time = self.options.service_time.mul_f64(rand::rng().random_range(0.5..1.5));
        let service_time = service_time + Duration::from_millis(fault.slow_ms);
        let deadline = header(&req, "Jayreach-Deadline-Ms").parse().map_or(Duration::MAX, Duration::from_millis);
        if !sleep_unless_cancelled(cancelled, service_time.min(deadline)) {
            return;
        }
        if service_time > deadline {
            return respond(req, 503, "", "not-run");
        }
        self.record(&operation);
        let mut rng = rand::rng();
        if rng.random_bool(fault.hangs) && !sleep_unless_cancelled(cancelled, HANG_DURATION) {
            return;
        }
        if fault.truncates {
            let resp = Response::new(200.into(), Vec::new(), operation.as_bytes(), Some(operation.len() + 9), None);
            _ = req.respond(resp);
            return;
        }
        let status = if rng.random_bool(fault.errors) { 500 } else { 200 };
        respond(req, status, &operation, "");
    }

    fn record(&self, operation: &str) {
        let mut log = lock(&self.log);
        let line = format!("{operation}\n");
        log.write_all(line.as_bytes()).expect("the run log is writable");
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn header(req: &Request, name: &'static str) -> String {
    let found = req.headers().iter().find(|it| it.field.equiv(name));
    found.map_or_else(String::new, |it| it.value.as_str().to_owned())
}

/// Sleeps for `time`; returns false early if `cancelled` is set.
fn sleep_unless_cancelled(cancelled: &AtomicBool, time: Duration) -> bool {
    const POLL_INTERVAL: Duration = Duration::from_millis(5);
    let end = Instant::now() + time;
    while !cancelled.load(Ordering::Acquire) {
        let left = end.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return true;
        }
        thread::sleep(left.min(POLL_INTERVAL));
    }
    false
}

fn respond(req: Request, status: u16, body: &str, outcome: &str) {
    let mut resp = Response::from_string(body).with_status_code(status);
    if !outcome.is_empty() {
        resp.add_header(Header::from_bytes("Jayreach-Outcome", outcome).expect("an outcome is a valid header value"));
    }
    // An error means that the guard has closed its connection.
    _ = req.respond(resp);
}

//! A stand-in for an endpoint: announces itself, has slots, a cold start and faults, and writes
//! a run log by which the history check knows what really ran.

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

/// How often an endpoint announces itself.
const ANNOUNCE_EVERY: Duration = Duration::from_secs(1);
/// How long an endpoint goes on announcing that it leaves.
const LEAVE_NOTICE: Duration = Duration::from_secs(1);
/// How long work hangs that never answers.
const HANG: Duration = Duration::from_secs(30);
/// Names the operation of a request, in the run log and in the answer.
pub const OPERATION_HEADER: &str = "X-Operation";

/// How an endpoint misbehaves.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EndpointFault {
    /// The share of requests that run and answer 500.
    pub errors: f64,
    /// The share of requests that run and never answer.
    pub hangs: f64,
    /// So much longer a request takes, in milliseconds.
    pub slow_ms: u64,
    /// It fails like this for so long, then not for as long, and again, in milliseconds; 0 for always.
    pub flap_ms: u64,
    /// It answers with less than it states.
    pub truncates: bool,
    /// It reports this load, whatever it has.
    #[serde(rename = "reports")]
    pub reported_load: Option<u32>,
}

/// What an endpoint is.
#[derive(Debug, Clone)]
pub struct EndpointOptions {
    /// Its service.
    pub service: Box<str>,
    /// Its address.
    pub address: SocketAddr,
    /// The local address of its daemon.
    pub daemon: SocketAddr,
    /// How many requests it takes at once.
    pub slots: u16,
    /// How long a request takes on average.
    pub service_time: Duration,
    /// How long it says it is starting.
    pub cold_start: Duration,
    /// The run log; one operation a line.
    pub log: PathBuf,
}

struct Endpoint {
    options: EndpointOptions,
    running: AtomicU32,
    leaving: AtomicBool,
    fault: Mutex<EndpointFault>,
    /// The requests under way, by the id their guard gave them.
    requests: Mutex<HashMap<String, Arc<AtomicBool>>>,
    log: Mutex<File>,
    started: Instant,
}

/// Serves an endpoint until it is told to stop.
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
            thread::spawn(move || endpoint.answer(req));
        }
    });
    signals.forever().next();
    endpoint.leave();
    Ok(())
}

impl Endpoint {
    fn announce(&self) {
        let config = ureq::Agent::config_builder().timeout_global(Some(Duration::from_secs(1))).build();
        let agent = ureq::Agent::new_with_config(config);
        loop {
            self.announce_once(&agent);
            thread::sleep(ANNOUNCE_EVERY);
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
        };
        let body = serde_json::to_vec(&announcement).expect("an announcement can be coded");
        // A daemon that is away is announced to again in a second.
        _ = agent.post(format!("http://{}/announce", self.options.daemon)).send(&body[..]);
    }

    /// Says that it leaves, finishes its work, and ends.
    fn leave(&self) {
        self.leaving.store(true, Ordering::Release);
        self.announce_once(&ureq::Agent::new_with_defaults());
        thread::sleep(LEAVE_NOTICE);
        while self.running.load(Ordering::Acquire) > 0 {
            thread::sleep(Duration::from_millis(20));
        }
    }

    fn fault(&self) -> EndpointFault {
        lock(&self.fault).clone()
    }

    /// The fault, unless it flaps and is in its good half.
    fn fault_now(&self) -> EndpointFault {
        let fault = self.fault();
        let half = (self.started.elapsed().as_millis() as u64).checked_div(fault.flap_ms);
        if half.is_some_and(|it| it % 2 == 1) { EndpointFault::default() } else { fault }
    }

    fn answer(&self, mut req: Request) {
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
        self.work(req, &cancelled);
        lock(&self.requests).remove(&id);
        self.running.fetch_sub(1, Ordering::AcqRel);
    }

    /// Runs a request: its effect is the line in the log.
    fn work(&self, req: Request, cancelled: &AtomicBool) {
        let fault = self.fault_now();
        let operation = header(&req, OPERATION_HEADER);
        let service_time = self.options.service_time.mul_f64(rand::rng().random_range(0.5..1.5));
        let service_time = service_time + Duration::from_millis(fault.slow_ms);
        let deadline = header(&req, "Jayreach-Deadline-Ms").parse().map_or(Duration::MAX, Duration::from_millis);
        if !sleep_unless(cancelled, service_time.min(deadline)) {
            return;
        }
        if service_time > deadline {
            return respond(req, 503, "", "not-run");
        }
        self.record(&operation);
        let mut rng = rand::rng();
        if rng.random_bool(fault.hangs) && !sleep_unless(cancelled, HANG) {
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
        log.write_all(line.as_bytes()).expect("the run log can be written");
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn header(req: &Request, name: &'static str) -> String {
    let found = req.headers().iter().find(|it| it.field.equiv(name));
    found.map_or_else(String::new, |it| it.value.as_str().to_owned())
}

/// Sleeps; false if it was cancelled before the time was up.
fn sleep_unless(cancelled: &AtomicBool, time: Duration) -> bool {
    const SLICE: Duration = Duration::from_millis(5);
    let end = Instant::now() + time;
    while !cancelled.load(Ordering::Acquire) {
        let left = end.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return true;
        }
        thread::sleep(left.min(SLICE));
    }
    false
}

fn respond(req: Request, status: u16, body: &str, outcome: &str) {
    let mut resp = Response::from_string(body).with_status_code(status);
    if !outcome.is_empty() {
        resp.add_header(Header::from_bytes("Jayreach-Outcome", outcome).expect("an outcome makes a header"));
    }
    // A guard that is gone needs no answer.
    _ = req.respond(resp);
}

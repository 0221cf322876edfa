//! A stand-in for an endpoint of the users' platform. It can fail, hang, crash and restart, and records each request
//! that arrives.

use std::{
    io::{self, BufReader, Read as _, Write as _},
    net::{Shutdown, SocketAddr, TcpStream},
    sync::{
        Arc, Mutex, MutexGuard, PoisonError, Weak,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use socket2::SockRef;

use crate::{
    listener::Listener,
    platform::http::{self, Message},
    relay::Relay,
};

/// Time within which the proxy acknowledges a heartbeat.
const ACK_TIMEOUT: Duration = Duration::from_secs(1);

/// Name of the header with the incarnation that made an answer; only the checks read it.
pub const ANSWERED_BY: &str = "x-answered-by";

/// How an endpoint handles requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum EndpointMode {
    /// Runs them and responds with 200.
    #[default]
    Good,
    /// Responds with 500 at once; health probes still get 200.
    FailsFast,
    /// Runs them and responds with 500.
    FailsSlowly,
    /// Responds with 503 and `X-Not-Executed`, without running them.
    Sheds,
    /// Runs them for 20 seconds and closes the connection without responding.
    Hangs,
    /// Runs them and resets the connection instead of responding.
    Resets,
    /// Runs them and closes the connection before the end of the response.
    Truncates,
    /// Runs them and responds with another request's id.
    AnswersAnother,
    /// Runs them and responds without `X-Response-Seal`.
    Unsealed,
    /// Sends each response twice.
    SaysMore,
    /// Sends a response without a length that ends with the connection.
    Unframed,
    /// Runs them and sends these bytes instead of a response.
    Raw(RawAnswer),
}

/// Bytes that an endpoint sends instead of a response; `{id}` stands for the id of the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RawAnswer {
    /// The first bytes.
    pub start: &'static str,
    /// What it repeats after them until the connection is closed; if empty, it closes the connection.
    pub repeated: &'static str,
}

/// A request that arrived at an endpoint.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// Value of `X-Request-Id`; empty if it is missing.
    pub request_id: String,
    /// Method and target, separated by a space.
    pub method_and_target: String,
    /// Id of the incarnation at which it arrived.
    pub instance: String,
    /// Whether it was for another incarnation, so that it got 421.
    pub misdirected: bool,
    /// Value of `X-Caller-Service`.
    pub caller: String,
    /// Value of `X-Deadline-Ms`, in milliseconds; 0 if it is missing.
    pub deadline_ms: u64,
    /// Request body.
    pub body: Vec<u8>,
    /// Whether the endpoint ran it, successfully or not.
    pub ran: bool,
    /// Whether the proxy closed the connection while the request ran.
    pub cancelled: bool,
    /// Time of arrival.
    pub at: Instant,
}

/// A request that crashes each endpoint that runs it.
#[derive(Debug, Clone)]
struct Crash {
    target: String,
    /// Time that it runs before the crash.
    after: Duration,
    /// Time from the crash to the start of the next incarnation.
    down_for: Duration,
}

/// A period in which an incarnation named a limit in its answers.
#[derive(Debug, Clone)]
pub struct NamedLimit {
    /// Id of the incarnation.
    pub instance: String,
    /// Requests a second.
    pub per_second: f64,
    /// When it began to name the limit.
    pub from: Instant,
    /// When it stopped; `None` while it still does.
    pub to: Option<Instant>,
}

struct State {
    mode: EndpointMode,
    crash: Option<Crash>,
    /// Whether it has crashed and not restarted yet.
    down: bool,
    /// Number of starts: the first, and one after each crash.
    starts: u32,
    /// Connections to shut down at a crash.
    open_connections: Vec<Weak<TcpStream>>,
    health_path: String,
    work_time: Duration,
    /// Length of the body of its answers; `None` for a short one.
    answer_len: Option<usize>,
    /// Rest of the warm-up in its heartbeats.
    warmup_left: Duration,
    instance: String,
    /// Start time of this incarnation, in Unix milliseconds.
    started_at: u64,
    draining: bool,
    /// Value of `Server-Limit` in its answers.
    limit: Option<String>,
    named_limits: Vec<NamedLimit>,
    /// Whether its answers have `Server-Leaving`.
    leaving: bool,
    /// Whether its health checks succeed although it drains.
    seems_healthy: bool,
    /// Whether its health checks tell its slots.
    tells_load: bool,
    /// What it sends instead of responses to health checks.
    raw_health: Option<RawAnswer>,
    /// Number of answers that it is repeating bytes of.
    endless_answers: u32,
    arrivals: Vec<Arrival>,
    running: u32,
    max_running: u32,
}

impl State {
    fn name_limit(&mut self, value: Option<&str>) {
        let now = Instant::now();
        if let Some(it) = self.named_limits.last_mut() {
            it.to.get_or_insert(now);
        }
        self.limit = value.map(str::to_owned);
        if let Some(per_second) = value.and_then(|it| it.parse().ok()) {
            let instance = self.instance.clone();
            self.named_limits.push(NamedLimit { instance, per_second, from: now, to: None });
        }
    }
}

/// One endpoint; it runs until the process ends. Clones share its state.
#[derive(Clone)]
pub struct Endpoint {
    /// Address that its proxy connects to.
    pub address: SocketAddr,
    service: Arc<str>,
    slots: u32,
    /// Its own listener and those of the relays that forward to it.
    listeners: Arc<Mutex<Vec<Listener>>>,
    state: Arc<Mutex<State>>,
    sequence: Arc<AtomicU64>,
}

impl Endpoint {
    /// Starts an endpoint on a free port of loopback. It sends no heartbeats by itself.
    pub fn start(service: &str, instance: &str, slots: u32, work_time: Duration) -> io::Result<Self> {
        let listener = Listener::open()?;
        let state = State {
            mode: EndpointMode::Good,
            crash: None,
            down: false,
            starts: 1,
            open_connections: Vec::new(),
            health_path: "/health".into(),
            work_time,
            answer_len: None,
            warmup_left: Duration::ZERO,
            instance: instance.into(),
            started_at: unix_millis(),
            draining: false,
            limit: None,
            named_limits: Vec::new(),
            leaving: false,
            seems_healthy: false,
            tells_load: true,
            raw_health: None,
            endless_answers: 0,
            arrivals: Vec::new(),
            running: 0,
            max_running: 0,
        };
        let endpoint = Self {
            address: listener.address,
            listeners: Arc::new(Mutex::new(vec![listener])),
            service: service.into(),
            slots,
            state: Arc::new(Mutex::new(state)),
            sequence: Arc::new(AtomicU64::new(1)),
        };
        let accepting = endpoint.clone();
        let listener = endpoint.listeners.lock().unwrap_or_else(PoisonError::into_inner)[0].clone();
        thread::spawn(move || {
            listener.serve(|stream| {
                let endpoint = accepting.clone();
                thread::spawn(move || endpoint.serve(stream));
            });
        });
        Ok(endpoint)
    }

    /// From now on a request for `target` crashes it: the request runs for `after`, then the endpoint is down for
    /// `down_for` and restarts as a new incarnation.
    pub fn crash_on(&self, target: &str, after: Duration, down_for: Duration) {
        self.lock().crash = Some(Crash { target: target.into(), after, down_for });
    }

    /// Adds a relay in front of the endpoint, which refuses connections too while the endpoint is down.
    pub fn add_relay(&self, relay: &Relay) {
        self.listeners.lock().unwrap_or_else(PoisonError::into_inner).push(relay.listener.clone());
    }

    /// Closes the listeners and all connections, and restarts after `down_for`.
    fn crash(&self, down_for: Duration) {
        let listeners = self.listeners.lock().unwrap_or_else(PoisonError::into_inner).clone();
        listeners.iter().for_each(Listener::close);
        let mut state = self.lock();
        if std::mem::replace(&mut state.down, true) {
            return;
        }
        for it in state.open_connections.drain(..).filter_map(|it| it.upgrade()) {
            _ = it.shutdown(Shutdown::Both);
        }
        drop(state);
        let endpoint = self.clone();
        thread::spawn(move || {
            thread::sleep(down_for);
            endpoint.restart_after_crash(&listeners);
        });
    }

    /// Restarts as a new incarnation and listens again.
    fn restart_after_crash(&self, listeners: &[Listener]) {
        let mut state = self.lock();
        state.starts += 1;
        let instance = format!("{}-life-{}", state.instance, state.starts);
        drop(state);
        self.replace(&instance);
        for it in listeners {
            if let Err(error) = it.reopen() {
                eprintln!("endpoint {} can't listen again after its crash: {error}", it.address);
                return;
            }
        }
        self.lock().down = false;
    }

    /// Whether it has crashed and not restarted yet.
    pub fn is_down(&self) -> bool {
        self.lock().down
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Service that it belongs to.
    pub fn service(&self) -> &str {
        &self.service
    }

    /// Sets how it handles requests from now on.
    pub fn set_mode(&self, mode: EndpointMode) {
        self.lock().mode = mode;
    }

    /// Sets the length of the bodies of its answers from now on; see [`long_body`].
    pub fn set_answer_len(&self, len: usize) {
        self.lock().answer_len = Some(len);
    }

    /// Sets the rest of the warm-up that its heartbeats report from now on.
    pub fn set_warmup(&self, left: Duration) {
        self.lock().warmup_left = left;
    }

    /// Starts a new incarnation with id `instance` at the same address; open connections stay.
    pub fn replace(&self, instance: &str) {
        let mut state = self.lock();
        state.name_limit(None);
        state.leaving = false;
        state.instance = instance.into();
        state.started_at = unix_millis().max(state.started_at + 1);
        state.draining = false;
        drop(state);
        self.sequence.store(1, Ordering::Relaxed);
    }

    /// Starts a new incarnation under the same id.
    pub fn restart(&self) {
        let instance = self.lock().instance.clone();
        self.replace(&instance);
    }

    /// Sets the value of `Server-Limit` in all answers from now on, valid or not; `None` leaves the header out.
    pub fn set_limit(&self, value: Option<&str>) {
        self.lock().name_limit(value);
    }

    /// The limits that it has named so far, malformed ones left out.
    pub fn named_limits(&self) -> Vec<NamedLimit> {
        self.lock().named_limits.clone()
    }

    /// From now on all answers of the incarnation have `Server-Leaving`. Its heartbeats still say that it is ready.
    pub fn leave_by_answers(&self) {
        self.lock().leaving = true;
    }

    /// From now on its health checks succeed even while it drains.
    pub fn seem_healthy(&self) {
        self.lock().seems_healthy = true;
    }

    /// Sets what it sends instead of responses to health checks.
    pub fn set_raw_health(&self, answer: Option<RawAnswer>) {
        self.lock().raw_health = answer;
    }

    /// Number of answers that it is sending without end.
    pub fn endless_answers(&self) -> u32 {
        self.lock().endless_answers
    }

    fn send_raw(&self, writer: &mut TcpStream, answer: RawAnswer, request_id: &str) {
        let encode = |it: &str| it.replace("{id}", request_id).into_bytes();
        let sent = writer.write_all(&encode(answer.start));
        if sent.is_err() || answer.repeated.is_empty() {
            return;
        }
        let repeated = encode(answer.repeated).repeat(64);
        self.lock().endless_answers += 1;
        while writer.write_all(&repeated).is_ok() {}
        self.lock().endless_answers -= 1;
    }

    /// From now on its health checks don't tell its slots.
    pub fn hide_load(&self) {
        self.lock().tells_load = false;
    }

    /// Deregisters the current incarnation at the proxy on its VM and returns the status of the response. It goes on
    /// serving, but its health checks fail from now on.
    pub fn deregister(&self, proxy: SocketAddr) -> io::Result<u16> {
        self.lock().draining = true;
        let (instance, started_at) = self.incarnation();
        Self::call_proxy(proxy, &instance, "deregister", format!("{{\"born\":{started_at}}}").as_bytes())
    }

    /// Id of the current incarnation and its start time in Unix milliseconds.
    pub fn incarnation(&self) -> (String, u64) {
        let state = self.lock();
        (state.instance.clone(), state.started_at)
    }

    /// Requests that arrived so far, in order of arrival.
    pub fn arrivals(&self) -> Vec<Arrival> {
        self.lock().arrivals.clone()
    }

    /// Highest number of requests that ran at once.
    pub fn max_running(&self) -> u32 {
        self.lock().max_running
    }

    /// Sends a heartbeat to the proxy on its VM and returns the status of the response. After a heartbeat with
    /// `draining`, all further ones of the incarnation report that too. Fails with `NotConnected` while the endpoint is
    /// down.
    pub fn announce(&self, proxy: SocketAddr, draining: bool) -> io::Result<u16> {
        if self.is_down() {
            return Err(io::ErrorKind::NotConnected.into());
        }
        self.lock().draining |= draining;
        let state = if self.lock().draining { "draining" } else { "ready" };
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed);
        self.announce_as(proxy, &self.incarnation(), state, sequence)
    }

    /// Sends a heartbeat for the incarnation with this id and start time, with the given state and sequence number.
    pub fn announce_as(
        &self,
        proxy: SocketAddr,
        (instance, started_at): &(String, u64),
        state: &str,
        sequence: u64,
    ) -> io::Result<u16> {
        let body = serde_json::json!({
            "service": &*self.service, "address": self.address, "zone": "dc-1", "version": "v1", "slots": self.slots,
            "state": state, "warmup_left_s": self.lock().warmup_left.as_secs_f64(), "sequence": sequence, "born": started_at,
        });
        Self::send_heartbeat(proxy, instance, body.to_string().as_bytes())
    }

    /// Sends a heartbeat with an arbitrary body; returns the status, or 0 if the connection ends without a response.
    pub fn send_heartbeat(proxy: SocketAddr, instance: &str, body: &[u8]) -> io::Result<u16> {
        Self::call_proxy(proxy, instance, "heartbeat", body)
    }

    fn call_proxy(proxy: SocketAddr, instance: &str, call: &str, body: &[u8]) -> io::Result<u16> {
        let mut stream = TcpStream::connect(proxy)?;
        stream.set_read_timeout(Some(ACK_TIMEOUT))?;
        let start = format!("POST /instances/{instance}/{call} HTTP/1.1");
        stream.write_all(&http::encode(&start, &[("Host", "control")], body))?;
        let resp = http::read_message(&mut BufReader::new(stream))?;
        Ok(resp.map_or(0, |it| it.status()))
    }

    /// Responds to health probes at `path` only, from now on.
    pub fn set_health_path(&self, path: &str) {
        self.lock().health_path = path.into();
    }

    fn serve(&self, stream: TcpStream) {
        let (Ok(mut writer), Ok(open)) = (stream.try_clone(), stream.try_clone().map(Arc::new)) else { return };
        {
            let mut state = self.lock();
            state.open_connections.retain(|it| it.strong_count() > 0);
            state.open_connections.push(Arc::downgrade(&open));
        }
        let mut reader = BufReader::new(stream);
        while let Ok(Some(req)) = http::read_message(&mut reader) {
            if req.second_word() == self.lock().health_path {
                let raw = self.lock().raw_health;
                if let Some(it) = raw {
                    return self.send_raw(&mut writer, it, "");
                }
                let (instance, healthy, tells_load) = {
                    let state = self.lock();
                    (state.instance.clone(), state.seems_healthy || !state.draining, state.tells_load)
                };
                let status = if healthy { 200 } else { 503 };
                let load = format!("0,0,{}", self.slots);
                let headers = [("X-Instance-Id", &*instance), ("X-Server-Load", &*load)];
                let headers = if tells_load { &headers[..] } else { &headers[..1] };
                if writer.write_all(&self.encode(&format!("HTTP/1.1 {status} x"), headers, b"")).is_err() {
                    return;
                }
                continue;
            }
            if !self.respond(&req, &mut writer) {
                return;
            }
        }
    }

    /// Handles a request according to the mode; returns whether to keep the connection.
    fn respond(&self, req: &Message, writer: &mut TcpStream) -> bool {
        let (mode, work_time, answer_len, instance) = {
            let state = self.lock();
            (state.mode, state.work_time, state.answer_len, state.instance.clone())
        };
        let id = req.header("x-request-id").unwrap_or("").to_owned();
        let is_for_other_instance = req.header("x-expect-instance").is_some_and(|it| it != instance);
        let sheds = mode == EndpointMode::Sheds;
        let index = self.record_arrival(req, !is_for_other_instance && !sheds);
        let crash =
            self.lock().crash.clone().filter(|it| it.target == req.second_word() && !is_for_other_instance && !sheds);
        if let Some(it) = crash {
            self.run(index, it.after, writer);
            self.crash(it.down_for);
            return false;
        }
        if is_for_other_instance {
            return writer.write_all(&self.encode("HTTP/1.1 421 x", &[("X-Instance-Id", &instance)], b"")).is_ok();
        }
        if sheds {
            return writer.write_all(&self.encode("HTTP/1.1 503 x", &[("X-Not-Executed", "1")], b"")).is_ok();
        }
        if mode != EndpointMode::FailsFast {
            let work_time = if mode == EndpointMode::Hangs { Duration::from_secs(20) } else { work_time };
            if !self.run(index, work_time, writer) {
                return false;
            }
        }
        let seal = format!("seal-{id}");
        let headers = [("X-Request-Id", &*id), ("X-Response-Seal", &*seal)];
        let body = answer_len.map_or_else(|| format!("{} {id}", self.service).into_bytes(), |it| long_body(&id, it));
        let complete = self.encode("HTTP/1.1 200 x", &headers, &body);
        match mode {
            EndpointMode::Good => writer.write_all(&complete).is_ok(),
            EndpointMode::FailsFast | EndpointMode::FailsSlowly => {
                writer.write_all(&self.encode("HTTP/1.1 500 x", &headers, b"failed")).is_ok()
            }
            EndpointMode::Resets => {
                // Makes the close of the connection send RST and discard unsent bytes.
                _ = SockRef::from(&*writer).set_linger(Some(Duration::ZERO));
                false
            }
            EndpointMode::Truncates => {
                _ = writer.write_all(&complete[..complete.len() - 3]);
                false
            }
            EndpointMode::AnswersAnother => {
                let headers = [("X-Request-Id", "another"), ("X-Response-Seal", "another")];
                writer.write_all(&self.encode("HTTP/1.1 200 x", &headers, b"another's")).is_ok()
            }
            EndpointMode::Unsealed => {
                writer.write_all(&self.encode("HTTP/1.1 200 x", &[("X-Request-Id", &id)], &body)).is_ok()
            }
            EndpointMode::SaysMore => writer.write_all(&[complete.clone(), complete].concat()).is_ok(),
            EndpointMode::Unframed => {
                let header_section = format!(
                    "HTTP/1.1 200 x\r\nX-Request-Id: {id}\r\nX-Response-Seal: {seal}\r\nConnection: close\r\n\r\n"
                );
                _ = writer.write_all(&[header_section.as_bytes(), &body].concat());
                false
            }
            EndpointMode::Raw(it) => {
                self.send_raw(writer, it, &id);
                false
            }
            EndpointMode::Sheds | EndpointMode::Hangs => false,
        }
    }

    /// Encodes an answer and adds what the endpoint states about itself.
    fn encode(&self, start_line: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
        let state = self.lock();
        let limit = state.limit.as_deref().map(|it| ("Server-Limit", it));
        let leaving = state.leaving.then_some(("Server-Leaving", "1"));
        let answered_by = Some((ANSWERED_BY, &*state.instance));
        let headers: Vec<_> = headers.iter().copied().chain(answered_by).chain(limit).chain(leaving).collect();
        http::encode(start_line, &headers, body)
    }

    /// Records an arrival and returns its index.
    fn record_arrival(&self, req: &Message, ran: bool) -> usize {
        let header = |name| req.header(name).unwrap_or("").to_owned();
        let mut state = self.lock();
        let instance = state.instance.clone();
        state.arrivals.push(Arrival {
            request_id: header("x-request-id"),
            method_and_target: req.start_line.trim_end_matches(" HTTP/1.1").to_owned(),
            misdirected: header("x-expect-instance") != instance && req.header("x-expect-instance").is_some(),
            instance,
            caller: header("x-caller-service"),
            deadline_ms: header("x-deadline-ms").parse().unwrap_or(0),
            body: req.body.clone(),
            ran,
            cancelled: false,
            at: Instant::now(),
        });
        state.arrivals.len() - 1
    }

    /// Runs the request `index` for `work_time`; returns false at once if the connection is closed meanwhile.
    fn run(&self, index: usize, work_time: Duration, stream: &mut TcpStream) -> bool {
        {
            let mut state = self.lock();
            state.running += 1;
            state.max_running = state.max_running.max(state.running);
        }
        let until = Instant::now() + work_time;
        let mut is_open = true;
        let mut byte = [0];
        while is_open && Instant::now() < until {
            let left = until.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
            _ = stream.set_read_timeout(Some(left.min(Duration::from_millis(10))));
            // The proxy sends nothing while it waits, so a read of 0 bytes means that it closed the connection.
            is_open = !matches!(stream.read(&mut byte), Ok(0));
        }
        _ = stream.set_read_timeout(None);
        let mut state = self.lock();
        state.running -= 1;
        state.arrivals[index].cancelled = !is_open;
        is_open
    }
}

/// A body of `len` bytes that shows to which request it belongs and whether a part of it is missing.
pub fn long_body(request_id: &str, len: usize) -> Vec<u8> {
    let mut body = Vec::with_capacity(len + 32);
    while body.len() < len {
        write!(body, "{request_id} {} ", body.len()).expect("a vector takes all bytes");
    }
    body.truncate(len);
    body
}

fn unix_millis() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
}

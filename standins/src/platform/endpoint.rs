//! A stand-in for an endpoint of the users' platform, healthy or not.

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

/// An announcement is acknowledged within this, or not at all.
const ACKNOWLEDGED_WITHIN: Duration = Duration::from_secs(1);

/// How an endpoint treats requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum EndpointMode {
    /// It works on them and answers.
    #[default]
    Good,
    /// It fails them at once, with good health.
    FailsFast,
    /// It works on them and then fails.
    FailsSlowly,
    /// It says that it did not run them.
    Sheds,
    /// It takes them and never answers.
    Hangs,
    /// It runs them and resets the connection in place of an answer.
    Resets,
    /// It runs them and breaks the answer off.
    Truncates,
    /// It runs them and answers with another request's id.
    AnswersAnother,
    /// It runs them and answers without its seal.
    Unsealed,
    /// It sends bytes after each answer.
    SaysMore,
    /// It ends its answer with the connection and states no length.
    Unframed,
}

/// What reached an endpoint.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// The caller's attempt.
    pub request: String,
    /// Method and target.
    pub line: String,
    /// The service it says the request began at.
    pub caller: String,
    /// How long its sender waits, in milliseconds.
    pub deadline_ms: u64,
    /// The body.
    pub body: Vec<u8>,
    /// It ran, well or not.
    pub ran: bool,
    /// The connection was closed while it worked.
    pub cut_off: bool,
    /// When.
    pub at: Instant,
}

/// A request that ends every endpoint which begins to work on it.
#[derive(Debug, Clone)]
struct Crash {
    target: String,
    /// How long it works before.
    after: Duration,
    /// How long until it is back, in a new life.
    down_for: Duration,
}

struct State {
    mode: EndpointMode,
    crash: Option<Crash>,
    /// It has crashed and is not back.
    down: bool,
    /// Its lives so far.
    lives: u32,
    /// Connections that are served.
    open: Vec<Weak<TcpStream>>,
    health_path: String,
    work: Duration,
    instance: String,
    /// When this life began, in Unix milliseconds.
    born: u64,
    draining: bool,
    arrivals: Vec<Arrival>,
    running: u32,
    most_running: u32,
}

/// One endpoint; ends with the process.
#[derive(Clone)]
pub struct Endpoint {
    /// Where it listens.
    pub address: SocketAddr,
    service: Arc<str>,
    slots: u32,
    /// Its own listener, and those of relays before it.
    listeners: Arc<Mutex<Vec<Listener>>>,
    state: Arc<Mutex<State>>,
    sequence: Arc<AtomicU64>,
}

impl Endpoint {
    /// Starts one on a free port; it announces nothing yet.
    pub fn start(service: &str, instance: &str, slots: u32, work: Duration) -> io::Result<Self> {
        let listener = Listener::open()?;
        let state = State {
            mode: EndpointMode::Good,
            crash: None,
            down: false,
            lives: 1,
            open: Vec::new(),
            health_path: "/health".into(),
            work,
            instance: instance.into(),
            born: unix_millis(),
            draining: false,
            arrivals: Vec::new(),
            running: 0,
            most_running: 0,
        };
        let endpoint = Self {
            address: listener.address,
            listeners: Arc::new(Mutex::new(vec![listener])),
            service: service.into(),
            slots,
            state: Arc::new(Mutex::new(state)),
            sequence: Arc::new(AtomicU64::new(1)),
        };
        let serving = endpoint.clone();
        let listener = endpoint.listeners.lock().unwrap_or_else(PoisonError::into_inner)[0].clone();
        thread::spawn(move || {
            listener.serve(|stream| {
                let endpoint = serving.clone();
                thread::spawn(move || endpoint.serve(stream));
            });
        });
        Ok(endpoint)
    }

    /// From now on a request for this target ends it: it works for a moment, and is back after `down_for` in a new life.
    pub fn crash_on(&self, target: &str, after: Duration, down_for: Duration) {
        self.lock().crash = Some(Crash { target: target.into(), after, down_for });
    }

    /// A relay before it refuses connections while it is down, as its own address does.
    pub fn add_relay(&self, relay: &Relay) {
        self.listeners.lock().unwrap_or_else(PoisonError::into_inner).push(relay.listener.clone());
    }

    /// Ends: nobody listens any more, and all connections break off. It is back some time later.
    fn crash(&self, down_for: Duration) {
        let listeners = self.listeners.lock().unwrap_or_else(PoisonError::into_inner).clone();
        listeners.iter().for_each(Listener::close);
        let mut state = self.lock();
        if std::mem::replace(&mut state.down, true) {
            return;
        }
        for it in state.open.drain(..).filter_map(|it| it.upgrade()) {
            _ = it.shutdown(Shutdown::Both);
        }
        drop(state);
        let endpoint = self.clone();
        thread::spawn(move || {
            thread::sleep(down_for);
            endpoint.come_back(&listeners);
        });
    }

    /// Starts again, in a new life.
    fn come_back(&self, listeners: &[Listener]) {
        let mut state = self.lock();
        state.lives += 1;
        let instance = format!("{}-life-{}", state.instance, state.lives);
        drop(state);
        self.replace(&instance);
        for it in listeners {
            if let Err(error) = it.reopen() {
                eprintln!("{} stays down: {error}", it.address);
                return;
            }
        }
        self.lock().down = false;
    }

    /// Whether it has crashed and is not back.
    pub fn is_down(&self) -> bool {
        self.lock().down
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The service it belongs to.
    pub fn service(&self) -> &str {
        &self.service
    }

    /// Makes it misbehave, or not.
    pub fn set_mode(&self, mode: EndpointMode) {
        self.lock().mode = mode;
    }

    /// Replaces it by a new incarnation at the same address.
    pub fn replace(&self, instance: &str) {
        let mut state = self.lock();
        state.instance = instance.into();
        state.born = unix_millis().max(state.born + 1);
        state.draining = false;
        drop(state);
        self.sequence.store(1, Ordering::Relaxed);
    }

    /// It crashes and starts again under the id that it had.
    pub fn restart(&self) {
        let instance = self.lock().instance.clone();
        self.replace(&instance);
    }

    /// Which life it is in: its id, and when it began.
    pub fn incarnation(&self) -> (String, u64) {
        let state = self.lock();
        (state.instance.clone(), state.born)
    }

    /// What reached it so far.
    pub fn arrivals(&self) -> Vec<Arrival> {
        self.lock().arrivals.clone()
    }

    /// The most requests it worked on at once.
    pub fn max_running(&self) -> u32 {
        self.lock().most_running
    }

    /// Sends one announcement to the proxy beside it; returns the status.
    pub fn announce(&self, proxy: SocketAddr, draining: bool) -> io::Result<u16> {
        if self.is_down() {
            return Err(io::ErrorKind::NotConnected.into());
        }
        self.lock().draining |= draining;
        let state = if self.lock().draining { "draining" } else { "ready" };
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed);
        self.announce_as(proxy, &self.incarnation(), state, sequence)
    }

    /// Sends an announcement of a life, with this content.
    pub fn announce_as(
        &self,
        proxy: SocketAddr,
        (instance, born): &(String, u64),
        state: &str,
        sequence: u64,
    ) -> io::Result<u16> {
        let body = serde_json::json!({
            "service": &*self.service, "address": self.address, "zone": "dc-1", "version": "v1", "slots": self.slots,
            "state": state, "warmup_left_s": 0, "sequence": sequence, "born": born,
        });
        Self::send_heartbeat(proxy, instance, body.to_string().as_bytes())
    }

    /// Sends a heartbeat with this body, whatever it is; returns the status.
    pub fn send_heartbeat(proxy: SocketAddr, instance: &str, body: &[u8]) -> io::Result<u16> {
        let mut stream = TcpStream::connect(proxy)?;
        stream.set_read_timeout(Some(ACKNOWLEDGED_WITHIN))?;
        let start = format!("POST /instances/{instance}/heartbeat HTTP/1.1");
        stream.write_all(&http::encode(&start, &[("Host", "control")], body))?;
        let answer = http::read_message(&mut BufReader::new(stream))?;
        Ok(answer.map_or(0, |it| it.status()))
    }

    /// Answers health questions at another path from now on.
    pub fn set_health_path(&self, path: &str) {
        self.lock().health_path = path.into();
    }

    fn serve(&self, stream: TcpStream) {
        let (Ok(mut writer), Ok(open)) = (stream.try_clone(), stream.try_clone().map(Arc::new)) else { return };
        {
            let mut state = self.lock();
            state.open.retain(|it| it.strong_count() > 0);
            state.open.push(Arc::downgrade(&open));
        }
        let mut reader = BufReader::new(stream);
        while let Ok(Some(req)) = http::read_message(&mut reader) {
            if req.second_word() == self.lock().health_path {
                let instance = self.lock().instance.clone();
                let status = if self.lock().draining { 503 } else { 200 };
                let load = format!("0,0,{}", self.slots);
                let headers = [("X-Instance-Id", &*instance), ("X-Server-Load", &*load)];
                if writer.write_all(&http::encode(&format!("HTTP/1.1 {status} x"), &headers, b"")).is_err() {
                    return;
                }
                continue;
            }
            if !self.answer(&req, &mut writer) {
                return;
            }
        }
    }

    /// Works on a request and answers it; false if the connection is to be closed.
    fn answer(&self, req: &Message, writer: &mut TcpStream) -> bool {
        let (mode, work, instance) = {
            let state = self.lock();
            (state.mode, state.work, state.instance.clone())
        };
        let id = req.header("x-request-id").unwrap_or("").to_owned();
        let wrong = req.header("x-expect-instance").is_some_and(|it| it != instance);
        let sheds = mode == EndpointMode::Sheds;
        let at = self.note(req, !wrong && !sheds);
        let crash = self.lock().crash.clone().filter(|it| it.target == req.second_word() && !wrong && !sheds);
        if let Some(it) = crash {
            self.work(at, it.after, writer);
            self.crash(it.down_for);
            return false;
        }
        if wrong {
            return writer.write_all(&http::encode("HTTP/1.1 421 x", &[("X-Instance-Id", &instance)], b"")).is_ok();
        }
        if sheds {
            return writer.write_all(&http::encode("HTTP/1.1 503 x", &[("X-Not-Executed", "1")], b"")).is_ok();
        }
        if mode != EndpointMode::FailsFast {
            let work = if mode == EndpointMode::Hangs { Duration::from_secs(20) } else { work };
            if !self.work(at, work, writer) {
                return false;
            }
        }
        let seal = format!("seal-{id}");
        let headers = [("X-Request-Id", &*id), ("X-Response-Seal", &*seal)];
        let body = format!("{} {id}", self.service).into_bytes();
        let good = http::encode("HTTP/1.1 200 x", &headers, &body);
        match mode {
            EndpointMode::Good => writer.write_all(&good).is_ok(),
            EndpointMode::FailsFast | EndpointMode::FailsSlowly => {
                writer.write_all(&http::encode("HTTP/1.1 500 x", &headers, b"failed")).is_ok()
            }
            EndpointMode::Resets => {
                // Unread or unsent bytes are thrown away with the connection.
                _ = SockRef::from(&*writer).set_linger(Some(Duration::ZERO));
                false
            }
            EndpointMode::Truncates => {
                _ = writer.write_all(&good[..good.len() - 3]);
                false
            }
            EndpointMode::AnswersAnother => {
                let headers = [("X-Request-Id", "another"), ("X-Response-Seal", "another")];
                writer.write_all(&http::encode("HTTP/1.1 200 x", &headers, b"another's")).is_ok()
            }
            EndpointMode::Unsealed => {
                writer.write_all(&http::encode("HTTP/1.1 200 x", &[("X-Request-Id", &id)], &body)).is_ok()
            }
            EndpointMode::SaysMore => writer.write_all(&[good.clone(), good].concat()).is_ok(),
            EndpointMode::Unframed => {
                let head = format!(
                    "HTTP/1.1 200 x\r\nX-Request-Id: {id}\r\nX-Response-Seal: {seal}\r\nConnection: close\r\n\r\n"
                );
                _ = writer.write_all(&[head.as_bytes(), &body].concat());
                false
            }
            EndpointMode::Sheds | EndpointMode::Hangs => false,
        }
    }

    fn note(&self, req: &Message, ran: bool) -> usize {
        let text = |name| req.header(name).unwrap_or("").to_owned();
        let mut state = self.lock();
        state.arrivals.push(Arrival {
            request: text("x-request-id"),
            line: req.start_line.trim_end_matches(" HTTP/1.1").to_owned(),
            caller: text("x-caller-service"),
            deadline_ms: text("x-deadline-ms").parse().unwrap_or(0),
            body: req.body.clone(),
            ran,
            cut_off: false,
            at: Instant::now(),
        });
        state.arrivals.len() - 1
    }

    /// Works for a while; false if the connection is closed meanwhile.
    fn work(&self, at: usize, work: Duration, stream: &mut TcpStream) -> bool {
        {
            let mut state = self.lock();
            state.running += 1;
            state.most_running = state.most_running.max(state.running);
        }
        let until = Instant::now() + work;
        let mut open = true;
        let mut byte = [0];
        while open && Instant::now() < until {
            let left = until.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
            _ = stream.set_read_timeout(Some(left.min(Duration::from_millis(10))));
            // Nothing is due but the connection's end.
            open = !matches!(stream.read(&mut byte), Ok(0));
        }
        _ = stream.set_read_timeout(None);
        let mut state = self.lock();
        state.running -= 1;
        state.arrivals[at].cut_off = !open;
        open
    }
}

fn unix_millis() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}

//! Stand-ins for the platform's store, the backends and the clients, and the start of real proxies as processes.
//!
//! Only the standard library is used. All addresses are loopback addresses with ports that were free at the start.

#![allow(dead_code)]

use std::{
    collections::{BTreeMap, HashMap},
    fs,
    io::{self, BufRead, BufReader, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{
        Arc, Condvar, Mutex, MutexGuard,
        atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

pub const HOST: &str = "desk.example";
/// `heartbeat_s` of the example settings in DEPLOY.md.
pub const HEARTBEAT: Duration = Duration::from_millis(1_500);
/// `grace_s` and `drain_s` of the small installations.
pub const GRACE: Duration = Duration::from_secs(6);
pub const DRAIN: Duration = Duration::from_secs(2);

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

pub fn unix_millis() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

fn lock<T>(it: &Mutex<T>) -> MutexGuard<'_, T> {
    it.lock().unwrap_or_else(|it| it.into_inner())
}

/// Writes what happens, with the seconds since the start, to record.txt and to standard output.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<fs::File>>,
}

impl Record {
    pub fn create(path: &str) -> Self {
        Self { start: Instant::now(), file: Arc::new(Mutex::new(fs::File::create(path).expect("record.txt"))) }
    }

    pub fn seconds(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.start).as_secs_f64()
    }

    pub fn line(&self, text: impl AsRef<str>) {
        self.line_at(Instant::now(), text);
    }

    pub fn line_at(&self, at: Instant, text: impl AsRef<str>) {
        let line = format!("{:8.3}  {}\n", self.seconds(at), text.as_ref());
        print!("{line}");
        _ = lock(&self.file).write_all(line.as_bytes());
    }
}

/// An HTTP message. `body` is complete unless reading it was left to the caller.
#[derive(Debug, Clone, Default)]
pub struct Message {
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|it| it.0.eq_ignore_ascii_case(name)).map(|it| &*it.1)
    }

    pub fn word(&self, at: usize) -> &str {
        self.start.split(' ').nth(at).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }

    pub fn length(&self) -> Option<usize> {
        self.header("content-length")?.parse().ok()
    }
}

/// Reads a start line and headers; `None` at the end of the connection.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    message.start = line.trim_end().to_owned();
    loop {
        line.clear();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let text = line.trim_end();
        if text.is_empty() {
            return Ok(Some(message));
        }
        if let Some((name, value)) = text.split_once(':') {
            message.headers.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
}

/// Reads a whole message; a response without a length ends with the connection.
pub fn read_message(reader: &mut impl BufRead, is_response: bool) -> io::Result<Option<Message>> {
    let Some(mut message) = read_head(reader)? else { return Ok(None) };
    if message.header("transfer-encoding").is_some_and(|it| it.contains("chunked")) {
        loop {
            let mut line = String::new();
            reader.read_line(&mut line)?;
            let len = usize::from_str_radix(line.trim(), 16).map_err(|_| io::ErrorKind::InvalidData)?;
            let mut part = vec![0; len + 2];
            reader.read_exact(&mut part)?;
            message.body.extend_from_slice(&part[..len]);
            if len == 0 {
                break;
            }
        }
    } else if let Some(len) = message.length() {
        message.body = vec![0; len];
        reader.read_exact(&mut message.body)?;
    } else if is_response {
        reader.read_to_end(&mut message.body)?;
    }
    Ok(Some(message))
}

pub fn encode(start: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut out = format!("{start}\r\n");
    for (name, value) in headers {
        out += &format!("{name}: {value}\r\n");
    }
    out += &format!("Content-Length: {}\r\n\r\n", body.len());
    [out.as_bytes(), body].concat()
}

/// The raw value of a key of a JSON object.
pub fn json_field<'a>(object: &'a str, key: &str) -> Option<&'a str> {
    let bytes = object.as_bytes();
    let (mut depth, mut at, mut key_at, mut value_at) = (0, 0, None, None);
    let mut current = "";
    while at < bytes.len() {
        match bytes[at] {
            b'"' => {
                let from = at + 1;
                at += 1;
                while bytes[at] != b'"' {
                    at += if bytes[at] == b'\\' { 2 } else { 1 };
                }
                if depth == 1 && value_at.is_none() {
                    key_at = Some((from, at));
                }
            }
            b'{' | b'[' => depth += 1,
            b':' if depth == 1 && value_at.is_none() => {
                let (from, to) = key_at?;
                current = &object[from..to];
                value_at = Some(at + 1);
            }
            b'}' | b']' | b',' => {
                if depth == 1
                    && let Some(from) = value_at.take()
                    && current == key
                {
                    return Some(object[from..at].trim());
                }
                if bytes[at] != b',' {
                    depth -= 1;
                }
            }
            _ => (),
        }
        at += 1;
    }
    None
}

#[derive(Clone)]
struct Object {
    name: String,
    spec: String,
    created: u64,
    revision: u64,
}

impl Object {
    fn json(&self) -> String {
        format!(
            "{{\"metadata\":{{\"name\":\"{}\",\"revision\":{},\"create_rev\":{},\"finalizers\":[],\
             \"deletion_requested\":false}},\"spec\":{},\"status\":null}}",
            self.name, self.revision, self.created, self.spec
        )
    }
}

#[derive(Default)]
struct StoreState {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    /// Revision, kind, object and whether it was deleted.
    events: Vec<(u64, String, Object, bool)>,
}

/// The platform's store, form "objects".
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<(Mutex<StoreState>, Condvar)>,
}

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let store = Self { address: listener.local_addr().unwrap(), state: Arc::default() };
        lock(&store.state.0).revision = 10;
        let accepting = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = accepting.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Writes `config/main` as the operator does; the return is the acknowledgement.
    pub fn put_config(&self, spec: &str) {
        self.write("config", "main", spec);
    }

    fn write(&self, kind: &str, name: &str, spec: &str) {
        let mut state = lock(&self.state.0);
        state.revision += 1;
        let revision = state.revision;
        let key = (kind.to_owned(), name.to_owned());
        let created = state.objects.get(&key).map_or(revision, |it| it.created);
        let object = Object { name: name.into(), spec: spec.into(), created, revision };
        state.objects.insert(key, object.clone());
        state.events.push((revision, kind.into(), object, false));
        self.state.1.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let mut writer = stream.try_clone().unwrap();
        let mut reader = BufReader::new(stream);
        while let Ok(Some(req)) = read_message(&mut reader, false) {
            let (status, body) = self.answer(&req);
            let headers = [("Content-Type", "application/json"), ("Store-Era", "1")];
            if writer.write_all(&encode(&format!("HTTP/1.1 {status} x"), &headers, body.as_bytes())).is_err() {
                return;
            }
        }
    }

    fn answer(&self, req: &Message) -> (u16, String) {
        let (path, query) = req.word(1).split_once('?').unwrap_or((req.word(1), ""));
        let param = |name: &str| query.split('&').find_map(|it| it.strip_prefix(name)?.strip_prefix('='));
        let parts: Vec<&str> = path.trim_start_matches('/').split('/').collect();
        let [_, kind, name @ ..] = &parts[..] else { return (404, "{}".into()) };
        let body = String::from_utf8_lossy(&req.body).into_owned();
        let given = json_field(&body, "metadata").and_then(|it| json_field(it, "revision").map(str::to_owned));
        match (req.word(0), name) {
            ("GET", []) if param("watch").is_some() => {
                let from: u64 = param("watch").unwrap().parse().unwrap_or(0);
                let wait = Duration::from_millis(param("wait_ms").and_then(|it| it.parse().ok()).unwrap_or(0));
                self.watch(kind, from, wait)
            }
            ("GET", []) => {
                let state = lock(&self.state.0);
                let items: Vec<String> =
                    state.objects.iter().filter(|it| it.0.0 == *kind).map(|it| it.1.json()).collect();
                (200, format!("{{\"items\":[{}],\"has_more\":false,\"at_rev\":{}}}", items.join(","), state.revision))
            }
            ("GET", [name]) => match lock(&self.state.0).objects.get(&((*kind).into(), (*name).into())) {
                Some(it) => (200, it.json()),
                None => (404, "{}".into()),
            },
            ("POST", []) => {
                let name = json_field(&body, "metadata").and_then(|it| json_field(it, "name")).unwrap_or("\"\"");
                let name = name.trim_matches('"').to_owned();
                if lock(&self.state.0).objects.contains_key(&((*kind).into(), name.clone())) {
                    return (409, "{}".into());
                }
                self.write(kind, &name, json_field(&body, "spec").unwrap_or("null"));
                (201, "{}".into())
            }
            ("PUT", [name]) => {
                let known = lock(&self.state.0).objects.get(&((*kind).into(), (*name).into())).cloned();
                match known {
                    Some(it) if given.is_some_and(|rev| rev != it.revision.to_string()) => (409, it.json()),
                    Some(_) => {
                        self.write(kind, name, json_field(&body, "spec").unwrap_or("null"));
                        (200, "{}".into())
                    }
                    None => (404, "{}".into()),
                }
            }
            ("DELETE", [name]) => {
                let mut state = lock(&self.state.0);
                let Some(it) = state.objects.remove(&((*kind).into(), (*name).into())) else {
                    return (404, "{}".into());
                };
                state.revision += 1;
                let revision = state.revision;
                state.events.push((revision, (*kind).into(), it, true));
                (200, "{}".into())
            }
            _ => (404, "{}".into()),
        }
    }

    fn watch(&self, kind: &str, from: u64, wait: Duration) -> (u16, String) {
        let until = Instant::now() + wait;
        let mut state = lock(&self.state.0);
        loop {
            let events: Vec<String> = state
                .events
                .iter()
                .filter(|it| it.0 > from && it.1 == kind)
                .map(|it| format!("{{\"object\":{},\"is_deleted\":{}}}", it.2.json(), it.3))
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                return (200, format!("{{\"events\":[{}],\"at_rev\":{}}}", events.join(","), state.revision));
            }
            state = self.state.1.wait_timeout(state, left).unwrap_or_else(|it| it.into_inner()).0;
        }
    }
}

/// A request that reached a backend.
#[derive(Debug, Clone)]
pub struct Arrival {
    pub at: Instant,
    pub id: String,
    pub line: String,
    pub instance: String,
    /// Whether the backend ran it.
    pub ran: bool,
    pub deadline_ms: u64,
}

/// How a backend treats a request whose body is longer than this.
#[derive(Debug, Clone, Copy)]
pub struct EarlyAnswer {
    /// Bodies longer than this are rejected before they are read.
    pub beyond: usize,
    /// Time from the answer until the backend reads on.
    pub pause: Duration,
    /// Bytes that it reads each 50 ms then.
    pub step: usize,
}

pub struct BackendState {
    pub instance: String,
    pub born: u64,
    pub work: Duration,
    pub early: Option<EarlyAnswer>,
    /// Length of the answers' bodies; 0 for a short one.
    pub answer_len: usize,
    pub leaving: bool,
    pub gone: bool,
    pub pings: bool,
    pub arrivals: Vec<Arrival>,
    running: u32,
    connections: HashMap<u64, TcpStream>,
}

/// One backend with its pings.
#[derive(Clone)]
pub struct Backend {
    pub address: SocketAddr,
    pub service: String,
    pub slots: u32,
    pub state: Arc<Mutex<BackendState>>,
    pub sequence: Arc<AtomicU64>,
    pub record: Record,
}

static NEXT_CONNECTION: AtomicU64 = AtomicU64::new(0);

impl Backend {
    pub fn start(service: &str, instance: &str, slots: u32, work: Duration, record: &Record) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let backend = Self {
            address: listener.local_addr().unwrap(),
            service: service.into(),
            slots,
            state: Arc::new(Mutex::new(BackendState {
                instance: instance.into(),
                born: unix_millis(),
                work,
                early: None,
                answer_len: 0,
                leaving: false,
                gone: false,
                pings: true,
                arrivals: Vec::new(),
                running: 0,
                connections: HashMap::new(),
            })),
            sequence: Arc::new(AtomicU64::new(1)),
            record: record.clone(),
        };
        let accepting = backend.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let backend = accepting.clone();
                thread::spawn(move || {
                    _ = backend.serve(stream);
                });
            }
        });
        backend
    }

    pub fn lock(&self) -> MutexGuard<'_, BackendState> {
        lock(&self.state)
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        let number = NEXT_CONNECTION.fetch_add(1, Ordering::Relaxed);
        self.lock().connections.insert(number, stream.try_clone()?);
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        let result = loop {
            match self.serve_one(&mut reader, &mut writer) {
                Ok(true) => (),
                Ok(false) => break Ok(()),
                Err(error) => break Err(error),
            }
        };
        self.lock().connections.remove(&number);
        _ = writer.shutdown(Shutdown::Both);
        result
    }

    fn serve_one(&self, reader: &mut BufReader<TcpStream>, writer: &mut TcpStream) -> io::Result<bool> {
        let Some(req) = read_head(reader)? else { return Ok(false) };
        let at = Instant::now();
        let (instance, early, work, leaving, gone) = {
            let it = self.lock();
            (it.instance.clone(), it.early, it.work, it.leaving, it.gone)
        };
        if gone {
            return Ok(false);
        }
        let len = req.length().unwrap_or(0);
        if req.word(1) == "/health" {
            let load = format!("{},0,{}", self.lock().running, self.slots);
            let status = if leaving { 503 } else { 200 };
            let headers = [("X-Instance-Id", &*instance), ("X-Server-Load", &*load)];
            writer.write_all(&encode(&format!("HTTP/1.1 {status} x"), &headers, b""))?;
            return Ok(true);
        }
        let id = req.header("x-request-id").unwrap_or("").to_owned();
        let misdirected = req.header("x-expect-instance").is_some_and(|it| it != instance);
        let is_early = early.filter(|it| len > it.beyond && !misdirected);
        let is_full = self.lock().running >= self.slots;
        let ran = !misdirected && is_early.is_none() && !is_full;
        self.lock().arrivals.push(Arrival {
            at,
            id: id.clone(),
            line: format!("{} {}", req.word(0), req.word(1)),
            instance: instance.clone(),
            ran,
            deadline_ms: req.header("x-deadline-ms").and_then(|it| it.parse().ok()).unwrap_or(0),
        });
        if let Some(it) = is_early {
            let headers = [("X-Request-Id", &*id), ("X-Not-Executed", "1"), ("Retry-After", "0.5")];
            writer.write_all(&encode("HTTP/1.1 503 x", &headers, b""))?;
            self.record.line(format!("backend {instance} rejects {id} before its body of {len} bytes is read"));
            thread::sleep(it.pause);
            let mut left = len;
            let mut buf = vec![0; it.step];
            while left > 0 {
                let part = left.min(buf.len());
                reader.read_exact(&mut buf[..part])?;
                left -= part;
                sleep_ms(50);
            }
            self.record.line(format!("backend {instance} has read the body of {id} to its end"));
            return Ok(true);
        }
        let mut body = vec![0; len];
        reader.read_exact(&mut body)?;
        if misdirected {
            let headers = [("X-Request-Id", &*id), ("X-Not-Executed", "1"), ("X-Instance-Id", &*instance)];
            writer.write_all(&encode("HTTP/1.1 421 x", &headers, b""))?;
            return Ok(true);
        }
        if is_full {
            let headers = [("X-Request-Id", &*id), ("X-Not-Executed", "1")];
            writer.write_all(&encode("HTTP/1.1 503 x", &headers, b""))?;
            return Ok(true);
        }
        self.lock().running += 1;
        let alive = wait_or_closed(reader, work);
        self.lock().running -= 1;
        if !alive {
            return Ok(false);
        }
        let seal = format!("seal-{id}");
        let load = format!("{},0,{}", self.lock().running, self.slots);
        let headers = [
            ("X-Request-Id", &*id),
            ("X-Response-Seal", &*seal),
            ("X-Server-Load", &*load),
            ("Keep-Alive", "timeout=10"),
        ];
        let body = match self.lock().answer_len {
            0 => format!("{} {id}", self.service).into_bytes(),
            len => long_body(&id, len),
        };
        writer.write_all(&encode("HTTP/1.1 200 x", &headers, &body))?;
        Ok(true)
    }

    /// The body of a ping.
    pub fn ping_body(&self, state: &str, sequence: u64) -> String {
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"dc-1\",\"version\":\"v1\",\"slots\":{},\
             \"state\":\"{state}\",\"warmup_left_s\":0,\"sequence\":{sequence},\"born\":{}}}",
            self.service,
            self.address,
            self.slots,
            self.lock().born
        )
    }

    pub fn next_sequence(&self) -> u64 {
        self.sequence.fetch_add(1, Ordering::Relaxed)
    }

    pub fn send_ping(&self, control: SocketAddr, state: &str, sequence: u64) -> io::Result<u16> {
        let path = format!("/instances/{}/heartbeat", self.lock().instance);
        post(control, &path, &self.ping_body(state, sequence))
    }

    pub fn deregister(&self, control: SocketAddr) -> io::Result<u16> {
        let (path, born) = {
            let it = self.lock();
            (format!("/instances/{}/deregister", it.instance), it.born)
        };
        post(control, &path, &format!("{{\"born\":{born}}}"))
    }

    /// Pings every [`HEARTBEAT`] while `pings` is set.
    pub fn start_pings(&self, control: SocketAddr) {
        let backend = self.clone();
        thread::spawn(move || {
            loop {
                if backend.lock().gone {
                    return;
                }
                if backend.lock().pings {
                    let state = if backend.lock().leaving { "draining" } else { "ready" };
                    _ = backend.send_ping(control, state, backend.next_sequence());
                }
                thread::sleep(HEARTBEAT);
            }
        });
    }

    /// Ends the backend: it answers nothing more and closes its connections.
    pub fn exit(&self) {
        let mut state = self.lock();
        state.gone = true;
        for it in state.connections.values() {
            _ = it.shutdown(Shutdown::Both);
        }
    }
}

/// A body of `len` bytes that shows to which request it belongs and whether a part of it is missing.
pub fn long_body(id: &str, len: usize) -> Vec<u8> {
    let mut body = Vec::with_capacity(len + 64);
    while body.len() < len {
        body.extend_from_slice(format!("{id} {} ", body.len()).as_bytes());
    }
    body.truncate(len);
    body
}

/// Waits for `time`; false at once if the other side closes.
fn wait_or_closed(reader: &mut BufReader<TcpStream>, time: Duration) -> bool {
    let until = Instant::now() + time;
    loop {
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return true;
        }
        _ = reader.get_ref().set_read_timeout(Some(left.min(Duration::from_millis(20))));
        let mut byte = [0];
        let closed = matches!(reader.get_ref().peek(&mut byte), Ok(0));
        _ = reader.get_ref().set_read_timeout(None);
        if closed {
            return false;
        }
        if reader.get_ref().peek_would_have_data() {
            thread::sleep(left.min(Duration::from_millis(20)));
        }
    }
}

trait PeekData {
    fn peek_would_have_data(&self) -> bool;
}

impl PeekData for TcpStream {
    fn peek_would_have_data(&self) -> bool {
        _ = self.set_nonblocking(true);
        let mut byte = [0];
        let has = matches!(self.peek(&mut byte), Ok(1));
        _ = self.set_nonblocking(false);
        has
    }
}

pub fn post(address: SocketAddr, path: &str, body: &str) -> io::Result<u16> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(Duration::from_secs(1)))?;
    let headers = [("Host", "control"), ("Content-Type", "application/json")];
    stream.write_all(&encode(&format!("POST {path} HTTP/1.1"), &headers, body.as_bytes()))?;
    Ok(read_message(&mut BufReader::new(stream), true)?.map_or(0, |it| it.status()))
}

/// An address on loopback that is free now. Each has its own IP address, so that no outgoing connection takes its port
/// before the proxy listens.
pub fn free_address() -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(1);
    loop {
        let (pid, next) = (std::process::id(), NEXT.fetch_add(1, Ordering::Relaxed));
        let ip = [127, 64 + (pid % 128) as u8, (pid / 128 % 256) as u8, (next % 255) as u8];
        let address = SocketAddr::from((ip, 7_620));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

/// The processes that this case started, for the watchdog.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends the case and all its processes if it takes longer than 110 seconds.
pub fn start_watchdog(record: &Record) {
    let record = record.clone();
    thread::spawn(move || {
        thread::sleep(Duration::from_secs(110));
        for it in lock(&STARTED).iter() {
            _ = Command::new("kill").arg("-KILL").arg(it.to_string()).status();
        }
        record.line("the case could not run: it took too long");
        std::process::exit(2);
    });
}

/// A proxy as the deploy file starts it, with settings as its template gives them.
pub struct Proxy {
    pub name: String,
    pub outbound: SocketAddr,
    pub control: SocketAddr,
    pub ready: SocketAddr,
    pub peers: SocketAddr,
    pub metrics: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
    record: Record,
}

impl Proxy {
    pub fn start(dir: &PathBuf, name: &str, zone: &str, backend: &Backend, store: SocketAddr, record: &Record) -> Self {
        Self::start_with(dir, name, zone, &backend.service, backend.address, store, record)
    }

    pub fn start_with(
        dir: &PathBuf,
        name: &str,
        zone: &str,
        service: &str,
        endpoint: SocketAddr,
        store: SocketAddr,
        record: &Record,
    ) -> Self {
        let [outbound, control, ready, peers, metrics] = [0; 5].map(|_| free_address());
        let settings = dir.join(format!("{name}.toml"));
        let text = format!(
            "name = \"{name}\"\ndata_centre = \"{zone}\"\nservice = \"{service}\"\ncallers = \"{outbound}\"\n\
             peers = \"{peers}\"\nannouncements = \"{control}\"\nreadiness = \"{ready}\"\nmetrics = \"{metrics}\"\n\
             endpoint = \"{endpoint}\"\nstore = \"{store}\"\nannounce_every_s = 1.5\ngrace_s = 6\nretry_ratio = 0.2\n\
             retry_slack = 60\n"
        );
        fs::write(&settings, text).unwrap();
        let log = dir.join(format!("{name}.log"));
        let mut proxy = Self {
            name: name.into(),
            outbound,
            control,
            ready,
            peers,
            metrics,
            settings,
            log,
            child: None,
            record: record.clone(),
        };
        proxy.spawn();
        proxy
    }

    /// Starts the process with the settings that it had.
    pub fn spawn(&mut self) {
        let log = fs::OpenOptions::new().create(true).append(true).open(&self.log).unwrap();
        let root = std::env::var("ROOT").unwrap_or_else(|_| ".".into());
        let child = Command::new("target/release/jayreach")
            .arg("proxy")
            .current_dir(root)
            .env_clear()
            .env("PATH", "/usr/bin:/bin")
            .env("JAYREACH_SETTINGS", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .expect("target/release/jayreach is built");
        self.record.line(format!("start {} (pid {})", self.name, child.id()));
        lock(&STARTED).push(child.id());
        self.child = Some(child);
    }

    pub fn pid(&self) -> u32 {
        self.child.as_ref().map_or(0, Child::id)
    }

    /// Sends a signal by its name, such as `TERM`.
    pub fn signal(&self, name: &str) {
        self.record.line(format!("SIG{name} to {}", self.name));
        _ = Command::new("kill").arg(format!("-{name}")).arg(self.pid().to_string()).status();
    }

    /// SIGKILL, then waits for the end of the process.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            self.record.line(format!("SIGKILL to {}", self.name));
            _ = child.kill();
            _ = child.wait();
        }
    }

    /// Whether the process has ended, with its status.
    pub fn ended(&mut self) -> Option<String> {
        Some(self.child.as_mut()?.try_wait().ok()??.to_string())
    }

    pub fn is_ready(&self) -> bool {
        get(self.ready, "/readiness").is_ok_and(|it| it.status() == 200)
    }

    /// Its status page as JSON text.
    pub fn status(&self) -> String {
        get(self.metrics, "/status").map(|it| String::from_utf8_lossy(&it.body).into_owned()).unwrap_or_default()
    }

    /// How many endpoints its status page lists, its own one included.
    pub fn endpoints(&self) -> usize {
        self.status().matches("\"born\"").count()
    }

    pub fn log_text(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            _ = child.kill();
            _ = child.wait();
        }
    }
}

pub fn get(address: SocketAddr, path: &str) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(Duration::from_secs(2)))?;
    stream.write_all(format!("GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n").as_bytes())?;
    read_message(&mut BufReader::new(stream), true)?.ok_or(io::ErrorKind::UnexpectedEof.into())
}

static NEXT_REQUEST: AtomicU32 = AtomicU32::new(1);

/// A new id of a client attempt.
pub fn request_id(prefix: &str) -> String {
    format!("{prefix}-{:05}", NEXT_REQUEST.fetch_add(1, Ordering::Relaxed))
}

/// A client's connection.
pub struct Client {
    pub stream: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Client {
    pub fn connect(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        let reader = BufReader::new(stream.try_clone()?);
        Ok(Self { stream, reader })
    }

    pub fn send(&mut self, method: &str, path: &str, id: &str, budget: Duration, body: &[u8]) -> io::Result<()> {
        let deadline = budget.as_millis().to_string();
        let headers = [("Host", HOST), ("X-Request-Id", id), ("X-Deadline-Ms", &*deadline)];
        self.stream.write_all(&encode(&format!("{method} {path} HTTP/1.1"), &headers, body))
    }

    pub fn receive(&mut self, within: Duration) -> io::Result<Message> {
        self.stream.set_read_timeout(Some(within))?;
        read_message(&mut self.reader, true)?.ok_or(io::ErrorKind::UnexpectedEof.into())
    }
}

/// One request on a new connection.
pub fn request(
    to: SocketAddr,
    method: &str,
    path: &str,
    id: &str,
    budget: Duration,
    body: &[u8],
) -> io::Result<Message> {
    let mut client = Client::connect(to)?;
    client.send(method, path, id, budget, body)?;
    client.receive(budget + Duration::from_secs(1))
}

/// The short form of an answer for the record.
pub fn shown(answer: &io::Result<Message>) -> String {
    match answer {
        Ok(it) => it.status().to_string(),
        Err(error) => format!("no answer ({:?})", error.kind()),
    }
}

/// A route of the configuration.
pub fn route(name: &str, prefix: &str, kind: &str, service: &str, timeout_s: f64, attempts: u32) -> String {
    format!(
        "\"{name}\":{{\"host\":\"{HOST}\",\"path_prefix\":\"{prefix}\",\"kind\":\"{kind}\",\"timeout_s\":{timeout_s},\
         \"target_latency_s\":1.5,\"priority\":1,\"service\":\"{service}\",\"max_attempts\":{attempts}}}"
    )
}

/// A configuration with the limits of the example that `fleetbench wire` prints.
pub fn config(version: u32, routes: &[String], services: &[&str]) -> String {
    let services: Vec<String> = services
        .iter()
        .map(|it| {
            format!(
                "\"{it}\":{{\"health_path\":\"/health\",\"max_connections\":330,\"protocol\":\"h1\",\"tls\":false}}"
            )
        })
        .collect();
    format!(
        "{{\"version\":\"{version:08x}\",\"routes\":{{{}}},\"services\":{{{}}},\"limits\":{{\"max_header_bytes\":16384,\
         \"max_body_bytes\":67108864,\"header_timeout_s\":3,\"idle_timeout_s\":15}}}}",
        routes.join(","),
        services.join(",")
    )
}

/// A temporary folder, removed by [`finish`].
pub fn temporary_folder() -> PathBuf {
    let dir = std::env::temp_dir().join(format!("jayreach-review-{}-{}", std::process::id(), unix_millis()));
    fs::create_dir_all(&dir).unwrap();
    dir
}

/// Whether the disruption is left out.
pub fn without_trouble() -> bool {
    std::env::var("TROUBLE").is_ok_and(|it| it == "0")
}

pub fn wait_until(limit: Duration, mut reached: impl FnMut() -> bool) -> bool {
    let until = Instant::now() + limit;
    while Instant::now() < until {
        if reached() {
            return true;
        }
        sleep_ms(50);
    }
    reached()
}

/// Ends the case: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
pub fn finish(dir: &PathBuf, record: &Record, verdict: Result<bool, String>) -> ! {
    if std::env::var("KEEP").is_err() {
        _ = fs::remove_dir_all(dir);
    }
    let (code, text) = match verdict {
        Ok(true) => (0, "the rule held".to_owned()),
        Ok(false) => (1, "the rule was broken".to_owned()),
        Err(why) => (2, format!("the case could not run: {why}")),
    };
    record.line(text);
    std::process::exit(code);
}

/// A flag that threads share.
pub fn flag() -> Arc<AtomicBool> {
    Arc::default()
}

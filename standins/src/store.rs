//! Stand-in for the platform's store: versioned objects, conditional writes and watches.
//!
//! `POST /control` sets a fault: failed calls, slow calls, or writes that take effect but return an error.

use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError},
    thread,
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};
use tiny_http::{Header, Method, Request, Response, Server};

/// Largest value that the platform's store accepts.
const MAX_VALUE_BYTES: usize = 1 << 20;

/// A fault of the store, set by `POST /control`.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct StoreFault {
    /// Whether every call fails with status 503.
    #[serde(rename = "away")]
    pub unavailable: bool,
    /// Delay before each call, in milliseconds.
    pub slow_ms: u64,
    /// Number of writes to come that take effect but are answered with status 502.
    pub lose_answers: u32,
}

/// Numbers of calls since the start, as `GET /stats` returns them.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct StoreCalls {
    /// Reads and listings.
    pub reads: u64,
    /// Writes and removals.
    pub writes: u64,
    /// Watches, counted when they begin.
    pub watches: u64,
}

struct Object {
    version: u64,
    value: Vec<u8>,
}

#[derive(Default)]
struct State {
    objects: BTreeMap<String, Object>,
    version: u64,
    fault: StoreFault,
    calls: StoreCalls,
}

#[derive(Default)]
struct Store {
    state: Mutex<State>,
    changed: Condvar,
}

/// Serves the store until the process ends.
pub fn run(address: SocketAddr) -> io::Result<()> {
    let server = Server::http(address).map_err(io::Error::other)?;
    let store = Arc::new(Store::default());
    for req in server.incoming_requests() {
        let store = Arc::clone(&store);
        thread::spawn(move || store.handle(req));
    }
    Ok(())
}

impl Store {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn handle(&self, mut req: Request) {
        let target = req.url().to_owned();
        if target.starts_with("/control") {
            return self.control(req);
        }
        if target == "/stats" {
            let stats = serde_json::to_vec(&self.lock().calls).expect("counts can be encoded");
            return respond(req, 200, None, stats);
        }
        let fault = self.lock().fault.clone();
        thread::sleep(Duration::from_millis(fault.slow_ms));
        if fault.unavailable {
            return respond(req, 503, None, Vec::new());
        }
        if let Some(prefix) = target.strip_prefix("/objects?prefix=") {
            return self.list(req, prefix);
        }
        let Some(rest) = target.strip_prefix("/objects/") else { return respond(req, 404, None, Vec::new()) };
        let (key, query) = rest.split_once('?').unwrap_or((rest, ""));
        match req.method() {
            Method::Get if query.is_empty() => self.get(req, key),
            Method::Get => self.watch(req, key, query),
            Method::Put => {
                let mut value = Vec::new();
                if req.as_reader().read_to_end(&mut value).is_ok() {
                    self.put(req, key, value);
                }
            }
            Method::Delete => self.remove(req, key),
            _ => respond(req, 405, None, Vec::new()),
        }
    }

    fn control(&self, mut req: Request) {
        let mut body = Vec::new();
        let read = req.as_reader().read_to_end(&mut body);
        match (read, serde_json::from_slice(&body)) {
            (Ok(_), Ok(fault)) => {
                self.lock().fault = fault;
                respond(req, 200, None, Vec::new());
            }
            _ => respond(req, 400, None, Vec::new()),
        }
    }

    fn list(&self, req: Request, prefix: &str) {
        let mut state = self.lock();
        state.calls.reads += 1;
        let keys: Vec<_> = state.objects.keys().filter(|it| it.starts_with(prefix)).cloned().collect();
        drop(state);
        respond(req, 200, None, serde_json::to_vec(&keys).expect("keys can be encoded"));
    }

    fn get(&self, req: Request, key: &str) {
        let mut state = self.lock();
        state.calls.reads += 1;
        let found = state.objects.get(key).map(|it| (it.version, it.value.clone()));
        drop(state);
        match found {
            Some((version, value)) => respond(req, 200, Some(version), value),
            None => respond(req, 404, None, Vec::new()),
        }
    }

    fn watch(&self, req: Request, key: &str, query: &str) {
        let number = |name: &str| {
            let pairs = query.split('&').filter_map(|it| it.split_once('='));
            pairs.into_iter().find(|it| it.0 == name).and_then(|it| it.1.parse().ok()).unwrap_or(0)
        };
        let after: u64 = number("after");
        let deadline = Instant::now() + Duration::from_millis(number("wait_ms"));
        let mut state = self.lock();
        state.calls.watches += 1;
        loop {
            let found = state.objects.get(key).filter(|it| it.version > after);
            if let Some(it) = found {
                let (version, value) = (it.version, it.value.clone());
                drop(state);
                return respond(req, 200, Some(version), value);
            }
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() || state.fault.unavailable {
                drop(state);
                return respond(req, 304, None, Vec::new());
            }
            state = self.changed.wait_timeout(state, left).unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    fn put(&self, req: Request, key: &str, value: Vec<u8>) {
        let header = |name: &'static str| {
            let found = req.headers().iter().find(|it| it.field.equiv(name));
            found.map(|it| it.value.as_str().trim_matches('"').to_owned())
        };
        let (if_match, if_none) = (header("If-Match"), header("If-None-Match"));
        if value.len() > MAX_VALUE_BYTES {
            return respond(req, 413, None, Vec::new());
        }
        let mut state = self.lock();
        state.calls.writes += 1;
        let current = state.objects.get(key).map(|it| it.version.to_string());
        let condition_met = match (if_match, if_none) {
            (Some(wanted), _) => current == Some(wanted),
            (None, Some(_)) => current.is_none(),
            (None, None) => true,
        };
        if !condition_met {
            drop(state);
            return respond(req, 412, None, Vec::new());
        }
        state.version += 1;
        let version = state.version;
        state.objects.insert(key.to_owned(), Object { version, value });
        self.changed.notify_all();
        let answer_lost = state.fault.lose_answers > 0;
        state.fault.lose_answers = state.fault.lose_answers.saturating_sub(1);
        drop(state);
        if answer_lost {
            return respond(req, 502, None, Vec::new());
        }
        respond(req, 200, Some(version), Vec::new());
    }

    fn remove(&self, req: Request, key: &str) {
        let mut state = self.lock();
        state.calls.writes += 1;
        state.objects.remove(key);
        drop(state);
        respond(req, 204, None, Vec::new());
    }
}

fn respond(req: Request, status: u16, version: Option<u64>, body: Vec<u8>) {
    let mut resp = Response::from_data(body).with_status_code(status);
    if let Some(version) = version {
        let tag = format!("\"{version}\"");
        resp.add_header(Header::from_bytes("ETag", tag).expect("a quoted number is a valid header value"));
    }
    // An error means that the client has closed its connection.
    _ = req.respond(resp);
}

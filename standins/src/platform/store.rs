//! A stand-in for the platform's metadata store: objects by kind and name, revisions, watches, and restores from a
//! backup.

use std::{
    io::{BufReader, Write as _},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError},
    thread,
    time::{Duration, Instant},
};

use serde_json::{Value, json};

use crate::platform::http::{self, Message};

/// Kind of the operator's configuration.
const CONFIG_KIND: &str = "config";

/// Stands for a response: the connection is closed without one.
const NO_RESPONSE: (u16, Value) = (0, Value::Null);

/// How the store handles requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum StoreMode {
    /// Responds normally.
    #[default]
    Good,
    /// Responds with 503 to every request, without any effect.
    Busy,
    /// Closes the connection of each request without a response.
    Reset,
    /// Closes the connection of each watch without a response; other requests get responses.
    ResetsWatches,
    /// Applies writes, but closes the connection instead of responding to them; reads get responses.
    LosesAnswers,
    /// Responds to every request with a body without an end.
    Endless,
}

#[derive(Clone)]
struct StoredObject {
    kind: String,
    name: String,
    revision: u64,
    spec: Value,
}

impl StoredObject {
    fn to_json(&self) -> Value {
        json!({"metadata": {"name": self.name, "revision": self.revision, "create_rev": 1, "finalizers": []},
               "spec": self.spec, "status": null})
    }
}

#[derive(Default)]
struct State {
    objects: Vec<StoredObject>,
    revision: u64,
    /// Watches from earlier revisions get 410.
    oldest_watchable: u64,
    mode: StoreMode,
    requests: u64,
    /// Number of restores from a backup.
    era: u64,
    /// Objects and revision of the last backup.
    backup: (Vec<StoredObject>, u64),
}

impl State {
    fn replace(&mut self, kind: &str, name: &str, spec: Value) {
        self.revision += 1;
        let revision = self.revision;
        self.objects.retain(|it| it.kind != kind || it.name != name);
        self.objects.push(StoredObject { kind: kind.into(), name: name.into(), revision, spec });
    }
}

/// The store; it runs until the process ends. Clones share its state.
#[derive(Clone)]
pub struct Store {
    /// Address that it listens on.
    pub address: SocketAddr,
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    /// Starts a store on a free port of loopback.
    pub fn start() -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let state = State { revision: 1, ..State::default() };
        let store = Self { address: listener.local_addr()?, shared: Arc::new((Mutex::new(state), Condvar::new())) };
        let accepting = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = accepting.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        Ok(store)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.shared.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets how it handles requests from now on; open watches end with 503 if the mode isn't `Good`.
    pub fn set_mode(&self, mode: StoreMode) {
        self.lock().mode = mode;
        self.shared.1.notify_all();
    }

    /// Number of requests so far.
    pub fn request_count(&self) -> u64 {
        self.lock().requests
    }

    /// Names of the objects of `kind`.
    pub fn object_names(&self, kind: &str) -> Vec<String> {
        self.lock().objects.iter().filter(|it| it.kind == kind).map(|it| it.name.clone()).collect()
    }

    /// Discards the history: watches from earlier revisions get 410 and have to list again.
    pub fn compact(&self) {
        let mut state = self.lock();
        state.revision += 1;
        state.oldest_watchable = state.revision;
        self.shared.1.notify_all();
    }

    /// Makes a backup for [`Store::restore`]; it replaces the last one.
    pub fn back_up(&self) {
        let mut state = self.lock();
        state.backup = (state.objects.clone(), state.revision);
    }

    /// Restores the backup: later writes are lost, and their revisions are used a second time. Open watches end
    /// without a response. Then the configuration is written again, as `spec` or, if that is `None`, as it was before
    /// the restore, and `others` changes of an unrelated object follow.
    pub fn restore(&self, spec: Option<Value>, others: u32) {
        let mut state = self.lock();
        let last_config = state.objects.iter().find(|it| it.kind == CONFIG_KIND).map(|it| it.spec.clone());
        (state.objects, state.revision) = state.backup.clone();
        state.era += 1;
        let revision = state.revision;
        if let Some(spec) = spec.or(last_config) {
            state.replace(CONFIG_KIND, "main", spec);
        }
        for _ in 0..others {
            state.replace("another-s", "x", json!({"since": revision}));
        }
        self.shared.1.notify_all();
    }

    /// Replaces the operator's configuration.
    pub fn put_config(&self, spec: Value) {
        self.put_object(CONFIG_KIND, "main", spec);
    }

    /// Creates or replaces an object, as another client of the store would.
    pub fn put_object(&self, kind: &str, name: &str, spec: Value) {
        self.lock().replace(kind, name, spec);
        self.shared.1.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(req)) = http::read_message(&mut reader) {
            let mode = {
                let mut state = self.lock();
                state.requests += 1;
                state.mode
            };
            let resp = match mode {
                StoreMode::Reset => return,
                StoreMode::Endless => {
                    _ = writer.write_all(b"HTTP/1.1 200 x\r\n\r\n");
                    while writer.write_all(&[b' '; 1 << 16]).is_ok() {}
                    return;
                }
                StoreMode::Busy => (503, Value::Null),
                StoreMode::ResetsWatches if req.second_word().contains("watch=") => return,
                StoreMode::Good | StoreMode::ResetsWatches | StoreMode::LosesAnswers => self.respond(&req),
            };
            if resp == NO_RESPONSE {
                return;
            }
            if mode == StoreMode::LosesAnswers && !req.start_line.starts_with("GET") {
                return;
            }
            let body = resp.1.to_string();
            let era = self.lock().era.to_string();
            let buf = http::encode(&format!("HTTP/1.1 {} x", resp.0), &[("Store-Era", &era)], body.as_bytes());
            if writer.write_all(&buf).is_err() {
                return;
            }
        }
    }

    fn respond(&self, req: &Message) -> (u16, Value) {
        let method = req.start_line.split(' ').next().unwrap_or("").to_owned();
        let (path, query) = req.second_word().split_once('?').unwrap_or((req.second_word(), ""));
        let path = path.trim_start_matches("/objects/");
        let (kind, name) = path.split_once('/').unwrap_or((path, ""));
        let body: Value = serde_json::from_slice(&req.body).unwrap_or(Value::Null);
        let exists = self.object_names(kind).iter().any(|it| it == name);
        match method.as_str() {
            "GET" if query.contains("watch=") => self.watch(kind, query),
            "GET" if name.is_empty() => self.list(kind),
            "GET" if exists => (200, self.object(kind, name)),
            "POST" => {
                let name = body["metadata"]["name"].as_str().unwrap_or("").to_owned();
                if self.object_names(kind).contains(&name) {
                    return (409, Value::Null);
                }
                self.put_object(kind, &name, body["spec"].clone());
                (200, Value::Null)
            }
            "PUT" if exists => {
                let revision = &body["metadata"]["revision"];
                if revision.is_u64() && *revision != self.object(kind, name)["metadata"]["revision"] {
                    return (409, Value::Null);
                }
                self.put_object(kind, name, body["spec"].clone());
                (200, Value::Null)
            }
            "DELETE" if exists => {
                let mut state = self.lock();
                state.revision += 1;
                state.objects.retain(|it| it.kind != kind || it.name != name);
                (200, Value::Null)
            }
            _ => (404, Value::Null),
        }
    }

    fn object(&self, kind: &str, name: &str) -> Value {
        let state = self.lock();
        let found = state.objects.iter().find(|it| it.kind == kind && it.name == name);
        found.map_or(Value::Null, StoredObject::to_json)
    }

    fn list(&self, kind: &str) -> (u16, Value) {
        let state = self.lock();
        let items: Vec<Value> = state.objects.iter().filter(|it| it.kind == kind).map(StoredObject::to_json).collect();
        (200, json!({"items": items, "has_more": false, "at_rev": state.revision}))
    }

    fn watch(&self, kind: &str, query: &str) -> (u16, Value) {
        let query_number = |key: &str| {
            let pair = query.split('&').find_map(|it| it.strip_prefix(key)?.strip_prefix('='));
            pair.and_then(|it| it.parse::<u64>().ok()).unwrap_or(0)
        };
        let (from, deadline) = (query_number("watch"), Instant::now() + Duration::from_millis(query_number("wait_ms")));
        let mut state = self.lock();
        let era = state.era;
        loop {
            if state.era != era {
                return NO_RESPONSE;
            }
            if from < state.oldest_watchable || from > state.revision {
                return (410, Value::Null);
            }
            let changed = state.objects.iter().filter(|it| it.kind == kind && it.revision > from);
            let events: Vec<Value> = changed.map(|it| json!({"object": it.to_json(), "is_deleted": false})).collect();
            let left = deadline.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                return (200, json!({"events": events, "at_rev": state.revision}));
            }
            if state.mode != StoreMode::Good {
                return (503, Value::Null);
            }
            state = self.shared.1.wait_timeout(state, left).unwrap_or_else(PoisonError::into_inner).0;
        }
    }
}

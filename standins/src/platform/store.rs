//! A stand-in for the platform's metadata store: objects by kind and name, revisions, watches.

use std::{
    io::{BufReader, Write as _},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError},
    thread,
    time::{Duration, Instant},
};

use serde_json::{Value, json};

use crate::platform::http::{self, Message};

/// The kind of the operator's configuration.
const CONFIG: &str = "config";

/// The connection ends without an answer.
const CUT_OFF: (u16, Value) = (0, Value::Null);

/// How the store misbehaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum StoreMode {
    /// It answers.
    #[default]
    Good,
    /// Every call is refused with 503; nothing is done.
    Busy,
    /// Every connection is closed without an answer.
    Reset,
    /// Writes take effect and lose their answers.
    LosesAnswers,
}

#[derive(Clone)]
struct Stored {
    kind: String,
    name: String,
    revision: u64,
    spec: Value,
}

impl Stored {
    fn value(&self) -> Value {
        json!({"metadata": {"name": self.name, "revision": self.revision, "create_rev": 1, "finalizers": []},
               "spec": self.spec, "status": null})
    }
}

#[derive(Default)]
struct State {
    objects: Vec<Stored>,
    revision: u64,
    /// Watches from before this get 410.
    oldest: u64,
    mode: StoreMode,
    calls: u64,
    /// Goes up by one each time the store is restored from a backup.
    era: u64,
    /// The last backup.
    backup: (Vec<Stored>, u64),
}

impl State {
    fn replace(&mut self, kind: &str, name: &str, spec: Value) {
        self.revision += 1;
        let revision = self.revision;
        self.objects.retain(|it| it.kind != kind || it.name != name);
        self.objects.push(Stored { kind: kind.into(), name: name.into(), revision, spec });
    }
}

/// The store; ends with the process.
#[derive(Clone)]
pub struct Store {
    /// Where it listens.
    pub address: SocketAddr,
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    /// Starts one on a free port.
    pub fn start() -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let state = State { revision: 1, ..State::default() };
        let store = Self { address: listener.local_addr()?, shared: Arc::new((Mutex::new(state), Condvar::new())) };
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        Ok(store)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.shared.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Makes it misbehave, or not.
    pub fn set_mode(&self, mode: StoreMode) {
        self.lock().mode = mode;
        self.shared.1.notify_all();
    }

    /// Calls so far.
    pub fn request_count(&self) -> u64 {
        self.lock().calls
    }

    /// Names of the objects of a kind.
    pub fn object_names(&self, kind: &str) -> Vec<String> {
        self.lock().objects.iter().filter(|it| it.kind == kind).map(|it| it.name.clone()).collect()
    }

    /// Forgets the history: watches have to begin anew.
    pub fn compact(&self) {
        let mut state = self.lock();
        state.revision += 1;
        state.oldest = state.revision;
        self.shared.1.notify_all();
    }

    /// Makes a backup, from which it may be restored.
    pub fn back_up(&self) {
        let mut state = self.lock();
        state.backup = (state.objects.clone(), state.revision);
    }

    /// Is restored from the backup: what the system wrote since is gone, and revisions are given out again. What the operator wrote
    /// is written again, `spec` in place of its last configuration if there is one; then come `others` changes of other objects.
    pub fn restore(&self, spec: Option<Value>, others: u32) {
        let mut state = self.lock();
        let last = state.objects.iter().find(|it| it.kind == CONFIG).map(|it| it.spec.clone());
        (state.objects, state.revision) = state.backup.clone();
        state.era += 1;
        let revision = state.revision;
        if let Some(spec) = spec.or(last) {
            state.replace(CONFIG, "main", spec);
        }
        for _ in 0..others {
            state.replace("another-s", "x", json!({"since": revision}));
        }
        self.shared.1.notify_all();
    }

    /// The operator replaces the configuration.
    pub fn put_config(&self, spec: Value) {
        self.put_object(CONFIG, "main", spec);
    }

    /// Another writer leaves an object.
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
                state.calls += 1;
                state.mode
            };
            let answer = match mode {
                StoreMode::Reset => return,
                StoreMode::Busy => (503, Value::Null),
                StoreMode::Good | StoreMode::LosesAnswers => self.answer(&req),
            };
            if answer == CUT_OFF {
                return;
            }
            if mode == StoreMode::LosesAnswers && !req.start_line.starts_with("GET") {
                return;
            }
            let body = answer.1.to_string();
            let era = self.lock().era.to_string();
            let text = http::encode(&format!("HTTP/1.1 {} x", answer.0), &[("Store-Era", &era)], body.as_bytes());
            if writer.write_all(&text).is_err() {
                return;
            }
        }
    }

    fn answer(&self, req: &Message) -> (u16, Value) {
        let method = req.start_line.split(' ').next().unwrap_or("").to_owned();
        let (path, query) = req.second_word().split_once('?').unwrap_or((req.second_word(), ""));
        let path = path.trim_start_matches("/objects/");
        let (kind, name) = path.split_once('/').unwrap_or((path, ""));
        let body: Value = serde_json::from_slice(&req.body).unwrap_or(Value::Null);
        let found = self.object_names(kind).iter().any(|it| it == name);
        match method.as_str() {
            "GET" if query.contains("watch=") => self.watch(kind, query),
            "GET" if name.is_empty() => self.list(kind),
            "GET" if found => (200, self.object(kind, name)),
            "POST" => {
                let name = body["metadata"]["name"].as_str().unwrap_or("").to_owned();
                if self.object_names(kind).contains(&name) {
                    return (409, Value::Null);
                }
                self.put_object(kind, &name, body["spec"].clone());
                (200, Value::Null)
            }
            "PUT" if found => {
                let revision = &body["metadata"]["revision"];
                if revision.is_u64() && *revision != self.object(kind, name)["metadata"]["revision"] {
                    return (409, Value::Null);
                }
                self.put_object(kind, name, body["spec"].clone());
                (200, Value::Null)
            }
            "DELETE" if found => {
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
        found.map_or(Value::Null, Stored::value)
    }

    fn list(&self, kind: &str) -> (u16, Value) {
        let state = self.lock();
        let items: Vec<Value> = state.objects.iter().filter(|it| it.kind == kind).map(Stored::value).collect();
        (200, json!({"items": items, "has_more": false, "at_rev": state.revision}))
    }

    fn watch(&self, kind: &str, query: &str) -> (u16, Value) {
        let number = |key: &str| {
            let pair = query.split('&').find_map(|it| it.strip_prefix(key)?.strip_prefix('='));
            pair.and_then(|it| it.parse::<u64>().ok()).unwrap_or(0)
        };
        let (from, deadline) = (number("watch"), Instant::now() + Duration::from_millis(number("wait_ms")));
        let mut state = self.lock();
        let era = state.era;
        loop {
            if state.era != era {
                return CUT_OFF;
            }
            if from < state.oldest || from > state.revision {
                return (410, Value::Null);
            }
            let news = state.objects.iter().filter(|it| it.kind == kind && it.revision > from);
            let events: Vec<Value> = news.map(|it| json!({"object": it.value(), "is_deleted": false})).collect();
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

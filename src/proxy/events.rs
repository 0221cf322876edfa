//! Event log: one JSON line for each decision about a request and each change of this proxy's state.
//!
//! A writer thread behind a bounded queue writes the lines, so that a reader that blocks standard output delays no
//! request. Routine lines are sampled when there are many. Lines that are left out are counted and reported.

use std::{
    cell::{Cell, RefCell},
    io::{self, Write},
    thread,
    time::{Instant, SystemTime, UNIX_EPOCH},
};

use crossbeam::channel::{Receiver, Sender, bounded};
use serde::Serialize;

use crate::{
    decide::{
        fingerprint::Fingerprint, hedge::HedgeReason, incarnation::UnixMillis, rate_limit::RequestRate,
        suspicion::EndpointStanding,
    },
    proxy::{
        directory::ProxyName,
        message::{GrantRefusal, NotRunReason, UnknownReason},
        routes::Version,
    },
    startup_signals::Disposition,
};

/// Capacity of the writer's queue, in lines; about 1 MB.
const QUEUE_CAPACITY: usize = 4_096;
/// Maximum rate of routine lines, per second; lines beyond it are dropped.
const ROUTINE_LINES_PER_S: f64 = 50.0;

/// An event line. `request` is always the id of the caller's request.
#[derive(Debug, Serialize)]
#[serde(tag = "event", rename_all = "kebab-case")]
#[expect(missing_docs, reason = "docs/OPERATIONS.md describes the fields of each line")]
pub enum Event<'a> {
    /// The process started to serve. `hup` and `term` are what it inherited for SIGHUP and SIGTERM.
    Started { version: &'static str, hup: Disposition, term: Disposition },
    /// The process received SIGTERM or SIGINT, or is about to exit.
    Stopping { why: &'a str, running: usize },
    /// The settings file was read again and has changed or is invalid.
    Reloaded { changed: bool, findings: &'a str },
    /// The store became reachable or unreachable for `task`; `silent_ms` is the time since its last response to it.
    Store { task: StoreTask, reachable: bool, why: &'a str, failures: u32, silent_ms: u128 },
    /// This proxy starts or stops watching the store on behalf of the fleet; `confirmed_ms` is the time since the store
    /// last confirmed the configuration to any proxy.
    Watch { begins: bool, confirmed_ms: Option<u128> },
    /// This proxy lost the store and asked others to watch it instead; `found` is the one that does, `asked` how many
    /// were asked.
    Substitute { found: Option<&'a str>, asked: usize, took_ms: u128 },
    /// Another proxy became reachable or unreachable.
    Peer { peer: &'a str, reachable: bool, why: &'a str },
    /// Another proxy's directory entry or the standing of its endpoint changed.
    Row {
        peer: &'a str,
        sequence: u64,
        endpoint: Option<&'a str>,
        service: Option<&'a str>,
        standing: EndpointStanding,
    },
    /// A version of the configuration became active; `confirmed_ms` is the time since the store last confirmed the
    /// previous version to any proxy.
    Config { version: Version, before: Version, source: &'a str, routes: usize, confirmed_ms: Option<u128> },
    /// A part of a configuration is invalid.
    ConfigRefused { version: Version, place: &'a str, why: &'a str },
    /// An object in the store or an announcement is invalid.
    EntrySkipped { entry: &'a str, why: &'a str },
    /// The VM's endpoint announced a change, or was replaced by another incarnation.
    Endpoint { id: &'a str, born: Option<UnixMillis>, service: &'a str, phase: &'a str, sequence: u64, why: &'a str },
    /// The VM's endpoint named a rate limit, in requests a second, changed it or no longer names one; `source` is where
    /// this proxy learnt it, `request` the request whose answer said so, `age_ms` the time since the endpoint said so.
    Limit {
        endpoint: &'a str,
        rate: Option<RequestRate>,
        before: Option<RequestRate>,
        source: &'a str,
        request: &'a str,
        age_ms: u128,
    },
    /// The VM's endpoint became suspect, declining or clean.
    Standing { endpoint: &'a str, standing: EndpointStanding, request: &'a str, why: &'a str },
    /// Slot time of the endpoint by use since the process started, in milliseconds.
    Slots { service: &'a str, slots: u32, uses: &'a [(&'static str, u64)] },
    /// A request was refused before any guard was asked for a grant, for example because it has no route.
    Rejected { request: &'a str, status: u16, why: &'a str },
    /// A guard refused to grant a run at its endpoint.
    NoPlace { request: &'a str, guard: &'a str, why: GrantRefusal, waited_ms: u128 },
    /// A guard granted a run at its endpoint. `load`, `slots` and `standing` are the endpoint's state as last reported to
    /// the ingress before it requested the grant, `told_ms_ago` is the age of that report.
    Placed {
        request: &'a str,
        guard: &'a str,
        endpoint: &'a str,
        attempt: u32,
        waited_ms: u128,
        asked: u32,
        of: usize,
        load: u32,
        slots: u32,
        standing: EndpointStanding,
        told_ms_ago: u128,
    },
    /// An attempt at an endpoint failed.
    Failed {
        request: &'a str,
        fingerprint: Fingerprint,
        guard: &'a str,
        attempt: u32,
        why: AttemptFailure,
        took_ms: u128,
    },
    /// The endpoint crashed while it was executing this request; `running` requests were affected in all.
    EndedUnder {
        endpoint: &'a str,
        request: &'a str,
        fingerprint: Fingerprint,
        ran_ms: u128,
        running: usize,
        evidence: u32,
    },
    /// A request was quarantined because endpoints crashed while executing it, or was cleared; `source` is where this
    /// proxy got the evidence from.
    Quarantine { fingerprint: Fingerprint, held: bool, evidence: u32, source: &'a str },
    /// An attempt's guard did not respond; the end of the run was queried, directly or through another proxy.
    Asked { request: &'a str, guard: &'a str, through: &'a str, found: &'a str },
    /// The caller disconnected before it got a response.
    Cancelled { request: &'a str, route: &'a str, after_ms: u128, attempts: u32 },
    /// A request got its response.
    Answered(AnsweredRequest<'a>),
    /// Number of lines left out since the last such event, by sampling and because the queue was full.
    Dropped { ordinary: u64, full: u64 },
}

/// A task of a proxy that calls the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum StoreTask {
    /// Reads and watches the configuration.
    FollowConfig,
    /// Lists the other proxies and writes its own presence object.
    Join,
    /// Reads and writes the quarantined requests.
    Quarantine,
}

/// How a request ended, with its totals.
#[derive(Debug, Serialize)]
pub struct AnsweredRequest<'a> {
    /// Id of the caller's request.
    pub request: &'a str,
    /// Name of the route.
    pub route: &'a str,
    /// Version of the configuration by which it was routed.
    pub version: Version,
    /// Service that the request was sent to.
    pub service: &'a str,
    /// HTTP status of the response.
    pub status: u16,
    /// Result as one word, for example `answered` or `timeout`.
    pub outcome: &'a str,
    /// Fingerprint of the request, if it is quarantined at the time of the response.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub quarantined: Option<Fingerprint>,
    /// Whether it is a nested call, made by a running request.
    pub call: bool,
    /// Number of reservation requests sent to guards.
    pub asked: u32,
    /// Number of endpoints that it was sent to.
    pub attempts: u32,
    /// Time from arrival to response, in milliseconds.
    pub took_ms: u128,
    /// Part of `took_ms` that was spent waiting for grants.
    pub waited_ms: u128,
}

/// Why an attempt failed.
#[derive(Debug, Clone, Copy, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum AttemptFailure {
    /// The endpoint responded with this error status.
    Status(u16),
    /// The endpoint did not execute the request.
    NotRun(NotRunReason),
    /// The endpoint may have executed the request.
    Unknown(UnknownReason),
    /// The attempt is still running, but took so long that the request was also sent to another endpoint.
    Overdue,
    /// The attempt is still running, but this proxy stops or its endpoint leaves, so the request was also sent to
    /// another endpoint.
    IngressStops,
}

impl From<HedgeReason> for AttemptFailure {
    fn from(it: HedgeReason) -> Self {
        match it {
            HedgeReason::Overdue => Self::Overdue,
            HedgeReason::IngressStops => Self::IngressStops,
        }
    }
}

impl Event<'_> {
    /// Whether this is a frequent event of low value, which may be sampled.
    fn is_routine(&self) -> bool {
        match self {
            Self::Placed { attempt, .. } => *attempt == 1,
            Self::Answered(it) => it.status < 300 && it.attempts <= 1,
            // Every proxy logs each change of every endpoint; the endpoint's own guard logs it unsampled.
            Self::NoPlace { .. } | Self::Row { endpoint: None, .. } => true,
            _ => false,
        }
    }
}

/// Queue of lines for the writer thread.
#[derive(Debug)]
pub struct EventLog {
    /// Written in every line.
    proxy: ProxyName,
    lines: Sender<Vec<u8>>,
    /// Token bucket of routine lines.
    routine_tokens: Cell<f64>,
    refilled_at: Cell<Instant>,
    /// Lines left out since the last [`Event::Dropped`]: by sampling, and because the queue was full.
    dropped: RefCell<(u64, u64)>,
}

impl EventLog {
    /// Starts the writer thread, which exits when this is dropped.
    ///
    /// # Errors
    ///
    /// The thread can't be started.
    pub fn start(proxy: ProxyName, out: impl Write + Send + 'static) -> io::Result<Self> {
        let (lines, rx) = bounded(QUEUE_CAPACITY);
        thread::Builder::new().name("events".into()).spawn(move || write_lines(&rx, out))?;
        Ok(Self {
            proxy,
            lines,
            routine_tokens: Cell::new(ROUTINE_LINES_PER_S),
            refilled_at: Cell::new(Instant::now()),
            dropped: RefCell::default(),
        })
    }

    /// Queues one event; drops it if it is over the sampling rate or the queue is full.
    pub fn emit(&self, event: &Event<'_>) {
        if event.is_routine() && !self.take_routine_token() {
            self.dropped.borrow_mut().0 += 1;
            metrics::counter!("jayreach_events_dropped_total", "why" => "sampled").increment(1);
            return;
        }
        self.report_dropped();
        if !self.send(event) {
            self.dropped.borrow_mut().1 += 1;
            metrics::counter!("jayreach_events_dropped_total", "why" => "full").increment(1);
        }
    }

    fn take_routine_token(&self) -> bool {
        let elapsed = self.refilled_at.replace(Instant::now()).elapsed();
        let tokens = (self.routine_tokens.get() + elapsed.as_secs_f64() * ROUTINE_LINES_PER_S).min(ROUTINE_LINES_PER_S);
        let allowed = tokens >= 1.0;
        self.routine_tokens.set(if allowed { tokens - 1.0 } else { tokens });
        allowed
    }

    /// Reports dropped lines as soon as the queue has room.
    fn report_dropped(&self) {
        let (ordinary, full) = *self.dropped.borrow();
        if ordinary + full > 0 && self.send(&Event::Dropped { ordinary, full }) {
            *self.dropped.borrow_mut() = (0, 0);
        }
    }

    /// Queues a line for the writer; returns false if the queue is full.
    fn send(&self, event: &Event<'_>) -> bool {
        #[derive(Serialize)]
        struct Line<'a> {
            /// Seconds since the Unix epoch by the VM's clock; for readers only.
            time: f64,
            proxy: &'a str,
            #[serde(flatten)]
            event: &'a Event<'a>,
        }
        let time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs_f64();
        let mut line = serde_json::to_vec(&Line { time, proxy: &self.proxy, event }).expect("events can be serialized");
        line.push(b'\n');
        self.lines.try_send(line).is_ok()
    }
}

fn write_lines(rx: &Receiver<Vec<u8>>, mut out: impl Write) {
    /// Lines are batched up to this many bytes to save system calls under load.
    const BATCH_BYTES: usize = 64 * 1024;
    while let Ok(mut batch) = rx.recv() {
        while batch.len() < BATCH_BYTES {
            let Ok(line) = rx.try_recv() else { break };
            batch.extend_from_slice(&line);
        }
        if out.write_all(&batch).and_then(|()| out.flush()).is_err() {
            // The output is closed; lost batches are only counted.
            metrics::counter!("jayreach_event_writes_failed_total").increment(1);
        }
    }
}

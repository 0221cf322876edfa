//! Stand-in for callers: open-loop load over all daemons, with a recorded history.
//!
//! Requests follow a schedule drawn from the seed, whether or not earlier ones were answered. Latency counts from
//! the scheduled time, so that a stall shows in the figures (no coordinated omission).

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use hdrhistogram::Histogram;
use rand::{RngExt as _, SeedableRng as _, rngs::SmallRng};
use ureq::Agent;

use crate::{endpoint::OPERATION_HEADER, fleet::TOKEN};

/// How often a caller resends a request with a ticket whose outcome is unknown.
const MAX_RESENDS: usize = 40;
/// Pause before a caller resends a request.
const RESEND_PAUSE: Duration = Duration::from_millis(250);

/// One class of requests in a load.
#[derive(Debug, Clone)]
pub struct RequestClass {
    /// Name of the class, for the table and the operations' names.
    pub name: &'static str,
    /// Path of the requests.
    pub path: &'static str,
    /// Whether requests need a ticket.
    pub ticketed: bool,
    /// Share of all requests, in percent.
    pub percent: u32,
    /// Latency limit of the class.
    pub lateness: Duration,
}

/// A load: mix, rate, duration and seed.
#[derive(Debug, Clone)]
pub struct Load {
    /// Classes of requests; their shares add up to 100.
    pub mix: Vec<RequestClass>,
    /// Requests per second.
    pub rate: f64,
    /// Length of the schedule.
    pub duration: Duration,
    /// Seed of the schedule and of the choice of classes and daemons.
    pub seed: u64,
    /// Number of requests that may be open at the same time.
    pub workers: usize,
    /// Whether a caller resends a request under the same ticket when the outcome is unknown or the connection was
    /// lost.
    pub retries_unknown: bool,
}

/// Outcome of an operation as a caller received it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportedOutcome {
    /// The operation ran; holds the response's status.
    Done(u16),
    /// The operation did not run.
    NotRun,
    /// The operation may have run.
    Unknown,
    /// The connection was lost or refused.
    Lost,
}

/// One operation of the history.
#[derive(Debug, Clone)]
pub struct Record {
    /// Name of the operation in the endpoints' run logs.
    pub operation: Box<str>,
    /// Index of the class in the load's mix.
    pub class_index: usize,
    /// Outcome of the last response.
    pub last_outcome: ReportedOutcome,
    /// Outcome of the first response.
    pub first_outcome: ReportedOutcome,
    /// Whether a response belonged to another operation.
    pub wrong_answer: bool,
    /// Body of the last response, unless the outcome was done.
    pub message: Box<str>,
    /// Scheduled time, since the start of the load.
    pub due: Duration,
    /// Time from the scheduled time to the first response.
    pub latency: Duration,
}

struct Arrival {
    due: Duration,
    class_index: usize,
    daemon: usize,
}

/// Sends the load to the daemons that listen for callers at `daemons`, and returns the history.
pub fn run(load: &Load, daemons: &[SocketAddr]) -> Vec<Record> {
    let arrivals = Arc::new(schedule(load, daemons.len()));
    let next = Arc::new(AtomicUsize::new(0));
    let history = Arc::new(Mutex::new(Vec::with_capacity(arrivals.len())));
    let start = Instant::now();
    let workers: Vec<_> = (0..load.workers)
        .map(|_| {
            let (load, daemons) = (load.clone(), daemons.to_vec());
            let (arrivals, next, history) = (Arc::clone(&arrivals), Arc::clone(&next), Arc::clone(&history));
            thread::spawn(move || {
                let caller = Caller::new(&load, &daemons);
                while let Some(arrival) = arrivals.get(next.fetch_add(1, Ordering::Relaxed)) {
                    thread::sleep((start + arrival.due).saturating_duration_since(Instant::now()));
                    let record = caller.operate(arrival, start);
                    history.lock().unwrap_or_else(PoisonError::into_inner).push(record);
                }
            })
        })
        .collect();
    for it in workers {
        it.join().expect("a caller does not panic");
    }
    std::mem::take(&mut *history.lock().unwrap_or_else(PoisonError::into_inner))
}

fn schedule(load: &Load, daemons: usize) -> Vec<Arrival> {
    let mut rng = SmallRng::seed_from_u64(load.seed);
    let mut arrivals = Vec::new();
    let mut due = 0.0;
    while due < load.duration.as_secs_f64() {
        let mut draw = rng.random_range(0..100);
        let class_index = load.mix.iter().position(|it| {
            let hit = draw < it.percent;
            draw = draw.saturating_sub(it.percent);
            hit
        });
        let class_index = class_index.expect("the shares of a mix add up to 100");
        arrivals.push(Arrival { due: Duration::from_secs_f64(due), class_index, daemon: rng.random_range(0..daemons) });
        due -= (1.0 - rng.random::<f64>()).ln() / load.rate;
    }
    arrivals
}

/// One response, as the caller understands it.
struct CallerResponse {
    outcome: ReportedOutcome,
    wrong_answer: bool,
    message: Box<str>,
}

impl CallerResponse {
    fn new(outcome: ReportedOutcome) -> Self {
        Self { outcome, wrong_answer: false, message: Box::default() }
    }
}

struct Caller<'a> {
    load: &'a Load,
    daemons: &'a [SocketAddr],
    agent: Agent,
}

impl<'a> Caller<'a> {
    fn new(load: &'a Load, daemons: &'a [SocketAddr]) -> Self {
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .max_idle_connections_per_host(1)
            .timeout_global(Some(Duration::from_secs(15)))
            .build();
        Self { load, daemons, agent: Agent::new_with_config(config) }
    }

    fn operate(&self, arrival: &Arrival, start: Instant) -> Record {
        let class = &self.load.mix[arrival.class_index];
        let operation: Box<str> =
            format!("{}-{}-{:016x}", class.name, self.load.seed, rand::rng().random::<u64>()).into();
        let mut at = arrival.daemon;
        let ticket = if class.ticketed { self.ticket(at) } else { None };
        let mut resp = match (class.ticketed, &ticket) {
            (true, None) => CallerResponse::new(ReportedOutcome::NotRun),
            _ => self.send(at, class, &operation, ticket.as_deref()),
        };
        let first_outcome = resp.outcome;
        let mut wrong_answer = resp.wrong_answer;
        let latency = start.elapsed().saturating_sub(arrival.due);
        if let Some(ticket) = ticket.as_deref().filter(|_| self.load.retries_unknown) {
            for _ in 0..MAX_RESENDS {
                if matches!(resp.outcome, ReportedOutcome::Done(_) | ReportedOutcome::NotRun) {
                    break;
                }
                thread::sleep(RESEND_PAUSE);
                at += 1;
                resp = self.send(at % self.daemons.len(), class, &operation, Some(ticket));
                wrong_answer |= resp.wrong_answer;
            }
        }
        let CallerResponse { outcome: last_outcome, message, .. } = resp;
        Record {
            operation,
            class_index: arrival.class_index,
            last_outcome,
            first_outcome,
            wrong_answer,
            message,
            due: arrival.due,
            latency,
        }
    }

    /// A ticket from the daemon at index `at`, or from the next daemon that issues one.
    fn ticket(&self, at: usize) -> Option<String> {
        let addresses = self.daemons.iter().cycle().skip(at).take(self.daemons.len());
        addresses.into_iter().find_map(|address| {
            let sent = self.agent.post(format!("http://{address}/.jayreach/tickets")).send_empty();
            let text = sent.ok().filter(|it| it.status() == 200)?.body_mut().read_to_string().ok()?;
            serde_json::from_str::<Vec<String>>(&text).ok()?.pop()
        })
    }

    fn send(&self, at: usize, class: &RequestClass, operation: &str, ticket: Option<&str>) -> CallerResponse {
        let mut req = self
            .agent
            .post(format!("http://{}{}", self.daemons[at], class.path))
            .header("Authorization", format!("Bearer {TOKEN}"))
            .header(OPERATION_HEADER, operation);
        if let Some(ticket) = ticket {
            req = req.header("Jayreach-Ticket", ticket);
        }
        let Ok(mut resp) = req.send(operation) else { return CallerResponse::new(ReportedOutcome::Lost) };
        let status = resp.status().as_u16();
        let outcome = resp.headers().get("Jayreach-Outcome").map(|it| it.as_bytes().to_vec());
        let Ok(body) = resp.body_mut().read_to_string() else { return CallerResponse::new(ReportedOutcome::Lost) };
        match outcome.as_deref() {
            Some(b"done") => {
                CallerResponse { wrong_answer: body != operation, ..CallerResponse::new(ReportedOutcome::Done(status)) }
            }
            Some(b"not-run") => CallerResponse { message: body.into(), ..CallerResponse::new(ReportedOutcome::NotRun) },
            Some(b"unknown") => {
                CallerResponse { message: body.into(), ..CallerResponse::new(ReportedOutcome::Unknown) }
            }
            _ => CallerResponse::new(ReportedOutcome::Lost),
        }
    }
}

/// Outcomes and latencies of one class.
#[derive(Debug, Clone)]
pub struct Summary {
    /// Name of the class.
    pub class: &'static str,
    /// All requests.
    pub requests: usize,
    /// Requests with a complete response below 500.
    pub done: usize,
    /// Requests that an endpoint answered with 500 or above.
    pub errors: usize,
    /// Requests refused as not run.
    pub not_run: usize,
    /// Requests that may have run.
    pub unknown: usize,
    /// Requests whose connection was lost or refused.
    pub lost: usize,
    /// Requests done within the class's latency limit.
    pub in_time: usize,
    /// Times to the first response, in microseconds.
    pub times: Histogram<u64>,
}

/// Summarizes the first outcomes of a history by class.
pub fn summarize(load: &Load, history: &[Record]) -> Vec<Summary> {
    let new = |class: &RequestClass| Summary {
        class: class.name,
        requests: 0,
        done: 0,
        errors: 0,
        not_run: 0,
        unknown: 0,
        lost: 0,
        in_time: 0,
        times: Histogram::new(3).expect("three digits are a valid precision"),
    };
    let mut summaries: Vec<_> = load.mix.iter().map(new).collect();
    for record in history {
        let summary = &mut summaries[record.class_index];
        summary.requests += 1;
        match record.first_outcome {
            ReportedOutcome::Done(status) if status < 500 => {
                summary.done += 1;
                summary.in_time += usize::from(record.latency <= load.mix[record.class_index].lateness);
            }
            ReportedOutcome::Done(_) => summary.errors += 1,
            ReportedOutcome::NotRun => summary.not_run += 1,
            ReportedOutcome::Unknown => summary.unknown += 1,
            ReportedOutcome::Lost => summary.lost += 1,
        }
        let micros = record.latency.as_micros() as u64;
        summary.times.record(micros).expect("the histogram grows as needed");
    }
    summaries
}

/// Prints a table with a row for each class.
pub fn print(summaries: &[Summary]) {
    println!(
        "{:10} {:>8} {:>8} {:>7} {:>8} {:>8} {:>6} {:>9} {:>9} {:>9}",
        "class", "requests", "done", "errors", "not-run", "unknown", "lost", "in time", "p50 ms", "p99 ms"
    );
    for it in summaries {
        let ms = |quantile| it.times.value_at_quantile(quantile) as f64 / 1000.0;
        let in_time = 100.0 * it.in_time as f64 / it.requests.max(1) as f64;
        println!(
            "{:10} {:>8} {:>8} {:>7} {:>8} {:>8} {:>6} {:>8.2}% {:>9.2} {:>9.2}",
            it.class,
            it.requests,
            it.done,
            it.errors,
            it.not_run,
            it.unknown,
            it.lost,
            in_time,
            ms(0.5),
            ms(0.99)
        );
    }
}

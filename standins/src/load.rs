//! A caller: open-loop load over all daemons, with a recorded history.
//!
//! Arrivals follow a schedule drawn from the seed, whether or not earlier requests were answered;
//! latency counts from the scheduled time, so a stall is not left out of the figures.

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

/// How often a caller asks again about a ticket whose outcome is unknown.
const ASKS: usize = 40;
/// The pause before it asks again.
const ASK_PAUSE: Duration = Duration::from_millis(250);

/// One class of a mix.
#[derive(Debug, Clone)]
pub struct RequestClass {
    /// The class's name, for the table.
    pub class: &'static str,
    /// The path.
    pub path: &'static str,
    /// Whether requests need a ticket.
    pub ticketed: bool,
    /// The share of all requests, in percent.
    pub percent: u32,
    /// The class's lateness.
    pub lateness: Duration,
}

/// What load to make.
#[derive(Debug, Clone)]
pub struct Load {
    /// The classes; their shares add up to 100.
    pub mix: Vec<RequestClass>,
    /// Requests a second.
    pub rate: f64,
    /// For how long.
    pub duration: Duration,
    /// Seeds the schedule and the choice of classes and daemons.
    pub seed: u64,
    /// How many requests may be under way.
    pub workers: usize,
    /// Whether a caller asks again, under the same ticket, when the outcome is unknown or the
    /// connection was lost.
    pub retries_unknown: bool,
}

/// What a caller was told in the end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportedOutcome {
    /// It ran, and this is the status.
    Done(u16),
    /// It did not run.
    NotRun,
    /// It may have run.
    Unknown,
    /// The connection was lost or refused.
    Lost,
}

/// One operation of the history.
#[derive(Debug, Clone)]
pub struct Record {
    /// Names the operation in the endpoints' run logs.
    pub operation: Box<str>,
    /// An index into the mix.
    pub class_index: usize,
    /// What the caller was told last.
    pub last_outcome: ReportedOutcome,
    /// What the caller was told first.
    pub first_outcome: ReportedOutcome,
    /// Whether the answer was to another operation.
    pub wrong_answer: bool,
    /// What the last answer said, unless it was done.
    pub message: Box<str>,
    /// When it was due, since the start of the load.
    pub due: Duration,
    /// From its scheduled time to its first answer.
    pub latency: Duration,
}

struct Arrival {
    due: Duration,
    class_index: usize,
    caller: usize,
}

/// Makes the load on the daemons at `callers` and returns the history.
pub fn run(load: &Load, callers: &[SocketAddr]) -> Vec<Record> {
    let arrivals = Arc::new(schedule(load, callers.len()));
    let next = Arc::new(AtomicUsize::new(0));
    let history = Arc::new(Mutex::new(Vec::with_capacity(arrivals.len())));
    let start = Instant::now();
    let workers: Vec<_> = (0..load.workers)
        .map(|_| {
            let (load, callers) = (load.clone(), callers.to_vec());
            let (arrivals, next, history) = (Arc::clone(&arrivals), Arc::clone(&next), Arc::clone(&history));
            thread::spawn(move || {
                let caller = Caller::new(&load, &callers);
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

fn schedule(load: &Load, callers: usize) -> Vec<Arrival> {
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
        arrivals.push(Arrival { due: Duration::from_secs_f64(due), class_index, caller: rng.random_range(0..callers) });
        due -= (1.0 - rng.random::<f64>()).ln() / load.rate;
    }
    arrivals
}

/// What one answer told.
struct Heard {
    told: ReportedOutcome,
    foreign: bool,
    words: Box<str>,
}

impl Heard {
    fn new(told: ReportedOutcome) -> Self {
        Self { told, foreign: false, words: Box::default() }
    }
}

struct Caller<'a> {
    load: &'a Load,
    callers: &'a [SocketAddr],
    agent: Agent,
}

impl<'a> Caller<'a> {
    fn new(load: &'a Load, callers: &'a [SocketAddr]) -> Self {
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .max_idle_connections_per_host(1)
            .timeout_global(Some(Duration::from_secs(15)))
            .build();
        Self { load, callers, agent: Agent::new_with_config(config) }
    }

    fn operate(&self, arrival: &Arrival, start: Instant) -> Record {
        let kind = &self.load.mix[arrival.class_index];
        let operation: Box<str> =
            format!("{}-{}-{:016x}", kind.class, self.load.seed, rand::rng().random::<u64>()).into();
        let mut at = arrival.caller;
        let ticket = if kind.ticketed { self.ticket(at) } else { None };
        let mut heard = match (kind.ticketed, &ticket) {
            (true, None) => Heard::new(ReportedOutcome::NotRun),
            _ => self.send(at, kind, &operation, ticket.as_deref()),
        };
        let first_outcome = heard.told;
        let mut wrong_answer = heard.foreign;
        let latency = start.elapsed().saturating_sub(arrival.due);
        if let Some(ticket) = ticket.as_deref().filter(|_| self.load.retries_unknown) {
            for _ in 0..ASKS {
                if matches!(heard.told, ReportedOutcome::Done(_) | ReportedOutcome::NotRun) {
                    break;
                }
                thread::sleep(ASK_PAUSE);
                at += 1;
                heard = self.send(at % self.callers.len(), kind, &operation, Some(ticket));
                wrong_answer |= heard.foreign;
            }
        }
        let Heard { told: last_outcome, words: message, .. } = heard;
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

    /// A ticket from the daemon, or from the next one if that is away.
    fn ticket(&self, at: usize) -> Option<String> {
        let addresses = self.callers.iter().cycle().skip(at).take(self.callers.len());
        addresses.into_iter().find_map(|address| {
            let sent = self.agent.post(format!("http://{address}/.jayreach/tickets")).send_empty();
            let text = sent.ok().filter(|it| it.status() == 200)?.body_mut().read_to_string().ok()?;
            serde_json::from_str::<Vec<String>>(&text).ok()?.pop()
        })
    }

    fn send(&self, at: usize, kind: &RequestClass, operation: &str, ticket: Option<&str>) -> Heard {
        let mut req = self
            .agent
            .post(format!("http://{}{}", self.callers[at], kind.path))
            .header("Authorization", format!("Bearer {TOKEN}"))
            .header(OPERATION_HEADER, operation);
        if let Some(ticket) = ticket {
            req = req.header("Jayreach-Ticket", ticket);
        }
        let Ok(mut resp) = req.send(operation) else { return Heard::new(ReportedOutcome::Lost) };
        let status = resp.status().as_u16();
        let outcome = resp.headers().get("Jayreach-Outcome").map(|it| it.as_bytes().to_vec());
        let Ok(body) = resp.body_mut().read_to_string() else { return Heard::new(ReportedOutcome::Lost) };
        match outcome.as_deref() {
            Some(b"done") => Heard { foreign: body != operation, ..Heard::new(ReportedOutcome::Done(status)) },
            Some(b"not-run") => Heard { words: body.into(), ..Heard::new(ReportedOutcome::NotRun) },
            Some(b"unknown") => Heard { words: body.into(), ..Heard::new(ReportedOutcome::Unknown) },
            _ => Heard::new(ReportedOutcome::Lost),
        }
    }
}

/// What became of one class.
#[derive(Debug, Clone)]
pub struct Summary {
    /// The class.
    pub class: &'static str,
    /// All requests.
    pub requests: usize,
    /// Whole answers below 500.
    pub done: usize,
    /// Answers of 500 and above that the endpoints gave.
    pub errors: usize,
    /// Refused as not run.
    pub not_run: usize,
    /// Told that it may have run.
    pub unknown: usize,
    /// Lost or refused connections.
    pub lost: usize,
    /// Done within the class's lateness.
    pub in_time: usize,
    /// Times to the first answer, in microseconds.
    pub times: Histogram<u64>,
}

/// Sums a history up by class.
pub fn summarize(load: &Load, history: &[Record]) -> Vec<Summary> {
    let new = |kind: &RequestClass| Summary {
        class: kind.class,
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

/// Prints a table of the classes.
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

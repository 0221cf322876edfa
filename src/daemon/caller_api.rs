//! The callers' listener: what a request asks for, and how its outcome is told.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use hyper::Method;
use serde::Serialize;

use crate::{
    daemon::{
        Daemon,
        active_config::Config,
        http_server::{BodyError, Request, path, query, respond, respond_json},
        ingress::Order,
    },
    targets::{Class, Found},
    wire::{CallerRequest, EndpointResponse, Header, Outcome, Refusal, Ticket, TicketStatus, UnknownReason},
};

/// How many tickets one call may ask for.
const TICKETS_LIMIT: usize = 1000;
/// How many bytes of headers a request may have.
const HEADERS_LIMIT: usize = 32 * 1024;
/// When a caller whose request did not run should come back, in seconds.
const RETRY_AFTER: &str = "1";
/// Where callers fetch tickets.
const TICKETS_PATH: &str = "/.jayreach/tickets";
/// Headers of one connection, which are not passed on.
const HOP_HEADERS: [&str; 10] = [
    "connection",
    "content-length",
    "date",
    "expect",
    "host",
    "keep-alive",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// The body of an answer of our own.
#[derive(Serialize)]
struct Told<R: Serialize> {
    outcome: &'static str,
    reason: R,
    message: &'static str,
}

/// What is told of a ticket.
#[derive(Serialize)]
struct TicketTold {
    ticket: String,
    state: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    status: Option<u16>,
}

/// Finds out how much the request matters before a thread is given to it.
pub(crate) fn accept(daemon: &Arc<Daemon>, req: Request) {
    let config = daemon.config.get();
    let found = config.as_ref().and_then(|it| it.directory.route(path(req.target())));
    let share = found.map_or(0.5, |it| daemon.share(it.class.importance));
    let cx = Arc::clone(daemon);
    let refused = daemon.pools.callers.answer(req, share, move |req| {
        let working = cx.working();
        answer(&cx, req);
        working.close();
    });
    if let Some(req) = refused {
        refuse_truly(req, Refusal::Overloaded, |ticket| daemon.may_have_run_by_records(ticket));
    }
}

fn answer(daemon: &Arc<Daemon>, req: Request) {
    if path(req.target()).starts_with("/.jayreach/") {
        return answer_own(daemon, req);
    }
    let Some(config) = daemon.config.get() else {
        return refuse(req, Refusal::NoConfiguration, None);
    };
    match prepare(daemon, &config, &req) {
        Ok(order) => run(daemon, &config, req, order),
        // A ticket rides on the refusal, so that the caller needs no call of its own for it.
        Err(Refusal::TicketNeeded) => refuse(req, Refusal::TicketNeeded, Some(daemon.home.issue(1).remove(0))),
        Err(Refusal::ShuttingDown) => refuse_truly(req, Refusal::ShuttingDown, |it| daemon.may_have_run(it)),
        // Other daemons are not troubled for a request that is wrong in itself.
        Err(refusal) => refuse_truly(req, refusal, |it| daemon.may_have_run_by_records(it)),
    }
}

/// A request that may be run.
struct Prepared {
    path: Box<str>,
    deadline: Instant,
    ticket: Option<Ticket>,
    work: CallerRequest,
}

fn prepare(daemon: &Daemon, config: &Config, req: &Request) -> Result<Prepared, Refusal> {
    if daemon.leaving() {
        return Err(Refusal::ShuttingDown);
    }
    let arrived = Instant::now();
    let path: Box<str> = path(req.target()).into();
    let found = config.directory.route(&path).ok_or(Refusal::NoRoute)?;
    check_account(config, req, found)?;
    check_headers(req)?;
    let ticket = ticket(req, found.class)?;
    let lateness = lateness(req, found.class)?;
    let body = req.body().map_err(|it| match it {
        BodyError::TooLarge => Refusal::TooLarge,
        BodyError::Broken => Refusal::BadRequest,
    })?;
    let work = CallerRequest {
        method: req.method().as_str().into(),
        target: req.target().into(),
        headers: passed_on(req, found.public),
        body: body.to_vec(),
    };
    Ok(Prepared { path, deadline: arrived + lateness, ticket, work })
}

fn check_account(config: &Config, req: &Request, found: Found<'_>) -> Result<(), Refusal> {
    if found.public {
        return Ok(());
    }
    let token = req.header("Authorization").and_then(|it| it.strip_prefix("Bearer "));
    match token {
        Some(it) if config.directory.has_account(it.trim()) => Ok(()),
        _ => Err(Refusal::UnknownAccount),
    }
}

fn check_headers(req: &Request) -> Result<(), Refusal> {
    if req.headers().values().any(|it| it.to_str().is_err()) {
        return Err(Refusal::BadRequest);
    }
    let size: usize = req.headers().iter().map(|(name, value)| name.as_str().len() + value.len()).sum();
    if size + req.target().len() > HEADERS_LIMIT { Err(Refusal::HeadersTooLarge) } else { Ok(()) }
}

fn ticket(req: &Request, class: &Class) -> Result<Option<Ticket>, Refusal> {
    if class.idempotent {
        return Ok(None);
    }
    let text = req.header("Jayreach-Ticket").ok_or(Refusal::TicketNeeded)?;
    text.parse().map(Some).map_err(|_| Refusal::BadRequest)
}

/// The class's lateness; a caller may shorten it, never lengthen it.
fn lateness(req: &Request, class: &Class) -> Result<Duration, Refusal> {
    let Some(text) = req.header("Jayreach-Timeout-Ms") else { return Ok(class.lateness) };
    let millis = text.parse().map_err(|_| Refusal::BadRequest)?;
    Ok(class.lateness.min(Duration::from_millis(millis)))
}

fn passed_on(req: &Request, public: bool) -> Vec<Header> {
    let mut headers = Vec::new();
    for (name, value) in req.headers() {
        let (name, Ok(value)) = (name.as_str(), value.to_str()) else { continue };
        let ours = name.starts_with("jayreach-");
        // The token is between the caller and us.
        let secret = !public && name == "authorization";
        if !is_hop_header(name) && !ours && !secret {
            headers.push(Header { name: name.into(), value: value.into() });
        }
    }
    headers
}

fn is_hop_header(name: &str) -> bool {
    HOP_HEADERS.iter().any(|it| name.eq_ignore_ascii_case(it))
}

fn run(daemon: &Arc<Daemon>, config: &Config, req: Request, prepared: Prepared) {
    let Prepared { path, deadline, ticket, work } = prepared;
    let found = config.directory.route(&path).expect("the path was routed by this configuration");
    let started = Instant::now();
    let Found { service, class, .. } = found;
    let order = Order { service: &service.name, class: &class.name, importance: class.importance, deadline };
    let outcome = match ticket {
        Some(ticket) => daemon.run_ticketed(order, &ticket, work),
        None => daemon.run_idempotent(order, &work),
    };
    count(&class.name, &outcome, started.elapsed());
    tell(req, outcome);
}

fn count(class: &str, outcome: &Outcome, took: Duration) {
    let name = outcome.name();
    metrics::counter!("jayreach_requests_total", "class" => class.to_owned(), "outcome" => name).increment(1);
    metrics::histogram!("jayreach_request_seconds", "class" => class.to_owned()).record(took.as_secs_f64());
}

fn tell(req: Request, outcome: Outcome) {
    match outcome {
        Outcome::Done(answer) => tell_answer(req, answer),
        Outcome::NotRun(refusal) => refuse(req, refusal, None),
        Outcome::Unknown(doubt @ UnknownReason::TicketExpired) => tell_doubt(req, 410, doubt),
        Outcome::Unknown(doubt) => tell_doubt(req, 504, doubt),
    }
}

fn tell_answer(req: Request, answer: EndpointResponse) {
    let kept = answer.headers.iter().filter(|it| !is_hop_header(&it.name));
    let mut headers: Vec<(&str, &str)> = kept.map(|it| (&*it.name, &*it.value)).collect();
    headers.retain(|it| !it.0.eq_ignore_ascii_case("jayreach-outcome"));
    headers.push(("Jayreach-Outcome", "done"));
    respond(req, answer.status, &headers, answer.body);
}

fn tell_doubt(req: Request, status: u16, doubt: UnknownReason) {
    let message = match doubt {
        UnknownReason::TicketExpired => "the ticket's record is gone; it never runs again",
        UnknownReason::TicketUsed => "this request did not run, but the ticket was used before; ask for its state",
        _ => "the work may have run; ask again with the same ticket, or GET /.jayreach/tickets/TICKET",
    };
    let told = Told { outcome: "unknown", reason: doubt, message };
    let body = serde_json::to_vec(&told).expect("our own answers can be coded");
    let headers = [("Content-Type", "application/json"), ("Jayreach-Outcome", "unknown")];
    respond(req, status, &headers, body);
}

/// Refuses a request without saying "not run" of a ticket that may have run before.
fn refuse_truly(req: Request, refusal: Refusal, may_have_run: impl Fn(&Ticket) -> bool) {
    let ticket = req.header("Jayreach-Ticket").and_then(|it| it.parse::<Ticket>().ok());
    match ticket {
        Some(ticket) if may_have_run(&ticket) => match describe(refusal).0 {
            503 => tell_doubt(req, 504, UnknownReason::TicketUsed),
            status => tell_doubt(req, status, UnknownReason::TicketUsed),
        },
        _ => refuse(req, refusal, None),
    }
}

fn refuse(req: Request, refusal: Refusal, ticket: Option<Ticket>) {
    let (status, message) = describe(refusal);
    let told = Told { outcome: "not-run", reason: refusal, message };
    let body = serde_json::to_vec(&told).expect("our own answers can be coded");
    let ticket = ticket.map(|it| it.to_string());
    let mut headers = vec![("Content-Type", "application/json"), ("Jayreach-Outcome", "not-run")];
    if status == 503 {
        headers.push(("Retry-After", RETRY_AFTER));
    }
    if let Some(ticket) = &ticket {
        headers.push(("Jayreach-Ticket", ticket));
    }
    respond(req, status, &headers, body);
}

/// The status and the message of a refusal.
fn describe(refusal: Refusal) -> (u16, &'static str) {
    match refusal {
        Refusal::BadRequest => (400, "the request or its ticket is malformed"),
        Refusal::UnknownAccount => (401, "no account has this bearer token"),
        Refusal::NoRoute => (404, "no route leads from this path"),
        Refusal::TooLarge => (413, "the body is too large"),
        Refusal::TicketMismatch => (422, "the ticket was used for another request"),
        Refusal::TicketNeeded => (428, "this class needs a ticket; one is in the Jayreach-Ticket header"),
        Refusal::HeadersTooLarge => (431, "the headers are too large"),
        Refusal::NoConfiguration => (503, "this daemon has no configuration yet"),
        Refusal::NoEndpoint => (503, "no endpoint of the service takes work"),
        Refusal::EndpointLeaving => (503, "the endpoint is leaving"),
        Refusal::EndpointUnreachable => (503, "the endpoint refused the connection"),
        Refusal::EndpointShed => (503, "the endpoint shed the request"),
        Refusal::TooLate => (503, "it could not have been answered in time"),
        Refusal::Overloaded => (503, "more important work takes all there is"),
        Refusal::ShuttingDown => (503, "this daemon is shutting down; another one will answer"),
        Refusal::StaleDispatch | Refusal::Revoked => (503, "the attempt was withdrawn before it ran"),
        Refusal::GuardUnreachable => (503, "the endpoint's daemon cannot be reached"),
    }
}

/// Answers the system's own paths.
fn answer_own(daemon: &Arc<Daemon>, req: Request) {
    let target: Box<str> = req.target().into();
    let path = path(&target);
    let is_post = req.method() == Method::POST;
    if path == TICKETS_PATH && is_post {
        return issue(daemon, req, &target);
    }
    let named = path.strip_prefix(TICKETS_PATH).and_then(|it| it.strip_prefix('/'));
    match named.map(str::parse::<Ticket>) {
        Some(Ok(ticket)) if !is_post => tell_ticket(daemon, req, &ticket),
        Some(Err(_)) => refuse(req, Refusal::BadRequest, None),
        Some(Ok(_)) | None => refuse(req, Refusal::NoRoute, None),
    }
}

fn issue(daemon: &Daemon, req: Request, target: &str) {
    if daemon.leaving() {
        return refuse(req, Refusal::ShuttingDown, None);
    }
    let count = query(target, "count").map_or(Some(1), |it| it.parse().ok());
    match count.filter(|it| (1..=TICKETS_LIMIT).contains(it)) {
        Some(count) => {
            let tickets: Vec<_> = daemon.home.issue(count).iter().map(Ticket::to_string).collect();
            respond_json(req, 200, &tickets);
        }
        None => refuse(req, Refusal::BadRequest, None),
    }
}

fn tell_ticket(daemon: &Daemon, req: Request, ticket: &Ticket) {
    let known = daemon.ticket_status(ticket);
    let (state, status) = match &known {
        Some(TicketStatus::Unused) => ("fresh", None),
        Some(TicketStatus::Running) => ("running", None),
        Some(TicketStatus::Ended(Outcome::Done(it))) => ("done", Some(it.status)),
        Some(TicketStatus::Ended(Outcome::NotRun(_))) => ("not-run", None),
        Some(TicketStatus::Ended(Outcome::Unknown(_)) | TicketStatus::NoRecord) | None => ("unknown", None),
        Some(TicketStatus::Expired) => ("expired", None),
    };
    respond_json(req, 200, &TicketTold { ticket: ticket.to_string(), state, status });
}

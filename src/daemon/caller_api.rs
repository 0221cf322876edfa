//! The listener for callers: checks and routes a request, runs it, and maps its outcome to an HTTP response. No
//! response states "not run" for a request that may have run.

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
        ingress::RequestContext,
    },
    targets::{Class, ResolvedRoute},
    wire::{CallerRequest, EndpointResponse, Header, Outcome, Refusal, Ticket, TicketStatus, UnknownReason},
};

/// The most tickets that one call may request.
const MAX_TICKETS_PER_CALL: usize = 1000;
/// The largest sum of the request target and the headers, in bytes.
const MAX_HEADER_BYTES: usize = 32 * 1024;
/// The Retry-After header of a refused request, in seconds.
const RETRY_AFTER_SECONDS: &str = "1";
/// The path at which callers get tickets and their states.
const TICKETS_PATH: &str = "/.jayreach/tickets";
/// Headers that apply to one connection and are not forwarded.
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

/// The body of a response that the daemon itself makes.
#[derive(Serialize)]
struct OutcomeBody<R: Serialize> {
    outcome: &'static str,
    reason: R,
    message: &'static str,
}

/// The response with the state of a ticket.
#[derive(Serialize)]
struct TicketBody {
    ticket: String,
    state: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    status: Option<u16>,
}

/// Routes a request to find its importance, and passes it to the callers' thread pool, or refuses it if that is full.
pub(crate) fn accept(daemon: &Arc<Daemon>, req: Request) {
    let config = daemon.config.get();
    let found = config.as_ref().and_then(|it| it.index.route(path(req.target())));
    let share = found.map_or(0.5, |it| daemon.pool_share(it.class.importance));
    let cx = Arc::clone(daemon);
    let refused = daemon.pools.callers.handle(req, share, move |req| {
        let tracked = cx.track_request();
        handle_request(&cx, req);
        tracked.close();
    });
    if let Some(req) = refused {
        refuse_or_unknown(req, Refusal::Overloaded, |ticket| daemon.may_have_run_by_records(ticket));
    }
}

fn handle_request(daemon: &Arc<Daemon>, req: Request) {
    if path(req.target()).starts_with("/.jayreach/") {
        return handle_own_path(daemon, req);
    }
    let Some(config) = daemon.config.get() else {
        return refuse(req, Refusal::NoConfiguration, None);
    };
    match prepare(daemon, &config, &req) {
        Ok(prepared) => run_request(daemon, &config, req, prepared),
        // The refusal carries a new ticket, which saves the caller a call.
        Err(Refusal::TicketNeeded) => refuse(req, Refusal::TicketNeeded, Some(daemon.tickets.issue(1).remove(0))),
        Err(Refusal::ShuttingDown) => refuse_or_unknown(req, Refusal::ShuttingDown, |it| daemon.may_have_run(it)),
        // The request itself is invalid, which doesn't justify calls to other daemons.
        Err(refusal) => refuse_or_unknown(req, refusal, |it| daemon.may_have_run_by_records(it)),
    }
}

/// A valid request, ready to run.
struct PreparedRequest {
    path: Box<str>,
    deadline: Instant,
    ticket: Option<Ticket>,
    caller_request: CallerRequest,
}

fn prepare(daemon: &Daemon, config: &Config, req: &Request) -> Result<PreparedRequest, Refusal> {
    if daemon.is_leaving() {
        return Err(Refusal::ShuttingDown);
    }
    let received_at = Instant::now();
    let path: Box<str> = path(req.target()).into();
    let found = config.index.route(&path).ok_or(Refusal::NoRoute)?;
    check_account(config, req, found)?;
    check_headers(req)?;
    let ticket = parse_ticket(req, found.class)?;
    let time_limit = time_limit(req, found.class)?;
    let body = req.body().map_err(|it| match it {
        BodyError::TooLarge => Refusal::TooLarge,
        BodyError::Unreadable => Refusal::BadRequest,
    })?;
    let caller_request = CallerRequest {
        method: req.method().as_str().into(),
        target: req.target().into(),
        headers: forwarded_headers(req, found.public),
        body: body.to_vec(),
    };
    Ok(PreparedRequest { path, deadline: received_at + time_limit, ticket, caller_request })
}

fn check_account(config: &Config, req: &Request, found: ResolvedRoute<'_>) -> Result<(), Refusal> {
    if found.public {
        return Ok(());
    }
    let token = req.header("Authorization").and_then(|it| it.strip_prefix("Bearer "));
    match token {
        Some(it) if config.index.has_account(it.trim()) => Ok(()),
        _ => Err(Refusal::UnknownAccount),
    }
}

fn check_headers(req: &Request) -> Result<(), Refusal> {
    if req.headers().values().any(|it| it.to_str().is_err()) {
        return Err(Refusal::BadRequest);
    }
    let size: usize = req.headers().iter().map(|(name, value)| name.as_str().len() + value.len()).sum();
    if size + req.target().len() > MAX_HEADER_BYTES { Err(Refusal::HeadersTooLarge) } else { Ok(()) }
}

fn parse_ticket(req: &Request, class: &Class) -> Result<Option<Ticket>, Refusal> {
    if class.idempotent {
        return Ok(None);
    }
    let text = req.header("Jayreach-Ticket").ok_or(Refusal::TicketNeeded)?;
    text.parse().map(Some).map_err(|_| Refusal::BadRequest)
}

/// The time limit of a request: that of its class, which a header may shorten but not extend.
fn time_limit(req: &Request, class: &Class) -> Result<Duration, Refusal> {
    let Some(text) = req.header("Jayreach-Timeout-Ms") else { return Ok(class.lateness) };
    let millis = text.parse().map_err(|_| Refusal::BadRequest)?;
    Ok(class.lateness.min(Duration::from_millis(millis)))
}

fn forwarded_headers(req: &Request, public: bool) -> Vec<Header> {
    let mut headers = Vec::new();
    for (name, value) in req.headers() {
        let (name, Ok(value)) = (name.as_str(), value.to_str()) else { continue };
        let own = name.starts_with("jayreach-");
        // The token authenticates the caller to this daemon and must not reach the endpoint.
        let is_credential = !public && name == "authorization";
        if !is_hop_header(name) && !own && !is_credential {
            headers.push(Header { name: name.into(), value: value.into() });
        }
    }
    headers
}

fn is_hop_header(name: &str) -> bool {
    HOP_HEADERS.iter().any(|it| name.eq_ignore_ascii_case(it))
}

fn run_request(daemon: &Arc<Daemon>, config: &Config, req: Request, prepared: PreparedRequest) {
    let PreparedRequest { path, deadline, ticket, caller_request } = prepared;
    let found = config.index.route(&path).expect("the path was routed by this configuration");
    let started = Instant::now();
    let ResolvedRoute { service, class, .. } = found;
    let request = RequestContext { service: &service.name, class: &class.name, importance: class.importance, deadline };
    let outcome = match ticket {
        Some(ticket) => daemon.run_ticketed(request, &ticket, caller_request),
        None => daemon.run_idempotent(request, &caller_request),
    };
    record_metrics(&class.name, &outcome, started.elapsed());
    respond_outcome(req, outcome);
}

fn record_metrics(class: &str, outcome: &Outcome, took: Duration) {
    let name = outcome.name();
    metrics::counter!("jayreach_requests_total", "class" => class.to_owned(), "outcome" => name).increment(1);
    metrics::histogram!("jayreach_request_seconds", "class" => class.to_owned()).record(took.as_secs_f64());
}

fn respond_outcome(req: Request, outcome: Outcome) {
    match outcome {
        Outcome::Done(answer) => respond_done(req, answer),
        Outcome::NotRun(refusal) => refuse(req, refusal, None),
        Outcome::Unknown(reason @ UnknownReason::TicketExpired) => respond_unknown(req, 410, reason),
        Outcome::Unknown(reason) => respond_unknown(req, 504, reason),
    }
}

fn respond_done(req: Request, answer: EndpointResponse) {
    let forwarded = answer.headers.iter().filter(|it| !is_hop_header(&it.name));
    let mut headers: Vec<(&str, &str)> = forwarded.map(|it| (&*it.name, &*it.value)).collect();
    headers.retain(|it| !it.0.eq_ignore_ascii_case("jayreach-outcome"));
    headers.push(("Jayreach-Outcome", "done"));
    respond(req, answer.status, &headers, answer.body);
}

fn respond_unknown(req: Request, status: u16, reason: UnknownReason) {
    let message = match reason {
        UnknownReason::TicketExpired => "the ticket's record is gone; it never runs again",
        UnknownReason::TicketUsed => "this request did not run, but the ticket was used before; ask for its state",
        _ => "the work may have run; ask again with the same ticket, or GET /.jayreach/tickets/TICKET",
    };
    let reply = OutcomeBody { outcome: "unknown", reason, message };
    let body = serde_json::to_vec(&reply).expect("a response body can be serialized");
    let headers = [("Content-Type", "application/json"), ("Jayreach-Outcome", "unknown")];
    respond(req, status, &headers, body);
}

/// Refuses a request, or responds that its outcome is unknown if an earlier request under its ticket may have run.
fn refuse_or_unknown(req: Request, refusal: Refusal, may_have_run: impl Fn(&Ticket) -> bool) {
    let ticket = req.header("Jayreach-Ticket").and_then(|it| it.parse::<Ticket>().ok());
    match ticket {
        Some(ticket) if may_have_run(&ticket) => match status_and_message(refusal).0 {
            503 => respond_unknown(req, 504, UnknownReason::TicketUsed),
            status => respond_unknown(req, status, UnknownReason::TicketUsed),
        },
        _ => refuse(req, refusal, None),
    }
}

fn refuse(req: Request, refusal: Refusal, ticket: Option<Ticket>) {
    let (status, message) = status_and_message(refusal);
    let reply = OutcomeBody { outcome: "not-run", reason: refusal, message };
    let body = serde_json::to_vec(&reply).expect("a response body can be serialized");
    let ticket = ticket.map(|it| it.to_string());
    let mut headers = vec![("Content-Type", "application/json"), ("Jayreach-Outcome", "not-run")];
    if status == 503 {
        headers.push(("Retry-After", RETRY_AFTER_SECONDS));
    }
    if let Some(ticket) = &ticket {
        headers.push(("Jayreach-Ticket", ticket));
    }
    respond(req, status, &headers, body);
}

/// The HTTP status and the message of a refusal.
fn status_and_message(refusal: Refusal) -> (u16, &'static str) {
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

/// Handles the daemon's own paths, which begin with `/.jayreach/`.
fn handle_own_path(daemon: &Arc<Daemon>, req: Request) {
    let target: Box<str> = req.target().into();
    let path = path(&target);
    let is_post = req.method() == Method::POST;
    if path == TICKETS_PATH && is_post {
        return issue_tickets(daemon, req, &target);
    }
    let ticket_text = path.strip_prefix(TICKETS_PATH).and_then(|it| it.strip_prefix('/'));
    match ticket_text.map(str::parse::<Ticket>) {
        Some(Ok(ticket)) if !is_post => respond_ticket_state(daemon, req, &ticket),
        Some(Err(_)) => refuse(req, Refusal::BadRequest, None),
        Some(Ok(_)) | None => refuse(req, Refusal::NoRoute, None),
    }
}

fn issue_tickets(daemon: &Daemon, req: Request, target: &str) {
    if daemon.is_leaving() {
        return refuse(req, Refusal::ShuttingDown, None);
    }
    let count = query(target, "count").map_or(Some(1), |it| it.parse().ok());
    match count.filter(|it| (1..=MAX_TICKETS_PER_CALL).contains(it)) {
        Some(count) => {
            let tickets: Vec<_> = daemon.tickets.issue(count).iter().map(Ticket::to_string).collect();
            respond_json(req, 200, &tickets);
        }
        None => refuse(req, Refusal::BadRequest, None),
    }
}

fn respond_ticket_state(daemon: &Daemon, req: Request, ticket: &Ticket) {
    let ticket_status = daemon.ticket_status(ticket);
    let (state, status) = match &ticket_status {
        Some(TicketStatus::Unused) => ("fresh", None),
        Some(TicketStatus::Running) => ("running", None),
        Some(TicketStatus::Ended(Outcome::Done(it))) => ("done", Some(it.status)),
        Some(TicketStatus::Ended(Outcome::NotRun(_))) => ("not-run", None),
        Some(TicketStatus::Ended(Outcome::Unknown(_)) | TicketStatus::NoRecord) | None => ("unknown", None),
        Some(TicketStatus::Expired) => ("expired", None),
    };
    respond_json(req, 200, &TicketBody { ticket: ticket.to_string(), state, status });
}

//! Calls to an endpoint: what is sent, and what its answer or silence means.

use std::time::Duration;

use ureq::http::Request;

use crate::{
    daemon::http_client::{Client, Connection, Reply},
    decide::Sample,
    ticket::Silence,
    wire::{CallerRequest, Dispatch, EndpointResponse, Header, Outcome, Refusal, UnknownReason},
};

/// How long telling an endpoint that a request is cancelled may take.
const CANCEL_TIMEOUT: Duration = Duration::from_millis(200);
/// The header by which an endpoint says that it shed a request without running it.
const OUTCOME_HEADER: &str = "jayreach-outcome";

/// Passes work on; also returns what the call says of the endpoint, if anything.
pub(crate) fn call(client: &Client, dispatch: &Dispatch, left: Duration) -> (Outcome, Option<Sample>) {
    judge(send(client, dispatch, left))
}

enum Called {
    Answered(Reply),
    Silent(Silence),
    NotSent(Refusal),
}

fn send(client: &Client, dispatch: &Dispatch, left: Duration) -> Called {
    let Some(req) = request(dispatch, left) else {
        return Called::NotSent(Refusal::BadRequest);
    };
    let connection =
        if dispatch.retry || dispatch.ticket_attempt.is_some() { Connection::Fresh } else { Connection::Kept };
    match client.call(req, connection, left) {
        Ok(reply) => Called::Answered(reply),
        Err(silence) => Called::Silent(silence),
    }
}

fn request(dispatch: &Dispatch, left: Duration) -> Option<Request<Vec<u8>>> {
    let CallerRequest { method, target, headers, body } = &dispatch.work;
    let mut req = Request::builder().method(&**method).uri(format!("http://{}{target}", dispatch.endpoint));
    for Header { name, value } in headers {
        req = req.header(&**name, &**value);
    }
    req.header("Jayreach-Request-Id", &*dispatch.request_id)
        .header("Jayreach-Deadline-Ms", left.as_millis() as u64)
        .body(body.clone())
        .ok()
}

/// What an endpoint's answer or silence means to the caller, and what it says of the endpoint.
fn judge(called: Called) -> (Outcome, Option<Sample>) {
    match called {
        Called::NotSent(refusal) => (Outcome::NotRun(refusal), None),
        Called::Answered(reply) if shed(&reply) => (Outcome::NotRun(Refusal::EndpointShed), None),
        Called::Answered(reply) => {
            let sample = if reply.status >= 500 { Sample::Bad } else { Sample::Good };
            let Reply { status, headers, body } = reply;
            (Outcome::Done(EndpointResponse { status, headers, body }), Some(sample))
        }
        Called::Silent(Silence::NoLocalPort) => (Outcome::NotRun(Refusal::Overloaded), None),
        Called::Silent(Silence::Refused) => (Outcome::NotRun(Refusal::EndpointUnreachable), Some(Sample::Bad)),
        Called::Silent(Silence::Lost) => (Outcome::Unknown(UnknownReason::EndpointSilent), Some(Sample::Bad)),
    }
}

fn shed(reply: &Reply) -> bool {
    let says = |it: &Header| it.name.eq_ignore_ascii_case(OUTCOME_HEADER) && &*it.value == "not-run";
    reply.status == 503 && reply.headers.iter().any(says)
}

/// Tells the endpoint that nobody waits any more; its connection was closed before.
pub(crate) fn cancel(client: &Client, dispatch: &Dispatch) {
    let uri = format!("http://{}/.jayreach/requests/{}", dispatch.endpoint, dispatch.request_id);
    let Ok(req) = Request::builder().method("DELETE").uri(uri).body(Vec::new()) else { return };
    if client.call(req, Connection::Fresh, CANCEL_TIMEOUT).is_err() {
        metrics::counter!("jayreach_cancellations_lost_total").increment(1);
    }
}

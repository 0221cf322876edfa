//! Sends a request to an endpoint, and derives from the response or its absence the outcome and a sample for ejection.

use std::time::Duration;

use ureq::http::Request;

use crate::{
    daemon::http_client::{Client, ClientResponse, Connection},
    decide::Sample,
    ticket::ConnectionFailure,
    wire::{CallerRequest, Dispatch, EndpointResponse, Header, Outcome, Refusal, UnknownReason},
};

/// How long the call that cancels a request at its endpoint may take.
const CANCEL_TIMEOUT: Duration = Duration::from_millis(200);
/// The response header by which an endpoint states that it shed a request without running it.
const OUTCOME_HEADER: &str = "jayreach-outcome";

/// Sends a request to its endpoint; also returns a sample of the endpoint's health, if the call gives one.
pub(crate) fn call(client: &Client, dispatch: &Dispatch, time_left: Duration) -> (Outcome, Option<Sample>) {
    classify_result(send(client, dispatch, time_left))
}

enum CallResult {
    Response(ClientResponse),
    Failed(ConnectionFailure),
    NotSent(Refusal),
}

fn send(client: &Client, dispatch: &Dispatch, time_left: Duration) -> CallResult {
    let Some(req) = request(dispatch, time_left) else {
        return CallResult::NotSent(Refusal::BadRequest);
    };
    let connection =
        if dispatch.retry || dispatch.ticket_attempt.is_some() { Connection::New } else { Connection::Pooled };
    match client.call(req, connection, time_left) {
        Ok(resp) => CallResult::Response(resp),
        Err(failure) => CallResult::Failed(failure),
    }
}

fn request(dispatch: &Dispatch, time_left: Duration) -> Option<Request<Vec<u8>>> {
    let CallerRequest { method, target, headers, body } = &dispatch.request;
    let mut req = Request::builder().method(&**method).uri(format!("http://{}{target}", dispatch.endpoint));
    for Header { name, value } in headers {
        req = req.header(&**name, &**value);
    }
    req.header("Jayreach-Request-Id", &*dispatch.request_id)
        .header("Jayreach-Deadline-Ms", time_left.as_millis() as u64)
        .body(body.clone())
        .ok()
}

/// Derives the outcome of the request and the sample of the endpoint's health.
fn classify_result(result: CallResult) -> (Outcome, Option<Sample>) {
    match result {
        CallResult::NotSent(refusal) => (Outcome::NotRun(refusal), None),
        CallResult::Response(resp) if is_shed(&resp) => (Outcome::NotRun(Refusal::EndpointShed), None),
        CallResult::Response(resp) => {
            let sample = if resp.status >= 500 { Sample::Bad } else { Sample::Good };
            let ClientResponse { status, headers, body } = resp;
            (Outcome::Done(EndpointResponse { status, headers, body }), Some(sample))
        }
        CallResult::Failed(ConnectionFailure::NoLocalPort) => (Outcome::NotRun(Refusal::Overloaded), None),
        CallResult::Failed(ConnectionFailure::Refused) => {
            (Outcome::NotRun(Refusal::EndpointUnreachable), Some(Sample::Bad))
        }
        CallResult::Failed(ConnectionFailure::Lost) => {
            (Outcome::Unknown(UnknownReason::EndpointSilent), Some(Sample::Bad))
        }
    }
}

fn is_shed(resp: &ClientResponse) -> bool {
    let is_not_run = |it: &Header| it.name.eq_ignore_ascii_case(OUTCOME_HEADER) && &*it.value == "not-run";
    resp.status == 503 && resp.headers.iter().any(is_not_run)
}

/// Cancels a request at its endpoint, whose response is no longer awaited. The request's connection is already closed.
pub(crate) fn cancel(client: &Client, dispatch: &Dispatch) {
    let uri = format!("http://{}/.jayreach/requests/{}", dispatch.endpoint, dispatch.request_id);
    let Ok(req) = Request::builder().method("DELETE").uri(uri).body(Vec::new()) else { return };
    if client.call(req, Connection::New, CANCEL_TIMEOUT).is_err() {
        metrics::counter!("jayreach_cancellations_lost_total").increment(1);
    }
}

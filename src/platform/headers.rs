//! The platform's headers of requests and responses.

use std::time::Duration;

use hyper::{
    HeaderMap,
    header::{HeaderName, HeaderValue, RETRY_AFTER},
};

use crate::decide::rate_limit::{LimitStatement, RequestRate};

/// Identifies one attempt of a caller; endpoints echo it.
const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
/// How long the sender waits for the response, in milliseconds.
const DEADLINE_MS: HeaderName = HeaderName::from_static("x-deadline-ms");
/// Signature that an endpoint adds to its own responses, so that responses of other processes are detected.
const SEAL: HeaderName = HeaderName::from_static("x-response-seal");
/// The incarnation of an endpoint that a request is for; any other incarnation responds with status 421.
const EXPECT_INSTANCE: HeaderName = HeaderName::from_static("x-expect-instance");
/// Counts of an endpoint's running requests, waiting requests and slots, separated by commas.
const SERVER_LOAD: HeaderName = HeaderName::from_static("x-server-load");
/// Present if the endpoint did not run the request.
const NOT_EXECUTED: HeaderName = HeaderName::from_static("x-not-executed");
/// The service of the VM from which a request was first sent.
const CALLER_SERVICE: HeaderName = HeaderName::from_static("x-caller-service");
/// The incarnation that responds, in responses to health probes and with status 421.
const INSTANCE_ID: HeaderName = HeaderName::from_static("x-instance-id");
/// The requests a second that an endpoint takes from all proxies together.
const SERVER_LIMIT: HeaderName = HeaderName::from_static("server-limit");
/// `1` in the responses of an endpoint that is about to shut down.
const SERVER_LEAVING: HeaderName = HeaderName::from_static("server-leaving");

/// Returns the id of a caller's attempt, `None` if it is absent or not ASCII.
pub fn request_id(headers: &HeaderMap) -> Option<&str> {
    header_str(headers, &REQUEST_ID)
}

/// Returns how long the caller waits for the response, `None` if that is absent or not a number.
pub fn deadline(headers: &HeaderMap) -> Option<Duration> {
    header_str(headers, &DEADLINE_MS)?.parse().ok().map(Duration::from_millis)
}

/// Sets how long the proxy waits for the response, rounded down to milliseconds.
pub fn set_deadline(headers: &mut HeaderMap, timeout: Duration) {
    let millis = u64::try_from(timeout.as_millis()).unwrap_or(u64::MAX);
    headers.insert(DEADLINE_MS, HeaderValue::from(millis));
}

/// Restricts a request to the incarnation `id` of an endpoint; no effect if `id` is not a valid header value.
pub fn set_expected_instance(headers: &mut HeaderMap, id: &str) {
    if let Ok(value) = HeaderValue::from_str(id) {
        headers.insert(EXPECT_INSTANCE, value);
    }
}

/// Returns the incarnation that a request is restricted to, if any.
pub fn expected_instance(headers: &HeaderMap) -> Option<&str> {
    header_str(headers, &EXPECT_INSTANCE)
}

/// Sets the service from which a request was first sent, and drops the value that the sender gave.
pub fn set_caller_service(headers: &mut HeaderMap, service: &str) {
    headers.remove(CALLER_SERVICE);
    if let Ok(value) = HeaderValue::from_str(service) {
        headers.insert(CALLER_SERVICE, value);
    }
}

/// Returns the service from which a request was first sent, if it is named.
pub fn caller_service(headers: &HeaderMap) -> Option<&str> {
    header_str(headers, &CALLER_SERVICE)
}

/// Whether a response carries an endpoint's signature; the signature is not verified.
pub fn has_response_seal(headers: &HeaderMap) -> bool {
    headers.contains_key(SEAL)
}

/// Whether the endpoint reports that it did not run the request.
pub fn not_executed(headers: &HeaderMap) -> bool {
    headers.contains_key(NOT_EXECUTED)
}

/// Returns the counts of running requests, waiting requests and slots that an endpoint reports; `None` if they are
/// absent or malformed.
pub fn endpoint_load(headers: &HeaderMap) -> Option<(u32, u32, u32)> {
    let mut parts = header_str(headers, &SERVER_LOAD)?.split(',').map(|it| it.trim().parse().ok());
    Some((parts.next()??, parts.next()??, parts.next()??))
}

/// Returns the incarnation that responded to a health probe, or to a request for another incarnation.
pub fn instance_id(headers: &HeaderMap) -> Option<&str> {
    header_str(headers, &INSTANCE_ID)
}

/// Returns what a response states about its endpoint's rate limit. The lowest of several limits counts; if one of them
/// is malformed, the response states nothing.
pub fn limit_statement(headers: &HeaderMap) -> LimitStatement {
    let mut lowest: Option<RequestRate> = None;
    for value in headers.get_all(SERVER_LIMIT) {
        let Ok(text) = value.to_str() else { return LimitStatement::Unknown };
        for number in text.split(',') {
            let rate = number.trim().parse().ok().and_then(|it: f64| RequestRate::try_from(it).ok());
            let Some(rate) = rate else { return LimitStatement::Unknown };
            lowest = Some(lowest.map_or(rate, |it| if rate < it { rate } else { it }));
        }
    }
    lowest.map_or(LimitStatement::None, LimitStatement::Limit)
}

/// Whether a response states that its endpoint is about to shut down.
pub fn is_leaving(headers: &HeaderMap) -> bool {
    headers.get_all(SERVER_LEAVING).iter().any(|it| it.as_bytes().trim_ascii() == b"1")
}

/// Returns a `Retry-After` header of `pause` in seconds, with two decimals.
pub fn retry_after(pause: Duration) -> (HeaderName, HeaderValue) {
    let text = format!("{:.2}", pause.as_secs_f64());
    (RETRY_AFTER, HeaderValue::from_str(&text).expect("a number is a header value"))
}

fn header_str<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

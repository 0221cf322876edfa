//! The headers of requests and answers.

use std::time::Duration;

use hyper::{
    HeaderMap,
    header::{HeaderName, HeaderValue, RETRY_AFTER},
};

/// Names one attempt of a caller; endpoints echo it.
const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
/// How long the sender will wait for the answer, in milliseconds.
const DEADLINE_MS: HeaderName = HeaderName::from_static("x-deadline-ms");
/// The endpoint's signature under an answer that is its own.
const SEAL: HeaderName = HeaderName::from_static("x-response-seal");
/// Which incarnation of an endpoint a request is for; any other answers 421.
const EXPECT_INSTANCE: HeaderName = HeaderName::from_static("x-expect-instance");
/// An endpoint's running requests, waiting requests and slots.
const SERVER_LOAD: HeaderName = HeaderName::from_static("x-server-load");
/// An endpoint says with this header that it did not run the request.
const NOT_EXECUTED: HeaderName = HeaderName::from_static("x-not-executed");
/// The service of the VM where a request began.
const CALLER_SERVICE: HeaderName = HeaderName::from_static("x-caller-service");
/// The incarnation that answers, on health questions and 421.
const INSTANCE_ID: HeaderName = HeaderName::from_static("x-instance-id");

/// The id of a caller's attempt.
pub fn request_id(headers: &HeaderMap) -> Option<&str> {
    text(headers, &REQUEST_ID)
}

/// How long the caller will wait.
pub fn deadline(headers: &HeaderMap) -> Option<Duration> {
    text(headers, &DEADLINE_MS)?.parse().ok().map(Duration::from_millis)
}

/// Tells the endpoint how long its answer is waited for.
pub fn set_deadline(headers: &mut HeaderMap, left: Duration) {
    let millis = u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
    headers.insert(DEADLINE_MS, HeaderValue::from(millis));
}

/// Binds a request to one incarnation of an endpoint.
pub fn set_expected_instance(headers: &mut HeaderMap, id: &str) {
    if let Ok(value) = HeaderValue::from_str(id) {
        headers.insert(EXPECT_INSTANCE, value);
    }
}

/// Which incarnation a request is bound to.
pub fn expected_instance(headers: &HeaderMap) -> Option<&str> {
    text(headers, &EXPECT_INSTANCE)
}

/// Names the service where a request began, whatever its sender wrote there.
pub fn set_caller_service(headers: &mut HeaderMap, service: &str) {
    headers.remove(CALLER_SERVICE);
    if let Ok(value) = HeaderValue::from_str(service) {
        headers.insert(CALLER_SERVICE, value);
    }
}

/// The service where a request began.
pub fn caller_service(headers: &HeaderMap) -> Option<&str> {
    text(headers, &CALLER_SERVICE)
}

/// Whether an answer bears an endpoint's signature.
pub fn has_response_seal(headers: &HeaderMap) -> bool {
    headers.contains_key(SEAL)
}

/// Whether the endpoint says that it did not run the request.
pub fn not_executed(headers: &HeaderMap) -> bool {
    headers.contains_key(NOT_EXECUTED)
}

/// An endpoint's running requests, waiting requests and slots, as it tells them.
pub fn endpoint_load(headers: &HeaderMap) -> Option<(u32, u32, u32)> {
    let mut parts = text(headers, &SERVER_LOAD)?.split(',').map(|it| it.trim().parse().ok());
    Some((parts.next()??, parts.next()??, parts.next()??))
}

/// The incarnation that answered a health question, or a request meant for another one.
pub fn instance_id(headers: &HeaderMap) -> Option<&str> {
    text(headers, &INSTANCE_ID)
}

/// The header that tells a caller when to come back.
pub fn retry_after(pause: Duration) -> (HeaderName, HeaderValue) {
    let text = format!("{:.2}", pause.as_secs_f64());
    (RETRY_AFTER, HeaderValue::from_str(&text).expect("a number is a header value"))
}

fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

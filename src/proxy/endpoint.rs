//! Connection pool for the VM's endpoint, and classification of its responses: executed, not executed or unknown.

use std::{
    cell::RefCell,
    io, mem,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use hyper::{
    HeaderMap, Request, Response, StatusCode,
    body::{Bytes, Incoming},
    header::{CONNECTION, CONTENT_ENCODING, HOST, HeaderName},
};
use tokio::{sync::Mutex, time::timeout};

use crate::{
    decide::rate_limit::LimitStatement,
    platform,
    proxy::{
        body::{self, OutBody, OwnWait},
        body_memory::BodyRoom,
        client::{self, CallError, Connection},
        headers,
        message::{HttpContent, NotRunReason, RunEnd, UnknownReason},
    },
};

/// Maximum idle time after which a connection is still reused. An endpoint may drop an idle connection without notice,
/// and a request that is sent on it then is lost.
const MAX_IDLE: Duration = Duration::from_secs(2);
/// Divisor for the idle time that the endpoint announces in its `keep-alive` header.
const KEEP_ALIVE_DIVISOR: u32 = 3;
/// Maximum number of idle connections in the pool.
const MAX_IDLE_CONNECTIONS: usize = 16;
/// Time allowed for a response after the deadline that was given to the endpoint.
const RESPONSE_GRACE: Duration = Duration::from_millis(80);

/// Timeout of a connection attempt that probes whether the endpoint is listening; it is on this VM.
const PROBE_TIMEOUT: Duration = Duration::from_millis(150);
/// How long the result of a probe is valid.
const PROBE_VALIDITY: Duration = Duration::from_millis(100);

struct IdleConnection {
    connection: Connection,
    idle_since: Instant,
    max_idle: Duration,
}

/// Connections to one endpoint.
pub(super) struct EndpointPool {
    address: SocketAddr,
    idle: RefCell<Vec<IdleConnection>>,
    /// Time and result of the last probe, `true` if nothing listened; shared by requests that fail together.
    last_probe: Mutex<Option<(Instant, bool)>>,
}

/// A request to be sent to the endpoint.
pub(super) struct EndpointRequest {
    pub(super) request_id: Box<str>,
    pub(super) instance_id: Box<str>,
    pub(super) head: Request<()>,
    pub(super) body: OutBody,
    pub(super) time_left: Duration,
}

/// What an answer states about the endpoint itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct EndpointNotice {
    /// The endpoint's rate limit.
    pub(super) limit: LimitStatement,
    /// Whether the endpoint is about to shut down.
    pub(super) leaving: bool,
}

impl EndpointNotice {
    /// The notice in the headers of an endpoint's answer.
    pub(super) fn new(headers: &HeaderMap) -> Self {
        Self { limit: platform::limit_statement(headers), leaving: platform::is_leaving(headers) }
    }

    /// The notice in the headers of an answer to the request `request_id`; `None` if it may come from another process
    /// or incarnation, or answer another request.
    fn from_answer(status: StatusCode, headers: &HeaderMap, request_id: &str) -> Option<Self> {
        let is_other_request = platform::request_id(headers).is_some_and(|it| *it != *request_id);
        let not_executed = platform::not_executed(headers);
        let is_from_endpoint = not_executed || platform::has_response_seal(headers);
        if is_other_request || status == StatusCode::MISDIRECTED_REQUEST || !is_from_endpoint {
            return None;
        }
        let mut notice = Self::new(headers);
        if not_executed && notice.limit == LimitStatement::None {
            // Whatever rejects requests for the endpoint may not know its limit.
            notice.limit = LimitStatement::Unknown;
        }
        Some(notice)
    }
}

impl EndpointPool {
    pub(super) fn new(address: SocketAddr) -> Self {
        Self { address, idle: RefCell::default(), last_probe: Mutex::default() }
    }

    /// Sends a request and classifies the response, whose body is held in `room`; waits for room are added to
    /// `own_wait`. Calls `on_notice` as soon as the headers of the response are there, since its body may break off.
    /// Dropping the future closes the connection, by which the endpoint notices that the request is cancelled.
    pub(super) async fn run(
        &self,
        req: EndpointRequest,
        room: &BodyRoom,
        own_wait: &OwnWait,
        on_notice: impl Fn(EndpointNotice),
    ) -> RunEnd {
        let limit = req.time_left + RESPONSE_GRACE;
        let upload_broke_off = match &req.body {
            OutBody::Upload(it) => it.broke_off(),
            OutBody::Held { .. } | OutBody::Parts { .. } => Rc::default(),
        };
        match timeout(limit, self.exchange(req, room, own_wait, on_notice)).await {
            // The ingress ended the request, which says nothing about the endpoint.
            Ok(RunEnd::Unknown(UnknownReason::Broken)) if upload_broke_off.get() => {
                RunEnd::Unknown(UnknownReason::GuardStateLost)
            }
            Ok(RunEnd::Unknown(UnknownReason::Broken)) if self.has_ended().await => {
                RunEnd::Unknown(UnknownReason::Ended)
            }
            Ok(it) => it,
            Err(_) => RunEnd::Unknown(UnknownReason::TimedOut),
        }
    }

    /// Whether nothing listens at the address any more. A connection that was reset or closed doesn't show by itself
    /// that the endpoint has ended.
    async fn has_ended(&self) -> bool {
        let mut last_probe = self.last_probe.lock().await;
        if let Some((at, ended)) = *last_probe
            && at.elapsed() < PROBE_VALIDITY
        {
            return ended;
        }
        let ended = match timeout(PROBE_TIMEOUT, Connection::open(self.address)).await {
            Ok(Err(CallError::NotConnected(error))) => error.kind() == io::ErrorKind::ConnectionRefused,
            Ok(Ok(connection)) => {
                self.idle.borrow_mut().push(IdleConnection {
                    connection,
                    idle_since: Instant::now(),
                    max_idle: MAX_IDLE,
                });
                false
            }
            Ok(Err(_)) | Err(_) => false,
        };
        *last_probe = Some((Instant::now(), ended));
        ended
    }

    async fn exchange(
        &self,
        mut req: EndpointRequest,
        room: &BodyRoom,
        own_wait: &OwnWait,
        on_notice: impl Fn(EndpointNotice),
    ) -> RunEnd {
        let start = Instant::now();
        let body = mem::replace(&mut req.body, Bytes::new().into());
        let mut hyper_req = self.hyper_request(&req, body);
        loop {
            let idle = self.take_idle();
            let reused = idle.is_some();
            let mut connection = match idle {
                Some(it) => it,
                None => match Connection::open(self.address).await {
                    Ok(it) => it,
                    Err(error) => {
                        log::debug!("request {}: {error}", req.request_id);
                        return RunEnd::NotRun(NotRunReason::NoConnection);
                    }
                },
            };
            if !connection.is_ready().await {
                if reused {
                    continue;
                }
                return RunEnd::NotRun(NotRunReason::NoConnection);
            }
            metrics::counter!("jayreach_endpoint_arrivals_total").increment(1);
            match connection.send(hyper_req).await {
                Ok(resp) => {
                    if let Some(it) = EndpointNotice::from_answer(resp.status(), resp.headers(), &req.request_id) {
                        on_notice(it);
                    }
                    return self.classify_response(&req, room, own_wait, connection, resp, start).await;
                }
                Err(mut error) => match error.take_message() {
                    // Nothing was sent yet, so the request can be sent on another connection.
                    Some(unsent) if reused => hyper_req = unsent,
                    Some(_) => return RunEnd::NotRun(NotRunReason::NoConnection),
                    None => {
                        log::debug!("request {}: {}", req.request_id, error.error());
                        return RunEnd::Unknown(UnknownReason::Broken);
                    }
                },
            }
        }
    }

    fn hyper_request(&self, req: &EndpointRequest, body: OutBody) -> Request<OutBody> {
        let mut out = Request::new(body);
        *out.method_mut() = req.head.method().clone();
        *out.uri_mut() = req.head.uri().clone();
        *out.headers_mut() = req.head.headers().clone();
        platform::set_expected_instance(out.headers_mut(), &req.instance_id);
        platform::set_deadline(out.headers_mut(), req.time_left);
        if !out.headers().contains_key(HOST) {
            let host = self.address.to_string().parse().expect("a socket address is a valid header value");
            out.headers_mut().insert(HOST, host);
        }
        out
    }

    /// Reads the whole response and determines whether the endpoint executed the request.
    async fn classify_response(
        &self,
        req: &EndpointRequest,
        room: &BodyRoom,
        own_wait: &OwnWait,
        connection: Connection,
        resp: Response<Incoming>,
        start: Instant,
    ) -> RunEnd {
        let (head, mut body) = resp.into_parts();
        // The deadline of the request bounds the wait for memory.
        let body = match body::read(&mut body, client::MAX_RESPONSE_BYTES, room, Duration::MAX, own_wait).await {
            Ok(it) => it,
            Err(error) => {
                log::debug!("request {}: {error}", req.request_id);
                return RunEnd::Unknown(UnknownReason::Broken);
            }
        };
        // A late response to another request says nothing about this one.
        if platform::request_id(&head.headers).is_some_and(|it| *it != *req.request_id) {
            return RunEnd::Unknown(UnknownReason::MalformedAnswer);
        }
        if head.status.as_u16() == 421 {
            self.put_idle(connection, &head.headers);
            return RunEnd::NotRun(NotRunReason::OtherInstance);
        }
        if platform::not_executed(&head.headers) {
            self.put_idle(connection, &head.headers);
            return RunEnd::NotRun(NotRunReason::Declined);
        }
        // Requests don't accept content codings, so an encoded body doesn't come from the endpoint.
        if !platform::has_response_seal(&head.headers) || head.headers.contains_key(CONTENT_ENCODING) {
            return RunEnd::Unknown(UnknownReason::MalformedAnswer);
        }
        self.put_idle(connection, &head.headers);
        let content = HttpContent::new(&headers::end_to_end(&head.headers), body);
        RunEnd::Answered {
            status: head.status.as_u16(),
            content,
            took: start.elapsed().saturating_sub(own_wait.total()),
        }
    }

    fn take_idle(&self) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        idle.retain(|it| !it.connection.is_closed() && it.idle_since.elapsed() < it.max_idle);
        // The most recently used connection is the most likely to be open.
        idle.pop().map(|it| it.connection)
    }

    fn put_idle(&self, connection: Connection, headers: &HeaderMap) {
        let closes = headers.get(CONNECTION).is_some_and(|it| it.as_bytes().eq_ignore_ascii_case(b"close"));
        let mut idle = self.idle.borrow_mut();
        if closes || idle.len() >= MAX_IDLE_CONNECTIONS {
            return;
        }
        let announced = keep_alive_timeout(headers).map_or(MAX_IDLE, |it| it / KEEP_ALIVE_DIVISOR);
        idle.push(IdleConnection { connection, idle_since: Instant::now(), max_idle: announced.min(MAX_IDLE) });
    }

    /// Closes the idle connections.
    pub(super) fn close(self) {
        self.idle.into_inner().clear();
    }
}

/// Returns the timeout of a `keep-alive` header.
fn keep_alive_timeout(headers: &HeaderMap) -> Option<Duration> {
    const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
    let text = headers.get(KEEP_ALIVE)?.to_str().ok()?;
    let seconds = text.split(',').find_map(|it| it.trim().strip_prefix("timeout="))?;
    seconds.parse().ok().map(Duration::from_secs)
}

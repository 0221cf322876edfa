//! Connections to the VM's endpoint, and what its answers prove.

use std::{
    cell::RefCell,
    io,
    net::SocketAddr,
    time::{Duration, Instant},
};

use http_body_util::Full;
use hyper::{
    HeaderMap, Request, Response,
    body::{Bytes, Incoming},
    header::{CONNECTION, CONTENT_ENCODING, HOST, HeaderName},
};
use tokio::{sync::Mutex, time::timeout};

use crate::{
    platform,
    proxy::{
        client::{self, CallError, Connection},
        headers,
        message::{HttpContent, NotRunReason, RunEnd, UnknownReason},
    },
};

/// How long a connection may have been idle to carry more work, unless the endpoint says less. An
/// endpoint may drop an idle connection without notice, and what is sent then is lost.
const IDLE_LIMIT: Duration = Duration::from_secs(2);
/// The part of the idle time the endpoint tells that is used.
const IDLE_PART: u32 = 3;
/// How many idle connections are kept.
const IDLE_KEPT: usize = 16;
/// How much later than the endpoint's own deadline its answer is waited for.
const ANSWER_SLACK: Duration = Duration::from_millis(80);

/// How long it may take to find out whether an endpoint is there: it is on this VM.
const LOOK_LIMIT: Duration = Duration::from_millis(150);
/// For how long what was found holds.
const LOOK_HOLDS: Duration = Duration::from_millis(100);

struct Idle {
    connection: Connection,
    since: Instant,
    limit: Duration,
}

/// The connections to one endpoint.
pub(super) struct EndpointPool {
    address: SocketAddr,
    idle: RefCell<Vec<Idle>>,
    /// The last look whether the endpoint is there, and when; all work that broke off together needs but one.
    looked: Mutex<Option<(Instant, bool)>>,
}

/// One request for the endpoint.
pub(super) struct EndpointRequest {
    pub(super) request_id: Box<str>,
    pub(super) instance_id: Box<str>,
    pub(super) head: Request<()>,
    pub(super) body: Bytes,
    pub(super) time_left: Duration,
}

impl EndpointPool {
    pub(super) fn new(address: SocketAddr) -> Self {
        Self { address, idle: RefCell::default(), looked: Mutex::default() }
    }

    /// Sends a request and judges the answer. Dropping the future cuts the connection, which tells
    /// the endpoint to stop.
    pub(super) async fn run(&self, req: EndpointRequest) -> RunEnd {
        let limit = req.time_left + ANSWER_SLACK;
        match timeout(limit, self.exchange(req)).await {
            Ok(RunEnd::Unknown(UnknownReason::Broken)) if self.has_ended().await => {
                RunEnd::Unknown(UnknownReason::Ended)
            }
            Ok(it) => it,
            Err(_) => RunEnd::Unknown(UnknownReason::TimedOut),
        }
    }

    /// Whether nobody listens at the address, now that work there broke off: a connection that is reset, or cut, says
    /// nothing of the endpoint's life.
    async fn has_ended(&self) -> bool {
        let mut looked = self.looked.lock().await;
        if let Some((at, ended)) = *looked
            && at.elapsed() < LOOK_HOLDS
        {
            return ended;
        }
        let ended = match timeout(LOOK_LIMIT, Connection::open(self.address)).await {
            Ok(Err(CallError::NotConnected(error))) => error.kind() == io::ErrorKind::ConnectionRefused,
            Ok(Ok(connection)) => {
                self.idle.borrow_mut().push(Idle { connection, since: Instant::now(), limit: IDLE_LIMIT });
                false
            }
            Ok(Err(_)) | Err(_) => false,
        };
        *looked = Some((Instant::now(), ended));
        ended
    }

    async fn exchange(&self, req: EndpointRequest) -> RunEnd {
        let start = Instant::now();
        let mut hyper_req = self.hyper_request(&req);
        loop {
            let kept = self.take_idle();
            let reused = kept.is_some();
            let mut connection = match kept {
                Some(it) => it,
                None => match Connection::open(self.address).await {
                    Ok(it) => it,
                    Err(error) => {
                        log::debug!("request {}: {error}", req.request_id);
                        return RunEnd::NotRun(NotRunReason::NoConnection);
                    }
                },
            };
            if connection.sender.ready().await.is_err() {
                if reused {
                    continue;
                }
                return RunEnd::NotRun(NotRunReason::NoConnection);
            }
            metrics::counter!("jayreach_endpoint_arrivals_total").increment(1);
            match connection.sender.try_send_request(hyper_req).await {
                Ok(resp) => return self.judge(&req, connection, resp, start).await,
                Err(mut error) => match error.take_message() {
                    // It never left this process.
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

    fn hyper_request(&self, req: &EndpointRequest) -> Request<Full<Bytes>> {
        let mut out = Request::new(Full::new(req.body.clone()));
        *out.method_mut() = req.head.method().clone();
        *out.uri_mut() = req.head.uri().clone();
        *out.headers_mut() = req.head.headers().clone();
        platform::set_expected_instance(out.headers_mut(), &req.instance_id);
        platform::set_deadline(out.headers_mut(), req.time_left);
        if !out.headers().contains_key(HOST) {
            let host = self.address.to_string().parse().expect("an address is a header value");
            out.headers_mut().insert(HOST, host);
        }
        out
    }

    /// Takes the whole answer in and finds out what it proves.
    async fn judge(
        &self,
        req: &EndpointRequest,
        connection: Connection,
        resp: Response<Incoming>,
        start: Instant,
    ) -> RunEnd {
        let (head, body) = resp.into_parts();
        let body = match client::collect_body(body, client::MAX_RESPONSE_BYTES).await {
            Ok(it) => it,
            Err(error) => {
                log::debug!("request {}: {error}", req.request_id);
                return RunEnd::Unknown(UnknownReason::Broken);
            }
        };
        // Another request's late answer proves nothing of this one.
        if platform::request_id(&head.headers).is_some_and(|it| *it != *req.request_id) {
            return RunEnd::Unknown(UnknownReason::MalformedAnswer);
        }
        if head.status.as_u16() == 421 {
            self.keep(connection, &head.headers);
            return RunEnd::NotRun(NotRunReason::OtherInstance);
        }
        if platform::not_executed(&head.headers) {
            self.keep(connection, &head.headers);
            return RunEnd::NotRun(NotRunReason::Declined);
        }
        // Callers ask for plain bodies: a coded one isn't the endpoint's.
        if !platform::has_response_seal(&head.headers) || head.headers.contains_key(CONTENT_ENCODING) {
            return RunEnd::Unknown(UnknownReason::MalformedAnswer);
        }
        self.keep(connection, &head.headers);
        let content = HttpContent::new(&headers::end_to_end(&head.headers), &body);
        RunEnd::Answered { status: head.status.as_u16(), content, took: start.elapsed() }
    }

    fn take_idle(&self) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        idle.retain(|it| !it.connection.sender.is_closed() && it.since.elapsed() < it.limit);
        // The one used last is the likeliest to be open.
        idle.pop().map(|it| it.connection)
    }

    fn keep(&self, connection: Connection, headers: &HeaderMap) {
        let closes = headers.get(CONNECTION).is_some_and(|it| it.as_bytes().eq_ignore_ascii_case(b"close"));
        let mut idle = self.idle.borrow_mut();
        if closes || idle.len() >= IDLE_KEPT {
            return;
        }
        let told = keep_alive(headers).map_or(IDLE_LIMIT, |it| it / IDLE_PART);
        idle.push(Idle { connection, since: Instant::now(), limit: told.min(IDLE_LIMIT) });
    }

    /// Closes what is idle.
    pub(super) fn close(self) {
        self.idle.into_inner().clear();
    }
}

/// The idle time the other side tells.
fn keep_alive(headers: &HeaderMap) -> Option<Duration> {
    const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
    let text = headers.get(KEEP_ALIVE)?.to_str().ok()?;
    let seconds = text.split(',').find_map(|it| it.trim().strip_prefix("timeout="))?;
    seconds.parse().ok().map(Duration::from_secs)
}

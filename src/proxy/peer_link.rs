//! The link to another proxy: one HTTP/2 connection, opened before it is needed and probed while calls are open.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use hyper::{
    Method, Request, StatusCode,
    body::Bytes,
    client::conn::http2::{Builder, SendRequest},
    header::HeaderName,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use serde::{Serialize, de::DeserializeOwned};
use thiserror::Error;
use tokio::{sync::Notify, time::timeout};

use crate::{
    decide::{
        PathHealth,
        rate_limit::{LimitStatement, RequestRate},
        suspicion::EndpointStanding,
    },
    proxy::{
        body::{Body, OutBody},
        client, clock,
        directory::{ProxyStatus, Row},
        net::{self, AbortOnDropTask, LocalExecutor},
        routes::Version,
    },
    rows::{Incarnation, MemberKey, Stamp, member_key},
};

/// How long a connection may take to open; a lost SYN packet delays it by a second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_500);
/// The pause between HTTP/2 pings while calls are open.
const PING_INTERVAL: Duration = Duration::from_millis(400);
/// A ping unanswered for this long closes the connection. It covers the retransmission of a few packets; with
/// `PING_INTERVAL` a dead path is detected within two seconds.
const PING_TIMEOUT: Duration = Duration::from_millis(1_000);
/// The length of the message at the beginning of a call, in bytes, if a body follows it.
pub(super) const MESSAGE_LENGTH: HeaderName = HeaderName::from_static("message-length");
/// The longest response of a peer, in bytes: proxies of earlier releases send whole answers.
const MAX_REPLY_BYTES: usize = client::MAX_RESPONSE_BYTES + (1 << 20);

/// Why a call to a peer failed.
#[derive(Debug, Error)]
pub(super) enum LinkError {
    /// No connection is open; nothing was sent.
    #[error("not connected")]
    NotConnected,
    /// The connection broke after the call was sent; whether the peer handled it is unknown.
    #[error("connection lost: {0}")]
    Lost(#[from] hyper::Error),
    /// The response body is incomplete, too long or not decodable.
    #[error("malformed response: {0}")]
    Malformed(Box<str>),
    /// The peer responded with another status than 200.
    #[error("response has status {0}")]
    Refused(StatusCode),
}

/// A link without a connection for this long is unreachable, and another peer is selected instead.
const UNREACHABLE_AFTER: Duration = Duration::from_millis(700);

/// A link to one proxy, connected or not.
pub(super) struct Link {
    /// The proxy's address for peers.
    pub(super) address: SocketAddr,
    /// The hash of the proxy's name.
    pub(super) key: MemberKey,
    /// Whether the peer is in this proxy's data centre.
    pub(super) same_data_centre: bool,
    /// Whether this proxy selected the peer.
    pub(super) selected: Cell<bool>,
    /// Whether the peer selected this proxy.
    pub(super) selected_by_peer: Cell<bool>,
    /// Calls without a response so far.
    open_calls: Cell<u32>,
    /// When the connection was lost, or the link created; `None` while connected.
    down_since: Cell<Option<Instant>>,
    /// The peer's last status, with the incarnation of the peer that reported it.
    status: Cell<(Incarnation, ProxyStatus)>,
    /// The newest configuration version that the peer is known to have.
    known_version: Cell<Version>,
    sender: RefCell<Option<SendRequest<OutBody>>>,
    health: RefCell<PathHealth>,
    /// The number of running and waiting requests that the peer last reported, and when.
    reported_load: Cell<(u32, Instant)>,
    /// The time from that report until a request may start, by the rate limit of the peer's endpoint.
    reported_start_delay: Cell<Duration>,
    /// Grants requested since that report.
    reserve_requests: Cell<u32>,
    /// Wakes the task that sends hellos and status updates.
    send_requested: Notify,
    /// Whether to send a whole hello instead of a status update.
    hello_requested: Cell<bool>,
}

/// An open connection of a link, closed on drop.
pub(super) struct LinkConnection {
    link: Rc<Link>,
    closed: Rc<Notify>,
    _task: AbortOnDropTask,
}

impl LinkConnection {
    /// Waits until the connection is closed.
    pub(super) async fn ended(&self) {
        self.closed.notified().await;
    }
}

impl Drop for LinkConnection {
    fn drop(&mut self) {
        self.link.set_closed();
    }
}

/// Counts an open call until dropped.
struct OpenCallGuard<'a>(&'a Link);

impl Drop for OpenCallGuard<'_> {
    fn drop(&mut self) {
        self.0.open_calls.set(self.0.open_calls.get() - 1);
    }
}

impl Link {
    /// Creates an unconnected link to the owner of `row`.
    pub(super) fn new(row: &Row, same_data_centre: bool) -> Self {
        Self {
            address: row.peer_address,
            key: member_key(&row.name),
            same_data_centre,
            selected: Cell::new(false),
            selected_by_peer: Cell::new(false),
            open_calls: Cell::new(0),
            down_since: Cell::new(Some(clock::now())),
            status: Cell::default(),
            known_version: Cell::new(0),
            sender: RefCell::default(),
            health: RefCell::default(),
            reported_load: Cell::new((0, Instant::now())),
            reported_start_delay: Cell::default(),
            reserve_requests: Cell::new(0),
            send_requested: Notify::new(),
            hello_requested: Cell::new(true),
        }
    }

    /// Opens a connection to the owner of `row` outside the kept links, for a few calls.
    pub(super) async fn open(row: &Row) -> Result<(Rc<Self>, LinkConnection), LinkError> {
        let link = Rc::new(Self::new(row, false));
        let connection = link.connect().await?;
        Ok((link, connection))
    }

    /// Opens the connection of this link.
    pub(super) async fn connect(self: &Rc<Self>) -> Result<LinkConnection, LinkError> {
        let stream = net::connect(self.address, CONNECT_TIMEOUT).await.map_err(|_| LinkError::NotConnected)?;
        let (sender, connection) = Builder::new(LocalExecutor)
            .timer(TokioTimer::new())
            .keep_alive_interval(PING_INTERVAL)
            .keep_alive_timeout(PING_TIMEOUT)
            .initial_stream_window_size(net::PEER_STREAM_WINDOW)
            .handshake(TokioIo::new(stream))
            .await?;
        let closed = Rc::new(Notify::new());
        let task = {
            let closed = Rc::clone(&closed);
            let link = Rc::clone(self);
            AbortOnDropTask::spawn(async move {
                if let Err(error) = connection.await {
                    log::debug!("connection to peer {}: {error}", link.address);
                }
                link.set_closed();
                closed.notify_one();
            })
        };
        *self.sender.borrow_mut() = Some(sender);
        self.down_since.set(None);
        Ok(LinkConnection { link: Rc::clone(self), closed, _task: task })
    }

    fn set_closed(&self) {
        if self.sender.borrow_mut().take().is_some() {
            self.down_since.set(Some(clock::now()));
        }
    }

    /// How long there has been no connection; zero while connected.
    pub(super) fn down_for(&self, now: Instant) -> Duration {
        self.down_since.get().map_or(Duration::ZERO, |it| now.saturating_duration_since(it))
    }

    /// Whether the link is connected, or has been unconnected only for a short time.
    pub(super) fn is_reachable(&self, now: Instant) -> bool {
        self.down_for(now) < UNREACHABLE_AFTER
    }

    /// Whether the link has been unconnected only for a short time.
    pub(super) fn is_opening(&self, now: Instant) -> bool {
        !self.is_connected() && self.is_reachable(now)
    }

    /// Whether neither side selected the other and no call is open.
    pub(super) fn is_unused(&self) -> bool {
        !self.selected.get() && !self.selected_by_peer.get() && self.open_calls.get() == 0
    }

    /// The last reported standing of the peer's endpoint.
    pub(super) fn standing(&self) -> EndpointStanding {
        self.status.get().1.standing
    }

    /// The last reported rate limit of the peer's endpoint.
    pub(super) fn limit(&self) -> LimitStatement {
        self.status.get().1.limit
    }

    /// The newest configuration version that the peer is known to have.
    pub(super) fn known_version(&self) -> Version {
        self.known_version.get()
    }

    /// Records that the peer has this version of the configuration.
    pub(super) fn note_version(&self, version: Version) {
        self.known_version.set(self.known_version.get().max(version));
    }

    /// Stores the peer's status and returns true, unless it is not newer than the known one.
    pub(super) fn update_status(&self, stamp: Stamp, status: ProxyStatus) -> bool {
        let (incarnation, known) = self.status.get();
        let is_newer = (stamp.incarnation, status.revision) > (incarnation, known.revision);
        if is_newer {
            self.status.set((stamp.incarnation, status));
        }
        is_newer
    }

    /// Requests that a hello is sent, whose response contains the peer's row.
    pub(super) fn request_hello(&self) {
        self.hello_requested.set(true);
        self.send_requested.notify_one();
    }

    /// Requests that a status update is sent.
    pub(super) fn request_status_update(&self) {
        self.send_requested.notify_one();
    }

    /// Waits until a hello or a status update is requested. Returns true for a hello.
    pub(super) async fn wait_for_request(&self) -> bool {
        self.send_requested.notified().await;
        self.hello_requested.replace(false)
    }

    /// Whether the link has an open connection.
    pub(super) fn is_connected(&self) -> bool {
        self.sender.borrow().as_ref().is_some_and(|it| !it.is_closed())
    }

    /// Calls the peer. Dropping the future resets the HTTP/2 stream, which cancels the call at the peer.
    pub(super) async fn call<Req: Serialize, Resp: DeserializeOwned>(
        &self,
        path: &'static str,
        req: &Req,
    ) -> Result<Resp, LinkError> {
        self.call_with_body(path, req, None).await
    }

    /// Calls the peer as [`Self::call`] does; `body` follows the message.
    pub(super) async fn call_with_body<Req: Serialize, Resp: DeserializeOwned>(
        &self,
        path: &'static str,
        req: &Req,
        body: Option<&Body>,
    ) -> Result<Resp, LinkError> {
        let sender = self.sender.borrow().clone();
        let Some(mut sender) = sender else { return Err(LinkError::NotConnected) };
        self.open_calls.set(self.open_calls.get() + 1);
        let _open = OpenCallGuard(self);
        let message = Bytes::from(rmp_serde::to_vec(req).expect("messages can be encoded"));
        let message_len = message.len();
        let mut segments = vec![message];
        segments.extend(body.into_iter().flat_map(Body::segments).cloned());
        let mut http = Request::new(OutBody::from(&Body::from(segments)));
        if body.is_some() {
            http.headers_mut().insert(MESSAGE_LENGTH, message_len.into());
        }
        *http.method_mut() = Method::POST;
        *http.uri_mut() = format!("http://{}{path}", self.address).parse().expect("an address and a path form a URI");
        if sender.ready().await.is_err() {
            return Err(LinkError::NotConnected);
        }
        let resp = sender.send_request(http).await?;
        self.health.borrow_mut().record_success();
        let status = resp.status();
        let body = client::collect_body(resp.into_body(), MAX_REPLY_BYTES)
            .await
            .map_err(|it| LinkError::Malformed(it.to_string().into()))?;
        if status != StatusCode::OK {
            return Err(LinkError::Refused(status));
        }
        rmp_serde::from_slice(&body).map_err(|it| LinkError::Malformed(it.to_string().into()))
    }

    /// Calls the peer and waits at most `limit`. Failures are logged and give `None`.
    pub(super) async fn call_within<Req: Serialize, Resp: DeserializeOwned>(
        &self,
        limit: Duration,
        path: &'static str,
        req: &Req,
    ) -> Option<Resp> {
        match timeout(limit, self.call(path, req)).await {
            Ok(Ok(it)) => Some(it),
            Ok(Err(error)) => {
                log::debug!("call of {path} at peer {}: {error}", self.address);
                None
            }
            Err(_) => {
                log::debug!("call of {path} at peer {}: no response in {limit:?}", self.address);
                None
            }
        }
    }

    /// Records that a call got no response, which starts or extends the link's backoff.
    pub(super) fn record_failure(&self, now: Instant) {
        self.health.borrow_mut().record_failure(now);
    }

    /// Whether the last calls failed, so that other peers should be asked first.
    pub(super) fn is_backing_off(&self, now: Instant) -> bool {
        self.health.borrow().is_backing_off(now)
    }

    /// Stores the load that the peer reported, and the time until a request may start there.
    pub(super) fn record_load(&self, load: u32, start_delay: Duration, now: Instant) {
        self.reported_load.set((load, now));
        self.reported_start_delay.set(start_delay);
        self.reserve_requests.set(0);
    }

    /// The time since the peer reported its load.
    pub(super) fn load_age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.reported_load.get().1)
    }

    /// Counts a requested grant into the estimated load.
    pub(super) fn count_reserve_request(&self) {
        self.reserve_requests.set(self.reserve_requests.get() + 1);
    }

    /// The last reported load plus the grants requested since. It decays, since requests end.
    pub(super) fn estimated_load(&self, now: Instant) -> u32 {
        /// About the duration of a request.
        const HALF_LIFE: Duration = Duration::from_millis(1_500);
        let (load, at) = self.reported_load.get();
        let age = now.saturating_duration_since(at).as_secs_f32() / HALF_LIFE.as_secs_f32();
        ((load + self.reserve_requests.get()) as f32 * (-age).exp2()).round() as u32
    }

    /// The estimated time until a request may start at the peer's endpoint, whose limit is `rate`: as last reported,
    /// and later for each grant requested since.
    pub(super) fn start_delay(&self, rate: RequestRate, now: Instant) -> Duration {
        let requested_since = f64::from(self.reserve_requests.get()) / f64::from(rate);
        let added = Duration::try_from_secs_f64(requested_since).unwrap_or_default();
        (self.reported_start_delay.get() + added).saturating_sub(self.load_age(now))
    }
}

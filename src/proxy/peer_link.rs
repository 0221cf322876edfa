//! Links to other proxies: one HTTP/2 connection each, opened ahead of need and probed in use.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use http_body_util::Full;
use hyper::{
    Method, Request, StatusCode,
    body::Bytes,
    client::conn::http2::{Builder, SendRequest},
};
use hyper_util::rt::{TokioIo, TokioTimer};
use serde::{Serialize, de::DeserializeOwned};
use thiserror::Error;
use tokio::{sync::Notify, time::timeout};

use crate::{
    decide::{PathHealth, suspicion::EndpointStanding},
    proxy::{
        client, clock,
        directory::{ProxyStatus, Row},
        net::{self, AbortOnDropTask, LocalExecutor},
    },
    rows::{Incarnation, MemberKey, Stamp, member_key},
};

/// How long a connection may take to open: one lost packet costs a second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_500);
/// While calls are under way, the other side is probed this often.
const PROBE_EVERY: Duration = Duration::from_millis(400);
/// A probe unanswered for this long ends the connection: above the resending of a few lost packets,
/// and together with `PROBE_EVERY` below the two seconds in which a silent path should be left.
const PROBE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// The longest answer of a peer, in bytes: an endpoint's whole answer and what is around it.
const REPLY_LIMIT: usize = client::MAX_RESPONSE_BYTES + (1 << 20);

/// Why a call brought no answer.
#[derive(Debug, Error)]
pub(super) enum LinkError {
    /// There is no connection; nothing was sent.
    #[error("not connected")]
    NotConnected,
    /// The connection broke; the call may have been taken in.
    #[error("lost: {0}")]
    Lost(#[from] hyper::Error),
    /// The body broke off, or isn't what was asked for.
    #[error("not understood: {0}")]
    Malformed(Box<str>),
    /// The peer refused the call.
    #[error("refused with status {0}")]
    Refused(StatusCode),
}

/// A connection may take this long to open, or to come back, before others are linked to in its place.
const OPENING: Duration = Duration::from_millis(700);

/// The link to one proxy.
pub(super) struct Link {
    /// Where the proxy is.
    pub(super) address: SocketAddr,
    /// The hash of its name.
    pub(super) key: MemberKey,
    /// Whether it is in this proxy's data centre.
    pub(super) same_data_centre: bool,
    /// This proxy chose it.
    pub(super) selected: Cell<bool>,
    /// It chose this proxy.
    pub(super) selected_by_peer: Cell<bool>,
    /// Calls that have no answer yet.
    calls: Cell<u32>,
    /// Since when there is no connection; `None` while there is one.
    down_since: Cell<Option<Instant>>,
    /// The run of the proxy and its count of turns, with what it then said of its endpoint.
    standing: Cell<(Incarnation, u64, EndpointStanding)>,
    sender: RefCell<Option<SendRequest<Full<Bytes>>>>,
    health: RefCell<PathHealth>,
    /// Running and waiting there as last told, and when.
    told: Cell<(u32, Instant)>,
    /// Places asked for since then.
    asked: Cell<u32>,
    /// There is something to tell the proxy.
    greet: Notify,
    /// All of our row is to be told, not just the part that changes often.
    fully: Cell<bool>,
}

/// An open connection; ends with this.
pub(super) struct LinkConnection {
    link: Rc<Link>,
    ended: Rc<Notify>,
    _task: AbortOnDropTask,
}

impl LinkConnection {
    /// Waits until the connection is gone.
    pub(super) async fn ended(&self) {
        self.ended.notified().await;
    }
}

impl Drop for LinkConnection {
    fn drop(&mut self) {
        self.link.closed();
    }
}

/// A call that has no answer yet.
struct CountedCall<'a>(&'a Link);

impl Drop for CountedCall<'_> {
    fn drop(&mut self) {
        self.0.calls.set(self.0.calls.get() - 1);
    }
}

impl Link {
    /// A link that is not connected yet.
    pub(super) fn new(row: &Row, same_data_centre: bool) -> Self {
        Self {
            address: row.peer_address,
            key: member_key(&row.name),
            same_data_centre,
            selected: Cell::new(false),
            selected_by_peer: Cell::new(false),
            calls: Cell::new(0),
            down_since: Cell::new(Some(clock::now())),
            standing: Cell::default(),
            sender: RefCell::default(),
            health: RefCell::default(),
            told: Cell::new((0, Instant::now())),
            asked: Cell::new(0),
            greet: Notify::new(),
            fully: Cell::new(true),
        }
    }

    /// A connection of its own to a row's owner, for a few calls.
    pub(super) async fn open(row: &Row) -> Result<(Rc<Self>, LinkConnection), LinkError> {
        let link = Rc::new(Self::new(row, false));
        let connected = link.connect().await?;
        Ok((link, connected))
    }

    /// Connects.
    pub(super) async fn connect(self: &Rc<Self>) -> Result<LinkConnection, LinkError> {
        let stream = net::connect(self.address, CONNECT_TIMEOUT).await.map_err(|_| LinkError::NotConnected)?;
        let (sender, connection) = Builder::new(LocalExecutor)
            .timer(TokioTimer::new())
            .keep_alive_interval(PROBE_EVERY)
            .keep_alive_timeout(PROBE_TIMEOUT)
            .handshake(TokioIo::new(stream))
            .await?;
        let ended = Rc::new(Notify::new());
        let task = {
            let ended = Rc::clone(&ended);
            let link = Rc::clone(self);
            AbortOnDropTask::spawn(async move {
                if let Err(error) = connection.await {
                    log::debug!("the connection to {} ended: {error}", link.address);
                }
                link.closed();
                ended.notify_one();
            })
        };
        *self.sender.borrow_mut() = Some(sender);
        self.down_since.set(None);
        Ok(LinkConnection { link: Rc::clone(self), ended, _task: task })
    }

    fn closed(&self) {
        if self.sender.borrow_mut().take().is_some() {
            self.down_since.set(Some(clock::now()));
        }
    }

    /// For how long there has been no connection; zero while there is one.
    pub(super) fn down_for(&self, now: Instant) -> Duration {
        self.down_since.get().map_or(Duration::ZERO, |it| now.saturating_duration_since(it))
    }

    /// Whether calls can be sent, or soon may.
    pub(super) fn is_reachable(&self, now: Instant) -> bool {
        self.down_for(now) < OPENING
    }

    /// Whether there is no connection yet, and may be one soon.
    pub(super) fn is_opening(&self, now: Instant) -> bool {
        !self.is_connected() && self.is_reachable(now)
    }

    /// Whether neither side chose the other and nothing is under way.
    pub(super) fn is_unused(&self) -> bool {
        !self.selected.get() && !self.selected_by_peer.get() && self.calls.get() == 0
    }

    /// How far the proxy's endpoint is trusted, as last told.
    pub(super) fn standing(&self) -> EndpointStanding {
        self.standing.get().2
    }

    /// Takes in how the proxy's endpoint stands; whether that is news.
    pub(super) fn update_standing(&self, stamp: Stamp, current: ProxyStatus) -> bool {
        let (incarnation, turns, before) = self.standing.get();
        if (stamp.incarnation, current.revision) <= (incarnation, turns) {
            return false;
        }
        self.standing.set((stamp.incarnation, current.revision, current.standing));
        before != current.standing
    }

    /// Has our whole row told, and the other's asked for.
    pub(super) fn request_hello(&self) {
        self.fully.set(true);
        self.greet.notify_one();
    }

    /// Has the part of our row told that changes often.
    pub(super) fn request_status_update(&self) {
        self.greet.notify_one();
    }

    /// Waits until there is something to tell; true if that is our whole row.
    pub(super) async fn wait_for_request(&self) -> bool {
        self.greet.notified().await;
        self.fully.replace(false)
    }

    /// Whether calls can be sent.
    pub(super) fn is_connected(&self) -> bool {
        self.sender.borrow().as_ref().is_some_and(|it| !it.is_closed())
    }

    /// Calls the peer. Dropping the future tells the peer to stop.
    pub(super) async fn call<Req: Serialize, Resp: DeserializeOwned>(
        &self,
        path: &'static str,
        req: &Req,
    ) -> Result<Resp, LinkError> {
        let sender = self.sender.borrow().clone();
        let Some(mut sender) = sender else { return Err(LinkError::NotConnected) };
        self.calls.set(self.calls.get() + 1);
        let _counted = CountedCall(self);
        let body = rmp_serde::to_vec(req).expect("messages can be coded");
        let mut http = Request::new(Full::new(Bytes::from(body)));
        *http.method_mut() = Method::POST;
        *http.uri_mut() = format!("http://{}{path}", self.address).parse().expect("an address makes a URI");
        if sender.ready().await.is_err() {
            return Err(LinkError::NotConnected);
        }
        let resp = sender.send_request(http).await?;
        self.health.borrow_mut().record_success();
        let status = resp.status();
        let body = client::collect_body(resp.into_body(), REPLY_LIMIT)
            .await
            .map_err(|it| LinkError::Malformed(it.to_string().into()))?;
        if status != StatusCode::OK {
            return Err(LinkError::Refused(status));
        }
        rmp_serde::from_slice(&body).map_err(|it| LinkError::Malformed(it.to_string().into()))
    }

    /// Calls the peer, for at most `limit`.
    pub(super) async fn call_within<Req: Serialize, Resp: DeserializeOwned>(
        &self,
        limit: Duration,
        path: &'static str,
        req: &Req,
    ) -> Option<Resp> {
        match timeout(limit, self.call(path, req)).await {
            Ok(Ok(it)) => Some(it),
            Ok(Err(error)) => {
                log::debug!("calling {} at {path}: {error}", self.address);
                None
            }
            Err(_) => {
                log::debug!("calling {} at {path}: no answer in {limit:?}", self.address);
                None
            }
        }
    }

    /// The peer gave no answer, or can't be reached.
    pub(super) fn record_failure(&self, now: Instant) {
        self.health.borrow_mut().record_failure(now);
    }

    /// Whether the peer, though connected, should be asked last: its last calls failed.
    pub(super) fn is_backing_off(&self, now: Instant) -> bool {
        self.health.borrow().is_backing_off(now)
    }

    /// Takes in the load that the peer told.
    pub(super) fn record_load(&self, load: u32, now: Instant) {
        self.told.set((load, now));
        self.asked.set(0);
    }

    /// How long ago the peer told its load.
    pub(super) fn load_age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.told.get().1)
    }

    /// Counts a place that is asked for.
    pub(super) fn count_reserve_request(&self) {
        self.asked.set(self.asked.get() + 1);
    }

    /// The load as last told, with what was asked for since; it fades, since work ends.
    pub(super) fn estimated_load(&self, now: Instant) -> u32 {
        /// What was told loses half its meaning in about the length of a piece of work.
        const FADES: Duration = Duration::from_millis(1_500);
        let (load, at) = self.told.get();
        let age = now.saturating_duration_since(at).as_secs_f32() / FADES.as_secs_f32();
        ((load + self.asked.get()) as f32 * (-age).exp2()).round() as u32
    }
}

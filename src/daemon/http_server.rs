//! What the three listeners share: sockets, requests, answers.
//!
//! `hyper` serves, in one thread a listener, and passes whole requests on to the daemon's own
//! threads. Why not `tiny_http`: see CONTRIBUTING.md.

use std::{
    io,
    net::{SocketAddr, TcpListener},
    sync::Arc,
    time::Duration,
};

use http_body_util::{BodyExt as _, Full, LengthLimitError, Limited};
use hyper::{
    HeaderMap, Method, Response,
    body::{Bytes, Incoming},
    http::request::Parts,
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use socket2::{Domain, Protocol, Socket, TcpKeepalive, Type};
use tokio::{
    net::TcpStream,
    sync::{OwnedSemaphorePermit, Semaphore, oneshot},
    time::{sleep, timeout},
};

use crate::error::Error;

/// The longest body of a request or an answer, in bytes.
pub(crate) const BODY_LIMIT: usize = 1 << 20;
/// How many bytes of a request's head are taken in at most.
const HEAD_LIMIT: usize = 64 * 1024;
/// How long a request's head may take to arrive, the wait for it included.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// How long a whole body may take to arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// How long written bytes may go unacknowledged before the connection is dropped.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);
/// How long a connection may be idle before the other side is probed.
const KEEPALIVE: Duration = Duration::from_secs(30);
/// How many connections a listener has open at most; more wait to be accepted.
const CONNECTIONS: usize = 4096;
/// How many connections may wait to be accepted.
const BACKLOG: i32 = 1024;
/// The pause after `accept` failed, for instance for want of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Why a body is not there.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum BodyError {
    /// It is longer than `BODY_LIMIT`.
    TooLarge,
    /// It ended early, came too slowly or was malformed.
    Broken,
}

/// A request, to be answered once with [`respond`]. One that is dropped closes its connection.
pub(crate) struct Request {
    head: Parts,
    body: Result<Bytes, BodyError>,
    reply: oneshot::Sender<Response<Full<Bytes>>>,
}

impl Request {
    pub(crate) fn method(&self) -> &Method {
        &self.head.method
    }

    /// Path and query.
    pub(crate) fn target(&self) -> &str {
        self.head.uri.path_and_query().map_or("/", |it| it.as_str())
    }

    pub(crate) fn headers(&self) -> &HeaderMap {
        &self.head.headers
    }

    /// The value of a header, if it is text.
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        self.head.headers.get(name)?.to_str().ok()
    }

    pub(crate) fn body(&self) -> Result<&[u8], BodyError> {
        self.body.as_deref().map_err(|it| *it)
    }
}

/// A listening socket.
pub(crate) struct Listener {
    socket: TcpListener,
}

impl Listener {
    /// Listens on `address`.
    pub(crate) fn open(address: SocketAddr) -> Result<Self, Error> {
        let socket = open(address).map_err(|it| Error::io(format!("listening on {address}"), it))?;
        Ok(Self { socket: socket.into() })
    }

    /// Passes whole requests to `accept`, which must not wait, for ever.
    pub(crate) fn serve(self, accept: impl Fn(Request) + Send + Sync + 'static) -> io::Result<()> {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        runtime.block_on(serve(self.socket, Arc::new(accept)))
    }
}

fn open(address: SocketAddr) -> io::Result<Socket> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    // Accepted sockets take these over.
    socket.set_tcp_nodelay(true)?;
    socket.set_tcp_user_timeout(Some(WRITE_TIMEOUT))?;
    socket.set_tcp_keepalive(&TcpKeepalive::new().with_time(KEEPALIVE))?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    Ok(socket)
}

async fn serve(socket: TcpListener, accept: Arc<impl Fn(Request) + Send + Sync + 'static>) -> io::Result<()> {
    let listener = tokio::net::TcpListener::from_std(socket)?;
    let free = Arc::new(Semaphore::new(CONNECTIONS));
    loop {
        let permit = Arc::clone(&free).acquire_owned().await.map_err(io::Error::other)?;
        match listener.accept().await {
            Ok((stream, _)) => _ = tokio::spawn(connection(stream, Arc::clone(&accept), permit)),
            Err(error) => {
                log::debug!("accepting a connection: {error}");
                metrics::counter!("jayreach_accepts_failed_total").increment(1);
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn connection(
    stream: TcpStream,
    accept: Arc<impl Fn(Request) + Send + Sync + 'static>,
    permit: OwnedSemaphorePermit,
) {
    let service = service_fn(|req| answer(req, Arc::clone(&accept)));
    let served = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .max_buf_size(HEAD_LIMIT)
        .half_close(true)
        .serve_connection(TokioIo::new(stream), service)
        .await;
    if let Err(error) = served {
        log::debug!("a connection ended: {error}");
        metrics::counter!("jayreach_connections_broken_total").increment(1);
    }
    drop(permit);
}

/// Takes the body in, passes the request on, and waits for its answer.
async fn answer(
    req: hyper::Request<Incoming>,
    accept: Arc<impl Fn(Request)>,
) -> Result<Response<Full<Bytes>>, oneshot::error::RecvError> {
    let (head, body) = req.into_parts();
    let body = take_body(body).await;
    let (reply, answered) = oneshot::channel();
    accept(Request { head, body, reply });
    answered.await
}

async fn take_body(body: Incoming) -> Result<Bytes, BodyError> {
    match timeout(BODY_TIMEOUT, Limited::new(body, BODY_LIMIT).collect()).await {
        Ok(Ok(it)) => Ok(it.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(BodyError::TooLarge),
        Ok(Err(_)) | Err(_) => Err(BodyError::Broken),
    }
}

/// Answers a request; a caller that is gone is its own matter.
pub(crate) fn respond(req: Request, status: u16, headers: &[(&str, &str)], body: Vec<u8>) {
    let mut resp = Response::builder().status(status);
    for (name, value) in headers {
        resp = resp.header(*name, *value);
    }
    let Ok(resp) = resp.body(Full::new(Bytes::from(body))) else {
        log::warn!("an answer with status {status} can't be written");
        return;
    };
    if req.reply.send(resp).is_err() {
        metrics::counter!("jayreach_answers_lost_total").increment(1);
    }
}

/// Answers with JSON.
pub(crate) fn respond_json<T: serde::Serialize>(req: Request, status: u16, value: &T) {
    let body = serde_json::to_vec(value).expect("answers can be coded");
    respond(req, status, &[("Content-Type", "application/json")], body);
}

/// The path of a request's target, without the query.
pub(crate) fn path(target: &str) -> &str {
    target.split(['?', '#']).next().unwrap_or(target)
}

/// The value of a key in a request's query.
pub(crate) fn query<'a>(target: &'a str, key: &str) -> Option<&'a str> {
    let (_, query) = target.split_once('?')?;
    let pairs = query.split('&').filter_map(|it| it.split_once('='));
    pairs.into_iter().find(|(name, _)| *name == key).map(|(_, value)| value)
}

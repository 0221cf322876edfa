//! The HTTP server of the three listeners.
//!
//! Each listener runs `hyper` on one thread, which reads requests completely and passes them to the daemon's thread
//! pools.

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

/// The largest body of a request or a response, in bytes.
pub(crate) const MAX_BODY_BYTES: usize = 1 << 20;
/// The size of the read buffer, which limits a request's header section, in bytes.
const MAX_HEADER_SECTION_BYTES: usize = 64 * 1024;
/// How long a connection may take to send a header section, the idle time before it included.
const HEADER_TIMEOUT: Duration = Duration::from_secs(10);
/// How long a body may take to arrive completely.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// How long written bytes may go unacknowledged before the connection is dropped.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);
/// How long a connection may be idle before TCP keepalive probes start.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(30);
/// The most open connections of a listener; more wait to be accepted.
const MAX_CONNECTIONS: usize = 4096;
/// The most connections that wait to be accepted.
const ACCEPT_BACKLOG: i32 = 1024;
/// The pause after `accept` failed, for instance because no file descriptor was free.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Why a body could not be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum BodyError {
    /// It is longer than `MAX_BODY_BYTES`.
    TooLarge,
    /// It was incomplete, too slow or malformed.
    Unreadable,
}

/// A request, to be answered once with [`respond`]. Dropping it closes its connection.
pub(crate) struct Request {
    head: Parts,
    body: Result<Bytes, BodyError>,
    response_tx: oneshot::Sender<Response<Full<Bytes>>>,
}

impl Request {
    pub(crate) fn method(&self) -> &Method {
        &self.head.method
    }

    /// The path and the query.
    pub(crate) fn target(&self) -> &str {
        self.head.uri.path_and_query().map_or("/", |it| it.as_str())
    }

    pub(crate) fn headers(&self) -> &HeaderMap {
        &self.head.headers
    }

    /// The value of a header, if present and visible ASCII.
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
        let socket = open_socket(address).map_err(|it| Error::io(format!("listening on {address}"), it))?;
        Ok(Self { socket: socket.into() })
    }

    /// Passes each request to `accept`, which must not block. Returns only on an error of the runtime or the socket.
    pub(crate) fn serve(self, accept: impl Fn(Request) + Send + Sync + 'static) -> io::Result<()> {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        runtime.block_on(serve(self.socket, Arc::new(accept)))
    }
}

fn open_socket(address: SocketAddr) -> io::Result<Socket> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    // Accepted sockets inherit these options.
    socket.set_tcp_nodelay(true)?;
    socket.set_tcp_user_timeout(Some(WRITE_TIMEOUT))?;
    socket.set_tcp_keepalive(&TcpKeepalive::new().with_time(KEEPALIVE_IDLE))?;
    socket.bind(&address.into())?;
    socket.listen(ACCEPT_BACKLOG)?;
    Ok(socket)
}

async fn serve(socket: TcpListener, accept: Arc<impl Fn(Request) + Send + Sync + 'static>) -> io::Result<()> {
    let listener = tokio::net::TcpListener::from_std(socket)?;
    let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    loop {
        let permit = Arc::clone(&permits).acquire_owned().await.map_err(io::Error::other)?;
        match listener.accept().await {
            Ok((stream, _)) => _ = tokio::spawn(serve_connection(stream, Arc::clone(&accept), permit)),
            Err(error) => {
                log::debug!("accepting a connection: {error}");
                metrics::counter!("jayreach_accepts_failed_total").increment(1);
                sleep(ACCEPT_RETRY_PAUSE).await;
            }
        }
    }
}

async fn serve_connection(
    stream: TcpStream,
    accept: Arc<impl Fn(Request) + Send + Sync + 'static>,
    permit: OwnedSemaphorePermit,
) {
    let service = service_fn(|req| handle_request(req, Arc::clone(&accept)));
    let served = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_TIMEOUT)
        .max_buf_size(MAX_HEADER_SECTION_BYTES)
        .half_close(true)
        .serve_connection(TokioIo::new(stream), service)
        .await;
    if let Err(error) = served {
        log::debug!("connection closed with an error: {error}");
        metrics::counter!("jayreach_connections_broken_total").increment(1);
    }
    drop(permit);
}

/// Reads the body, passes the request to `accept`, and waits for the response.
async fn handle_request(
    req: hyper::Request<Incoming>,
    accept: Arc<impl Fn(Request)>,
) -> Result<Response<Full<Bytes>>, oneshot::error::RecvError> {
    let (head, body) = req.into_parts();
    let body = read_body(body).await;
    let (response_tx, response_rx) = oneshot::channel();
    accept(Request { head, body, response_tx });
    response_rx.await
}

async fn read_body(body: Incoming) -> Result<Bytes, BodyError> {
    match timeout(BODY_TIMEOUT, Limited::new(body, MAX_BODY_BYTES).collect()).await {
        Ok(Ok(it)) => Ok(it.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(BodyError::TooLarge),
        Ok(Err(_)) | Err(_) => Err(BodyError::Unreadable),
    }
}

/// Sends the response to a request. A response to a caller that has disconnected is dropped and counted.
pub(crate) fn respond(req: Request, status: u16, headers: &[(&str, &str)], body: Vec<u8>) {
    let mut resp = Response::builder().status(status);
    for (name, value) in headers {
        resp = resp.header(*name, *value);
    }
    let Ok(resp) = resp.body(Full::new(Bytes::from(body))) else {
        log::warn!("response with status {status} has an invalid status or header; the connection is closed");
        return;
    };
    if req.response_tx.send(resp).is_err() {
        metrics::counter!("jayreach_answers_lost_total").increment(1);
    }
}

/// Sends a response with a JSON body.
pub(crate) fn respond_json<T: serde::Serialize>(req: Request, status: u16, value: &T) {
    let body = serde_json::to_vec(value).expect("a response body can be serialized");
    respond(req, status, &[("Content-Type", "application/json")], body);
}

/// The path of a request's target, without the query.
pub(crate) fn path(target: &str) -> &str {
    target.split(['?', '#']).next().unwrap_or(target)
}

/// The value of a key in the query of a request's target.
pub(crate) fn query<'a>(target: &'a str, key: &str) -> Option<&'a str> {
    let (_, query) = target.split_once('?')?;
    let pairs = query.split('&').filter_map(|it| it.split_once('='));
    pairs.into_iter().find(|(name, _)| *name == key).map(|(_, value)| value)
}

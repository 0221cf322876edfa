//! HTTP servers: HTTP/1.1 for callers, announcements, readiness and metrics; HTTP/2 for other proxies.

use std::{cell::Cell, convert::Infallible, net::SocketAddr, pin::pin, rc::Rc, time::Duration};

use hyper::{
    Request, Response, StatusCode,
    body::{Bytes, Incoming},
    header::{CONTENT_TYPE, HeaderValue},
    server::conn::{http1, http2},
    service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::{
    net::{TcpListener, TcpStream},
    select,
    sync::Notify,
    task::spawn_local,
    time::sleep,
};

use crate::proxy::{
    body::OutBody,
    header_timeout::HeaderTimeoutStream,
    net,
    net::LocalExecutor,
    open_work::{OpenExchanges, ResponseBody},
    routes::RequestLimits,
};

/// A response to a caller or to another proxy.
pub(super) type FullResponse = Response<OutBody>;

/// Pause after `accept` failed, for example because the process has no file descriptors left.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Smallest header buffer that `hyper` accepts, in bytes.
const MIN_HEADER_BUFFER: usize = 8 * 1024;
/// How much longer than the configured idle time a connection stays open, so that a request which the caller sends
/// just before that time ends still finds it open.
const IDLE_SLACK: Duration = Duration::from_secs(1);
/// Interval of HTTP/2 keep-alive pings to a peer.
const PEER_PING_INTERVAL: Duration = Duration::from_secs(5);
/// Time after which an unanswered ping closes the connection.
const PEER_PING_TIMEOUT: Duration = Duration::from_secs(2);
/// How much a peer may send ahead of what has been read, in all its calls together, in bytes. It is far more than
/// [`net::PEER_STREAM_WINDOW`], so that bodies which the endpoint doesn't read don't hold up other calls.
const PEER_CONNECTION_WINDOW: u32 = 16 << 20;

/// Accepts connections forever and passes each to `serve`.
async fn accept(listener: TcpListener, serve: impl Fn(TcpStream, SocketAddr)) {
    loop {
        match listener.accept().await {
            Ok((stream, from)) => match net::set_socket_options(&stream) {
                Ok(()) => serve(stream, from),
                Err(error) => log::debug!("setting socket options for {from}: {error}"),
            },
            Err(error) => {
                log::warn!("accepting a connection: {error}");
                metrics::counter!("jayreach_accepts_failed_total").increment(1);
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Serves HTTP/1.1 forever. When a caller closes its connection, the handler of its request is dropped.
/// `exchanges` counts the requests until their responses are written.
pub(super) async fn serve_http1<F, A>(
    listener: TcpListener,
    limits: impl Fn() -> RequestLimits + 'static,
    exchanges: OpenExchanges,
    handle: F,
) where
    F: Fn(Request<Incoming>) -> A + 'static,
    A: Future<Output = FullResponse> + 'static,
{
    let handle = Rc::new(handle);
    accept(listener, move |stream, from| {
        let handle = Rc::clone(&handle);
        let limits = limits();
        // A caller may stop reading a response for as long as its connection may be idle.
        if let Err(error) = net::set_user_timeout(&stream, limits.idle_timeout) {
            log::debug!("setting the timeout of the connection from {from}: {error}");
        }
        let (stream, request_phase) = HeaderTimeoutStream::new(stream, limits.header_timeout);
        let exchanges = exchanges.clone();
        let service = service_fn(move |req| {
            let served = request_phase.serving(exchanges.begin());
            let resp = handle(req);
            async move { Ok::<_, Infallible>(resp.await.map(|it| ResponseBody::new(it, served))) }
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(limits.idle_timeout + IDLE_SLACK)
            .max_buf_size(limits.header_bytes.max(MIN_HEADER_BUFFER))
            .serve_connection(TokioIo::new(stream), service);
        spawn_local(async move {
            if let Err(error) = connection.await {
                log::debug!("connection from {from} closed: {error}");
                metrics::counter!("jayreach_connections_broken_total").increment(1);
            }
        });
    })
    .await;
}

/// The connections that other proxies have opened; clones share them.
#[derive(Clone, Default)]
pub(super) struct PeerConnections(Rc<PeerConnectionsState>);

#[derive(Default)]
struct PeerConnectionsState {
    open: Cell<usize>,
    is_closing: Cell<bool>,
    /// Notified when one of the above changes.
    changed: Notify,
}

impl PeerConnections {
    /// Ends each connection as soon as its calls are answered and the responses written; returns when all have ended.
    pub(super) async fn close(self) {
        self.0.is_closing.set(true);
        self.0.changed.notify_waiters();
        self.wait_until(|it| it.open.get() == 0).await;
    }

    fn begin(&self) -> OpenPeerConnection {
        self.0.open.set(self.0.open.get() + 1);
        OpenPeerConnection(self.clone())
    }

    async fn wait_until(&self, is_reached: impl Fn(&PeerConnectionsState) -> bool) {
        while !is_reached(&self.0) {
            self.0.changed.notified().await;
        }
    }
}

/// A connection of another proxy, which counts as open until this is dropped.
struct OpenPeerConnection(PeerConnections);

impl Drop for OpenPeerConnection {
    fn drop(&mut self) {
        self.0.0.open.set(self.0.0.open.get() - 1);
        self.0.0.changed.notify_waiters();
    }
}

/// Serves HTTP/2 to other proxies forever. `exchanges` counts the responses until they are passed to their connections.
pub(super) async fn serve_http2<F, A>(
    listener: TcpListener,
    connections: PeerConnections,
    exchanges: OpenExchanges,
    handle: F,
) where
    F: Fn(Request<Incoming>) -> A + 'static,
    A: Future<Output = FullResponse> + 'static,
{
    let handle = Rc::new(handle);
    accept(listener, move |stream, from| {
        let handle = Rc::clone(&handle);
        let exchanges = exchanges.clone();
        let service = service_fn(move |req| {
            let (resp, exchanges) = (handle(req), exchanges.clone());
            async move { Ok::<_, Infallible>(resp.await.map(|it| ResponseBody::new(it, exchanges.begin()))) }
        });
        let connection = http2::Builder::new(LocalExecutor)
            .timer(TokioTimer::new())
            .keep_alive_interval(PEER_PING_INTERVAL)
            .keep_alive_timeout(PEER_PING_TIMEOUT)
            .initial_stream_window_size(net::PEER_STREAM_WINDOW)
            .initial_connection_window_size(PEER_CONNECTION_WINDOW)
            // Peers don't use the date header.
            .auto_date_header(false)
            .serve_connection(TokioIo::new(stream), service);
        let open = connections.begin();
        spawn_local(async move {
            let mut connection = pin!(connection);
            let ended = select! {
                it = &mut connection => it,
                () = open.0.wait_until(|it| it.is_closing.get()) => {
                    connection.as_mut().graceful_shutdown();
                    connection.await
                }
            };
            if let Err(error) = ended {
                log::debug!("peer connection from {from} closed: {error}");
            }
        });
    })
    .await;
}

/// Creates a response that this proxy itself gives.
pub(super) fn response(status: StatusCode, body: impl Into<Bytes>) -> FullResponse {
    let mut resp = Response::new(OutBody::from(body.into()));
    *resp.status_mut() = status;
    resp
}

/// Creates a JSON response that this proxy itself gives.
pub(super) fn json_response(status: StatusCode, body: impl Into<Bytes>) -> FullResponse {
    let mut resp = response(status, body);
    resp.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    resp
}

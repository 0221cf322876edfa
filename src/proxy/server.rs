//! HTTP servers: HTTP/1.1 for callers, announcements, readiness and metrics; HTTP/2 for other proxies.

use std::{convert::Infallible, net::SocketAddr, rc::Rc, time::Duration};

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
    task::spawn_local,
    time::sleep,
};

use crate::proxy::{
    body::OutBody, header_timeout::HeaderTimeoutStream, net, net::LocalExecutor, routes::RequestLimits,
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
/// How much of a request's body a peer may send ahead of what the endpoint has read, in bytes.
const PEER_STREAM_WINDOW: u32 = 256 << 10;
/// The same for all requests of a peer: bodies that the endpoint doesn't read must not hold up other calls.
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
pub(super) async fn serve_http1<F, A>(listener: TcpListener, limits: impl Fn() -> RequestLimits + 'static, handle: F)
where
    F: Fn(Request<Incoming>) -> A + 'static,
    A: Future<Output = FullResponse> + 'static,
{
    let handle = Rc::new(handle);
    accept(listener, move |stream, from| {
        let handle = Rc::clone(&handle);
        let limits = limits();
        let (stream, request_phase) = HeaderTimeoutStream::new(stream, limits.header_timeout);
        let service = service_fn(move |req| {
            let serving = request_phase.serving();
            let resp = handle(req);
            async move {
                let resp = resp.await;
                drop(serving);
                Ok::<_, Infallible>(resp)
            }
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

/// Serves HTTP/2 to other proxies forever.
pub(super) async fn serve_http2<F, A>(listener: TcpListener, handle: F)
where
    F: Fn(Request<Incoming>) -> A + 'static,
    A: Future<Output = FullResponse> + 'static,
{
    let handle = Rc::new(handle);
    accept(listener, move |stream, from| {
        let handle = Rc::clone(&handle);
        let service = service_fn(move |req| {
            let resp = handle(req);
            async move { Ok::<_, Infallible>(resp.await) }
        });
        let connection = http2::Builder::new(LocalExecutor)
            .timer(TokioTimer::new())
            .keep_alive_interval(PEER_PING_INTERVAL)
            .keep_alive_timeout(PEER_PING_TIMEOUT)
            .initial_stream_window_size(PEER_STREAM_WINDOW)
            .initial_connection_window_size(PEER_CONNECTION_WINDOW)
            // Peers don't use the date header.
            .auto_date_header(false)
            .serve_connection(TokioIo::new(stream), service);
        spawn_local(async move {
            if let Err(error) = connection.await {
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

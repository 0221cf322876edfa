//! Listeners: callers, announcements, readiness and metrics over HTTP/1.1, peers over HTTP/2.

use std::{convert::Infallible, net::SocketAddr, rc::Rc, time::Duration};

use http_body_util::Full;
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

use crate::proxy::{header_timeout::HeaderTimeoutStream, net, net::LocalExecutor, routes::RequestLimits};

/// An answer with its whole body.
pub(super) type FullResponse = Response<Full<Bytes>>;

/// The pause after `accept` failed, for instance for want of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// The least buffer of a head that `hyper` takes.
const LEAST_HEAD: usize = 8 * 1024;
/// How much longer than the operator's idle time a connection is kept, so that a request which is
/// under way when the time ends still meets an open connection.
const IDLE_SLACK: Duration = Duration::from_secs(1);
/// A peer that is silent for this long is probed.
const PEER_PROBE: Duration = Duration::from_secs(5);
/// How long a peer's answer to a probe is waited for.
const PEER_PROBE_TIMEOUT: Duration = Duration::from_secs(2);

/// Accepts connections for ever and hands each to `serve`.
async fn accept(listener: TcpListener, serve: impl Fn(TcpStream, SocketAddr)) {
    loop {
        match listener.accept().await {
            Ok((stream, from)) => match net::set_socket_options(&stream) {
                Ok(()) => serve(stream, from),
                Err(error) => log::debug!("a connection from {from} was gone at once: {error}"),
            },
            Err(error) => {
                log::warn!("accepting a connection: {error}");
                metrics::counter!("jayreach_accepts_failed_total").increment(1);
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Serves HTTP/1.1 for ever. A caller that leaves ends its handler.
pub(super) async fn http1<F, A>(listener: TcpListener, limits: impl Fn() -> RequestLimits + 'static, handle: F)
where
    F: Fn(Request<Incoming>) -> A + 'static,
    A: Future<Output = FullResponse> + 'static,
{
    let handle = Rc::new(handle);
    accept(listener, move |stream, from| {
        let handle = Rc::clone(&handle);
        let limits = limits();
        let (stream, heads) = HeaderTimeoutStream::new(stream, limits.head_time);
        let service = service_fn(move |req| {
            let serving = heads.serving();
            let answer = handle(req);
            async move {
                let answer = answer.await;
                drop(serving);
                Ok::<_, Infallible>(answer)
            }
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(limits.idle_time + IDLE_SLACK)
            .max_buf_size(limits.head_bytes.max(LEAST_HEAD))
            .serve_connection(TokioIo::new(stream), service);
        spawn_local(async move {
            if let Err(error) = connection.await {
                log::debug!("a connection from {from} ended: {error}");
                metrics::counter!("jayreach_connections_broken_total").increment(1);
            }
        });
    })
    .await;
}

/// Serves HTTP/2 for ever, for other proxies.
pub(super) async fn http2<F, A>(listener: TcpListener, handle: F)
where
    F: Fn(Request<Incoming>) -> A + 'static,
    A: Future<Output = FullResponse> + 'static,
{
    let handle = Rc::new(handle);
    accept(listener, move |stream, from| {
        let handle = Rc::clone(&handle);
        let service = service_fn(move |req| {
            let answer = handle(req);
            async move { Ok::<_, Infallible>(answer.await) }
        });
        let connection = http2::Builder::new(LocalExecutor)
            .timer(TokioTimer::new())
            .keep_alive_interval(PEER_PROBE)
            .keep_alive_timeout(PEER_PROBE_TIMEOUT)
            // Thirty bytes that nobody reads.
            .auto_date_header(false)
            .serve_connection(TokioIo::new(stream), service);
        spawn_local(async move {
            if let Err(error) = connection.await {
                log::debug!("a peer's connection from {from} ended: {error}");
            }
        });
    })
    .await;
}

/// An answer of our own.
pub(super) fn response(status: StatusCode, body: impl Into<Bytes>) -> FullResponse {
    let mut resp = Response::new(Full::new(body.into()));
    *resp.status_mut() = status;
    resp
}

/// An answer of our own with JSON.
pub(super) fn json_response(status: StatusCode, body: impl Into<Bytes>) -> FullResponse {
    let mut resp = response(status, body);
    resp.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    resp
}

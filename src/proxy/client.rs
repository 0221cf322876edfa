//! Plain HTTP/1.1 connections that this process opens: to the store, and to the VM's endpoint.

use std::{io, net::SocketAddr, time::Duration};

use http_body_util::{BodyExt as _, Full, LengthLimitError, Limited};
use hyper::{
    Method, Request, Response,
    body::{Bytes, Incoming},
    client::conn::http1::{self, SendRequest},
    header::{CONTENT_TYPE, HOST},
};
use hyper_util::rt::TokioIo;
use thiserror::Error;
use tokio::time::timeout;

use crate::proxy::net::{self, AbortOnDropTask};

/// The longest answer that is taken in, in bytes; it is held whole until it is passed on.
pub(super) const MAX_RESPONSE_BYTES: usize = 64 << 20;
/// How long a connection may take to open: one lost packet costs a second.
pub(super) const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Why a call brought no whole answer.
#[derive(Debug, Error)]
pub enum CallError {
    /// No connection; nothing was sent.
    #[error("no connection: {0}")]
    NotConnected(io::Error),
    /// The connection broke, or what came is not an answer.
    #[error("broken: {0}")]
    Broken(#[from] hyper::Error),
    /// The answer's body broke off or is too long.
    #[error("the answer's body: {0}")]
    Body(Box<dyn std::error::Error + Send + Sync>),
    /// No answer in time.
    #[error("no answer in time")]
    TimedOut,
}

/// An open connection with its task, which ends with it.
#[derive(Debug)]
pub(super) struct Connection {
    pub(super) sender: SendRequest<Full<Bytes>>,
    _task: AbortOnDropTask,
}

impl Connection {
    /// Connects to `address`.
    pub(super) async fn open(address: SocketAddr) -> Result<Self, CallError> {
        let stream = net::connect(address, CONNECT_TIMEOUT).await.map_err(CallError::NotConnected)?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
        let task = AbortOnDropTask::spawn(async move {
            if let Err(error) = connection.await {
                // The caller of the broken request hears of it; an idle connection's end harms no one.
                log::debug!("a connection to {address} ended: {error}");
            }
        });
        Ok(Self { sender, _task: task })
    }
}

/// Takes in a whole body.
pub(super) async fn collect_body(body: Incoming, limit: usize) -> Result<Bytes, CallError> {
    Limited::new(body, limit).collect().await.map(|it| it.to_bytes()).map_err(CallError::Body)
}

/// Whether a body was refused for its length.
pub(super) fn is_body_too_long(error: &CallError) -> bool {
    matches!(error, CallError::Body(it) if it.is::<LengthLimitError>())
}

/// Makes one call on a connection of its own, so that a silent one harms no other call.
pub(crate) async fn call(
    address: SocketAddr,
    method: Method,
    path: &str,
    body: Bytes,
    limit: Duration,
) -> Result<Response<Bytes>, CallError> {
    let exchange = async {
        let mut connection = Connection::open(address).await?;
        let mut req = Request::new(Full::new(body));
        *req.method_mut() = method;
        *req.uri_mut() = path.parse().expect("a path of our own is one");
        let host = address.to_string().parse().expect("an address is a header value");
        req.headers_mut().insert(HOST, host);
        req.headers_mut().insert(CONTENT_TYPE, "application/json".parse().expect("a constant is a header value"));
        let resp = connection.sender.send_request(req).await?;
        let (head, body) = resp.into_parts();
        Ok(Response::from_parts(head, collect_body(body, MAX_RESPONSE_BYTES).await?))
    };
    timeout(limit, exchange).await.unwrap_or(Err(CallError::TimedOut))
}

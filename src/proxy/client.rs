//! HTTP/1.1 client connections to the store and to the endpoint on this VM.

use std::{io, net::SocketAddr, time::Duration};

use http_body_util::{BodyExt as _, Limited};
use hyper::{
    Method, Request, Response,
    body::{Bytes, Incoming},
    client::conn::{
        TrySendError,
        http1::{self, SendRequest},
    },
    header::{CONTENT_TYPE, HOST},
};
use hyper_util::rt::TokioIo;
use thiserror::Error;
use tokio::time::timeout;

use crate::proxy::{
    body::OutBody,
    interim_limit::{InterimAnswers, InterimLimitedStream},
    net::{self, AbortOnDropTask},
};

/// Maximum size of the body of a response to a request of a caller, in bytes.
pub(super) const MAX_RESPONSE_BYTES: usize = 64 << 20;
/// Timeout for opening a connection; it leaves room for one retransmitted SYN, which takes a second.
pub(super) const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Why a call returned no complete response.
#[derive(Debug, Error)]
pub enum CallError {
    /// The connection could not be opened; nothing was sent.
    #[error("no connection: {0}")]
    NotConnected(io::Error),
    /// The connection broke, or the peer sent something that is not an HTTP response.
    #[error("connection broken: {0}")]
    Broken(#[from] hyper::Error),
    /// The response body was cut off or is too long.
    #[error("reading the response body: {0}")]
    Body(Box<dyn std::error::Error + Send + Sync>),
    /// No complete response arrived before the timeout.
    #[error("no response before the timeout")]
    TimedOut,
}

/// An open connection. Dropping it aborts the task that drives it.
#[derive(Debug)]
pub(super) struct Connection {
    sender: SendRequest<OutBody>,
    interim_answers: InterimAnswers,
    _task: AbortOnDropTask,
}

impl Connection {
    /// Connects to `address` and performs the HTTP handshake.
    pub(super) async fn open(address: SocketAddr) -> Result<Self, CallError> {
        let stream = net::connect(address, CONNECT_TIMEOUT).await.map_err(CallError::NotConnected)?;
        let interim_answers = InterimAnswers::default();
        let stream = InterimLimitedStream::new(stream, interim_answers.clone());
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
        let task = AbortOnDropTask::spawn(async move {
            if let Err(error) = connection.await {
                // A request in flight gets its own error; the end of an idle connection needs no report.
                log::debug!("connection to {address} closed: {error}");
            }
        });
        Ok(Self { sender, interim_answers, _task: task })
    }

    /// Waits until the connection takes a request; returns whether it does.
    pub(super) async fn is_ready(&mut self) -> bool {
        self.sender.ready().await.is_ok()
    }

    /// Whether the connection is closed.
    pub(super) fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Sends a request and waits for the headers of the answer. The error holds the request if nothing was sent.
    pub(super) async fn send(
        &mut self,
        mut req: Request<OutBody>,
    ) -> Result<Response<Incoming>, TrySendError<Request<OutBody>>> {
        self.interim_answers.count(&mut req);
        self.sender.try_send_request(req).await
    }
}

/// Reads a body of at most `limit` bytes.
pub(super) async fn collect_body(body: Incoming, limit: usize) -> Result<Bytes, CallError> {
    Limited::new(body, limit).collect().await.map(|it| it.to_bytes()).map_err(CallError::Body)
}

/// Makes one call on a new connection, so that a stalled connection affects no other call.
///
/// `limit` bounds the whole call, from connecting to the end of the response body, which may have `max_body` bytes.
pub(crate) async fn call(
    address: SocketAddr,
    method: Method,
    path: &str,
    body: Bytes,
    limit: Duration,
    max_body: usize,
) -> Result<Response<Bytes>, CallError> {
    let exchange = async {
        let mut connection = Connection::open(address).await?;
        let mut req = Request::new(OutBody::from(body));
        *req.method_mut() = method;
        *req.uri_mut() = path.parse().expect("paths of this process's own calls are valid");
        let host = address.to_string().parse().expect("a socket address is a valid header value");
        req.headers_mut().insert(HOST, host);
        req.headers_mut()
            .insert(CONTENT_TYPE, "application/json".parse().expect("the content type is a valid header value"));
        let resp = connection.send(req).await.map_err(TrySendError::into_error)?;
        let (head, body) = resp.into_parts();
        Ok(Response::from_parts(head, collect_body(body, max_body).await?))
    };
    timeout(limit, exchange).await.unwrap_or(Err(CallError::TimedOut))
}

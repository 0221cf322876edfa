//! Header timeout on connections of callers: a header section that takes too long to arrive gets status 408.
//!
//! The time runs from the first byte of the header section, so idle keep-alive connections are not affected. The stream
//! also notices when a response has been written.

use std::{
    cell::{Cell, RefCell},
    io,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll, ready},
    time::Duration,
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    time::{Instant, Sleep, sleep_until},
};

use crate::proxy::open_work::OpenExchange;

/// Response to a header section that took too long. No part of the request has been forwarded.
const REQUEST_TIMEOUT: &[u8] = b"HTTP/1.1 408 Request Timeout\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";

/// State of a caller's connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// No request is in progress.
    Idle,
    /// A header section has begun to arrive.
    Headers,
    /// The header section is complete, and the response isn't yet in the connection's write buffer.
    Serving,
}

#[derive(Debug)]
struct ConnectionState {
    phase: Cell<Phase>,
    /// Exchanges whose responses are in the connection's write buffer.
    unwritten: RefCell<Vec<OpenExchange>>,
}

/// Handle with which the HTTP service marks the beginning and the end of a request on its connection.
#[derive(Debug, Clone)]
pub(super) struct RequestPhase(Rc<ConnectionState>);

impl RequestPhase {
    /// Marks a request as being served until the returned value is dropped. Its exchange is open until the response is
    /// written.
    pub(super) fn serving(&self, exchange: OpenExchange) -> ServedRequest {
        self.0.phase.set(Phase::Serving);
        ServedRequest { connection: Rc::clone(&self.0), exchange: Some(exchange) }
    }
}

/// A request that is being served. Dropping it marks the connection as idle.
#[derive(Debug)]
pub(super) struct ServedRequest {
    connection: Rc<ConnectionState>,
    exchange: Option<OpenExchange>,
}

impl Drop for ServedRequest {
    fn drop(&mut self) {
        self.connection.phase.set(Phase::Idle);
        self.connection.unwritten.borrow_mut().extend(self.exchange.take());
    }
}

/// A caller's connection that enforces the header timeout.
pub(super) struct HeaderTimeoutStream {
    stream: TcpStream,
    limit: Duration,
    connection: Rc<ConnectionState>,
    /// Fires when the header section must be complete; valid in `Phase::Headers` only.
    timer: Pin<Box<Sleep>>,
}

impl HeaderTimeoutStream {
    /// Wraps `stream`; each header section may take `limit` from its first byte.
    pub(super) fn new(stream: TcpStream, limit: Duration) -> (Self, RequestPhase) {
        let connection = Rc::new(ConnectionState { phase: Cell::new(Phase::Idle), unwritten: RefCell::default() });
        let timer = Box::pin(sleep_until(Instant::now()));
        (Self { stream, limit, connection: Rc::clone(&connection), timer }, RequestPhase(connection))
    }
}

impl AsyncRead for HeaderTimeoutStream {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let filled_before = buf.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(cx, buf)?;
        if read.is_ready() {
            if self.connection.phase.get() == Phase::Idle && buf.filled().len() > filled_before {
                self.connection.phase.set(Phase::Headers);
                let deadline = Instant::now() + self.limit;
                self.timer.as_mut().reset(deadline);
            }
            return Poll::Ready(Ok(()));
        }
        if self.connection.phase.get() == Phase::Headers {
            ready!(self.timer.as_mut().poll(cx));
            // The connection is closed whether or not the response could be written.
            _ = Pin::new(&mut self.stream).poll_write(cx, REQUEST_TIMEOUT);
            return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
        }
        Poll::Pending
    }
}

impl AsyncWrite for HeaderTimeoutStream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    /// `hyper` calls this once its write buffer is empty, so all responses in it are written then.
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let flushed = Pin::new(&mut self.stream).poll_flush(cx);
        if matches!(flushed, Poll::Ready(Ok(()))) {
            self.connection.unwritten.borrow_mut().clear();
        }
        flushed
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}

//! How long a request's head may take: a caller that is slower is told so, and an idle connection is not
//! held to it.

use std::{
    cell::Cell,
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

/// The answer to a head that took too long. Nothing of the request was passed on.
const TOO_SLOW: &[u8] = b"HTTP/1.1 408 Request Timeout\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";

/// What a connection of a caller is at.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// No request is under way.
    Idle,
    /// A head has begun to arrive.
    Head,
    /// A request's head is whole, and its answer is not made yet.
    Serving,
}

/// Tells a connection when its requests begin and end.
#[derive(Debug, Clone)]
pub(super) struct RequestPhase(Rc<Cell<Phase>>);

impl RequestPhase {
    /// A request's head is whole; the request ends when the result is dropped.
    pub(super) fn serving(&self) -> Serving {
        self.0.set(Phase::Serving);
        Serving(self.clone())
    }
}

/// A request that is being served.
pub(super) struct Serving(RequestPhase);

impl Drop for Serving {
    fn drop(&mut self) {
        self.0.0.set(Phase::Idle);
    }
}

/// A caller's connection that watches how long heads take.
pub(super) struct HeaderTimeoutStream {
    stream: TcpStream,
    limit: Duration,
    phase: Rc<Cell<Phase>>,
    /// When the head must be whole; means something in `Phase::Head` only.
    overdue: Pin<Box<Sleep>>,
}

impl HeaderTimeoutStream {
    /// Each head may take `limit` from its first byte.
    pub(super) fn new(stream: TcpStream, limit: Duration) -> (Self, RequestPhase) {
        let phase = Rc::new(Cell::new(Phase::Idle));
        let overdue = Box::pin(sleep_until(Instant::now()));
        (Self { stream, limit, phase: Rc::clone(&phase), overdue }, RequestPhase(phase))
    }
}

impl AsyncRead for HeaderTimeoutStream {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let filled = buf.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(cx, buf)?;
        if read.is_ready() {
            if self.phase.get() == Phase::Idle && buf.filled().len() > filled {
                self.phase.set(Phase::Head);
                let until = Instant::now() + self.limit;
                self.overdue.as_mut().reset(until);
            }
            return Poll::Ready(Ok(()));
        }
        if self.phase.get() == Phase::Head {
            ready!(self.overdue.as_mut().poll(cx));
            // The connection ends either way; a caller that doesn't read sees only that.
            _ = Pin::new(&mut self.stream).poll_write(cx, TOO_SLOW);
            return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
        }
        Poll::Pending
    }
}

impl AsyncWrite for HeaderTimeoutStream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
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

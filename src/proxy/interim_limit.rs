//! Limits the interim answers (status 1xx) before an answer. `hyper` reads and drops them as long as they come, which a
//! server in trouble may send without end, faster than anything else on this thread gets its turn.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    task::{Context, Poll},
};

use hyper::{Request, ext::on_informational};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// The most interim answers before an answer; after more, reading from the connection fails.
const MAX_INTERIM_ANSWERS: u32 = 16;

/// Counts the interim answers to the request in flight on a connection.
#[derive(Debug, Clone, Default)]
pub(super) struct InterimAnswers(Arc<AtomicU32>);

impl InterimAnswers {
    /// Counts those to `req` from zero.
    pub(super) fn count<B>(&self, req: &mut Request<B>) {
        self.0.store(0, Ordering::Relaxed);
        let count = Arc::clone(&self.0);
        on_informational(req, move |_| _ = count.fetch_add(1, Ordering::Relaxed));
    }

    fn are_too_many(&self) -> bool {
        self.0.load(Ordering::Relaxed) > MAX_INTERIM_ANSWERS
    }
}

/// A connection to a server that fails once there are too many interim answers.
#[derive(Debug)]
pub(super) struct InterimLimitedStream {
    stream: TcpStream,
    answers: InterimAnswers,
}

impl InterimLimitedStream {
    pub(super) fn new(stream: TcpStream, answers: InterimAnswers) -> Self {
        Self { stream, answers }
    }
}

impl AsyncRead for InterimLimitedStream {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        if self.answers.are_too_many() {
            return Poll::Ready(Err(io::Error::other("too many interim answers")));
        }
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for InterimLimitedStream {
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

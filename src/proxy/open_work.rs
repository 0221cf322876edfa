//! Counts what a stopping proxy must not cut off: requests of callers, and responses until they are written.

use std::{
    cell::Cell,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
};

use hyper::body::{Body, Bytes, Frame, SizeHint};

use crate::proxy::body::{BoxError, OutBody};

/// The number of exchanges that have begun and not ended; clones share it.
#[derive(Debug, Clone, Default)]
pub(super) struct OpenExchanges(Rc<Cell<usize>>);

impl OpenExchanges {
    pub(super) fn count(&self) -> usize {
        self.0.get()
    }

    /// Counts an exchange until the returned value is dropped.
    pub(super) fn begin(&self) -> OpenExchange {
        self.0.set(self.0.get() + 1);
        OpenExchange(self.clone())
    }
}

/// An exchange that counts as open until this is dropped.
#[derive(Debug)]
pub(super) struct OpenExchange(OpenExchanges);

impl Drop for OpenExchange {
    fn drop(&mut self) {
        self.0.0.set(self.0.0.get() - 1);
    }
}

/// The body of a response, which drops `T` when it has been passed to its connection or the connection has ended.
#[derive(Debug)]
pub(super) struct ResponseBody<T> {
    body: OutBody,
    _exchange: T,
}

impl<T> ResponseBody<T> {
    pub(super) fn new(body: OutBody, exchange: T) -> Self {
        Self { body, _exchange: exchange }
    }
}

impl<T: Unpin> Body for ResponseBody<T> {
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

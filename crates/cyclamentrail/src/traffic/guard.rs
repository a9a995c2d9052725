//! An answer's body that holds its slot until the whole answer has passed.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::Bytes;
use cyclamentrail_core::TryResult;
use http_body::{Body, Frame, SizeHint};
use hyper::body::Incoming;

use super::slot::Slot;
use crate::view::SharedView;

/// Body of an answer on its way to the caller.
#[derive(Debug)]
pub(crate) struct GuardedBody {
    inner: Incoming,
    held: Option<Slot>,
    result: TryResult,
    shared: Arc<SharedView>,
}

impl GuardedBody {
    /// Creates a body that frees the slot and keeps the connection once it is whole.
    ///
    /// `result` tells what a whole answer says about the server.
    pub(crate) fn new(
        inner: Incoming,
        slot: Slot,
        result: TryResult,
        shared: Arc<SharedView>,
    ) -> Self {
        let mut body = Self {
            inner,
            held: Some(slot),
            result,
            shared,
        };
        if body.inner.is_end_stream() {
            body.release();
        }
        body
    }

    fn release(&mut self) {
        match self.held.take() {
            Some(slot) if self.result == TryResult::Served => slot.finish(&self.shared),
            Some(slot) => slot.fail(self.result, &self.shared),
            None => {}
        }
    }

    fn cut(&mut self) {
        if let Some(slot) = self.held.take() {
            slot.fail(TryResult::Broken, &self.shared);
        }
    }
}

impl Body for GuardedBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let this = self.get_mut();
        let polled = Pin::new(&mut this.inner).poll_frame(cx);
        match &polled {
            Poll::Ready(None) => this.release(),
            Poll::Ready(Some(Err(_))) => this.cut(),
            Poll::Ready(Some(Ok(_))) if this.inner.is_end_stream() => this.release(),
            _ => {}
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}

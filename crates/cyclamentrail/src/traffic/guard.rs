//! An answer's body that holds its slot until the whole answer has passed.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use hyper::body::Incoming;

use super::link::{Sender, Slot};

/// Body of an answer on its way to the caller.
#[derive(Debug)]
pub(crate) struct GuardedBody {
    inner: Incoming,
    held: Option<(Slot, Sender)>,
}

impl GuardedBody {
    /// Creates a body that frees the slot and keeps the connection once it is whole.
    pub(crate) fn new(inner: Incoming, slot: Slot, sender: Sender) -> Self {
        let mut body = Self {
            inner,
            held: Some((slot, sender)),
        };
        if body.inner.is_end_stream() {
            body.release();
        }
        body
    }

    fn release(&mut self) {
        if let Some((slot, sender)) = self.held.take() {
            slot.link().keep(sender);
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
            Poll::Ready(Some(Err(_))) => this.held = None,
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

//! A response body that holds its slot until the complete response has been forwarded.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use cyclamentrail_core::AttemptResult;
use http_body::{Body, Frame, SizeHint};
use hyper::StatusCode;
use hyper::body::Incoming;
use thiserror::Error;
use tokio::time::{Instant, Sleep};

use super::dispatch::is_server_error;
use super::recorder::ResponseRecorder;
use super::slot::Slot;

/// Reason why a response body is truncated. The caller sees an aborted transfer.
#[derive(Debug, Error)]
pub(crate) enum Truncation {
    /// The backend server ended the response early.
    #[error("the backend server ended its response early: {0}")]
    ByServer(#[from] hyper::Error),
    /// The request's deadline passed before the response was complete.
    #[error("the deadline passed before the response was complete")]
    Deadline,
    /// The task that receives the response ended early.
    #[error("the entry stopped receiving the response before its end")]
    Unfinished,
}

/// The slot of a response that is being forwarded; dropping it frees the slot and closes the
/// connection.
#[derive(Debug)]
pub(crate) struct HeldSlot {
    slot: Slot,
    status: StatusCode,
}

impl HeldSlot {
    /// Holds a slot with its connection for a response with this status.
    pub(crate) const fn new(slot: Slot, status: StatusCode) -> Self {
        Self { slot, status }
    }

    /// Records a complete response; the connection is reused.
    pub(crate) fn finish(self) {
        if is_server_error(self.status) {
            self.slot.fail(AttemptResult::ServerError);
        } else {
            self.slot.finish();
        }
    }

    /// Records a response that the server truncated; the connection is closed.
    pub(crate) fn fail(self) {
        self.count_truncation();
        self.slot.fail(AttemptResult::Broken);
    }

    /// Ends a response that this entry cut off, such as at the deadline; the connection is closed and
    /// no failure is recorded for the server.
    pub(crate) fn abort(self) {
        self.count_truncation();
        drop(self);
    }

    fn count_truncation(&self) {
        metrics::counter!("answers_cut_total").increment(1);
        log::warn!(instance:% = self.slot.link().instance(); "answer_cut");
    }
}

/// Body of a response that is being forwarded to the caller.
#[derive(Debug)]
pub(crate) struct GuardedBody {
    inner: Incoming,
    held: Option<HeldSlot>,
    recorder: Option<ResponseRecorder>,
    deadline: Pin<Box<Sleep>>,
}

impl GuardedBody {
    /// Creates a body that frees the slot and reuses the connection once it is complete, and that
    /// fails at the deadline.
    pub(crate) fn new(inner: Incoming, held: HeldSlot, deadline: Instant) -> Self {
        let mut body = Self {
            inner,
            held: Some(held),
            recorder: None,
            deadline: Box::pin(tokio::time::sleep_until(deadline)),
        };
        if body.inner.is_end_stream() {
            body.finish();
        }
        body
    }

    /// Records the response with `recorder` while it is forwarded.
    pub(crate) fn with_recorder(mut self, recorder: ResponseRecorder) -> Self {
        self.recorder = Some(recorder);
        self
    }

    fn finish(&mut self) {
        if let Some(held) = self.held.take() {
            held.finish();
        }
        if let Some(recorder) = self.recorder.take() {
            recorder.finish();
        }
    }

    fn truncate(&mut self, error: Truncation) -> Poll<Option<Result<Frame<Bytes>, Truncation>>> {
        match (self.held.take(), &error) {
            (Some(held), Truncation::ByServer(_)) => held.fail(),
            (Some(held), Truncation::Deadline | Truncation::Unfinished) => held.abort(),
            (None, _) => {}
        }
        drop(self.recorder.take());
        Poll::Ready(Some(Err(error)))
    }
}

impl Body for GuardedBody {
    type Data = Bytes;
    type Error = Truncation;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Truncation>>> {
        let this = self.get_mut();
        match Pin::new(&mut this.inner).poll_frame(cx) {
            Poll::Ready(None) => {
                this.finish();
                Poll::Ready(None)
            }
            Poll::Ready(Some(Err(error))) => this.truncate(error.into()),
            Poll::Ready(Some(Ok(frame))) => {
                if let (Some(recorder), Some(data)) = (&mut this.recorder, frame.data_ref()) {
                    recorder.append(data);
                }
                if this.inner.is_end_stream() {
                    this.finish();
                }
                Poll::Ready(Some(Ok(frame)))
            }
            Poll::Pending => match this.deadline.as_mut().poll(cx) {
                Poll::Ready(()) => this.truncate(Truncation::Deadline),
                Poll::Pending => Poll::Pending,
            },
        }
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}

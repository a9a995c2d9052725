//! An answer's body that holds its slot until the whole answer has passed.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use cyclamentrail_core::TryResult;
use http_body::{Body, Frame, SizeHint};
use hyper::StatusCode;
use hyper::body::Incoming;
use thiserror::Error;
use tokio::time::{Instant, Sleep};

use super::dispatch::is_server_error;
use super::recorder::Recorder;
use super::slot::Slot;

/// Why an answer is cut; the caller sees an aborted transfer.
#[derive(Debug, Error)]
pub(crate) enum CutAnswer {
    /// The backend server cut it.
    #[error("the backend server cut its answer: {0}")]
    ByServer(#[from] hyper::Error),
    /// The deadline passed first.
    #[error("the deadline passed before the whole answer came")]
    Deadline,
    /// This process didn't receive it to its end.
    #[error("the answer was not received to its end")]
    Unfinished,
}

/// The slot of an answer on its way; dropping it frees the slot and closes the connection.
#[derive(Debug)]
pub(crate) struct Held {
    slot: Slot,
    status: StatusCode,
}

impl Held {
    /// Holds a slot with its connection for an answer of this status.
    pub(crate) const fn new(slot: Slot, status: StatusCode) -> Self {
        Self { slot, status }
    }

    /// Ends with a whole answer; the connection is kept.
    pub(crate) fn whole(self) {
        if is_server_error(self.status) {
            self.slot.fail(TryResult::ServerError);
        } else {
            self.slot.finish();
        }
    }

    /// Ends with an answer that the server cut; the connection is closed.
    pub(crate) fn cut(self) {
        self.note_cut();
        self.slot.fail(TryResult::Broken);
    }

    /// Ends at the deadline; the connection is closed.
    pub(crate) fn late(self) {
        self.note_cut();
        drop(self);
    }

    fn note_cut(&self) {
        metrics::counter!("answers_cut_total").increment(1);
        log::warn!(instance:% = self.slot.link().instance(); "answer_cut");
    }
}

/// Body of an answer on its way to the caller.
#[derive(Debug)]
pub(crate) struct GuardedBody {
    inner: Incoming,
    held: Option<Held>,
    recorder: Option<Recorder>,
    deadline: Pin<Box<Sleep>>,
}

impl GuardedBody {
    /// Creates a body that frees the slot and keeps the connection once it is whole.
    pub(crate) fn new(inner: Incoming, held: Held, deadline: Instant) -> Self {
        let mut body = Self {
            inner,
            held: Some(held),
            recorder: None,
            deadline: Box::pin(tokio::time::sleep_until(deadline)),
        };
        if body.inner.is_end_stream() {
            body.end();
        }
        body
    }

    /// Records the answer of a key's request as it passes.
    pub(crate) fn recorder(mut self, recorder: Recorder) -> Self {
        self.recorder = Some(recorder);
        self
    }

    fn end(&mut self) {
        if let Some(held) = self.held.take() {
            held.whole();
        }
        if let Some(recorder) = self.recorder.take() {
            recorder.whole();
        }
    }

    fn cut(&mut self, error: CutAnswer) -> Poll<Option<Result<Frame<Bytes>, CutAnswer>>> {
        match (self.held.take(), &error) {
            (Some(held), CutAnswer::ByServer(_)) => held.cut(),
            (Some(held), CutAnswer::Deadline | CutAnswer::Unfinished) => held.late(),
            (None, _) => {}
        }
        drop(self.recorder.take());
        Poll::Ready(Some(Err(error)))
    }
}

impl Body for GuardedBody {
    type Data = Bytes;
    type Error = CutAnswer;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, CutAnswer>>> {
        let this = self.get_mut();
        match Pin::new(&mut this.inner).poll_frame(cx) {
            Poll::Ready(None) => {
                this.end();
                Poll::Ready(None)
            }
            Poll::Ready(Some(Err(error))) => this.cut(error.into()),
            Poll::Ready(Some(Ok(frame))) => {
                if let (Some(recorder), Some(data)) = (&mut this.recorder, frame.data_ref()) {
                    recorder.pass(data);
                }
                if this.inner.is_end_stream() {
                    this.end();
                }
                Poll::Ready(Some(Ok(frame)))
            }
            Poll::Pending => match this.deadline.as_mut().poll(cx) {
                Poll::Ready(()) => this.cut(CutAnswer::Deadline),
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

//! Claims on idempotency keys: messages between traffic and the control thread.

use std::net::SocketAddr;

use cyclamentrail_core::{ClaimOutcome, KeyDigest, RequestDigest};
use tokio::sync::{mpsc, oneshot};

use super::{ControlHandle, ControlMessage, SubmitError};

mod large_responses;
mod run;
mod table;

pub(crate) use run::{RunEnd, RunId, RunPermit};
pub(crate) use table::{ClaimAction, ClaimTable};

/// A message about an idempotency key.
#[derive(Debug)]
pub(crate) enum ClaimMessage {
    /// A caller's request with a key waits for its run or its outcome.
    Request(ClaimRequest),
    /// A granted run has ended.
    End { run: RunId, end: RunEnd },
    /// Requests the outcome of a key's run, with its whole body if this process keeps it.
    Fetch {
        key: KeyDigest,
        reply: oneshot::Sender<Option<ClaimOutcome>>,
    },
}

/// A request for the right to run a caller's request with a key.
#[derive(Debug)]
pub(crate) struct ClaimRequest {
    pub(crate) key: KeyDigest,
    pub(crate) request: RequestDigest,
    pub(crate) control: ControlHandle,
    pub(crate) reply: oneshot::Sender<ClaimReply>,
}

/// Response of the control thread to a [`ClaimRequest`].
#[derive(Debug)]
pub(crate) enum ClaimReply {
    /// The request may be run now, by the holder of this right alone.
    Granted(RunPermit),
    /// The key was claimed for another request.
    OtherRequest,
    /// The run has ended; the body of its response may be kept by the owner alone.
    Ended {
        outcome: ClaimOutcome,
        owner: Option<SocketAddr>,
    },
    /// The process that may have run the request is no longer a member.
    OwnerGone,
    /// The request may be running; repeat the claim request when `changed` is notified.
    Running {
        /// Peer address of the process that may be running the request, `None` for this process.
        owner: Option<SocketAddr>,
        changed: oneshot::Receiver<()>,
    },
    /// A claim was submitted to the log; repeat the claim request when it is folded.
    Submitted(oneshot::Receiver<Result<(), SubmitError>>),
}

impl ControlHandle {
    /// Requests the right to run a caller's request with a key.
    ///
    /// # Errors
    ///
    /// Returns [`SubmitError::Stopping`] when the control thread has ended.
    pub(crate) async fn request_claim(
        &self,
        key: KeyDigest,
        request: RequestDigest,
    ) -> Result<ClaimReply, SubmitError> {
        let (reply, response) = oneshot::channel();
        let claim_request = ClaimRequest {
            key,
            request,
            control: self.clone(),
            reply,
        };
        let message = ClaimMessage::Request(claim_request);
        self.send(ControlMessage::Claim(message)).await;
        response.await.map_err(|_closed| SubmitError::Stopping)
    }

    /// Reports how a granted run ended, without waiting for room in the queue.
    pub(crate) fn end_claim(&self, run: RunId, end: RunEnd) {
        let message = ControlMessage::Claim(ClaimMessage::End { run, end });
        if let Err(mpsc::error::TrySendError::Full(message)) = self.sender.try_send(message) {
            let control = self.clone();
            tokio::spawn(async move { control.send(message).await });
        }
    }

    /// Returns the outcome of a key's run, with its whole body if this process keeps it; `None`
    /// when this process knows no outcome.
    pub(crate) async fn fetch_outcome(&self, key: KeyDigest) -> Option<ClaimOutcome> {
        let (reply, response) = oneshot::channel();
        let message = ClaimMessage::Fetch { key, reply };
        self.send(ControlMessage::Claim(message)).await;
        response.await.unwrap_or_default()
    }
}

//! Claims on idempotency keys: what traffic and control tell each other.

use std::net::SocketAddr;

use cyclamentrail_core::{ClaimOutcome, KeyDigest, RequestDigest};
use tokio::sync::{mpsc, oneshot};

use super::{ControlHandle, ControlMessage, SubmitError};

mod memory;
mod run;
mod table;

pub(crate) use run::{Run, RunEnd, RunId};
pub(crate) use table::{ClaimAction, ClaimTable};

/// A message about an idempotency key.
#[derive(Debug)]
pub(crate) enum ClaimMessage {
    /// A request with the key waits to be run or answered.
    Ask(ClaimQuestion),
    /// A granted run has ended.
    End { run: RunId, end: RunEnd },
    /// The outcome with its whole body is wanted, as far as this process knows it.
    Fetch {
        key: KeyDigest,
        reply: oneshot::Sender<Option<ClaimOutcome>>,
    },
}

/// Asks for the run of a key's request.
#[derive(Debug)]
pub(crate) struct ClaimQuestion {
    pub(crate) key: KeyDigest,
    pub(crate) request: RequestDigest,
    pub(crate) control: ControlHandle,
    pub(crate) reply: oneshot::Sender<ClaimAnswer>,
}

/// What the control thread says to a request with a key.
#[derive(Debug)]
pub(crate) enum ClaimAnswer {
    /// Run it now; nobody else may.
    Granted(Run),
    /// The key belongs to another request.
    OtherRequest,
    /// The run has ended; the answer may be with another process.
    Ended {
        outcome: ClaimOutcome,
        owner: Option<SocketAddr>,
    },
    /// The process that may have run it is gone.
    OwnerGone,
    /// It may be running; ask again when the receiver is told.
    Running {
        /// The other process that may be running it.
        owner: Option<SocketAddr>,
        changed: oneshot::Receiver<()>,
    },
    /// A claim is on its way to the log; ask again when it is folded.
    Submitted(oneshot::Receiver<Result<(), SubmitError>>),
}

impl ControlHandle {
    /// Asks for the run of a key's request.
    ///
    /// # Errors
    ///
    /// Returns [`SubmitError::Stopping`] when the control thread has ended.
    pub(crate) async fn ask_claim(
        &self,
        key: KeyDigest,
        request: RequestDigest,
    ) -> Result<ClaimAnswer, SubmitError> {
        let (reply, answer) = oneshot::channel();
        let question = ClaimQuestion {
            key,
            request,
            control: self.clone(),
            reply,
        };
        let message = ClaimMessage::Ask(question);
        self.send(ControlMessage::Claim(message)).await;
        answer.await.map_err(|_closed| SubmitError::Stopping)
    }

    /// Tells how a granted run ended, without waiting.
    pub(crate) fn end_claim(&self, run: RunId, end: RunEnd) {
        let message = ControlMessage::Claim(ClaimMessage::End { run, end });
        if let Err(mpsc::error::TrySendError::Full(message)) = self.sender.try_send(message) {
            let control = self.clone();
            tokio::spawn(async move { control.send(message).await });
        }
    }

    /// Returns the outcome of a key's run with its whole body, as far as this process knows it.
    pub(crate) async fn fetch_claim(&self, key: KeyDigest) -> Option<ClaimOutcome> {
        let (reply, answer) = oneshot::channel();
        let message = ClaimMessage::Fetch { key, reply };
        self.send(ControlMessage::Claim(message)).await;
        answer.await.unwrap_or_default()
    }
}

//! Control: one thread owns the agreed state and publishes views of it to traffic.

use thiserror::Error;
use tokio::sync::{mpsc, oneshot};

use cyclamentrail_core::{Fleet, RecordBody, RejectionKind, Version};
use cyclamentrail_platform::{InstanceList, ReadAnswer};

mod actor;
mod claims;
mod duty;
mod follower;
mod job_duty;
mod list_poller;
mod platform_client;
mod wave_duty;
mod writer;

pub(crate) use actor::{Actor, Identity};
pub(crate) use claims::{ClaimAnswer, ClaimMessage, Run, RunEnd};
pub(crate) use follower::follow_log;
pub(crate) use list_poller::poll_list;
pub(crate) use platform_client::PlatformClient;
pub(crate) use writer::{WriteFailed, Writer};

/// Messages waiting for the control thread at most.
const QUEUE_LENGTH: usize = 1024;

/// A message to the control thread.
#[derive(Debug)]
pub(crate) enum ControlMessage {
    /// Records came from the log; `asked_ms` is the clock when they were asked for.
    Records { answer: ReadAnswer, asked_ms: u64 },
    /// The platform's list came.
    List(InstanceList),
    /// An operator changes the settings; `presumes` is the version that the change was made on.
    ChangeSettings {
        presumes: Option<Version>,
        patch: serde_json::Value,
        operator: String,
        reply: oneshot::Sender<Result<(), SubmitError>>,
    },
    /// A record is to be appended; the reply tells what the fold made of it.
    Submit {
        body: RecordBody,
        reply: oneshot::Sender<Result<(), SubmitError>>,
    },
    /// Something about an idempotency key.
    Claim(ClaimMessage),
    /// The whole state is asked for.
    Dump(oneshot::Sender<serde_json::Value>),
    /// A copy of the agreed state is asked for.
    Fleet(oneshot::Sender<Box<Fleet>>),
    /// The log took a record, or it can't be told.
    WriteFailed(WriteFailed),
    /// The entry stops: leave the members.
    Leave(oneshot::Sender<Result<(), SubmitError>>),
}

/// Why a submitted record didn't take effect.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub(crate) enum SubmitError {
    /// The fold rejected it.
    #[error("{0}")]
    Rejected(RejectionKind),
    /// The log can't be reached; the record was not appended.
    #[error("the platform's log can't be reached; nothing was changed, try again later")]
    LogDown,
    /// The log's answer was lost; the record may still take effect.
    #[error(
        "the platform's log gave no answer; the change may still come into force, check the state"
    )]
    Uncertain,
    /// The control thread has ended.
    #[error("this entry is stopping; ask another one")]
    Stopping,
}

/// Sends messages to the control thread.
#[derive(Debug, Clone)]
pub(crate) struct ControlHandle {
    sender: mpsc::Sender<ControlMessage>,
}

impl ControlHandle {
    /// Creates the handle and the receiver of its messages.
    pub(crate) fn new() -> (Self, mpsc::Receiver<ControlMessage>) {
        let (sender, receiver) = mpsc::channel(QUEUE_LENGTH);
        (Self { sender }, receiver)
    }

    /// Sends a message; it is dropped when the control thread has ended.
    pub(crate) async fn send(&self, message: ControlMessage) {
        if self.sender.send(message).await.is_err() {
            log::debug!("control_ended");
        }
    }

    /// Changes the settings and waits for the fold.
    ///
    /// # Errors
    ///
    /// Returns why the change isn't in force.
    pub(crate) async fn change_settings(
        &self,
        presumes: Option<Version>,
        patch: serde_json::Value,
        operator: String,
    ) -> Result<(), SubmitError> {
        let (reply, answer) = oneshot::channel();
        let message = ControlMessage::ChangeSettings {
            presumes,
            patch,
            operator,
            reply,
        };
        self.send(message).await;
        answer.await.unwrap_or(Err(SubmitError::Stopping))
    }

    /// Submits a record and waits for the fold.
    ///
    /// # Errors
    ///
    /// Returns why the record didn't take effect.
    pub(crate) async fn submit(&self, body: RecordBody) -> Result<(), SubmitError> {
        let (reply, answer) = oneshot::channel();
        self.send(ControlMessage::Submit { body, reply }).await;
        answer.await.unwrap_or(Err(SubmitError::Stopping))
    }

    /// Returns a copy of the agreed state, as of one moment.
    ///
    /// # Errors
    ///
    /// Returns [`SubmitError::Stopping`] when the control thread has ended.
    pub(crate) async fn fleet(&self) -> Result<Box<Fleet>, SubmitError> {
        let (reply, answer) = oneshot::channel();
        self.send(ControlMessage::Fleet(reply)).await;
        answer.await.map_err(|_closed| SubmitError::Stopping)
    }

    /// Leaves the members in order.
    ///
    /// # Errors
    ///
    /// Returns why the other entries may not know of it.
    pub(crate) async fn leave(&self) -> Result<(), SubmitError> {
        let (reply, answer) = oneshot::channel();
        self.send(ControlMessage::Leave(reply)).await;
        answer.await.unwrap_or(Err(SubmitError::Stopping))
    }

    /// Returns the whole state, as of one moment.
    pub(crate) async fn dump(&self) -> serde_json::Value {
        let (reply, answer) = oneshot::channel();
        self.send(ControlMessage::Dump(reply)).await;
        answer.await.unwrap_or_default()
    }
}

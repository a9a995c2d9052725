//! Messages to the control thread, and the handle that sends them.

use cyclamentrail_core::{
    Fleet, Heartbeat, Incarnation, Offset, RecordBody, RejectionKind, Version,
};
use cyclamentrail_platform::{InstanceList, ReadAnswer};
use thiserror::Error;
use tokio::sync::{mpsc, oneshot};

use super::claims::ClaimMessage;
use super::in_force::InForce;
use super::log_health::LogHealth;
use super::writer::WriteFailed;

/// Messages waiting for the control thread at most.
const QUEUE_LENGTH: usize = 1024;

/// A message to the control thread.
#[derive(Debug)]
pub(crate) enum ControlMessage {
    /// Records came from the log; `asked_ms` is the clock when they were asked for.
    Records { answer: ReadAnswer, asked_ms: u64 },
    /// A snapshot of the agreed state came from the log or from a peer.
    Snapshot {
        fleet: Box<Fleet>,
        reply: oneshot::Sender<()>,
    },
    /// This process tried to write a snapshot; the offset of the first record that it doesn't
    /// cover, if it was written.
    SnapshotWritten(Option<Offset>),
    /// The platform's list came.
    List(InstanceList),
    /// The platform's list is still the one that came last.
    ListUnchanged,
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
    /// It is asked where the settings are in force.
    InForce(oneshot::Sender<InForce>),
    /// A peer sent a heartbeat and waits for the answer.
    Heartbeat {
        heartbeat: Box<Heartbeat>,
        reply: oneshot::Sender<Heartbeat>,
    },
    /// A peer answered a heartbeat; `None` when there was no answer.
    HeartbeatAnswered {
        peer: Incarnation,
        answer: Option<Box<Heartbeat>>,
    },
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
    pub(super) sender: mpsc::Sender<ControlMessage>,
    health: LogHealth,
}

impl ControlHandle {
    /// Creates the handle and the receiver of its messages.
    pub(crate) fn new() -> (Self, mpsc::Receiver<ControlMessage>) {
        let (sender, receiver) = mpsc::channel(QUEUE_LENGTH);
        let health = LogHealth::default();
        (Self { sender, health }, receiver)
    }

    /// Returns whether the log can be reached, shared by all parts of the process.
    pub(crate) const fn health(&self) -> &LogHealth {
        &self.health
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

    /// Hands in a snapshot and waits until it was taken over or found too old.
    pub(crate) async fn take_snapshot(&self, fleet: Box<Fleet>) {
        let (reply, answer) = oneshot::channel();
        self.send(ControlMessage::Snapshot { fleet, reply }).await;
        if answer.await.is_err() {
            log::debug!("control_ended");
        }
    }

    /// Returns which entries have the settings in force.
    ///
    /// # Errors
    ///
    /// Returns [`SubmitError::Stopping`] when the control thread has ended.
    pub(crate) async fn in_force(&self) -> Result<InForce, SubmitError> {
        let (reply, answer) = oneshot::channel();
        self.send(ControlMessage::InForce(reply)).await;
        answer.await.map_err(|_closed| SubmitError::Stopping)
    }

    /// Hands in a peer's heartbeat and returns the answer to it.
    ///
    /// # Errors
    ///
    /// Returns [`SubmitError::Stopping`] when the control thread has ended.
    pub(crate) async fn heartbeat(
        &self,
        heartbeat: Box<Heartbeat>,
    ) -> Result<Heartbeat, SubmitError> {
        let (reply, answer) = oneshot::channel();
        self.send(ControlMessage::Heartbeat { heartbeat, reply })
            .await;
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

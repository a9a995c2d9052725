//! Messages to the control thread and the handle that sends them.

use cyclamentrail_core::{
    Fleet, Heartbeat, Incarnation, Offset, RecordBody, RejectionKind, Version,
};
use cyclamentrail_platform::{InstanceList, ReadResponse};
use thiserror::Error;
use tokio::sync::{mpsc, oneshot};

use super::claims::ClaimMessage;
use super::log_health::LogHealth;
use super::settings_status::SettingsStatus;
use super::writer::WriteFailure;

/// Capacity of the control thread's message queue; senders wait when it is full.
const QUEUE_LENGTH: usize = 1024;

/// A message to the control thread.
#[derive(Debug)]
pub(crate) enum ControlMessage {
    /// Records read from the log; `requested_ms` is the clock when the read was sent.
    Records {
        response: ReadResponse,
        requested_ms: u64,
    },
    /// A snapshot of the agreed state, from the log or from a peer, to be adopted if it is newer.
    AdoptSnapshot {
        fleet: Box<Fleet>,
        reply: oneshot::Sender<()>,
    },
    /// Result of writing a snapshot: the offset of the first record that it doesn't cover, or
    /// `None` when it wasn't written.
    SnapshotResult(Option<Offset>),
    /// The platform's instance list was read.
    List(InstanceList),
    /// The platform's instance list is the same as at the last read.
    ListUnchanged,
    /// An operator's change of the settings; `presumes` is the version that it was made on, `None`
    /// for the version in force.
    ChangeSettings {
        presumes: Option<Version>,
        patch: serde_json::Value,
        operator: String,
        reply: oneshot::Sender<Result<(), SubmitError>>,
    },
    /// A record to append; the reply is the result of folding it.
    Submit {
        body: RecordBody,
        reply: oneshot::Sender<Result<(), SubmitError>>,
    },
    /// A message about an idempotency key.
    Claim(ClaimMessage),
    /// Requests the state dump.
    Dump(oneshot::Sender<serde_json::Value>),
    /// Requests a copy of the agreed state.
    Fleet(oneshot::Sender<Box<Fleet>>),
    /// Requests the settings version in force on each member.
    SettingsStatus(oneshot::Sender<SettingsStatus>),
    /// A heartbeat from a peer that waits for the response.
    Heartbeat {
        heartbeat: Box<Heartbeat>,
        reply: oneshot::Sender<Heartbeat>,
    },
    /// Response of a peer to a heartbeat; `None` when there was none.
    HeartbeatResult {
        peer: Incarnation,
        response: Option<Box<Heartbeat>>,
    },
    /// Records that the writer gave up.
    WriteFailed(WriteFailure),
    /// Leave the members, because the entry is stopping.
    Leave(oneshot::Sender<Result<(), SubmitError>>),
}

/// Why a submitted record didn't take effect.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub(crate) enum SubmitError {
    /// The fold rejected the record.
    #[error("{0}")]
    Rejected(RejectionKind),
    /// The log can't be reached, or the record can't be encoded or queued; it was not appended.
    #[error("the platform's log can't be reached; nothing was changed, try again later")]
    LogDown,
    /// The log's response was lost or the record wasn't folded in time; it may still take effect.
    #[error(
        "the platform's log gave no answer; the change may still come into force, check the state"
    )]
    Uncertain,
    /// The control thread has ended.
    #[error("this entry is stopping; ask another one")]
    Stopping,
}

/// Handle that sends messages to the control thread; clones share its queue.
#[derive(Debug, Clone)]
pub(crate) struct ControlHandle {
    pub(super) sender: mpsc::Sender<ControlMessage>,
    health: LogHealth,
}

impl ControlHandle {
    /// Creates a handle and the receiver of its messages.
    pub(crate) fn new() -> (Self, mpsc::Receiver<ControlMessage>) {
        let (sender, receiver) = mpsc::channel(QUEUE_LENGTH);
        let health = LogHealth::default();
        (Self { sender, health }, receiver)
    }

    /// Returns the reachability of the log, shared by all parts of the process.
    pub(crate) const fn health(&self) -> &LogHealth {
        &self.health
    }

    /// Sends a message, waiting for room in the queue; the message is dropped when the control
    /// thread has ended.
    pub(crate) async fn send(&self, message: ControlMessage) {
        if self.sender.send(message).await.is_err() {
            log::debug!("control_ended");
        }
    }

    /// Submits a change of the settings and waits until it is folded.
    ///
    /// # Errors
    ///
    /// Returns why the change didn't come into force.
    pub(crate) async fn change_settings(
        &self,
        presumes: Option<Version>,
        patch: serde_json::Value,
        operator: String,
    ) -> Result<(), SubmitError> {
        let (reply, response) = oneshot::channel();
        let message = ControlMessage::ChangeSettings {
            presumes,
            patch,
            operator,
            reply,
        };
        self.send(message).await;
        response.await.unwrap_or(Err(SubmitError::Stopping))
    }

    /// Submits a record and waits until it is folded.
    ///
    /// # Errors
    ///
    /// Returns why the record didn't take effect.
    pub(crate) async fn submit(&self, body: RecordBody) -> Result<(), SubmitError> {
        let (reply, response) = oneshot::channel();
        self.send(ControlMessage::Submit { body, reply }).await;
        response.await.unwrap_or(Err(SubmitError::Stopping))
    }

    /// Returns a copy of the agreed state, as of one moment.
    ///
    /// # Errors
    ///
    /// Returns [`SubmitError::Stopping`] when the control thread has ended.
    pub(crate) async fn fleet(&self) -> Result<Box<Fleet>, SubmitError> {
        let (reply, response) = oneshot::channel();
        self.send(ControlMessage::Fleet(reply)).await;
        response.await.map_err(|_closed| SubmitError::Stopping)
    }

    /// Offers a snapshot and waits until the control thread adopted it or found it too old.
    pub(crate) async fn adopt_snapshot(&self, fleet: Box<Fleet>) {
        let (reply, response) = oneshot::channel();
        self.send(ControlMessage::AdoptSnapshot { fleet, reply })
            .await;
        if response.await.is_err() {
            log::debug!("control_ended");
        }
    }

    /// Returns the settings version in force on each member.
    ///
    /// # Errors
    ///
    /// Returns [`SubmitError::Stopping`] when the control thread has ended.
    pub(crate) async fn settings_status(&self) -> Result<SettingsStatus, SubmitError> {
        let (reply, response) = oneshot::channel();
        self.send(ControlMessage::SettingsStatus(reply)).await;
        response.await.map_err(|_closed| SubmitError::Stopping)
    }

    /// Passes on a peer's heartbeat and returns the response.
    ///
    /// # Errors
    ///
    /// Returns [`SubmitError::Stopping`] when the control thread has ended.
    pub(crate) async fn heartbeat(
        &self,
        heartbeat: Box<Heartbeat>,
    ) -> Result<Heartbeat, SubmitError> {
        let (reply, response) = oneshot::channel();
        self.send(ControlMessage::Heartbeat { heartbeat, reply })
            .await;
        response.await.map_err(|_closed| SubmitError::Stopping)
    }

    /// Submits this process's leave record and waits until it is folded.
    ///
    /// # Errors
    ///
    /// Returns why the record didn't take effect; the other entries may still count this process
    /// as a member.
    pub(crate) async fn leave(&self) -> Result<(), SubmitError> {
        let (reply, response) = oneshot::channel();
        self.send(ControlMessage::Leave(reply)).await;
        response.await.unwrap_or(Err(SubmitError::Stopping))
    }

    /// Returns the state dump, `null` when the control thread has ended.
    pub(crate) async fn dump(&self) -> serde_json::Value {
        let (reply, response) = oneshot::channel();
        self.send(ControlMessage::Dump(reply)).await;
        response.await.unwrap_or_default()
    }
}

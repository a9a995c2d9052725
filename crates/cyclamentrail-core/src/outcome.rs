//! What a caller is told about a request.

use serde::{Deserialize, Serialize};

/// How a request ended. Each request ends in exactly one of these.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The backend server's whole answer was passed on.
    Answered,
    /// No byte of the request can have been acted on.
    NotRun(NotRunReason),
    /// The request may have run; it isn't sent again by the entry.
    Unknown(UnknownReason),
}

/// Why a request was not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum NotRunReason {
    /// No such service at this site.
    NoSuchService,
    /// No instance of the service's pool takes work now.
    NoInstance,
    /// Every instance refused the request.
    Refused,
    /// The expected wait is longer than the caller's deadline.
    Deadline,
    /// The service's queue is full.
    QueueFull,
    /// The team has used its share.
    TeamShare,
    /// This entry has no valid permission to dispatch.
    NoPermission,
    /// The log is down, so the idempotency key can't be claimed.
    LogDown,
    /// The entry is stopping.
    Stopping,
    /// The request is malformed or too large.
    BadRequest,
    /// The idempotency key was used with another request.
    KeyReused,
}

/// Why the outcome of a request is unknown.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum UnknownReason {
    /// The connection to the backend server ended before the whole answer came.
    ConnectionLost,
    /// The backend server didn't answer within the deadline.
    TimedOut,
    /// The entry that ran the request is gone.
    OwnerGone,
}

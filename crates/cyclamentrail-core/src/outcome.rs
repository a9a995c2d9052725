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

/// An outcome that isn't an answer, with when to come back.
///
/// ```
/// use cyclamentrail_core::{Ending, NotRunReason};
///
/// let ending = Ending::from(NotRunReason::QueueFull).retry_after_ms(250);
/// assert_eq!(ending.retry_after_ms, Some(250));
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Ending {
    /// How the request ended.
    pub outcome: Outcome,
    /// Time in milliseconds after which coming back makes sense, when that can be told.
    pub retry_after_ms: Option<u64>,
}

impl Ending {
    /// Creates an ending that doesn't say when to come back.
    #[must_use]
    pub const fn new(outcome: Outcome) -> Self {
        Self {
            outcome,
            retry_after_ms: None,
        }
    }

    /// Sets the time in milliseconds after which coming back makes sense.
    #[must_use]
    pub const fn retry_after_ms(mut self, wait_ms: u64) -> Self {
        self.retry_after_ms = Some(wait_ms);
        self
    }
}

impl From<Outcome> for Ending {
    fn from(outcome: Outcome) -> Self {
        Self::new(outcome)
    }
}

impl From<NotRunReason> for Ending {
    fn from(reason: NotRunReason) -> Self {
        Self::new(Outcome::NotRun(reason))
    }
}

impl From<UnknownReason> for Ending {
    fn from(reason: UnknownReason) -> Self {
        Self::new(Outcome::Unknown(reason))
    }
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
    /// The request body is larger than the site allows.
    TooLarge,
    /// The idempotency key was used with another request.
    KeyReused,
    /// Too many idempotency keys are remembered.
    KeysFull,
    /// The caller went away before anything was sent.
    CallerGone,
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
    /// The key's first request has no outcome yet.
    StillRunning,
    /// The backend server sent the answer of another request.
    CrossedAnswer,
    /// The answer has neither a length nor a chunked end, so that it can't be told to be whole.
    UnframedAnswer,
    /// The request ran and was answered; the answer is no longer kept.
    AnswerGone,
}

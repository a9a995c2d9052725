//! Outcomes of requests as reported to callers.

use serde::{Deserialize, Serialize};

/// How a request ended; each request has exactly one outcome.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The whole response of the backend server was passed on to the caller.
    Answered,
    /// The request was not run, not even in part.
    NotRun(NotRunReason),
    /// The request may have run; the entry doesn't send it again.
    Unknown(UnknownReason),
}

/// Outcome of a request without a response, with the delay before a retry.
///
/// ```
/// use cyclamentrail_core::{NotRunReason, RequestFailure};
///
/// let failure = RequestFailure::from(NotRunReason::QueueFull).retry_after_ms(250);
/// assert_eq!(failure.retry_after_ms, Some(250));
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RequestFailure {
    /// How the request ended.
    pub outcome: Outcome,
    /// Delay in milliseconds after which the caller may retry; `None` when it isn't known.
    pub retry_after_ms: Option<u64>,
}

impl RequestFailure {
    /// Creates a failure without a delay before a retry.
    #[must_use]
    pub const fn new(outcome: Outcome) -> Self {
        Self {
            outcome,
            retry_after_ms: None,
        }
    }

    /// Sets the delay in milliseconds after which the caller may retry.
    #[must_use]
    pub const fn retry_after_ms(mut self, wait_ms: u64) -> Self {
        self.retry_after_ms = Some(wait_ms);
        self
    }
}

impl From<Outcome> for RequestFailure {
    fn from(outcome: Outcome) -> Self {
        Self::new(outcome)
    }
}

impl From<NotRunReason> for RequestFailure {
    fn from(reason: NotRunReason) -> Self {
        Self::new(Outcome::NotRun(reason))
    }
}

impl From<UnknownReason> for RequestFailure {
    fn from(reason: UnknownReason) -> Self {
        Self::new(Outcome::Unknown(reason))
    }
}

/// Why a request was not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum NotRunReason {
    /// The site has no service of this name.
    NoSuchService,
    /// No instance of the service's pool accepts requests now.
    NoInstance,
    /// Every instance to which the request was sent refused it.
    Refused,
    /// The request isn't expected to be answered before its deadline.
    Deadline,
    /// The queue of the service is full.
    QueueFull,
    /// The queue of the service is full and the request gave way to one of a team with fewer
    /// waiting requests.
    TeamShare,
    /// The entry has no valid permit to dispatch requests.
    NoPermission,
    /// The log can't be reached, so the idempotency key can't be claimed.
    LogDown,
    /// The entry is shutting down.
    Stopping,
    /// The request is malformed or was cut off.
    BadRequest,
    /// The request body is larger than the site allows.
    TooLarge,
    /// The idempotency key was used with another method, path or body.
    KeyReused,
    /// The limit of remembered idempotency keys or tickets is reached.
    KeysFull,
    /// The caller disconnected before the request was sent to an instance.
    CallerGone,
}

/// Why the outcome of a request is unknown.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum UnknownReason {
    /// The connection to the backend server ended before the whole response arrived.
    ConnectionLost,
    /// The backend server didn't respond before the deadline.
    TimedOut,
    /// The entry that may have run the request is no member any more.
    OwnerGone,
    /// An earlier request with the same idempotency key has no outcome yet.
    StillRunning,
    /// The backend server sent the response to another request.
    CrossedAnswer,
    /// The response has neither a content length nor chunked encoding, so it can't be known to be
    /// whole.
    UnframedAnswer,
    /// The request ran and was answered, but its response is no longer stored.
    AnswerGone,
}

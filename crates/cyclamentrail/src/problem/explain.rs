//! HTTP status, reason, explanation and remedy of each outcome.

use axum::http::StatusCode;
use cyclamentrail_core::{NotRunReason, Outcome, UnknownReason};

/// Presentation of an outcome to the caller.
#[derive(Debug, Clone, Copy)]
pub(super) struct Explanation {
    pub(super) status: StatusCode,
    pub(super) reason: &'static str,
    pub(super) detail: &'static str,
    pub(super) remedy: &'static str,
}

impl From<Outcome> for Explanation {
    fn from(outcome: Outcome) -> Self {
        match outcome {
            Outcome::Answered => Self::new(StatusCode::OK, "answered", "", ""),
            Outcome::NotRun(reason) => not_run(reason),
            Outcome::Unknown(reason) => unknown(reason),
        }
    }
}

impl Explanation {
    const fn new(
        status: StatusCode,
        reason: &'static str,
        detail: &'static str,
        remedy: &'static str,
    ) -> Self {
        Self {
            status,
            reason,
            detail,
            remedy,
        }
    }
}

fn not_run(reason: NotRunReason) -> Explanation {
    const BUSY: StatusCode = StatusCode::SERVICE_UNAVAILABLE;
    let (status, reason, detail, remedy) = match reason {
        NotRunReason::NoSuchService => (
            StatusCode::NOT_FOUND,
            "no-such-service",
            "this site has no such service",
            "correct the path",
        ),
        NotRunReason::NoInstance => (
            BUSY,
            "no-instance",
            "no instance of the service takes work now",
            "send the request again later",
        ),
        NotRunReason::Refused => (
            BUSY,
            "refused",
            "every instance that was asked refused the request",
            "send the request again later",
        ),
        NotRunReason::Deadline => (
            BUSY,
            "deadline",
            "the request can't be answered within its deadline",
            "send the request again later, or with a longer deadline",
        ),
        NotRunReason::QueueFull => (
            BUSY,
            "queue-full",
            "the queue of the service is full",
            "send the request again later",
        ),
        NotRunReason::TeamShare => (
            StatusCode::TOO_MANY_REQUESTS,
            "team-share",
            "the team has used its share",
            "send the request again later, or ask for a larger share",
        ),
        NotRunReason::NoPermission => (
            BUSY,
            "no-permission",
            "this entry has no permission to dispatch requests now",
            "send the request again; the balancer chooses another entry",
        ),
        NotRunReason::LogDown => (
            BUSY,
            "log-down",
            "the platform's log is down, so that the idempotency key can't be claimed",
            "send the request again later with the same key",
        ),
        NotRunReason::Stopping => (
            BUSY,
            "stopping",
            "this entry is stopping",
            "send the request again; the balancer chooses another entry",
        ),
        NotRunReason::BadRequest => (
            StatusCode::BAD_REQUEST,
            "bad-request",
            "the request is malformed or was cut off",
            "correct the request",
        ),
        NotRunReason::TooLarge => (
            StatusCode::PAYLOAD_TOO_LARGE,
            "too-large",
            "the request body is larger than the site allows",
            "send a smaller body",
        ),
        NotRunReason::KeyReused => (
            StatusCode::UNPROCESSABLE_ENTITY,
            "key-reused",
            "the idempotency key belongs to a request with another method, path or body",
            "take a new key for each new request",
        ),
        NotRunReason::KeysFull => (
            BUSY,
            "keys-full",
            "the limit of remembered idempotency keys is reached",
            "send the request again later with the same key",
        ),
        NotRunReason::CallerGone => (
            BUSY,
            "caller-gone",
            "the caller disconnected before anything was sent",
            "send the request again",
        ),
    };
    Explanation::new(status, reason, detail, remedy)
}

fn unknown(reason: UnknownReason) -> Explanation {
    const CHECK_EFFECT: &str =
        "check whether it took effect before sending it again without its key";
    let (status, reason, detail) = match reason {
        UnknownReason::ConnectionLost => (
            StatusCode::BAD_GATEWAY,
            "connection-lost",
            "the backend server's connection ended before the whole answer came",
        ),
        UnknownReason::TimedOut => (
            StatusCode::GATEWAY_TIMEOUT,
            "timed-out",
            "the backend server didn't answer within the deadline",
        ),
        UnknownReason::OwnerGone => (
            StatusCode::BAD_GATEWAY,
            "owner-gone",
            "the entry that may have run the key's request is gone",
        ),
        UnknownReason::StillRunning => {
            return Explanation::new(
                StatusCode::CONFLICT,
                "still-running",
                "the key's first request has no outcome yet",
                "send the request again later with the same key",
            );
        }
        UnknownReason::CrossedAnswer => (
            StatusCode::BAD_GATEWAY,
            "crossed-answer",
            "the backend server sent the answer of another request",
        ),
        UnknownReason::UnframedAnswer => (
            StatusCode::BAD_GATEWAY,
            "unframed-answer",
            "the answer has neither a length nor chunked encoding, so that truncation can't be detected",
        ),
        UnknownReason::AnswerGone => {
            return Explanation::new(
                StatusCode::GONE,
                "answer-gone",
                "the key's request ran and was answered; its answer is no longer kept",
                "don't send it again; read the result from the service",
            );
        }
    };
    Explanation::new(status, reason, detail, CHECK_EFFECT)
}

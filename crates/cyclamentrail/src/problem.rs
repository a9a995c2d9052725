//! Responses of the entry itself: RFC 9457 problem documents with the outcome of the request.

use std::time::Duration;

use axum::body::Body;
use axum::http::{HeaderMap, HeaderName, HeaderValue, header};
use axum::response::Response;
use cyclamentrail_core::{Outcome, RequestFailure};
use serde::Serialize;

use crate::headers;

mod explain;

use explain::Explanation;

/// An RFC 9457 problem document with the outcome of the request.
#[derive(Debug, Serialize)]
struct Problem {
    /// URI of the problem type.
    #[serde(rename = "type")]
    kind: String,
    /// Short summary of the problem type.
    title: &'static str,
    /// HTTP status code.
    status: u16,
    /// Explanation of the reason.
    detail: &'static str,
    /// Outcome as in the `X-Outcome` header.
    outcome: &'static str,
    /// Reason as in the `X-Outcome-Reason` header.
    reason: &'static str,
    /// Action that the caller can take.
    remedy: &'static str,
    /// Time in milliseconds after which a retry can succeed.
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
    /// Id that the entry gave the request.
    request_id: String,
}

/// Returns the response to a request without a response from a backend server.
pub(crate) fn problem_response(failure: RequestFailure, request_id: String) -> Response {
    let Explanation {
        status,
        reason,
        detail,
        remedy,
    } = Explanation::from(failure.outcome);
    let outcome = outcome_text(failure.outcome);
    let problem = Problem {
        kind: format!("urn:cyclamentrail:problem:{outcome}:{reason}"),
        title: title(failure.outcome),
        status: status.as_u16(),
        detail,
        outcome,
        reason,
        remedy,
        retry_after_ms: failure.retry_after_ms,
        request_id,
    };
    let bytes = serde_json::to_vec(&problem).unwrap_or_default();
    let mut response = Response::new(Body::from(bytes));
    *response.status_mut() = status;
    let headers = response.headers_mut();
    let content_type = HeaderValue::from_static("application/problem+json");
    headers.insert(header::CONTENT_TYPE, content_type);
    set_outcome_headers(headers, failure.outcome, &problem.request_id);
    headers.insert(
        HeaderName::from_static(headers::OUTCOME_REASON),
        HeaderValue::from_static(reason),
    );
    if let Some(wait_ms) = failure.retry_after_ms {
        headers.insert(
            header::RETRY_AFTER,
            HeaderValue::from(retry_after_s(wait_ms)),
        );
    }
    response
}

/// Sets the headers with the outcome and the request's id on a response.
pub(crate) fn set_outcome_headers(headers: &mut HeaderMap, outcome: Outcome, request_id: &str) {
    headers.insert(
        HeaderName::from_static(headers::OUTCOME),
        HeaderValue::from_static(outcome_text(outcome)),
    );
    if let Ok(id) = HeaderValue::from_str(request_id) {
        headers.insert(HeaderName::from_static(headers::REQUEST_ID), id);
    }
}

/// Returns a wait as the value of `Retry-After`: in seconds, rounded up, at least 1.
fn retry_after_s(wait_ms: u64) -> u64 {
    let wait = Duration::from_millis(wait_ms);
    let whole = wait.as_secs() + u64::from(wait.subsec_nanos() > 0);
    whole.max(1)
}

/// Returns an outcome as the value of the `X-Outcome` header.
pub(crate) const fn outcome_text(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Answered => "answered",
        Outcome::NotRun(_) => "not-run",
        Outcome::Unknown(_) => "unknown",
    }
}

const fn title(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Answered => "Answered",
        Outcome::NotRun(_) => "Not run",
        Outcome::Unknown(_) => "Outcome unknown",
    }
}

//! Body types of requests and answers, and the shared HTTP helpers.

use axum::body::Body;
use axum::http::{HeaderName, HeaderValue, StatusCode, header};
use axum::response::Response;
use cyclamentrail_core::Outcome;
use serde::Serialize;

use crate::headers;

/// An RFC 9457 problem body with the outcome of the request.
#[derive(Debug, Serialize)]
pub(crate) struct Problem {
    /// URI reference of the problem type.
    #[serde(rename = "type")]
    pub(crate) kind: &'static str,
    /// Short summary.
    pub(crate) title: &'static str,
    /// HTTP status code.
    pub(crate) status: u16,
    /// What happened and what to do.
    pub(crate) detail: String,
    /// How the request ended.
    pub(crate) outcome: Outcome,
    /// The entry's id of the request.
    pub(crate) request_id: String,
}

impl Problem {
    /// Returns the answer that carries the problem.
    pub(crate) fn into_response(self, retry_after_s: Option<u64>) -> Response {
        let status = StatusCode::from_u16(self.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        let bytes = serde_json::to_vec(&self).unwrap_or_default();
        let mut response = Response::new(Body::from(bytes));
        *response.status_mut() = status;
        let headers = response.headers_mut();
        headers.insert(
            header::CONTENT_TYPE,
            HeaderValue::from_static("application/problem+json"),
        );
        headers.insert(
            HeaderName::from_static(headers::OUTCOME),
            HeaderValue::from_static(outcome_text(self.outcome)),
        );
        if let Some(seconds) = retry_after_s {
            headers.insert(header::RETRY_AFTER, HeaderValue::from(seconds));
        }
        response
    }
}

/// Returns the outcome as the header's value.
pub(crate) const fn outcome_text(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Answered => "answered",
        Outcome::NotRun(_) => "not-run",
        Outcome::Unknown(_) => "unknown",
    }
}

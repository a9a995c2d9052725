//! Reads from a request's head what dispatch needs to know.

use std::sync::Arc;
use std::time::Duration;

use axum::http::{HeaderMap, HeaderValue, Method, Request};
use cyclamentrail_core::{RequestClass, TeamName};
use tokio::time::Instant;

use super::dispatch::Call;
use crate::headers;

/// Shortest deadline of a request that counts as long when its caller doesn't say.
const LONG_DEADLINE: Duration = Duration::from_mins(1);
/// Longest name of a team, in bytes.
const MAX_TEAM_BYTES: usize = 64;
/// Team of the callers that name none.
const DEFAULT_TEAM: &str = "default";

/// Returns the call of a request.
pub(crate) fn call_of<B>(request: &Request<B>, request_id: &str, deadline: Instant) -> Call {
    Call {
        request_id: Arc::from(request_id),
        class: class_of(request.headers(), deadline),
        team: team_of(request.headers()),
        idempotent: is_idempotent(request.method()),
        deadline,
    }
}

/// Returns whether a method is idempotent by RFC 9110.
pub(crate) const fn is_idempotent(method: &Method) -> bool {
    matches!(
        *method,
        Method::GET | Method::HEAD | Method::PUT | Method::DELETE | Method::OPTIONS | Method::TRACE
    )
}

fn class_of(headers: &HeaderMap, deadline: Instant) -> RequestClass {
    match headers.get(headers::CLASS).map(HeaderValue::as_bytes) {
        Some(b"long") => RequestClass::Long,
        Some(b"quick") => RequestClass::Quick,
        _ if deadline >= Instant::now() + LONG_DEADLINE => RequestClass::Long,
        _ => RequestClass::Quick,
    }
}

fn team_of(headers: &HeaderMap) -> TeamName {
    headers
        .get(headers::TEAM)
        .and_then(|value| value.to_str().ok())
        .filter(|team| !team.is_empty() && team.len() <= MAX_TEAM_BYTES)
        .map_or_else(|| TeamName::from(DEFAULT_TEAM), TeamName::from)
}

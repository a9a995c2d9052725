//! Class, team and deadline of a request, as dispatch needs them.

use std::sync::Arc;
use std::time::Duration;

use axum::http::{HeaderMap, HeaderValue};
use cyclamentrail_core::{AdmissionRequest, RequestClass, TeamName};
use tokio::time::Instant;

use crate::{clock, headers};

/// Shortest deadline that makes a request without a class header a long one.
const LONG_DEADLINE: Duration = Duration::from_mins(1);
/// Longest team name in bytes; a request with a longer one counts for [`DEFAULT_TEAM`].
const MAX_TEAM_BYTES: usize = 64;
/// Team of requests without a valid team header.
const DEFAULT_TEAM: &str = "default";

/// Properties of a request that dispatch and admission use.
#[derive(Debug, Clone)]
pub(crate) struct RequestContext {
    /// Id that the entry gave the request.
    pub(crate) request_id: Arc<str>,
    /// Class of the request.
    pub(crate) class: RequestClass,
    /// Team that the request counts for.
    pub(crate) team: TeamName,
    /// Whether the request may run more than once.
    pub(crate) idempotent: bool,
    /// Time by which the caller must have the complete response.
    pub(crate) deadline: Instant,
}

impl RequestContext {
    /// Sets whether the request may run more than once.
    pub(crate) const fn with_idempotent(mut self, idempotent: bool) -> Self {
        self.idempotent = idempotent;
        self
    }

    /// Returns the request as admission control takes it.
    pub(crate) fn admission_request(&self) -> AdmissionRequest {
        AdmissionRequest {
            class: self.class,
            team: self.team.clone(),
            deadline_us: clock::micros_since_start(self.deadline.into_std()),
        }
    }
}

/// Returns the context of a request that may run only once, read from its headers.
pub(crate) fn request_context(
    headers: &HeaderMap,
    request_id: &str,
    deadline: Instant,
) -> RequestContext {
    RequestContext {
        request_id: Arc::from(request_id),
        class: class_of(headers, deadline),
        team: team_of(headers),
        idempotent: false,
        deadline,
    }
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

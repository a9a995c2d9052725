//! Reads from a request's head what dispatch needs to know.

use std::sync::Arc;
use std::time::Duration;

use axum::http::{HeaderMap, HeaderValue};
use cyclamentrail_core::{Ask, RequestClass, TeamName};
use tokio::time::Instant;

use crate::{clock, headers};

/// Shortest deadline of a request that counts as long when its caller doesn't say.
const LONG_DEADLINE: Duration = Duration::from_mins(1);
/// Longest name of a team, in bytes.
const MAX_TEAM_BYTES: usize = 64;
/// Team of the callers that name none.
const DEFAULT_TEAM: &str = "default";

/// What dispatch needs to know of a request.
#[derive(Debug, Clone)]
pub(crate) struct Call {
    /// The entry's id of the request.
    pub(crate) request_id: Arc<str>,
    /// Its class.
    pub(crate) class: RequestClass,
    /// Team of the caller.
    pub(crate) team: TeamName,
    /// Whether it may run more than once.
    pub(crate) idempotent: bool,
    /// When its answer is due.
    pub(crate) deadline: Instant,
}

impl Call {
    /// Sets whether the request may run more than once.
    pub(crate) const fn idempotent(mut self, idempotent: bool) -> Self {
        self.idempotent = idempotent;
        self
    }

    /// Returns what admission needs to know.
    pub(crate) fn ask(&self) -> Ask {
        Ask {
            class: self.class,
            team: self.team.clone(),
            deadline_us: clock::us_at(self.deadline.into_std()),
        }
    }
}

/// Returns the call of a request that may run only once.
pub(crate) fn call_of(headers: &HeaderMap, request_id: &str, deadline: Instant) -> Call {
    Call {
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

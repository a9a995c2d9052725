//! Routes of entries that are gone.

use axum::extract::State;
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use axum::routing::post;
use axum::{Json, Router};
use cyclamentrail_core::{Incarnation, LeaveReason, RecordBody};
use serde::{Deserialize, Serialize};

use super::{Operator, refusal};

/// An operator's word that an entry's instance is switched off.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct SwitchedOff {
    /// The entry process that is gone.
    pub(crate) incarnation: Incarnation,
    /// Operator who made sure of it.
    pub(crate) operator: String,
}

/// Returns the routes; the token is checked before they are reached.
pub(crate) fn router() -> Router<Operator> {
    Router::new().route("/v1/entries/switched-off", post(switched_off))
}

async fn switched_off(State(operator): State<Operator>, Json(word): Json<SwitchedOff>) -> Response {
    let body = RecordBody::EntryLeft {
        incarnation: word.incarnation,
        reason: LeaveReason::SwitchedOff {
            operator: word.operator,
        },
    };
    match operator.control.submit(body).await {
        Ok(()) => StatusCode::NO_CONTENT.into_response(),
        Err(error) => refusal(&operator, &error),
    }
}

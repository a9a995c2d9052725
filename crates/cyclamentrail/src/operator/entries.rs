//! Route by which an operator removes the member of a switched-off instance.

use axum::extract::State;
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use axum::routing::post;
use axum::{Json, Router};
use cyclamentrail_core::{Incarnation, LeaveReason, RecordBody};
use serde::{Deserialize, Serialize};

use super::{OperatorContext, error_response};

/// Request body by which an operator confirms that an entry's instance is switched off.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct SwitchedOffReport {
    /// Incarnation of the entry process that ran on the instance.
    pub(crate) incarnation: Incarnation,
    /// Name of the operator who checked that the instance is off.
    pub(crate) operator: String,
}

/// Returns the route; the caller adds the check of the token.
pub(crate) fn router() -> Router<OperatorContext> {
    Router::new().route("/v1/entries/switched-off", post(record_switched_off))
}

async fn record_switched_off(
    State(operator): State<OperatorContext>,
    Json(report): Json<SwitchedOffReport>,
) -> Response {
    let body = RecordBody::EntryLeft {
        incarnation: report.incarnation,
        reason: LeaveReason::SwitchedOff {
            operator: report.operator,
        },
    };
    match operator.control.submit(body).await {
        Ok(()) => StatusCode::NO_CONTENT.into_response(),
        Err(error) => error_response(&operator, &error),
    }
}

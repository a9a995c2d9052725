//! Route that explains the decisions about a request.

use axum::extract::{Path, State};
use axum::http::StatusCode;
use axum::routing::get;
use axum::{Json, Router};
use serde_json::Value;

use super::OperatorContext;

/// Returns the route; the caller adds the check of the token.
pub(crate) fn router() -> Router<OperatorContext> {
    Router::new().route("/v1/explain/requests/{id}", get(explain_request))
}

async fn explain_request(
    State(operator): State<OperatorContext>,
    Path(id): Path<String>,
) -> Result<Json<Vec<Value>>, (StatusCode, String)> {
    let events = operator.shared.request_log().events_of(&id);
    if events.is_empty() {
        return Err((
            StatusCode::NOT_FOUND,
            format!(
                "request \"{id}\" is not in this entry's request log; ask the entry that served it\n"
            ),
        ));
    }
    Ok(Json(events.iter().map(Value::from).collect()))
}

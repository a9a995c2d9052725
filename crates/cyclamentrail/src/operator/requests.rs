//! Routes by which operators learn what was decided about a request.

use axum::extract::{Path, State};
use axum::http::StatusCode;
use axum::routing::get;
use axum::{Json, Router};
use serde_json::Value;

use super::Operator;

/// Returns the routes of requests.
pub(crate) fn router() -> Router<Operator> {
    Router::new().route("/v1/explain/requests/{id}", get(explain))
}

async fn explain(
    State(operator): State<Operator>,
    Path(id): Path<String>,
) -> Result<Json<Vec<Value>>, (StatusCode, String)> {
    let events = operator.shared.journal().explain(&id);
    if events.is_empty() {
        return Err((
            StatusCode::NOT_FOUND,
            format!(
                "request \"{id}\" is not in this entry's journal; ask the entry that served it\n"
            ),
        ));
    }
    Ok(Json(events.iter().map(Value::from).collect()))
}

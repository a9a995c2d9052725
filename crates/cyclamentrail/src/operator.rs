//! HTTP routes of the operators' listener: changes, state, metrics, health and readiness.

use std::sync::Arc;

use axum::extract::{Request, State};
use axum::http::{StatusCode, header};
use axum::middleware::{self, Next};
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use axum::{Json, Router};
use cyclamentrail_core::Version;
use serde::{Deserialize, Serialize};
use subtle::ConstantTimeEq;

use crate::control::{ControlHandle, SubmitError};
use crate::metrics::{self, Refusal};
use crate::serve::Audience;
use crate::view::SharedView;

mod changes;
mod entries;
mod pools;
mod requests;
mod waves;

/// Content type of the Prometheus text format.
const METRICS_CONTENT_TYPE: &str = "text/plain; version=0.0.4";

/// State shared by the handlers of the operators' and peers' listeners.
#[derive(Debug, Clone)]
pub(crate) struct OperatorContext {
    /// Handle of the control thread.
    pub(crate) control: ControlHandle,
    /// Holder of the view that traffic routes from.
    pub(crate) shared: Arc<SharedView>,
    /// Token that operators and peers present.
    pub(crate) token: Arc<str>,
}

/// Request body of a change of the settings.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct SettingsChange {
    /// Version that the change was made on; the one in force when omitted.
    pub(crate) presumes: Option<Version>,
    /// JSON merge patch of the settings document.
    pub(crate) patch: serde_json::Value,
    /// Name of the operator who makes the change.
    pub(crate) operator: String,
}

/// Returns the routes of the operators' listener; all but health and readiness need the token.
pub(crate) fn router(operator: OperatorContext) -> Router {
    let authenticated = Router::new()
        .route("/state", get(dump_state))
        .route("/metrics", get(render_metrics))
        .route("/v1/settings", post(change_settings))
        .route("/v1/settings/in-force", get(show_settings_status))
        .merge(changes::router())
        .merge(entries::router())
        .merge(waves::router())
        .merge(pools::router())
        .merge(requests::router())
        .layer(middleware::from_fn_with_state(
            operator.clone(),
            check_token,
        ));
    Router::new()
        .route("/health", get(|| async { StatusCode::OK }))
        .route("/ready", get(ready))
        .merge(authenticated)
        .with_state(operator)
}

/// Passes requests with the token on; rejects others with status 401 and counts them.
pub(crate) async fn check_token(
    State(operator): State<OperatorContext>,
    request: Request,
    next: Next,
) -> Response {
    let presented = request
        .headers()
        .get(header::AUTHORIZATION)
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.strip_prefix("Bearer "))
        .unwrap_or_default();
    let is_valid: bool = presented.as_bytes().ct_eq(operator.token.as_bytes()).into();
    if is_valid {
        next.run(request).await
    } else {
        metrics::count_refusal(audience_of(request.uri().path()).as_str(), Refusal::Token);
        (
            StatusCode::UNAUTHORIZED,
            "the token is missing or wrong; present it as a bearer token\n",
        )
            .into_response()
    }
}

fn audience_of(path: &str) -> Audience {
    if path.starts_with("/v1/peer/") {
        Audience::Peers
    } else {
        Audience::Operators
    }
}

async fn ready(State(operator): State<OperatorContext>) -> StatusCode {
    if operator.shared.is_ready() {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    }
}

async fn dump_state(State(operator): State<OperatorContext>) -> Json<serde_json::Value> {
    Json(operator.control.dump().await)
}

async fn render_metrics(State(operator): State<OperatorContext>) -> Response {
    if let Ok(fleet) = operator.control.fleet().await {
        metrics::set_fleet_gauges(&fleet);
    }
    let content_type = [(header::CONTENT_TYPE, METRICS_CONTENT_TYPE)];
    (content_type, metrics::recorder_handle().render()).into_response()
}

async fn change_settings(
    State(operator): State<OperatorContext>,
    Json(change): Json<SettingsChange>,
) -> Response {
    let result = operator
        .control
        .change_settings(change.presumes, change.patch, change.operator)
        .await;
    match result {
        Ok(()) => StatusCode::NO_CONTENT.into_response(),
        Err(error) => error_response(&operator, &error),
    }
}

async fn show_settings_status(State(operator): State<OperatorContext>) -> Response {
    match operator.control.settings_status().await {
        Ok(status) => Json(status).into_response(),
        Err(error) => error_response(&operator, &error),
    }
}

/// Returns the response to a change that didn't come into force; with `Retry-After` when the log
/// can't be reached.
pub(crate) fn error_response(operator: &OperatorContext, error: &SubmitError) -> Response {
    let status = status_of(error);
    let text = format!("{error}\n");
    if *error == SubmitError::LogDown {
        let retry_after_s = operator.control.health().retry_after_s().to_string();
        return (status, [(header::RETRY_AFTER, retry_after_s)], text).into_response();
    }
    (status, text).into_response()
}

const fn status_of(error: &SubmitError) -> StatusCode {
    match error {
        SubmitError::Rejected(_) => StatusCode::CONFLICT,
        SubmitError::LogDown | SubmitError::Stopping => StatusCode::SERVICE_UNAVAILABLE,
        SubmitError::Uncertain => StatusCode::GATEWAY_TIMEOUT,
    }
}

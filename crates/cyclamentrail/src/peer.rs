//! The listener for the other entries.

use axum::Router;
use axum::http::StatusCode;
use axum::middleware;
use axum::routing::get;

use crate::operator::{Operator, check_token};

pub(crate) mod claims;

/// Returns the routes of the peers' listener.
pub(crate) fn router(operator: Operator) -> Router {
    Router::new()
        .route("/v1/peer/ping", get(|| async { StatusCode::NO_CONTENT }))
        .merge(claims::router())
        .layer(middleware::from_fn_with_state(
            operator.clone(),
            check_token,
        ))
        .with_state(operator)
}

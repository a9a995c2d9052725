//! The listener for the other entries.

use std::sync::Arc;

use axum::Router;
use axum::http::StatusCode;
use axum::middleware;
use axum::routing::get;

use crate::operator::{Operator, check_token};
use crate::traffic::Traffic;

pub(crate) mod claims;
pub(crate) mod tickets;

/// Returns the routes of the peers' listener.
pub(crate) fn router(operator: Operator, traffic: Arc<Traffic>) -> Router {
    Router::new()
        .route("/v1/peer/ping", get(|| async { StatusCode::NO_CONTENT }))
        .merge(claims::router())
        .with_state(operator.clone())
        .merge(tickets::router(traffic))
        .layer(middleware::from_fn_with_state(operator, check_token))
}

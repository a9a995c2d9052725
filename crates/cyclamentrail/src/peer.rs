//! Calls between entries: the routes of the peers' listener and the clients of other entries.

use std::sync::Arc;

use axum::Router;
use axum::body::Bytes;
use axum::extract::{DefaultBodyLimit, Query, State};
use axum::http::StatusCode;
use axum::middleware;
use axum::routing::{get, post};
use cyclamentrail_core::{
    MAX_RELAYED_BYTES, Offset, decode_heartbeat, encode_heartbeat, encode_snapshot,
};
use serde::Deserialize;

use crate::operator::{OperatorContext, check_token};
use crate::traffic::RequestPath;

pub(crate) mod claims;
mod client;
mod connect;
pub(crate) mod tickets;

pub(crate) use client::PeerClient;

/// Largest encoded heartbeat in bytes, with the records that it carries.
const MAX_HEARTBEAT_BYTES: usize = MAX_RELAYED_BYTES + 256 * 1024;

#[derive(Debug, Deserialize)]
struct StateQuery {
    newer_than: Offset,
}

/// Returns the routes of the peers' listener; all need the token.
pub(crate) fn router(operator: OperatorContext, traffic: Arc<RequestPath>) -> Router {
    Router::new()
        .route("/v1/hb", post(receive_heartbeat))
        .route("/v1/state", get(send_state))
        .merge(claims::router())
        .layer(DefaultBodyLimit::max(MAX_HEARTBEAT_BYTES))
        .with_state(operator.clone())
        .merge(tickets::router(traffic))
        .layer(middleware::from_fn_with_state(operator, check_token))
}

async fn receive_heartbeat(
    State(operator): State<OperatorContext>,
    body: Bytes,
) -> Result<Vec<u8>, (StatusCode, String)> {
    let heartbeat =
        decode_heartbeat(&body).map_err(|error| (StatusCode::BAD_REQUEST, format!("{error}\n")))?;
    let response = operator
        .control
        .heartbeat(Box::new(heartbeat))
        .await
        .map_err(|error| (StatusCode::SERVICE_UNAVAILABLE, format!("{error}\n")))?;
    encode_heartbeat(&response)
        .map_err(|error| (StatusCode::INTERNAL_SERVER_ERROR, format!("{error}\n")))
}

async fn send_state(
    State(operator): State<OperatorContext>,
    Query(query): Query<StateQuery>,
) -> Result<Vec<u8>, (StatusCode, String)> {
    let fleet = operator
        .control
        .fleet()
        .await
        .map_err(|error| (StatusCode::SERVICE_UNAVAILABLE, format!("{error}\n")))?;
    if fleet.next_offset() <= query.newer_than {
        return Ok(Vec::new());
    }
    encode_snapshot(&fleet)
        .map_err(|error| (StatusCode::INTERNAL_SERVER_ERROR, format!("{error}\n")))
}

//! Route and client by which entries query each other for the outcome of a request with an
//! idempotency key.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use axum::Router;
use axum::extract::{Path, State};
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use axum::routing::get;
use bytes::Bytes;
use cyclamentrail_core::{ClaimOutcome, KeyDigest, decode_message};
use http_body_util::{BodyExt, Empty, Limited};
use hyper::Request;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;

use super::connect;
use crate::operator::OperatorContext;

/// Time limit of one query, and of connecting to another entry.
pub(crate) const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Largest encoded outcome in bytes.
const MAX_OUTCOME_BYTES: usize = 2 * 1024 * 1024;

/// Returns the route of queries for outcomes.
pub(crate) fn router() -> Router<OperatorContext> {
    Router::new().route("/v1/peer/claims/{key}", get(send_outcome))
}

async fn send_outcome(
    State(operator): State<OperatorContext>,
    Path(key): Path<KeyDigest>,
) -> Response {
    match operator.control.fetch_outcome(key).await {
        Some(outcome) => match rmp_serde::to_vec_named(&outcome) {
            Ok(bytes) => bytes.into_response(),
            Err(error) => {
                log::error!(error:% = error; "outcome_not_encoded");
                StatusCode::INTERNAL_SERVER_ERROR.into_response()
            }
        },
        None => StatusCode::NOT_FOUND.into_response(),
    }
}

/// Client that queries other entries for the outcome of a request with a key.
#[derive(Debug, Clone)]
pub(crate) struct OutcomeClient {
    client: Client<HttpConnector, Empty<Bytes>>,
    token: Arc<str>,
}

impl OutcomeClient {
    /// Creates a client that authenticates with `token`.
    pub(crate) fn new(token: Arc<str>) -> Self {
        Self {
            client: connect::http_client(),
            token,
        }
    }

    /// Returns the outcome of the request with a key, `None` when the process at `owner` doesn't
    /// know it or doesn't respond in time.
    pub(crate) async fn fetch(&self, owner: SocketAddr, key: KeyDigest) -> Option<ClaimOutcome> {
        let result = tokio::time::timeout(CALL_TIMEOUT, self.request_outcome(owner, key)).await;
        match result {
            Ok(Ok(outcome)) => outcome,
            Ok(Err(error)) => {
                log::info!(owner:% = owner, error:% = error; "outcome_not_fetched");
                None
            }
            Err(_) => {
                log::info!(owner:% = owner; "outcome_not_fetched_in_time");
                None
            }
        }
    }

    async fn request_outcome(
        &self,
        owner: SocketAddr,
        key: KeyDigest,
    ) -> anyhow::Result<Option<ClaimOutcome>> {
        let request = Request::get(format!("http://{owner}/v1/peer/claims/{key}"))
            .header("authorization", format!("Bearer {}", self.token))
            .body(Empty::new())?;
        let response = self.client.request(request).await?;
        if !response.status().is_success() {
            return Ok(None);
        }
        let body = Limited::new(response.into_body(), MAX_OUTCOME_BYTES).collect();
        let bytes = body.await.map_err(anyhow::Error::from_boxed)?.to_bytes();
        Ok(Some(decode_message(&bytes)?))
    }
}

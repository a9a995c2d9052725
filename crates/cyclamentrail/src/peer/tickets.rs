//! Forwards a request with a ticket to the entry that issued the ticket.

use std::net::SocketAddr;
use std::sync::Arc;

use axum::Router;
use axum::body::Body;
use axum::extract::{Path, Request, State};
use axum::http::header::{AUTHORIZATION, CONTENT_LENGTH, HOST};
use axum::http::{HeaderName, HeaderValue, StatusCode};
use axum::response::{IntoResponse, Response};
use axum::routing::any;
use bytes::Bytes;
use cyclamentrail_core::{NotRunReason, RequestFailure, ServiceName, UnknownReason};
use http_body_util::Full;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use tokio::time::Instant;

use super::connect;
use crate::headers;
use crate::traffic::{BackendRequest, RequestPath, remove_hop_by_hop, serve_forwarded_ticket};

/// Start of the paths that forwarded requests have on the peers' listener.
const PEER_PATH: &str = "/v1/peer/services";
/// Header that carries the caller's `Authorization` while a request is forwarded, since the entries
/// use that header for their own token.
const CALLER_AUTHORIZATION: HeaderName = HeaderName::from_static("x-caller-authorization");

/// Returns the route of forwarded requests.
pub(crate) fn router(traffic: Arc<RequestPath>) -> Router {
    Router::new()
        .route("/v1/peer/services/{service}/{*path}", any(serve_forwarded))
        .with_state(traffic)
}

/// Serves a request that another entry forwarded; runs on the traffic threads.
async fn serve_forwarded(
    State(traffic): State<Arc<RequestPath>>,
    Path((service, _path)): Path<(ServiceName, String)>,
    mut request: Request,
) -> Response {
    let path = request
        .uri()
        .path_and_query()
        .and_then(|path| path.as_str().strip_prefix("/v1/peer"))
        .and_then(|path| format!("/v1{path}").parse().ok());
    let Some(path) = path else {
        return StatusCode::BAD_REQUEST.into_response();
    };
    *request.uri_mut() = path;
    let headers = request.headers_mut();
    headers.remove(AUTHORIZATION);
    if let Some(value) = headers.remove(CALLER_AUTHORIZATION) {
        headers.insert(AUTHORIZATION, value);
    }
    let runtime = traffic.runtime().clone();
    runtime
        .spawn(serve_forwarded_ticket(traffic, service, request))
        .await
        .unwrap_or_else(|_panic| StatusCode::INTERNAL_SERVER_ERROR.into_response())
}

/// A request as forwarded to another entry.
pub(crate) type ForwardedRequest = hyper::Request<Full<Bytes>>;

/// Client that forwards requests with tickets to other entries.
#[derive(Debug, Clone)]
pub(crate) struct TicketClient {
    client: Client<HttpConnector, Full<Bytes>>,
    token: Arc<str>,
}

impl TicketClient {
    /// Creates a client that authenticates with `token`.
    pub(crate) fn new(token: Arc<str>) -> Self {
        Self {
            client: connect::http_client(),
            token,
        }
    }

    /// Forwards a request to the entry that issued its ticket and returns that entry's response.
    ///
    /// # Errors
    ///
    /// Returns an unknown outcome when there is no response: the entry may have run the request.
    pub(crate) async fn forward(
        &self,
        issuer: SocketAddr,
        request: ForwardedRequest,
        deadline: Instant,
    ) -> Result<Response, RequestFailure> {
        match tokio::time::timeout_at(deadline, self.client.request(request)).await {
            Ok(Ok(mut response)) => {
                remove_hop_by_hop(response.headers_mut());
                Ok(response.map(Body::new))
            }
            Ok(Err(error)) => {
                log::info!(minter:% = issuer, error:% = error; "ticket_not_passed");
                Err(UnknownReason::OwnerGone.into())
            }
            Err(_) => Err(UnknownReason::TimedOut.into()),
        }
    }

    /// Returns the request as it is forwarded to the entry that issued its ticket.
    ///
    /// # Errors
    ///
    /// Returns [`NotRunReason::BadRequest`] when the request can't be built.
    pub(crate) fn forwarded_request(
        &self,
        issuer: SocketAddr,
        backend_request: &BackendRequest,
        deadline: Instant,
    ) -> Result<ForwardedRequest, RequestFailure> {
        self.build_request(issuer, backend_request, deadline)
            .ok_or_else(|| NotRunReason::BadRequest.into())
    }

    fn build_request(
        &self,
        issuer: SocketAddr,
        backend_request: &BackendRequest,
        deadline: Instant,
    ) -> Option<ForwardedRequest> {
        let path = backend_request.parts().uri.path_and_query()?;
        let mut request = hyper::Request::new(Full::new(backend_request.body()?.clone()));
        *request.method_mut() = backend_request.parts().method.clone();
        *request.uri_mut() = format!("http://{issuer}{PEER_PATH}{path}").parse().ok()?;
        let headers = request.headers_mut();
        headers.clone_from(&backend_request.parts().headers);
        headers.remove(HOST);
        headers.remove(CONTENT_LENGTH);
        if let Some(value) = headers.remove(AUTHORIZATION) {
            headers.insert(CALLER_AUTHORIZATION, value);
        }
        let token = HeaderValue::try_from(format!("Bearer {}", self.token)).ok()?;
        headers.insert(AUTHORIZATION, token);
        let remaining = deadline.saturating_duration_since(Instant::now());
        let remaining_ms = u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX);
        let name = HeaderName::from_static(headers::DEADLINE_MS);
        headers.insert(name, HeaderValue::from(remaining_ms));
        Some(request)
    }
}

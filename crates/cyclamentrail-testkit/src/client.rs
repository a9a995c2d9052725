//! A small HTTP client for tests.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::{Context, Result};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request};
use hyper_util::client::legacy::Client as HyperClient;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use serde::Serialize;

/// Longest time that a test waits for a complete response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(30);

/// Time after which the client closes an idle connection; entries keep idle connections longer, so
/// that a request isn't sent on a connection that an entry is closing.
const IDLE_TIMEOUT: Duration = Duration::from_secs(1);

/// An HTTP/1.1 client with a connection pool of its own.
#[derive(Debug, Clone)]
pub struct Client {
    http: HyperClient<HttpConnector, Full<Bytes>>,
}

/// A response that was received completely.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClientResponse {
    /// HTTP status code.
    pub status: u16,
    /// Value of the `x-outcome` header; empty when the header is missing.
    pub outcome: String,
    /// Value of the `x-outcome-reason` header; empty when the header is missing.
    pub reason: String,
    /// Whether this is the stored response of an earlier request with the same idempotency key.
    pub replayed: bool,
    /// Value of the `x-call-id` header, which the backend server copies from the request; empty
    /// when the header is missing.
    pub call_id: String,
    /// Value of the `retry-after` header in seconds; `None` when the header is missing.
    pub retry_after_s: Option<u64>,
    /// Response body.
    pub body: Bytes,
}

impl Default for Client {
    fn default() -> Self {
        Self::new()
    }
}

impl Client {
    /// Creates a client without open connections.
    #[must_use]
    pub fn new() -> Self {
        Self {
            http: HyperClient::builder(TokioExecutor::new())
                .pool_timer(TokioTimer::new())
                .pool_idle_timeout(IDLE_TIMEOUT)
                .build_http(),
        }
    }

    /// Sends a request and reads the response to its end.
    ///
    /// # Errors
    ///
    /// Returns an error when the request fails or the response isn't complete within 30 s.
    pub async fn send(&self, request: Request<Full<Bytes>>) -> Result<ClientResponse> {
        tokio::time::timeout(RESPONSE_TIMEOUT, self.send_without_timeout(request))
            .await
            .context("no complete response within the test's time limit")?
    }

    /// Sends a `GET` request without headers of its own.
    ///
    /// # Errors
    ///
    /// Returns an error when the request fails or the response isn't complete within 30 s.
    pub async fn get(&self, address: SocketAddr, path: &str) -> Result<ClientResponse> {
        let request = Request::builder()
            .uri(format!("http://{address}{path}"))
            .body(Full::default())?;
        self.send(request).await
    }

    /// Posts a JSON body; a token is sent as bearer token in the `authorization` header.
    ///
    /// # Errors
    ///
    /// Returns an error when the request fails or the response isn't complete within 30 s.
    pub async fn post_json<T: Serialize + Sync>(
        &self,
        address: SocketAddr,
        path: &str,
        token: Option<&str>,
        body: &T,
    ) -> Result<ClientResponse> {
        let mut request = Request::builder()
            .method(Method::POST)
            .uri(format!("http://{address}{path}"))
            .header("content-type", "application/json");
        if let Some(token) = token {
            request = request.header("authorization", format!("Bearer {token}"));
        }
        let body = Full::new(Bytes::from(serde_json::to_vec(body)?));
        self.send(request.body(body)?).await
    }

    async fn send_without_timeout(&self, request: Request<Full<Bytes>>) -> Result<ClientResponse> {
        let response = self.http.request(request).await?;
        let (parts, body) = response.into_parts();
        let body = body.collect().await?.to_bytes();
        let header = |name: &str| {
            parts
                .headers
                .get(name)
                .and_then(|value| value.to_str().ok())
                .unwrap_or_default()
                .to_owned()
        };
        Ok(ClientResponse {
            status: parts.status.as_u16(),
            outcome: header("x-outcome"),
            reason: header("x-outcome-reason"),
            replayed: header("idempotency-replayed") == "true",
            call_id: header("x-call-id"),
            retry_after_s: header("retry-after").parse().ok(),
            body,
        })
    }
}

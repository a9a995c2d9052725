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

/// Longest time that a test waits for an answer.
const TIMEOUT: Duration = Duration::from_secs(30);

/// Time after which an unused connection is closed; entries close it later.
const IDLE_TIMEOUT: Duration = Duration::from_secs(1);

/// Calls the processes of a site.
#[derive(Debug, Clone)]
pub struct Client {
    inner: HyperClient<HttpConnector, Full<Bytes>>,
}

/// A whole answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// HTTP status code.
    pub status: u16,
    /// Value of the outcome header; empty when there is none.
    pub outcome: String,
    /// Value of the header that says why it ended so; empty when there is none.
    pub reason: String,
    /// Whether the answer is the one of an earlier request with the same key.
    pub replayed: bool,
    /// The caller's mark of the request as the backend server repeated it; empty when it didn't.
    pub call_id: String,
    /// Seconds after which to come back, when the answer says so.
    pub retry_after_s: Option<u64>,
    /// The body.
    pub body: Bytes,
}

impl Default for Client {
    fn default() -> Self {
        Self::new()
    }
}

impl Client {
    /// Creates a client with its own connections.
    #[must_use]
    pub fn new() -> Self {
        Self {
            inner: HyperClient::builder(TokioExecutor::new())
                .pool_timer(TokioTimer::new())
                .pool_idle_timeout(IDLE_TIMEOUT)
                .build_http(),
        }
    }

    /// Sends a request and reads the whole answer.
    ///
    /// # Errors
    ///
    /// Returns an error when there is no whole answer.
    pub async fn send(&self, request: Request<Full<Bytes>>) -> Result<Answer> {
        tokio::time::timeout(TIMEOUT, self.exchange(request))
            .await
            .context("no answer within the test's time limit")?
    }

    /// Sends a GET request without headers.
    ///
    /// # Errors
    ///
    /// Returns an error when there is no whole answer.
    pub async fn get(&self, address: SocketAddr, path: &str) -> Result<Answer> {
        let request = Request::builder()
            .uri(format!("http://{address}{path}"))
            .body(Full::default())?;
        self.send(request).await
    }

    /// Posts a JSON body, with the token when one is given.
    ///
    /// # Errors
    ///
    /// Returns an error when there is no whole answer.
    pub async fn post_json<T: Serialize + Sync>(
        &self,
        address: SocketAddr,
        path: &str,
        token: Option<&str>,
        body: &T,
    ) -> Result<Answer> {
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

    async fn exchange(&self, request: Request<Full<Bytes>>) -> Result<Answer> {
        let response = self.inner.request(request).await?;
        let (parts, body) = response.into_parts();
        let body = body.collect().await?.to_bytes();
        let text = |name: &str| {
            parts
                .headers
                .get(name)
                .and_then(|value| value.to_str().ok())
                .unwrap_or_default()
                .to_owned()
        };
        Ok(Answer {
            status: parts.status.as_u16(),
            outcome: text("x-outcome"),
            reason: text("x-outcome-reason"),
            replayed: text("idempotency-replayed") == "true",
            call_id: text("x-call-id"),
            retry_after_s: text("retry-after").parse().ok(),
            body,
        })
    }
}

//! A caller's `POST` request with idempotency key, deadline and body.

use anyhow::Result;
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Method, Request};

use crate::client::ClientResponse;
use crate::site::Site;

/// A `POST` request of a caller, to be sent with [`Site::post`].
///
/// By default the request has no key, no deadline and an empty body.
#[derive(Debug, Clone)]
pub struct Call {
    id: String,
    idempotency_key: Option<String>,
    deadline_ms: Option<u64>,
    body: Bytes,
}

impl Call {
    /// Creates a request with `call_id` in its `x-call-id` header, which backend servers record
    /// with each run.
    #[must_use]
    pub fn new(call_id: &str) -> Self {
        Self {
            id: call_id.to_owned(),
            idempotency_key: None,
            deadline_ms: None,
            body: Bytes::new(),
        }
    }

    /// Sets the idempotency key.
    #[must_use]
    pub fn key(mut self, key: &str) -> Self {
        self.idempotency_key = Some(key.to_owned());
        self
    }

    /// Sets the deadline in milliseconds from the time at which the entry receives the request.
    #[must_use]
    pub const fn deadline_ms(mut self, deadline_ms: u64) -> Self {
        self.deadline_ms = Some(deadline_ms);
        self
    }

    /// Sets the request body.
    #[must_use]
    pub fn body(mut self, body: impl Into<Bytes>) -> Self {
        self.body = body.into();
        self
    }
}

impl Site {
    /// Posts a request to `/v1/services/{path}` at the entry with index `entry`.
    ///
    /// # Errors
    ///
    /// Returns an error when the request fails or the response isn't complete within 30 s.
    pub async fn post(&self, entry: usize, path: &str, call: &Call) -> Result<ClientResponse> {
        let address = self.entries[entry].address("callers")?;
        let mut request = Request::builder()
            .method(Method::POST)
            .uri(format!("http://{address}/v1/services/{path}"))
            .header("x-call-id", &call.id);
        if let Some(key) = &call.idempotency_key {
            request = request.header("idempotency-key", key);
        }
        if let Some(deadline_ms) = call.deadline_ms {
            request = request.header("x-request-deadline-ms", deadline_ms);
        }
        let request = request.body(Full::new(call.body.clone()))?;
        self.client.send(request).await
    }

    /// Returns how often the backend servers ran a call; servers that don't respond are skipped.
    pub async fn run_count(&self, call_id: &str) -> u32 {
        self.runs_by_call()
            .await
            .get(call_id)
            .copied()
            .unwrap_or_default()
    }
}

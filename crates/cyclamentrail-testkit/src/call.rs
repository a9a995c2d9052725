//! One request of a caller, with its key, deadline and body.

use anyhow::Result;
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Method, Request};

use crate::client::Answer;
use crate::site::Site;

/// A request that may have effects.
#[derive(Debug, Clone)]
pub struct Call {
    mark: String,
    key: Option<String>,
    deadline_ms: Option<u64>,
    body: Bytes,
}

impl Call {
    /// Creates a request with the caller's own mark.
    #[must_use]
    pub fn new(call_id: &str) -> Self {
        Self {
            mark: call_id.to_owned(),
            key: None,
            deadline_ms: None,
            body: Bytes::new(),
        }
    }

    /// Sets the idempotency key.
    #[must_use]
    pub fn key(mut self, key: &str) -> Self {
        self.key = Some(key.to_owned());
        self
    }

    /// Sets the deadline in milliseconds.
    #[must_use]
    pub const fn deadline_ms(mut self, deadline_ms: u64) -> Self {
        self.deadline_ms = Some(deadline_ms);
        self
    }

    /// Sets the body.
    #[must_use]
    pub fn body(mut self, body: impl Into<Bytes>) -> Self {
        self.body = body.into();
        self
    }
}

impl Site {
    /// Posts a request to a path below the services through an entry.
    ///
    /// # Errors
    ///
    /// Returns an error when there is no whole answer.
    pub async fn post(&self, entry: usize, path: &str, call: &Call) -> Result<Answer> {
        let address = self.entries[entry].address("callers")?;
        let mut request = Request::builder()
            .method(Method::POST)
            .uri(format!("http://{address}/v1/services/{path}"))
            .header("x-call-id", &call.mark);
        if let Some(key) = &call.key {
            request = request.header("idempotency-key", key);
        }
        if let Some(deadline_ms) = call.deadline_ms {
            request = request.header("x-request-deadline-ms", deadline_ms);
        }
        let request = request.body(Full::new(call.body.clone()))?;
        self.client.send(request).await
    }

    /// Returns the runs of a call over the backend servers that still answer.
    pub async fn runs_of(&self, call_id: &str) -> u32 {
        self.runs().await.get(call_id).copied().unwrap_or_default()
    }
}

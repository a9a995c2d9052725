//! Client for calls to the other edge processes.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Request, StatusCode};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;

use super::messages::{OwnerCall, Reply};

/// Path of calls to owners on the internal listener.
pub(crate) const OWNER_CALL_PATH: &str = "/v1/ask";
/// Time limit for connecting.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Largest accepted reply in bytes.
const MAX_REPLY_BYTES: usize = 1024 * 1024;

/// Why a call to an owner brought no reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PeerError {
    /// The request wasn't sent, or the process refused it without carrying it out.
    NotSent,
    /// The request may have been carried out.
    OutcomeUnknown,
}

/// Creates a connector to the internal listeners of other processes.
pub(super) fn peer_connector() -> HttpConnector {
    let mut connector = HttpConnector::new();
    connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
    connector.set_nodelay(true);
    connector
}

/// HTTP client for the internal listeners of other processes.
#[derive(Debug, Clone)]
pub(crate) struct PeerClient {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl PeerClient {
    pub(crate) fn new() -> Self {
        Self {
            client: Client::builder(TokioExecutor::new()).build(peer_connector()),
        }
    }

    /// Sends a request to a process and waits up to `timeout` for its reply.
    ///
    /// # Errors
    ///
    /// Returns [`PeerError::NotSent`] if the request wasn't carried out, and
    /// [`PeerError::OutcomeUnknown`] if it may have been.
    pub(crate) async fn call(
        &self,
        address: SocketAddr,
        call: &OwnerCall,
        timeout: Duration,
    ) -> Result<Reply, PeerError> {
        let body = rmp_serde::to_vec(call).map_err(|_error| PeerError::NotSent)?;
        let request = Request::post(format!("http://{address}{OWNER_CALL_PATH}"))
            .body(Full::new(Bytes::from(body)))
            .map_err(|_error| PeerError::NotSent)?;
        tokio::time::timeout(timeout, self.exchange(request))
            .await
            .map_err(|_elapsed| PeerError::OutcomeUnknown)?
    }

    async fn exchange(&self, request: Request<Full<Bytes>>) -> Result<Reply, PeerError> {
        let response = self.client.request(request).await.map_err(|error| {
            if error.is_connect() {
                PeerError::NotSent
            } else {
                PeerError::OutcomeUnknown
            }
        })?;
        match response.status() {
            status if status.is_success() => {}
            // The process lost or gave up the shard while it handled the request.
            StatusCode::GATEWAY_TIMEOUT => return Err(PeerError::OutcomeUnknown),
            _ => return Err(PeerError::NotSent),
        }
        let body = Limited::new(response.into_body(), MAX_REPLY_BYTES)
            .collect()
            .await
            .map_err(|_error| PeerError::OutcomeUnknown)?
            .to_bytes();
        rmp_serde::from_slice(&body).map_err(|_error| PeerError::OutcomeUnknown)
    }
}

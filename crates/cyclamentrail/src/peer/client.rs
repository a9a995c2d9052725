//! Client for heartbeats to other entries and for their agreed state.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anyhow::{Result, ensure};
use bytes::Bytes;
use cyclamentrail_core::{
    Fleet, Heartbeat, MAX_SNAPSHOT_BYTES, Offset, decode_heartbeat, decode_snapshot,
    encode_heartbeat,
};
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Method, Request};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;

use super::MAX_HEARTBEAT_BYTES;

/// HTTP client of the other entries' peers' listeners; each call has a time limit.
#[derive(Debug, Clone)]
pub(crate) struct PeerClient {
    client: Client<HttpConnector, Full<Bytes>>,
    token: Arc<str>,
    timeout: Duration,
}

impl PeerClient {
    /// Creates a client that authenticates with `token`; `timeout` bounds one call.
    pub(crate) fn new(token: Arc<str>, timeout: Duration) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(timeout));
        connector.set_nodelay(true);
        Self {
            client: Client::builder(TokioExecutor::new()).build(connector),
            token,
            timeout,
        }
    }

    /// Sends a heartbeat; returns the peer's response, or `None` when there was none.
    pub(crate) async fn heartbeat(
        &self,
        address: SocketAddr,
        heartbeat: &Heartbeat,
    ) -> Option<Heartbeat> {
        match self.send_heartbeat(address, heartbeat).await {
            Ok(response) => Some(response),
            Err(error) => {
                log::debug!(peer:% = address, error:% = error; "heartbeat_failed");
                None
            }
        }
    }

    /// Returns the agreed state of a peer, `None` when the peer's next offset isn't above
    /// `newer_than` or the state can't be read.
    pub(crate) async fn state(&self, address: SocketAddr, newer_than: Offset) -> Option<Fleet> {
        match self.fetch_state(address, newer_than).await {
            Ok(fleet) => fleet,
            Err(error) => {
                log::info!(peer:% = address, error:% = error; "peer_state_not_read");
                None
            }
        }
    }

    async fn send_heartbeat(
        &self,
        address: SocketAddr,
        heartbeat: &Heartbeat,
    ) -> Result<Heartbeat> {
        let body = encode_heartbeat(heartbeat)?;
        let bytes = self
            .call(Method::POST, address, "/v1/hb", body, MAX_HEARTBEAT_BYTES)
            .await?;
        Ok(decode_heartbeat(&bytes)?)
    }

    async fn fetch_state(&self, address: SocketAddr, newer_than: Offset) -> Result<Option<Fleet>> {
        let path = format!("/v1/state?newer_than={newer_than}");
        let bytes = self
            .call(Method::GET, address, &path, Vec::new(), MAX_SNAPSHOT_BYTES)
            .await?;
        if bytes.is_empty() {
            return Ok(None);
        }
        Ok(Some(decode_snapshot(&bytes)?))
    }

    async fn call(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        body: Vec<u8>,
        max_bytes: usize,
    ) -> Result<Bytes> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"))
            .header("authorization", format!("Bearer {}", self.token))
            .body(Full::new(Bytes::from(body)))?;
        tokio::time::timeout(self.timeout, self.exchange(request, max_bytes)).await?
    }

    async fn exchange(&self, request: Request<Full<Bytes>>, max_bytes: usize) -> Result<Bytes> {
        let response = self.client.request(request).await?;
        let status = response.status();
        ensure!(
            status.is_success(),
            "the peer responded with status {status}"
        );
        let body = Limited::new(response.into_body(), max_bytes)
            .collect()
            .await
            .map_err(|error| anyhow::anyhow!("the peer's response can't be read: {error}"))?;
        Ok(body.to_bytes())
    }
}

//! Client of the other processes of the system.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Request, StatusCode};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;

use super::messages::{Ask, Reply};

/// Path of questions on the listener for the other processes.
pub(crate) const ASK_PATH: &str = "/v1/ask";
/// Time limit for connecting.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Largest reply in bytes.
const MAX_REPLY_BYTES: usize = 1024 * 1024;

/// Why a question has no reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Unanswered {
    /// It never reached the other process.
    NotSent,
    /// It may have been carried out.
    Unknown,
}

/// Asks other processes.
#[derive(Debug, Clone)]
pub(crate) struct Peers {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl Peers {
    /// Creates a client.
    pub(crate) fn new() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_nodelay(true);
        Self {
            client: Client::builder(TokioExecutor::new()).build(connector),
        }
    }

    /// Asks a process and waits for its reply for as long as `timeout`.
    ///
    /// # Errors
    ///
    /// Returns whether the question may have been carried out.
    pub(crate) async fn ask(
        &self,
        address: SocketAddr,
        ask: &Ask,
        timeout: Duration,
    ) -> Result<Reply, Unanswered> {
        let body = rmp_serde::to_vec(ask).map_err(|_error| Unanswered::NotSent)?;
        let request = Request::post(format!("http://{address}{ASK_PATH}"))
            .body(Full::new(Bytes::from(body)))
            .map_err(|_error| Unanswered::NotSent)?;
        tokio::time::timeout(timeout, self.exchange(request))
            .await
            .map_err(|_elapsed| Unanswered::Unknown)?
    }

    async fn exchange(&self, request: Request<Full<Bytes>>) -> Result<Reply, Unanswered> {
        let response = self.client.request(request).await.map_err(|error| {
            if error.is_connect() {
                Unanswered::NotSent
            } else {
                Unanswered::Unknown
            }
        })?;
        match response.status() {
            status if status.is_success() => {}
            // The owner gave up while the question was with it.
            StatusCode::GATEWAY_TIMEOUT => return Err(Unanswered::Unknown),
            _ => return Err(Unanswered::NotSent),
        }
        let body = Limited::new(response.into_body(), MAX_REPLY_BYTES)
            .collect()
            .await
            .map_err(|_error| Unanswered::Unknown)?
            .to_bytes();
        rmp_serde::from_slice(&body).map_err(|_error| Unanswered::Unknown)
    }
}

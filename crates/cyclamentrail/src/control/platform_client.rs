//! HTTP client of the platform's log and instance list.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use cyclamentrail_core::{InstanceName, PlatformSettings, decode_message};
use cyclamentrail_platform::{
    AppendRequest, AppendResponse, InstanceList, ReadRequest, ReadResponse,
};
use http_body_util::{BodyExt, Full, Limited};
use hyper::header::{self, HeaderMap, HeaderValue};
use hyper::{Method, Request, StatusCode};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use thiserror::Error;

/// Largest response body that is read from the platform, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;

/// Why a call of the platform failed.
#[derive(Debug, Error)]
pub(crate) enum PlatformError {
    /// The platform refused the call or couldn't be connected; the call had no effect.
    #[error("the platform refused the call: {0}")]
    Refused(String),
    /// The response was lost, late or a server error; the call may have taken effect.
    #[error("the platform gave no answer: {0}")]
    NoResponse(String),
    /// The response can't be decoded.
    #[error("the platform's response is malformed: {0}")]
    Malformed(String),
}

/// The instance list and the tag that makes the next read conditional.
#[derive(Debug)]
pub(crate) struct TaggedList {
    /// Live and leaving instances.
    pub(crate) list: InstanceList,
    /// Entity tag of the list, if the platform sends one.
    pub(crate) tag: Option<HeaderValue>,
}

struct PlatformResponse {
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
}

/// Client of the platform; each call has a time limit.
#[derive(Debug, Clone)]
pub(crate) struct PlatformClient {
    client: Client<HttpConnector, Full<Bytes>>,
    settings: PlatformSettings,
    timeout: Duration,
}

impl PlatformClient {
    /// Creates a client; `timeout` bounds one call.
    pub(crate) fn new(settings: PlatformSettings, timeout: Duration) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(timeout));
        connector.set_nodelay(true);
        Self {
            client: Client::builder(TokioExecutor::new()).build(connector),
            settings,
            timeout,
        }
    }

    /// Appends records to the control stream.
    ///
    /// # Errors
    ///
    /// [`PlatformError::NoResponse`] means that the records may have been appended.
    pub(crate) async fn append(
        &self,
        records: Vec<Vec<u8>>,
    ) -> Result<AppendResponse, PlatformError> {
        self.append_to(&self.settings.control_stream, records).await
    }

    /// Appends a snapshot to the stream of snapshots.
    ///
    /// # Errors
    ///
    /// [`PlatformError::NoResponse`] means that the snapshot may have been appended.
    pub(crate) async fn append_snapshot(
        &self,
        snapshot: Vec<u8>,
    ) -> Result<AppendResponse, PlatformError> {
        self.append_to(&self.snapshot_stream(), vec![snapshot])
            .await
    }

    /// Reads records of the control stream; a long poll waits for new ones.
    ///
    /// # Errors
    ///
    /// Returns why nothing was read.
    pub(crate) async fn read(&self, request: ReadRequest) -> Result<ReadResponse, PlatformError> {
        self.read_from(&self.settings.control_stream, request).await
    }

    /// Reads records of the stream of snapshots.
    ///
    /// # Errors
    ///
    /// Returns why nothing was read.
    pub(crate) async fn read_snapshots(
        &self,
        request: ReadRequest,
    ) -> Result<ReadResponse, PlatformError> {
        self.read_from(&self.snapshot_stream(), request).await
    }

    fn snapshot_stream(&self) -> String {
        format!("{}-snapshots", self.settings.control_stream)
    }

    async fn append_to(
        &self,
        stream: &str,
        records: Vec<Vec<u8>>,
    ) -> Result<AppendResponse, PlatformError> {
        let body = rmp_serde::to_vec_named(&AppendRequest::from(records))
            .map_err(|error| PlatformError::Refused(error.to_string()))?;
        let path = format!("/v1/streams/{stream}/records");
        let address = self.settings.log_address;
        let bytes = self
            .call(Method::POST, address, &path, body, self.timeout)
            .await?;
        decode(&bytes)
    }

    async fn read_from(
        &self,
        stream: &str,
        request: ReadRequest,
    ) -> Result<ReadResponse, PlatformError> {
        let path = format!(
            "/v1/streams/{stream}/records?from={}&max={}&wait_ms={}",
            request.from, request.max, request.wait_ms
        );
        let timeout = self.timeout + Duration::from_millis(request.wait_ms);
        let address = self.settings.log_address;
        let bytes = self
            .call(Method::GET, address, &path, Vec::new(), timeout)
            .await?;
        decode(&bytes)
    }

    /// Reads the list of live and leaving instances; `None` when `known_tag` is still its tag.
    ///
    /// # Errors
    ///
    /// Returns why the list wasn't read.
    pub(crate) async fn list(
        &self,
        known_tag: Option<&HeaderValue>,
    ) -> Result<Option<TaggedList>, PlatformError> {
        let address = self.settings.list_address;
        let mut request = Request::builder().uri(format!("http://{address}/v1/instances"));
        if let Some(known_tag) = known_tag {
            request = request.header(header::IF_NONE_MATCH, known_tag);
        }
        let request = request
            .body(Full::default())
            .map_err(|error| PlatformError::Refused(error.to_string()))?;
        let response = Self::with_timeout(self.timeout, self.exchange(request)).await?;
        if response.status == StatusCode::NOT_MODIFIED {
            return Ok(None);
        }
        let list = serde_json::from_slice(&response.body)
            .map_err(|error| PlatformError::Malformed(error.to_string()))?;
        let tag = response.headers.get(header::ETAG).cloned();
        Ok(Some(TaggedList { list, tag }))
    }

    /// Requests a reboot of an instance from the platform.
    ///
    /// # Errors
    ///
    /// [`PlatformError::NoResponse`] means that the instance may still reboot.
    pub(crate) async fn reboot(&self, instance: &InstanceName) -> Result<(), PlatformError> {
        let path = format!("/v1/instances/{instance}/reboot");
        self.call(
            Method::POST,
            self.settings.list_address,
            &path,
            Vec::new(),
            self.timeout,
        )
        .await?;
        Ok(())
    }

    async fn call(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        body: Vec<u8>,
        timeout: Duration,
    ) -> Result<Bytes, PlatformError> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"))
            .body(Full::new(Bytes::from(body)))
            .map_err(|error| PlatformError::Refused(error.to_string()))?;
        let response = Self::with_timeout(timeout, self.exchange(request)).await?;
        Ok(response.body)
    }

    async fn with_timeout<T>(
        timeout: Duration,
        call: impl Future<Output = Result<T, PlatformError>>,
    ) -> Result<T, PlatformError> {
        tokio::time::timeout(timeout, call)
            .await
            .map_err(|_elapsed| PlatformError::NoResponse(format!("no answer in {timeout:?}")))?
    }

    async fn exchange(
        &self,
        request: Request<Full<Bytes>>,
    ) -> Result<PlatformResponse, PlatformError> {
        let response = self.client.request(request).await.map_err(|error| {
            if error.is_connect() {
                PlatformError::Refused(error.to_string())
            } else {
                PlatformError::NoResponse(error.to_string())
            }
        })?;
        let status = response.status();
        if status == StatusCode::SERVICE_UNAVAILABLE || status.is_client_error() {
            return Err(PlatformError::Refused(status.to_string()));
        }
        if !status.is_success() && status != StatusCode::NOT_MODIFIED {
            return Err(PlatformError::NoResponse(status.to_string()));
        }
        let (parts, body) = response.into_parts();
        let body = Limited::new(body, MAX_RESPONSE_BYTES)
            .collect()
            .await
            .map_err(|error| PlatformError::NoResponse(error.to_string()))?
            .to_bytes();
        Ok(PlatformResponse {
            status,
            headers: parts.headers,
            body,
        })
    }
}

fn decode<T: serde::de::DeserializeOwned>(bytes: &[u8]) -> Result<T, PlatformError> {
    decode_message(bytes).map_err(|error| PlatformError::Malformed(error.to_string()))
}

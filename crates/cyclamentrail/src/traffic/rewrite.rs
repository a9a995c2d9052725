//! Rewrites a caller's request for a backend server.

use axum::body::Body;
use axum::extract::Request;
use axum::http::header::{
    CONNECTION, CONTENT_LENGTH, EXPECT, HOST, HeaderName, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION,
    TE, TRANSFER_ENCODING, UPGRADE,
};
use axum::http::{HeaderMap, HeaderValue};
use bytes::Bytes;
use cyclamentrail_core::{NotRunReason, RequestFailure, ServiceName};
use tokio::time::Instant;

use super::request::BackendRequest;
use crate::body::{self, BodyError, ExpectedLength, declared_bytes};
use crate::headers;

/// Largest request body in bytes that is buffered, so that the request can be sent again.
const BUFFERED_BYTES: usize = 64 * 1024;
/// Headers that belong to one connection (RFC 9110, section 7.6.1), in addition to those that
/// `Connection` names.
const HOP_BY_HOP: [HeaderName; 8] = [
    CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION,
    TE,
    TRANSFER_ENCODING,
    UPGRADE,
];

/// Limits on receiving a request body.
#[derive(Debug, Clone, Copy)]
pub(crate) struct BodyLimits {
    /// Largest body in bytes.
    pub(crate) max_bytes: usize,
    /// Whether a body of any size up to `max_bytes` is buffered.
    pub(crate) buffer_all: bool,
    /// Time by which a buffered body must be complete.
    pub(crate) deadline: Instant,
}

/// Returns the request for a backend server.
///
/// A small body is buffered, and with `limits.buffer_all` a large one too; any other body is
/// streamed.
///
/// # Errors
///
/// Returns the reason why the request can't be sent.
pub(crate) async fn backend_request(
    service: &ServiceName,
    request: Request,
    request_id: &str,
    limits: BodyLimits,
) -> Result<BackendRequest, RequestFailure> {
    let bad_request = || RequestFailure::from(NotRunReason::BadRequest);
    let (mut parts, body) = request.into_parts();
    let path = parts
        .uri
        .path_and_query()
        .and_then(|path| path.as_str().strip_prefix("/v1/services"))
        .ok_or_else(bad_request)?;
    parts.uri = path.parse().map_err(|_error| bad_request())?;
    let wants_trailers = accepts_trailers(&parts.headers);
    let declared_bytes = declared_bytes(&parts.headers);
    remove_hop_by_hop(&mut parts.headers);
    parts.headers.remove(EXPECT);
    if wants_trailers {
        parts
            .headers
            .insert(TE, HeaderValue::from_static("trailers"));
    }
    let host = HeaderValue::from_str(service.as_str()).map_err(|_error| bad_request())?;
    parts.headers.insert(HOST, host);
    let id = HeaderValue::from_str(request_id).map_err(|_error| bad_request())?;
    let id_name = HeaderName::from_static(headers::REQUEST_ID);
    parts.headers.insert(id_name, id);
    if declared_bytes.is_some_and(|bytes| bytes > limits.max_bytes as u64) {
        return Err(NotRunReason::TooLarge.into());
    }
    let is_small = declared_bytes.is_some_and(|bytes| bytes <= BUFFERED_BYTES as u64);
    if !is_small && !limits.buffer_all {
        return Ok(BackendRequest::streamed(parts, body, limits.max_bytes));
    }
    let bytes = receive_body(body, declared_bytes, limits).await?;
    // The length of a chunked body is known once the body is buffered.
    if parts.headers.remove(CONTENT_LENGTH).is_some() || !bytes.is_empty() {
        parts
            .headers
            .insert(CONTENT_LENGTH, HeaderValue::from(bytes.len()));
    }
    Ok(BackendRequest::buffered(parts, bytes))
}

async fn receive_body(
    body: Body,
    declared_bytes: Option<u64>,
    limits: BodyLimits,
) -> Result<Bytes, RequestFailure> {
    let length = ExpectedLength {
        declared_bytes,
        max_bytes: limits.max_bytes,
    };
    let collected = body::collect(body, length);
    match tokio::time::timeout_at(limits.deadline, collected).await {
        Ok(Ok(bytes)) => Ok(bytes),
        Ok(Err(BodyError::TooLong)) => Err(NotRunReason::TooLarge.into()),
        Ok(Err(BodyError::Incomplete)) => Err(NotRunReason::BadRequest.into()),
        Err(_) => Err(NotRunReason::Deadline.into()),
    }
}

/// Removes the headers that belong to one connection, which a proxy must not forward.
pub(crate) fn remove_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|text| text.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().chain(&HOP_BY_HOP) {
        headers.remove(name);
    }
}

fn accepts_trailers(headers: &HeaderMap) -> bool {
    headers
        .get_all(TE)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|text| text.split(','))
        .any(|coding| coding.trim().eq_ignore_ascii_case("trailers"))
}

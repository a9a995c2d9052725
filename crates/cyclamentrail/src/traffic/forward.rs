//! Turns a caller's request into the one for a backend server.

use axum::body::Body;
use axum::extract::Request;
use axum::http::header::{
    CONNECTION, CONTENT_LENGTH, EXPECT, HOST, HeaderName, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION,
    TE, TRANSFER_ENCODING, UPGRADE,
};
use axum::http::{HeaderMap, HeaderValue};
use bytes::Bytes;
use cyclamentrail_core::{Ending, NotRunReason, ServiceName};
use http_body_util::{BodyExt, Limited};
use tokio::time::Instant;

use super::request::Outgoing;
use crate::headers;

/// Largest request body in bytes that is received as a whole, so that it can be sent again.
const BUFFERED_BYTES: usize = 64 * 1024;
/// Headers that belong to one connection (RFC 9110, section 7.6.1), beside those that
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

/// How a request's body is received.
#[derive(Debug, Clone, Copy)]
pub(crate) struct BodyLimits {
    /// Largest body in bytes.
    pub(crate) max_bytes: usize,
    /// Whether the whole body is wanted whatever its size.
    pub(crate) whole: bool,
    /// When the body must be here.
    pub(crate) deadline: Instant,
}

/// Turns a caller's request into the one for a backend server.
///
/// # Errors
///
/// Returns why the request can't be sent.
pub(crate) async fn forward(
    service: &ServiceName,
    request: Request,
    request_id: &str,
    limits: BodyLimits,
) -> Result<Outgoing, Ending> {
    let bad = || Ending::from(NotRunReason::BadRequest);
    let (mut parts, body) = request.into_parts();
    let path = parts
        .uri
        .path_and_query()
        .and_then(|path| path.as_str().strip_prefix("/v1/services"))
        .ok_or_else(bad)?;
    parts.uri = path.parse().map_err(|_error| bad())?;
    let takes_trailers = accepts_trailers(&parts.headers);
    let declared_bytes = declared_bytes(&parts.headers);
    remove_hop_by_hop(&mut parts.headers);
    parts.headers.remove(EXPECT);
    if takes_trailers {
        parts
            .headers
            .insert(TE, HeaderValue::from_static("trailers"));
    }
    let host = HeaderValue::from_str(service.as_str()).map_err(|_error| bad())?;
    parts.headers.insert(HOST, host);
    let id = HeaderValue::from_str(request_id).map_err(|_error| bad())?;
    let id_name = HeaderName::from_static(headers::REQUEST_ID);
    parts.headers.insert(id_name, id);
    if declared_bytes.is_some_and(|bytes| bytes > limits.max_bytes as u64) {
        return Err(NotRunReason::TooLarge.into());
    }
    let is_small = declared_bytes.is_some_and(|bytes| bytes <= BUFFERED_BYTES as u64);
    if !is_small && !limits.whole {
        return Ok(Outgoing::stream(parts, body, limits.max_bytes));
    }
    let bytes = receive(body, limits).await?;
    // A body of unknown length has its length now.
    if parts.headers.remove(CONTENT_LENGTH).is_some() || !bytes.is_empty() {
        parts
            .headers
            .insert(CONTENT_LENGTH, HeaderValue::from(bytes.len()));
    }
    Ok(Outgoing::whole(parts, bytes))
}

/// Returns the length in bytes that the headers declare, or `None` for a body that ends by itself.
///
/// The body's own size hint is lost behind the listener's time limits.
fn declared_bytes(headers: &HeaderMap) -> Option<u64> {
    if headers.contains_key(TRANSFER_ENCODING) {
        return None;
    }
    let Some(length) = headers.get(CONTENT_LENGTH) else {
        return Some(0);
    };
    length.to_str().ok()?.parse().ok()
}

async fn receive(body: Body, limits: BodyLimits) -> Result<Bytes, Ending> {
    let received = Limited::new(body, limits.max_bytes).collect();
    match tokio::time::timeout_at(limits.deadline, received).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => {
            Err(NotRunReason::TooLarge.into())
        }
        Ok(Err(_)) => Err(NotRunReason::BadRequest.into()),
        Err(_) => Err(NotRunReason::Deadline.into()),
    }
}

/// Removes the headers that belong to one connection only.
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

//! Sends one call of the load to an entry and classifies its end from the caller's point of view.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{HeaderMap, Request, Response};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use serde::Deserialize;

use super::arrival::Arrival;
use crate::headers;

/// Header with the caller's id of the call. The backend server copies the header to its response.
pub(super) const CALL_ID_HEADER: &str = "x-call-id";
/// Header with the idempotency key; requests with the same key run at most once in total.
const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
/// Time for which a caller waits for the final response after the call's deadline.
const RESPONSE_GRACE: Duration = Duration::from_secs(10);

/// HTTP client of the callers.
pub(super) type CallClient = Client<HttpConnector, Full<Bytes>>;

/// End of a call from its caller's point of view.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallEnd {
    /// The caller received the complete response to this call.
    Answered,
    /// The entry responded that no backend server ran the call.
    NotRun,
    /// The entry responded that a backend server may have run the call.
    Unknown,
    /// The caller received no final response, or an incomplete one.
    Lost,
    /// The caller received the response to another call.
    Crossed,
}

/// Body of a backend server's response, which repeats properties of the request.
#[derive(Debug, Deserialize)]
struct BackendResponse {
    call_id: String,
    service: String,
    body_bytes: String,
}

/// Sends a call to an entry and waits for its end, at most [`RESPONSE_GRACE`] longer than `deadline`.
pub(super) async fn call(
    client: &CallClient,
    entry: std::net::SocketAddr,
    arrival: &Arrival,
    call_id: &str,
    deadline: Duration,
) -> CallEnd {
    let Ok(request) = build_request(entry, arrival, call_id, deadline) else {
        return CallEnd::Lost;
    };
    let result =
        tokio::time::timeout(deadline + RESPONSE_GRACE, fetch_response(client, request)).await;
    match result {
        Ok(Ok((headers, body))) => classify_response(&headers, &body, arrival, call_id),
        Ok(Err(error)) => {
            log::warn!(call = call_id, error:% = format!("{error:#}"); "call_lost");
            CallEnd::Lost
        }
        Err(_) => {
            log::warn!(call = call_id; "call_unanswered");
            CallEnd::Lost
        }
    }
}

fn build_request(
    entry: std::net::SocketAddr,
    arrival: &Arrival,
    call_id: &str,
    deadline: Duration,
) -> http::Result<Request<Full<Bytes>>> {
    let Arrival {
        service, work_ms, ..
    } = arrival;
    let (method, action) = if arrival.idempotent {
        ("GET", "check")
    } else {
        ("POST", "order")
    };
    let mut builder = Request::builder()
        .method(method)
        .uri(format!(
            "http://{entry}/v1/services/{service}/{action}?work_ms={work_ms}"
        ))
        .header(CALL_ID_HEADER, call_id)
        .header(headers::DEADLINE_MS, deadline.as_millis().to_string());
    if !arrival.idempotent {
        builder = builder.header(IDEMPOTENCY_KEY_HEADER, format!("key-{call_id}"));
    }
    builder.body(Full::from(vec![b'x'; arrival.body_bytes]))
}

async fn fetch_response(
    client: &CallClient,
    request: Request<Full<Bytes>>,
) -> anyhow::Result<(HeaderMap, Bytes)> {
    let response: Response<_> = client.request(request).await?;
    let (parts, body) = response.into_parts();
    let body = body.collect().await?.to_bytes();
    Ok((parts.headers, body))
}

fn classify_response(
    headers: &HeaderMap,
    body: &[u8],
    arrival: &Arrival,
    call_id: &str,
) -> CallEnd {
    let header_text = |name: &str| {
        headers
            .get(name)
            .and_then(|value| value.to_str().ok())
            .unwrap_or_default()
    };
    match header_text(headers::OUTCOME) {
        "not-run" => CallEnd::NotRun,
        "unknown" => CallEnd::Unknown,
        "answered" => {
            let is_own_response =
                serde_json::from_slice(body).is_ok_and(|response_body: BackendResponse| {
                    response_body.call_id == call_id
                        && response_body.service == arrival.service.as_str()
                        && response_body.body_bytes == arrival.body_bytes.to_string()
                        && header_text(CALL_ID_HEADER) == call_id
                });
            if is_own_response {
                CallEnd::Answered
            } else {
                CallEnd::Crossed
            }
        }
        _ => CallEnd::Lost,
    }
}

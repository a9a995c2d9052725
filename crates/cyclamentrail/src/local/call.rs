//! One call of the load, and how it ended as its caller saw it.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{HeaderMap, Request, Response};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use serde::Deserialize;

use super::arrival::Arrival;
use crate::headers;

/// Header with the caller's own mark of the request, which the answer repeats.
pub(super) const CALL_ID_HEADER: &str = "x-call-id";
/// Header with the key under which a request runs at most once.
const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
/// Time after the deadline that a caller waits for a final answer.
const GRACE: Duration = Duration::from_secs(10);

/// HTTP client of the callers.
pub(super) type CallClient = Client<HttpConnector, Full<Bytes>>;

/// How a call ended as its caller saw it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallEnd {
    /// The whole answer to this call came.
    Whole,
    /// The caller was told that nothing was run.
    NotRun,
    /// The caller was told that the outcome is unknown.
    Unknown,
    /// No final answer came, or it was cut.
    Lost,
    /// An answer to something else came.
    Crossed,
}

/// What a backend server answers.
#[derive(Debug, Deserialize)]
struct BackendAnswer {
    call_id: String,
    service: String,
    body_bytes: String,
}

/// Sends a call to an entry and waits for its end.
pub(super) async fn call(
    client: &CallClient,
    entry: std::net::SocketAddr,
    arrival: &Arrival,
    call_id: &str,
    deadline: Duration,
) -> CallEnd {
    let Ok(request) = request(entry, arrival, call_id, deadline) else {
        return CallEnd::Lost;
    };
    let ended = tokio::time::timeout(deadline + GRACE, exchange(client, request)).await;
    match ended {
        Ok(Ok((headers, body))) => judge(&headers, &body, arrival, call_id),
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

fn request(
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

async fn exchange(
    client: &CallClient,
    request: Request<Full<Bytes>>,
) -> anyhow::Result<(HeaderMap, Bytes)> {
    let response: Response<_> = client.request(request).await?;
    let (parts, body) = response.into_parts();
    let body = body.collect().await?.to_bytes();
    Ok((parts.headers, body))
}

fn judge(headers: &HeaderMap, body: &[u8], arrival: &Arrival, call_id: &str) -> CallEnd {
    let text = |name: &str| {
        headers
            .get(name)
            .and_then(|value| value.to_str().ok())
            .unwrap_or_default()
    };
    match text(headers::OUTCOME) {
        "not-run" => CallEnd::NotRun,
        "unknown" => CallEnd::Unknown,
        "answered" => {
            let own = serde_json::from_slice(body).is_ok_and(|answer: BackendAnswer| {
                answer.call_id == call_id
                    && answer.service == arrival.service.as_str()
                    && answer.body_bytes == arrival.body_bytes.to_string()
                    && text(CALL_ID_HEADER) == call_id
            });
            if own {
                CallEnd::Whole
            } else {
                CallEnd::Crossed
            }
        }
        _ => CallEnd::Lost,
    }
}

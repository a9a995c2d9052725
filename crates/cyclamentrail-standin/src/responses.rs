//! Unusual responses of a backend server: streamed, truncated, sent before the request's body is
//! read, or carrying the id of another request.

use std::time::Duration;

use axum::body::{Body, Bytes};
use axum::extract::{Path, Query, Request, State};
use axum::http::{HeaderMap, HeaderName, HeaderValue, StatusCode, header};
use axum::response::{IntoResponse, Response};
use futures_util::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use serde::{Deserialize, Serialize};

use crate::backend::{Shared, SlotGuard, refusal_response};

/// Largest size of one data frame of a streamed response, in bytes.
const MAX_FRAME_BYTES: usize = 16 * 1024;
/// Header with the request id that the entry assigned.
const REQUEST_ID_HEADER: HeaderName = HeaderName::from_static("x-request-id");

/// Kind of response; selected by the query parameter `kind` of `/SERVICE/answers`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ResponseKind {
    /// Reads the request's body, then sends `bytes` bytes with a `Content-Length`.
    Length,
    /// Reads the request's body, then sends `bytes` bytes with chunked encoding.
    Chunked,
    /// Announces a `Content-Length` of twice `bytes` and closes the connection after `bytes` bytes.
    CutLength,
    /// Sends `bytes` bytes with chunked encoding and closes the connection without the last chunk.
    CutChunked,
    /// Sends `bytes` bytes with chunked encoding and the size of the request's body as a trailer.
    Trailers,
    /// Responds with the status 413 without reading the request's body.
    Early,
    /// Sends a response that carries the id of another request.
    Crossed,
}

/// Query of a request for a response of a given kind.
#[derive(Debug, Clone, Copy, Deserialize)]
pub(crate) struct ResponseQuery {
    kind: ResponseKind,
    /// Size of the response's body in bytes, unless the kind says otherwise.
    #[serde(default)]
    bytes: usize,
    /// Time in milliseconds between the request's body and the response.
    #[serde(default)]
    work_ms: u64,
    /// Pause before each data frame in milliseconds.
    #[serde(default)]
    pause_ms: u64,
}

/// Occupies a slot for a request and sends the kind of response that the query selects.
pub(crate) async fn run_request(
    State(shared): State<Shared>,
    Path(service): Path<String>,
    Query(query): Query<ResponseQuery>,
    request: Request,
) -> Response {
    if let Err(reason) = shared.begin_run(&service, request.headers()) {
        return refusal_response(reason);
    }
    let slot = SlotGuard::from(shared);
    if query.kind == ResponseKind::Early {
        let close = [(header::CONNECTION, "close")];
        return (StatusCode::PAYLOAD_TOO_LARGE, close).into_response();
    }
    let received = read_body(request.into_body()).await;
    tokio::time::sleep(Duration::from_millis(query.work_ms)).await;
    streamed_response(query, received, slot)
}

/// Reads a body to its end and returns its size in bytes.
async fn read_body(mut body: Body) -> u64 {
    let mut received = 0;
    while let Some(Ok(frame)) = body.frame().await {
        received += frame.data_ref().map_or(0, |data| data.len() as u64);
    }
    received
}

fn streamed_response(query: ResponseQuery, received: u64, slot: SlotGuard) -> Response {
    let mut headers = HeaderMap::new();
    headers.insert("x-received-bytes", HeaderValue::from(received));
    let mut end = Some(BodyEnd::Complete);
    match query.kind {
        ResponseKind::Length => {
            headers.insert(header::CONTENT_LENGTH, HeaderValue::from(query.bytes));
        }
        ResponseKind::CutLength => {
            headers.insert(header::CONTENT_LENGTH, HeaderValue::from(2 * query.bytes));
            end = Some(BodyEnd::Truncated);
        }
        ResponseKind::CutChunked => end = Some(BodyEnd::Truncated),
        ResponseKind::Trailers => {
            headers.insert(
                header::TRAILER,
                HeaderValue::from_static("x-received-bytes"),
            );
            end = Some(BodyEnd::Trailers(received));
        }
        ResponseKind::Crossed => {
            headers.insert(REQUEST_ID_HEADER, HeaderValue::from_static("1-1"));
        }
        ResponseKind::Chunked | ResponseKind::Early => {}
    }
    let remaining = RemainingBody {
        remaining_bytes: query.bytes,
        pause: Duration::from_millis(query.pause_ms),
        end,
        _slot: slot,
    };
    let body = StreamBody::new(stream::unfold(remaining, RemainingBody::next_frame));
    (headers, Body::new(body)).into_response()
}

/// The part of a response's body that isn't sent yet; holds the request's slot until dropped.
struct RemainingBody {
    remaining_bytes: usize,
    pause: Duration,
    end: Option<BodyEnd>,
    _slot: SlotGuard,
}

/// End of a response's body.
enum BodyEnd {
    Complete,
    /// The connection is closed before the body is complete.
    Truncated,
    /// Trailers with the size of the request's body in bytes.
    Trailers(u64),
}

type FrameResult = Result<Frame<Bytes>, std::io::Error>;

impl RemainingBody {
    async fn next_frame(mut self) -> Option<(FrameResult, Self)> {
        if self.remaining_bytes == 0 {
            return self.end().await;
        }
        if !self.pause.is_zero() {
            tokio::time::sleep(self.pause).await;
        }
        let length = self.remaining_bytes.min(MAX_FRAME_BYTES);
        self.remaining_bytes -= length;
        let frame = Frame::data(Bytes::from(vec![b'x'; length]));
        Some((Ok(frame), self))
    }

    async fn end(mut self) -> Option<(FrameResult, Self)> {
        match self.end.take()? {
            BodyEnd::Complete => None,
            BodyEnd::Truncated => {
                // The frames sent so far leave the process before the connection closes.
                tokio::time::sleep(Duration::from_millis(50)).await;
                Some((
                    Err(std::io::Error::other("response truncated as requested")),
                    self,
                ))
            }
            BodyEnd::Trailers(received) => {
                let mut trailers = HeaderMap::new();
                trailers.insert("x-received-bytes", HeaderValue::from(received));
                Some((Ok(Frame::trailers(trailers)), self))
            }
        }
    }
}

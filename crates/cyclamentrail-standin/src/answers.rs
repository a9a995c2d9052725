//! Answers of a backend server that are streamed, cut, early or another request's.

use std::time::Duration;

use axum::body::{Body, Bytes};
use axum::extract::{Path, Query, Request, State};
use axum::http::{HeaderMap, HeaderName, HeaderValue, StatusCode, header};
use axum::response::{IntoResponse, Response};
use futures_util::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use serde::{Deserialize, Serialize};

use crate::backend::{Shared, SlotGuard, refusal};

/// Bytes of one part of a streamed answer.
const PART_BYTES: usize = 16 * 1024;
/// Header with the entry's id of the request.
const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");

/// How a backend server answers; chosen by the query of `/SERVICE/answers`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AnswerKind {
    /// Reads the body, then sends `bytes` with a length.
    Length,
    /// Reads the body, then sends `bytes` in chunks.
    Chunked,
    /// Promises twice `bytes` and closes the connection after half.
    CutLength,
    /// Sends `bytes` in chunks and closes the connection without an end.
    CutChunked,
    /// Sends `bytes` in chunks and the number of received bytes as a trailer.
    Trailers,
    /// Answers with an error without reading the body.
    Early,
    /// Sends an answer that names another request.
    Crossed,
}

#[derive(Debug, Clone, Copy, Deserialize)]
pub(crate) struct AnswerQuery {
    kind: AnswerKind,
    #[serde(default)]
    bytes: usize,
    #[serde(default)]
    work_ms: u64,
    #[serde(default)]
    pause_ms: u64,
}

/// Runs a request and answers as its query says.
pub(crate) async fn run(
    State(shared): State<Shared>,
    Path(service): Path<String>,
    Query(query): Query<AnswerQuery>,
    request: Request,
) -> Response {
    if let Err(word) = shared.begin(&service, request.headers()) {
        return refusal(word);
    }
    let slot = SlotGuard::from(shared);
    if query.kind == AnswerKind::Early {
        let close = [(header::CONNECTION, "close")];
        return (StatusCode::PAYLOAD_TOO_LARGE, close).into_response();
    }
    let received = read_body(request.into_body()).await;
    tokio::time::sleep(Duration::from_millis(query.work_ms)).await;
    answer(query, received, slot)
}

async fn read_body(mut body: Body) -> u64 {
    let mut received = 0;
    while let Some(Ok(frame)) = body.frame().await {
        received += frame.data_ref().map_or(0, |data| data.len() as u64);
    }
    received
}

fn answer(query: AnswerQuery, received: u64, slot: SlotGuard) -> Response {
    let mut headers = HeaderMap::new();
    headers.insert("x-received-bytes", HeaderValue::from(received));
    let mut last = Some(Last::End);
    match query.kind {
        AnswerKind::Length => {
            headers.insert(header::CONTENT_LENGTH, HeaderValue::from(query.bytes));
        }
        AnswerKind::CutLength => {
            headers.insert(header::CONTENT_LENGTH, HeaderValue::from(2 * query.bytes));
            last = Some(Last::Cut);
        }
        AnswerKind::CutChunked => last = Some(Last::Cut),
        AnswerKind::Trailers => {
            headers.insert(
                header::TRAILER,
                HeaderValue::from_static("x-received-bytes"),
            );
            last = Some(Last::Trailers(received));
        }
        AnswerKind::Crossed => {
            headers.insert(REQUEST_ID, HeaderValue::from_static("1-1"));
        }
        AnswerKind::Chunked | AnswerKind::Early => {}
    }
    let parts = Parts {
        left_bytes: query.bytes,
        pause: Duration::from_millis(query.pause_ms),
        last,
        _slot: slot,
    };
    let body = StreamBody::new(stream::unfold(parts, Parts::next));
    (headers, Body::new(body)).into_response()
}

/// What is still to be sent.
struct Parts {
    left_bytes: usize,
    pause: Duration,
    last: Option<Last>,
    _slot: SlotGuard,
}

/// How an answer ends.
enum Last {
    End,
    Cut,
    Trailers(u64),
}

type Part = Result<Frame<Bytes>, std::io::Error>;

impl Parts {
    async fn next(mut self) -> Option<(Part, Self)> {
        if self.left_bytes == 0 {
            return self.finish().await;
        }
        if !self.pause.is_zero() {
            tokio::time::sleep(self.pause).await;
        }
        let length = self.left_bytes.min(PART_BYTES);
        self.left_bytes -= length;
        let frame = Frame::data(Bytes::from(vec![b'x'; length]));
        Some((Ok(frame), self))
    }

    async fn finish(mut self) -> Option<(Part, Self)> {
        match self.last.take()? {
            Last::End => None,
            Last::Cut => {
                // What was sent so far is on its way before the connection closes.
                tokio::time::sleep(Duration::from_millis(50)).await;
                Some((Err(std::io::Error::other("cut on request")), self))
            }
            Last::Trailers(received) => {
                let mut trailers = HeaderMap::new();
                trailers.insert("x-received-bytes", HeaderValue::from(received));
                Some((Ok(Frame::trailers(trailers)), self))
            }
        }
    }
}

//! Records the response to a request with an idempotency key, so that repetitions of the request
//! get the same response.

use axum::http::header::{
    CONNECTION, CONTENT_LENGTH, CONTENT_TYPE, DATE, TRAILER, TRANSFER_ENCODING,
};
use axum::http::{HeaderMap, HeaderName};
use bytes::{Bytes, BytesMut};
use cyclamentrail_core::{ClaimOutcome, StoredBody, StoredHeader, StoredResponse};
use hyper::http::response::Parts;

use crate::control::{RunEnd, RunPermit};

/// Largest response body in bytes that is recorded. Of a larger one only the length is recorded.
pub(crate) const MAX_RECORDED_BODY_BYTES: usize = 1024 * 1024;
/// Most bytes of header names and values that are recorded. Headers beyond are omitted, with
/// `Content-Type` considered first.
const MAX_RECORDED_HEADER_BYTES: usize = 1024;
/// Headers that describe one transfer of a response and are not recorded.
const PER_TRANSFER_HEADERS: [HeaderName; 5] =
    [CONNECTION, CONTENT_LENGTH, DATE, TRAILER, TRANSFER_ENCODING];

/// Records a response while it is forwarded.
///
/// Dropping a recorder before [`ResponseRecorder::finish`] records the outcome as unknown.
#[derive(Debug)]
pub(crate) struct ResponseRecorder {
    run: RunPermit,
    status: u16,
    headers: Vec<StoredHeader>,
    body: Option<BytesMut>,
    length_bytes: u64,
}

impl ResponseRecorder {
    /// Creates a recorder for the response with this head.
    pub(crate) fn new(run: RunPermit, head: &Parts) -> Self {
        Self {
            run,
            status: head.status.as_u16(),
            headers: recorded_headers(&head.headers),
            body: Some(BytesMut::new()),
            length_bytes: 0,
        }
    }

    /// Appends a chunk of the body.
    pub(crate) fn append(&mut self, data: &Bytes) {
        self.length_bytes += data.len() as u64;
        if self.length_bytes > MAX_RECORDED_BODY_BYTES as u64 {
            self.body = None;
        }
        if let Some(body) = &mut self.body {
            body.extend_from_slice(data);
        }
    }

    /// Records the complete response as the outcome of the run.
    pub(crate) fn finish(self) {
        let body = match self.body {
            Some(body) => StoredBody::Inline(body.to_vec()),
            None => StoredBody::AtOwner {
                length_bytes: self.length_bytes,
            },
        };
        let response = StoredResponse {
            status: self.status,
            headers: self.headers,
            body,
        };
        self.run
            .end(RunEnd::Ended(ClaimOutcome::Answered(response)));
    }
}

fn recorded_headers(headers: &HeaderMap) -> Vec<StoredHeader> {
    let mut recorded_bytes = 0;
    let (content_type, rest): (Vec<_>, Vec<_>) =
        headers.iter().partition(|(name, _)| *name == CONTENT_TYPE);
    content_type
        .into_iter()
        .chain(rest)
        .filter(|(name, _)| !PER_TRANSFER_HEADERS.contains(name))
        .filter_map(|(name, value)| {
            let value = value.to_str().ok()?;
            recorded_bytes += name.as_str().len() + value.len();
            (recorded_bytes <= MAX_RECORDED_HEADER_BYTES).then(|| StoredHeader {
                name: name.to_string(),
                value: value.to_owned(),
            })
        })
        .collect()
}

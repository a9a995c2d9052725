//! Records the answer of a key's request, so that its repetitions get the same.

use axum::http::header::{
    CONNECTION, CONTENT_LENGTH, CONTENT_TYPE, DATE, TRAILER, TRANSFER_ENCODING,
};
use axum::http::{HeaderMap, HeaderName};
use bytes::{Bytes, BytesMut};
use cyclamentrail_core::{ClaimOutcome, KeptAnswer, KeptBody, KeptHeader};
use hyper::http::response::Parts;

use crate::control::{Run, RunEnd};

/// Largest body in bytes that is kept for repetitions.
pub(crate) const KEPT_BODY_BYTES: usize = 1024 * 1024;
/// Bytes of the headers that are kept.
const KEPT_HEADER_BYTES: usize = 1024;
/// Headers that belong to one transfer of the answer.
const OF_ONE_TRANSFER: [HeaderName; 5] =
    [CONNECTION, CONTENT_LENGTH, DATE, TRAILER, TRANSFER_ENCODING];

/// Records an answer as it passes; dropping it early says that the outcome is unknown.
#[derive(Debug)]
pub(crate) struct Recorder {
    run: Run,
    status: u16,
    headers: Vec<KeptHeader>,
    body: Option<BytesMut>,
    length_bytes: u64,
}

impl Recorder {
    /// Creates a recorder of an answer with this head.
    pub(crate) fn new(run: Run, head: &Parts) -> Self {
        Self {
            run,
            status: head.status.as_u16(),
            headers: kept_headers(&head.headers),
            body: Some(BytesMut::new()),
            length_bytes: 0,
        }
    }

    /// Takes in a part of the body.
    pub(crate) fn pass(&mut self, data: &Bytes) {
        self.length_bytes += data.len() as u64;
        if self.length_bytes > KEPT_BODY_BYTES as u64 {
            self.body = None;
        }
        if let Some(body) = &mut self.body {
            body.extend_from_slice(data);
        }
    }

    /// Ends with the whole answer.
    pub(crate) fn whole(self) {
        let body = match self.body {
            Some(body) => KeptBody::Here(body.to_vec()),
            None => KeptBody::AtOwner {
                length_bytes: self.length_bytes,
            },
        };
        let answer = KeptAnswer {
            status: self.status,
            headers: self.headers,
            body,
        };
        self.run.end(RunEnd::Ended(ClaimOutcome::Answered(answer)));
    }
}

fn kept_headers(headers: &HeaderMap) -> Vec<KeptHeader> {
    let mut kept_bytes = 0;
    let (described, rest): (Vec<_>, Vec<_>) =
        headers.iter().partition(|(name, _)| *name == CONTENT_TYPE);
    described
        .into_iter()
        .chain(rest)
        .filter(|(name, _)| !OF_ONE_TRANSFER.contains(name))
        .filter_map(|(name, value)| {
            let value = value.to_str().ok()?;
            kept_bytes += name.as_str().len() + value.len();
            (kept_bytes <= KEPT_HEADER_BYTES).then(|| KeptHeader {
                name: name.to_string(),
                value: value.to_owned(),
            })
        })
        .collect()
}

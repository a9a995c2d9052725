//! Collects the bodies of requests, each in one buffer.

use axum::body::Body;
use axum::http::HeaderMap;
use axum::http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use bytes::Bytes;
use http_body_util::BodyExt;
use thiserror::Error;

mod budget;

pub(crate) use budget::{
    BodyBudget, BodyBudgetLimits, CollectError, HeldBody, HeldMemory, Shortage,
};

/// First buffer of a body of unknown length, in bytes.
const FIRST_BUFFER_BYTES: usize = 4_096;
/// Factor by which the buffer of such a body grows. The allocator keeps the buffers that are
/// outgrown, so that a small factor would cost as much memory again.
const GROWTH_FACTOR: usize = 4;

/// Reason why a body wasn't collected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub(crate) enum BodyError {
    /// The body is longer than allowed.
    #[error("the body is too long")]
    TooLong,
    /// The body isn't valid, ended early or paused for too long.
    #[error("the body is incomplete")]
    Incomplete,
}

/// Length of a body before it is received.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ExpectedLength {
    /// Length that the header declares; `None` for a chunked body.
    pub(crate) declared_bytes: Option<u64>,
    /// Longest body that is accepted.
    pub(crate) max_bytes: usize,
}

/// Returns the body length in bytes that the headers declare; `None` for a chunked body.
///
/// The size hint of the body itself is unusable: the listener's timeout layer hides it.
pub(crate) fn declared_bytes(headers: &HeaderMap) -> Option<u64> {
    if headers.contains_key(TRANSFER_ENCODING) {
        return None;
    }
    let Some(length) = headers.get(CONTENT_LENGTH) else {
        return Some(0);
    };
    length.to_str().ok()?.parse().ok()
}

/// Collects a body.
///
/// # Errors
///
/// Returns an error if the body is too long or incomplete.
pub(crate) async fn collect(mut body: Body, length: ExpectedLength) -> Result<Bytes, BodyError> {
    let mut buffer = BodyBuffer::new(length)?;
    while let Some(data) = next_data(&mut body).await? {
        let growth = buffer.growth_for(data.len())?;
        buffer.append(&data, growth);
    }
    Ok(buffer.into_bytes())
}

/// Returns the next part of a body; `None` at its end. Trailers are ignored.
async fn next_data(body: &mut Body) -> Result<Option<Bytes>, BodyError> {
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_error| BodyError::Incomplete)?;
        if let Ok(data) = frame.into_data() {
            return Ok(Some(data));
        }
    }
    Ok(None)
}

/// Buffer of one body.
///
/// Parts of a body are copied: each one keeps the whole read buffer of its connection alive, however
/// small it is.
#[derive(Debug)]
struct BodyBuffer {
    bytes: Vec<u8>,
    first_capacity: usize,
    max_bytes: usize,
}

impl BodyBuffer {
    fn new(length: ExpectedLength) -> Result<Self, BodyError> {
        let max_bytes = length.max_bytes;
        let first_capacity = match length.declared_bytes {
            Some(bytes) => usize::try_from(bytes).map_err(|_error| BodyError::TooLong)?,
            None => FIRST_BUFFER_BYTES.min(max_bytes),
        };
        if first_capacity > max_bytes {
            return Err(BodyError::TooLong);
        }
        Ok(Self {
            bytes: Vec::new(),
            first_capacity,
            max_bytes,
        })
    }

    /// Returns by how many bytes the capacity has to grow before `added` bytes are appended.
    fn growth_for(&self, added: usize) -> Result<usize, BodyError> {
        let needed = self.bytes.len() + added;
        if needed > self.max_bytes {
            return Err(BodyError::TooLong);
        }
        let present = self.bytes.capacity();
        if needed <= present {
            return Ok(0);
        }
        let grown = present.saturating_mul(GROWTH_FACTOR).min(self.max_bytes);
        Ok(grown.max(self.first_capacity).max(needed) - present)
    }

    /// Appends a part after the capacity has grown.
    fn append(&mut self, data: &[u8], growth: usize) {
        if growth > 0 {
            let spare = self.bytes.capacity() - self.bytes.len();
            self.bytes.reserve_exact(spare + growth);
        }
        self.bytes.extend_from_slice(data);
    }

    fn into_bytes(self) -> Bytes {
        Bytes::from(self.bytes)
    }
}

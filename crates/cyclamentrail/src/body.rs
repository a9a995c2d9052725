//! Collects the bodies of requests, each in one buffer.

use axum::body::Body;
use bytes::Bytes;
use http_body_util::BodyExt;
use thiserror::Error;

/// Smallest buffer for a body that doesn't end with its first frame, in bytes.
const MIN_BUFFER_BYTES: usize = 1_024;

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

/// Collects a body of at most `max_bytes`.
///
/// The frames are copied: each one keeps the whole read buffer of its connection alive, however
/// small it is. Trailers are ignored.
///
/// # Errors
///
/// Returns an error if the body is too long or incomplete.
pub(crate) async fn collect(mut body: Body, max_bytes: usize) -> Result<Bytes, BodyError> {
    let mut collected = Vec::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_error| BodyError::Incomplete)?;
        let Some(data) = frame.data_ref() else {
            continue;
        };
        let capacity = capacity_for(&collected, data.len(), max_bytes)?;
        collected.reserve_exact(capacity - collected.len());
        collected.extend_from_slice(data);
    }
    Ok(Bytes::from(collected))
}

/// Returns the capacity of a buffer that takes `added` more bytes: twice the present one if it has
/// to grow, and never more than `max_bytes`.
fn capacity_for(buffer: &Vec<u8>, added: usize, max_bytes: usize) -> Result<usize, BodyError> {
    let needed = buffer.len() + added;
    if needed > max_bytes {
        return Err(BodyError::TooLong);
    }
    if needed <= buffer.capacity() {
        return Ok(buffer.capacity());
    }
    let grown = (buffer.capacity() * 2).max(MIN_BUFFER_BYTES);
    Ok(grown.min(max_bytes).max(needed))
}

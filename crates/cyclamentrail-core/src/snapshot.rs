//! Snapshots of the fleet: versioned, with a checksum, bounded.
//!
//! ```
//! use cyclamentrail_core::{Fleet, decode_snapshot, encode_snapshot};
//!
//! let bytes = encode_snapshot(&Fleet::new()).expect("a fleet can be encoded");
//! assert_eq!(decode_snapshot(&bytes).expect("it is whole"), Fleet::new());
//! ```

use serde::{Deserialize, Serialize};
use serde_with::{Bytes, serde_as};
use sha2::{Digest, Sha256};
use thiserror::Error;

use crate::fleet::Fleet;
use crate::record::{CodecError, decode_message};

/// Newest snapshot format that this build writes and understands.
const SNAPSHOT_FORMAT: u16 = 1;
/// Largest snapshot in bytes.
pub const MAX_SNAPSHOT_BYTES: usize = 16 * 1024 * 1024;

/// Why a snapshot can't be used.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum SnapshotError {
    /// The bytes are no snapshot.
    #[error("snapshot is malformed: {0}; an older one or a peer's state is used")]
    Malformed(String),
    /// The checksum doesn't match.
    #[error("snapshot is damaged; an older one or a peer's state is used")]
    Damaged,
    /// The format is newer than this build.
    #[error("snapshot format {0} is newer than this build; upgrade this entry")]
    FormatTooNew(u16),
    /// It is larger than allowed.
    #[error("snapshot has {0} bytes, allowed are {MAX_SNAPSHOT_BYTES}; split the site")]
    TooLarge(usize),
}

#[serde_as]
#[derive(Serialize, Deserialize)]
struct Envelope {
    snapshot_format: u16,
    #[serde_as(as = "Bytes")]
    checksum: Vec<u8>,
    #[serde_as(as = "Bytes")]
    fleet: Vec<u8>,
}

/// Encodes a snapshot.
///
/// # Errors
///
/// Returns [`SnapshotError::TooLarge`] when it has more than [`MAX_SNAPSHOT_BYTES`].
pub fn encode_snapshot(fleet: &Fleet) -> Result<Vec<u8>, SnapshotError> {
    let malformed = |error: rmp_serde::encode::Error| SnapshotError::Malformed(error.to_string());
    let fleet = rmp_serde::to_vec_named(fleet).map_err(malformed)?;
    let envelope = Envelope {
        snapshot_format: SNAPSHOT_FORMAT,
        checksum: Sha256::digest(&fleet).to_vec(),
        fleet,
    };
    let bytes = rmp_serde::to_vec_named(&envelope).map_err(malformed)?;
    if bytes.len() > MAX_SNAPSHOT_BYTES {
        return Err(SnapshotError::TooLarge(bytes.len()));
    }
    Ok(bytes)
}

/// Decodes a snapshot.
///
/// # Errors
///
/// Returns why it can't be used.
pub fn decode_snapshot(bytes: &[u8]) -> Result<Fleet, SnapshotError> {
    if bytes.len() > MAX_SNAPSHOT_BYTES {
        return Err(SnapshotError::TooLarge(bytes.len()));
    }
    let malformed = |error: CodecError| SnapshotError::Malformed(error.to_string());
    let envelope: Envelope = decode_message(bytes).map_err(malformed)?;
    if envelope.snapshot_format > SNAPSHOT_FORMAT {
        return Err(SnapshotError::FormatTooNew(envelope.snapshot_format));
    }
    if Sha256::digest(&envelope.fleet).as_slice() != envelope.checksum {
        return Err(SnapshotError::Damaged);
    }
    decode_message(&envelope.fleet).map_err(malformed)
}

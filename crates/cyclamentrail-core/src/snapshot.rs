//! Snapshots of the fleet's state, with a format version, a checksum and a size limit.
//!
//! ```
//! use cyclamentrail_core::{Fleet, decode_snapshot, encode_snapshot};
//!
//! let bytes = encode_snapshot(&Fleet::new()).expect("a fleet can be encoded");
//! assert_eq!(decode_snapshot(&bytes).expect("the snapshot is intact"), Fleet::new());
//! ```

use serde::{Deserialize, Serialize};
use serde_with::{Bytes, serde_as};
use sha2::{Digest, Sha256};
use thiserror::Error;

use crate::fleet::Fleet;
use crate::record::{CodecError, decode_message};

/// Snapshot format that this build writes, and the newest one that it reads.
const SNAPSHOT_FORMAT: u16 = 1;
/// Largest size of a snapshot in bytes.
pub const MAX_SNAPSHOT_BYTES: usize = 16 * 1024 * 1024;

/// Reason for which a snapshot can't be written or used.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum SnapshotError {
    /// The bytes are no snapshot, or the fleet can't be serialized.
    #[error("snapshot is malformed: {0}; an older one or a peer's state is used")]
    Malformed(String),
    /// The checksum doesn't match the content.
    #[error("snapshot is damaged; an older one or a peer's state is used")]
    Damaged,
    /// The snapshot has a format that a newer build wrote.
    #[error("snapshot format {0} is newer than this build; upgrade this entry")]
    FormatTooNew(u16),
    /// The snapshot has more than [`MAX_SNAPSHOT_BYTES`] bytes.
    #[error("snapshot has {0} bytes, at most {MAX_SNAPSHOT_BYTES} are allowed; split the site")]
    TooLarge(usize),
}

#[serde_as]
#[derive(Serialize, Deserialize)]
struct SnapshotEnvelope {
    snapshot_format: u16,
    /// SHA-256 digest of `fleet`.
    #[serde_as(as = "Bytes")]
    checksum: Vec<u8>,
    /// Encoded fleet.
    #[serde_as(as = "Bytes")]
    fleet: Vec<u8>,
}

/// Encodes a fleet as a snapshot.
///
/// # Errors
///
/// Returns [`SnapshotError::TooLarge`] when the snapshot has more than [`MAX_SNAPSHOT_BYTES`]
/// bytes, and [`SnapshotError::Malformed`] when the fleet can't be serialized.
pub fn encode_snapshot(fleet: &Fleet) -> Result<Vec<u8>, SnapshotError> {
    let malformed = |error: rmp_serde::encode::Error| SnapshotError::Malformed(error.to_string());
    let fleet = rmp_serde::to_vec_named(fleet).map_err(malformed)?;
    let envelope = SnapshotEnvelope {
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

/// Decodes the fleet from a snapshot.
///
/// # Errors
///
/// Returns the [`SnapshotError`] that describes why the snapshot can't be used.
pub fn decode_snapshot(bytes: &[u8]) -> Result<Fleet, SnapshotError> {
    if bytes.len() > MAX_SNAPSHOT_BYTES {
        return Err(SnapshotError::TooLarge(bytes.len()));
    }
    let malformed = |error: CodecError| SnapshotError::Malformed(error.to_string());
    let envelope: SnapshotEnvelope = decode_message(bytes).map_err(malformed)?;
    if envelope.snapshot_format > SNAPSHOT_FORMAT {
        return Err(SnapshotError::FormatTooNew(envelope.snapshot_format));
    }
    if Sha256::digest(&envelope.fleet).as_slice() != envelope.checksum {
        return Err(SnapshotError::Damaged);
    }
    decode_message(&envelope.fleet).map_err(malformed)
}

//! The message that entries exchange to stay informed about one another.
//!
//! One exchange serves both sides: each message carries a time stamp of its sender's clock, and
//! the next message of the other side repeats it, so that each learns at which moment of its own
//! clock it was still confirmed.
//!
//! ```
//! use cyclamentrail_core::{Heartbeat, Incarnation, decode_heartbeat, encode_heartbeat};
//!
//! let heartbeat = Heartbeat::new(Incarnation::new(1), 250);
//! let bytes = encode_heartbeat(&heartbeat).expect("a heartbeat can be encoded");
//! assert_eq!(decode_heartbeat(&bytes).expect("it is well formed"), heartbeat);
//! ```

use serde::{Deserialize, Serialize};
use serde_with::{Bytes, serde_as};

use crate::id::{Incarnation, Offset, Version};
use crate::record::{CodecError, decode_message};

/// Most members that a heartbeat names in one of its lists.
const MAX_NAMED: usize = 4096;
/// Most records that one heartbeat passes on.
pub const MAX_PASSED_RECORDS: usize = 256;
/// Most bytes of records that one heartbeat passes on.
pub const MAX_PASSED_BYTES: usize = 256 * 1024;

/// What one entry tells another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Sender.
    #[serde(rename = "f")]
    pub from: Incarnation,
    /// Sender's clock in milliseconds, taken before sending.
    #[serde(rename = "t")]
    pub stamp_ms: u64,
    /// Newest stamp that the sender got from the receiver.
    #[serde(rename = "e", default, skip_serializing_if = "Option::is_none")]
    pub echo_ms: Option<u64>,
    /// Whether the sender confirms the receiver as a member.
    #[serde(rename = "c")]
    pub confirms: bool,
    /// Offset of the record that the sender folds next.
    #[serde(rename = "n")]
    pub next_offset: Offset,
    /// Version of the settings that the sender has in force.
    #[serde(rename = "v")]
    pub settings_version: Version,
    /// Milliseconds since the log last confirmed the sender's state; `None` when it never did.
    #[serde(rename = "l", default, skip_serializing_if = "Option::is_none")]
    pub log_age_ms: Option<u64>,
    /// Whether the sender lacks records that it can't read from the log.
    #[serde(rename = "w", default, skip_serializing_if = "is_false")]
    pub wants_records: bool,
    /// Members that the sender hasn't heard of for too long.
    #[serde(rename = "s", default, skip_serializing_if = "Vec::is_empty")]
    pub suspects: Vec<Incarnation>,
    /// Members whose eviction the sender wants the receiver to witness.
    #[serde(rename = "x", default, skip_serializing_if = "Vec::is_empty")]
    pub evicting: Vec<Incarnation>,
    /// Members that the sender promised not to confirm any more.
    #[serde(rename = "p", default, skip_serializing_if = "Vec::is_empty")]
    pub witnessed: Vec<Incarnation>,
    /// Records that the receiver lacks, without a gap.
    #[serde(rename = "r", default, skip_serializing_if = "Vec::is_empty")]
    pub records: Vec<PassedRecord>,
}

/// One record of the log, passed on by an entry that has read it.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PassedRecord {
    /// Position in the log.
    pub offset: Offset,
    /// Time stamp of the log service in milliseconds since the Unix epoch.
    pub appended_ms: u64,
    /// The record's bytes.
    #[serde_as(as = "Bytes")]
    pub bytes: Vec<u8>,
}

impl Heartbeat {
    /// Creates a message that tells nothing but that its sender runs.
    #[must_use]
    pub const fn new(from: Incarnation, stamp_ms: u64) -> Self {
        Self {
            from,
            stamp_ms,
            echo_ms: None,
            confirms: false,
            next_offset: Offset::new(0),
            settings_version: Version::new(0),
            log_age_ms: None,
            wants_records: false,
            suspects: Vec::new(),
            evicting: Vec::new(),
            witnessed: Vec::new(),
            records: Vec::new(),
        }
    }

    fn is_bounded(&self) -> bool {
        let named = [&self.suspects, &self.evicting, &self.witnessed];
        named.iter().all(|list| list.len() <= MAX_NAMED) && self.records.len() <= MAX_PASSED_RECORDS
    }
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde passes the field by reference"
)]
const fn is_false(flag: &bool) -> bool {
    !*flag
}

/// Encodes a heartbeat.
///
/// # Errors
///
/// Returns [`CodecError::Encode`] when it can't be written.
pub fn encode_heartbeat(heartbeat: &Heartbeat) -> Result<Vec<u8>, CodecError> {
    rmp_serde::to_vec_named(heartbeat).map_err(|error| CodecError::Encode(error.to_string()))
}

/// Decodes a heartbeat.
///
/// # Errors
///
/// Returns [`CodecError::Malformed`] when the bytes are no heartbeat or its lists are too long.
pub fn decode_heartbeat(bytes: &[u8]) -> Result<Heartbeat, CodecError> {
    let heartbeat: Heartbeat = decode_message(bytes)?;
    if heartbeat.is_bounded() {
        Ok(heartbeat)
    } else {
        Err(CodecError::Malformed(String::from(
            "the heartbeat's lists are too long",
        )))
    }
}

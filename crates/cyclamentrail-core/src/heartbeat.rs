//! Heartbeats that entries exchange to detect failures, confirm each other and pass on records.
//!
//! Request and response have the same shape. Each heartbeat carries a time stamp of its sender's
//! clock, and the next heartbeat in the other direction echoes the stamp. From a confirmation with
//! its own stamp, an entry knows at which time of its own clock it was still confirmed, whatever
//! the delay of the messages.
//!
//! ```
//! use cyclamentrail_core::{Heartbeat, Incarnation, decode_heartbeat, encode_heartbeat};
//!
//! let heartbeat = Heartbeat::new(Incarnation::new(1), 250);
//! let bytes = encode_heartbeat(&heartbeat).expect("a heartbeat can be encoded");
//! assert_eq!(decode_heartbeat(&bytes).expect("the heartbeat is well formed"), heartbeat);
//! ```

use serde::{Deserialize, Serialize};
use serde_with::{Bytes, serde_as};

use crate::id::{Incarnation, Offset, Version};
use crate::record::{CodecError, decode_message};

/// Largest number of members in each list of a heartbeat.
const MAX_LISTED_MEMBERS: usize = 4096;
/// Largest number of records in one heartbeat.
pub const MAX_RELAYED_RECORDS: usize = 256;
/// Largest number of bytes of all records in one heartbeat; only the sender checks this limit.
pub const MAX_RELAYED_BYTES: usize = 256 * 1024;

/// State that one entry sends to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Entry process that sends the heartbeat.
    #[serde(rename = "f")]
    pub from: Incarnation,
    /// Sender's monotonic clock in milliseconds, read before sending.
    #[serde(rename = "t")]
    pub stamp_ms: u64,
    /// Newest stamp that the sender received from the receiver; `None` before the first one.
    #[serde(rename = "e", default, skip_serializing_if = "Option::is_none")]
    pub echo_ms: Option<u64>,
    /// Whether the sender confirms the receiver as a member: the sender knows the receiver as a
    /// member and hasn't witnessed its eviction.
    #[serde(rename = "c")]
    pub confirms_receiver: bool,
    /// Offset of the record that the sender folds next.
    #[serde(rename = "n")]
    pub next_offset: Offset,
    /// Version of the settings that are in force at the sender.
    #[serde(rename = "v")]
    pub settings_version: Version,
    /// Milliseconds since the log last confirmed the sender's state; `None` when the log never did.
    #[serde(rename = "l", default, skip_serializing_if = "Option::is_none")]
    pub log_age_ms: Option<u64>,
    /// Whether the sender asks for records from `next_offset` on, because it can't read the log.
    #[serde(rename = "w", default, skip_serializing_if = "is_false")]
    pub wants_records: bool,
    /// Members that the sender hasn't heard of for longer than its suspicion timeout.
    #[serde(rename = "s", default, skip_serializing_if = "Vec::is_empty")]
    pub suspects: Vec<Incarnation>,
    /// Members whose eviction the sender asks the receiver to witness.
    #[serde(rename = "x", default, skip_serializing_if = "Vec::is_empty")]
    pub eviction_targets: Vec<Incarnation>,
    /// Members that the sender promised never to confirm again.
    #[serde(rename = "p", default, skip_serializing_if = "Vec::is_empty")]
    pub witnessed: Vec<Incarnation>,
    /// Records that the receiver lacks, in the order of their offsets and without a gap.
    #[serde(rename = "r", default, skip_serializing_if = "Vec::is_empty")]
    pub records: Vec<RelayedRecord>,
}

/// One record of the log, passed on by an entry that has it to one that can't read the log.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayedRecord {
    /// Position of the record in the log.
    pub offset: Offset,
    /// Time at which the log service appended the record, in milliseconds since the Unix epoch.
    pub appended_ms: u64,
    /// Encoded record.
    #[serde_as(as = "Bytes")]
    pub bytes: Vec<u8>,
}

impl Heartbeat {
    /// Creates a heartbeat that says only that its sender runs; all other fields are empty.
    #[must_use]
    pub const fn new(from: Incarnation, stamp_ms: u64) -> Self {
        Self {
            from,
            stamp_ms,
            echo_ms: None,
            confirms_receiver: false,
            next_offset: Offset::new(0),
            settings_version: Version::new(0),
            log_age_ms: None,
            wants_records: false,
            suspects: Vec::new(),
            eviction_targets: Vec::new(),
            witnessed: Vec::new(),
            records: Vec::new(),
        }
    }

    fn is_within_limits(&self) -> bool {
        let member_lists = [&self.suspects, &self.eviction_targets, &self.witnessed];
        member_lists
            .iter()
            .all(|list| list.len() <= MAX_LISTED_MEMBERS)
            && self.records.len() <= MAX_RELAYED_RECORDS
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
/// Returns [`CodecError::Encode`] when the heartbeat can't be serialized.
pub fn encode_heartbeat(heartbeat: &Heartbeat) -> Result<Vec<u8>, CodecError> {
    rmp_serde::to_vec_named(heartbeat).map_err(|error| CodecError::Encode(error.to_string()))
}

/// Decodes a heartbeat.
///
/// # Errors
///
/// Returns [`CodecError::Malformed`] when the bytes are no heartbeat, or when one of its lists has
/// more items than allowed.
pub fn decode_heartbeat(bytes: &[u8]) -> Result<Heartbeat, CodecError> {
    let heartbeat: Heartbeat = decode_message(bytes)?;
    if heartbeat.is_within_limits() {
        Ok(heartbeat)
    } else {
        Err(CodecError::Malformed(String::from(
            "the heartbeat's lists are too long",
        )))
    }
}

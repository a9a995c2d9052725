//! Records of the platform's log, through which the entries agree on shared state.
//!
//! Each entry folds the records in the order of their offsets. A record proposes a change; the fold
//! accepts or rejects it in the same way at every entry.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_with::serde_as;
use thiserror::Error;

use crate::claim::ClaimRecord;
use crate::id::{BootId, Incarnation, RecordId, Term, Version};
use crate::name::{EntryName, InstanceName, PoolName, ZoneName};
use crate::wave::WaveRecord;

/// Oldest record format; a log without records starts with this format.
pub const FIRST_RECORD_FORMAT: u16 = 1;
/// Newest record format that this build writes and reads.
pub const RECORD_FORMAT: u16 = 1;

/// Largest nesting depth of lists and maps in a message; a deeper one is malformed.
const MAX_NESTING_DEPTH: usize = 256;

/// One proposed change of the shared state; the fold accepts or rejects it.
#[derive(Debug, Clone, PartialEq)]
pub struct Record {
    /// Format of the body.
    pub format: u16,
    /// Id of the record, shared by all copies of it in the log.
    pub id: RecordId,
    /// Content of the record; `None` when its format is newer than this build, or when it is
    /// malformed.
    pub body: Option<RecordBody>,
}

/// Content of a record: the proposed change.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RecordBody {
    /// An entry process joins; the process may dispatch once it has folded this record.
    EntryJoined {
        /// Name of the entry instance.
        entry: EntryName,
        /// Availability zone of the entry.
        zone: ZoneName,
        /// Address of the entry's listener for peers.
        peer_address: SocketAddr,
        /// Newest record format that the entry understands.
        supports_format: u16,
    },
    /// The author runs; written while the author can't exchange heartbeats with some peer.
    EntryAlive,
    /// An entry process stopped, was switched off, or is evicted.
    EntryLeft {
        /// Process that is no longer a member.
        incarnation: Incarnation,
        /// Reason why the process is no longer a member.
        reason: LeaveReason,
    },
    /// An operator changes the settings.
    SettingsChanged {
        /// Version of the settings that the change is based on; rejected when another one is in
        /// force.
        presumes: Version,
        /// JSON merge patch (RFC 7386) of the settings document.
        patch: serde_json::Value,
        /// Operator who requested the change.
        operator: String,
    },
    /// The author claims the fleet duty for the next term.
    DutyClaimed {
        /// Term that the claim replaces; the claim is rejected when another term is in force.
        presumes: Term,
    },
    /// An instance begins to drain: no new work is dispatched to it.
    DrainBegun {
        /// Instance to drain.
        instance: InstanceName,
        /// Version of the instance that the drain is based on; rejected when the version has
        /// changed.
        presumes: Version,
        /// Reason for the drain.
        reason: DrainReason,
    },
    /// The author no longer dispatches to a draining instance and has no work in flight there.
    DrainReleased {
        /// Draining instance.
        instance: InstanceName,
        /// Version of the instance at which its drain began.
        drain: Version,
    },
    /// The platform's list shows an instance with a new boot.
    InstanceBooted {
        /// Instance that booted.
        instance: InstanceName,
        /// Version of the instance that the record is based on; rejected when the version has
        /// changed.
        presumes: Version,
        /// Boot that the platform's list shows.
        boot: BootId,
    },
    /// A change concerning idempotency keys.
    Claim(ClaimRecord),
    /// A change concerning maintenance waves.
    Wave(WaveRecord),
    /// A drained instance is assigned to a pool.
    InstanceAssigned {
        /// Drained instance.
        instance: InstanceName,
        /// Version of the instance that the assignment is based on; rejected when the version has
        /// changed.
        presumes: Version,
        /// Pool that the instance belongs to from this record on.
        pool: PoolName,
    },
}

/// Reason why an entry process is no longer a member.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LeaveReason {
    /// The entry stopped as planned and has no work in flight.
    Stopped,
    /// An operator confirmed that the entry's instance is switched off.
    SwitchedOff {
        /// Operator who confirmed it.
        operator: String,
    },
    /// At least half of the members hadn't heard of the entry for longer than its dispatch lease.
    Evicted {
        /// Members that promised never to confirm the entry again; at least half of all members.
        witnesses: BTreeSet<Incarnation>,
    },
}

/// Reason why an instance drains.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DrainReason {
    /// The instance moves to another pool.
    Move,
    /// A maintenance wave takes the instance out of service.
    Wave,
    /// The platform's list shows the instance as leaving.
    Leaving,
}

/// Reason for which a record or message can't be encoded or decoded.
#[derive(Debug, Error)]
pub enum CodecError {
    /// The bytes are no valid record or message of the expected type.
    #[error(
        "message is malformed: {0}; check that only this product writes to the stream or listener"
    )]
    Malformed(String),
    /// The record or message can't be serialized.
    #[error("log record can't be encoded: {0}; report this as a bug")]
    Encode(String),
}

#[serde_as]
#[derive(Serialize, Deserialize)]
struct RecordEnvelope {
    format: u16,
    id: RecordId,
    #[serde_as(as = "serde_with::Bytes")]
    body: Vec<u8>,
}

/// Encodes a record for the log.
///
/// # Errors
///
/// Returns [`CodecError::Encode`] when the record has no body or can't be serialized.
pub fn encode_record(record: &Record) -> Result<Vec<u8>, CodecError> {
    let body = record
        .body
        .as_ref()
        .ok_or_else(|| CodecError::Encode(String::from("the record has no body")))?;
    let record_envelope = RecordEnvelope {
        format: record.format,
        id: record.id,
        body: rmp_serde::to_vec_named(body)
            .map_err(|error| CodecError::Encode(error.to_string()))?,
    };
    rmp_serde::to_vec_named(&record_envelope).map_err(|error| CodecError::Encode(error.to_string()))
}

/// Decodes a record from the log.
///
/// A record with a newer format or a malformed body is decoded without its body. Every build
/// thereby folds the same record ids, whichever formats it supports.
///
/// # Errors
///
/// Returns [`CodecError::Malformed`] when the bytes are no record.
pub fn decode_record(bytes: &[u8]) -> Result<Record, CodecError> {
    let record_envelope: RecordEnvelope = decode_message(bytes)?;
    let body = (record_envelope.format <= RECORD_FORMAT)
        .then(|| decode_message(&record_envelope.body).ok())
        .flatten();
    Ok(Record {
        format: record_envelope.format,
        id: record_envelope.id,
        body,
    })
}

/// Decodes a message of another process, with a limit on its nesting depth.
///
/// Without the limit, deeply nested lists could overflow the stack.
///
/// # Errors
///
/// Returns [`CodecError::Malformed`] when the bytes are no message of type `T` or nest too deeply.
pub fn decode_message<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, CodecError> {
    let mut deserializer = rmp_serde::Deserializer::from_read_ref(bytes);
    deserializer.set_max_depth(MAX_NESTING_DEPTH);
    T::deserialize(&mut deserializer).map_err(|error| CodecError::Malformed(error.to_string()))
}

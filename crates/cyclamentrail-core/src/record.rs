//! Records of the platform's log: every agreed fact is one.

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

/// Oldest record format; a log without records starts with it.
pub const FIRST_FORMAT: u16 = 1;
/// Newest record format that this build writes and understands.
pub const FORMAT: u16 = 1;

/// Levels of lists and maps that a message may hold inside one another.
const MAX_DEPTH: usize = 256;

/// One agreed fact, or an attempt at one: the fold decides.
#[derive(Debug, Clone, PartialEq)]
pub struct Record {
    /// Record format that the body is written in.
    pub format: u16,
    /// Identity, the same for each copy of the record.
    pub id: RecordId,
    /// Content; `None` when this build doesn't know the format, or when the content is malformed.
    pub body: Option<RecordBody>,
}

/// Content of a record.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RecordBody {
    /// An entry process joined; it may dispatch once it has folded this record.
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
    /// An entry process runs; written while it can't reach some peer directly.
    EntryAlive,
    /// An entry process left or was evicted.
    EntryLeft {
        /// The process that is gone.
        incarnation: Incarnation,
        /// Why it is gone.
        reason: LeaveReason,
    },
    /// A change of the settings as a JSON merge patch.
    SettingsChanged {
        /// Version of the settings that the change was made against.
        presumes: Version,
        /// JSON merge patch on the settings document.
        patch: serde_json::Value,
        /// Operator who asked for the change.
        operator: String,
    },
    /// An entry claims the fleet duty for a term.
    DutyClaimed {
        /// Term that the claim presumes to be in force.
        presumes: Term,
    },
    /// An instance gets no new work from now on.
    DrainBegun {
        /// The instance to drain.
        instance: InstanceName,
        /// Version of the instance that the drain presumes.
        presumes: Version,
        /// Why it drains.
        reason: DrainReason,
    },
    /// The author dispatches nothing to a draining instance and has nothing in flight there.
    DrainReleased {
        /// The draining instance.
        instance: InstanceName,
        /// Version of the instance at which its drain began.
        drain: Version,
    },
    /// An instance was seen with a new boot.
    InstanceBooted {
        /// The instance.
        instance: InstanceName,
        /// Version of the instance that the record presumes.
        presumes: Version,
        /// The boot that the platform's list shows.
        boot: BootId,
    },
    /// Something about idempotency keys.
    Claim(ClaimRecord),
    /// Something about maintenance waves.
    Wave(WaveRecord),
    /// A drained instance is given to a pool.
    InstanceAssigned {
        /// The drained instance.
        instance: InstanceName,
        /// Version of the instance that the assignment presumes.
        presumes: Version,
        /// The pool that it belongs to from now on.
        pool: PoolName,
    },
}

/// Why an entry is no longer a member.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LeaveReason {
    /// The entry stopped in order; nothing of its work is in flight.
    Stopped,
    /// An operator made sure that the entry's instance is switched off.
    SwitchedOff {
        /// The operator.
        operator: String,
    },
    /// The entry was not heard of for longer than its dispatch lease.
    Evicted {
        /// Members that promised not to confirm the entry any more; at least half of all members.
        witnesses: BTreeSet<Incarnation>,
    },
}

/// Why an instance drains.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DrainReason {
    /// It moves to another pool.
    Move,
    /// A maintenance wave takes it away.
    Wave,
    /// The platform's list shows it as leaving.
    Leaving,
}

/// Why a record can't be read or written.
#[derive(Debug, Error)]
pub enum CodecError {
    /// The bytes are no record.
    #[error(
        "message is malformed: {0}; check that only this product writes to the stream or listener"
    )]
    Malformed(String),
    /// The record can't be written.
    #[error("log record can't be encoded: {0}; report this as a bug")]
    Encode(String),
}

#[serde_as]
#[derive(Serialize, Deserialize)]
struct Envelope {
    format: u16,
    id: RecordId,
    #[serde_as(as = "serde_with::Bytes")]
    body: Vec<u8>,
}

/// Encodes a record for the log.
///
/// # Errors
///
/// Returns [`CodecError::Encode`] when the record has no body or can't be written.
pub fn encode_record(record: &Record) -> Result<Vec<u8>, CodecError> {
    let body = record
        .body
        .as_ref()
        .ok_or_else(|| CodecError::Encode(String::from("the body is unknown")))?;
    let envelope = Envelope {
        format: record.format,
        id: record.id,
        body: rmp_serde::to_vec_named(body)
            .map_err(|error| CodecError::Encode(error.to_string()))?,
    };
    rmp_serde::to_vec_named(&envelope).map_err(|error| CodecError::Encode(error.to_string()))
}

/// Decodes a record from the log.
///
/// A record of a newer format or with a malformed body decodes without its body, so that every
/// build folds the same record ids, whichever formats it knows.
///
/// # Errors
///
/// Returns [`CodecError::Malformed`] when the bytes are no record.
pub fn decode_record(bytes: &[u8]) -> Result<Record, CodecError> {
    let envelope: Envelope = decode_message(bytes)?;
    let body = (envelope.format <= FORMAT)
        .then(|| decode_message(&envelope.body).ok())
        .flatten();
    Ok(Record {
        format: envelope.format,
        id: envelope.id,
        body,
    })
}

/// Decodes a message that comes from outside; one that nests too deeply is refused.
///
/// # Errors
///
/// Returns [`CodecError::Malformed`] when the bytes are no such message.
pub fn decode_message<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, CodecError> {
    let mut deserializer = rmp_serde::Deserializer::from_read_ref(bytes);
    deserializer.set_max_depth(MAX_DEPTH);
    T::deserialize(&mut deserializer).map_err(|error| CodecError::Malformed(error.to_string()))
}

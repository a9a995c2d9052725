//! Messages of the log service.

use cyclamentrail_core::Offset;
use serde::{Deserialize, Serialize};
use serde_with::{Bytes, serde_as};

/// Asks the log service to append records, all or none, in order.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendRequest {
    /// The records' bytes.
    #[serde_as(as = "Vec<Bytes>")]
    pub records: Vec<Vec<u8>>,
}

impl From<Vec<Vec<u8>>> for AppendRequest {
    fn from(records: Vec<Vec<u8>>) -> Self {
        Self { records }
    }
}

/// Answers an append that took effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendAnswer {
    /// Offset of the first record of the request.
    pub first_offset: Offset,
}

/// Asks for records; sent as the query of the read call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadRequest {
    /// Offset of the first record wanted.
    pub from: Offset,
    /// Most records wanted.
    pub max: u32,
    /// Longest time in milliseconds to wait for a first record.
    pub wait_ms: u64,
}

/// Answers a read.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadAnswer {
    /// Offset of the oldest record that is still kept.
    pub oldest: Offset,
    /// Offset that the next record will get.
    pub head: Offset,
    /// Records from the wanted offset on; empty when it is older than `oldest`.
    pub records: Vec<LogRecord>,
}

/// One record as the log keeps it.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogRecord {
    /// Position in the stream.
    pub offset: Offset,
    /// Time stamp of the log service in milliseconds since the Unix epoch.
    pub appended_ms: u64,
    /// The record's bytes.
    #[serde_as(as = "Bytes")]
    pub bytes: Vec<u8>,
}

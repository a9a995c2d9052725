//! Messages of the log service: append and read of a stream.

use cyclamentrail_core::Offset;
use serde::{Deserialize, Serialize};
use serde_with::{Bytes, serde_as};

/// Request to append records to a stream in this order; either all are appended or none.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendRequest {
    /// Encoded records.
    #[serde_as(as = "Vec<Bytes>")]
    pub records: Vec<Vec<u8>>,
}

impl From<Vec<Vec<u8>>> for AppendRequest {
    fn from(records: Vec<Vec<u8>>) -> Self {
        Self { records }
    }
}

/// Response to an append that took effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendResponse {
    /// Offset of the first record of the request.
    pub first_offset: Offset,
}

/// Request to read records; sent as the query string of the read call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadRequest {
    /// Offset of the first record to read.
    pub from: Offset,
    /// Largest number of records to return.
    pub max: u32,
    /// Longest time in milliseconds that the service waits for a record when there is none yet.
    pub wait_ms: u64,
}

/// Response to a read.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadResponse {
    /// Offset of the oldest record that the stream still holds.
    pub oldest: Offset,
    /// Offset that the next appended record gets.
    pub head: Offset,
    /// Records from the requested offset on; empty when the requested offset is below `oldest`.
    pub records: Vec<LogRecord>,
}

/// One record as stored in the log.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogRecord {
    /// Position of the record in the stream.
    pub offset: Offset,
    /// Time at which the log service appended the record, in milliseconds since the Unix epoch.
    pub appended_ms: u64,
    /// Encoded record.
    #[serde_as(as = "Bytes")]
    pub bytes: Vec<u8>,
}

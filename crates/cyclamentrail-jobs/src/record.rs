//! What a shard keeps on the platform: the newest record of each key.
//!
//! Each job has two keys: its id, for what was accepted, and its id with a suffix, for how far it
//! has come. A record that can't be read is skipped by its reader.

use std::sync::Arc;

use cyclamentrail_core::{RouteName, WorkerId};
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::JobSpec;

/// Suffix of the key of a job's progress.
pub const PROGRESS_SUFFIX: &str = "/p";

/// A record to be kept under a key; without a value, the key is dropped.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyedRecord {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Vec<u8>,
}

/// A job as it was accepted.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AcceptRecord {
    /// Its route.
    pub route: RouteName,
    /// What was asked for.
    pub spec: Arc<JobSpec>,
    /// Unix time of its acceptance in milliseconds.
    pub accepted_ms: u64,
}

/// How far a job has come.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ProgressRecord {
    /// Whether its caller cancelled it.
    pub is_cancelled: bool,
    /// Whether a task failed too often.
    pub is_failed: bool,
    /// Whether anything was ever started.
    pub has_started: bool,
    /// Number of the next occurrence that will become due.
    pub next_occurrence: u32,
    /// Unix time at which it became final, in milliseconds.
    pub ended_ms: Option<u64>,
    /// Occurrences that are under way.
    pub occurrences: Vec<OccurrenceRecord>,
}

/// How far an occurrence has come.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct OccurrenceRecord {
    /// Its number.
    pub number: u32,
    /// The tasks of each step.
    pub steps: Vec<Vec<TaskRecord>>,
}

/// How far a task has come.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TaskRecord {
    /// Whether a run has ended well.
    pub is_done: bool,
    /// Highest number of a run so far.
    pub run: u32,
    /// Numbers of the runs that failed.
    pub failed_runs: Vec<u32>,
    /// Where the next run resumes.
    pub checkpoint: Arc<str>,
    /// The present run.
    pub placement: Option<PlacementRecord>,
}

/// Key of the record that an owner leaves when it gives up its shard.
pub const RELEASE_KEY: &str = "~release";

/// An owner's word that it acts no more.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReleaseRecord {
    /// The owner's fencing token.
    pub token: u64,
}

/// Where a run is.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PlacementRecord {
    /// The worker.
    pub worker: WorkerId,
    /// The worker's life.
    pub born_ms: u64,
    /// Number of the run.
    pub run: u32,
    /// Whether it is being stopped.
    pub is_stopping: bool,
}

/// Why a record can't be read.
#[derive(Debug, Error)]
#[error("the record can't be read and is skipped: {0}")]
pub struct RecordError(#[from] rmp_serde::decode::Error);

/// Encodes a record.
#[must_use]
pub fn encode<T: Serialize>(record: &T) -> Vec<u8> {
    // Writing these types to memory can't fail; an empty record would be skipped by its reader.
    rmp_serde::to_vec(record).unwrap_or_default()
}

/// Decodes a record.
///
/// # Errors
///
/// Returns [`RecordError`] when the bytes are no such record.
pub fn decode<T: for<'de> Deserialize<'de>>(bytes: &[u8]) -> Result<T, RecordError> {
    Ok(rmp_serde::from_slice(bytes)?)
}

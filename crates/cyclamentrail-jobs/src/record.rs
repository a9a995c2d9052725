//! Records that a shard keeps in the platform's store, which holds the newest record of each key.
//!
//! Each job has two keys: its id, for the job as it was accepted, and its id with
//! [`PROGRESS_SUFFIX`], for its progress. Keys that begin with `~` belong to the shard itself. A
//! reader skips a record that can't be decoded.

use std::ops::Not;

use std::sync::Arc;

use cyclamentrail_core::{JobId, RouteName, TeamName, WorkerId};
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::JobSpec;
use crate::job::CrashedRun;
use crate::record_parts::PartsRecord;

/// Suffix that turns a job's id into the key of its progress record.
pub const PROGRESS_SUFFIX: &str = "/p";

/// Record to be appended under a key; an empty value deletes the key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyedRecord {
    /// Key of the record.
    pub key: String,
    /// Encoded value.
    pub value: Vec<u8>,
}

/// A job as it was accepted.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AcceptedJobRecord {
    /// Route by which the job was submitted.
    pub route: RouteName,
    /// The job as its caller submitted it.
    pub spec: Arc<JobSpec>,
    /// Unix time of the acceptance, in milliseconds.
    pub accepted_ms: u64,
    /// Team of the caller; left out for a job without one, so that the record stays readable for
    /// processes that know no teams.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub team: Option<TeamName>,
}

/// Progress of a job.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ProgressRecord {
    /// Whether the caller cancelled the job.
    pub is_cancelled: bool,
    /// Whether a task failed as often as the route allows.
    pub is_failed: bool,
    /// Whether any task has ever started.
    pub has_started: bool,
    /// Number of the next occurrence that will become due.
    pub next_occurrence: u32,
    /// Unix time at which the job reached its final state, in milliseconds.
    pub ended_ms: Option<u64>,
    /// Occurrences that are due, and aren't done or still have runs that haven't ended.
    pub occurrences: Vec<OccurrenceRecord>,
    /// How the occurrences are stored in parts; `None` if they are part of this record, which processes
    /// of earlier versions can read then.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub parts: Option<PartsRecord>,
}

/// Progress of an occurrence.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct OccurrenceRecord {
    /// Number of the occurrence, from 0.
    pub number: u32,
    /// Tasks of each step, by index.
    pub steps: Vec<Vec<TaskRecord>>,
}

/// Progress of a task.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct TaskRecord {
    /// Whether a run has completed the task.
    pub is_done: bool,
    /// Highest run number that was used; 0 before the first run.
    pub run: u32,
    /// Numbers of the failed runs.
    pub failed_runs: Vec<u32>,
    /// Checkpoint from which the next run resumes; empty for a run from the beginning.
    pub checkpoint: Arc<str>,
    /// Assignment of the current run, if there is one.
    pub placement: Option<PlacementRecord>,
    /// Runs whose worker crashed under them.
    #[serde(default)]
    pub crashed_runs: Vec<CrashedRun>,
    /// Start commands without a response, which may still be carried out. Left out where there are none, so
    /// that earlier versions can read the record.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub open_start: Option<OpenStartRecord>,
}

/// Start commands without a response.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct OpenStartRecord {
    /// Worker that they were sent to.
    pub worker: WorkerId,
    /// Time from the commit until none is carried out any more and a run that one has begun has ended with its
    /// lease, in milliseconds.
    pub remaining_ms: u64,
}

/// Prefix of the keys of all records that belong to the shard itself.
const RESERVED_PREFIX: &str = "~";

/// Key of the record by which an owner gives up its shard.
pub const RELEASE_KEY: &str = "~release";

/// Prefix that turns the name of a route into the key of its configuration.
pub(crate) const ROUTE_PREFIX: &str = "~route/";
/// Prefix of the keys of the records of a queue's state at the service.
pub(crate) const QUEUE_PREFIX: &str = "~queue/";
/// Prefix of the keys of [`WorkerLeaseRecord`]s, which the worker's id follows.
pub const LEASE_PREFIX: &str = "~lease/";

/// Key of the record of the runs without progress.
pub(crate) const UNCHANGED_RUNS_KEY: &str = "~unchanged-runs";

/// Key of the record of the evacuations.
pub(crate) const EVACUATIONS_KEY: &str = "~evacuations";

/// Returns whether a key belongs to a record of the shard itself, so that no job may have it as its
/// id.
pub(crate) fn is_reserved_key(key: &str) -> bool {
    key.starts_with(RESERVED_PREFIX)
}

/// Statement of an owner that it has given up its shard and makes no further decisions for it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReleaseRecord {
    /// Fencing token of the owner.
    pub token: u64,
    /// For how long after the writing of the record an owner before this one may still act, in
    /// milliseconds. It is written even if that is over: without it, the owner is of an earlier version
    /// and tells nothing. Earlier versions can't read a record with it, and take the owner for one that
    /// may still act.
    #[serde(default)]
    pub earlier_acts_ms: Option<u64>,
}

/// Statement of an owner that it grants a worker no lease while the record stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerLeaseRecord {
    /// Fencing token of the owner that wrote the record.
    pub token: u64,
    /// Start time of the worker's incarnation, as Unix time in milliseconds.
    pub started_ms: u64,
    /// Time after the writing of the record by which each lease ever granted to the incarnation
    /// has ended, in milliseconds.
    pub remaining_ms: u64,
}

/// Statement of an owner that has given up its shard about runs without progress.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnchangedRunsRecord {
    /// Fencing token of the owner.
    pub token: u64,
    /// The runs, those without progress for the longest time first.
    pub runs: Vec<UnchangedRunRecord>,
}

/// A run that makes no progress.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnchangedRunRecord {
    /// Id of the job.
    pub job: JobId,
    /// Number of the occurrence, from 0.
    pub occurrence: u32,
    /// Index of the step in the job.
    pub step: u32,
    /// Index of the task in its step.
    pub index: u32,
    /// Number of the run, from 1.
    pub run: u32,
    /// Progress that the worker last reported, in percent.
    pub progress_percent: u32,
    /// Time from the last change in progress to the writing of the record, in milliseconds.
    pub unchanged_ms: u64,
}

/// Statement of an owner that has given up its shard about the workers that it was evacuating.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuationsRecord {
    /// Fencing token of the owner.
    pub token: u64,
    /// The workers, those whose evacuation began first first.
    pub workers: Vec<EvacuationRecord>,
}

/// A worker that is being evacuated.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuationRecord {
    /// Id of the worker.
    pub worker: WorkerId,
    /// Start time of the worker's incarnation, as Unix time in milliseconds.
    pub started_ms: u64,
    /// Time from the start of the evacuation to the writing of the record, in milliseconds.
    pub elapsed_ms: u64,
    /// Time from the writing of the record within which a request continues the evacuation, in
    /// milliseconds.
    pub repeated_within_ms: u64,
}

/// Fencing tokens of an owner of a shard and of the one before it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct OwnerTokens {
    /// Token of the owner.
    pub own: u64,
    /// Token of the previous owner; `None` if there was none.
    pub previous: Option<u64>,
}

/// Assignment of a run to a worker.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PlacementRecord {
    /// Id of the worker.
    pub worker: WorkerId,
    /// Start time of the worker's incarnation, as Unix time in milliseconds.
    #[serde(rename = "born_ms")]
    pub started_ms: u64,
    /// Number of the run, from 1.
    pub run: u32,
    /// Whether the run is being stopped.
    pub is_stopping: bool,
    /// Whether a newer incarnation of the worker may have the run. Left out where it doesn't, so that
    /// earlier versions can read the record.
    #[serde(default, skip_serializing_if = "Not::not")]
    pub is_in_doubt: bool,
}

/// Error of a record that can't be decoded.
#[derive(Debug, Error)]
#[error("the record can't be read and is skipped: {0}")]
pub struct RecordError(#[from] rmp_serde::decode::Error);

/// Encodes a record in the `MessagePack` format.
#[must_use]
pub fn encode<T: Serialize>(record: &T) -> Vec<u8> {
    // Writing these types to memory can't fail; an empty record would be skipped by its reader.
    rmp_serde::to_vec(record).unwrap_or_default()
}

/// Decodes a record from the `MessagePack` format.
///
/// # Errors
///
/// Returns [`RecordError`] when the bytes are no such record.
pub fn decode<T: for<'de> Deserialize<'de>>(bytes: &[u8]) -> Result<T, RecordError> {
    Ok(rmp_serde::from_slice(bytes)?)
}

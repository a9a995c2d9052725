//! Compact record of a route's run times, for the owner that takes over.

use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::{Distribution, RunTimes};
use crate::DurationEstimate;
use crate::record::{RecordError, decode, encode};

/// Prefix that turns the name of a route into the key of its run times.
pub const RUN_TIMES_PREFIX: &str = "~run-times/";
/// Version of the record; a reader skips every other one.
const VERSION: u8 = 1;
/// Most quantiles that a record may hold.
const MAX_POINTS: usize = 256;

/// Run times of a route as they are stored, after a byte for the version.
#[derive(Debug, Serialize, Deserialize)]
struct RunTimesRecord {
    estimate: DurationEstimate,
    failed_share: f32,
    /// Quantiles of the durations at equal distances, in milliseconds.
    durations: Vec<u32>,
    /// Quantiles of the ratios of actual to declared durations, in thousandths.
    ratios: Vec<u32>,
}

/// Error of run times that can't be read.
#[derive(Debug, Error)]
pub enum RunTimesError {
    /// The bytes are no such record.
    #[error(transparent)]
    Unreadable(#[from] RecordError),
    /// The record has a version that this process doesn't know.
    #[error("the run times have the unknown version {0} and are skipped")]
    UnknownVersion(u8),
    /// The record is empty.
    #[error("the run times are empty and are skipped")]
    Empty,
    /// The record's values can't have been learned.
    #[error("the run times hold values that are impossible and are skipped")]
    Impossible,
}

impl RunTimes {
    /// Returns the encoded record of the run times.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        reason = "a share needs no more figures"
    )]
    pub fn to_bytes(&self) -> Vec<u8> {
        let points = |distribution: &Distribution| {
            if distribution.is_empty() {
                Vec::new()
            } else {
                distribution.compacted()
            }
        };
        let mut bytes = vec![VERSION];
        bytes.extend(encode(&RunTimesRecord {
            estimate: self.estimate,
            failed_share: self.failed_share as f32,
            durations: points(&self.durations),
            ratios: points(&self.ratios),
        }));
        bytes
    }

    /// Restores run times from their record.
    ///
    /// # Errors
    ///
    /// Returns [`RunTimesError`] when the bytes are no such record, or one of an unknown version.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, RunTimesError> {
        let (&version, body) = bytes.split_first().ok_or(RunTimesError::Empty)?;
        if version != VERSION {
            return Err(RunTimesError::UnknownVersion(version));
        }
        let record: RunTimesRecord = decode(body)?;
        let is_possible = |points: &[u32]| points.len() <= MAX_POINTS && points.is_sorted();
        if !record.estimate.is_finite()
            || !record.failed_share.is_finite()
            || !is_possible(&record.durations)
            || !is_possible(&record.ratios)
        {
            return Err(RunTimesError::Impossible);
        }
        let mut times = Self::new();
        times.estimate = record.estimate;
        times.failed_share = f64::from(record.failed_share).clamp(0.0, 1.0);
        let observations = record.estimate.observations();
        times.durations.restore(&record.durations, observations);
        times.ratios.restore(&record.ratios, observations);
        Ok(times)
    }
}

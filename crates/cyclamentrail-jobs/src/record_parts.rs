//! Records of a large job's progress, in parts.
//!
//! A part holds a fixed range of an occurrence's tasks, counted through all steps, and stands for
//! itself: whichever of the parts a killed owner has replaced, each task has one record. The job's own
//! progress record names the occurrences and how many tasks a part holds.

use std::collections::BTreeMap;

use cyclamentrail_core::JobId;
use serde::{Deserialize, Serialize};

use crate::record::{OccurrenceRecord, TaskRecord};
use crate::{JobSpec, KeyedRecord};

/// Separates a job's id from the number of a part in the key of the part.
const PART_MARK: &str = "/t/";
/// Longest record of a task in bytes, of which [`MAX_CHECKPOINT_BYTES`] are its checkpoint.
const MAX_TASK_BYTES: usize = 4_096;
/// Longest checkpoint in bytes that a part keeps where it would exceed the store's limit.
pub(crate) const MAX_CHECKPOINT_BYTES: usize = 2_048;

/// How the progress of a large job is stored.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartsRecord {
    /// Number of tasks in each part but the last one of an occurrence.
    pub tasks_per_part: u32,
    /// Numbers of the occurrences that are due, and aren't done or still have runs.
    pub occurrences: Vec<u32>,
}

/// Number of a part in its job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct PartNumber {
    /// Number of the occurrence.
    pub(crate) occurrence: u32,
    /// Number of the part in the occurrence.
    pub(crate) part: u32,
}

impl PartNumber {
    /// Returns the key of a job's part.
    pub(crate) fn key(self, job: &JobId) -> String {
        let Self { occurrence, part } = self;
        format!("{job}{PART_MARK}{occurrence}.{part}")
    }

    /// Returns the job and the number that a key of a part names; `None` for any other key.
    pub(crate) fn parse(key: &str) -> Option<(&str, Self)> {
        let (job, number) = key.rsplit_once(PART_MARK)?;
        let (occurrence, part) = number.split_once('.')?;
        let number = Self {
            occurrence: occurrence.parse().ok()?,
            part: part.parse().ok()?,
        };
        Some((job, number))
    }
}

/// Parts of a job as they were last stored, or are being stored.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct StoredParts {
    tasks_per_part: u32,
    values: BTreeMap<PartNumber, Vec<u8>>,
}

impl StoredParts {
    /// Creates the parts of a job that had none before.
    pub(crate) fn new(max_record_bytes: usize) -> Self {
        let tasks_per_part = (max_record_bytes / MAX_TASK_BYTES).max(1);
        Self {
            tasks_per_part: u32::try_from(tasks_per_part).unwrap_or(u32::MAX),
            values: BTreeMap::new(),
        }
    }

    /// Returns the number of tasks in a part.
    pub(crate) const fn tasks_per_part(&self) -> u32 {
        self.tasks_per_part
    }

    /// Replaces a part; returns whether it has changed.
    pub(crate) fn replace(&mut self, number: PartNumber, value: &[u8]) -> bool {
        if self.values.get(&number).is_some_and(|known| known == value) {
            return false;
        }
        self.values.insert(number, value.to_vec());
        true
    }

    /// Removes the parts of all occurrences but `kept`; returns their numbers.
    pub(crate) fn remove_others(&mut self, kept: &[u32]) -> Vec<PartNumber> {
        let is_other = |number: &PartNumber| !kept.contains(&number.occurrence);
        let others: Vec<PartNumber> = self.values.keys().copied().filter(is_other).collect();
        self.values.retain(|number, _| !is_other(number));
        others
    }

    /// Returns the numbers of all parts.
    pub(crate) fn numbers(&self) -> impl Iterator<Item = PartNumber> {
        self.values.keys().copied()
    }
}

/// Parts of a job that a new owner has read.
#[derive(Debug, Default)]
pub(crate) struct ReadParts {
    values: BTreeMap<PartNumber, ReadPart>,
}

#[derive(Debug)]
struct ReadPart {
    value: Vec<u8>,
    tasks: Vec<TaskRecord>,
}

impl ReadParts {
    /// Adds a part; `tasks` is what its value holds.
    pub(crate) fn insert(&mut self, number: PartNumber, value: Vec<u8>, tasks: Vec<TaskRecord>) {
        self.values.insert(number, ReadPart { value, tasks });
    }

    /// Returns the numbers of all parts.
    pub(crate) fn numbers(&self) -> impl Iterator<Item = PartNumber> {
        self.values.keys().copied()
    }

    /// Returns an occurrence that a progress record names; its parts were stored before that record.
    ///
    /// # Errors
    ///
    /// Returns the number of the first part that is missing, or that lacks a task.
    pub(crate) fn occurrence(
        &self,
        number: u32,
        parts: &PartsRecord,
        spec: &JobSpec,
    ) -> Result<OccurrenceRecord, PartNumber> {
        let per_part = parts.tasks_per_part.max(1);
        let mut next_task = 0;
        let mut task = || {
            let number = PartNumber {
                occurrence: number,
                part: next_task / per_part,
            };
            let index = (next_task % per_part) as usize;
            next_task += 1;
            let part = self.values.get(&number);
            let record = part.and_then(|part| part.tasks.get(index));
            record.cloned().ok_or(number)
        };
        let steps = spec.steps.iter();
        let steps = steps.map(|step| (0..step.count).map(|_| task()).collect());
        Ok(OccurrenceRecord {
            number,
            steps: steps.collect::<Result<_, PartNumber>>()?,
        })
    }

    /// Returns what is stored of a job whose progress record says `parts`.
    pub(crate) fn into_stored(self, parts: &PartsRecord) -> StoredParts {
        StoredParts {
            tasks_per_part: parts.tasks_per_part.max(1),
            values: self
                .values
                .into_iter()
                .map(|(number, part)| (number, part.value))
                .collect(),
        }
    }
}

/// Returns the record that deletes a key.
pub(crate) const fn deletion(key: String) -> KeyedRecord {
    KeyedRecord {
        key,
        value: Vec::new(),
    }
}

//! Conversion of a job's progress to the records that are stored.

use std::sync::Arc;

use super::{Commit, Now, Shard};
use crate::job::{Job, JobKey, Occurrence, Placement, RunPhase, StopOrder, Task};
use crate::record::{
    KeyedRecord, OccurrenceRecord, PROGRESS_SUFFIX, PlacementRecord, ProgressRecord, TaskRecord,
    encode,
};
use crate::record_parts::{MAX_CHECKPOINT_BYTES, PartNumber, PartsRecord, StoredParts, deletion};

impl Shard {
    /// Adds the records of a job's progress to a commit. Once one record would take more than half of
    /// what the store accepts, the tasks are stored in parts.
    pub(super) fn record_progress(&mut self, now: Now, key: JobKey, commit: &mut Commit) {
        let job = &self.jobs[key];
        let max_bytes = self.timing.max_record_bytes;
        if job.is_unstorable {
            let record = progress_record_of(job, Vec::new());
            commit.records.push(progress(job, encode(&record)));
            return;
        }
        if job.parts.is_none() {
            let record = progress_record_of(job, self.occurrence_records(now, job));
            let value = encode(&record);
            if value.len() <= max_bytes / 2 {
                commit.records.push(progress(job, value));
                return;
            }
        }
        let stored = job.parts.clone();
        let stored = stored.unwrap_or_else(|| StoredParts::new(max_bytes));
        self.record_parts(now, key, stored, commit);
    }

    /// Adds the parts of a job that have changed to a commit.
    ///
    /// An owner that is killed amid the commit leaves any of its first records. The progress record
    /// follows the parts that it names, and precedes the deletion of those that it no longer names.
    fn record_parts(
        &mut self,
        now: Now,
        key: JobKey,
        mut stored: StoredParts,
        commit: &mut Commit,
    ) {
        let job = &self.jobs[key];
        let parts = PartsRecord {
            tasks_per_part: stored.tasks_per_part(),
            occurrences: open_occurrences(job).map(|open| open.number).collect(),
        };
        for occurrence in open_occurrences(job) {
            for (number, value) in self.encode_parts(now, job, occurrence, &parts) {
                if stored.replace(number, &value) {
                    let key = number.key(&job.id);
                    commit.records.push(KeyedRecord { key, value });
                }
            }
        }
        let ended = stored.remove_others(&parts.occurrences);
        let record = ProgressRecord {
            parts: Some(parts),
            ..progress_record_of(job, Vec::new())
        };
        commit.records.push(progress(job, encode(&record)));
        let deletions = ended
            .into_iter()
            .map(|number| deletion(number.key(&job.id)));
        commit.records.extend(deletions);
        self.jobs[key].parts = Some(stored);
    }

    /// Returns the encoded parts of an occurrence.
    fn encode_parts(
        &self,
        now: Now,
        job: &Job,
        occurrence: &Occurrence,
        parts: &PartsRecord,
    ) -> Vec<(PartNumber, Vec<u8>)> {
        let tasks: Vec<TaskRecord> = occurrence
            .steps
            .iter()
            .flat_map(|step| &step.tasks)
            .map(|task| self.task_record(now, task))
            .collect();
        (0_u32..)
            .zip(tasks.chunks(parts.tasks_per_part as usize))
            .map(|(part, tasks)| {
                let number = PartNumber {
                    occurrence: occurrence.number,
                    part,
                };
                let key_bytes = number.key(&job.id).len() + 1;
                let max_bytes = self.timing.max_record_bytes.saturating_sub(key_bytes);
                (number, encode_part(tasks, max_bytes))
            })
            .collect()
    }

    fn occurrence_records(&self, now: Now, job: &Job) -> Vec<OccurrenceRecord> {
        open_occurrences(job)
            .map(|occurrence| self.occurrence_record(now, occurrence))
            .collect()
    }

    fn occurrence_record(&self, now: Now, occurrence: &Occurrence) -> OccurrenceRecord {
        OccurrenceRecord {
            number: occurrence.number,
            steps: occurrence
                .steps
                .iter()
                .map(|step| {
                    step.tasks
                        .iter()
                        .map(|task| self.task_record(now, task))
                        .collect()
                })
                .collect(),
        }
    }

    fn task_record(&self, now: Now, task: &Task) -> TaskRecord {
        TaskRecord {
            is_done: task.is_done,
            run: task.last_run,
            failed_runs: task.failed_runs.clone(),
            checkpoint: Arc::clone(&task.checkpoint),
            placement: task
                .placement
                .and_then(|placement| self.placement_record(placement)),
            crashed_runs: task.crashed_runs.clone(),
            open_start: self.open_start_record(now, task),
        }
    }

    fn placement_record(&self, placement: Placement) -> Option<PlacementRecord> {
        let worker = self.workers.get(placement.worker)?;
        let started_ms = worker.registration.started_ms;
        Some(PlacementRecord {
            worker: worker.registration.id.clone(),
            // A successor has to doubt the run as well.
            started_ms: placement
                .doubt
                .map_or(started_ms, |doubt| doubt.placed_started_ms),
            run: placement.run,
            is_stopping: matches!(placement.phase, RunPhase::Stopping { .. })
                || placement.stop_order == StopOrder::Pending,
            is_in_doubt: placement.doubt.is_some(),
        })
    }
}

/// Returns the occurrences that have unfinished tasks or runs on workers.
fn open_occurrences(job: &Job) -> impl Iterator<Item = &Occurrence> {
    job.occurrences
        .iter()
        .filter(|occurrence| !occurrence.is_done() || occurrence.has_placements())
}

fn progress_record_of(job: &Job, occurrences: Vec<OccurrenceRecord>) -> ProgressRecord {
    ProgressRecord {
        is_cancelled: job.is_cancelled,
        is_failed: job.is_failed,
        has_started: job.has_started,
        next_occurrence: job.next_occurrence,
        ended_ms: job.ended_ms,
        occurrences,
        parts: None,
    }
}

fn progress(job: &Job, value: Vec<u8>) -> KeyedRecord {
    KeyedRecord {
        key: format!("{}{PROGRESS_SUFFIX}", job.id),
        value,
    }
}

/// Encodes the tasks of a part. If they take more than `max_bytes`, long checkpoints are left out: a
/// run after a takeover begins anew then.
fn encode_part(tasks: &[TaskRecord], max_bytes: usize) -> Vec<u8> {
    let value = encode(&tasks);
    if value.len() <= max_bytes {
        return value;
    }
    let mut shortened = tasks.to_vec();
    for task in &mut shortened {
        if task.checkpoint.len() > MAX_CHECKPOINT_BYTES {
            task.checkpoint = Arc::from("");
        }
    }
    encode(&shortened)
}

//! Conversion of a job's progress to the record that is stored.

use std::sync::Arc;

use super::Shard;
use crate::job::{Job, Occurrence, Placement, RunPhase, Task};
use crate::record::{OccurrenceRecord, PlacementRecord, ProgressRecord, TaskRecord};

impl Shard {
    /// Returns the progress record of a job, with the occurrences that have unfinished tasks or
    /// runs on workers.
    pub(super) fn progress_record(&self, job: &Job) -> ProgressRecord {
        ProgressRecord {
            is_cancelled: job.is_cancelled,
            is_failed: job.is_failed,
            has_started: job.has_started,
            next_occurrence: job.next_occurrence,
            ended_ms: job.ended_ms,
            occurrences: job
                .occurrences
                .iter()
                .filter(|occurrence| !occurrence.is_done() || occurrence.has_placements())
                .map(|occurrence| self.occurrence_record(occurrence))
                .collect(),
        }
    }

    fn occurrence_record(&self, occurrence: &Occurrence) -> OccurrenceRecord {
        OccurrenceRecord {
            number: occurrence.number,
            steps: occurrence
                .steps
                .iter()
                .map(|step| {
                    step.tasks
                        .iter()
                        .map(|task| self.task_record(task))
                        .collect()
                })
                .collect(),
        }
    }

    fn task_record(&self, task: &Task) -> TaskRecord {
        TaskRecord {
            is_done: task.is_done,
            run: task.last_run,
            failed_runs: task.failed_runs.clone(),
            checkpoint: Arc::clone(&task.checkpoint),
            placement: task
                .placement
                .and_then(|placement| self.placement_record(placement)),
            crashed_runs: task.crashed_runs.clone(),
        }
    }

    fn placement_record(&self, placement: Placement) -> Option<PlacementRecord> {
        let worker = self.workers.get(placement.worker)?;
        Some(PlacementRecord {
            worker: worker.registration.id.clone(),
            started_ms: worker.registration.started_ms,
            run: placement.run,
            is_stopping: matches!(placement.phase, RunPhase::Stopping { .. }),
        })
    }
}

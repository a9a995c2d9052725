//! Runs without progress that an owner hands on, so that the wait for stalled runs goes on under its
//! successor.
//!
//! An owner that gives up its shard writes one record about them all. Its successor goes on counting for a
//! run once the worker has reported it with the same progress: one that has advanced since isn't stalled.
//! The time without an owner isn't counted.

use std::cmp::Reverse;

use super::{Commit, Now, Shard};
use crate::job::{Placement, RunPhase, TaskKey};
use crate::record::{
    KeyedRecord, UNCHANGED_RUNS_KEY, UnchangedRunRecord, UnchangedRunsRecord, decode, encode,
};
use crate::worker::WorkerKey;

/// Time without progress from which a run is handed on, in milliseconds.
const MIN_UNCHANGED_MS: u64 = 500;
/// Largest length of the record in bytes; runs without progress for the longest time come first.
const MAX_RECORD_BYTES: usize = 16_384;
/// Largest length of a run in the record beside its job's id, in bytes.
const RUN_BYTES: usize = 48;

/// A run that made no progress under earlier owners.
#[derive(Debug, Clone, Copy)]
pub(super) struct InheritedWait {
    task: TaskKey,
    run: u32,
    worker: WorkerKey,
    /// Progress that the worker last reported to an earlier owner, in percent.
    progress_percent: u32,
    /// Time of its last change, as in [`Now::boot_ms`].
    since_ms: u64,
}

impl InheritedWait {
    /// Returns whether the wait is about a run that its worker had before the takeover, too.
    fn is_for(&self, placement: &Placement) -> bool {
        placement.run == self.run && placement.worker == self.worker && placement.doubt.is_none()
    }
}

impl Shard {
    /// Reads the record of the runs without progress; returns `None` if it is unreadable. Only one of the
    /// previous owner counts. The next commit deletes it.
    pub(super) fn read_unchanged_runs(&mut self, value: &[u8]) -> Option<Vec<UnchangedRunRecord>> {
        if value.is_empty() {
            return Some(Vec::new());
        }
        self.obsolete_keys.push(UNCHANGED_RUNS_KEY.to_owned());
        let record: UnchangedRunsRecord = decode(value).ok()?;
        let is_previous = self.tokens.previous == Some(record.token);
        Some(if is_previous { record.runs } else { Vec::new() })
    }

    /// Keeps the waits for restored runs until their workers report these.
    pub(super) fn inherit_waits(&mut self, now: Now, records: Vec<UnchangedRunRecord>) {
        for record in records {
            let Some(&job) = self.job_keys.get(&record.job) else {
                continue;
            };
            let task = TaskKey {
                job,
                occurrence: record.occurrence,
                step: record.step,
                index: record.index,
            };
            let Some(placement) = self.placement_of(task) else {
                continue;
            };
            let wait = InheritedWait {
                task,
                run: record.run,
                worker: placement.worker,
                progress_percent: record.progress_percent,
                since_ms: now.boot_ms.saturating_sub(record.unchanged_ms),
            };
            if wait.is_for(&placement) {
                self.inherited_waits.push(wait);
            }
        }
    }

    /// Goes on with the waits for runs that their workers have reported with the same progress, and drops
    /// those for runs that have advanced; returns whether there were any of the former.
    pub(super) fn continue_waits(&mut self) -> bool {
        let mut continues_wait = false;
        for wait in std::mem::take(&mut self.inherited_waits) {
            let placement = self.placement_of_mut(wait.task);
            let Some(placement) = placement.filter(|placement| wait.is_for(placement)) else {
                continue;
            };
            if !placement.has_begun {
                self.inherited_waits.push(wait);
            } else if placement.progress_percent == wait.progress_percent {
                placement.progress_changed_ms = placement.progress_changed_ms.min(wait.since_ms);
                continues_wait = true;
            }
        }
        continues_wait
    }

    /// Adds the record of the runs without progress to the last commit, if there are any.
    pub(super) fn record_unchanged_runs(&mut self, now: Now, commit: &mut Commit) {
        self.continue_waits();
        let mut runs = self.unchanged_runs(now);
        if runs.is_empty() {
            return;
        }
        runs.sort_by_key(|run| Reverse(run.unchanged_ms));
        truncate_to_bytes(&mut runs, MAX_RECORD_BYTES);
        let record = UnchangedRunsRecord {
            token: self.tokens.own,
            runs,
        };
        commit.records.push(KeyedRecord {
            key: UNCHANGED_RUNS_KEY.to_owned(),
            value: encode(&record),
        });
    }

    /// Returns the runs that may be found stalled and have made no progress for a while.
    fn unchanged_runs(&self, now: Now) -> Vec<UnchangedRunRecord> {
        let reported = self
            .workers
            .values()
            .flat_map(|worker| &worker.tasks)
            .filter_map(|&task| Some((task, self.placement_of(task)?)))
            .filter(|&(task, placement)| placement.has_begun && self.may_stall(task, &placement))
            .map(|(task, placement)| InheritedWait {
                task,
                run: placement.run,
                worker: placement.worker,
                progress_percent: placement.progress_percent,
                since_ms: placement.progress_changed_ms,
            });
        reported
            .chain(self.inherited_waits.iter().copied())
            .filter(|wait| now.boot_ms >= wait.since_ms + MIN_UNCHANGED_MS)
            .filter_map(|wait| self.unchanged_run(now, wait))
            .collect()
    }

    fn unchanged_run(&self, now: Now, wait: InheritedWait) -> Option<UnchangedRunRecord> {
        let TaskKey {
            job,
            occurrence,
            step,
            index,
        } = wait.task;
        Some(UnchangedRunRecord {
            job: self.jobs.get(job)?.id.clone(),
            occurrence,
            step,
            index,
            run: wait.run,
            progress_percent: wait.progress_percent,
            unchanged_ms: now.boot_ms.saturating_sub(wait.since_ms),
        })
    }

    /// Returns whether a run is watched for progress: it runs and isn't to be stopped, and its task ends by
    /// itself and alone.
    pub(super) fn may_stall(&self, task: TaskKey, placement: &Placement) -> bool {
        let is_watched = |step: &crate::StepSpec| !step.long_running && !step.gang;
        matches!(placement.phase, RunPhase::Running { .. })
            && self.step_of(task).is_some_and(is_watched)
    }
}

/// Drops the last runs as far as the record may be longer than `max_bytes`.
fn truncate_to_bytes(runs: &mut Vec<UnchangedRunRecord>, max_bytes: usize) {
    let mut bytes = RUN_BYTES;
    let fits = |run: &&UnchangedRunRecord| {
        bytes += run.job.as_str().len() + RUN_BYTES;
        bytes <= max_bytes
    };
    let count = runs.iter().take_while(fits).count();
    runs.truncate(count);
}

//! Start commands that may still be carried out after the run that they name has ended or was given up.
//!
//! A call without a response may be carried out seconds later, by whatever incarnation of its worker runs
//! then. An incarnation that knows its fencing token rejects it, but the one after that has seen no token.
//! As long as such a start may be carried out, the next run of its task is therefore placed on that worker
//! only, once the present incarnation knows its token and doesn't have the earlier run: whatever ends that
//! incarnation ends the later run, too. If the worker can't take the task, the task waits, until a start
//! can't be carried out any more and a run that it began has ended with its lease, or the worker counts as gone
//! for good: the registry doesn't list it any more, or another one has its address and rejects calls to it.
//!
//! The worker is part of the task's record with the time that is left, so that a successor keeps to it. A run
//! that an earlier owner placed and that the worker doesn't have may have a start under way, too; its task
//! keeps to the worker as long as that one responds. Runs of speculative steps may overlap and wait for nothing.

use std::collections::{BTreeSet, HashMap};

use cyclamentrail_core::WorkerId;

use super::restarts::{CALLS_UNDER_WAY_MS, LATE_CALL_MS};
use super::{Now, Shard};
use crate::effect::CommandOutcome;
use crate::job::{Job, Placement, Task, TaskKey};
use crate::open_start::{InFlightStart, OpenStart};
use crate::record::OpenStartRecord;
use crate::worker::{Worker, WorkerKey};

/// Time for which the registry doesn't list a worker after which it counts as gone for good, in milliseconds:
/// two heartbeats. One that was cut off and lives is back by then.
const GONE_MS: u64 = 3_000;

/// Where a task may run in view of its earlier starts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum StartHold {
    /// On any worker.
    Free,
    /// On one worker only.
    Worker(WorkerKey),
    /// Nowhere at present.
    Wait,
}

/// Workers that matter to tasks with earlier starts.
#[derive(Debug, Default)]
pub(super) struct OpenStarts {
    /// Workers whose addresses others have, with the times at which that was seen, on the owner's boot clock
    /// in milliseconds.
    replaced_ms: HashMap<WorkerId, u64>,
    /// Workers that the registry doesn't list, with the times since which it doesn't, on the same clock.
    unlisted_ms: HashMap<WorkerId, u64>,
    /// Workers for which tasks wait.
    watched: BTreeSet<WorkerKey>,
}

impl OpenStarts {
    /// Records that another worker has the address of a worker.
    pub(super) fn note_replaced(&mut self, now: Now, worker: WorkerId) {
        self.replaced_ms.insert(worker, now.boot_ms);
    }

    /// Records that the registry doesn't list a worker.
    pub(super) fn note_unlisted(&mut self, now: Now, worker: WorkerId) {
        self.unlisted_ms.entry(worker).or_insert(now.boot_ms);
    }

    /// Records that a worker is there under its id, wherever it was before.
    pub(super) fn note_listed(&mut self, worker: &WorkerId) {
        self.replaced_ms.remove(worker);
        self.unlisted_ms.remove(worker);
    }

    /// Returns whether a worker counts as gone for good.
    fn is_gone(&self, now: Now, worker: &WorkerId) -> bool {
        let unlisted_ms = self.unlisted_ms.get(worker);
        let is_missing = unlisted_ms.is_some_and(|&since_ms| now.boot_ms > since_ms + GONE_MS);
        is_missing || self.replaced_ms.contains_key(worker)
    }

    /// Returns whether a task waits for a worker to report.
    pub(super) fn is_watched(&self, worker: WorkerKey) -> bool {
        self.watched.contains(&worker)
    }

    /// Makes a placement pass determine the watched workers anew, and drops what is too old to matter.
    pub(super) fn begin_pass(&mut self, now: Now, longest_lease_ms: u64) {
        self.watched.clear();
        let longest_ms = CALLS_UNDER_WAY_MS + LATE_CALL_MS + longest_lease_ms;
        let matters = |since_ms: u64| now.boot_ms <= since_ms + longest_ms;
        self.replaced_ms.retain(|_, since_ms| matters(*since_ms));
        self.unlisted_ms.retain(|_, since_ms| matters(*since_ms));
    }
}

impl OpenStart {
    /// Returns the time from which no command is expected to be carried out any more, on the owner's boot
    /// clock in milliseconds.
    fn over_ms(&self) -> u64 {
        let in_flight_ms = self.in_flight.map(|start| start.until_ms + LATE_CALL_MS);
        self.late_until_ms.max(in_flight_ms.unwrap_or(0))
    }
}

impl Task {
    /// Records that a start command is sent, whose outcome is known at `until_ms` on the owner's boot clock.
    pub(super) fn note_start_sent(&mut self, run: u32, until_ms: u64, worker: &WorkerId) {
        let open = self.open_start.get_or_insert_with(|| OpenStart {
            worker: worker.clone(),
            late_until_ms: 0,
            in_flight: None,
            is_inferred: false,
        });
        // The outcome of one for an earlier run isn't waited for any more.
        let forgotten = open.in_flight.filter(|start| start.run != run);
        let forgotten_ms = forgotten.map(|start| start.until_ms + LATE_CALL_MS);
        open.late_until_ms = open.late_until_ms.max(forgotten_ms.unwrap_or(0));
        open.in_flight = Some(InFlightStart { run, until_ms });
    }
}

impl Shard {
    /// Records the outcome of a start command, also if its run has ended meanwhile.
    pub(super) fn record_start_outcome(
        &mut self,
        now: Now,
        key: TaskKey,
        run: u32,
        outcome: &CommandOutcome,
    ) {
        let job = self.jobs.get_mut(key.job);
        let Some(task) = job.and_then(|job| job.task_mut(key)) else {
            return;
        };
        let Some(open) = &mut task.open_start else {
            return;
        };
        if open.in_flight.is_none_or(|start| start.run != run) {
            return;
        }
        open.in_flight = None;
        let may_be_late = match outcome {
            CommandOutcome::NoResponse | CommandOutcome::RelayLost => true,
            CommandOutcome::Done(_)
            | CommandOutcome::Rejected(..)
            | CommandOutcome::Unhealthy
            | CommandOutcome::OtherIncarnation
            | CommandOutcome::NotSent
            | CommandOutcome::Expired => false,
        };
        if may_be_late {
            open.late_until_ms = now.boot_ms + LATE_CALL_MS;
            open.is_inferred = false;
            self.dirty.insert(key.job);
        } else if open.late_until_ms == 0 {
            task.open_start = None;
        }
    }

    /// Keeps in mind that the start of an earlier owner may still be carried out, though the worker's present
    /// incarnation doesn't have its run: its outcome isn't known.
    pub(super) fn keep_inherited_start(&mut self, key: TaskKey, placement: Placement) {
        let is_inherited = placement.start_under_way_until_ms == 0 && placement.may_start_late;
        if !is_inherited || placement.has_begun {
            return;
        }
        let Some(worker) = self.workers.get(placement.worker) else {
            return;
        };
        let worker = worker.registration.id.clone();
        let job = self.jobs.get_mut(key.job);
        if let Some(task) = job.and_then(|job| job.task_mut(key)) {
            task.open_start.get_or_insert(OpenStart {
                worker,
                late_until_ms: placement.late_until_ms,
                in_flight: None,
                is_inferred: true,
            });
        }
    }

    /// Returns the record of the starts for a task that may still be carried out. One whose outcome isn't known
    /// yet isn't recorded: most get a response in a moment.
    pub(super) fn open_start_record(&self, now: Now, task: &Task) -> Option<OpenStartRecord> {
        let open = task.open_start.as_ref().filter(|_| !task.is_done)?;
        let end_ms = open.late_until_ms + self.timing.longest_possible_lease_ms();
        let is_over = open.late_until_ms == 0 || end_ms <= now.boot_ms;
        (!is_over && !open.is_inferred).then(|| OpenStartRecord {
            worker: open.worker.clone(),
            remaining_ms: end_ms - now.boot_ms,
        })
    }

    /// Counts the recorded starts of an earlier owner: as long as it told if it `has_released` the shard,
    /// else from `last_call_ms` on this owner's boot clock, until which it may have sent others.
    pub(super) fn count_open_starts(&mut self, now: Now, has_released: bool, last_call_ms: u64) {
        let longest_lease_ms = self.timing.longest_possible_lease_ms();
        for job in self.jobs.values_mut() {
            for open in job.open_starts_mut() {
                if !self.worker_keys.contains_key(&open.worker) {
                    self.open_starts.note_unlisted(now, open.worker.clone());
                }
                let remaining_ms = open.late_until_ms;
                open.late_until_ms = if has_released {
                    (now.boot_ms + remaining_ms).saturating_sub(longest_lease_ms)
                } else {
                    last_call_ms + LATE_CALL_MS
                };
            }
        }
    }

    /// Makes the last commit tell how much of the waits for earlier starts is left.
    pub(super) fn record_open_starts(&mut self) {
        let has_open = |job: &Job| job.open_starts().next().is_some();
        let keys = self.jobs.iter().filter(|(_, job)| has_open(job));
        self.dirty.extend(keys.map(|(key, _)| key));
    }

    /// Returns where a task may run in view of its earlier starts.
    pub(super) fn start_hold(&self, now: Now, key: TaskKey) -> StartHold {
        let task = self.jobs.get(key.job).and_then(|job| job.task(key));
        let Some((task, open)) = task.and_then(|task| Some((task, task.open_start.as_ref()?)))
        else {
            return StartHold::Free;
        };
        if self.step_of(key).is_some_and(|step| step.speculative) {
            return StartHold::Free;
        }
        if self.open_starts.is_gone(now, &open.worker) {
            return StartHold::Free;
        }
        let worker_key = self.worker_keys.get(&open.worker).copied();
        let worker = worker_key.and_then(|key| Some((key, self.workers.get(key)?)));
        let has_run = worker.is_some_and(|(_, worker)| has_unassigned_run(worker, key));
        let over_ms = open.over_ms();
        let was_heard = worker.is_some_and(|(_, worker)| {
            worker.is_in_contact() && worker.reported_ms > over_ms && !has_run
        });
        if was_heard || now.boot_ms > over_ms + self.timing.longest_possible_lease_ms() {
            return StartHold::Free;
        }
        let awaits_outcome = open
            .in_flight
            .is_some_and(|start| now.boot_ms < start.until_ms);
        // The last attempt isn't spent where one failed.
        let may_fail =
            task.failed_runs.is_empty() || task.failure_count() + 1 < self.max_attempts(key);
        match worker.filter(|(_, worker)| worker.is_in_contact()) {
            None if open.is_inferred => StartHold::Free,
            Some((key, _)) if !has_run && !awaits_outcome && may_fail => StartHold::Worker(key),
            _ => StartHold::Wait,
        }
    }

    /// Polls the worker for which a task waits, also if it has no other runs.
    pub(super) fn watch_worker(&mut self, key: TaskKey) {
        let task = self.jobs.get(key.job).and_then(|job| job.task(key));
        let open = task.and_then(|task| task.open_start.as_ref());
        let worker = open.and_then(|open| self.worker_keys.get(&open.worker));
        self.open_starts.watched.extend(worker);
    }
}

/// Returns whether a worker lists a run of a task that isn't assigned to it.
fn has_unassigned_run(worker: &Worker, key: TaskKey) -> bool {
    let mut runs = worker.unassigned_runs.range((key, 0)..=(key, u32::MAX));
    runs.next().is_some()
}

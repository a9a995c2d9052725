//! Evacuation of workers, and the pool's load for the fleet duty.

use std::collections::{BTreeSet, VecDeque};

use cyclamentrail_core::JobId;

use super::{Now, Shard};
use crate::fleet::{PoolLoad, WorkerTaskCounts};
use crate::job::{RunPhase, StopOrder, Task, TaskKey};
use crate::selection::{PlacementRequest, select_worker};
use crate::worker::{Reachability, WorkerKey};
use crate::{JobSpec, StepSpec};

/// Time over which arriving work is counted, in milliseconds.
const ARRIVAL_WINDOW_MS: u64 = 800;
/// Time for which a repeated submission of a job counts as the same arrival, in milliseconds.
const REPEATED_ARRIVAL_MS: u64 = 15_000;
/// Time from the start of an evacuation after which tasks that end by themselves are stopped, in
/// milliseconds.
pub(super) const EVACUATION_GRACE_MS: u64 = 4_000;
/// Progress from which a long-running task counts as working, in percent.
pub(super) const WORKING_PERCENT: u32 = 100;

/// Work that was submitted lately, whether it was accepted or not.
#[derive(Debug, Default)]
pub(super) struct Arrivals {
    /// Arrival time and work of each job in [`ARRIVAL_WINDOW_MS`], both in milliseconds.
    recent_work: VecDeque<(u64, u64)>,
    /// Time of the first submission in milliseconds and id of each job in [`REPEATED_ARRIVAL_MS`].
    recent_ids: VecDeque<(u64, JobId)>,
    /// The ids in `recent_ids`.
    known_ids: BTreeSet<JobId>,
}

impl Arrivals {
    /// Counts the work of a job once, even if the job is submitted repeatedly.
    pub(super) fn count(&mut self, now_ms: u64, id: &JobId, work_ms: u64) {
        while let Some((seen_ms, _)) = self.recent_ids.front()
            && seen_ms + REPEATED_ARRIVAL_MS < now_ms
        {
            if let Some((_, expired_id)) = self.recent_ids.pop_front() {
                self.known_ids.remove(&expired_id);
            }
        }
        if self.known_ids.insert(id.clone()) {
            self.recent_ids.push_back((now_ms, id.clone()));
            self.recent_work.push_back((now_ms, work_ms));
        }
    }

    /// Returns the work that arrives per time, in thousandths of a worker.
    fn demand_milli(&mut self, now_ms: u64) -> u64 {
        while let Some((at_ms, _)) = self.recent_work.front()
            && at_ms + ARRIVAL_WINDOW_MS < now_ms
        {
            self.recent_work.pop_front();
        }
        let work_ms: u64 = self.recent_work.iter().map(|(_, work)| work).sum();
        work_ms * 1_000 / ARRIVAL_WINDOW_MS
    }
}

impl Shard {
    /// Returns the load of the shard's pool and of each of its workers.
    #[must_use]
    pub fn load(&mut self, now: Now) -> PoolLoad {
        let capacity = self.largest_capacity();
        let mut load = PoolLoad {
            demand_milli: self.arrivals.demand_milli(now.boot_ms),
            waiting_work_ms: self.waiting_work_ms(),
            ..PoolLoad::default()
        };
        for worker in self.workers.values() {
            let mut long_running_tasks = 0;
            for &key in &worker.tasks {
                let Some(step) = self.step_of(key) else {
                    continue;
                };
                let share_milli = step.reserved_resources().dominant_share_milli(&capacity);
                load.running_milli += share_milli;
                if step.long_running {
                    long_running_tasks += 1;
                    load.long_running_milli += share_milli;
                }
            }
            load.workers.push(WorkerTaskCounts {
                worker: worker.registration.id.clone(),
                tasks: u32::try_from(worker.tasks.len()).unwrap_or(u32::MAX),
                long_running_tasks,
            });
        }
        load
    }

    /// Counts the work of a submitted job, unless the job is long-running.
    pub(super) fn count_arrival(&mut self, now: Now, id: &JobId, spec: &JobSpec, work_ms: u64) {
        if !spec.is_long_running() {
            self.arrivals.count(now.boot_ms, id, work_ms);
        }
    }

    /// Stops tasks on workers that are being evacuated: a long-running one when enough others of
    /// its step are working and another worker has room, any other one when [`EVACUATION_GRACE_MS`]
    /// have passed, except in a gang.
    pub(super) fn evacuate_tasks(&mut self, now: Now) {
        let candidates: Vec<(TaskKey, bool)> = self
            .workers
            .values()
            .filter_map(|worker| Some((worker, worker.evacuating_since_ms?)))
            .flat_map(|(worker, since_ms)| {
                let is_overdue = now.boot_ms >= since_ms + EVACUATION_GRACE_MS;
                worker.tasks.iter().map(move |&key| (key, is_overdue))
            })
            .collect();
        for (key, is_overdue) in candidates {
            let Some(step) = self.step_of(key).cloned() else {
                continue;
            };
            if !self.may_be_stopped(key) {
                continue;
            }
            if step.long_running {
                if self.may_interrupt(key, &step) && self.has_room_elsewhere(now, key, &step) {
                    self.stop_once_durable(key);
                }
            } else if is_overdue && !step.gang {
                self.stop(key);
            }
        }
    }

    /// Returns whether a task runs and isn't to be stopped already.
    fn may_be_stopped(&self, key: TaskKey) -> bool {
        self.placement_of(key).is_some_and(|placement| {
            matches!(placement.phase, RunPhase::Running { .. })
                && placement.stop_order == StopOrder::None
        })
    }

    /// Returns whether enough other tasks of a long-running step are working for this one to be
    /// moved.
    pub(super) fn may_interrupt(&self, key: TaskKey, step: &StepSpec) -> bool {
        let progress = self
            .jobs
            .get(key.job)
            .and_then(|job| job.occurrence(key.occurrence))
            .and_then(|occurrence| occurrence.steps.get(key.step as usize));
        let Some(progress) = progress else {
            return false;
        };
        let not_working = (0_u32..)
            .zip(&progress.tasks)
            .filter(|(index, task)| *index != key.index && !self.is_working(task))
            .count();
        let max_unavailable = step.max_unavailable.unwrap_or(1).max(1);
        not_working < max_unavailable as usize
    }

    /// Returns whether a long-running task is working for certain: its worker responds and reports
    /// it so.
    fn is_working(&self, task: &Task) -> bool {
        task.placement.is_some_and(|placement| {
            let is_reachable = self
                .workers
                .get(placement.worker)
                .is_some_and(|worker| worker.reachability == Reachability::Reachable);
            is_reachable
                && matches!(placement.phase, RunPhase::Running { .. })
                && placement.stop_order == StopOrder::None
                && placement.progress_percent >= WORKING_PERCENT
        })
    }

    /// Returns whether a task could be placed on another worker; requests advice from the queue's
    /// policy if not.
    fn has_room_elsewhere(&mut self, now: Now, key: TaskKey, step: &StepSpec) -> bool {
        let granted = self.granted_workers(now, key.into());
        let per_worker = self.tasks_per_worker(key);
        let mut request = PlacementRequest::from(step);
        request.granted_workers = granted.as_ref();
        let has_room = select_worker(&request, self.open_workers(now, step, &per_worker)).is_some();
        if !has_room && granted.is_some() {
            self.query_policy(now, key.into());
        }
        has_room
    }

    /// Returns the workers with long-running tasks, which run until their jobs are cancelled.
    pub(super) fn workers_with_long_running(&self) -> BTreeSet<WorkerKey> {
        let is_long_running =
            |&key: &TaskKey| self.step_of(key).is_some_and(|step| step.long_running);
        self.workers
            .iter()
            .filter(|(_, worker)| worker.tasks.iter().any(is_long_running))
            .map(|(key, _)| key)
            .collect()
    }
}

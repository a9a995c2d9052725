//! Emptying workers that a duty takes away, and telling how loaded the others are.

use std::collections::{BTreeSet, VecDeque};

use cyclamentrail_core::JobId;

use super::{Now, Shard};
use crate::fleet::{PoolLoad, WorkerLoad};
use crate::job::{Phase, Task, TaskKey};
use crate::placing::{Wish, choose};
use crate::worker::{Contact, WorkerKey};
use crate::{JobSpec, StepSpec};

/// Time over which arriving work is counted, in milliseconds.
const ARRIVAL_WINDOW_MS: u64 = 800;
/// Time for which a job that comes again counts as the same arrival, in milliseconds.
const SAME_ARRIVAL_MS: u64 = 15_000;
/// Time after which tasks that would end by themselves are stopped on a worker that is to be
/// empty, in milliseconds.
const PATIENCE_MS: u64 = 4_000;
/// Progress of a long-running task that is at work.
const AT_WORK_PERCENT: u32 = 100;

/// Work that was handed in lately, whether it was accepted or not.
#[derive(Debug, Default)]
pub(super) struct Arrivals {
    recent: VecDeque<(u64, u64)>,
    ids: VecDeque<(u64, JobId)>,
    known: BTreeSet<JobId>,
}

impl Arrivals {
    /// Counts a job once, however often it is handed in.
    pub(super) fn count(&mut self, now_ms: u64, id: &JobId, work_ms: u64) {
        while let Some((seen_ms, _)) = self.ids.front()
            && seen_ms + SAME_ARRIVAL_MS < now_ms
        {
            if let Some((_, old)) = self.ids.pop_front() {
                self.known.remove(&old);
            }
        }
        if self.known.insert(id.clone()) {
            self.ids.push_back((now_ms, id.clone()));
            self.recent.push_back((now_ms, work_ms));
        }
    }

    /// Returns the work that arrives, in thousandths of a worker.
    fn demand_milli(&mut self, now_ms: u64) -> u64 {
        while let Some((at_ms, _)) = self.recent.front()
            && at_ms + ARRIVAL_WINDOW_MS < now_ms
        {
            self.recent.pop_front();
        }
        let work_ms: u64 = self.recent.iter().map(|(_, work)| work).sum();
        work_ms * 1_000 / ARRIVAL_WINDOW_MS
    }
}

impl Shard {
    /// Returns how loaded the pool is.
    #[must_use]
    pub fn load(&mut self, now: Now) -> PoolLoad {
        let capacity = self.usual_capacity();
        let mut load = PoolLoad {
            demand_milli: self.arrivals.demand_milli(now.boot_ms),
            waiting_ms: self.waiting_ms(),
            ..PoolLoad::default()
        };
        for worker in self.workers.values() {
            let mut long_running = 0;
            for &key in &worker.tasks {
                let Some(step) = self.step_of(key) else {
                    continue;
                };
                let share_milli = step.counted().dominant_milli(&capacity);
                load.running_milli += share_milli;
                if step.long_running {
                    long_running += 1;
                    load.long_running_milli += share_milli;
                }
            }
            load.workers.push(WorkerLoad {
                worker: worker.registration.id.clone(),
                tasks: u32::try_from(worker.tasks.len()).unwrap_or(u32::MAX),
                long_running,
            });
        }
        load
    }

    /// Counts the arrival of a job.
    pub(super) fn count_arrival(&mut self, now: Now, id: &JobId, spec: &JobSpec, work_ms: u64) {
        if !spec.is_long_running() {
            self.arrivals.count(now.boot_ms, id, work_ms);
        }
    }

    /// Moves what runs on workers that are to be empty, as far as callers don't notice.
    pub(super) fn evacuate_tasks(&mut self, now: Now) {
        let candidates: Vec<(TaskKey, bool)> = self
            .workers
            .values()
            .filter_map(|worker| Some((worker, worker.evacuating_since_ms?)))
            .flat_map(|(worker, since_ms)| {
                let is_overdue = now.boot_ms >= since_ms + PATIENCE_MS;
                worker.tasks.iter().map(move |&key| (key, is_overdue))
            })
            .collect();
        for (key, is_overdue) in candidates {
            let Some(step) = self.step_of(key).cloned() else {
                continue;
            };
            let may_stop = if step.long_running {
                self.may_interrupt(key, &step) && self.has_room_elsewhere(now, key, &step)
            } else {
                is_overdue && !step.gang
            };
            if may_stop && self.is_running(key) {
                self.stop(key);
            }
        }
    }

    fn is_running(&self, key: TaskKey) -> bool {
        self.jobs
            .get(key.job)
            .and_then(|job| job.task(key))
            .and_then(|task| task.placement)
            .is_some_and(|placement| matches!(placement.phase, Phase::Running { .. }))
    }

    /// Returns whether enough other tasks of a long-running step are at work.
    fn may_interrupt(&self, key: TaskKey, step: &StepSpec) -> bool {
        let others = self
            .jobs
            .get(key.job)
            .and_then(|job| job.occurrence(key.occurrence))
            .and_then(|one| one.steps.get(key.step as usize));
        let Some(others) = others else {
            return false;
        };
        let away = (0_u32..)
            .zip(&others.tasks)
            .filter(|(index, task)| *index != key.index && !self.is_at_work(task))
            .count();
        let may_miss = step.may_miss.unwrap_or(1).max(1);
        away < may_miss as usize
    }

    /// Returns whether a long-running task is surely at work: its worker answers and says so.
    fn is_at_work(&self, task: &Task) -> bool {
        task.placement.is_some_and(|placement| {
            let answers = self
                .workers
                .get(placement.worker)
                .is_some_and(|worker| worker.contact == Contact::Good);
            answers
                && matches!(placement.phase, Phase::Running { .. })
                && placement.percent >= AT_WORK_PERCENT
        })
    }

    /// Returns whether a task could be placed on another worker; asks the queue's policy for
    /// further workers when it can't.
    fn has_room_elsewhere(&mut self, now: Now, key: TaskKey, step: &StepSpec) -> bool {
        let granted = self.granted(now, key.into());
        let counts = self.tasks_per_worker(key);
        let mut wish = Wish::from(step);
        wish.granted = granted.as_ref();
        let has_room = choose(&wish, self.open_workers(now, step, &counts)).is_some();
        if !has_room && granted.is_some() {
            self.want_advice(now, key.into());
        }
        has_room
    }

    /// Returns the workers on which something runs until its job is cancelled.
    pub(super) fn workers_with_long_running(&self) -> BTreeSet<WorkerKey> {
        let is_long = |&key: &TaskKey| self.step_of(key).is_some_and(|step| step.long_running);
        self.workers
            .iter()
            .filter(|(_, worker)| worker.tasks.iter().any(is_long))
            .map(|(key, _)| key)
            .collect()
    }
}

//! Placement of suspect tasks apart from all others.
//!
//! A suspect task gets a worker on which only its own job runs, so that a crash there shows that the
//! job caused it. Few workers are used so at once, because a crash takes away part of the pool:
//! beyond these, tasks that are suspect for the first time share workers. While no worker is empty,
//! the one with the fewest tasks gets no others. A long-running task waits for such a worker for a
//! limited time only.

use std::collections::{BTreeMap, BTreeSet};

use super::crashes::Suspicion;
use super::{Now, Shard};
use crate::StepSpec;
use crate::job::{JobKey, TaskKey};
use crate::selection::PlacementRequest;
use crate::worker::{Reachability, Worker, WorkerKey};

/// Part of the workers that respond that are emptied for suspect tasks at once, as a divisor.
const EMPTIED_DIVISOR: usize = 4;
/// Part of the workers that may run suspect tasks at once, as a divisor; those beyond
/// [`EMPTIED_DIVISOR`] are empty anyway.
const APART_DIVISOR: usize = 2;
/// Number of jobs whose suspect tasks may share a worker.
const MAX_SHARED_JOBS: usize = 4;

/// Workers that are kept apart during a placement pass.
#[derive(Debug, Default)]
pub(super) struct Isolation {
    /// Workers with suspect tasks.
    suspect_workers: BTreeMap<WorkerKey, SuspectWorker>,
    /// Worker that is being emptied for the next suspect task.
    reserved: Option<WorkerKey>,
    /// Number of `suspect_workers` that respond; the others have probably crashed.
    responding: usize,
    /// Number of workers that may run likely suspects at once, or have crashed under them; 0 if none
    /// can be kept apart.
    max_workers: usize,
    /// Number of workers that respond and may run suspect tasks at once.
    max_responding: usize,
}

/// Suspect tasks on one worker.
#[derive(Debug, Default)]
struct SuspectWorker {
    jobs: BTreeSet<JobKey>,
    has_likely: bool,
}

impl Isolation {
    /// Returns whether tasks that aren't suspect may be placed on a worker.
    pub(super) fn is_open(&self, key: WorkerKey) -> bool {
        self.reserved != Some(key) && !self.suspect_workers.contains_key(&key)
    }

    /// Returns whether a worker has suspect tasks.
    pub(super) fn has_suspects(&self, key: WorkerKey) -> bool {
        self.suspect_workers.contains_key(&key)
    }

    /// Returns whether suspect tasks can be kept apart at all.
    pub(super) const fn is_possible(&self) -> bool {
        self.max_workers > 0
    }

    /// Returns whether a suspect task of a job may be placed on a worker. `is_long_running` tells whether
    /// its crashes go on without end, so that it mustn't take other tasks of its job along.
    pub(super) fn admits(
        &self,
        job: JobKey,
        suspicion: Suspicion,
        is_long_running: bool,
        key: WorkerKey,
        worker: &Worker,
    ) -> bool {
        let is_at_limit = self.responding >= self.max_responding
            || (suspicion == Suspicion::Likely && self.suspect_workers.len() >= self.max_workers);
        match self.suspect_workers.get(&key) {
            Some(suspect_worker)
                if !is_long_running
                    && suspect_worker.jobs.len() == 1
                    && suspect_worker.jobs.contains(&job) =>
            {
                worker.tasks.iter().all(|task| task.job == job)
            }
            Some(suspect_worker) => {
                is_at_limit
                    && suspicion == Suspicion::Possible
                    && !suspect_worker.has_likely
                    && suspect_worker.jobs.len() < MAX_SHARED_JOBS
            }
            None => worker.tasks.is_empty() && !is_at_limit,
        }
    }
}

impl Shard {
    /// Returns the workers that are kept apart for suspect tasks.
    pub(super) fn isolation(&self, now: Now) -> Isolation {
        let mut isolation = Isolation::default();
        if self.crashes.suspects.is_empty() {
            return isolation;
        }
        for (&task, &suspicion) in &self.crashes.suspects {
            if let Some(worker) = self.worker_of(task) {
                let suspect_worker = isolation.suspect_workers.entry(worker).or_default();
                suspect_worker.jobs.insert(task.job);
                suspect_worker.has_likely |= suspicion == Suspicion::Likely;
            }
        }
        let pinned = self.workers_with_long_running();
        let usable = |(key, worker): &(WorkerKey, &Worker)| {
            worker.accepts_tasks(now.boot_ms) && !pinned.contains(key)
        };
        let usable: Vec<(WorkerKey, &Worker)> = self.workers.iter().filter(usable).collect();
        if usable.is_empty() && isolation.suspect_workers.is_empty() {
            return isolation;
        }
        let listed = self.workers.values().filter(|worker| worker.is_registered);
        isolation.max_workers = (listed.count() / APART_DIVISOR).max(1);
        let responds = |worker: &Worker| worker.reachability == Reachability::Reachable;
        let suspect_workers = isolation.suspect_workers.keys();
        isolation.responding = suspect_workers
            .filter(|key| responds(&self.workers[**key]))
            .count();
        let responding = self.workers.values().filter(|worker| responds(worker));
        let responding = responding.count();
        isolation.max_responding = (responding / APART_DIVISOR).max(1);
        if isolation.responding < (responding / EMPTIED_DIVISOR).max(1) {
            isolation.reserved = self.worker_to_empty(&isolation, &usable);
        }
        isolation
    }

    /// Returns what is suspected of a task, if anything is.
    pub(super) fn suspicion(&self, key: TaskKey) -> Option<Suspicion> {
        self.crashes.suspects.get(&key).copied()
    }

    /// Returns whether a step of a gang has a suspect task.
    pub(super) fn is_suspect_gang(&self, first: TaskKey, spec: &StepSpec) -> bool {
        (0..spec.count).any(|index| self.suspicion(TaskKey { index, ..first }).is_some())
    }

    /// Returns the worker with the fewest tasks that could run the first suspect task that waits,
    /// once it is empty.
    fn worker_to_empty(
        &self,
        isolation: &Isolation,
        usable: &[(WorkerKey, &Worker)],
    ) -> Option<WorkerKey> {
        let waiting = self
            .crashes
            .suspects
            .keys()
            .find(|key| self.is_waiting(**key))?;
        let request = PlacementRequest::from(self.step_of(*waiting)?);
        usable
            .iter()
            .filter(|(key, worker)| {
                request.is_suitable(worker) && !isolation.suspect_workers.contains_key(key)
            })
            .min_by_key(|(_, worker)| worker.tasks.len())
            .map(|(key, _)| *key)
    }
}

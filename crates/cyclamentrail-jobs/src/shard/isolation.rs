//! Placement of suspect tasks apart from all others.
//!
//! A suspect task gets a worker on which only its own job runs, so that a crash there shows that the
//! job caused it. Few workers are used so at once, because a crash takes away part of the pool:
//! beyond these, tasks that are suspect for the first time share workers. While no worker is empty,
//! the one with the fewest tasks gets no others.
//!
//! A task waits for such a worker for a limited time only (see [`super::crashes`]). After that it
//! shares a worker with other suspects, weak ones any number of them, or runs beside tasks that
//! aren't suspect, on few workers at once.

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
/// Part of the workers that overdue suspect tasks leave alone, as a divisor.
const OPEN_DIVISOR: usize = 4;
/// Number of jobs whose suspect tasks may share a worker.
pub(super) const MAX_SHARED_JOBS: u32 = 4;
/// Part of the workers on which suspect tasks may run beside others at once, as a divisor.
const EXPOSED_DIVISOR: usize = 4;

/// Workers that are kept apart during a placement pass.
#[derive(Debug, Default)]
pub(super) struct Isolation {
    /// Workers with suspect tasks.
    suspect_workers: BTreeMap<WorkerKey, SuspectWorker>,
    /// Worker that is being emptied for the next suspect task.
    reserved: Option<WorkerKey>,
    /// Worker that is kept free for another step than those that are placed.
    kept_free: Option<WorkerKey>,
    /// Number of `suspect_workers` that respond; the others have probably crashed.
    responding: usize,
    /// Number of workers that may run likely suspects at once, or have crashed under them; 0 if none
    /// can be kept apart.
    max_workers: usize,
    /// The same for overdue suspects, as long as they get empty workers.
    max_workers_overdue: usize,
    /// Number of workers that respond and may run suspect tasks at once.
    max_responding: usize,
    /// Number of workers that may run suspect tasks beside others at once, or have crashed so.
    max_exposed: usize,
}

/// Suspect tasks on one worker.
#[derive(Debug, Default)]
struct SuspectWorker {
    jobs: BTreeSet<JobKey>,
    has_likely: bool,
    /// Whether tasks that aren't suspect are there as well.
    is_exposed: bool,
}

/// A suspect task that is to be placed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct SuspectTask {
    pub(super) job: JobKey,
    pub(super) suspicion: Suspicion,
    /// Whether its crashes go on without end, so that it mustn't take other tasks of its job along.
    pub(super) is_long_running: bool,
    /// Whether it has waited for long enough for a worker of its own.
    pub(super) is_overdue: bool,
}

impl Isolation {
    /// Returns whether tasks that aren't suspect may be placed on a worker.
    pub(super) fn is_open(&self, key: WorkerKey) -> bool {
        self.reserved != Some(key)
            && self.kept_free != Some(key)
            && !self.suspect_workers.contains_key(&key)
    }

    /// Keeps a worker free from tasks that aren't suspect.
    pub(super) fn keep_free(&mut self, key: WorkerKey) {
        self.kept_free = Some(key);
    }

    /// Returns whether a worker has suspect tasks.
    pub(super) fn has_suspects(&self, key: WorkerKey) -> bool {
        self.suspect_workers.contains_key(&key)
    }

    /// Returns whether suspect tasks can be kept apart at all.
    pub(super) const fn is_possible(&self) -> bool {
        self.max_workers > 0
    }

    /// Returns whether a suspect task may be placed on a worker without danger for tasks that aren't
    /// suspect.
    pub(super) fn admits(&self, task: SuspectTask, key: WorkerKey, worker: &Worker) -> bool {
        let is_at_limit = self.responding >= self.max_responding
            || (task.suspicion >= Suspicion::Likely
                && self.suspect_workers.len() >= self.max_workers);
        let leaves_enough = self.suspect_workers.len() < self.max_workers_overdue;
        match self.suspect_workers.get(&key) {
            Some(suspect_worker)
                if !task.is_long_running
                    && suspect_worker.jobs.len() == 1
                    && suspect_worker.jobs.contains(&task.job) =>
            {
                worker.tasks.iter().all(|other| other.job == task.job)
            }
            Some(suspect_worker) => {
                let may_share = is_at_limit || task.is_overdue;
                may_share && suspect_worker.admits(task)
            }
            None => {
                let may_add = !is_at_limit || (task.is_overdue && leaves_enough);
                worker.tasks.is_empty() && may_add
            }
        }
    }

    /// Returns whether a suspect task that has waited for long enough may be placed on a worker beside
    /// tasks that aren't suspect.
    pub(super) fn admits_beside_others(&self, task: SuspectTask, key: WorkerKey) -> bool {
        let exposed = self.suspect_workers.values();
        let exposed = exposed.filter(|worker| worker.is_exposed).count();
        match self.suspect_workers.get(&key) {
            Some(suspect_worker) => suspect_worker.is_exposed && suspect_worker.admits(task),
            // A likely suspect probably takes its worker along.
            None if task.suspicion >= Suspicion::Likely => {
                exposed == 0 && self.suspect_workers.len() < self.max_workers
            }
            None => exposed < self.max_exposed,
        }
    }

    /// Notes that a suspect task has been placed on a worker.
    pub(super) fn add(&mut self, task: SuspectTask, key: WorkerKey, is_exposed: bool) {
        if self.reserved == Some(key) {
            self.reserved = None;
        }
        if !self.suspect_workers.contains_key(&key) {
            self.responding += 1;
        }
        let suspect_worker = self.suspect_workers.entry(key).or_default();
        suspect_worker.jobs.insert(task.job);
        suspect_worker.has_likely |= task.suspicion >= Suspicion::Likely;
        suspect_worker.is_exposed |= is_exposed;
    }
}

impl SuspectWorker {
    /// Returns whether a suspect task may share the worker with those of other jobs.
    fn admits(&self, task: SuspectTask) -> bool {
        let has_room = match task.suspicion {
            Suspicion::Weak if task.is_overdue => true,
            Suspicion::Weak | Suspicion::Possible => self.jobs.len() < MAX_SHARED_JOBS as usize,
            Suspicion::Likely | Suspicion::Known => false,
        };
        has_room && !self.has_likely
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
                suspect_worker.has_likely |= suspicion >= Suspicion::Likely;
            }
        }
        for (key, suspect_worker) in &mut isolation.suspect_workers {
            suspect_worker.is_exposed = !self.runs_suspects_only(&self.workers[*key]);
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
        let listed = listed.count();
        isolation.max_workers = (listed / APART_DIVISOR).max(1);
        isolation.max_workers_overdue = listed.saturating_sub((listed / OPEN_DIVISOR).max(1));
        let responds = |worker: &Worker| worker.reachability == Reachability::Reachable;
        let suspect_workers = isolation.suspect_workers.keys();
        isolation.responding = suspect_workers
            .filter(|key| responds(&self.workers[**key]))
            .count();
        let responding = self.workers.values().filter(|worker| responds(worker));
        let responding = responding.count();
        isolation.max_responding = (responding / APART_DIVISOR).max(1);
        isolation.max_exposed = (responding / EXPOSED_DIVISOR).max(1);
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

    /// Returns the worker with the fewest tasks that could run the suspect task that has waited for the
    /// longest time, once it is empty.
    fn worker_to_empty(
        &self,
        isolation: &Isolation,
        usable: &[(WorkerKey, &Worker)],
    ) -> Option<WorkerKey> {
        let waiting = self.longest_waiting_suspect()?;
        let request = PlacementRequest::from(self.step_of(waiting)?);
        usable
            .iter()
            .filter(|(key, worker)| {
                request.is_suitable(worker) && !isolation.suspect_workers.contains_key(key)
            })
            .min_by_key(|(_, worker)| worker.tasks.len())
            .map(|(key, _)| *key)
    }
}

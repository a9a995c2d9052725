//! Tasks that crash the workers that run them.
//!
//! A worker that gave no notice has crashed when a newer incarnation of it runs, or another worker at
//! its address. Each run that had begun there counts against its task, because nobody saw which of
//! them caused the crash. A suspect task runs apart from the tasks of other jobs (see
//! [`super::isolation`]), so that its next crash tells who did it and takes nobody else's work with
//! it.
//!
//! A job fails by crashes under its other tasks only: long-running ones are started again, see
//! [`service_restarts`].
//!
//! A start that the worker rejected, that another incarnation answered or that was never sent counts
//! for nothing. A start without any response may have crashed its worker before that could respond,
//! or met one that was gone. It counts, for less than a run that had begun, only where the worker
//! responded to any call shortly before the start or after it. Else it makes its task suspect: the next
//! start is then preceded by a poll that the worker answers at once, so that a task that crashes its
//! workers unheard counts from its second start on, and a task that met silent workers never does.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use super::reports::ListedRuns;
use super::restarts::CALLS_UNDER_WAY_MS;
use super::{Now, Shard};
use crate::JobSpec;
use crate::effect::{Decision, Effect};
use crate::job::{JobKey, Placement, RunPhase, TaskKey};
use crate::record::PlacementRecord;
use crate::worker::{Reachability, Worker, WorkerKey, WorkerRegistration};

mod attribution;
mod counts;
mod lost_worker;
mod service_restarts;
mod waits;

use counts::CrashCounts;
pub(super) use counts::Suspicion;
pub(super) use lost_worker::LostWorker;
use lost_worker::{CrashedWorker, LostRun};
use service_restarts::CrashedService;

/// Time for which a suspect run keeps its worker for itself, in milliseconds: most such tasks crash
/// their workers as they begin.
const PROBATION_MS: u64 = 600;
/// Time for which a lost run waits for the proof that its worker crashed, in milliseconds.
const PROOF_WAIT_MS: u64 = 60_000;
/// Time before a start within which a response shows that the worker was alive at the start, in
/// milliseconds; longer than a worker may hold a poll.
const HEARD_BEFORE_START_MS: u64 = 1_500;
/// Number of descriptions of given-up jobs that are remembered.
const MAX_GIVEN_UP: usize = 64;

/// What a shard knows of workers' crashes and of the tasks that may have caused them.
#[derive(Debug, Default)]
pub(super) struct Crashes {
    /// Tasks that may crash their workers.
    pub(super) suspects: BTreeMap<TaskKey, Suspicion>,
    /// Long-running tasks whose workers crashed under them soon after their starts.
    services: BTreeMap<TaskKey, CrashedService>,
    /// Times since which suspect tasks wait that could run, on the owner's boot clock in milliseconds.
    waits_since_ms: BTreeMap<TaskKey, u64>,
    /// Runs that ended with their workers' leases, until it is known whether these workers crashed.
    unexplained: Vec<LostWorker>,
    /// Runs of restarted workers that may be on the new incarnation, whose key is given.
    unsettled: Vec<(WorkerKey, LostWorker)>,
    /// Workers that crashed lately.
    recent: VecDeque<CrashedWorker>,
    /// Descriptions of the jobs that were given up last.
    given_up: VecDeque<Arc<JobSpec>>,
}

impl Shard {
    /// Counts the crash of a worker against the tasks whose runs may have begun there, except those in
    /// `open`, whose starts have no result yet; returns the tasks whose jobs have to be given up. The
    /// runs are released by the caller.
    pub(super) fn record_crash(
        &mut self,
        now: Now,
        key: WorkerKey,
        open: &[TaskKey],
    ) -> Vec<TaskKey> {
        let Some(mut lost) = self.lost_worker(now, key) else {
            return Vec::new();
        };
        lost.runs.retain(|run| !open.contains(&run.task));
        self.count_crashes(now, &lost)
    }

    /// Counts the crash of a worker that has restarted, as far as its runs have surely ended; returns
    /// the tasks whose jobs have to be given up, and the worker with the runs in doubt.
    pub(super) fn record_restart(
        &mut self,
        now: Now,
        key: WorkerKey,
        doubtful: &[TaskKey],
    ) -> (Vec<TaskKey>, Option<LostWorker>) {
        let Some(mut lost) = self.lost_worker(now, key) else {
            return (Vec::new(), None);
        };
        let (in_doubt, ended) = std::mem::take(&mut lost.runs)
            .into_iter()
            .partition(|run: &LostRun| doubtful.contains(&run.task));
        let given_up = self.count_crashes(
            now,
            &LostWorker {
                runs: ended,
                ..lost.clone()
            },
        );
        lost.runs = in_doubt;
        (given_up, Some(lost))
    }

    /// Keeps the runs in doubt of a restarted worker until the new incarnation reports.
    pub(super) fn keep_unsettled(&mut self, key: WorkerKey, lost: Option<LostWorker>) {
        let unsettled = lost.filter(|lost| !lost.runs.is_empty());
        self.crashes
            .unsettled
            .extend(unsettled.map(|lost| (key, lost)));
    }

    /// Keeps a run of the records whose worker has restarted until the new incarnation reports. A task
    /// that crashes its workers while owners change would otherwise never be found. Long-running tasks
    /// don't count: they outlast many restarts, and it isn't known how long this run had lasted.
    pub(super) fn keep_restored_run(
        &mut self,
        now: Now,
        key: WorkerKey,
        task: TaskKey,
        record: &PlacementRecord,
    ) {
        if self.is_long_running(task) {
            return;
        }
        let run = LostRun {
            task,
            run: record.run,
            has_begun: false,
            may_have_begun: true,
            is_restored: true,
            // It began under an earlier owner: one such crash alone doesn't make the task suspect.
            since_ms: Some(0),
        };
        let is_same = |(worker, lost): &&mut (WorkerKey, LostWorker)| {
            *worker == key && lost.started_ms == record.started_ms
        };
        if let Some((_, lost)) = self.crashes.unsettled.iter_mut().find(is_same) {
            lost.jobs.insert(task.job);
            lost.runs.push(run);
            return;
        }
        let registration = &self.workers[key].registration;
        let lost = LostWorker {
            id: registration.id.clone(),
            address: registration.address,
            started_ms: record.started_ms,
            lost_ms: now.boot_ms,
            heard_ms: now.boot_ms,
            jobs: BTreeSet::from([task.job]),
            was_apart: false,
            runs: vec![run],
        };
        self.crashes.unsettled.push((key, lost));
    }

    /// Counts the crash of a restarted worker against the runs in doubt that its new incarnation
    /// doesn't report: they were lost with the earlier one.
    pub(super) fn count_unsettled(&mut self, now: Now, key: WorkerKey, listed: &ListedRuns) {
        let (settled, open): (Vec<_>, Vec<_>) = std::mem::take(&mut self.crashes.unsettled)
            .into_iter()
            .partition(|(worker, _)| *worker == key);
        self.crashes.unsettled = open;
        for (_, mut lost) in settled {
            lost.runs.retain(|run| !listed.contains(run.task, run.run));
            if !listed.is_whole {
                self.crashes.unsettled.push((key, lost));
                continue;
            }
            let given_up = self.count_crashes(now, &lost);
            self.give_up(given_up);
        }
    }

    /// Remembers runs of a worker whose lease has expired, until the worker turns out to have crashed or
    /// to have been unreachable only.
    pub(super) fn remember_lost(&mut self, now: Now, key: WorkerKey, tasks: &[TaskKey]) {
        let Some(mut lost) = self.lost_worker(now, key) else {
            return;
        };
        lost.runs.retain(|run| tasks.contains(&run.task));
        self.crashes.unexplained.push(lost);
    }

    /// Handles the proof that an incarnation of a worker runs. An earlier one that was lost with its
    /// runs has crashed, also if a worker with another id runs at its address now; the same one was
    /// unreachable only.
    pub(super) fn explain_lost(&mut self, now: Now, running: &WorkerRegistration) {
        let (explained, open) = std::mem::take(&mut self.crashes.unexplained)
            .into_iter()
            .partition(|lost| lost.id == running.id || lost.address == running.address);
        self.crashes.unexplained = open;
        let explained: Vec<LostWorker> = explained;
        for lost in explained {
            if lost.id != running.id || lost.started_ms < running.started_ms {
                let given_up = self.count_crashes(now, &lost);
                self.give_up(given_up);
            }
        }
    }

    /// Forgets what was lost with a worker that responds again: it was unreachable only.
    pub(super) fn forget_lost(&mut self, key: WorkerKey) {
        let id = &self.workers[key].registration.id;
        self.crashes.unexplained.retain(|lost| lost.id != *id);
    }

    /// Fails the jobs of tasks that crashed too many workers.
    pub(super) fn give_up(&mut self, tasks: Vec<TaskKey>) {
        for task in tasks {
            let Some(job) = self.jobs.get(task.job).filter(|job| !job.is_aborted()) else {
                continue;
            };
            let crashes = job.task(task).map_or(0, |task| task.crashed_runs.len());
            let decision = Decision::JobGivenUp {
                job: job.id.clone(),
                task,
                crashes: u32::try_from(crashes).unwrap_or(u32::MAX),
            };
            self.crashes.remember_given_up(&job.spec);
            self.gated_effects.push(Effect::Log(decision));
            self.fail_job(task);
        }
    }

    /// Marks the tasks of a restored or new job that crashed workers before, or whose description is
    /// that of a job that was given up.
    pub(super) fn mark_known_suspects(&mut self, key: JobKey) {
        let job = &self.jobs[key];
        let is_known = self.crashes.given_up.contains(&job.spec);
        let suspects: Vec<(TaskKey, Suspicion)> = job
            .tasks(key)
            .filter(|(_, task)| !task.is_done)
            .filter_map(|(task_key, task)| {
                let counts = CrashCounts::of(task);
                let by_crashes = if self.is_long_running(task_key) {
                    counts.suspicion_of_service()
                } else {
                    counts.suspicion()
                };
                let suspicion = by_crashes.max(is_known.then_some(Suspicion::Known))?;
                Some((task_key, suspicion))
            })
            .collect();
        self.crashes.suspects.extend(suspects);
    }

    /// Ends the suspicion of a task whose run its worker survived.
    pub(super) fn clear_suspect(&mut self, key: TaskKey) {
        self.crashes.suspects.remove(&key);
        self.crashes.services.remove(&key);
    }

    /// Ends the suspicion of a run that has executed for long enough.
    pub(super) fn clear_proven(&mut self, now: Now, key: TaskKey, placement: Placement) {
        if let RunPhase::Running { since_ms } = placement.phase
            && now.boot_ms >= since_ms + PROBATION_MS
        {
            self.clear_suspect(key);
        }
    }

    /// Drops suspects whose jobs are over, and lost runs and crashes that are too old to matter.
    pub(super) fn prune_crashes(&mut self, now: Now) {
        let jobs = &self.jobs;
        let is_open = |key: &TaskKey| {
            jobs.get(key.job)
                .filter(|job| !job.is_aborted())
                .and_then(|job| job.task(*key))
                .is_some_and(|task| !task.is_done)
        };
        self.crashes.suspects.retain(|key, _| is_open(key));
        self.crashes.services.retain(|key, _| is_open(key));
        self.crashes
            .unexplained
            .retain(|lost| now.boot_ms < lost.lost_ms + PROOF_WAIT_MS);
        let workers = &self.workers;
        self.crashes
            .unsettled
            .retain(|(key, _)| workers.contains_key(*key));
        self.crashes
            .recent
            .retain(|crashed| now.boot_ms < crashed.lost_ms + PROOF_WAIT_MS);
    }

    /// Returns the runs that may have begun on a worker that is gone; `None` if the worker was about to
    /// leave, or nothing ran there.
    fn lost_worker(&self, now: Now, key: WorkerKey) -> Option<LostWorker> {
        let worker = self.workers.get(key)?;
        if worker.registration.is_draining || worker.evacuating_since_ms.is_some() {
            return None;
        }
        let runs: Vec<LostRun> = worker
            .tasks
            .iter()
            .filter_map(|&task| self.lost_run(worker, task))
            .collect();
        let is_suspect = |run: &LostRun| self.crashes.suspects.contains_key(&run.task);
        (!runs.is_empty()).then(|| LostWorker {
            id: worker.registration.id.clone(),
            address: worker.registration.address,
            started_ms: worker.registration.started_ms,
            lost_ms: lost_ms(worker).unwrap_or(now.boot_ms),
            heard_ms: worker.heard_ms,
            jobs: runs.iter().map(|run| run.task.job).collect(),
            was_apart: runs.iter().all(is_suspect),
            runs,
        })
    }

    fn lost_run(&self, worker: &Worker, task: TaskKey) -> Option<LostRun> {
        let placement = self.placement_of(task)?;
        (placement.phase != RunPhase::Placed).then_some(LostRun {
            task,
            run: placement.run,
            has_begun: placement.has_begun,
            may_have_begun: placement.has_begun || was_alive_at_start(worker, placement),
            is_restored: !placement.has_begun && placement.start_under_way_until_ms == 0,
            since_ms: match placement.phase {
                RunPhase::Running { since_ms } => Some(since_ms),
                _ => None,
            },
        })
    }

    /// Returns whether a worker has a run of a suspect task that it hasn't confirmed.
    pub(super) fn has_unconfirmed_suspect(&self, key: WorkerKey) -> bool {
        if self.crashes.suspects.is_empty() {
            return false;
        }
        let is_unconfirmed = |task: &TaskKey| {
            let has_begun = |placement: Placement| placement.has_begun;
            self.crashes.suspects.contains_key(task)
                && !self.placement_of(*task).is_none_or(has_begun)
        };
        let worker = self.workers.get(key);
        worker.is_some_and(|worker| worker.tasks.iter().any(is_unconfirmed))
    }
}

impl Crashes {
    /// Remembers a crashed worker, with all jobs that may have run there.
    fn remember_crashed(&mut self, lost: &LostWorker) {
        let known = self.recent.iter_mut().find(|known| lost.is_same(known));
        if let Some(known) = known {
            known.jobs.extend(&lost.jobs);
            known.was_apart &= lost.was_apart;
            return;
        }
        self.recent.push_back(CrashedWorker {
            id: lost.id.clone(),
            started_ms: lost.started_ms,
            lost_ms: lost.lost_ms,
            jobs: lost.jobs.clone(),
            was_apart: lost.was_apart,
        });
    }

    fn remember_given_up(&mut self, spec: &Arc<JobSpec>) {
        if self.given_up.contains(spec) {
            return;
        }
        if self.given_up.len() == MAX_GIVEN_UP {
            self.given_up.pop_front();
        }
        self.given_up.push_back(Arc::clone(spec));
    }
}

/// Returns since when a worker hasn't responded, on the owner's boot clock in milliseconds.
const fn lost_ms(worker: &Worker) -> Option<u64> {
    match worker.reachability {
        Reachability::Reachable => None,
        Reachability::Unreachable { since_ms } => Some(since_ms),
    }
}

/// Returns whether a worker responded to any call shortly before the start of a run, or after it. Of a
/// start by an earlier owner, nobody knows.
const fn was_alive_at_start(worker: &Worker, placement: Placement) -> bool {
    let sent_ms = placement
        .start_under_way_until_ms
        .saturating_sub(CALLS_UNDER_WAY_MS);
    let is_heard = worker.heard_ms > 0 && worker.heard_ms + HEARD_BEFORE_START_MS >= sent_ms;
    is_heard || placement.start_under_way_until_ms == 0
}

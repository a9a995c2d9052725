//! Tasks that crash the workers that start them, and the workers' restarts under their ids.

use std::collections::{BTreeMap, BTreeSet};

use cyclamentrail_core::{JobId, WorkerId};
use cyclamentrail_jobs::StartCommand;

use super::{Event, Simulation};
use crate::worker::Run;

/// Time from the start of a deadly task to its worker's crash, in milliseconds.
const CRASH_AFTER_MS: u64 = 10;
/// Time after a worker's start at which the owner reads its registration, in milliseconds.
const REGISTERED_AFTER_MS: u64 = 100;
/// Time after which the registry drops a worker that has crashed, in milliseconds.
const UNLISTED_AFTER_MS: u64 = 4_500;
/// Number of crashes under a task after which it may be started only twice more.
const MAX_CRASHES: usize = 3;
/// Shortest pause from the restart of a crashed worker to the next start of a deadly long-running task
/// after [`MAX_CRASHES`], in milliseconds.
const SERVICE_PAUSE_MS: u64 = 900;
/// Time in milliseconds after a crash within which a deadly long-running task has to start again.
const SERVICE_AWAY_MS: u64 = 6_000;

/// Job, occurrence, step and index of a task.
type TaskName = (JobId, u32, u32, u32);

/// Tasks that crash each worker that starts them, and what came of them.
#[derive(Debug)]
pub struct DeadlyTasks {
    /// Job, step and index of each such task.
    pub tasks: BTreeSet<(JobId, u32, u32)>,
    /// Time from a crash to the worker's restart under its id, in milliseconds.
    pub restart_after_ms: u64,
    /// Whether the worker is back under another id, at the same address.
    pub restarts_as_other: bool,
    /// Whether the workers crash before they respond to the start command.
    pub crashes_unanswered: bool,
    /// Number of crashes under each such task.
    pub crashes: BTreeMap<TaskName, usize>,
    /// Starts of each such task after [`MAX_CRASHES`].
    late_starts: BTreeMap<TaskName, usize>,
    /// Virtual time of the last crash under each such task, in milliseconds.
    last_crashes_ms: BTreeMap<TaskName, u64>,
}

impl Default for DeadlyTasks {
    fn default() -> Self {
        Self {
            tasks: BTreeSet::new(),
            restart_after_ms: 3_200,
            restarts_as_other: false,
            crashes_unanswered: false,
            crashes: BTreeMap::new(),
            late_starts: BTreeMap::new(),
            last_crashes_ms: BTreeMap::new(),
        }
    }
}

impl DeadlyTasks {
    /// Makes a task of a job's first step deadly.
    pub fn insert(&mut self, job: &str, index: u32) {
        self.tasks.insert((JobId::from(job), 0, index));
    }

    /// Returns the number of crashes of workers under deadly tasks.
    pub fn crash_count(&self) -> usize {
        self.crashes.values().sum()
    }

    fn contains(&self, task: &TaskName) -> bool {
        self.tasks.contains(&(task.0.clone(), task.2, task.3))
    }
}

impl Simulation {
    /// Ends a worker's process, with all that it knows; returns what was running. Ends that no owner
    /// has recorded are lost with it: these tasks have to run again.
    pub(super) fn end_incarnation(&mut self, id: &WorkerId) -> Vec<Run> {
        let worker = self.worker(id.as_str());
        worker.is_alive = false;
        worker.is_reachable = false;
        worker.crash_ms = None;
        let running = std::mem::take(&mut worker.running);
        for ended_run in std::mem::take(&mut worker.ended) {
            let lost = ended_run.id;
            self.must_not_rerun
                .remove(&(lost.job, lost.occurrence, lost.step, lost.index));
        }
        running
    }

    /// Crashes a worker; it starts again after a while.
    pub fn crash_worker(&mut self, id: &WorkerId) {
        let now_ms = self.now_ms;
        for run in self.end_incarnation(id) {
            let task = (run.id.job, run.id.occurrence, run.id.step, run.id.index);
            if self.deadly_tasks.contains(&task) {
                self.deadly_tasks
                    .last_crashes_ms
                    .insert(task.clone(), now_ms);
                *self.deadly_tasks.crashes.entry(task).or_default() += 1;
            }
        }
        let restart_after_ms = self.deadly_tasks.restart_after_ms;
        self.schedule(restart_after_ms, Event::Restart(id.clone()));
        if self.deadly_tasks.restarts_as_other {
            self.schedule(UNLISTED_AFTER_MS, Event::Unlist(id.clone()));
        }
    }

    /// Starts a crashed worker again, under its id or as another one at its address.
    pub(super) fn restart_worker(&mut self, id: &WorkerId) {
        if self.workers[id].is_alive {
            return;
        }
        let registration = &self.workers[id].registration;
        let (capacity, rack) = (registration.capacity, registration.labels[1].to_string());
        let registration = if self.deadly_tasks.restarts_as_other {
            self.worker(id.as_str()).is_replaced = true;
            self.start_worker(&format!("{id}x"), capacity, &rack)
        } else {
            self.start_worker(id.as_str(), capacity, &rack)
        };
        self.schedule(REGISTERED_AFTER_MS, Event::Register(registration));
    }

    /// Lets a worker crash soon after it started a deadly task, and checks that the task wasn't
    /// started too often, or a long-running one too soon.
    pub(super) fn record_deadly_start(
        &mut self,
        worker: &WorkerId,
        task: &TaskName,
        is_long_running: bool,
    ) {
        if !self.deadly_tasks.contains(task) {
            return;
        }
        let crashes = self.deadly_tasks.crashes.get(task);
        let has_crashed_often = crashes.is_some_and(|&crashes| crashes >= MAX_CRASHES);
        if has_crashed_often && is_long_running {
            let away_ms = self.now_ms - self.deadly_tasks.last_crashes_ms[task];
            let least_ms = self.deadly_tasks.restart_after_ms + SERVICE_PAUSE_MS;
            let is_in_time = (least_ms..SERVICE_AWAY_MS).contains(&away_ms);
            assert!(is_in_time, "{task:?} starts after {away_ms} ms");
        } else if has_crashed_often {
            let late_starts = self.deadly_tasks.late_starts.entry(task.clone());
            let late_starts = late_starts.or_default();
            *late_starts += 1;
            assert!(*late_starts < 3, "{task:?} goes on crashing workers");
        }
        let crash_ms = self.now_ms + CRASH_AFTER_MS;
        if let Some(worker) = self.workers.get_mut(worker) {
            worker.crash_ms = Some(crash_ms);
        }
    }

    /// Crashes the worker of a deadly task's start command before it responds; returns whether it did.
    pub(super) fn crash_unanswered(&mut self, command: &StartCommand) -> bool {
        let task = command.task;
        let name = (command.job.clone(), task.occurrence, task.step, task.index);
        let crashes = self.deadly_tasks.crashes_unanswered && self.deadly_tasks.contains(&name);
        if crashes {
            self.crash_worker(&command.target.id);
        }
        crashes
    }

    /// Crashes the workers whose time has come.
    pub(super) fn crash_due_workers(&mut self) {
        let is_due = |crash_ms: Option<u64>| crash_ms.is_some_and(|due_ms| due_ms <= self.now_ms);
        let due: Vec<WorkerId> = self
            .workers
            .iter()
            .filter(|(_, worker)| is_due(worker.crash_ms))
            .map(|(id, _)| id.clone())
            .collect();
        for id in due {
            self.crash_worker(&id);
        }
    }
}

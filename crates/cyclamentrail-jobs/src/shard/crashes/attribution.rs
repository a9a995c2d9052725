//! What a worker's crash says against each of the tasks that ran there.

use std::collections::BTreeSet;

use super::counts::{CrashCounts, Suspicion};
use super::lost_worker::{LostRun, LostWorker};
use super::{Now, Shard, lost_ms};
use crate::job::{CrashedRun, JobKey, TaskKey, WHOLE_EVIDENCE_MILLI};
use crate::worker::Worker;

/// Time within which several workers are lost by a common cause, such as their rack's power, in
/// milliseconds.
const COMMON_CAUSE_MS: u64 = 150;
/// Duration of a long-running task's run in milliseconds that clears the task: it doesn't crash each
/// worker that starts it, and lives through many crashes with other causes.
const CLEARING_RUN_MS: u64 = 10_000;

/// What is known of a worker's crash for one of its runs.
#[derive(Debug, Clone, Copy)]
struct Crash {
    /// Time of the loss on the owner's boot clock, in milliseconds.
    lost_ms: u64,
    /// Whether the run had begun shortly before, and the crash had no cause outside of the worker.
    is_new: bool,
    /// What the crash says against the task, in thousandths.
    evidence_milli: u32,
    /// Whether the job ran apart from all others, as a suspect.
    was_apart: bool,
}

impl Shard {
    /// Counts a crash against the tasks that ran on the worker; returns those whose jobs have to be
    /// given up.
    pub(super) fn count_crashes(&mut self, now: Now, lost: &LostWorker) -> Vec<TaskKey> {
        if lost.runs.is_empty() {
            return Vec::new();
        }
        let others = self.lost_at_once(lost);
        let known = self.crashes.recent.iter().find(|known| lost.is_same(known));
        let is_proof = lost.is_proof(known);
        let mut given_up = Vec::new();
        for run in &lost.runs {
            // A restored one may have lasted for long, and outlasted many restarts.
            if run.is_restored && self.is_long_running(run.task) {
                continue;
            }
            let is_on_all = others.iter().all(|other| other.contains(&run.task.job));
            if !run.may_have_begun {
                self.suspect(run.task, Suspicion::Possible);
                continue;
            }
            let is_new = is_on_all && run.is_new(lost.heard_ms);
            let crash = Crash {
                lost_ms: lost.lost_ms,
                is_new,
                evidence_milli: if is_on_all { evidence_milli(lost) } else { 0 },
                was_apart: is_proof,
            };
            let Some(crashes) = self.count_crash(run, crash) else {
                continue;
            };
            if self.is_long_running(run.task) {
                if is_new {
                    self.delay_restart(now, run.task, crashes, lost);
                }
            } else if crashes.means_giving_up() {
                given_up.push(run.task);
            } else if let Some(suspicion) = crashes.suspicion() {
                self.suspect(run.task, suspicion);
            }
        }
        self.crashes.remember_crashed(lost);
        given_up
    }

    pub(in crate::shard) fn is_long_running(&self, task: TaskKey) -> bool {
        self.step_of(task).is_some_and(|step| step.long_running)
    }

    /// Makes a task suspect, at least as much as it is.
    pub(super) fn suspect(&mut self, task: TaskKey, suspicion: Suspicion) {
        let known = self.crashes.suspects.entry(task).or_insert(suspicion);
        *known = suspicion.max(*known);
    }

    /// Counts a crash against a task; returns all that count, or `None` if this one doesn't.
    fn count_crash(&mut self, run: &LostRun, crash: Crash) -> Option<CrashCounts> {
        let is_long_running = self.is_long_running(run.task);
        let task = self.jobs.get_mut(run.task.job)?.task_mut(run.task)?;
        let has_run_long = is_long_running
            && run
                .since_ms
                .is_some_and(|since_ms| crash.lost_ms >= since_ms + CLEARING_RUN_MS);
        if task.is_done || has_run_long {
            task.crashed_runs.clear();
            return None;
        }
        task.record_crash(CrashedRun {
            run: run.run,
            has_begun: run.has_begun,
            is_new: crash.is_new,
            evidence_milli: crash.evidence_milli,
            was_apart: crash.was_apart,
        });
        let counts = CrashCounts::of(task);
        self.dirty.insert(run.task.job);
        Some(counts)
    }

    /// Returns whether a worker runs suspect tasks only, or nothing; then its loss tells nothing about
    /// a common cause.
    pub(in crate::shard) fn runs_suspects_only(&self, worker: &Worker) -> bool {
        let is_suspect = |task: &TaskKey| self.crashes.suspects.contains_key(task);
        worker.tasks.iter().all(is_suspect)
    }

    /// Returns the jobs on each other worker that was lost at the same time by what looks like a
    /// common cause.
    fn lost_at_once(&self, lost: &LostWorker) -> Vec<BTreeSet<JobKey>> {
        let is_same_time = |other_ms: u64| other_ms.abs_diff(lost.lost_ms) <= COMMON_CAUSE_MS;
        let own_tasks: BTreeSet<TaskKey> = lost.runs.iter().map(|run| run.task).collect();
        let silent = self
            .workers
            .values()
            .filter(|worker| lost_ms(worker).is_some_and(is_same_time))
            .filter(|worker| worker.tasks.is_disjoint(&own_tasks))
            .filter(|worker| !self.runs_suspects_only(worker))
            .map(|worker| worker.tasks.iter().map(|task| task.job).collect());
        let crashed = self
            .crashes
            .recent
            .iter()
            .filter(|crashed| is_same_time(crashed.lost_ms) && !crashed.was_apart)
            .filter(|crashed| !lost.is_same(crashed))
            .map(|crashed| crashed.jobs.clone());
        silent.chain(crashed).collect()
    }
}

/// Returns what a worker's crash says against each task on it, in thousandths of what a crash under one
/// job says.
fn evidence_milli(lost: &LostWorker) -> u32 {
    let jobs = u32::try_from(lost.jobs.len()).unwrap_or(u32::MAX);
    WHOLE_EVIDENCE_MILLI / jobs.max(1)
}

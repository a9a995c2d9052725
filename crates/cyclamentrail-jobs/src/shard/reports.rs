//! Handling of workers' poll reports: runs in progress and runs that have ended.

use std::collections::BTreeSet;
use std::sync::Arc;

use super::{Now, Shard};
use crate::effect::{
    ActiveRun, Decision, Effect, EndKind, EndProof, EndedRun, PollOutcome, TaskRunId, WorkerReport,
};
use crate::job::{RunPhase, StepProgress, TaskKey};
use crate::worker::{Reachability, WorkerKey};

/// Time for which no task is placed on a worker that keeps failing tasks, in milliseconds; grows
/// with each failure.
const FAILURE_AVOID_MS: u64 = 500;
/// Failure score from which no task is placed on a worker for a while.
const AVOID_FAILURE_SCORE: u32 = 3;

/// Runs that a report of a worker lists.
#[derive(Debug)]
pub(super) struct ListedRuns {
    runs: BTreeSet<(TaskKey, u32)>,
    /// Whether the worker has no further runs.
    pub(super) is_whole: bool,
}

impl ListedRuns {
    /// Returns whether a run of a task is listed.
    pub(super) fn contains(&self, task: TaskKey, run: u32) -> bool {
        self.runs.contains(&(task, run))
    }

    /// Returns whether a run of a task isn't on the worker.
    pub(super) fn lacks(&self, task: TaskKey, run: u32) -> bool {
        self.is_whole && !self.contains(task, run)
    }
}

impl Shard {
    /// Handles the result of a worker poll that acknowledged ended runs up to `durable_sequence`;
    /// returns whether the worker has seen a higher fencing token.
    pub fn handle_poll_result(
        &mut self,
        now: Now,
        key: WorkerKey,
        durable_sequence: u64,
        outcome: PollOutcome,
    ) -> bool {
        let Some(worker) = self.workers.get_mut(key) else {
            return false;
        };
        worker.is_polling = false;
        match outcome {
            PollOutcome::Report(report) => self.handle_report(now, key, durable_sequence, report),
            PollOutcome::StaleToken => return true,
            PollOutcome::OtherIncarnation => self.handle_other_incarnation(now, key),
            PollOutcome::NoResponse => self.record_failed_poll(now, key),
            PollOutcome::NotSent => {
                worker.next_poll_ms = now.boot_ms + self.timing.poll_interval_ms;
            }
        }
        false
    }

    pub(super) fn handle_report(
        &mut self,
        now: Now,
        key: WorkerKey,
        durable_sequence: u64,
        report: WorkerReport,
    ) {
        let worker = &mut self.workers[key];
        let own_started_ms = worker.registration.started_ms;
        let is_own_report = report.started_ms == Some(own_started_ms);
        if let Some(started_ms) = report.started_ms
            && started_ms > own_started_ms
        {
            self.handle_newer_report(now, key, started_ms, report);
            return;
        }
        worker.next_poll_ms = now.boot_ms + self.timing.poll_interval_ms;
        worker.acknowledged_sequence = worker.acknowledged_sequence.max(durable_sequence);
        worker.lease.record_clock(report.clock_ms, now.boot_ms);
        worker.heard_ms = now.boot_ms;
        worker.reported_ms = now.boot_ms;
        // The report that shows a restart answers a poll to the earlier incarnation.
        let answers_own_poll = worker.first_poll_ms.is_some();
        if answers_own_poll && !worker.knows_token {
            worker.knows_token = true;
            // Calls before the poll may have named times on the clock of an earlier incarnation.
            let longest_ms = self.timing.longest_possible_lease_ms();
            worker.lease.set_crossed_expiry(now.boot_ms + longest_ms);
        }
        worker.has_more_ends = report.may_lack_ends;
        if worker.reachability != Reachability::Reachable {
            worker.reachability = Reachability::Reachable;
            self.ready_effects
                .push(Effect::Log(Decision::ContactChanged {
                    worker: worker.registration.id.clone(),
                    is_responding: true,
                }));
        }
        self.forget_lost(key);
        self.update_share(now, key, &report);
        let mut listed = ListedRuns {
            runs: BTreeSet::new(),
            is_whole: !report.may_lack_ends,
        };
        for ended_run in report.ended {
            if let Some(task) = self.find_task(&ended_run.id) {
                listed.runs.insert((task, ended_run.id.run));
            }
            self.record_end(now, key, &ended_run);
        }
        self.handle_unassigned(now, key, &report.running);
        for active_run in report.running {
            if let Some(task) = self.find_task(&active_run.id) {
                listed.runs.insert((task, active_run.id.run));
                self.record_running(now, task, active_run, is_own_report);
                self.mark_started(task);
            }
        }
        self.settle_doubts(now, key, &listed);
        self.release_unlisted(key, &listed);
        self.remove_if_unused(key);
    }

    /// Records the progress and checkpoint of a run; `is_own_report` tells whether the incarnation that
    /// the run is assigned to has listed it.
    fn record_running(
        &mut self,
        now: Now,
        key: TaskKey,
        active_run: ActiveRun,
        is_own_report: bool,
    ) {
        let keeps_checkpoints = self.step_of(key).is_some_and(|step| step.checkpoints);
        let Some(job) = self.jobs.get_mut(key.job) else {
            return;
        };
        let Some(task) = job.task_mut(key) else {
            return;
        };
        let Some(placement) = task
            .placement
            .as_mut()
            .filter(|placement| placement.run == active_run.id.run)
        else {
            return;
        };
        placement.has_begun = true;
        placement.is_listed |= is_own_report;
        if placement.phase == RunPhase::Sent {
            placement.phase = RunPhase::Running {
                since_ms: now.boot_ms,
            };
        }
        if active_run.progress_percent != placement.progress_percent {
            placement.progress_percent = active_run.progress_percent;
            placement.progress_changed_ms = now.boot_ms;
        }
        let placement = *placement;
        if keeps_checkpoints && !active_run.checkpoint.is_empty() {
            task.checkpoint = active_run.checkpoint;
        }
        self.clear_proven(now, key, placement);
    }

    /// Records the end of a run, unless an earlier report listed it already.
    fn record_end(&mut self, now: Now, worker_key: WorkerKey, ended_run: &EndedRun) {
        let Some(worker) = self.workers.get_mut(worker_key) else {
            return;
        };
        if ended_run.sequence <= worker.handled_sequence {
            return;
        }
        worker.handled_sequence = ended_run.sequence;
        let worker_id = worker.registration.id.clone();
        let Some(key) = self.find_task(&ended_run.id) else {
            // The job is no longer kept: the run's end only has to be acknowledged.
            self.has_unmatched_ends = true;
            return;
        };
        self.dirty.insert(key.job);
        self.mark_started(key);
        self.gated_effects.push(Effect::Log(Decision::RunEnded {
            job: ended_run.id.job.clone(),
            task: key,
            run: ended_run.id.run,
            end: ended_run.end,
            worker: worker_id,
        }));
        self.clear_suspect(key);
        self.update_failure_score(now, worker_key, key, ended_run.end);
        self.learn_end(now, key, ended_run);
        self.record_duration(now, key, ended_run);
        let is_current_run = self.placement_of(key).is_some_and(|placement| {
            placement.run == ended_run.id.run && placement.worker == worker_key
        });
        if is_current_run {
            self.release(key, None);
        }
        self.apply_end(key, ended_run);
    }

    /// Updates a task by how one of its runs ended.
    fn apply_end(&mut self, key: TaskKey, ended_run: &EndedRun) {
        let Some(step) = self.step_of(key).cloned() else {
            return;
        };
        let max_attempts = self.max_attempts(key);
        let Some(job) = self.jobs.get_mut(key.job) else {
            return;
        };
        let Some(task) = job.task_mut(key) else {
            return;
        };
        if step.checkpoints && !ended_run.checkpoint.is_empty() {
            task.checkpoint = Arc::clone(&ended_run.checkpoint);
        }
        match ended_run.end {
            EndKind::Done if !step.long_running => self.finish_task(key, step.gang),
            EndKind::Failed if !step.long_running && !task.is_done => {
                task.record_failure(ended_run.id.run);
                let failures = if step.gang {
                    self.gang_failures(key)
                } else {
                    task.failure_count()
                };
                if failures >= max_attempts {
                    self.fail_job(key);
                }
            }
            _ => {}
        }
    }

    /// Marks a task as done, or all tasks of its step for a gang.
    fn finish_task(&mut self, key: TaskKey, is_gang: bool) {
        let Some(progress) = self.step_progress_mut(key) else {
            return;
        };
        if is_gang {
            progress.finish_all_tasks();
            return;
        }
        progress.finish_task(key.index);
        if self.placement_of(key).is_some() {
            self.stop(key);
        }
    }

    /// Returns how many runs of a task's gang failed.
    fn gang_failures(&self, key: TaskKey) -> u32 {
        self.jobs
            .get(key.job)
            .and_then(|job| job.occurrence(key.occurrence))
            .and_then(|occurrence| occurrence.steps.get(key.step as usize))
            .map_or(0, StepProgress::gang_failures)
    }

    /// Fails the job of a task, and stops its runs.
    pub(super) fn fail_job(&mut self, key: TaskKey) {
        if let Some(job) = self.jobs.get_mut(key.job) {
            job.is_failed = true;
        }
        self.stop_job_runs(key.job);
    }

    /// Returns the number of failed runs of a task at which its job fails.
    pub(super) fn max_attempts(&self, key: TaskKey) -> u32 {
        self.jobs
            .get(key.job)
            .and_then(|job| self.routes.get(&job.route))
            .map_or(u32::MAX, |route| route.max_attempts.max(1))
    }

    /// Updates a worker's failure score by how a run ended there.
    fn update_failure_score(
        &mut self,
        now: Now,
        worker_key: WorkerKey,
        key: TaskKey,
        end: EndKind,
    ) {
        let tells_against_worker =
            end == EndKind::Failed && self.tells_against_worker(now, key, worker_key);
        let Some(worker) = self.workers.get_mut(worker_key) else {
            return;
        };
        match end {
            EndKind::Done => worker.failure_score /= 2,
            EndKind::Failed if tells_against_worker => {
                worker.failure_score += 1;
                if worker.failure_score >= AVOID_FAILURE_SCORE {
                    self.avoid(now, worker_key, FAILURE_AVOID_MS);
                }
            }
            _ => {}
        }
    }

    /// Returns whether a failed run tells against its worker rather than its task: one that failed before
    /// tells little about this worker.
    fn tells_against_worker(&mut self, now: Now, key: TaskKey, worker: WorkerKey) -> bool {
        if self.step_of(key).is_some_and(|step| step.long_running) {
            return self.record_service_failure(now, key, worker);
        }
        let task = self.jobs.get(key.job).and_then(|job| job.task(key));
        task.is_none_or(|task| task.failed_runs.is_empty())
    }

    /// Updates the running-time estimate of a route by a run that is done.
    fn record_duration(&mut self, now: Now, key: TaskKey, ended_run: &EndedRun) {
        if ended_run.end != EndKind::Done {
            return;
        }
        let Some(job) = self.jobs.get(key.job) else {
            return;
        };
        let phase = self.placement_of(key).map(|placement| placement.phase);
        let Some(RunPhase::Running { since_ms }) = phase else {
            return;
        };
        let estimate_ms = job.spec.steps[key.step as usize].estimate_ms;
        let actual_ms = now.boot_ms.saturating_sub(since_ms);
        self.estimates
            .entry(job.route.clone())
            .or_default()
            .observe(estimate_ms, actual_ms);
    }

    /// Frees runs that the worker had confirmed before the poll was sent and that its report
    /// doesn't list.
    ///
    /// A stopped run that the worker never listed waits for a poll that was sent when no start command
    /// for it was under way any more: a further incarnation could get that one.
    fn release_unlisted(&mut self, worker_key: WorkerKey, listed: &ListedRuns) {
        let Some(worker) = self.workers.get(worker_key) else {
            return;
        };
        let sent_ms = worker.poll_sent_ms;
        let has_ended = |key: &TaskKey| {
            let Some(placement) = self.placement_of(*key) else {
                return false;
            };
            let was_confirmed = match placement.phase {
                RunPhase::Running { since_ms } => since_ms < sent_ms,
                RunPhase::Stopping { confirmed_ms } => {
                    let may_begin = !placement.is_listed
                        && !placement.has_begun
                        && sent_ms < placement.start_under_way_until_ms;
                    !may_begin && confirmed_ms.is_some_and(|ms| ms < sent_ms)
                }
                RunPhase::Placed | RunPhase::Sent => false,
            };
            was_confirmed && listed.lacks(*key, placement.run)
        };
        let ended_keys: Vec<TaskKey> = worker.tasks.iter().copied().filter(has_ended).collect();
        for key in ended_keys {
            self.release(key, Some(EndProof::NotListed));
        }
    }

    /// Returns the key of the task that a run belongs to, if its job is known.
    pub(super) fn find_task(&self, id: &TaskRunId) -> Option<TaskKey> {
        let key = TaskKey {
            job: *self.job_keys.get(&id.job)?,
            occurrence: id.occurrence,
            step: id.step,
            index: id.index,
        };
        self.jobs[key.job].task(key).map(|_| key)
    }
}

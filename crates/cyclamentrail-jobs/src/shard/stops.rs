//! Stops of runs.
//!
//! The stop of a long-running task on a worker that is being emptied waits until it is durable, so that
//! a successor doesn't take the run for one that works. What is known of the other tasks may change
//! meanwhile. So the decision is reviewed when the command is about to be sent, by this owner or by
//! its successor, and withdrawn if too few others work by then.

use super::evacuation::WORKING_PERCENT;
use super::{Now, STOP_RETRY_MS, Shard};
use crate::effect::{Decision, Effect, EndProof, StopCommand};
use crate::job::{Job, JobKey, Placement, RunPhase, StopOrder, TaskKey};

/// Time after a takeover in milliseconds at which a stop that an earlier owner decided on is withdrawn
/// where it may not be sent and the run still works: a command of that owner would have arrived.
const INHERITED_STOP_MS: u64 = 10_000;

impl Shard {
    /// Stops a run, or frees its capacity if its start command was never sent.
    pub(super) fn stop(&mut self, key: TaskKey) {
        if self.begin_stop(key) {
            self.send_stop(key);
        }
    }

    /// Decides to stop a run that works; the command is sent once the decision is durable, unless it is
    /// withdrawn then.
    pub(super) fn stop_once_durable(&mut self, key: TaskKey) {
        let Some(command) = self.stop_command(key) else {
            return;
        };
        if let Some(placement) = self.placement_of_mut(key) {
            placement.stop_order = StopOrder::Pending;
        }
        self.dirty.insert(key.job);
        self.gated_effects.push(Effect::Stop(command));
    }

    /// Reviews a stop that is durable by now; returns whether the command is to be sent.
    pub(super) fn confirm_stop(&mut self, command: &StopCommand) -> bool {
        let run = command.placed_run();
        let is_pending = self
            .placement_on(run.worker, run.task, run.run)
            .is_some_and(|placement| placement.stop_order == StopOrder::Pending);
        if !is_pending {
            // The run has ended, or was stopped for another reason.
            return false;
        }
        if self.may_stop_now(run.task) {
            return self.begin_stop(run.task);
        }
        self.withdraw_stop(run.task, false);
        false
    }

    /// Sends a stop command again that wasn't confirmed, or holds back one that an earlier owner decided
    /// on and that may not be sent now.
    pub(super) fn resend_stop(&mut self, now: Now, key: TaskKey) {
        let Some(placement) = self.placement_of(key) else {
            return;
        };
        let StopOrder::Inherited { since_ms } = placement.stop_order else {
            self.send_stop(key);
            return;
        };
        if self.may_stop_now(key) {
            self.send_stop(key);
            return;
        }
        let is_old = now.boot_ms >= since_ms + INHERITED_STOP_MS;
        if is_old && placement.is_listed && placement.progress_percent >= WORKING_PERCENT {
            if let Some(placement) = self.placement_of_mut(key) {
                placement.phase = RunPhase::Running {
                    since_ms: now.boot_ms,
                };
            }
            self.withdraw_stop(key, true);
            return;
        }
        self.schedule_resend(now.boot_ms + STOP_RETRY_MS, key, placement.run);
    }

    /// Stops all runs of a job.
    pub(super) fn stop_job_runs(&mut self, key: JobKey) {
        for task in self.placed_tasks(key) {
            self.stop(task);
        }
    }

    /// Sends the command to stop a run.
    pub(super) fn send_stop(&mut self, key: TaskKey) {
        if let Some(placement) = self.placement_of_mut(key) {
            placement.stop_order = StopOrder::Sent;
        }
        let command = self.stop_command(key).map(Effect::Stop);
        self.ready_effects.extend(command);
    }

    /// Returns whether a run that is to be stopped may be stopped by what is known now: any that ends by
    /// itself or whose job goes on no more, and a long-running one while enough others of its step work.
    fn may_stop_now(&self, key: TaskKey) -> bool {
        let is_over = self.jobs.get(key.job).is_none_or(Job::is_aborted);
        let long_running = self.step_of(key).filter(|step| step.long_running);
        is_over || long_running.is_none_or(|step| self.may_interrupt(key, step))
    }

    /// Lets a run go on that was to be stopped.
    fn withdraw_stop(&mut self, key: TaskKey, is_inherited: bool) {
        let Some(placement) = self.placement_of_mut(key) else {
            return;
        };
        placement.stop_order = StopOrder::None;
        let Placement { run, worker, .. } = *placement;
        self.dirty.insert(key.job);
        let decision = Decision::StopWithdrawn {
            job: self.jobs[key.job].id.clone(),
            task: key,
            run,
            worker: self.workers[worker].registration.id.clone(),
            is_inherited,
        };
        self.ready_effects.push(Effect::Log(decision));
    }

    /// Marks a run as being stopped, or frees its capacity if its start command was never sent;
    /// returns whether a stop command has to be sent.
    fn begin_stop(&mut self, key: TaskKey) -> bool {
        self.learn_interrupted(key);
        let Some(placement) = self.placement_of_mut(key) else {
            return false;
        };
        match placement.phase {
            RunPhase::Placed => {
                self.release(key, Some(EndProof::NeverSent));
                false
            }
            RunPhase::Stopping { .. } => {
                // Its job is over now: a stop that was held back isn't any longer.
                let is_held_back = matches!(placement.stop_order, StopOrder::Inherited { .. });
                is_held_back && self.may_stop_now(key)
            }
            RunPhase::Sent | RunPhase::Running { .. } => {
                placement.phase = RunPhase::Stopping { confirmed_ms: None };
                placement.stop_order = StopOrder::Sent;
                self.dirty.insert(key.job);
                true
            }
        }
    }

    fn stop_command(&self, key: TaskKey) -> Option<StopCommand> {
        let job = self.jobs.get(key.job)?;
        let placement = job.task(key)?.placement?;
        Some(StopCommand {
            target: self.target(placement.worker),
            task: key,
            job: job.id.clone(),
            run: placement.run,
        })
    }
}

//! Stops of runs.

use super::Shard;
use crate::effect::{Effect, EndProof, StopCommand};
use crate::job::{JobKey, RunPhase, TaskKey};

impl Shard {
    /// Stops a run, or frees its capacity if its start command was never sent.
    pub(super) fn stop(&mut self, key: TaskKey) {
        if self.begin_stop(key) {
            self.send_stop(key);
        }
    }

    /// Stops a run as [`Shard::stop`] does, but sends the command only once it is durable that the run
    /// is being stopped. A successor then doesn't take the run for one that works.
    pub(super) fn stop_once_durable(&mut self, key: TaskKey) {
        if self.begin_stop(key) {
            let command = self.stop_command(key).map(Effect::Stop);
            self.gated_effects.extend(command);
        }
    }

    /// Stops all runs of a job.
    pub(super) fn stop_job_runs(&mut self, key: JobKey) {
        for task in self.placed_tasks(key) {
            self.stop(task);
        }
    }

    /// Sends the command to stop a run.
    pub(super) fn send_stop(&mut self, key: TaskKey) {
        let command = self.stop_command(key).map(Effect::Stop);
        self.ready_effects.extend(command);
    }

    /// Marks a run as being stopped, or frees its capacity if its start command was never sent;
    /// returns whether a stop command has to be sent.
    fn begin_stop(&mut self, key: TaskKey) -> bool {
        self.learn_interrupted(key);
        let Some(job) = self.jobs.get_mut(key.job) else {
            return false;
        };
        let Some(placement) = job.task_mut(key).and_then(|task| task.placement.as_mut()) else {
            return false;
        };
        match placement.phase {
            RunPhase::Placed => {
                self.release(key, Some(EndProof::NeverSent));
                false
            }
            RunPhase::Stopping { .. } => false,
            RunPhase::Sent | RunPhase::Running { .. } => {
                placement.phase = RunPhase::Stopping { confirmed_ms: None };
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

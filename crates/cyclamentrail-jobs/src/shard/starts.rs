//! Start commands, and the withdrawal of those whose worker leaves before they are sent.

use std::sync::Arc;

use super::restarts::CALLS_UNDER_WAY_MS;
use super::{Now, START_RETRY_MS, Shard};
use crate::StepSpec;
use crate::effect::{Effect, EndProof, StartCommand};
use crate::job::{PlacedRun, Placement, RunPhase, TaskKey};

impl Shard {
    /// Returns the start command of a run, or `None` when the run isn't to be started any more. Called
    /// when the command is about to be sent, because the run may have waited for its commit and for
    /// other starts since it was placed. The task may have been placed again since: that run waits
    /// for a commit of its own.
    pub fn start_command(&mut self, now: Now, run: PlacedRun) -> Option<StartCommand> {
        let key = run.task;
        let placement = self.placement_on(run.worker, key, run.run)?;
        let job = self.jobs.get(key.job)?;
        let is_open = matches!(placement.phase, RunPhase::Placed | RunPhase::Sent);
        if !is_open || placement.doubt.is_some() {
            return None;
        }
        if self.must_withdraw(key, placement) {
            self.withdraw(key);
            return None;
        }
        let worker_id = &self.workers.get(placement.worker)?.registration.id;
        if !self.lease_records.may_grant(worker_id) {
            self.hold_back(now, key, placement);
            return None;
        }
        let is_aborted = job.is_aborted();
        let ticket = self
            .grants
            .ticket(key.into(), placement.worker, now.boot_ms);
        // A run whose start command was sent before is sent again even without a ticket: the
        // worker's response shows whether it has the run.
        let lacks_ticket =
            ticket.is_none() && placement.phase == RunPhase::Placed && self.is_advised(key.job);
        let lease_ms = self.timing.lease_ms;
        let worker = self.workers.get_mut(placement.worker)?;
        let lease_end_ms = worker.extend_lease(now.boot_ms, lease_ms);
        let (Some(lease_end_ms), false) = (lease_end_ms, is_aborted || lacks_ticket) else {
            if placement.phase == RunPhase::Placed {
                self.release(key, Some(EndProof::NeverSent));
            }
            return None;
        };
        let target = self.target(placement.worker);
        let gang_checkpoint = self.gang_checkpoint(key);
        let job = self.jobs.get_mut(key.job)?;
        let job_id = job.id.clone();
        let text = Arc::clone(&job.spec.text);
        let task = job.task_mut(key)?;
        let checkpoint = gang_checkpoint.unwrap_or_else(|| Arc::clone(&task.checkpoint));
        if let Some(placement) = &mut task.placement {
            placement.phase = RunPhase::Sent;
            placement.start_under_way_until_ms = now.boot_ms + CALLS_UNDER_WAY_MS;
        }
        let until_ms = now.boot_ms + CALLS_UNDER_WAY_MS;
        task.note_start_sent(placement.run, until_ms, &target.id);
        Some(StartCommand {
            target,
            task: key,
            job: job_id,
            run: placement.run,
            text,
            lease_end_ms,
            checkpoint,
            ticket,
        })
    }

    /// Asks for the start command of a task's run, which is durable, to be sent.
    pub(super) fn send_start(&mut self, key: TaskKey) {
        let run = self.placement_of(key).map(|placement| PlacedRun {
            worker: placement.worker,
            task: key,
            run: placement.run,
        });
        self.ready_effects.extend(run.map(Effect::Start));
    }

    /// Returns the checkpoint from which all members of a task's gang start; `None` for a task of its own.
    fn gang_checkpoint(&mut self, key: TaskKey) -> Option<Arc<str>> {
        let is_gang = self.step_of(key)?.gang;
        let progress = self.step_progress_mut(key).filter(|_| is_gang)?;
        Some(Arc::clone(&progress.gang_checkpoint))
    }

    /// Returns whether a run may not be started on its worker any more, because the worker leaves or
    /// its capacity has shrunk. A command that was sent before is only given up on a worker that gave
    /// notice itself, or that has shrunk.
    fn must_withdraw(&self, key: TaskKey, placement: Placement) -> bool {
        let Some(worker) = self.workers.get(placement.worker) else {
            return false;
        };
        let demand = self.step_of(key).map(StepSpec::reserved_resources);
        worker.registration.is_draining
            || demand.is_some_and(|demand| worker.is_overloaded_by(&demand))
            || (placement.phase == RunPhase::Placed
                && (!worker.is_registered || worker.evacuating_since_ms.is_some()))
    }

    /// Sends no start command to a worker that gets no lease: gives up a run that was never sent, and
    /// sends any other later.
    fn hold_back(&mut self, now: Now, key: TaskKey, placement: Placement) {
        if placement.phase == RunPhase::Placed {
            self.release(key, Some(EndProof::NeverSent));
        } else {
            self.schedule_resend(now.boot_ms + START_RETRY_MS, key, placement.run);
        }
    }

    /// Gives up a run so that its task can be placed again, for a gang with all of its members. An
    /// earlier command may still take effect late, unless a stop reaches the worker first.
    fn withdraw(&mut self, key: TaskKey) {
        let is_gang = self.step_of(key).is_some_and(|step| step.gang);
        if !is_gang {
            self.stop(key);
            return;
        }
        let members = self.placed_tasks(key.job);
        let is_member = |task: &TaskKey| (task.occurrence, task.step) == (key.occurrence, key.step);
        for member in members.into_iter().filter(is_member) {
            self.stop(member);
        }
    }
}

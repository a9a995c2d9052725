//! Polls sent to workers, and the results of start and stop commands.

use super::restarts::{CALLS_UNDER_WAY_MS, LATE_CALL_MS};
use super::{Now, START_RETRY_MS, STOP_RETRY_MS, Shard};
use crate::RecentLoss;
use crate::effect::{CommandOutcome, CommandRejection, Decision, Effect, EndProof, WorkerPoll};
use crate::job::{Placement, RunPhase, TaskKey};
use crate::worker::{Reachability, Worker, WorkerKey};

/// Time for which no task is placed on a worker that reported itself unwell, in milliseconds; grows
/// with each failure.
const UNWELL_AVOID_MS: u64 = 1_000;
/// Longest time for which no task is placed on a failing worker, in milliseconds.
const MAX_AVOID_MS: u64 = 8_000;
/// Time between two polls of a worker that fails to respond, in milliseconds.
const LOST_POLL_INTERVAL_MS: u64 = 300;

impl Shard {
    /// Handles the result of a start command that was sent to `worker`; returns whether the worker has
    /// seen a higher fencing token.
    pub fn handle_start_result(
        &mut self,
        now: Now,
        worker: WorkerKey,
        key: TaskKey,
        run: u32,
        outcome: &CommandOutcome,
    ) -> bool {
        self.record_start_outcome(now, key, run, outcome);
        if matches!(
            outcome,
            CommandOutcome::Rejected(CommandRejection::StaleToken, _)
        ) {
            // A newer incarnation rejects the calls to an earlier one, too.
            return self.workers.contains_key(worker);
        }
        let Some(placement) = self.placement_on(worker, key, run) else {
            return false;
        };
        self.record_response(now, placement.worker, outcome);
        match outcome {
            CommandOutcome::Done(_) | CommandOutcome::Rejected(CommandRejection::StaleRun, _) => {
                self.confirm_start(now, key);
            }
            CommandOutcome::Rejected(CommandRejection::LeaseExpired, _) => {
                self.schedule_resend(now.boot_ms, key, run);
            }
            CommandOutcome::Rejected(CommandRejection::InvalidTicket, _) => {
                self.grants.drop_ticket(key.into(), placement.worker);
                self.release_rejected(now, key, placement);
            }
            CommandOutcome::Rejected(..) => self.handle_rejected_start(now, key, placement),
            CommandOutcome::Unhealthy => {
                self.avoid(now, placement.worker, UNWELL_AVOID_MS);
                self.handle_rejected_start(now, key, placement);
            }
            CommandOutcome::OtherIncarnation => {
                if !placement.may_start_late && !placement.has_begun {
                    self.release(key, Some(EndProof::Rejected));
                }
                self.handle_other_incarnation(now, placement.worker);
            }
            CommandOutcome::NotSent if !placement.may_start_late => {
                self.mark_unreachable(now, placement.worker);
                self.release(key, Some(EndProof::NeverSent));
            }
            CommandOutcome::Expired if !placement.may_start_late => {
                self.release(key, Some(EndProof::NeverSent));
            }
            CommandOutcome::NoResponse
            | CommandOutcome::NotSent
            | CommandOutcome::Expired
            | CommandOutcome::RelayLost => {
                self.mark_may_start_late(now, key);
                self.schedule_resend(now.boot_ms + START_RETRY_MS, key, run);
            }
        }
        false
    }

    /// Handles the result of a stop command that was sent to `worker`; returns whether the worker has
    /// seen a higher fencing token.
    pub fn handle_stop_result(
        &mut self,
        now: Now,
        worker: WorkerKey,
        key: TaskKey,
        run: u32,
        outcome: &CommandOutcome,
    ) -> bool {
        if matches!(
            outcome,
            CommandOutcome::Rejected(CommandRejection::StaleToken, _)
        ) {
            // A newer incarnation rejects the calls to an earlier one, too.
            return self.workers.contains_key(worker);
        }
        let Some(placement) = self.placement_on(worker, key, run) else {
            return false;
        };
        self.record_response(now, placement.worker, outcome);
        match outcome {
            CommandOutcome::Done(_) | CommandOutcome::Rejected(..) => {
                let confirmed = RunPhase::Stopping {
                    confirmed_ms: Some(now.boot_ms),
                };
                self.set_phase(key, confirmed);
            }
            CommandOutcome::OtherIncarnation => {
                self.handle_other_incarnation(now, placement.worker);
            }
            CommandOutcome::Unhealthy
            | CommandOutcome::NoResponse
            | CommandOutcome::NotSent
            | CommandOutcome::Expired
            | CommandOutcome::RelayLost => {
                self.schedule_resend(now.boot_ms + STOP_RETRY_MS, key, run);
            }
        }
        false
    }

    /// Polls the workers that are due: those with tasks or unassigned runs, with ends that aren't
    /// acknowledged, and listed ones that haven't reported to this owner yet or don't respond.
    pub(super) fn poll_workers(&mut self, now: Now) {
        let due: Vec<WorkerKey> = self
            .workers
            .iter()
            .filter(|(key, worker)| {
                let needs_poll = !worker.tasks.is_empty()
                    || !worker.unassigned_runs.is_empty()
                    || self.open_starts.is_watched(*key)
                    || worker.durable_sequence > worker.acknowledged_sequence
                    || (worker.is_registered && !worker.is_in_contact());
                needs_poll && !worker.is_polling && worker.next_poll_ms <= now.boot_ms
            })
            .map(|(key, _)| key)
            .collect();
        for key in due {
            let target = self.target(key);
            let lease_ms = self.timing.lease_ms;
            let wait_ms = if self.is_shared(key) {
                self.timing.shared_poll_wait_ms
            } else {
                self.timing.poll_wait_ms
            };
            let has_unproven = self.has_unconfirmed_suspect(key);
            let worker = &mut self.workers[key];
            let has_tasks = !worker.tasks.is_empty();
            let is_reachable = worker.reachability == Reachability::Reachable;
            let may_grant = self.lease_records.may_grant(&worker.registration.id);
            // The lease of a worker that fails to respond isn't extended: its tasks can only be
            // placed elsewhere once the lease has ended.
            let lease_end_ms = if has_tasks && is_reachable && may_grant {
                worker.extend_lease(now.boot_ms, lease_ms)
            } else {
                None
            };
            let may_wait = has_tasks
                && is_reachable
                && worker.knows_token
                && may_grant
                && !has_unproven
                && !worker.has_more_ends;
            worker.is_polling = true;
            worker.poll_sent_ms = now.boot_ms;
            worker.first_poll_ms.get_or_insert(now.boot_ms);
            self.ready_effects.push(Effect::Poll(WorkerPoll {
                target,
                lease_end_ms,
                durable_sequence: worker.sequence_to_acknowledge(now.boot_ms),
                wait_ms: if may_wait { wait_ms } else { 0 },
            }));
        }
    }

    /// Records that a worker failed to respond to a poll.
    pub(super) fn record_failed_poll(&mut self, now: Now, key: WorkerKey) {
        self.mark_unreachable(now, key);
        if let Some(worker) = self.workers.get_mut(key) {
            worker.next_poll_ms = now.boot_ms + LOST_POLL_INTERVAL_MS;
        }
        self.remove_if_unused(key);
    }

    /// Counts a failure of a worker and places no task on it for a while: `base_ms` doubled by each
    /// of up to three earlier failures, at most [`MAX_AVOID_MS`].
    pub(super) fn avoid(&mut self, now: Now, key: WorkerKey, base_ms: u64) {
        let Some(worker) = self.workers.get_mut(key) else {
            return;
        };
        worker.failure_score += 1;
        let doublings = worker.failure_score.min(4) - 1;
        let for_ms = (base_ms << doublings).min(MAX_AVOID_MS);
        worker.avoid_until_ms = now.boot_ms + for_ms;
        self.ready_effects
            .push(Effect::Log(Decision::WorkerAvoided {
                worker: worker.registration.id.clone(),
                for_ms,
            }));
    }

    /// Frees the runs of unreachable workers whose leases have ended for certain.
    pub(super) fn release_expired(&mut self, now: Now) {
        let is_silent = |worker: &Worker| {
            worker.reachability != Reachability::Reachable && worker.lease.is_expired(now.boot_ms)
        };
        let silent: Vec<WorkerKey> = self
            .workers
            .iter()
            .filter(|(_, worker)| is_silent(worker))
            .map(|(key, _)| key)
            .collect();
        for key in silent {
            self.release_expired_runs(now, key);
        }
    }

    /// Frees the runs of an unreachable worker whose lease has ended for certain.
    fn release_expired_runs(&mut self, now: Now, key: WorkerKey) {
        let worker = &self.workers[key];
        let has_ended = |task: &TaskKey| now.boot_ms > self.run_expiry_ms(now, worker, *task);
        let tasks: Vec<TaskKey> = worker.tasks.iter().copied().filter(has_ended).collect();
        if tasks.is_empty() {
            return;
        }
        let lease_over = Decision::LeaseOver {
            worker: worker.registration.id.clone(),
            runs: tasks.len(),
            bound: worker.lease.bound(),
        };
        self.remember_lost(now, key, &tasks);
        self.gated_effects.push(Effect::Log(lease_over));
        for task in tasks {
            self.release(task, Some(EndProof::LeaseExpired));
        }
    }

    /// Returns the latest time on the owner's boot clock, in milliseconds, at which the lease of a run
    /// on a worker ends.
    ///
    /// A start may be carried out by an incarnation that nobody has seen yet, by whose clock the lease is
    /// the longest of all. That isn't so where the known incarnation has listed the run, or has itself
    /// written to the registry after the lease. One that has ended is dropped there, and another one
    /// would be listed.
    fn run_expiry_ms(&self, now: Now, worker: &Worker, task: TaskKey) -> u64 {
        let expiry_ms = worker.lease.expiry_ms();
        let Some(placement) = self.placement_of(task) else {
            return expiry_ms;
        };
        let has_sent = placement.start_under_way_until_ms > 0;
        let may_be_elsewhere = has_sent
            && !placement.is_settled(now.boot_ms)
            && worker.is_registered
            && !worker.lease.is_outlived();
        if !may_be_elsewhere {
            return expiry_ms;
        }
        let last_arrival_ms = worker.lease.last_grant_ms() + CALLS_UNDER_WAY_MS;
        let last_arrival_ms = last_arrival_ms.max(placement.late_until_ms);
        expiry_ms.max(last_arrival_ms + self.timing.longest_possible_lease_ms())
    }

    /// Returns the latest time on the owner's boot clock, in milliseconds, at which the lease of any run
    /// on a worker ends.
    pub(super) fn longest_expiry_ms(&self, now: Now, worker: &Worker) -> u64 {
        let runs = worker.tasks.iter();
        let expiries_ms = runs.map(|&task| self.run_expiry_ms(now, worker, task));
        expiries_ms.max().unwrap_or(worker.lease.expiry_ms())
    }

    /// Records that a worker has a run.
    fn confirm_start(&mut self, now: Now, key: TaskKey) {
        let running = RunPhase::Running {
            since_ms: now.boot_ms,
        };
        if let Some(placement) = self.placement_of_mut(key)
            && matches!(placement.phase, RunPhase::Sent)
        {
            placement.phase = running;
            placement.has_begun = true;
            placement.progress_changed_ms = now.boot_ms;
        }
        self.mark_started(key);
    }

    /// Records that a worker has started a task of a job.
    pub(super) fn mark_started(&mut self, key: TaskKey) {
        if let Some(job) = self.jobs.get_mut(key.job)
            && !job.has_started
        {
            job.has_started = true;
            self.dirty.insert(key.job);
        }
    }

    /// Handles a rejected start: frees the run and places no task on its worker for a moment.
    fn handle_rejected_start(&mut self, now: Now, key: TaskKey, placement: Placement) {
        if self.release_rejected(now, key, placement) {
            self.avoid(now, placement.worker, UNWELL_AVOID_MS / 4);
        }
    }

    /// Frees a run that its worker rejected and returns `true`, unless an earlier start command may
    /// still take effect.
    fn release_rejected(&mut self, now: Now, key: TaskKey, placement: Placement) -> bool {
        if placement.may_start_late {
            self.schedule_resend(now.boot_ms + START_RETRY_MS, key, placement.run);
            return false;
        }
        if placement.phase == RunPhase::Sent {
            self.release(key, Some(EndProof::Rejected));
            return true;
        }
        false
    }

    /// Records that a start command without a response may still take effect.
    fn mark_may_start_late(&mut self, now: Now, key: TaskKey) {
        if let Some(placement) = self.placement_of_mut(key) {
            placement.may_start_late = true;
            placement.late_until_ms = now.boot_ms + LATE_CALL_MS;
        }
    }

    fn set_phase(&mut self, key: TaskKey, phase: RunPhase) {
        if let Some(placement) = self.placement_of_mut(key) {
            placement.phase = phase;
        }
    }

    /// Returns the placement of a run, if that run is the present one of its task and is assigned to
    /// the incarnation of a worker that a command was sent to.
    pub(super) fn placement_on(
        &self,
        worker: WorkerKey,
        key: TaskKey,
        run: u32,
    ) -> Option<Placement> {
        self.placement_of(key)
            .filter(|placement| placement.run == run && placement.worker == worker)
    }

    /// Records a worker's clock from a response, or that the worker failed to respond.
    fn record_response(&mut self, now: Now, key: WorkerKey, outcome: &CommandOutcome) {
        let clock_ms = match outcome {
            CommandOutcome::Done(clock) | CommandOutcome::Rejected(_, clock) => *clock,
            CommandOutcome::NoResponse => {
                self.mark_unreachable(now, key);
                return;
            }
            _ => return,
        };
        if let (Some(worker), Some(clock_ms)) = (self.workers.get_mut(key), clock_ms) {
            worker.heard_ms = now.boot_ms;
            worker.lease.record_clock(clock_ms, now.boot_ms);
        }
    }

    /// Marks a worker as unreachable.
    fn mark_unreachable(&mut self, now: Now, key: WorkerKey) {
        let Some(worker) = self.workers.get_mut(key) else {
            return;
        };
        if worker.reachability == Reachability::Reachable {
            self.recent_loss = Some(RecentLoss { noticed: now });
            worker.reachability = Reachability::Unreachable {
                since_ms: now.boot_ms,
            };
            self.ready_effects
                .push(Effect::Log(Decision::ContactChanged {
                    worker: worker.registration.id.clone(),
                    is_responding: false,
                }));
        }
    }
}

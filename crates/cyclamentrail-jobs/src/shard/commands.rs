//! Start commands, stop commands and polls sent to workers, and their results.

use std::sync::Arc;

use super::{Now, START_RETRY_MS, STOP_RETRY_MS, Shard};
use crate::effect::{Effect, GoneProof, Look, Note, OrderOutcome, OrderRejection, StartOrder};
use crate::job::{Phase, Placement, TaskKey};
use crate::worker::{Contact, WorkerKey};

/// Time for which no task is placed on a worker that reported itself unwell, in milliseconds; grows
/// with each failure.
const UNWELL_AVOID_MS: u64 = 1_000;
/// Longest time for which no task is placed on a failing worker, in milliseconds.
const MAX_AVOID_MS: u64 = 8_000;
/// Time between two polls of a worker that fails to respond, in milliseconds.
const LOST_POLL_INTERVAL_MS: u64 = 300;

impl Shard {
    /// Returns the start command of a task, or `None` when the task's run isn't to be started any
    /// more.
    pub fn start_order(&mut self, now: Now, key: TaskKey) -> Option<StartOrder> {
        let job = self.jobs.get(key.job)?;
        let placement = job.task(key)?.placement?;
        if !matches!(placement.phase, Phase::Placed | Phase::Sent) {
            return None;
        }
        let is_over = job.is_aborted();
        let grant = self
            .grants
            .ticket(key.into(), placement.worker, now.boot_ms);
        // A run whose start command was sent before is sent again even without a grant: the
        // worker's response shows whether it has the run.
        let lacks_grant =
            grant.is_none() && placement.phase == Phase::Placed && self.is_advised(key.job);
        let lease_ms = self.timing.lease_ms;
        let worker = self.workers.get_mut(placement.worker)?;
        let until_ms = worker.lease.extend(now.boot_ms, lease_ms);
        let (Some(until_ms), false) = (until_ms, is_over || lacks_grant) else {
            if placement.phase == Phase::Placed {
                self.release(key, Some(GoneProof::NeverSent));
            }
            return None;
        };
        let target = self.target(placement.worker);
        let job = self.jobs.get_mut(key.job)?;
        let job_id = job.id.clone();
        let text = Arc::clone(&job.spec.text);
        let task = job.task_mut(key)?;
        let checkpoint = Arc::clone(&task.checkpoint);
        if let Some(placement) = &mut task.placement {
            placement.phase = Phase::Sent;
        }
        Some(StartOrder {
            target,
            task: key,
            job: job_id,
            run: placement.run,
            text,
            lease_end_ms: until_ms,
            checkpoint,
            ticket: grant,
        })
    }

    /// Handles the result of a start command; returns whether the worker has seen a higher fencing
    /// token.
    pub fn start_done(&mut self, now: Now, key: TaskKey, run: u32, outcome: &OrderOutcome) -> bool {
        let Some(placement) = self.placement(key, run) else {
            return false;
        };
        self.record_response(now, placement.worker, outcome);
        match outcome {
            OrderOutcome::Done(_) | OrderOutcome::Rejected(OrderRejection::StaleRun, _) => {
                self.confirm_start(now, key);
            }
            OrderOutcome::Rejected(OrderRejection::StaleToken, _) => return true,
            OrderOutcome::Rejected(OrderRejection::LeaseExpired, _) => {
                self.schedule_resend(now.boot_ms, key, run);
            }
            OrderOutcome::Rejected(OrderRejection::InvalidTicket, _) => {
                self.grants.drop_ticket(key.into(), placement.worker);
                self.release_rejected(now, key, placement);
            }
            OrderOutcome::Rejected(..) => self.handle_rejected_start(now, key, placement),
            OrderOutcome::Unhealthy => {
                self.avoid(now, placement.worker, UNWELL_AVOID_MS);
                self.handle_rejected_start(now, key, placement);
            }
            OrderOutcome::OtherIncarnation => self.handle_other_incarnation(placement.worker),
            OrderOutcome::NotSent if !placement.may_start_late => {
                self.record_lost_contact(now, placement.worker);
                self.release(key, Some(GoneProof::NeverSent));
            }
            OrderOutcome::NoResponse | OrderOutcome::NotSent => {
                self.mark_ambiguous(key);
                self.schedule_resend(now.boot_ms + START_RETRY_MS, key, run);
            }
        }
        false
    }

    /// Handles the result of a stop command; returns whether the worker has seen a higher fencing
    /// token.
    pub fn stop_done(&mut self, now: Now, key: TaskKey, run: u32, outcome: &OrderOutcome) -> bool {
        let Some(placement) = self.placement(key, run) else {
            return false;
        };
        self.record_response(now, placement.worker, outcome);
        match outcome {
            OrderOutcome::Rejected(OrderRejection::StaleToken, _) => return true,
            OrderOutcome::Done(_) | OrderOutcome::Rejected(..) => {
                let confirmed = Phase::Stopping {
                    confirmed_ms: Some(now.boot_ms),
                };
                self.set_phase(key, confirmed);
            }
            OrderOutcome::OtherIncarnation => self.handle_other_incarnation(placement.worker),
            OrderOutcome::Unhealthy | OrderOutcome::NoResponse | OrderOutcome::NotSent => {
                self.schedule_resend(now.boot_ms + STOP_RETRY_MS, key, run);
            }
        }
        false
    }

    /// Polls the workers that are due: those with tasks, with ends that aren't acknowledged, and
    /// listed ones that haven't reported to this owner yet.
    pub(super) fn poll_workers(&mut self, now: Now) {
        let due: Vec<WorkerKey> = self
            .workers
            .iter()
            .filter(|(_, worker)| {
                let needs_poll = !worker.tasks.is_empty()
                    || worker.durable_sequence > worker.acknowledged_sequence
                    || (worker.is_registered && !worker.knows_token);
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
            let worker = &mut self.workers[key];
            let has_tasks = !worker.tasks.is_empty();
            let is_reachable = worker.reachability == Contact::Reachable;
            // The lease of a worker that fails to respond isn't extended: its tasks can only be
            // placed elsewhere once the lease has ended.
            let until_ms = if has_tasks && is_reachable {
                worker.lease.extend(now.boot_ms, lease_ms)
            } else {
                None
            };
            let may_wait = has_tasks && is_reachable && worker.knows_token;
            worker.is_polling = true;
            worker.poll_sent_ms = now.boot_ms;
            self.ready_effects.push(Effect::Poll(Look {
                target,
                lease_end_ms: until_ms,
                durable_sequence: worker.durable_sequence,
                wait_ms: if may_wait { wait_ms } else { 0 },
            }));
        }
    }

    /// Records that a worker failed to respond to a poll.
    pub(super) fn record_failed_poll(&mut self, now: Now, key: WorkerKey) {
        self.record_lost_contact(now, key);
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
        self.ready_effects.push(Effect::Log(Note::WorkerAvoided {
            worker: worker.registration.id.clone(),
            for_ms,
        }));
    }

    /// Frees the runs of workers without contact whose leases have ended for certain.
    pub(super) fn release_expired(&mut self, now: Now) {
        let expired: Vec<TaskKey> = self
            .workers
            .values()
            .filter(|worker| {
                worker.reachability != Contact::Reachable && worker.lease.is_expired(now.boot_ms)
            })
            .flat_map(|worker| worker.tasks.iter().copied())
            .collect();
        for key in expired {
            self.release(key, Some(GoneProof::LeaseExpired));
        }
    }

    /// Records that a worker has a run.
    fn confirm_start(&mut self, now: Now, key: TaskKey) {
        let running = Phase::Running {
            since_ms: now.boot_ms,
        };
        if let Some(placement) = self.placement_mut(key)
            && matches!(placement.phase, Phase::Sent)
        {
            placement.phase = running;
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
        if placement.phase == Phase::Sent {
            self.release(key, Some(GoneProof::Rejected));
            return true;
        }
        false
    }

    /// Records that a start command without a response may still take effect.
    fn mark_ambiguous(&mut self, key: TaskKey) {
        if let Some(placement) = self.placement_mut(key) {
            placement.may_start_late = true;
        }
    }

    fn set_phase(&mut self, key: TaskKey, phase: Phase) {
        if let Some(placement) = self.placement_mut(key) {
            placement.phase = phase;
        }
    }

    fn placement_mut(&mut self, key: TaskKey) -> Option<&mut Placement> {
        let task = self.jobs.get_mut(key.job)?.task_mut(key)?;
        task.placement.as_mut()
    }

    /// Returns the placement of a run, if that run is the present one of its task.
    fn placement(&self, key: TaskKey, run: u32) -> Option<Placement> {
        self.jobs
            .get(key.job)?
            .task(key)?
            .placement
            .filter(|placement| placement.run == run)
    }

    /// Records a worker's clock from a response, or that the worker failed to respond.
    fn record_response(&mut self, now: Now, key: WorkerKey, outcome: &OrderOutcome) {
        let clock_ms = match outcome {
            OrderOutcome::Done(clock) | OrderOutcome::Rejected(_, clock) => *clock,
            OrderOutcome::NoResponse => {
                self.record_lost_contact(now, key);
                return;
            }
            _ => return,
        };
        if let (Some(worker), Some(clock_ms)) = (self.workers.get_mut(key), clock_ms) {
            worker.lease.record_clock(clock_ms, now.boot_ms);
        }
    }

    /// Marks a worker as out of contact.
    fn record_lost_contact(&mut self, now: Now, key: WorkerKey) {
        let Some(worker) = self.workers.get_mut(key) else {
            return;
        };
        if worker.reachability == Contact::Reachable {
            worker.reachability = Contact::Unreachable {
                since_ms: now.boot_ms,
            };
            self.ready_effects.push(Effect::Log(Note::ContactChanged {
                worker: worker.registration.id.clone(),
                is_responding: false,
            }));
        }
    }
}

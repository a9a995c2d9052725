//! Orders to workers and what became of them.

use std::sync::Arc;

use super::{Now, START_AGAIN_MS, STOP_AGAIN_MS, Shard};
use crate::effect::{Effect, GoneProof, Look, Note, OrderOutcome, OrderRejection, StartOrder};
use crate::job::{Phase, Placement, TaskKey};
use crate::worker::{Contact, WorkerKey};

/// Time for which a worker that did nothing with an order gets no more, in milliseconds.
const UNWELL_MS: u64 = 1_000;
/// Longest time for which a failing worker gets nothing, in milliseconds.
const MAX_AVOID_MS: u64 = 8_000;
/// Time between two looks at a worker that doesn't answer, in milliseconds.
const LOST_LOOK_MS: u64 = 300;

impl Shard {
    /// Returns the order to start a task, or `None` when it isn't to be started any more.
    pub fn start_order(&mut self, now: Now, key: TaskKey) -> Option<StartOrder> {
        let job = self.jobs.get(key.job)?;
        let placement = job.task(key)?.placement?;
        if !matches!(placement.phase, Phase::Placed | Phase::Sent) {
            return None;
        }
        let is_over = job.is_over();
        let grant = self
            .grants
            .ticket(key.into(), placement.worker, now.boot_ms);
        // A run that may be there already is ordered again in any case: the answer tells.
        let is_refused =
            grant.is_none() && placement.phase == Phase::Placed && self.is_advised(key.job);
        let lease_ms = self.timing.lease_ms;
        let worker = self.workers.get_mut(placement.worker)?;
        let until_ms = worker.lease.extend(now.boot_ms, lease_ms);
        let (Some(until_ms), false) = (until_ms, is_over || is_refused) else {
            if placement.phase == Phase::Placed {
                self.release(key, Some(GoneProof::NeverSent));
            }
            return None;
        };
        let target = self.target(placement.worker);
        let job = self.jobs.get_mut(key.job)?;
        let id = job.id.clone();
        let text = Arc::clone(&job.spec.text);
        let task = job.task_mut(key)?;
        let checkpoint = Arc::clone(&task.checkpoint);
        if let Some(placement) = &mut task.placement {
            placement.phase = Phase::Sent;
        }
        Some(StartOrder {
            target,
            task: key,
            job: id,
            run: placement.run,
            text,
            until_ms,
            checkpoint,
            grant,
        })
    }

    /// Takes note of what became of an order to start a run; returns whether the worker has
    /// seen a higher fencing token.
    pub fn start_done(&mut self, now: Now, key: TaskKey, run: u32, outcome: &OrderOutcome) -> bool {
        let Some(placement) = self.placement(key, run) else {
            return false;
        };
        self.note_answer(now, placement.worker, outcome);
        match outcome {
            OrderOutcome::Done(_) | OrderOutcome::Rejected(OrderRejection::Old, _) => {
                self.confirm_start(now, key);
            }
            OrderOutcome::Rejected(OrderRejection::Fence, _) => return true,
            OrderOutcome::Rejected(OrderRejection::Late, _) => {
                self.resend_later(now.boot_ms, key, run);
            }
            OrderOutcome::Rejected(OrderRejection::Grant, _) => {
                self.grants.reject(key.into(), placement.worker);
                self.free_rejected(now, key, placement);
            }
            OrderOutcome::Rejected(..) => self.reject(now, key, placement),
            OrderOutcome::Unwell => {
                self.avoid(now, placement.worker, UNWELL_MS);
                self.reject(now, key, placement);
            }
            OrderOutcome::OtherLife => self.other_life(placement.worker),
            OrderOutcome::NotSent if !placement.is_ambiguous => {
                self.lose_contact(now, placement.worker);
                self.release(key, Some(GoneProof::NeverSent));
            }
            OrderOutcome::NoAnswer | OrderOutcome::NotSent => {
                self.mark_ambiguous(key);
                self.resend_later(now.boot_ms + START_AGAIN_MS, key, run);
            }
        }
        false
    }

    /// Takes note of what became of an order to stop a run; returns whether the worker has seen
    /// a higher fencing token.
    pub fn stop_done(&mut self, now: Now, key: TaskKey, run: u32, outcome: &OrderOutcome) -> bool {
        let Some(placement) = self.placement(key, run) else {
            return false;
        };
        self.note_answer(now, placement.worker, outcome);
        match outcome {
            OrderOutcome::Rejected(OrderRejection::Fence, _) => return true,
            OrderOutcome::Done(_) | OrderOutcome::Rejected(..) => {
                let confirmed = Phase::Stopping {
                    confirmed_ms: Some(now.boot_ms),
                };
                self.set_phase(key, confirmed);
            }
            OrderOutcome::OtherLife => self.other_life(placement.worker),
            OrderOutcome::Unwell | OrderOutcome::NoAnswer | OrderOutcome::NotSent => {
                self.resend_later(now.boot_ms + STOP_AGAIN_MS, key, run);
            }
        }
        false
    }

    /// Looks at the workers where something runs or whose ends aren't acknowledged.
    pub(super) fn look_at_workers(&mut self, now: Now) {
        let due: Vec<WorkerKey> = self
            .workers
            .iter()
            .filter(|(_, worker)| {
                let is_wanted = !worker.tasks.is_empty()
                    || worker.durable_seen > worker.acknowledged_seen
                    || (worker.is_listed && !worker.is_adopted);
                is_wanted && !worker.is_looking && worker.look_ms <= now.boot_ms
            })
            .map(|(key, _)| key)
            .collect();
        for key in due {
            let target = self.target(key);
            let lease_ms = self.timing.lease_ms;
            let look_wait_ms = if self.is_shared(key) {
                self.timing.shared_wait_ms
            } else {
                self.timing.look_wait_ms
            };
            let worker = &mut self.workers[key];
            let has_tasks = !worker.tasks.is_empty();
            let answers = worker.contact == Contact::Good;
            // A worker that doesn't answer keeps the lease that it has: its tasks can only be
            // placed elsewhere once that has ended.
            let until_ms = if has_tasks && answers {
                worker.lease.extend(now.boot_ms, lease_ms)
            } else {
                None
            };
            let may_wait = has_tasks && answers && worker.is_adopted;
            worker.is_looking = true;
            worker.look_sent_ms = now.boot_ms;
            self.ready.push(Effect::Look(Look {
                target,
                until_ms,
                seen: worker.durable_seen,
                wait_ms: if may_wait { look_wait_ms } else { 0 },
            }));
        }
    }

    /// Takes note that a worker didn't answer a look.
    pub(super) fn look_failed(&mut self, now: Now, key: WorkerKey) {
        self.lose_contact(now, key);
        if let Some(worker) = self.workers.get_mut(key) {
            worker.look_ms = now.boot_ms + LOST_LOOK_MS;
        }
        self.forget_if_idle(key);
    }

    /// Places nothing on a worker for a while, longer with each failure in a row.
    pub(super) fn avoid(&mut self, now: Now, key: WorkerKey, base_ms: u64) {
        let Some(worker) = self.workers.get_mut(key) else {
            return;
        };
        worker.strikes += 1;
        let doublings = worker.strikes.min(4) - 1;
        let for_ms = (base_ms << doublings).min(MAX_AVOID_MS);
        worker.avoid_until_ms = now.boot_ms + for_ms;
        self.ready.push(Effect::Note(Note::Avoided {
            worker: worker.registration.id.clone(),
            for_ms,
        }));
    }

    /// Releases what was on workers whose leases have surely ended.
    pub(super) fn release_lapsed(&mut self, now: Now) {
        let lapsed: Vec<TaskKey> = self
            .workers
            .values()
            .filter(|worker| worker.contact != Contact::Good && worker.lease.is_over(now.boot_ms))
            .flat_map(|worker| worker.tasks.iter().copied())
            .collect();
        for key in lapsed {
            self.release(key, Some(GoneProof::LeaseOver));
        }
    }

    fn confirm_start(&mut self, now: Now, key: TaskKey) {
        let running = Phase::Running {
            since_ms: now.boot_ms,
        };
        if let Some(placement) = self.placement_mut(key)
            && matches!(placement.phase, Phase::Sent)
        {
            placement.phase = running;
            placement.progress_ms = now.boot_ms;
        }
        self.note_begun(key);
    }

    /// Takes note that a worker has begun a task of a job.
    pub(super) fn note_begun(&mut self, key: TaskKey) {
        if let Some(job) = self.jobs.get_mut(key.job)
            && !job.has_started
        {
            job.has_started = true;
            self.dirty.insert(key.job);
        }
    }

    /// Frees a run that its worker rejected, and places nothing there for a moment.
    fn reject(&mut self, now: Now, key: TaskKey, placement: Placement) {
        if self.free_rejected(now, key, placement) {
            self.avoid(now, placement.worker, UNWELL_MS / 4);
        }
    }

    /// Frees a run that its worker rejected, unless an earlier order may still be carried out;
    /// returns whether it is free.
    fn free_rejected(&mut self, now: Now, key: TaskKey, placement: Placement) -> bool {
        if placement.is_ambiguous {
            self.resend_later(now.boot_ms + START_AGAIN_MS, key, placement.run);
            return false;
        }
        if placement.phase == Phase::Sent {
            self.release(key, Some(GoneProof::Rejected));
            return true;
        }
        false
    }

    /// Takes note that an order to start a run may be carried out later.
    fn mark_ambiguous(&mut self, key: TaskKey) {
        if let Some(placement) = self.placement_mut(key) {
            placement.is_ambiguous = true;
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

    fn placement(&self, key: TaskKey, run: u32) -> Option<Placement> {
        self.jobs
            .get(key.job)?
            .task(key)?
            .placement
            .filter(|placement| placement.run == run)
    }

    fn note_answer(&mut self, now: Now, key: WorkerKey, outcome: &OrderOutcome) {
        let clock_ms = match outcome {
            OrderOutcome::Done(clock) | OrderOutcome::Rejected(_, clock) => *clock,
            OrderOutcome::NoAnswer => {
                self.lose_contact(now, key);
                return;
            }
            _ => return,
        };
        if let (Some(worker), Some(clock_ms)) = (self.workers.get_mut(key), clock_ms) {
            worker.lease.read_clock(clock_ms, now.boot_ms);
        }
    }

    fn lose_contact(&mut self, now: Now, key: WorkerKey) {
        let Some(worker) = self.workers.get_mut(key) else {
            return;
        };
        if worker.contact == Contact::Good {
            worker.contact = Contact::Lost {
                since_ms: now.boot_ms,
            };
            self.ready.push(Effect::Note(Note::Contact {
                worker: worker.registration.id.clone(),
                answers: false,
            }));
        }
    }
}

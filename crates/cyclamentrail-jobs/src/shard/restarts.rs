//! Workers that restart under their ids.
//!
//! A call names its worker by the id, which a new incarnation shares with the earlier one. A call that
//! was sent to the earlier incarnation may therefore be carried out by the new one, however much later,
//! and its response doesn't tell which of them did. It names a lease end on the earlier one's clock.
//!
//! Each incarnation has a fencing token of its own, above those of the earlier ones. Once it has
//! responded to a call with that token, it rejects what was sent to them. Until then, no task is placed
//! on it. Only a run that the earlier incarnation listed in a report, and whose start can't be carried
//! out again, has surely ended with it. Every other run is in doubt: it is assigned to the new
//! incarnation until that one knows its token and its report tells whether the run is there.

use super::reports::ListedRuns;
use super::{Now, Shard};
use crate::effect::{Decision, Effect, EndProof, WorkerReport};
use crate::job::{RestartDoubt, RunPhase, StopOrder, TaskKey};
use crate::worker::{Worker, WorkerKey, WorkerRegistration};

/// Time in milliseconds within which a call has a result, longer than its time limit.
pub(super) const CALLS_UNDER_WAY_MS: u64 = 1_000;

/// Time in milliseconds after a call without a response within which it is expected to be carried out.
/// Calls to an earlier incarnation are rejected sooner, once the present one knows its token.
pub(super) const LATE_CALL_MS: u64 = 12_000;

impl Shard {
    /// Replaces the incarnation of a worker; returns the key of the new one.
    pub(super) fn replace_incarnation(
        &mut self,
        now: Now,
        key: WorkerKey,
        registration: WorkerRegistration,
    ) -> WorkerKey {
        let earlier = &self.workers[key];
        let earlier_started_ms = earlier.registration.started_ms;
        let runs: Vec<TaskKey> = earlier.tasks.iter().copied().collect();
        let doubtful: Vec<TaskKey> = runs
            .iter()
            .copied()
            .filter(|&task| self.may_have_moved(now, task))
            .collect();
        let (given_up, unsettled) = self.record_restart(now, key, &doubtful);
        let new_key = self.insert_worker(now, registration);
        let expiry_ms = self.crossed_expiry_ms(self.last_call_ms(now));
        self.workers[new_key].lease.set_crossed_expiry(expiry_ms);
        for &task in &doubtful {
            self.assign_in_doubt(now, key, new_key, task);
        }
        self.release_worker_runs(key, EndProof::WorkerRestarted);
        let worker = &self.workers[new_key];
        let registration = &worker.registration;
        self.ready_effects
            .push(Effect::Log(Decision::WorkerRestarted {
                worker: registration.id.clone(),
                earlier_started_ms,
                started_ms: registration.started_ms,
                runs: runs.len(),
                runs_in_doubt: doubtful.len(),
                token: worker.token,
            }));
        let registration = registration.clone();
        // A new key keeps late results of the earlier incarnation's calls from being taken for the
        // new one's.
        self.workers.remove(key);
        self.worker_keys.insert(registration.id.clone(), new_key);
        self.keep_unsettled(new_key, unsettled);
        self.give_up(given_up);
        self.explain_lost(now, &registration);
        new_key
    }

    /// Handles a report by a newer incarnation than the known one, which the registry doesn't list
    /// yet: no task is placed on it before.
    pub(super) fn handle_newer_report(
        &mut self,
        now: Now,
        key: WorkerKey,
        started_ms: u64,
        report: WorkerReport,
    ) {
        let earlier = &self.workers[key].registration;
        let registration = WorkerRegistration {
            started_ms,
            clock_ms: report.clock_ms,
            ..earlier.clone()
        };
        self.ended_incarnations
            .insert(earlier.id.clone(), earlier.started_ms);
        let key = self.replace_incarnation(now, key, registration);
        self.workers[key].is_registered = false;
        // The poll acknowledged ends by the counts of the earlier incarnation.
        self.handle_report(now, key, 0, report);
        if let Some(worker) = self.workers.get_mut(key) {
            worker.next_poll_ms = now.boot_ms;
        }
    }

    /// Adds a worker whose calls get a fencing token of their own.
    pub(super) fn insert_worker(
        &mut self,
        now: Now,
        registration: WorkerRegistration,
    ) -> WorkerKey {
        self.open_starts.note_listed(&registration.id);
        self.newest_token = self.newest_token.next();
        let worker = Worker::new(registration, self.newest_token, now.boot_ms);
        self.workers.insert(worker)
    }

    /// Returns the latest time at which a call to an incarnation that was known until now is sent, on the
    /// owner's boot clock in milliseconds: an owner before this one may not know that it was replaced.
    fn last_call_ms(&self, now: Now) -> u64 {
        now.boot_ms.max(self.earlier_act_until_ms)
    }

    /// Returns when the lease of an incarnation that hasn't responded has ended, on the owner's boot
    /// clock in milliseconds, if calls to earlier ones were sent until `last_call_ms`.
    pub(super) const fn crossed_expiry_ms(&self, last_call_ms: u64) -> u64 {
        last_call_ms + LATE_CALL_MS + self.timing.longest_possible_lease_ms()
    }

    /// Assigns a run to a new incarnation of its worker, where it may be or not.
    pub(super) fn assign_in_doubt(
        &mut self,
        now: Now,
        earlier: WorkerKey,
        worker: WorkerKey,
        task: TaskKey,
    ) {
        let earlier_started_ms = self.workers[earlier].registration.started_ms;
        let last_call_ms = self.last_call_ms(now);
        let Some(demand) = self.step_of(task).map(crate::StepSpec::reserved_resources) else {
            return;
        };
        let job = self.jobs.get_mut(task.job);
        let Some(placement) = job
            .and_then(|job| job.task_mut(task))
            .and_then(|task| task.placement.as_mut())
        else {
            return;
        };
        placement.worker = worker;
        placement.phase = match placement.phase {
            RunPhase::Stopping { .. } => RunPhase::Stopping { confirmed_ms: None },
            _ => RunPhase::Sent,
        };
        if placement.stop_order == StopOrder::Pending {
            placement.stop_order = StopOrder::None;
        }
        placement.is_listed = false;
        placement.may_start_late = true;
        placement.late_until_ms = last_call_ms + LATE_CALL_MS;
        placement.cpu_share.percent = None;
        placement.doubt.get_or_insert(RestartDoubt {
            placed_started_ms: earlier_started_ms,
        });
        self.dirty.insert(task.job);
        if let Some(earlier) = self.workers.get_mut(earlier) {
            earlier.tasks.remove(&task);
        }
        let worker = &mut self.workers[worker];
        worker.used_capacity = worker.used_capacity.saturating_add(&demand);
        worker.tasks.insert(task);
    }

    /// Settles the runs in doubt on a worker by its report, if it knows its token. A run that isn't there
    /// is over: the worker carries out no earlier start command for it any more. One that was under way
    /// when the worker was polled might reach a further incarnation instead.
    pub(super) fn settle_doubts(&mut self, now: Now, key: WorkerKey, listed: &ListedRuns) {
        let Some(worker) = self.workers.get(key).filter(|worker| worker.knows_token) else {
            return;
        };
        let polled_ms = worker.poll_sent_ms;
        for task in self.runs_in_doubt(worker) {
            let Some(placement) = self.placement_of_mut(task) else {
                continue;
            };
            let is_under_way = polled_ms < placement.start_under_way_until_ms;
            if listed.lacks(task, placement.run) && !is_under_way {
                self.release(task, Some(EndProof::NotListed));
            } else if listed.contains(task, placement.run) {
                placement.doubt = None;
                let is_stopping = matches!(placement.phase, RunPhase::Stopping { .. });
                self.dirty.insert(task.job);
                if is_stopping {
                    self.resend_stop(now, task);
                }
            }
        }
        self.count_unsettled(now, key, listed);
    }

    /// Returns the tasks whose runs on a worker are in doubt.
    pub(super) fn runs_in_doubt(&self, worker: &Worker) -> Vec<TaskKey> {
        let is_in_doubt = |task: &TaskKey| {
            self.placement_of(*task)
                .is_some_and(|placement| placement.doubt.is_some())
        };
        worker.tasks.iter().copied().filter(is_in_doubt).collect()
    }

    /// Returns whether a run may be on a newer incarnation of its worker.
    fn may_have_moved(&self, now: Now, task: TaskKey) -> bool {
        self.placement_of(task).is_some_and(|placement| {
            placement.phase != RunPhase::Placed && !placement.is_settled(now.boot_ms)
        })
    }
}

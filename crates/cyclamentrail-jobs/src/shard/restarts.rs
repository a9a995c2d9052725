//! Workers that restart under their ids.
//!
//! A call names its worker by the id, which a new incarnation shares with the earlier one. A start
//! command that was meant for the earlier incarnation may therefore be carried out by the new one,
//! and its response doesn't tell which of them did. Only a run that the earlier incarnation listed in
//! a report, and whose start can't be carried out again, has surely ended with it. Every other run is
//! assigned to the new incarnation until that one's first report tells whether it is there.

use super::reports::ListedRuns;
use super::{Now, Shard};
use crate::effect::{Decision, Effect, EndProof, WorkerReport};
use crate::job::{RestartDoubt, RunPhase, StopOrder, TaskKey};
use crate::worker::{Worker, WorkerKey, WorkerRegistration};

/// Time in milliseconds for which a call may be under way, longer than its time limit.
pub(super) const CALLS_UNDER_WAY_MS: u64 = 1_000;

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
            .filter(|&task| self.may_have_moved(task))
            .collect();
        let (given_up, unsettled) = self.record_restart(now, key, &doubtful);
        let new_key = self
            .workers
            .insert(self.restarted_worker(now, registration));
        for &task in &doubtful {
            self.assign_in_doubt(key, new_key, task, RestartDoubt::OwnCommand);
        }
        self.release_worker_runs(key, EndProof::WorkerRestarted);
        let registration = &self.workers[new_key].registration;
        self.ready_effects
            .push(Effect::Log(Decision::WorkerRestarted {
                worker: registration.id.clone(),
                earlier_started_ms,
                started_ms: registration.started_ms,
                runs: runs.len(),
                runs_in_doubt: doubtful.len(),
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

    /// Creates the state of a restarted worker. Its lease may end later than a granted one: calls
    /// that were meant for the earlier incarnation name times on that one's clock.
    pub(super) fn restarted_worker(&self, now: Now, registration: WorkerRegistration) -> Worker {
        let mut worker = Worker::new(registration, now.boot_ms);
        let longest_ms = self.timing.longest_possible_lease_ms();
        worker
            .lease
            .outlast(now.boot_ms + CALLS_UNDER_WAY_MS + longest_ms);
        worker
    }

    /// Assigns a run to a new incarnation of its worker, where it may be or not.
    pub(super) fn assign_in_doubt(
        &mut self,
        earlier: WorkerKey,
        worker: WorkerKey,
        task: TaskKey,
        doubt: RestartDoubt,
    ) {
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
        placement.cpu_share.percent = None;
        placement.doubt = Some(doubt);
        self.dirty.insert(task.job);
        if let Some(earlier) = self.workers.get_mut(earlier) {
            earlier.tasks.remove(&task);
        }
        let worker = &mut self.workers[worker];
        worker.used_capacity = worker.used_capacity.saturating_add(&demand);
        worker.tasks.insert(task);
    }

    /// Settles the runs in doubt on a worker by its report. A run that the response to a poll of this
    /// incarnation doesn't list is stopped, so that a late start command can't begin it any more;
    /// where only an earlier owner's command could, which the worker rejects now, the run is over.
    pub(super) fn settle_doubts(&mut self, now: Now, key: WorkerKey, listed: &ListedRuns) {
        let Some(worker) = self.workers.get(key) else {
            return;
        };
        let in_doubt: Vec<(TaskKey, RestartDoubt)> = worker
            .tasks
            .iter()
            .filter_map(|&task| Some((task, self.placement_of(task)?.doubt?)))
            .collect();
        // The report that shows the restart answers a poll that was sent before: starts may be on their
        // way behind it.
        let has_been_polled = worker.poll_sent_ms > 0;
        for (task, doubt) in in_doubt {
            let Some(placement) = self.placement_of_mut(task) else {
                continue;
            };
            let is_there = listed.contains(task, placement.run);
            let is_gone = has_been_polled && listed.lacks(task, placement.run);
            if !is_there && !is_gone {
                continue;
            }
            placement.doubt = None;
            match doubt {
                RestartDoubt::EarlierOwner if !is_there => {
                    self.release(task, Some(EndProof::NotListed));
                }
                RestartDoubt::OwnCommand if !is_there => {
                    placement.phase = RunPhase::Stopping { confirmed_ms: None };
                    self.dirty.insert(task.job);
                    self.send_stop(task);
                }
                _ if matches!(placement.phase, RunPhase::Stopping { .. }) => {
                    self.resend_stop(now, task);
                }
                _ => {}
            }
        }
        if has_been_polled {
            self.count_unsettled(now, key, listed);
        }
    }

    /// Returns whether a run may be on a newer incarnation of its worker.
    fn may_have_moved(&self, task: TaskKey) -> bool {
        self.placement_of(task).is_some_and(|placement| {
            let has_surely_ended = placement.is_listed && !placement.may_start_late;
            placement.phase != RunPhase::Placed && !has_surely_ended
        })
    }
}

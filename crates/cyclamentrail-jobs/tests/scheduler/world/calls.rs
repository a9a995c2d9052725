//! Simulated handling of commands and polls by workers, and of runs that end.

use std::sync::Arc;

use cyclamentrail_core::JobId;
use cyclamentrail_jobs::{
    CommandOutcome, CommandRejection, EndKind, EndedRun, PollOutcome, Resources, StartCommand,
    StepSpec, StopCommand, TaskRunId, WorkerPoll, WorkerReport,
};

use super::{CALL_MS, Event, STOP_MS, Simulation, same_task};
use crate::worker::{MAX_LEASE_MS, Run};

/// Number of ended runs that a worker lists at a time.
const ENDS_PER_REPORT: usize = 500;

/// Whether a call is carried out late, without a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum IsLate {
    No,
    Yes,
}

impl Simulation {
    /// Delivers a start command to its worker, with the worker's faults.
    pub(super) fn deliver_start(&mut self, command: StartCommand, token: u64) {
        let now_ms = self.now_ms;
        let key = (command.target.key, command.task, command.run);
        let Some(worker) = self.workers.get_mut(&command.target.id) else {
            return;
        };
        if worker.refuses_connections {
            let outcome = CommandOutcome::NotSent;
            self.schedule(
                CALL_MS,
                Event::StartResult(key.0, key.1, key.2, outcome, token),
            );
            return;
        }
        if worker.is_replaced {
            let outcome = CommandOutcome::OtherIncarnation;
            self.schedule(
                CALL_MS,
                Event::StartResult(key.0, key.1, key.2, outcome, token),
            );
            return;
        }
        if !worker.is_reachable || !worker.is_alive {
            self.schedule(
                500,
                Event::StartResult(key.0, key.1, key.2, CommandOutcome::NoResponse, token),
            );
            return;
        }
        if let Some(start_delay_ms) = worker.start_delay_ms {
            self.schedule(start_delay_ms, Event::LateStart(command));
            self.schedule(
                500,
                Event::StartResult(key.0, key.1, key.2, CommandOutcome::NoResponse, token),
            );
            return;
        }
        let responds = worker.responds;
        let clock_ms = worker.clock_ms(now_ms);
        let outcome = if command.target.token < worker.highest_token {
            CommandOutcome::Rejected(CommandRejection::StaleToken, Some(clock_ms))
        } else {
            self.begin_run(&command, IsLate::No)
        };
        let responds = responds && !self.crash_unanswered(&command);
        let outcome = if responds {
            outcome
        } else {
            CommandOutcome::NoResponse
        };
        let delay_ms = if responds { CALL_MS } else { 500 };
        self.schedule(
            delay_ms,
            Event::StartResult(key.0, key.1, key.2, outcome, token),
        );
    }

    /// Carries out a start command late: nobody waits for the response.
    pub(super) fn begin_late_run(&mut self, command: &StartCommand) {
        let worker = &self.workers[&command.target.id];
        if worker.is_alive && !worker.is_replaced && command.target.token >= worker.highest_token {
            self.begin_run(command, IsLate::Yes);
        }
    }

    /// Carries out a start command as a worker does, and checks that the start is allowed.
    pub(super) fn begin_run(&mut self, command: &StartCommand, is_late: IsLate) -> CommandOutcome {
        let now_ms = self.now_ms;
        let task = (
            command.job.clone(),
            command.task.occurrence,
            command.task.step,
            command.task.index,
        );
        let spec = Arc::clone(&self.specs[&command.job]);
        let step = spec.steps[command.task.step as usize].clone();
        if let Some(policy) = &self.policy
            && !policy.accepts(command, now_ms)
        {
            return CommandOutcome::Rejected(CommandRejection::InvalidTicket, Some(now_ms));
        }
        let worker = self
            .workers
            .get_mut(&command.target.id)
            .expect("the worker was looked up");
        let clock_ms = worker.clock_ms(now_ms);
        worker.highest_token = worker.highest_token.max(command.target.token);
        if let Some(current) = worker.running.iter().find(|run| same_task(&run.id, &task))
            && current.id.run == command.run
        {
            return CommandOutcome::Done(Some(clock_ms));
        }
        if command.lease_end_ms <= clock_ms {
            return CommandOutcome::Rejected(CommandRejection::LeaseExpired, Some(clock_ms));
        }
        // The lease is taken from a start of an old run, too.
        worker.lease_end_ms = worker
            .lease_end_ms
            .max(command.lease_end_ms.min(clock_ms + MAX_LEASE_MS));
        let highest = worker.highest_run.entry(task.clone()).or_default();
        if command.run <= *highest {
            return CommandOutcome::Rejected(CommandRejection::StaleRun, Some(clock_ms));
        }
        *highest = command.run;
        let fails = worker.fails_all_runs || self.failing_jobs.contains(&command.job);
        let fails_early = worker.fails_services || self.failing_jobs.contains(&command.job);
        let is_endless = (step.long_running && !fails_early) || worker.stalls_runs;
        let duration_ms = self
            .durations
            .get(&command.job)
            .copied()
            .unwrap_or(step.estimate_ms);
        let is_slow = self.slow_worker.as_ref() == Some(&command.target.id);
        let duration_ms = if is_slow {
            3 * duration_ms
        } else {
            duration_ms
        };
        let run = Run {
            id: TaskRunId {
                job: command.job.clone(),
                occurrence: task.1,
                step: task.2,
                index: task.3,
                run: command.run,
            },
            demand: step.reserved_resources(),
            end_ms: (!is_endless).then_some(now_ms + duration_ms),
            stop_ms: None,
            fails,
            is_best_effort: step.is_best_effort,
            is_latency_sensitive: step.target_ms.is_some(),
            share_percent: 100,
        };
        worker.running.push(run);
        let used = worker
            .running
            .iter()
            .fold(Resources::default(), |sum, run| {
                sum.saturating_add(&run.demand)
            });
        assert!(
            worker.may_hold(&used, now_ms),
            "{} is over its capacity",
            command.target.id
        );
        self.assert_start_allowed(&task, &step, is_late);
        self.record_deadly_start(&command.target.id, &task, step.long_running);
        *self.starts.entry(command.job.clone()).or_default() += 1;
        CommandOutcome::Done(Some(clock_ms))
    }

    /// Checks that a task runs once only, and after its preceding steps. A late start may follow an end
    /// that was noted before it.
    pub(super) fn assert_start_allowed(
        &self,
        task: &(JobId, u32, u32, u32),
        step: &StepSpec,
        is_late: IsLate,
    ) {
        let copies = self
            .workers
            .values()
            .filter(|worker| worker.is_alive)
            .flat_map(|worker| &worker.running)
            .filter(|run| same_task(&run.id, task))
            .count();
        assert_eq!(copies, 1, "{task:?} runs twice at once");
        assert!(
            is_late == IsLate::Yes || !self.must_not_rerun.contains(task),
            "{task:?} runs after it was done"
        );
        for &predecessor in &step.predecessors {
            let spec = &self.specs[&task.0];
            let count = spec.steps[predecessor as usize].count;
            let all_done = (0..count).all(|index| {
                self.completed
                    .contains(&(task.0.clone(), task.1, predecessor, index))
            });
            assert!(all_done, "{task:?} runs before step {predecessor} is done");
        }
    }

    /// Delivers a stop command to its worker.
    pub(super) fn deliver_stop(&mut self, command: &StopCommand, token: u64) {
        let now_ms = self.now_ms;
        let Some(worker) = self.workers.get_mut(&command.target.id) else {
            return;
        };
        let clock_ms = worker.clock_ms(now_ms);
        let outcome = if worker.is_replaced {
            CommandOutcome::OtherIncarnation
        } else if !worker.is_reachable || !worker.is_alive || !worker.responds {
            CommandOutcome::NoResponse
        } else if command.target.token < worker.highest_token {
            CommandOutcome::Rejected(CommandRejection::StaleToken, Some(clock_ms))
        } else {
            worker.highest_token = command.target.token;
            let task = (
                command.job.clone(),
                command.task.occurrence,
                command.task.step,
                command.task.index,
            );
            let highest = worker.highest_run.entry(task.clone()).or_default();
            *highest = (*highest).max(command.run);
            for run in &mut worker.running {
                if same_task(&run.id, &task) && run.id.run == command.run {
                    run.stop_ms = Some(now_ms + STOP_MS);
                }
            }
            CommandOutcome::Done(Some(clock_ms))
        };
        self.schedule(
            CALL_MS,
            Event::StopResult(
                command.target.key,
                command.task,
                command.run,
                outcome,
                token,
            ),
        );
    }

    /// Delivers a poll to its worker.
    pub(super) fn deliver_poll(&mut self, poll: WorkerPoll, token: u64) {
        let now_ms = self.now_ms;
        let Some(worker) = self.workers.get_mut(&poll.target.id) else {
            return;
        };
        let clock_ms = worker.clock_ms(now_ms);
        let is_late = worker.is_reachable && worker.is_alive && worker.late_poll_ms.is_some();
        let outcome = if is_late {
            PollOutcome::NoResponse
        } else if worker.is_replaced {
            PollOutcome::OtherIncarnation
        } else if !worker.is_reachable || !worker.is_alive || !worker.responds {
            PollOutcome::NoResponse
        } else if poll.target.token < worker.highest_token {
            PollOutcome::StaleToken
        } else {
            worker.apply_poll(&poll, clock_ms);
            let listed = worker.ended.len().min(ENDS_PER_REPORT);
            PollOutcome::Report(WorkerReport {
                started_ms: Some(worker.registration.started_ms),
                clock_ms,
                running: worker
                    .running
                    .iter()
                    .map(|run| worker.report_run(run))
                    .collect(),
                ended: worker.ended[..listed].to_vec(),
                may_lack_ends: listed == ENDS_PER_REPORT,
            })
        };
        let delay_ms = if matches!(outcome, PollOutcome::NoResponse) {
            500
        } else {
            CALL_MS
        };
        let result = Event::PollResult(poll.target.key, poll.durable_sequence, outcome, token);
        self.schedule(delay_ms, result);
        if let Some(late_ms) = self.workers[&poll.target.id].late_poll_ms
            && is_late
        {
            self.schedule(late_ms, Event::LatePoll(poll));
        }
    }

    /// Carries out a poll late: nobody waits for the response.
    pub(super) fn apply_late_poll(&mut self, poll: &WorkerPoll) {
        let now_ms = self.now_ms;
        let worker = self.worker(poll.target.id.as_str());
        if worker.is_alive && !worker.is_replaced && poll.target.token >= worker.highest_token {
            let clock_ms = worker.clock_ms(now_ms);
            worker.apply_poll(poll, clock_ms);
        }
    }

    /// Ends the runs that are finished, stopped, or whose lease has expired.
    pub(super) fn end_runs(&mut self) {
        self.crash_due_workers();
        let now_ms = self.now_ms;
        for worker in self.workers.values_mut().filter(|worker| worker.is_alive) {
            let has_expired = worker.lease_end_ms < worker.clock_ms(now_ms);
            if has_expired {
                // Ends that no owner recorded before the lease expired are void: these tasks have to
                // run again.
                for id in worker.ended.iter().map(|ended_run| &ended_run.id) {
                    self.must_not_rerun
                        .remove(&(id.job.clone(), id.occurrence, id.step, id.index));
                }
            }
            let mut remaining = Vec::new();
            for run in std::mem::take(&mut worker.running) {
                let end = if has_expired {
                    Some(EndKind::LeaseExpired)
                } else if run.end_ms.is_some_and(|end_ms| end_ms <= now_ms) {
                    Some(if run.fails {
                        EndKind::Failed
                    } else {
                        EndKind::Done
                    })
                } else if run.stop_ms.is_some_and(|stop_ms| stop_ms <= now_ms) {
                    Some(EndKind::Stopped)
                } else {
                    None
                };
                let Some(end) = end else {
                    remaining.push(run);
                    continue;
                };
                if end == EndKind::Done {
                    let id = &run.id;
                    let task = (id.job.clone(), id.occurrence, id.step, id.index);
                    self.completed.insert(task.clone());
                    self.must_not_rerun.insert(task);
                }
                worker.ended.push(EndedRun {
                    sequence: worker.next_end,
                    id: run.id,
                    end,
                    checkpoint: Arc::clone(&worker.checkpoint),
                });
                worker.next_end += 1;
            }
            worker.running = remaining;
        }
    }
}

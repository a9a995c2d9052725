//! What workers, the policy and time do.

use std::sync::Arc;

use cyclamentrail_core::JobId;
use cyclamentrail_jobs::{
    EndKind, EndedRow, Look, LookOutcome, OrderOutcome, OrderRejection, Report, Resources, RunName,
    StartOrder, StepSpec, StopOrder,
};

use super::{Event, HOP_MS, MAX_LEASE_MS, STOP_MS, World, same_task};
use crate::worker::Run;

impl World {
    pub(super) fn start(&mut self, order: StartOrder, token: u64, may_be_late: bool) {
        let now_ms = self.now_ms;
        let key = (order.target.key, order.task, order.run);
        let Some(worker) = self.workers.get_mut(&order.target.id) else {
            return;
        };
        if worker.refuses {
            let outcome = OrderOutcome::NotSent;
            self.schedule(HOP_MS, Event::Started(key.0, key.1, key.2, outcome, token));
            return;
        }
        if !worker.is_reachable || !worker.is_alive {
            self.schedule(
                500,
                Event::Started(key.0, key.1, key.2, OrderOutcome::NoAnswer, token),
            );
            return;
        }
        if let (Some(late_ms), true) = (worker.late_ms, may_be_late) {
            self.schedule(late_ms, Event::Start(order, token, false));
            self.schedule(
                500,
                Event::Started(key.0, key.1, key.2, OrderOutcome::NoAnswer, token),
            );
            return;
        }
        let answers = worker.answers && may_be_late;
        let same_life = worker.registration.born_ms == order.target.born_ms;
        let outcome = if !same_life {
            OrderOutcome::OtherLife
        } else if token < worker.highest_token {
            OrderOutcome::Rejected(OrderRejection::Fence, Some(now_ms))
        } else {
            self.begin_run(&order, token)
        };
        let outcome = if answers {
            outcome
        } else {
            OrderOutcome::NoAnswer
        };
        let delay_ms = if answers { HOP_MS } else { 500 };
        self.schedule(
            delay_ms,
            Event::Started(key.0, key.1, key.2, outcome, token),
        );
    }

    pub(super) fn begin_run(&mut self, order: &StartOrder, token: u64) -> OrderOutcome {
        let now_ms = self.now_ms;
        let task = (
            order.job.clone(),
            order.task.occurrence,
            order.task.step,
            order.task.index,
        );
        let spec = Arc::clone(&self.specs[&order.job]);
        let step = spec.steps[order.task.step as usize].clone();
        if let Some(policy) = &self.policy
            && !policy.accepts(order, now_ms)
        {
            return OrderOutcome::Rejected(OrderRejection::Grant, Some(now_ms));
        }
        let worker = self
            .workers
            .get_mut(&order.target.id)
            .expect("the worker was looked up");
        worker.highest_token = worker.highest_token.max(token);
        if let Some(present) = worker
            .running
            .iter()
            .find(|run| same_task(&run.name, &task))
            && present.name.run == order.run
        {
            return OrderOutcome::Done(Some(now_ms));
        }
        if order.until_ms <= now_ms {
            return OrderOutcome::Rejected(OrderRejection::Late, Some(now_ms));
        }
        let highest = worker.highest_run.entry(task.clone()).or_default();
        if order.run <= *highest {
            return OrderOutcome::Rejected(OrderRejection::Old, Some(now_ms));
        }
        *highest = order.run;
        worker.until_ms = worker
            .until_ms
            .max(order.until_ms.min(now_ms + MAX_LEASE_MS));
        let fails = worker.fails_all || self.fails.contains(&order.job);
        let lasts = step.long_running || worker.hangs;
        let run = Run {
            name: RunName {
                job: order.job.clone(),
                occurrence: task.1,
                step: task.2,
                index: task.3,
                run: order.run,
            },
            demand: step.counted(),
            end_ms: (!lasts).then_some(now_ms + step.estimate_ms),
            stop_ms: None,
            fails,
            fills: step.fills,
            serves: step.target_ms.is_some(),
            paced_percent: 100,
        };
        worker.running.push(run);
        let used = worker
            .running
            .iter()
            .fold(Resources::default(), |sum, run| sum.plus(&run.demand));
        assert!(
            worker.registration.capacity.contains(&used),
            "{} is over its capacity",
            order.target.id
        );
        self.check_start(&task, &step);
        *self.starts.entry(order.job.clone()).or_default() += 1;
        OrderOutcome::Done(Some(now_ms))
    }

    pub(super) fn check_start(&self, task: &(JobId, u32, u32, u32), step: &StepSpec) {
        let copies = self
            .workers
            .values()
            .filter(|worker| worker.is_alive)
            .flat_map(|worker| &worker.running)
            .filter(|run| same_task(&run.name, task))
            .count();
        assert_eq!(copies, 1, "{task:?} runs twice at once");
        assert!(!self.done.contains(task), "{task:?} runs after it was done");
        for &other in &step.after {
            let spec = &self.specs[&task.0];
            let count = spec.steps[other as usize].count;
            let all_done = (0..count).all(|index| {
                self.ever_done
                    .contains(&(task.0.clone(), task.1, other, index))
            });
            assert!(all_done, "{task:?} runs before step {other} is done");
        }
    }

    pub(super) fn stop(&mut self, order: &StopOrder, token: u64) {
        let now_ms = self.now_ms;
        let Some(worker) = self.workers.get_mut(&order.target.id) else {
            return;
        };
        let outcome = if !worker.is_reachable || !worker.is_alive || !worker.answers {
            OrderOutcome::NoAnswer
        } else if worker.registration.born_ms != order.target.born_ms {
            OrderOutcome::OtherLife
        } else if token < worker.highest_token {
            OrderOutcome::Rejected(OrderRejection::Fence, Some(now_ms))
        } else {
            worker.highest_token = token;
            let task = (
                order.job.clone(),
                order.task.occurrence,
                order.task.step,
                order.task.index,
            );
            let highest = worker.highest_run.entry(task.clone()).or_default();
            *highest = (*highest).max(order.run);
            for run in &mut worker.running {
                if same_task(&run.name, &task) && run.name.run == order.run {
                    run.stop_ms = Some(now_ms + STOP_MS);
                }
            }
            OrderOutcome::Done(Some(now_ms))
        };
        self.schedule(
            HOP_MS,
            Event::Stopped(order.task, order.run, outcome, token),
        );
    }

    pub(super) fn look(&mut self, look: &Look, token: u64) {
        let now_ms = self.now_ms;
        let Some(worker) = self.workers.get_mut(&look.target.id) else {
            return;
        };
        let outcome = if !worker.is_reachable || !worker.is_alive || !worker.answers {
            LookOutcome::NoAnswer
        } else if worker.registration.born_ms != look.target.born_ms {
            LookOutcome::OtherLife
        } else if token < worker.highest_token {
            LookOutcome::Fenced
        } else {
            worker.highest_token = token;
            worker.ended.retain(|row| row.number > look.seen);
            if let Some(until_ms) = look.until_ms {
                worker.until_ms = worker.until_ms.max(until_ms.min(now_ms + MAX_LEASE_MS));
            }
            LookOutcome::Report(Report {
                born_ms: Some(worker.registration.born_ms),
                clock_ms: now_ms,
                running: worker.running.iter().map(|run| worker.row(run)).collect(),
                ended: worker.ended.clone(),
            })
        };
        let delay_ms = if matches!(outcome, LookOutcome::NoAnswer) {
            500
        } else {
            HOP_MS
        };
        let looked = Event::Looked(look.target.key, look.seen, outcome, token);
        self.schedule(delay_ms, looked);
    }

    pub(super) fn end_runs(&mut self) {
        let now_ms = self.now_ms;
        for worker in self.workers.values_mut().filter(|worker| worker.is_alive) {
            let has_lapsed = worker.until_ms < now_ms;
            if has_lapsed {
                // Ends that nobody took note of before the lease lapsed don't count.
                for name in worker.ended.iter().map(|row| &row.name) {
                    self.done
                        .remove(&(name.job.clone(), name.occurrence, name.step, name.index));
                }
            }
            let mut left = Vec::new();
            for run in std::mem::take(&mut worker.running) {
                let how = if has_lapsed {
                    Some(EndKind::Lapsed)
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
                let Some(how) = how else {
                    left.push(run);
                    continue;
                };
                if how == EndKind::Done {
                    let name = &run.name;
                    let task = (name.job.clone(), name.occurrence, name.step, name.index);
                    self.ever_done.insert(task.clone());
                    self.done.insert(task);
                }
                worker.ended.push(EndedRow {
                    number: worker.next_end,
                    name: run.name,
                    how,
                    checkpoint: Arc::from(""),
                });
                worker.next_end += 1;
            }
            worker.running = left;
        }
    }
}

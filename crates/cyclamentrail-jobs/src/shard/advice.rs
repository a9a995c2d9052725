//! Asking the queues' policies which workers may run a step.

use std::collections::BTreeSet;
use std::sync::Arc;

use cyclamentrail_core::WorkerId;

use super::{Now, Shard};
use crate::effect::{AdviceOutcome, AdviceQuestion, Effect};
use crate::grants::StepKey;
use crate::job::{JobKey, TaskKey};
use crate::placing::Wish;
use crate::worker::WorkerKey;

/// Most questions that are under way at once; the service answers one at a time.
const MAX_QUESTIONS: usize = 4;

impl Shard {
    /// Returns whether a policy decides which workers may run a job's tasks.
    pub(super) fn is_advised(&self, job: JobKey) -> bool {
        self.jobs
            .get(job)
            .and_then(|job| self.terms.get(&job.route))
            .is_some_and(|terms| terms.advice.is_some())
    }

    /// Returns the workers that may run a step, or `None` where no policy decides it.
    pub(super) fn granted(&self, now: Now, step: StepKey) -> Option<BTreeSet<WorkerKey>> {
        self.is_advised(step.job)
            .then(|| self.grants.workers(step, now.boot_ms))
    }

    /// Asks for more workers that may run a step, as far as there are any to ask for.
    pub(super) fn want_advice(&mut self, now: Now, step: StepKey) {
        if self.questions >= MAX_QUESTIONS {
            return;
        }
        let Some(job) = self.jobs.get(step.job) else {
            return;
        };
        let spec = &job.spec.steps[step.step as usize];
        let id = job.id.clone();
        let wish = Wish::from(spec);
        let mut candidates: Vec<(u64, WorkerKey)> = self
            .workers
            .iter()
            .filter(|(_, worker)| worker.is_open(now.boot_ms) && wish.suits(worker))
            .map(|(key, worker)| (wish.cost(key, worker), key))
            .collect();
        candidates.sort_unstable();
        let candidates = candidates.into_iter().map(|(_, key)| key);
        let asked = self.grants.to_ask(step, candidates, now.boot_ms);
        if asked.is_empty() {
            return;
        }
        self.questions += 1;
        self.grants.ask(step);
        let named = |key: &WorkerKey| self.workers[*key].registration.id.clone();
        self.ready.push(Effect::Advise(AdviceQuestion {
            step,
            job: id,
            workers: asked.iter().map(named).collect(),
            asked,
            sent_ms: now.boot_ms,
        }));
    }

    /// Asks for the later steps of jobs whose earlier ones are under way, so that the answer is
    /// there when their turn comes.
    pub(super) fn want_later_advice(&mut self, now: Now) {
        if self.terms.values().all(|terms| terms.advice.is_none()) {
            return;
        }
        let later: Vec<StepKey> = self
            .active
            .iter()
            .filter(|&&key| self.is_advised(key))
            .filter_map(|&key| Some((key, self.jobs.get(key)?)))
            .filter(|(_, job)| !job.is_over())
            .flat_map(|(key, job)| {
                job.occurrences.iter().flat_map(move |occurrence| {
                    let open = (0_u32..)
                        .zip(&occurrence.steps)
                        .filter(|(_, step)| !step.is_done());
                    open.map(move |(step, _)| StepKey {
                        job: key,
                        occurrence: occurrence.number,
                        step,
                    })
                })
            })
            .collect();
        for step in later {
            if self.grants.workers(step, now.boot_ms).is_empty() {
                self.want_advice(now, step);
            }
        }
    }

    /// Takes in what a policy answered.
    pub fn advice_done(&mut self, now: Now, question: &AdviceQuestion, outcome: AdviceOutcome) {
        self.questions = self.questions.saturating_sub(1);
        let step = question.step;
        if !self.jobs.contains_key(step.job) {
            return;
        }
        match outcome {
            AdviceOutcome::Granted { rows, valid_ms } => {
                let key_of = |id: &WorkerId| {
                    let index = question.workers.iter().position(|named| named == id)?;
                    question.asked.get(index).copied()
                };
                let granted: Vec<(WorkerKey, Arc<str>)> = rows
                    .into_iter()
                    .filter_map(|row| Some((key_of(&row.worker)?, row.ticket)))
                    .collect();
                let sent_ms = question.sent_ms;
                self.grants
                    .answer(step, &question.asked, granted, sent_ms, valid_ms);
            }
            AdviceOutcome::NoAnswer => self.grants.fail(step, now.boot_ms),
        }
    }
}

impl From<TaskKey> for StepKey {
    fn from(task: TaskKey) -> Self {
        Self {
            job: task.job,
            occurrence: task.occurrence,
            step: task.step,
        }
    }
}

//! Queries to queue policies: which workers may run a step.

use std::collections::BTreeSet;
use std::sync::Arc;

use cyclamentrail_core::WorkerId;

use super::{Now, Shard};
use crate::effect::{AdviceOutcome, AdviceQuery, Effect};
use crate::grants::StepKey;
use crate::job::{JobKey, TaskKey};
use crate::selection::PlacementRequest;
use crate::worker::WorkerKey;

/// Most queries without a result at once; the policy service handles one at a time.
const MAX_OPEN_QUERIES: usize = 4;

impl Shard {
    /// Returns whether a policy decides which workers may run a job's tasks.
    pub(super) fn is_advised(&self, job: JobKey) -> bool {
        self.jobs
            .get(job)
            .and_then(|job| self.routes.get(&job.route))
            .is_some_and(|route| route.advice.is_some())
    }

    /// Returns the workers that a policy allows to run a step, or `None` where no policy decides
    /// it.
    pub(super) fn granted_workers(&self, now: Now, step: StepKey) -> Option<BTreeSet<WorkerKey>> {
        self.is_advised(step.job)
            .then(|| self.grants.granted_workers(step, now.boot_ms))
    }

    /// Queries the policy for more workers that may run a step, if there are candidates left to
    /// name.
    pub(super) fn query_policy(&mut self, now: Now, step: StepKey) {
        if self.open_queries >= MAX_OPEN_QUERIES {
            return;
        }
        let Some(job) = self.jobs.get(step.job) else {
            return;
        };
        let spec = &job.spec.steps[step.step as usize];
        let id = job.id.clone();
        let request = PlacementRequest::from(spec);
        let mut candidates: Vec<(u64, WorkerKey)> = self
            .workers
            .iter()
            .filter(|(_, worker)| worker.accepts_tasks(now.boot_ms) && request.is_suitable(worker))
            .map(|(key, worker)| (request.cost(key, worker), key))
            .collect();
        candidates.sort_unstable();
        let candidates = candidates.into_iter().map(|(_, key)| key);
        let worker_keys = self.grants.workers_to_query(step, candidates, now.boot_ms);
        if worker_keys.is_empty() {
            return;
        }
        self.open_queries += 1;
        self.grants.record_query(step);
        let id_of = |key: &WorkerKey| self.workers[*key].registration.id.clone();
        self.ready_effects.push(Effect::QueryPolicy(AdviceQuery {
            step,
            job: id,
            worker_ids: worker_keys.iter().map(id_of).collect(),
            worker_keys,
            sent_ms: now.boot_ms,
        }));
    }

    /// Queries the policy for steps without allowed workers ahead of their turn, so that the
    /// tickets are there when the steps become ready.
    pub(super) fn prefetch_advice(&mut self, now: Now) {
        let needs_advice = self.routes.values().any(|route| route.advice.is_some());
        if !needs_advice || self.awaits_first_responses(now) {
            return;
        }
        let unfinished: Vec<StepKey> = self
            .active
            .iter()
            .filter(|&&key| self.is_advised(key))
            .filter_map(|&key| Some((key, self.jobs.get(key)?)))
            .filter(|(_, job)| !job.is_aborted())
            .flat_map(|(key, job)| {
                job.occurrences.iter().flat_map(move |occurrence| {
                    let unfinished_steps = (0_u32..)
                        .zip(&occurrence.steps)
                        .filter(|(_, step)| !step.is_done());
                    unfinished_steps.map(move |(step, _)| StepKey {
                        job: key,
                        occurrence: occurrence.number,
                        step,
                    })
                })
            })
            .collect();
        for step in unfinished {
            if self.grants.granted_workers(step, now.boot_ms).is_empty() {
                self.query_policy(now, step);
            }
        }
    }

    /// Handles the result of a query to a policy.
    pub fn handle_advice_result(&mut self, now: Now, query: &AdviceQuery, outcome: AdviceOutcome) {
        self.open_queries = self.open_queries.saturating_sub(1);
        let step = query.step;
        if !self.jobs.contains_key(step.job) {
            return;
        }
        match outcome {
            AdviceOutcome::Granted { tickets, valid_ms } => {
                let key_of = |id: &WorkerId| {
                    let index = query.worker_ids.iter().position(|named| named == id)?;
                    query.worker_keys.get(index).copied()
                };
                let granted: Vec<(WorkerKey, Arc<str>)> = tickets
                    .into_iter()
                    .filter_map(|row| Some((key_of(&row.worker)?, row.ticket)))
                    .collect();
                let sent_ms = query.sent_ms;
                self.grants
                    .record_response(step, &query.worker_keys, granted, sent_ms, valid_ms);
            }
            AdviceOutcome::NoResponse => self.grants.record_failure(step, now.boot_ms),
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

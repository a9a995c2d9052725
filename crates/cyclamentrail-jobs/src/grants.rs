//! Which workers may run a step, where a queue's policy decides it.
//!
//! Answers queues whose policy is asked over a slow service: what it grants is kept for as long
//! as it is valid, what it refuses is never asked for again, and few workers are named at once.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

use crate::job::JobKey;
use crate::worker::WorkerKey;

/// Most workers that one question names; the service takes time for each of them.
pub const MAX_NAMED: usize = 30;
/// Time before the end of a grant at which it is no longer used, in milliseconds; more than an
/// order takes to its worker.
const MARGIN_MS: u64 = 250;
/// Time after which the service is asked again when it gave no answer, in milliseconds.
const RETRY_MS: u64 = 300;

/// Names one step of one occurrence of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct StepKey {
    /// The job.
    pub job: JobKey,
    /// Number of the occurrence, from 0.
    pub occurrence: u32,
    /// Index of the step.
    pub step: u32,
}

/// A worker that may run a step.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Grant {
    /// What shows the worker that it may.
    pub ticket: Arc<str>,
    /// Until when the ticket is used, on our clock in milliseconds.
    pub until_ms: u64,
}

/// What is known of one step.
#[derive(Debug, Clone, Default)]
struct StepGrants {
    granted: BTreeMap<WorkerKey, Grant>,
    refused: BTreeSet<WorkerKey>,
    is_asked: bool,
    retry_ms: u64,
}

/// What the policies have granted.
#[derive(Debug, Clone, Default)]
pub struct Grants {
    steps: HashMap<StepKey, StepGrants>,
}

impl Grants {
    /// Returns the ticket of a worker for a step, if it is valid.
    #[must_use]
    pub fn ticket(&self, step: StepKey, worker: WorkerKey, now_ms: u64) -> Option<Arc<str>> {
        let grant = self.steps.get(&step)?.granted.get(&worker)?;
        (now_ms < grant.until_ms).then(|| Arc::clone(&grant.ticket))
    }

    /// Returns the workers that may run a step now.
    #[must_use]
    pub fn workers(&self, step: StepKey, now_ms: u64) -> BTreeSet<WorkerKey> {
        self.steps
            .get(&step)
            .into_iter()
            .flat_map(|known| &known.granted)
            .filter(|(_, grant)| now_ms < grant.until_ms)
            .map(|(&worker, _)| worker)
            .collect()
    }

    /// Returns which of the candidates to ask for, the best first; none while a question is under
    /// way or its answer was nothing.
    #[must_use]
    pub fn to_ask(
        &self,
        step: StepKey,
        candidates: impl IntoIterator<Item = WorkerKey>,
        now_ms: u64,
    ) -> Vec<WorkerKey> {
        let known = self.steps.get(&step);
        if known.is_some_and(|known| known.is_asked || now_ms < known.retry_ms) {
            return Vec::new();
        }
        let is_open = |worker: &WorkerKey| {
            known.is_none_or(|known| {
                let is_valid = known
                    .granted
                    .get(worker)
                    .is_some_and(|grant| now_ms < grant.until_ms);
                !is_valid && !known.refused.contains(worker)
            })
        };
        candidates
            .into_iter()
            .filter(is_open)
            .take(MAX_NAMED)
            .collect()
    }

    /// Takes note that a question is under way.
    pub fn ask(&mut self, step: StepKey) {
        self.steps.entry(step).or_default().is_asked = true;
    }

    /// Takes in an answer: who of those asked for is granted, valid for `valid_ms` from when the
    /// question was sent.
    pub fn answer(
        &mut self,
        step: StepKey,
        asked: &[WorkerKey],
        granted: impl IntoIterator<Item = (WorkerKey, Arc<str>)>,
        sent_ms: u64,
        valid_ms: u64,
    ) {
        let known = self.steps.entry(step).or_default();
        known.is_asked = false;
        let until_ms = (sent_ms + valid_ms).saturating_sub(MARGIN_MS);
        for (worker, ticket) in granted {
            known.granted.insert(worker, Grant { ticket, until_ms });
        }
        for worker in asked {
            if !known.granted.contains_key(worker) {
                known.refused.insert(*worker);
            }
        }
    }

    /// Takes note that a question had no answer.
    pub fn fail(&mut self, step: StepKey, now_ms: u64) {
        let known = self.steps.entry(step).or_default();
        known.is_asked = false;
        known.retry_ms = now_ms + RETRY_MS;
    }

    /// Forgets a ticket that its worker didn't take.
    pub fn reject(&mut self, step: StepKey, worker: WorkerKey) {
        if let Some(known) = self.steps.get_mut(&step) {
            known.granted.remove(&worker);
        }
    }

    /// Forgets what is known for a job.
    pub fn forget_job(&mut self, job: JobKey) {
        self.steps.retain(|step, _| step.job != job);
    }
}

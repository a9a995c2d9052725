//! Tickets by which the policy of a queue permits workers to run a step.
//!
//! The policy is a slow service. Its tickets are therefore kept for as long as they are valid, a
//! worker that it refused for a step is never named again for this step, and a query names
//! few workers.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

use crate::job::JobKey;
use crate::worker::WorkerKey;

/// Most workers that one query names; the policy service needs time for each of them.
pub const MAX_WORKERS_PER_QUERY: usize = 30;
/// Time before the end of a ticket's validity from which it isn't used any more, in milliseconds;
/// longer than a command takes to its worker.
const EXPIRY_MARGIN_MS: u64 = 250;
/// Delay after a query without a response until the next one, in milliseconds.
const RETRY_DELAY_MS: u64 = 300;

/// Identifies a step of one occurrence of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct StepKey {
    /// Key of the job.
    pub job: JobKey,
    /// Number of the occurrence, from 0.
    pub occurrence: u32,
    /// Index of the step in the job.
    pub step: u32,
}

/// Permission for a worker to run a step.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Grant {
    /// Ticket that the worker checks before it starts a task.
    pub ticket: Arc<str>,
    /// Time until which the ticket is used, on the owner's boot clock in milliseconds.
    pub expires_ms: u64,
}

/// Responses of the policy for one step.
#[derive(Debug, Clone, Default)]
struct StepGrants {
    granted: BTreeMap<WorkerKey, Grant>,
    refused: BTreeSet<WorkerKey>,
    /// Whether a query is in flight.
    is_queried: bool,
    /// Time of the next query after one without a response, on the owner's boot clock in
    /// milliseconds.
    next_query_ms: u64,
}

/// Permissions of all steps whose queue has a policy.
#[derive(Debug, Clone, Default)]
pub struct Grants {
    steps: HashMap<StepKey, StepGrants>,
}

impl Grants {
    /// Returns the ticket of a worker for a step, if there is one that is still valid.
    #[must_use]
    pub fn ticket(&self, step: StepKey, worker: WorkerKey, now_ms: u64) -> Option<Arc<str>> {
        let grant = self.steps.get(&step)?.granted.get(&worker)?;
        (now_ms < grant.expires_ms).then(|| Arc::clone(&grant.ticket))
    }

    /// Returns the workers with a valid ticket for a step.
    #[must_use]
    pub fn granted_workers(&self, step: StepKey, now_ms: u64) -> BTreeSet<WorkerKey> {
        self.steps
            .get(&step)
            .into_iter()
            .flat_map(|grants| &grants.granted)
            .filter(|(_, grant)| now_ms < grant.expires_ms)
            .map(|(&worker, _)| worker)
            .collect()
    }

    /// Returns the candidates to name in the next query, in the given order and at most
    /// [`MAX_WORKERS_PER_QUERY`]: those that have no valid ticket and weren't refused. The list
    /// is empty while a query is in flight and during the delay after a query without a
    /// response.
    #[must_use]
    pub fn workers_to_query(
        &self,
        step: StepKey,
        candidates: impl IntoIterator<Item = WorkerKey>,
        now_ms: u64,
    ) -> Vec<WorkerKey> {
        let grants = self.steps.get(&step);
        if grants.is_some_and(|grants| grants.is_queried || now_ms < grants.next_query_ms) {
            return Vec::new();
        }
        let may_query = |worker: &WorkerKey| {
            grants.is_none_or(|grants| {
                let is_valid = grants
                    .granted
                    .get(worker)
                    .is_some_and(|grant| now_ms < grant.expires_ms);
                !is_valid && !grants.refused.contains(worker)
            })
        };
        candidates
            .into_iter()
            .filter(may_query)
            .take(MAX_WORKERS_PER_QUERY)
            .collect()
    }

    /// Records that a query for a step is in flight.
    pub fn record_query(&mut self, step: StepKey) {
        self.steps.entry(step).or_default().is_queried = true;
    }

    /// Records the response to a query. The tickets are valid for `valid_ms` from `sent_ms`, the
    /// time of the query; a queried worker without a ticket counts as refused.
    pub fn record_response(
        &mut self,
        step: StepKey,
        queried: &[WorkerKey],
        granted: impl IntoIterator<Item = (WorkerKey, Arc<str>)>,
        sent_ms: u64,
        valid_ms: u64,
    ) {
        let grants = self.steps.entry(step).or_default();
        grants.is_queried = false;
        let expires_ms = (sent_ms + valid_ms).saturating_sub(EXPIRY_MARGIN_MS);
        for (worker, ticket) in granted {
            grants.granted.insert(worker, Grant { ticket, expires_ms });
        }
        for worker in queried {
            if !grants.granted.contains_key(worker) {
                grants.refused.insert(*worker);
            }
        }
    }

    /// Records that a query got no response.
    pub fn record_failure(&mut self, step: StepKey, now_ms: u64) {
        let grants = self.steps.entry(step).or_default();
        grants.is_queried = false;
        grants.next_query_ms = now_ms + RETRY_DELAY_MS;
    }

    /// Drops a ticket that its worker rejected.
    pub fn drop_ticket(&mut self, step: StepKey, worker: WorkerKey) {
        if let Some(grants) = self.steps.get_mut(&step) {
            grants.granted.remove(&worker);
        }
    }

    /// Drops everything that is known for the steps of a job.
    pub fn drop_job(&mut self, job: JobKey) {
        self.steps.retain(|step, _| step.job != job);
    }
}

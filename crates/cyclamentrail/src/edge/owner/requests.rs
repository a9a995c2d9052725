//! Requests to an owner, from callers, operators and the holder of the duties over machines.

use std::time::Duration;

use cyclamentrail_core::{JobId, RouteName, WorkerId};
use cyclamentrail_jobs::{
    CallerId, CallerReply, ConfigurationOrder, Decision, QueueAdmission, RejectReason, Submission,
    retry_after_outage_ms, retry_seed,
};
use tokio::sync::oneshot;
use tokio::time::Instant;

use super::{Owner, relayed_workers};
use crate::edge::clocks::{now, whole_ms};
use crate::edge::messages::{JobRequest, OwnerRequest, Reply, SubmittedJob};
use crate::edge::operator_views::{describe_job, describe_shard};
use crate::metrics;

/// Largest age of the last confirmation at which the owner replies with what can still change, in
/// milliseconds. Shorter than the age at which another process takes the shard over: that one may
/// have accepted the job or shown it as completed.
const MAX_REPLY_AGE_MS: u64 = 2_000;
/// Age of a commit at which new jobs are rejected, because the store doesn't respond.
const STUCK_COMMIT_AGE: Duration = Duration::from_millis(700);
/// Time for which workers are kept empty after the last request to evacuate them.
pub(crate) const EVACUATION_LEASE: Duration = Duration::from_secs(6);

impl Owner {
    /// Handles a request. While the ownership isn't confirmed, the reply is that this process isn't
    /// the owner.
    pub(super) fn handle_request(&mut self, request: OwnerRequest, reply: oneshot::Sender<Reply>) {
        if !self.confirmation.is_valid() {
            drop(reply.send(Reply::NotOwner));
            return;
        }
        let caller = CallerId(self.next_caller);
        self.next_caller += 1;
        match request {
            OwnerRequest::Submit(job) => self.submit(caller, job, None, reply),
            OwnerRequest::SubmitChecked { opening, job } => {
                self.submit(caller, job, Some(opening), reply);
            }
            OwnerRequest::CloseQueue { queue, order } => {
                match self.close_queue(&queue, order, caller) {
                    Some(refusal) => drop(reply.send(refusal)),
                    None => {
                        self.waiting_callers.insert(caller, reply);
                    }
                }
            }
            OwnerRequest::FindFormer { queue, opening, .. }
                if !self.has_closed(&queue, opening) =>
            {
                drop(reply.send(Reply::NotOwner));
            }
            OwnerRequest::State(request) if !self.may_show_state(&request.id) => {
                drop(reply.send(Reply::NotOwner));
            }
            OwnerRequest::Cancel(request)
                if self.shard.job(&request.id).is_none() && self.may_be_replaced() =>
            {
                drop(reply.send(Reply::NotOwner));
            }
            OwnerRequest::State(JobRequest { id, team })
            | OwnerRequest::FindFormer {
                job: JobRequest { id, team },
                ..
            } => {
                self.waiting_callers.insert(caller, reply);
                self.shard.reply_state(caller, &id, team.as_ref());
            }
            OwnerRequest::Cancel(JobRequest { id, team }) => {
                self.waiting_callers.insert(caller, reply);
                self.shard.cancel(caller, &id, team.as_ref());
            }
            OwnerRequest::Pending(route) => {
                self.waiting_callers.insert(caller, reply);
                self.shard.reply_pending(caller, &route);
            }
            OwnerRequest::Release | OwnerRequest::Status | OwnerRequest::ReportQuota(_) => {
                drop(reply.send(Reply::NotOwner));
            }
            OwnerRequest::Describe => drop(reply.send(self.describe())),
            OwnerRequest::Explain(id) => drop(reply.send(self.explain(&id))),
            OwnerRequest::Evacuate(workers) => drop(reply.send(self.evacuate(workers))),
        }
        self.carry_out_ready();
    }

    /// Submits a job to the shard, unless its queue isn't open. `checked` is the opening after which the
    /// former services of the queue have said that they don't know the job.
    fn submit(
        &mut self,
        caller: CallerId,
        job: SubmittedJob,
        checked: Option<ConfigurationOrder>,
        reply: oneshot::Sender<Reply>,
    ) {
        let SubmittedJob {
            id,
            route,
            spec,
            team,
        } = job;
        let is_new = self.shard.job(&id).is_none() && !self.shard.is_held(&id);
        if is_new && let Some(refusal) = self.queue_refusal(&route, checked) {
            drop(reply.send(refusal));
            return;
        }
        // Only now: no other service has the job, so that it never runs.
        if is_new && self.is_commit_stuck() {
            self.reject_in_outage(id, reply);
            return;
        }
        self.waiting_callers.insert(caller, reply);
        let submission = Submission {
            caller,
            id,
            route,
            team,
            spec,
        };
        let counted_before = self.shard.counted_tasks();
        self.shard.submit(now(), submission);
        let counted_tasks = self.shard.counted_tasks() - counted_before;
        self.activity.record_counted_tasks(counted_tasks);
    }

    /// Returns why no new job of a route may be accepted now, as far as its queue is concerned.
    fn queue_refusal(
        &mut self,
        route: &RouteName,
        checked: Option<ConfigurationOrder>,
    ) -> Option<Reply> {
        match self.queue_review.gate().admit(route, checked) {
            QueueAdmission::Open => None,
            // The configuration of the caller's process may be newer or older.
            QueueAdmission::NotOpen | QueueAdmission::NoRoute => Some(Reply::Undecided),
            QueueAdmission::CheckFormer(queue, opening) => Some(Reply::CheckFormer {
                queue,
                opening: opening.order,
                former: opening.former.into_iter().collect(),
            }),
        }
    }

    /// Returns whether another process may have taken the shard over without this one knowing.
    fn may_be_replaced(&self) -> bool {
        self.confirmation.age_ms() > MAX_REPLY_AGE_MS || self.is_unconfirmed_since_suspension()
    }

    /// Returns whether the store hasn't confirmed the ownership since the process was suspended.
    pub(super) fn is_unconfirmed_since_suspension(&self) -> bool {
        !self.confirmation.is_since(self.suspension.resumed_ms())
    }

    /// Returns whether the state of a job, as far as it is stored, is still the newest one for sure.
    fn may_show_state(&self, id: &JobId) -> bool {
        let job = self.shard.job(id);
        job.is_some_and(|job| job.durable_state.is_final()) || !self.may_be_replaced()
    }

    fn describe(&self) -> Reply {
        let age_ms = self.confirmation.age_ms();
        let relays = self
            .worker_calls
            .describe_relays(&relayed_workers(&self.shard));
        Reply::Shard(describe_shard(&self.shard, self.token, age_ms, relays))
    }

    fn explain(&self, id: &JobId) -> Reply {
        let decisions = self.decision_log.decisions_about(id);
        describe_job(&self.shard, &self.service, id, decisions)
            .map_or(Reply::Unknown, |view| Reply::Job(Box::new(view)))
    }

    /// Rejects the jobs whose records wait for a store that doesn't respond.
    pub(super) fn reject_unsent_in_outage(&mut self) {
        if self.is_commit_stuck() {
            self.shard.reject_unsent_jobs(self.outage_ms());
        }
    }

    /// Returns the time since the last commit was started, in milliseconds; during an outage, for
    /// how long the store hasn't responded.
    fn outage_ms(&self) -> u64 {
        whole_ms(self.committing_since.elapsed())
    }

    /// Returns whether a commit has waited for the store for longer than [`STUCK_COMMIT_AGE`].
    fn is_commit_stuck(&self) -> bool {
        self.commit_log.is_none() && self.committing_since.elapsed() > STUCK_COMMIT_AGE
    }

    /// Rejects a job that can't be stored during an outage.
    fn reject_in_outage(&mut self, id: JobId, reply: oneshot::Sender<Reply>) {
        let outage_ms = self.outage_ms();
        let rejection = CallerReply::Rejected {
            retry_after_ms: retry_after_outage_ms(outage_ms, retry_seed(&id)),
            reason: RejectReason::NotReady,
        };
        self.record_decision(Decision::JobRejected {
            job: id,
            reason: RejectReason::NotReady,
            wait_ms: outage_ms,
            free_percent: self.shard.free_percent(),
            share: None,
        });
        drop(reply.send(Reply::from(rejection)));
    }

    /// Keeps exactly these workers empty, and replies with the load of the pool.
    fn evacuate(&mut self, workers: Vec<WorkerId>) -> Reply {
        let now = now();
        for worker in self
            .evacuating_workers
            .iter()
            .filter(|old| !workers.contains(old))
        {
            self.shard.set_evacuating(now, worker, false);
        }
        for worker in &workers {
            self.shard.set_evacuating(now, worker, true);
        }
        self.evacuating_workers = workers;
        self.evacuating_since = Instant::now();
        let load = self.shard.load(now);
        metrics::set_pool_load(self.service.as_str(), &load);
        Reply::Load(load.into())
    }

    /// Ends the evacuation of workers that the holder of the duties hasn't requested for
    /// [`EVACUATION_LEASE`], so that tasks are placed on them again.
    pub(super) fn end_expired_evacuations(&mut self) {
        if !self.evacuating_workers.is_empty() && self.evacuating_since.elapsed() > EVACUATION_LEASE
        {
            for worker in std::mem::take(&mut self.evacuating_workers) {
                self.shard.set_evacuating(now(), &worker, false);
            }
        }
    }
}

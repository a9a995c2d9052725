//! Rejection of accepted jobs that can't be stored.
//!
//! During an outage of the store, a job whose record was never sent is certainly not stored. Its
//! callers are rejected at once, rather than left without a reply until their deadlines.

use super::Shard;
use crate::admission::retry_after_outage_ms;
use crate::effect::{CallerId, CallerReply, Decision, Effect, RejectReason};
use crate::job::{Job, JobKey};
use crate::shard::submit::retry_seed;

impl Shard {
    /// Rejects the jobs whose accept records haven't been sent to the store, which has failed to
    /// respond for `outage_ms` milliseconds.
    pub fn reject_unsent_jobs(&mut self, outage_ms: u64) {
        let unsent: Vec<JobKey> = self
            .unstored
            .keys()
            .filter(|key| !self.stores_in_flight.contains(key))
            .copied()
            .collect();
        for key in unsent {
            self.remove_unstored(key, outage_ms, &mut Vec::new());
        }
    }

    /// Removes a job that isn't stored, with its effects in a commit that was taken, and rejects its
    /// callers; returns the job.
    pub(super) fn remove_unstored(
        &mut self,
        key: JobKey,
        outage_ms: u64,
        in_commit: &mut Vec<Effect>,
    ) -> Option<Job> {
        // None of the job's start commands was sent: they wait for its record.
        for task in self.placed_tasks(key) {
            self.release(task, None);
        }
        let callers = self.unstored.remove(&key).unwrap_or_default();
        self.active.remove(&key);
        self.dirty.remove(&key);
        self.stores_in_flight.remove(&key);
        self.grants.drop_job(key);
        let job = self.jobs.remove(key)?;
        self.job_keys.remove(&job.id);
        let is_kept = |effect: &Effect| match effect {
            Effect::Reply(caller, _) => !callers.contains(caller),
            Effect::Log(Decision::JobAccepted { job: id, .. }) => *id != job.id,
            Effect::Start(run) => run.task.job != key,
            _ => true,
        };
        self.gated_effects.retain(is_kept);
        in_commit.retain(is_kept);
        let team = job.team.as_ref();
        self.team_table.count_rejected(team, RejectReason::NotReady);
        let retry_after_ms = retry_after_outage_ms(outage_ms, retry_seed(&job.id));
        self.ready_effects.push(Effect::Log(Decision::JobRejected {
            job: job.id.clone(),
            reason: RejectReason::NotReady,
            wait_ms: outage_ms,
            free_percent: self.free_percent(),
            share: None,
        }));
        self.reject_callers(callers, retry_after_ms);
        Some(job)
    }

    /// Replies to callers that their job is rejected.
    fn reject_callers(&mut self, callers: Vec<CallerId>, retry_after_ms: u64) {
        let reply = CallerReply::Rejected {
            retry_after_ms,
            reason: RejectReason::NotReady,
        };
        let replies = callers
            .into_iter()
            .map(|caller| Effect::Reply(caller, reply.clone()));
        self.ready_effects.extend(replies);
    }
}

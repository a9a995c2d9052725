//! Giving up on jobs that can't be stored.
//!
//! Answers outages of the store: a job whose record was never sent surely isn't stored, so that
//! its callers are told at once that it isn't accepted, rather than left without an answer.

use super::Shard;
use crate::admission::outage_retry_ms;
use crate::effect::{Answer, CallerTicket, Effect, Note, RejectReason};
use crate::job::JobKey;
use crate::shard::submit::seed_of;

impl Shard {
    /// Rejects the jobs whose records wait behind a store that hasn't answered for a while, in
    /// milliseconds.
    pub fn withdraw_waiting(&mut self, outage_ms: u64) {
        let waiting: Vec<JobKey> = self
            .undurable
            .keys()
            .filter(|key| !self.in_flight.contains(key))
            .copied()
            .collect();
        for key in waiting {
            self.withdraw(key, outage_ms);
        }
    }

    fn withdraw(&mut self, key: JobKey, outage_ms: u64) {
        // Nothing of the job was ordered: its starts wait for its record.
        for task in self.placed_tasks(key) {
            self.release(task, None);
        }
        let callers = self.undurable.remove(&key).unwrap_or_default();
        self.active.remove(&key);
        self.dirty.remove(&key);
        self.grants.forget_job(key);
        let Some(job) = self.jobs.remove(key) else {
            return;
        };
        self.ids.remove(&job.id);
        self.gated.retain(|effect| match effect {
            Effect::Answer(caller, _) => !callers.contains(caller),
            Effect::Note(Note::Accepted { job: id, .. }) => *id != job.id,
            Effect::Start(task) => task.job != key,
            _ => true,
        });
        let retry_after_ms = outage_retry_ms(outage_ms, seed_of(&job.id));
        self.ready.push(Effect::Note(Note::Rejected {
            job: job.id,
            reason: RejectReason::NotReady,
            wait_ms: outage_ms,
        }));
        self.reject_callers(callers, retry_after_ms);
    }

    fn reject_callers(&mut self, callers: Vec<CallerTicket>, retry_after_ms: u64) {
        let answer = Answer::Rejected {
            retry_after_ms,
            reason: RejectReason::NotReady,
        };
        let answers = callers
            .into_iter()
            .map(|caller| Effect::Answer(caller, answer.clone()));
        self.ready.extend(answers);
    }
}

//! Cancellation of jobs.

use cyclamentrail_core::{JobId, TeamName};

use super::Shard;
use crate::effect::{CallerId, CallerReply, Effect};

impl Shard {
    /// Cancels a job for a caller of `team` and stops its runs; a final job keeps its state.
    pub fn cancel(&mut self, caller: CallerId, id: &JobId, team: Option<&TeamName>) {
        if self.reply_if_held(caller, id) {
            return;
        }
        let Some(&key) = self.job_keys.get(id) else {
            self.ready_effects
                .push(Effect::Reply(caller, CallerReply::UnknownJob));
            return;
        };
        if self.denies_access(caller, key, team) {
            return;
        }
        let reply = Effect::Reply(caller, CallerReply::Cancelled);
        let job = &mut self.jobs[key];
        if job.state().is_final() {
            self.gated_effects.push(reply);
            return;
        }
        job.is_cancelled = true;
        self.dirty.insert(key);
        self.gated_effects.push(reply);
        self.stop_job_runs(key);
    }
}

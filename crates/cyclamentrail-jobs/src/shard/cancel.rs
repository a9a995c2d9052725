//! Cancelling jobs.

use cyclamentrail_core::JobId;

use super::Shard;
use crate::effect::{Answer, CallerTicket, Effect};

impl Shard {
    /// Cancels a job; a job that is final stays as it is.
    pub fn cancel(&mut self, caller: CallerTicket, id: &JobId) {
        let Some(&key) = self.ids.get(id) else {
            self.ready.push(Effect::Answer(caller, Answer::Unknown));
            return;
        };
        let answer = Effect::Answer(caller, Answer::Cancelled);
        let job = &mut self.jobs[key];
        if job.state().is_final() {
            self.gated.push(answer);
            return;
        }
        job.is_cancelled = true;
        self.dirty.insert(key);
        self.gated.push(answer);
        self.stop_all(key);
    }
}

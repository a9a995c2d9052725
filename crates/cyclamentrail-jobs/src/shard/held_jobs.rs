//! Jobs of which a record can't be read.
//!
//! What such a record told isn't known: which tasks were done, or what the job is. The job is held by
//! itself, so that none of its tasks is started again, nobody is told that it is unknown, and its id
//! makes no second job. Its records are left as they are: an owner of another version may read them.

use std::collections::BTreeSet;

use cyclamentrail_core::JobId;

use super::Shard;
use crate::effect::{CallerId, CallerReply, Decision, Effect};

/// Ids of the jobs that are held.
#[derive(Debug, Default)]
pub(super) struct HeldJobs {
    ids: BTreeSet<JobId>,
}

impl Shard {
    /// Holds a job because of the record with a key.
    pub(super) fn hold_job(&mut self, id: JobId, key: String) {
        let decision = Decision::JobHeld {
            job: id.clone(),
            key,
        };
        self.ready_effects.push(Effect::Log(decision));
        self.held_jobs.ids.insert(id);
    }

    /// Returns whether a job is held.
    #[must_use]
    pub fn is_held(&self, id: &JobId) -> bool {
        self.held_jobs.ids.contains(id)
    }

    /// Replies to a request about a held job; returns whether the job is held.
    pub(super) fn reply_if_held(&mut self, caller: CallerId, id: &JobId) -> bool {
        let is_held = self.is_held(id);
        if is_held {
            let reply = Effect::Reply(caller, CallerReply::Held);
            self.ready_effects.push(reply);
        }
        is_held
    }
}

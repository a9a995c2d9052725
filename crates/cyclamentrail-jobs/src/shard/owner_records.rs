//! Records that the owner keeps in the shard's topic beside those of the shard.

use super::{Commit, Shard};
use crate::KeyedRecord;
use crate::effect::{CallerId, CallerReply, Effect};

/// Records of the owner that aren't durable yet.
#[derive(Debug, Default)]
pub(super) struct OwnerRecords {
    waiting: Vec<KeyedRecord>,
    /// Number of records in commits that aren't durable yet.
    in_flight: usize,
}

impl OwnerRecords {
    /// Returns whether a commit has to take records.
    pub(super) const fn needs_commit(&self) -> bool {
        !self.waiting.is_empty()
    }

    /// Moves the records into a commit, before those of jobs.
    pub(super) fn take_into(&mut self, commit: &mut Commit) {
        commit.owner_records = self.waiting.len();
        self.in_flight += self.waiting.len();
        commit.records.append(&mut self.waiting);
    }

    /// Handles that a commit with a number of the records is durable.
    pub(super) const fn finish(&mut self, count: usize) {
        self.in_flight = self.in_flight.saturating_sub(count);
    }
}

impl Shard {
    /// Stores a record of the owner with the next commit, before the jobs that are accepted from now on.
    pub fn store(&mut self, record: KeyedRecord) {
        self.owner_records.waiting.push(record);
    }

    /// Stores a record of the owner, and sends a reply once it is durable.
    pub fn store_for(&mut self, record: KeyedRecord, caller: CallerId, reply: CallerReply) {
        self.store(record);
        self.gated_effects.push(Effect::Reply(caller, reply));
    }

    /// Returns whether all records of the owner are durable.
    #[must_use]
    pub const fn has_stored_all(&self) -> bool {
        self.owner_records.waiting.is_empty() && self.owner_records.in_flight == 0
    }
}

//! Changes of owners, and the records that they leave in the store.

use cyclamentrail_jobs::{Commit, KeyedRecord, LEASE_PREFIX, OwnerTokens, Shard};

use super::Simulation;

impl Simulation {
    /// Replaces the owner by one that knows only the records and the registered workers.
    pub fn take_over(&mut self, predecessor_active_ms: u64) {
        let unreadable = self.take_over_unreadable(predecessor_active_ms);
        assert_eq!(unreadable, 0);
    }

    /// Does the same where records may be unreadable; returns how many are.
    pub fn take_over_unreadable(&mut self, predecessor_active_ms: u64) -> usize {
        self.shard = self.new_shard();
        self.token += 1;
        self.pending_commit = None;
        self.is_owner_active = true;
        let records = self.stored_records();
        self.shard
            .restore(self.now(), records, predecessor_active_ms)
    }

    /// Extends the lease of a worker as an earlier owner does that still acts, and reaches the worker.
    pub fn extend_as_earlier(&mut self, id: &str) {
        let (now_ms, lease_ms) = (self.now_ms, self.timing.lease_ms);
        let worker = self.worker(id);
        worker.lease_end_ms = worker.clock_ms(now_ms) + lease_ms;
    }

    /// Returns the shard of the next owner, which has read no records yet.
    pub fn new_shard(&self) -> Shard {
        let mut shard = Shard::new(self.timing).tokens(OwnerTokens {
            own: self.token + 1,
            previous: Some(self.token),
        });
        shard.set_routes(self.routes.clone());
        for worker in self.workers.values().filter(|worker| worker.is_alive) {
            let mut registration = worker.registration.clone();
            registration.clock_ms = worker.clock_ms(self.now_ms);
            shard.register(self.now(), registration);
        }
        shard
    }

    /// Returns the stored records.
    pub fn stored_records(&self) -> Vec<KeyedRecord> {
        let stored = self.records.iter().map(|(key, value)| KeyedRecord {
            key: key.clone(),
            value: value.clone(),
        });
        stored.collect()
    }

    /// Makes the owner give the shard up in order, which stores its last commit, and replaces it.
    pub fn hand_over(&mut self) {
        let unfinished = self.pending_commit.take();
        let last = self.shard.take_last_commit(self.now());
        for commit in unfinished.iter().chain([&last]) {
            self.store_records(commit);
        }
        let release = self.shard.release_record(self.now());
        self.store_record(&release);
        self.take_over(0);
    }

    /// Makes the owner give the shard up on request of its successor, whose fence keeps the last commit
    /// from being stored, and replaces it.
    pub fn hand_over_fenced(&mut self) {
        let earlier_acts_ms = self.shard.earlier_acts_ms(self.now());
        self.take_over(earlier_acts_ms);
    }

    /// Replaces the owner while it stores a commit, of which only the first `count` records are stored;
    /// returns whether it was storing one.
    pub fn kill_amid_commit(&mut self, count: usize) -> bool {
        let Some(commit) = self.pending_commit.take() else {
            return false;
        };
        for record in commit.records.iter().take(count) {
            self.store_record(record);
        }
        self.take_over(0);
        true
    }

    /// Stores a commit's records, unless its owner was replaced.
    pub(super) fn finish_append(&mut self, token: u64) {
        if token != self.token {
            return;
        }
        let Some(mut commit) = self.pending_commit.take() else {
            return;
        };
        let mut refused = Vec::new();
        for record in &commit.records {
            if self.refused_keys.contains(&record.key) {
                refused.push(record.key.clone());
            } else {
                self.store_record(record);
            }
        }
        self.shard.refuse_records(&mut commit, &refused);
        let effects = self.shard.finish_commit(commit);
        self.apply_effects(effects);
    }

    fn store_records(&mut self, commit: &Commit) {
        for record in &commit.records {
            self.store_record(record);
        }
    }

    fn store_record(&mut self, record: &KeyedRecord) {
        let bytes = record.key.len() + record.value.len();
        self.longest_record_bytes = self.longest_record_bytes.max(bytes);
        self.stored_bytes += bytes;
        if record.key.starts_with(LEASE_PREFIX) {
            self.lease_records.0 += 1;
            self.lease_records.1 += bytes;
        }
        if record.value.is_empty() {
            self.records.remove(&record.key);
        } else {
            self.records
                .insert(record.key.clone(), record.value.clone());
        }
    }
}

//! Records of workers that don't respond and get no leases meanwhile, for the owners that follow.
//!
//! An owner that can't reach a worker can't end the worker's lease; it waits until the lease is over.
//! A record tells the next owner how much of that wait is left. It holds only as long as nobody grants
//! the worker another lease, so that no lease is granted from when the record is taken into a commit
//! until its deletion is durable. An earlier owner that still acts can't delete it: its appends are
//! fenced. Only a record of the previous owner counts: one of an owner before it stands beside grants if
//! the previous owner is of a version that knows no such records.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use cyclamentrail_core::WorkerId;

use super::{Commit, Now, Shard};
use crate::effect::{Decision, Effect, LeaseSource};
use crate::record::{KeyedRecord, LEASE_PREFIX, WorkerLeaseRecord, encode};
use crate::worker::{Reachability, Worker, WorkerKey};

/// Age from which a record is written again, in milliseconds: a killed owner takes at most that much
/// of the elapsed wait with it.
const REFRESH_MS: u64 = 1_000;

/// Workers for which a commit has lease records.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum LeaseRecordScope {
    /// Workers with runs that don't respond, as far as their records are old.
    Unreachable,
    /// Workers with runs that don't respond, that haven't responded to this owner yet, or whose leases may
    /// last longer than a grant: what the owner that follows has to know.
    LastCommit,
}

/// State of a record that the store may hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LeaseRecordState {
    /// The record was taken into a commit at a time on the owner's boot clock in milliseconds, or is
    /// an earlier owner's.
    Written { taken_ms: u64 },
    /// The deletion is part of a commit that isn't durable yet.
    Deleting,
}

/// Lease records that the store may hold.
#[derive(Debug, Default)]
pub(super) struct LeaseRecords {
    states: BTreeMap<WorkerId, LeaseRecordState>,
    /// Whether a record has to be written or deleted.
    are_due: bool,
}

impl LeaseRecords {
    /// Returns whether a record has to be written or deleted.
    pub(super) const fn are_due(&self) -> bool {
        self.are_due
    }

    /// Returns whether leases may be granted to a worker.
    pub(super) fn may_grant(&self, worker: &WorkerId) -> bool {
        !self.states.contains_key(worker)
    }

    /// Handles that a commit with the deletion of a worker's record is durable.
    pub(super) fn finish_deletion(&mut self, worker: &WorkerId) {
        if self.states.get(worker) == Some(&LeaseRecordState::Deleting) {
            self.states.remove(worker);
        }
    }

    /// Keeps in mind that the store holds a record of an earlier owner.
    pub(super) fn insert_found(&mut self, worker: WorkerId) {
        let state = LeaseRecordState::Written { taken_ms: 0 };
        self.states.insert(worker, state);
        self.are_due = true;
    }

    /// Returns whether a worker's record is missing or old.
    fn needs_write(&self, worker: &WorkerId, now: Now) -> bool {
        match self.states.get(worker) {
            Some(LeaseRecordState::Written { taken_ms }) => now.boot_ms >= taken_ms + REFRESH_MS,
            Some(LeaseRecordState::Deleting) | None => true,
        }
    }
}

impl Shard {
    /// Determines whether a commit has to write or delete lease records.
    pub(super) fn note_due_lease_records(&mut self, now: Now) {
        let records = &self.lease_records;
        let needs_write = |worker: &Worker| {
            needs_record(worker) && records.needs_write(&worker.registration.id, now)
        };
        let needs_deletion = |(id, state): (&WorkerId, &LeaseRecordState)| {
            *state != LeaseRecordState::Deleting && !self.keeps_lease_record(id)
        };
        let are_due =
            records.states.iter().any(needs_deletion) || self.workers.values().any(needs_write);
        self.lease_records.are_due = are_due;
    }

    /// Adds the lease records that are due to a commit, and deletes those whose workers respond or
    /// have no runs any more.
    pub(super) fn record_leases(&mut self, now: Now, scope: LeaseRecordScope, commit: &mut Commit) {
        self.lease_records.are_due = false;
        let keys: Vec<WorkerKey> = self
            .workers
            .iter()
            .filter(|(_, worker)| self.is_in_scope(now, worker, scope))
            .map(|(key, _)| key)
            .collect();
        let kept: BTreeSet<WorkerId> = keys
            .iter()
            .map(|&key| self.workers[key].registration.id.clone())
            .collect();
        for (worker, state) in &mut self.lease_records.states {
            if !kept.contains(worker) {
                *state = LeaseRecordState::Deleting;
                commit.records.push(lease_record(worker, Vec::new()));
                commit.reopened_workers.push(worker.clone());
            }
        }
        for key in keys {
            let id = &self.workers[key].registration.id;
            let is_last = scope == LeaseRecordScope::LastCommit;
            if is_last || self.lease_records.needs_write(id, now) {
                self.write_lease_record(now, key, commit);
            }
        }
    }

    /// Adds the record of a worker to a commit.
    fn write_lease_record(&mut self, now: Now, key: WorkerKey, commit: &mut Commit) {
        let worker = &self.workers[key];
        let id = worker.registration.id.clone();
        let remaining_ms = self
            .longest_expiry_ms(now, worker)
            .saturating_sub(now.boot_ms);
        let record = WorkerLeaseRecord {
            token: self.tokens.own,
            started_ms: worker.registration.started_ms,
            remaining_ms,
        };
        commit.records.push(lease_record(&id, encode(&record)));
        let state = LeaseRecordState::Written {
            taken_ms: now.boot_ms,
        };
        let earlier = self.lease_records.states.insert(id.clone(), state);
        if earlier.is_none() {
            commit.effects.push(Effect::Log(Decision::LeaseClosed {
                worker: id,
                runs: worker.tasks.len(),
                remaining_ms,
            }));
        }
    }

    /// Returns whether a commit has a record of a worker.
    fn is_in_scope(&self, now: Now, worker: &Worker, scope: LeaseRecordScope) -> bool {
        match scope {
            LeaseRecordScope::Unreachable => needs_record(worker),
            LeaseRecordScope::LastCommit => {
                let longest_ms = now.boot_ms + self.timing.longest_lease_ms();
                let may_outlast_grant = self.longest_expiry_ms(now, worker) > longest_ms;
                let is_unknown = !worker.is_in_contact() || may_outlast_grant;
                is_unknown && !worker.tasks.is_empty()
            }
        }
    }

    /// Returns whether the record of a worker still serves a successor.
    fn keeps_lease_record(&self, id: &WorkerId) -> bool {
        self.worker(id).is_some_and(needs_record)
    }

    /// Restores the leases that earlier owners may have granted: by the records of their workers, and
    /// until `bound_ms` on the owner's boot clock for workers without one.
    pub(super) fn restore_leases(
        &mut self,
        now: Now,
        records: &HashMap<WorkerId, WorkerLeaseRecord>,
        bound_ms: u64,
    ) {
        for worker in self.workers.values_mut() {
            let id = &worker.registration.id;
            let record = records
                .get(id)
                .filter(|record| record.started_ms >= worker.registration.started_ms)
                .filter(|_| !worker.tasks.is_empty());
            let mut inherits = worker.reachability != Reachability::Reachable;
            let mut source = LeaseSource::Bound;
            let mut expiry_ms = bound_ms;
            if let Some(record) = record {
                inherits = true;
                source = LeaseSource::Record;
                expiry_ms = now.boot_ms.saturating_add(record.remaining_ms);
                // What the record says covers calls to earlier incarnations.
                worker.lease.set_crossed_expiry(0);
                worker.reachability = Reachability::Unreachable {
                    since_ms: now.boot_ms,
                };
            }
            worker.lease.inherit(expiry_ms);
            if inherits {
                let inherited = Decision::LeaseInherited {
                    worker: id.clone(),
                    remaining_ms: expiry_ms.saturating_sub(now.boot_ms),
                    source,
                };
                self.ready_effects.push(Effect::Log(inherited));
            }
        }
    }
}

/// Returns whether a worker needs a record while it has an owner: it has runs and doesn't respond.
fn needs_record(worker: &Worker) -> bool {
    worker.reachability != Reachability::Reachable && !worker.tasks.is_empty()
}

/// Returns the lease record of a worker; an empty value deletes it.
fn lease_record(worker: &WorkerId, value: Vec<u8>) -> KeyedRecord {
    KeyedRecord {
        key: format!("{LEASE_PREFIX}{worker}"),
        value,
    }
}

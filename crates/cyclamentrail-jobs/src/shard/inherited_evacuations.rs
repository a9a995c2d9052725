//! Evacuations that an owner hands on, so that the grace of the runs on their workers goes on under its
//! successor.
//!
//! An owner that gives up its shard writes one record about them all. The holder of the machine duties
//! repeats its request in each round; the successor takes the time over at its first request for a worker.
//! The time without an owner isn't counted.

use std::cmp::Reverse;
use std::collections::HashMap;

use cyclamentrail_core::WorkerId;

use super::{Commit, Now, Shard};
use crate::record::{
    EVACUATIONS_KEY, EvacuationRecord, EvacuationsRecord, KeyedRecord, decode, encode,
};
use crate::worker::Worker;

/// Time after a release by which the request to evacuate a worker has to be repeated, in milliseconds; a
/// later one begins another evacuation. An owner ends those that aren't repeated for as long.
const REPEATED_AFTER_MS: u64 = 6_000;
/// Largest length of the record in bytes; the evacuations that began first come first.
const MAX_RECORD_BYTES: usize = 16_384;
/// Largest length of an evacuation in the record beside the worker's id, in bytes.
const EVACUATION_BYTES: usize = 36;

/// Evacuations under earlier owners that nobody has requested from this one yet.
#[derive(Debug, Default)]
pub(super) struct InheritedEvacuations {
    /// By worker and start time of its incarnation, as Unix time in milliseconds.
    by_incarnation: HashMap<(WorkerId, u64), InheritedEvacuation>,
}

/// An evacuation under an earlier owner.
#[derive(Debug, Clone, Copy)]
struct InheritedEvacuation {
    /// Start of the evacuation, as in [`Now::boot_ms`].
    since_ms: u64,
    /// Time until which a request continues it, as in [`Now::boot_ms`].
    until_ms: u64,
}

impl InheritedEvacuations {
    /// Returns the evacuations that a record of the previous owner tells of.
    pub(super) fn new(now: Now, records: Vec<EvacuationRecord>) -> Self {
        let by_incarnation = records.into_iter().map(|record| {
            let evacuation = InheritedEvacuation {
                since_ms: now.boot_ms.saturating_sub(record.elapsed_ms),
                until_ms: now.boot_ms.saturating_add(record.repeated_within_ms),
            };
            ((record.worker, record.started_ms), evacuation)
        });
        Self {
            by_incarnation: by_incarnation.collect(),
        }
    }

    /// Returns when the evacuation of a worker began that is requested now.
    pub(super) fn take_start(&mut self, now: Now, worker: &WorkerId, started_ms: u64) -> u64 {
        self.by_incarnation
            .remove(&(worker.clone(), started_ms))
            .filter(|evacuation| evacuation.may_continue(now))
            .map_or(now.boot_ms, |evacuation| evacuation.since_ms)
    }
}

impl InheritedEvacuation {
    /// Returns whether a request continues the evacuation.
    const fn may_continue(&self, now: Now) -> bool {
        now.boot_ms <= self.until_ms
    }
}

impl Shard {
    /// Reads the record of the evacuations; returns whether it is readable. Only one of the previous owner
    /// counts. The next commit deletes it.
    pub(super) fn read_evacuations(&mut self, now: Now, value: &[u8]) -> bool {
        if value.is_empty() {
            return true;
        }
        self.obsolete_keys.push(EVACUATIONS_KEY.to_owned());
        let Ok(record) = decode::<EvacuationsRecord>(value) else {
            return false;
        };
        if self.tokens.previous == Some(record.token) {
            self.inherited_evacuations = InheritedEvacuations::new(now, record.workers);
        }
        true
    }

    /// Adds the record of the evacuations to the last commit, if there are any of workers with runs.
    pub(super) fn record_evacuations(&self, now: Now, commit: &mut Commit) {
        let mut workers: Vec<EvacuationRecord> = self
            .workers
            .values()
            .filter(|worker| !worker.tasks.is_empty())
            .filter_map(|worker| self.evacuation_record(now, worker))
            .collect();
        if workers.is_empty() {
            return;
        }
        workers.sort_by_key(|evacuation| Reverse(evacuation.elapsed_ms));
        let mut bytes = EVACUATION_BYTES;
        let fits = |evacuation: &&EvacuationRecord| {
            bytes += evacuation.worker.as_str().len() + EVACUATION_BYTES;
            bytes <= MAX_RECORD_BYTES
        };
        let count = workers.iter().take_while(fits).count();
        workers.truncate(count);
        let record = EvacuationsRecord {
            token: self.tokens.own,
            workers,
        };
        commit.records.push(KeyedRecord {
            key: EVACUATIONS_KEY.to_owned(),
            value: encode(&record),
        });
    }

    /// Returns the record of a worker that is being evacuated, or that an earlier owner was evacuating
    /// as long as a request may still continue that.
    fn evacuation_record(&self, now: Now, worker: &Worker) -> Option<EvacuationRecord> {
        let registration = &worker.registration;
        let (since_ms, until_ms) = if let Some(since_ms) = worker.evacuating_since_ms {
            (since_ms, now.boot_ms + REPEATED_AFTER_MS)
        } else {
            let inherited = &self.inherited_evacuations.by_incarnation;
            let evacuation = inherited
                .get(&(registration.id.clone(), registration.started_ms))
                .filter(|evacuation| evacuation.may_continue(now))?;
            (evacuation.since_ms, evacuation.until_ms)
        };
        Some(EvacuationRecord {
            worker: registration.id.clone(),
            started_ms: registration.started_ms,
            elapsed_ms: now.boot_ms.saturating_sub(since_ms),
            repeated_within_ms: until_ms.saturating_sub(now.boot_ms),
        })
    }
}

//! Index of workers' unused capacity that tells whether any worker has room for a demand.
//!
//! Answers passes over thousands of waiting tasks with as many distinct demands: an answer takes a binary
//! search for each number of accelerators that workers have, in place of a look at each worker.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use slotmap::SecondaryMap;

use crate::Resources;
use crate::worker::WorkerKey;

/// Unused capacity of workers.
///
/// ```
/// use cyclamentrail_jobs::{Resources, RoomIndex, WorkerKey};
/// use slotmap::SlotMap;
///
/// let mut workers: SlotMap<WorkerKey, Resources> = SlotMap::with_key();
/// let worker = workers.insert(Resources::new(2_000, 1_024, 0));
/// let mut index = RoomIndex::new(workers);
/// assert!(index.fits(&Resources::new(1_800, 512, 0)));
/// assert!(!index.fits(&Resources::new(1_800, 2_048, 0)));
/// index.update(worker, Resources::new(200, 512, 0));
/// assert!(!index.fits(&Resources::new(1_800, 512, 0)));
/// ```
#[derive(Debug, Clone, Default)]
pub struct RoomIndex {
    room: SecondaryMap<WorkerKey, Resources>,
    /// Workers by their number of unused accelerators.
    levels: BTreeMap<u64, Level>,
}

/// Workers with the same number of unused accelerators.
#[derive(Debug, Clone, Default)]
struct Level {
    /// Workers with their unused capacities; those with the most processors come first.
    workers: Vec<(WorkerKey, Resources)>,
    /// Largest unused memory among each of `workers` and those before it, in mebibytes.
    largest_memory_mib: Vec<u64>,
}

impl Level {
    fn insert(&mut self, worker: WorkerKey, free: Resources) {
        let index = self.with_processors(free.cpu_milli).len();
        self.workers.insert(index, (worker, free));
        self.count_memory(index);
    }

    fn remove(&mut self, worker: WorkerKey) {
        let index = self.workers.iter().position(|(key, _)| *key == worker);
        if let Some(index) = index {
            self.workers.remove(index);
            self.count_memory(index);
        }
    }

    fn fits(&self, demand: &Resources) -> bool {
        let last = self.with_processors(demand.cpu_milli).len().checked_sub(1);
        last.is_some_and(|last| self.largest_memory_mib[last] >= demand.memory_mib)
    }

    /// Returns the workers that have as many processors at least, in thousandths of a core.
    fn with_processors(&self, cpu_milli: u64) -> &[(WorkerKey, Resources)] {
        let has_as_many = |(_, free): &(WorkerKey, Resources)| free.cpu_milli >= cpu_milli;
        &self.workers[..self.workers.partition_point(has_as_many)]
    }

    /// Counts the largest memory anew from an index on.
    fn count_memory(&mut self, from: usize) {
        self.largest_memory_mib.truncate(from);
        let mut largest_mib = self.largest_memory_mib.last().copied().unwrap_or(0);
        for (_, free) in &self.workers[from..] {
            largest_mib = largest_mib.max(free.memory_mib);
            self.largest_memory_mib.push(largest_mib);
        }
    }
}

impl RoomIndex {
    /// Creates an index of workers with their unused capacities.
    #[must_use]
    pub fn new(workers: impl IntoIterator<Item = (WorkerKey, Resources)>) -> Self {
        let room: SecondaryMap<WorkerKey, Resources> = workers.into_iter().collect();
        let mut levels: BTreeMap<u64, Level> = BTreeMap::new();
        for (worker, free) in &room {
            let level = levels.entry(free.gpus).or_default();
            level.workers.push((worker, *free));
        }
        for level in levels.values_mut() {
            level
                .workers
                .sort_unstable_by_key(|(_, free)| Reverse(free.cpu_milli));
            level.count_memory(0);
        }
        Self { room, levels }
    }

    /// Returns whether a worker has room for a demand.
    #[must_use]
    pub fn fits(&self, demand: &Resources) -> bool {
        let mut levels = self.levels.range(demand.gpus..);
        levels.any(|(_, level)| level.fits(demand))
    }

    /// Returns the workers whose processors and accelerators have room for a demand, with their unused
    /// capacities; those with the most processors come first among those with equal accelerators.
    pub(crate) fn nearly_fitting(
        &self,
        demand: &Resources,
    ) -> impl Iterator<Item = (WorkerKey, Resources)> {
        let levels = self.levels.range(demand.gpus..);
        let cpu_milli = demand.cpu_milli;
        levels.flat_map(move |(_, level)| level.with_processors(cpu_milli).iter().copied())
    }

    /// Sets the unused capacity of a worker; one that isn't part of the index stays out of it.
    pub fn update(&mut self, worker: WorkerKey, free: Resources) {
        let Some(known) = self.room.get_mut(worker) else {
            return;
        };
        let before = std::mem::replace(known, free);
        if let Some(level) = self.levels.get_mut(&before.gpus) {
            level.remove(worker);
        }
        let level = self.levels.entry(free.gpus).or_default();
        level.insert(worker, free);
    }

    /// Returns the unused capacity of each worker.
    #[must_use]
    pub const fn workers(&self) -> &SecondaryMap<WorkerKey, Resources> {
        &self.room
    }
}

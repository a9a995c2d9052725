//! Tests of the index of workers' unused capacity.

use cyclamentrail_jobs::{Resources, RoomIndex, WorkerKey};
use proptest::prelude::*;
use slotmap::SlotMap;

fn any_amount() -> impl Strategy<Value = Resources> {
    (0_u64..6, 0_u64..6, 0_u64..3).prop_map(|(cpu, memory, gpus)| Resources::new(cpu, memory, gpus))
}

/// A change of a worker's room, by the worker's index.
fn any_change() -> impl Strategy<Value = (usize, Resources)> {
    (0_usize..12, any_amount())
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// The index answers as a look at each worker does, whatever has changed since it was built.
    #[test]
    fn fits_as_scanned(
        rooms in proptest::collection::vec(any_amount(), 0..12),
        changes in proptest::collection::vec(any_change(), 0..20),
        demands in proptest::collection::vec(any_amount(), 1..10),
    ) {
        let mut workers: SlotMap<WorkerKey, Resources> = SlotMap::with_key();
        let keys: Vec<WorkerKey> = rooms.into_iter().map(|room| workers.insert(room)).collect();
        let mut index = RoomIndex::new(workers.iter().map(|(key, room)| (key, *room)));
        for (worker, room) in changes {
            if let Some(&key) = keys.get(worker) {
                workers[key] = room;
                index.update(key, room);
            }
        }
        for demand in demands {
            let is_scanned = workers.values().any(|room| room.contains(&demand));
            prop_assert_eq!(index.fits(&demand), is_scanned);
        }
    }
}

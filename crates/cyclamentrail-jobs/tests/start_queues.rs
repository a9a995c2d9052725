//! Tests of the queues in which start commands wait for those in flight.

use std::collections::{BTreeMap, BTreeSet};

use cyclamentrail_jobs::{JobKey, PlacedRun, StartQueues, TaskKey, WorkerKey};
use proptest::prelude::*;
use slotmap::KeyData;

/// Most start commands in flight to one worker.
const MAX_IN_FLIGHT: usize = 3;
const WORKERS: u64 = 3;

fn worker(number: u64) -> WorkerKey {
    WorkerKey::from(KeyData::from_ffi(number + 1))
}

fn run(worker_number: u64, index: u32, run: u32) -> PlacedRun {
    PlacedRun {
        worker: worker(worker_number),
        task: TaskKey {
            job: JobKey::default(),
            occurrence: 0,
            step: 0,
            index,
        },
        run,
    }
}

/// Guards against a worker that is sent no start any more: a start that waited for it was counted there
/// and finished at the worker on which its task was placed meanwhile.
#[test]
fn start_elsewhere_frees_worker() {
    let mut queues = StartQueues::default();
    for index in 0..6 {
        queues.push(run(0, index, 1));
    }
    // The tasks are placed on another worker while the starts wait, and run there.
    for index in 0..6 {
        queues.push(run(1, index, 2));
    }
    for number in [0, 1] {
        while let Some(popped) = queues.pop(worker(number)) {
            assert_eq!(popped.worker, worker(number));
            queues.finish(popped);
        }
    }
    assert!(queues.is_empty());
    queues.push(run(0, 7, 1));
    assert_eq!(queues.pop(worker(0)), Some(run(0, 7, 1)));
}

/// An outcome of another run, or a repeated one, ends nothing.
#[test]
fn only_own_outcome_counts() {
    let mut queues = StartQueues::default();
    for index in 0..4 {
        queues.push(run(0, index, 1));
    }
    let sent: Vec<PlacedRun> = (0..3).filter_map(|_| queues.pop(worker(0))).collect();
    for other in [run(0, 0, 2), run(1, 0, 1), run(0, 9, 1), run(0, 3, 1)] {
        queues.finish(other);
        assert_eq!(queues.pop(worker(0)), None);
    }
    queues.finish(sent[0]);
    assert_eq!(queues.pop(worker(0)), Some(run(0, 3, 1)));
    queues.finish(sent[0]);
    assert_eq!(queues.pop(worker(0)), None);
}

/// Something that happens to the queues.
#[derive(Debug, Clone, Copy)]
enum Event {
    Push(PlacedRun),
    Pop(u64),
    /// The outcome of a run, whether or not it is in flight.
    Finish(PlacedRun),
}

fn any_event() -> impl Strategy<Value = Event> {
    let any_run = || (0..WORKERS, 0..5_u32, 1..4_u32).prop_map(|(on, index, n)| run(on, index, n));
    prop_oneof![
        any_run().prop_map(Event::Push),
        (0..WORKERS).prop_map(Event::Pop),
        any_run().prop_map(Event::Finish),
    ]
}

proptest! {
    /// Whatever comes in whatever order: at most as many starts are in flight to a worker as are
    /// allowed, one that waits is sent once there is room, and after all outcomes nothing is counted.
    #[test]
    fn counts_end_at_zero(events in proptest::collection::vec(any_event(), 0..200)) {
        let mut queues = StartQueues::default();
        let mut in_flight: BTreeMap<WorkerKey, BTreeSet<PlacedRun>> = BTreeMap::new();
        for event in events {
            match event {
                Event::Push(run) => queues.push(run),
                Event::Pop(number) => {
                    if let Some(run) = queues.pop(worker(number)) {
                        prop_assert_eq!(run.worker, worker(number));
                        let sent = in_flight.entry(run.worker).or_default();
                        prop_assert!(sent.insert(run));
                        prop_assert!(sent.len() <= MAX_IN_FLIGHT);
                    }
                }
                Event::Finish(run) => {
                    queues.finish(run);
                    in_flight.entry(run.worker).or_default().remove(&run);
                }
            }
        }
        for number in 0..WORKERS {
            let key = worker(number);
            for run in in_flight.remove(&key).unwrap_or_default() {
                queues.finish(run);
            }
            while let Some(run) = queues.pop(key) {
                queues.finish(run);
            }
        }
        prop_assert!(queues.is_empty());
    }
}

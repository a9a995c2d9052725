//! Spreading of workers over relays.

use std::collections::HashMap;
use std::net::SocketAddr;

use cyclamentrail_core::{WorkerId, ZoneName};
use cyclamentrail_jobs::{MIN_RELAYED_WORKERS, Relay, RelaySpread, RelayedWorker, spread_workers};
use rstest::rstest;

const ZONES: [&str; 3] = ["a", "b", "c"];

fn relays(count: u16) -> Vec<Relay> {
    let relay = |index: u16| Relay {
        zone: ZoneName::from(ZONES[usize::from(index) % ZONES.len()]),
        address: SocketAddr::from(([10, 0, 0, 1], 7_000 + index)),
    };
    (0..count).map(relay).collect()
}

fn workers(count: usize) -> Vec<RelayedWorker> {
    let worker = |index: usize| RelayedWorker {
        id: WorkerId::from(format!("w{index}").as_str()),
        zone: ZoneName::from(ZONES[index % ZONES.len()]),
    };
    (0..count).map(worker).collect()
}

fn counts(spread: &RelaySpread, workers: &[RelayedWorker]) -> HashMap<SocketAddr, usize> {
    let mut counts = HashMap::new();
    for relay in workers
        .iter()
        .filter_map(|worker| spread.relay_of(&worker.id))
    {
        *counts.entry(relay).or_default() += 1;
    }
    counts
}

/// In a queue's turn all workers are busy at once: no relay may have more than its share.
#[rstest]
#[case(60, 6)]
#[case(243, 24)]
#[case(1_000, 24)]
fn shares_even(#[case] worker_count: usize, #[case] relay_count: u16) {
    let workers = workers(worker_count);
    let spread = spread_workers("s", &workers, &relays(relay_count));
    let counts = counts(&spread, &workers);
    let total: usize = counts.values().sum();
    assert_eq!(total, worker_count, "each worker has a relay");
    let busiest = counts.values().max().copied().unwrap_or(0);
    let even_share = worker_count.div_ceil(counts.len());
    assert!(
        busiest <= even_share + ZONES.len(),
        "{busiest} of {even_share}"
    );
}

#[test]
fn few_workers_direct() {
    let spread = spread_workers("s", &workers(MIN_RELAYED_WORKERS - 1), &relays(6));
    assert!(spread.relays().is_empty());
    let spread = spread_workers("s", &workers(100), &[]);
    assert!(spread.relays().is_empty());
}

/// A batch crosses no zone between the relay and its workers while the zone has relays.
#[test]
fn zones_kept() {
    let workers = workers(120);
    let relays = relays(12);
    let spread = spread_workers("s", &workers, &relays);
    for worker in &workers {
        let address = spread.relay_of(&worker.id);
        let relay = relays.iter().find(|relay| Some(relay.address) == address);
        assert_eq!(relay.map(|relay| &relay.zone), Some(&worker.zone));
    }
    let only_a: Vec<Relay> = relays
        .into_iter()
        .filter(|relay| relay.zone.as_str() == "a")
        .collect();
    let spread = spread_workers("s", &workers, &only_a);
    assert!(
        workers
            .iter()
            .all(|worker| spread.relay_of(&worker.id).is_some())
    );
}

/// When one relay is lost, the workers of most others keep theirs.
#[test]
fn lost_relay_moves_few() {
    let workers = workers(1_000);
    let all = relays(12);
    let before = spread_workers("s", &workers, &all);
    let lost = before.relays().into_iter().next();
    let left: Vec<Relay> = all
        .into_iter()
        .filter(|relay| Some(relay.address) != lost)
        .collect();
    let after = spread_workers("s", &workers, &left);
    let has_moved = |worker: &&RelayedWorker| {
        let earlier = before.relay_of(&worker.id);
        earlier != lost && earlier != after.relay_of(&worker.id)
    };
    let moved = workers.iter().filter(has_moved).count();
    assert!(
        moved < workers.len() / 5,
        "{moved} workers moved without need"
    );
    assert!(
        workers
            .iter()
            .all(|worker| after.relay_of(&worker.id) != lost)
    );
}

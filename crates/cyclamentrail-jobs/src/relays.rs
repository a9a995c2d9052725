//! Spreads the workers of a shard over relays, which send the calls of the shard's owner.
//!
//! A worker goes to the first relay in its own order of preference that has fewer workers than its
//! even share. The order is a hash of both names, so that few workers change their relay when a
//! relay comes or goes. Hashing alone doesn't bound a relay's share. The limit follows `OpenShell`'s
//! pull request 5436, "spread shared supervisors evenly across gateway replicas".
//!
//! ```
//! use cyclamentrail_core::{WorkerId, ZoneName};
//! use cyclamentrail_jobs::{Relay, RelayedWorker, spread_workers};
//!
//! let relay = |port| Relay { zone: ZoneName::from("a"), address: ([127, 0, 0, 1], port).into() };
//! let workers: Vec<RelayedWorker> = (0..100)
//!     .map(|index| RelayedWorker {
//!         id: WorkerId::from(format!("w{index}").as_str()),
//!         zone: ZoneName::from("a"),
//!     })
//!     .collect();
//! let spread = spread_workers("service", &workers, &[relay(1), relay(2), relay(3), relay(4)]);
//! assert!(spread.relays().len() >= 2);
//! ```

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;

use cyclamentrail_core::{WorkerId, ZoneName};

/// Smallest number of workers for which an owner uses relays. With fewer, it sends the calls itself:
/// a batch would hold a single call, and the way over a relay takes longer.
pub const MIN_RELAYED_WORKERS: usize = 24;
/// Number of workers for which one more relay is used. Fewer relays make larger batches.
const WORKERS_PER_RELAY: usize = 32;

/// Process that sends calls for owners.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Relay {
    /// Availability zone of the process.
    pub zone: ZoneName,
    /// Address of its internal listener.
    pub address: SocketAddr,
}

/// Worker whose calls may be relayed.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct RelayedWorker {
    /// Id of the worker.
    pub id: WorkerId,
    /// Availability zone of the worker.
    pub zone: ZoneName,
}

/// Relay of each worker; workers without a relay are called by the owner itself.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RelaySpread {
    relay_of: HashMap<WorkerId, SocketAddr>,
}

impl RelaySpread {
    /// Returns the relay of a worker.
    #[must_use]
    pub fn relay_of(&self, worker: &WorkerId) -> Option<SocketAddr> {
        self.relay_of.get(worker).copied()
    }

    /// Returns the relays that have workers.
    #[must_use]
    pub fn relays(&self) -> BTreeSet<SocketAddr> {
        self.relay_of.values().copied().collect()
    }
}

/// Spreads the workers of a shard over some of the relays, zone by zone. Workers of a zone without
/// relays go to those of the whole region.
#[must_use]
pub fn spread_workers(shard: &str, workers: &[RelayedWorker], relays: &[Relay]) -> RelaySpread {
    let mut spread = RelaySpread::default();
    if workers.len() < MIN_RELAYED_WORKERS || relays.is_empty() {
        return spread;
    }
    let mut by_zone: BTreeMap<&ZoneName, BTreeSet<&RelayedWorker>> = BTreeMap::new();
    for worker in workers {
        by_zone.entry(&worker.zone).or_default().insert(worker);
    }
    for (zone, zone_workers) in by_zone {
        let mut candidates: Vec<&Relay> =
            relays.iter().filter(|relay| relay.zone == *zone).collect();
        if candidates.is_empty() {
            candidates = relays.iter().collect();
        }
        candidates.sort_by_key(|relay| preference(shard, relay));
        candidates.truncate(zone_workers.len().div_ceil(WORKERS_PER_RELAY));
        spread_zone(&zone_workers, &candidates, &mut spread);
    }
    spread
}

/// Spreads the workers of one zone evenly over its relays.
fn spread_zone(workers: &BTreeSet<&RelayedWorker>, relays: &[&Relay], spread: &mut RelaySpread) {
    let even_share = workers.len().div_ceil(relays.len());
    let mut counts: HashMap<SocketAddr, usize> = HashMap::new();
    for worker in workers {
        let below_share =
            |relay: &&&Relay| counts.get(&relay.address).copied().unwrap_or(0) < even_share;
        let relay = relays
            .iter()
            .filter(below_share)
            .min_by_key(|relay| preference(worker.id.as_str(), relay));
        if let Some(relay) = relay {
            *counts.entry(relay.address).or_default() += 1;
            spread.relay_of.insert(worker.id.clone(), relay.address);
        }
    }
}

/// Returns the place of a relay in the order of preference of a worker or shard; the lowest comes
/// first.
fn preference(name: &str, relay: &Relay) -> u64 {
    let mut hasher = DefaultHasher::new();
    name.hash(&mut hasher);
    relay.address.hash(&mut hasher);
    hasher.finish()
}

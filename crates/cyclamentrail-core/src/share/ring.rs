//! Fixed assignments of servers to entries.

use std::hash::{DefaultHasher, Hash, Hasher};

use crate::id::Incarnation;
use crate::name::InstanceName;

/// Points of each entry on the ring.
const POINTS: u32 = 16;

/// A bounded-load ring that gives each server one home entry.
///
/// A server's home is the first entry clockwise that is home to fewer than
/// ⌈servers ÷ entries⌉. The rule is that of pull request 5436, "spread shared supervisors evenly
/// across gateway replicas". The benches measure it; the process doesn't use it, see
/// `docs/design/requests.md`.
#[derive(Debug, Clone, Default)]
pub struct HomeRing {
    homes: Vec<Option<usize>>,
}

impl HomeRing {
    /// Creates the assignment of servers to the entries that are alive.
    #[must_use]
    pub fn new(servers: usize, entries: &[Incarnation]) -> Self {
        let mut points: Vec<(u64, usize)> = entries
            .iter()
            .enumerate()
            .flat_map(|(entry, incarnation)| {
                (0..POINTS).map(move |point| (hash_of(&(incarnation.get(), point)), entry))
            })
            .collect();
        points.sort_unstable();
        let cap = servers.div_ceil(entries.len().max(1));
        let mut counts = vec![0; entries.len()];
        let homes = (0..servers)
            .map(|server| {
                let from = points.partition_point(|(point, _)| *point < hash_of(&server));
                let home = (0..points.len())
                    .map(|step| points[(from + step) % points.len()].1)
                    .find(|&entry| counts[entry] < cap)?;
                counts[home] += 1;
                Some(home)
            })
            .collect();
        Self { homes }
    }

    /// Returns the index of the entry that is home to a server.
    #[must_use]
    pub fn home(&self, server: usize) -> Option<usize> {
        self.homes.get(server).copied().flatten()
    }
}

/// Returns how many of an instance's slots one member may be sure of, so that those of all
/// members together are just `slots`.
///
/// What can't be split evenly goes to different members at different instances.
#[must_use]
pub fn sure_slots(
    instance: &InstanceName,
    own: Incarnation,
    members: &[Incarnation],
    slots: u32,
) -> u32 {
    let Some(index) = members.iter().position(|&member| member == own) else {
        return 0;
    };
    let shared = u64::from(slots);
    let count = members.len() as u64;
    let turn = (hash_of(instance.as_str()) % count + index as u64) % count;
    let extra = u64::from(turn < shared % count);
    u32::try_from(shared / count + extra).unwrap_or(slots)
}

fn hash_of<T: Hash + ?Sized>(value: &T) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}

//! Assignments of servers and slots to entries that all entries compute alike.

use std::hash::{DefaultHasher, Hash, Hasher};

use crate::id::Incarnation;
use crate::name::InstanceName;

/// Points of each entry on the hash ring.
const POINTS_PER_ENTRY: u32 = 16;

/// Consistent hash ring with bounded loads that assigns each server one home entry.
///
/// The home of a server is the first entry clockwise that is home to fewer than
/// ⌈servers ÷ entries⌉ servers. This is the rule of pull request 5436, "spread shared supervisors
/// evenly across gateway replicas". The benches measure it; the process uses [`guaranteed_slots`]
/// instead, see `docs/design/requests.md`.
#[derive(Debug, Clone, Default)]
pub struct HomeRing {
    /// Index of the home entry by server.
    homes: Vec<Option<usize>>,
}

impl HomeRing {
    /// Assigns servers, numbered from 0, to the live entries.
    #[must_use]
    pub fn new(servers: usize, entries: &[Incarnation]) -> Self {
        let mut points: Vec<(u64, usize)> = entries
            .iter()
            .enumerate()
            .flat_map(|(entry, incarnation)| {
                (0..POINTS_PER_ENTRY)
                    .map(move |point| (hash_of(&(incarnation.get(), point)), entry))
            })
            .collect();
        points.sort_unstable();
        let max_per_entry = servers.div_ceil(entries.len().max(1));
        let mut counts = vec![0; entries.len()];
        let homes = (0..servers)
            .map(|server| {
                let start = points.partition_point(|(point, _)| *point < hash_of(&server));
                let home = (0..points.len())
                    .map(|step| points[(start + step) % points.len()].1)
                    .find(|&entry| counts[entry] < max_per_entry)?;
                counts[home] += 1;
                Some(home)
            })
            .collect();
        Self { homes }
    }

    /// Returns the index of the home entry of a server; `None` without entries or for an unknown
    /// server.
    #[must_use]
    pub fn home(&self, server: usize) -> Option<usize> {
        self.homes.get(server).copied().flatten()
    }
}

/// Returns how many of an instance's slots are guaranteed to one member; the numbers of all members
/// add up to `slots`.
///
/// The remainder that can't be split evenly goes to different members at different instances.
/// Returns 0 when `own` isn't a member.
#[must_use]
pub fn guaranteed_slots(
    instance: &InstanceName,
    own: Incarnation,
    members: &[Incarnation],
    slots: u32,
) -> u32 {
    let Some(index) = members.iter().position(|&member| member == own) else {
        return 0;
    };
    let total = u64::from(slots);
    let count = members.len() as u64;
    let rotated_index = (hash_of(instance.as_str()) % count + index as u64) % count;
    let extra = u64::from(rotated_index < total % count);
    u32::try_from(total / count + extra).unwrap_or(slots)
}

fn hash_of<T: Hash + ?Sized>(value: &T) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}

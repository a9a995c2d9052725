//! Spreads the shards over the members of a consumer group.
//!
//! The platform spreads partitions, of which there are more than shards. Each shard has a first
//! partition; it goes to the holder of the first partition from there on whose member has fewer shards
//! than its even share. Without this limit, one member holds several shards by chance while others
//! hold none. The rule follows `OpenShell`'s pull request 5436, "spread shared supervisors evenly across
//! gateway replicas".
//!
//! ```
//! use std::collections::{BTreeMap, BTreeSet};
//! use cyclamentrail_jobs::shards_of_member;
//!
//! let shards: BTreeSet<String> = ["a", "b"].map(String::from).into();
//! // Both first partitions, 0 and 2, belong to the same member.
//! let holders: BTreeMap<u32, String> =
//!     [(0, "m"), (1, "n"), (2, "m"), (3, "n")].map(|(p, name)| (p, name.to_owned())).into();
//! assert_eq!(shards_of_member(&shards, &holders, 4, "m").len(), 1);
//! assert_eq!(shards_of_member(&shards, &holders, 4, "n").len(), 1);
//! ```

use std::collections::{BTreeMap, BTreeSet};

/// Returns the shards that go to a member. `holders` names the member that holds each of the
/// `all_partitions` partitions; those that nobody holds are missing.
#[must_use]
pub fn shards_of_member(
    shards: &BTreeSet<String>,
    holders: &BTreeMap<u32, String>,
    all_partitions: u32,
    member: &str,
) -> BTreeSet<String> {
    let members: BTreeSet<&String> = holders.values().collect();
    let even_share = shards.len().div_ceil(members.len().max(1));
    let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
    let mut own = BTreeSet::new();
    for (shard, first) in with_first_partitions(shards, all_partitions) {
        let ring = holders.range(first..).chain(holders.range(..first));
        let below_share = |name: &&str| counts.get(name).copied().unwrap_or(0) < even_share;
        let Some(name) = ring.map(|(_, name)| name.as_str()).find(below_share) else {
            continue;
        };
        *counts.entry(name).or_default() += 1;
        if name == member {
            own.insert(shard.clone());
        }
    }
    own
}

/// Returns the shards whose first partition is one of `partitions`.
#[must_use]
pub fn shards_of_partitions(
    shards: &BTreeSet<String>,
    partitions: &BTreeSet<u32>,
    all_partitions: u32,
) -> BTreeSet<String> {
    with_first_partitions(shards, all_partitions)
        .filter(|(_, first)| partitions.contains(first))
        .map(|(shard, _)| shard.clone())
        .collect()
}

/// Returns each shard with its first partition; these are spread evenly over all partitions.
fn with_first_partitions(
    shards: &BTreeSet<String>,
    all_partitions: u32,
) -> impl Iterator<Item = (&String, u32)> {
    let count = shards.len();
    shards.iter().enumerate().map(move |(index, shard)| {
        let partition = index * all_partitions as usize / count;
        (shard, u32::try_from(partition).unwrap_or(u32::MAX))
    })
}

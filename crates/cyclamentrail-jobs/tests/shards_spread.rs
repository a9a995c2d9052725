//! Spreading of shards over the members of a consumer group.

use std::collections::{BTreeMap, BTreeSet};

use cyclamentrail_jobs::{shards_of_member, shards_of_partitions};
use rstest::rstest;

const PARTITIONS: u32 = 24;

fn shards(count: usize) -> BTreeSet<String> {
    (0..count).map(|index| format!("s{index}")).collect()
}

/// Partitions as a group may hold them after members have come and gone: dealt by a stride.
fn holders(members: u32, stride: u32) -> BTreeMap<u32, String> {
    let holder = |partition| (partition, format!("m{}", partition * stride % members));
    (0..PARTITIONS).map(holder).collect()
}

/// Two services and the machine duties had the same owner by chance, while most members had none.
#[rstest]
fn shares_even(
    #[values(1, 5, 6, 13)] shard_count: usize,
    #[values(1, 2, 3, 6, 15)] members: u32,
    #[values(1, 5, 7, 11)] stride: u32,
) {
    let shards = shards(shard_count);
    let holders = holders(members, stride);
    let names: BTreeSet<&String> = holders.values().collect();
    let even_share = shard_count.div_ceil(names.len());
    let mut all = Vec::new();
    for name in names {
        let own = shards_of_member(&shards, &holders, PARTITIONS, name);
        assert!(own.len() <= even_share, "{name} has {own:?}");
        all.extend(own);
    }
    all.sort_unstable();
    assert!(all.iter().eq(&shards), "each shard has one member: {all:?}");
}

/// The rule that the spread replaces: each shard goes to the holder of its first partition.
#[test]
fn partitions_alone_uneven() {
    let shards = shards(6);
    let holders = holders(4, 1);
    let share = |name: &str| {
        let own = holders.iter().filter(|(_, holder)| *holder == name);
        let own = own.map(|(&partition, _)| partition).collect();
        shards_of_partitions(&shards, &own, PARTITIONS).len()
    };
    assert_eq!(share("m0"), 6);
    assert_eq!(
        shards_of_member(&shards, &holders, PARTITIONS, "m0").len(),
        2
    );
}

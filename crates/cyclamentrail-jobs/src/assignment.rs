//! Assignment of shards to the members of a group.

use std::collections::BTreeSet;

/// Returns the shards that are assigned to a member: the members take turns, in the order of their
/// names, so that the numbers of their shards differ by one at most.
///
/// ```
/// use std::collections::BTreeSet;
/// use cyclamentrail_jobs::shards_of_member;
///
/// let names = |names: &[&str]| names.iter().map(|&name| name.to_owned()).collect::<BTreeSet<_>>();
/// let (shards, members) = (names(&["a", "b", "c"]), names(&["m1", "m2"]));
/// assert_eq!(shards_of_member("m1", &members, &shards), names(&["a", "c"]));
/// assert_eq!(shards_of_member("m2", &members, &shards), names(&["b"]));
/// ```
#[must_use]
pub fn shards_of_member(
    member: &str,
    members: &BTreeSet<String>,
    shards: &BTreeSet<String>,
) -> BTreeSet<String> {
    shards
        .iter()
        .zip(members.iter().cycle())
        .filter(|(_, assigned)| *assigned == member)
        .map(|(shard, _)| shard.clone())
        .collect()
}

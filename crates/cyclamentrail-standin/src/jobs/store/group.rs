//! One consumer group of the store.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Time after which a new group member holds partitions; the other members have to join once more
/// before.
const HAND_OVER: Duration = Duration::from_millis(300);

/// Members of a group, and the topics whose partitions it assigns to them.
#[derive(Debug, Default)]
pub(super) struct Group {
    /// Group members by name.
    members: BTreeMap<String, GroupMember>,
    /// Time without a join call after which a member is removed; set by the latest join call.
    member_ttl: Duration,
    /// Topics whose partitions the group assigns; set by the latest join call.
    topics: Vec<String>,
    /// Number of changes of the group's members.
    generation: u64,
}

/// Times of a group member's join calls.
#[derive(Debug, Clone, Copy)]
struct GroupMember {
    first_join: Instant,
    last_join: Instant,
}

/// Partition that a group member holds.
#[derive(Debug, Clone, Copy)]
pub(super) struct Assignment<'a> {
    pub(super) topic: &'a str,
    pub(super) partition: u32,
    pub(super) member: &'a str,
}

impl Group {
    /// Adds a member or renews the membership; returns the generation.
    pub(super) fn join(&mut self, member: &str, topics: Vec<String>, ttl: Duration) -> u64 {
        self.member_ttl = ttl;
        self.remove_expired();
        let now = Instant::now();
        let is_new = !self.members.contains_key(member);
        self.generation += u64::from(is_new);
        let joined = self.members.entry(member.to_owned());
        let first_join = GroupMember {
            first_join: now,
            last_join: now,
        };
        joined.or_insert(first_join).last_join = now;
        self.topics = topics;
        self.generation
    }

    /// Removes a member.
    pub(super) fn leave(&mut self, member: &str) {
        self.generation += u64::from(self.members.remove(member).is_some());
    }

    /// Removes the members whose time to live has passed.
    pub(super) fn remove_expired(&mut self) {
        let (count, ttl) = (self.members.len(), self.member_ttl);
        self.members
            .retain(|_, member| member.last_join.elapsed() < ttl);
        self.generation += u64::from(self.members.len() < count);
    }

    /// Returns the partitions of the group's topics, each with `partitions` of them, with their
    /// members: round-robin over the sorted members.
    pub(super) fn assignments(&self, partitions: u32) -> impl Iterator<Item = Assignment<'_>> {
        let all = self
            .topics
            .iter()
            .flat_map(move |topic| (0..partitions).map(move |partition| (topic, partition)));
        all.zip(self.members.keys().cycle())
            .map(|((topic, partition), member)| Assignment {
                topic,
                partition,
                member,
            })
    }

    /// Returns the assignments as any caller sees them: those of a new member are listed after
    /// [`HAND_OVER`].
    pub(super) fn listed(&self, partitions: u32) -> impl Iterator<Item = Assignment<'_>> {
        self.assignments(partitions)
            .filter(|held| self.members[held.member].first_join.elapsed() >= HAND_OVER)
    }
}

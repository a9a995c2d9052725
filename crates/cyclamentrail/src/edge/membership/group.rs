//! Membership of this process in the platform's consumer group.
//!
//! Where the machines differ, processes on small ones leave the group while enough larger ones are
//! members, so that the group assigns shards to these only; see [`leaves_shards_to_others`]. They
//! watch the group and join it again when the larger ones are gone.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use cyclamentrail_jobs::{
    OwnerCapacity, StoreContact, leaves_shards_to_others, shards_of_member, shards_of_partitions,
};
use tokio::time::Instant;

use super::{MemberName, all_shards};
use crate::edge::claims;
use crate::edge::clocks::boot_ms;
use crate::edge::process_state::ProcessState;
use crate::metrics;

/// Name of the consumer group.
pub(crate) const OWNER_GROUP: &str = "owners";
/// Topic whose partitions the group assigns; no records are written to it.
const PARTITION_TOPIC: &str = "shards";
/// Time between two confirmations of the membership.
const CONFIRM_INTERVAL: Duration = Duration::from_millis(400);
/// Time between two updates when the group has just changed.
const CHANGE_INTERVAL: Duration = Duration::from_millis(50);
/// Time between two updates until the group's members have settled.
const SETTLING_INTERVAL: Duration = Duration::from_millis(200);
/// Time after a change of the group in which its new members receive their partitions, in
/// milliseconds: the others give them up when they join the next time.
const SETTLE_MS: u64 = 1_500;
/// Time limit for reading who holds the partitions before assigned shards are taken over.
const HOLDERS_TIMEOUT: Duration = Duration::from_millis(300);
/// Time between two looks at the group's members while this process leaves the shards to them.
const WATCH_INTERVAL: Duration = Duration::from_millis(800);
/// Time for which larger members must be missing before a process joins the group again, in
/// milliseconds. After an outage of the store, all members are missing for a moment.
const MIN_MISSING_MS: u64 = 1_500;
/// Time between two announcements of this process while smaller members have partitions, in
/// milliseconds.
const ANNOUNCE_INTERVAL_MS: u64 = 1_000;
/// Requested time to live of the membership, in percent of the shortest one that the store accepts.
const TTL_PERCENT: u64 = 160;

/// Part that a process has in the consumer group.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Role {
    /// The process is a member and takes over the shards that are assigned to it.
    Member,
    /// The process has left the group to members on larger machines.
    Watcher {
        /// Boot time in milliseconds since which too few of these members have been seen.
        missing_since_ms: Option<u64>,
    },
}

/// Membership of this process in the consumer group.
#[derive(Debug)]
pub(super) struct Group {
    /// Generation of the group, which rises with each rebalancing.
    generation: u64,
    /// Partitions that are assigned to this process.
    partitions: BTreeSet<u32>,
    /// Member that holds each partition, as it was last read.
    holders: BTreeMap<u32, String>,
    /// Since when the store has responded without a break.
    contact: StoreContact,
    /// Whether this process takes part in the group.
    role: Role,
    /// Boot time in milliseconds at which the group last changed.
    changed_ms: u64,
    /// Boot time in milliseconds of this process's last announcement.
    announced_ms: u64,
    /// Whether this process hasn't looked at the members' capacities since they settled.
    has_unseen_members: bool,
    /// Whether members on larger machines were seen at the last look, or none was made yet.
    may_be_smaller: bool,
}

impl Group {
    /// Creates the membership of a process that hasn't joined yet.
    pub(super) const fn new() -> Self {
        Self {
            generation: 0,
            partitions: BTreeSet::new(),
            holders: BTreeMap::new(),
            contact: StoreContact::new(),
            role: Role::Member,
            changed_ms: 0,
            announced_ms: 0,
            has_unseen_members: false,
            may_be_smaller: true,
        }
    }

    /// Returns the shards that are assigned to this process: its part of the even spread over all
    /// members, or those of its own partitions while it doesn't know the other members.
    pub(super) fn assigned_shards(
        &self,
        process: &ProcessState,
        shards: &BTreeSet<String>,
    ) -> BTreeSet<String> {
        let own_name = process.member_name().to_string();
        let all_partitions = process.settings.partitions;
        let own_held = self.holders.iter().filter(|(_, name)| **name == own_name);
        let are_holders_current = own_held
            .map(|(partition, _)| partition)
            .eq(&self.partitions);
        if are_holders_current {
            return shards_of_member(shards, &self.holders, all_partitions, &own_name);
        }
        shards_of_partitions(shards, &self.partitions, all_partitions)
    }

    /// Returns the boot time in milliseconds since which the store has responded without a break;
    /// `None` if the last call failed.
    pub(super) const fn connected_ms(&self) -> Option<u64> {
        self.contact.since_ms()
    }

    /// Confirms the membership, or looks whether this process is to join again; returns the pause
    /// until the next update.
    pub(super) async fn update(&mut self, process: &ProcessState) -> Duration {
        match self.role {
            Role::Member => self.update_member(process).await,
            Role::Watcher { missing_since_ms } => {
                self.watch(process, missing_since_ms).await;
                WATCH_INTERVAL
            }
        }
    }

    async fn update_member(&mut self, process: &ProcessState) -> Duration {
        let is_rebalanced = self.join(process).await;
        if is_rebalanced {
            self.changed_ms = boot_ms();
            self.has_unseen_members = true;
        }
        // Only a process that may be among the small ones looks before it takes over shards.
        if self.may_be_smaller || Self::is_larger_announced(process) {
            self.review_members(process).await;
        } else if is_rebalanced {
            // A store that is slow mustn't hold up takeovers.
            let read = self.read_capacities(process);
            drop(tokio::time::timeout(HOLDERS_TIMEOUT, read).await);
        }
        if is_rebalanced {
            CHANGE_INTERVAL
        } else if self.is_settling() {
            SETTLING_INTERVAL
        } else {
            CONFIRM_INTERVAL
        }
    }

    /// Looks at the members if they have changed since the last look. Called after the takeover of
    /// assigned shards, which mustn't wait for it.
    pub(super) async fn review_if_due(&mut self, process: &ProcessState) {
        let is_due = self.has_unseen_members && !self.may_be_smaller;
        if is_due && self.role == Role::Member {
            self.review_members(process).await;
        }
    }

    fn is_larger_announced(process: &ProcessState) -> bool {
        let announced = process.announcements.members();
        announced
            .iter()
            .any(|member| member.capacity.is_clearly_above(process.capacity()))
    }

    /// Returns whether new members may not have received their partitions yet.
    fn is_settling(&self) -> bool {
        boot_ms() < self.changed_ms + SETTLE_MS
    }

    /// Leaves the group if its members on larger machines are enough for all shards, and makes this
    /// process known while smaller members hold partitions.
    async fn review_members(&mut self, process: &ProcessState) {
        let is_settling = self.is_settling();
        let Some(others) = self.read_capacities(process).await else {
            return;
        };
        let own = process.capacity();
        let has_smaller = others.iter().any(|other| own.is_clearly_above(*other));
        if has_smaller && !process.is_stopping() {
            self.announce_if_due(process).await;
        }
        self.may_be_smaller = others.iter().any(|other| other.is_clearly_above(own));
        let are_enough = are_larger_enough(process, &others);
        self.has_unseen_members = is_settling || has_smaller || are_enough.is_none();
        if !process.is_stopping() && are_enough == Some(true) {
            self.leave(process).await;
        }
    }

    async fn leave(&mut self, process: &ProcessState) {
        match process.leave_group().await {
            Ok(()) => {
                log::info!(tasks_per_s = process.capacity().tasks_per_s(); "shards_left_to_larger");
                self.partitions.clear();
                self.role = Role::Watcher {
                    missing_since_ms: None,
                };
            }
            Err(error) => {
                log::debug!(error:% = error; "group_not_left");
                self.has_unseen_members = true;
            }
        }
    }

    async fn announce_if_due(&mut self, process: &ProcessState) {
        let now_ms = boot_ms();
        if now_ms < self.announced_ms + ANNOUNCE_INTERVAL_MS {
            return;
        }
        self.announced_ms = now_ms;
        match claims::announce(process).await {
            Ok(()) => log::info!("member_announced"),
            Err(error) => log::debug!(error:% = error; "member_not_announced"),
        }
    }

    /// Joins the group again once its members on larger machines have been too few for
    /// [`MIN_MISSING_MS`].
    async fn watch(&mut self, process: &ProcessState, missing_since_ms: Option<u64>) {
        let now_ms = boot_ms();
        let others = self.read_capacities(process).await;
        let are_enough = others.and_then(|others| are_larger_enough(process, &others));
        let missing_since_ms = match are_enough {
            Some(false) => Some(missing_since_ms.unwrap_or(now_ms)),
            Some(true) | None => None,
        };
        let is_missing =
            missing_since_ms.is_some_and(|since_ms| now_ms >= since_ms + MIN_MISSING_MS);
        self.role = if is_missing {
            log::info!("larger_members_missing");
            Role::Member
        } else {
            Role::Watcher { missing_since_ms }
        };
    }

    /// Returns the capacities of the processes that the group lists or that have announced
    /// themselves; `None` if the store doesn't tell.
    async fn read_capacities(&mut self, process: &ProcessState) -> Option<Vec<OwnerCapacity>> {
        let (sent, sent_ms) = (Instant::now(), boot_ms());
        let holders = process
            .store
            .partition_holders(OWNER_GROUP, PARTITION_TOPIC)
            .await;
        metrics::count_store_call("members", holders.is_ok(), sent.elapsed());
        match holders {
            Ok(holders) => self.holders = holders,
            Err(error) => {
                log::debug!(error:% = error; "members_not_read");
                self.contact.record_failure();
                return None;
            }
        }
        self.contact.record_response(sent_ms, boot_ms());
        let listed = self.holders.values();
        let listed = listed.filter_map(|name| MemberName::parse(name));
        let by_machine: BTreeMap<String, OwnerCapacity> = listed
            .chain(process.announcements.members())
            .map(|member| (member.machine, member.capacity))
            .collect();
        Some(by_machine.into_values().collect())
    }

    /// Confirms the membership; returns whether the group has rebalanced its partitions.
    async fn join(&mut self, process: &ProcessState) -> bool {
        let ttl_ms = process.settings.min_member_ttl_ms * TTL_PERCENT / 100;
        let (sent, sent_ms) = (Instant::now(), boot_ms());
        let joined = process
            .store
            .join(
                OWNER_GROUP,
                &process.member_name().to_string(),
                PARTITION_TOPIC,
                ttl_ms,
                self.generation,
            )
            .await;
        metrics::count_store_call("join", joined.is_ok(), sent.elapsed());
        match joined {
            Ok(response) => {
                let is_rebalanced = response.generation != self.generation;
                self.generation = response.generation;
                self.partitions = response.partitions.into_iter().collect();
                if is_rebalanced {
                    log::info!(
                        generation = self.generation, partitions:? = self.partitions;
                        "partitions_assigned"
                    );
                }
                self.contact.record_response(sent_ms, boot_ms());
                is_rebalanced
            }
            Err(error) => {
                log::debug!(error:% = error; "membership_not_confirmed");
                self.contact.record_failure();
                false
            }
        }
    }
}

/// Returns whether the processes on larger machines are enough for all shards; `None` if this process
/// has no configuration yet.
fn are_larger_enough(process: &ProcessState, others: &[OwnerCapacity]) -> Option<bool> {
    let configuration = process.configuration()?;
    let shard_count = all_shards(process, &configuration).len();
    Some(leaves_shards_to_others(
        process.capacity(),
        others,
        shard_count,
    ))
}

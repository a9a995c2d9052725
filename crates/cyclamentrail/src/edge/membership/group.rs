//! Membership of this process in the platform's consumer group.
//!
//! Where the machines differ, processes on small ones leave the group while enough larger ones are
//! members, so that the group assigns shards to these only; see [`leaves_shards_to_others`]. They
//! watch the group and join it again when the larger ones are gone.

use std::collections::BTreeSet;
use std::time::Duration;

use cyclamentrail_jobs::{OwnerCapacity, leaves_shards_to_others};
use tokio::time::Instant;

use super::{MemberName, all_shards};
use crate::edge::clocks::boot_ms;
use crate::edge::process_state::ProcessState;
use crate::metrics;

/// Name of the consumer group.
pub(crate) const OWNER_GROUP: &str = "owners";
/// Topic whose partitions the group assigns; no records are written to it.
const PARTITION_TOPIC: &str = "shards";
/// Time between two confirmations of the membership.
const CONFIRM_INTERVAL: Duration = Duration::from_millis(400);
/// Time between two updates while the group changes.
const CHANGE_INTERVAL: Duration = Duration::from_millis(50);
/// Time between two looks at the group's members while this process leaves the shards to them.
const WATCH_INTERVAL: Duration = Duration::from_millis(800);
/// Time for which larger members must be missing before a process joins the group again, in
/// milliseconds. After an outage of the store, all members are missing for a moment.
const MIN_MISSING_MS: u64 = 1_500;
/// Requested time to live of the membership, in percent of the shortest one that the store accepts.
const TTL_PERCENT: u64 = 160;

/// Part that a process has in the consumer group.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum Role {
    /// The process is a member and takes over the shards that are assigned to it.
    #[default]
    Member,
    /// The process has left the group to members on larger machines.
    Watcher {
        /// Boot time in milliseconds since which too few of these members have been seen.
        missing_since_ms: Option<u64>,
    },
}

/// Membership of this process in the consumer group.
#[derive(Debug, Default)]
pub(super) struct Group {
    /// Generation of the group, which rises with each rebalancing.
    generation: u64,
    /// Partitions that are assigned to this process.
    partitions: BTreeSet<u32>,
    /// Boot time in milliseconds since which the store has responded without a failure.
    connected_ms: Option<u64>,
    /// Whether this process takes part in the group.
    role: Role,
    /// Whether the members have changed since this process last looked at their capacities.
    has_unseen_members: bool,
}

impl Group {
    /// Returns the partitions that are assigned to this process.
    pub(super) const fn partitions(&self) -> &BTreeSet<u32> {
        &self.partitions
    }

    /// Returns the boot time in milliseconds since which the store has responded without a failure;
    /// `None` if the last call failed.
    pub(super) const fn connected_ms(&self) -> Option<u64> {
        self.connected_ms
    }

    /// Confirms the membership, or looks whether this process is to join again; returns the pause
    /// until the next update.
    pub(super) async fn update(&mut self, process: &ProcessState) -> Duration {
        match self.role {
            Role::Member => {
                self.has_unseen_members |= self.join(process).await;
                if !self.has_unseen_members {
                    return CONFIRM_INTERVAL;
                }
                self.leave_to_larger(process).await;
                CHANGE_INTERVAL
            }
            Role::Watcher { missing_since_ms } => {
                self.watch(process, missing_since_ms).await;
                WATCH_INTERVAL
            }
        }
    }

    /// Leaves the group if its members on larger machines are enough for all shards.
    async fn leave_to_larger(&mut self, process: &ProcessState) {
        let Some(are_enough) = self.are_larger_enough(process).await else {
            return;
        };
        self.has_unseen_members = false;
        if process.is_stopping() || !are_enough {
            return;
        }
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

    /// Joins the group again once its members on larger machines have been too few for
    /// [`MIN_MISSING_MS`].
    async fn watch(&mut self, process: &ProcessState, missing_since_ms: Option<u64>) {
        let now_ms = boot_ms();
        let missing_since_ms = match self.are_larger_enough(process).await {
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

    /// Returns whether the group's members on larger machines are enough for all shards; `None` if
    /// the store doesn't tell, or this process has no configuration yet.
    async fn are_larger_enough(&mut self, process: &ProcessState) -> Option<bool> {
        let shard_count = all_shards(process.configuration()?.as_ref()).len();
        let sent = Instant::now();
        let members = process
            .store
            .group_members(OWNER_GROUP, PARTITION_TOPIC)
            .await;
        metrics::count_store_call("members", members.is_ok(), sent.elapsed());
        let members = match members {
            Ok(members) => members,
            Err(error) => {
                log::debug!(error:% = error; "members_not_read");
                self.connected_ms = None;
                return None;
            }
        };
        self.connected_ms.get_or_insert_with(boot_ms);
        let capacities: Vec<OwnerCapacity> = members
            .iter()
            .filter_map(|member| MemberName::parse(member))
            .map(|member| member.capacity)
            .collect();
        Some(leaves_shards_to_others(
            process.capacity(),
            &capacities,
            shard_count,
        ))
    }

    /// Confirms the membership; returns whether the group has rebalanced its partitions.
    async fn join(&mut self, process: &ProcessState) -> bool {
        let ttl_ms = process.settings.min_member_ttl_ms * TTL_PERCENT / 100;
        let sent = Instant::now();
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
                self.connected_ms.get_or_insert_with(boot_ms);
                is_rebalanced
            }
            Err(error) => {
                log::debug!(error:% = error; "membership_not_confirmed");
                self.connected_ms = None;
                false
            }
        }
    }
}

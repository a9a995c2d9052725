//! Membership of this process in the platform's consumer group, and takeover of the shards that the
//! group assigns to it.
//!
//! Where the machines differ, processes on small ones leave the group while enough larger ones are
//! members, so that the group assigns shards to these only; see [`leaves_shards_to_others`]. They
//! watch the group and join it again when the larger ones are gone.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use cyclamentrail_adapter::Configuration;
use cyclamentrail_core::ServiceName;
use cyclamentrail_jobs::{
    Candidate, Incumbent, OwnerCapacity, leaves_shards_to_others, should_take_over,
};
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

use super::clocks::boot_ms;
use super::messages::{FLEET_SHARD, OwnerCall, OwnerRequest, Reply};
use super::owner::{self, OwnerMessage};
use super::process_state::ProcessState;
use crate::metrics;

mod member;

pub(crate) use member::MemberName;

/// Name of the consumer group.
pub(crate) const OWNER_GROUP: &str = "owners";
/// Topic whose partitions the group assigns; no records are written to it.
const PARTITION_TOPIC: &str = "shards";
/// Time between two confirmations of the membership.
const CONFIRM_INTERVAL: Duration = Duration::from_millis(400);
/// Time between two looks at the group's members while this process leaves the shards to them.
const WATCH_INTERVAL: Duration = Duration::from_millis(800);
/// Time for which larger members must be missing before a process joins the group again, in
/// milliseconds. After an outage of the store, all members are missing for a moment.
const MIN_MISSING_MS: u64 = 1_500;
/// Requested time to live of the membership, in percent of the shortest one that the store accepts.
const TTL_PERCENT: u64 = 160;
/// Time for which a shard that was lost to another owner isn't claimed again, in milliseconds.
const RECLAIM_PAUSE_MS: u64 = 1_500;
/// Time limit of a status request to the current owner of a shard.
const STATUS_TIMEOUT: Duration = Duration::from_millis(400);

/// Task of a shard that this process owns or is taking over.
struct HeldShard {
    sender: mpsc::UnboundedSender<OwnerMessage>,
    task: tokio::task::JoinHandle<()>,
}

/// Membership of this process, and the state of the shards that depend on it.
#[derive(Default)]
struct Membership {
    /// Generation of the group, which rises with each rebalancing.
    generation: u64,
    /// Partitions that are assigned to this process.
    partitions: BTreeSet<u32>,
    held: HashMap<String, HeldShard>,
    /// Boot time in milliseconds at which each shard was lost to another owner.
    lost_ms: HashMap<String, u64>,
    /// Boot time in milliseconds since which each shard has been assigned to this process.
    assigned_ms: HashMap<String, u64>,
    /// Boot time in milliseconds since which the store has responded without a failure.
    connected_ms: Option<u64>,
    /// Whether this process takes part in the group.
    role: GroupRole,
    /// Whether the members have changed since this process last looked at their capacities.
    has_unseen_members: bool,
}

/// Part that a process has in the consumer group.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum GroupRole {
    /// The process is a member and takes over the shards that are assigned to it.
    #[default]
    Member,
    /// The process has left the group to members on larger machines.
    Watcher {
        /// Boot time in milliseconds since which too few of these members have been seen.
        missing_since_ms: Option<u64>,
    },
}

/// Maintains the membership and takes over the shards that are assigned to this process, until
/// `stop` is set or the process is stopping.
pub(crate) async fn maintain(process: Arc<ProcessState>, mut stop: watch::Receiver<bool>) {
    let mut membership = Membership::default();
    while !process.is_stopping() {
        let pause = membership.update(&process).await;
        if process.is_stopping() {
            break;
        }
        membership.remove_ended(&process);
        if let (Some(configuration), Some(connected_ms)) =
            (process.configuration(), membership.connected_ms)
        {
            let partitions = process.settings.partitions;
            let assigned = assigned_shards(&configuration, &membership.partitions, partitions);
            membership
                .take_over_assigned(&process, connected_ms, assigned)
                .await;
        }
        tokio::select! {
            () = tokio::time::sleep(pause) => {}
            _ = stop.wait_for(|stopped| *stopped) => break,
        }
    }
    for held in membership.held.into_values() {
        drop(held.sender.send(OwnerMessage::Stop));
    }
}

impl Membership {
    /// Confirms the membership, or looks whether this process is to join again; returns the pause
    /// until the next update.
    async fn update(&mut self, process: &ProcessState) -> Duration {
        match self.role {
            GroupRole::Member => {
                self.has_unseen_members |= self.join(process).await;
                if !self.has_unseen_members {
                    return CONFIRM_INTERVAL;
                }
                self.leave_to_larger(process).await;
                CONFIRM_INTERVAL / 8
            }
            GroupRole::Watcher { missing_since_ms } => {
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
                self.role = GroupRole::Watcher {
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
            GroupRole::Member
        } else {
            GroupRole::Watcher { missing_since_ms }
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

    /// Removes the shards whose tasks have ended, and records when they were lost.
    fn remove_ended(&mut self, process: &ProcessState) {
        let lost_ms = &mut self.lost_ms;
        self.held.retain(|shard, held| {
            let has_ended = held.task.is_finished();
            if has_ended {
                process.remove_owned_shard(shard, &held.sender);
                lost_ms.insert(shard.clone(), boot_ms());
            }
            !has_ended
        });
    }

    /// Takes over the assigned shards that no confirmed owner holds, or that an overloaded owner
    /// should hand over; see [`should_take_over`].
    async fn take_over_assigned(
        &mut self,
        process: &Arc<ProcessState>,
        connected_ms: u64,
        assigned: BTreeSet<String>,
    ) {
        let now_ms = boot_ms();
        self.assigned_ms.retain(|shard, _| assigned.contains(shard));
        for shard in &assigned {
            self.assigned_ms.entry(shard.clone()).or_insert(now_ms);
        }
        let not_held: Vec<String> = assigned
            .into_iter()
            .filter(|shard| !self.held.contains_key(shard) && !self.was_just_lost(shard, now_ms))
            .collect();
        let incumbents = not_held.iter().map(|shard| query_incumbent(process, shard));
        let incumbents = futures_util::future::join_all(incumbents).await;
        for (shard, incumbent) in not_held.into_iter().zip(incumbents) {
            let candidate = Candidate {
                connected_ms: now_ms.saturating_sub(connected_ms),
                assigned_ms: now_ms.saturating_sub(self.assigned_ms[&shard]),
                shards: process.owned_shard_count(),
                capacity: process.capacity(),
            };
            if should_take_over(incumbent, candidate) && !process.is_stopping() {
                log::info!(shard = shard.as_str(), incumbent:? = incumbent; "shard_wanted");
                self.take_over(process, shard);
            }
        }
    }

    fn was_just_lost(&self, shard: &str, now_ms: u64) -> bool {
        self.lost_ms
            .get(shard)
            .is_some_and(|lost| now_ms.saturating_sub(*lost) < RECLAIM_PAUSE_MS)
    }

    /// Spawns the task that takes over a shard and owns it.
    fn take_over(&mut self, process: &Arc<ProcessState>, shard: String) {
        let (sender, receiver) = mpsc::unbounded_channel();
        let task = tokio::spawn(owner::run(
            Arc::clone(process),
            shard.clone(),
            sender.clone(),
            receiver,
        ));
        self.held.insert(shard, HeldShard { sender, task });
    }
}

/// Asks the process that last claimed a shard whether it still acts as the owner.
async fn query_incumbent(process: &ProcessState, shard: &str) -> Incumbent {
    let Some(owner) = process.owner(shard) else {
        return Incumbent::Nobody;
    };
    if owner.claim.address == process.settings.internal_listener {
        return Incumbent::Here;
    }
    let call = OwnerCall {
        service: ServiceName::from(shard),
        request: OwnerRequest::Status,
    };
    let response = process
        .peers
        .call(owner.claim.address, &call, STATUS_TIMEOUT);
    match response.await {
        Ok(Reply::Status(ownership_status)) => Incumbent::Acting {
            confirmed_age_ms: ownership_status.confirmed_age_ms,
            shards: ownership_status.shards,
            capacity: (ownership_status.tasks_per_s > 0)
                .then(|| OwnerCapacity::new(ownership_status.tasks_per_s)),
        },
        Ok(_) => Incumbent::Ended,
        Err(_error) => Incumbent::Silent,
    }
}

/// Returns the shards that belong to the partitions of this process. The shards, sorted by name,
/// are spread evenly over all partitions.
fn assigned_shards(
    configuration: &Configuration,
    partitions: &BTreeSet<u32>,
    all_partitions: u32,
) -> BTreeSet<String> {
    let shards = all_shards(configuration);
    let shard_count = shards.len();
    let is_assigned = |index: usize| {
        let partition = index * all_partitions as usize / shard_count;
        u32::try_from(partition).is_ok_and(|partition| partitions.contains(&partition))
    };
    shards
        .into_iter()
        .enumerate()
        .filter(|(index, _)| is_assigned(*index))
        .map(|(_, shard)| shard)
        .collect()
}

/// Returns the names of all shards: one for each service, and that of the duties over machines.
fn all_shards(configuration: &Configuration) -> BTreeSet<String> {
    let mut shards: BTreeSet<String> = configuration
        .routes
        .iter()
        .map(|route| route.config.service.to_string())
        .collect();
    shards.insert(FLEET_SHARD.to_owned());
    shards
}

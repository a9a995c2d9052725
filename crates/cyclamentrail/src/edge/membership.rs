//! Which shards this process should own: its share of the platform's consumer group.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use cyclamentrail_adapter::Configuration;
use cyclamentrail_core::ServiceName;
use cyclamentrail_jobs::{Candidate, Incumbent, should_take_over};
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

use super::clocks::boot_ms;
use super::messages::{FLEET_SHARD, OwnerCall, OwnerRequest, Reply};
use super::owner::{self, OwnerMessage};
use super::process_state::ProcessState;
use crate::metrics;

/// The consumer group.
pub(crate) const GROUP: &str = "owners";
/// Topic whose partitions are dealt; nothing is written to it.
const PARTITION_TOPIC: &str = "shards";
/// Time between two confirmations of the membership.
const CONFIRM_INTERVAL: Duration = Duration::from_millis(400);
/// Factor between the shortest time to live that the store takes and ours, in percent.
const TTL_PERCENT: u64 = 160;
/// Time after which a shard that was lost to another owner is claimed again, in milliseconds.
const RECLAIM_PAUSE_MS: u64 = 1_500;

/// Time limit of a question to the present owner of a shard.
const STATUS_TIMEOUT: Duration = Duration::from_millis(400);

/// A shard that this process owns or is taking over.
struct HeldShard {
    sender: mpsc::UnboundedSender<OwnerMessage>,
    task: tokio::task::JoinHandle<()>,
}

/// The membership and what follows from it.
#[derive(Default)]
struct Membership {
    generation: u64,
    partitions: BTreeSet<u32>,
    held: HashMap<String, HeldShard>,
    /// When shards were lost to other owners, on the clock that counts suspension.
    lost_ms: HashMap<String, u64>,
    /// Since when shards are dealt to this process.
    assigned_ms: HashMap<String, u64>,
    /// Since when the store answers.
    connected_ms: Option<u64>,
}

/// Keeps the membership and takes over what it deals to this process, until told to stop.
pub(crate) async fn maintain(process: Arc<ProcessState>, mut stop: watch::Receiver<bool>) {
    let mut membership = Membership::default();
    while !process.is_stopping() {
        let is_rebalanced = membership.join(&process).await;
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
        let pause = if is_rebalanced {
            CONFIRM_INTERVAL / 8
        } else {
            CONFIRM_INTERVAL
        };
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
    /// Confirms the membership; returns whether the partitions were dealt anew.
    async fn join(&mut self, process: &ProcessState) -> bool {
        let ttl_ms = process.settings.min_member_ttl_ms * TTL_PERCENT / 100;
        let sent = Instant::now();
        let joined = process
            .store
            .join(
                GROUP,
                &process.settings.name,
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

    fn remove_ended(&mut self, process: &ProcessState) {
        let lost_ms = &mut self.lost_ms;
        self.held.retain(|shard, held| {
            let has_ended = held.task.is_finished();
            if has_ended {
                process.remove_owned(shard, &held.sender);
                lost_ms.insert(shard.clone(), boot_ms());
            }
            !has_ended
        });
    }

    /// Takes over the shards that are dealt to this process and have no owner that acts.
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
                dealt_ms: now_ms.saturating_sub(self.assigned_ms[&shard]),
                shards: process.owned_shard_count(),
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

/// Finds out how the process stands that last claimed a shard.
async fn query_incumbent(process: &ProcessState, shard: &str) -> Incumbent {
    let Some(owner) = process.owner(shard) else {
        return Incumbent::Nobody;
    };
    if owner.claim.address == process.settings.internal {
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
        },
        Ok(_) => Incumbent::Ended,
        Err(_error) => Incumbent::Silent,
    }
}

/// Returns the shards whose partitions this process holds.
fn assigned_shards(
    configuration: &Configuration,
    partitions: &BTreeSet<u32>,
    all_partitions: u32,
) -> BTreeSet<String> {
    let mut shards: BTreeSet<String> = configuration
        .routes
        .iter()
        .map(|route| route.terms.service.to_string())
        .collect();
    shards.insert(FLEET_SHARD.to_owned());
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

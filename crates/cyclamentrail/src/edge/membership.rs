//! Takeover of the shards that the platform's consumer group assigns to this process.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use cyclamentrail_adapter::Configuration;
use cyclamentrail_core::ServiceName;
use cyclamentrail_jobs::{Candidate, Incumbent, OwnerCapacity, should_take_over};
use tokio::sync::{mpsc, watch};

use super::clocks::boot_ms;
use super::messages::{FLEET_SHARD, OwnerCall, OwnerRequest, Reply};
use super::owner::{self, OwnerMessage};
use super::process_state::ProcessState;
use super::queue_directory::services_with_shard;

mod announcements;
mod group;
mod member;

pub(crate) use announcements::Announcements;
use group::Group;
pub(crate) use group::OWNER_GROUP;
pub(crate) use member::MemberName;

/// Time for which a shard that was lost to another owner isn't claimed again, in milliseconds.
const RECLAIM_PAUSE_MS: u64 = 1_500;
/// Time limit of a status request to the current owner of a shard.
const STATUS_TIMEOUT: Duration = Duration::from_millis(400);

/// Task of a shard that this process owns or is taking over.
struct HeldShard {
    sender: mpsc::UnboundedSender<OwnerMessage>,
    task: tokio::task::JoinHandle<()>,
}

/// Shards that this process owns or is assigned.
#[derive(Default)]
struct Shards {
    held: HashMap<String, HeldShard>,
    /// Boot time in milliseconds at which each shard was lost to another owner.
    lost_ms: HashMap<String, u64>,
    /// Boot time in milliseconds since which each shard has been assigned to this process.
    assigned_ms: HashMap<String, u64>,
}

/// Maintains the membership and takes over the shards that are assigned to this process, until
/// `stop` is set or the process is stopping.
pub(crate) async fn maintain(process: Arc<ProcessState>, mut stop: watch::Receiver<bool>) {
    let mut group = Group::new();
    let mut shards = Shards::default();
    while !process.is_stopping() {
        let pause = group.update(&process).await;
        if process.is_stopping() {
            break;
        }
        shards.remove_ended(&process);
        if let (Some(configuration), Some(connected_ms)) =
            (process.configuration(), group.connected_ms())
        {
            let assigned = group.assigned_shards(&process, &all_shards(&process, &configuration));
            shards
                .take_over_assigned(&process, connected_ms, assigned)
                .await;
        }
        group.review_if_due(&process).await;
        tokio::select! {
            () = tokio::time::sleep(pause) => {}
            _ = stop.wait_for(|stopped| *stopped) => break,
        }
    }
    for held in shards.held.into_values() {
        drop(held.sender.send(OwnerMessage::Stop));
    }
}

impl Shards {
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
                lease_wait_ms: owner::longest_lease_wait_ms(process),
                shards: process.owned_shard_count(),
                capacity: process.capacity(),
            };
            if should_take_over(incumbent, candidate) && !process.is_stopping() {
                log::info!(shard = shard.as_str(), incumbent:? = incumbent; "shard_wanted");
                self.take_over(process, shard, incumbent);
            }
        }
    }

    fn was_just_lost(&self, shard: &str, now_ms: u64) -> bool {
        self.lost_ms
            .get(shard)
            .is_some_and(|lost| now_ms.saturating_sub(*lost) < RECLAIM_PAUSE_MS)
    }

    /// Spawns the task that takes over a shard and owns it.
    fn take_over(&mut self, process: &Arc<ProcessState>, shard: String, incumbent: Incumbent) {
        let (sender, receiver) = mpsc::unbounded_channel();
        let task = tokio::spawn(owner::run(
            Arc::clone(process),
            shard.clone(),
            incumbent,
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

/// Returns the names of all shards: one for each service, also for one that has only jobs of former
/// routes, and that of the duties over machines.
fn all_shards(process: &ProcessState, configuration: &Configuration) -> BTreeSet<String> {
    let services = services_with_shard(process, configuration);
    let mut shards: BTreeSet<String> = services.iter().map(ServiceName::to_string).collect();
    shards.insert(FLEET_SHARD.to_owned());
    shards
}

//! Which shards this process should own: its share of the platform's consumer group.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use cyclamentrail_adapter::Configuration;
use cyclamentrail_core::ServiceName;
use cyclamentrail_jobs::{Candidate, Incumbent, should_take_over};
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

use super::boot_clock::boot_ms;
use super::messages::{Ask, FLEET_SHARD, Question, Reply};
use super::node::Node;
use super::owner::{self, OwnerMessage};
use crate::metrics;

/// The consumer group.
pub(crate) const GROUP: &str = "owners";
/// Topic whose partitions are dealt; nothing is written to it.
const TOPIC: &str = "shards";
/// Time between two confirmations of the membership.
const INTERVAL: Duration = Duration::from_millis(400);
/// Factor between the shortest time to live that the store takes and ours, in percent.
const TTL_PERCENT: u64 = 160;
/// Time after which a shard that was lost to another owner is claimed again, in milliseconds.
const RECLAIM_MS: u64 = 1_500;

/// Time limit of a question to the present owner of a shard.
const STANDING_TIMEOUT: Duration = Duration::from_millis(400);

/// A shard that this process owns or is taking over.
struct Held {
    sender: mpsc::UnboundedSender<OwnerMessage>,
    task: tokio::task::JoinHandle<()>,
}

/// The membership and what follows from it.
#[derive(Default)]
struct Membership {
    generation: u64,
    partitions: BTreeSet<u32>,
    held: HashMap<String, Held>,
    /// When shards were lost to other owners, on the clock that counts suspension.
    lost_ms: HashMap<String, u64>,
    /// Since when shards are dealt to this process.
    dealt_ms: HashMap<String, u64>,
    /// Since when the store answers.
    connected_ms: Option<u64>,
}

/// Keeps the membership and takes over what it deals to this process, until told to stop.
pub(crate) async fn keep(node: Arc<Node>, mut stop: watch::Receiver<bool>) {
    let mut membership = Membership::default();
    while !node.is_stopping() {
        let is_changed = membership.join(&node).await;
        if node.is_stopping() {
            break;
        }
        membership.drop_ended(&node);
        if let (Some(configuration), Some(connected_ms)) =
            (node.configuration(), membership.connected_ms)
        {
            let partitions = node.settings.partitions;
            let wanted = wanted_shards(&configuration, &membership.partitions, partitions);
            membership.acquire(&node, connected_ms, wanted).await;
        }
        let pause = if is_changed { INTERVAL / 8 } else { INTERVAL };
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
    async fn join(&mut self, node: &Node) -> bool {
        let ttl_ms = node.settings.min_member_ttl_ms * TTL_PERCENT / 100;
        let sent = Instant::now();
        let joined = node
            .store
            .join(GROUP, &node.settings.name, TOPIC, ttl_ms, self.generation)
            .await;
        metrics::count_store_call("join", joined.is_ok(), sent.elapsed());
        match joined {
            Ok(answer) => {
                let is_changed = answer.generation != self.generation;
                self.generation = answer.generation;
                self.partitions = answer.partitions.into_iter().collect();
                self.connected_ms.get_or_insert_with(boot_ms);
                is_changed
            }
            Err(error) => {
                log::debug!(error:% = error; "membership_not_confirmed");
                self.connected_ms = None;
                false
            }
        }
    }

    fn drop_ended(&mut self, node: &Node) {
        let lost_ms = &mut self.lost_ms;
        self.held.retain(|shard, held| {
            let has_ended = held.task.is_finished();
            if has_ended {
                node.remove_owned(shard, &held.sender);
                lost_ms.insert(shard.clone(), boot_ms());
            }
            !has_ended
        });
    }

    /// Takes over the shards that are dealt to this process and have no owner that acts.
    async fn acquire(&mut self, node: &Arc<Node>, connected_ms: u64, wanted: BTreeSet<String>) {
        let now_ms = boot_ms();
        self.dealt_ms.retain(|shard, _| wanted.contains(shard));
        for shard in &wanted {
            self.dealt_ms.entry(shard.clone()).or_insert(now_ms);
        }
        let open: Vec<String> = wanted
            .into_iter()
            .filter(|shard| !self.held.contains_key(shard) && !self.has_just_lost(shard, now_ms))
            .collect();
        let incumbents = open.iter().map(|shard| incumbent(node, shard));
        let incumbents = futures_util::future::join_all(incumbents).await;
        for (shard, incumbent) in open.into_iter().zip(incumbents) {
            let candidate = Candidate {
                connected_ms: now_ms.saturating_sub(connected_ms),
                dealt_ms: now_ms.saturating_sub(self.dealt_ms[&shard]),
                shards: node.owned_count(),
            };
            if should_take_over(incumbent, candidate) && !node.is_stopping() {
                log::info!(shard = shard.as_str(), incumbent:? = incumbent; "shard_wanted");
                self.take_over(node, shard);
            }
        }
    }

    fn has_just_lost(&self, shard: &str, now_ms: u64) -> bool {
        self.lost_ms
            .get(shard)
            .is_some_and(|lost| now_ms.saturating_sub(*lost) < RECLAIM_MS)
    }

    fn take_over(&mut self, node: &Arc<Node>, shard: String) {
        let (sender, receiver) = mpsc::unbounded_channel();
        let task = tokio::spawn(owner::run(
            Arc::clone(node),
            shard.clone(),
            sender.clone(),
            receiver,
        ));
        self.held.insert(shard, Held { sender, task });
    }
}

/// Finds out how the process stands that last claimed a shard.
async fn incumbent(node: &Node, shard: &str) -> Incumbent {
    let Some(owner) = node.owner(shard) else {
        return Incumbent::Nobody;
    };
    if owner.claim.address == node.settings.internal {
        return Incumbent::Here;
    }
    let ask = Ask {
        service: ServiceName::from(shard),
        question: Question::Standing,
    };
    let asked = node.peers.ask(owner.claim.address, &ask, STANDING_TIMEOUT);
    match asked.await {
        Ok(Reply::Standing(standing)) => Incumbent::Acting {
            confirmed_age_ms: standing.confirmed_age_ms,
            shards: standing.shards,
        },
        Ok(_) => Incumbent::Ended,
        Err(_unanswered) => Incumbent::Silent,
    }
}

/// Returns the shards whose partitions this process holds.
fn wanted_shards(
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
    let count = shards.len();
    let holds = |index: usize| {
        let partition = index * all_partitions as usize / count;
        u32::try_from(partition).is_ok_and(|partition| partitions.contains(&partition))
    };
    shards
        .into_iter()
        .enumerate()
        .filter(|(index, _)| holds(*index))
        .map(|(_, shard)| shard)
        .collect()
}

//! Which shards this process should own: its share of the platform's consumer group.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use cyclamentrail_adapter::Configuration;
use tokio::sync::{mpsc, watch};

use super::boot_clock::boot_ms;
use super::messages::FLEET_SHARD;
use super::node::Node;
use super::owner::{self, OwnerMessage};

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

/// A shard that this process owns or is taking over.
struct Held {
    sender: mpsc::UnboundedSender<OwnerMessage>,
    task: tokio::task::JoinHandle<()>,
}

/// Keeps the membership and owns what it deals to this process, until told to stop.
pub(crate) async fn keep(node: Arc<Node>, mut stop: watch::Receiver<bool>) {
    let ttl_ms = node.settings.min_member_ttl_ms * TTL_PERCENT / 100;
    let mut generation = 0;
    let mut partitions = BTreeSet::new();
    let mut held: HashMap<String, Held> = HashMap::new();
    let mut lost_ms: HashMap<String, u64> = HashMap::new();
    while !node.is_stopping() {
        let joined = node
            .store
            .join(GROUP, &node.settings.name, TOPIC, ttl_ms, generation)
            .await;
        let mut is_changed = false;
        let is_confirmed = joined.is_ok();
        match joined {
            Ok(answer) => {
                is_changed = answer.generation != generation;
                generation = answer.generation;
                partitions = answer.partitions.into_iter().collect();
            }
            Err(error) => log::debug!(error:% = error; "membership_not_confirmed"),
        }
        if node.is_stopping() {
            break;
        }
        if let Some(configuration) = node.configuration() {
            let wanted = wanted_shards(&configuration, &partitions, node.settings.partitions);
            drop_ended(&node, &mut held, &mut lost_ms);
            release(&node, &mut held, &wanted);
            if is_confirmed {
                acquire(&node, &mut held, &lost_ms, wanted);
            }
        }
        let pause = if is_changed { INTERVAL / 8 } else { INTERVAL };
        tokio::select! {
            () = tokio::time::sleep(pause) => {}
            _ = stop.wait_for(|stopped| *stopped) => break,
        }
    }
    for held in held.into_values() {
        drop(held.sender.send(OwnerMessage::Stop));
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

fn drop_ended(node: &Node, held: &mut HashMap<String, Held>, lost_ms: &mut HashMap<String, u64>) {
    held.retain(|shard, held| {
        let has_ended = held.task.is_finished();
        if has_ended {
            node.remove_owned(shard, &held.sender);
            lost_ms.insert(shard.clone(), boot_ms());
        }
        !has_ended
    });
}

fn release(node: &Node, held: &mut HashMap<String, Held>, wanted: &BTreeSet<String>) {
    held.retain(|shard, held| {
        let is_wanted = wanted.contains(shard);
        if !is_wanted {
            log::info!(shard = shard.as_str(); "shard_released");
            node.remove_owned(shard, &held.sender);
            drop(held.sender.send(OwnerMessage::Stop));
        }
        is_wanted
    });
}

fn acquire(
    node: &Arc<Node>,
    held: &mut HashMap<String, Held>,
    lost_ms: &HashMap<String, u64>,
    wanted: BTreeSet<String>,
) {
    for shard in wanted {
        let waits = lost_ms
            .get(&shard)
            .is_some_and(|lost| boot_ms().saturating_sub(*lost) < RECLAIM_MS);
        if held.contains_key(&shard) || waits {
            continue;
        }
        let (sender, receiver) = mpsc::unbounded_channel();
        let task = tokio::spawn(owner::run(
            Arc::clone(node),
            shard.clone(),
            sender.clone(),
            receiver,
        ));
        held.insert(shard, Held { sender, task });
    }
}

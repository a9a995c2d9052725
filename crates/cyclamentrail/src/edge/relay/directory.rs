//! Directory of the processes that relay calls: a consumer group that all processes join while they
//! own nothing. The store lists its members to any process.

use std::collections::BTreeSet;
use std::fmt::{Display, Formatter};
use std::sync::Arc;
use std::time::Duration;

use cyclamentrail_core::ZoneName;
use cyclamentrail_jobs::Relay;

use crate::edge::process_state::ProcessState;

/// Name of the consumer group.
const GROUP: &str = "relays";
/// Topic whose partitions the group assigns; no records are written to it.
const PARTITION_TOPIC: &str = "relays";
/// Time between two updates.
const UPDATE_INTERVAL: Duration = Duration::from_millis(1_500);
/// Time to live of a membership, in milliseconds. An owner notices a lost relay by itself, so that
/// this only decides for how long a lost one is listed.
const TTL_MS: u64 = 6_000;
/// Separates the zone from the address in a member's name.
const SEPARATOR: char = '@';

/// Name of a relay in the group.
#[derive(Debug, Clone, PartialEq, Eq)]
struct RelayName(Relay);

impl RelayName {
    /// Parses a name as the group lists it; `None` if it has another form.
    fn parse(text: &str) -> Option<Self> {
        let (zone, address) = text.split_once(SEPARATOR)?;
        Some(Self(Relay {
            zone: ZoneName::from(zone),
            address: address.parse().ok()?,
        }))
    }
}

impl Display for RelayName {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}{SEPARATOR}{}", self.0.zone, self.0.address)
    }
}

/// Keeps this process in the directory while it owns nothing, and reads the directory while it does,
/// until the process is stopping.
pub(crate) async fn maintain(process: Arc<ProcessState>) {
    let name = RelayName(Relay {
        zone: process.settings.zone.clone(),
        address: process.settings.internal_listener,
    });
    let mut generation = 0;
    let mut is_listed = false;
    while !process.is_stopping() {
        tokio::time::sleep(UPDATE_INTERVAL).await;
        if process.owns_any() {
            if is_listed {
                is_listed = leave(&process, &name).await;
            }
            read_directory(&process, &name).await;
        } else {
            is_listed = true;
            generation = join(&process, &name, generation).await;
        }
    }
    if is_listed {
        leave(&process, &name).await;
    }
}

/// Joins the group or stays in it; returns the group's generation.
async fn join(process: &ProcessState, name: &RelayName, generation: u64) -> u64 {
    let member = name.to_string();
    let store = &process.store;
    let joined = store.join(GROUP, &member, PARTITION_TOPIC, TTL_MS, generation);
    match joined.await {
        Ok(membership) => membership.generation,
        Err(error) => {
            log::debug!(error:% = error; "relay_not_listed");
            generation
        }
    }
}

/// Leaves the group; returns whether this process may still be listed.
async fn leave(process: &ProcessState, name: &RelayName) -> bool {
    match process.store.leave(GROUP, &name.to_string()).await {
        Ok(()) => false,
        Err(error) => {
            log::debug!(error:% = error; "relay_still_listed");
            true
        }
    }
}

/// Reads the listed relays; keeps those of the last read if the store doesn't respond.
async fn read_directory(process: &ProcessState, own_name: &RelayName) {
    let holders = process.store.partition_holders(GROUP, PARTITION_TOPIC);
    match holders.await {
        Ok(holders) => {
            let members: BTreeSet<&String> = holders.values().collect();
            let relays: Vec<Relay> = members
                .into_iter()
                .filter_map(|member| RelayName::parse(member))
                .filter(|listed| listed != own_name)
                .map(|listed| listed.0)
                .collect();
            process.relays.send_replace(Arc::new(relays));
        }
        Err(error) => log::debug!(error:% = error; "relays_not_read"),
    }
}

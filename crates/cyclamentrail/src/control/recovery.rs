//! Finds the newest state that a process can start from: a snapshot in the log or the state of a
//! peer.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use cyclamentrail_core::{Fleet, Offset};

use super::SnapshotStore;
use crate::peer::PeerClient;

/// Largest number of peers that one search queries, one after the other until one has a state.
const MAX_QUERIED_PEERS: usize = 3;

/// Finds the newest snapshot or peer's state.
#[derive(Debug, Clone)]
pub(crate) struct Recovery {
    snapshots: SnapshotStore,
    peers: PeerClient,
    addresses: PeerAddresses,
}

/// Addresses of peers that may be queried; the control thread keeps them current.
pub(crate) type PeerAddresses = Arc<Mutex<Vec<SocketAddr>>>;

impl Recovery {
    /// Creates the search over a store of snapshots and the peers at `addresses`.
    pub(crate) const fn new(
        snapshots: SnapshotStore,
        peers: PeerClient,
        addresses: PeerAddresses,
    ) -> Self {
        Self {
            snapshots,
            peers,
            addresses,
        }
    }

    /// Returns the newest state found that covers at least the record at `from`.
    pub(crate) async fn newest_state(&self, from: Offset) -> Option<Fleet> {
        let mut states: Vec<Fleet> = self.snapshots.newest().await.into_iter().collect();
        let latest = states.iter().map(Fleet::next_offset).max();
        for address in self.peers_to_query(&states) {
            let state = self.peers.state(address, latest.unwrap_or_default()).await;
            if let Some(state) = state {
                states.push(state);
                break;
            }
        }
        states
            .into_iter()
            .filter(|fleet| fleet.next_offset() > from)
            .max_by_key(Fleet::next_offset)
    }

    /// Returns the lowest addresses of the known peers and of the members in `states`.
    fn peers_to_query(&self, states: &[Fleet]) -> Vec<SocketAddr> {
        let mut addresses = self
            .addresses
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone();
        for fleet in states {
            addresses.extend(fleet.members().map(|(_, member)| member.peer_address));
        }
        addresses.sort_unstable();
        addresses.dedup();
        addresses.truncate(MAX_QUERIED_PEERS);
        addresses
    }
}

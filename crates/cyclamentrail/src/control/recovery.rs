//! Finds the newest state that a process can start from: a snapshot in the log or a peer's state.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use cyclamentrail_core::{Fleet, Offset};

use super::SnapshotStore;
use crate::peer::PeerClient;

/// Most peers that are asked at once.
const MAX_ASKED: usize = 3;

/// Finds states to start from.
#[derive(Debug, Clone)]
pub(crate) struct Recovery {
    snapshots: SnapshotStore,
    peers: PeerClient,
    addresses: PeerAddresses,
}

/// Addresses of peers that may be asked; control keeps them up to date.
pub(crate) type PeerAddresses = Arc<Mutex<Vec<SocketAddr>>>;

impl Recovery {
    /// Creates the search; `addresses` are those of the peers.
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

    /// Returns the newest state that is newer than `from`.
    pub(crate) async fn newest(&self, from: Offset) -> Option<Fleet> {
        let mut states: Vec<Fleet> = self.snapshots.newest().await.into_iter().collect();
        let known = states.iter().map(Fleet::next_offset).max();
        for address in self.asked(&states) {
            let state = self.peers.state(address, known.unwrap_or_default()).await;
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

    fn asked(&self, states: &[Fleet]) -> Vec<SocketAddr> {
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
        addresses.truncate(MAX_ASKED);
        addresses
    }
}

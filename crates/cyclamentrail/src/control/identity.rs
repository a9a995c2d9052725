//! Who this process is.

use std::net::SocketAddr;

use cyclamentrail_core::{EntryName, FORMAT, Incarnation, RecordBody, ZoneName};

/// Who this process is.
#[derive(Debug, Clone)]
pub(crate) struct Identity {
    /// Name of the entry instance.
    pub(crate) entry: EntryName,
    /// This membership of the process; a process that was evicted joins as a new one.
    pub(crate) incarnation: Incarnation,
    /// Availability zone that it stands in.
    pub(crate) zone: ZoneName,
    /// Address of its listener for peers.
    pub(crate) peer_address: SocketAddr,
}

impl Identity {
    /// Returns the record by which the process joins.
    pub(crate) fn joined(&self) -> RecordBody {
        RecordBody::EntryJoined {
            entry: self.entry.clone(),
            zone: self.zone.clone(),
            peer_address: self.peer_address,
            supports_format: FORMAT,
        }
    }

    /// Returns an incarnation that was never used.
    pub(crate) fn fresh_incarnation() -> Incarnation {
        Incarnation::new((rand::random::<u64>() >> 1).max(1))
    }
}

//! Names and addresses of this process.

use std::net::SocketAddr;

use cyclamentrail_core::{EntryName, Incarnation, RECORD_FORMAT, RecordBody, ZoneName};

/// Names and addresses by which this process joins the members.
#[derive(Debug, Clone)]
pub(crate) struct Identity {
    /// Name of the entry instance.
    pub(crate) entry: EntryName,
    /// Incarnation that the process is a member as; after an eviction it joins as a new one.
    pub(crate) incarnation: Incarnation,
    /// Availability zone of the entry instance.
    pub(crate) zone: ZoneName,
    /// Address of the process's listener for peers.
    pub(crate) peer_address: SocketAddr,
}

impl Identity {
    /// Returns the record by which the process joins the members.
    pub(crate) fn joined(&self) -> RecordBody {
        RecordBody::EntryJoined {
            entry: self.entry.clone(),
            zone: self.zone.clone(),
            peer_address: self.peer_address,
            supports_format: RECORD_FORMAT,
        }
    }

    /// Returns a new random incarnation, from 1 to the largest `i64`.
    pub(crate) fn new_incarnation() -> Incarnation {
        Incarnation::new((rand::random::<u64>() >> 1).max(1))
    }
}

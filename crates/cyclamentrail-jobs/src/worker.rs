//! Workers as their owner knows them.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use cyclamentrail_core::{LabelName, RackName, ServiceName, WorkerId, ZoneName};
use slotmap::new_key_type;

use crate::job::TaskKey;
use crate::{Lease, Pace, Resources};

new_key_type! {
    /// Key of a worker in its shard.
    pub struct WorkerKey;
}

/// One life of a worker, as the registry lists it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Registration {
    /// Its id.
    pub id: WorkerId,
    /// Unix time of its start in milliseconds; tells its lives apart.
    pub born_ms: u64,
    /// Where it takes orders.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
    /// The service whose tasks it runs.
    pub service: ServiceName,
    /// What it can hold.
    pub capacity: Resources,
    /// Its labels; one of them is its rack.
    pub labels: Vec<LabelName>,
    /// Whether it is about to leave.
    pub is_draining: bool,
    /// How much longer it stays slow after its start, in milliseconds.
    pub cold_ms: u64,
    /// Its own clock in milliseconds.
    pub clock_ms: u64,
}

/// Whether a worker can be reached.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Contact {
    /// It answers.
    Good,
    /// It hasn't answered since a moment of our clock, in milliseconds.
    Lost {
        /// Moment of the first call without an answer.
        since_ms: u64,
    },
}

/// A worker and what its owner has placed there.
#[derive(Debug, Clone)]
pub struct Worker {
    /// What the registry says.
    pub registration: Registration,
    /// Whether the registry still lists it.
    pub is_listed: bool,
    /// Lease of everything that runs there.
    pub lease: Lease,
    /// Capacity that is taken, stops and orders in flight included.
    pub used: Resources,
    /// Tasks that are placed there.
    pub tasks: BTreeSet<TaskKey>,
    /// Number of the last end that was taken in.
    pub seen: u64,
    /// Number of the last end that is durable.
    pub durable_seen: u64,
    /// Number of the last end that the worker was told to forget.
    pub acknowledged_seen: u64,
    /// When the last look was sent, on our clock in milliseconds.
    pub look_sent_ms: u64,
    /// Whether a look is on its way.
    pub is_looking: bool,
    /// When the next look is due, on our clock in milliseconds.
    pub look_ms: u64,
    /// Whether it answers.
    pub contact: Contact,
    /// Share of the tasks that fill it.
    pub pace: Pace,
    /// Until when nothing new is placed there, on our clock in milliseconds.
    pub avoid_until_ms: u64,
    /// Failures in a row; halved by each success.
    pub strikes: u32,
    /// Since when a duty wants it empty, on our clock in milliseconds.
    pub evacuating_since_ms: Option<u64>,
    /// Whether it has answered with our fencing token.
    pub is_adopted: bool,
}

impl Worker {
    /// Creates a worker on which nothing is placed.
    #[must_use]
    pub fn new(registration: Registration, now_ms: u64) -> Self {
        let mut lease = Lease::new();
        lease.read_clock(registration.clock_ms, now_ms);
        Self {
            registration,
            is_listed: true,
            lease,
            used: Resources::default(),
            tasks: BTreeSet::new(),
            seen: 0,
            durable_seen: 0,
            acknowledged_seen: 0,
            look_sent_ms: 0,
            is_looking: false,
            look_ms: 0,
            contact: Contact::Good,
            pace: Pace::new(),
            avoid_until_ms: 0,
            strikes: 0,
            evacuating_since_ms: None,
            is_adopted: false,
        }
    }

    /// Returns whether new tasks may be placed there.
    #[must_use]
    pub fn is_open(&self, now_ms: u64) -> bool {
        self.is_listed
            && !self.registration.is_draining
            && self.evacuating_since_ms.is_none()
            && self.contact == Contact::Good
            && self.avoid_until_ms <= now_ms
    }

    /// Returns what is left of its capacity.
    #[must_use]
    pub const fn free(&self) -> Resources {
        self.registration.capacity.minus(&self.used)
    }

    /// Returns whether it has a label.
    #[must_use]
    pub fn has_label(&self, label: &str) -> bool {
        self.registration
            .labels
            .iter()
            .any(|own| own.as_str() == label)
    }

    /// Returns whether it is on a rack.
    #[must_use]
    pub fn is_on(&self, rack: &RackName) -> bool {
        self.has_label(rack.as_str())
    }
}

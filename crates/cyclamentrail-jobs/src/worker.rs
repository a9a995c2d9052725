//! Registered workers and the state that the shard's owner keeps of each.

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

/// One incarnation of a worker, as the platform's registry lists it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Registration {
    /// Id of the worker, which all of its incarnations share.
    pub id: WorkerId,
    /// Start time of the incarnation, as Unix time in milliseconds.
    pub born_ms: u64,
    /// Address at which the worker accepts calls.
    pub address: SocketAddr,
    /// Availability zone of the worker.
    pub zone: ZoneName,
    /// Service whose tasks the worker runs.
    pub service: ServiceName,
    /// Total capacity of the worker.
    pub capacity: Resources,
    /// Labels of the worker, the name of its rack among them.
    pub labels: Vec<LabelName>,
    /// Whether the worker is about to leave and takes no new tasks.
    pub is_draining: bool,
    /// Remaining time for which the worker is slow after its start, in milliseconds.
    pub cold_ms: u64,
    /// Reading of the worker's clock, in milliseconds.
    pub clock_ms: u64,
}

/// Whether a worker responds to calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Contact {
    /// The worker responds.
    Good,
    /// The worker doesn't respond.
    Lost {
        /// Time of the first call without a response, on the owner's boot clock in milliseconds.
        since_ms: u64,
    },
}

/// A worker with the tasks that are placed on it.
#[derive(Debug, Clone)]
pub struct Worker {
    /// Newest registration of the worker.
    pub registration: Registration,
    /// Whether the registry still lists the worker.
    pub is_listed: bool,
    /// Lease under which all tasks of the worker run.
    pub lease: Lease,
    /// Capacity that is taken, also by runs that are starting or stopping.
    pub used: Resources,
    /// Tasks whose current run is placed on the worker.
    pub tasks: BTreeSet<TaskKey>,
    /// Highest sequence number of an ended run that the shard has handled.
    pub seen: u64,
    /// Highest sequence number of an ended run whose outcome is durable.
    pub durable_seen: u64,
    /// Highest sequence number of an ended run that was acknowledged to the worker, which then
    /// drops the entry.
    pub acknowledged_seen: u64,
    /// Time of the last poll on the owner's boot clock, in milliseconds.
    pub look_sent_ms: u64,
    /// Whether a poll is in flight.
    pub is_looking: bool,
    /// Time from which the next poll is due, on the owner's boot clock in milliseconds.
    pub look_ms: u64,
    /// Whether the worker responds to calls.
    pub contact: Contact,
    /// Processor share of the worker's best-effort tasks.
    pub pace: Pace,
    /// Time until which no task is placed on the worker, on the owner's boot clock in
    /// milliseconds.
    pub avoid_until_ms: u64,
    /// Count of recent failures; each success halves it.
    pub strikes: u32,
    /// Time since which the worker is to be emptied for maintenance or a move, on the owner's boot
    /// clock in milliseconds.
    pub evacuating_since_ms: Option<u64>,
    /// Whether the worker has responded to a call with this owner's fencing token.
    pub is_adopted: bool,
}

impl Worker {
    /// Creates a worker without tasks.
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

    /// Returns whether new tasks may be placed on the worker.
    #[must_use]
    pub fn is_open(&self, now_ms: u64) -> bool {
        self.is_listed
            && !self.registration.is_draining
            && self.evacuating_since_ms.is_none()
            && self.contact == Contact::Good
            && self.avoid_until_ms <= now_ms
    }

    /// Returns the unused capacity.
    #[must_use]
    pub const fn free(&self) -> Resources {
        self.registration.capacity.minus(&self.used)
    }

    /// Returns whether the worker has a label.
    #[must_use]
    pub fn has_label(&self, label: &str) -> bool {
        self.registration
            .labels
            .iter()
            .any(|own| own.as_str() == label)
    }

    /// Returns whether the worker is on a rack.
    #[must_use]
    pub fn is_on(&self, rack: &RackName) -> bool {
        self.has_label(rack.as_str())
    }
}

//! Registered workers and the state that the shard's owner keeps of each.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use cyclamentrail_core::{LabelName, RackName, ServiceName, WorkerId, ZoneName};
use slotmap::new_key_type;

use crate::job::TaskKey;
use crate::{BestEffortShare, FencingToken, Lease, Resources};

/// Time in milliseconds in which a worker can't end and start again.
const RESTART_MS: u64 = 200;

/// Time in milliseconds within which most workers respond to a first poll.
const FIRST_RESPONSE_MS: u64 = 50;

/// Longest time by which a worker's clock, or that of its start, may be ahead, in milliseconds.
const MAX_AHEAD_MS: u64 = 60 * 60 * 1_000;
/// Largest amount of each resource of a worker.
const MAX_AMOUNT: u64 = 1_000_000_000_000;

new_key_type! {
    /// Key of a worker in its shard.
    pub struct WorkerKey;
}

/// One incarnation of a worker, as the platform's registry lists it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkerRegistration {
    /// Id of the worker, which all of its incarnations share.
    pub id: WorkerId,
    /// Start time of the incarnation, as Unix time in milliseconds.
    pub started_ms: u64,
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
    pub warmup_ms: u64,
    /// Reading of the worker's clock, in milliseconds.
    pub clock_ms: u64,
}

impl WorkerRegistration {
    /// Returns whether the times and amounts can be those of a worker; `unix_ms` is the present Unix
    /// time in milliseconds. A start time ahead of it would keep out the worker that the id belongs to.
    #[must_use]
    pub fn is_plausible(&self, unix_ms: u64) -> bool {
        let latest_ms = unix_ms.saturating_add(MAX_AHEAD_MS);
        let times_ms = [self.started_ms, self.clock_ms, self.warmup_ms];
        let Resources {
            cpu_milli,
            memory_mib,
            gpus,
        } = self.capacity;
        times_ms.iter().all(|time_ms| *time_ms <= latest_ms)
            && [cpu_milli, memory_mib, gpus]
                .iter()
                .all(|amount| *amount <= MAX_AMOUNT)
    }
}

/// Whether a worker responds to calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reachability {
    /// The worker responds.
    Reachable,
    /// The worker doesn't respond.
    Unreachable {
        /// Time of the first call without a response, on the owner's boot clock in milliseconds.
        since_ms: u64,
    },
}

/// A worker with the tasks that are placed on it.
#[derive(Debug, Clone)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each flag is an observation of its own"
)]
pub struct Worker {
    /// Newest registration of the worker.
    pub registration: WorkerRegistration,
    /// Fencing token of the calls to this incarnation.
    pub token: FencingToken,
    /// Whether the registry still lists the worker.
    pub is_registered: bool,
    /// Lease under which all tasks of the worker run.
    pub lease: Lease,
    /// Capacity that is taken, also by runs that are starting or stopping.
    pub used_capacity: Resources,
    /// Tasks whose current run is placed on the worker.
    pub tasks: BTreeSet<TaskKey>,
    /// Highest sequence number of an ended run that the shard has handled.
    pub handled_sequence: u64,
    /// Highest sequence number of an ended run whose outcome is durable.
    pub durable_sequence: u64,
    /// Highest sequence number of an ended run that was acknowledged to the worker, which then
    /// drops the entry.
    pub acknowledged_sequence: u64,
    /// Time of the first poll on the owner's boot clock, in milliseconds; `None` before it.
    pub first_poll_ms: Option<u64>,
    /// Time of the last poll on the owner's boot clock, in milliseconds.
    pub poll_sent_ms: u64,
    /// Whether a poll is in flight.
    pub is_polling: bool,
    /// Time from which the next poll is due, on the owner's boot clock in milliseconds.
    pub next_poll_ms: u64,
    /// Time of the last response on the owner's boot clock, in milliseconds.
    pub heard_ms: u64,
    /// Time of the last report on the owner's boot clock, in milliseconds.
    pub reported_ms: u64,
    /// Whether the worker responds to calls.
    pub reachability: Reachability,
    /// Processor share of the worker's best-effort tasks.
    pub best_effort_share: BestEffortShare,
    /// Time until which no task is placed on the worker, on the owner's boot clock in
    /// milliseconds.
    pub avoid_until_ms: u64,
    /// Score of recent failures: incremented by a failure, halved by each success.
    pub failure_score: u32,
    /// Time since which the worker is to be emptied for maintenance or a move, on the owner's boot
    /// clock in milliseconds.
    pub evacuating_since_ms: Option<u64>,
    /// Whether this incarnation has responded to a call with its fencing token, so that it rejects calls
    /// to earlier incarnations and those of earlier owners.
    pub knows_token: bool,
    /// Whether the worker may have more ended runs than its last report listed.
    pub has_more_ends: bool,
    /// Runs in progress that the last report listed though they aren't assigned to the worker, with the
    /// time of the last stop command on the owner's boot clock in milliseconds; 0 if none was sent.
    pub unassigned_runs: BTreeMap<(TaskKey, u32), u64>,
    /// Capacity that they take.
    pub unassigned_demand: Resources,
}

impl Worker {
    /// Creates a worker without tasks.
    #[must_use]
    pub fn new(registration: WorkerRegistration, token: FencingToken, now_ms: u64) -> Self {
        let mut lease = Lease::new();
        lease.record_clock(registration.clock_ms, now_ms);
        Self {
            registration,
            token,
            is_registered: true,
            lease,
            used_capacity: Resources::default(),
            tasks: BTreeSet::new(),
            handled_sequence: 0,
            durable_sequence: 0,
            acknowledged_sequence: 0,
            first_poll_ms: None,
            poll_sent_ms: 0,
            is_polling: false,
            next_poll_ms: 0,
            heard_ms: 0,
            reported_ms: 0,
            reachability: Reachability::Reachable,
            best_effort_share: BestEffortShare::new(),
            avoid_until_ms: 0,
            failure_score: 0,
            evacuating_since_ms: None,
            knows_token: false,
            has_more_ends: false,
            unassigned_runs: BTreeMap::new(),
            unassigned_demand: Resources::default(),
        }
    }

    /// Extends the worker's lease to `length_ms` from now. Returns its end on the worker's clock in
    /// milliseconds, or `None` while no reading of that clock is known.
    ///
    /// A lease of an earlier owner doesn't outlast the extension, once the worker rejects that owner's
    /// commands.
    pub fn extend_lease(&mut self, now_ms: u64, length_ms: u64) -> Option<u64> {
        let until_ms = self.lease.extend(now_ms, length_ms)?;
        if self.knows_token {
            self.lease.drop_inherited();
        }
        Some(until_ms)
    }

    /// Returns the sequence number up to which the next poll acknowledges ended runs; 0 for none.
    ///
    /// Only a worker that reported a moment ago gets one: a new incarnation counts from 1, and would
    /// drop ends that nobody saw.
    #[must_use]
    pub const fn sequence_to_acknowledge(&self, now_ms: u64) -> u64 {
        let is_needed = self.durable_sequence > self.acknowledged_sequence;
        if is_needed && now_ms <= self.reported_ms + RESTART_MS {
            self.durable_sequence
        } else {
            0
        }
    }

    /// Returns whether new tasks may be placed on the worker. A task that is placed before the worker
    /// knows its token would run as long as a call to an earlier incarnation says.
    #[must_use]
    pub fn accepts_tasks(&self, now_ms: u64) -> bool {
        self.is_registered
            && self.knows_token
            && !self.registration.is_draining
            && self.evacuating_since_ms.is_none()
            && self.reachability == Reachability::Reachable
            && self.avoid_until_ms <= now_ms
    }

    /// Returns whether the worker may be about to respond to the first poll of this owner.
    #[must_use]
    pub fn awaits_first_response(&self, now_ms: u64) -> bool {
        let is_recent = |first_ms| now_ms < first_ms + FIRST_RESPONSE_MS;
        self.is_registered
            && !self.knows_token
            && self.reachability == Reachability::Reachable
            && self.first_poll_ms.is_none_or(is_recent)
    }

    /// Returns whether the worker has reported to this owner and responds.
    #[must_use]
    pub fn is_in_contact(&self) -> bool {
        self.knows_token && self.reachability == Reachability::Reachable
    }

    /// Returns the unused capacity.
    #[must_use]
    pub const fn free_capacity(&self) -> Resources {
        self.registration
            .capacity
            .saturating_sub(&self.used_capacity)
            .saturating_sub(&self.unassigned_demand)
    }

    /// Returns whether the load, of which `demand` is a part, exceeds the present capacity in something
    /// that `demand` takes. The capacity may have shrunk since the load was placed.
    #[must_use]
    pub const fn is_overloaded_by(&self, demand: &Resources) -> bool {
        let (used, capacity) = (&self.used_capacity, &self.registration.capacity);
        (demand.cpu_milli > 0 && used.cpu_milli > capacity.cpu_milli)
            || (demand.memory_mib > 0 && used.memory_mib > capacity.memory_mib)
            || (demand.gpus > 0 && used.gpus > capacity.gpus)
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
    pub fn is_on_rack(&self, rack: &RackName) -> bool {
        self.has_label(rack.as_str())
    }
}

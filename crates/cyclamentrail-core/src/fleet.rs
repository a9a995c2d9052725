//! State that all entries agree on, computed by folding the records of the platform's log.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use serde_json::Value;
use slotmap::new_key_type;

use crate::claim::Claims;
use crate::id::{BootId, Incarnation, Offset, Term, Version};
use crate::name::{EntryName, InstanceName, PoolName, ZoneName};
use crate::record::{DrainReason, FIRST_RECORD_FORMAT};
use crate::registry::Registry;
use crate::settings::Settings;
use crate::wave::Waves;

mod fold;
mod instances;
mod membership;
mod rejection;

use membership::{Departure, MemberSet};

pub use fold::FoldOutcome;
pub use rejection::{Rejection, RejectionKind};

new_key_type! {
    /// Key of an instance in the fleet.
    pub struct InstanceKey;
    /// Key of a member in the fleet.
    pub struct MemberKey;
}

/// State that results from folding the log up to an offset; identical on every entry.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Fleet {
    next_offset: Offset,
    clock_ms: u64,
    settings: Option<AcceptedSettings>,
    duty: Duty,
    members: Registry<MemberKey, Incarnation, Member>,
    instances: Registry<InstanceKey, InstanceName, Instance>,
    /// Log time in milliseconds until which an evicted member may still hold a permit to dispatch.
    fenced_until_ms: u64,
    /// Longest dispatch lease in milliseconds that was ever in force; a member that lags behind
    /// the log may still use it.
    longest_lease_ms: u64,
    /// Newest record format that was ever in use.
    used_format: u16,
    /// Member sets in which some member may still count the majority for its permit, oldest first.
    member_sets: Vec<MemberSet>,
    departed: BTreeMap<Incarnation, Departure>,
    /// Highest version that a removed instance had; an added instance starts above it, so that
    /// records about its predecessor of the same name don't apply to it.
    removed_version: Version,
    /// Instances that were removed while they needed a new boot; they still need one when they
    /// are added again.
    removed_unbooted: BTreeSet<InstanceName>,
    claims: Claims,
    waves: Waves,
}

/// Properties of a record and of the fleet that the folds of claims and waves use.
#[derive(Debug, Clone, Copy)]
pub struct FoldContext<'a> {
    /// Offset of the record.
    pub offset: Offset,
    /// Newest time in milliseconds that the log stamped on a record.
    pub clock_ms: u64,
    /// Author of the record.
    pub author: Incarnation,
    /// Settings in force.
    pub settings: Option<&'a Settings>,
}

/// Settings in force, with the change that introduced them.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AcceptedSettings {
    /// Version of the settings; rises by one with each accepted change.
    pub version: Version,
    /// Offset of the record that brought the settings into force.
    pub offset: Offset,
    /// Operator who made the last change.
    pub operator: String,
    /// Complete settings document, to which the next patch is applied.
    pub document: Arc<Value>,
    /// The document in its typed form.
    pub settings: Arc<Settings>,
}

/// Term and holder of the fleet duty.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Duty {
    /// Term in force; 0 before the duty is first claimed.
    pub term: Term,
    /// Member that holds the duty; `None` before the first claim and after the holder has left.
    pub holder: Option<Incarnation>,
}

/// An entry process that has joined and may obtain a permit to dispatch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Name of the entry instance.
    pub entry: EntryName,
    /// Availability zone of the entry.
    pub zone: ZoneName,
    /// Address of the entry's listener for peers.
    pub peer_address: SocketAddr,
    /// Newest record format that the entry's build supports.
    pub supports_format: u16,
    /// Sequence number of the last folded record that this member wrote.
    pub last_sequence: u64,
    /// Offset up to which the member is known to have folded the log.
    #[serde(rename = "seen")]
    pub folded_offset: Offset,
}

/// Agreed state of a worker instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// Version of the instance; rises by one with each accepted change.
    pub version: Version,
    /// The one pool that the instance belongs to.
    pub pool: PoolName,
    /// Newest recorded boot of the instance.
    pub boot: BootId,
    /// Whether the instance accepts new work.
    pub state: InstanceState,
    /// Whether the instance must boot before it may serve another pool, because an evicted member
    /// may still be connected to it.
    ///
    /// Two boot records clear the flag. The first is accepted as a floor if the instance's last
    /// change was made after the fence of the eviction had passed. The second must report a newer
    /// boot than the floor.
    pub needs_boot: bool,
    /// Boot recorded after the fence had passed; a newer boot clears `needs_boot`.
    pub boot_floor: Option<BootId>,
    /// Log time in milliseconds of the last accepted change.
    pub changed_ms: u64,
    /// Offset of the record that began the latest drain.
    #[serde(rename = "began")]
    pub drain_offset: Offset,
}

/// Whether an instance accepts new work.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceState {
    /// The instance accepts work for its pool.
    Serving,
    /// Members that have folded the drain send the instance no new work; some members may still
    /// have work in flight there.
    Draining {
        /// Reason for the drain.
        reason: DrainReason,
        /// Version of the instance at which the drain began; identifies the drain.
        drain: Version,
        /// Members that haven't released the instance.
        awaiting: BTreeSet<Incarnation>,
    },
    /// No member sends work to the instance and none is in flight.
    Drained {
        /// Reason for the drain that ended.
        reason: DrainReason,
    },
}

impl Default for Fleet {
    fn default() -> Self {
        Self::new()
    }
}

impl Fleet {
    /// Creates the state before the first record of the log.
    #[must_use]
    pub fn new() -> Self {
        Self {
            next_offset: Offset::default(),
            clock_ms: 0,
            settings: None,
            duty: Duty::default(),
            members: Registry::new(),
            instances: Registry::new(),
            fenced_until_ms: 0,
            longest_lease_ms: 0,
            used_format: FIRST_RECORD_FORMAT,
            member_sets: Vec::new(),
            departed: BTreeMap::new(),
            removed_version: Version::default(),
            removed_unbooted: BTreeSet::new(),
            claims: Claims::default(),
            waves: Waves::default(),
        }
    }

    /// Returns the offset of the next record to fold.
    #[must_use]
    pub const fn next_offset(&self) -> Offset {
        self.next_offset
    }

    /// Returns the newest time in milliseconds that the log stamped on a record.
    #[must_use]
    pub const fn clock_ms(&self) -> u64 {
        self.clock_ms
    }

    /// Returns the settings in force.
    #[must_use]
    pub const fn settings(&self) -> Option<&AcceptedSettings> {
        self.settings.as_ref()
    }

    /// Returns the term and the holder of the fleet duty.
    #[must_use]
    pub const fn duty(&self) -> &Duty {
        &self.duty
    }

    /// Returns the log time in milliseconds until which no instance changes its pool, because an
    /// evicted member may still hold a permit to dispatch.
    #[must_use]
    pub const fn fenced_until_ms(&self) -> u64 {
        self.fenced_until_ms
    }

    /// Returns the agreed state of idempotency keys.
    #[must_use]
    pub const fn claims(&self) -> &Claims {
        &self.claims
    }

    /// Returns the agreed state of maintenance waves.
    #[must_use]
    pub const fn waves(&self) -> &Waves {
        &self.waves
    }

    /// Returns the members, sorted by incarnation.
    pub fn members(&self) -> impl Iterator<Item = (Incarnation, &Member)> {
        self.members
            .iter()
            .map(|(&incarnation, member)| (incarnation, member))
    }

    /// Returns a member by its incarnation.
    #[must_use]
    pub fn member(&self, incarnation: Incarnation) -> Option<&Member> {
        self.members.get(&incarnation)
    }

    /// Returns the instances, sorted by name.
    pub fn instances(&self) -> impl Iterator<Item = (&InstanceName, &Instance)> {
        self.instances.iter()
    }

    /// Returns an instance by its name.
    #[must_use]
    pub fn instance(&self, name: &InstanceName) -> Option<&Instance> {
        self.instances.get(name)
    }
}

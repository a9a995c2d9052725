//! The fleet: the state that all entries agree on, as a fold of the log's records.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use serde_json::Value;
use slotmap::new_key_type;

use crate::claim::Claims;
use crate::id::{BootId, Incarnation, Offset, Term, Version};
use crate::name::{EntryName, InstanceName, PoolName, ZoneName};
use crate::record::{DrainReason, FIRST_FORMAT};
use crate::registry::Registry;
use crate::settings::Settings;
use crate::wave::Waves;

mod fold;
mod instances;
mod membership;
mod rejection;

use membership::{Departure, MemberSet};

pub use fold::Applied;
pub use rejection::{Rejection, RejectionKind};

new_key_type! {
    /// Key of an instance in the fleet.
    pub struct InstanceKey;
    /// Key of a member in the fleet.
    pub struct MemberKey;
}

/// State that follows from the records up to an offset; the same on every entry.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Fleet {
    next_offset: Offset,
    clock_ms: u64,
    settings: Option<AcceptedSettings>,
    duty: Duty,
    members: Registry<MemberKey, Incarnation, Member>,
    instances: Registry<InstanceKey, InstanceName, Instance>,
    /// Time of the log until which an evicted member may still hold a permission to dispatch.
    fenced_until_ms: u64,
    /// Longest dispatch lease that was ever in force; a lagging member may still use it.
    longest_lease_ms: u64,
    /// Newest record format that was ever in use.
    used_format: u16,
    /// Member sets that some member may still count its majority in, oldest first.
    member_sets: Vec<MemberSet>,
    departed: BTreeMap<Incarnation, Departure>,
    /// Highest version of an instance that was removed; an instance that is added starts above.
    removed_version: Version,
    /// Instances that were removed while they needed a new boot.
    removed_unbooted: BTreeSet<InstanceName>,
    claims: Claims,
    waves: Waves,
}

/// What a part of the fold may know of the record that it folds.
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

/// Settings in force.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AcceptedSettings {
    /// Version; rises by one with each accepted change.
    pub version: Version,
    /// Offset of the record that brought them into force.
    pub offset: Offset,
    /// Operator who made the last change.
    pub operator: String,
    /// The whole document, which later patches are applied to.
    pub document: Arc<Value>,
    /// The document as typed settings.
    pub settings: Arc<Settings>,
}

/// Who holds the fleet duty.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Duty {
    /// Term in force; 0 before the first claim.
    pub term: Term,
    /// The holder, if it is still a member.
    pub holder: Option<Incarnation>,
}

/// An entry process that may dispatch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Name of the entry instance.
    pub entry: EntryName,
    /// Availability zone of the entry.
    pub zone: ZoneName,
    /// Address of its listener for peers.
    pub peer_address: SocketAddr,
    /// Newest record format that it understands.
    pub supports_format: u16,
    /// Last record of this member that was folded.
    pub last_sequence: u64,
    /// Offset up to which it is known to have folded the log.
    pub seen: Offset,
}

/// A worker instance as all entries agree on it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// Version; rises by one with each accepted change of the instance.
    pub version: Version,
    /// The one pool that the instance belongs to.
    pub pool: PoolName,
    /// Boot that the agreed state holds for.
    pub boot: BootId,
    /// Whether it takes new work.
    pub state: InstanceState,
    /// Whether an evicted member may still hold a connection to it, so that it needs a new boot
    /// before it may serve another pool.
    ///
    /// The boot must be newer than one that was recorded after the fence of the eviction, on top
    /// of a change that was made after it too; so two records of boots clear it.
    pub needs_boot: bool,
    /// Boot recorded after the fence; the next newer one clears `needs_boot`.
    pub boot_floor: Option<BootId>,
    /// Time of the log in milliseconds at the last accepted change.
    pub changed_ms: u64,
    /// Offset at which the last drain began.
    pub began: Offset,
}

/// Whether an instance takes new work.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceState {
    /// It takes work for its pool.
    Serving,
    /// It gets no new work; some members may still have work in flight there.
    Draining {
        /// Why it drains.
        reason: DrainReason,
        /// Version at which the drain began.
        drain: Version,
        /// Members that haven't released it.
        awaiting: BTreeSet<Incarnation>,
    },
    /// Nobody sends to it and nothing is in flight.
    Drained {
        /// Why it was drained.
        reason: DrainReason,
    },
}

impl Default for Fleet {
    fn default() -> Self {
        Self::new()
    }
}

impl Fleet {
    /// Creates the state before the first record.
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
            used_format: FIRST_FORMAT,
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

    /// Returns who holds the fleet duty.
    #[must_use]
    pub const fn duty(&self) -> &Duty {
        &self.duty
    }

    /// Returns the time of the log in milliseconds until which no instance changes its pool,
    /// because an evicted member may still hold a permission to dispatch.
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

    /// Returns the members in the order of incarnations.
    pub fn members(&self) -> impl Iterator<Item = (Incarnation, &Member)> {
        self.members
            .iter()
            .map(|(&incarnation, member)| (incarnation, member))
    }

    /// Returns a member.
    #[must_use]
    pub fn member(&self, incarnation: Incarnation) -> Option<&Member> {
        self.members.get(&incarnation)
    }

    /// Returns the instances in the order of names.
    pub fn instances(&self) -> impl Iterator<Item = (&InstanceName, &Instance)> {
        self.instances.iter()
    }

    /// Returns an instance.
    #[must_use]
    pub fn instance(&self, name: &InstanceName) -> Option<&Instance> {
        self.instances.get(name)
    }
}

//! Compact form of the core crate's records, as the states of the models contain it.

use std::fmt;

use cyclamentrail_core::{
    BootId, ClaimOutcome, ClaimRecord, DrainReason, Incarnation, KeyDigest, LeaveReason, Offset,
    PoolName, Record, RecordBody, RecordId, RequestDigest, Term, UnknownReason, Version,
};
use serde_json::json;

use crate::site;

/// One of the two pools of the model.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Pool {
    /// Pool that the instance belongs to at the start.
    A,
    /// Pool that is empty at the start.
    B,
}

impl Pool {
    /// Returns the pool with a name; every name but that of pool A stands for pool B.
    #[must_use]
    pub fn from_name(name: &PoolName) -> Self {
        if name.as_str() == site::POOL_A {
            Self::A
        } else {
            Self::B
        }
    }

    /// Returns the other pool.
    #[must_use]
    pub const fn other(self) -> Self {
        match self {
            Self::A => Self::B,
            Self::B => Self::A,
        }
    }

    /// Returns the name of the pool.
    #[must_use]
    pub fn name(self) -> PoolName {
        match self {
            Self::A => PoolName::from(site::POOL_A),
            Self::B => PoolName::from(site::POOL_B),
        }
    }
}

/// Body of a record. Entries are numbered from 0.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ModelBody {
    /// The author joins the members.
    Join,
    /// The author stops in order and leaves the members.
    Stop,
    /// The author evicts another entry.
    Evict {
        /// Number of the evicted entry.
        evicted: u8,
        /// Witnesses of the eviction as a bit set; bit n stands for entry n.
        witnesses: u8,
    },
    /// The author claims the fleet duty.
    ClaimDuty {
        /// Term that the claim presumes.
        presumes: u8,
    },
    /// The author begins a drain of the instance.
    BeginDrain {
        /// Version of the instance that the record presumes.
        presumes: u8,
    },
    /// The author releases the draining instance, to which it sends no more requests.
    ReleaseDrain {
        /// Version of the instance at which the drain began.
        drain: u8,
    },
    /// The author reports the boot that the platform lists for the instance.
    Boot {
        /// Version of the instance that the record presumes.
        presumes: u8,
        /// Number of the boot.
        boot: u8,
    },
    /// The author assigns the drained instance to a pool.
    Assign {
        /// Version of the instance that the record presumes.
        presumes: u8,
        /// Pool that the instance is assigned to.
        pool: Pool,
    },
    /// The author passes on a change of the settings by its operator.
    ChangeSettings {
        /// Version of the settings that the change presumes.
        presumes: u8,
        /// New value of the setting that the models change.
        value: u8,
    },
    /// The author claims the idempotency key.
    ClaimKey,
    /// The author ran the request of the idempotency key.
    FinishClaim {
        /// Offset of the author's claim in the log.
        claim: u8,
    },
    /// The author didn't run the request of the idempotency key, and won't run it under this claim.
    ReleaseClaim {
        /// Offset of the author's claim in the log.
        claim: u8,
    },
}

/// Record in the log of a model.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ModelRecord {
    /// Number of the entry that wrote the record.
    pub author: u8,
    /// Sequence number that the author gave the record.
    pub sequence: u8,
    /// Time of the append on the log's clock, in ticks.
    pub tick: u8,
    /// Body of the record.
    pub body: ModelBody,
}

impl fmt::Display for ModelRecord {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "entry {}'s {:?}", self.author, self.body)
    }
}

impl ModelRecord {
    /// Returns the record in the form in which entries write it to the log.
    #[must_use]
    pub fn record(self) -> Record {
        Record {
            format: 1,
            id: RecordId::new(incarnation(self.author), u64::from(self.sequence)),
            body: Some(self.record_body()),
        }
    }

    fn record_body(self) -> RecordBody {
        match self.body {
            ModelBody::Join => site::joined_body(self.author),
            ModelBody::Stop => left_body(self.author, LeaveReason::Stopped),
            ModelBody::Evict { evicted, witnesses } => {
                let witnesses = (0..8)
                    .filter(|entry| witnesses & (1_u8 << entry) != 0)
                    .map(incarnation)
                    .collect();
                left_body(evicted, LeaveReason::Evicted { witnesses })
            }
            ModelBody::ClaimDuty { presumes } => RecordBody::DutyClaimed {
                presumes: Term::new(presumes.into()),
            },
            ModelBody::BeginDrain { presumes } => RecordBody::DrainBegun {
                instance: site::instance_name(),
                presumes: Version::new(presumes.into()),
                reason: DrainReason::Move,
            },
            ModelBody::ReleaseDrain { drain } => RecordBody::DrainReleased {
                instance: site::instance_name(),
                drain: Version::new(drain.into()),
            },
            ModelBody::Boot { presumes, boot } => RecordBody::InstanceBooted {
                instance: site::instance_name(),
                presumes: Version::new(presumes.into()),
                boot: BootId::new(boot.into()),
            },
            ModelBody::Assign { presumes, pool } => RecordBody::InstanceAssigned {
                instance: site::instance_name(),
                presumes: Version::new(presumes.into()),
                pool: pool.name(),
            },
            ModelBody::ClaimKey => RecordBody::Claim(ClaimRecord::Claimed {
                key: key_digest(),
                request: RequestDigest::of(&["request"]),
                seen_ms: 0,
            }),
            ModelBody::FinishClaim { claim } => RecordBody::Claim(ClaimRecord::Finished {
                key: key_digest(),
                claim: Offset::new(claim.into()),
                outcome: ClaimOutcome::Unknown(UnknownReason::TimedOut),
            }),
            ModelBody::ReleaseClaim { claim } => RecordBody::Claim(ClaimRecord::Released {
                key: key_digest(),
                claim: Offset::new(claim.into()),
            }),
            ModelBody::ChangeSettings { presumes, value } => RecordBody::SettingsChanged {
                presumes: Version::new(presumes.into()),
                patch: json!({"region": value.to_string()}),
                operator: format!("operator {}", self.author),
            },
        }
    }
}

fn left_body(evicted: u8, reason: LeaveReason) -> RecordBody {
    RecordBody::EntryLeft {
        incarnation: incarnation(evicted),
        reason,
    }
}

/// Returns the incarnation of the entry with a number.
pub(crate) fn incarnation(entry: u8) -> Incarnation {
    Incarnation::new(u64::from(entry) + 1)
}

/// Returns a version, term or offset as `u8`, the type in which states keep it to stay small.
pub(crate) fn to_u8(number: u64) -> u8 {
    u8::try_from(number).unwrap_or(u8::MAX)
}

/// Returns the digest of the only idempotency key.
pub(crate) fn key_digest() -> KeyDigest {
    KeyDigest::of(&["key"])
}

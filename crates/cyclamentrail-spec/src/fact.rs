//! Records in the small form that states hold.

use std::fmt;

use cyclamentrail_core::{
    BootId, ClaimOutcome, ClaimRecord, DrainReason, Incarnation, KeyDigest, LeaveReason, Offset,
    PoolName, Record, RecordBody, RecordId, RequestDigest, Term, UnknownReason, Version,
};
use serde_json::json;

use crate::site;

/// A pool of the model.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Pool {
    /// The pool that the instance starts in.
    A,
    /// Another pool.
    B,
}

impl Pool {
    /// Returns the pool of a name.
    #[must_use]
    pub fn of(name: &PoolName) -> Self {
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

/// Content of a record; entries are numbered from 0.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Fact {
    /// The author joins.
    Join,
    /// The author stopped in order.
    Stop,
    /// An entry is evicted.
    Evict {
        /// The evicted entry.
        gone: u8,
        /// Bit n stands for entry n as a witness.
        witnesses: u8,
    },
    /// The author claims the duty.
    Claim {
        /// Term that it presumes.
        presumes: u8,
    },
    /// The instance begins to drain.
    Drain {
        /// Version of the instance that it presumes.
        presumes: u8,
    },
    /// The author released the instance.
    Release {
        /// Version at which the drain began.
        drain: u8,
    },
    /// The instance was seen with a boot.
    Boot {
        /// Version of the instance that it presumes.
        presumes: u8,
        /// The boot.
        boot: u8,
    },
    /// The drained instance is given to a pool.
    Assign {
        /// Version of the instance that it presumes.
        presumes: u8,
        /// The pool.
        pool: Pool,
    },
    /// The author's operator sets a value.
    Change {
        /// Version of the settings that it presumes.
        presumes: u8,
        /// The value.
        value: u8,
    },
    /// The author claims the key.
    KeyClaim,
    /// The author ran the key's request.
    KeyFinish {
        /// Offset of the claim.
        claim: u8,
    },
    /// The author didn't run the key's request and never will under this claim.
    KeyRelease {
        /// Offset of the claim.
        claim: u8,
    },
}

/// One record of the model's log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Logged {
    /// Number of the author.
    pub author: u8,
    /// The author's sequence number.
    pub sequence: u8,
    /// Time of the log.
    pub at: u8,
    /// Content.
    pub fact: Fact,
}

impl fmt::Display for Logged {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "entry {} {:?}", self.author, self.fact)
    }
}

impl Logged {
    /// Returns the record as the product writes it.
    #[must_use]
    pub fn record(self) -> Record {
        Record {
            format: 1,
            id: RecordId::new(incarnation(self.author), u64::from(self.sequence)),
            body: Some(self.body()),
        }
    }

    fn body(self) -> RecordBody {
        match self.fact {
            Fact::Join => site::joined(self.author),
            Fact::Stop => left(self.author, LeaveReason::Stopped),
            Fact::Evict { gone, witnesses } => {
                let witnesses = (0..8)
                    .filter(|entry| witnesses & (1_u8 << entry) != 0)
                    .map(incarnation)
                    .collect();
                left(gone, LeaveReason::Evicted { witnesses })
            }
            Fact::Claim { presumes } => RecordBody::DutyClaimed {
                presumes: Term::new(presumes.into()),
            },
            Fact::Drain { presumes } => RecordBody::DrainBegun {
                instance: site::instance(),
                presumes: Version::new(presumes.into()),
                reason: DrainReason::Move,
            },
            Fact::Release { drain } => RecordBody::DrainReleased {
                instance: site::instance(),
                drain: Version::new(drain.into()),
            },
            Fact::Boot { presumes, boot } => RecordBody::InstanceBooted {
                instance: site::instance(),
                presumes: Version::new(presumes.into()),
                boot: BootId::new(boot.into()),
            },
            Fact::Assign { presumes, pool } => RecordBody::InstanceAssigned {
                instance: site::instance(),
                presumes: Version::new(presumes.into()),
                pool: pool.name(),
            },
            Fact::KeyClaim => RecordBody::Claim(ClaimRecord::Claimed {
                key: key(),
                request: RequestDigest::of(&["request"]),
                seen_ms: 0,
            }),
            Fact::KeyFinish { claim } => RecordBody::Claim(ClaimRecord::Finished {
                key: key(),
                claim: Offset::new(claim.into()),
                outcome: ClaimOutcome::Unknown(UnknownReason::TimedOut),
            }),
            Fact::KeyRelease { claim } => RecordBody::Claim(ClaimRecord::Released {
                key: key(),
                claim: Offset::new(claim.into()),
            }),
            Fact::Change { presumes, value } => RecordBody::SettingsChanged {
                presumes: Version::new(presumes.into()),
                patch: json!({"region": value.to_string()}),
                operator: format!("operator {}", self.author),
            },
        }
    }
}

fn left(gone: u8, reason: LeaveReason) -> RecordBody {
    RecordBody::EntryLeft {
        incarnation: incarnation(gone),
        reason,
    }
}

/// Returns the incarnation of an entry.
pub(crate) fn incarnation(entry: u8) -> Incarnation {
    Incarnation::new(u64::from(entry) + 1)
}

/// Returns a number of the product in the small form that states hold.
pub(crate) fn small(number: u64) -> u8 {
    u8::try_from(number).unwrap_or(u8::MAX)
}

/// Returns the only idempotency key.
pub(crate) fn key() -> KeyDigest {
    KeyDigest::of(&["key"])
}

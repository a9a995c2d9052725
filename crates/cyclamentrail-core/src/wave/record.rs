//! Records about maintenance waves, moves and lost instances.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::{Boots, InstanceSet};
use crate::id::Version;
use crate::name::{InstanceName, PoolName, WaveName};

/// A record about maintenance waves, moves or lost instances.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WaveRecord {
    /// An operator creates a wave.
    Created {
        /// Version of the waves that the operator saw.
        presumes: Version,
        /// Name of the wave; not used before.
        wave: WaveName,
        /// Instances that it maintains.
        instances: InstanceSet,
        /// Operator who asked for it.
        operator: String,
    },
    /// An operator pauses, resumes or cancels a wave.
    Controlled {
        /// Version of the wave that the operator saw.
        presumes: Version,
        /// The wave.
        wave: WaveName,
        /// What is to happen.
        control: WaveControl,
        /// Operator who asked for it.
        operator: String,
    },
    /// The holder of the duty goes on with a wave.
    Advanced {
        /// Step that the decision was made on.
        presumes: Version,
        /// The wave.
        wave: WaveName,
        /// What changes.
        advance: Advance,
    },
    /// An instance was seen not to work.
    Lost {
        /// The instance.
        instance: InstanceName,
        /// How it was seen.
        kind: LossKind,
    },
    /// A lost instance was seen to work again.
    Found {
        /// The instance.
        instance: InstanceName,
    },
    /// An instance is to move to another pool.
    MoveOrdered {
        /// Version of the waves for an operator's move, step for the planner's.
        presumes: Version,
        /// The instance.
        instance: InstanceName,
        /// The pool that it is to belong to.
        to: PoolName,
        /// Why it moves.
        reason: MoveReason,
    },
    /// A move that hasn't begun to drain is given up.
    MoveDropped {
        /// Step that the decision was made on.
        presumes: Version,
        /// The instance.
        instance: InstanceName,
    },
}

/// What an operator does with a wave.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WaveControl {
    /// It takes no more instances until it is resumed.
    Pause,
    /// It goes on.
    Resume,
    /// It takes no more instances and ends when those in hand are back.
    Cancel,
}

/// One step of a wave.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Advance {
    /// Instances taken into hand, with the boots that the list shows.
    pub taken: Boots,
    /// Drained instances that are rebooted from now on.
    pub rebooting: InstanceSet,
    /// Instances that serve again, on probation.
    pub returned: InstanceSet,
    /// Instances that passed their probation.
    pub done: InstanceSet,
    /// Instances that are given back without maintenance, since the wave was cancelled.
    pub released: InstanceSet,
    /// Instances that failed.
    pub failed: BTreeMap<InstanceName, FailureKind>,
}

impl Advance {
    /// Returns whether nothing changes.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}

/// How an instance failed in a wave.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FailureKind {
    /// It didn't come back from its reboot in time.
    DidNotReturn,
    /// It came back and failed its work.
    FailsAfterReturn,
    /// It was gone before the wave took it; the wave isn't to blame.
    Gone,
}

/// How an instance was seen not to work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LossKind {
    /// It is not on the platform's list.
    Unlisted,
    /// It is on the list and doesn't answer, or fails everything.
    Failing,
}

/// Why an instance moves to another pool.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MoveReason {
    /// An operator asked for it.
    Operator {
        /// Who asked.
        operator: String,
    },
    /// The pool couldn't lose its worst domain any more.
    Shortage,
    /// A wave can't take any instance of the pool without one more.
    WaveRoom,
    /// The pool holds more than its contract needs; the instance goes back to a spare pool.
    Surplus,
}

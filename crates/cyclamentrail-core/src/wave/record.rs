//! Records about maintenance waves, moves between pools and lost instances.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::{Boots, InstanceSet};
use crate::id::Version;
use crate::name::{InstanceName, PoolName, WaveName};

/// A record about a maintenance wave, a move or a lost instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WaveRecord {
    /// An operator created a wave.
    Created {
        /// [`Waves::version`](super::Waves::version) that the operator's request was based on.
        presumes: Version,
        /// Name of the wave, which no remembered wave has.
        wave: WaveName,
        /// Instances that the wave maintains.
        instances: InstanceSet,
        /// Operator who created the wave.
        operator: String,
    },
    /// An operator paused, resumed or cancelled a wave.
    Controlled {
        /// Version of the wave that the operator's request was based on.
        presumes: Version,
        /// Name of the wave.
        wave: WaveName,
        /// What the operator requested.
        control: WaveControl,
        /// Operator who made the request.
        operator: String,
    },
    /// The holder of the fleet duty advanced a wave.
    Advanced {
        /// [`Waves::duty_version`](super::Waves::duty_version) that the decision was based on.
        presumes: Version,
        /// Name of the wave.
        wave: WaveName,
        /// Instances that change their step in the wave.
        advance: WaveAdvance,
    },
    /// An instance counts as lost, because it doesn't work.
    Lost {
        /// Name of the instance.
        instance: InstanceName,
        /// Kind of the loss.
        kind: LossKind,
    },
    /// A lost instance works again, or the settings no longer list it.
    #[serde(rename = "found")]
    LossEnded {
        /// Name of the instance.
        instance: InstanceName,
    },
    /// An instance was ordered to move to another pool.
    MoveOrdered {
        /// [`Waves::version`](super::Waves::version) for an operator's move,
        /// [`Waves::duty_version`](super::Waves::duty_version) for one that the planner ordered.
        presumes: Version,
        /// Name of the instance.
        instance: InstanceName,
        /// Pool that the instance moves to.
        to: PoolName,
        /// Reason for the move.
        reason: MoveReason,
    },
    /// A move was cancelled before the drain of its instance began.
    MoveDropped {
        /// [`Waves::duty_version`](super::Waves::duty_version) that the decision was based on.
        presumes: Version,
        /// Name of the instance.
        instance: InstanceName,
    },
}

/// Operator's control of a wave.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WaveControl {
    /// The wave takes no further instances until it is resumed.
    Pause,
    /// A paused or halted wave continues.
    Resume,
    /// The wave takes no further instances and ends when those in maintenance serve again.
    Cancel,
}

/// One step of a wave: the instances that change their state in it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct WaveAdvance {
    /// Instances that the wave takes out of service, with their boots on the platform's list.
    pub taken: Boots,
    /// Instances that are drained and reboot from now on.
    pub rebooting: InstanceSet,
    /// Instances that have rebooted and serve again, on probation.
    pub returned: InstanceSet,
    /// Instances that passed their probation.
    pub done: InstanceSet,
    /// Instances that the wave releases without maintenance, because it was cancelled or the
    /// settings no longer list the instance.
    pub released: InstanceSet,
    /// Instances that failed or were skipped.
    pub failed: BTreeMap<InstanceName, FailureKind>,
}

impl WaveAdvance {
    /// Returns whether the step changes nothing.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}

/// Kind of an instance's failure in a wave.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FailureKind {
    /// The instance didn't return from its reboot in time.
    DidNotReturn,
    /// The instance returned from its reboot and stopped working during its probation.
    FailsAfterReturn,
    /// The instance was unavailable before the wave took it, so the wave skipped it; not counted as
    /// a failure of the wave.
    #[serde(rename = "gone")]
    Unavailable,
}

/// Kind of an instance's loss.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LossKind {
    /// The platform's list doesn't contain the instance.
    Unlisted,
    /// The platform's list contains the instance, which doesn't respond or fails all its work.
    Failing,
}

/// Reason for the move of an instance to another pool.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MoveReason {
    /// An operator ordered the move.
    Operator {
        /// Operator who ordered the move.
        operator: String,
    },
    /// The pool couldn't keep its promise if its worst domain were lost.
    Shortage,
    /// A wave can't take any instance of the pool unless the pool gets one more.
    WaveRoom,
    /// The pool has more instances than its contracts need; the instance returns to a spare pool.
    Surplus,
}

//! One maintenance wave and one move, as all entries agree on them.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use super::{FailureKind, InstanceSet, MoveReason};
use crate::id::{BootId, Version};
use crate::name::{InstanceName, PoolName};

/// A maintenance wave; each instance is in exactly one of its sets.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Wave {
    /// Version that an operator's control presumes; rises with each control and each halt.
    pub version: Version,
    /// Operator who created it.
    pub operator: String,
    /// Log time in milliseconds at which it was created.
    pub created_ms: u64,
    /// Log time in milliseconds at which it ended.
    pub ended_ms: Option<u64>,
    /// Whether it takes instances.
    pub state: WaveState,
    /// Instances that it hasn't taken yet.
    pub pending: InstanceSet,
    /// Instances in hand.
    pub open: BTreeMap<InstanceName, OpenStep>,
    /// Instances that passed, with the log time in milliseconds.
    pub done: BTreeMap<InstanceName, u64>,
    /// Instances that failed.
    pub failed: BTreeMap<InstanceName, Failure>,
    /// Whether each of the last finished instances passed, oldest first.
    pub recent: VecDeque<bool>,
}

/// Whether a wave takes instances.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WaveState {
    /// It takes instances as the contracts allow.
    Running,
    /// An operator paused it.
    Paused {
        /// Who paused it.
        operator: String,
    },
    /// It halted by itself, since too many instances failed.
    Halted {
        /// Failures among the last finished instances.
        failures: u32,
        /// Finished instances that were looked at.
        of: u32,
    },
    /// An operator cancelled it.
    Cancelled {
        /// Who cancelled it.
        operator: String,
    },
    /// Every instance passed or failed.
    Ended,
}

/// How far an instance in hand is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OpenStep {
    /// It is taken and drains.
    Taken {
        /// Boot that it had.
        boot: BootId,
    },
    /// It is drained and reboots.
    Rebooting {
        /// Boot that it had; it is back with a newer one.
        boot: BootId,
    },
    /// It serves again, on probation.
    Returned {
        /// Boot that it had before.
        boot: BootId,
    },
}

/// An instance that failed in a wave.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Failure {
    /// How it failed.
    pub kind: FailureKind,
    /// Boot that it had before.
    pub boot: BootId,
    /// Log time in milliseconds.
    pub at_ms: u64,
}

/// A move that is under way.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MoveOrder {
    /// The pool that the instance is to belong to.
    pub to: PoolName,
    /// Why it moves.
    pub reason: MoveReason,
    /// Log time in milliseconds at which it was ordered.
    pub ordered_ms: u64,
}

/// A move that is done.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Moved {
    /// The instance.
    pub instance: InstanceName,
    /// The pool that it was given to.
    pub to: PoolName,
    /// Why it moved.
    pub reason: MoveReason,
    /// Log time in milliseconds at which it was given.
    pub at_ms: u64,
}

impl OpenStep {
    /// Returns the boot that the instance had when it was taken.
    #[must_use]
    pub const fn boot(&self) -> BootId {
        match *self {
            Self::Taken { boot } | Self::Rebooting { boot } | Self::Returned { boot } => boot,
        }
    }
}

impl Wave {
    /// Returns whether nothing is left to do.
    #[must_use]
    pub const fn is_finished(&self) -> bool {
        self.ended_ms.is_some()
    }

    /// Returns whether it may take instances.
    #[must_use]
    pub fn is_running(&self) -> bool {
        self.state == WaveState::Running
    }

    /// Returns whether it was cancelled.
    #[must_use]
    pub const fn is_cancelled(&self) -> bool {
        matches!(self.state, WaveState::Cancelled { .. })
    }
}

//! Agreed state of a maintenance wave and of a move between pools.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use super::{FailureKind, InstanceSet, MoveReason};
use crate::id::{BootId, Version};
use crate::name::{InstanceName, PoolName};

/// A maintenance wave.
///
/// Each instance of the wave is in exactly one of `pending`, `in_maintenance`, `done` and `failed`;
/// an instance that a cancelled wave no longer maintains is in none.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Wave {
    /// Version that an operator's next control presumes; rises with each control and each halt.
    pub version: Version,
    /// Operator who created the wave.
    pub operator: String,
    /// Log time in milliseconds at which the wave was created.
    pub created_ms: u64,
    /// Log time in milliseconds at which the wave ended; `None` while it is unfinished.
    pub ended_ms: Option<u64>,
    /// Whether the wave takes further instances.
    pub state: WaveState,
    /// Instances that the wave hasn't taken out of service yet.
    pub pending: InstanceSet,
    /// Instances in maintenance, with the step that each has reached.
    #[serde(rename = "open")]
    pub in_maintenance: BTreeMap<InstanceName, MaintenanceStep>,
    /// Instances that passed their probation, with the log time in milliseconds.
    pub done: BTreeMap<InstanceName, u64>,
    /// Instances that failed in the wave.
    pub failed: BTreeMap<InstanceName, Failure>,
    /// Results of the last finished instances, oldest first: true if the instance passed. Instances
    /// that were skipped aren't counted.
    #[serde(rename = "recent")]
    pub recent_results: VecDeque<bool>,
}

/// State of a wave, which determines whether the wave takes further instances.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WaveState {
    /// The wave takes instances as far as the contracts allow.
    Running,
    /// An operator paused the wave.
    Paused {
        /// Operator who paused the wave.
        operator: String,
    },
    /// The wave halted itself because too many instances failed.
    Halted {
        /// Number of failures among the last finished instances.
        failures: u32,
        /// Number of the last finished instances that were counted.
        of: u32,
    },
    /// An operator cancelled the wave.
    Cancelled {
        /// Operator who cancelled the wave.
        operator: String,
    },
    /// Every instance of the wave passed or failed.
    Ended,
}

/// Step of an instance in maintenance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MaintenanceStep {
    /// The wave took the instance, which drains.
    Taken {
        /// Boot of the instance when it was taken.
        boot: BootId,
    },
    /// The instance is drained and reboots.
    Rebooting {
        /// Boot of the instance when it was taken; a newer boot shows that it has rebooted.
        boot: BootId,
    },
    /// The instance serves again, on probation.
    Returned {
        /// Boot of the instance when it was taken.
        boot: BootId,
    },
}

/// Failure of an instance in a wave.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Failure {
    /// Kind of the failure.
    pub kind: FailureKind,
    /// Boot of the instance when it was taken; 0 if the wave hadn't taken it.
    pub boot: BootId,
    /// Log time of the failure in milliseconds.
    pub at_ms: u64,
}

/// An ordered move of an instance that hasn't finished.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MoveOrder {
    /// Pool that the instance moves to.
    pub to: PoolName,
    /// Reason for the move.
    pub reason: MoveReason,
    /// Log time in milliseconds at which the move was ordered.
    pub ordered_ms: u64,
}

/// A finished move of an instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FinishedMove {
    /// Instance that was moved.
    pub instance: InstanceName,
    /// Pool that the instance was moved to.
    pub to: PoolName,
    /// Reason for the move.
    pub reason: MoveReason,
    /// Log time in milliseconds at which the instance was assigned to the pool.
    pub at_ms: u64,
}

impl MaintenanceStep {
    /// Returns the boot that the instance had when it was taken.
    #[must_use]
    pub const fn boot(&self) -> BootId {
        match *self {
            Self::Taken { boot } | Self::Rebooting { boot } | Self::Returned { boot } => boot,
        }
    }
}

impl Wave {
    /// Returns whether the wave has ended.
    #[must_use]
    pub const fn is_finished(&self) -> bool {
        self.ended_ms.is_some()
    }

    /// Returns whether the wave may take further instances.
    #[must_use]
    pub fn is_running(&self) -> bool {
        self.state == WaveState::Running
    }

    /// Returns whether the wave was cancelled.
    #[must_use]
    pub const fn is_cancelled(&self) -> bool {
        matches!(self.state, WaveState::Cancelled { .. })
    }
}

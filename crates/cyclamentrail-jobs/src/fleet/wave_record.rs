//! Stored progress of a maintenance wave.

use cyclamentrail_core::InstanceName;
use serde::{Deserialize, Serialize};

/// Progress of a wave, as the holder of the machine duties stores it for its successor.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaveRecord {
    /// Time since the wave was first seen, in milliseconds.
    pub age_ms: u64,
    /// Unix time at which the record was written, in milliseconds.
    pub written_ms: u64,
    /// Machines that had their maintenance in the wave.
    pub machines: Vec<InstanceName>,
}

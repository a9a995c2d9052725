//! Timing of membership and agreement.

use std::time::Duration;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

/// Timing of membership and agreement.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ControlSettings {
    /// Interval in milliseconds between heartbeats to each peer.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[schemars(with = "u64", range(min = 1))]
    pub heartbeat_ms: Duration,
    /// Time in milliseconds for which a confirmed view permits dispatch.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[schemars(with = "u64", range(min = 1))]
    pub dispatch_lease_ms: Duration,
    /// Longest delay in milliseconds before records are appended as a batch.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[schemars(with = "u64")]
    pub append_delay_ms: Duration,
    /// Interval in milliseconds between two looks at the instance list.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[schemars(with = "u64", range(min = 1))]
    pub list_interval_ms: Duration,
    /// Records between two snapshots.
    #[schemars(range(min = 1))]
    pub snapshot_records: u64,
    /// Time limit in milliseconds for one call of the platform.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[schemars(with = "u64", range(min = 1))]
    pub platform_timeout_ms: Duration,
}

impl ControlSettings {
    /// Returns the dispatch lease in milliseconds.
    #[must_use]
    pub fn dispatch_lease_ms(&self) -> u64 {
        u64::try_from(self.dispatch_lease_ms.as_millis()).unwrap_or(u64::MAX)
    }
}

//! Timing of membership, of the log and of the calls of the platform.

use std::time::Duration;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

/// Timing of membership, of the log and of the calls of the platform.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ControlSettings {
    /// Interval in milliseconds between two heartbeats to a peer; longer when there are many peers.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[schemars(with = "u64", range(min = 1))]
    pub heartbeat_ms: Duration,
    /// Time in milliseconds for which an entry may dispatch after its state was confirmed by the
    /// log or by a majority of the entries.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[schemars(with = "u64", range(min = 1))]
    pub dispatch_lease_ms: Duration,
    /// Longest time in milliseconds that a record waits to be appended in a batch with others.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[schemars(with = "u64")]
    pub append_delay_ms: Duration,
    /// Interval in milliseconds between two reads of the platform's instance list.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[schemars(with = "u64", range(min = 1))]
    pub list_interval_ms: Duration,
    /// Number of records after which a new snapshot is written.
    #[schemars(range(min = 1))]
    pub snapshot_records: u64,
    /// Time limit in milliseconds for one call to the platform.
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

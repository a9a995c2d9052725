//! Timing of the planned stop of an entry.

use std::time::Duration;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

/// Timing of the planned stop of an entry.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct StopSettings {
    /// Time in milliseconds for which a stopping entry reports that it isn't ready but still
    /// accepts requests, so that the load balancer stops sending them.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[schemars(with = "u64")]
    pub balancer_ms: Duration,
    /// Longest time in milliseconds that a stopping entry waits for its requests in flight to end.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[schemars(with = "u64")]
    pub limit_ms: Duration,
}

impl Default for StopSettings {
    fn default() -> Self {
        Self {
            balancer_ms: Duration::from_secs(2),
            limit_ms: Duration::from_mins(15),
        }
    }
}

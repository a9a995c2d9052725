//! Timing of an entry's planned stop.

use std::time::Duration;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

/// Timing of an entry's planned stop.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct StopSettings {
    /// Time in milliseconds for which a stopping entry is unready and still takes requests, so
    /// that the balancer sees it.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[schemars(with = "u64")]
    pub balancer_ms: Duration,
    /// Longest time in milliseconds that requests in flight may take to end.
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

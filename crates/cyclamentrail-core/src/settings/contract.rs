//! Contracts of services, weights of the planner's costs, and limits of maintenance.

use std::time::Duration;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

/// Capacity that a service is promised.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ContractSettings {
    /// Number of instances that the service is promised.
    pub promised_instances: u32,
    /// Instance-seconds below the promise that are allowed in one window, for planned and unplanned
    /// losses together.
    pub budget_instance_s: u64,
    /// Length in seconds of the sliding window that the budget applies to.
    #[schemars(range(min = 1))]
    pub window_s: u64,
    /// Failure domain; the promise holds when any one domain of this kind is lost.
    pub survives: FailureDomain,
}

/// Kind of a set of instances that can fail together.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, JsonSchema,
)]
#[serde(rename_all = "snake_case")]
pub enum FailureDomain {
    /// A single instance.
    Instance,
    /// All instances of a rack.
    Rack,
    /// All instances of an availability zone.
    Zone,
}

/// Weights of the planner's costs; only their ratio matters.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct CostWeights {
    /// Weight of one instance held as a buffer.
    #[schemars(range(min = 0.0))]
    pub buffer: f64,
    /// Weight of one minute of roll-out.
    #[schemars(range(min = 0.0))]
    pub roll_out: f64,
    /// Weight of one move between pools.
    #[schemars(range(min = 0.0))]
    pub moves: f64,
}

/// Timing and limits of maintenance waves and moves.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct MaintenanceSettings {
    /// Time in milliseconds that a rebooting instance has to return before it counts as failed.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[schemars(with = "u64")]
    pub return_timeout_ms: Duration,
    /// Time in milliseconds after which a wave skips a pending instance that isn't available.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[schemars(with = "u64")]
    pub pass_over_after_ms: Duration,
    /// Time in milliseconds for which a returned instance must work without failure before its
    /// maintenance counts as done.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[schemars(with = "u64")]
    pub probation_ms: Duration,
    /// Time in milliseconds after which an instance that fails or is missing from the platform's
    /// list counts as lost.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[schemars(with = "u64")]
    pub lost_after_ms: Duration,
    /// Number of failures among the last `halt_sample` finished instances that halts a wave.
    pub halt_failures: u32,
    /// Number of last finished instances of a wave among which `halt_failures` are counted.
    pub halt_sample: u32,
    /// Time in milliseconds for which a pool must lack an instance before one is moved there.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[schemars(with = "u64")]
    pub move_after_ms: Duration,
    /// Time in milliseconds for which a pool must have a surplus before a borrowed instance is
    /// moved back.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[schemars(with = "u64")]
    pub return_after_ms: Duration,
}

impl Default for MaintenanceSettings {
    fn default() -> Self {
        Self {
            return_timeout_ms: Duration::from_mins(10),
            pass_over_after_ms: Duration::from_hours(1),
            probation_ms: Duration::from_secs(10),
            lost_after_ms: Duration::from_secs(5),
            halt_failures: 2,
            halt_sample: 10,
            move_after_ms: Duration::from_mins(1),
            return_after_ms: Duration::from_mins(10),
        }
    }
}

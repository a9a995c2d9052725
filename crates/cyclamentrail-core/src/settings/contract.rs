//! What services are promised, and the weights of the planner's costs.

use std::time::Duration;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

/// What a service is promised.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ContractSettings {
    /// Instances that the service is promised.
    pub promised_instances: u32,
    /// Instance-seconds that may be missing in one window, planned and unplanned together.
    pub budget_instance_s: u64,
    /// Length of the window in seconds.
    #[schemars(range(min = 1))]
    pub window_s: u64,
    /// Failure domain whose loss the promise survives.
    pub survives: FailureDomain,
}

/// A set of instances that fail together.
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

/// Weights of the costs that the users measure; only their ratio matters.
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
    /// Time in milliseconds after which a rebooting instance counts as failed.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[schemars(with = "u64")]
    pub return_timeout_ms: Duration,
    /// Time in milliseconds after which a wave passes over an instance that stays away.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[schemars(with = "u64")]
    pub pass_over_after_ms: Duration,
    /// Time in milliseconds for which a returned instance must work before it counts as done.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[schemars(with = "u64")]
    pub probation_ms: Duration,
    /// Time in milliseconds after which an instance that isn't seen working counts as lost.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[schemars(with = "u64")]
    pub lost_after_ms: Duration,
    /// Failures among the last finished instances of a wave that halt it.
    pub halt_failures: u32,
    /// Finished instances that `halt_failures` is counted over.
    pub halt_sample: u32,
    /// Time in milliseconds for which a pool must be short before an instance moves there.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[schemars(with = "u64")]
    pub move_after_ms: Duration,
    /// Time in milliseconds for which a pool must have too much before an instance goes back.
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

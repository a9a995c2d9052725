//! What services are promised, and the weights of the planner's costs.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// What a service is promised.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ContractSettings {
    /// Instances that the service is promised.
    #[schemars(range(min = 1))]
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

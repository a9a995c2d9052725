//! Properties of routes that the configuration defines.

use cyclamentrail_core::{RouteName, ServiceName};
use serde::{Deserialize, Serialize};

/// Configuration of a route, by which its jobs are served.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RouteConfig {
    /// Name of the route.
    pub name: RouteName,
    /// Service whose workers run the tasks.
    pub service: ServiceName,
    /// Priority; 0 is served first.
    pub priority: u32,
    /// Number of failed runs of one task after which its job fails.
    pub max_attempts: u32,
    /// Factor by which the duration of a job's longest chain of steps is multiplied in its
    /// objective; values below 1 count as 1.
    pub stretch: f64,
    /// Time in milliseconds that the objective allows in addition.
    pub target_latency_ms: u64,
    /// Timing of the queue's policy, which must permit the workers of each step; `None` if the
    /// queue has no policy.
    pub advice: Option<AdviceConfig>,
}

/// Timing of the policy service that permits workers to run a step.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdviceConfig {
    /// Fixed duration of a query, in milliseconds.
    pub fixed_ms: u64,
    /// Additional duration for each worker that the query names, in milliseconds.
    pub per_worker_ms: u64,
    /// Time for which a ticket is valid, in milliseconds.
    pub valid_ms: u64,
}

impl RouteConfig {
    /// Returns the time in milliseconds within which a job has to end to be on time, from the
    /// duration of its longest chain of steps.
    #[must_use]
    #[expect(
        clippy::cast_precision_loss,
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "durations of jobs are far below 2^52 milliseconds and not negative"
    )]
    pub fn objective_ms(&self, critical_path_ms: u64) -> u64 {
        let stretched = self.stretch.max(1.0) * critical_path_ms as f64;
        stretched as u64 + self.target_latency_ms
    }
}

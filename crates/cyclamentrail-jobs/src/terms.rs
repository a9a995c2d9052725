//! What the configuration says of routes.

use cyclamentrail_core::{RouteName, ServiceName};

/// The terms on which a route's jobs are served.
#[derive(Debug, Clone, PartialEq)]
pub struct RouteTerms {
    /// The route.
    pub name: RouteName,
    /// Service whose workers run the tasks.
    pub service: ServiceName,
    /// Urgency; 0 comes first.
    pub priority: u32,
    /// Runs of a task that may fail before its job fails.
    pub max_attempts: u32,
    /// Allowed multiple of the longest chain of work.
    pub stretch: f64,
    /// Time in milliseconds that is allowed beside it.
    pub target_latency_ms: u64,
    /// Whether the queue's policy must be asked which workers may run a step.
    pub advice: Option<AdviceTerms>,
}

/// How long the service that grants workers takes, and how long its answer holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AdviceTerms {
    /// Fixed time of a call in milliseconds.
    pub decide_ms: u64,
    /// Further time in milliseconds for each worker named.
    pub each_ms: u64,
    /// How long a grant is valid, in milliseconds.
    pub valid_ms: u64,
}

impl RouteTerms {
    /// Returns the time in milliseconds within which a job with this chain is on time.
    #[must_use]
    #[expect(
        clippy::cast_precision_loss,
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "durations of jobs are far below 2^52 milliseconds and not negative"
    )]
    pub fn objective_ms(&self, chain_ms: u64) -> u64 {
        let stretched = self.stretch.max(1.0) * chain_ms as f64;
        stretched as u64 + self.target_latency_ms
    }
}

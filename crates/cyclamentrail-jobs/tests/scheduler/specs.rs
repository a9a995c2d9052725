//! Job specs of the tests, and the configuration of their one route.

use std::sync::Arc;

use cyclamentrail_core::{RouteName, ServiceName};
use cyclamentrail_jobs::{JobSpec, Resources, RouteConfig, StepSpec};

/// Route of all jobs in these tests.
pub const ROUTE: &str = "route";

/// Returns a job of one step; see [`step`] for the arguments.
pub fn job(count: u32, cpu_milli: u64, estimate_ms: u64) -> JobSpec {
    JobSpec {
        text: Arc::from("work"),
        steps: vec![step(count, cpu_milli, estimate_ms)],
        schedule: None,
    }
}

/// Returns a step of `count` tasks without predecessors; each task takes `cpu_milli` thousandths of
/// a core for `estimate_ms` milliseconds.
pub fn step(count: u32, cpu_milli: u64, estimate_ms: u64) -> StepSpec {
    StepSpec {
        count,
        demand: Resources::new(cpu_milli, 1_000, 0),
        estimate_ms,
        ..StepSpec::default()
    }
}

/// Returns the configuration of [`ROUTE`].
pub fn route_config() -> RouteConfig {
    RouteConfig {
        name: RouteName::from(ROUTE),
        service: ServiceName::from("service"),
        priority: 0,
        max_attempts: 3,
        stretch: 1.6,
        target_latency_ms: 600,
        advice: None,
    }
}

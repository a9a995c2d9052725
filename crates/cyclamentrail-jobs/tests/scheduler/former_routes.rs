//! Tests of jobs whose route is no longer configured at their shard.

use cyclamentrail_core::{JobId, RouteName, ServiceName};
use cyclamentrail_jobs::{CallerReply, JobSpec, JobState, Resources, RouteConfig};
use rstest::rstest;

use crate::world::{ROUTE, Simulation, job, route_config, step};

const WORKER: Resources = Resources::new(32_000, 131_072, 0);
const ROUTE_KEY: &str = "~route/route";
/// Time after which a final job is dropped, with a margin, in milliseconds.
const DROPPED_MS: u64 = 131_000;

/// Returns a job of two steps that take 500 ms each.
fn two_steps() -> JobSpec {
    let mut spec = job(2, 1_000, 500);
    let mut second = step(2, 1_000, 500);
    second.predecessors = vec![0];
    spec.steps.push(second);
    spec
}

fn renamed() -> RouteConfig {
    RouteConfig {
        name: RouteName::from("other"),
        ..route_config()
    }
}

/// Tasks whose turn came after their route had left were never started.
#[rstest]
#[case::accepted(1, vec![])]
#[case::first_step(250, vec![])]
#[case::renamed(250, vec![renamed()])]
fn steps_go_on(#[case] after_ms: u64, #[case] routes: Vec<RouteConfig>) {
    let mut sim = Simulation::new(2, WORKER);
    sim.submit("a", two_steps());
    sim.run_for(after_ms);
    sim.set_routes(routes);
    sim.run_for(3_000);
    assert_eq!(sim.state("a"), Some(JobState::Completed));
}

#[rstest]
#[case::before(false)]
#[case::after(true)]
fn takeover_keeps_route(#[case] is_dropped_first: bool) {
    let mut sim = Simulation::new(2, WORKER);
    sim.submit("a", two_steps());
    sim.run_for(250);
    if is_dropped_first {
        sim.set_routes(vec![]);
        sim.run_for(50);
    }
    sim.routes = vec![renamed()];
    sim.take_over(0);
    sim.run_for(3_000);
    assert_eq!(sim.state("a"), Some(JobState::Completed));
}

/// Records of an earlier version hold no configuration of the route.
#[test]
fn unstored_route_has_default() {
    let mut sim = Simulation::new(2, WORKER);
    sim.submit("a", two_steps());
    sim.run_for(250);
    sim.records.remove(ROUTE_KEY);
    sim.routes = vec![];
    sim.take_over(0);
    sim.run_for(3_000);
    assert_eq!(sim.state("a"), Some(JobState::Completed));
}

#[rstest]
#[case::same_owner(false)]
#[case::next_owner(true)]
fn attempts_stay_limited(#[case] is_taken_over: bool) {
    let mut sim = Simulation::new(2, WORKER);
    sim.set_routes(vec![RouteConfig {
        max_attempts: 2,
        ..route_config()
    }]);
    sim.submit_failing("a", job(1, 1_000, 300));
    sim.run_for(100);
    sim.set_routes(vec![]);
    if is_taken_over {
        sim.take_over(0);
    }
    sim.run_for(4_000);
    assert_eq!(sim.state("a"), Some(JobState::Failed));
    assert_eq!(sim.starts[&JobId::from("a")], 2);
}

#[test]
fn former_route_accepts_nothing() {
    let mut sim = Simulation::new(2, WORKER);
    sim.submit("a", two_steps());
    sim.run_for(50);
    sim.set_routes(vec![RouteConfig {
        service: ServiceName::from("service"),
        ..renamed()
    }]);
    let repeated = sim.submit("a", two_steps());
    let new = sim.submit("b", two_steps());
    sim.run_for(50);
    assert_eq!(sim.replies[&repeated], CallerReply::Accepted);
    assert!(matches!(sim.replies[&new], CallerReply::Rejected { .. }));
}

#[test]
fn returned_route_accepts() {
    let mut sim = Simulation::new(2, WORKER);
    sim.submit("a", two_steps());
    sim.run_for(50);
    sim.set_routes(vec![]);
    sim.run_for(50);
    sim.set_routes(vec![route_config()]);
    let caller = sim.submit("b", two_steps());
    sim.run_for(3_000);
    assert_eq!(sim.replies[&caller], CallerReply::Accepted);
    assert_eq!(sim.state("a"), Some(JobState::Completed));
    assert_eq!(sim.state("b"), Some(JobState::Completed));
}

#[test]
fn unused_route_dropped() {
    let mut sim = Simulation::new(2, WORKER);
    sim.submit("a", two_steps());
    sim.run_for(250);
    assert!(sim.records.contains_key(ROUTE_KEY));
    sim.set_routes(vec![]);
    sim.run_for(3_000);
    assert!(sim.records.contains_key(ROUTE_KEY), "the job is still kept");
    assert!(sim.shard.has_jobs_of(&RouteName::from(ROUTE)));
    sim.run_for(DROPPED_MS);
    assert!(!sim.records.contains_key(ROUTE_KEY));
    assert_eq!(sim.shard.former_routes().count(), 0);
}

#[test]
fn reserved_id_rejected() {
    let mut sim = Simulation::new(1, WORKER);
    let caller = sim.submit(ROUTE_KEY, two_steps());
    sim.run_for(20);
    assert_eq!(sim.replies[&caller], CallerReply::Malformed);
}

//! Jobs on workers that behave.

use crate::world::{World, job, step};
use cyclamentrail_core::JobId;
use cyclamentrail_jobs::{Answer, JobState, Resources, Schedule};
use rstest::rstest;

const WORKER: Resources = Resources::new(32_000, 131_072, 0);

#[test]
fn runs_through() {
    let mut world = World::new(3, WORKER);
    let caller = world.submit("a", job(6, 1_800, 1_000));
    world.run_for(100);
    assert_eq!(world.answers[&caller], Answer::Accepted);
    assert_eq!(world.state("a"), Some(JobState::Running));
    world.run_for(1_500);
    assert_eq!(world.state("a"), Some(JobState::Completed));
    assert_eq!(world.starts[&JobId::from("a")], 6);
}

#[test]
fn same_job() {
    let mut world = World::new(3, WORKER);
    let first = world.submit("a", job(4, 1_000, 500));
    let again = world.submit("a", job(4, 1_000, 500));
    world.run_for(50);
    let later = world.submit("a", job(4, 1_000, 500));
    world.run_for(2_000);
    for caller in [first, again, later] {
        assert_eq!(world.answers[&caller], Answer::Accepted);
    }
    assert_eq!(world.starts[&JobId::from("a")], 4);
}

#[test]
fn steps_in_order() {
    let mut world = World::new(2, WORKER);
    let mut spec = job(4, 1_000, 300);
    let mut second = step(3, 1_000, 300);
    second.after = vec![0];
    let mut third = step(2, 1_000, 300);
    third.after = vec![0, 1];
    spec.steps.extend([second, third]);
    world.submit("a", spec);
    world.run_for(2_000);
    assert_eq!(world.state("a"), Some(JobState::Completed));
}

#[test]
fn repeats_when_due() {
    let mut world = World::new(2, WORKER);
    let mut spec = job(2, 1_000, 200);
    spec.schedule = Some(Schedule {
        repeats: 3,
        first_ms: world.now().unix_ms + 1_000,
        interval_ms: 1_000,
    });
    world.submit("a", spec);
    world.run_for(900);
    assert_eq!(world.starts.get(&JobId::from("a")), None);
    world.run_for(1_000);
    assert_eq!(world.starts[&JobId::from("a")], 2);
    world.run_for(2_500);
    assert_eq!(world.starts[&JobId::from("a")], 6);
    assert_eq!(world.state("a"), Some(JobState::Completed));
}

#[test]
fn cancel_stops() {
    let mut world = World::new(2, WORKER);
    world.submit("a", job(4, 1_000, 60_000));
    world.run_for(500);
    assert_eq!(world.running(), 4);
    let caller = world.cancel("a");
    world.run_for(1_000);
    assert_eq!(world.answers[&caller], Answer::Cancelled);
    assert_eq!(world.running(), 0);
    assert_eq!(world.state("a"), Some(JobState::Cancelled));
}

#[test]
fn cancel_before_start() {
    let mut world = World::new(1, WORKER);
    world.submit("a", job(4, 1_000, 1_000));
    let caller = world.cancel("a");
    world.run_for(1_000);
    assert_eq!(world.answers[&caller], Answer::Cancelled);
    assert_eq!(world.starts.get(&JobId::from("a")), None);
}

#[test]
fn hopeless_fails() {
    let mut world = World::new(2, WORKER);
    world.submit_hopeless("a", job(1, 1_000, 200));
    world.run_for(10_000);
    assert_eq!(world.state("a"), Some(JobState::Failed));
    assert_eq!(
        world.starts[&JobId::from("a")],
        3,
        "as often as the route allows"
    );
}

#[rstest]
#[case::too_large(job(1, 64_000, 100))]
#[case::no_label({
    let mut spec = job(1, 1_000, 100);
    spec.steps[0].requires = Some("gpu-x".into());
    spec
})]
fn impossible_rejected(#[case] spec: cyclamentrail_jobs::JobSpec) {
    let mut world = World::new(2, WORKER);
    let caller = world.submit("a", spec);
    world.run_for(100);
    assert!(matches!(world.answers[&caller], Answer::Rejected { .. }));
    assert_eq!(world.state("a"), None);
}

#[test]
fn malformed_told() {
    let mut world = World::new(2, WORKER);
    let mut spec = job(1, 1_000, 100);
    spec.steps[0].after = vec![0];
    let caller = world.submit("a", spec);
    world.run_for(100);
    assert_eq!(world.answers[&caller], Answer::Malformed);
}

#[test]
fn gang_together() {
    let mut world = World::new(2, Resources::new(4_000, 131_072, 0));
    world.submit("first", job(3, 2_000, 500));
    let mut spec = job(4, 2_000, 500);
    spec.steps[0].gang = true;
    world.submit("gang", spec);
    world.run_for(200);
    assert_eq!(
        world.starts.get(&JobId::from("gang")),
        None,
        "no room for all"
    );
    world.run_for(2_000);
    assert_eq!(world.state("gang"), Some(JobState::Completed));
    assert_eq!(world.starts[&JobId::from("gang")], 4);
}

#[test]
fn apart_kept() {
    let mut world = World::new(3, WORKER);
    let mut spec = job(6, 1_000, 60_000);
    spec.steps[0].max_per_worker = Some(2);
    world.submit("a", spec);
    world.run_for(500);
    for id in ["w0", "w1", "w2"] {
        assert_eq!(world.running_on(id), 2);
    }
}

#[test]
fn long_running_restarts() {
    let mut world = World::new(3, WORKER);
    let mut spec = job(3, 1_000, 0);
    spec.steps[0].long_running = true;
    spec.steps[0].max_per_worker = Some(1);
    world.submit("a", spec);
    world.run_for(500);
    assert_eq!(world.running(), 3);
    world.lose("w1");
    world.add_worker("w9", WORKER, "r0");
    world.run_for(8_000);
    assert_eq!(world.running(), 3);
}

/// All tasks of a long-running step were put on one worker: its loss took all of them, and
/// emptying it took a task at a time.
#[test]
fn long_running_spread() {
    let mut world = World::new(6, WORKER);
    let mut spec = job(5, 2_700, 0);
    spec.steps[0].long_running = true;
    world.submit("a", spec);
    world.run_for(1_000);
    let most = (0..6).map(|index| world.running_on(&format!("w{index}")));
    assert_eq!(most.max(), Some(2));
}

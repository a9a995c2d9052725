//! An owner that ends or is replaced.

use crate::world::{World, job, step};
use cyclamentrail_core::JobId;
use cyclamentrail_jobs::{Answer, JobState, Resources};
use rstest::rstest;

const WORKER: Resources = Resources::new(32_000, 131_072, 0);

#[rstest]
#[case::at_once(1)]
#[case::accepted(10)]
#[case::placed(16)]
#[case::sent(30)]
#[case::running(500)]
#[case::ended(1_020)]
#[case::noted(1_080)]
fn goes_on(#[case] after_ms: u64) {
    let mut world = World::new(3, WORKER);
    let mut spec = job(6, 1_000, 1_000);
    let mut second = step(3, 1_000, 500);
    second.after = vec![0];
    spec.steps.push(second);
    let caller = world.submit("a", spec.clone());
    world.run_for(after_ms);
    world.take_over(0);
    if !world.answers.contains_key(&caller) {
        // Nobody was told anything, so the caller asks again.
        world.submit("a", spec);
    }
    world.run_for(4_000);
    assert_eq!(world.state("a"), Some(JobState::Completed));
}

#[test]
fn unreachable_waits() {
    let mut world = World::new(2, WORKER);
    let mut spec = job(2, 1_000, 0);
    spec.steps[0].long_running = true;
    spec.steps[0].max_per_worker = Some(1);
    world.submit("a", spec);
    world.run_for(500);
    world.worker("w0").is_reachable = false;
    world.take_over(5_000);
    world.add_worker("w9", WORKER, "r9");
    world.run_for(9_000);
    assert_eq!(
        world.running_on("w9"),
        0,
        "the earlier owner may still renew the lease"
    );
    world.run_for(2_000);
    assert_eq!(world.running_on("w9"), 1);
}

#[test]
fn cancel_survives() {
    let mut world = World::new(2, WORKER);
    world.submit("a", job(4, 1_000, 60_000));
    world.run_for(500);
    let caller = world.cancel("a");
    world.run_for(10);
    assert_eq!(world.answers[&caller], Answer::Cancelled);
    world.take_over(0);
    world.run_for(2_000);
    assert_eq!(world.running(), 0);
    assert_eq!(world.state("a"), Some(JobState::Cancelled));
}

#[test]
fn state_survives() {
    let mut world = World::new(2, WORKER);
    world.submit("a", job(2, 1_000, 300));
    world.run_for(1_000);
    assert_eq!(world.state("a"), Some(JobState::Completed));
    world.take_over(0);
    assert_eq!(world.state("a"), Some(JobState::Completed));
    world.run_for(130_000);
    assert_eq!(world.state("a"), None, "its state is kept for a while only");
}

#[test]
fn gone_worker() {
    let mut world = World::new(2, WORKER);
    world.submit("a", job(4, 1_000, 1_000));
    world.run_for(300);
    world.lose("w0");
    world.lose("w1");
    world.add_worker("w9", WORKER, "r9");
    world.take_over(0);
    world.run_for(8_000);
    assert_eq!(world.state("a"), Some(JobState::Completed));
    assert_eq!(world.starts[&JobId::from("a")], 8);
}

#[test]
fn many_takeovers() {
    let mut world = World::new(4, WORKER);
    for round in 0..20 {
        world.submit(&format!("{round}"), job(5, 1_500, 700));
        world.run_for(150 + round * 13);
        world.take_over(0);
    }
    world.run_for(6_000);
    for round in 0..20 {
        let state = world.state(&round.to_string());
        assert!(
            matches!(state, None | Some(JobState::Completed)),
            "{state:?}"
        );
    }
}

#[test]
fn store_silent() {
    let mut world = World::new(2, WORKER);
    world.store_answers = false;
    let caller = world.submit("a", job(2, 1_000, 300));
    world.run_for(2_000);
    assert!(
        !world.answers.contains_key(&caller),
        "nothing is promised yet"
    );
    assert_eq!(world.running(), 0, "nothing starts that isn't durable");
    world.store_answers = true;
    world.run_for(1_500);
    assert_eq!(world.answers[&caller], Answer::Accepted);
    assert_eq!(world.state("a"), Some(JobState::Completed));
}

/// An end that the earlier owner had counted and not acknowledged was counted again.
#[test]
fn failures_count_once() {
    for after_ms in (300..500).step_by(5) {
        let mut world = World::new(2, WORKER);
        world.submit_hopeless("a", job(1, 1_000, 300));
        world.run_for(after_ms);
        world.take_over(0);
        world.run_for(5_000);
        assert_eq!(world.state("a"), Some(JobState::Failed));
        let starts = world.starts[&JobId::from("a")];
        assert_eq!(starts, 3, "taken over after {after_ms} ms");
    }
}

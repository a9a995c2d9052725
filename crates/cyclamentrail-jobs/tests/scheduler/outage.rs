//! Jobs that are handed in while the store doesn't answer.

use cyclamentrail_jobs::{Answer, JobState, Resources};

use crate::world::{World, job};

const WORKER: Resources = Resources::new(32_000, 131_072, 0);

/// Callers whose jobs waited behind a store that was gone had no answer until their deadlines.
#[test]
fn waiting_told() {
    let mut world = World::new(2, WORKER);
    world.submit("before", job(2, 1_000, 300));
    world.run_for(100);
    world.store_answers = false;
    let callers: Vec<u64> = (0..20)
        .map(|index| world.submit(&format!("{index}"), job(2, 1_000, 300)))
        .collect();
    world.run_for(700);
    world.shard.withdraw_waiting(700);
    world.run_for(20);
    let mut returns = Vec::new();
    for caller in callers {
        let Some(Answer::Rejected { retry_after_ms, .. }) = world.answers.get(&caller) else {
            panic!("caller {caller} has no answer");
        };
        returns.push(*retry_after_ms);
    }
    returns.dedup();
    assert!(returns.len() > 10, "they come back together");
    world.store_answers = true;
    world.run_for(2_000);
    assert_eq!(world.state("before"), Some(JobState::Completed));
    assert_eq!(world.state("3"), None, "a rejected job never runs");
    assert_eq!(world.running(), 0);
}

/// A job whose record is on its way to the store may be stored, and stays.
#[test]
fn in_flight_stays() {
    let mut world = World::new(2, WORKER);
    let caller = world.submit("a", job(2, 1_000, 300));
    world.run_for(2);
    world.shard.withdraw_waiting(700);
    world.run_for(1_000);
    assert_eq!(world.answers[&caller], Answer::Accepted);
    assert_eq!(world.state("a"), Some(JobState::Completed));
}

/// A job that was given up on can be handed in again.
#[test]
fn handed_in_again() {
    let mut world = World::new(2, WORKER);
    world.store_answers = false;
    world.submit("a", job(2, 1_000, 300));
    world.run_for(40);
    world.shard.withdraw_waiting(700);
    world.store_answers = true;
    let caller = world.submit("a", job(2, 1_000, 300));
    world.run_for(1_500);
    assert_eq!(world.answers[&caller], Answer::Accepted);
    assert_eq!(world.state("a"), Some(JobState::Completed));
}

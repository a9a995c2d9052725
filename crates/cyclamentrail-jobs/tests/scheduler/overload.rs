//! More work than the workers hold.

use crate::world::{World, job};
use cyclamentrail_jobs::{Admission, Answer, Applicant, Backlog, JobState, Resources, admit};

const WORKER: Resources = Resources::new(32_000, 131_072, 0);

/// A turn: five times the mean for four seconds.
#[test]
fn turn_on_time() {
    let mut world = World::new(4, WORKER);
    let mut callers = Vec::new();
    let mut jobs = Vec::new();
    for index in 0..80_u64 {
        let name = format!("{index}");
        let handed_in_ms = world.now().unix_ms;
        callers.push((name.clone(), world.submit(&name, job(10, 1_800, 1_000))));
        jobs.push((name, handed_in_ms));
        world.run_for(50);
    }
    world.run_for(6_000);
    let accepted: Vec<_> = callers
        .iter()
        .filter(|(_, caller)| world.answers[caller] == Answer::Accepted)
        .collect();
    let rejected = callers.len() - accepted.len();
    assert!(
        rejected > 20,
        "four workers can't do 80 jobs in time: {rejected}"
    );
    assert!(
        accepted.len() > 20,
        "the workers aren't left idle: {}",
        accepted.len()
    );
    for (name, _) in accepted {
        assert_eq!(world.state(name), Some(JobState::Completed));
    }
}

#[test]
fn rejected_at_once() {
    let mut world = World::new(1, WORKER);
    for index in 0..20 {
        world.submit(&format!("{index}"), job(10, 1_800, 1_000));
    }
    let caller = world.submit("last", job(10, 1_800, 1_000));
    world.run_for(20);
    let Answer::Rejected { retry_after_ms, .. } = world.answers[&caller] else {
        panic!("the job is accepted behind 20 others");
    };
    assert!(retry_after_ms >= 1_000);
}

#[test]
fn returns_spread() {
    let backlog = Backlog {
        work_ms: 60_000,
        workers: 9,
    };
    let mut returns: Vec<u64> = (0..50)
        .map(|seed| {
            let applicant = Applicant {
                work_ms: 500,
                chain_ms: 1_000,
                objective_ms: 2_200,
                seed: seed * 7_919,
            };
            match admit(backlog, applicant) {
                Admission::Reject { retry_after_ms } => retry_after_ms,
                Admission::Accept => panic!("six seconds of work are accepted"),
            }
        })
        .collect();
    returns.sort_unstable();
    returns.dedup();
    assert!(returns.len() > 40, "callers come back together");
}

/// A queue that fell behind still serves those that can be on time.
#[test]
fn late_ones_last() {
    let mut world = World::new(1, Resources::new(4_000, 131_072, 0));
    let late = world.submit("late", job(8, 4_000, 700));
    world.run_for(3_000);
    let fresh = world.submit("fresh", job(1, 4_000, 700));
    world.run_for(1_900);
    assert_eq!(world.answers[&late], Answer::Accepted);
    if world.answers[&fresh] == Answer::Accepted {
        assert_eq!(world.state("fresh"), Some(JobState::Completed));
        assert_eq!(world.state("late"), Some(JobState::Running));
    }
}

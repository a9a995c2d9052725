//! Tests of jobs that are submitted while the store doesn't respond.

use cyclamentrail_jobs::{CallerReply, JobState, Resources};

use crate::world::{Simulation, job};

const WORKER: Resources = Resources::new(32_000, 131_072, 0);

/// Guards against callers without a reply until their deadlines while their jobs' records wait for
/// a store that is down.
#[test]
fn unsent_jobs_rejected() {
    let mut sim = Simulation::new(2, WORKER);
    sim.submit("before", job(2, 1_000, 300));
    sim.run_for(100);
    sim.store_responds = false;
    let callers: Vec<u64> = (0..20)
        .map(|index| sim.submit(&format!("{index}"), job(2, 1_000, 300)))
        .collect();
    sim.run_for(700);
    sim.shard.reject_unsent_jobs(700);
    sim.run_for(20);
    let mut retries = Vec::new();
    for caller in callers {
        let Some(CallerReply::Rejected { retry_after_ms, .. }) = sim.replies.get(&caller) else {
            panic!("caller {caller} has no reply");
        };
        retries.push(*retry_after_ms);
    }
    retries.dedup();
    assert!(
        retries.len() > 10,
        "too many callers retry at the same time"
    );
    sim.store_responds = true;
    sim.run_for(2_000);
    assert_eq!(sim.state("before"), Some(JobState::Completed));
    assert_eq!(sim.state("3"), None, "a rejected job never runs");
    assert_eq!(sim.running(), 0);
}

/// A job whose record was sent to the store may be stored, and is kept.
#[test]
fn sent_job_kept() {
    let mut sim = Simulation::new(2, WORKER);
    let caller = sim.submit("a", job(2, 1_000, 300));
    sim.run_for(2);
    sim.shard.reject_unsent_jobs(700);
    sim.run_for(1_000);
    assert_eq!(sim.replies[&caller], CallerReply::Accepted);
    assert_eq!(sim.state("a"), Some(JobState::Completed));
}

/// A job that was rejected during an outage can be submitted again.
#[test]
fn rejected_job_resubmitted() {
    let mut sim = Simulation::new(2, WORKER);
    sim.store_responds = false;
    sim.submit("a", job(2, 1_000, 300));
    sim.run_for(40);
    sim.shard.reject_unsent_jobs(700);
    sim.store_responds = true;
    let caller = sim.submit("a", job(2, 1_000, 300));
    sim.run_for(1_500);
    assert_eq!(sim.replies[&caller], CallerReply::Accepted);
    assert_eq!(sim.state("a"), Some(JobState::Completed));
}

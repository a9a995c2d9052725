//! A queue's policy, and queues that have one.

use std::collections::BTreeSet;
use std::sync::Arc;

use cyclamentrail_core::WorkerId;
use cyclamentrail_jobs::{
    AdviceOutcome, AdviceQuestion, AdviceTerms, GrantRow, JobState, Resources, RouteTerms,
    StartOrder,
};

use crate::world::{World, job, terms};

const WORKER: Resources = Resources::new(32_000, 131_072, 0);
/// How long a ticket is valid, in milliseconds.
const VALID_MS: u64 = 1_500;

/// Which workers may run anything.
#[derive(Debug, Default)]
pub struct Policy {
    granted: BTreeSet<WorkerId>,
    /// Questions that were asked.
    pub questions: u32,
}

impl Policy {
    fn new(granted: &[&str]) -> Self {
        Self {
            granted: granted.iter().copied().map(WorkerId::from).collect(),
            questions: 0,
        }
    }

    /// Answers a question.
    pub fn answer(&mut self, question: &AdviceQuestion, now_ms: u64) -> AdviceOutcome {
        self.questions += 1;
        let rows = question
            .workers
            .iter()
            .filter(|worker| self.granted.contains(*worker))
            .map(|worker| GrantRow {
                worker: worker.clone(),
                ticket: Arc::from((now_ms + VALID_MS).to_string()),
            });
        AdviceOutcome::Granted {
            rows: rows.collect(),
            valid_ms: VALID_MS,
        }
    }

    /// Returns whether a worker takes an order.
    pub fn accepts(&self, order: &StartOrder, now_ms: u64) -> bool {
        let ticket = order.grant.as_deref().unwrap_or_default();
        let until_ms: u64 = ticket.parse().unwrap_or(0);
        self.granted.contains(&order.target.id) && now_ms < until_ms
    }
}

fn world(granted: &[&str]) -> World {
    let mut world = World::new(6, WORKER);
    world.policy = Some(Policy::new(granted));
    let advice = AdviceTerms {
        decide_ms: 20,
        each_ms: 1,
        valid_ms: VALID_MS,
    };
    world.shard.set_terms([RouteTerms {
        advice: Some(advice),
        ..terms()
    }]);
    world
}

/// Starts without a ticket were rejected for ever.
#[test]
fn granted_only() {
    let mut world = world(&["w2", "w4"]);
    world.submit("a", job(8, 1_800, 500));
    world.run_for(400);
    assert_eq!(world.running_on("w2") + world.running_on("w4"), 8);
    world.run_for(2_000);
    assert_eq!(world.state("a"), Some(JobState::Completed));
    assert_eq!(
        world.policy.as_ref().map(|policy| policy.questions),
        Some(1)
    );
}

/// Tickets end while a job still has tasks to start.
#[test]
fn tickets_renewed() {
    let mut world = world(&["w1"]);
    world.submit("a", job(60, 1_800, 800));
    world.run_for(6_000);
    assert_eq!(world.state("a"), Some(JobState::Completed));
}

/// A worker that is taken away is replaced by another one that may run the step.
#[test]
fn granted_worker_lost() {
    let mut world = world(&["w1", "w5"]);
    let mut spec = job(2, 1_800, 0);
    spec.steps[0].long_running = true;
    world.submit("a", spec);
    world.run_for(3_000);
    for id in ["w1", "w5"] {
        if world.running_on(id) > 0 {
            world.lose(id);
            break;
        }
    }
    world.run_for(9_000);
    assert_eq!(world.running(), 2);
}

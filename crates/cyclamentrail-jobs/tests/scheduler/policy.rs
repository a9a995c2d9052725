//! Tests of routes whose queue has a policy, and the simulated policy.

use std::collections::BTreeSet;
use std::sync::Arc;

use cyclamentrail_core::WorkerId;
use cyclamentrail_jobs::{
    AdviceConfig, AdviceOutcome, AdviceQuery, JobState, Resources, RouteConfig, StartCommand,
    WorkerTicket,
};

use crate::world::{Simulation, job, route_config};

const WORKER: Resources = Resources::new(32_000, 131_072, 0);
/// Time for which a ticket is valid, in milliseconds.
const VALID_MS: u64 = 1_500;

/// A simulated policy that allows a fixed set of workers.
#[derive(Debug, Default)]
pub struct Policy {
    granted: BTreeSet<WorkerId>,
    /// Number of queries so far.
    pub queries: u32,
}

impl Policy {
    fn new(granted: &[&str]) -> Self {
        Self {
            granted: granted.iter().copied().map(WorkerId::from).collect(),
            queries: 0,
        }
    }

    /// Grants a ticket to each named worker that is allowed; the ticket's text is its end in
    /// virtual time.
    pub fn respond(&mut self, query: &AdviceQuery, now_ms: u64) -> AdviceOutcome {
        self.queries += 1;
        let tickets = query
            .worker_ids
            .iter()
            .filter(|worker| self.granted.contains(*worker))
            .map(|worker| WorkerTicket {
                worker: worker.clone(),
                ticket: Arc::from((now_ms + VALID_MS).to_string()),
            });
        AdviceOutcome::Granted {
            tickets: tickets.collect(),
            valid_ms: VALID_MS,
        }
    }

    /// Returns whether a worker accepts a start command: it is allowed and the ticket is valid.
    pub fn accepts(&self, command: &StartCommand, now_ms: u64) -> bool {
        let ticket = command.ticket.as_deref().unwrap_or_default();
        let expires_ms: u64 = ticket.parse().unwrap_or(0);
        self.granted.contains(&command.target.id) && now_ms < expires_ms
    }
}

/// Returns a simulation of six workers, `granted` of which the policy allows.
fn simulation_with_policy(granted: &[&str]) -> Simulation {
    let mut sim = Simulation::new(6, WORKER);
    sim.policy = Some(Policy::new(granted));
    let advice = AdviceConfig {
        fixed_ms: 20,
        per_worker_ms: 1,
        valid_ms: VALID_MS,
    };
    sim.shard.set_routes([RouteConfig {
        advice: Some(advice),
        ..route_config()
    }]);
    sim
}

/// Guards against start commands without a ticket, which workers reject forever.
#[test]
fn only_granted_run() {
    let mut sim = simulation_with_policy(&["w2", "w4"]);
    sim.submit("a", job(8, 1_800, 500));
    sim.run_for(400);
    assert_eq!(sim.running_on("w2") + sim.running_on("w4"), 8);
    sim.run_for(2_000);
    assert_eq!(sim.state("a"), Some(JobState::Completed));
    assert_eq!(sim.policy.as_ref().map(|policy| policy.queries), Some(1));
}

/// Tickets that expire while a job still has tasks to start are renewed.
#[test]
fn tickets_renewed() {
    let mut sim = simulation_with_policy(&["w1"]);
    sim.submit("a", job(60, 1_800, 800));
    sim.run_for(6_000);
    assert_eq!(sim.state("a"), Some(JobState::Completed));
}

/// A lost worker is replaced by another one that the policy allows.
#[test]
fn lost_worker_replaced() {
    let mut sim = simulation_with_policy(&["w1", "w5"]);
    let mut spec = job(2, 1_800, 0);
    spec.steps[0].long_running = true;
    sim.submit("a", spec);
    sim.run_for(3_000);
    for id in ["w1", "w5"] {
        if sim.running_on(id) > 0 {
            sim.remove_worker(id);
            break;
        }
    }
    sim.run_for(9_000);
    assert_eq!(sim.running(), 2);
}

//! Requests of callers.

use std::sync::Arc;

use cyclamentrail_core::{JobId, RouteName, TeamName};
use cyclamentrail_jobs::{CallerId, JobSpec, Submission};

use super::{ROUTE, Simulation};

impl Simulation {
    /// Submits a job of a caller without a team; returns the caller's number.
    pub fn submit(&mut self, id: &str, spec: JobSpec) -> u64 {
        self.submit_for(None, id, spec)
    }

    /// Submits a job of a team; returns the caller's number.
    pub fn submit_for(&mut self, team: Option<&str>, id: &str, spec: JobSpec) -> u64 {
        let spec = Arc::new(spec);
        let id = JobId::from(id);
        self.specs.insert(id.clone(), Arc::clone(&spec));
        let caller = self.new_caller();
        let submission = Submission {
            caller: CallerId(caller),
            id,
            route: RouteName::from(ROUTE),
            team: team.map(TeamName::from),
            spec,
        };
        self.shard.submit(self.now(), submission);
        caller
    }

    /// Submits a job all of whose runs fail; returns the caller's number.
    pub fn submit_failing(&mut self, id: &str, spec: JobSpec) -> u64 {
        self.failing_jobs.insert(JobId::from(id));
        self.submit(id, spec)
    }

    /// Cancels a job; returns the caller's number.
    pub fn cancel(&mut self, id: &str) -> u64 {
        self.cancel_for(None, id)
    }

    /// Cancels a job for a team; returns the caller's number.
    pub fn cancel_for(&mut self, team: Option<&str>, id: &str) -> u64 {
        let caller = self.new_caller();
        let team = team.map(TeamName::from);
        self.shard
            .cancel(CallerId(caller), &JobId::from(id), team.as_ref());
        caller
    }

    /// Asks for the state of a job for a team; returns the caller's number.
    pub fn ask_state_for(&mut self, team: Option<&str>, id: &str) -> u64 {
        let caller = self.new_caller();
        let team = team.map(TeamName::from);
        self.shard
            .reply_state(CallerId(caller), &JobId::from(id), team.as_ref());
        caller
    }
}

//! State of the teams in a shard's pool, for operators.

use cyclamentrail_core::TeamName;

use super::Shard;
use super::shares::{Team, part_ppb, ready_demand};
use crate::Resources;
use crate::fair_share::{FairShares, WHOLE_POOL_PPB};

/// State of a team in a shard's pool. Counts begin with the shard's owner.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct TeamStatus {
    /// Name of the team; `None` for jobs without a team.
    pub team: Option<TeamName>,
    /// Weight of the team, in thousandths.
    pub weight_milli: u64,
    /// Number of accepted jobs.
    pub accepted: u64,
    /// Number of jobs that were rejected because they would have ended too late.
    pub rejected_overload: u64,
    /// Number of jobs that were rejected because the team sent more than its weight a second.
    pub rejected_over_rate: u64,
    /// Number of jobs that were rejected for other reasons.
    pub rejected_other: u64,
    /// Number of jobs with tasks that wait for a worker.
    pub waiting_jobs: u64,
    /// Part of the pool that the team's tasks take, in thousandths.
    pub received_milli: u64,
    /// Part of the pool that is due to the team, in thousandths: its weighted part and what others
    /// leave, at most what it wants.
    pub due_milli: u64,
    /// Part of the team's cap that its tasks in this pool take, in thousandths; `None` without a cap.
    pub cap_used_milli: Option<u64>,
}

impl TeamStatus {
    /// Returns the number of jobs that were submitted, accepted or not.
    #[must_use]
    pub const fn submitted(&self) -> u64 {
        self.accepted + self.rejected_overload + self.rejected_over_rate + self.rejected_other
    }

    /// Adds the state of another team. Of the used parts of the caps, the larger one is kept.
    #[must_use]
    pub fn combine(mut self, other: &Self) -> Self {
        self.weight_milli += other.weight_milli;
        self.accepted += other.accepted;
        self.rejected_overload += other.rejected_overload;
        self.rejected_over_rate += other.rejected_over_rate;
        self.rejected_other += other.rejected_other;
        self.waiting_jobs += other.waiting_jobs;
        self.received_milli += other.received_milli;
        self.due_milli += other.due_milli;
        self.cap_used_milli = self.cap_used_milli.max(other.cap_used_milli);
        self
    }
}

impl Shard {
    /// Returns the state of each team that is configured or has jobs here, and of the jobs without a
    /// team; empty if no teams are configured.
    #[must_use]
    pub fn team_statuses(&self) -> Vec<TeamStatus> {
        let table = &self.team_table;
        if !table.is_configured {
            return Vec::new();
        }
        let pool = self.shared_capacity();
        let mut demands = table.placed_demands(&pool);
        let mut waiting_jobs = vec![0; demands.len()];
        for job in self.active.iter().filter_map(|&key| self.jobs.get(key)) {
            let wanted = ready_demand(job);
            if job.is_aborted() || job.spec.is_long_running() || wanted == Resources::default() {
                continue;
            }
            waiting_jobs[job.team_index] += 1;
            demands[job.team_index].waiting_ppb += part_ppb(&wanted, &pool);
        }
        let shares = FairShares::new(&demands);
        let status = |(index, team): (usize, &Team)| TeamStatus {
            team: team.name.clone(),
            weight_milli: team.weight_milli,
            accepted: team.outcomes.accepted,
            rejected_overload: team.outcomes.overload,
            rejected_over_rate: team.outcomes.over_rate,
            rejected_other: team.outcomes.other,
            waiting_jobs: waiting_jobs[index],
            received_milli: to_milli(demands[index].placed_ppb),
            due_milli: to_milli(shares.due_ppb(index)),
            cap_used_milli: self.cap_used_milli(team),
        };
        table.teams.iter().enumerate().map(status).collect()
    }

    /// Returns the largest part of a limited dimension of a team's cap that its tasks here take, in
    /// thousandths.
    fn cap_used_milli(&self, team: &Team) -> Option<u64> {
        let cap = &self.teams.get(team.name.as_ref()?)?.cap;
        let used = team.placed.saturating_add(&team.long_running);
        let part = |used: u64, cap: u64| used.saturating_mul(1_000).checked_div(cap);
        part(used.cpu_milli, cap.cpu_milli)
            .max(part(used.memory_mib, cap.memory_mib))
            .max(part(used.gpus, cap.gpus))
    }
}

const fn to_milli(ppb: u64) -> u64 {
    ppb / (WHOLE_POOL_PPB / 1_000)
}

//! Shares of teams in the shard's pool: what each team has placed and waiting, and the hooks of
//! admission and placement. Without configured teams, nothing of this has an effect.

use std::collections::HashMap;

use cyclamentrail_core::TeamName;

use super::{Now, Shard};
use crate::admission::AdmissionRequest;
use crate::effect::AdmissionShare;
use crate::fair_share::{
    DEFAULT_WEIGHT_MILLI, FairShares, JobRate, TeamAdmission, TeamDemand, TeamLoad, WHOLE_POOL_PPB,
    admit_for_team, weight_milli,
};
use crate::job::{Job, JobKey};
use crate::ranking::JobRank;
use crate::{Admission, JobSpec, RejectReason, Resources, RouteConfig};

/// Index of the team that jobs without a team form.
const NO_TEAM: usize = 0;

/// What a shard knows of each team.
#[derive(Debug)]
pub(super) struct TeamTable {
    /// Whether the configuration has teams.
    pub(super) is_configured: bool,
    indices: HashMap<TeamName, usize>,
    /// Teams by index; the one at [`NO_TEAM`] stands for jobs without a team.
    pub(super) teams: Vec<Team>,
}

/// Share and usage of a team in the shard's pool.
#[derive(Debug, Clone, Default)]
pub(super) struct Team {
    pub(super) name: Option<TeamName>,
    pub(super) weight_milli: u64,
    /// Jobs that the team sends; unused for jobs without a team, to which no rate is given.
    rate: JobRate,
    /// Resources that the placed tasks of the team's jobs take, except long-running jobs.
    pub(super) placed: Resources,
    /// Resources that the tasks of the team's long-running jobs take. They aren't part of the pool
    /// that is shared, and aren't counted against the team's share.
    pub(super) long_running: Resources,
    /// Submitted jobs by what was decided.
    pub(super) outcomes: Outcomes,
}

/// Number of a team's submitted jobs by what was decided.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Outcomes {
    pub(super) accepted: u64,
    pub(super) overload: u64,
    pub(super) over_rate: u64,
    pub(super) other: u64,
}

impl Default for TeamTable {
    fn default() -> Self {
        Self {
            is_configured: false,
            indices: HashMap::new(),
            teams: vec![Team::new(None, DEFAULT_WEIGHT_MILLI)],
        }
    }
}

impl Team {
    fn new(name: Option<TeamName>, weight_milli: u64) -> Self {
        Self {
            name,
            weight_milli,
            ..Self::default()
        }
    }

    /// Returns the time until the team may send another job within its rate, in milliseconds.
    fn rate_wait_ms(&self, now: Now) -> u64 {
        match self.name {
            Some(_) => self.rate.wait_ms(now.boot_ms, self.weight_milli),
            None => 0,
        }
    }
}

impl TeamTable {
    /// Replaces the weights; teams that aren't configured any more keep what they have placed.
    fn configure(&mut self, weights: &HashMap<TeamName, u64>) {
        self.is_configured = !weights.is_empty();
        for team in &mut self.teams {
            let weight = team.name.as_ref().and_then(|name| weights.get(name));
            team.weight_milli = weight.copied().unwrap_or(DEFAULT_WEIGHT_MILLI);
        }
        for (name, &weight_milli) in weights {
            let index = self.insert(Some(name));
            self.teams[index].weight_milli = weight_milli;
        }
    }

    /// Returns the index of a team; that of jobs without a team for one that has no jobs here.
    fn index(&self, team: Option<&TeamName>) -> usize {
        team.and_then(|name| self.indices.get(name).copied())
            .unwrap_or(NO_TEAM)
    }

    /// Returns the index of a team, which is added if it isn't there.
    pub(super) fn insert(&mut self, team: Option<&TeamName>) -> usize {
        let Some(name) = team else {
            return NO_TEAM;
        };
        if let Some(&index) = self.indices.get(name) {
            return index;
        }
        let index = self.teams.len();
        self.teams
            .push(Team::new(Some(name.clone()), DEFAULT_WEIGHT_MILLI));
        self.indices.insert(name.clone(), index);
        index
    }

    /// Counts the demand of a task that is placed.
    pub(super) fn count_placed(&mut self, job: &Job, demand: &Resources) {
        let placed = self.placed_mut(job);
        *placed = placed.saturating_add(demand);
    }

    /// Counts the demand of a task whose placement has ended.
    pub(super) fn count_released(&mut self, job: &Job, demand: &Resources) {
        let placed = self.placed_mut(job);
        *placed = placed.saturating_sub(demand);
    }

    fn placed_mut(&mut self, job: &Job) -> &mut Resources {
        let team = &mut self.teams[job.team_index];
        if job.spec.is_long_running() {
            &mut team.long_running
        } else {
            &mut team.placed
        }
    }

    /// Counts a rejected job of a team.
    pub(super) fn count_rejected(&mut self, team: Option<&TeamName>, reason: RejectReason) {
        let index = self.insert(team);
        let outcomes = &mut self.teams[index].outcomes;
        match reason {
            RejectReason::Overload => outcomes.overload += 1,
            RejectReason::OverRate => outcomes.over_rate += 1,
            RejectReason::NoSuitableWorker | RejectReason::TooManyJobs | RejectReason::NotReady => {
                outcomes.other += 1;
            }
        }
    }

    /// Returns what the teams have placed of a pool, without what waits.
    pub(super) fn placed_demands(&self, pool: &Resources) -> Vec<TeamDemand> {
        let demand = |team: &Team| TeamDemand {
            weight_milli: team.weight_milli,
            placed_ppb: part_ppb(&team.placed, pool),
            waiting_ppb: 0,
        };
        self.teams.iter().map(demand).collect()
    }
}

impl Shard {
    /// Passes the weights of the configured teams on.
    pub(super) fn configure_shares(&mut self) {
        let weights = self
            .teams
            .values()
            .map(|team| (team.name.clone(), weight_milli(team.weight)))
            .collect();
        self.team_table.configure(&weights);
    }

    /// Decides whether a job is accepted: by the team's share, or, without configured teams, by the
    /// whole backlog alone.
    pub(super) fn admit_by_share(
        &self,
        now: Now,
        team: Option<&TeamName>,
        spec: &JobSpec,
        route: &RouteConfig,
        job: AdmissionRequest,
    ) -> (TeamAdmission, Option<AdmissionShare>) {
        let table = &self.team_table;
        let backlog = &self.backlog_count;
        if !table.is_configured {
            let decision = self.decide_admission(spec, route, backlog.total, job);
            return (by_backlog(decision, backlog.total.wait_ms()), None);
        }
        let pool = backlog.total;
        let own = table.index(team);
        let total_weight_milli = table
            .teams
            .iter()
            .enumerate()
            .filter(|(index, _)| *index == own || backlog.team_work_ms(*index) > 0)
            .map(|(_, team)| team.weight_milli)
            .sum();
        let load = TeamLoad {
            work_ms: backlog.team_work_ms(own),
            weight_milli: table.teams[own].weight_milli,
            total_weight_milli,
            rate_wait_ms: table.teams[own].rate_wait_ms(now),
        };
        let share = AdmissionShare {
            team: team.cloned(),
            own_wait_ms: load.wait_ms(pool.workers),
            share_milli: load.share_milli(),
            is_within_rate: load.rate_wait_ms == 0,
        };
        (admit_for_team(pool, &load, job), Some(share))
    }

    /// Counts an accepted job to its team's rate; returns the index of the team.
    pub(super) fn count_accepted(&mut self, now: Now, team: Option<&TeamName>) -> usize {
        let index = self.team_table.insert(team);
        let team = &mut self.team_table.teams[index];
        team.rate.count_job(now.boot_ms, team.weight_milli);
        team.outcomes.accepted += 1;
        index
    }

    /// Sorts waiting jobs: by rank, and within a priority those within their teams' shares before
    /// those over it. A team's first long overdue job counts as not late if the team has nothing else.
    pub(super) fn order_by_share(&self, now: Now, waiting: &mut Vec<(JobRank, JobKey)>) {
        waiting.sort_unstable();
        let table = &self.team_table;
        if !table.is_configured {
            return;
        }
        let pool = self.shared_capacity();
        let mut demands = table.placed_demands(&pool);
        let wanted: Vec<Option<(usize, u64)>> = waiting
            .iter()
            .map(|&(_, key)| {
                let job = self
                    .jobs
                    .get(key)
                    .filter(|job| !job.spec.is_long_running())?;
                let wanted_ppb = part_ppb(&ready_demand(job), &pool);
                demands[job.team_index].waiting_ppb += wanted_ppb;
                Some((job.team_index, wanted_ppb))
            })
            .collect();
        let mut shares = FairShares::new(&demands);
        let mut moved = Vec::new();
        let mut wanted = wanted.into_iter();
        waiting.retain(|&(rank, key)| {
            let Some(Some((team, wanted_ppb))) = wanted.next() else {
                return true;
            };
            let is_due = rank.is_overdue(now.unix_ms) && shares.has_none(team);
            let is_over = shares.is_next_over(team, wanted_ppb);
            if is_due {
                moved.push((rank.not_late(), key));
            } else if is_over {
                moved.push((rank.over_share(), key));
            }
            !is_due && !is_over
        });
        if !moved.is_empty() {
            // Both parts are nearly in order, which the stable sort uses.
            waiting.append(&mut moved);
            waiting.sort();
        }
    }

    /// Returns the capacity of the registered workers without what long-running jobs take.
    pub(super) fn shared_capacity(&self) -> Resources {
        let long_running = self
            .team_table
            .teams
            .iter()
            .fold(Resources::default(), |sum, team| {
                sum.saturating_add(&team.long_running)
            });
        self.workers
            .values()
            .filter(|worker| worker.is_registered && !worker.registration.is_draining)
            .fold(Resources::default(), |sum, worker| {
                sum.saturating_add(&worker.registration.capacity)
            })
            .saturating_sub(&long_running)
    }
}

/// Returns a decision that was made from the whole backlog, which a job waits for.
const fn by_backlog(decision: Admission, wait_ms: u64) -> TeamAdmission {
    match decision {
        Admission::Accept => TeamAdmission::Accept { wait_ms },
        Admission::Reject { retry_after_ms } => TeamAdmission::Reject {
            reason: RejectReason::Overload,
            wait_ms,
            retry_after_ms,
        },
    }
}

/// Returns the demand of a job's tasks that wait and whose preceding steps are done.
pub(super) fn ready_demand(job: &Job) -> Resources {
    let mut demand = Resources::default();
    for occurrence in &job.occurrences {
        for (progress, spec) in occurrence.steps.iter().zip(&job.spec.steps) {
            let waiting = progress.waiting_tasks();
            if waiting > 0 && occurrence.is_step_ready(spec) {
                demand = demand.saturating_add(&spec.reserved_resources().times(waiting));
            }
        }
    }
    demand
}

/// Returns the largest part that an amount takes of a dimension of a pool, in parts per billion.
pub(super) fn part_ppb(amount: &Resources, pool: &Resources) -> u64 {
    amount.dominant_part(pool, WHOLE_POOL_PPB)
}

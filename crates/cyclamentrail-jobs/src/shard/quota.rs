//! Quota of teams in one shard: what each team uses, which tasks wait for an allowance, and the
//! reports to the ledger.

use std::collections::HashMap;

use cyclamentrail_core::{ServiceName, TeamName};

use super::{Now, Shard};
use crate::effect::{Decision, Effect};
use crate::job::{JobKey, TaskKey};
use crate::quota::{
    Allowances, QuotaReply, QuotaReport, TeamReport, WHOLE_CAP, cap_share, is_limited, may_start,
};
use crate::{Resources, StepSpec};

/// Resources that a team's placed tasks take.
#[derive(Debug, Clone, Copy, Default)]
struct Usage {
    now: Resources,
    /// Largest amount in each dimension since the last report. A loan isn't returned between two
    /// short tasks.
    recent: Resources,
}

/// Tasks of a team that the last placement pass skipped because of the quota.
#[derive(Debug, Clone, Copy)]
struct Skipped {
    /// Resources of these tasks, counted up to the whole cap.
    demand: Resources,
    /// Whether these tasks would take the whole cap, so that no more are counted.
    is_whole_cap: bool,
    /// Resources of the task, or of the gang as a whole, that takes the smallest share of the cap.
    smallest: Resources,
    /// What this task, or one of this gang, takes of its worker.
    smallest_demand: Resources,
}

/// Quota of all teams in a shard.
#[derive(Debug, Default)]
pub(super) struct Quota {
    allowances: Allowances,
    used: HashMap<TeamName, Usage>,
    skipped: HashMap<TeamName, Skipped>,
}

/// Limit that applies to a step: the cap of its job's team.
#[derive(Debug, Clone)]
pub(super) struct StepLimit {
    team: TeamName,
    cap: Resources,
    /// Share of the cap that one task takes, in millionths.
    member: u64,
    /// Resources of what is started at once: a task, or a gang as a whole.
    request: Resources,
}

/// Quota of one team in a shard, in millionths of the team's cap.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TeamQuota {
    /// Name of the team.
    pub team: TeamName,
    /// Share that the placed tasks take.
    pub usage: u64,
    /// Share that they may take.
    pub allowance: u64,
    /// Whether a task waits for a larger allowance.
    pub is_waiting: bool,
}

impl Quota {
    /// Counts a placed task.
    pub(super) fn add(&mut self, team: Option<&TeamName>, demand: &Resources) {
        let Some(team) = team else {
            return;
        };
        let used = match self.used.get_mut(team) {
            Some(used) => used,
            None => self.used.entry(team.clone()).or_default(),
        };
        used.now = used.now.saturating_add(demand);
        used.recent = largest(&used.recent, &used.now);
    }

    /// Uncounts a task whose run has ended for certain.
    pub(super) fn subtract(&mut self, team: Option<&TeamName>, demand: &Resources) {
        if let Some(used) = team.and_then(|team| self.used.get_mut(team)) {
            used.now = used.now.saturating_sub(demand);
        }
    }

    /// Forgets which tasks were skipped, at the beginning of a placement pass.
    pub(super) fn begin_pass(&mut self) {
        self.skipped.clear();
    }

    fn usage(&self, team: &TeamName, cap: &Resources) -> u64 {
        let used = self.used.get(team);
        used.map_or(0, |used| cap_share(&used.now, cap))
    }

    /// Returns whether the team's allowance suffices for one more task or gang of a step.
    pub(super) fn allows(&self, limit: &StepLimit) -> bool {
        let used = self
            .used
            .get(&limit.team)
            .map_or(Resources::default(), |used| used.now);
        may_start(
            cap_share(&used, &limit.cap),
            cap_share(&used.saturating_add(&limit.request), &limit.cap),
            limit.member,
            self.allowances.of(&limit.team),
            self.allowances.services(),
        )
    }
}

impl Shard {
    /// Sets the number of services that share the part of each cap that needs no permission.
    pub fn set_service_count(&mut self, services: usize) {
        self.quota.allowances.set_services(services);
    }

    /// Applies the caps of the teams to the allowances.
    pub(super) fn configure_quota(&mut self) {
        self.quota.allowances.set_caps(self.teams.values());
    }

    /// Returns whether the present placement pass has skipped a step of the same team that needs no
    /// more than this one, and has counted as much as the team could use. Saves the look at the cap
    /// for each job of a team that has many waiting.
    pub(super) fn is_surely_skipped(&self, job: JobKey, spec: &StepSpec) -> bool {
        if self.quota.skipped.is_empty() {
            return false;
        }
        let team = self.jobs.get(job).and_then(|job| job.team.as_ref());
        let skipped = team.and_then(|team| self.quota.skipped.get(team));
        skipped.is_some_and(|skipped| {
            skipped.is_whole_cap && request_of(spec).contains(&skipped.smallest)
        })
    }

    /// Returns the limit for a step, or `None` if its job's team has no cap.
    pub(super) fn step_limit(&self, job: JobKey, spec: &StepSpec) -> Option<StepLimit> {
        let team = self.jobs.get(job)?.team.as_ref()?;
        let cap = self.teams.get(team)?.cap;
        if !is_limited(&cap) {
            return None;
        }
        let member = cap_share(&spec.demand, &cap);
        let request = request_of(spec);
        Some(StepLimit {
            team: team.clone(),
            cap,
            member,
            request,
        })
    }

    /// Returns whether a task that is ready and not placed waits for its team's allowance.
    pub(super) fn waits_for_quota(&self, task: TaskKey) -> bool {
        self.step_of(task)
            .and_then(|spec| self.step_limit(task.job, spec))
            .is_some_and(|limit| !self.quota.allows(&limit))
    }

    /// Records that the tasks of a step wait for their team's allowance.
    pub(super) fn record_skipped(&mut self, task: TaskKey, limit: &StepLimit) {
        let Some(spec) = self.step_of(task) else {
            return;
        };
        // Such a gang doesn't fit into the cap, whatever the ledger lends.
        let share = |amount: &Resources| cap_share(amount, &limit.cap);
        if share(&limit.request) > self.quota.allowances.largest() + limit.member {
            return;
        }
        let earlier = self.quota.skipped.get(&limit.team);
        let counted = earlier.map_or(Resources::default(), |skipped| skipped.demand);
        let is_whole_cap = earlier.is_some_and(|skipped| skipped.is_whole_cap);
        let waiting = if is_whole_cap {
            0
        } else if spec.gang {
            u64::from(spec.count)
        } else {
            let enough = WHOLE_CAP / limit.member.max(1) + 1;
            self.waiting_count(task, enough)
        };
        let demand = counted.saturating_add(&spec.demand.times(waiting));
        let skipped = Skipped {
            demand,
            is_whole_cap: is_whole_cap || share(&demand) >= WHOLE_CAP,
            smallest: limit.request,
            smallest_demand: spec.reserved_resources(),
        };
        let skipped = match earlier {
            Some(earlier) if share(&earlier.smallest) <= share(&skipped.smallest) => Skipped {
                demand: skipped.demand,
                is_whole_cap: skipped.is_whole_cap,
                ..*earlier
            },
            _ => skipped,
        };
        self.quota.skipped.insert(limit.team.clone(), skipped);
    }

    /// Returns the number of tasks of a step that wait, counted up to `enough`.
    fn waiting_count(&self, task: TaskKey, enough: u64) -> u64 {
        let tasks = self
            .jobs
            .get(task.job)
            .and_then(|job| job.occurrence(task.occurrence))
            .and_then(|occurrence| occurrence.steps.get(task.step as usize))
            .into_iter()
            .flat_map(|progress| &progress.tasks);
        let mut count = 0;
        for _ in tasks.filter(|task| !task.is_done && task.placement.is_none()) {
            count += 1;
            if count >= enough {
                break;
            }
        }
        count
    }

    /// Returns whether a task waits for its team's allowance.
    #[must_use]
    pub fn is_limited_by_quota(&self) -> bool {
        !self.quota.skipped.is_empty()
    }

    /// Returns whether the next report has to name all teams, as after a change of a cap.
    #[must_use]
    pub fn needs_full_quota_report(&self) -> bool {
        self.has_quota() && self.quota.allowances.needs_full_report()
    }

    /// Returns the number of teams with tasks that wait for a larger allowance.
    #[must_use]
    pub fn waiting_team_count(&self) -> usize {
        self.quota.skipped.len()
    }

    /// Makes the shard ignore ledgers that are earlier than the one with this token.
    pub fn ignore_earlier_ledgers(&mut self, ledger: u64) {
        self.quota.allowances.ignore_earlier_ledgers(ledger);
    }

    /// Begins a report to the ledger with a fencing token; `None` if there is nothing to report, or a
    /// report is open. `owner` is the token of this shard's owner.
    pub fn begin_quota_report(
        &mut self,
        now: Now,
        service: &ServiceName,
        owner: u64,
        ledger: u64,
    ) -> Option<QuotaReport> {
        if !self.has_quota() && !self.quota.allowances.has_reported_teams() {
            return None;
        }
        if self.quota.allowances.is_report_open() {
            return None;
        }
        let teams = self.team_reports(now);
        for used in self.quota.used.values_mut() {
            used.recent = used.now;
        }
        let unused = Resources::default();
        self.quota.used.retain(|_, used| used.now != unused);
        self.quota
            .allowances
            .begin_report(service, owner, ledger, teams)
    }

    /// Handles the reply to a report; `None` if there was none in time.
    pub fn finish_quota_report(&mut self, sequence: u64, reply: Option<&QuotaReply>) {
        for change in self.quota.allowances.finish_report(sequence, reply) {
            let cap = self.teams.get(&change.team).map(|team| team.cap);
            let usage = cap.map_or(0, |cap| self.quota.usage(&change.team, &cap));
            self.ready_effects
                .push(Effect::Log(Decision::AllowanceChanged { change, usage }));
        }
    }

    /// Returns the quota of each capped team that uses something, holds a loan or waits.
    #[must_use]
    pub fn team_quotas(&self) -> Vec<TeamQuota> {
        let mut quotas: Vec<TeamQuota> = self
            .teams
            .values()
            .filter(|team| is_limited(&team.cap))
            .map(|team| TeamQuota {
                team: team.name.clone(),
                usage: self.quota.usage(&team.name, &team.cap),
                allowance: self.quota.allowances.of(&team.name),
                is_waiting: self.quota.skipped.contains_key(&team.name),
            })
            .filter(|quota| {
                quota.usage > 0
                    || quota.is_waiting
                    || quota.allowance != self.quota.allowances.base()
            })
            .collect();
        quotas.sort_by(|one, other| one.team.cmp(&other.team));
        quotas
    }

    /// Returns whether any team has a cap.
    #[must_use]
    pub fn has_quota(&self) -> bool {
        self.teams.values().any(|team| is_limited(&team.cap))
    }

    /// Returns the reports of all teams that aren't at their base, or that the ledger knows as such.
    fn team_reports(&self, now: Now) -> Vec<TeamReport> {
        let base = self.quota.allowances.base();
        let has_waiting = !self.quota.skipped.is_empty();
        let free: Vec<Resources> = self
            .workers
            .values()
            .filter(|_| has_waiting)
            .filter(|worker| worker.accepts_tasks(now.boot_ms))
            .map(crate::Worker::free_capacity)
            .collect();
        let all_free = free
            .iter()
            .fold(Resources::default(), |sum, free| sum.saturating_add(free));
        self.teams
            .values()
            .filter(|team| is_limited(&team.cap))
            .map(|team| self.team_report(&team.name, &team.cap, &all_free, &free))
            .filter(|report| {
                !report.is_at_base(base) || self.quota.allowances.is_reported(&report.team)
            })
            .collect()
    }

    /// Returns the report of a team. The wanted amount is what its tasks take and those that wait
    /// for the allowance could take of the free workers.
    fn team_report(
        &self,
        team: &TeamName,
        cap: &Resources,
        all_free: &Resources,
        free: &[Resources],
    ) -> TeamReport {
        let used = self.quota.used.get(team).copied().unwrap_or_default();
        let usage = cap_share(&used.now, cap);
        let mut wanted = cap_share(&used.recent, cap);
        let mut needed = 0;
        if let Some(skipped) = self.quota.skipped.get(team) {
            let startable = smallest(&skipped.demand, all_free);
            wanted = wanted.max(cap_share(&used.now.saturating_add(&startable), cap));
            let has_room = |free: &Resources| free.contains(&skipped.smallest_demand);
            if free.iter().any(has_room) {
                let after = cap_share(&used.now.saturating_add(&skipped.smallest), cap);
                needed = self.needed(usage, after);
            }
        }
        TeamReport {
            team: team.clone(),
            usage,
            allowance: self.quota.allowances.of(team),
            wanted: wanted.max(needed),
            needed,
        }
    }

    /// Returns the allowance with which a task starts that takes a team's usage to `after`; 0 if none
    /// helps before the usage falls.
    fn needed(&self, usage: u64, after: u64) -> u64 {
        let largest = self.quota.allowances.largest();
        if after <= largest {
            after
        } else if usage == 0 {
            largest
        } else {
            0
        }
    }
}

/// Returns the resources that a step needs to start: those of one task, or of a gang as a whole.
const fn request_of(spec: &StepSpec) -> Resources {
    if spec.gang {
        spec.demand.times(spec.count as u64)
    } else {
        spec.demand
    }
}

fn largest(one: &Resources, other: &Resources) -> Resources {
    Resources::new(
        one.cpu_milli.max(other.cpu_milli),
        one.memory_mib.max(other.memory_mib),
        one.gpus.max(other.gpus),
    )
}

fn smallest(one: &Resources, other: &Resources) -> Resources {
    Resources::new(
        one.cpu_milli.min(other.cpu_milli),
        one.memory_mib.min(other.memory_mib),
        one.gpus.min(other.gpus),
    )
}

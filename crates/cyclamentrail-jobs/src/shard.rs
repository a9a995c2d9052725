//! Scheduling of one service: its jobs, the workers that run them, and the decisions about both.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

use cyclamentrail_core::{JobId, RouteName, TeamName, WorkerId};
use slotmap::SlotMap;

use crate::effect::{CallerId, Decision, Effect, EndProof, WorkerTarget};
use crate::grants::Grants;
use crate::job::{Job, JobKey, JobState, RunPhase, TaskKey};
use crate::record::{AcceptedJobRecord, KeyedRecord, OwnerTokens, PROGRESS_SUFFIX, encode};
use crate::record_parts::{StoredParts, deletion};
use crate::worker::{Reachability, Worker, WorkerKey};
use crate::{DurationEstimate, FencingToken, RecentLoss, StepSpec, TeamConfig};

mod advice;
mod backlog;
mod best_effort;
mod cancel;
mod commands;
mod crashes;
mod ended_workers;
mod evacuation;
mod failing_services;
mod held_jobs;
mod inherited_evacuations;
mod isolation;
mod lease_records;
mod long_waits;
mod occurrences;
mod on_time;
mod open_starts;
mod owner_records;
mod placement;
mod placements;
mod progress;
mod quota;
mod recovery;
mod refused_records;
mod registry;
mod release;
mod reports;
mod restarts;
mod routes;
mod run_time_costs;
mod run_times;
mod shares;
mod stalls;
mod starts;
mod stops;
mod submit;
mod task_times;
mod team_status;
mod timeliness;
mod timing;
mod unassigned_runs;
mod unchanged_runs;
mod unsent_jobs;

use lease_records::LeaseRecordScope;
pub use quota::TeamQuota;
pub use submit::{Submission, retry_seed};
pub use team_status::TeamStatus;
pub use timing::ShardTiming;

/// Time after which a start command without a response is sent again, in milliseconds.
const START_RETRY_MS: u64 = 150;
/// Time between two stop commands for the same run, in milliseconds.
const STOP_RETRY_MS: u64 = 400;

/// The present time on the two clocks that decisions use.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Now {
    /// Time on this machine's monotonic clock in milliseconds; suspension counts.
    pub boot_ms: u64,
    /// Unix time in milliseconds.
    pub unix_ms: u64,
}

/// Records to be stored, and the effects that may happen once the records are durable.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Commit {
    /// Records to append atomically.
    pub records: Vec<KeyedRecord>,
    /// Effects that wait for the records.
    effects: Vec<Effect>,
    /// Sequence number of the last ended run of each worker that the records cover.
    ended_sequences: Vec<(WorkerKey, u64)>,
    /// States that callers may see once the records are durable.
    job_states: Vec<(JobKey, JobState)>,
    /// Workers whose lease records are deleted.
    reopened_workers: Vec<WorkerId>,
    /// Number of records that the owner asked to store.
    owner_records: usize,
}

/// Scheduler of one service: holds its jobs and workers and makes all decisions about both.
///
/// Events come in through methods. Decisions go out as [`Effect`]s, at once through
/// [`Shard::take_ready`] or, where a record has to be durable first, through [`Shard::take_commit`]
/// and [`Shard::finish_commit`].
#[derive(Debug, Default)]
pub struct Shard {
    timing: ShardTiming,
    tokens: OwnerTokens,
    /// Time until which an owner before this one may act, as in [`Now::boot_ms`].
    earlier_act_until_ms: u64,
    /// Fencing token of the newest incarnation of any worker.
    newest_token: FencingToken,
    routes: routes::Routes,
    teams: HashMap<TeamName, TeamConfig>,
    /// Whether the configuration asks callers for no keys; not before a configuration is known.
    is_open: bool,
    team_table: shares::TeamTable,
    jobs: SlotMap<JobKey, Job>,
    job_keys: HashMap<JobId, JobKey>,
    workers: SlotMap<WorkerKey, Worker>,
    worker_keys: HashMap<WorkerId, WorkerKey>,
    /// Start time (Unix time in milliseconds) of each worker's last incarnation that has ended for
    /// certain, while the registry may still list it.
    ended_incarnations: HashMap<WorkerId, u64>,
    /// Last loss of a worker, which casts doubt on others.
    recent_loss: Option<RecentLoss>,
    /// Workers that have ended, with runs whose start commands have no result yet.
    ended_workers: BTreeSet<WorkerKey>,
    lease_records: lease_records::LeaseRecords,
    /// Jobs that still have tasks to place or runs on workers.
    active: BTreeSet<JobKey>,
    /// Job at which the last round stopped to begin occurrences, if others were left.
    last_begun: Option<JobKey>,
    /// Final jobs by the Unix time in milliseconds at which they are dropped.
    expiring: BTreeSet<(u64, JobKey)>,
    /// Accepted jobs whose accept record isn't durable yet, with the callers that wait for a reply.
    unstored: BTreeMap<JobKey, Vec<CallerId>>,
    /// Jobs of `unstored` whose accept record is part of a commit that was taken.
    stores_in_flight: BTreeSet<JobKey>,
    /// Jobs that changed since the last commit.
    dirty: BTreeSet<JobKey>,
    /// Keys of records that have to be deleted, in this order.
    obsolete_keys: Vec<String>,
    owner_records: owner_records::OwnerRecords,
    held_jobs: held_jobs::HeldJobs,
    /// Whether workers reported ends of runs whose jobs are unknown; a commit has to acknowledge
    /// these.
    has_unmatched_ends: bool,
    /// Effects that wait for the next commit.
    gated_effects: Vec<Effect>,
    /// Effects that may happen at once.
    ready_effects: Vec<Effect>,
    resends: Vec<Resend>,
    /// Time of the last check for stalled runs, as in [`Now::boot_ms`].
    stalls_checked_ms: u64,
    /// Runs without progress under earlier owners that their workers haven't reported yet.
    inherited_waits: Vec<unchanged_runs::InheritedWait>,
    /// Time of the last check for tasks that wait long, as in [`Now::boot_ms`].
    waits_checked_ms: u64,
    estimates: HashMap<RouteName, DurationEstimate>,
    learned: run_times::LearnedTimes,
    expectations: on_time::Expectations,
    arrivals: evacuation::Arrivals,
    inherited_evacuations: inherited_evacuations::InheritedEvacuations,
    crashes: crashes::Crashes,
    failing_services: failing_services::FailingServices,
    grants: Grants,
    open_starts: open_starts::OpenStarts,
    set_aside: placement::SetAside,
    turns: placement::Turns,
    /// Index of the waiting step at which the last placement pass stopped, 0 if it reached all.
    resumed_step: usize,
    /// Number of times that placement passes looked at a worker.
    placement_looks: u64,
    quota: quota::Quota,
    /// Number of queries to queue policies that have no result yet.
    open_queries: usize,
    /// Last count of the backlog, with the jobs that were accepted since.
    backlog_count: backlog::BacklogCount,
    /// Number of tasks that were looked at to count the backlog.
    counted_tasks: u64,
}

/// A start or stop command that has to be sent again.
#[derive(Debug, Clone, Copy)]
struct Resend {
    due_ms: u64,
    task: TaskKey,
    run: u32,
}

impl Shard {
    /// Creates a shard without jobs or workers.
    #[must_use]
    pub fn new(timing: ShardTiming) -> Self {
        Self {
            timing,
            ..Self::default()
        }
    }

    /// Sets the fencing tokens of the owner and of the one before it.
    #[must_use]
    pub const fn tokens(mut self, tokens: OwnerTokens) -> Self {
        self.tokens = tokens;
        self.newest_token = FencingToken::of_owner(tokens.own);
        self
    }

    /// Replaces the configuration of all teams.
    pub fn set_teams(&mut self, teams: impl IntoIterator<Item = TeamConfig>) {
        self.teams = teams
            .into_iter()
            .map(|team| (team.name.clone(), team))
            .collect();
        self.configure_quota();
        self.configure_shares();
    }

    /// Sets whether the configuration asks callers for keys, as it may do even if none of its teams
    /// is in force. If it doesn't, jobs of teams are open to all callers.
    pub const fn set_needs_keys(&mut self, needs_keys: bool) {
        self.is_open = !needs_keys;
    }

    /// Returns the job with an id.
    #[must_use]
    pub fn job(&self, id: &JobId) -> Option<&Job> {
        self.job_keys.get(id).map(|&key| &self.jobs[key])
    }

    /// Returns all jobs, final ones included.
    pub fn jobs(&self) -> impl Iterator<Item = &Job> {
        self.jobs.values()
    }

    /// Returns the worker with an id.
    #[must_use]
    pub fn worker(&self, id: &WorkerId) -> Option<&Worker> {
        self.worker_keys.get(id).map(|&key| &self.workers[key])
    }

    /// Returns the worker with a key.
    #[must_use]
    pub fn worker_by_key(&self, key: WorkerKey) -> Option<&Worker> {
        self.workers.get(key)
    }

    /// Returns all workers, including unlisted ones that may still run tasks.
    pub fn workers(&self) -> impl Iterator<Item = &Worker> {
        self.workers.values()
    }

    /// Returns whether a job isn't final or a run hasn't ended.
    #[must_use]
    pub fn is_busy(&self) -> bool {
        !self.active.is_empty() || self.workers.values().any(|worker| !worker.tasks.is_empty())
    }

    /// Returns whether there is anything for [`Shard::take_commit`] to take.
    #[must_use]
    pub fn needs_commit(&self) -> bool {
        !self.dirty.is_empty()
            || !self.obsolete_keys.is_empty()
            || !self.gated_effects.is_empty()
            || self.has_unmatched_ends
            || self.routes.needs_commit()
            || self.owner_records.needs_commit()
            || self.lease_records.are_due()
    }

    /// Returns how often placement passes have looked at a worker.
    #[must_use]
    pub const fn placement_looks(&self) -> u64 {
        self.placement_looks
    }

    /// Takes the effects that may happen at once, without a commit.
    pub fn take_ready(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.ready_effects)
    }

    /// Does everything that is due: begins occurrences, frees runs of expired leases, resends
    /// commands, stops stalled runs, evacuates workers, places tasks, requests advice, polls
    /// workers and drops old jobs.
    pub fn advance(&mut self, now: Now) {
        self.learned.last_round = now;
        self.update_occurrences(now);
        self.release_expired(now);
        self.settle_ended_workers(now);
        self.resend_due(now);
        self.stop_stalled_runs(now);
        self.evacuate_tasks(now);
        self.prune_crashes(now);
        self.note_suspect_waits(now);
        self.prune_failing_services();
        self.place_tasks(now);
        self.prefetch_advice(now);
        self.report_long_wait(now);
        self.poll_workers(now);
        self.drop_expired(now);
        self.drop_unused_routes(now);
        self.note_due_lease_records(now);
    }

    /// Takes the records that have to be stored next, with the effects that wait for them.
    pub fn take_commit(&mut self, now: Now) -> Option<Commit> {
        self.needs_commit()
            .then(|| self.collect_commit(now, LeaseRecordScope::Unreachable))
    }

    /// Takes the last commit of an owner that gives up the shard. Nothing may be sent to workers from
    /// then on.
    pub fn take_last_commit(&mut self, now: Now) -> Commit {
        self.record_open_starts();
        let mut commit = self.collect_commit(now, LeaseRecordScope::LastCommit);
        self.record_unchanged_runs(now, &mut commit);
        self.record_evacuations(now, &mut commit);
        commit
    }

    fn collect_commit(&mut self, now: Now, scope: LeaseRecordScope) -> Commit {
        self.has_unmatched_ends = false;
        let mut commit = Commit {
            records: self.routes.take_records(),
            effects: std::mem::take(&mut self.gated_effects),
            ..Commit::default()
        };
        self.owner_records.take_into(&mut commit);
        let obsolete = std::mem::take(&mut self.obsolete_keys);
        commit.records.extend(obsolete.into_iter().map(deletion));
        for key in std::mem::take(&mut self.dirty) {
            self.record_job(now, key, &mut commit);
        }
        self.learned.store_due(now, &mut commit);
        for (key, worker) in &self.workers {
            if worker.handled_sequence > worker.durable_sequence {
                commit.ended_sequences.push((key, worker.handled_sequence));
            }
        }
        self.record_leases(now, scope, &mut commit);
        commit
    }

    /// Marks a commit as durable and returns the effects that waited for it.
    pub fn finish_commit(&mut self, commit: Commit) -> Vec<Effect> {
        for (key, sequence) in commit.ended_sequences {
            if let Some(worker) = self.workers.get_mut(key) {
                worker.durable_sequence = worker.durable_sequence.max(sequence);
            }
        }
        for (key, state) in commit.job_states {
            self.unstored.remove(&key);
            self.stores_in_flight.remove(&key);
            if let Some(job) = self.jobs.get_mut(key) {
                job.durable_state = state;
            }
        }
        self.owner_records.finish(commit.owner_records);
        for worker in commit.reopened_workers {
            self.lease_records.finish_deletion(&worker);
        }
        commit
            .effects
            .into_iter()
            .filter(|effect| match effect {
                Effect::Stop(command) => self.confirm_stop(command),
                _ => true,
            })
            .collect()
    }

    /// Adds the records of a changed job to a commit and finishes the job if it is final.
    fn record_job(&mut self, now: Now, key: JobKey, commit: &mut Commit) {
        let timeliness = self.timeliness(now, key);
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        let state = job.state();
        if state.is_final() && job.ended_ms.is_none() {
            job.ended_ms = Some(now.unix_ms);
            let took_ms = now.unix_ms.saturating_sub(job.accepted_ms);
            commit.effects.push(Effect::Log(Decision::JobFinal {
                job: job.id.clone(),
                state,
                took_ms,
                timeliness,
            }));
            let route = self.routes.get(&job.route).map(Arc::as_ref);
            let promise = self.expectations.settle(key, job, route, took_ms);
            commit.effects.extend(promise.map(Effect::Log));
        }
        if state.is_final() && !job.has_placements() {
            self.active.remove(&key);
            self.grants.drop_job(key);
            let drop_ms = job.ended_ms.unwrap_or(now.unix_ms) + self.timing.keep_ms;
            self.expiring.insert((drop_ms, key));
        }
        if self.unstored.contains_key(&key) {
            self.stores_in_flight.insert(key);
            let accept = AcceptedJobRecord {
                route: job.route.clone(),
                spec: Arc::clone(&job.spec),
                accepted_ms: job.accepted_ms,
                team: job.team.clone(),
            };
            commit.records.push(KeyedRecord {
                key: job.id.to_string(),
                value: encode(&accept),
            });
        }
        let job = &self.jobs[key];
        if job.next_occurrence > 0 || job.is_aborted() {
            self.record_progress(now, key, commit);
        }
        commit.job_states.push((key, state));
    }

    /// Drops final jobs whose keeping time has passed.
    fn drop_expired(&mut self, now: Now) {
        while let Some(&(due_ms, key)) = self.expiring.first() {
            if due_ms > now.unix_ms {
                return;
            }
            self.expiring.remove(&(due_ms, key));
            if let Some(job) = self.jobs.remove(key) {
                self.job_keys.remove(&job.id);
                self.delete_records(&job);
            }
        }
    }

    /// Deletes the records of a dropped job. Without the job's own record, a successor that finds some
    /// of the others doesn't take the job for a new one.
    fn delete_records(&mut self, job: &Job) {
        let id = &job.id;
        self.obsolete_keys.push(id.to_string());
        self.obsolete_keys.push(format!("{id}{PROGRESS_SUFFIX}"));
        let parts = job.parts.iter().flat_map(StoredParts::numbers);
        self.obsolete_keys
            .extend(parts.map(|number| number.key(id)));
    }

    fn target(&self, key: WorkerKey) -> WorkerTarget {
        let worker = &self.workers[key];
        let registration = &worker.registration;
        WorkerTarget {
            key,
            id: registration.id.clone(),
            started_ms: registration.started_ms,
            address: registration.address,
            token: worker.token,
        }
    }

    fn step_of(&self, key: TaskKey) -> Option<&StepSpec> {
        self.jobs.get(key.job)?.spec.steps.get(key.step as usize)
    }

    /// Frees the capacity of a run that has ended for certain; a `proof` is reported as a decision.
    fn release(&mut self, key: TaskKey, proof: Option<EndProof>) {
        if proof.is_some() {
            self.learn_interrupted(key);
        }
        self.forget_share(key);
        let Some(spec) = self.step_of(key) else {
            return;
        };
        let (demand, full_demand) = (spec.reserved_resources(), spec.demand);
        let Some(job) = self.jobs.get_mut(key.job) else {
            return;
        };
        let id = job.id.clone();
        let Some(placement) = job.task_mut(key).and_then(|task| task.placement.take()) else {
            return;
        };
        if proof == Some(EndProof::NotListed) {
            self.keep_inherited_start(key, placement);
        }
        let Some(job) = self.jobs.get(key.job) else {
            return;
        };
        self.quota.subtract(job.team.as_ref(), &full_demand);
        self.team_table.count_released(job, &demand);
        self.take_back(key);
        self.dirty.insert(key.job);
        let Some(worker) = self.workers.get_mut(placement.worker) else {
            return;
        };
        worker.used_capacity = worker.used_capacity.saturating_sub(&demand);
        worker.tasks.remove(&key);
        if let Some(proof) = proof {
            self.gated_effects.push(Effect::Log(Decision::RunGone {
                job: id,
                task: key,
                run: placement.run,
                has_begun: placement.has_begun,
                is_listed: placement.is_listed,
                worker: worker.registration.id.clone(),
                proof,
            }));
        }
        self.remove_if_unused(placement.worker);
    }

    /// Sends the start and stop commands again that are due.
    fn resend_due(&mut self, now: Now) {
        let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.resends)
            .into_iter()
            .partition(|resend| resend.due_ms <= now.boot_ms);
        self.resends = later;
        for resend in due {
            let placement = self
                .placement_of(resend.task)
                .filter(|placement| placement.run == resend.run);
            let is_reachable = placement.is_some_and(|placement| {
                self.workers
                    .get(placement.worker)
                    .is_some_and(|worker| worker.reachability == Reachability::Reachable)
            });
            match placement.map(|placement| placement.phase) {
                // Each start command extends the worker's lease. An unreachable worker gets
                // none, so that its lease can end.
                Some(RunPhase::Sent) if !is_reachable => {
                    let due_ms = now.boot_ms + START_RETRY_MS;
                    self.schedule_resend(due_ms, resend.task, resend.run);
                }
                Some(RunPhase::Sent) => self.send_start(resend.task),
                Some(RunPhase::Stopping { confirmed_ms: None }) => {
                    self.resend_stop(now, resend.task);
                }
                _ => {}
            }
        }
    }

    fn schedule_resend(&mut self, due_ms: u64, task: TaskKey, run: u32) {
        self.resends.push(Resend { due_ms, task, run });
    }
}

//! The jobs of one service and the workers that run them.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

use cyclamentrail_core::{JobId, RouteName, WorkerId};
use slotmap::SlotMap;

use crate::effect::{CallerTicket, Effect, GoneProof, Note, StopOrder, Target};
use crate::grants::Grants;
use crate::job::{Job, JobKey, JobState, Phase, TaskKey};
use crate::record::{AcceptRecord, KeyedRecord, PROGRESS_SUFFIX, encode};
use crate::worker::{Contact, Worker, WorkerKey};
use crate::{Estimate, RouteTerms, StepSpec};

mod advice;
mod cancel;
mod evacuation;
mod harm;
mod orders;
mod placement;
mod recovery;
mod registry;
mod reports;
mod snapshot;
mod stalls;
mod submit;
mod waiting;
mod withdrawal;

pub use submit::{Submission, seed_of};

/// Time after which an unanswered start is sent again, in milliseconds.
const START_AGAIN_MS: u64 = 150;
/// Time between two orders to stop the same run, in milliseconds.
const STOP_AGAIN_MS: u64 = 400;

/// A moment on the two clocks that decisions need.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Now {
    /// Our own steady clock, which counts suspension, in milliseconds.
    pub boot_ms: u64,
    /// Unix time in milliseconds.
    pub unix_ms: u64,
}

/// Times that a shard works with.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ShardTiming {
    /// Length of a worker's lease.
    pub lease_ms: u64,
    /// How long a worker may wait for an end before it answers a look.
    pub look_wait_ms: u64,
    /// How long a worker on which some tasks fill beside others that serve may wait.
    pub shared_wait_ms: u64,
    /// Time between two looks at a busy worker.
    pub look_gap_ms: u64,
    /// How long the state of a final job is kept.
    pub keep_ms: u64,
    /// Most jobs that are kept at once.
    pub max_jobs: usize,
}

impl Default for ShardTiming {
    fn default() -> Self {
        Self {
            lease_ms: 4_500,
            look_wait_ms: 1_200,
            shared_wait_ms: 400,
            look_gap_ms: 60,
            keep_ms: 125_000,
            max_jobs: 20_000,
        }
    }
}

/// What has to be durable, and what may happen once it is.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Commit {
    /// Records to append, all or none.
    pub records: Vec<KeyedRecord>,
    effects: Vec<Effect>,
    seen: Vec<(WorkerKey, u64)>,
    shown: Vec<(JobKey, JobState)>,
}

/// The jobs of one service, the workers that run them, and all decisions about both.
#[derive(Debug, Default)]
pub struct Shard {
    timing: ShardTiming,
    terms: HashMap<RouteName, Arc<RouteTerms>>,
    jobs: SlotMap<JobKey, Job>,
    ids: HashMap<JobId, JobKey>,
    workers: SlotMap<WorkerKey, Worker>,
    worker_ids: HashMap<WorkerId, WorkerKey>,
    /// Lives that have surely ended although the registry may still list them, by their birth.
    ended_lives: HashMap<WorkerId, u64>,
    /// Jobs that may still need placing or watching.
    active: BTreeSet<JobKey>,
    /// Final jobs by the Unix time at which they are dropped.
    expiring: BTreeSet<(u64, JobKey)>,
    /// Accepted jobs that aren't durable yet, and the callers that wait for it.
    undurable: BTreeMap<JobKey, Vec<CallerTicket>>,
    /// Those of them whose record is on its way to the store.
    in_flight: BTreeSet<JobKey>,
    dirty: BTreeSet<JobKey>,
    dropped: Vec<JobId>,
    /// Whether workers listed ends that concern no job.
    has_bare_ends: bool,
    gated: Vec<Effect>,
    ready: Vec<Effect>,
    resends: Vec<Resend>,
    /// When runs that stand still were last looked for, on our clock in milliseconds.
    stalls_seen_ms: u64,
    /// When waiting tasks were last told of, on our clock in milliseconds.
    waiting_told_ms: u64,
    estimates: HashMap<RouteName, Estimate>,
    arrivals: evacuation::Arrivals,
    grants: Grants,
    /// Questions to queues' policies that are under way.
    questions: usize,
}

/// An order to be sent again, because nobody answered it.
#[derive(Debug, Clone, Copy)]
struct Resend {
    due_ms: u64,
    task: TaskKey,
    run: u32,
}

impl Shard {
    /// Creates a shard without jobs and workers.
    #[must_use]
    pub fn new(timing: ShardTiming) -> Self {
        Self {
            timing,
            ..Self::default()
        }
    }

    /// Sets the terms of the routes that are in force.
    pub fn set_terms(&mut self, terms: impl IntoIterator<Item = RouteTerms>) {
        self.terms = terms
            .into_iter()
            .map(|terms| (terms.name.clone(), Arc::new(terms)))
            .collect();
    }

    /// Returns a job by its id.
    #[must_use]
    pub fn job(&self, id: &JobId) -> Option<&Job> {
        self.ids.get(id).map(|&key| &self.jobs[key])
    }

    /// Returns all jobs.
    pub fn jobs(&self) -> impl Iterator<Item = &Job> {
        self.jobs.values()
    }

    /// Returns a worker by its id.
    #[must_use]
    pub fn worker(&self, id: &WorkerId) -> Option<&Worker> {
        self.worker_ids.get(id).map(|&key| &self.workers[key])
    }

    /// Returns a worker by its key.
    #[must_use]
    pub fn worker_by_key(&self, key: WorkerKey) -> Option<&Worker> {
        self.workers.get(key)
    }

    /// Returns all workers.
    pub fn workers(&self) -> impl Iterator<Item = &Worker> {
        self.workers.values()
    }

    /// Returns the worker that a task is placed on.
    #[must_use]
    pub fn worker_of(&self, task: TaskKey) -> Option<WorkerKey> {
        let placement = self.jobs.get(task.job)?.task(task)?.placement?;
        Some(placement.worker)
    }

    /// Returns whether there are jobs that aren't final, or runs that haven't ended.
    #[must_use]
    pub fn is_busy(&self) -> bool {
        !self.active.is_empty() || self.workers.values().any(|worker| !worker.tasks.is_empty())
    }

    /// Returns whether something waits to be made durable.
    #[must_use]
    pub fn needs_commit(&self) -> bool {
        !self.dirty.is_empty()
            || !self.dropped.is_empty()
            || !self.gated.is_empty()
            || self.has_bare_ends
    }

    /// Takes the effects that wait for nothing.
    pub fn take_ready(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.ready)
    }

    /// Does what is due: places tasks, looks at workers, sends orders again, forgets old jobs.
    pub fn advance(&mut self, now: Now) {
        self.begin_occurrences(now);
        self.release_lapsed(now);
        self.send_again(now);
        self.stop_stalled(now);
        self.evacuate_tasks(now);
        self.place_tasks(now);
        self.want_later_advice(now);
        self.tell_waiting(now);
        self.look_at_workers(now);
        self.drop_expired(now);
    }

    /// Takes what has to be made durable next, with the effects that wait for it.
    pub fn take_commit(&mut self, now: Now) -> Option<Commit> {
        if !self.needs_commit() {
            return None;
        }
        self.has_bare_ends = false;
        let mut commit = Commit {
            effects: std::mem::take(&mut self.gated),
            ..Commit::default()
        };
        for key in std::mem::take(&mut self.dirty) {
            self.record_job(now, key, &mut commit);
        }
        for id in std::mem::take(&mut self.dropped) {
            commit.records.push(KeyedRecord {
                key: format!("{id}{PROGRESS_SUFFIX}"),
                value: Vec::new(),
            });
            commit.records.push(KeyedRecord {
                key: id.to_string(),
                value: Vec::new(),
            });
        }
        for (key, worker) in &self.workers {
            if worker.seen > worker.durable_seen {
                commit.seen.push((key, worker.seen));
            }
        }
        Some(commit)
    }

    /// Takes note that a commit is durable and returns the effects that waited for it.
    pub fn finish_commit(&mut self, commit: Commit) -> Vec<Effect> {
        for (key, seen) in commit.seen {
            if let Some(worker) = self.workers.get_mut(key) {
                worker.durable_seen = worker.durable_seen.max(seen);
            }
        }
        for (key, state) in commit.shown {
            self.undurable.remove(&key);
            self.in_flight.remove(&key);
            if let Some(job) = self.jobs.get_mut(key) {
                job.shown = state;
            }
        }
        commit.effects
    }

    fn record_job(&mut self, now: Now, key: JobKey, commit: &mut Commit) {
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        let state = job.state();
        if state.is_final() && job.ended_ms.is_none() {
            job.ended_ms = Some(now.unix_ms);
            commit.effects.push(Effect::Note(Note::Final {
                job: job.id.clone(),
                state,
                took_ms: now.unix_ms.saturating_sub(job.accepted_ms),
            }));
        }
        if state.is_final() && !job.has_placements() {
            self.active.remove(&key);
            self.grants.forget_job(key);
            let drop_ms = job.ended_ms.unwrap_or(now.unix_ms) + self.timing.keep_ms;
            self.expiring.insert((drop_ms, key));
        }
        if self.undurable.contains_key(&key) {
            self.in_flight.insert(key);
            let accept = AcceptRecord {
                route: job.route.clone(),
                spec: Arc::clone(&job.spec),
                accepted_ms: job.accepted_ms,
            };
            commit.records.push(KeyedRecord {
                key: job.id.to_string(),
                value: encode(&accept),
            });
        }
        let job = &self.jobs[key];
        if job.next_occurrence > 0 || job.is_over() {
            commit.records.push(KeyedRecord {
                key: format!("{}{PROGRESS_SUFFIX}", job.id),
                value: encode(&self.progress_of(job)),
            });
        }
        commit.shown.push((key, state));
    }

    fn drop_expired(&mut self, now: Now) {
        while let Some(&(due_ms, key)) = self.expiring.first() {
            if due_ms > now.unix_ms {
                return;
            }
            self.expiring.remove(&(due_ms, key));
            if let Some(job) = self.jobs.remove(key) {
                self.ids.remove(&job.id);
                self.dropped.push(job.id);
            }
        }
    }

    fn target(&self, key: WorkerKey) -> Target {
        let registration = &self.workers[key].registration;
        Target {
            key,
            id: registration.id.clone(),
            born_ms: registration.born_ms,
            address: registration.address,
        }
    }

    fn step_of(&self, key: TaskKey) -> Option<&StepSpec> {
        self.jobs.get(key.job)?.spec.steps.get(key.step as usize)
    }

    /// Frees the capacity of a run that is surely no longer on its worker.
    fn release(&mut self, key: TaskKey, proof: Option<GoneProof>) {
        let Some(demand) = self.step_of(key).map(StepSpec::counted) else {
            return;
        };
        let Some(job) = self.jobs.get_mut(key.job) else {
            return;
        };
        let id = job.id.clone();
        let Some(placement) = job.task_mut(key).and_then(|task| task.placement.take()) else {
            return;
        };
        self.dirty.insert(key.job);
        let Some(worker) = self.workers.get_mut(placement.worker) else {
            return;
        };
        worker.used = worker.used.minus(&demand);
        worker.tasks.remove(&key);
        if let Some(proof) = proof {
            self.gated.push(Effect::Note(Note::Vanished {
                job: id,
                task: key,
                worker: worker.registration.id.clone(),
                proof,
            }));
        }
        self.forget_if_idle(placement.worker);
    }

    /// Orders a run to stop, or drops it when its start was never sent.
    fn stop(&mut self, key: TaskKey) {
        let Some(job) = self.jobs.get_mut(key.job) else {
            return;
        };
        let Some(placement) = job.task_mut(key).and_then(|task| task.placement.as_mut()) else {
            return;
        };
        match placement.phase {
            Phase::Placed => self.release(key, Some(GoneProof::NeverSent)),
            Phase::Stopping { .. } => {}
            Phase::Sent | Phase::Running { .. } => {
                placement.phase = Phase::Stopping { confirmed_ms: None };
                self.dirty.insert(key.job);
                self.send_stop(key);
            }
        }
    }

    fn send_stop(&mut self, key: TaskKey) {
        let Some(job) = self.jobs.get(key.job) else {
            return;
        };
        let Some(placement) = job.task(key).and_then(|task| task.placement) else {
            return;
        };
        let order = StopOrder {
            target: self.target(placement.worker),
            task: key,
            job: job.id.clone(),
            run: placement.run,
        };
        self.ready.push(Effect::Stop(order));
    }

    /// Stops every run of a job.
    fn stop_all(&mut self, key: JobKey) {
        for task in self.placed_tasks(key) {
            self.stop(task);
        }
    }

    fn placed_tasks(&self, key: JobKey) -> Vec<TaskKey> {
        let Some(job) = self.jobs.get(key) else {
            return Vec::new();
        };
        let mut placed = Vec::new();
        for occurrence in &job.occurrences {
            for (step, progress) in (0_u32..).zip(&occurrence.steps) {
                for (index, task) in (0_u32..).zip(&progress.tasks) {
                    if task.placement.is_some() {
                        placed.push(TaskKey {
                            job: key,
                            occurrence: occurrence.number,
                            step,
                            index,
                        });
                    }
                }
            }
        }
        placed
    }

    /// Sends again what nobody answered.
    fn send_again(&mut self, now: Now) {
        let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.resends)
            .into_iter()
            .partition(|resend| resend.due_ms <= now.boot_ms);
        self.resends = later;
        for resend in due {
            let placement = self
                .jobs
                .get(resend.task.job)
                .and_then(|job| job.task(resend.task))
                .and_then(|task| task.placement)
                .filter(|placement| placement.run == resend.run);
            let answers = placement.is_some_and(|placement| {
                self.workers
                    .get(placement.worker)
                    .is_some_and(|worker| worker.contact == Contact::Good)
            });
            match placement.map(|placement| placement.phase) {
                // Each start extends the lease, so a worker that doesn't answer gets none.
                Some(Phase::Sent) if !answers => {
                    let due_ms = now.boot_ms + START_AGAIN_MS;
                    self.resend_later(due_ms, resend.task, resend.run);
                }
                Some(Phase::Sent) => self.ready.push(Effect::Start(resend.task)),
                Some(Phase::Stopping { confirmed_ms: None }) => self.send_stop(resend.task),
                _ => {}
            }
        }
    }

    fn resend_later(&mut self, due_ms: u64, task: TaskKey, run: u32) {
        self.resends.push(Resend { due_ms, task, run });
    }
}

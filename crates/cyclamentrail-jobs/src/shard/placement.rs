//! Placement of tasks whose preceding steps are done.

use std::collections::{BTreeMap, BTreeSet};

use cyclamentrail_core::RackName;

use super::open_starts::StartHold;
use super::{Now, Shard};
use crate::best_effort_share::FULL_SHARE_PERCENT;
use crate::effect::Effect;
use crate::job::{
    JobKey, Occurrence, PlacedRun, Placement, RunPhase, SentShare, StopOrder, TaskKey,
};
use crate::ranking::{JobRank, WaitingJob};
use crate::selection::{Candidates, PlacementRequest};
use crate::worker::{Worker, WorkerKey};
use crate::{RoomIndex, StepSpec};

mod gang;
mod pass;
mod set_aside;
mod suspect;
mod turn;

use pass::{PlacementPass, ReadyStep, StepPlacement};
pub(super) use set_aside::SetAside;
pub(super) use turn::Turns;

/// Part of the workers, as a divisor, that may be about to respond for the first time while tasks are
/// placed.
const AWAITED_DIVISOR: usize = 10;
/// Number of times that a pass looks at a worker, as a rule: a step that was begun is finished.
const MAX_LOOKS: u64 = 16_384;
impl Shard {
    /// Places waiting tasks in the order of their jobs' ranks.
    pub(super) fn place_tasks(&mut self, now: Now) {
        self.quota.begin_pass();
        let longest_lease_ms = self.timing.longest_possible_lease_ms();
        self.open_starts.begin_pass(now, longest_lease_ms);
        let mut waiting = self.waiting_jobs(now);
        let accepts_tasks = |worker: &Worker| worker.accepts_tasks(now.boot_ms);
        if waiting.is_empty()
            || !self.workers.values().any(accepts_tasks)
            || self.awaits_first_responses(now)
        {
            return;
        }
        self.order_by_share(now, &mut waiting);
        let mut pass = PlacementPass {
            pinned: self.workers_with_long_running(),
            isolation: self.isolation(now),
            recent_loss: self.recent_loss.filter(|loss| loss.is_recent(now)),
            ..PlacementPass::default()
        };
        let keys = waiting.iter().map(|(_, key)| *key);
        let steps: Vec<ReadyStep> = keys.flat_map(|key| self.ready_steps(key)).collect();
        let turn = self.review_turn(now, &steps, &mut pass.isolation);
        pass.room = self.begin_set_aside(now, &pass.isolation);
        if let Some(step) = turn {
            self.place_step(now, step, &mut pass);
        }
        self.place_in_turn(now, &steps, &mut pass);
        self.placement_looks += pass.looks;
        self.give_turn(now, &steps);
    }

    /// Places the tasks of steps: of the first ones with half of the looks, and of those at which the last
    /// pass stopped with the other half, so that each step is reached whatever stands before it.
    fn place_in_turn(&mut self, now: Now, steps: &[ReadyStep], pass: &mut PlacementPass) {
        let first = self.place_steps(now, steps, MAX_LOOKS / 2, pass);
        let resumed = first.max(self.resumed_step);
        let resumed = if resumed < steps.len() {
            resumed
        } else {
            first
        };
        let count = self.place_steps(now, &steps[resumed..], MAX_LOOKS, pass);
        let is_whole = resumed + count == steps.len();
        self.resumed_step = if is_whole { 0 } else { resumed + count };
    }

    /// Places the tasks of steps until the pass has looked at workers `max_looks` times; returns the number
    /// of steps that were reached.
    fn place_steps(
        &mut self,
        now: Now,
        steps: &[ReadyStep],
        max_looks: u64,
        pass: &mut PlacementPass,
    ) -> usize {
        for (index, &step) in steps.iter().enumerate() {
            if pass.is_over() || pass.looks >= max_looks {
                return index;
            }
            self.place_step(now, step, pass);
        }
        steps.len()
    }

    /// Returns whether so many workers are about to respond for the first time that those which have
    /// responded would get what belongs on others.
    pub(super) fn awaits_first_responses(&self, now: Now) -> bool {
        let awaited = self.workers.values();
        let awaited = awaited.filter(|worker| worker.awaits_first_response(now.boot_ms));
        awaited.count() * AWAITED_DIVISOR > self.workers.len()
    }

    /// Returns the jobs with tasks to place, with the rank of each.
    fn waiting_jobs(&self, now: Now) -> Vec<(JobRank, JobKey)> {
        let rank = |&key: &JobKey| {
            let job = self.jobs.get(key)?;
            let route = self.routes.get(&job.route)?;
            let has_placeable = |occurrence: &Occurrence| {
                let mut steps = occurrence.steps.iter().zip(&job.spec.steps);
                steps.any(|(step, spec)| step.has_unplaced() && occurrence.is_step_ready(spec))
            };
            if job.is_aborted() || !job.occurrences.iter().any(has_placeable) {
                return None;
            }
            let first_due_ms = job
                .occurrences
                .first()
                .map_or(job.accepted_ms, |occurrence| {
                    job.occurrence_due_ms(occurrence.number)
                });
            let chain = self.chain_times(now, job);
            let waiting = WaitingJob {
                priority: route.priority,
                is_long_running: job.spec.is_long_running(),
                deadline_ms: first_due_ms + route.objective_ms(chain.total_ms),
                remaining_ms: chain.remaining_ms,
                has_begun: job.has_started,
            };
            Some((waiting.rank(now.unix_ms), key))
        };
        self.active.iter().filter_map(rank).collect()
    }

    /// Returns the steps of a job that have tasks to place and whose preceding steps are done.
    fn ready_steps(&self, key: JobKey) -> Vec<ReadyStep> {
        let Some(job) = self.jobs.get(key) else {
            return Vec::new();
        };
        let mut ready = Vec::new();
        for occurrence in &job.occurrences {
            for (step, spec) in (0_u32..).zip(&job.spec.steps) {
                let has_unplaced = occurrence.steps[step as usize].has_unplaced();
                if has_unplaced && occurrence.is_step_ready(spec) {
                    ready.push(ReadyStep {
                        job: key,
                        occurrence: occurrence.number,
                        step,
                    });
                }
            }
        }
        ready
    }

    /// Places the waiting tasks of a step as far as there is room.
    fn place_step(&mut self, now: Now, ready_step: ReadyStep, pass: &mut PlacementPass) {
        let Some(spec) = self.step_of(ready_step.task(0)) else {
            return;
        };
        if self.is_set_aside(ready_step) {
            return;
        }
        if self.is_surely_skipped(ready_step.job, spec) {
            return;
        }
        let limit = self.step_limit(ready_step.job, spec);
        if let Some(limit) = limit.as_ref().filter(|limit| !self.quota.allows(limit)) {
            self.record_skipped(ready_step.task(0), limit);
            return;
        }
        let spec = spec.clone();
        if !self.waits_for_more(ready_step)
            && !self.has_room(ready_step, &spec, &pass.room, &mut pass.looks)
        {
            self.set_aside(ready_step);
            return;
        }
        let granted = self.granted_workers(now, ready_step.task(0).into());
        if spec.gang {
            if !self.place_gang(now, ready_step, &spec, granted.as_ref(), pass) {
                self.set_aside(ready_step);
                if granted.is_some() {
                    pass.looks += self.workers.len() as u64;
                    self.query_policy(now, ready_step.task(0).into());
                }
            }
            return;
        }
        let mut step = StepPlacement {
            rack: self.rack_of(ready_step, &spec),
            per_worker: self.tasks_per_worker(ready_step.task(0)),
            run_time_costs: self.run_time_costs(now, ready_step.job, &spec),
            limit,
            granted,
            only_worker: None,
            spec,
        };
        self.place_waiting(now, ready_step, &mut step, pass);
    }

    /// Returns whether a worker has room for a task of a step, and for a gang whether all have for it. Looks
    /// only at workers that have the processors, and at few of those: a limit leaves out as many as the step
    /// has tasks there, and a gang without room finds fewer than it has members.
    fn has_room(
        &self,
        ready_step: ReadyStep,
        spec: &StepSpec,
        room: &RoomIndex,
        looks: &mut u64,
    ) -> bool {
        let demand = spec.reserved_resources();
        *looks += 1;
        if !room.fits(&demand) {
            return false;
        }
        let is_restricted =
            spec.gang || spec.required_label.is_some() || spec.max_per_worker.is_some();
        if !is_restricted {
            return true;
        }
        let request = PlacementRequest::from(spec);
        let per_worker = if spec.max_per_worker.is_some() {
            self.tasks_per_worker(ready_step.task(0))
        } else {
            BTreeMap::new()
        };
        let needed = if spec.gang { u64::from(spec.count) } else { 1 };
        let mut found = 0;
        for (key, free) in room.nearly_fitting(&demand) {
            *looks += 1;
            let has_label = request.is_suitable(&self.workers[key]);
            let taken = per_worker.get(&key).copied().unwrap_or(0);
            let limit = spec
                .max_per_worker
                .map_or(u32::MAX, |limit| limit.saturating_sub(taken));
            if has_label {
                found += free.count_of(&demand).min(u64::from(limit));
            }
            if found >= needed {
                return true;
            }
        }
        false
    }

    /// Places the waiting tasks of a step, one after the other, until there is no room.
    fn place_waiting(
        &mut self,
        now: Now,
        ready_step: ReadyStep,
        step: &mut StepPlacement,
        pass: &mut PlacementPass,
    ) {
        let mut candidates = self.candidates(now, step, pass);
        pass.looks += self.workers.len() as u64;
        // Suspects of the step for which no worker was found: an equal one finds none, either.
        let mut failed_suspects = BTreeSet::new();
        for index in 0..step.spec.count {
            if pass.is_over() {
                return;
            }
            let key = ready_step.task(index);
            if !self.is_waiting(key) || self.is_paused(now, key) {
                continue;
            }
            let limit = step.limit.as_ref();
            if let Some(limit) = limit.filter(|limit| !self.quota.allows(limit)) {
                self.record_skipped(key, limit);
                return;
            }
            let suspect = self
                .suspect_task(now, key)
                .filter(|_| pass.isolation.is_possible());
            step.only_worker = match self.start_hold(now, key) {
                StartHold::Free => None,
                StartHold::Worker(worker) => Some(worker),
                StartHold::Wait => {
                    self.watch_worker(key);
                    continue;
                }
            };
            let chosen = match suspect {
                Some(suspect) if failed_suspects.contains(&suspect) => None,
                Some(suspect) => {
                    pass.looks += self.workers.len() as u64;
                    self.select_for_suspect(now, suspect, step, pass)
                }
                None => match step.only_worker {
                    Some(worker) => self.select_only(now, worker, step, pass),
                    None => candidates.cheapest(),
                },
            };
            if chosen.is_none() && step.only_worker.is_some() {
                self.watch_worker(key);
                continue;
            }
            step.only_worker = None;
            let Some(worker) = chosen else {
                if let Some(suspect) = suspect
                    && !(suspect.is_long_running && suspect.is_overdue)
                {
                    failed_suspects.insert(suspect);
                    continue;
                }
                self.set_aside(ready_step);
                if step.granted.is_some() {
                    pass.looks += self.workers.len() as u64;
                    self.query_policy(now, key.into());
                }
                return;
            };
            *step.per_worker.entry(worker).or_default() += 1;
            self.place(now, key, worker, None);
            pass.placed += 1;
            pass.room
                .update(worker, self.workers[worker].free_capacity());
            self.turns.note_placed(ready_step);
            if step.spec.long_running {
                pass.pinned.insert(worker);
            }
            if let Some(suspect) = suspect {
                let is_exposed = !self.runs_suspects_only(&self.workers[worker]);
                pass.isolation.add(suspect, worker, is_exposed);
                if suspect.is_overdue {
                    self.log_wait_ended(now, key, worker, is_exposed);
                }
                candidates.update(worker, None);
                failed_suspects.clear();
            } else {
                candidates.update(worker, self.cost_of_next(now, worker, step, pass));
            }
        }
    }

    /// Returns the workers that may get a task of a step that isn't suspect.
    fn candidates(&self, now: Now, step: &StepPlacement, pass: &PlacementPass) -> Candidates {
        let open = self
            .open_workers(now, &step.spec, &step.per_worker)
            .filter(|(key, _)| pass.isolation.is_open(*key));
        Candidates::new(&step.request(pass), open)
    }

    /// Returns the only worker that may run a task that isn't suspect, if the task may run there now.
    fn select_only(
        &self,
        now: Now,
        worker: WorkerKey,
        step: &StepPlacement,
        pass: &PlacementPass,
    ) -> Option<WorkerKey> {
        let is_open = pass.isolation.is_open(worker);
        let cost = self.cost_of_next(now, worker, step, pass);
        cost.filter(|_| is_open).map(|_| worker)
    }

    /// Returns the cost of another task of a step on a worker; `None` if it may get none.
    fn cost_of_next(
        &self,
        now: Now,
        key: WorkerKey,
        step: &StepPlacement,
        pass: &PlacementPass,
    ) -> Option<u64> {
        let worker = self.workers.get(key)?;
        if !may_get_task(now, key, worker, &step.spec, &step.per_worker) {
            return None;
        }
        step.request(pass).cost_with_room(key, worker)
    }

    /// Places a task on a worker; its start command is sent once the placement is durable.
    fn place(&mut self, now: Now, key: TaskKey, worker_key: WorkerKey, run: Option<u32>) {
        let Some(spec) = self.step_of(key) else {
            return;
        };
        let (demand, full_demand) = (spec.reserved_resources(), spec.demand);
        let worker_id = self.workers[worker_key].registration.id.clone();
        let Some(job) = self.jobs.get_mut(key.job) else {
            return;
        };
        job.first_placed_ms.get_or_insert(now.unix_ms);
        let team = job.team.clone();
        let Some(task) = job.task_mut(key) else {
            return;
        };
        let run = run.unwrap_or(task.last_run + 1);
        task.last_run = run;
        task.open_start = task
            .open_start
            .take()
            .filter(|open| open.worker == worker_id);
        task.placement = Some(Placement {
            worker: worker_key,
            run,
            phase: RunPhase::Placed,
            stop_order: StopOrder::None,
            has_begun: false,
            is_listed: false,
            doubt: None,
            start_under_way_until_ms: 0,
            may_start_late: false,
            late_until_ms: 0,
            cpu_share: SentShare {
                percent: Some(FULL_SHARE_PERCENT),
                ..SentShare::default()
            },
            progress_percent: 0,
            progress_changed_ms: now.boot_ms,
        });
        self.quota.add(team.as_ref(), &full_demand);
        self.team_table.count_placed(job, &demand);
        let worker = &mut self.workers[worker_key];
        worker.used_capacity = worker.used_capacity.saturating_add(&demand);
        worker.tasks.insert(key);
        self.dirty.insert(key.job);
        self.gated_effects.push(Effect::Start(PlacedRun {
            worker: worker_key,
            task: key,
            run,
        }));
    }

    /// Returns the workers that may get another task of a step; `per_worker` holds the number of
    /// its tasks on each worker.
    pub(super) fn open_workers<'a>(
        &'a self,
        now: Now,
        spec: &'a StepSpec,
        per_worker: &'a BTreeMap<WorkerKey, u32>,
    ) -> impl Iterator<Item = (WorkerKey, &'a Worker)> {
        self.workers
            .iter()
            .filter(move |(key, worker)| may_get_task(now, *key, worker, spec, per_worker))
    }

    /// Returns how many tasks of the step and occurrence of `task` each worker has.
    pub(super) fn tasks_per_worker(&self, task: TaskKey) -> BTreeMap<WorkerKey, u32> {
        let mut counts = BTreeMap::new();
        let progress = self
            .jobs
            .get(task.job)
            .and_then(|job| job.occurrence(task.occurrence))
            .and_then(|occurrence| occurrence.steps.get(task.step as usize));
        let placements = progress
            .into_iter()
            .flat_map(|progress| &progress.tasks)
            .filter_map(|task| task.placement);
        for placement in placements {
            *counts.entry(placement.worker).or_default() += 1;
        }
        counts
    }

    /// Returns the rack that a step's tasks should be on: the rack that the step names, else, for a
    /// step whose tasks belong on one rack, the rack of its placed tasks or the one with the most
    /// free processors.
    fn rack_of(&self, ready_step: ReadyStep, spec: &StepSpec) -> Option<RackName> {
        if spec.preferred_rack.is_some() || !spec.prefers_one_rack {
            return spec.preferred_rack.clone();
        }
        let counts = self.tasks_per_worker(ready_step.task(0));
        let placed = counts.keys().next().map(|&key| &self.workers[key]);
        match placed {
            Some(worker) => rack_label(worker),
            None => self
                .racks()
                .into_iter()
                .max_by_key(|rack| self.free_cpu_on(rack)),
        }
    }

    /// Returns the free processors of a rack in thousandths of a core.
    fn free_cpu_on(&self, rack: &RackName) -> u64 {
        self.workers
            .values()
            .filter(|worker| worker.is_on_rack(rack) && worker.is_registered)
            .map(|worker| worker.free_capacity().cpu_milli)
            .sum()
    }

    fn racks(&self) -> Vec<RackName> {
        let mut racks: Vec<RackName> = self.workers.values().filter_map(rack_label).collect();
        racks.sort_unstable();
        racks.dedup();
        racks
    }
}

/// Returns the rack of a worker: its last label, where it has several.
fn rack_label(worker: &Worker) -> Option<RackName> {
    let labels = &worker.registration.labels;
    labels
        .last()
        .filter(|_| labels.len() > 1)
        .map(|label| RackName::from(label.as_str()))
}

/// Returns whether a worker may get another task of a step; `per_worker` holds the number of its tasks
/// on each worker.
fn may_get_task(
    now: Now,
    key: WorkerKey,
    worker: &Worker,
    spec: &StepSpec,
    per_worker: &BTreeMap<WorkerKey, u32>,
) -> bool {
    let is_below_limit = |limit| per_worker.get(&key).copied().unwrap_or(0) < limit;
    worker.accepts_tasks(now.boot_ms) && spec.max_per_worker.is_none_or(is_below_limit)
}

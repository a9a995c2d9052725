//! Placing the tasks whose turn has come.

use std::collections::{BTreeMap, BTreeSet};

use cyclamentrail_core::RackName;

use super::{Now, Shard};
use crate::effect::Effect;
use crate::job::{JobKey, Occurrence, Phase, Placement, TaskKey};
use crate::pacing::WHOLE_PERCENT;
use crate::placing::{Wish, choose};
use crate::ranking::{Rank, Waiting};
use crate::worker::{Worker, WorkerKey};
use crate::{Resources, StepSpec};

/// Most shapes of tasks that are tried without room before a pass gives up.
const MAX_MISSES: usize = 12;

/// A step of an occurrence whose turn has come.
#[derive(Debug, Clone, Copy)]
struct ReadyStep {
    job: JobKey,
    occurrence: u32,
    step: u32,
}

impl ReadyStep {
    const fn task(self, index: u32) -> TaskKey {
        TaskKey {
            job: self.job,
            occurrence: self.occurrence,
            step: self.step,
            index,
        }
    }
}

impl Shard {
    /// Places waiting tasks in the order of their jobs' ranks.
    pub(super) fn place_tasks(&mut self, now: Now) {
        if !self
            .workers
            .values()
            .any(|worker| worker.is_open(now.boot_ms))
        {
            return;
        }
        let mut waiting = self.waiting_jobs(now);
        waiting.sort_unstable();
        let mut misses: Vec<Resources> = Vec::new();
        let mut tied = self.workers_with_long_running();
        for (_, key) in waiting {
            for ready in self.ready_steps(key) {
                if misses.len() >= MAX_MISSES {
                    return;
                }
                self.place_step(now, ready, &mut misses, &mut tied);
            }
        }
    }

    fn waiting_jobs(&self, now: Now) -> Vec<(Rank, JobKey)> {
        let rank = |&key: &JobKey| {
            let job = self.jobs.get(key)?;
            let terms = self.terms.get(&job.route)?;
            let wants_more = |one: &Occurrence| {
                one.steps
                    .iter()
                    .flat_map(|step| &step.tasks)
                    .any(|task| !task.is_done && task.placement.is_none())
            };
            if job.is_over() || !job.occurrences.iter().any(wants_more) {
                return None;
            }
            let begun_ms = job
                .occurrences
                .first()
                .map_or(job.accepted_ms, |one| job.due_ms(one.number));
            let estimate = self.estimate(&job.route);
            let predict_ms = |step: &StepSpec| estimate.predict_ms(step.estimate_ms);
            let chain_ms = job.spec.chain_by(|_, step| predict_ms(step));
            let occurrence = job.occurrences.first();
            let is_done = |index: usize| occurrence.is_some_and(|one| one.steps[index].is_done());
            let remaining_ms = job
                .spec
                .chain_by(|index, step| if is_done(index) { 0 } else { predict_ms(step) });
            let waiting = Waiting {
                priority: terms.priority,
                is_long_running: job.spec.is_long_running(),
                deadline_ms: begun_ms + terms.objective_ms(chain_ms),
                remaining_ms,
            };
            Some((waiting.rank(now.unix_ms), key))
        };
        self.active.iter().filter_map(rank).collect()
    }

    fn ready_steps(&self, key: JobKey) -> Vec<ReadyStep> {
        let Some(job) = self.jobs.get(key) else {
            return Vec::new();
        };
        let mut ready = Vec::new();
        for occurrence in &job.occurrences {
            for (step, spec) in (0_u32..).zip(&job.spec.steps) {
                let progress = &occurrence.steps[step as usize];
                let wants_more = progress
                    .tasks
                    .iter()
                    .any(|task| !task.is_done && task.placement.is_none());
                if wants_more && occurrence.is_ready(spec) {
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

    fn place_step(
        &mut self,
        now: Now,
        ready: ReadyStep,
        misses: &mut Vec<Resources>,
        tied: &mut BTreeSet<WorkerKey>,
    ) {
        let Some(spec) = self.step_of(ready.task(0)).cloned() else {
            return;
        };
        let granted = self.granted(now, ready.task(0).into());
        if spec.gang {
            if !self.place_gang(now, ready, &spec, granted.as_ref()) && granted.is_some() {
                self.want_advice(now, ready.task(0).into());
            }
            return;
        }
        let rack = self.rack_of(ready, &spec);
        let mut per_worker = self.tasks_per_worker(ready.task(0));
        for index in 0..spec.count {
            let key = ready.task(index);
            if !self.is_waiting(key) {
                continue;
            }
            let mut wish = Wish::from(&spec);
            wish.rack = rack.as_ref();
            if spec.long_running {
                *tied = self.workers_with_long_running();
            }
            wish.tied = Some(tied);
            wish.same_step = Some(&per_worker);
            wish.granted = granted.as_ref();
            let is_common = wish.requires.is_none() && granted.is_none();
            if misses.contains(&wish.demand) && is_common {
                return;
            }
            let open = self.open_workers(now, &spec, &per_worker);
            let Some(worker) = choose(&wish, open) else {
                if granted.is_some() {
                    self.want_advice(now, key.into());
                } else {
                    misses.push(wish.demand);
                }
                return;
            };
            *per_worker.entry(worker).or_default() += 1;
            self.place(now, key, worker, None);
        }
    }

    /// Places all tasks of a gang at once, or none; returns whether there was room.
    fn place_gang(
        &mut self,
        now: Now,
        ready: ReadyStep,
        spec: &StepSpec,
        granted: Option<&BTreeSet<WorkerKey>>,
    ) -> bool {
        let keys: Vec<TaskKey> = (0..spec.count).map(|index| ready.task(index)).collect();
        if !keys.iter().all(|&key| self.is_waiting(key)) {
            return true;
        }
        let racks = self.racks();
        let preferred = spec.affinity.iter().cloned();
        let tried: Vec<Option<RackName>> = if spec.same_rack {
            preferred.chain(racks).map(Some).chain([None]).collect()
        } else {
            vec![spec.affinity.clone()]
        };
        let only_rack = |rack: &Option<RackName>| spec.same_rack && rack.is_some();
        let plan = tried
            .iter()
            .find_map(|rack| self.plan_gang(now, spec, rack.as_ref(), only_rack(rack), granted));
        let Some(plan) = plan else {
            return false;
        };
        let run = keys
            .iter()
            .filter_map(|&key| Some(self.jobs.get(key.job)?.task(key)?.run))
            .max()
            .unwrap_or(0)
            + 1;
        for (key, worker) in keys.into_iter().zip(plan) {
            self.place(now, key, worker, Some(run));
        }
        true
    }

    fn plan_gang(
        &self,
        now: Now,
        spec: &StepSpec,
        rack: Option<&RackName>,
        only_rack: bool,
        granted: Option<&BTreeSet<WorkerKey>>,
    ) -> Option<Vec<WorkerKey>> {
        let demand = spec.counted();
        let mut wish = Wish::from(spec);
        wish.rack = rack;
        wish.granted = granted;
        let mut trial: Vec<(WorkerKey, Worker)> = self
            .workers
            .iter()
            .filter(|(_, worker)| worker.is_open(now.boot_ms))
            .filter(|(_, worker)| !only_rack || rack.is_none_or(|rack| worker.is_on(rack)))
            .map(|(key, worker)| (key, worker.clone()))
            .collect();
        let mut counts: BTreeMap<WorkerKey, u32> = BTreeMap::new();
        let mut plan = Vec::with_capacity(spec.count as usize);
        for _ in 0..spec.count {
            let open = trial
                .iter()
                .filter(|(key, _)| {
                    let count = counts.get(key).copied().unwrap_or(0);
                    spec.max_per_worker.is_none_or(|most| count < most)
                })
                .map(|(key, worker)| (*key, worker));
            let chosen = choose(&wish, open)?;
            let (_, worker) = trial.iter_mut().find(|(key, _)| *key == chosen)?;
            worker.used = worker.used.plus(&demand);
            *counts.entry(chosen).or_default() += 1;
            plan.push(chosen);
        }
        Some(plan)
    }

    fn is_waiting(&self, key: TaskKey) -> bool {
        self.jobs
            .get(key.job)
            .and_then(|job| job.task(key))
            .is_some_and(|task| !task.is_done && task.placement.is_none())
    }

    fn place(&mut self, now: Now, key: TaskKey, worker_key: WorkerKey, run: Option<u32>) {
        let Some(demand) = self.step_of(key).map(StepSpec::counted) else {
            return;
        };
        let Some(job) = self.jobs.get_mut(key.job) else {
            return;
        };
        let Some(task) = job.task_mut(key) else {
            return;
        };
        task.run = run.unwrap_or(task.run + 1);
        task.placement = Some(Placement {
            worker: worker_key,
            run: task.run,
            phase: Phase::Placed,
            is_ambiguous: false,
            paced_percent: Some(WHOLE_PERCENT),
            percent: 0,
            progress_ms: now.boot_ms,
        });
        let worker = &mut self.workers[worker_key];
        worker.used = worker.used.plus(&demand);
        worker.tasks.insert(key);
        self.dirty.insert(key.job);
        self.gated.push(Effect::Start(key));
    }

    /// Returns the workers that may get another task of a step, by how many each has of it.
    pub(super) fn open_workers<'a>(
        &'a self,
        now: Now,
        spec: &'a StepSpec,
        per_worker: &'a BTreeMap<WorkerKey, u32>,
    ) -> impl Iterator<Item = (WorkerKey, &'a Worker)> {
        self.workers.iter().filter(move |(key, worker)| {
            let count = per_worker.get(key).copied().unwrap_or(0);
            worker.is_open(now.boot_ms) && spec.max_per_worker.is_none_or(|most| count < most)
        })
    }

    /// Returns how many tasks of the same step and occurrence as this one each worker has.
    pub(super) fn tasks_per_worker(&self, of: TaskKey) -> BTreeMap<WorkerKey, u32> {
        let mut counts = BTreeMap::new();
        let progress = self
            .jobs
            .get(of.job)
            .and_then(|job| job.occurrence(of.occurrence))
            .and_then(|one| one.steps.get(of.step as usize));
        let placements = progress
            .into_iter()
            .flat_map(|progress| &progress.tasks)
            .filter_map(|task| task.placement);
        for placement in placements {
            *counts.entry(placement.worker).or_default() += 1;
        }
        counts
    }

    /// Returns the rack that a step's tasks should be on.
    fn rack_of(&self, ready: ReadyStep, spec: &StepSpec) -> Option<RackName> {
        if spec.affinity.is_some() || !spec.same_rack {
            return spec.affinity.clone();
        }
        let counts = self.tasks_per_worker(ready.task(0));
        let placed = counts.keys().next().map(|&key| &self.workers[key]);
        match placed {
            Some(worker) => rack_label(worker),
            None => self
                .racks()
                .into_iter()
                .max_by_key(|rack| self.free_on(rack)),
        }
    }

    fn free_on(&self, rack: &RackName) -> u64 {
        self.workers
            .values()
            .filter(|worker| worker.is_on(rack) && worker.is_listed)
            .map(|worker| worker.free().cpu_milli)
            .sum()
    }

    fn racks(&self) -> Vec<RackName> {
        let mut racks: Vec<RackName> = self.workers.values().filter_map(rack_label).collect();
        racks.sort_unstable();
        racks.dedup();
        racks
    }
}

/// Returns the rack among a worker's labels: the last one, after its kind.
fn rack_label(worker: &Worker) -> Option<RackName> {
    let labels = &worker.registration.labels;
    labels
        .last()
        .filter(|_| labels.len() > 1)
        .map(|label| RackName::from(label.as_str()))
}

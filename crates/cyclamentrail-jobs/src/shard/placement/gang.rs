//! Placement of gangs, whose tasks start together or not at all.

use std::collections::{BTreeMap, BTreeSet};

use cyclamentrail_core::RackName;

use super::{Now, PlacementPass, ReadyStep, Shard};
use crate::StepSpec;
use crate::job::TaskKey;
use crate::selection::{PlacementRequest, select_worker};
use crate::shard::open_starts::StartHold;
use crate::worker::{Worker, WorkerKey};

impl Shard {
    /// Places all tasks of a gang, or none; returns `false` if there was no room for all.
    pub(super) fn place_gang(
        &mut self,
        now: Now,
        ready_step: ReadyStep,
        spec: &StepSpec,
        granted: Option<&BTreeSet<WorkerKey>>,
        pass: &mut PlacementPass,
    ) -> bool {
        let keys: Vec<TaskKey> = (0..spec.count)
            .map(|index| ready_step.task(index))
            .collect();
        let is_waiting = keys.iter().all(|&key| self.is_waiting(key));
        if !is_waiting || self.is_gang_paused(now, ready_step.task(0), spec) {
            return true;
        }
        let racks = self.racks();
        let named_rack = spec.preferred_rack.iter().cloned();
        let rack_options: Vec<Option<RackName>> = if spec.prefers_one_rack {
            named_rack.chain(racks).map(Some).chain([None]).collect()
        } else {
            vec![spec.preferred_rack.clone()]
        };
        // Each plan looks at all workers, and the rack options one after the other at those of one rack.
        let plans = rack_options.len().min(2) as u64;
        pass.looks += plans * self.workers.len() as u64;
        let isolation = &pass.isolation;
        let needs_rack = |rack: &Option<RackName>| spec.prefers_one_rack && rack.is_some();
        let open = |key: WorkerKey, _: &Worker| isolation.is_open(key);
        let apart =
            |key: WorkerKey, worker: &Worker| isolation.is_open(key) && worker.tasks.is_empty();
        let plan = |allows: &dyn Fn(WorkerKey, &Worker) -> bool| {
            rack_options.iter().find_map(|rack| {
                self.plan_gang(now, spec, rack.as_ref(), needs_rack(rack), granted, allows)
            })
        };
        let plan_apart = if self.is_suspect_gang(ready_step.task(0), spec) {
            plan(&apart)
        } else {
            None
        };
        let holds: Vec<StartHold> = keys.iter().map(|&key| self.start_hold(now, key)).collect();
        let held = |key: WorkerKey, _: &Worker| {
            isolation.is_open(key) && holds.contains(&StartHold::Worker(key))
        };
        let has_held = holds.iter().any(|hold| *hold != StartHold::Free);
        let plan_held = if has_held { plan(&held) } else { None };
        let plan = plan_held.or(plan_apart).or_else(|| plan(&open));
        let Some(mut plan) = plan else {
            return false;
        };
        if !keep_to_workers(&holds, &mut plan) {
            for &key in &keys {
                self.watch_worker(key);
            }
            return true;
        }
        let run = keys
            .iter()
            .filter_map(|&key| Some(self.jobs.get(key.job)?.task(key)?.last_run))
            .max()
            .unwrap_or(0)
            + 1;
        if let Some(progress) = self.step_progress_mut(ready_step.task(0)) {
            progress.choose_gang_checkpoint();
        }
        for (key, worker) in keys.into_iter().zip(plan) {
            self.place(now, key, worker, Some(run));
            pass.room
                .update(worker, self.workers[worker].free_capacity());
        }
        pass.placed += spec.count as usize;
        true
    }

    /// Returns a worker for each task of a gang, if there is room for all.
    fn plan_gang(
        &self,
        now: Now,
        spec: &StepSpec,
        rack: Option<&RackName>,
        needs_rack: bool,
        granted: Option<&BTreeSet<WorkerKey>>,
        allows: &dyn Fn(WorkerKey, &Worker) -> bool,
    ) -> Option<Vec<WorkerKey>> {
        let demand = spec.reserved_resources();
        let mut request = PlacementRequest::from(spec);
        request.preferred_rack = rack;
        request.granted_workers = granted;
        request.recent_loss = self.recent_loss.filter(|loss| loss.is_recent(now));
        let mut candidates: Vec<(WorkerKey, Worker)> = self
            .workers
            .iter()
            .filter(|(_, worker)| worker.accepts_tasks(now.boot_ms))
            .filter(|(key, worker)| allows(*key, worker))
            .filter(|(_, worker)| !needs_rack || rack.is_none_or(|rack| worker.is_on_rack(rack)))
            .map(|(key, worker)| (key, worker.clone()))
            .collect();
        if !have_room_for(&candidates, spec) {
            return None;
        }
        let mut counts: BTreeMap<WorkerKey, u32> = BTreeMap::new();
        let mut plan = Vec::with_capacity(spec.count as usize);
        for _ in 0..spec.count {
            let open = candidates
                .iter()
                .filter(|(key, _)| {
                    let count = counts.get(key).copied().unwrap_or(0);
                    spec.max_per_worker.is_none_or(|limit| count < limit)
                })
                .map(|(key, worker)| (*key, worker));
            let chosen = select_worker(&request, open)?;
            let (_, worker) = candidates.iter_mut().find(|(key, _)| *key == chosen)?;
            worker.used_capacity = worker.used_capacity.saturating_add(&demand);
            *counts.entry(chosen).or_default() += 1;
            plan.push(chosen);
        }
        Some(plan)
    }
}

/// Gives the members with earlier starts that may still be carried out the workers of these; returns `false` if
/// the plan has no place for one of them. All members have the same demands.
fn keep_to_workers(holds: &[StartHold], plan: &mut [WorkerKey]) -> bool {
    for (member, hold) in holds.iter().enumerate() {
        let worker = match *hold {
            StartHold::Free => continue,
            StartHold::Wait => return false,
            StartHold::Worker(worker) => worker,
        };
        if plan[member] == worker {
            continue;
        }
        let is_spare = |slot: usize| holds[slot] != StartHold::Worker(plan[slot]);
        let slot = (0..plan.len()).find(|&slot| plan[slot] == worker && is_spare(slot));
        let Some(slot) = slot else {
            return false;
        };
        plan.swap(member, slot);
    }
    true
}

/// Returns whether workers have room for all tasks of a gang. Spares a large gang without room the
/// choice of a worker for each task.
fn have_room_for(workers: &[(WorkerKey, Worker)], spec: &StepSpec) -> bool {
    let demand = spec.reserved_resources();
    let limit = spec.max_per_worker.map_or(u64::MAX, u64::from);
    let fitting =
        |(_, worker): &(WorkerKey, Worker)| worker.free_capacity().count_of(&demand).min(limit);
    let room = workers.iter().map(fitting).fold(0, u64::saturating_add);
    room >= u64::from(spec.count)
}

//! Steps that found no worker, which are set aside until a worker has gained room.
//!
//! Whether a worker has gained is seen from its room at the begin of each pass, not told by events, so that
//! none is missed: one that may get tasks again counts as well. Each run of a step that ends takes the step
//! back. Steps that wait for something else, too, are looked at in each pass: those whose policy may grant
//! further workers, and those with suspect tasks or with starts that may still be carried out.

use std::collections::HashSet;

use slotmap::SecondaryMap;

use super::{Now, ReadyStep, Shard};
use crate::job::TaskKey;
use crate::shard::isolation::Isolation;
use crate::worker::{Worker, WorkerKey};
use crate::{Resources, RoomIndex};

/// Steps that found no worker.
#[derive(Debug, Default)]
pub(in crate::shard) struct SetAside {
    /// Room on the workers that may get tasks, at the begin of the last pass.
    room: SecondaryMap<WorkerKey, Resources>,
    /// Steps that have found no worker since one gained room.
    failed: HashSet<ReadyStep>,
}

impl SetAside {
    /// Begins a pass with the room on the workers that may get tasks, and takes all steps back if one of them
    /// has gained room.
    fn begin_pass(&mut self, room: SecondaryMap<WorkerKey, Resources>) {
        let has_gained = |(key, free): (WorkerKey, &Resources)| {
            let known = self.room.get(key);
            known.is_none_or(|known| !known.contains(free))
        };
        if room.iter().any(has_gained) {
            self.failed.clear();
        }
        self.room = room;
    }
}

impl Shard {
    /// Begins a placement pass; returns the room on the workers that may get tasks that aren't suspect.
    pub(super) fn begin_set_aside(&mut self, now: Now, isolation: &Isolation) -> RoomIndex {
        let is_open = |(key, worker): &(WorkerKey, &Worker)| {
            worker.accepts_tasks(now.boot_ms) && isolation.is_open(*key)
        };
        let open = self.workers.iter().filter(is_open);
        let room = RoomIndex::new(open.map(|(key, worker)| (key, worker.free_capacity())));
        self.set_aside.begin_pass(room.workers().clone());
        room
    }

    /// Returns whether a step has found no worker since one gained room.
    pub(super) fn is_set_aside(&self, step: ReadyStep) -> bool {
        self.set_aside.failed.contains(&step) && !self.has_suspect(step)
    }

    /// Sets a step aside for which there is no worker.
    pub(super) fn set_aside(&mut self, step: ReadyStep) {
        if !self.waits_for_more(step) {
            self.set_aside.failed.insert(step);
            self.turns.note_failed();
        }
    }

    /// Returns whether more than the room on open workers decides about a step.
    pub(super) fn waits_for_more(&self, step: ReadyStep) -> bool {
        self.is_advised(step.job) || self.has_suspect(step) || self.has_open_start(step)
    }

    /// Takes a step back of which a run has ended.
    pub(in crate::shard) fn take_back(&mut self, task: TaskKey) {
        self.set_aside.failed.remove(&ReadyStep {
            job: task.job,
            occurrence: task.occurrence,
            step: task.step,
        });
    }

    /// Takes all steps back, because workers have changed in something else than their room.
    pub(in crate::shard) fn take_all_back(&mut self) {
        self.set_aside.failed.clear();
    }

    fn has_suspect(&self, step: ReadyStep) -> bool {
        let mut suspects = self
            .crashes
            .suspects
            .range(step.task(0)..=step.task(u32::MAX));
        suspects.next().is_some()
    }

    fn has_open_start(&self, step: ReadyStep) -> bool {
        let job = self.jobs.get(step.job);
        let tasks = job
            .and_then(|job| job.occurrence(step.occurrence))
            .and_then(|occurrence| occurrence.steps.get(step.step as usize));
        tasks.is_some_and(|progress| progress.tasks.iter().any(|task| task.open_start.is_some()))
    }
}

//! Turns of steps that others pass.
//!
//! A step that needs much of a worker may find no room for ever while smaller ones of lower rank take what
//! becomes free. Once the first waiting step of the ranking has got no task for a while, a worker that would
//! have room for one without its tasks that end gets no others for a limited time. One step has a turn at a
//! time, and only if other workers are left.

use super::{Now, ReadyStep, Shard};
use crate::effect::{Decision, Effect};
use crate::selection::PlacementRequest;
use crate::shard::isolation::Isolation;
use crate::worker::{Worker, WorkerKey};
use crate::{Resources, RoomIndex, StepSpec};

/// Time without a new task after which a step gets a turn, in milliseconds.
const TURN_AFTER_MS: u64 = 3_000;
/// Longest time for which a worker gets no other tasks, in milliseconds.
const TURN_MS: u64 = 4_000;
/// Smallest number of workers at which one of them is kept free.
const MIN_WORKERS: usize = 2;
/// Time between two looks for a step that gets a turn, in milliseconds.
const TURN_INTERVAL_MS: u64 = 500;

/// The turn of a step, and what tells which one gets the next.
#[derive(Debug, Default)]
pub(in crate::shard) struct Turns {
    /// Present turn.
    turn: Option<Turn>,
    /// First waiting step of the ranking that could get a turn, and the time since which it has got no task,
    /// on the owner's boot clock in milliseconds.
    first: Option<(ReadyStep, u64)>,
    /// Time of the next look for a step, on the same clock.
    next_ms: u64,
    /// Whether steps have found no worker since the last look that found none for a turn.
    may_find: bool,
}

/// A worker that is kept free for a step.
#[derive(Debug, Clone, Copy)]
struct Turn {
    step: ReadyStep,
    worker: WorkerKey,
    /// Time at which the turn ends, on the owner's boot clock in milliseconds.
    until_ms: u64,
}

impl Turns {
    /// Records that a step has found no worker.
    pub(super) const fn note_failed(&mut self) {
        self.may_find = true;
    }

    /// Records that a step has got a task.
    pub(super) fn note_placed(&mut self, step: ReadyStep) {
        self.first = self.first.filter(|(first, _)| *first != step);
    }
}

impl Shard {
    /// Keeps the worker of the present turn from getting other tasks; returns the step once it has room there.
    pub(super) fn review_turn(
        &mut self,
        now: Now,
        steps: &[ReadyStep],
        isolation: &mut Isolation,
    ) -> Option<ReadyStep> {
        let turn = self.turns.turn?;
        let demand = self
            .step_of(turn.step.task(0))
            .map(StepSpec::reserved_resources);
        let worker = self.workers.get(turn.worker);
        let worker = worker.filter(|worker| worker.accepts_tasks(now.boot_ms));
        let is_open = now.boot_ms < turn.until_ms && steps.contains(&turn.step);
        let (Some(demand), Some(worker), true) = (demand, worker, is_open) else {
            self.turns.turn = None;
            return None;
        };
        if worker.free_capacity().contains(&demand) {
            self.turns.turn = None;
            self.take_back(turn.step.task(0));
            return Some(turn.step);
        }
        isolation.keep_free(turn.worker);
        None
    }

    /// Gives a turn to the first step of the ranking that waits for room, if it has got no task for long.
    pub(super) fn give_turn(&mut self, now: Now, steps: &[ReadyStep]) {
        let is_due = self.turns.may_find && now.boot_ms >= self.turns.next_ms;
        if self.turns.turn.is_some() || !is_due {
            return;
        }
        self.turns.next_ms = now.boot_ms + TURN_INTERVAL_MS;
        let room = self.room_without_ending(now);
        if room.workers().len() < MIN_WORKERS {
            return;
        }
        let mut looks = 0;
        let found = steps.iter().find_map(|&step| {
            let worker = self.worker_for_turn(now, step, &room, &mut looks)?;
            Some((step, worker))
        });
        self.placement_looks += looks;
        let Some((step, worker)) = found else {
            self.turns.first = None;
            self.turns.may_find = false;
            return;
        };
        let known = self.turns.first.filter(|(first, _)| *first == step);
        let since_ms = known.map_or(now.boot_ms, |(_, since_ms)| since_ms);
        self.turns.first = Some((step, since_ms));
        if now.boot_ms < since_ms + TURN_AFTER_MS {
            return;
        }
        self.turns.first = None;
        self.turns.turn = Some(Turn {
            step,
            worker,
            until_ms: now.boot_ms + TURN_MS,
        });
        self.ready_effects.push(Effect::Log(Decision::TurnGiven {
            job: self.jobs[step.job].id.clone(),
            task: step.task(0),
            waited_ms: now.boot_ms - since_ms,
            worker: self.workers[worker].registration.id.clone(),
        }));
    }

    /// Returns the worker that a step without room could get a task on the soonest: of those that would have
    /// `room` without their tasks that end, the one with the most unused processors.
    fn worker_for_turn(
        &self,
        now: Now,
        step: ReadyStep,
        room: &RoomIndex,
        looks: &mut u64,
    ) -> Option<WorkerKey> {
        let is_blocked = self.is_set_aside(step);
        let spec = self
            .step_of(step.task(0))
            .filter(|spec| is_blocked && !spec.gang)?;
        if !self.has_room(step, spec, room, looks) {
            return None;
        }
        *looks += room.workers().len() as u64;
        let request = PlacementRequest::from(spec);
        let per_worker = self.tasks_per_worker(step.task(0));
        let open = self.open_workers(now, spec, &per_worker);
        let fitting = open.filter(|(key, worker)| {
            let room = room.workers().get(*key);
            request.is_suitable(worker) && room.is_some_and(|room| room.contains(&request.demand))
        });
        let most_room = fitting.max_by_key(|(_, worker)| worker.free_capacity().cpu_milli);
        most_room.map(|(key, _)| key)
    }

    /// Returns the room on the workers that may get tasks without the tasks there that end.
    fn room_without_ending(&self, now: Now) -> RoomIndex {
        let open = self
            .workers
            .iter()
            .filter(|(_, worker)| worker.accepts_tasks(now.boot_ms));
        let room = open.map(|(key, worker)| {
            let lasting = self.lasting_demand(worker);
            (key, worker.registration.capacity.saturating_sub(&lasting))
        });
        RoomIndex::new(room)
    }

    /// Returns the capacity that the long-running tasks of a worker take, and runs that aren't assigned to it.
    fn lasting_demand(&self, worker: &Worker) -> Resources {
        let steps = worker.tasks.iter().filter_map(|&task| self.step_of(task));
        let lasting = steps.filter(|step| step.long_running);
        lasting.fold(worker.unassigned_demand, |sum, step| {
            sum.saturating_add(&step.reserved_resources())
        })
    }
}

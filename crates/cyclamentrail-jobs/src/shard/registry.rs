//! Workers that the registry lists, drops, or lists as restarted.

use cyclamentrail_core::WorkerId;

use super::restarts::CALLS_UNDER_WAY_MS;
use super::{Now, Shard};
use crate::RecentLoss;
use crate::effect::EndProof;
use crate::job::TaskKey;
use crate::worker::{Reachability, Worker, WorkerKey, WorkerRegistration};

impl Shard {
    /// Adds or updates a worker as the registry lists it; a new start time replaces the
    /// incarnation.
    pub fn register(&mut self, now: Now, registration: WorkerRegistration) {
        let ended_started_ms = self.ended_incarnations.get(&registration.id);
        if ended_started_ms.is_some_and(|&started_ms| registration.started_ms <= started_ms) {
            return;
        }
        let Some(&key) = self.worker_keys.get(&registration.id) else {
            let id = registration.id.clone();
            self.end_replaced(now, &registration);
            self.explain_lost(now, &registration);
            let key = self.insert_worker(now, registration);
            self.worker_keys.insert(id, key);
            return;
        };
        let known = &mut self.workers[key];
        if registration.started_ms < known.registration.started_ms {
            return;
        }
        if registration.started_ms > known.registration.started_ms {
            self.replace_incarnation(now, key, registration);
            return;
        }
        known
            .lease
            .record_listed_clock(registration.clock_ms, now.boot_ms);
        let has_new_labels = known.registration.labels != registration.labels;
        self.open_starts.note_listed(&registration.id);
        known.registration = registration;
        if has_new_labels {
            self.take_all_back();
        }
        let known = &mut self.workers[key];
        known.is_registered = true;
    }

    /// Ends the silent worker whose address another one has now: no two processes listen there.
    fn end_replaced(&mut self, now: Now, successor: &WorkerRegistration) {
        let is_replaced = |worker: &Worker| {
            worker.reachability != Reachability::Reachable
                && worker.registration.address == successor.address
                && worker.registration.started_ms < successor.started_ms
        };
        let replaced = self.workers.iter().find(|(_, worker)| is_replaced(worker));
        if let Some(key) = replaced.map(|(key, _)| key) {
            self.handle_other_incarnation(now, key);
        }
    }

    /// Marks a worker as unlisted, and forgets the worker once it has no runs.
    pub fn unregister(&mut self, id: &WorkerId) {
        self.ended_incarnations.remove(id);
        self.open_starts
            .note_unlisted(self.learned.last_round, id.clone());
        let Some(&key) = self.worker_keys.get(id) else {
            return;
        };
        self.workers[key].is_registered = false;
        self.remove_if_unused(key);
    }

    /// Starts or ends the evacuation of a worker for the fleet duty.
    pub fn set_evacuating(&mut self, now: Now, id: &WorkerId, is_evacuating: bool) {
        if let Some(&key) = self.worker_keys.get(id) {
            let worker = &mut self.workers[key];
            let started_ms = worker.registration.started_ms;
            let inherited = &mut self.inherited_evacuations;
            let since = &mut worker.evacuating_since_ms;
            let since_ms = since.unwrap_or_else(|| inherited.take_start(now, id, started_ms));
            *since = is_evacuating.then_some(since_ms);
        }
    }

    /// Handles a response of another incarnation at a worker's address: the known one has ended,
    /// and its runs with it.
    pub(super) fn handle_other_incarnation(&mut self, now: Now, key: WorkerKey) {
        self.recent_loss = Some(RecentLoss { noticed: now });
        if let Some(worker) = self.workers.get_mut(key) {
            worker.is_registered = false;
            worker.next_poll_ms = now.boot_ms + CALLS_UNDER_WAY_MS;
            let registration = &worker.registration;
            self.ended_incarnations
                .insert(registration.id.clone(), registration.started_ms);
            let id = registration.id.clone();
            self.open_starts.note_replaced(now, id);
        }
        self.settle_ended_worker(now, key);
    }

    /// Removes a worker that is unlisted and has no runs.
    pub(super) fn remove_if_unused(&mut self, key: WorkerKey) {
        let Some(worker) = self.workers.get(key) else {
            return;
        };
        if !worker.is_registered && worker.tasks.is_empty() {
            self.worker_keys.remove(&worker.registration.id);
            self.workers.remove(key);
        }
    }

    /// Frees all runs of a worker.
    pub(super) fn release_worker_runs(&mut self, key: WorkerKey, proof: EndProof) {
        let Some(worker) = self.workers.get(key) else {
            return;
        };
        let tasks: Vec<TaskKey> = worker.tasks.iter().copied().collect();
        for task in tasks {
            self.release(task, Some(proof));
        }
    }
}

//! Workers that come, go and start anew.

use cyclamentrail_core::WorkerId;

use super::{Now, Shard};
use crate::effect::{Effect, GoneProof, Note};
use crate::job::TaskKey;
use crate::worker::{Registration, Worker, WorkerKey};

impl Shard {
    /// Takes in what the registry says of a worker.
    pub fn register(&mut self, now: Now, registration: Registration) {
        let ended_ms = self.ended_lives.get(&registration.id);
        if ended_ms.is_some_and(|&born_ms| registration.born_ms <= born_ms) {
            return;
        }
        let Some(&key) = self.worker_ids.get(&registration.id) else {
            let id = registration.id.clone();
            let key = self.workers.insert(Worker::new(registration, now.boot_ms));
            self.worker_ids.insert(id, key);
            return;
        };
        let known = &mut self.workers[key];
        if registration.born_ms < known.registration.born_ms {
            return;
        }
        if registration.born_ms > known.registration.born_ms {
            self.restart(now, key, registration);
            return;
        }
        known.lease.read_clock(registration.clock_ms, now.boot_ms);
        known.registration = registration;
        known.is_listed = true;
    }

    /// Takes in that the registry no longer lists a worker.
    pub fn unregister(&mut self, id: &WorkerId) {
        self.ended_lives.remove(id);
        let Some(&key) = self.worker_ids.get(id) else {
            return;
        };
        self.workers[key].is_listed = false;
        self.forget_if_idle(key);
    }

    /// Takes in that a duty wants a worker empty, or no longer.
    pub fn set_evacuating(&mut self, now: Now, id: &WorkerId, is_evacuating: bool) {
        if let Some(&key) = self.worker_ids.get(id) {
            let since = &mut self.workers[key].evacuating_since_ms;
            *since = is_evacuating.then(|| since.unwrap_or(now.boot_ms));
        }
    }

    /// Begins a new life of a worker: what the last one ran is gone.
    pub(super) fn restart(&mut self, now: Now, key: WorkerKey, registration: Registration) {
        self.release_all(key, GoneProof::Reborn);
        let id = registration.id.clone();
        self.ready
            .push(Effect::Note(Note::Reborn { worker: id.clone() }));
        // A key of its own keeps late answers of the last life from counting for this one.
        self.workers.remove(key);
        let key = self.workers.insert(Worker::new(registration, now.boot_ms));
        self.worker_ids.insert(id, key);
    }

    /// Takes in that another life of a worker answers at its address.
    pub(super) fn other_life(&mut self, key: WorkerKey) {
        if let Some(worker) = self.workers.get_mut(key) {
            worker.is_listed = false;
            let registration = &worker.registration;
            self.ended_lives
                .insert(registration.id.clone(), registration.born_ms);
        }
        self.release_all(key, GoneProof::Reborn);
        self.forget_if_idle(key);
    }

    /// Forgets a worker that is no longer listed once nothing is on it.
    pub(super) fn forget_if_idle(&mut self, key: WorkerKey) {
        let Some(worker) = self.workers.get(key) else {
            return;
        };
        if !worker.is_listed && worker.tasks.is_empty() {
            self.worker_ids.remove(&worker.registration.id);
            self.workers.remove(key);
        }
    }

    fn release_all(&mut self, key: WorkerKey, proof: GoneProof) {
        let Some(worker) = self.workers.get(key) else {
            return;
        };
        let tasks: Vec<TaskKey> = worker.tasks.iter().copied().collect();
        for task in tasks {
            self.release(task, Some(proof));
        }
    }
}

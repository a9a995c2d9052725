//! Taking over a shard from its records.
//!
//! The earlier owner may still believe that it owns the shard. Its appends are fenced before the
//! records are read, and its orders are refused by every worker that has seen our fencing token.
//! A worker that we can't reach may still run what the earlier owner started, until the lease has
//! surely ended; its tasks wait for that.

use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr};

use cyclamentrail_core::{JobId, ServiceName, WorkerId, ZoneName};

use super::{Now, Shard};
use crate::job::{Job, JobKey, Occurrence, Phase, Placement, StepProgress, Task, TaskKey};
use crate::record::{
    AcceptRecord, KeyedRecord, OccurrenceRecord, PROGRESS_SUFFIX, PlacementRecord, ProgressRecord,
    RELEASE_KEY, RecordError, TaskRecord, decode,
};
use crate::worker::{Contact, Registration, Worker, WorkerKey};
use crate::{Resources, StepSpec};

/// Slowest rate of a worker's clock, as the whole and the part by which a lease outlasts it.
const SLOW_CLOCK_PART: u64 = 40;

/// A run that the records name, to be placed again in memory.
struct Found {
    task: TaskKey,
    record: PlacementRecord,
}

impl Shard {
    /// Restores jobs from their records; returns how many records couldn't be read.
    ///
    /// Workers that are registered before are taken as they are; others that the records name are
    /// kept until nothing can run on them any more. The earlier owner may still act for
    /// `earlier_acts_ms`.
    pub fn restore(
        &mut self,
        now: Now,
        records: impl IntoIterator<Item = KeyedRecord>,
        earlier_acts_ms: u64,
    ) -> usize {
        let mut accepted: HashMap<String, AcceptRecord> = HashMap::new();
        let mut progress: HashMap<String, ProgressRecord> = HashMap::new();
        let mut unreadable = 0;
        for record in records
            .into_iter()
            .filter(|record| record.key != RELEASE_KEY)
        {
            let taken = match record.key.strip_suffix(PROGRESS_SUFFIX) {
                Some(id) => take(&mut progress, id, &record.value),
                None => take(&mut accepted, &record.key, &record.value),
            };
            unreadable += usize::from(taken.is_err());
        }
        for (id, accept) in accepted {
            let reached = progress.remove(&id).unwrap_or_default();
            self.restore_job(now, JobId::from(id), accept, reached);
        }
        let over_ms = now.boot_ms + earlier_acts_ms + self.longest_lease_ms();
        for worker in self.workers.values_mut() {
            worker.lease.inherit(over_ms);
        }
        unreadable
    }

    /// Returns the longest time that a lease lasts on the slowest clock, in milliseconds; every
    /// owner grants leases of the same length.
    const fn longest_lease_ms(&self) -> u64 {
        self.timing.lease_ms + self.timing.lease_ms / SLOW_CLOCK_PART + 1
    }

    fn restore_job(&mut self, now: Now, id: JobId, accept: AcceptRecord, reached: ProgressRecord) {
        if !accept.spec.is_well_formed() {
            return;
        }
        let mut job = Job::new(id.clone(), accept.route, accept.spec, accept.accepted_ms);
        job.is_cancelled = reached.is_cancelled;
        job.is_failed = reached.is_failed;
        job.has_started = reached.has_started;
        job.next_occurrence = reached.next_occurrence;
        job.ended_ms = reached.ended_ms;
        let key = self.jobs.insert(job);
        let mut found = Vec::new();
        for occurrence in reached.occurrences {
            let restored = restore_occurrence(key, occurrence, &self.jobs[key], &mut found);
            self.jobs[key].occurrences.push(restored);
        }
        self.ids.insert(id, key);
        for Found { task, record } in found {
            self.restore_placement(now, task, &record);
        }
        let job = &mut self.jobs[key];
        job.shown = job.state();
        if job.shown.is_final() && !job.has_placements() {
            let drop_ms = job.ended_ms.unwrap_or(now.unix_ms) + self.timing.keep_ms;
            self.expiring.insert((drop_ms, key));
        } else {
            self.active.insert(key);
        }
    }

    fn restore_placement(&mut self, now: Now, task: TaskKey, record: &PlacementRecord) {
        let worker_key = match self.worker_ids.get(&record.worker) {
            Some(&key) => {
                let listed_born_ms = self.workers[key].registration.born_ms;
                if listed_born_ms > record.born_ms {
                    // That life of the worker is over, and so is the run.
                    self.dirty.insert(task.job);
                    return;
                }
                key
            }
            None => self.insert_unlisted(now, &record.worker, record.born_ms),
        };
        let Some(demand) = self.step_of(task).map(StepSpec::counted) else {
            return;
        };
        let phase = if record.is_stopping {
            Phase::Stopping { confirmed_ms: None }
        } else {
            Phase::Running {
                since_ms: now.boot_ms,
            }
        };
        if let Some(restored) = self.jobs[task.job].task_mut(task) {
            restored.placement = Some(Placement {
                worker: worker_key,
                run: record.run,
                phase,
                is_ambiguous: true,
                paced_percent: None,
                percent: 0,
                progress_ms: now.boot_ms,
            });
        }
        let worker = &mut self.workers[worker_key];
        worker.used = worker.used.plus(&demand);
        worker.tasks.insert(task);
        if record.is_stopping {
            self.resend_later(now.boot_ms, task, record.run);
        }
    }

    /// Keeps a worker that the records name and the registry doesn't list.
    fn insert_unlisted(&mut self, now: Now, id: &WorkerId, born_ms: u64) -> WorkerKey {
        let registration = Registration {
            id: id.clone(),
            born_ms,
            address: SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0)),
            zone: ZoneName::from(""),
            service: ServiceName::from(""),
            capacity: Resources::default(),
            labels: Vec::new(),
            is_draining: false,
            cold_ms: 0,
            clock_ms: 0,
        };
        let mut worker = Worker::new(registration, now.boot_ms);
        worker.is_listed = false;
        worker.contact = Contact::Lost {
            since_ms: now.boot_ms,
        };
        let key = self.workers.insert(worker);
        self.worker_ids.insert(id.clone(), key);
        key
    }
}

fn take<T: for<'de> serde::Deserialize<'de>>(
    into: &mut HashMap<String, T>,
    id: &str,
    value: &[u8],
) -> Result<(), RecordError> {
    if !value.is_empty() {
        into.insert(id.to_owned(), decode(value)?);
    }
    Ok(())
}

fn restore_occurrence(
    key: JobKey,
    record: OccurrenceRecord,
    job: &Job,
    found: &mut Vec<Found>,
) -> Occurrence {
    let number = record.number;
    let mut records = record.steps.into_iter();
    let steps = (0_u32..)
        .zip(&job.spec.steps)
        .map(|(step, spec)| {
            let mut tasks = records.next().unwrap_or_default().into_iter();
            let restored = (0..spec.count).map(|index| {
                let task = TaskKey {
                    job: key,
                    occurrence: number,
                    step,
                    index,
                };
                restore_task(task, tasks.next(), found)
            });
            StepProgress {
                tasks: restored.collect(),
            }
        })
        .collect();
    Occurrence { number, steps }
}

fn restore_task(key: TaskKey, record: Option<TaskRecord>, found: &mut Vec<Found>) -> Task {
    let Some(record) = record else {
        return Task::default();
    };
    if let Some(placement) = record.placement {
        found.push(Found {
            task: key,
            record: placement,
        });
    }
    Task {
        is_done: record.is_done,
        run: record.run,
        failed_runs: record.failed_runs,
        checkpoint: record.checkpoint,
        placement: None,
    }
}

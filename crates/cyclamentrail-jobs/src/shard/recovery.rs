//! Restoring a shard from its records after a takeover.
//!
//! The previous owner may still believe that it owns the shard. Its appends are fenced before the
//! records are read, and its commands are rejected by every worker that has seen the new owner's
//! fencing token. A worker that the new owner can't reach may still run what the previous owner
//! started until the lease has ended for certain; the worker's tasks wait for that. How much of the
//! wait is left is recorded where an earlier owner waited for it already (see
//! [`super::lease_records`]).

use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr};

use cyclamentrail_core::{JobId, ServiceName, WorkerId, ZoneName};

use super::{Now, Shard};
use crate::job::{
    Job, JobKey, Occurrence, Placement, RestartDoubt, RunPhase, StepProgress, Task, TaskKey,
};
use crate::record::{
    AcceptedJobRecord, KeyedRecord, LEASE_PREFIX, OccurrenceRecord, PROGRESS_SUFFIX,
    PlacementRecord, ProgressRecord, ROUTE_PREFIX, RecordError, TaskRecord, WorkerLeaseRecord,
    decode, is_reserved_key,
};
use crate::worker::{Reachability, Worker, WorkerKey, WorkerRegistration};
use crate::{RUN_TIMES_PREFIX, Resources};

/// A run that a record names and that has to be restored on its worker.
struct RecordedRun {
    task: TaskKey,
    record: PlacementRecord,
}

impl Shard {
    /// Restores jobs from their records; returns how many records were unreadable.
    ///
    /// Registered workers are kept as they are. Workers that only the records name are added as
    /// unlisted until no run can be left on them. `predecessor_active_ms` is how long the previous
    /// owner may still extend leases, in milliseconds.
    pub fn restore(
        &mut self,
        now: Now,
        records: impl IntoIterator<Item = KeyedRecord>,
        predecessor_active_ms: u64,
    ) -> usize {
        let mut accepted: HashMap<String, AcceptedJobRecord> = HashMap::new();
        let mut progress: HashMap<String, ProgressRecord> = HashMap::new();
        let mut leases: HashMap<WorkerId, WorkerLeaseRecord> = HashMap::new();
        let mut unreadable = 0;
        for record in records {
            if let Some(route) = record.key.strip_prefix(RUN_TIMES_PREFIX) {
                unreadable += usize::from(!self.restore_run_times(now, route, &record.value));
                continue;
            }
            if let Some(route) = record.key.strip_prefix(ROUTE_PREFIX) {
                unreadable += usize::from(self.restore_route(route, &record.value).is_err());
                continue;
            }
            if let Some(worker) = record.key.strip_prefix(LEASE_PREFIX) {
                let is_read = self.read_lease_record(worker, &record.value, &mut leases);
                unreadable += usize::from(!is_read);
                continue;
            }
            if is_reserved_key(&record.key) {
                continue;
            }
            let result = match record.key.strip_suffix(PROGRESS_SUFFIX) {
                Some(id) => read_record(&mut progress, id, &record.value),
                None => read_record(&mut accepted, &record.key, &record.value),
            };
            unreadable += usize::from(result.is_err());
        }
        for (id, accept) in accepted {
            let progress_record = progress.remove(&id).unwrap_or_default();
            drop_other_incarnations(&mut leases, &progress_record);
            self.restore_job(now, JobId::from(id), accept, progress_record);
        }
        self.finish_routes();
        let lease_end_ms = now.boot_ms + predecessor_active_ms + self.timing.longest_lease_ms();
        self.restore_leases(now, &leases, lease_end_ms);
        unreadable
    }

    /// Decodes the lease record of a worker; returns whether it is readable.
    fn read_lease_record(
        &mut self,
        worker: &str,
        value: &[u8],
        into: &mut HashMap<WorkerId, WorkerLeaseRecord>,
    ) -> bool {
        if value.is_empty() {
            return true;
        }
        let worker = WorkerId::from(worker);
        self.lease_records.insert_found(worker.clone());
        let record = decode::<WorkerLeaseRecord>(value).ok();
        let is_read = record.is_some();
        into.extend(record.map(|record| (worker, record)));
        is_read
    }

    /// Restores a job and its runs; a malformed job is skipped.
    fn restore_job(
        &mut self,
        now: Now,
        id: JobId,
        accept: AcceptedJobRecord,
        progress_record: ProgressRecord,
    ) {
        if !accept.spec.is_well_formed() {
            return;
        }
        let mut job =
            Job::new(id.clone(), accept.route, accept.spec, accept.accepted_ms).team(accept.team);
        job.is_cancelled = progress_record.is_cancelled;
        job.is_failed = progress_record.is_failed;
        job.has_started = progress_record.has_started;
        job.next_occurrence = progress_record.next_occurrence;
        job.ended_ms = progress_record.ended_ms;
        job.team_index = self.team_table.insert(job.team.as_ref());
        let key = self.jobs.insert(job);
        let mut recorded_runs = Vec::new();
        for occurrence in progress_record.occurrences {
            let restored = restore_occurrence(key, occurrence, &self.jobs[key], &mut recorded_runs);
            self.jobs[key].occurrences.push(restored);
        }
        self.job_keys.insert(id, key);
        for RecordedRun { task, record } in recorded_runs {
            self.restore_placement(now, task, &record);
        }
        self.mark_known_suspects(key);
        let job = &mut self.jobs[key];
        job.durable_state = job.state();
        if job.durable_state.is_final() && !job.has_placements() {
            let drop_ms = job.ended_ms.unwrap_or(now.unix_ms) + self.timing.keep_ms;
            self.expiring.insert((drop_ms, key));
        } else {
            self.active.insert(key);
        }
    }

    /// Restores a run on its worker.
    fn restore_placement(&mut self, now: Now, task: TaskKey, record: &PlacementRecord) {
        let worker_key = match self.worker_keys.get(&record.worker) {
            Some(&key) => key,
            None => self.insert_unlisted(now, &record.worker, record.started_ms),
        };
        let has_restarted = self.workers[worker_key].registration.started_ms > record.started_ms;
        let Some(spec) = self.step_of(task) else {
            return;
        };
        let (demand, full_demand) = (spec.reserved_resources(), spec.demand);
        let phase = if record.is_stopping {
            RunPhase::Stopping { confirmed_ms: None }
        } else if has_restarted {
            RunPhase::Sent
        } else {
            RunPhase::Running {
                since_ms: now.boot_ms,
            }
        };
        if let Some(restored) = self.jobs[task.job].task_mut(task) {
            restored.placement = Some(Placement {
                worker: worker_key,
                run: record.run,
                phase,
                has_begun: false,
                is_listed: false,
                doubt: has_restarted.then_some(RestartDoubt::EarlierOwner),
                start_under_way_until_ms: 0,
                may_start_late: true,
                sent_share_percent: None,
                progress_percent: 0,
                progress_changed_ms: now.boot_ms,
            });
            self.quota
                .add(self.jobs[task.job].team.as_ref(), &full_demand);
            self.team_table.count_placed(&self.jobs[task.job], &demand);
        }
        let worker = &mut self.workers[worker_key];
        worker.used_capacity = worker.used_capacity.saturating_add(&demand);
        worker.tasks.insert(task);
        if record.is_stopping {
            self.schedule_resend(now.boot_ms, task, record.run);
        }
        if has_restarted {
            self.keep_restored_run(now, worker_key, task, record);
        }
    }

    /// Adds a worker that the records name and the registry doesn't list.
    fn insert_unlisted(&mut self, now: Now, id: &WorkerId, started_ms: u64) -> WorkerKey {
        let registration = WorkerRegistration {
            id: id.clone(),
            started_ms,
            address: SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0)),
            zone: ZoneName::from(""),
            service: ServiceName::from(""),
            capacity: Resources::default(),
            labels: Vec::new(),
            is_draining: false,
            warmup_ms: 0,
            clock_ms: 0,
        };
        let mut worker = Worker::new(registration, now.boot_ms);
        worker.is_registered = false;
        worker.reachability = Reachability::Unreachable {
            since_ms: now.boot_ms,
        };
        let key = self.workers.insert(worker);
        self.worker_keys.insert(id.clone(), key);
        key
    }
}

/// Decodes a record into a map; a record without a value is a deleted one and is skipped.
fn read_record<T: for<'de> serde::Deserialize<'de>>(
    into: &mut HashMap<String, T>,
    id: &str,
    value: &[u8],
) -> Result<(), RecordError> {
    if !value.is_empty() {
        into.insert(id.to_owned(), decode(value)?);
    }
    Ok(())
}

/// Drops the lease records of workers on another incarnation of which the records place a run.
fn drop_other_incarnations(
    leases: &mut HashMap<WorkerId, WorkerLeaseRecord>,
    progress_record: &ProgressRecord,
) {
    let placements = progress_record
        .occurrences
        .iter()
        .flat_map(|occurrence| occurrence.steps.iter().flatten())
        .filter_map(|task| task.placement.as_ref());
    for placement in placements {
        let started_ms = leases.get(&placement.worker).map(|lease| lease.started_ms);
        if started_ms.is_some_and(|started_ms| started_ms != placement.started_ms) {
            leases.remove(&placement.worker);
        }
    }
}

/// Restores an occurrence and adds its runs to `recorded_runs`.
fn restore_occurrence(
    key: JobKey,
    record: OccurrenceRecord,
    job: &Job,
    recorded_runs: &mut Vec<RecordedRun>,
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
                restore_task(task, tasks.next(), recorded_runs)
            });
            StepProgress {
                tasks: restored.collect(),
            }
        })
        .collect();
    Occurrence { number, steps }
}

/// Restores a task without its placement and adds its run to `recorded_runs`.
fn restore_task(
    key: TaskKey,
    record: Option<TaskRecord>,
    recorded_runs: &mut Vec<RecordedRun>,
) -> Task {
    let Some(record) = record else {
        return Task::default();
    };
    if let Some(placement) = record.placement {
        recorded_runs.push(RecordedRun {
            task: key,
            record: placement,
        });
    }
    Task {
        is_done: record.is_done,
        last_run: record.run,
        failed_runs: record.failed_runs,
        crashed_runs: record.crashed_runs,
        checkpoint: record.checkpoint,
        placement: None,
    }
}

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

use super::restarts::LATE_CALL_MS;
use super::{Now, Shard};
use crate::job::{
    Job, JobKey, Occurrence, Placement, RestartDoubt, RunPhase, SentShare, StepProgress, StopOrder,
    Task, TaskKey,
};
use crate::open_start::OpenStart;
use crate::record::{
    AcceptedJobRecord, EVACUATIONS_KEY, KeyedRecord, LEASE_PREFIX, OccurrenceRecord,
    PROGRESS_SUFFIX, PlacementRecord, ProgressRecord, RELEASE_KEY, ROUTE_PREFIX, RecordError,
    TaskRecord, UNCHANGED_RUNS_KEY, WorkerLeaseRecord, decode, is_reserved_key,
};
use crate::record_parts::{PartNumber, ReadParts};
use crate::worker::{Reachability, WorkerKey, WorkerRegistration};
use crate::{RUN_TIMES_PREFIX, Resources};

/// A run that a record names and that has to be restored on its worker.
struct RecordedRun {
    task: TaskKey,
    record: PlacementRecord,
}

/// Jobs with records that can't be read, with the keys of these.
type UnreadableJobs = HashMap<String, String>;

/// Records of one job.
struct JobRecords {
    accept: AcceptedJobRecord,
    progress: ProgressRecord,
    parts: ReadParts,
}

impl Shard {
    /// Restores jobs from their records; returns how many records were unreadable. A job with such a
    /// record is held (see [`super::held_jobs`]).
    ///
    /// Registered workers are kept as they are. Workers that only the records name are added as
    /// unlisted until no run can be left on them. `earlier_acts_ms` is how long the previous owner, or
    /// one before it, may still extend leases, in milliseconds; the release record of the previous
    /// owner takes its place if it tells that.
    pub fn restore(
        &mut self,
        now: Now,
        records: impl IntoIterator<Item = KeyedRecord>,
        earlier_acts_ms: u64,
    ) -> usize {
        let mut accepted: HashMap<String, AcceptedJobRecord> = HashMap::new();
        let mut progress: HashMap<String, ProgressRecord> = HashMap::new();
        let mut leases: HashMap<WorkerId, WorkerLeaseRecord> = HashMap::new();
        let mut parts: HashMap<String, ReadParts> = HashMap::new();
        let mut unreadable_jobs = UnreadableJobs::new();
        let mut unreadable = 0;
        let mut release = None;
        let mut unchanged_runs = Vec::new();
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
            if record.key == RELEASE_KEY {
                release = self.read_release(&record.value);
            }
            if record.key == UNCHANGED_RUNS_KEY {
                let runs = self.read_unchanged_runs(&record.value);
                unreadable += usize::from(runs.is_none());
                unchanged_runs = runs.unwrap_or_default();
            }
            if record.key == EVACUATIONS_KEY {
                unreadable += usize::from(!self.read_evacuations(now, &record.value));
            }
            if is_reserved_key(&record.key) {
                continue;
            }
            let (id, result) = if let Some(id) = record.key.strip_suffix(PROGRESS_SUFFIX) {
                (id, read_record(&mut progress, id, &record.value))
            } else if let Some((id, number)) = PartNumber::parse(&record.key) {
                (id, read_part(&mut parts, id, number, &record.value))
            } else {
                let result = read_record(&mut accepted, &record.key, &record.value);
                (record.key.as_str(), result)
            };
            if result.is_err() {
                unreadable += 1;
                unreadable_jobs.insert(id.to_owned(), record.key.clone());
            }
        }
        // Without the record of the acceptance the job was dropped, and its deletion was cut short.
        let is_accepted = |id: &String, key: &String| id == key || accepted.contains_key(id);
        let (unreadable_jobs, leftover): (UnreadableJobs, UnreadableJobs) = unreadable_jobs
            .into_iter()
            .partition(|(id, key)| is_accepted(id, key));
        self.obsolete_keys.extend(leftover.into_values());
        for (id, accept) in accepted {
            if unreadable_jobs.contains_key(&id) {
                continue;
            }
            let progress_record = progress.remove(&id).unwrap_or_default();
            let records = JobRecords {
                accept,
                progress: progress_record,
                parts: parts.remove(&id).unwrap_or_default(),
            };
            self.restore_job(now, JobId::from(id), records, &mut leases);
        }
        self.finish_routes();
        progress.retain(|id, _| !unreadable_jobs.contains_key(id));
        parts.retain(|id, _| !unreadable_jobs.contains_key(id));
        for (id, key) in unreadable_jobs {
            self.hold_job(JobId::from(id), key);
        }
        self.delete_leftovers(progress, parts);
        let told_ms = release.and_then(|release| release.earlier_acts_ms);
        let active_ms = told_ms.unwrap_or(earlier_acts_ms);
        let longest_ms = if release.is_some() {
            active_ms + self.timing.longest_lease_ms()
        } else {
            self.timing.longest_unrecorded_ms(active_ms)
        };
        self.earlier_act_until_ms = now.boot_ms + active_ms;
        self.count_crossed_calls(self.earlier_act_until_ms);
        self.count_open_starts(now, release.is_some(), self.earlier_act_until_ms);
        self.restore_leases(now, &leases, now.boot_ms + longest_ms);
        self.inherit_waits(now, unchanged_runs);
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
        let previous = self.tokens.previous;
        let record = record.filter(|record| previous == Some(record.token));
        into.extend(record.map(|record| (worker, record)));
        is_read
    }

    /// Restores a job and its runs; holds a malformed one, or one whose progress lacks tasks.
    fn restore_job(
        &mut self,
        now: Now,
        id: JobId,
        records: JobRecords,
        leases: &mut HashMap<WorkerId, WorkerLeaseRecord>,
    ) {
        let JobRecords {
            accept,
            progress: mut progress_record,
            parts,
        } = records;
        if !accept.spec.is_well_formed() {
            self.hold_job(id.clone(), id.to_string());
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
        if let Err(key) = self.restore_parts(&mut job, &mut progress_record, parts) {
            self.hold_job(id, key);
            return;
        }
        let key = self.jobs.insert(job);
        let mut recorded_runs = Vec::new();
        for occurrence in progress_record.occurrences {
            let restored = restore_occurrence(key, occurrence, &self.jobs[key], &mut recorded_runs);
            self.jobs[key].occurrences.push(restored);
        }
        self.jobs[key]
            .occurrences
            .sort_by_key(|occurrence| occurrence.number);
        self.job_keys.insert(id, key);
        drop_other_incarnations(leases, &recorded_runs);
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

    /// Completes a progress record by the job's parts, and deletes the parts that it doesn't name.
    ///
    /// # Errors
    ///
    /// Returns the key of a record that lacks tasks of the job.
    fn restore_parts(
        &mut self,
        job: &mut Job,
        progress: &mut ProgressRecord,
        parts: ReadParts,
    ) -> Result<(), String> {
        let Some(record) = &progress.parts else {
            let has_all = |occurrence: &OccurrenceRecord| has_all_tasks(occurrence, job);
            if !progress.occurrences.iter().all(has_all) {
                return Err(format!("{}{PROGRESS_SUFFIX}", job.id));
            }
            let keys = parts.numbers().map(|number| number.key(&job.id));
            self.obsolete_keys.extend(keys);
            return Ok(());
        };
        let open = record.occurrences.iter();
        let occurrences = open.map(|&number| parts.occurrence(number, record, &job.spec));
        progress.occurrences = occurrences
            .collect::<Result<_, PartNumber>>()
            .map_err(|number| number.key(&job.id))?;
        let mut stored = parts.into_stored(record);
        let ended = stored.remove_others(&record.occurrences);
        let keys = ended.into_iter().map(|number| number.key(&job.id));
        self.obsolete_keys.extend(keys);
        job.parts = Some(stored);
        Ok(())
    }

    /// Deletes the progress of jobs whose own record is deleted: the deletion was cut short.
    fn delete_leftovers(
        &mut self,
        progress: HashMap<String, ProgressRecord>,
        parts: HashMap<String, ReadParts>,
    ) {
        let progress_keys = progress
            .into_keys()
            .map(|id| format!("{id}{PROGRESS_SUFFIX}"));
        self.obsolete_keys.extend(progress_keys);
        for (id, parts) in parts {
            let id = JobId::from(id);
            let keys = parts.numbers().map(|number| number.key(&id));
            self.obsolete_keys.extend(keys);
        }
    }

    /// Counts calls that earlier owners send until `last_call_ms` on this owner's boot clock: late starts,
    /// and those to earlier incarnations of workers with runs in doubt.
    fn count_crossed_calls(&mut self, last_call_ms: u64) {
        let tasks: Vec<TaskKey> = self
            .workers
            .values()
            .flat_map(|worker| worker.tasks.iter().copied())
            .collect();
        for task in tasks {
            if let Some(placement) = self.placement_of_mut(task) {
                placement.late_until_ms = last_call_ms + LATE_CALL_MS;
            }
        }
        let expiry_ms = self.crossed_expiry_ms(last_call_ms);
        let restarted: Vec<WorkerKey> = self
            .workers
            .iter()
            .filter(|(_, worker)| !self.runs_in_doubt(worker).is_empty())
            .map(|(key, _)| key)
            .collect();
        for key in restarted {
            self.workers[key].lease.set_crossed_expiry(expiry_ms);
        }
    }

    /// Restores a run on its worker.
    fn restore_placement(&mut self, now: Now, task: TaskKey, record: &PlacementRecord) {
        let worker_key = match self.worker_keys.get(&record.worker) {
            Some(&key) => key,
            None => self.insert_unlisted(now, &record.worker, record.started_ms),
        };
        let started_ms = self.workers[worker_key].registration.started_ms;
        let is_in_doubt = record.is_in_doubt || started_ms > record.started_ms;
        let Some(spec) = self.step_of(task) else {
            return;
        };
        let (demand, full_demand) = (spec.reserved_resources(), spec.demand);
        let phase = if record.is_stopping {
            RunPhase::Stopping { confirmed_ms: None }
        } else if is_in_doubt {
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
                stop_order: if record.is_stopping {
                    StopOrder::Inherited {
                        since_ms: now.boot_ms,
                    }
                } else {
                    StopOrder::None
                },
                has_begun: false,
                is_listed: false,
                doubt: is_in_doubt.then_some(RestartDoubt {
                    placed_started_ms: record.started_ms,
                }),
                start_under_way_until_ms: 0,
                may_start_late: true,
                late_until_ms: 0,
                cpu_share: SentShare::default(),
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
        if is_in_doubt {
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
        let key = self.insert_worker(now, registration);
        let worker = &mut self.workers[key];
        worker.is_registered = false;
        worker.reachability = Reachability::Unreachable {
            since_ms: now.boot_ms,
        };
        self.worker_keys.insert(id.clone(), key);
        key
    }
}

/// Returns whether the record of an occurrence has all tasks of the job.
fn has_all_tasks(occurrence: &OccurrenceRecord, job: &Job) -> bool {
    let steps = job.spec.steps.iter().map(|step| step.count as usize);
    occurrence.steps.iter().map(Vec::len).eq(steps)
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

/// Drops the lease records of workers on another incarnation of which the records place a run. A run in
/// doubt may be on the newer incarnation, which the lease record names.
fn drop_other_incarnations(
    leases: &mut HashMap<WorkerId, WorkerLeaseRecord>,
    recorded_runs: &[RecordedRun],
) {
    for RecordedRun { record, .. } in recorded_runs {
        let started_ms = leases.get(&record.worker).map(|lease| lease.started_ms);
        let is_other = |started_ms| {
            started_ms < record.started_ms
                || (started_ms > record.started_ms && !record.is_in_doubt)
        };
        if started_ms.is_some_and(is_other) {
            leases.remove(&record.worker);
        }
    }
}

/// Decodes a part of a job's progress; a part without a value is a deleted one and is skipped.
fn read_part(
    into: &mut HashMap<String, ReadParts>,
    id: &str,
    number: PartNumber,
    value: &[u8],
) -> Result<(), RecordError> {
    if !value.is_empty() {
        let tasks = decode(value)?;
        let parts = into.entry(id.to_owned()).or_default();
        parts.insert(number, value.to_vec(), tasks);
    }
    Ok(())
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
            StepProgress::restored(restored.collect())
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
        // The time counts from the takeover once all records are read.
        open_start: record.open_start.map(|open| OpenStart {
            worker: open.worker,
            late_until_ms: open.remaining_ms,
            in_flight: None,
            is_inferred: false,
        }),
    }
}

//! State of the accepted jobs: occurrences, steps, tasks and their runs.

use std::collections::BTreeSet;
use std::sync::Arc;

use cyclamentrail_core::{JobId, RouteName, TeamName};
use serde::{Deserialize, Serialize};
use slotmap::new_key_type;

use crate::open_start::OpenStart;
use crate::record_parts::StoredParts;
use crate::worker::WorkerKey;
use crate::{JobSpec, Schedule, StepSpec};

/// Number of a task's last crashed runs that are kept; a long-running task may have any number.
const MAX_CRASHED_RUNS: usize = 8;

new_key_type! {
    /// Key of a job in its shard.
    pub struct JobKey;
}

/// State of a job as callers see it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobState {
    /// The job is accepted and no task has started.
    Queued,
    /// At least one task has started.
    Running,
    /// All tasks of all occurrences are done.
    Completed,
    /// A task failed as often as its route allows.
    Failed,
    /// The caller cancelled the job.
    Cancelled,
}

impl JobState {
    /// Returns the state as it is written in logs and metric labels.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Queued => "queued",
            Self::Running => "running",
            Self::Completed => "completed",
            Self::Failed => "failed",
            Self::Cancelled => "cancelled",
        }
    }

    /// Returns whether the state is final: no task of the job starts any more.
    #[must_use]
    pub const fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::Failed | Self::Cancelled)
    }
}

/// Identifies a task of a job in its shard.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TaskKey {
    /// Key of the job.
    pub job: JobKey,
    /// Number of the occurrence, from 0.
    pub occurrence: u32,
    /// Index of the step in the job.
    pub step: u32,
    /// Index of the task in its step.
    pub index: u32,
}

/// A run of a task, on the worker that it is assigned to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct PlacedRun {
    /// Worker that the run is assigned to.
    pub worker: WorkerKey,
    /// Task of the run.
    pub task: TaskKey,
    /// Number of the run, from 1.
    pub run: u32,
}

/// Phase of a run, from its placement to its stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunPhase {
    /// The run is assigned to a worker; no start command has been sent yet.
    Placed,
    /// A start command was sent at least once; it isn't known whether the worker received it.
    Sent,
    /// The worker confirmed that the run has started.
    Running {
        /// Time of the confirmation on the owner's boot clock, in milliseconds.
        since_ms: u64,
    },
    /// The run is being stopped.
    Stopping {
        /// Time at which the worker confirmed the stop command, on the owner's boot clock in
        /// milliseconds; `None` until then.
        confirmed_ms: Option<u64>,
    },
}

/// A start command for a run, sent to an earlier incarnation of the worker that it is assigned to, may
/// have reached this one or may still do so. It can't any more once this one knows its fencing token.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RestartDoubt {
    /// Start time of the incarnation that the run was placed on, as Unix time in milliseconds.
    pub placed_started_ms: u64,
}

/// What has become of the decision to stop a run.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum StopOrder {
    /// The run isn't to be stopped.
    #[default]
    None,
    /// The decision isn't durable yet, and is reviewed once it is; the run goes on.
    Pending,
    /// This owner has sent a stop command.
    Sent,
    /// An earlier owner recorded the decision; it isn't known whether it sent a command.
    Inherited {
        /// Time of the takeover on the owner's boot clock, in milliseconds.
        since_ms: u64,
    },
}

/// Processor share of a run, as it was last sent to its worker.
///
/// A command without a response may be carried out later, after newer ones. Until it can't any more,
/// the share isn't certain, whatever the worker has confirmed since.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct SentShare {
    /// Share in percent; `None` if it isn't known.
    pub percent: Option<u32>,
    /// Time at which it was sent, on the owner's boot clock in milliseconds.
    pub sent_ms: u64,
    /// Time until which an earlier command may be carried out late, on the same clock.
    pub uncertain_until_ms: u64,
}

/// Assignment of a run to a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Placement {
    /// Worker that the run is assigned to.
    pub worker: WorkerKey,
    /// Number of the run, from 1.
    pub run: u32,
    /// Phase of the run.
    pub phase: RunPhase,
    /// What has become of the decision to stop the run, if there is one.
    pub stop_order: StopOrder,
    /// Whether the worker has confirmed to this owner that the run began.
    pub has_begun: bool,
    /// Whether the incarnation that the run is assigned to has listed it in a report. The response to a
    /// start command doesn't tell which incarnation began the run.
    pub is_listed: bool,
    /// Doubt whether the run is on the worker, if the worker has restarted.
    pub doubt: Option<RestartDoubt>,
    /// Time until which a start command of this owner may be under way, on its boot clock in
    /// milliseconds; 0 if none was sent.
    pub start_under_way_until_ms: u64,
    /// Whether a start command got no response, so that the worker may still carry it out later.
    pub may_start_late: bool,
    /// Time until which that is expected, on the owner's boot clock in milliseconds; 0 if all start
    /// commands got responses.
    pub late_until_ms: u64,
    /// What is known of the processor share that the worker gives the run.
    pub cpu_share: SentShare,
    /// Progress that the worker last reported, in percent.
    pub progress_percent: u32,
    /// Time of the last change in progress on the owner's boot clock, in milliseconds.
    pub progress_changed_ms: u64,
}

impl Placement {
    /// Returns whether the run is surely on the incarnation that it is assigned to, or was: that one has
    /// listed it, and no start command for it is expected to be carried out later.
    pub(crate) const fn is_settled(&self, now_ms: u64) -> bool {
        self.is_listed && now_ms >= self.late_until_ms
    }
}

/// Run whose worker crashed under it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashedRun {
    /// Number of the run.
    pub run: u32,
    /// Whether the worker had confirmed that the run began.
    pub has_begun: bool,
    /// Whether the run had begun shortly before, and the crash had no cause outside of the worker.
    pub is_new: bool,
    /// What the crash says against the task, in thousandths of what a crash under its job alone says;
    /// earlier versions don't record it.
    #[serde(default = "whole_evidence")]
    pub evidence_milli: u32,
    /// Whether the job ran apart from all others on the worker, as a suspect.
    #[serde(default)]
    pub was_apart: bool,
}

/// What a crash under a job alone says against its task.
pub(crate) const WHOLE_EVIDENCE_MILLI: u32 = 1_000;

const fn whole_evidence() -> u32 {
    WHOLE_EVIDENCE_MILLI
}

/// Progress of one task over all of its runs.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Task {
    /// Whether a run has completed the task.
    pub is_done: bool,
    /// Highest run number that was used; 0 before the first run.
    pub last_run: u32,
    /// Numbers of the failed runs. A failure is counted by its run number because a worker may
    /// report the same ended run to two owners, before and after a takeover.
    pub failed_runs: Vec<u32>,
    /// Last runs whose worker crashed under them.
    pub crashed_runs: Vec<CrashedRun>,
    /// Checkpoint from which the next run resumes; empty for a run from the beginning.
    pub checkpoint: Arc<str>,
    /// Assignment of the current run, if there is one.
    pub placement: Option<Placement>,
    /// Start commands of this run and of earlier ones that may still be carried out, if there are any.
    pub open_start: Option<OpenStart>,
}

impl Task {
    /// Returns whether the task isn't done and isn't placed on a worker.
    #[must_use]
    pub const fn is_waiting(&self) -> bool {
        !self.is_done && self.placement.is_none()
    }

    /// Records the failure of a run; a repeated report of the same run has no effect.
    pub fn record_failure(&mut self, run: u32) {
        if !self.failed_runs.contains(&run) {
            self.failed_runs.push(run);
        }
    }

    /// Records that a worker crashed under a run; a repeated record of the same run has no effect.
    pub fn record_crash(&mut self, crashed: CrashedRun) {
        if self
            .crashed_runs
            .iter()
            .all(|known| known.run != crashed.run)
        {
            if self.crashed_runs.len() == MAX_CRASHED_RUNS {
                self.crashed_runs.remove(0);
            }
            self.crashed_runs.push(crashed);
        }
    }

    /// Returns the number of failed runs.
    #[must_use]
    pub fn failure_count(&self) -> u32 {
        u32::try_from(self.failed_runs.len()).unwrap_or(u32::MAX)
    }
}

/// Progress of one step of an occurrence.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct StepProgress {
    /// Tasks of the step, by index.
    pub tasks: Vec<Task>,
    /// Number of `tasks` that are done.
    done_tasks: usize,
    /// Checkpoint from which all members of a gang start in their present runs; empty for a start from
    /// the beginning, and where an earlier owner started them.
    pub gang_checkpoint: Arc<str>,
}

impl StepProgress {
    /// Creates the progress of a step that hasn't started.
    #[must_use]
    pub fn new(spec: &StepSpec) -> Self {
        Self::restored(vec![Task::default(); spec.count as usize])
    }

    /// Creates the progress of a step from the progress of its tasks.
    pub(crate) fn restored(tasks: Vec<Task>) -> Self {
        Self {
            done_tasks: tasks.iter().filter(|task| task.is_done).count(),
            tasks,
            gang_checkpoint: Arc::from(""),
        }
    }

    /// Marks a task as done.
    pub(crate) fn finish_task(&mut self, index: u32) {
        if let Some(task) = self
            .tasks
            .get_mut(index as usize)
            .filter(|task| !task.is_done)
        {
            task.is_done = true;
            self.done_tasks += 1;
        }
    }

    /// Marks all tasks as done.
    pub(crate) fn finish_all_tasks(&mut self) {
        for task in &mut self.tasks {
            task.is_done = true;
        }
        self.done_tasks = self.tasks.len();
    }

    /// Chooses the checkpoint from which all members of a gang start next: one that a member has
    /// reported since they started last, if there is one.
    pub(crate) fn choose_gang_checkpoint(&mut self) {
        let saved = || {
            let checkpoints = self.tasks.iter().map(|task| &task.checkpoint);
            checkpoints.filter(|checkpoint| !checkpoint.is_empty())
        };
        let newer = saved().find(|checkpoint| **checkpoint != self.gang_checkpoint);
        if let Some(chosen) = newer.or_else(|| saved().next()) {
            self.gang_checkpoint = Arc::clone(chosen);
        }
    }

    /// Returns the number of failed runs of a gang. Its members share the number of their run, so that a run
    /// counts once however many of them failed, and however their ends were reported.
    #[must_use]
    pub fn gang_failures(&self) -> u32 {
        let runs = self.tasks.iter().flat_map(|task| &task.failed_runs);
        let distinct: BTreeSet<u32> = runs.copied().collect();
        u32::try_from(distinct.len()).unwrap_or(u32::MAX)
    }

    /// Returns whether all tasks of the step are done.
    #[must_use]
    pub const fn is_done(&self) -> bool {
        self.done_tasks == self.tasks.len()
    }

    /// Returns the number of tasks that aren't done.
    #[must_use]
    pub const fn unfinished_tasks(&self) -> u64 {
        (self.tasks.len() - self.done_tasks) as u64
    }

    /// Returns whether a task isn't done and isn't placed on a worker.
    #[must_use]
    pub fn has_unplaced(&self) -> bool {
        !self.is_done() && self.tasks.iter().any(Task::is_waiting)
    }

    /// Returns the number of tasks that aren't done and aren't placed on a worker.
    #[must_use]
    pub fn waiting_tasks(&self) -> u64 {
        let waiting = self.tasks.iter().filter(|task| task.is_waiting());
        waiting.count() as u64
    }
}

/// Progress of one occurrence of a job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Occurrence {
    /// Number of the occurrence, from 0.
    pub number: u32,
    /// Steps of the occurrence, by index.
    pub steps: Vec<StepProgress>,
}

impl Occurrence {
    /// Creates the progress of an occurrence that hasn't started.
    #[must_use]
    pub fn new(number: u32, spec: &JobSpec) -> Self {
        Self {
            number,
            steps: spec.steps.iter().map(StepProgress::new).collect(),
        }
    }

    /// Returns whether all predecessors of a step are done.
    #[must_use]
    pub fn is_step_ready(&self, step: &StepSpec) -> bool {
        step.predecessors
            .iter()
            .all(|&predecessor| self.steps[predecessor as usize].is_done())
    }

    /// Returns whether all steps are done.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.steps.iter().all(StepProgress::is_done)
    }

    /// Returns whether any task has a run that may still be on a worker.
    #[must_use]
    pub fn has_placements(&self) -> bool {
        self.steps
            .iter()
            .flat_map(|step| &step.tasks)
            .any(|task| task.placement.is_some())
    }
}

/// An accepted job and its progress.
#[derive(Debug, Clone, PartialEq)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each flag is a fact of its own that others may join"
)]
pub struct Job {
    /// Id of the job.
    pub id: JobId,
    /// Route by which the job was submitted.
    pub route: RouteName,
    /// Team of the caller; `None` for a job of a public route.
    pub team: Option<TeamName>,
    /// Index of the team in the shard's table of teams; spares a look-up by name for each job of a
    /// pass.
    pub(crate) team_index: usize,
    /// The job as its caller submitted it.
    pub spec: Arc<JobSpec>,
    /// Unix time of the acceptance, in milliseconds.
    pub accepted_ms: u64,
    /// Whether the caller cancelled the job.
    pub is_cancelled: bool,
    /// Whether a task failed as often as the route allows.
    pub is_failed: bool,
    /// Whether any task has ever started.
    pub has_started: bool,
    /// Unix time at which this owner first placed a task of the job, in milliseconds.
    pub first_placed_ms: Option<u64>,
    /// Occurrences that have begun, and aren't done or still have runs that haven't ended, in the
    /// order of their numbers.
    pub occurrences: Vec<Occurrence>,
    /// Number of the next occurrence that will begin.
    pub next_occurrence: u32,
    /// State that callers are given; it follows [`Job::state`] once that state is durable.
    pub durable_state: JobState,
    /// Unix time at which the job reached its final state, in milliseconds.
    pub ended_ms: Option<u64>,
    /// Parts in which the job's progress is stored; `None` while one record holds all of it.
    pub(crate) parts: Option<StoredParts>,
    /// Whether the store refuses the records of the tasks.
    pub(crate) is_unstorable: bool,
}

impl Job {
    /// Creates an accepted job without progress.
    #[must_use]
    pub fn new(id: JobId, route: RouteName, spec: Arc<JobSpec>, accepted_ms: u64) -> Self {
        Self {
            id,
            route,
            team: None,
            team_index: 0,
            spec,
            accepted_ms,
            is_cancelled: false,
            is_failed: false,
            has_started: false,
            first_placed_ms: None,
            occurrences: Vec::new(),
            next_occurrence: 0,
            durable_state: JobState::Queued,
            ended_ms: None,
            parts: None,
            is_unstorable: false,
        }
    }

    /// Sets the team of the caller.
    #[must_use]
    pub fn team(mut self, team: Option<TeamName>) -> Self {
        self.team = team;
        self
    }

    /// Returns the number of occurrences, at least 1.
    #[must_use]
    pub fn occurrence_count(&self) -> u32 {
        self.spec
            .schedule
            .map_or(1, |schedule| schedule.repeats.max(1))
    }

    /// Returns the Unix time in milliseconds at which the next occurrence is due, or `None` if no
    /// further one will start.
    #[must_use]
    pub fn next_due_ms(&self) -> Option<u64> {
        if self.next_occurrence >= self.occurrence_count() || self.is_aborted() {
            return None;
        }
        Some(self.occurrence_due_ms(self.next_occurrence))
    }

    /// Returns the Unix time in milliseconds at which an occurrence is due.
    #[must_use]
    pub fn occurrence_due_ms(&self, occurrence: u32) -> u64 {
        self.spec
            .schedule
            .map_or(self.accepted_ms, |schedule: Schedule| {
                let after_ms = u64::from(occurrence).saturating_mul(schedule.interval_ms);
                schedule.first_ms.saturating_add(after_ms)
            })
    }

    /// Returns whether the job is cancelled or failed, so that no further run of it starts;
    /// earlier runs may still be executing.
    #[must_use]
    pub fn is_aborted(&self) -> bool {
        self.is_cancelled || self.is_failed
    }

    /// Returns the state that follows from the job's progress.
    #[must_use]
    pub fn state(&self) -> JobState {
        if self.is_cancelled {
            JobState::Cancelled
        } else if self.is_failed {
            JobState::Failed
        } else if self.next_occurrence >= self.occurrence_count()
            && self.occurrences.iter().all(Occurrence::is_done)
        {
            JobState::Completed
        } else if self.has_started {
            JobState::Running
        } else {
            JobState::Queued
        }
    }

    /// Returns whether any task has a run that may still be on a worker.
    #[must_use]
    pub fn has_placements(&self) -> bool {
        self.occurrences.iter().any(Occurrence::has_placements)
    }

    /// Returns an occurrence by its number.
    #[must_use]
    pub fn occurrence(&self, number: u32) -> Option<&Occurrence> {
        self.occurrences.get(self.occurrence_index(number)?)
    }

    /// Returns an occurrence by its number, for changes.
    pub(crate) fn occurrence_mut(&mut self, number: u32) -> Option<&mut Occurrence> {
        let index = self.occurrence_index(number)?;
        self.occurrences.get_mut(index)
    }

    fn occurrence_index(&self, number: u32) -> Option<usize> {
        self.occurrences
            .binary_search_by_key(&number, |occurrence| occurrence.number)
            .ok()
    }

    /// Drops the occurrences that are done and have no runs left, but for a single one; returns whether
    /// there were any.
    pub(crate) fn drop_finished_occurrences(&mut self) -> bool {
        let count_before = self.occurrences.len();
        if count_before > 1 {
            self.occurrences
                .retain(|occurrence| !occurrence.is_done() || occurrence.has_placements());
        }
        self.occurrences.len() < count_before
    }

    /// Returns all tasks of the job, which has the key `job`, with the key of each.
    pub fn tasks(&self, job: JobKey) -> impl Iterator<Item = (TaskKey, &Task)> {
        self.occurrences.iter().flat_map(move |occurrence| {
            (0_u32..)
                .zip(&occurrence.steps)
                .flat_map(move |(step, progress)| {
                    (0_u32..).zip(&progress.tasks).map(move |(index, task)| {
                        let key = TaskKey {
                            job,
                            occurrence: occurrence.number,
                            step,
                            index,
                        };
                        (key, task)
                    })
                })
        })
    }

    /// Returns the start commands that may still be carried out.
    pub(crate) fn open_starts(&self) -> impl Iterator<Item = &OpenStart> {
        let steps = self.occurrences.iter().flat_map(|open| &open.steps);
        let tasks = steps.flat_map(|step| &step.tasks);
        tasks.filter_map(|task| task.open_start.as_ref())
    }

    /// Returns the start commands that may still be carried out, for changes.
    pub(crate) fn open_starts_mut(&mut self) -> impl Iterator<Item = &mut OpenStart> {
        let steps = self
            .occurrences
            .iter_mut()
            .flat_map(|occurrence| &mut occurrence.steps);
        let tasks = steps.flat_map(|step| &mut step.tasks);
        tasks.filter_map(|task| task.open_start.as_mut())
    }

    /// Returns a task by its key, if its occurrence is still kept.
    #[must_use]
    pub fn task(&self, key: TaskKey) -> Option<&Task> {
        self.occurrence(key.occurrence)?
            .steps
            .get(key.step as usize)?
            .tasks
            .get(key.index as usize)
    }

    /// Returns a mutable task by its key, if its occurrence is still kept.
    pub fn task_mut(&mut self, key: TaskKey) -> Option<&mut Task> {
        self.occurrence_mut(key.occurrence)?
            .steps
            .get_mut(key.step as usize)?
            .tasks
            .get_mut(key.index as usize)
    }
}

//! Log line of a decision: an event name with key=value pairs.

use std::fmt::{Display, Formatter, Result};

use cyclamentrail_core::{JobId, TeamName};
use cyclamentrail_jobs::{AdmissionShare, AllowanceChange, Decision, TaskKey, Timeliness};
use log::{Level, Record};

/// Event name, with the inputs and the outcome of the decision as key=value pairs.
#[derive(Debug)]
pub(crate) struct LogLine {
    event: &'static str,
    pairs: Vec<(&'static str, String)>,
}

impl LogLine {
    fn new(event: &'static str) -> Self {
        Self {
            event,
            pairs: Vec::new(),
        }
    }

    fn with(mut self, key: &'static str, value: impl Display) -> Self {
        self.pairs.push((key, value.to_string()));
        self
    }

    /// Adds the expected wait of a submitted job and, if the configuration has teams, the numbers of
    /// its team's share.
    fn with_wait(self, wait_ms: u64, share: Option<&AdmissionShare>) -> Self {
        let line = self.with("wait_ms", wait_ms);
        let Some(share) = share else {
            return line;
        };
        line.with("team", share.team.as_ref().map_or("none", TeamName::as_str))
            .with("own_wait_ms", share.own_wait_ms)
            .with("share_milli", share.share_milli)
            .with("within_rate", share.is_within_rate)
    }

    fn with_task_of(self, job: &JobId, task: &TaskKey) -> Self {
        self.with("job", job)
            .with("occurrence", task.occurrence)
            .with("step", task.step)
            .with("index", task.index)
    }

    fn with_run(self, job: &JobId, task: &TaskKey, run: u32) -> Self {
        self.with_task_of(job, task).with("run", run)
    }

    fn allowance_changed(change: &AllowanceChange, usage: u64) -> Self {
        Self::new("allowance_changed")
            .with("team", &change.team)
            .with("allowance_ppm", change.allowance)
            .with("earlier_ppm", change.earlier)
            .with("usage_ppm", usage)
    }

    /// Writes the line to the log, with the shard as its first pair.
    pub(crate) fn write(&self, shard: &str) {
        let shard = [("shard", shard)];
        let pairs: Vec<(&str, &str)> = shard
            .into_iter()
            .chain(self.pairs.iter().map(|(key, value)| (*key, value.as_str())))
            .collect();
        log::logger().log(
            &Record::builder()
                .level(Level::Info)
                .target(module_path!())
                .args(format_args!("{}", self.event))
                .key_values(&pairs.as_slice())
                .build(),
        );
    }
}

impl Display for LogLine {
    fn fmt(&self, f: &mut Formatter<'_>) -> Result {
        write!(f, "{}", self.event)?;
        for (key, value) in &self.pairs {
            write!(f, " {key}={value}")?;
        }
        Ok(())
    }
}

impl From<&Decision> for LogLine {
    fn from(decision: &Decision) -> Self {
        match decision {
            Decision::JobAccepted {
                job,
                wait_ms,
                share,
            } => Self::new("job_accepted")
                .with("job", job)
                .with_wait(*wait_ms, share.as_ref()),
            Decision::JobRejected {
                job,
                reason,
                wait_ms,
                free_percent,
                share,
            } => Self::new("job_rejected")
                .with("job", job)
                .with("reason", reason.as_str())
                .with("free_percent", free_percent)
                .with_wait(*wait_ms, share.as_ref()),
            Decision::AccessDenied { job, team } => Self::new("access_denied")
                .with("job", job)
                .with("team", team.as_ref().map_or("", TeamName::as_str)),
            Decision::RunEnded {
                job,
                task,
                run,
                end,
                worker,
            } => Self::new("run_ended")
                .with_run(job, task, *run)
                .with("how", end.as_str())
                .with("worker", worker),
            Decision::RunGone { .. } | Decision::RunUnassigned { .. } => run_line(decision),
            Decision::JobFinal {
                job,
                state,
                took_ms,
                timeliness,
            } => Self::new("job_final")
                .with("job", job)
                .with("state", state.as_str())
                .with("took_ms", took_ms)
                .with("objective", timeliness.map_or("none", Timeliness::as_str)),
            Decision::ContactChanged {
                worker,
                is_responding,
            } => Self::new("worker_contact")
                .with("worker", worker)
                .with("answers", is_responding),
            Decision::LeaseClosed { .. }
            | Decision::LeaseInherited { .. }
            | Decision::LeaseOver { .. } => lease_line(decision),
            Decision::JobHeld { job, key } => {
                Self::new("job_held").with("job", job).with("key", key)
            }
            Decision::WorkerRestarted { .. } => restart_line(decision),
            Decision::WorkerAvoided { worker, for_ms } => Self::new("worker_avoided")
                .with("worker", worker)
                .with("for_ms", for_ms),
            Decision::TaskWaiting { .. } | Decision::TurnGiven { .. } => wait_line(decision),
            Decision::ShareChanged {
                worker,
                percent,
                worst_percent,
            } => Self::new("filling_tasks_paced")
                .with("worker", worker)
                .with("percent", percent)
                .with("worst_percent", worst_percent),
            Decision::PromiseMade { .. } | Decision::PromiseEnded { .. } => promise_line(decision),
            Decision::StopWithdrawn {
                job,
                task,
                run,
                worker,
                is_inherited,
            } => Self::new("stop_withdrawn")
                .with_task_of(job, task)
                .with("run", run)
                .with("worker", worker)
                .with("inherited", is_inherited),
            Decision::JobGivenUp { .. }
            | Decision::TaskKeptApart { .. }
            | Decision::SuspectWaitEnded { .. } => crash_line(decision),
            Decision::AllowanceChanged { change, usage } => Self::allowance_changed(change, *usage),
            Decision::RunStalled { job, worker } => Self::new("run_stalled")
                .with("job", job)
                .with("worker", worker),
        }
    }
}

/// Returns the line of a task that waits for room; other decisions have lines of their own.
fn wait_line(decision: &Decision) -> LogLine {
    match decision {
        Decision::TaskWaiting {
            job,
            task,
            age_ms,
            reason,
        } => LogLine::new("task_waits")
            .with_task_of(job, task)
            .with("age_ms", age_ms)
            .with("reason", reason.as_str()),
        Decision::TurnGiven {
            job,
            task,
            waited_ms,
            worker,
        } => LogLine::new("turn_given")
            .with_task_of(job, task)
            .with("waited_ms", waited_ms)
            .with("worker", worker),
        _ => LogLine::new("unknown"),
    }
}

/// Returns the line of a run that is gone, or that isn't assigned to the worker that lists it; other
/// decisions have lines of their own.
fn run_line(decision: &Decision) -> LogLine {
    match decision {
        Decision::RunGone {
            job,
            task,
            run,
            has_begun,
            is_listed,
            worker,
            proof,
        } => LogLine::new("run_gone")
            .with_run(job, task, *run)
            .with("begun", has_begun)
            .with("listed", is_listed)
            .with("proof", proof.as_str())
            .with("worker", worker),
        Decision::RunUnassigned {
            job,
            task,
            run,
            worker,
        } => LogLine::new("run_unassigned")
            .with_run(job, task, *run)
            .with("worker", worker),
        _ => LogLine::new("no_run"),
    }
}

/// Returns the line of a worker's lease that isn't extended, or that an earlier owner granted; other
/// decisions have lines of their own.
fn lease_line(decision: &Decision) -> LogLine {
    match decision {
        Decision::LeaseClosed {
            worker,
            runs,
            remaining_ms,
        } => LogLine::new("lease_closed")
            .with("worker", worker)
            .with("runs", runs)
            .with("remaining_ms", remaining_ms),
        Decision::LeaseInherited {
            worker,
            remaining_ms,
            source,
        } => LogLine::new("lease_inherited")
            .with("worker", worker)
            .with("remaining_ms", remaining_ms)
            .with("source", source.as_str()),
        Decision::LeaseOver {
            worker,
            runs,
            bound,
        } => LogLine::new("lease_over")
            .with("worker", worker)
            .with("runs", runs)
            .with("bound", bound.as_str()),
        _ => LogLine::new("no_lease"),
    }
}

/// Returns the line of a worker's restart; other decisions have lines of their own.
fn restart_line(decision: &Decision) -> LogLine {
    match decision {
        Decision::WorkerRestarted {
            worker,
            earlier_started_ms,
            started_ms,
            runs,
            runs_in_doubt,
            token,
        } => LogLine::new("worker_restarted")
            .with("worker", worker)
            .with("earlier_started_ms", earlier_started_ms)
            .with("started_ms", started_ms)
            .with("runs", runs)
            .with("in_doubt", runs_in_doubt)
            .with("token", token.get()),
        _ => LogLine::new("no_restart"),
    }
}

/// Returns the line of a decision on a task under which workers crashed.
fn crash_line(decision: &Decision) -> LogLine {
    match decision {
        Decision::JobGivenUp { job, task, crashes } => LogLine::new("job_given_up")
            .with_task_of(job, task)
            .with("crashes", crashes),
        Decision::TaskKeptApart {
            job,
            task,
            crashes,
            pause_ms,
        } => LogLine::new("task_kept_apart")
            .with_task_of(job, task)
            .with("crashes", crashes)
            .with("pause_ms", pause_ms),
        Decision::SuspectWaitEnded {
            job,
            task,
            waited_ms,
            worker,
            is_exposed,
        } => LogLine::new("suspect_wait_ended")
            .with_task_of(job, task)
            .with("waited_ms", waited_ms)
            .with("worker", worker)
            .with("beside_others", is_exposed),
        _ => LogLine::new("unknown"),
    }
}

/// Returns the line of a promise to end on time, or of its end; other decisions have lines of their
/// own.
fn promise_line(decision: &Decision) -> LogLine {
    match decision {
        Decision::PromiseEnded {
            job,
            percent,
            is_kept,
            wait_ms,
            delay_ms,
        } => LogLine::new("promise_ended")
            .with("job", job)
            .with("percent", percent)
            .with("kept", is_kept)
            .with("wait_ms", wait_ms)
            .with("delay_ms", delay_ms),
        Decision::PromiseMade {
            job,
            percent,
            wait_ms,
            observations,
        } => LogLine::new("promise_made")
            .with("job", job)
            .with("percent", percent)
            .with("wait_ms", wait_ms)
            .with("observations", observations),
        _ => LogLine::new("no_promise"),
    }
}

/// Returns the job that a decision is about.
pub(super) const fn job_of(decision: &Decision) -> Option<&JobId> {
    match decision {
        Decision::JobAccepted { job, .. }
        | Decision::JobRejected { job, .. }
        | Decision::AccessDenied { job, .. }
        | Decision::RunEnded { job, .. }
        | Decision::RunGone { job, .. }
        | Decision::RunUnassigned { job, .. }
        | Decision::JobFinal { job, .. }
        | Decision::TaskWaiting { job, .. }
        | Decision::TurnGiven { job, .. }
        | Decision::PromiseMade { job, .. }
        | Decision::PromiseEnded { job, .. }
        | Decision::JobGivenUp { job, .. }
        | Decision::TaskKeptApart { job, .. }
        | Decision::SuspectWaitEnded { job, .. }
        | Decision::StopWithdrawn { job, .. }
        | Decision::JobHeld { job, .. }
        | Decision::RunStalled { job, .. } => Some(job),
        Decision::ContactChanged { .. }
        | Decision::LeaseClosed { .. }
        | Decision::LeaseInherited { .. }
        | Decision::LeaseOver { .. }
        | Decision::WorkerRestarted { .. }
        | Decision::WorkerAvoided { .. }
        | Decision::AllowanceChanged { .. }
        | Decision::ShareChanged { .. } => None,
    }
}

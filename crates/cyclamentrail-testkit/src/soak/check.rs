//! Checks the promises of the system against what clients and workers recorded.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use serde::Serialize;

use super::history::{History, JobHistory, RunHistory, Submission, WorkerHistory};
use super::keys::KeyCall;

/// Longest time after a confirmed cancel in which a start that was on its way may arrive at a worker.
const CANCEL_SLACK: Duration = Duration::from_secs(5);
/// Longest time after a worker's notice in which starts may still arrive there.
const NOTICE_SLACK: Duration = Duration::from_secs(2);
/// End of the names of tasks that crash their workers: the first task of each 256th job.
pub(super) const DEADLY_SUFFIX: &str = "2a.0.0.0";
/// Largest number of runs of such a task: three crashes, and two further starts.
const MAX_DEADLY_RUNS: usize = 5;
/// Time within which a revocation holds at every process, and after which every process that accepts
/// keys knows a new one.
const REVOKE_TIME: Duration = Duration::from_secs(5);
/// Number of tasks that fit on a worker.
const WORKER_TASKS: usize = 32;

/// Broken promise.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub enum Violation {
    /// An accepted job hasn't ended.
    JobNotEnded {
        /// Id of the job.
        job: String,
        /// States that the client saw.
        states: Vec<String>,
    },
    /// The state of a job changed after it was final.
    StateAfterEnd {
        /// Id of the job.
        job: String,
        /// States that the client saw.
        states: Vec<String>,
    },
    /// A job is reported as completed although a task was never done.
    TasksMissing {
        /// Id of the job.
        job: String,
        /// Number of tasks that were done.
        done: usize,
        /// Number of tasks of the job.
        tasks: usize,
    },
    /// A rejected job ran.
    RejectedJobRan {
        /// Id of the job.
        job: String,
    },
    /// A task of a job began too long after a confirmed cancel.
    RanAfterCancel {
        /// Name of the task.
        task: String,
    },
    /// Two runs of a task overlap.
    RanTwiceAtOnce {
        /// Name of the task.
        task: String,
    },
    /// A task ran again after it was done on a worker that still runs.
    RanAfterDone {
        /// Name of the task.
        task: String,
    },
    /// A task began before the step that it waits for was done.
    RanBeforeStep {
        /// Name of the task.
        task: String,
    },
    /// A task that crashes its workers was started too often.
    GoesOnCrashing {
        /// Name of the task.
        task: String,
        /// Number of runs.
        runs: usize,
    },
    /// A worker ran more tasks at once than fit.
    WorkerOverfull {
        /// Id of the worker.
        worker: String,
        /// Number of tasks at once.
        tasks: usize,
    },
    /// A call was served with a key that was never in any configuration.
    UnknownKeyServed,
    /// A call that was sent too long after the revocation of its key was served.
    RevokedKeyServed {
        /// Number of the key.
        key: usize,
        /// Time from the revocation to the call, in milliseconds.
        late_ms: u64,
    },
    /// A call with a key in force was refused because of the key or the team.
    ValidKeyRefused {
        /// Number of the key.
        key: usize,
        /// Status of the response.
        status: u16,
        /// Time from the first configuration with the key to the call, in milliseconds.
        age_ms: u64,
    },
    /// A task began too long after the worker gave notice.
    RanAfterNotice {
        /// Id of the worker.
        worker: String,
        /// Name of the task.
        task: String,
    },
}

/// Run with the end of the worker's incarnation that had it.
#[derive(Clone, Copy)]
struct Run<'a> {
    run: &'a RunHistory,
    worker: &'a WorkerHistory,
}

/// Returns all broken promises.
#[must_use]
pub fn check_history(history: &History) -> Vec<Violation> {
    let runs = runs_by_task(history);
    let mut violations = Vec::new();
    for job in &history.jobs {
        check_job(job, &runs, &mut violations);
    }
    for (task, runs) in &runs {
        check_task(task, runs, &mut violations);
    }
    for worker in &history.workers {
        check_worker(worker, &mut violations);
    }
    let broken_by_calls = history
        .calls
        .iter()
        .filter_map(|call| check_call(call, history));
    violations.extend(broken_by_calls);
    violations
}

/// Returns the runs of each task in the order of their beginnings.
fn runs_by_task(history: &History) -> BTreeMap<&str, Vec<Run<'_>>> {
    let mut by_task: BTreeMap<&str, Vec<Run<'_>>> = BTreeMap::new();
    for worker in &history.workers {
        for run in &worker.runs {
            by_task
                .entry(&run.task)
                .or_default()
                .push(Run { run, worker });
        }
    }
    for runs in by_task.values_mut() {
        runs.sort_by_key(|run| run.run.began);
    }
    by_task
}

fn check_job(
    job: &JobHistory,
    runs: &BTreeMap<&str, Vec<Run<'_>>>,
    violations: &mut Vec<Violation>,
) {
    let own_runs: Vec<&RunHistory> = runs
        .range(job.id.as_str()..)
        .take_while(|(task, _)| task.starts_with(&job.id))
        .flat_map(|(_, runs)| runs.iter().map(|run| run.run))
        .collect();
    check_states(job, violations);
    if job.submission == Submission::Rejected && !own_runs.is_empty() {
        violations.push(Violation::RejectedJobRan {
            job: job.id.clone(),
        });
    }
    if let Some(cancelled) = job.cancelled {
        let late = own_runs
            .iter()
            .filter(|run| run.requested > cancelled + CANCEL_SLACK);
        violations.extend(late.map(|run| Violation::RanAfterCancel {
            task: run.task.clone(),
        }));
    }
    check_steps(job, &own_runs, violations);
}

fn check_states(job: &JobHistory, violations: &mut Vec<Violation>) {
    let states = || job.states.clone();
    if job.submission == Submission::Accepted && !job.has_ended() {
        violations.push(Violation::JobNotEnded {
            job: job.id.clone(),
            states: states(),
        });
    }
    let is_final = |state: &String| matches!(state.as_str(), "completed" | "failed" | "cancelled");
    let first_final = job.states.iter().position(is_final);
    if first_final.is_some_and(|position| position + 1 < job.states.len()) {
        violations.push(Violation::StateAfterEnd {
            job: job.id.clone(),
            states: states(),
        });
    }
}

/// Checks that all tasks of a completed job were done, and that each step waited for the one before.
fn check_steps(job: &JobHistory, runs: &[&RunHistory], violations: &mut Vec<Violation>) {
    let mut done_at: HashMap<&str, Instant> = HashMap::new();
    for run in runs.iter().filter(|run| run.is_done) {
        let first = done_at.entry(&run.task).or_insert(run.ended);
        *first = (*first).min(run.ended);
    }
    let tasks: usize = job.step_tasks.iter().map(|&tasks| tasks as usize).sum();
    let is_completed = job.states.last().is_some_and(|state| state == "completed");
    if is_completed && done_at.len() < tasks {
        violations.push(Violation::TasksMissing {
            job: job.id.clone(),
            done: done_at.len(),
            tasks,
        });
    }
    let step_of: HashMap<&str, usize> = runs
        .iter()
        .map(|run| (run.task.as_str(), run.step()))
        .collect();
    for run in runs.iter().filter(|run| run.step() > 0) {
        let earlier_step = run.step() - 1;
        let done_before = done_at
            .iter()
            .filter(|(task, ended)| step_of[*task] == earlier_step && **ended <= run.began)
            .count();
        let needed = job.step_tasks.get(earlier_step).copied().unwrap_or(0);
        if done_before < needed as usize {
            violations.push(Violation::RanBeforeStep {
                task: run.task.clone(),
            });
        }
    }
}

fn check_task(task: &str, runs: &[Run<'_>], violations: &mut Vec<Violation>) {
    if task.ends_with(DEADLY_SUFFIX) && runs.len() > MAX_DEADLY_RUNS {
        violations.push(Violation::GoesOnCrashing {
            task: task.to_owned(),
            runs: runs.len(),
        });
    }
    for (index, earlier) in runs.iter().enumerate() {
        for later in &runs[index + 1..] {
            if later.run.began < earlier.run.ended {
                violations.push(Violation::RanTwiceAtOnce {
                    task: task.to_owned(),
                });
            } else if earlier.run.is_done && !may_be_unknown(earlier, later.run) {
                violations.push(Violation::RanAfterDone {
                    task: task.to_owned(),
                });
            }
        }
    }
}

/// Returns whether the owner may not have known of a run's end when a later run began: an end that a worker
/// didn't report before it was restarted is lost with it, and a worker that is cut off reports none.
fn may_be_unknown(earlier: &Run<'_>, later: &RunHistory) -> bool {
    let (run, worker) = (earlier.run, earlier.worker);
    let is_acknowledged = run.acknowledged.is_some_and(|at| at <= later.began);
    later.began >= worker.ended || !is_acknowledged && worker.is_cut_between(run.ended, later.began)
}

/// Checks a call against the history of its key.
fn check_call(call: &KeyCall, history: &History) -> Option<Violation> {
    let is_served = (200..300).contains(&call.status);
    let Some(number) = call.key else {
        return is_served.then_some(Violation::UnknownKeyServed);
    };
    let key = history.keys.get(number)?;
    let since_ms = |earlier: Instant| {
        let since = call.sent.saturating_duration_since(earlier);
        u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
    };
    if is_served {
        let revoked = key
            .revoked
            .filter(|revoked| call.sent > *revoked + REVOKE_TIME)?;
        return Some(Violation::RevokedKeyServed {
            key: number,
            late_ms: since_ms(revoked),
        });
    }
    let is_in_force = call.sent > key.added + REVOKE_TIME
        && key.revoked.is_none_or(|revoked| call.answered < revoked);
    let is_refused = matches!(call.status, 401 | 403);
    (is_in_force && is_refused).then(|| Violation::ValidKeyRefused {
        key: number,
        status: call.status,
        age_ms: since_ms(key.added),
    })
}

fn check_worker(worker: &WorkerHistory, violations: &mut Vec<Violation>) {
    let at_once = |run: &RunHistory| {
        let has_begun = |other: &&RunHistory| other.began <= run.began && run.began < other.ended;
        worker.runs.iter().filter(has_begun).count()
    };
    let most = worker.runs.iter().map(at_once).max().unwrap_or(0);
    if most > WORKER_TASKS {
        violations.push(Violation::WorkerOverfull {
            worker: worker.id.clone(),
            tasks: most,
        });
    }
    if let Some(gave_notice) = worker.gave_notice {
        let late = worker
            .runs
            .iter()
            .filter(|run| run.requested > gave_notice + NOTICE_SLACK);
        violations.extend(late.map(|run| Violation::RanAfterNotice {
            worker: worker.id.clone(),
            task: run.task.clone(),
        }));
    }
}

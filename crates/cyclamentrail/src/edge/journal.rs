//! Log lines of an owner's decisions, within a budget.

use std::cell::Cell;

use cyclamentrail_jobs::Note;

use super::boot_clock::boot_ms;

/// Lines a second of ordinary events.
const ORDINARY_PER_S: u32 = 20;
/// Lines a second of failures and rejections.
const FAILURES_PER_S: u32 = 60;
const WINDOW_MS: u64 = 1_000;

/// Writes an owner's decisions to the log.
#[derive(Debug, Default)]
pub(crate) struct Journal {
    shard: String,
    window_ms: Cell<u64>,
    ordinary: Cell<u32>,
    failures: Cell<u32>,
    left_out: Cell<u32>,
}

impl Journal {
    /// Creates the journal of a shard.
    pub(crate) fn new(shard: &str) -> Self {
        Self {
            shard: shard.to_owned(),
            ..Self::default()
        }
    }

    /// Writes what was decided, if the budget allows it.
    pub(crate) fn note(&self, note: &Note) {
        self.turn_window();
        if !self.spend(is_failure(note)) {
            self.left_out.set(self.left_out.get() + 1);
            return;
        }
        self.write(note);
    }

    fn turn_window(&self) {
        let now_ms = boot_ms();
        if now_ms.saturating_sub(self.window_ms.get()) < WINDOW_MS {
            return;
        }
        self.window_ms.set(now_ms);
        self.ordinary.set(0);
        self.failures.set(0);
        let left_out = self.left_out.replace(0);
        if left_out > 0 {
            log::info!(shard = self.shard, lines = left_out; "log_lines_left_out");
        }
    }

    fn spend(&self, is_failure: bool) -> bool {
        let (spent, budget) = if is_failure {
            (&self.failures, FAILURES_PER_S)
        } else {
            (&self.ordinary, ORDINARY_PER_S)
        };
        let allowed = spent.get() < budget;
        if allowed {
            spent.set(spent.get() + 1);
        }
        allowed
    }

    fn write(&self, note: &Note) {
        let shard = self.shard.as_str();
        match note {
            Note::Accepted { job, wait_ms } => {
                log::info!(shard, job:% = job, wait_ms; "job_accepted");
            }
            Note::Rejected {
                job,
                reason,
                wait_ms,
            } => {
                let reason = reason.as_str();
                log::info!(shard, job:% = job, reason, wait_ms; "job_rejected");
            }
            Note::Ended {
                job,
                task,
                run,
                how,
                worker,
            } => {
                let (step, index) = (task.step, task.index);
                log::info!(
                    shard, job:% = job, occurrence = task.occurrence, step, index, run, how:? = how,
                    worker:% = worker;
                    "run_ended"
                );
            }
            Note::Vanished {
                job,
                task,
                worker,
                proof,
            } => {
                let (step, index) = (task.step, task.index);
                log::info!(
                    shard, job:% = job, occurrence = task.occurrence, step, index, proof:? = proof,
                    worker:% = worker;
                    "run_gone"
                );
            }
            Note::Final {
                job,
                state,
                took_ms,
            } => log::info!(shard, job:% = job, state:? = state, took_ms; "job_final"),
            Note::Contact { worker, answers } => {
                log::info!(shard, worker:% = worker, answers; "worker_contact");
            }
            Note::Reborn { worker } => log::info!(shard, worker:% = worker; "worker_restarted"),
            Note::Avoided { worker, for_ms } => {
                log::info!(shard, worker:% = worker, for_ms; "worker_avoided");
            }
            Note::Waiting {
                job,
                task,
                age_ms,
                reason,
            } => {
                let (step, index) = (task.step, task.index);
                log::info!(
                    shard, job:% = job, occurrence = task.occurrence, step, index, age_ms,
                    reason:? = reason;
                    "task_waits"
                );
            }
            Note::Paced {
                worker,
                percent,
                worst_percent,
            } => {
                log::info!(shard, worker:% = worker, percent, worst_percent; "filling_tasks_paced");
            }
            Note::Stalled { job, worker } => {
                log::info!(shard, job:% = job, worker:% = worker; "run_stalled");
            }
        }
    }
}

const fn is_failure(note: &Note) -> bool {
    !matches!(
        note,
        Note::Accepted { .. } | Note::Ended { .. } | Note::Final { .. }
    )
}

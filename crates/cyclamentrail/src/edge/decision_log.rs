//! Decisions of an owner: written to the log within a budget of lines, counted as metrics, and the
//! most recent ones kept for explanations.

use std::collections::VecDeque;

use cyclamentrail_core::JobId;
use cyclamentrail_jobs::Decision;

use super::clocks::{boot_ms, unix_ms};
use crate::metrics;

mod log_line;

pub(crate) use log_line::LogLine;

/// Most log lines about ordinary events in a second.
const MAX_ORDINARY_LINES_PER_S: u32 = 20;
/// Most log lines about failures and rejections in a second.
const MAX_FAILURE_LINES_PER_S: u32 = 60;
/// Length of the window over which lines are counted against the budget, in milliseconds.
const WINDOW_MS: u64 = 1_000;
/// Largest number of decisions that are kept for explanations.
const MAX_KEPT_DECISIONS: usize = 2_000;

/// Decision with the time at which it was made.
#[derive(Debug)]
struct KeptDecision {
    unix_ms: u64,
    decision: Decision,
}

/// Writes the decisions of a shard's owner to the log, counts them, and keeps the most recent ones.
#[derive(Debug, Default)]
pub(crate) struct DecisionLog {
    shard: String,
    /// Boot time in milliseconds at which the current window began.
    window_start_ms: u64,
    ordinary_lines: u32,
    failure_lines: u32,
    /// Lines of the current window that exceeded the budget.
    omitted: u64,
    kept: VecDeque<KeptDecision>,
}

impl DecisionLog {
    /// Creates the decision log of a shard.
    pub(crate) fn new(shard: &str) -> Self {
        Self {
            shard: shard.to_owned(),
            ..Self::default()
        }
    }

    /// Counts and keeps a decision, and writes it to the log if the budget allows another line. The
    /// oldest decision is dropped when too many are kept. A refused access isn't kept: callers can
    /// cause any number of them, which would push out the decisions about other jobs.
    pub(crate) fn record(&mut self, decision: Decision) {
        metrics::count_decision(&self.shard, &decision);
        self.start_window_if_due();
        if self.spend_budget(is_failure(&decision)) {
            LogLine::from(&decision).write(&self.shard);
        } else {
            self.omitted += 1;
        }
        if matches!(decision, Decision::AccessDenied { .. }) {
            return;
        }
        if self.kept.len() == MAX_KEPT_DECISIONS {
            self.kept.pop_front();
        }
        self.kept.push_back(KeptDecision {
            unix_ms: unix_ms(),
            decision,
        });
    }

    /// Returns the kept decisions about a job, the oldest first, each with its Unix time in
    /// milliseconds and its log line.
    pub(crate) fn decisions_about(&self, job: &JobId) -> Vec<(u64, String)> {
        self.kept
            .iter()
            .filter(|kept| log_line::job_of(&kept.decision) == Some(job))
            .map(|kept| (kept.unix_ms, LogLine::from(&kept.decision).to_string()))
            .collect()
    }

    /// Resets the budget when the window is over, and reports how many lines it omitted.
    fn start_window_if_due(&mut self) {
        let now_ms = boot_ms();
        if now_ms.saturating_sub(self.window_start_ms) < WINDOW_MS {
            return;
        }
        self.window_start_ms = now_ms;
        self.ordinary_lines = 0;
        self.failure_lines = 0;
        let omitted = std::mem::take(&mut self.omitted);
        if omitted > 0 {
            metrics::count_omitted_lines(omitted);
            log::info!(shard = self.shard, lines = omitted; "log_lines_left_out");
        }
    }

    /// Takes one line from the budget; returns whether one remained.
    const fn spend_budget(&mut self, is_failure: bool) -> bool {
        let (line_count, budget) = if is_failure {
            (&mut self.failure_lines, MAX_FAILURE_LINES_PER_S)
        } else {
            (&mut self.ordinary_lines, MAX_ORDINARY_LINES_PER_S)
        };
        let allowed = *line_count < budget;
        if allowed {
            *line_count += 1;
        }
        allowed
    }
}

const fn is_failure(decision: &Decision) -> bool {
    !matches!(
        decision,
        Decision::JobAccepted { .. }
            | Decision::AccessDenied { .. }
            | Decision::RunEnded { .. }
            | Decision::JobFinal { .. }
            | Decision::AllowanceChanged { .. }
            | Decision::PromiseMade { .. }
            | Decision::PromiseEnded { .. }
    )
}

//! An owner's decisions: log lines within a budget, counts, and the last ones for explanations.

use std::collections::VecDeque;

use cyclamentrail_core::JobId;
use cyclamentrail_jobs::Note;

use super::clocks::{boot_ms, unix_ms};
use crate::metrics;

mod log_line;

pub(crate) use log_line::LogLine;

/// Lines a second of ordinary events.
const MAX_ORDINARY_PER_S: u32 = 20;
/// Lines a second of failures and rejections.
const MAX_FAILURES_PER_S: u32 = 60;
/// Time over which lines are counted against the budget, in milliseconds.
const WINDOW_MS: u64 = 1_000;
/// Decisions that are kept for explanations.
const MAX_KEPT_DECISIONS: usize = 2_000;

/// A decision and when it was made.
#[derive(Debug)]
struct KeptDecision {
    unix_ms: u64,
    decision: Note,
}

/// Writes an owner's decisions to the log, counts them, and keeps the last ones.
#[derive(Debug, Default)]
pub(crate) struct DecisionLog {
    shard: String,
    window_start_ms: u64,
    ordinary_lines: u32,
    failure_lines: u32,
    omitted: u64,
    kept: VecDeque<KeptDecision>,
}

impl DecisionLog {
    /// Creates the journal of a shard.
    pub(crate) fn new(shard: &str) -> Self {
        Self {
            shard: shard.to_owned(),
            ..Self::default()
        }
    }

    /// Takes note of a decision; writes it if the budget allows it.
    pub(crate) fn record(&mut self, decision: Note) {
        metrics::count_note(&self.shard, &decision);
        self.start_window_if_due();
        if self.spend_budget(is_failure(&decision)) {
            LogLine::from(&decision).write(&self.shard);
        } else {
            self.omitted += 1;
        }
        if self.kept.len() == MAX_KEPT_DECISIONS {
            self.kept.pop_front();
        }
        self.kept.push_back(KeptDecision {
            unix_ms: unix_ms(),
            decision,
        });
    }

    /// Returns the last decisions about a job, the oldest first, each with its Unix time in
    /// milliseconds.
    pub(crate) fn decisions_about(&self, job: &JobId) -> Vec<(u64, String)> {
        self.kept
            .iter()
            .filter(|kept| log_line::job_of(&kept.decision) == Some(job))
            .map(|kept| (kept.unix_ms, LogLine::from(&kept.decision).to_string()))
            .collect()
    }

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
            metrics::count_lines_left_out(omitted);
            log::info!(shard = self.shard, lines = omitted; "log_lines_left_out");
        }
    }

    const fn spend_budget(&mut self, is_failure: bool) -> bool {
        let (lines, budget) = if is_failure {
            (&mut self.failure_lines, MAX_FAILURES_PER_S)
        } else {
            (&mut self.ordinary_lines, MAX_ORDINARY_PER_S)
        };
        let allowed = *lines < budget;
        if allowed {
            *lines += 1;
        }
        allowed
    }
}

const fn is_failure(decision: &Note) -> bool {
    !matches!(
        decision,
        Note::Accepted { .. } | Note::Ended { .. } | Note::Final { .. }
    )
}

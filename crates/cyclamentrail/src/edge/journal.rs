//! An owner's decisions: log lines within a budget, counts, and the last ones for explanations.

use std::collections::VecDeque;

use cyclamentrail_core::JobId;
use cyclamentrail_jobs::Note;

use super::boot_clock::{boot_ms, unix_ms};
use crate::metrics;

mod line;

pub(crate) use line::Line;

/// Lines a second of ordinary events.
const ORDINARY_PER_S: u32 = 20;
/// Lines a second of failures and rejections.
const FAILURES_PER_S: u32 = 60;
/// Time over which lines are counted against the budget, in milliseconds.
const WINDOW_MS: u64 = 1_000;
/// Decisions that are kept for explanations.
const MAX_KEPT: usize = 2_000;

/// A decision and when it was made.
#[derive(Debug)]
struct Kept {
    unix_ms: u64,
    note: Note,
}

/// Writes an owner's decisions to the log, counts them, and keeps the last ones.
#[derive(Debug, Default)]
pub(crate) struct Journal {
    shard: String,
    window_ms: u64,
    ordinary: u32,
    failures: u32,
    left_out: u64,
    kept: VecDeque<Kept>,
}

impl Journal {
    /// Creates the journal of a shard.
    pub(crate) fn new(shard: &str) -> Self {
        Self {
            shard: shard.to_owned(),
            ..Self::default()
        }
    }

    /// Takes note of a decision; writes it if the budget allows it.
    pub(crate) fn note(&mut self, note: Note) {
        metrics::count_note(&self.shard, &note);
        self.turn_window();
        if self.spend(is_failure(&note)) {
            Line::from(&note).write(&self.shard);
        } else {
            self.left_out += 1;
        }
        if self.kept.len() == MAX_KEPT {
            self.kept.pop_front();
        }
        self.kept.push_back(Kept {
            unix_ms: unix_ms(),
            note,
        });
    }

    /// Returns the last decisions about a job, the oldest first, each with its Unix time in
    /// milliseconds.
    pub(crate) fn about(&self, job: &JobId) -> Vec<(u64, String)> {
        self.kept
            .iter()
            .filter(|kept| line::job_of(&kept.note) == Some(job))
            .map(|kept| (kept.unix_ms, Line::from(&kept.note).to_string()))
            .collect()
    }

    fn turn_window(&mut self) {
        let now_ms = boot_ms();
        if now_ms.saturating_sub(self.window_ms) < WINDOW_MS {
            return;
        }
        self.window_ms = now_ms;
        self.ordinary = 0;
        self.failures = 0;
        let left_out = std::mem::take(&mut self.left_out);
        if left_out > 0 {
            metrics::count_lines_left_out(left_out);
            log::info!(shard = self.shard, lines = left_out; "log_lines_left_out");
        }
    }

    const fn spend(&mut self, is_failure: bool) -> bool {
        let (spent, budget) = if is_failure {
            (&mut self.failures, FAILURES_PER_S)
        } else {
            (&mut self.ordinary, ORDINARY_PER_S)
        };
        let allowed = *spent < budget;
        if allowed {
            *spent += 1;
        }
        allowed
    }
}

const fn is_failure(note: &Note) -> bool {
    !matches!(
        note,
        Note::Accepted { .. } | Note::Ended { .. } | Note::Final { .. }
    )
}

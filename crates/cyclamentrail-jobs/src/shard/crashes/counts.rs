//! Counts of the crashes under a task, and what follows from them.

use crate::job::{CrashedRun, Task};
use crate::shard::isolation::MAX_SHARED_JOBS;

/// Number of crashes from which a task is suspect however long its runs had lasted.
const SUSPECT_CRASHES: usize = 2;
/// Number of crashes under runs that had begun at which a job is given up if it ran apart at the last.
const PROVEN_BEGUN: usize = 2;
/// The same for all crashes, where it isn't known of some runs whether they had begun.
const PROVEN_ALL: usize = 3;
/// Number of crashes under runs that had begun at which a job is given up in any case.
const MAX_BEGUN: usize = 4;
/// The same for all crashes.
const MAX_ALL: usize = 5;

/// Evidence of a crash under a single job.
const WHOLE_EVIDENCE_MILLI: usize = 1_000;
/// Evidence of a single crash below which a task is a weak suspect: more jobs shared the crash than may
/// share a worker that is kept apart.
const WEAK_EVIDENCE_MILLI: usize = WHOLE_EVIDENCE_MILLI / MAX_SHARED_JOBS;
/// Evidence of several crashes from which a task is a likely suspect.
const LIKELY_EVIDENCE_MILLI: usize = 300;

/// How likely a task is to crash its worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(in crate::shard) enum Suspicion {
    /// One worker crashed under the task, and under those of many other jobs at the same time.
    Weak,
    /// One worker crashed under the task and those of few other jobs, or several under many.
    Possible,
    /// Several workers crashed under the task.
    Likely,
    /// The task's job has the description of one that was given up.
    Known,
}

/// Number of crashes under one task.
#[derive(Debug, Clone, Copy)]
pub(super) struct CrashCounts {
    /// All crashes, also under runs of which nobody knows whether they had begun.
    all: usize,
    /// Crashes under runs that had begun for certain.
    begun: usize,
    /// Crashes shortly after the begin of a run.
    new: usize,
    /// Crashes of `new` under runs that had begun for certain.
    soon: usize,
    /// Sum over all crashes of what each says against the task, in thousandths of a crash under its
    /// job alone: the more jobs shared it, the less.
    evidence_milli: usize,
}

impl CrashCounts {
    /// Counts the crashes under a task.
    pub(super) fn of(task: &Task) -> Self {
        let count = |counts: fn(&CrashedRun) -> bool| {
            task.crashed_runs.iter().filter(|run| counts(run)).count()
        };
        Self {
            all: task.crashed_runs.len(),
            begun: count(|run| run.has_begun),
            new: count(|run| run.is_new),
            soon: count(|run| run.is_new && run.has_begun),
            evidence_milli: task
                .crashed_runs
                .iter()
                .map(|run| WHOLE_EVIDENCE_MILLI / (run.jobs as usize).max(1))
                .sum(),
        }
    }

    /// Returns what the crashes make suspect of the task.
    pub(super) const fn suspicion(self) -> Option<Suspicion> {
        let is_repeated = self.new >= SUSPECT_CRASHES || self.all > SUSPECT_CRASHES;
        if is_repeated && self.evidence_milli >= LIKELY_EVIDENCE_MILLI {
            Some(Suspicion::Likely)
        } else if self.all >= SUSPECT_CRASHES {
            Some(Suspicion::Possible)
        } else if self.new == 0 {
            None
        } else if self.evidence_milli < WEAK_EVIDENCE_MILLI {
            Some(Suspicion::Weak)
        } else {
            Some(Suspicion::Possible)
        }
    }

    /// Returns what the crashes make suspect of a long-running task: it outlasts many crashes with other
    /// causes, so that only those shortly after its starts matter.
    pub(super) const fn suspicion_of_service(self) -> Option<Suspicion> {
        match self.new {
            0 => None,
            1 => Some(Suspicion::Possible),
            _ => Some(Suspicion::Likely),
        }
    }

    /// Returns the number of crashes shortly after the begin of runs that had begun for certain.
    pub(super) fn soon(self) -> u32 {
        u32::try_from(self.soon).unwrap_or(u32::MAX)
    }

    /// Returns whether the task's job is given up. `is_proof` tells whether the job ran apart from
    /// all others at the last crash.
    pub(super) const fn means_giving_up(self, is_proof: bool) -> bool {
        let is_proven = self.begun >= PROVEN_BEGUN || self.all >= PROVEN_ALL;
        (is_proof && is_proven) || self.begun >= MAX_BEGUN || self.all >= MAX_ALL
    }
}

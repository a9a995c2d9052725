//! Counts of the crashes under a task, and what follows from them.

use crate::job::{CrashedRun, Task, WHOLE_EVIDENCE_MILLI};
use crate::shard::isolation::MAX_SHARED_JOBS;

/// Number of crashes from which a task is suspect however long its runs had lasted.
const SUSPECT_CRASHES: usize = 2;
/// Number of crashes at which a job is given up that ran apart at the last of them.
const PROVEN_ALL: usize = 3;
/// Number of crashes at which a job is given up wherever it ran: a task that crashes its workers may be
/// started twice more after three of them.
const MAX_ALL: usize = 5;
/// Evidence of a single crash below which a task is a weak suspect: more jobs shared the crash than may
/// share a worker that is kept apart.
const WEAK_EVIDENCE_MILLI: u32 = WHOLE_EVIDENCE_MILLI / MAX_SHARED_JOBS;
/// Evidence of several crashes from which a task is a likely suspect.
const LIKELY_EVIDENCE_MILLI: u32 = 300;

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
    /// Whether the job ran apart from all others at the last crash.
    was_apart: bool,
    /// Crashes shortly after the begin of a run.
    new: usize,
    /// Crashes of `new` under runs that had begun for certain.
    soon: usize,
    /// Sum over all crashes of what each says against the task, in thousandths of a crash under its
    /// job alone: the more jobs shared it, the less.
    evidence_milli: u32,
}

impl CrashCounts {
    /// Counts the crashes under a task.
    pub(super) fn of(task: &Task) -> Self {
        let count = |counts: fn(&CrashedRun) -> bool| {
            task.crashed_runs.iter().filter(|run| counts(run)).count()
        };
        Self {
            all: task.crashed_runs.len(),
            was_apart: task.crashed_runs.last().is_some_and(|run| run.was_apart),
            new: count(|run| run.is_new),
            soon: count(|run| run.is_new && run.has_begun),
            evidence_milli: task.crashed_runs.iter().map(|run| run.evidence_milli).sum(),
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

    /// Returns whether the task's job is given up.
    ///
    /// Two crashes may be a coincidence wherever the task ran: a caller whose job is given up for them
    /// loses it though nothing of it has failed.
    pub(super) const fn means_giving_up(self) -> bool {
        let is_proven = self.was_apart && self.all >= PROVEN_ALL;
        is_proven || self.all >= MAX_ALL
    }
}

//! Workers that were lost with the runs on them.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use cyclamentrail_core::WorkerId;

use crate::job::{JobKey, TaskKey};

/// Time from the begin of a run in milliseconds within which a crash makes its task suspect: most
/// such tasks fail as they begin. Others are suspect from the second crash on.
const SUSPECT_RUN_MS: u64 = 300;

/// A worker that was lost with the runs on it.
#[derive(Debug, Clone)]
pub(in crate::shard) struct LostWorker {
    pub(super) id: WorkerId,
    pub(super) address: SocketAddr,
    /// Start time of the incarnation, as Unix time in milliseconds.
    pub(super) started_ms: u64,
    /// Time of the first call without a response, on the owner's boot clock in milliseconds.
    pub(super) lost_ms: u64,
    /// Time of the last response on the same clock: the worker crashed between the two.
    pub(super) heard_ms: u64,
    /// Jobs that had runs on the worker.
    pub(super) jobs: BTreeSet<JobKey>,
    /// Whether the worker ran suspect tasks only.
    pub(super) was_apart: bool,
    pub(super) runs: Vec<LostRun>,
}

/// A worker that crashed, and the jobs that had tasks there.
#[derive(Debug, Clone)]
pub(super) struct CrashedWorker {
    pub(super) id: WorkerId,
    pub(super) started_ms: u64,
    pub(super) lost_ms: u64,
    pub(super) jobs: BTreeSet<JobKey>,
    /// Whether the worker ran suspect tasks only.
    pub(super) was_apart: bool,
}

/// A run that was lost with its worker.
#[derive(Debug, Clone, Copy)]
pub(super) struct LostRun {
    pub(super) task: TaskKey,
    pub(super) run: u32,
    /// Whether the worker had confirmed that the run began.
    pub(super) has_begun: bool,
    /// Whether the worker had confirmed it, or responded to anything about the time of the start.
    pub(super) may_have_begun: bool,
    /// Whether an earlier owner started the run, and the worker hasn't confirmed it to this one.
    pub(super) is_restored: bool,
    /// Time since which the run was known to execute, on the owner's boot clock in milliseconds.
    pub(super) since_ms: Option<u64>,
}

impl LostRun {
    /// Returns whether the run may have begun shortly before its worker, which last responded at
    /// `heard_ms`, crashed.
    pub(super) fn is_new(&self, heard_ms: u64) -> bool {
        let is_new = |since_ms| heard_ms <= since_ms + SUSPECT_RUN_MS;
        self.since_ms.is_none_or(is_new)
    }
}

impl LostWorker {
    /// Returns whether the worker ran the suspect tasks of one job only; `known` is what was recorded
    /// of it before.
    pub(super) fn is_proof(&self, known: Option<&CrashedWorker>) -> bool {
        let is_alone = self.was_apart && self.jobs.len() == 1;
        is_alone && known.is_none_or(|known| known.was_apart && known.jobs == self.jobs)
    }

    /// Returns whether a crashed worker is this one.
    pub(super) fn is_same(&self, crashed: &CrashedWorker) -> bool {
        (&self.id, self.started_ms) == (&crashed.id, crashed.started_ms)
    }
}

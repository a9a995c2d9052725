//! Restarts of long-running tasks whose workers crashed under them.
//!
//! A long-running task is started again however often its workers crash, so that its job never fails
//! by it. One under which workers crash soon after its starts runs apart, and each further such crash
//! lets it wait longer for its next start, up to a cap that keeps it from being away for too long.

use super::counts::CrashCounts;
use super::lost_worker::LostWorker;
use super::{Now, Shard, Suspicion};
use crate::StepSpec;
use crate::effect::{Decision, Effect};
use crate::job::TaskKey;

/// Pause before the next start after the second crash soon after a start, in milliseconds.
const FIRST_PAUSE_MS: u64 = 500;
/// Longest pause before a start, in milliseconds.
const MAX_PAUSE_MS: u64 = 2_000;
/// Time from the loss of a worker in milliseconds at which the pause ends in any case.
const MAX_AWAY_MS: u64 = 5_000;

/// A long-running task whose worker crashed under it soon after its start.
#[derive(Debug, Clone, Copy)]
pub(super) struct CrashedService {
    /// Time at which the worker was lost, on the owner's boot clock in milliseconds.
    pub(super) lost_ms: u64,
    /// Time on the same clock from which the task may be started.
    resume_ms: u64,
}

impl Shard {
    /// Keeps a long-running task under which its worker crashed apart, if that happened soon after its
    /// start, and lets it pause.
    pub(super) fn delay_restart(
        &mut self,
        now: Now,
        task: TaskKey,
        crashes: CrashCounts,
        lost: &LostWorker,
    ) {
        let Some(suspicion) = crashes.suspicion_of_service() else {
            return;
        };
        self.suspect(task, suspicion);
        let pause_ms = pause_ms(crashes.soon());
        let resume_ms = (now.boot_ms + pause_ms).min(lost.lost_ms + MAX_AWAY_MS);
        let service = CrashedService {
            lost_ms: lost.lost_ms,
            resume_ms,
        };
        self.crashes.services.insert(task, service);
        if suspicion == Suspicion::Likely
            && let Some(job) = self.jobs.get(task.job)
        {
            let decision = Decision::TaskKeptApart {
                job: job.id.clone(),
                task,
                crashes: crashes.soon(),
                pause_ms: resume_ms.saturating_sub(now.boot_ms),
            };
            self.ready_effects.push(Effect::Log(decision));
        }
    }

    /// Returns whether a task has to wait for its next start because workers crashed under it.
    pub(in crate::shard) fn is_paused(&self, now: Now, task: TaskKey) -> bool {
        let service = self.crashes.services.get(&task);
        service.is_some_and(|service| now.boot_ms < service.resume_ms)
    }

    /// Returns whether a member of a gang's step has to wait for its next start.
    pub(in crate::shard) fn is_gang_paused(
        &self,
        now: Now,
        first: TaskKey,
        spec: &StepSpec,
    ) -> bool {
        (0..spec.count).any(|index| self.is_paused(now, TaskKey { index, ..first }))
    }
}

/// Returns the pause before a start after a number of crashes soon after a start.
fn pause_ms(crashes: u32) -> u64 {
    let doublings = match crashes {
        0 | 1 => return 0,
        _ => crashes - 2,
    };
    FIRST_PAUSE_MS
        .checked_shl(doublings)
        .map_or(MAX_PAUSE_MS, |pause_ms| pause_ms.min(MAX_PAUSE_MS))
}

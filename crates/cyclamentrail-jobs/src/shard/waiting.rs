//! Telling of tasks that wait for long.

use super::{Now, Shard};
use crate::effect::{Effect, Note, WaitReason};
use crate::job::{Job, JobKey, Phase, Task, TaskKey};

/// Time between two looks for tasks that wait, in milliseconds.
const INTERVAL_MS: u64 = 2_000;
/// Age of a job from which its waiting tasks are told of, in milliseconds.
const MIN_AGE_MS: u64 = 6_000;

impl Shard {
    /// Tells of the oldest job with a task that waits.
    pub(super) fn tell_waiting(&mut self, now: Now) {
        if now.boot_ms < self.waiting_told_ms + INTERVAL_MS {
            return;
        }
        self.waiting_told_ms = now.boot_ms;
        let oldest = self
            .active
            .iter()
            .filter_map(|&key| Some((key, self.jobs.get(key)?)))
            .filter(|(_, job)| !job.is_over() && job.accepted_ms + MIN_AGE_MS < now.unix_ms)
            .filter_map(|(key, job)| Some((job, first_waiting(key, job)?)))
            .min_by_key(|(job, _)| job.accepted_ms);
        let Some((job, (task, reason))) = oldest else {
            return;
        };
        let note = Note::Waiting {
            job: job.id.clone(),
            task,
            age_ms: now.unix_ms.saturating_sub(job.accepted_ms),
            reason,
        };
        self.ready.push(Effect::Note(note));
    }
}

/// Returns the first task of a job whose turn has come and that doesn't run.
fn first_waiting(key: JobKey, job: &Job) -> Option<(TaskKey, WaitReason)> {
    for occurrence in &job.occurrences {
        for (step, spec) in (0_u32..).zip(&job.spec.steps) {
            if !occurrence.is_ready(spec) {
                continue;
            }
            for (index, task) in (0_u32..).zip(&occurrence.steps[step as usize].tasks) {
                if let Some(reason) = reason_of(task) {
                    let task = TaskKey {
                        job: key,
                        occurrence: occurrence.number,
                        step,
                        index,
                    };
                    return Some((task, reason));
                }
            }
        }
    }
    None
}

fn reason_of(task: &Task) -> Option<WaitReason> {
    if task.is_done {
        return None;
    }
    match task.placement.map(|placement| placement.phase) {
        None => Some(WaitReason::Room),
        Some(Phase::Placed) => Some(WaitReason::Sending),
        Some(Phase::Sent) => Some(WaitReason::Answer),
        Some(Phase::Stopping { .. }) => Some(WaitReason::Stop),
        Some(Phase::Running { .. }) => None,
    }
}

//! Whether jobs keep their objectives, what makes them late, and how full the pool is meanwhile.

use super::{Now, Shard};
use crate::effect::Timeliness;
use crate::job::{JobKey, JobState};

impl Shard {
    /// Returns the part of the capacity of the registered workers that no task takes, in percent; 0
    /// without workers.
    #[must_use]
    pub fn free_percent(&self) -> u64 {
        let mut capacity_milli: u64 = 0;
        let mut used_milli = 0;
        let listed = self
            .workers
            .values()
            .filter(|worker| worker.is_registered && !worker.registration.is_draining);
        for worker in listed {
            capacity_milli += worker.registration.capacity.cpu_milli;
            used_milli += worker.used_capacity.cpu_milli;
        }
        let free_milli = capacity_milli.saturating_sub(used_milli);
        (free_milli * 100).checked_div(capacity_milli).unwrap_or(0)
    }

    /// Returns whether a job that completes now keeps its objective, by the expected durations of its
    /// tasks; `None` for a job that isn't complete, is long-running or has a schedule.
    pub(super) fn timeliness(&self, now: Now, key: JobKey) -> Option<Timeliness> {
        let job = self.jobs.get(key)?;
        let is_counted = !job.spec.is_long_running() && job.spec.schedule.is_none();
        if !is_counted || job.state() != JobState::Completed {
            return None;
        }
        let route = self.routes.get(&job.route)?;
        let chain_ms = self.chain_times(now, job).total_ms;
        let objective_ms = route.objective_ms(chain_ms);
        let took_ms = now.unix_ms.saturating_sub(job.accepted_ms);
        let waited_ms = job
            .first_placed_ms
            .map_or(0, |placed_ms| placed_ms.saturating_sub(job.accepted_ms));
        let is_repeated = job.tasks(key).any(|(_, task)| task.last_run > 1);
        let timeliness = if took_ms <= objective_ms {
            Timeliness::OnTime
        } else if waited_ms + chain_ms > objective_ms {
            Timeliness::LateByWaiting
        } else if is_repeated {
            Timeliness::LateByRepetition
        } else {
            Timeliness::LateByRunning
        };
        Some(timeliness)
    }
}

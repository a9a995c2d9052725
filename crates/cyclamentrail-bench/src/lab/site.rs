//! A simulated site around the product's decisions: owners, machines, store, calls and callers.

mod callers;
mod machines;
mod owner;

use std::cmp::Reverse;
use std::collections::BTreeMap;

use cyclamentrail_core::ServiceName;
use cyclamentrail_jobs::{CallerId, CallerReply, Decision, JobState, Now};

use self::callers::Callers;
use self::machines::{FaultyParts, Machines};
use self::owner::Owner;
use super::{DayOutcome, Description, FaultKind, JobOutcome, LATE_FACTOR, Trace};

/// Time step of the simulation, in milliseconds.
const STEP_MS: u64 = 5;
/// Time before the load in which workers register and long-running tasks start, in milliseconds.
const WARM_UP_MS: u64 = 4_000;
/// Time between two rounds of the planner, in milliseconds.
const PLAN_INTERVAL_MS: u64 = 200;
/// Unix time at which virtual time is 0, in milliseconds.
const START_UNIX_MS: u64 = 1_700_000_000_000;
/// Reading of the boot clock at which virtual time is 0, in milliseconds.
const START_BOOT_MS: u64 = 1_000_000;

/// Plays a trace by the product's decisions.
#[must_use]
pub fn play_product(description: &Description, trace: &Trace) -> DayOutcome {
    let mut site = Site::new(description, trace);
    let longest_ms = trace.jobs.iter().map(|job| job.objective_ms).max();
    let length_ms = (description.length_s * 1_000.0) as u64;
    let end_ms = WARM_UP_MS + length_ms + LATE_FACTOR * longest_ms.unwrap_or(0);
    while site.now_ms < end_ms {
        site.step();
    }
    site.outcome
}

/// Returns the clocks at a virtual time.
const fn clocks(now_ms: u64) -> Now {
    Now {
        boot_ms: START_BOOT_MS + now_ms,
        unix_ms: START_UNIX_MS + now_ms,
    }
}

/// The site and the state of its day.
struct Site<'a> {
    description: &'a Description,
    trace: &'a Trace,
    owners: Vec<Owner<'a>>,
    machines: Machines<'a>,
    callers: Callers,
    now_ms: u64,
    outcome: DayOutcome,
}

impl<'a> Site<'a> {
    fn new(description: &'a Description, trace: &'a Trace) -> Self {
        let pools = description.pools.iter();
        let mut owners: Vec<Owner<'a>> = pools.map(|pool| Owner::new(pool, trace)).collect();
        let machines = Machines::new(description);
        for owner in &mut owners {
            owner.submit_long_running(0);
        }
        Self {
            description,
            trace,
            owners,
            machines,
            callers: Callers::new(trace),
            now_ms: 0,
            outcome: DayOutcome::new(trace),
        }
    }

    /// Returns the time of the day in milliseconds; 0 during the warm-up.
    const fn day_ms(&self) -> u64 {
        self.now_ms.saturating_sub(WARM_UP_MS)
    }

    fn step(&mut self) {
        self.now_ms += STEP_MS;
        self.apply_faults();
        self.machines.advance(self.now_ms, &mut self.owners);
        self.submit_due();
        let store_down_ms = self.store_down_ms();
        for pool in 0..self.owners.len() {
            let decisions = self.owners[pool].advance(self.now_ms, store_down_ms);
            self.note_replies(pool);
            self.note_ends(decisions);
        }
        if self.now_ms.is_multiple_of(PLAN_INTERVAL_MS) {
            self.machines.plan(self.now_ms, &mut self.owners);
            self.outcome.moves = self.machines.moves;
        }
        if self.now_ms >= WARM_UP_MS {
            self.outcome.machine_s += self.machines.in_pools() as f64 * STEP_MS as f64 / 1_000.0;
        }
    }

    /// Submits the jobs whose attempts are due, and cancels those that their callers give up.
    fn submit_due(&mut self) {
        while let Some(Reverse((at_ms, index))) = self.callers.attempts.peek().copied()
            && at_ms <= self.day_ms()
            && self.now_ms >= WARM_UP_MS
        {
            self.callers.attempts.pop();
            let job = &self.trace.jobs[index];
            let caller = CallerId(index as u64);
            self.owners[job.pool].submit(self.now_ms, caller, index, job);
        }
        while let Some(Reverse((at_ms, index))) = self.callers.cancellations.peek().copied()
            && at_ms <= self.day_ms()
        {
            self.callers.cancellations.pop();
            if self.outcome.jobs[index].is_none() {
                self.outcome.jobs[index] = Some(JobOutcome::Cancelled);
                self.owners[self.trace.jobs[index].pool].cancel(index);
            }
        }
    }

    /// Schedules the retries of callers that were rejected.
    fn note_replies(&mut self, pool: usize) {
        for (caller, reply) in std::mem::take(&mut self.owners[pool].replies) {
            let CallerReply::Rejected { retry_after_ms, .. } = reply else {
                continue;
            };
            let Ok(index) = usize::try_from(caller.0) else {
                continue;
            };
            let Some(job) = self.trace.jobs.get(index) else {
                continue;
            };
            self.outcome.rejected_attempts += 1;
            let day_ms = self.day_ms();
            let retries = self.description.callers.retries;
            if !self
                .callers
                .schedule_retry(job, index, day_ms, retry_after_ms, retries)
                && self.outcome.jobs[index].is_none()
            {
                self.outcome.jobs[index] = Some(JobOutcome::Rejected);
            }
        }
    }

    /// Notes the jobs that have completed.
    fn note_ends(&mut self, decisions: Vec<Decision>) {
        for decision in decisions {
            let Decision::JobFinal { job, state, .. } = decision else {
                continue;
            };
            let Some(index) = super::trace::index_of(&job) else {
                continue;
            };
            if state == JobState::Completed && self.outcome.jobs[index].is_none() {
                let job = &self.trace.jobs[index];
                let took_ms = self.day_ms().saturating_sub(job.at_ms);
                self.outcome.jobs[index] = Some(JobOutcome::of_completed(job, took_ms));
            }
        }
    }

    /// Returns for how long the store hasn't responded, in milliseconds; `None` while it does.
    fn store_down_ms(&self) -> Option<u64> {
        let at_s = self.day_ms() as f64 / 1_000.0;
        let outages = self.description.faults.iter().filter(|fault| {
            fault.kind == FaultKind::StoreDown
                && at_s >= fault.at_s
                && at_s < fault.at_s + fault.for_s
        });
        let durations = outages.map(|fault| ((at_s - fault.at_s) * 1_000.0) as u64);
        durations.max()
    }

    /// Makes machines fail and recover.
    fn apply_faults(&mut self) {
        let at_s = self.day_ms() as f64 / 1_000.0;
        let mut parts = FaultyParts::default();
        for fault in &self.description.faults {
            if at_s < fault.at_s || at_s >= fault.at_s + fault.for_s {
                continue;
            }
            match fault.kind {
                FaultKind::StoreDown => {}
                FaultKind::MachinesLost(part) => parts.lost = part,
                FaultKind::MachinesSlow(part) => parts.slow = part,
                FaultKind::MachinesFail(part) => parts.failing = part,
            }
        }
        self.machines
            .set_faults(self.now_ms, parts, &mut self.owners);
    }
}

/// Returns the index of each pool by its name.
fn pool_indices(description: &Description) -> BTreeMap<ServiceName, usize> {
    let names = description.pools.iter().enumerate();
    names
        .map(|(index, pool)| (ServiceName::from(pool.name.as_str()), index))
        .collect()
}

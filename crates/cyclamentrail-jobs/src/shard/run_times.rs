//! Learned run times of the shard's routes and workers: observations of finished and
//! interrupted runs, and the records of them.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use cyclamentrail_core::RouteName;
use slotmap::SparseSecondaryMap;

use super::{Commit, Now, Shard};
use crate::best_effort_share::FULL_SHARE_PERCENT;
use crate::effect::{EndKind, EndedRun};
use crate::job::{Placement, RunPhase, TaskKey};
use crate::record::KeyedRecord;
use crate::worker::WorkerKey;
use crate::{Pace, RUN_TIMES_PREFIX, RunTimes};

/// Shortest time between two records of a route, in milliseconds.
const STORE_INTERVAL_MS: u64 = 30_000;
/// Number of new observations from which a route's record is written again. What fewer tell is
/// learned again after a takeover.
const MIN_UNSTORED: u32 = 8;
/// [`FULL_SHARE_PERCENT`] as a factor of durations.
const FULL_PERCENT: u64 = FULL_SHARE_PERCENT as u64;

/// Learned run times of all routes and workers of a shard.
#[derive(Debug, Default)]
pub(super) struct LearnedTimes {
    routes: BTreeMap<RouteName, LearnedRoute>,
    /// Routes that aren't configured any more and whose records have to be deleted.
    removed: BTreeSet<RouteName>,
    /// Paces of the workers, in relation to what was expected of their tasks.
    workers: SparseSecondaryMap<WorkerKey, Pace>,
    /// Time of the last round.
    pub(super) last_round: Now,
    /// Lowest processor share in percent of each run that was slowed down.
    lowest_shares: HashMap<TaskKey, u32>,
}

/// Learned run times of a route, and when they were stored.
#[derive(Debug, Default)]
struct LearnedRoute {
    times: RunTimes,
    /// Time of the last record, as in [`Now::boot_ms`].
    stored_ms: u64,
    /// Number of observations since the last record.
    unstored: u32,
}

/// Duration of a task as a run shows it, exactly or as a lower bound.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Lasted {
    /// The task takes this time, in milliseconds.
    Exactly(u64),
    /// The task takes at least this time, in milliseconds.
    AtLeast(u64),
}

impl LearnedTimes {
    /// Keeps only the run times of configured routes.
    pub(super) fn keep_routes(&mut self, is_configured: impl Fn(&RouteName) -> bool) {
        let removed = &mut self.removed;
        removed.retain(|route| !is_configured(route));
        self.routes.retain(|route, _| {
            let is_kept = is_configured(route);
            if !is_kept {
                removed.insert(route.clone());
            }
            is_kept
        });
    }

    /// Adds the records that are due to a commit.
    pub(super) fn store_due(&mut self, now: Now, commit: &mut Commit) {
        for (route, learned) in &mut self.routes {
            let is_due = now.boot_ms >= learned.stored_ms + STORE_INTERVAL_MS;
            if learned.unstored >= MIN_UNSTORED && is_due {
                commit.records.push(learned.record(now, route));
            }
        }
        for route in std::mem::take(&mut self.removed) {
            commit.records.push(KeyedRecord {
                key: key_of(&route),
                value: Vec::new(),
            });
        }
    }

    /// Returns the pace of the usual worker: the median over the workers, not over the runs, of
    /// which a slow worker may have most.
    pub(super) fn usual_pace(&self) -> Pace {
        let mut paces: Vec<Pace> = self.workers.values().copied().collect();
        paces.sort_by(|left, right| left.factor().total_cmp(&right.factor()));
        let middle = paces.len().saturating_sub(1) / 2;
        paces.get(middle).copied().unwrap_or_default()
    }

    /// Returns by which factor runs take longer on a worker than on the usual one.
    pub(super) fn worker_factor(&self, worker: WorkerKey, usual: &Pace) -> f64 {
        let pace = self.workers.get(worker);
        pace.map_or(1.0, |pace| pace.factor_within(usual))
    }
}

impl LearnedRoute {
    fn record(&mut self, now: Now, route: &RouteName) -> KeyedRecord {
        self.stored_ms = now.boot_ms;
        self.unstored = 0;
        KeyedRecord {
            key: key_of(route),
            value: self.times.to_bytes(),
        }
    }

    fn observe(&mut self, declared_ms: u64, lasted: Lasted) {
        self.unstored = self.unstored.saturating_add(1);
        match lasted {
            Lasted::Exactly(actual_ms) => self.times.observe(declared_ms, actual_ms),
            Lasted::AtLeast(lasted_ms) => self.times.censor(declared_ms, lasted_ms),
        }
    }
}

impl Shard {
    /// Returns the learned run times of a route.
    #[must_use]
    pub fn run_times(&self, route: &RouteName) -> Option<&RunTimes> {
        Some(&self.learned.routes.get(route)?.times)
    }

    /// Returns the records of all run times that were learned since they were last stored, for the
    /// last commit of an owner that gives up its shard.
    pub fn run_times_records(&mut self, now: Now) -> Vec<KeyedRecord> {
        let routes = self.learned.routes.iter_mut();
        routes
            .filter(|(_, learned)| learned.unstored > 0)
            .map(|(route, learned)| learned.record(now, route))
            .collect()
    }

    /// Restores the run times of a route from their record; returns whether it was readable.
    pub(super) fn restore_run_times(&mut self, now: Now, route: &str, value: &[u8]) -> bool {
        if value.is_empty() {
            return true;
        }
        let Ok(times) = RunTimes::from_bytes(value) else {
            return false;
        };
        if self.timing.run_time_uses.any() {
            let learned = LearnedRoute {
                times,
                stored_ms: now.boot_ms,
                unstored: 0,
            };
            self.learned.routes.insert(RouteName::from(route), learned);
        }
        true
    }

    /// Learns from a run that ended by itself.
    pub(super) fn learn_end(&mut self, now: Now, key: TaskKey, ended_run: &EndedRun) {
        let Some(placement) = self.placement_of(key) else {
            return;
        };
        let RunPhase::Running { since_ms } = placement.phase else {
            return;
        };
        if placement.run != ended_run.id.run {
            return;
        }
        let lasted_ms = now.boot_ms.saturating_sub(since_ms);
        let is_whole = ended_run.end == EndKind::Done && self.ran_whole_task(key, placement);
        let lasted = if is_whole {
            Lasted::Exactly(lasted_ms)
        } else {
            Lasted::AtLeast(self.full_share_ms(key, lasted_ms))
        };
        self.learn(key, placement.worker, lasted);
        if let Lasted::Exactly(lasted_ms) = lasted {
            self.expectations.record_run(key, lasted_ms);
        }
        if ended_run.end == EndKind::Failed
            && let Some(learned) = self.learned_route_of(key)
        {
            learned.times.record_failure(true);
        }
    }

    /// Learns from a run that is stopped or was lost: it had lasted until its worker last reported.
    pub(super) fn learn_interrupted(&mut self, key: TaskKey) {
        let Some(placement) = self.placement_of(key) else {
            return;
        };
        let RunPhase::Running { since_ms } = placement.phase else {
            return;
        };
        let Some(worker) = self.workers.get(placement.worker) else {
            return;
        };
        // A poll that is answered without the run was sent after one that listed it.
        let seen_ms = worker.heard_ms.min(worker.poll_sent_ms);
        let lasted_ms = self.full_share_ms(key, seen_ms.saturating_sub(since_ms));
        self.learn(key, placement.worker, Lasted::AtLeast(lasted_ms));
    }

    /// Records that a run was given a processor share in percent.
    pub(super) fn learn_share(&mut self, key: TaskKey, percent: u32) {
        if !self.timing.run_time_uses.any() {
            return;
        }
        let lowest = self.learned.lowest_shares.entry(key).or_insert(percent);
        *lowest = percent.min(*lowest);
    }

    /// Drops what is only known of a run until its end.
    pub(super) fn forget_share(&mut self, key: TaskKey) {
        self.learned.lowest_shares.remove(&key);
    }

    fn learn(&mut self, key: TaskKey, worker: WorkerKey, lasted: Lasted) {
        let Some(step) = self.step_of(key) else {
            return;
        };
        let (declared_ms, is_long_running) = (step.estimate_ms, step.long_running);
        if is_long_running {
            return;
        }
        let Some(learned) = self.learned_route_of(key) else {
            return;
        };
        let usual_ms = learned.times.longest_of_ms(declared_ms, 1);
        let is_known = learned.times.is_known();
        learned.observe(declared_ms, lasted);
        if let (true, Lasted::Exactly(actual_ms)) = (is_known, lasted)
            && let Some(entry) = self.learned.workers.entry(worker)
        {
            entry.or_default().observe(actual_ms, usual_ms);
        }
    }

    /// Returns the run times of the route of a task, if it is configured and anything uses them.
    fn learned_route_of(&mut self, key: TaskKey) -> Option<&mut LearnedRoute> {
        if !self.timing.run_time_uses.any() {
            return None;
        }
        let route = &self.jobs.get(key.job)?.route;
        self.routes.configured(route)?;
        Some(self.learned.routes.entry(route.clone()).or_default())
    }

    /// Returns whether a run has done the whole task at its full speed, and its begin is known.
    fn ran_whole_task(&self, key: TaskKey, placement: Placement) -> bool {
        let may_have_resumed =
            placement.run > 1 && self.step_of(key).is_some_and(|step| step.checkpoints);
        let was_slowed = self.lowest_share(key) < FULL_PERCENT;
        !placement.may_start_late && !may_have_resumed && !was_slowed
    }

    /// Returns the lowest processor share that a run was given, in percent.
    fn lowest_share(&self, key: TaskKey) -> u64 {
        let lowest = self.learned.lowest_shares.get(&key);
        lowest.map_or(FULL_PERCENT, |&percent| u64::from(percent))
    }

    /// Returns how long a run has lasted at least at its full processor share.
    fn full_share_ms(&self, key: TaskKey, lasted_ms: u64) -> u64 {
        lasted_ms * self.lowest_share(key) / FULL_PERCENT
    }
}

fn key_of(route: &RouteName) -> String {
    format!("{RUN_TIMES_PREFIX}{route}")
}

//! Simulates the two baseline maintenance policies.

use std::collections::{BTreeMap, BTreeSet};

use cyclamentrail_core::{InstanceName, PoolName, Settings, load_settings};
use serde_json::Value;

use super::{DAY_MS, DRAIN_MS, MINUTE_MS, Outcome, REBOOT_MS, Trace, WAVE_START_MS};

/// Step of the simulation in milliseconds.
const STEP_MS: u64 = 2_000;
/// Time in milliseconds that an instance is observed after its reboot before it counts as working.
const WATCH_MS: u64 = 10_000;
/// Time in milliseconds after which a failed instance is replaced from a spare pool.
const REPLACE_AFTER_MS: u64 = 60_000;

/// A maintenance policy that the planner is compared with.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Baseline {
    /// Maintains one instance of the whole site at a time and moves no instance between pools.
    OneAtATime,
    /// Maintains a tenth of each pool at a time and fills a buffer of a fifth of each pool from the
    /// spare pools.
    FixedShare,
}

/// State of one simulated run of a baseline.
struct BaselineRun<'a> {
    settings: &'a Settings,
    baseline: Baseline,
    pool_of: BTreeMap<InstanceName, PoolName>,
    /// Instances promised by the contracts of each pool's services.
    promised: BTreeMap<PoolName, usize>,
    /// Size that [`Baseline::FixedShare`] holds in each pool.
    target_size: BTreeMap<PoolName, usize>,
    /// Instances whose maintenance hasn't started.
    pending: BTreeSet<InstanceName>,
    /// Instances in maintenance, with the virtual time at which they work again.
    maintained_until_ms: BTreeMap<InstanceName, u64>,
    /// Instances on a move, with the new pool and the virtual time at which the move ends.
    moving: BTreeMap<InstanceName, (PoolName, u64)>,
    dead_since_ms: BTreeMap<InstanceName, u64>,
    outcome: Outcome,
}

/// Simulates one maintenance wave over all instances for `days` virtual days.
///
/// # Panics
///
/// Panics when `document` isn't a valid settings document.
#[must_use]
pub fn run_baseline(document: &Value, trace: &Trace, baseline: Baseline, days: u64) -> Outcome {
    let settings = load_settings(document).expect("settings document is valid");
    let mut run = BaselineRun::new(&settings, baseline);
    let length_ms = days * DAY_MS;
    let mut at_ms = 0;
    while at_ms < length_ms {
        run.step(trace, at_ms);
        at_ms += STEP_MS;
    }
    run.outcome.buffer /= length_ms as f64;
    if run.outcome.roll_out_min == 0.0 {
        run.outcome.roll_out_min = f64::INFINITY;
    }
    run.outcome
}

impl<'a> BaselineRun<'a> {
    fn new(settings: &'a Settings, baseline: Baseline) -> Self {
        let mut promised: BTreeMap<PoolName, usize> = BTreeMap::new();
        for service in settings.services.values() {
            *promised.entry(service.pool.clone()).or_default() +=
                service.contract.promised_instances as usize;
        }
        let pools = settings.pools.iter();
        let listed = pools.flat_map(|(pool, listed)| {
            listed
                .instances
                .iter()
                .map(|name| (name.clone(), pool.clone()))
        });
        let pool_of: BTreeMap<InstanceName, PoolName> = listed.collect();
        let target_size = settings.pools.iter().map(|(name, pool)| {
            let size = pool.instances.len();
            let held = promised.get(name).copied().unwrap_or_default() + size.div_ceil(5);
            (name.clone(), held)
        });
        Self {
            settings,
            baseline,
            pending: pool_of.keys().cloned().collect(),
            target_size: target_size.collect(),
            pool_of,
            promised,
            maintained_until_ms: BTreeMap::new(),
            moving: BTreeMap::new(),
            dead_since_ms: BTreeMap::new(),
            outcome: Outcome::default(),
        }
    }

    fn step(&mut self, trace: &Trace, at_ms: u64) {
        let dead: BTreeSet<InstanceName> = trace.dead_at(at_ms).into_iter().cloned().collect();
        self.dead_since_ms.retain(|name, _| dead.contains(name));
        for name in &dead {
            self.dead_since_ms.entry(name.clone()).or_insert(at_ms);
        }
        self.maintained_until_ms
            .retain(|_, &mut back_ms| back_ms > at_ms);
        self.finish_moves(at_ms);
        if self.baseline == Baseline::FixedShare {
            self.adjust_pool_sizes(at_ms);
        }
        if at_ms >= WAVE_START_MS && self.outcome.roll_out_min == 0.0 {
            self.advance_wave(&dead, at_ms);
        }
        self.record_step(&dead);
    }

    fn finish_moves(&mut self, at_ms: u64) {
        let ended: Vec<(InstanceName, PoolName)> = self
            .moving
            .iter()
            .filter(|(_, (_, until_ms))| *until_ms <= at_ms)
            .map(|(name, (to, _))| (name.clone(), to.clone()))
            .collect();
        for (name, to) in ended {
            self.moving.remove(&name);
            self.pool_of.insert(name, to);
            self.outcome.moves += 1;
        }
    }

    /// Starts at most one move that brings a pool closer to its target size.
    ///
    /// Instances that have been dead for [`REPLACE_AFTER_MS`] don't count towards the size.
    fn adjust_pool_sizes(&mut self, at_ms: u64) {
        let sizes = self.sizes(at_ms);
        let spare = |pool: &PoolName| self.settings.pools[pool].spare;
        let size_of = |pool: &PoolName| sizes.get(pool).copied().unwrap_or_default();
        let short = self
            .target_size
            .iter()
            .find(|(pool, target_size)| !spare(pool) && size_of(pool) < **target_size);
        let over = self
            .target_size
            .iter()
            .find(|(pool, target_size)| !spare(pool) && size_of(pool) > **target_size);
        let surplus_spare = self
            .target_size
            .iter()
            .find(|(pool, target_size)| spare(pool) && size_of(pool) > **target_size);
        let spare_pool = self.settings.pools.keys().find(|pool| spare(pool));
        let step = match (short, surplus_spare, over, spare_pool) {
            (Some((to, _)), Some((from, _)), _, _) | (_, _, Some((from, _)), Some(to)) => {
                Some((from.clone(), to.clone()))
            }
            _ => None,
        };
        let Some((from, to)) = step else {
            return;
        };
        let free = self.pool_of.iter().find(|(name, pool)| {
            **pool == from
                && !self.dead_since_ms.contains_key(*name)
                && !self.maintained_until_ms.contains_key(*name)
                && !self.moving.contains_key(*name)
        });
        if let Some((name, _)) = free {
            self.moving.insert(name.clone(), (to, at_ms + DRAIN_MS));
        }
    }

    /// Returns the size of each pool, in which moving instances count for their new pool.
    fn sizes(&self, at_ms: u64) -> BTreeMap<PoolName, usize> {
        let mut sizes = BTreeMap::new();
        for (name, pool) in &self.pool_of {
            let dead_ms = self
                .dead_since_ms
                .get(name)
                .map_or(0, |since| at_ms - since);
            let pool = self.moving.get(name).map_or(pool, |(to, _)| to);
            if dead_ms < REPLACE_AFTER_MS {
                *sizes.entry(pool.clone()).or_default() += 1;
            }
        }
        sizes
    }

    /// Starts the maintenance of instances that the baseline permits and detects the end of the
    /// wave.
    fn advance_wave(&mut self, dead: &BTreeSet<InstanceName>, at_ms: u64) {
        let away_ms = DRAIN_MS + REBOOT_MS + WATCH_MS;
        let pending: Vec<InstanceName> = self.pending.iter().cloned().collect();
        let mut sizes: BTreeMap<&PoolName, usize> = BTreeMap::new();
        for pool in self.pool_of.values() {
            *sizes.entry(pool).or_default() += 1;
        }
        for name in pending {
            if dead.contains(&name) || self.moving.contains_key(&name) {
                continue;
            }
            let pool = &self.pool_of[&name];
            let in_pool = |other: &&InstanceName| &self.pool_of[*other] == pool;
            let full = match self.baseline {
                Baseline::OneAtATime => !self.maintained_until_ms.is_empty(),
                Baseline::FixedShare => {
                    self.maintained_until_ms.keys().filter(in_pool).count()
                        >= sizes[pool].div_ceil(10)
                }
            };
            if !full {
                self.pending.remove(&name);
                self.maintained_until_ms.insert(name, at_ms + away_ms);
                self.outcome.maintained += 1;
            }
        }
        if self.pending.is_empty() && self.maintained_until_ms.is_empty() {
            self.outcome.roll_out_min = (at_ms - WAVE_START_MS) as f64 / MINUTE_MS as f64;
        }
    }

    /// Adds the buffer and the missing instances of one step to the outcome.
    fn record_step(&mut self, dead: &BTreeSet<InstanceName>) {
        let mut working: BTreeMap<&PoolName, usize> = BTreeMap::new();
        for (name, pool) in &self.pool_of {
            let away = dead.contains(name)
                || self.maintained_until_ms.contains_key(name)
                || self.moving.contains_key(name);
            *working.entry(pool).or_default() += usize::from(!away);
        }
        let mut missing = 0;
        let mut extra = 0;
        for (pool, &count) in &working {
            let promised = self.promised.get(*pool).copied().unwrap_or_default();
            missing += promised.saturating_sub(count);
            let held = count.saturating_sub(promised);
            extra += match self.baseline {
                Baseline::OneAtATime => held,
                Baseline::FixedShare => held.min(self.target_size[*pool] - promised),
            };
        }
        let minutes = STEP_MS as f64 / MINUTE_MS as f64;
        self.outcome.buffer += extra as f64 * STEP_MS as f64;
        self.outcome.spent_instance_min += missing as f64 * minutes;
        if missing > 0 {
            self.outcome.broken_min += minutes;
        }
    }
}

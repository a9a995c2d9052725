//! Seeded random traces of instance and rack losses.

use std::collections::BTreeSet;

use cyclamentrail_core::{InstanceName, PoolName, Settings};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::{DAY_MS, MINUTE_MS};

/// Rates of the kinds of losses in a trace.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TraceShape {
    /// Instance failures per day in the whole site; each lasts 240 minutes.
    pub failures_per_day: f64,
    /// Instance restarts or replacements per day in the whole site; each lasts 2 minutes.
    pub restarts_per_day: f64,
    /// Rack losses per day in the whole site; each lasts 60 minutes.
    pub racks_per_day: f64,
}

/// Instances that are dead during one interval.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Loss {
    /// Virtual time in milliseconds at which the instances fail.
    pub from_ms: u64,
    /// Virtual time in milliseconds at which the instances work again.
    pub until_ms: u64,
    /// Names of the affected instances; never empty.
    pub instances: Vec<InstanceName>,
}

/// Losses of one run, ordered by start time.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Trace {
    /// Losses that take place.
    pub losses: Vec<Loss>,
    /// Losses that were drawn but dropped because a pool would have lost instances of a second rack
    /// at the same time, which is beyond the failures that the contracts cover.
    pub omitted: u64,
}

impl TraceShape {
    /// Returns the loss rates of an ordinary day for a site of `instances` instances.
    ///
    /// The rates are scaled from the design site's 12 failures and 85 restarts per day for 1,400
    /// instances; one rack is lost in 45 days at any size.
    #[must_use]
    pub fn ordinary_days(instances: usize) -> Self {
        let share = instances as f64 / 1_400.0;
        Self {
            failures_per_day: 12.0 * share,
            restarts_per_day: 85.0 * share,
            racks_per_day: 1.0 / 45.0,
        }
    }
}

impl Trace {
    /// Draws a trace of `days` days in which no pool has losses in two racks at once.
    #[must_use]
    pub fn draw(settings: &Settings, shape: TraceShape, days: u64, seed: u64) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut drawn = Vec::new();
        let racks = racks(settings);
        let singles: Vec<Vec<InstanceName>> = racks
            .iter()
            .flatten()
            .map(|name| vec![name.clone()])
            .collect();
        let kinds = [
            (shape.failures_per_day, 240 * MINUTE_MS, &singles),
            (shape.restarts_per_day, 2 * MINUTE_MS, &singles),
            (shape.racks_per_day, 60 * MINUTE_MS, &racks),
        ];
        for (per_day, lasts_ms, victims) in kinds {
            let count = (per_day * days as f64).ceil() as u64;
            for _ in 0..count {
                let from_ms = random.random_range(0..days * DAY_MS);
                let instances = victims[random.random_range(0..victims.len())].clone();
                drawn.push(Loss {
                    from_ms,
                    until_ms: from_ms + lasts_ms,
                    instances,
                });
            }
        }
        drawn.sort_by_key(|loss| loss.from_ms);
        Self::omit_second_domain(settings, drawn)
    }

    /// Drops each loss that overlaps a loss in another rack that affects a common pool.
    fn omit_second_domain(settings: &Settings, drawn: Vec<Loss>) -> Self {
        let mut trace = Self::default();
        let place = settings.instance_racks();
        let pools_of = |loss: &Loss| -> BTreeSet<PoolName> {
            let pools = settings.pools.iter();
            let hit = pools.filter(|(_, pool)| {
                loss.instances
                    .iter()
                    .any(|name| pool.instances.contains(name))
            });
            hit.map(|(name, _)| name.clone()).collect()
        };
        for loss in drawn {
            let pools = pools_of(&loss);
            let rack = place.get(&loss.instances[0]);
            let clashes = trace.losses.iter().any(|other| {
                other.until_ms > loss.from_ms
                    && place.get(&other.instances[0]) != rack
                    && !pools_of(other).is_disjoint(&pools)
            });
            if clashes {
                trace.omitted += 1;
            } else {
                trace.losses.push(loss);
            }
        }
        trace
    }

    /// Returns the instances that are dead at a virtual time in milliseconds.
    #[must_use]
    pub fn dead_at(&self, at_ms: u64) -> BTreeSet<&InstanceName> {
        let losses = self.losses.iter();
        let now = losses.filter(|loss| loss.from_ms <= at_ms && at_ms < loss.until_ms);
        now.flat_map(|loss| &loss.instances).collect()
    }
}

/// Returns the instances of each rack.
fn racks(settings: &Settings) -> Vec<Vec<InstanceName>> {
    let zones = settings.zones.values();
    zones
        .flat_map(|zone| zone.racks.values())
        .map(|rack| rack.iter().cloned().collect())
        .collect()
}

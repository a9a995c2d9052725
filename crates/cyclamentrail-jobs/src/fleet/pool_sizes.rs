//! Sizes of the pools, and how many of their machines are away.

use std::collections::HashMap;

use cyclamentrail_core::ServiceName;

use super::{FleetPlanner, FleetState};

/// Number of machines of one pool.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct PoolSize {
    total: usize,
    /// Machines that aren't up or are reserved.
    away: usize,
}

/// Sizes of all pools.
#[derive(Debug)]
pub(super) struct PoolSizes<'a> {
    sizes: HashMap<&'a ServiceName, PoolSize>,
    fleet: &'a FleetState,
}

impl<'a> PoolSizes<'a> {
    /// Counts the machines of all pools.
    pub(super) fn new(planner: &FleetPlanner, fleet: &'a FleetState) -> Self {
        let mut sizes: HashMap<&ServiceName, PoolSize> = HashMap::new();
        for machine in &fleet.machines {
            let size = sizes.entry(&machine.pool).or_default();
            size.total += 1;
            size.away += usize::from(!machine.is_up || planner.is_leaving(&machine.name));
        }
        Self { sizes, fleet }
    }

    /// Returns whether one more machine of a pool may be away, of which the part that `divisor` gives
    /// may be. At least one machine always stays, unless the pool has only one.
    pub(super) fn may_leave(&self, pool: &ServiceName, divisor: usize) -> bool {
        let size = self.sizes.get(pool).copied().unwrap_or_default();
        self.fleet.standby.contains(pool) || size.away < (size.total / divisor).max(1)
    }

    /// Returns the number of machines of a pool.
    pub(super) fn total(&self, pool: &ServiceName) -> usize {
        self.sizes.get(pool).map_or(0, |size| size.total)
    }

    /// Counts one more machine of a pool as away.
    pub(super) fn record_away(&mut self, pool: &ServiceName) {
        if let Some(size) = self.sizes.get_mut(pool) {
            size.away += 1;
        }
    }
}

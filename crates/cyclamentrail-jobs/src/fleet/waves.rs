//! Maintenance waves: selects the machines that go next.

use std::collections::{BTreeMap, HashSet};

use cyclamentrail_core::{InstanceName, ServiceName};

use super::{FleetIndex, FleetPlanner, FleetState, MachineStatus, PoolSizes, Purpose, Reservation};

/// Part of a wave's duration in which all of its machines should have begun, in percent.
const TARGET_TIME_PERCENT: u64 = 60;
/// Divisor of a pool's size that gives the number of its machines that may be away at once while
/// the wave is on time.
const POOL_DIVISOR: usize = 3;
/// Divisor of a pool's size that gives the number of its machines that may be away at once while
/// the wave is late.
const LATE_POOL_DIVISOR: usize = 2;

/// Number of a pool's machines for each of which one machine with long-running tasks may wait until
/// these have moved.
const MACHINES_PER_AWAITING: usize = 32;

/// A maintenance wave that operators requested.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MaintenanceWave {
    /// Number of the wave.
    pub number: u64,
    /// Machines that get maintenance.
    pub machines: Vec<InstanceName>,
    /// Time in which all machines should have had their maintenance, in milliseconds.
    pub duration_ms: u64,
    /// Most machines of the wave that are away at once.
    pub max_away: usize,
}

/// Number of further machines of each wave that may be away at once.
#[derive(Debug)]
pub(super) struct MaintenanceSlots {
    /// Free places by the number of the wave.
    free: BTreeMap<u64, usize>,
}

impl MaintenanceSlots {
    /// Takes a place for a machine and returns whether there was a free one. A move needs no
    /// place, and a machine with an earlier command already has one.
    pub(super) fn acquire(&mut self, reservation: &Reservation) -> bool {
        let Purpose::Maintain(wave) = reservation.purpose else {
            return true;
        };
        if reservation.was_commanded {
            return true;
        }
        let Some(free) = self.free.get_mut(&wave).filter(|free| **free > 0) else {
            return false;
        };
        *free -= 1;
        true
    }
}

impl FleetPlanner {
    /// Returns whether every machine of a wave that the platform still lists has had its
    /// maintenance.
    #[must_use]
    pub fn is_wave_complete(&self, wave: &MaintenanceWave, fleet: &FleetState) -> bool {
        self.remaining_machines(wave, fleet).is_empty() && !fleet.machines.is_empty()
    }

    /// Reserves the machines that are to have their maintenance next, for each wave.
    pub(super) fn plan_waves(&mut self, now_ms: u64, fleet: &FleetState, index: &FleetIndex<'_>) {
        for wave in &fleet.waves {
            let first_seen_ms = *self.wave_first_seen_ms.entry(wave.number).or_insert(now_ms);
            self.forget_unknown_machines(wave, index);
            self.plan_wave(now_ms, first_seen_ms, wave, fleet, index);
        }
    }

    /// Forgets the maintenance of machines that are neither in the wave nor listed any more, so that
    /// the record of the wave doesn't grow beyond the machines that there are.
    fn forget_unknown_machines(&mut self, wave: &MaintenanceWave, index: &FleetIndex<'_>) {
        let Some(maintained) = self.maintained_machines.get_mut(&wave.number) else {
            return;
        };
        let in_wave: HashSet<&InstanceName> = wave.machines.iter().collect();
        maintained.retain(|machine| in_wave.contains(machine) || index.machine(machine).is_some());
    }

    fn plan_wave(
        &mut self,
        now_ms: u64,
        first_seen_ms: u64,
        wave: &MaintenanceWave,
        fleet: &FleetState,
        index: &FleetIndex<'_>,
    ) {
        let mut remaining = self.remaining_machines(wave, fleet);
        let total = wave.machines.len();
        let elapsed_ms = now_ms.saturating_sub(first_seen_ms);
        let expected = expected_begun(total, elapsed_ms, wave.duration_ms);
        let begun = total - remaining.len() + self.reserved_for(wave);
        let is_behind = begun < expected;
        remaining.retain(|machine| self.is_available(now_ms, machine));
        remaining.sort_by_cached_key(|machine| task_counts(machine, index));
        let mut away = self.count_reserved_away(wave, index);
        let mut pool_sizes = PoolSizes::new(self, fleet);
        for machine in remaining {
            let (long_running, tasks) = task_counts(&machine, index);
            let divisor = if is_behind {
                LATE_POOL_DIVISOR
            } else {
                POOL_DIVISOR
            };
            let pool_allows = pool_sizes.may_leave(&machine.pool, divisor);
            let may_begin = if long_running > 0 {
                // Long-running tasks move one after the other, which takes long. The machine is
                // therefore reserved before there is a free place, but only few in each pool at a
                // time.
                let max_awaiting = pool_sizes.total(&machine.pool) / MACHINES_PER_AWAITING;
                pool_allows && self.count_awaiting_moves(&machine.pool) < max_awaiting.max(1)
            } else {
                pool_allows && away < wave.max_away && (tasks == 0 || is_behind)
            };
            if may_begin {
                away += usize::from(long_running == 0);
                pool_sizes.record_away(&machine.pool);
                self.reserve(now_ms, &machine, Purpose::Maintain(wave.number), index);
            }
        }
    }

    /// Returns how many machines of a pool are reserved for maintenance and wait until their tasks
    /// have moved.
    fn count_awaiting_moves(&self, pool: &ServiceName) -> usize {
        let is_awaiting = |reservation: &&Reservation| {
            reservation.pool == *pool
                && matches!(reservation.purpose, Purpose::Maintain(_))
                && reservation.min_tasks > 0
                && reservation.commanded_ms.is_none()
        };
        self.reservations.values().filter(is_awaiting).count()
    }

    /// Returns how many more machines of each wave may be away.
    pub(super) fn maintenance_slots(
        &self,
        fleet: &FleetState,
        index: &FleetIndex<'_>,
    ) -> MaintenanceSlots {
        let free = fleet.waves.iter().map(|wave| {
            let away = self.count_commanded(wave, index);
            (wave.number, wave.max_away.saturating_sub(away))
        });
        MaintenanceSlots {
            free: free.collect(),
        }
    }

    /// Returns the machines of a wave that the platform lists and that haven't had their
    /// maintenance.
    fn remaining_machines(&self, wave: &MaintenanceWave, fleet: &FleetState) -> Vec<MachineStatus> {
        let done = self.maintained_machines.get(&wave.number);
        let in_wave: HashSet<&InstanceName> = wave.machines.iter().collect();
        fleet
            .machines
            .iter()
            .filter(|machine| in_wave.contains(&machine.name))
            .filter(|machine| done.is_none_or(|done| !done.contains(&machine.name)))
            .cloned()
            .collect()
    }

    /// Returns the number of machines that are reserved for a wave and haven't had their
    /// maintenance.
    fn reserved_for(&self, wave: &MaintenanceWave) -> usize {
        let purpose = Purpose::Maintain(wave.number);
        self.reservations
            .values()
            .filter(|reservation| reservation.purpose == purpose && reservation.done_ms.is_none())
            .count()
    }

    /// Returns the number of machines of a wave that are away or have no tasks left, so that they
    /// leave next.
    fn count_reserved_away(&self, wave: &MaintenanceWave, index: &FleetIndex<'_>) -> usize {
        self.count_reserved_or_down(wave, index, |reservation| {
            reservation.was_commanded || reservation.min_tasks == 0
        })
    }

    /// Returns the number of machines of a wave that are away or have been sent a command.
    fn count_commanded(&self, wave: &MaintenanceWave, index: &FleetIndex<'_>) -> usize {
        self.count_reserved_or_down(wave, index, |reservation| reservation.was_commanded)
    }

    /// Returns the number of machines of a wave that are down or have a reservation that `counts`
    /// accepts.
    fn count_reserved_or_down(
        &self,
        wave: &MaintenanceWave,
        index: &FleetIndex<'_>,
        counts: impl Fn(&Reservation) -> bool,
    ) -> usize {
        let is_down =
            |name: &InstanceName| index.machine(name).is_some_and(|machine| !machine.is_up);
        wave.machines
            .iter()
            .filter(|name| self.reservations.get(*name).is_some_and(&counts) || is_down(name))
            .count()
    }
}

/// Returns the numbers of long-running tasks and of all tasks on a machine, by which its maintenance
/// is commanded.
fn task_counts(machine: &MachineStatus, index: &FleetIndex<'_>) -> (u32, u32) {
    index
        .task_counts(&machine.pool, machine.worker.as_ref())
        .map_or((0, 0), |counts| (counts.long_running_tasks, counts.tasks))
}

/// Returns how many of a wave's machines should have begun their maintenance by now.
fn expected_begun(total: usize, elapsed_ms: u64, duration_ms: u64) -> usize {
    let finish_ms = (duration_ms * TARGET_TIME_PERCENT / 100).max(1);
    let due = (total as u64 * elapsed_ms).div_ceil(finish_ms);
    usize::try_from(due).unwrap_or(total).min(total)
}

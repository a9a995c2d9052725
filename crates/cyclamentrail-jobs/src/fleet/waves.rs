//! Maintenance waves: which machine is next.

use std::collections::BTreeMap;

use cyclamentrail_core::{InstanceName, ServiceName};

use super::{FleetPlanner, FleetView, Leaving, MachineView, Purpose};

/// Part of a wave's time after which it is to be done, in percent.
const FINISH_PERCENT: u64 = 60;
/// Part of a pool that is away at once while the wave is on time, as a divisor.
const POOL_PART: usize = 3;
/// Part of a pool that is away at once while the wave is late, as a divisor.
const LATE_POOL_PART: usize = 2;

/// A wave that the operators ask for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WaveOrder {
    /// Its number.
    pub number: u64,
    /// Its machines.
    pub machines: Vec<InstanceName>,
    /// Time in which all should have had their maintenance, in milliseconds.
    pub duration_ms: u64,
    /// Most machines that are away at once.
    pub max_away: usize,
}

/// How many more machines of each wave may be away at once.
#[derive(Debug)]
pub(super) struct MaintenanceRoom {
    left: BTreeMap<u64, usize>,
}

impl MaintenanceRoom {
    /// Takes a place for a machine; returns whether there was one. Moves need none, and a machine
    /// that was ordered away before has one.
    pub(super) fn admit(&mut self, leaving: &Leaving) -> bool {
        let Purpose::Maintain(wave) = leaving.purpose else {
            return true;
        };
        if leaving.may_be_away {
            return true;
        }
        let Some(left) = self.left.get_mut(&wave).filter(|left| **left > 0) else {
            return false;
        };
        *left -= 1;
        true
    }
}

impl FleetPlanner {
    /// Returns whether each machine of a wave that is still listed had its maintenance.
    #[must_use]
    pub fn is_complete(&self, wave: &WaveOrder, view: &FleetView) -> bool {
        self.left(wave, view).is_empty() && !view.machines.is_empty()
    }

    pub(super) fn plan_waves(&mut self, now_ms: u64, view: &FleetView) {
        for wave in &view.waves {
            let seen_ms = *self.seen_ms.entry(wave.number).or_insert(now_ms);
            self.plan_wave(now_ms, seen_ms, wave, view);
        }
    }

    fn plan_wave(&mut self, now_ms: u64, seen_ms: u64, wave: &WaveOrder, view: &FleetView) {
        let mut left = self.left(wave, view);
        let total = wave.machines.len();
        let elapsed_ms = now_ms.saturating_sub(seen_ms);
        let should_be_done = due_by(total, elapsed_ms, wave.duration_ms);
        let begun = total - left.len() + self.taken_for(wave);
        let is_behind = begun < should_be_done;
        left.retain(|machine| self.is_free(now_ms, machine));
        left.sort_by_key(|machine| Self::reluctance(machine, view));
        let mut away = self.away_in(wave, view);
        for machine in left {
            let (long_running, tasks) = Self::reluctance(&machine, view);
            let part = if is_behind { LATE_POOL_PART } else { POOL_PART };
            let has_room = self.pool_has_room(&machine.pool, part, view);
            let begins = if long_running > 0 {
                // Its tasks move one after the other, so that it doesn't wait for its place among
                // those that are away, and one of a pool at a time does.
                has_room && !self.is_emptying(&machine.pool)
            } else {
                has_room && away < wave.max_away && (tasks == 0 || is_behind)
            };
            if begins {
                away += usize::from(long_running == 0);
                self.take(now_ms, &machine, Purpose::Maintain(wave.number), view);
            }
        }
    }

    /// Returns whether a machine of a pool waits for its long-running tasks to move.
    fn is_emptying(&self, pool: &ServiceName) -> bool {
        self.leaving.values().any(|leaving| {
            leaving.pool == *pool
                && matches!(leaving.purpose, Purpose::Maintain(_))
                && leaving.fewest_tasks > 0
                && leaving.ordered_ms.is_none()
        })
    }

    /// Returns how many more machines of each wave may be away.
    pub(super) fn maintenance_room(&self, view: &FleetView) -> MaintenanceRoom {
        let left = view.waves.iter().map(|wave| {
            let away = self.surely_away_in(wave, view);
            (wave.number, wave.max_away.saturating_sub(away))
        });
        MaintenanceRoom {
            left: left.collect(),
        }
    }

    /// Returns the machines of a wave that are listed and haven't had their maintenance.
    fn left(&self, wave: &WaveOrder, view: &FleetView) -> Vec<MachineView> {
        let done = self.maintained.get(&wave.number);
        view.machines
            .iter()
            .filter(|one| wave.machines.contains(&one.machine))
            .filter(|one| done.is_none_or(|done| !done.contains(&one.machine)))
            .cloned()
            .collect()
    }

    fn taken_for(&self, wave: &WaveOrder) -> usize {
        let purpose = Purpose::Maintain(wave.number);
        self.leaving
            .values()
            .filter(|leaving| leaving.purpose == purpose && leaving.done_ms.is_none())
            .count()
    }

    /// Returns how many machines of a wave are away, or will be as soon as they are empty.
    fn away_in(&self, wave: &WaveOrder, view: &FleetView) -> usize {
        self.count_away(wave, view, |leaving| {
            leaving.may_be_away || leaving.fewest_tasks == 0
        })
    }

    /// Returns how many machines of a wave are away, or were ordered to be.
    fn surely_away_in(&self, wave: &WaveOrder, view: &FleetView) -> usize {
        self.count_away(wave, view, |leaving| leaving.may_be_away)
    }

    fn count_away(
        &self,
        wave: &WaveOrder,
        view: &FleetView,
        counts: impl Fn(&Leaving) -> bool,
    ) -> usize {
        let is_down = |name: &InstanceName| {
            view.machines
                .iter()
                .any(|one| one.machine == *name && !one.is_up)
        };
        wave.machines
            .iter()
            .filter(|name| self.leaving.get(*name).is_some_and(&counts) || is_down(name))
            .count()
    }

    /// Returns whether one more machine of a pool may be away; at least one always stays, unless
    /// the pool has only one.
    fn pool_has_room(&self, pool: &ServiceName, part: usize, view: &FleetView) -> bool {
        if view.standby.contains(pool) {
            return true;
        }
        let machines = view.machines.iter().filter(|one| one.pool == *pool);
        let (mut all, mut away) = (0, 0);
        for machine in machines {
            all += 1;
            away += usize::from(!machine.is_up || self.leaving.contains_key(&machine.machine));
        }
        away < (all / part).max(1)
    }

    /// Returns what speaks against taking a machine now: its tasks.
    fn reluctance(machine: &MachineView, view: &FleetView) -> (u32, u32) {
        let loads: BTreeMap<_, _> = view
            .loads
            .get(&machine.pool)
            .into_iter()
            .flat_map(|load| &load.workers)
            .map(|load| (&load.worker, load))
            .collect();
        machine
            .worker
            .as_ref()
            .and_then(|worker| loads.get(worker))
            .map_or((0, 0), |load| (load.long_running, load.tasks))
    }
}

/// Returns how many machines should have begun by now.
fn due_by(total: usize, elapsed_ms: u64, duration_ms: u64) -> usize {
    let finish_ms = (duration_ms * FINISH_PERCENT / 100).max(1);
    let due = (total as u64 * elapsed_ms).div_ceil(finish_ms);
    usize::try_from(due).unwrap_or(total).min(total)
}

//! Carries out ordered moves: drains the instance, waits for a required boot, assigns the pool.

use super::super::{MoveOrder, MoveReason, WaveRecord};
use super::{ActionKey, InstanceObservation, WaveInput, WaveRunner};
use crate::capacity::Capacity;
use crate::fleet::{Instance, InstanceState};
use crate::name::InstanceName;
use crate::record::DrainReason;

impl WaveRunner {
    /// Requests the next action of each ordered move.
    pub(super) fn advance_moves(&mut self, input: &WaveInput<'_>, capacity: &mut Capacity<'_>) {
        for (name, order) in input.fleet.waves().moves() {
            let Some(instance) = input.fleet.instance(name) else {
                self.drop_move(input, name);
                continue;
            };
            match &instance.state {
                InstanceState::Serving => self.begin_move(input, name, instance, order, capacity),
                InstanceState::Draining { .. } => {}
                InstanceState::Drained { .. } => self.finish_move(input, name, instance, order),
            }
        }
    }

    /// Drains the instance of a move if the contracts allow it.
    ///
    /// A move that a contract forbids is dropped if the planner ordered it; an operator's move
    /// waits.
    fn begin_move(
        &mut self,
        input: &WaveInput<'_>,
        name: &InstanceName,
        instance: &Instance,
        order: &MoveOrder,
        capacity: &mut Capacity<'_>,
    ) {
        let is_known = capacity.settings().pools.contains_key(&order.to);
        if instance.pool == order.to || !is_known {
            self.drop_move(input, name);
            return;
        }
        match capacity.blocking_contract(name) {
            Some(_) if !matches!(order.reason, MoveReason::Operator { .. }) => {
                self.drop_move(input, name);
            }
            Some(_) => {}
            None => {
                capacity.remove_instance(name);
                self.drain(input, name, instance, DrainReason::Move);
            }
        }
    }

    /// Assigns a drained instance to its new pool, after the boots that an eviction made necessary.
    ///
    /// [`Instance::needs_boot`] describes which boots count.
    fn finish_move(
        &mut self,
        input: &WaveInput<'_>,
        name: &InstanceName,
        instance: &Instance,
        order: &MoveOrder,
    ) {
        let Some(observation) = input.observations.get(name) else {
            return;
        };
        if !instance.needs_boot {
            self.last_sent.remove(&ActionKey::Reboot(name.clone()));
            self.assign(input, name, instance, &order.to);
            return;
        }
        let is_fenced = instance.changed_ms < input.fleet.fenced_until_ms();
        let is_sufficient = match instance.boot_floor {
            Some(floor) => observation.boot > floor,
            None if is_fenced => observation.boot > instance.boot,
            None => observation.boot >= instance.boot,
        };
        if !is_sufficient {
            self.reboot(input, name);
        } else if InstanceObservation::is_healthy(observation) {
            self.last_sent.remove(&ActionKey::Reboot(name.clone()));
            self.record_boot(input, name, instance, observation.boot);
        }
    }

    /// Cancels a move whose drain hasn't begun.
    fn drop_move(&mut self, input: &WaveInput<'_>, name: &InstanceName) {
        let presumes = input.fleet.waves().duty_version();
        let record = WaveRecord::MoveDropped {
            presumes,
            instance: name.clone(),
        };
        self.send(input, ActionKey::DutyVersion(presumes), record.into());
    }
}

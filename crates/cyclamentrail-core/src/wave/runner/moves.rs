//! Carries ordered moves out.

use super::super::{MoveOrder, MoveReason, WaveRecord};
use super::{Seen, Subject, WaveInput, WaveRunner};
use crate::capacity::Capacity;
use crate::fleet::{Instance, InstanceState};
use crate::name::InstanceName;
use crate::record::DrainReason;

impl WaveRunner {
    pub(super) fn run_moves(&mut self, input: &WaveInput<'_>, capacity: &mut Capacity<'_>) {
        for (name, order) in input.fleet.waves().moves() {
            let Some(instance) = input.fleet.instance(name) else {
                self.drop_move(input, name);
                continue;
            };
            match &instance.state {
                InstanceState::Serving => self.begin_move(input, name, instance, order, capacity),
                InstanceState::Draining { .. } => {}
                InstanceState::Drained { .. } => self.end_move(input, name, instance, order),
            }
        }
    }

    fn begin_move(
        &mut self,
        input: &WaveInput<'_>,
        name: &InstanceName,
        instance: &Instance,
        order: &MoveOrder,
        capacity: &mut Capacity<'_>,
    ) {
        let known = capacity.settings().pools.contains_key(&order.to);
        if instance.pool == order.to || !known {
            self.drop_move(input, name);
            return;
        }
        match capacity.blocking_contract(name) {
            Some(_) if !matches!(order.reason, MoveReason::Operator { .. }) => {
                self.drop_move(input, name);
            }
            Some(_) => {}
            None => {
                capacity.take(name);
                self.drain(input, name, instance, DrainReason::Move);
            }
        }
    }

    fn end_move(
        &mut self,
        input: &WaveInput<'_>,
        name: &InstanceName,
        instance: &Instance,
        order: &MoveOrder,
    ) {
        let Some(seen) = input.seen.get(name) else {
            return;
        };
        if !instance.needs_boot {
            self.sent.remove(&Subject::Reboot(name.clone()));
            self.assign(input, name, instance, &order.to);
            return;
        }
        let is_fenced = instance.changed_ms < input.fleet.fenced_until_ms();
        let is_next = match instance.boot_floor {
            Some(floor) => seen.boot > floor,
            None if is_fenced => seen.boot > instance.boot,
            None => seen.boot >= instance.boot,
        };
        if !is_next {
            self.reboot(input, name);
        } else if Seen::is_well(seen) {
            self.sent.remove(&Subject::Reboot(name.clone()));
            self.note_boot(input, name, instance, seen.boot);
        }
    }

    fn drop_move(&mut self, input: &WaveInput<'_>, name: &InstanceName) {
        let presumes = input.fleet.waves().duty_version();
        let record = WaveRecord::MoveDropped {
            presumes,
            instance: name.clone(),
        };
        self.send(input, Subject::Step(presumes), record.into());
    }
}

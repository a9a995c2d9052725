//! Goes on with waves: takes batches, and follows each instance in hand until it is back.

use super::super::batch;
use super::super::{Advance, FailureKind, OpenStep, Wave, WaveRecord};
use super::{Mark, Seen, Subject, WaveInput, WaveRunner, instance_thing, limits, millis};
use crate::capacity::Capacity;
use crate::fleet::{Instance, InstanceState};
use crate::id::BootId;
use crate::name::InstanceName;
use crate::record::DrainReason;

impl WaveRunner {
    pub(super) fn run_waves(&mut self, input: &WaveInput<'_>, capacity: &mut Capacity<'_>) {
        for (name, wave) in input.fleet.waves().waves() {
            if wave.is_finished() {
                continue;
            }
            let mut advance = Advance::default();
            for (instance, &step) in &wave.open {
                self.follow(input, wave, instance, step, &mut advance);
            }
            if wave.is_running() {
                self.skip_gone(input, wave, &mut advance);
                self.take_batch(input, wave, capacity, &mut advance);
            }
            if advance.is_empty() {
                continue;
            }
            let presumes = input.fleet.waves().duty_version();
            let record = WaveRecord::Advanced {
                presumes,
                wave: name.clone(),
                advance,
            };
            self.send(input, Subject::Step(presumes), record.into());
        }
    }

    fn take_batch(
        &mut self,
        input: &WaveInput<'_>,
        wave: &Wave,
        capacity: &mut Capacity<'_>,
        advance: &mut Advance,
    ) {
        let waves = input.fleet.waves();
        let may_take = |name: &InstanceName| {
            let seen = input.seen.get(name).is_some_and(Seen::is_well);
            let serves = input
                .fleet
                .instance(name)
                .is_some_and(|instance| instance.state == InstanceState::Serving);
            seen && serves
                && !waves.moves().contains_key(name)
                && !advance.failed.contains_key(name)
        };
        let clock_ms = input.fleet.clock_ms();
        let batch = batch::choose(wave, waves, capacity, clock_ms, may_take);
        self.waits.extend(batch.blocked_pools);
        for name in batch.taken {
            if let Some(instance) = input.fleet.instance(&name) {
                self.taking.insert(instance.pool.clone());
            }
            if let Some(seen) = input.seen.get(&name) {
                advance.taken.insert(name, seen.boot);
            }
        }
    }

    /// Passes over pending instances that have been gone, or kept by a leave, for too long.
    fn skip_gone(&mut self, input: &WaveInput<'_>, wave: &Wave, advance: &mut Advance) {
        let timeout_ms = millis(limits(input.fleet).pass_over_after_ms);
        for name in &wave.pending {
            let is_well = input.seen.get(name).is_some_and(Seen::is_well);
            let known = input.fleet.instance(name).is_some();
            let gone_ms = self.held_ms(input, instance_thing(name), Mark::Away, !is_well);
            if !known || (!is_well && gone_ms >= timeout_ms) {
                advance.failed.insert(name.clone(), FailureKind::Gone);
            }
        }
    }

    fn follow(
        &mut self,
        input: &WaveInput<'_>,
        wave: &Wave,
        name: &InstanceName,
        step: OpenStep,
        advance: &mut Advance,
    ) {
        let Some(instance) = input.fleet.instance(name) else {
            advance.released.insert(name.clone());
            return;
        };
        match step {
            OpenStep::Taken { .. } => self.follow_taken(input, wave, name, instance, advance),
            OpenStep::Rebooting { boot } => {
                self.follow_reboot(input, name, instance, boot, advance);
            }
            OpenStep::Returned { .. } => self.follow_returned(input, name, advance),
        }
    }

    fn follow_taken(
        &mut self,
        input: &WaveInput<'_>,
        wave: &Wave,
        name: &InstanceName,
        instance: &Instance,
        advance: &mut Advance,
    ) {
        match &instance.state {
            _ if wave.is_cancelled() => {
                advance.released.insert(name.clone());
            }
            InstanceState::Serving => self.drain(input, name, instance, DrainReason::Wave),
            InstanceState::Draining { .. } => {}
            InstanceState::Drained { .. } => {
                advance.rebooting.insert(name.clone());
            }
        }
    }

    fn follow_reboot(
        &mut self,
        input: &WaveInput<'_>,
        name: &InstanceName,
        instance: &Instance,
        old: BootId,
        advance: &mut Advance,
    ) {
        let is_back = instance.state == InstanceState::Serving;
        let thing = instance_thing(name);
        let away_ms = self.held_ms(input, thing, Mark::Rebooting, !is_back);
        if is_back {
            self.sent.remove(&Subject::Reboot(name.clone()));
            advance.returned.insert(name.clone());
            return;
        }
        self.bring_back(input, name, instance, old);
        let is_well = input
            .seen
            .get(name)
            .is_some_and(|seen| seen.is_well() && seen.boot > old);
        if !is_well && away_ms >= millis(limits(input.fleet).return_timeout_ms) {
            self.held_ms(input, instance_thing(name), Mark::Rebooting, false);
            advance
                .failed
                .insert(name.clone(), FailureKind::DidNotReturn);
        }
    }

    fn follow_returned(
        &mut self,
        input: &WaveInput<'_>,
        name: &InstanceName,
        advance: &mut Advance,
    ) {
        let limits = limits(input.fleet);
        let is_well = input.seen.get(name).is_some_and(Seen::is_well);
        let thing = instance_thing(name);
        let well_ms = self.held_ms(input, thing.clone(), Mark::Well, is_well);
        let unwell_ms = self.held_ms(input, thing.clone(), Mark::Unfit, !is_well);
        if is_well && well_ms >= millis(limits.probation_ms) {
            self.held_ms(input, thing, Mark::Well, false);
            advance.done.insert(name.clone());
        } else if !is_well && unwell_ms >= millis(limits.lost_after_ms) {
            self.held_ms(input, thing, Mark::Unfit, false);
            advance
                .failed
                .insert(name.clone(), FailureKind::FailsAfterReturn);
        }
    }
}

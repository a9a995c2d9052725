//! Advances waves: takes batches of instances, and each instance in maintenance through drain,
//! reboot and probation.

use super::super::batch;
use super::super::{FailureKind, MaintenanceStep, Wave, WaveAdvance, WaveRecord};
use super::{
    ActionKey, Condition, InstanceObservation, WaveInput, WaveRunner, instance_target,
    maintenance_settings, millis,
};
use crate::capacity::Capacity;
use crate::fleet::{Instance, InstanceState};
use crate::id::BootId;
use crate::name::InstanceName;
use crate::record::DrainReason;

impl WaveRunner {
    /// Requests the next step of each unfinished wave.
    pub(super) fn advance_waves(&mut self, input: &WaveInput<'_>, capacity: &mut Capacity<'_>) {
        for (name, wave) in input.fleet.waves().waves() {
            if wave.is_finished() {
                continue;
            }
            let mut advance = WaveAdvance::default();
            for (instance, &step) in &wave.in_maintenance {
                self.advance_instance(input, wave, instance, step, &mut advance);
            }
            if wave.is_running() {
                self.skip_unavailable(input, wave, &mut advance);
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
            self.send(input, ActionKey::DutyVersion(presumes), record.into());
        }
    }

    /// Adds the pending instances that the contracts allow the wave to take now.
    fn take_batch(
        &mut self,
        input: &WaveInput<'_>,
        wave: &Wave,
        capacity: &mut Capacity<'_>,
        advance: &mut WaveAdvance,
    ) {
        let waves = input.fleet.waves();
        let may_take = |name: &InstanceName| {
            let is_healthy = input
                .observations
                .get(name)
                .is_some_and(InstanceObservation::is_healthy);
            let is_serving = input
                .fleet
                .instance(name)
                .is_some_and(|instance| instance.state == InstanceState::Serving);
            is_healthy
                && is_serving
                && !waves.moves().contains_key(name)
                && !advance.failed.contains_key(name)
        };
        let clock_ms = input.fleet.clock_ms();
        let batch = batch::choose(wave, waves, capacity, clock_ms, may_take);
        self.blocked_pools.extend(batch.blocked_pools);
        for name in batch.taken {
            if let Some(instance) = input.fleet.instance(&name) {
                self.pools_taken_from.insert(instance.pool.clone());
            }
            if let Some(observation) = input.observations.get(&name) {
                advance.taken.insert(name, observation.boot);
            }
        }
    }

    /// Skips pending instances that have been missing, failing or leaving for too long.
    fn skip_unavailable(&mut self, input: &WaveInput<'_>, wave: &Wave, advance: &mut WaveAdvance) {
        let timeout_ms = millis(maintenance_settings(input.fleet).pass_over_after_ms);
        for name in &wave.pending {
            let is_healthy = input
                .observations
                .get(name)
                .is_some_and(InstanceObservation::is_healthy);
            let is_known = input.fleet.instance(name).is_some();
            let unavailable_ms = self.condition_ms(
                input,
                instance_target(name),
                Condition::Unavailable,
                !is_healthy,
            );
            if !is_known || (!is_healthy && unavailable_ms >= timeout_ms) {
                advance
                    .failed
                    .insert(name.clone(), FailureKind::Unavailable);
            }
        }
    }

    /// Advances one instance in maintenance; one that the settings no longer list is released.
    fn advance_instance(
        &mut self,
        input: &WaveInput<'_>,
        wave: &Wave,
        name: &InstanceName,
        step: MaintenanceStep,
        advance: &mut WaveAdvance,
    ) {
        let Some(instance) = input.fleet.instance(name) else {
            advance.released.insert(name.clone());
            return;
        };
        match step {
            MaintenanceStep::Taken { .. } => {
                self.advance_taken(input, wave, name, instance, advance);
            }
            MaintenanceStep::Rebooting { boot } => {
                self.advance_rebooting(input, name, instance, boot, advance);
            }
            MaintenanceStep::Returned { .. } => self.advance_returned(input, name, advance),
        }
    }

    /// Begins the drain of a taken instance; once it has drained, lets it reboot.
    fn advance_taken(
        &mut self,
        input: &WaveInput<'_>,
        wave: &Wave,
        name: &InstanceName,
        instance: &Instance,
        advance: &mut WaveAdvance,
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

    /// Reboots an instance until it serves again, or fails it after the return timeout.
    fn advance_rebooting(
        &mut self,
        input: &WaveInput<'_>,
        name: &InstanceName,
        instance: &Instance,
        previous_boot: BootId,
        advance: &mut WaveAdvance,
    ) {
        let is_serving = instance.state == InstanceState::Serving;
        let target = instance_target(name);
        let rebooting_ms = self.condition_ms(input, target, Condition::Rebooting, !is_serving);
        if is_serving {
            self.last_sent.remove(&ActionKey::Reboot(name.clone()));
            advance.returned.insert(name.clone());
            return;
        }
        self.return_to_service(input, name, instance, previous_boot);
        let is_healthy = input.observations.get(name).is_some_and(|observation| {
            observation.is_healthy() && observation.boot > previous_boot
        });
        if !is_healthy
            && rebooting_ms >= millis(maintenance_settings(input.fleet).return_timeout_ms)
        {
            self.condition_ms(input, instance_target(name), Condition::Rebooting, false);
            advance
                .failed
                .insert(name.clone(), FailureKind::DidNotReturn);
        }
    }

    /// Completes or fails the probation of an instance that has returned from its reboot.
    fn advance_returned(
        &mut self,
        input: &WaveInput<'_>,
        name: &InstanceName,
        advance: &mut WaveAdvance,
    ) {
        let maintenance = maintenance_settings(input.fleet);
        let is_healthy = input
            .observations
            .get(name)
            .is_some_and(InstanceObservation::is_healthy);
        let target = instance_target(name);
        let healthy_ms = self.condition_ms(input, target.clone(), Condition::Healthy, is_healthy);
        let unhealthy_ms = self.condition_ms(
            input,
            target.clone(),
            Condition::UnhealthyAfterReturn,
            !is_healthy,
        );
        if is_healthy && healthy_ms >= millis(maintenance.probation_ms) {
            self.condition_ms(input, target, Condition::Healthy, false);
            advance.done.insert(name.clone());
        } else if !is_healthy && unhealthy_ms >= millis(maintenance.lost_after_ms) {
            self.condition_ms(input, target, Condition::UnhealthyAfterReturn, false);
            advance
                .failed
                .insert(name.clone(), FailureKind::FailsAfterReturn);
        }
    }
}

//! Decides the next steps of waves, moves and drains for the holder of the fleet duty.
//!
//! What the runner remembers between two steps only delays its actions and limits their
//! repetition. A new holder of the duty therefore starts with an empty runner and continues from
//! the agreed state.
//!
//! ```
//! use std::collections::BTreeMap;
//!
//! use cyclamentrail_core::{Fleet, WaveInput, WaveRunner};
//!
//! let (fleet, observations) = (Fleet::new(), BTreeMap::new());
//! let input = WaveInput { fleet: &fleet, observations: &observations, now_ms: 0 };
//! assert!(WaveRunner::default().step(&input).is_empty());
//! ```

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::{LossKind, WaveRecord};
use crate::capacity::{BlockingContract, Capacity};
use crate::fleet::{Fleet, Instance, InstanceState};
use crate::id::{BootId, Version};
use crate::name::{InstanceName, PoolName};
use crate::record::{DrainReason, RecordBody};
use crate::settings::MaintenanceSettings;

mod advance;
mod moves;
mod planner;

/// Time in milliseconds after which a record whose effect isn't folded yet is written again.
const RESEND_MS: u64 = 2_000;
/// Number of times that a reboot is requested within one return timeout.
const REBOOTS_PER_TIMEOUT: u64 = 4;

/// Observation of an instance on the platform's list and by its responses to work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InstanceObservation {
    /// Boot of the instance on the list.
    pub boot: BootId,
    /// Whether the list shows the instance as leaving.
    pub leaving: bool,
    /// Whether the instance doesn't respond or fails all its work.
    pub failing: bool,
}

/// Input of one step of the runner.
#[derive(Debug, Clone, Copy)]
pub struct WaveInput<'a> {
    /// Agreed state of the fleet.
    pub fleet: &'a Fleet,
    /// Instances on the platform's list; the runner does nothing while the list is empty.
    pub observations: &'a BTreeMap<InstanceName, InstanceObservation>,
    /// Clock of the duty's holder in milliseconds.
    pub now_ms: u64,
}

/// Action that the runner requests from its caller.
#[derive(Debug, Clone, PartialEq)]
pub enum WaveAction {
    /// Append a record to the log.
    Submit(RecordBody),
    /// Request a reboot of an instance from the platform.
    Reboot(InstanceName),
}

/// Advances waves and moves while its process holds the fleet duty.
#[derive(Debug, Default)]
pub struct WaveRunner {
    /// Time of the holder's clock at which each condition began to hold, in milliseconds.
    condition_since: BTreeMap<(ConditionTarget, Condition), u64>,
    /// Time of the holder's clock at which each action was last requested, in milliseconds.
    last_sent: BTreeMap<ActionKey, u64>,
    /// Contracts that kept waves from taking instances of a pool in the last step.
    blocked_pools: BTreeMap<PoolName, BlockingContract>,
    /// Pools that waves took instances of in the last step.
    pools_taken_from: BTreeSet<PoolName>,
    /// Pairs of need and instance that the planner has evaluated so far.
    planner_work: u64,
    actions: Vec<WaveAction>,
}

/// Instance or pool that a condition applies to.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum ConditionTarget {
    Instance(InstanceName),
    Pool(PoolName),
}

/// Condition whose duration decides on an action.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Condition {
    /// The instance is missing on the list or fails; it counts as lost after a time.
    Unhealthy,
    /// The instance works after its reboot; it passes its probation after a time.
    Healthy,
    /// The instance was drained for a reboot and doesn't serve yet; the reboot fails after a time.
    Rebooting,
    /// The pending instance is missing, failing or leaving; the wave skips it after a time.
    Unavailable,
    /// The instance doesn't work during its probation; it fails the probation after a time.
    UnhealthyAfterReturn,
    /// The pool couldn't keep its promise without its worst domain; it gets an instance after a
    /// time.
    ShortOfSlack,
    /// The pool has more instances than its contracts need; it returns them after a time.
    Surplus,
}

/// Identifies a requested action, so that it isn't requested again while its effect is awaited.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum ActionKey {
    /// Change of an instance at a version of the instance.
    Instance(InstanceName, Version),
    /// Step of the duty's holder at a [`Waves::duty_version`](super::Waves::duty_version); only one
    /// record that presumes the version can be accepted.
    DutyVersion(Version),
    Lost(InstanceName),
    LossEnded(InstanceName),
    Reboot(InstanceName),
}

impl InstanceObservation {
    /// Returns whether the instance works and isn't about to leave.
    #[must_use]
    pub const fn is_healthy(&self) -> bool {
        !self.leaving && !self.failing
    }
}

impl WaveRunner {
    /// Returns the actions to carry out now; none before the first settings are in force and none
    /// while the platform's list is empty.
    pub fn step(&mut self, input: &WaveInput<'_>) -> Vec<WaveAction> {
        self.actions.clear();
        self.blocked_pools.clear();
        self.pools_taken_from.clear();
        self.last_sent.retain(|key, &mut sent_ms| match key {
            ActionKey::Reboot(_) => true,
            _ => sent_ms + RESEND_MS > input.now_ms,
        });
        let Some(mut capacity) = input.fleet.capacity() else {
            return Vec::new();
        };
        if input.observations.is_empty() {
            return Vec::new();
        }
        self.report_losses(input);
        self.clear_unlisted_losses(input);
        self.exclude_maintained(input, &mut capacity);
        self.advance_waves(input, &mut capacity);
        self.advance_moves(input, &mut capacity);
        self.return_unclaimed(input);
        self.plan_moves(input, &capacity);
        std::mem::take(&mut self.actions)
    }

    /// Returns the contracts that kept waves from taking instances in the last step, by pool.
    #[must_use]
    pub const fn blocked_pools(&self) -> &BTreeMap<PoolName, BlockingContract> {
        &self.blocked_pools
    }

    /// Returns how many pairs of need and instance the planner has evaluated in total.
    #[must_use]
    pub const fn planner_work(&self) -> u64 {
        self.planner_work
    }

    /// Reports instances that haven't worked for too long as lost, and lost ones that work again.
    fn report_losses(&mut self, input: &WaveInput<'_>) {
        let maintenance = maintenance_settings(input.fleet);
        let lost_after_ms = millis(maintenance.lost_after_ms);
        for (name, instance) in input.fleet.instances() {
            let observation = input.observations.get(name);
            let is_unhealthy = observation.is_none_or(|observation| observation.failing);
            let is_lost = input.fleet.waves().lost_instances().contains_key(name);
            let is_serving = instance.state == InstanceState::Serving;
            let unhealthy_ms = self.condition_ms(
                input,
                instance_target(name),
                Condition::Unhealthy,
                is_unhealthy,
            );
            if is_unhealthy && is_serving && !is_lost && unhealthy_ms >= lost_after_ms {
                let kind = match observation {
                    Some(_) => LossKind::Failing,
                    None => LossKind::Unlisted,
                };
                let record = WaveRecord::Lost {
                    instance: name.clone(),
                    kind,
                };
                self.send(input, ActionKey::Lost(name.clone()), record.into());
            }
            if is_lost && !is_unhealthy {
                let record = WaveRecord::LossEnded {
                    instance: name.clone(),
                };
                self.send(input, ActionKey::LossEnded(name.clone()), record.into());
            }
        }
    }

    /// Removes instances that the settings no longer list from the lost ones.
    fn clear_unlisted_losses(&mut self, input: &WaveInput<'_>) {
        for name in input.fleet.waves().lost_instances().keys() {
            if input.fleet.instance(name).is_none() {
                let record = WaveRecord::LossEnded {
                    instance: name.clone(),
                };
                self.send(input, ActionKey::LossEnded(name.clone()), record.into());
            }
        }
    }

    /// Removes the instances in maintenance from the capacity, even if their drain hasn't begun.
    #[expect(
        clippy::unused_self,
        reason = "one step of the runner, like the others"
    )]
    fn exclude_maintained(&self, input: &WaveInput<'_>, capacity: &mut Capacity<'_>) {
        for (_, wave) in input.fleet.waves().waves() {
            for name in wave.in_maintenance.keys() {
                capacity.remove_instance(name);
            }
        }
    }

    /// Assigns drained instances to their pools if no wave maintains and no move needs them.
    ///
    /// An instance that failed in a wave is rebooted first.
    fn return_unclaimed(&mut self, input: &WaveInput<'_>) {
        let waves = input.fleet.waves();
        for (name, instance) in input.fleet.instances() {
            if !matches!(instance.state, InstanceState::Drained { .. }) {
                continue;
            }
            if waves.maintenance_step(name).is_some() || waves.moves().contains_key(name) {
                continue;
            }
            let failure = waves
                .last_failure(name)
                .filter(|_| is_drained_for_wave(instance));
            match failure {
                Some(failure) => self.return_to_service(input, name, instance, failure.boot),
                None => {
                    if input
                        .observations
                        .get(name)
                        .is_some_and(InstanceObservation::is_healthy)
                    {
                        self.assign(input, name, instance, &instance.pool);
                    }
                }
            }
        }
    }

    /// Reboots a drained instance until it works on a newer boot, then assigns it to its pool.
    fn return_to_service(
        &mut self,
        input: &WaveInput<'_>,
        name: &InstanceName,
        instance: &Instance,
        previous_boot: BootId,
    ) {
        let observation = input.observations.get(name);
        match observation.filter(|observation| observation.boot > previous_boot) {
            Some(observation) if observation.is_healthy() => {
                if observation.boot > instance.boot {
                    self.record_boot(input, name, instance, observation.boot);
                } else {
                    self.assign(input, name, instance, &instance.pool);
                }
            }
            Some(_) => {}
            None => self.reboot(input, name),
        }
    }

    fn record_boot(
        &mut self,
        input: &WaveInput<'_>,
        name: &InstanceName,
        instance: &Instance,
        boot: BootId,
    ) {
        let body = RecordBody::InstanceBooted {
            instance: name.clone(),
            presumes: instance.version,
            boot,
        };
        let key = ActionKey::Instance(name.clone(), instance.version);
        self.send(input, key, body);
    }

    fn assign(
        &mut self,
        input: &WaveInput<'_>,
        name: &InstanceName,
        instance: &Instance,
        pool: &PoolName,
    ) {
        let body = RecordBody::InstanceAssigned {
            instance: name.clone(),
            presumes: instance.version,
            pool: pool_or_home(input.fleet, name, pool),
        };
        let key = ActionKey::Instance(name.clone(), instance.version);
        self.send(input, key, body);
    }

    fn drain(
        &mut self,
        input: &WaveInput<'_>,
        name: &InstanceName,
        instance: &Instance,
        reason: DrainReason,
    ) {
        let body = RecordBody::DrainBegun {
            instance: name.clone(),
            presumes: instance.version,
            reason,
        };
        let key = ActionKey::Instance(name.clone(), instance.version);
        self.send(input, key, body);
    }

    /// Requests a reboot of an instance, at most [`REBOOTS_PER_TIMEOUT`] times in each return
    /// timeout.
    fn reboot(&mut self, input: &WaveInput<'_>, name: &InstanceName) {
        let timeout_ms = millis(maintenance_settings(input.fleet).return_timeout_ms);
        let key = ActionKey::Reboot(name.clone());
        let requested_ms = self.last_sent.get(&key).copied();
        let interval_ms = (timeout_ms / REBOOTS_PER_TIMEOUT).max(1);
        if requested_ms.is_some_and(|requested_ms| requested_ms + interval_ms > input.now_ms) {
            return;
        }
        self.last_sent.insert(key, input.now_ms);
        self.actions.push(WaveAction::Reboot(name.clone()));
    }

    /// Requests a record unless the same action was requested within [`RESEND_MS`].
    fn send(&mut self, input: &WaveInput<'_>, key: ActionKey, body: RecordBody) {
        if self.last_sent.contains_key(&key) {
            return;
        }
        self.last_sent.insert(key, input.now_ms);
        self.actions.push(WaveAction::Submit(body));
    }

    /// Returns for how many milliseconds a condition has held without a break; 0 if it doesn't
    /// hold now.
    fn condition_ms(
        &mut self,
        input: &WaveInput<'_>,
        target: ConditionTarget,
        condition: Condition,
        holds: bool,
    ) -> u64 {
        let key = (target, condition);
        if !holds {
            self.condition_since.remove(&key);
            return 0;
        }
        let since_ms = *self.condition_since.entry(key).or_insert(input.now_ms);
        input.now_ms.saturating_sub(since_ms)
    }
}

impl From<WaveRecord> for RecordBody {
    fn from(record: WaveRecord) -> Self {
        Self::Wave(record)
    }
}

fn instance_target(name: &InstanceName) -> ConditionTarget {
    ConditionTarget::Instance(name.clone())
}

/// Returns the maintenance settings in force, or the defaults before the first settings.
fn maintenance_settings(fleet: &Fleet) -> MaintenanceSettings {
    let accepted = fleet.settings();
    accepted.map_or_else(MaintenanceSettings::default, |accepted| {
        accepted.settings.maintenance.clone()
    })
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

const fn is_drained_for_wave(instance: &Instance) -> bool {
    matches!(
        instance.state,
        InstanceState::Drained {
            reason: DrainReason::Wave
        }
    )
}

/// Returns the given pool if the settings have it. Otherwise returns the pool under which the
/// settings list the instance, or the first spare pool.
fn pool_or_home(fleet: &Fleet, instance: &InstanceName, pool: &PoolName) -> PoolName {
    let Some(accepted) = fleet.settings() else {
        return pool.clone();
    };
    let pools = &accepted.settings.pools;
    if pools.contains_key(pool) {
        return pool.clone();
    }
    let home = pools
        .iter()
        .find(|(_, settings)| settings.instances.contains(instance));
    let spare = pools.iter().find(|(_, settings)| settings.spare);
    home.or(spare)
        .map_or_else(|| pool.clone(), |(name, _)| name.clone())
}

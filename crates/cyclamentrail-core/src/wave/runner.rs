//! Decides, as the holder of the fleet duty, what happens next to waves, moves and drains.
//!
//! What it remembers between two steps only paces it: a new holder starts with nothing and goes on
//! from the agreed state.
//!
//! ```
//! use std::collections::BTreeMap;
//!
//! use cyclamentrail_core::{Fleet, WaveInput, WaveRunner};
//!
//! let (fleet, seen) = (Fleet::new(), BTreeMap::new());
//! let input = WaveInput { fleet: &fleet, seen: &seen, now_ms: 0 };
//! assert!(WaveRunner::default().step(&input).is_empty());
//! ```

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::{LossKind, WaveRecord};
use crate::capacity::{Blocked, Capacity};
use crate::fleet::{Fleet, Instance, InstanceState};
use crate::id::{BootId, Version};
use crate::name::{InstanceName, PoolName};
use crate::record::{DrainReason, RecordBody};
use crate::settings::MaintenanceSettings;

mod advance;
mod moves;
mod planner;

/// Time in milliseconds after which a record that wasn't folded is written again.
const RESEND_MS: u64 = 2_000;
/// Reboots that are asked for within one return timeout.
const REBOOTS_PER_TIMEOUT: u64 = 4;

/// What is seen of an instance on the platform's list and by its work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Seen {
    /// Boot that the list shows.
    pub boot: BootId,
    /// Whether the list shows it as leaving.
    pub leaving: bool,
    /// Whether it doesn't answer or fails everything.
    pub failing: bool,
}

/// What the runner looks at.
#[derive(Debug, Clone, Copy)]
pub struct WaveInput<'a> {
    /// The agreed state.
    pub fleet: &'a Fleet,
    /// Instances on the platform's list; nothing is concluded from an empty one.
    pub seen: &'a BTreeMap<InstanceName, Seen>,
    /// The holder's clock in milliseconds.
    pub now_ms: u64,
}

/// An effect that the runner asks for.
#[derive(Debug, Clone, PartialEq)]
pub enum WaveAction {
    /// Append a record.
    Submit(RecordBody),
    /// Ask the platform to reboot an instance.
    Reboot(InstanceName),
}

/// Runs waves and moves while its process holds the duty.
#[derive(Debug, Default)]
pub struct WaveRunner {
    since: BTreeMap<(Thing, Mark), u64>,
    sent: BTreeMap<Subject, u64>,
    waits: BTreeMap<PoolName, Blocked>,
    taking: BTreeSet<PoolName>,
    planner_work: u64,
    actions: Vec<WaveAction>,
}

/// What a mark is on.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Thing {
    Instance(InstanceName),
    Pool(PoolName),
}

/// A condition whose duration is watched.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Mark {
    Unwell,
    Well,
    Rebooting,
    Away,
    Unfit,
    Short,
    Surplus,
}

/// What a record is about, so that it isn't written twice while its fold is awaited.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Subject {
    Instance(InstanceName, Version),
    Step(Version),
    Lost(InstanceName),
    Found(InstanceName),
    Reboot(InstanceName),
}

impl Seen {
    /// Returns whether it works and stays.
    #[must_use]
    pub const fn is_well(&self) -> bool {
        !self.leaving && !self.failing
    }
}

impl WaveRunner {
    /// Returns what to do now.
    pub fn step(&mut self, input: &WaveInput<'_>) -> Vec<WaveAction> {
        self.actions.clear();
        self.waits.clear();
        self.taking.clear();
        self.sent.retain(|subject, &mut sent_ms| match subject {
            Subject::Reboot(_) => true,
            _ => sent_ms + RESEND_MS > input.now_ms,
        });
        let Some(mut capacity) = input.fleet.capacity() else {
            return Vec::new();
        };
        if input.seen.is_empty() {
            return Vec::new();
        }
        self.observe(input);
        self.forget_unknown(input);
        self.take_open(input, &mut capacity);
        self.run_waves(input, &mut capacity);
        self.run_moves(input, &mut capacity);
        self.give_back_orphans(input);
        self.plan_moves(input, &capacity);
        std::mem::take(&mut self.actions)
    }

    /// Returns the contracts that keep a wave out of pools, as of the last step.
    #[must_use]
    pub const fn waits(&self) -> &BTreeMap<PoolName, Blocked> {
        &self.waits
    }

    /// Returns the pairs of need and instance that the planner weighed in all.
    #[must_use]
    pub const fn planner_work(&self) -> u64 {
        self.planner_work
    }

    fn observe(&mut self, input: &WaveInput<'_>) {
        let limits = limits(input.fleet);
        let lost_after_ms = millis(limits.lost_after_ms);
        for (name, instance) in input.fleet.instances() {
            let seen = input.seen.get(name);
            let unwell = seen.is_none_or(|seen| seen.failing);
            let is_lost = input.fleet.waves().lost_instances().contains_key(name);
            let serves = instance.state == InstanceState::Serving;
            let lost_ms = self.held_ms(input, instance_thing(name), Mark::Unwell, unwell);
            if unwell && serves && !is_lost && lost_ms >= lost_after_ms {
                let kind = match seen {
                    Some(_) => LossKind::Failing,
                    None => LossKind::Unlisted,
                };
                let record = WaveRecord::Lost {
                    instance: name.clone(),
                    kind,
                };
                self.send(input, Subject::Lost(name.clone()), record.into());
            }
            if is_lost && !unwell {
                let record = WaveRecord::Found {
                    instance: name.clone(),
                };
                self.send(input, Subject::Found(name.clone()), record.into());
            }
        }
    }

    /// Forgets lost instances that the settings no longer list.
    fn forget_unknown(&mut self, input: &WaveInput<'_>) {
        for name in input.fleet.waves().lost_instances().keys() {
            if input.fleet.instance(name).is_none() {
                let record = WaveRecord::Found {
                    instance: name.clone(),
                };
                self.send(input, Subject::Found(name.clone()), record.into());
            }
        }
    }

    /// Counts instances that are taken as out, even if their drain hasn't begun.
    #[expect(
        clippy::unused_self,
        reason = "one step of the runner, like the others"
    )]
    fn take_open(&self, input: &WaveInput<'_>, capacity: &mut Capacity<'_>) {
        for (_, wave) in input.fleet.waves().waves() {
            for name in wave.open.keys() {
                capacity.take(name);
            }
        }
    }

    /// Gives drained instances back that no wave and no move has in hand.
    fn give_back_orphans(&mut self, input: &WaveInput<'_>) {
        let waves = input.fleet.waves();
        for (name, instance) in input.fleet.instances() {
            if !matches!(instance.state, InstanceState::Drained { .. }) {
                continue;
            }
            if waves.open_step(name).is_some() || waves.moves().contains_key(name) {
                continue;
            }
            let failure = waves
                .last_failure(name)
                .filter(|_| is_drained_for_wave(instance));
            match failure {
                Some(failure) => self.bring_back(input, name, instance, failure.boot),
                None => {
                    if input.seen.get(name).is_some_and(Seen::is_well) {
                        self.assign(input, name, instance, &instance.pool);
                    }
                }
            }
        }
    }

    /// Reboots a drained instance until it is back with a new boot, then gives it to its pool.
    fn bring_back(
        &mut self,
        input: &WaveInput<'_>,
        name: &InstanceName,
        instance: &Instance,
        old: BootId,
    ) {
        let seen = input.seen.get(name);
        match seen.filter(|seen| seen.boot > old) {
            Some(seen) if seen.is_well() => {
                if seen.boot > instance.boot {
                    self.note_boot(input, name, instance, seen.boot);
                } else {
                    self.assign(input, name, instance, &instance.pool);
                }
            }
            Some(_) => {}
            None => self.reboot(input, name),
        }
    }

    fn note_boot(
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
        let subject = Subject::Instance(name.clone(), instance.version);
        self.send(input, subject, body);
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
            pool: known_pool(input.fleet, name, pool),
        };
        let subject = Subject::Instance(name.clone(), instance.version);
        self.send(input, subject, body);
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
        let subject = Subject::Instance(name.clone(), instance.version);
        self.send(input, subject, body);
    }

    fn reboot(&mut self, input: &WaveInput<'_>, name: &InstanceName) {
        let timeout_ms = millis(limits(input.fleet).return_timeout_ms);
        let subject = Subject::Reboot(name.clone());
        let asked_ms = self.sent.get(&subject).copied();
        let pause_ms = (timeout_ms / REBOOTS_PER_TIMEOUT).max(1);
        if asked_ms.is_some_and(|asked_ms| asked_ms + pause_ms > input.now_ms) {
            return;
        }
        self.sent.insert(subject, input.now_ms);
        self.actions.push(WaveAction::Reboot(name.clone()));
    }

    fn send(&mut self, input: &WaveInput<'_>, subject: Subject, body: RecordBody) {
        if self.sent.contains_key(&subject) {
            return;
        }
        self.sent.insert(subject, input.now_ms);
        self.actions.push(WaveAction::Submit(body));
    }

    /// Returns for how many milliseconds a condition has held; 0 when it doesn't.
    fn held_ms(&mut self, input: &WaveInput<'_>, thing: Thing, mark: Mark, holds: bool) -> u64 {
        let key = (thing, mark);
        if !holds {
            self.since.remove(&key);
            return 0;
        }
        let since_ms = *self.since.entry(key).or_insert(input.now_ms);
        input.now_ms.saturating_sub(since_ms)
    }
}

impl From<WaveRecord> for RecordBody {
    fn from(record: WaveRecord) -> Self {
        Self::Wave(record)
    }
}

fn instance_thing(name: &InstanceName) -> Thing {
    Thing::Instance(name.clone())
}

fn limits(fleet: &Fleet) -> MaintenanceSettings {
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

/// Returns the pool, or where the instance belongs when the settings no longer know the pool.
fn known_pool(fleet: &Fleet, instance: &InstanceName, pool: &PoolName) -> PoolName {
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

//! Folds records of drains, boots and pool assignments into the agreed state of instances.

use std::collections::BTreeSet;

use super::{Fleet, Instance, InstanceState, RejectionKind};
use crate::id::{BootId, Incarnation, Offset, Version};
use crate::name::{InstanceName, PoolName};
use crate::record::DrainReason;
use crate::settings::Settings;

impl Fleet {
    /// Rejects settings that remove a pool or an instance that is still in use.
    pub(super) fn check_removals(&self, settings: &Settings) -> Result<(), RejectionKind> {
        let listed = settings.pool_instances();
        for (name, instance) in self.instances() {
            let drained = matches!(instance.state, InstanceState::Drained { .. });
            if !listed.contains_key(name) {
                if drained {
                    continue;
                }
                return Err(RejectionKind::InstanceInUse {
                    instance: name.clone(),
                    pool: instance.pool.clone(),
                });
            }
            if !settings.pools.contains_key(&instance.pool) {
                return Err(RejectionKind::PoolInUse {
                    pool: instance.pool.clone(),
                    instance: name.clone(),
                });
            }
        }
        Ok(())
    }

    /// Adds the instances that the settings newly list and removes those no longer listed.
    pub(super) fn sync_instances(&mut self, settings: &Settings) {
        let listed = settings.pool_instances();
        let unlisted: Vec<InstanceName> = self
            .instances()
            .filter(|(name, _)| !listed.contains_key(name))
            .map(|(name, _)| name.clone())
            .collect();
        for name in unlisted {
            self.remove_instance(name);
        }
        for (name, pool) in listed {
            if self.instances.get(name).is_none() {
                self.add_instance(name.clone(), pool.clone());
            }
        }
    }

    fn remove_instance(&mut self, name: InstanceName) {
        let Some(instance) = self.instances.remove(&name) else {
            return;
        };
        self.removed_version = self.removed_version.max(instance.version);
        if instance.needs_boot {
            self.removed_unbooted.insert(name);
        }
    }

    fn add_instance(&mut self, name: InstanceName, pool: PoolName) {
        let instance = Instance {
            version: self.removed_version.next(),
            pool,
            boot: BootId::default(),
            state: InstanceState::Serving,
            needs_boot: self.removed_unbooted.remove(&name),
            boot_floor: None,
            changed_ms: self.clock_ms,
            drain_offset: Offset::default(),
        };
        self.instances.insert(name, instance);
    }

    pub(super) fn fold_drain(
        &mut self,
        offset: Offset,
        name: &InstanceName,
        presumes: Version,
        reason: &DrainReason,
    ) -> Result<(), RejectionKind> {
        let clock_ms = self.clock_ms;
        let awaiting: BTreeSet<Incarnation> =
            self.members().map(|(incarnation, _)| incarnation).collect();
        let instance = self.instance_at_version(name, presumes)?;
        if instance.state != InstanceState::Serving {
            return Err(instance.wrong_state("serving"));
        }
        instance.record_change(clock_ms);
        instance.drain_offset = offset;
        instance.state = InstanceState::Draining {
            reason: reason.clone(),
            drain: instance.version,
            awaiting,
        };
        Ok(())
    }

    pub(super) fn fold_release(
        &mut self,
        author: Incarnation,
        name: &InstanceName,
        released: Version,
    ) -> Result<(), RejectionKind> {
        let clock_ms = self.clock_ms;
        let instance = self.instance_mut(name)?;
        let drain_offset = instance.drain_offset;
        match &mut instance.state {
            InstanceState::Draining {
                drain, awaiting, ..
            } if *drain == released => {
                if !awaiting.remove(&author) {
                    return Err(RejectionKind::NotAwaited { author });
                }
                instance.finish_drain_if_released(clock_ms);
                self.record_folded_offset(author, drain_offset);
                Ok(())
            }
            _ => Err(instance.wrong_state("draining")),
        }
    }

    /// Folds a boot of an instance; [`Instance::needs_boot`] describes which boot clears that flag.
    pub(super) fn fold_boot(
        &mut self,
        name: &InstanceName,
        presumes: Version,
        boot: BootId,
    ) -> Result<(), RejectionKind> {
        let (clock_ms, fenced_until_ms) = (self.clock_ms, self.fenced_until_ms);
        let instance = self.instance_at_version(name, presumes)?;
        let sets_floor = instance.needs_boot
            && instance.boot_floor.is_none()
            && instance.changed_ms >= fenced_until_ms;
        let is_not_newer = boot <= instance.boot;
        if is_not_newer && !(sets_floor && boot == instance.boot) {
            return Err(instance.wrong_state("on a newer boot"));
        }
        if instance.boot_floor.is_some_and(|floor| boot > floor) {
            instance.needs_boot = false;
            instance.boot_floor = None;
        } else if sets_floor {
            instance.boot_floor = Some(boot);
        }
        instance.boot = boot;
        instance.record_change(clock_ms);
        Ok(())
    }

    pub(super) fn fold_assigned(
        &mut self,
        name: &InstanceName,
        presumes: Version,
        pool: &PoolName,
    ) -> Result<(), RejectionKind> {
        let pool_exists = self
            .settings
            .as_ref()
            .is_some_and(|accepted| accepted.settings.pools.contains_key(pool));
        if !pool_exists {
            return Err(RejectionKind::Unknown {
                what: format!("pool \"{pool}\""),
            });
        }
        let clock_ms = self.clock_ms;
        let is_fenced = clock_ms < self.fenced_until_ms;
        let instance = self.instance_at_version(name, presumes)?;
        if !matches!(instance.state, InstanceState::Drained { .. }) {
            return Err(instance.wrong_state("drained"));
        }
        if &instance.pool != pool && (instance.needs_boot || is_fenced) {
            return Err(
                instance.wrong_state("on a boot that began after the last eviction's fence")
            );
        }
        instance.record_change(clock_ms);
        instance.pool = pool.clone();
        instance.state = InstanceState::Serving;
        self.waves.handle_assignment(name, pool, clock_ms);
        Ok(())
    }

    fn instance_mut(&mut self, name: &InstanceName) -> Result<&mut Instance, RejectionKind> {
        self.instances
            .get_mut(name)
            .ok_or_else(|| RejectionKind::Unknown {
                what: format!("instance \"{name}\""),
            })
    }

    /// Returns an instance for a change; rejects a change that presumes another version.
    fn instance_at_version(
        &mut self,
        name: &InstanceName,
        presumes: Version,
    ) -> Result<&mut Instance, RejectionKind> {
        let instance = self.instance_mut(name)?;
        if instance.version != presumes {
            return Err(RejectionKind::OutdatedVersion {
                presumed: presumes,
                current: instance.version,
                winner: String::from("another change of the instance"),
            });
        }
        Ok(instance)
    }
}

impl Instance {
    /// Raises the version and sets the time of the last change.
    fn record_change(&mut self, clock_ms: u64) {
        self.version = self.version.next();
        self.changed_ms = clock_ms;
    }

    /// Stops waiting for a member that has left; the drain ends if that member was the last.
    pub(super) fn remove_awaited_member(&mut self, member: Incarnation, clock_ms: u64) {
        if let InstanceState::Draining { awaiting, .. } = &mut self.state {
            awaiting.remove(&member);
            self.finish_drain_if_released(clock_ms);
        }
    }

    fn finish_drain_if_released(&mut self, clock_ms: u64) {
        if let InstanceState::Draining {
            reason, awaiting, ..
        } = &self.state
            && awaiting.is_empty()
        {
            self.state = InstanceState::Drained {
                reason: reason.clone(),
            };
            self.record_change(clock_ms);
        }
    }

    fn wrong_state(&self, needed: &str) -> RejectionKind {
        let state = match &self.state {
            InstanceState::Serving => "serving",
            InstanceState::Draining { .. } => "draining",
            InstanceState::Drained { .. } => "drained",
        };
        RejectionKind::WrongState {
            state: String::from(state),
            needed: needed.to_owned(),
        }
    }
}

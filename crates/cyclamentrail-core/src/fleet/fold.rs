//! Folds log records into the fleet.

use std::collections::BTreeSet;
use std::sync::Arc;

use super::{
    AcceptedSettings, Duty, Fleet, FoldContext, Instance, InstanceState, Member, Rejection,
    RejectionKind,
};
use crate::id::{BootId, Incarnation, Offset, RecordId, Term, Version};
use crate::name::{InstanceName, PoolName};
use crate::permit::is_majority;
use crate::record::{DrainReason, LeaveReason, Record, RecordBody};
use crate::settings::{Settings, load_settings, merge_documents};

/// Dispatch leases for which an eviction keeps instances in their pools; the second one covers
/// clocks that run at different rates.
const FENCE_LEASES: u64 = 2;

/// What folding a record did.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Applied {
    /// The record took effect.
    Accepted,
    /// The record had no effect.
    Rejected(Rejection),
}

impl Fleet {
    /// Folds the record at the next offset; `appended_ms` is the log's time stamp on it.
    pub fn apply(&mut self, offset: Offset, appended_ms: u64, record: &Record) -> Applied {
        self.next_offset = offset.next();
        self.clock_ms = self.clock_ms.max(appended_ms);
        let result = self.fold(offset, record);
        if changes_capacity(record) {
            self.settle_accounts();
        }
        match result {
            Ok(()) => Applied::Accepted,
            Err(kind) => Applied::Rejected(Rejection {
                id: record.id,
                kind,
            }),
        }
    }

    fn settle_accounts(&mut self) {
        if let Some(accepted) = &self.settings {
            let settings = Arc::clone(&accepted.settings);
            self.waves
                .settle(self.clock_ms, &settings, self.instances.iter());
        }
    }

    /// Passes over a record that can't be decoded; every entry passes over it alike.
    pub fn skip(&mut self, offset: Offset, appended_ms: u64) {
        self.next_offset = offset.next();
        self.clock_ms = self.clock_ms.max(appended_ms);
    }

    /// Returns the newest record format that every member understands.
    #[must_use]
    pub fn agreed_format(&self) -> u16 {
        self.members()
            .map(|(_, member)| member.supports_format)
            .min()
            .unwrap_or(crate::record::FORMAT)
    }

    fn fold(&mut self, offset: Offset, record: &Record) -> Result<(), RejectionKind> {
        let author = record.id.author;
        if let Some(RecordBody::EntryJoined {
            entry,
            zone,
            peer_address,
            supports_format,
        }) = &record.body
        {
            if self.members.get(&author).is_some() {
                return Err(RejectionKind::Duplicate);
            }
            let member = Member {
                entry: entry.clone(),
                zone: zone.clone(),
                peer_address: *peer_address,
                supports_format: *supports_format,
                last_sequence: record.id.sequence,
            };
            self.members.insert(author, member);
            return Ok(());
        }
        self.check_author(record.id)?;
        let agreed = self.agreed_format();
        let Some(body) = record.body.as_ref().filter(|_| record.format <= agreed) else {
            return Err(RejectionKind::FormatTooNew {
                format: record.format,
                agreed,
            });
        };
        let settings = self
            .settings
            .as_ref()
            .map(|accepted| Arc::clone(&accepted.settings));
        let context = FoldContext {
            offset,
            clock_ms: self.clock_ms,
            author,
            settings: settings.as_deref(),
        };
        match body {
            RecordBody::EntryJoined { .. } => Err(RejectionKind::Duplicate),
            RecordBody::EntryLeft {
                incarnation,
                reason,
            } => self.fold_left(*incarnation, reason),
            RecordBody::SettingsChanged {
                presumes,
                patch,
                operator,
            } => self.fold_settings(offset, *presumes, patch, operator),
            RecordBody::DutyClaimed { presumes } => self.fold_duty(author, *presumes),
            RecordBody::DrainBegun {
                instance,
                presumes,
                reason,
            } => self.fold_drain(instance, *presumes, reason),
            RecordBody::DrainReleased { instance, drain } => {
                self.fold_release(author, instance, *drain)
            }
            RecordBody::InstanceBooted {
                instance,
                presumes,
                boot,
            } => self.fold_boot(instance, *presumes, *boot),
            RecordBody::Claim(record) => self.claims.fold(&context, record),
            RecordBody::Wave(record) => self.waves.fold(&context, record),
            RecordBody::Job(record) => self.jobs.fold(&context, record),
            RecordBody::InstanceAssigned {
                instance,
                presumes,
                pool,
            } => self.fold_assigned(instance, *presumes, pool),
        }
    }

    fn check_author(&mut self, id: RecordId) -> Result<(), RejectionKind> {
        let member = self
            .members
            .get_mut(&id.author)
            .ok_or(RejectionKind::NotMember { author: id.author })?;
        if id.sequence <= member.last_sequence {
            return Err(RejectionKind::Duplicate);
        }
        member.last_sequence = id.sequence;
        Ok(())
    }

    fn fold_left(&mut self, gone: Incarnation, reason: &LeaveReason) -> Result<(), RejectionKind> {
        if self.members.get(&gone).is_none() {
            return Err(RejectionKind::Unknown {
                what: format!("entry process {gone}"),
            });
        }
        if let LeaveReason::Evicted { witnesses } = reason {
            self.check_witnesses(gone, witnesses)?;
            self.fence();
        }
        self.members.remove(&gone);
        if self.duty.holder == Some(gone) {
            self.duty.holder = None;
        }
        for instance in self.instances.values_mut() {
            instance.member_left(gone);
        }
        Ok(())
    }

    fn check_witnesses(
        &self,
        gone: Incarnation,
        witnesses: &BTreeSet<Incarnation>,
    ) -> Result<(), RejectionKind> {
        let counted = witnesses
            .iter()
            .filter(|&&witness| witness != gone && self.members.get(&witness).is_some())
            .count();
        if is_majority(counted, self.members.len()) {
            Ok(())
        } else {
            Err(RejectionKind::TooFewWitnesses {
                witnesses: counted,
                members: self.members.len(),
            })
        }
    }

    fn fence(&mut self) {
        let lease_ms = self.settings.as_ref().map_or(0, |accepted| {
            let lease = accepted.settings.control.dispatch_lease_ms;
            u64::try_from(lease.as_millis()).unwrap_or(u64::MAX)
        });
        let fence_ms = lease_ms.saturating_mul(FENCE_LEASES);
        let until_ms = self.clock_ms.saturating_add(fence_ms);
        self.fenced_until_ms = self.fenced_until_ms.max(until_ms);
        for instance in self.instances.values_mut() {
            instance.needs_boot = true;
        }
    }

    fn fold_settings(
        &mut self,
        offset: Offset,
        presumes: Version,
        patch: &serde_json::Value,
        operator: &str,
    ) -> Result<(), RejectionKind> {
        let (current, winner, document) = match &self.settings {
            Some(accepted) => (
                accepted.version,
                accepted.operator.clone(),
                accepted.document.clone(),
            ),
            None => (Version::default(), String::new(), serde_json::Value::Null),
        };
        if presumes != current {
            return Err(RejectionKind::VersionPassed {
                presumed: presumes,
                current,
                winner,
            });
        }
        let document = merge_documents(document, patch);
        let settings =
            load_settings(&document).map_err(|error| RejectionKind::InvalidSettings {
                problem: error.to_string(),
            })?;
        self.add_instances(&settings);
        self.settings = Some(AcceptedSettings {
            version: current.next(),
            offset,
            operator: operator.to_owned(),
            document,
            settings: Arc::new(settings),
        });
        Ok(())
    }

    fn add_instances(&mut self, settings: &Settings) {
        for (pool, pool_settings) in &settings.pools {
            for name in &pool_settings.instances {
                if self.instances.get(name).is_none() {
                    let instance = Instance {
                        version: Version::new(1),
                        pool: pool.clone(),
                        boot: BootId::default(),
                        state: InstanceState::Serving,
                        needs_boot: false,
                    };
                    self.instances.insert(name.clone(), instance);
                }
            }
        }
    }

    fn fold_duty(&mut self, author: Incarnation, presumes: Term) -> Result<(), RejectionKind> {
        if presumes != self.duty.term {
            return Err(RejectionKind::TermPassed {
                presumed: presumes,
                current: self.duty.term,
            });
        }
        self.duty = Duty {
            term: presumes.next(),
            holder: Some(author),
        };
        Ok(())
    }

    fn fold_drain(
        &mut self,
        name: &InstanceName,
        presumes: Version,
        reason: &DrainReason,
    ) -> Result<(), RejectionKind> {
        let awaiting: BTreeSet<Incarnation> =
            self.members().map(|(incarnation, _)| incarnation).collect();
        let instance = self.changed_instance(name, presumes)?;
        if instance.state != InstanceState::Serving {
            return Err(instance.wrong_state("serving"));
        }
        instance.version = instance.version.next();
        instance.state = InstanceState::Draining {
            reason: reason.clone(),
            drain: instance.version,
            awaiting,
        };
        Ok(())
    }

    fn fold_release(
        &mut self,
        author: Incarnation,
        name: &InstanceName,
        released: Version,
    ) -> Result<(), RejectionKind> {
        let instance = self.known_instance(name)?;
        match &mut instance.state {
            InstanceState::Draining {
                drain, awaiting, ..
            } if *drain == released => {
                awaiting.remove(&author);
                instance.finish_drain();
                Ok(())
            }
            _ => Err(instance.wrong_state("draining")),
        }
    }

    fn fold_boot(
        &mut self,
        name: &InstanceName,
        presumes: Version,
        boot: BootId,
    ) -> Result<(), RejectionKind> {
        let (clock_ms, fenced_until_ms) = (self.clock_ms, self.fenced_until_ms);
        let instance = self.changed_instance(name, presumes)?;
        if boot <= instance.boot {
            return Err(instance.wrong_state("on a newer boot"));
        }
        instance.version = instance.version.next();
        instance.boot = boot;
        if clock_ms >= fenced_until_ms {
            instance.needs_boot = false;
        }
        Ok(())
    }

    fn fold_assigned(
        &mut self,
        name: &InstanceName,
        presumes: Version,
        pool: &PoolName,
    ) -> Result<(), RejectionKind> {
        let known = self
            .settings
            .as_ref()
            .is_some_and(|accepted| accepted.settings.pools.contains_key(pool));
        if !known {
            return Err(RejectionKind::Unknown {
                what: format!("pool \"{pool}\""),
            });
        }
        let fenced = self.clock_ms < self.fenced_until_ms;
        let instance = self.changed_instance(name, presumes)?;
        if !matches!(instance.state, InstanceState::Drained { .. }) {
            return Err(instance.wrong_state("drained"));
        }
        if &instance.pool != pool && (instance.needs_boot || fenced) {
            return Err(instance.wrong_state("booted anew"));
        }
        instance.version = instance.version.next();
        instance.pool = pool.clone();
        instance.state = InstanceState::Serving;
        self.waves.assigned(name, pool, self.clock_ms);
        Ok(())
    }

    fn known_instance(&mut self, name: &InstanceName) -> Result<&mut Instance, RejectionKind> {
        self.instances
            .get_mut(name)
            .ok_or_else(|| RejectionKind::Unknown {
                what: format!("instance \"{name}\""),
            })
    }

    fn changed_instance(
        &mut self,
        name: &InstanceName,
        presumes: Version,
    ) -> Result<&mut Instance, RejectionKind> {
        let instance = self.known_instance(name)?;
        if instance.version != presumes {
            return Err(RejectionKind::VersionPassed {
                presumed: presumes,
                current: instance.version,
                winner: String::from("another change of the instance"),
            });
        }
        Ok(instance)
    }
}

const fn changes_capacity(record: &Record) -> bool {
    !matches!(
        record.body,
        None | Some(RecordBody::Claim(_) | RecordBody::Job(_) | RecordBody::EntryJoined { .. })
    )
}

impl Instance {
    fn member_left(&mut self, gone: Incarnation) {
        if let InstanceState::Draining { awaiting, .. } = &mut self.state {
            awaiting.remove(&gone);
            self.finish_drain();
        }
    }

    fn finish_drain(&mut self) {
        if let InstanceState::Draining {
            reason, awaiting, ..
        } = &self.state
            && awaiting.is_empty()
        {
            self.state = InstanceState::Drained {
                reason: reason.clone(),
            };
            self.version = self.version.next();
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

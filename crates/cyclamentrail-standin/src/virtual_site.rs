//! A whole site in virtual time: the fold, the waves and machines that fail, in one thread.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use cyclamentrail_core::{
    BootId, EntryName, Fleet, FoldOutcome, Incarnation, InstanceName, InstanceObservation,
    InstanceState, RECORD_FORMAT, Record, RecordBody, RecordId, RejectionKind, Version, WaveAction,
    WaveControl, WaveInput, WaveName, WaveRecord, WaveRunner, ZoneName, encode_record,
};
use serde_json::Value;

/// What happens to a machine when it is rebooted.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum RebootFault {
    /// It comes back.
    #[default]
    None,
    /// It doesn't come back.
    NeverReturns,
    /// It comes back and fails everything.
    ReturnsBroken,
}

/// A machine of the virtual site.
#[expect(
    clippy::struct_excessive_bools,
    reason = "each is a fault that is switched on alone"
)]
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Machine {
    /// Its boot.
    pub boot: BootId,
    /// Whether it is dead.
    pub dead: bool,
    /// Whether the list leaves it out, dead or not.
    pub unlisted: bool,
    /// Whether it fails everything.
    pub failing: bool,
    /// Whether the list shows it as leaving.
    pub leaving: bool,
    /// What its next reboot does.
    pub reboot_fault: RebootFault,
    /// Reboots that were asked for and begun.
    pub reboots: u32,
    back_at_ms: Option<u64>,
}

/// What was counted.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Counts {
    /// Records appended.
    pub records: u64,
    /// Bytes of the records.
    pub bytes: u64,
    /// Milliseconds during which a promise was broken, over all pools.
    pub broken_ms: u64,
    /// Instance-milliseconds below the promises.
    pub missing_instance_ms: u64,
    /// Instance-milliseconds held beyond the promises, without what spare pools have free.
    pub buffer_instance_ms: u64,
    /// Times an instance was taken by each wave.
    pub taken: BTreeMap<(WaveName, InstanceName), u32>,
    /// Decisions that left a pool unable to lose its worst domain.
    pub beyond_contract: Vec<String>,
}

/// A site in virtual time.
#[derive(Debug)]
pub struct VirtualSite {
    /// The agreed state.
    pub fleet: Fleet,
    /// The machines.
    pub machines: BTreeMap<InstanceName, Machine>,
    /// Whether the log takes no records.
    pub log_down: bool,
    /// Whether nobody runs the duty.
    pub holder_paused: bool,
    /// Time that requests in flight take to end when an instance drains.
    pub drain_ms: u64,
    /// Time that a reboot takes.
    pub reboot_ms: u64,
    /// What was counted.
    pub counts: Counts,
    runner: WaveRunner,
    now_ms: u64,
    sequence: u64,
    drains: BTreeMap<InstanceName, (Version, u64)>,
}

const ENTRIES: u64 = 3;

impl VirtualSite {
    /// Creates a site with a settings document in force.
    ///
    /// # Panics
    ///
    /// Panics when the document is invalid.
    #[must_use]
    pub fn new(document: &Value) -> Self {
        let mut site = Self {
            fleet: Fleet::new(),
            machines: BTreeMap::new(),
            log_down: false,
            holder_paused: false,
            drain_ms: 5_000,
            reboot_ms: 240_000,
            counts: Counts::default(),
            runner: WaveRunner::default(),
            now_ms: 1_000,
            sequence: 0,
            drains: BTreeMap::new(),
        };
        for entry in 1..=ENTRIES {
            let body = RecordBody::EntryJoined {
                entry: EntryName::from(format!("e{entry}")),
                zone: ZoneName::from("a"),
                peer_address: SocketAddr::from(([127, 0, 0, 1], 1)),
                supports_format: RECORD_FORMAT,
            };
            site.append(entry, body).expect("an entry joins");
        }
        site.change_settings(document)
            .expect("the document is valid");
        let names: Vec<InstanceName> = site
            .fleet
            .instances()
            .map(|(name, _)| name.clone())
            .collect();
        for name in names {
            let machine = Machine {
                boot: BootId::new(1),
                ..Machine::default()
            };
            site.machines.insert(name, machine);
        }
        site
    }

    /// Returns the virtual time in milliseconds.
    #[must_use]
    pub const fn now_ms(&self) -> u64 {
        self.now_ms
    }

    /// Returns the duty's holder.
    #[must_use]
    pub const fn runner(&self) -> &WaveRunner {
        &self.runner
    }

    /// Appends a record by an entry and folds it.
    ///
    /// # Errors
    ///
    /// Returns why the fold rejected it.
    pub fn append(&mut self, entry: u64, body: RecordBody) -> Result<(), RejectionKind> {
        self.sequence += 1;
        let record = Record {
            format: RECORD_FORMAT,
            id: RecordId::new(Incarnation::new(entry), self.sequence),
            body: Some(body),
        };
        self.counts.records += 1;
        let bytes = encode_record(&record).map_or(0, |bytes| bytes.len());
        self.counts.bytes += bytes as u64;
        let offset = self.fleet.next_offset();
        match self.fleet.fold_record(offset, self.now_ms, &record) {
            FoldOutcome::Accepted => {
                self.check(&record);
                Ok(())
            }
            FoldOutcome::Rejected(rejection) => Err(rejection.kind),
        }
    }

    /// Changes the settings by a merge patch.
    ///
    /// # Errors
    ///
    /// Returns why the fold rejected it.
    pub fn change_settings(&mut self, patch: &Value) -> Result<(), RejectionKind> {
        let accepted = self.fleet.settings();
        let presumes = accepted.map_or_else(Version::default, |accepted| accepted.version);
        let body = RecordBody::SettingsChanged {
            presumes,
            patch: patch.clone(),
            operator: String::from("test"),
        };
        self.append(1, body)
    }

    /// Creates a wave over all instances.
    ///
    /// # Errors
    ///
    /// Returns why the fold rejected it.
    pub fn create_wave(&mut self, name: &str) -> Result<(), RejectionKind> {
        let record = WaveRecord::Created {
            presumes: self.fleet.waves().version(),
            wave: WaveName::from(name),
            instances: self.machines.keys().cloned().collect(),
            operator: String::from("test"),
        };
        self.append(2, record.into())
    }

    /// Pauses, resumes or cancels a wave.
    ///
    /// # Errors
    ///
    /// Returns why the fold rejected it.
    pub fn control(&mut self, name: &str, control: WaveControl) -> Result<(), RejectionKind> {
        let wave = WaveName::from(name);
        let known = self.fleet.waves().wave(&wave);
        let record = WaveRecord::Controlled {
            presumes: known.map_or_else(Version::default, |wave| wave.version),
            wave,
            control,
            operator: String::from("test"),
        };
        self.append(2, record.into())
    }

    /// Returns a machine for change.
    ///
    /// # Panics
    ///
    /// Panics when there is none of this name.
    pub fn machine(&mut self, name: &str) -> &mut Machine {
        self.machines.get_mut(name).expect("the machine exists")
    }

    /// Returns whether a wave has ended.
    #[must_use]
    pub fn has_ended(&self, name: &str) -> bool {
        let wave = self.fleet.waves().wave(&WaveName::from(name));
        wave.is_some_and(cyclamentrail_core::Wave::is_finished)
    }

    /// Drops what the holder of the duty remembers, as a change of holder does.
    pub fn change_holder(&mut self) {
        self.runner = WaveRunner::default();
    }

    /// Lets virtual time pass in steps, at most until `done` holds; returns whether it does.
    pub fn run_until(&mut self, most_ms: u64, step_ms: u64, done: impl Fn(&Self) -> bool) -> bool {
        let until_ms = self.now_ms + most_ms;
        while self.now_ms < until_ms {
            if done(self) {
                return true;
            }
            self.step(step_ms);
        }
        done(self)
    }

    /// Lets virtual time pass.
    pub fn step(&mut self, step_ms: u64) {
        self.now_ms += step_ms;
        self.count(step_ms);
        self.finish_reboots();
        if !self.log_down {
            self.release_drains();
            self.drain_leaving();
        }
        if self.holder_paused {
            return;
        }
        let observations = self.seen();
        let input = WaveInput {
            fleet: &self.fleet,
            observations: &observations,
            now_ms: self.now_ms,
        };
        for action in self.runner.step(&input) {
            match action {
                WaveAction::Reboot(name) => self.reboot(&name),
                WaveAction::Submit(body) if !self.log_down => drop(self.append(1, body)),
                WaveAction::Submit(_) => {}
            }
        }
    }

    /// Returns what the holder sees.
    #[must_use]
    pub fn seen(&self) -> BTreeMap<InstanceName, InstanceObservation> {
        let listed = self
            .machines
            .iter()
            .filter(|(_, machine)| !machine.unlisted && machine.back_at_ms.is_none());
        listed
            .map(|(name, machine)| {
                let observation = InstanceObservation {
                    boot: machine.boot,
                    leaving: machine.leaving,
                    failing: machine.failing || machine.dead,
                };
                (name.clone(), observation)
            })
            .collect()
    }

    fn reboot(&mut self, name: &InstanceName) {
        let back_at_ms = self.now_ms + self.reboot_ms;
        let Some(machine) = self.machines.get_mut(name) else {
            return;
        };
        if machine.back_at_ms.is_none() {
            machine.reboots += 1;
            machine.back_at_ms = Some(back_at_ms);
        }
    }

    fn finish_reboots(&mut self) {
        for machine in self.machines.values_mut() {
            let is_back = machine.back_at_ms.is_some_and(|back| back <= self.now_ms);
            if !is_back || machine.reboot_fault == RebootFault::NeverReturns {
                continue;
            }
            machine.back_at_ms = None;
            machine.boot = machine.boot.next();
            machine.failing = machine.reboot_fault == RebootFault::ReturnsBroken;
        }
    }

    fn release_drains(&mut self) {
        let mut due = Vec::new();
        for (name, instance) in self.fleet.instances() {
            let InstanceState::Draining {
                drain, awaiting, ..
            } = &instance.state
            else {
                self.drains.remove(name);
                continue;
            };
            let begun = self
                .drains
                .entry(name.clone())
                .or_insert((*drain, self.now_ms));
            if begun.1 + self.drain_ms <= self.now_ms {
                due.extend(
                    awaiting
                        .iter()
                        .map(|entry| (entry.get(), name.clone(), *drain)),
                );
            }
        }
        for (entry, instance, drain) in due {
            let body = RecordBody::DrainReleased { instance, drain };
            self.append(entry, body).expect("the drain is under way");
        }
    }

    fn drain_leaving(&mut self) {
        let leaving: Vec<RecordBody> = self
            .fleet
            .instances()
            .filter(|(name, instance)| {
                instance.state == InstanceState::Serving
                    && self
                        .machines
                        .get(*name)
                        .is_some_and(|machine| machine.leaving)
            })
            .map(|(name, instance)| RecordBody::DrainBegun {
                instance: name.clone(),
                presumes: instance.version,
                reason: cyclamentrail_core::DrainReason::Leaving,
            })
            .collect();
        for body in leaving {
            drop(self.append(1, body));
        }
    }

    fn count(&mut self, step_ms: u64) {
        let Some(settings) = self.fleet.settings() else {
            return;
        };
        let settings = std::sync::Arc::clone(&settings.settings);
        let is_dead = |name: &InstanceName| {
            self.machines
                .get(name)
                .is_none_or(|machine| machine.dead || machine.failing)
        };
        let capacity =
            cyclamentrail_core::Capacity::new(&settings, self.fleet.instances(), is_dead);
        let mut broken = false;
        for pool in capacity.pools().values() {
            let shortfall = u64::from(pool.shortfall());
            broken |= shortfall > 0;
            self.counts.missing_instance_ms += shortfall * step_ms;
            let extra = pool.available.saturating_sub(pool.promised);
            let reserved = if pool.spare { pool.reserve() } else { extra };
            self.counts.buffer_instance_ms += u64::from(reserved) * step_ms;
        }
        if broken {
            self.counts.broken_ms += step_ms;
        }
    }

    fn check(&mut self, record: &Record) {
        let taken: Vec<InstanceName> = match &record.body {
            Some(RecordBody::Wave(WaveRecord::Advanced { wave, advance, .. })) => {
                for name in advance.taken.keys() {
                    let key = (wave.clone(), name.clone());
                    *self.counts.taken.entry(key).or_default() += 1;
                }
                advance.taken.keys().cloned().collect()
            }
            _ => return,
        };
        let Some(mut capacity) = self.fleet.capacity() else {
            return;
        };
        let working = capacity.available().clone();
        for (_, wave) in self.fleet.waves().waves() {
            for name in wave.in_maintenance.keys() {
                capacity.remove_instance(name);
            }
        }
        for pool in taken.iter().filter_map(|name| working.get(name)) {
            let slack = capacity
                .pool(pool)
                .map_or(0, cyclamentrail_core::PoolCapacity::slack);
            let promised = capacity.pool(pool).map_or(0, |held| held.promised);
            if promised > 0 && slack < 0 {
                self.counts
                    .beyond_contract
                    .push(format!("pool {pool} has slack {slack}"));
            }
        }
    }
}

//! A simulated site in virtual time: the fold, the runner of reboot waves, and machines with faults.
//!
//! Everything runs in one thread, and time passes only in [`VirtualSite::step`].

use std::collections::BTreeMap;
use std::net::SocketAddr;

use cyclamentrail_core::{
    BootId, EntryName, Fleet, FoldOutcome, Incarnation, InstanceName, InstanceObservation,
    InstanceState, RECORD_FORMAT, Record, RecordBody, RecordId, RejectionKind, Version, WaveAction,
    WaveControl, WaveInput, WaveName, WaveRecord, WaveRunner, ZoneName, encode_record,
};
use serde_json::Value;

/// Result of a machine's reboots.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum RebootFault {
    /// The machine returns in working order.
    #[default]
    None,
    /// The machine stays off the instance list while the fault is set.
    NeverReturns,
    /// The machine returns but is reported as failing.
    ReturnsBroken,
}

/// A machine of the virtual site.
#[expect(
    clippy::struct_excessive_bools,
    reason = "each is an independent fault"
)]
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Machine {
    /// Current boot; it changes with each completed reboot.
    pub boot: BootId,
    /// Whether the machine is dead; a dead machine is listed and reported as failing.
    pub dead: bool,
    /// Whether the instance list omits the machine, regardless of `dead`.
    pub unlisted: bool,
    /// Whether the machine is reported as failing.
    pub failing: bool,
    /// Whether the instance list shows the machine as leaving.
    pub leaving: bool,
    /// Result of each reboot of the machine, until changed.
    pub reboot_fault: RebootFault,
    /// Number of reboots started; a request during a reboot isn't counted.
    pub reboots: u32,
    /// Virtual time at which the reboot in progress ends, in milliseconds.
    returns_at_ms: Option<u64>,
}

/// Measurements of a simulation.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Counts {
    /// Number of appended records, rejected ones included.
    pub records: u64,
    /// Total encoded size of the appended records in bytes.
    pub bytes: u64,
    /// Milliseconds during which at least one pool had fewer instances than promised.
    pub broken_ms: u64,
    /// Instances missing from the promised numbers, integrated over time in instance-milliseconds.
    pub missing_instance_ms: u64,
    /// Instances beyond the promised numbers, integrated over time in instance-milliseconds.
    ///
    /// A spare pool contributes only its reserve, without its free instances.
    pub buffer_instance_ms: u64,
    /// Number of times that each wave took each instance.
    pub take_counts: BTreeMap<(WaveName, InstanceName), u32>,
    /// Violations: wave decisions that left a pool with a promise unable to lose its worst domain.
    pub contract_violations: Vec<String>,
}

/// A simulated site in virtual time.
#[derive(Debug)]
pub struct VirtualSite {
    /// State that results from folding all appended records.
    pub fleet: Fleet,
    /// Machines by instance name.
    pub machines: BTreeMap<InstanceName, Machine>,
    /// Whether the log is down: drains neither begin nor end, and records of the wave runner are lost.
    pub log_down: bool,
    /// Whether the holder of the wave duty is paused.
    pub holder_paused: bool,
    /// Time in milliseconds from the start of a drain until no requests are in flight.
    pub drain_ms: u64,
    /// Duration of a reboot in milliseconds.
    pub reboot_ms: u64,
    /// Measurements so far.
    pub counts: Counts,
    runner: WaveRunner,
    now_ms: u64,
    sequence: u64,
    /// Drain and its start time in milliseconds, by draining instance.
    drain_starts: BTreeMap<InstanceName, (Version, u64)>,
}

/// Number of entries that join the site at its start.
const ENTRY_COUNT: u64 = 3;

impl VirtualSite {
    /// Creates a site whose settings are `document`, with one machine per instance.
    ///
    /// # Panics
    ///
    /// Panics if the fold rejects the document.
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
            drain_starts: BTreeMap::new(),
        };
        for entry in 1..=ENTRY_COUNT {
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

    /// Returns the wave runner of the duty's current holder.
    #[must_use]
    pub const fn runner(&self) -> &WaveRunner {
        &self.runner
    }

    /// Appends a record in the name of entry number `entry` and folds the record.
    ///
    /// # Errors
    ///
    /// Returns the reason for which the fold rejected the record.
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
                self.check_contract(&record);
                Ok(())
            }
            FoldOutcome::Rejected(rejection) => Err(rejection.kind),
        }
    }

    /// Applies a JSON merge patch to the settings.
    ///
    /// # Errors
    ///
    /// Returns the reason for which the fold rejected the patch.
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

    /// Creates a wave that reboots all instances.
    ///
    /// # Errors
    ///
    /// Returns the reason for which the fold rejected the wave.
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
    /// Returns the reason for which the fold rejected the change.
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

    /// Returns mutable access to a machine.
    ///
    /// # Panics
    ///
    /// Panics if no machine has this name.
    pub fn machine(&mut self, name: &str) -> &mut Machine {
        self.machines.get_mut(name).expect("the machine exists")
    }

    /// Returns whether a wave is finished; false if the wave is unknown.
    #[must_use]
    pub fn has_ended(&self, name: &str) -> bool {
        let wave = self.fleet.waves().wave(&WaveName::from(name));
        wave.is_some_and(cyclamentrail_core::Wave::is_finished)
    }

    /// Hands the wave duty to a new holder, whose runner starts without in-memory state.
    pub fn change_holder(&mut self) {
        self.runner = WaveRunner::default();
    }

    /// Advances virtual time in steps of `step_ms` until `done` returns true.
    ///
    /// Gives up after `max_ms` and returns the last result of `done`.
    pub fn run_until(&mut self, max_ms: u64, step_ms: u64, done: impl Fn(&Self) -> bool) -> bool {
        let end_ms = self.now_ms + max_ms;
        while self.now_ms < end_ms {
            if done(self) {
                return true;
            }
            self.step(step_ms);
        }
        done(self)
    }

    /// Advances virtual time by `step_ms`: updates the machines and drains, then steps the wave runner.
    pub fn step(&mut self, step_ms: u64) {
        self.now_ms += step_ms;
        self.measure_capacity(step_ms);
        self.finish_reboots();
        if !self.log_down {
            self.release_drains();
            self.begin_leaving_drains();
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

    /// Returns the listed machines as the holder of the wave duty sees them.
    ///
    /// Rebooting and unlisted machines are omitted.
    #[must_use]
    pub fn seen(&self) -> BTreeMap<InstanceName, InstanceObservation> {
        let listed = self
            .machines
            .iter()
            .filter(|(_, machine)| !machine.unlisted && machine.returns_at_ms.is_none());
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

    /// Starts a reboot unless one is in progress.
    fn reboot(&mut self, name: &InstanceName) {
        let returns_at_ms = self.now_ms + self.reboot_ms;
        let Some(machine) = self.machines.get_mut(name) else {
            return;
        };
        if machine.returns_at_ms.is_none() {
            machine.reboots += 1;
            machine.returns_at_ms = Some(returns_at_ms);
        }
    }

    /// Puts the machines whose reboot is over back on the list, with a new boot.
    fn finish_reboots(&mut self) {
        for machine in self.machines.values_mut() {
            let has_returned = machine
                .returns_at_ms
                .is_some_and(|returns_at_ms| returns_at_ms <= self.now_ms);
            if !has_returned || machine.reboot_fault == RebootFault::NeverReturns {
                continue;
            }
            machine.returns_at_ms = None;
            machine.boot = machine.boot.next();
            machine.failing = machine.reboot_fault == RebootFault::ReturnsBroken;
        }
    }

    /// Appends the releases of all awaited entries for drains older than `drain_ms`.
    fn release_drains(&mut self) {
        let mut releases = Vec::new();
        for (name, instance) in self.fleet.instances() {
            let InstanceState::Draining {
                drain, awaiting, ..
            } = &instance.state
            else {
                self.drain_starts.remove(name);
                continue;
            };
            let drain_start = self
                .drain_starts
                .entry(name.clone())
                .or_insert((*drain, self.now_ms));
            if drain_start.1 + self.drain_ms <= self.now_ms {
                releases.extend(
                    awaiting
                        .iter()
                        .map(|entry| (entry.get(), name.clone(), *drain)),
                );
            }
        }
        for (entry, instance, drain) in releases {
            let body = RecordBody::DrainReleased { instance, drain };
            self.append(entry, body).expect("the drain is in progress");
        }
    }

    /// Begins the drain of each serving instance that the list shows as leaving.
    fn begin_leaving_drains(&mut self) {
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

    /// Adds the pools' missing and surplus instances during `step_ms` to the measurements.
    fn measure_capacity(&mut self, step_ms: u64) {
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
        let mut is_promise_broken = false;
        for pool in capacity.pools().values() {
            let shortfall = u64::from(pool.shortfall());
            is_promise_broken |= shortfall > 0;
            self.counts.missing_instance_ms += shortfall * step_ms;
            let extra = pool.available.saturating_sub(pool.promised);
            let reserved = if pool.spare { pool.reserve() } else { extra };
            self.counts.buffer_instance_ms += u64::from(reserved) * step_ms;
        }
        if is_promise_broken {
            self.counts.broken_ms += step_ms;
        }
    }

    /// Records a violation for each pool that a wave's decision left unable to lose its worst domain.
    fn check_contract(&mut self, record: &Record) {
        let taken: Vec<InstanceName> = match &record.body {
            Some(RecordBody::Wave(WaveRecord::Advanced { wave, advance, .. })) => {
                for name in advance.taken.keys() {
                    let key = (wave.clone(), name.clone());
                    *self.counts.take_counts.entry(key).or_default() += 1;
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
                    .contract_violations
                    .push(format!("pool {pool} has slack {slack}"));
            }
        }
    }
}

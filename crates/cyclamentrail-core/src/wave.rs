//! Agreed state of maintenance waves, moves and lost instances, as a fold of their records.
//!
//! A wave takes each of its instances away once, lets it reboot and brings it back. The holder of
//! the fleet duty decides with [`WaveRunner`]; everything that must outlive the holder is here.
//!
//! ```
//! use cyclamentrail_core::Waves;
//!
//! assert_eq!(Waves::default().waves().count(), 0);
//! ```

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use serde::{Deserialize, Serialize};

use crate::contract::{Accounts, Cause};
use crate::fleet::{FoldContext, Instance, RejectionKind};
use crate::id::{BootId, Version};
use crate::name::{InstanceName, PoolName, WaveName};
use crate::settings::Settings;

mod batch;
mod explain;
mod fold;
mod record;
mod runner;
mod state;

pub use explain::{InstanceExplanation, WaveExplanation, explain_instance, explain_wave};
pub use record::{Advance, FailureKind, LossKind, MoveReason, WaveControl, WaveRecord};
pub use runner::{Seen, WaveAction, WaveInput, WaveRunner};
pub use state::{Failure, MoveOrder, Moved, OpenStep, Wave, WaveState};

/// Agreed state of maintenance waves, moves and lost instances.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Waves {
    version: Version,
    step: Version,
    by_name: BTreeMap<WaveName, Wave>,
    lost: BTreeMap<InstanceName, LossKind>,
    moves: BTreeMap<InstanceName, MoveOrder>,
    moved: VecDeque<Moved>,
    moves_done: u64,
    accounts: Accounts,
}

impl Waves {
    /// Returns the version that a new wave or an operator's move presumes.
    #[must_use]
    pub const fn version(&self) -> Version {
        self.version
    }

    /// Returns the version that a step of the duty's holder presumes; it rises with each record
    /// that takes or gives capacity.
    #[must_use]
    pub const fn step(&self) -> Version {
        self.step
    }

    /// Returns the waves in the order of names.
    pub fn waves(&self) -> impl Iterator<Item = (&WaveName, &Wave)> {
        self.by_name.iter()
    }

    /// Returns a wave.
    #[must_use]
    pub fn wave(&self, name: &WaveName) -> Option<&Wave> {
        self.by_name.get(name)
    }

    /// Returns the instances that count as lost.
    #[must_use]
    pub const fn lost(&self) -> &BTreeMap<InstanceName, LossKind> {
        &self.lost
    }

    /// Returns the moves that are under way.
    #[must_use]
    pub const fn moves(&self) -> &BTreeMap<InstanceName, MoveOrder> {
        &self.moves
    }

    /// Returns the latest finished moves, oldest first.
    #[must_use]
    pub const fn moved(&self) -> &VecDeque<Moved> {
        &self.moved
    }

    /// Returns how many moves were finished in all.
    #[must_use]
    pub const fn moves_done(&self) -> u64 {
        self.moves_done
    }

    /// Returns the accounts of the services.
    #[must_use]
    pub const fn accounts(&self) -> &Accounts {
        &self.accounts
    }

    /// Returns the wave that has an instance in hand.
    #[must_use]
    pub fn open(&self, instance: &InstanceName) -> Option<(&WaveName, &OpenStep)> {
        self.by_name
            .iter()
            .find_map(|(name, wave)| wave.open.get(instance).map(|step| (name, step)))
    }

    /// Returns the unfinished wave that covers an instance.
    #[must_use]
    pub fn covering(&self, instance: &InstanceName) -> Option<&WaveName> {
        let mut waves = self.by_name.iter().filter(|(_, wave)| !wave.is_finished());
        waves
            .find(|(_, wave)| wave.pending.contains(instance) || wave.open.contains_key(instance))
            .map(|(name, _)| name)
    }

    /// Returns how an instance last failed in a wave and hasn't come back since.
    #[must_use]
    pub fn failure(&self, instance: &InstanceName) -> Option<&Failure> {
        let failures = self
            .by_name
            .values()
            .filter_map(|wave| wave.failed.get(instance));
        failures.max_by_key(|failure| failure.at_ms)
    }

    /// Folds a record.
    ///
    /// # Errors
    ///
    /// Returns why the record has no effect.
    pub(crate) fn fold(
        &mut self,
        context: &FoldContext<'_>,
        record: &WaveRecord,
    ) -> Result<(), RejectionKind> {
        fold::fold(self, context, record)
    }

    /// Notes that an instance was given to a pool.
    pub(crate) fn handle_assignment(
        &mut self,
        instance: &InstanceName,
        pool: &PoolName,
        clock_ms: u64,
    ) {
        fold::handle_assignment(self, instance, pool, clock_ms);
    }

    /// Charges the accounts up to now and notes what is missing from now on.
    pub(crate) fn update_accounts<'a>(
        &mut self,
        clock_ms: u64,
        settings: &Settings,
        instances: impl Iterator<Item = (&'a InstanceName, &'a Instance)>,
    ) {
        self.accounts.charge(clock_ms);
        let lost = |name: &InstanceName| self.lost.contains_key(name);
        let pools = crate::capacity::count_pools(settings, instances, lost);
        for pool in pools.values() {
            let shortfall = pool.shortfall();
            for service in &pool.services {
                let contract = &settings.services[service].contract;
                let missing = shortfall.min(contract.promised_instances);
                self.accounts
                    .set_missing(service, split(missing, &pool.unavailable));
                self.accounts
                    .set_window(service, contract.window_s.saturating_mul(1000));
            }
        }
    }

    fn bump_step(&mut self) {
        self.step = self.step.next();
    }

    fn bump_version(&mut self) {
        self.version = self.version.next();
        self.bump_step();
    }
}

/// Splits missing instances over the causes in their order; what no cause explains counts as lost.
fn split(missing: u32, out: &BTreeMap<Cause, u32>) -> BTreeMap<Cause, u32> {
    let mut left = missing;
    let mut split = BTreeMap::new();
    for (&cause, &count) in out {
        let share = count.min(left);
        if share > 0 {
            split.insert(cause, share);
        }
        left -= share;
    }
    if left > 0 {
        *split.entry(Cause::Lost).or_default() += left;
    }
    split
}

/// Names a set of instances of a wave.
type InstanceSet = BTreeSet<InstanceName>;
/// Boots of instances as the platform's list showed them.
type Boots = BTreeMap<InstanceName, BootId>;

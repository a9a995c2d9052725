//! Agreed state of maintenance waves, moves between pools and lost instances.
//!
//! A wave takes each of its instances out of service once, reboots it and returns it to service.
//! The holder of the fleet duty decides the next steps with [`WaveRunner`]. The state that must
//! survive a change of the holder is in [`Waves`], which folds the records of the log.
//!
//! ```
//! use cyclamentrail_core::Waves;
//!
//! assert_eq!(Waves::default().waves().count(), 0);
//! ```

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use serde::{Deserialize, Serialize};

use crate::contract::{BudgetAccounts, LossCause};
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
pub use record::{FailureKind, LossKind, MoveReason, WaveAdvance, WaveControl, WaveRecord};
pub use runner::{InstanceObservation, WaveAction, WaveInput, WaveRunner};
pub use state::{Failure, FinishedMove, MaintenanceStep, MoveOrder, Wave, WaveState};

/// Agreed state of maintenance waves, moves between pools and lost instances.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Waves {
    /// Version that operators' records presume.
    version: Version,
    /// Version that records of the duty's holder presume.
    #[serde(rename = "step")]
    duty_version: Version,
    /// Unfinished waves and the latest finished ones.
    by_name: BTreeMap<WaveName, Wave>,
    lost: BTreeMap<InstanceName, LossKind>,
    moves: BTreeMap<InstanceName, MoveOrder>,
    /// Latest finished moves, oldest first.
    #[serde(rename = "moved")]
    finished_moves: VecDeque<FinishedMove>,
    /// Number of all finished moves.
    #[serde(rename = "moves_done")]
    finished_move_count: u64,
    accounts: BudgetAccounts,
}

impl Waves {
    /// Returns the version that the record of a new wave or of an operator's move presumes; it rises
    /// with each new wave and each ordered move.
    #[must_use]
    pub const fn version(&self) -> Version {
        self.version
    }

    /// Returns the version that a record of the duty's holder presumes; it rises with each record
    /// that changes a wave, a move, a lost instance or the pool of an instance.
    #[must_use]
    pub const fn duty_version(&self) -> Version {
        self.duty_version
    }

    /// Returns the waves, sorted by name.
    pub fn waves(&self) -> impl Iterator<Item = (&WaveName, &Wave)> {
        self.by_name.iter()
    }

    /// Returns a wave by its name.
    #[must_use]
    pub fn wave(&self, name: &WaveName) -> Option<&Wave> {
        self.by_name.get(name)
    }

    /// Returns the instances that count as lost, with the kind of loss.
    #[must_use]
    pub const fn lost_instances(&self) -> &BTreeMap<InstanceName, LossKind> {
        &self.lost
    }

    /// Returns the ordered moves that haven't finished, by instance.
    #[must_use]
    pub const fn moves(&self) -> &BTreeMap<InstanceName, MoveOrder> {
        &self.moves
    }

    /// Returns the latest finished moves, oldest first.
    #[must_use]
    pub const fn finished_moves(&self) -> &VecDeque<FinishedMove> {
        &self.finished_moves
    }

    /// Returns the number of all finished moves, including those no longer remembered.
    #[must_use]
    pub const fn finished_move_count(&self) -> u64 {
        self.finished_move_count
    }

    /// Returns the accounts of the services' availability budgets.
    #[must_use]
    pub const fn accounts(&self) -> &BudgetAccounts {
        &self.accounts
    }

    /// Returns the wave that maintains an instance now, and the instance's step in that wave.
    #[must_use]
    pub fn maintenance_step(
        &self,
        instance: &InstanceName,
    ) -> Option<(&WaveName, &MaintenanceStep)> {
        self.by_name
            .iter()
            .find_map(|(name, wave)| wave.in_maintenance.get(instance).map(|step| (name, step)))
    }

    /// Returns the unfinished wave in which an instance is pending or in maintenance.
    #[must_use]
    pub fn covering_wave(&self, instance: &InstanceName) -> Option<&WaveName> {
        let mut unfinished = self.by_name.iter().filter(|(_, wave)| !wave.is_finished());
        unfinished
            .find(|(_, wave)| {
                wave.pending.contains(instance) || wave.in_maintenance.contains_key(instance)
            })
            .map(|(name, _)| name)
    }

    /// Returns the latest failure of an instance in the remembered waves.
    #[must_use]
    pub fn last_failure(&self, instance: &InstanceName) -> Option<&Failure> {
        let failures = self
            .by_name
            .values()
            .filter_map(|wave| wave.failed.get(instance));
        failures.max_by_key(|failure| failure.at_ms)
    }

    /// Folds a record about waves, moves or lost instances.
    ///
    /// # Errors
    ///
    /// Returns the reason for which the record is rejected.
    pub(crate) fn fold(
        &mut self,
        context: &FoldContext<'_>,
        record: &WaveRecord,
    ) -> Result<(), RejectionKind> {
        fold::fold(self, context, record)
    }

    /// Handles the assignment of an instance to a pool, which ends a move of the instance.
    pub(crate) fn handle_assignment(
        &mut self,
        instance: &InstanceName,
        pool: &PoolName,
        clock_ms: u64,
    ) {
        fold::handle_assignment(self, instance, pool, clock_ms);
    }

    /// Charges the accounts up to `clock_ms` and sets how many instances each service is missing
    /// from then on.
    pub(crate) fn update_accounts<'a>(
        &mut self,
        clock_ms: u64,
        settings: &Settings,
        instances: impl Iterator<Item = (&'a InstanceName, &'a Instance)>,
    ) {
        self.accounts.charge(clock_ms);
        let is_lost = |name: &InstanceName| self.lost.contains_key(name);
        let pools = crate::capacity::count_pools(settings, instances, is_lost);
        for pool in pools.values() {
            let shortfall = pool.shortfall();
            for service in &pool.services {
                let contract = &settings.services[service].contract;
                let missing = shortfall.min(contract.promised_instances);
                self.accounts
                    .set_missing(service, split_by_cause(missing, &pool.unavailable));
                self.accounts
                    .set_window(service, contract.window_s.saturating_mul(1000));
            }
        }
    }

    fn bump_duty_version(&mut self) {
        self.duty_version = self.duty_version.next();
    }

    fn bump_version(&mut self) {
        self.version = self.version.next();
        self.bump_duty_version();
    }
}

/// Attributes missing instances to the causes in their order; a remainder that no cause explains
/// counts as lost.
fn split_by_cause(
    missing: u32,
    unavailable: &BTreeMap<LossCause, u32>,
) -> BTreeMap<LossCause, u32> {
    let mut remaining = missing;
    let mut split = BTreeMap::new();
    for (&cause, &count) in unavailable {
        let share = count.min(remaining);
        if share > 0 {
            split.insert(cause, share);
        }
        remaining -= share;
    }
    if remaining > 0 {
        *split.entry(LossCause::Lost).or_default() += remaining;
    }
    split
}

/// Names of instances of a wave.
type InstanceSet = BTreeSet<InstanceName>;
/// Boots of instances according to the platform's list.
type Boots = BTreeMap<InstanceName, BootId>;

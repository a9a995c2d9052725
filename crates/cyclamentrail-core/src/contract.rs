//! Accounts of the availability budgets: the instance time that each service was missing.
//!
//! A service has one account for planned and unplanned loss, charged by log time. The accounts are
//! part of the agreed state, so they survive the replacement of every entry.
//!
//! ```
//! use cyclamentrail_core::{BudgetAccounts, LossCause, ServiceName};
//!
//! let checks = ServiceName::from("checks");
//! let mut accounts = BudgetAccounts::default();
//! accounts.set_missing(&checks, [(LossCause::Lost, 2)].into());
//! accounts.charge(3_000);
//! assert_eq!(accounts.spent_ms(&checks, 3_000, 60_000), 6_000);
//! ```

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::name::ServiceName;
use crate::record::DrainReason;
use crate::settings::ContractSettings;

/// Length of the time bucket that an account adds charges up in, in milliseconds.
const BUCKET_MS: u64 = 60_000;
/// Milliseconds in one second.
const MS_PER_S: u64 = 1_000;

/// Cause of a loss of capacity; a shortfall is charged to the causes in this order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LossCause {
    /// Instances that stopped working or left the platform's list.
    Lost,
    /// Instances that drain because the platform removes them.
    Leaving,
    /// Instances that drain or reboot for a maintenance wave.
    Wave,
    /// Instances that move between pools.
    Move,
}

impl From<&DrainReason> for LossCause {
    fn from(reason: &DrainReason) -> Self {
        match reason {
            DrainReason::Move => Self::Move,
            DrainReason::Wave => Self::Wave,
            DrainReason::Leaving => Self::Leaving,
        }
    }
}

/// Missing instance time in one time bucket of an account.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BudgetBucket {
    /// Log time in milliseconds at which the bucket begins.
    pub from_ms: u64,
    /// Instance-milliseconds that were missing in the bucket, by cause.
    pub instance_ms: BTreeMap<LossCause, u64>,
}

/// Account of the instance time that one service was missing.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BudgetAccount {
    /// Number of instances that are missing since the last charge, by cause.
    missing: BTreeMap<LossCause, u32>,
    /// Charges in the window, oldest first.
    #[serde(rename = "lines")]
    buckets: VecDeque<BudgetBucket>,
    /// Window of the service's contract in milliseconds; 0 keeps all buckets.
    window_ms: u64,
}

/// The accounts of all services.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BudgetAccounts {
    /// Log time in milliseconds up to which all accounts are charged.
    charged_ms: u64,
    accounts: BTreeMap<ServiceName, BudgetAccount>,
}

impl BudgetAccounts {
    /// Charges the missing instances for the time since the last charge, up to log time
    /// `clock_ms`.
    pub fn charge(&mut self, clock_ms: u64) {
        let elapsed_ms = clock_ms.saturating_sub(self.charged_ms);
        if elapsed_ms == 0 {
            return;
        }
        for account in self.accounts.values_mut() {
            account.charge(self.charged_ms, clock_ms);
        }
        self.charged_ms = clock_ms;
    }

    /// Sets how many instances a service is missing from the last charge on, by cause.
    pub fn set_missing(&mut self, service: &ServiceName, missing: BTreeMap<LossCause, u32>) {
        if missing.is_empty() && !self.accounts.contains_key(service) {
            return;
        }
        let account = self.accounts.entry(service.clone()).or_default();
        account.missing = missing;
    }

    /// Sets the window of a service's contract in milliseconds; buckets before the window are
    /// dropped at the next charge.
    pub(crate) fn set_window(&mut self, service: &ServiceName, window_ms: u64) {
        if let Some(account) = self.accounts.get_mut(service) {
            account.window_ms = window_ms;
        }
    }

    /// Returns the account of a service; `None` if the service was never missing an instance.
    #[must_use]
    pub fn account(&self, service: &ServiceName) -> Option<&BudgetAccount> {
        self.accounts.get(service)
    }

    /// Returns the instance-milliseconds that were missing in the window that ends at `clock_ms`.
    #[must_use]
    pub fn spent_ms(&self, service: &ServiceName, clock_ms: u64, window_ms: u64) -> u64 {
        let spent = self.spent_by_cause_ms(service, clock_ms, window_ms);
        spent.values().sum()
    }

    /// Returns the instance-milliseconds that were missing in the window that ends at `clock_ms`,
    /// by cause.
    ///
    /// Missing instances are charged up to `clock_ms` even if [`BudgetAccounts::charge`] wasn't
    /// called.
    #[must_use]
    pub fn spent_by_cause_ms(
        &self,
        service: &ServiceName,
        clock_ms: u64,
        window_ms: u64,
    ) -> BTreeMap<LossCause, u64> {
        let mut account = self.accounts.get(service).cloned().unwrap_or_default();
        account.charge(self.charged_ms, clock_ms.max(self.charged_ms));
        account.spent_since(clock_ms.saturating_sub(window_ms))
    }

    /// Returns whether a service has used up its budget; a service that was missing nothing hasn't,
    /// even with a budget of 0.
    #[must_use]
    pub fn is_exhausted(
        &self,
        service: &ServiceName,
        contract: &ContractSettings,
        clock_ms: u64,
    ) -> bool {
        let spent_ms = self.spent_ms(service, clock_ms, contract.window_s * MS_PER_S);
        spent_ms > 0 && spent_ms >= contract.budget_instance_s * MS_PER_S
    }
}

impl BudgetAccount {
    /// Returns the time buckets, oldest first.
    pub fn buckets(&self) -> impl Iterator<Item = &BudgetBucket> {
        self.buckets.iter()
    }

    /// Returns how many instances the service is missing now, by cause.
    #[must_use]
    pub const fn missing(&self) -> &BTreeMap<LossCause, u32> {
        &self.missing
    }

    /// Charges the missing instances for a range of log time, split at bucket borders.
    fn charge(&mut self, from_ms: u64, to_ms: u64) {
        let mut charged_ms = from_ms;
        while charged_ms < to_ms && !self.missing.is_empty() {
            let bucket_ms = charged_ms - charged_ms % BUCKET_MS;
            let end_ms = to_ms.min(bucket_ms + BUCKET_MS);
            self.add_to_bucket(bucket_ms, end_ms - charged_ms);
            charged_ms = end_ms;
        }
        if self.window_ms > 0 {
            let oldest_ms = to_ms.saturating_sub(self.window_ms);
            self.buckets
                .retain(|bucket| bucket.from_ms + BUCKET_MS > oldest_ms);
        }
    }

    fn add_to_bucket(&mut self, bucket_ms: u64, elapsed_ms: u64) {
        if self
            .buckets
            .back()
            .is_none_or(|bucket| bucket.from_ms != bucket_ms)
        {
            self.buckets.push_back(BudgetBucket {
                from_ms: bucket_ms,
                instance_ms: BTreeMap::new(),
            });
        }
        let Some(bucket) = self.buckets.back_mut() else {
            return;
        };
        for (&cause, &missing) in &self.missing {
            *bucket.instance_ms.entry(cause).or_default() += u64::from(missing) * elapsed_ms;
        }
    }

    /// Returns the charges by cause of all buckets that end after log time `from_ms`.
    fn spent_since(&self, from_ms: u64) -> BTreeMap<LossCause, u64> {
        let mut spent = BTreeMap::new();
        for bucket in &self.buckets {
            if bucket.from_ms + BUCKET_MS > from_ms {
                for (&cause, &instance_ms) in &bucket.instance_ms {
                    *spent.entry(cause).or_default() += instance_ms;
                }
            }
        }
        spent
    }
}

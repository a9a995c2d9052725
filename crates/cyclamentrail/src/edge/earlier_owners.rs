//! Until when owners before those in this process may act, for the successors of the latter.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use super::clocks::boot_ms;

/// Times until which owners of a shard before this process's newest ownership of it may act; they
/// outlast the ownership.
#[derive(Debug, Default)]
pub(crate) struct EarlierOwners {
    /// Time on the boot-time clock in milliseconds, by shard.
    act_until_ms: Mutex<HashMap<String, u64>>,
}

impl EarlierOwners {
    /// Records the time for the newest ownership of a shard, once its takeover is done.
    pub(crate) fn insert(&self, shard: &str, act_until_ms: u64) {
        self.lock().insert(shard.to_owned(), act_until_ms);
    }

    /// Returns for how long an owner before the newest ownership may still act, in milliseconds; `None`
    /// if there is no ownership, or its takeover isn't done.
    pub(crate) fn remaining_ms(&self, shard: &str) -> Option<u64> {
        let act_until_ms = self.lock().get(shard).copied()?;
        Some(act_until_ms.saturating_sub(boot_ms()))
    }

    /// Does the same, and forgets the ownership because another one begins.
    pub(crate) fn take(&self, shard: &str) -> Option<u64> {
        let act_until_ms = self.lock().remove(shard)?;
        Some(act_until_ms.saturating_sub(boot_ms()))
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<String, u64>> {
        self.act_until_ms
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

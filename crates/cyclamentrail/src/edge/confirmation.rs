//! Time of the last confirmation of something that may be relied on for a limited time.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use super::clocks::{boot_ms, whole_ms};

/// When the store last confirmed something, such as the ownership of a shard; clones share the
/// time.
#[derive(Debug, Clone)]
pub(crate) struct Confirmation {
    /// Time of the confirmation on the boot-time clock.
    confirmed_ms: Arc<AtomicU64>,
    valid: Duration,
}

impl Confirmation {
    /// Creates a confirmation at `confirmed_ms` on the boot-time clock that is valid for
    /// `valid`.
    pub(crate) fn new(confirmed_ms: u64, valid: Duration) -> Self {
        Self {
            confirmed_ms: Arc::new(AtomicU64::new(confirmed_ms)),
            valid,
        }
    }

    /// Returns whether what was confirmed may be relied on now.
    pub(crate) fn is_valid(&self) -> bool {
        Duration::from_millis(self.age_ms()) < self.valid
    }

    /// Returns the time since the last confirmation in milliseconds.
    pub(crate) fn age_ms(&self) -> u64 {
        boot_ms().saturating_sub(self.confirmed_ms.load(Ordering::Relaxed))
    }

    /// Returns for how long what was confirmed may be relied on, in milliseconds.
    pub(crate) fn remaining_ms(&self) -> u64 {
        whole_ms(self.valid).saturating_sub(self.age_ms())
    }

    /// Returns whether the last confirmation was made at `boot_ms` on the boot-time clock or later.
    pub(crate) fn is_since(&self, boot_ms: u64) -> bool {
        self.confirmed_ms.load(Ordering::Relaxed) >= boot_ms
    }

    /// Extends the confirmation: `sent_ms` is when the confirmed call was sent, so that the time
    /// until its response doesn't count.
    pub(crate) fn confirm(&self, sent_ms: u64) {
        self.confirmed_ms.fetch_max(sent_ms, Ordering::Relaxed);
    }
}

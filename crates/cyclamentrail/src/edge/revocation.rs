//! Whether the configuration is new enough to accept keys by it.
//!
//! A process that doesn't reach the store can't learn that a key was revoked. It accepts keys only
//! as long as the store has confirmed within the bound that its configuration is the newest.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use cyclamentrail_adapter::{Bounds, Configuration};
use cyclamentrail_jobs::max_confirmation_age_ms;

use super::confirmation::Confirmation;
use super::process_state::ProcessState;

/// Shortest time between two checks whether the configuration is still confirmed.
const MIN_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// When the store last confirmed that the configuration is the newest.
#[derive(Debug)]
pub(crate) struct RevocationCheck {
    confirmation: Confirmation,
    max_age_ms: u64,
    is_strict: bool,
    /// Whether the last check found the configuration unconfirmed.
    was_unconfirmed: AtomicBool,
}

impl RevocationCheck {
    /// Creates the check of a process that has read no configuration yet.
    pub(crate) fn new(bounds: &Bounds) -> Self {
        let max_age_ms = max_confirmation_age_ms(bounds.revoke_ms);
        Self {
            confirmation: Confirmation::new(0, Duration::from_millis(max_age_ms)),
            max_age_ms,
            is_strict: bounds.is_revocation_strict,
            was_unconfirmed: AtomicBool::new(false),
        }
    }

    /// Returns the age in milliseconds at which a confirmation doesn't count any more.
    pub(crate) const fn max_age_ms(&self) -> u64 {
        self.max_age_ms
    }

    /// Returns the time since the last confirmation in milliseconds.
    pub(crate) fn age_ms(&self) -> u64 {
        self.confirmation.age_ms()
    }

    /// Confirms the configuration: `sent_ms` is when the read that found no newer one was sent, on
    /// the boot-time clock.
    pub(crate) fn confirm(&self, sent_ms: u64) {
        let age_ms = self.confirmation.age_ms();
        self.confirmation.confirm(sent_ms);
        if self.confirmation.is_valid() && self.was_unconfirmed.swap(false, Ordering::Relaxed) {
            log::info!(age_ms = age_ms; "configuration_confirmed_again");
        }
    }

    /// Returns whether keys may be accepted by a configuration. Logs when that ends.
    pub(crate) fn accepts_keys_of(&self, configuration: &Configuration) -> bool {
        if !self.is_strict || !configuration.needs_keys || self.confirmation.is_valid() {
            return true;
        }
        if !self.was_unconfirmed.swap(true, Ordering::Relaxed) {
            log::warn!(
                age_ms = self.confirmation.age_ms(),
                max_age_ms = self.max_age_ms,
                version = configuration.version;
                "configuration_unconfirmed"
            );
        }
        false
    }
}

/// Checks the configuration whenever its confirmation may have ended, so that the end is logged even
/// if no caller comes. Returns at once where revocation isn't strict.
pub(crate) async fn watch(process: Arc<ProcessState>) {
    let check = &process.revocation;
    if !check.is_strict {
        return;
    }
    loop {
        let remaining = Duration::from_millis(check.confirmation.remaining_ms());
        tokio::time::sleep(remaining.max(MIN_CHECK_INTERVAL)).await;
        if let Some(configuration) = process.configuration() {
            check.accepts_keys_of(&configuration);
        }
    }
}

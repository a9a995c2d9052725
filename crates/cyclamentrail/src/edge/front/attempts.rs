//! What is known of the attempts to have a caller's request carried out.

use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};

use super::CallFailure;

/// Whether a request may have been carried out, as its attempts tell at any moment.
#[derive(Debug, Default)]
pub(super) struct Attempts {
    under_way: AtomicU32,
    has_unknown_outcome: AtomicBool,
}

impl Attempts {
    /// Records that an attempt begins.
    pub(super) fn begin(&self) {
        self.under_way.fetch_add(1, Ordering::Relaxed);
    }

    /// Records that an attempt has ended, and whether its outcome is unknown.
    pub(super) fn end(&self, is_unknown: bool) {
        self.under_way.fetch_sub(1, Ordering::Relaxed);
        self.has_unknown_outcome
            .fetch_or(is_unknown, Ordering::Relaxed);
    }

    /// Returns what a caller is told whose request gets no reply any more.
    pub(super) fn failure(&self) -> CallFailure {
        let is_under_way = self.under_way.load(Ordering::Relaxed) > 0;
        if is_under_way || self.has_unknown_outcome.load(Ordering::Relaxed) {
            CallFailure::OutcomeUnknown
        } else {
            CallFailure::NotCarriedOut
        }
    }
}

//! What is known of the attempts to have a caller's request carried out.

use std::sync::atomic::{AtomicBool, Ordering};

/// Whether a request may have been carried out, as its attempts tell at any moment.
#[derive(Debug, Default)]
pub(super) struct Attempts {
    is_under_way: AtomicBool,
    has_unknown_outcome: AtomicBool,
}

impl Attempts {
    /// Records that an attempt begins.
    pub(super) fn begin(&self) {
        self.is_under_way.store(true, Ordering::Relaxed);
    }

    /// Records that the attempt under way has ended, and whether its outcome is unknown.
    pub(super) fn end(&self, is_unknown: bool) {
        self.is_under_way.store(false, Ordering::Relaxed);
        self.has_unknown_outcome
            .fetch_or(is_unknown, Ordering::Relaxed);
    }

    /// Returns whether the request may have been carried out by an attempt without a reply.
    pub(super) fn may_have_run(&self) -> bool {
        self.is_under_way.load(Ordering::Relaxed)
            || self.has_unknown_outcome.load(Ordering::Relaxed)
    }
}

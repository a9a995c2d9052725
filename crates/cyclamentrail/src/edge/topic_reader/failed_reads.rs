//! Reads of a topic that failed since the last successful one, by how they failed.

use cyclamentrail_adapter::StoreError;

/// Counts of failed reads.
#[derive(Debug, Default)]
pub(super) struct FailedReads {
    /// Reads that got no response in time.
    pub(super) unanswered: u32,
    /// Reads that the store refused, that weren't sent, or whose response couldn't be used.
    pub(super) refused: u32,
    /// Time until the longest of them failed, in milliseconds.
    pub(super) longest_ms: u64,
}

impl FailedReads {
    /// Returns whether any read has failed.
    pub(super) const fn any(&self) -> bool {
        self.unanswered > 0 || self.refused > 0
    }

    /// Counts a read that failed after `took_ms` milliseconds.
    pub(super) fn record(&mut self, took_ms: u64, error: &StoreError) {
        match error {
            StoreError::NoResponse(_) => self.unanswered += 1,
            _ => self.refused += 1,
        }
        self.longest_ms = self.longest_ms.max(took_ms);
    }
}

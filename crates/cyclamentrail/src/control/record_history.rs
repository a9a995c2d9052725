//! The newest records of the log, kept in memory for peers that can't read the log.

use std::collections::VecDeque;

use cyclamentrail_core::{MAX_RELAYED_BYTES, MAX_RELAYED_RECORDS, Offset, RelayedRecord};

/// Largest number of records kept.
const MAX_KEPT_RECORDS: usize = 8192;
/// Largest total size of the records kept, in bytes.
const MAX_KEPT_BYTES: usize = 4 * 1024 * 1024;

/// Records without a gap up to the newest folded one.
#[derive(Debug, Default)]
pub(crate) struct RecordHistory {
    records: VecDeque<RelayedRecord>,
    bytes: usize,
}

impl RecordHistory {
    /// Adds a record before it is folded; a gap before the record clears the history first.
    ///
    /// The oldest records are dropped when the history is over its limits.
    pub(crate) fn push(&mut self, record: RelayedRecord) {
        let is_contiguous = self
            .records
            .back()
            .is_none_or(|newest| newest.offset.next() == record.offset);
        if !is_contiguous {
            self.clear();
        }
        self.bytes += record.bytes.len();
        self.records.push_back(record);
        while self.records.len() > MAX_KEPT_RECORDS || self.bytes > MAX_KEPT_BYTES {
            let Some(oldest) = self.records.pop_front() else {
                break;
            };
            self.bytes -= oldest.bytes.len();
        }
    }

    /// Removes all records, after a snapshot was adopted.
    pub(crate) fn clear(&mut self) {
        self.records.clear();
        self.bytes = 0;
    }

    /// Returns the records from an offset on, as many as one heartbeat may carry.
    ///
    /// Returns no records when the one at the offset isn't kept.
    pub(crate) fn since(&self, offset: Offset) -> Vec<RelayedRecord> {
        let Some(oldest) = self.records.front() else {
            return Vec::new();
        };
        let Some(skip) = offset.get().checked_sub(oldest.offset.get()) else {
            return Vec::new();
        };
        let mut remaining_bytes = MAX_RELAYED_BYTES;
        self.records
            .iter()
            .skip(usize::try_from(skip).unwrap_or(usize::MAX))
            .take(MAX_RELAYED_RECORDS)
            .take_while(|record| {
                let fits = record.bytes.len() <= remaining_bytes;
                remaining_bytes = remaining_bytes.saturating_sub(record.bytes.len());
                fits
            })
            .cloned()
            .collect()
    }
}

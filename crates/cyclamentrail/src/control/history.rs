//! The newest records of the log, kept for peers that can't read it.

use std::collections::VecDeque;

use cyclamentrail_core::{MAX_PASSED_BYTES, MAX_PASSED_RECORDS, Offset, PassedRecord};

/// Most records that are kept.
const MAX_RECORDS: usize = 8192;
/// Most bytes of records that are kept.
const MAX_BYTES: usize = 4 * 1024 * 1024;

/// Records without a gap up to the newest one that was folded.
#[derive(Debug, Default)]
pub(crate) struct History {
    records: VecDeque<PassedRecord>,
    bytes: usize,
}

impl History {
    /// Adds the record that was just folded; a gap before it empties the history first.
    pub(crate) fn push(&mut self, record: PassedRecord) {
        let follows = self
            .records
            .back()
            .is_none_or(|newest| newest.offset.next() == record.offset);
        if !follows {
            self.clear();
        }
        self.bytes += record.bytes.len();
        self.records.push_back(record);
        while self.records.len() > MAX_RECORDS || self.bytes > MAX_BYTES {
            let Some(oldest) = self.records.pop_front() else {
                break;
            };
            self.bytes -= oldest.bytes.len();
        }
    }

    /// Forgets all records, after a snapshot was taken over.
    pub(crate) fn clear(&mut self) {
        self.records.clear();
        self.bytes = 0;
    }

    /// Returns records from an offset on, as many as one message may carry.
    ///
    /// Returns none when the record at the offset isn't kept.
    pub(crate) fn from(&self, offset: Offset) -> Vec<PassedRecord> {
        let Some(oldest) = self.records.front() else {
            return Vec::new();
        };
        let Some(skip) = offset.get().checked_sub(oldest.offset.get()) else {
            return Vec::new();
        };
        let mut left = MAX_PASSED_BYTES;
        self.records
            .iter()
            .skip(usize::try_from(skip).unwrap_or(usize::MAX))
            .take(MAX_PASSED_RECORDS)
            .take_while(|record| {
                let fits = record.bytes.len() <= left;
                left = left.saturating_sub(record.bytes.len());
                fits
            })
            .cloned()
            .collect()
    }
}

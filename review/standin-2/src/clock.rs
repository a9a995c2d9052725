//! Unix time of the records.

use std::time::{SystemTime, UNIX_EPOCH};

/// Returns the Unix time in milliseconds.
pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |time| time.as_millis() as u64)
}

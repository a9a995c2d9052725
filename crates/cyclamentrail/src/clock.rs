//! Monotonic clock of the process, which starts at its first use.

use std::sync::OnceLock;
use std::time::Instant;

static START: OnceLock<Instant> = OnceLock::new();

/// Returns the time in milliseconds since the clock's first use in this process.
pub(crate) fn now_ms() -> u64 {
    let start = START.get_or_init(Instant::now);
    u64::try_from(start.elapsed().as_millis()).unwrap_or(u64::MAX)
}

/// Returns the time in microseconds since the clock's first use in this process.
pub(crate) fn now_us() -> u64 {
    let start = START.get_or_init(Instant::now);
    u64::try_from(start.elapsed().as_micros()).unwrap_or(u64::MAX)
}

/// Returns an instant as microseconds since the clock's first use; 0 for an earlier instant.
pub(crate) fn micros_since_start(instant: Instant) -> u64 {
    let start = START.get_or_init(Instant::now);
    let since_start = instant.saturating_duration_since(*start);
    u64::try_from(since_start.as_micros()).unwrap_or(u64::MAX)
}

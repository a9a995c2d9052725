//! The process's monotonic clock, in milliseconds since its start.

use std::sync::OnceLock;
use std::time::Instant;

static START: OnceLock<Instant> = OnceLock::new();

/// Returns the milliseconds since the first call in this process.
pub(crate) fn now_ms() -> u64 {
    let start = START.get_or_init(Instant::now);
    u64::try_from(start.elapsed().as_millis()).unwrap_or(u64::MAX)
}

/// Returns the microseconds since the first call in this process.
pub(crate) fn now_us() -> u64 {
    let start = START.get_or_init(Instant::now);
    u64::try_from(start.elapsed().as_micros()).unwrap_or(u64::MAX)
}

/// Returns the moment of the clock in microseconds as this process's clock tells it.
pub(crate) fn us_at(moment: Instant) -> u64 {
    let start = START.get_or_init(Instant::now);
    let since = moment.saturating_duration_since(*start);
    u64::try_from(since.as_micros()).unwrap_or(u64::MAX)
}

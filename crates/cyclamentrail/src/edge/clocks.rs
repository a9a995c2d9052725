//! Clocks of the process: one that also counts time in suspension, and the wall clock.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use cyclamentrail_jobs::Now;
use rustix::time::{ClockId, clock_gettime};

const MS_PER_S: u64 = 1_000;
const NS_PER_MS: u64 = 1_000_000;

/// Returns the reading in milliseconds of the boot-time clock, which also runs while the machine is
/// suspended.
pub(crate) fn boot_ms() -> u64 {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    let nanoseconds = u64::try_from(time.tv_nsec).unwrap_or(0);
    seconds * MS_PER_S + nanoseconds / NS_PER_MS
}

/// Returns the Unix time in milliseconds; 0 if the wall clock is before 1970.
pub(crate) fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, whole_ms)
}

/// Returns a duration in whole milliseconds.
pub(crate) fn whole_ms(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// Returns the current reading of both clocks.
pub(crate) fn now() -> Now {
    Now {
        boot_ms: boot_ms(),
        unix_ms: unix_ms(),
    }
}

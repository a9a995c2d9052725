//! Start commands that may still be carried out.

use cyclamentrail_core::WorkerId;

/// Start commands for a task that may still be carried out, by any incarnation of the worker that they were
/// sent to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OpenStart {
    /// Worker that they were sent to.
    pub worker: WorkerId,
    /// Time until which those without a response are expected to be carried out, on the owner's boot clock
    /// in milliseconds; 0 if there are none.
    pub late_until_ms: u64,
    /// Last command, if its outcome isn't known yet.
    pub in_flight: Option<InFlightStart>,
    /// Whether nobody has seen a command without a response: an earlier owner placed the run, and may have
    /// sent one.
    pub is_inferred: bool,
}

/// Start command without an outcome yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InFlightStart {
    /// Number of the run that it starts.
    pub run: u32,
    /// Time by which its outcome is known, on the owner's boot clock in milliseconds.
    pub until_ms: u64,
}

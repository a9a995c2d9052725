//! Compares what callers were told with what the backend servers ran.

use std::collections::BTreeMap;

use cyclamentrail_core::ServiceName;
use serde::Serialize;

use super::call::CallEnd;

/// One ended call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Call {
    /// The caller's mark.
    pub call_id: String,
    /// The service that it asked.
    pub service: ServiceName,
    /// Whether it may run twice.
    pub idempotent: bool,
    /// How it ended for the caller.
    pub end: CallEnd,
}

/// Calls by how they ended.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Counts {
    /// Calls that ended.
    pub requests_sent: u64,
    /// Calls whose whole answer came.
    pub answered_whole: u64,
    /// Calls that were told "not run".
    pub not_run: u64,
    /// Calls that were told "outcome unknown".
    pub outcome_unknown: u64,
    /// Calls without a final answer, or with one that was cut.
    pub lost: u64,
    /// Calls that got the answer to something else, or one that no backend server gave.
    pub crossed: u64,
}

/// What backend servers ran that they should not have.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Wrongs {
    /// Non-idempotent calls that ran more than once.
    pub doubled: u64,
    /// Calls that ran although their caller was told "not run".
    pub ran_though_not_run: u64,
    /// Calls that were answered although no backend server ran them.
    pub answered_though_not_run: u64,
}

impl From<&[Call]> for Counts {
    fn from(calls: &[Call]) -> Self {
        let mut counts = Self::default();
        for call in calls {
            counts.requests_sent += 1;
            let place = match call.end {
                CallEnd::Whole => &mut counts.answered_whole,
                CallEnd::NotRun => &mut counts.not_run,
                CallEnd::Unknown => &mut counts.outcome_unknown,
                CallEnd::Lost => &mut counts.lost,
                CallEnd::Crossed => &mut counts.crossed,
            };
            *place += 1;
        }
        counts
    }
}

impl Wrongs {
    /// Compares calls with the number of runs that the backend servers counted for each.
    #[must_use]
    pub fn new(calls: &[Call], runs: &BTreeMap<String, u32>) -> Self {
        let mut wrongs = Self::default();
        for call in calls {
            let ran = runs.get(&call.call_id).copied().unwrap_or_default();
            wrongs.doubled += u64::from(!call.idempotent && ran > 1);
            wrongs.ran_though_not_run += u64::from(call.end == CallEnd::NotRun && ran > 0);
            wrongs.answered_though_not_run += u64::from(call.end == CallEnd::Whole && ran == 0);
        }
        wrongs
    }
}

//! Counts the calls of a load by their ends, and finds the calls whose end contradicts the runs that
//! the backend servers counted.

use std::collections::BTreeMap;

use cyclamentrail_core::ServiceName;
use serde::Serialize;

use super::call::CallEnd;

/// A call that has ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndedCall {
    /// The caller's id of the call.
    pub call_id: String,
    /// Service that the call was sent to.
    pub service: ServiceName,
    /// Whether backend servers may run the call more than once.
    pub idempotent: bool,
    /// End of the call from its caller's point of view.
    pub end: CallEnd,
}

/// Numbers of calls by their ends.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct CallCounts {
    /// All calls that ended.
    pub requests_sent: u64,
    /// Calls whose caller received the complete response.
    pub answered_whole: u64,
    /// Calls whose caller received the outcome "not run".
    pub not_run: u64,
    /// Calls whose caller received the outcome "unknown".
    pub outcome_unknown: u64,
    /// Calls whose caller received no final response, or an incomplete one.
    pub lost: u64,
    /// Calls whose caller received a response that doesn't match the request, such as the response to
    /// another call.
    pub crossed: u64,
}

/// Numbers of calls whose runs at the backend servers contradict what their callers received.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Contradictions {
    /// Non-idempotent calls that ran more than once.
    pub doubled: u64,
    /// Calls that ran although their caller received the outcome "not run".
    pub ran_though_not_run: u64,
    /// Calls that were answered although no backend server ran them.
    pub answered_though_not_run: u64,
}

impl From<&[EndedCall]> for CallCounts {
    fn from(calls: &[EndedCall]) -> Self {
        let mut counts = Self::default();
        for call in calls {
            counts.requests_sent += 1;
            let count = match call.end {
                CallEnd::Answered => &mut counts.answered_whole,
                CallEnd::NotRun => &mut counts.not_run,
                CallEnd::Unknown => &mut counts.outcome_unknown,
                CallEnd::Lost => &mut counts.lost,
                CallEnd::Crossed => &mut counts.crossed,
            };
            *count += 1;
        }
        counts
    }
}

impl Contradictions {
    /// Compares `calls` with the number of runs of each call id that the backend servers counted; an
    /// id that is missing in `runs` has no run.
    #[must_use]
    pub fn new(calls: &[EndedCall], runs: &BTreeMap<String, u32>) -> Self {
        let mut found = Self::default();
        for call in calls {
            let run_count = runs.get(&call.call_id).copied().unwrap_or_default();
            found.doubled += u64::from(!call.idempotent && run_count > 1);
            found.ran_though_not_run += u64::from(call.end == CallEnd::NotRun && run_count > 0);
            found.answered_though_not_run +=
                u64::from(call.end == CallEnd::Answered && run_count == 0);
        }
        found
    }
}

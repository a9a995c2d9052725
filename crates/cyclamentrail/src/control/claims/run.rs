//! The right to run a key's request once, which always ends in a record.

use cyclamentrail_core::{ClaimOutcome, KeyDigest, Offset, UnknownReason};

use crate::control::ControlHandle;

/// Identifies a granted run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct RunId {
    pub(crate) key: KeyDigest,
    pub(crate) claim: Offset,
}

/// How a granted run ended.
#[derive(Debug)]
pub(crate) enum RunEnd {
    /// Nothing was run.
    NotRun,
    /// It ran, or may have.
    Ended(ClaimOutcome),
}

/// The right to run a key's request once. Dropping it before its start says that nothing was run;
/// dropping it later says that the outcome is unknown.
#[derive(Debug)]
pub(crate) struct Run {
    id: RunId,
    control: ControlHandle,
    started: bool,
    ended: bool,
}

impl Run {
    /// Creates the right to a run that hasn't started.
    pub(crate) const fn new(id: RunId, control: ControlHandle) -> Self {
        Self {
            id,
            control,
            started: false,
            ended: false,
        }
    }

    /// Notes that bytes of the request may be sent from now on.
    pub(crate) const fn start(&mut self) {
        self.started = true;
    }

    /// Ends the run.
    pub(crate) fn end(mut self, end: RunEnd) {
        self.ended = true;
        self.control.end_claim(self.id, end);
    }
}

impl Drop for Run {
    fn drop(&mut self) {
        if self.ended {
            return;
        }
        let end = if self.started {
            RunEnd::Ended(ClaimOutcome::Unknown(UnknownReason::ConnectionLost))
        } else {
            RunEnd::NotRun
        };
        self.control.end_claim(self.id, end);
    }
}

//! The right to run a key's request once, which always ends in a record.

use std::sync::Arc;

use cyclamentrail_core::{ClaimOutcome, KeyDigest, Offset, TicketId, UnknownReason};

use crate::control::ControlHandle;
use crate::traffic::Tickets;

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
    told: Option<Told>,
    started: bool,
}

/// Who is told how a run ended.
#[derive(Debug)]
enum Told {
    Claim(RunId, ControlHandle),
    Ticket(TicketId, Arc<Tickets>),
}

impl Told {
    fn tell(self, end: RunEnd) {
        match self {
            Self::Claim(id, control) => control.end_claim(id, end),
            Self::Ticket(id, tickets) => tickets.end(id, end.into()),
        }
    }
}

impl From<RunEnd> for Option<ClaimOutcome> {
    fn from(end: RunEnd) -> Self {
        match end {
            RunEnd::NotRun => None,
            RunEnd::Ended(outcome) => Some(outcome),
        }
    }
}

impl Run {
    /// Creates the right to a run under an accepted claim.
    pub(crate) const fn new(id: RunId, control: ControlHandle) -> Self {
        Self {
            told: Some(Told::Claim(id, control)),
            started: false,
        }
    }

    /// Creates the right to a run of a ticket.
    pub(crate) const fn of_ticket(id: TicketId, tickets: Arc<Tickets>) -> Self {
        Self {
            told: Some(Told::Ticket(id, tickets)),
            started: false,
        }
    }

    /// Notes that bytes of the request may be sent from now on.
    pub(crate) const fn start(&mut self) {
        self.started = true;
    }

    /// Ends the run.
    pub(crate) fn end(mut self, end: RunEnd) {
        if let Some(told) = self.told.take() {
            told.tell(end);
        }
    }
}

impl Drop for Run {
    fn drop(&mut self) {
        let Some(told) = self.told.take() else { return };
        let end = if self.started {
            RunEnd::Ended(ClaimOutcome::Unknown(UnknownReason::ConnectionLost))
        } else {
            RunEnd::NotRun
        };
        told.tell(end);
    }
}

//! The right to run a request with a key or a ticket once; its end is always reported.

use std::sync::Arc;

use cyclamentrail_core::{ClaimOutcome, KeyDigest, Offset, TicketId, UnknownReason};

use crate::control::ControlHandle;
use crate::traffic::Tickets;

/// Identifies a run that was granted under a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct RunId {
    pub(crate) key: KeyDigest,
    /// Offset of the accepted claim.
    pub(crate) claim: Offset,
}

/// How a granted run ended.
#[derive(Debug)]
pub(crate) enum RunEnd {
    /// No byte of the request was sent.
    NotRun,
    /// The request ran, or may have run.
    Ended(ClaimOutcome),
}

/// The right to run a request with a key or a ticket once.
///
/// Dropping it before [`RunPermit::start`] reports that nothing was run; dropping it later reports
/// that the outcome is unknown.
#[derive(Debug)]
pub(crate) struct RunPermit {
    receiver: Option<EndReceiver>,
    started: bool,
}

/// Receiver of the report of how a run ended.
#[derive(Debug)]
enum EndReceiver {
    Claim(RunId, ControlHandle),
    Ticket(TicketId, Arc<Tickets>),
}

impl EndReceiver {
    fn report(self, end: RunEnd) {
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

impl RunPermit {
    /// Creates the right to run a request under an accepted claim.
    pub(crate) const fn new(id: RunId, control: ControlHandle) -> Self {
        Self {
            receiver: Some(EndReceiver::Claim(id, control)),
            started: false,
        }
    }

    /// Creates the right to run the request of a ticket.
    pub(crate) const fn for_ticket(id: TicketId, tickets: Arc<Tickets>) -> Self {
        Self {
            receiver: Some(EndReceiver::Ticket(id, tickets)),
            started: false,
        }
    }

    /// Marks the run as started, before the first byte of the request is sent.
    pub(crate) const fn start(&mut self) {
        self.started = true;
    }

    /// Ends the run and reports how it ended.
    pub(crate) fn end(mut self, end: RunEnd) {
        if let Some(receiver) = self.receiver.take() {
            receiver.report(end);
        }
    }
}

impl Drop for RunPermit {
    fn drop(&mut self) {
        let Some(receiver) = self.receiver.take() else {
            return;
        };
        let end = if self.started {
            RunEnd::Ended(ClaimOutcome::Unknown(UnknownReason::ConnectionLost))
        } else {
            RunEnd::NotRun
        };
        receiver.report(end);
    }
}

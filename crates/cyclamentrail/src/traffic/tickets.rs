//! Tickets: idempotency keys that an entry issues and whose requests only that entry runs, at most
//! once and without the control log.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use axum::Json;
use axum::extract::State;
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use cyclamentrail_core::{
    ClaimOutcome, IssuedTickets, NotRunReason, RequestDigest, RequestFailure, TICKET_RETENTION_MS,
    TicketId, TicketLookup, UnknownReason,
};
use serde::Serialize;
use tokio::sync::watch;
use tokio::time::Instant;

use super::keyed::run_detached;
use super::listener::{RequestPath, RoutedRequest};
use super::response::replay;
use crate::clock;
use crate::control::RunPermit;
use crate::problem::problem_response;

/// Tickets that this entry issued, with the outcomes of their runs.
#[derive(Debug)]
pub(crate) struct Tickets {
    issued: Mutex<IssuedTickets>,
    run_ended: watch::Sender<()>,
}

/// Response to `POST /v1/tickets`.
#[derive(Debug, Serialize)]
struct IssuedTicket {
    /// Value of the `Idempotency-Key` header of the request and of each of its repetitions.
    idempotency_key: String,
    /// Time in milliseconds for which the entry remembers the ticket.
    remembered_ms: u64,
}

impl Tickets {
    /// Creates the state of a process that has issued no ticket.
    pub(crate) fn new() -> Self {
        Self {
            issued: Mutex::new(IssuedTickets::new()),
            run_ended: watch::Sender::new(()),
        }
    }

    /// Ends the run of a ticket's request; `None` means that no byte of the request was sent.
    pub(crate) fn end(&self, id: TicketId, outcome: Option<ClaimOutcome>) {
        self.lock().end_run(id, outcome);
        self.run_ended.send_replace(());
    }

    /// Begins the run of a ticket's request, after waiting for the end of a run in progress.
    async fn begin_or_wait(
        &self,
        id: TicketId,
        request: RequestDigest,
        deadline: Instant,
    ) -> Result<TicketLookup, RequestFailure> {
        let mut run_ended = self.run_ended.subscribe();
        loop {
            run_ended.mark_unchanged();
            let state = self.lock().begin_run(id, request);
            if state != TicketLookup::Running {
                return Ok(state);
            }
            if tokio::time::timeout_at(deadline, run_ended.changed())
                .await
                .is_err()
            {
                return Err(UnknownReason::StillRunning.into());
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, IssuedTickets> {
        self.issued.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Issues a ticket to a caller.
pub(crate) async fn issue_ticket(State(traffic): State<Arc<RequestPath>>) -> Response {
    let own = traffic.shared().load().own_incarnation;
    let (now_ms, secret) = (clock::now_ms(), rand::random());
    let issued = traffic.tickets().lock().issue(own, now_ms, secret);
    match issued {
        Ok(id) => {
            let ticket = IssuedTicket {
                idempotency_key: id.to_string(),
                remembered_ms: TICKET_RETENTION_MS,
            };
            (StatusCode::CREATED, Json(ticket)).into_response()
        }
        Err(wait_ms) => {
            let failure = RequestFailure::from(NotRunReason::KeysFull).retry_after_ms(wait_ms);
            problem_response(failure, String::new())
        }
    }
}

/// Entry that issued a ticket: the only one that may run its request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum TicketIssuer {
    /// This entry issued the ticket.
    Local,
    /// The member with this peer address issued the ticket.
    Remote(SocketAddr),
    /// The entry that issued the ticket is no longer a member.
    Departed,
}

impl RequestPath {
    /// Returns the entry that issued a ticket.
    pub(crate) fn ticket_issuer(&self, id: TicketId) -> TicketIssuer {
        let view = self.shared().load();
        if id.issuer == view.own_incarnation || self.tickets().lock().remembers(id) {
            return TicketIssuer::Local;
        }
        match view.members.get(&id.issuer) {
            Some(&address) => TicketIssuer::Remote(address),
            None => TicketIssuer::Departed,
        }
    }
}

/// Runs a ticket's request, or returns the outcome of its first run.
///
/// # Errors
///
/// Returns the outcome when there is no response to forward.
pub(crate) async fn run_ticket(
    traffic: &Arc<RequestPath>,
    id: TicketId,
    request: RequestDigest,
    routed: RoutedRequest,
) -> Result<Response, RequestFailure> {
    let tickets = traffic.tickets();
    match tickets.begin_or_wait(id, request, routed.deadline).await? {
        TicketLookup::StartRun => {
            let run = RunPermit::for_ticket(id, Arc::clone(tickets));
            run_detached(traffic, routed, run).await
        }
        TicketLookup::Ended(outcome) => replay(outcome, &routed.request_id),
        TicketLookup::OtherRequest => Err(NotRunReason::KeyReused.into()),
        TicketLookup::Running => Err(UnknownReason::StillRunning.into()),
        TicketLookup::Expired => Err(UnknownReason::AnswerGone.into()),
        TicketLookup::NeverIssued => Err(NotRunReason::BadRequest.into()),
    }
}

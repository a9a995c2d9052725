//! Tickets: keys that the entry which minted them runs at most once, without the log.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use axum::Json;
use axum::extract::State;
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use cyclamentrail_core::{
    ClaimOutcome, Ending, NotRunReason, RequestDigest, TICKET_MEMORY_MS, TicketBook, TicketId,
    TicketLook, UnknownReason,
};
use serde::Serialize;
use tokio::sync::watch;
use tokio::time::Instant;

use super::answer::replay;
use super::claims::run_detached;
use super::listener::{Routed, Traffic};
use crate::body::problem;
use crate::clock;
use crate::control::Run;

/// The tickets of this entry.
#[derive(Debug)]
pub(crate) struct Tickets {
    book: Mutex<TicketBook>,
    ended: watch::Sender<()>,
}

/// A new ticket.
#[derive(Debug, Serialize)]
struct MintedTicket {
    /// The key to send with the request and with each of its repetitions.
    idempotency_key: String,
    /// Time in milliseconds for which it is remembered.
    remembered_ms: u64,
}

impl Tickets {
    /// Creates an empty book.
    pub(crate) fn new() -> Self {
        Self {
            book: Mutex::new(TicketBook::new()),
            ended: watch::Sender::new(()),
        }
    }

    /// Ends a ticket's run; without an outcome nothing was run.
    pub(crate) fn end(&self, id: TicketId, outcome: Option<ClaimOutcome>) {
        self.lock().end(id, outcome);
        self.ended.send_replace(());
    }

    async fn begin(
        &self,
        id: TicketId,
        request: RequestDigest,
        deadline: Instant,
    ) -> Result<TicketLook, Ending> {
        let mut ended = self.ended.subscribe();
        loop {
            ended.mark_unchanged();
            let look = self.lock().begin(id, request);
            if look != TicketLook::Running {
                return Ok(look);
            }
            if tokio::time::timeout_at(deadline, ended.changed())
                .await
                .is_err()
            {
                return Err(UnknownReason::StillRunning.into());
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, TicketBook> {
        self.book.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Mints a ticket.
pub(crate) async fn mint(State(traffic): State<Arc<Traffic>>) -> Response {
    let own = traffic.shared().load().own;
    let (now_ms, secret) = (clock::now_ms(), rand::random());
    let minted = traffic.tickets().lock().mint(own, now_ms, secret);
    match minted {
        Ok(id) => {
            let ticket = MintedTicket {
                idempotency_key: id.to_string(),
                remembered_ms: TICKET_MEMORY_MS,
            };
            (StatusCode::CREATED, Json(ticket)).into_response()
        }
        Err(wait_ms) => {
            let ending = Ending::from(NotRunReason::KeysFull).retry_after_ms(wait_ms);
            problem(ending, String::new())
        }
    }
}

/// Where a ticket's request must go.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum TicketPlace {
    /// This entry minted the ticket.
    Here,
    /// The entry with this address minted it.
    At(SocketAddr),
    /// The entry that minted it is gone.
    Gone,
}

impl Traffic {
    /// Returns where a ticket's request must go.
    pub(crate) fn place_of(&self, id: TicketId) -> TicketPlace {
        let view = self.shared().load();
        if id.minter == view.own || self.tickets().lock().knows(id) {
            return TicketPlace::Here;
        }
        match view.members.get(&id.minter) {
            Some(&address) => TicketPlace::At(address),
            None => TicketPlace::Gone,
        }
    }
}

/// Runs a ticket's request, or answers it with the outcome of its first run.
///
/// # Errors
///
/// Returns the outcome when there is no answer to pass on.
pub(crate) async fn run_ticket(
    traffic: &Arc<Traffic>,
    id: TicketId,
    request: RequestDigest,
    routed: Routed,
) -> Result<Response, Ending> {
    let tickets = traffic.tickets();
    match tickets.begin(id, request, routed.deadline).await? {
        TicketLook::Run => {
            let run = Run::of_ticket(id, Arc::clone(tickets));
            run_detached(traffic, routed, run).await
        }
        TicketLook::Ended(outcome) => replay(outcome, &routed.request_id),
        TicketLook::OtherRequest => Err(NotRunReason::KeyReused.into()),
        TicketLook::Running => Err(UnknownReason::StillRunning.into()),
        TicketLook::Forgotten => Err(UnknownReason::AnswerGone.into()),
        TicketLook::NeverMinted => Err(NotRunReason::BadRequest.into()),
    }
}

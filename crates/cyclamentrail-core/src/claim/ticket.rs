//! Tickets: idempotency keys issued by an entry process, for which only that process runs requests.
//!
//! A ticket needs no record in the log, so it works while the log is down. When the issuing process
//! is gone, the outcome of a used ticket is unknown, since no other process ever runs its request.

use std::collections::BTreeMap;
use std::fmt;
use std::str::FromStr;

use thiserror::Error;

use super::{ClaimOutcome, MAX_STORED_BYTES, RequestDigest};
use crate::id::Incarnation;

/// Time in milliseconds after issue for which a ticket is remembered.
pub const TICKET_RETENTION_MS: u64 = 3_600_000;
/// Maximum number of tickets that one process remembers.
pub const MAX_TICKETS: usize = 50_000;
/// Prefix of the text form of a ticket.
const PREFIX: &str = "ticket-";

/// Identifies a ticket; callers send its text form as their idempotency key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TicketId {
    /// Process that issued the ticket, the only one that may run its request.
    pub issuer: Incarnation,
    /// Sequence number among the tickets of that process.
    pub number: u64,
    /// Random number, so that callers can't guess tickets of others.
    pub secret: u64,
}

/// Error for a text that isn't a ticket.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("the key starts with \"ticket-\" but isn't a ticket; send the ticket as it was issued")]
pub struct ParseTicketError;

/// Result of looking up a ticket for a request at the process that issued it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TicketLookup {
    /// The ticket wasn't used yet; the caller must run the request now.
    StartRun,
    /// The request of the ticket is running.
    Running,
    /// The run has ended with this outcome.
    Ended(ClaimOutcome),
    /// The ticket was used for a request with another method, path or body.
    OtherRequest,
    /// The ticket has expired, so it isn't known any more whether it was used.
    Expired,
    /// The process has issued no such ticket.
    NeverIssued,
}

/// Tickets issued by one process, with the outcomes of their runs.
#[derive(Debug, Default)]
pub struct IssuedTickets {
    next_number: u64,
    tickets: BTreeMap<u64, Ticket>,
    /// Sizes in bytes of the stored responses, by ticket number.
    stored: BTreeMap<u64, usize>,
    /// Sum of the sizes in `stored`.
    stored_bytes: usize,
}

#[derive(Debug)]
struct Ticket {
    issuer: Incarnation,
    secret: u64,
    expires_ms: u64,
    run: Option<TicketRun>,
}

#[derive(Debug)]
struct TicketRun {
    request: RequestDigest,
    /// `None` while the request is running.
    outcome: Option<ClaimOutcome>,
}

impl IssuedTickets {
    /// Creates the state of a process that has issued no ticket.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Issues a ticket.
    ///
    /// `issuer` is the incarnation by which other processes know this process; they forward
    /// requests with the ticket to it. `secret` is a random number.
    ///
    /// # Errors
    ///
    /// Returns the time in milliseconds until the oldest ticket expires when [`MAX_TICKETS`] are
    /// remembered.
    pub fn issue(
        &mut self,
        issuer: Incarnation,
        now_ms: u64,
        secret: u64,
    ) -> Result<TicketId, u64> {
        self.expire(now_ms);
        if self.tickets.len() >= MAX_TICKETS
            && let Some((_, oldest)) = self.tickets.first_key_value()
        {
            return Err(oldest.expires_ms.saturating_sub(now_ms));
        }
        let number = self.next_number;
        self.next_number += 1;
        let ticket = Ticket {
            issuer,
            secret,
            expires_ms: now_ms.saturating_add(TICKET_RETENTION_MS),
            run: None,
        };
        self.tickets.insert(number, ticket);
        Ok(TicketId {
            issuer,
            number,
            secret,
        })
    }

    /// Returns whether this process issued the ticket and still remembers it.
    #[must_use]
    pub fn remembers(&self, id: TicketId) -> bool {
        self.tickets
            .get(&id.number)
            .is_some_and(|ticket| ticket.matches(id))
    }

    /// Looks up a ticket and marks it as used for the request.
    ///
    /// The caller must run the request exactly when [`TicketLookup::StartRun`] is returned, and then
    /// call [`IssuedTickets::end_run`].
    pub fn begin_run(&mut self, id: TicketId, request: RequestDigest) -> TicketLookup {
        if id.number >= self.next_number {
            return TicketLookup::NeverIssued;
        }
        let Some(ticket) = self.tickets.get_mut(&id.number) else {
            return TicketLookup::Expired;
        };
        if !ticket.matches(id) {
            return TicketLookup::NeverIssued;
        }
        let Some(run) = &ticket.run else {
            ticket.run = Some(TicketRun {
                request,
                outcome: None,
            });
            return TicketLookup::StartRun;
        };
        match &run.outcome {
            _ if run.request != request => TicketLookup::OtherRequest,
            Some(outcome) => TicketLookup::Ended(outcome.clone()),
            None => TicketLookup::Running,
        }
    }

    /// Records the end of a ticket's run.
    ///
    /// `None` means that nothing was run, so the ticket can be used again.
    pub fn end_run(&mut self, id: TicketId, outcome: Option<ClaimOutcome>) {
        let Some(ticket) = self.tickets.get_mut(&id.number) else {
            return;
        };
        let Some(outcome) = outcome else {
            ticket.run = None;
            return;
        };
        let bytes = outcome.stored_bytes();
        if let Some(run) = &mut ticket.run {
            run.outcome = Some(outcome);
            self.count_stored(id.number, bytes);
        }
    }

    /// Returns the number of remembered tickets.
    #[must_use]
    pub fn len(&self) -> usize {
        self.tickets.len()
    }

    /// Returns whether no ticket is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.tickets.is_empty()
    }

    /// Counts a stored response and drops the bodies of the oldest tickets while the total exceeds
    /// [`MAX_STORED_BYTES`].
    fn count_stored(&mut self, number: u64, bytes: usize) {
        self.stored.insert(number, bytes);
        self.stored_bytes += bytes;
        while self.stored_bytes > MAX_STORED_BYTES {
            let Some((oldest, bytes)) = self.stored.pop_first() else {
                return;
            };
            self.stored_bytes -= bytes;
            if let Some(run) = self
                .tickets
                .get_mut(&oldest)
                .and_then(|ticket| ticket.run.as_mut())
            {
                run.outcome = run.outcome.take().map(ClaimOutcome::without_body);
            }
        }
    }

    /// Removes the expired tickets, oldest first, up to the first one whose request is running.
    fn expire(&mut self, now_ms: u64) {
        while let Some(entry) = self.tickets.first_entry() {
            let is_running = entry
                .get()
                .run
                .as_ref()
                .is_some_and(|run| run.outcome.is_none());
            if entry.get().expires_ms > now_ms || is_running {
                return;
            }
            let (number, _) = entry.remove_entry();
            if let Some(bytes) = self.stored.remove(&number) {
                self.stored_bytes -= bytes;
            }
        }
    }
}

impl Ticket {
    /// Returns whether the issuer and the secret are those of `id`.
    const fn matches(&self, id: TicketId) -> bool {
        self.issuer.get() == id.issuer.get() && self.secret == id.secret
    }
}

impl TicketId {
    /// Returns whether a key starts with the prefix of tickets, and so is parsed as a ticket.
    #[must_use]
    pub fn has_ticket_prefix(key: &str) -> bool {
        key.starts_with(PREFIX)
    }
}

impl fmt::Display for TicketId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            issuer,
            number,
            secret,
        } = self;
        write!(f, "{PREFIX}{issuer}-{number}-{secret:016x}")
    }
}

impl FromStr for TicketId {
    type Err = ParseTicketError;

    fn from_str(text: &str) -> Result<Self, ParseTicketError> {
        let mut parts = text
            .strip_prefix(PREFIX)
            .ok_or(ParseTicketError)?
            .split('-');
        let mut parse_next = |radix| {
            let part = parts.next().ok_or(ParseTicketError)?;
            u64::from_str_radix(part, radix).map_err(|_error| ParseTicketError)
        };
        let id = Self {
            issuer: Incarnation::new(parse_next(10)?),
            number: parse_next(10)?,
            secret: parse_next(16)?,
        };
        if parts.next().is_some() {
            return Err(ParseTicketError);
        }
        Ok(id)
    }
}

//! Tickets: keys that only the process that minted them may run, so that no record is needed.
//!
//! A ticket works while the log is down. When its minter is gone, the outcome of a ticket that was
//! used is unknown; no other process ever runs it.

use std::collections::BTreeMap;
use std::fmt;
use std::str::FromStr;

use thiserror::Error;

use super::{ClaimOutcome, MAX_KEPT_BYTES, RequestDigest};
use crate::id::Incarnation;

/// Time in milliseconds for which a ticket is remembered.
pub const TICKET_MEMORY_MS: u64 = 3_600_000;
/// Tickets remembered at once.
pub const MAX_TICKETS: usize = 50_000;
/// Start of a ticket's text.
const PREFIX: &str = "ticket-";

/// Names a ticket; callers send it as their idempotency key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TicketId {
    /// The one process that may run it.
    pub minter: Incarnation,
    /// Position among the minter's tickets.
    pub number: u64,
    /// Random part, so that nobody guesses another caller's ticket.
    pub secret: u64,
}

/// A text that is no ticket.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("the key starts like a ticket and is none; send the ticket as it was given")]
pub struct NotATicket;

/// What a minter finds when a request comes with one of its tickets.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TicketLook {
    /// Run the request now.
    Run,
    /// It is running.
    Running,
    /// The run has ended.
    Ended(ClaimOutcome),
    /// The ticket was used with another request.
    OtherRequest,
    /// The ticket is so old that it is no longer known whether it was used.
    Forgotten,
    /// The minter gave out no such ticket.
    NeverMinted,
}

/// The tickets of one process.
#[derive(Debug, Default)]
pub struct TicketBook {
    next: u64,
    tickets: BTreeMap<u64, Ticket>,
    kept: BTreeMap<u64, usize>,
    kept_bytes: usize,
}

#[derive(Debug)]
struct Ticket {
    minter: Incarnation,
    secret: u64,
    forgotten_ms: u64,
    used: Option<Use>,
}

#[derive(Debug)]
struct Use {
    request: RequestDigest,
    outcome: Option<ClaimOutcome>,
}

impl TicketBook {
    /// Creates an empty book.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Mints a ticket that other processes bring to `minter`, as they know this process.
    ///
    /// # Errors
    ///
    /// Returns the time in milliseconds until there is room when too many are remembered.
    pub fn mint(&mut self, minter: Incarnation, now_ms: u64, secret: u64) -> Result<TicketId, u64> {
        self.forget(now_ms);
        if self.tickets.len() >= MAX_TICKETS
            && let Some((_, oldest)) = self.tickets.first_key_value()
        {
            return Err(oldest.forgotten_ms.saturating_sub(now_ms));
        }
        let number = self.next;
        self.next += 1;
        let ticket = Ticket {
            minter,
            secret,
            forgotten_ms: now_ms.saturating_add(TICKET_MEMORY_MS),
            used: None,
        };
        self.tickets.insert(number, ticket);
        Ok(TicketId {
            minter,
            number,
            secret,
        })
    }

    /// Returns whether this process minted a ticket and remembers it.
    #[must_use]
    pub fn knows(&self, id: TicketId) -> bool {
        self.tickets
            .get(&id.number)
            .is_some_and(|ticket| ticket.is(id))
    }

    /// Looks a ticket up for a request; the request must be run when the answer says so.
    pub fn begin(&mut self, id: TicketId, request: RequestDigest) -> TicketLook {
        if id.number >= self.next {
            return TicketLook::NeverMinted;
        }
        let Some(ticket) = self.tickets.get_mut(&id.number) else {
            return TicketLook::Forgotten;
        };
        if !ticket.is(id) {
            return TicketLook::NeverMinted;
        }
        let Some(used) = &ticket.used else {
            ticket.used = Some(Use {
                request,
                outcome: None,
            });
            return TicketLook::Run;
        };
        match &used.outcome {
            _ if used.request != request => TicketLook::OtherRequest,
            Some(outcome) => TicketLook::Ended(outcome.clone()),
            None => TicketLook::Running,
        }
    }

    /// Ends a ticket's run; without an outcome nothing was run, and the ticket can be used again.
    pub fn end(&mut self, id: TicketId, outcome: Option<ClaimOutcome>) {
        let Some(ticket) = self.tickets.get_mut(&id.number) else {
            return;
        };
        let Some(outcome) = outcome else {
            ticket.used = None;
            return;
        };
        let bytes = outcome.kept_bytes();
        if let Some(used) = &mut ticket.used {
            used.outcome = Some(outcome);
            self.keep(id.number, bytes);
        }
    }

    /// Returns the number of tickets that are remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.tickets.len()
    }

    /// Returns whether no ticket is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.tickets.is_empty()
    }

    fn keep(&mut self, number: u64, bytes: usize) {
        self.kept.insert(number, bytes);
        self.kept_bytes += bytes;
        while self.kept_bytes > MAX_KEPT_BYTES {
            let Some((oldest, bytes)) = self.kept.pop_first() else {
                return;
            };
            self.kept_bytes -= bytes;
            if let Some(used) = self
                .tickets
                .get_mut(&oldest)
                .and_then(|ticket| ticket.used.as_mut())
            {
                used.outcome = used.outcome.take().map(ClaimOutcome::without_body);
            }
        }
    }

    fn forget(&mut self, now_ms: u64) {
        while let Some(entry) = self.tickets.first_entry() {
            let is_running = entry
                .get()
                .used
                .as_ref()
                .is_some_and(|used| used.outcome.is_none());
            if entry.get().forgotten_ms > now_ms || is_running {
                return;
            }
            let (number, _) = entry.remove_entry();
            if let Some(bytes) = self.kept.remove(&number) {
                self.kept_bytes -= bytes;
            }
        }
    }
}

impl Ticket {
    const fn is(&self, id: TicketId) -> bool {
        self.minter.get() == id.minter.get() && self.secret == id.secret
    }
}

impl TicketId {
    /// Returns whether a key claims to be a ticket.
    #[must_use]
    pub fn is_meant_by(key: &str) -> bool {
        key.starts_with(PREFIX)
    }
}

impl fmt::Display for TicketId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            minter,
            number,
            secret,
        } = self;
        write!(f, "{PREFIX}{minter}-{number}-{secret:016x}")
    }
}

impl FromStr for TicketId {
    type Err = NotATicket;

    fn from_str(text: &str) -> Result<Self, NotATicket> {
        let mut parts = text.strip_prefix(PREFIX).ok_or(NotATicket)?.split('-');
        let mut number = |radix| {
            let part = parts.next().ok_or(NotATicket)?;
            u64::from_str_radix(part, radix).map_err(|_error| NotATicket)
        };
        let id = Self {
            minter: Incarnation::new(number(10)?),
            number: number(10)?,
            secret: number(16)?,
        };
        if parts.next().is_some() {
            return Err(NotATicket);
        }
        Ok(id)
    }
}

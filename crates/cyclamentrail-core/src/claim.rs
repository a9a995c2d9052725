//! Replicated state of idempotency keys, computed as a fold of the claim records in the log.
//!
//! The first accepted claim of a key gives one entry process the right to run the request, once.
//! The claim ends with the outcome of that run, or is released when nothing was run. Claims expire
//! by the clock of the log, after the last retry for which the platform promises to know the key.
//!
//! ```
//! use cyclamentrail_core::{Claims, KeyDigest};
//!
//! let claims = Claims::default();
//! assert!(claims.get(&KeyDigest::of(&["checks", "key-1"])).is_none());
//! ```

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::fleet::{FoldContext, RejectionKind};
use crate::id::{Incarnation, Offset};

mod digest;
mod lookup;
mod response;
mod ticket;

pub use digest::{KeyDigest, RequestDigest};
pub use lookup::ClaimLookup;
pub use response::{ClaimOutcome, StoredBody, StoredHeader, StoredResponse};
pub use ticket::{
    IssuedTickets, MAX_TICKETS, ParseTicketError, TICKET_RETENTION_MS, TicketId, TicketLookup,
};

/// Largest age in milliseconds, by the clock of the log, at which a claim record is accepted.
///
/// A record that is appended later than that is rejected, since its caller may have given up.
pub const CLAIM_WINDOW_MS: u64 = 60_000;
/// Maximum number of remembered idempotency keys.
pub const MAX_CLAIMS: usize = 200_000;
/// Maximum size in bytes of all responses stored in the replicated state, and also of those stored
/// with the tickets of one process.
pub const MAX_STORED_BYTES: usize = 16 * 1024 * 1024;

/// A record about idempotency keys.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimRecord {
    /// The author claims the sole right to run the key's request.
    Claimed {
        /// Digest of the idempotency key.
        key: KeyDigest,
        /// Digest of the request that was sent with the key.
        request: RequestDigest,
        /// Clock of the log in milliseconds as folded by the author before it checked that its
        /// caller still waits.
        seen_ms: u64,
    },
    /// The owner ran the request or may have run it, so nobody runs it again.
    Finished {
        /// Digest of the idempotency key.
        key: KeyDigest,
        /// Offset at which the claim was accepted.
        claim: Offset,
        /// How the run ended.
        outcome: ClaimOutcome,
    },
    /// The owner didn't run the request and won't run it under this claim; the key is free again.
    Released {
        /// Digest of the idempotency key.
        key: KeyDigest,
        /// Offset at which the claim was accepted.
        claim: Offset,
    },
}

/// An accepted claim of an idempotency key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Digest of the idempotency key.
    pub key: KeyDigest,
    /// Digest of the request that the key was claimed for.
    pub request: RequestDigest,
    /// The only process that may run the request.
    pub owner: Incarnation,
    /// Offset at which the claim was accepted.
    pub offset: Offset,
    /// Clock of the log in milliseconds at which the claim expires.
    pub expires_ms: u64,
    /// Outcome of the run; `None` while the owner may be running the request.
    pub outcome: Option<ClaimOutcome>,
}

/// Replicated state of all claimed idempotency keys.
///
/// Serialized as the list of its claims.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(from = "Vec<Claim>", into = "Vec<Claim>")]
pub struct Claims {
    by_key: BTreeMap<KeyDigest, Claim>,
    /// Keys in the order in which their claims expire.
    by_expiry: BTreeMap<(u64, Offset), KeyDigest>,
    /// Keys with a stored response and its size in bytes, by the offset of the claim.
    stored: BTreeMap<Offset, (KeyDigest, usize)>,
    /// Sum of the sizes in `stored`.
    stored_bytes: usize,
}

impl Claims {
    /// Returns the claim of a key; `None` when the key is free.
    #[must_use]
    pub fn get(&self, key: &KeyDigest) -> Option<&Claim> {
        self.by_key.get(key)
    }

    /// Returns all claims in the order of their key digests.
    pub fn iter(&self) -> impl Iterator<Item = &Claim> {
        self.by_key.values()
    }

    /// Returns the number of remembered keys.
    #[must_use]
    pub fn len(&self) -> usize {
        self.by_key.len()
    }

    /// Returns whether no key is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_key.is_empty()
    }

    /// Returns the size in bytes of all stored responses.
    #[must_use]
    pub const fn stored_bytes(&self) -> usize {
        self.stored_bytes
    }

    /// Applies a record to the state, after removing the claims that have expired.
    ///
    /// # Errors
    ///
    /// Returns the reason why the record is rejected; a rejected record changes nothing else.
    pub fn fold(
        &mut self,
        context: &FoldContext<'_>,
        record: &ClaimRecord,
    ) -> Result<(), RejectionKind> {
        self.expire(context.clock_ms);
        match record {
            ClaimRecord::Claimed {
                key,
                request,
                seen_ms,
            } => self.fold_claimed(context, *key, *request, *seen_ms),
            ClaimRecord::Finished {
                key,
                claim,
                outcome,
            } => self.fold_finished(context.author, key, *claim, outcome),
            ClaimRecord::Released { key, claim } => self.fold_released(context.author, key, *claim),
        }
    }

    fn fold_claimed(
        &mut self,
        context: &FoldContext<'_>,
        key: KeyDigest,
        request: RequestDigest,
        seen_ms: u64,
    ) -> Result<(), RejectionKind> {
        if let Some(claim) = self.by_key.get(&key) {
            return Err(RejectionKind::KeyClaimed { owner: claim.owner });
        }
        let age_ms = context.clock_ms.saturating_sub(seen_ms);
        if age_ms > CLAIM_WINDOW_MS {
            return Err(RejectionKind::ClaimTooOld { age_ms });
        }
        if self.by_key.len() >= MAX_CLAIMS {
            return Err(RejectionKind::ClaimsFull {
                free_in_ms: self.free_in_ms(context.clock_ms),
            });
        }
        let expires_ms = context.clock_ms.saturating_add(retention_ms(context));
        self.insert(Claim {
            key,
            request,
            owner: context.author,
            offset: context.offset,
            expires_ms,
            outcome: None,
        });
        Ok(())
    }

    fn fold_finished(
        &mut self,
        author: Incarnation,
        key: &KeyDigest,
        claim: Offset,
        outcome: &ClaimOutcome,
    ) -> Result<(), RejectionKind> {
        let claim_to_end = self.unfinished(author, key, claim)?;
        claim_to_end.outcome = Some(outcome.clone());
        self.count_stored(*key, claim, outcome.stored_bytes());
        Ok(())
    }

    fn fold_released(
        &mut self,
        author: Incarnation,
        key: &KeyDigest,
        claim: Offset,
    ) -> Result<(), RejectionKind> {
        let expires_ms = self.unfinished(author, key, claim)?.expires_ms;
        self.by_key.remove(key);
        self.by_expiry.remove(&(expires_ms, claim));
        Ok(())
    }

    /// Returns the claim at `offset` if the author owns it and it has no outcome yet.
    fn unfinished(
        &mut self,
        author: Incarnation,
        key: &KeyDigest,
        offset: Offset,
    ) -> Result<&mut Claim, RejectionKind> {
        self.by_key
            .get_mut(key)
            .filter(|claim| {
                claim.owner == author && claim.offset == offset && claim.outcome.is_none()
            })
            .ok_or(RejectionKind::ClaimEnded { claim: offset })
    }

    fn insert(&mut self, claim: Claim) {
        let bytes = claim.outcome.as_ref().map_or(0, ClaimOutcome::stored_bytes);
        self.by_expiry
            .insert((claim.expires_ms, claim.offset), claim.key);
        let (key, offset) = (claim.key, claim.offset);
        self.by_key.insert(key, claim);
        self.count_stored(key, offset, bytes);
    }

    /// Counts a stored response and drops the bodies of the oldest claims while the total exceeds
    /// [`MAX_STORED_BYTES`].
    fn count_stored(&mut self, key: KeyDigest, offset: Offset, bytes: usize) {
        if bytes == 0 {
            return;
        }
        self.stored.insert(offset, (key, bytes));
        self.stored_bytes += bytes;
        while self.stored_bytes > MAX_STORED_BYTES {
            let Some((_, (oldest, bytes))) = self.stored.pop_first() else {
                return;
            };
            self.stored_bytes -= bytes;
            if let Some(claim) = self.by_key.get_mut(&oldest) {
                claim.outcome = claim.outcome.take().map(ClaimOutcome::without_body);
            }
        }
    }

    /// Removes the claims that have expired by the clock of the log.
    fn expire(&mut self, clock_ms: u64) {
        while let Some(entry) = self.by_expiry.first_entry() {
            let (expires_ms, offset) = *entry.key();
            if expires_ms > clock_ms {
                return;
            }
            self.by_key.remove(&entry.remove());
            if let Some((_, bytes)) = self.stored.remove(&offset) {
                self.stored_bytes -= bytes;
            }
        }
    }

    /// Returns the time in milliseconds until the next claim expires.
    fn free_in_ms(&self, clock_ms: u64) -> u64 {
        self.by_expiry
            .first_key_value()
            .map_or(0, |((expires_ms, _), _)| {
                expires_ms.saturating_sub(clock_ms)
            })
    }
}

impl From<Vec<Claim>> for Claims {
    fn from(list: Vec<Claim>) -> Self {
        let mut claims = Self::default();
        for claim in list {
            claims.insert(claim);
        }
        claims
    }
}

impl From<Claims> for Vec<Claim> {
    fn from(claims: Claims) -> Self {
        claims.by_key.into_values().collect()
    }
}

/// Returns the time in milliseconds for which a claim is remembered.
///
/// This is the time promised to callers, plus the longest time until a retry that arrived within
/// it is claimed: the longest deadline and the largest accepted age of a claim. Without settings,
/// claims don't expire.
fn retention_ms(context: &FoldContext<'_>) -> u64 {
    let millis = |duration: Duration| u64::try_from(duration.as_millis()).unwrap_or(u64::MAX);
    context.settings.map_or(u64::MAX, |settings| {
        millis(settings.requests.key_memory_ms)
            .saturating_add(millis(settings.requests.max_deadline_ms))
            .saturating_add(CLAIM_WINDOW_MS)
    })
}

//! Agreed state of idempotency keys, as a fold of their records.
//!
//! The first accepted claim of a key names the one entry process that may run the request, once.
//! The claim ends with the outcome of that run, or is released when nothing was run. A claim is
//! forgotten by the time of the log, long after the last retry that the caller was promised.
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

mod answer;
mod digest;
mod look;
mod ticket;

pub use answer::{ClaimOutcome, KeptAnswer, KeptBody, KeptHeader};
pub use digest::{KeyDigest, RequestDigest};
pub use look::ClaimLook;
pub use ticket::{MAX_TICKETS, NotATicket, TICKET_MEMORY_MS, TicketBook, TicketId, TicketLook};

/// Age in milliseconds of a claim, by the time of the log, above which it is rejected.
pub const CLAIM_WINDOW_MS: u64 = 60_000;
/// Idempotency keys remembered at once.
pub const MAX_CLAIMS: usize = 200_000;
/// Bytes of all answers that are kept in the agreed state.
pub const MAX_KEPT_BYTES: usize = 16 * 1024 * 1024;

/// A record about idempotency keys.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimRecord {
    /// The author asks to be the one process that may run the key's request.
    Claimed {
        /// The key.
        key: KeyDigest,
        /// The request that the key was sent with.
        request: RequestDigest,
        /// Time of the log in milliseconds that the author had folded before it checked that its
        /// caller still waits.
        seen_ms: u64,
    },
    /// The owner ran the request, or may have.
    Finished {
        /// The key.
        key: KeyDigest,
        /// Offset at which the claim was accepted.
        claim: Offset,
        /// How the run ended.
        outcome: ClaimOutcome,
    },
    /// The owner didn't run the request and never will under this claim.
    Released {
        /// The key.
        key: KeyDigest,
        /// Offset at which the claim was accepted.
        claim: Offset,
    },
}

/// An accepted claim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The key.
    pub key: KeyDigest,
    /// The request that the key belongs to.
    pub request: RequestDigest,
    /// The one process that may run it.
    pub owner: Incarnation,
    /// Offset at which the claim was accepted.
    pub offset: Offset,
    /// Time of the log in milliseconds at which the claim is forgotten.
    pub expires_ms: u64,
    /// How the run ended; `None` while the owner may be running it.
    pub outcome: Option<ClaimOutcome>,
}

/// Agreed state of idempotency keys.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(from = "Vec<Claim>", into = "Vec<Claim>")]
pub struct Claims {
    by_key: BTreeMap<KeyDigest, Claim>,
    /// Keys in the order in which they are forgotten.
    by_expiry: BTreeMap<(u64, Offset), KeyDigest>,
    /// Keys whose answers are kept, in the order of their claims, with the bytes of each.
    kept: BTreeMap<Offset, (KeyDigest, usize)>,
    kept_bytes: usize,
}

impl Claims {
    /// Returns the claim of a key.
    #[must_use]
    pub fn get(&self, key: &KeyDigest) -> Option<&Claim> {
        self.by_key.get(key)
    }

    /// Returns the claims in the order of keys.
    pub fn iter(&self) -> impl Iterator<Item = &Claim> {
        self.by_key.values()
    }

    /// Returns the number of keys that are remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.by_key.len()
    }

    /// Returns whether no key is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_key.is_empty()
    }

    /// Returns the bytes of the answers that are kept.
    #[must_use]
    pub const fn kept_bytes(&self) -> usize {
        self.kept_bytes
    }

    /// Folds a record.
    ///
    /// # Errors
    ///
    /// Returns why the record has no effect.
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
        let expires_ms = context.clock_ms.saturating_add(memory_ms(context));
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
        let found = self.running(author, key, claim)?;
        found.outcome = Some(outcome.clone());
        self.keep(*key, claim, outcome.kept_bytes());
        Ok(())
    }

    fn fold_released(
        &mut self,
        author: Incarnation,
        key: &KeyDigest,
        claim: Offset,
    ) -> Result<(), RejectionKind> {
        let expires_ms = self.running(author, key, claim)?.expires_ms;
        self.by_key.remove(key);
        self.by_expiry.remove(&(expires_ms, claim));
        Ok(())
    }

    /// Returns the claim that the author owns and hasn't ended.
    fn running(
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
        let bytes = claim.outcome.as_ref().map_or(0, ClaimOutcome::kept_bytes);
        self.by_expiry
            .insert((claim.expires_ms, claim.offset), claim.key);
        let (key, offset) = (claim.key, claim.offset);
        self.by_key.insert(key, claim);
        self.keep(key, offset, bytes);
    }

    /// Counts a kept answer and drops the oldest bodies above the limit.
    fn keep(&mut self, key: KeyDigest, offset: Offset, bytes: usize) {
        if bytes == 0 {
            return;
        }
        self.kept.insert(offset, (key, bytes));
        self.kept_bytes += bytes;
        while self.kept_bytes > MAX_KEPT_BYTES {
            let Some((_, (oldest, bytes))) = self.kept.pop_first() else {
                return;
            };
            self.kept_bytes -= bytes;
            if let Some(claim) = self.by_key.get_mut(&oldest) {
                claim.outcome = claim.outcome.take().map(ClaimOutcome::without_body);
            }
        }
    }

    fn expire(&mut self, clock_ms: u64) {
        while let Some(entry) = self.by_expiry.first_entry() {
            let (expires_ms, offset) = *entry.key();
            if expires_ms > clock_ms {
                return;
            }
            self.by_key.remove(&entry.remove());
            if let Some((_, bytes)) = self.kept.remove(&offset) {
                self.kept_bytes -= bytes;
            }
        }
    }

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

/// Returns how long a claim is kept: the promise to callers, and the longest time that a retry
/// which came within it may take to be claimed.
fn memory_ms(context: &FoldContext<'_>) -> u64 {
    let millis = |duration: Duration| u64::try_from(duration.as_millis()).unwrap_or(u64::MAX);
    context.settings.map_or(u64::MAX, |settings| {
        millis(settings.requests.key_memory_ms)
            .saturating_add(millis(settings.requests.max_deadline_ms))
            .saturating_add(CLAIM_WINDOW_MS)
    })
}

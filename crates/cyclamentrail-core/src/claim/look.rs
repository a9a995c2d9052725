//! What a process finds when it looks up an idempotency key.

use super::{Claim, Claims, KeyDigest, RequestDigest};
use crate::id::{Incarnation, Offset};

/// What a process finds when it looks up an idempotency key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimLook<'a> {
    /// Nobody has claimed the key.
    Free,
    /// The key belongs to another request.
    OtherRequest,
    /// The run has ended.
    Ended(&'a Claim),
    /// This process may run the request, unless it has started before under the same claim.
    Own {
        /// Offset at which the claim was accepted.
        claim: Offset,
    },
    /// Another process may be running the request.
    Elsewhere {
        /// The process.
        owner: Incarnation,
    },
    /// The process that may have run the request is gone.
    OwnerGone,
}

impl Claims {
    /// Returns what process `own` finds under a key; `is_member` tells which processes are members.
    #[must_use]
    pub fn look(
        &self,
        key: &KeyDigest,
        request: &RequestDigest,
        own: Incarnation,
        is_member: impl Fn(Incarnation) -> bool,
    ) -> ClaimLook<'_> {
        let Some(claim) = self.get(key) else {
            return ClaimLook::Free;
        };
        if &claim.request != request {
            return ClaimLook::OtherRequest;
        }
        if claim.outcome.is_some() {
            return ClaimLook::Ended(claim);
        }
        if !is_member(claim.owner) {
            return ClaimLook::OwnerGone;
        }
        if claim.owner == own {
            return ClaimLook::Own {
                claim: claim.offset,
            };
        }
        ClaimLook::Elsewhere { owner: claim.owner }
    }
}

//! Lookup of an idempotency key on behalf of one process.

use super::{Claim, Claims, KeyDigest, RequestDigest};
use crate::id::{Incarnation, Offset};

/// Result of looking up an idempotency key, as seen by one entry process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimLookup<'a> {
    /// No process has claimed the key.
    Unclaimed,
    /// The key was claimed for a request with another method, path or body.
    OtherRequest,
    /// The run has ended; the claim holds its outcome.
    Ended(&'a Claim),
    /// This process owns the claim and may run the request, unless it has already started to under
    /// the same claim.
    OwnedHere {
        /// Offset at which the claim was accepted.
        claim: Offset,
    },
    /// Another process owns the claim and may be running the request.
    OwnedElsewhere {
        /// Process that owns the claim.
        owner: Incarnation,
    },
    /// The process that owns the claim is no member any more and may have run the request.
    OwnerGone,
}

impl Claims {
    /// Looks up a key on behalf of process `own`.
    ///
    /// `is_member` returns whether a process is a member of the platform.
    #[must_use]
    pub fn look_up(
        &self,
        key: &KeyDigest,
        request: &RequestDigest,
        own: Incarnation,
        is_member: impl Fn(Incarnation) -> bool,
    ) -> ClaimLookup<'_> {
        let Some(claim) = self.get(key) else {
            return ClaimLookup::Unclaimed;
        };
        if &claim.request != request {
            return ClaimLookup::OtherRequest;
        }
        if claim.outcome.is_some() {
            return ClaimLookup::Ended(claim);
        }
        if !is_member(claim.owner) {
            return ClaimLookup::OwnerGone;
        }
        if claim.owner == own {
            return ClaimLookup::OwnedHere {
                claim: claim.offset,
            };
        }
        ClaimLookup::OwnedElsewhere { owner: claim.owner }
    }
}

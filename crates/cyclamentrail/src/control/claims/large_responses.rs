//! Responses that are too large for the log, kept in memory by the process that received them.

use std::collections::{BTreeMap, VecDeque};

use cyclamentrail_core::{ClaimOutcome, KeyDigest, Offset, StoredBody, StoredResponse};

/// Largest response that is stored whole in the log, in bytes.
const MAX_LOGGED_BYTES: usize = 2048;
/// Largest total size of the responses kept, in bytes; the oldest are dropped first.
const MAX_KEPT_BYTES: usize = 32 * 1024 * 1024;

/// Key and offset of the accepted claim, which identify a run.
type ClaimId = (KeyDigest, Offset);

/// Outcomes whose responses are too large for the log.
#[derive(Debug, Default)]
pub(super) struct LargeResponses {
    responses: BTreeMap<ClaimId, ClaimOutcome>,
    insertion_order: VecDeque<ClaimId>,
    total_bytes: usize,
}

impl LargeResponses {
    /// Stores an outcome if it is too large for the log; returns the outcome to write to the log,
    /// then without its body.
    pub(super) fn store(
        &mut self,
        key: KeyDigest,
        claim: Offset,
        outcome: ClaimOutcome,
    ) -> ClaimOutcome {
        if outcome.stored_bytes() <= MAX_LOGGED_BYTES {
            return outcome;
        }
        self.insert((key, claim), outcome.clone());
        outcome.without_body()
    }

    /// Returns the outcome with its body if `known` omits the body and it is kept here, else
    /// `known`.
    pub(super) fn with_kept_body(
        &self,
        key: KeyDigest,
        claim: Offset,
        known: &ClaimOutcome,
    ) -> ClaimOutcome {
        let is_body_at_owner = matches!(
            known,
            ClaimOutcome::Answered(StoredResponse {
                body: StoredBody::AtOwner { .. },
                ..
            })
        );
        let kept = self
            .responses
            .get(&(key, claim))
            .filter(|_| is_body_at_owner);
        kept.unwrap_or(known).clone()
    }

    pub(super) fn len(&self) -> usize {
        self.responses.len()
    }

    pub(super) const fn total_bytes(&self) -> usize {
        self.total_bytes
    }

    fn insert(&mut self, id: ClaimId, outcome: ClaimOutcome) {
        self.total_bytes += outcome.stored_bytes();
        self.responses.insert(id, outcome);
        self.insertion_order.push_back(id);
        while self.total_bytes > MAX_KEPT_BYTES {
            let Some(oldest) = self.insertion_order.pop_front() else {
                return;
            };
            let removed = self.responses.remove(&oldest);
            self.total_bytes -= removed.map_or(0, |outcome| outcome.stored_bytes());
        }
    }
}

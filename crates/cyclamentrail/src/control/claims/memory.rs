//! Answers that are too large for the log, kept by the process that got them.

use std::collections::{BTreeMap, VecDeque};

use cyclamentrail_core::{ClaimOutcome, KeptAnswer, KeptBody, KeyDigest, Offset};

/// Largest answer in bytes that is kept in the log.
const LOGGED_BYTES: usize = 2048;
/// Bytes of all answers kept; the oldest ones go first.
const MEMORY_BYTES: usize = 32 * 1024 * 1024;

/// A claim of a key.
type ClaimId = (KeyDigest, Offset);

/// Answers, oldest first.
#[derive(Debug, Default)]
pub(super) struct AnswerMemory {
    answers: BTreeMap<ClaimId, ClaimOutcome>,
    order: VecDeque<ClaimId>,
    bytes: usize,
}

impl AnswerMemory {
    /// Keeps an answer if it is too large for the log, and returns what the log gets.
    pub(super) fn keep(
        &mut self,
        key: KeyDigest,
        claim: Offset,
        outcome: ClaimOutcome,
    ) -> ClaimOutcome {
        if outcome.kept_bytes() <= LOGGED_BYTES {
            return outcome;
        }
        self.insert((key, claim), outcome.clone());
        outcome.without_body()
    }

    /// Returns the whole outcome, if it is kept here, or what is known of it.
    pub(super) fn complete(
        &self,
        key: KeyDigest,
        claim: Offset,
        known: &ClaimOutcome,
    ) -> ClaimOutcome {
        let elsewhere = matches!(
            known,
            ClaimOutcome::Answered(KeptAnswer {
                body: KeptBody::AtOwner { .. },
                ..
            })
        );
        let kept = self.answers.get(&(key, claim)).filter(|_| elsewhere);
        kept.unwrap_or(known).clone()
    }

    pub(super) fn len(&self) -> usize {
        self.answers.len()
    }

    pub(super) const fn bytes(&self) -> usize {
        self.bytes
    }

    fn insert(&mut self, id: ClaimId, outcome: ClaimOutcome) {
        self.bytes += outcome.kept_bytes();
        self.answers.insert(id, outcome);
        self.order.push_back(id);
        while self.bytes > MEMORY_BYTES {
            let Some(oldest) = self.order.pop_front() else {
                return;
            };
            let removed = self.answers.remove(&oldest);
            self.bytes -= removed.map_or(0, |outcome| outcome.kept_bytes());
        }
    }
}

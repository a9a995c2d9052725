//! Agreed state of idempotency keys, as a fold of their records.

use serde::{Deserialize, Serialize};

use crate::fleet::{FoldContext, RejectionKind};

/// A record about idempotency keys.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimRecord {}

/// Agreed state of idempotency keys.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Claims {
    /// Records that were folded.
    pub records: u64,
}

impl Claims {
    /// Folds a record.
    ///
    /// # Errors
    ///
    /// Returns why the record has no effect.
    pub(crate) fn fold(
        &mut self,
        _context: &FoldContext<'_>,
        record: &ClaimRecord,
    ) -> Result<(), RejectionKind> {
        self.records += 1;
        match *record {}
    }
}

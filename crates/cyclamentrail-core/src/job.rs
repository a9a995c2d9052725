//! Agreed state of long jobs, as a fold of their records.

use serde::{Deserialize, Serialize};

use crate::fleet::{FoldContext, RejectionKind};

/// A record about long jobs.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobRecord {}

/// Agreed state of long jobs.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Jobs {
    /// Records that were folded.
    pub records: u64,
}

impl Jobs {
    /// Folds a record.
    ///
    /// # Errors
    ///
    /// Returns why the record has no effect.
    pub(crate) fn fold(
        &mut self,
        _context: &FoldContext<'_>,
        record: &JobRecord,
    ) -> Result<(), RejectionKind> {
        self.records += 1;
        match *record {}
    }
}

//! Agreed state of maintenance waves, as a fold of their records.

use serde::{Deserialize, Serialize};

use crate::fleet::{FoldContext, RejectionKind};

/// A record about maintenance waves.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WaveRecord {}

/// Agreed state of maintenance waves.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Waves {
    /// Records that were folded.
    pub records: u64,
}

impl Waves {
    /// Folds a record.
    ///
    /// # Errors
    ///
    /// Returns why the record has no effect.
    pub(crate) fn fold(
        &mut self,
        _context: &FoldContext<'_>,
        record: &WaveRecord,
    ) -> Result<(), RejectionKind> {
        self.records += 1;
        match *record {}
    }
}

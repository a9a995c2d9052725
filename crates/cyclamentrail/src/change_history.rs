//! History of the newest settings changes that this entry folded, accepted or rejected.

use std::collections::VecDeque;
use std::sync::{Mutex, MutexGuard, PoisonError};

use cyclamentrail_core::{FoldOutcome, Offset, RecordBody, Version};
use serde::Serialize;
use serde_json::Value;

/// Largest number of changes kept.
const MAX_CHANGES: usize = 1024;
/// Longest patch kept, in bytes of JSON.
const MAX_PATCH_BYTES: usize = 4096;

/// A folded settings change.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub(crate) struct Change {
    /// Version that the change was made on.
    pub(crate) presumes: Version,
    /// Offset of the change's record in the log.
    pub(crate) offset: Offset,
    /// Time at which the log appended the record, in milliseconds since the Unix epoch.
    pub(crate) appended_ms: u64,
    /// Name of the operator who made the change.
    pub(crate) operator: String,
    /// JSON merge patch of the settings; `null` when the patch is too long to keep.
    pub(crate) patch: Value,
    /// Whether the change came into force.
    pub(crate) result: ChangeResult,
}

/// Result of folding a change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum ChangeResult {
    /// The change came into force as this version.
    InForce(Version),
    /// The change was rejected for this reason.
    Rejected(String),
}

/// The newest settings changes, up to [`MAX_CHANGES`], oldest first.
#[derive(Debug, Default)]
pub(crate) struct ChangeHistory {
    changes: Mutex<VecDeque<Change>>,
}

impl ChangeHistory {
    /// Adds a folded record if it is a settings change; `version` is in force after it.
    pub(crate) fn record(
        &self,
        (offset, appended_ms): (Offset, u64),
        body: Option<&RecordBody>,
        outcome: &FoldOutcome,
        version: Version,
    ) {
        let Some(RecordBody::SettingsChanged {
            presumes,
            patch,
            operator,
        }) = body
        else {
            return;
        };
        let is_kept = patch.to_string().len() <= MAX_PATCH_BYTES;
        let change = Change {
            presumes: *presumes,
            offset,
            appended_ms,
            operator: operator.clone(),
            patch: if is_kept { patch.clone() } else { Value::Null },
            result: match outcome {
                FoldOutcome::Accepted => ChangeResult::InForce(version),
                FoldOutcome::Rejected(rejection) => {
                    ChangeResult::Rejected(rejection.kind.to_string())
                }
            },
        };
        let mut changes = self.lock();
        if changes.len() >= MAX_CHANGES {
            changes.pop_front();
        }
        changes.push_back(change);
    }

    /// Returns the change that brought a version into force.
    pub(crate) fn in_force(&self, version: Version) -> Option<Change> {
        let result = ChangeResult::InForce(version);
        let changes = self.lock();
        changes
            .iter()
            .find(|change| change.result == result)
            .cloned()
    }

    /// Returns the rejected changes that were made on a version.
    pub(crate) fn rejected_on(&self, version: Version) -> Vec<Change> {
        let changes = self.lock();
        changes
            .iter()
            .filter(|change| {
                change.presumes == version && matches!(change.result, ChangeResult::Rejected(_))
            })
            .cloned()
            .collect()
    }

    fn lock(&self) -> MutexGuard<'_, VecDeque<Change>> {
        self.changes.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

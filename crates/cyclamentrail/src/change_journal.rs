//! The bounded journal of settings changes, as this entry folded them.

use std::collections::VecDeque;
use std::sync::{Mutex, MutexGuard, PoisonError};

use cyclamentrail_core::{Applied, Offset, RecordBody, Version};
use serde::Serialize;
use serde_json::Value;

/// Changes that are kept.
const MAX_CHANGES: usize = 1024;
/// Longest patch that is kept, in bytes of JSON.
const MAX_PATCH_BYTES: usize = 4096;

/// One change that was asked for.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub(crate) struct Change {
    /// Version that it was made on.
    pub(crate) presumes: Version,
    /// Position of its record in the log.
    pub(crate) offset: Offset,
    /// The log's time stamp, in milliseconds since the Unix epoch.
    pub(crate) appended_ms: u64,
    /// Operator who asked for it.
    pub(crate) operator: String,
    /// The JSON merge patch; `null` when it is too long to keep.
    pub(crate) patch: Value,
    /// What came of it.
    pub(crate) result: ChangeResult,
}

/// What came of a change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum ChangeResult {
    /// It came into force as this version.
    InForce(Version),
    /// It was rejected, for this reason.
    Rejected(String),
}

/// The newest changes.
#[derive(Debug, Default)]
pub(crate) struct ChangeJournal {
    changes: Mutex<VecDeque<Change>>,
}

impl ChangeJournal {
    /// Notes a folded record if it is a change; `version` is in force after it.
    pub(crate) fn note(
        &self,
        (offset, appended_ms): (Offset, u64),
        body: Option<&RecordBody>,
        applied: &Applied,
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
        let is_short = patch.to_string().len() <= MAX_PATCH_BYTES;
        let change = Change {
            presumes: *presumes,
            offset,
            appended_ms,
            operator: operator.clone(),
            patch: if is_short { patch.clone() } else { Value::Null },
            result: match applied {
                Applied::Accepted => ChangeResult::InForce(version),
                Applied::Rejected(rejection) => ChangeResult::Rejected(rejection.kind.to_string()),
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

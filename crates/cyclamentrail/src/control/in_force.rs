//! Which entries have the settings in force.

use cyclamentrail_core::{EntryName, Incarnation, Offset, Version};
use serde::Serialize;

/// Answer to the question where the settings are in force.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct InForce {
    /// Version in force on the entry that answers.
    pub(crate) version: Version,
    /// Offset of the record that brought it into force.
    pub(crate) offset: Offset,
    /// Operator who made the last change.
    pub(crate) operator: String,
    /// Whether all live members have it in force.
    pub(crate) everywhere: bool,
    /// The members.
    pub(crate) members: Vec<MemberInForce>,
}

/// One member as the entry that answers sees it.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct MemberInForce {
    /// Name of the entry instance.
    pub(crate) entry: EntryName,
    /// Its process.
    pub(crate) incarnation: Incarnation,
    /// Whether it was heard of lately.
    pub(crate) live: bool,
    /// Version in force there, as last heard.
    pub(crate) settings_version: Version,
    /// Offset of the record that it folds next, as last heard.
    pub(crate) next_offset: Offset,
    /// Milliseconds since it was last heard of.
    pub(crate) heard_ms_ago: u64,
}

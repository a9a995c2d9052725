//! Settings version in force on each entry.

use cyclamentrail_core::{EntryName, Incarnation, Offset, Version};
use serde::Serialize;

/// Settings version in force on the responding entry and on all members.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct SettingsStatus {
    /// Version in force on the responding entry.
    pub(crate) version: Version,
    /// Offset of the record that brought the version into force.
    pub(crate) offset: Offset,
    /// Operator who made the last change.
    pub(crate) operator: String,
    /// Whether the version, or a newer one, is in force on all live members.
    pub(crate) everywhere: bool,
    /// Settings version in force on each member.
    pub(crate) members: Vec<MemberSettingsStatus>,
}

/// A member as seen by the responding entry.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct MemberSettingsStatus {
    /// Name of the entry instance.
    pub(crate) entry: EntryName,
    /// Incarnation of the member's process.
    pub(crate) incarnation: Incarnation,
    /// Whether a sign of life of the member arrived recently.
    pub(crate) live: bool,
    /// Settings version in the member's last heartbeat.
    pub(crate) settings_version: Version,
    /// Offset of the record that the member folds next, from its last heartbeat.
    pub(crate) next_offset: Offset,
    /// Milliseconds since the last sign of life of the member.
    pub(crate) heard_ms_ago: u64,
}

//! What the holder of the fleet duty does for the whole site.

use std::collections::{BTreeMap, BTreeSet};

use cyclamentrail_core::{Fleet, InstanceName, RecordBody};
use cyclamentrail_platform::ListedInstance;

/// What a duty may look at.
#[derive(Debug, Clone, Copy)]
pub(crate) struct World<'a> {
    /// State that all entries agree on.
    pub(crate) fleet: &'a Fleet,
    /// The platform's list as it was last seen.
    pub(crate) list: &'a BTreeMap<InstanceName, ListedInstance>,
    /// Instances that fail what this process sends them.
    pub(crate) failing: &'a BTreeSet<InstanceName>,
    /// This process's clock in milliseconds.
    pub(crate) now_ms: u64,
}

/// An effect that a duty asks for.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum DutyAction {
    /// Append a record.
    Submit(RecordBody),
    /// Ask the platform to reboot an instance.
    Reboot(InstanceName),
}

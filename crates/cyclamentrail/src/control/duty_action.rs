//! Input and effects of the fleet duty, which one entry carries out for the whole site.

use std::collections::{BTreeMap, BTreeSet};

use cyclamentrail_core::{Fleet, InstanceName, RecordBody};
use cyclamentrail_platform::ListedInstance;

/// State that a step of the duty decides from.
#[derive(Debug, Clone, Copy)]
pub(crate) struct DutyInput<'a> {
    /// State that all entries agree on, as folded by this process.
    pub(crate) fleet: &'a Fleet,
    /// Last known listing of each instance.
    pub(crate) list: &'a BTreeMap<InstanceName, ListedInstance>,
    /// Instances that this process ejected because they failed its requests.
    pub(crate) failing: &'a BTreeSet<InstanceName>,
    /// Clock of this process in milliseconds.
    pub(crate) now_ms: u64,
}

/// An effect that a step of the duty returns.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum DutyAction {
    /// Append the record to the log.
    Submit(RecordBody),
    /// Request a reboot of the instance from the platform.
    Reboot(InstanceName),
}

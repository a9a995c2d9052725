//! What the holder of the fleet duty does for the whole site.

use std::collections::{BTreeMap, BTreeSet};

use cyclamentrail_core::{Fleet, InstanceName, Offset, RecordBody};
use cyclamentrail_platform::ListedInstance;

use super::wave_duty::WaveDuty;

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

/// All duties of the holder; the memory of a former holder is dropped.
#[derive(Debug, Default)]
pub(crate) struct FleetDuty {
    waves: WaveDuty,
}

impl FleetDuty {
    /// Returns whether a step is due: after a folded record, and now and then without one.
    pub(crate) fn is_due(&self, next_offset: Offset, now_ms: u64) -> bool {
        self.waves.is_due(next_offset, now_ms)
    }

    /// Returns what to do now.
    pub(crate) fn step(&mut self, world: &World<'_>) -> Vec<DutyAction> {
        self.waves.step(world)
    }
}

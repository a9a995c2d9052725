//! Places long jobs on workers.

use super::duty::{DutyAction, World};

/// Memory of this duty between two steps; nothing in it needs to survive its holder.
#[derive(Debug, Default)]
pub(crate) struct JobDuty {
    steps: u64,
}

impl JobDuty {
    /// Returns what to do now.
    pub(crate) fn step(&mut self, _world: &World<'_>) -> Vec<DutyAction> {
        self.steps += 1;
        Vec::new()
    }
}

//! Runs maintenance waves and moves instances between pools.

use super::duty::{DutyAction, World};

/// Memory of this duty between two steps; nothing in it needs to survive its holder.
#[derive(Debug, Default)]
pub(crate) struct WaveDuty {
    steps: u64,
}

impl WaveDuty {
    /// Returns what to do now.
    pub(crate) fn step(&mut self, _world: &World<'_>) -> Vec<DutyAction> {
        self.steps += 1;
        Vec::new()
    }
}

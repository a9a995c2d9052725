//! Runs maintenance waves and moves instances between pools.

use std::collections::BTreeMap;

use cyclamentrail_core::{InstanceName, Offset, Seen, WaveAction, WaveInput, WaveRunner};
use cyclamentrail_platform::ListedState;

use super::duty::{DutyAction, World};

/// Longest time in milliseconds between two steps while no record is folded.
const IDLE_STEP_MS: u64 = 500;

/// Memory of this duty between two steps; nothing in it needs to survive its holder.
#[derive(Debug, Default)]
pub(crate) struct WaveDuty {
    runner: WaveRunner,
    stepped: Option<(Offset, u64)>,
}

impl WaveDuty {
    /// Returns whether a step is due.
    pub(crate) fn is_due(&self, next_offset: Offset, now_ms: u64) -> bool {
        self.stepped.is_none_or(|(offset, at_ms)| {
            offset != next_offset || now_ms.saturating_sub(at_ms) >= IDLE_STEP_MS
        })
    }

    /// Returns what to do now.
    pub(crate) fn step(&mut self, world: &World<'_>) -> Vec<DutyAction> {
        self.stepped = Some((world.fleet.next_offset(), world.now_ms));
        let seen = seen(world);
        let input = WaveInput {
            fleet: world.fleet,
            seen: &seen,
            now_ms: world.now_ms,
        };
        let actions = self.runner.step(&input);
        actions.into_iter().map(DutyAction::from).collect()
    }
}

impl From<WaveAction> for DutyAction {
    fn from(action: WaveAction) -> Self {
        match action {
            WaveAction::Submit(body) => Self::Submit(body),
            WaveAction::Reboot(instance) => Self::Reboot(instance),
        }
    }
}

fn seen(world: &World<'_>) -> BTreeMap<InstanceName, Seen> {
    let listed = world.list.iter();
    listed
        .map(|(name, listed)| {
            let seen = Seen {
                boot: listed.boot,
                leaving: listed.state == ListedState::Leaving,
                failing: world.failing.contains(name),
            };
            (name.clone(), seen)
        })
        .collect()
}

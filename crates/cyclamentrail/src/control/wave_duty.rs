//! Part of the fleet duty that runs maintenance waves and moves instances between pools.

use std::collections::BTreeMap;

use cyclamentrail_core::{
    InstanceName, InstanceObservation, Offset, WaveAction, WaveInput, WaveRunner,
};
use cyclamentrail_platform::ListedState;

use super::duty_action::{DutyAction, DutyInput};

/// Time in milliseconds after which a step is due although no record was folded.
const IDLE_STEP_MS: u64 = 500;

/// State of the duty between two steps; the next holder of the duty starts without it.
#[derive(Debug, Default)]
pub(crate) struct WaveDuty {
    runner: WaveRunner,
    /// Offset of the next record to fold and clock in milliseconds at the last step.
    last_step: Option<(Offset, u64)>,
}

impl WaveDuty {
    /// Returns whether a step is due.
    pub(crate) fn is_due(&self, next_offset: Offset, now_ms: u64) -> bool {
        self.last_step.is_none_or(|(offset, stepped_ms)| {
            offset != next_offset || now_ms.saturating_sub(stepped_ms) >= IDLE_STEP_MS
        })
    }

    /// Runs a step and returns its effects.
    pub(crate) fn step(&mut self, duty_input: &DutyInput<'_>) -> Vec<DutyAction> {
        self.last_step = Some((duty_input.fleet.next_offset(), duty_input.now_ms));
        let observed = observe_instances(duty_input);
        let input = WaveInput {
            fleet: duty_input.fleet,
            observations: &observed,
            now_ms: duty_input.now_ms,
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

fn observe_instances(duty_input: &DutyInput<'_>) -> BTreeMap<InstanceName, InstanceObservation> {
    let listed = duty_input.list.iter();
    listed
        .map(|(name, listed)| {
            let observed = InstanceObservation {
                boot: listed.boot,
                leaving: listed.state == ListedState::Leaving,
                failing: duty_input.failing.contains(name),
            };
            (name.clone(), observed)
        })
        .collect()
}

//! Explains the state of an instance and of a wave to operators.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::batch;
use super::{FailureKind, FinishedMove, MaintenanceStep, MoveOrder, Wave, WaveState};
use crate::capacity::{BlockingContract, Capacity};
use crate::fleet::{Fleet, InstanceState};
use crate::name::{InstanceName, PoolName, WaveName};

/// State of an instance, its moves and waves, and the contract that it waits for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceExplanation {
    /// Pool that the instance belongs to.
    pub pool: PoolName,
    /// Whether the instance accepts new work.
    pub state: InstanceState,
    /// Whether the instance counts as lost.
    pub lost: bool,
    /// Move of the instance that hasn't finished.
    pub moving: Option<MoveOrder>,
    /// Latest finished moves of the instance, oldest first.
    pub moved: Vec<FinishedMove>,
    /// Unfinished wave that the instance belongs to, and its step while it is in maintenance.
    pub wave: Option<(WaveName, Option<MaintenanceStep>)>,
    /// Contract that forbids taking the instance out of service now; only set if the instance is in
    /// an unfinished wave or ordered to move.
    pub waits_for: Option<String>,
}

/// Progress of a wave, and the reasons for which it doesn't take further instances.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaveExplanation {
    /// Whether the wave takes further instances.
    pub state: WaveState,
    /// Operator who created the wave.
    pub operator: String,
    /// Number of instances that the wave hasn't taken out of service yet.
    pub pending: usize,
    /// Instances in maintenance, with the step that each has reached.
    #[serde(rename = "open")]
    pub in_maintenance: BTreeMap<InstanceName, MaintenanceStep>,
    /// Number of instances that passed their probation.
    pub done: usize,
    /// Instances that failed, with the kind of failure.
    pub failed: BTreeMap<InstanceName, FailureKind>,
    /// Reasons for which the wave takes no further instance now, one sentence each, with what would
    /// allow it to continue.
    pub waits_for: Vec<String>,
}

/// Returns the explanation of an instance; `None` if the settings don't list the instance.
#[must_use]
pub fn explain_instance(fleet: &Fleet, name: &InstanceName) -> Option<InstanceExplanation> {
    let instance = fleet.instance(name)?;
    let waves = fleet.waves();
    let wave = waves.covering_wave(name).map(|wave| {
        let step = waves.maintenance_step(name).map(|(_, step)| *step);
        (wave.clone(), step)
    });
    let moved = waves
        .finished_moves()
        .iter()
        .filter(|moved| &moved.instance == name);
    let is_waiting = wave.is_some() || waves.moves().contains_key(name);
    let blocked = is_waiting
        .then(|| capacity_without_maintained(fleet)?.blocking_contract(name))
        .flatten();
    Some(InstanceExplanation {
        pool: instance.pool.clone(),
        state: instance.state.clone(),
        lost: waves.lost_instances().contains_key(name),
        moving: waves.moves().get(name).cloned(),
        moved: moved.cloned().collect(),
        wave,
        waits_for: blocked.map(|blocked| blocked.to_string()),
    })
}

/// Returns the explanation of a wave; `None` if no remembered wave has the name.
#[must_use]
pub fn explain_wave(fleet: &Fleet, name: &WaveName) -> Option<WaveExplanation> {
    let wave = fleet.waves().wave(name)?;
    let failed = wave.failed.iter();
    Some(WaveExplanation {
        state: wave.state.clone(),
        operator: wave.operator.clone(),
        pending: wave.pending.len(),
        in_maintenance: wave.in_maintenance.clone(),
        done: wave.done.len(),
        failed: failed
            .map(|(name, failure)| (name.clone(), failure.kind))
            .collect(),
        waits_for: waits_for(fleet, wave),
    })
}

fn waits_for(fleet: &Fleet, wave: &Wave) -> Vec<String> {
    let mut reasons = Vec::new();
    match &wave.state {
        WaveState::Paused { operator } => {
            reasons.push(format!("{operator} paused the wave; resume it to continue"));
        }
        WaveState::Halted { failures, of } => reasons.push(format!(
            "{failures} of the last {of} instances failed; look at them, then resume or cancel it"
        )),
        WaveState::Running => {
            let blocked = blocked_pools(fleet, wave);
            reasons.extend(blocked.values().map(BlockingContract::to_string));
            reasons.extend(unavailable_reasons(fleet, wave));
        }
        WaveState::Cancelled { .. } | WaveState::Ended => {}
    }
    for name in wave.in_maintenance.keys() {
        let state = fleet.instance(name).map(|instance| &instance.state);
        if let Some(InstanceState::Draining { awaiting, .. }) = state {
            reasons.push(format!(
                "instance \"{name}\" drains: {} entries still have work there; the drain ends when they finish or leave",
                awaiting.len()
            ));
        }
    }
    reasons
}

fn unavailable_reasons(fleet: &Fleet, wave: &Wave) -> Vec<String> {
    let unavailable = wave.pending.iter().filter_map(|name| {
        let instance = fleet.instance(name)?;
        let is_unavailable =
            fleet.waves().lost_instances().contains_key(name) || instance.state != InstanceState::Serving;
        is_unavailable.then(|| {
            format!("instance \"{name}\" is unavailable; the wave takes it when it returns, or skips it after a timeout")
        })
    });
    unavailable.collect()
}

fn blocked_pools(fleet: &Fleet, wave: &Wave) -> BTreeMap<PoolName, BlockingContract> {
    let Some(mut capacity) = capacity_without_maintained(fleet) else {
        return BTreeMap::new();
    };
    let has_no_move = |name: &InstanceName| !fleet.waves().moves().contains_key(name);
    batch::choose(
        wave,
        fleet.waves(),
        &mut capacity,
        fleet.clock_ms(),
        has_no_move,
    )
    .blocked_pools
}

/// Returns the capacity of the pools without the instances in maintenance, including those whose
/// drain hasn't begun.
fn capacity_without_maintained(fleet: &Fleet) -> Option<Capacity<'_>> {
    let mut capacity = fleet.capacity()?;
    for (_, wave) in fleet.waves().waves() {
        for name in wave.in_maintenance.keys() {
            capacity.remove_instance(name);
        }
    }
    Some(capacity)
}

//! Explains one instance or one wave.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::batch;
use super::{FailureKind, MoveOrder, Moved, OpenStep, Wave, WaveState};
use crate::capacity::{Blocked, Capacity};
use crate::fleet::{Fleet, InstanceState};
use crate::name::{InstanceName, PoolName, WaveName};

/// Why an instance is where it is, and what it waits for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceExplanation {
    /// The pool that it belongs to.
    pub pool: PoolName,
    /// Its state.
    pub state: InstanceState,
    /// Whether it counts as lost.
    pub lost: bool,
    /// The move that is under way.
    pub moving: Option<MoveOrder>,
    /// Its latest finished moves.
    pub moved: Vec<Moved>,
    /// The unfinished wave that covers it, and how far it is there.
    pub wave: Option<(WaveName, Option<OpenStep>)>,
    /// The contract that keeps it serving now.
    pub waits_for: Option<String>,
}

/// How far a wave is, and why it doesn't go on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaveExplanation {
    /// Whether it takes instances.
    pub state: WaveState,
    /// Operator who created it.
    pub operator: String,
    /// Instances that wait.
    pub pending: usize,
    /// Instances in hand.
    pub open: BTreeMap<InstanceName, OpenStep>,
    /// Instances that passed.
    pub done: usize,
    /// Instances that failed, and how.
    pub failed: BTreeMap<InstanceName, FailureKind>,
    /// Why it doesn't take more now, one line a reason, with what would free it.
    pub waits_for: Vec<String>,
}

/// Returns the explanation of an instance; `None` when it isn't known.
#[must_use]
pub fn explain_instance(fleet: &Fleet, name: &InstanceName) -> Option<InstanceExplanation> {
    let instance = fleet.instance(name)?;
    let waves = fleet.waves();
    let wave = waves.covering(name).map(|wave| {
        let step = waves.open(name).map(|(_, step)| *step);
        (wave.clone(), step)
    });
    let moved = waves.moved().iter().filter(|moved| &moved.instance == name);
    let waits = wave.is_some() || waves.moves().contains_key(name);
    let blocked = waits
        .then(|| capacity_now(fleet)?.blocking_contract(name))
        .flatten();
    Some(InstanceExplanation {
        pool: instance.pool.clone(),
        state: instance.state.clone(),
        lost: waves.lost().contains_key(name),
        moving: waves.moves().get(name).cloned(),
        moved: moved.cloned().collect(),
        wave,
        waits_for: blocked.map(|blocked| blocked.to_string()),
    })
}

/// Returns the explanation of a wave; `None` when it isn't known.
#[must_use]
pub fn explain_wave(fleet: &Fleet, name: &WaveName) -> Option<WaveExplanation> {
    let wave = fleet.waves().wave(name)?;
    let failed = wave.failed.iter();
    Some(WaveExplanation {
        state: wave.state.clone(),
        operator: wave.operator.clone(),
        pending: wave.pending.len(),
        open: wave.open.clone(),
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
            reasons.push(format!("{operator} paused it; resume it to go on"));
        }
        WaveState::Halted { failures, of } => reasons.push(format!(
            "{failures} of the last {of} instances failed; look at them, then resume or cancel it"
        )),
        WaveState::Running => {
            let blocked = blocked_pools(fleet, wave);
            reasons.extend(blocked.values().map(Blocked::to_string));
            reasons.extend(unfit_reasons(fleet, wave));
        }
        WaveState::Cancelled { .. } | WaveState::Ended => {}
    }
    for name in wave.open.keys() {
        let state = fleet.instance(name).map(|instance| &instance.state);
        if let Some(InstanceState::Draining { awaiting, .. }) = state {
            reasons.push(format!(
                "instance \"{name}\" drains: {} entries still have work there; it ends when they finish or leave",
                awaiting.len()
            ));
        }
    }
    reasons
}

fn unfit_reasons(fleet: &Fleet, wave: &Wave) -> Vec<String> {
    let unfit = wave.pending.iter().filter_map(|name| {
        let instance = fleet.instance(name)?;
        let away =
            fleet.waves().lost().contains_key(name) || instance.state != InstanceState::Serving;
        away.then(|| {
            format!("instance \"{name}\" is away; it is taken on its return, or passed over")
        })
    });
    unfit.collect()
}

fn blocked_pools(fleet: &Fleet, wave: &Wave) -> BTreeMap<PoolName, Blocked> {
    let Some(mut capacity) = capacity_now(fleet) else {
        return BTreeMap::new();
    };
    let all = |name: &InstanceName| !fleet.waves().moves().contains_key(name);
    batch::choose(wave, fleet.waves(), &mut capacity, fleet.clock_ms(), all).waits
}

/// Returns what the pools hold when everything in hand counts as out.
fn capacity_now(fleet: &Fleet) -> Option<Capacity<'_>> {
    let mut capacity = fleet.capacity()?;
    for (_, wave) in fleet.waves().waves() {
        for name in wave.open.keys() {
            capacity.take(name);
        }
    }
    Some(capacity)
}

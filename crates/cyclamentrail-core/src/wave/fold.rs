//! Folds records about maintenance waves, moves between pools and lost instances.

use std::collections::{BTreeMap, VecDeque};

use super::{
    Failure, FailureKind, FinishedMove, InstanceSet, MaintenanceStep, MoveOrder, MoveReason, Wave,
    WaveAdvance, WaveControl, WaveRecord, WaveState, Waves,
};
use crate::fleet::{FoldContext, RejectionKind};
use crate::id::{BootId, Version};
use crate::name::{InstanceName, PoolName, WaveName};
use crate::settings::MaintenanceSettings;

/// Maximum number of finished waves that are remembered.
const FINISHED_WAVES: usize = 16;
/// Maximum number of finished moves that are remembered.
const FINISHED_MOVES: usize = 64;

pub(super) fn fold(
    waves: &mut Waves,
    context: &FoldContext<'_>,
    record: &WaveRecord,
) -> Result<(), RejectionKind> {
    match record {
        WaveRecord::Created {
            presumes,
            wave,
            instances,
            operator,
        } => create_wave(waves, context, *presumes, wave, instances, operator),
        WaveRecord::Controlled {
            presumes,
            wave,
            control,
            operator,
        } => fold_control(waves, context, *presumes, wave, *control, operator),
        WaveRecord::Advanced {
            presumes,
            wave,
            advance,
        } => fold_advance(waves, context, *presumes, wave, advance),
        WaveRecord::Lost { instance, kind } => {
            if waves.lost.get(instance) == Some(kind) {
                return Err(RejectionKind::Duplicate);
            }
            waves.lost.insert(instance.clone(), *kind);
            waves.bump_duty_version();
            Ok(())
        }
        WaveRecord::LossEnded { instance } => {
            if waves.lost.remove(instance).is_none() {
                return Err(RejectionKind::Duplicate);
            }
            waves.bump_duty_version();
            Ok(())
        }
        WaveRecord::MoveOrdered {
            presumes,
            instance,
            to,
            reason,
        } => {
            let order = MoveOrder {
                to: to.clone(),
                reason: reason.clone(),
                ordered_ms: context.clock_ms,
            };
            order_move(waves, context, *presumes, instance, order)
        }
        WaveRecord::MoveDropped { presumes, instance } => {
            check_version(
                *presumes,
                waves.duty_version,
                "another step of the fleet duty's holder",
            )?;
            if waves.moves.remove(instance).is_none() {
                return Err(unknown(format!("move of instance \"{instance}\"")));
            }
            waves.bump_duty_version();
            Ok(())
        }
    }
}

/// Ends the move of an instance that was assigned to a pool; the move counts as finished if its
/// destination was that pool.
pub(super) fn handle_assignment(
    waves: &mut Waves,
    instance: &InstanceName,
    pool: &PoolName,
    clock_ms: u64,
) {
    waves.bump_duty_version();
    let Some(order) = waves.moves.remove(instance) else {
        return;
    };
    if &order.to != pool {
        return;
    }
    waves.finished_move_count += 1;
    waves.finished_moves.push_back(FinishedMove {
        instance: instance.clone(),
        to: order.to,
        reason: order.reason,
        at_ms: clock_ms,
    });
    if waves.finished_moves.len() > FINISHED_MOVES {
        waves.finished_moves.pop_front();
    }
}

fn create_wave(
    waves: &mut Waves,
    context: &FoldContext<'_>,
    presumes: Version,
    name: &WaveName,
    instances: &InstanceSet,
    operator: &str,
) -> Result<(), RejectionKind> {
    let winner = waves.newest_operator();
    check_version(presumes, waves.version, &winner)?;
    if waves.by_name.contains_key(name) {
        return Err(conflict(
            format!("wave \"{name}\" exists"),
            "choose another name",
        ));
    }
    if instances.is_empty() {
        return Err(conflict(
            String::from("the wave has no instances"),
            "name a pool that has instances",
        ));
    }
    if let Some(other) = instances.iter().find_map(|name| waves.covering_wave(name)) {
        return Err(conflict(
            format!("wave \"{other}\" covers some of the instances"),
            "wait until it ends, or cancel it",
        ));
    }
    let wave = Wave {
        version: Version::new(1),
        operator: operator.to_owned(),
        created_ms: context.clock_ms,
        ended_ms: None,
        state: WaveState::Running,
        pending: instances.clone(),
        in_maintenance: BTreeMap::new(),
        done: BTreeMap::new(),
        failed: BTreeMap::new(),
        recent_results: VecDeque::new(),
    };
    waves.by_name.insert(name.clone(), wave);
    waves.forget_finished();
    waves.bump_version();
    Ok(())
}

fn fold_control(
    waves: &mut Waves,
    context: &FoldContext<'_>,
    presumes: Version,
    name: &WaveName,
    control: WaveControl,
    operator: &str,
) -> Result<(), RejectionKind> {
    let wave = wave_mut(waves, name)?;
    check_version(presumes, wave.version, "another change of the wave")?;
    if wave.is_finished() || wave.is_cancelled() {
        return Err(conflict(
            format!("wave \"{name}\" has ended or was cancelled"),
            "create another one",
        ));
    }
    let operator = operator.to_owned();
    match control {
        WaveControl::Pause => wave.state = WaveState::Paused { operator },
        WaveControl::Resume => {
            wave.state = WaveState::Running;
            wave.recent_results.clear();
        }
        WaveControl::Cancel => {
            wave.state = WaveState::Cancelled { operator };
            wave.pending.clear();
        }
    }
    wave.version = wave.version.next();
    wave.finish_if_empty(context.clock_ms);
    waves.bump_duty_version();
    Ok(())
}

fn fold_advance(
    waves: &mut Waves,
    context: &FoldContext<'_>,
    presumes: Version,
    name: &WaveName,
    advance: &WaveAdvance,
) -> Result<(), RejectionKind> {
    check_version(
        presumes,
        waves.duty_version,
        "another step of the fleet duty's holder",
    )?;
    let maintenance = context.settings.map(|settings| &settings.maintenance);
    let maintenance = maintenance.cloned().unwrap_or_default();
    let wave = wave_mut(waves, name)?;
    wave.check_advance(name, advance)?;
    wave.apply_advance(advance, context.clock_ms, &maintenance);
    wave.finish_if_empty(context.clock_ms);
    waves.bump_duty_version();
    Ok(())
}

fn order_move(
    waves: &mut Waves,
    context: &FoldContext<'_>,
    presumes: Version,
    instance: &InstanceName,
    order: MoveOrder,
) -> Result<(), RejectionKind> {
    if matches!(order.reason, MoveReason::Operator { .. }) {
        check_version(presumes, waves.version, "another operator")?;
    } else {
        check_version(
            presumes,
            waves.duty_version,
            "another step of the fleet duty's holder",
        )?;
    }
    let pool_exists = context
        .settings
        .is_some_and(|settings| settings.pools.contains_key(&order.to));
    if !pool_exists {
        return Err(unknown(format!("pool \"{}\"", order.to)));
    }
    if let Some(other) = waves.moves.get(instance) {
        return Err(conflict(
            format!("instance \"{instance}\" is moving to pool \"{}\"", other.to),
            "wait until the move has finished",
        ));
    }
    if let Some((wave, _)) = waves.maintenance_step(instance) {
        return Err(conflict(
            format!("wave \"{wave}\" is maintaining instance \"{instance}\""),
            "wait until the wave has returned it to service",
        ));
    }
    waves.moves.insert(instance.clone(), order);
    waves.bump_version();
    Ok(())
}

impl Waves {
    /// Returns the operator of the wave that was created last.
    fn newest_operator(&self) -> String {
        self.by_name
            .values()
            .max_by_key(|wave| wave.created_ms)
            .map_or_else(String::new, |wave| wave.operator.clone())
    }

    /// Removes the waves that ended first until at most [`FINISHED_WAVES`] finished ones remain.
    fn forget_finished(&mut self) {
        let finished = self
            .by_name
            .iter()
            .filter_map(|(name, wave)| wave.ended_ms.map(|ended_ms| (ended_ms, name.clone())));
        let mut finished: Vec<(u64, WaveName)> = finished.collect();
        finished.sort();
        let surplus = finished.len().saturating_sub(FINISHED_WAVES);
        for (_, name) in finished.into_iter().take(surplus) {
            self.by_name.remove(&name);
        }
    }
}

impl Wave {
    /// Rejects a step whose instances aren't in the set that the step moves them out of, and one
    /// that takes instances while the wave isn't running.
    fn check_advance(&self, name: &WaveName, advance: &WaveAdvance) -> Result<(), RejectionKind> {
        if !advance.taken.is_empty() && !self.is_running() {
            return Err(conflict(
                format!("wave \"{name}\" takes no instances now"),
                "resume it first",
            ));
        }
        let are_pending = advance.taken.keys().all(|name| self.pending.contains(name));
        let maintained = advance
            .rebooting
            .iter()
            .chain(&advance.returned)
            .chain(&advance.done)
            .chain(&advance.released);
        let are_in_maintenance = maintained
            .clone()
            .all(|name| self.in_maintenance.contains_key(name));
        let may_fail = advance
            .failed
            .keys()
            .all(|name| self.in_maintenance.contains_key(name) || self.pending.contains(name));
        if are_pending && are_in_maintenance && may_fail {
            Ok(())
        } else {
            Err(conflict(
                format!("the step does not match the instances of wave \"{name}\""),
                "read the state of the wave and try again",
            ))
        }
    }

    /// Moves the instances of a step between the sets of the wave.
    fn apply_advance(
        &mut self,
        advance: &WaveAdvance,
        clock_ms: u64,
        maintenance: &MaintenanceSettings,
    ) {
        for (name, &boot) in &advance.taken {
            self.pending.remove(name);
            self.in_maintenance
                .insert(name.clone(), MaintenanceStep::Taken { boot });
        }
        self.set_steps(&advance.rebooting, |boot| MaintenanceStep::Rebooting {
            boot,
        });
        self.set_steps(&advance.returned, |boot| MaintenanceStep::Returned { boot });
        for name in &advance.released {
            self.in_maintenance.remove(name);
        }
        for name in &advance.done {
            self.in_maintenance.remove(name);
            self.done.insert(name.clone(), clock_ms);
            self.recent_results.push_back(true);
        }
        for (name, &kind) in &advance.failed {
            self.pending.remove(name);
            let boot = self
                .in_maintenance
                .remove(name)
                .map_or_else(BootId::default, |step| step.boot());
            let failure = Failure {
                kind,
                boot,
                at_ms: clock_ms,
            };
            self.failed.insert(name.clone(), failure);
            if kind != FailureKind::Unavailable {
                self.recent_results.push_back(false);
            }
        }
        self.halt_if_failing(maintenance);
    }

    fn set_steps(&mut self, names: &InstanceSet, step: impl Fn(BootId) -> MaintenanceStep) {
        for name in names {
            if let Some(current_step) = self.in_maintenance.get_mut(name) {
                *current_step = step(current_step.boot());
            }
        }
    }

    /// Halts a running wave if too many of the last finished instances failed.
    fn halt_if_failing(&mut self, maintenance: &MaintenanceSettings) {
        while self.recent_results.len() > maintenance.halt_sample as usize {
            self.recent_results.pop_front();
        }
        let failures = self
            .recent_results
            .iter()
            .filter(|&&passed| !passed)
            .count();
        let failures = u32::try_from(failures).unwrap_or(u32::MAX);
        if self.is_running() && failures >= maintenance.halt_failures.max(1) {
            self.state = WaveState::Halted {
                failures,
                of: u32::try_from(self.recent_results.len()).unwrap_or(u32::MAX),
            };
            self.version = self.version.next();
        }
    }

    /// Ends the wave if no instance is pending or in maintenance.
    fn finish_if_empty(&mut self, clock_ms: u64) {
        if !self.pending.is_empty() || !self.in_maintenance.is_empty() || self.is_finished() {
            return;
        }
        self.ended_ms = Some(clock_ms);
        if !self.is_cancelled() {
            self.state = WaveState::Ended;
        }
    }
}

fn wave_mut<'a>(waves: &'a mut Waves, name: &WaveName) -> Result<&'a mut Wave, RejectionKind> {
    waves
        .by_name
        .get_mut(name)
        .ok_or_else(|| unknown(format!("wave \"{name}\"")))
}

fn check_version(presumed: Version, current: Version, winner: &str) -> Result<(), RejectionKind> {
    if presumed == current {
        return Ok(());
    }
    Err(RejectionKind::OutdatedVersion {
        presumed,
        current,
        winner: winner.to_owned(),
    })
}

const fn unknown(what: String) -> RejectionKind {
    RejectionKind::Unknown { what }
}

fn conflict(problem: String, remedy: &str) -> RejectionKind {
    RejectionKind::Conflict {
        problem,
        remedy: remedy.to_owned(),
    }
}

//! Runs the waves and the planner of the core on a trace, in a virtual site.

use std::collections::BTreeSet;

use cyclamentrail_core::{WaveName, WaveRecord};
use cyclamentrail_standin::VirtualSite;
use serde_json::{Value, json};

use super::{DAY_MS, DRAIN_MS, MINUTE_MS, Outcome, REBOOT_MS, Trace, WAVE_START_MS};

/// Step of the virtual site in milliseconds while the wave is under way.
const WAVE_STEP_MS: u64 = 2_000;
/// Time in milliseconds from the end of the wave to the follow-up wave for failed instances.
const FOLLOW_UP_MS: u64 = 6 * 60 * MINUTE_MS;
/// Step of the virtual site in milliseconds while no wave is under way.
const IDLE_STEP_MS: u64 = 30_000;

/// Runs one wave over all instances for `days` virtual days, and a follow-up wave for the
/// instances that the first one couldn't maintain.
///
/// # Panics
///
/// Panics when `document` isn't a valid settings document.
#[must_use]
pub fn run_planner(document: &Value, trace: &Trace, days: u64) -> Outcome {
    run_planner_for(document, trace, days * DAY_MS)
}

/// Same as [`run_planner`], with the length of the run in virtual milliseconds.
///
/// # Panics
///
/// Panics when `document` isn't a valid settings document.
#[must_use]
pub fn run_planner_for(document: &Value, trace: &Trace, length_ms: u64) -> Outcome {
    let mut site = VirtualSite::new(document);
    site.drain_ms = DRAIN_MS;
    site.reboot_ms = REBOOT_MS;
    let start_ms = site.now_ms();
    let mut created_ms = None;
    let mut ended_ms = None;
    while site.now_ms() - start_ms < length_ms {
        let at_ms = site.now_ms() - start_ms;
        apply_losses(&mut site, trace, at_ms);
        if created_ms.is_none() && at_ms >= WAVE_START_MS {
            site.create_wave("bench")
                .expect("no other wave covers the instances");
            created_ms = Some(site.now_ms());
        }
        let under_way = created_ms.is_some() && ended_ms.is_none();
        site.step(if under_way {
            WAVE_STEP_MS
        } else {
            IDLE_STEP_MS
        });
        if under_way && site.has_ended("bench") {
            ended_ms = Some(site.now_ms());
        }
        if ended_ms.is_some_and(|ended_ms| ended_ms + FOLLOW_UP_MS <= site.now_ms()) {
            create_follow_up_wave(&mut site);
        }
    }
    outcome(&site, created_ms, ended_ms, length_ms)
}

fn outcome(
    site: &VirtualSite,
    created_ms: Option<u64>,
    ended_ms: Option<u64>,
    length_ms: u64,
) -> Outcome {
    let counts = &site.counts;
    let waves = site.fleet.waves();
    let roll_out_ms = ended_ms.zip(created_ms).map(|(end, begin)| end - begin);
    let maintained = waves.waves().map(|(_, wave)| wave.done.len() as u64).sum();
    Outcome {
        buffer: counts.buffer_instance_ms as f64 / length_ms as f64,
        roll_out_min: roll_out_ms.map_or(f64::INFINITY, |ms| ms as f64 / MINUTE_MS as f64),
        moves: waves.finished_move_count(),
        spent_instance_min: counts.missing_instance_ms as f64 / MINUTE_MS as f64,
        broken_min: counts.broken_ms as f64 / MINUTE_MS as f64,
        planner_work: site.runner().planner_work(),
        record_bytes: counts.bytes,
        records: counts.records,
        maintained,
    }
}

/// Creates the follow-up wave for the instances that failed in the first wave, once.
fn create_follow_up_wave(site: &mut VirtualSite) {
    let waves = site.fleet.waves();
    let (first, second) = (WaveName::from("bench"), WaveName::from("bench-2"));
    let failed_instances = waves.wave(&first).map(|wave| &wave.failed);
    let instances: BTreeSet<_> = failed_instances
        .into_iter()
        .flat_map(|failed| failed.keys().cloned())
        .collect();
    if instances.is_empty() || waves.wave(&second).is_some() {
        return;
    }
    let record = WaveRecord::Created {
        presumes: waves.version(),
        wave: second,
        instances,
        operator: String::from("bench"),
    };
    site.append(2, record.into())
        .expect("no other wave covers the failed instances");
}

fn apply_losses(site: &mut VirtualSite, trace: &Trace, at_ms: u64) {
    let dead = trace.dead_at(at_ms);
    for (name, machine) in &mut site.machines {
        machine.dead = dead.contains(name);
    }
}

/// Returns a copy of a settings document in which each pool can have `room` instances in
/// maintenance and still lose one.
///
/// Each contract promises the size of its pool less `room` and one, but at least one instance.
#[must_use]
pub fn with_maintenance_room(document: &Value, room: u32) -> Value {
    let mut document = document.clone();
    let services = document["services"]
        .as_object()
        .cloned()
        .unwrap_or_default();
    for (name, service) in services {
        let pool = service["pool"].as_str().unwrap_or_default();
        let size = document["pools"][pool]["instances"]
            .as_array()
            .map_or(0, Vec::len);
        let promised = size.saturating_sub(1 + room as usize).max(1);
        document["services"][&name]["contract"]["promised_instances"] = json!(promised);
    }
    document
}

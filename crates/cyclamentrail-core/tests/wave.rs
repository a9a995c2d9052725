//! Maintenance waves in virtual time, with the failures that can occur during one.

use std::collections::BTreeSet;

use cyclamentrail_core::{
    BootId, FailureKind, Incarnation, InstanceName, InstanceState, LeaveReason, MaintenanceStep,
    MoveReason, PoolName, RecordBody, RejectionKind, WaveAdvance, WaveControl, WaveName,
    WaveRecord, WaveState, explain_instance, explain_wave,
};
use cyclamentrail_standin::{RebootFault, VirtualSite};
use serde_json::{Value, json};

const STEP_MS: u64 = 4_000;
const MINUTE_MS: u64 = 60_000;
const DAY_MS: u64 = 24 * 60 * MINUTE_MS;

fn document(overlay: &str) -> Value {
    let read = |file: &str| -> Value {
        let path = format!("{}/../../sites/{file}", env!("CARGO_MANIFEST_DIR"));
        let text = std::fs::read_to_string(path).expect("the site's file is there");
        serde_json::from_str(&text).expect("the site's file is JSON")
    };
    cyclamentrail_core::merge_documents(read("base.json"), &read(overlay))
}

fn garza_site() -> VirtualSite {
    VirtualSite::new(&document("garza.json"))
}

fn runs_to_end(site: &mut VirtualSite, wave: &str) -> bool {
    site.run_until(DAY_MS, STEP_MS, |site| site.has_ended(wave))
}

fn wave<'a>(site: &'a VirtualSite, name: &str) -> &'a cyclamentrail_core::Wave {
    let name = WaveName::from(name);
    site.fleet.waves().wave(&name).expect("the wave exists")
}

fn open_instances(site: &VirtualSite) -> usize {
    site.fleet
        .waves()
        .waves()
        .map(|(_, wave)| wave.in_maintenance.len())
        .sum()
}

fn assert_contracts_kept(site: &VirtualSite) {
    assert!(
        site.counts.contract_violations.is_empty(),
        "{:?}",
        site.counts
    );
    assert_eq!(site.counts.broken_ms, 0);
    assert!(site.counts.take_counts.values().all(|&count| count == 1));
}

fn assert_all_serve(site: &VirtualSite) {
    for (name, instance) in site.fleet.instances() {
        assert_eq!(instance.state, InstanceState::Serving, "{name}");
    }
}

#[test]
fn wave_maintains_all() {
    let mut site = garza_site();
    site.create_wave("w").expect("the wave is created");
    assert!(runs_to_end(&mut site, "w"));
    assert_eq!(wave(&site, "w").state, WaveState::Ended);
    assert_eq!(wave(&site, "w").done.len(), 49);
    assert_eq!(
        site.runner().planner_work(),
        0,
        "no pool needed another instance"
    );
    assert!(site.machines.values().all(|machine| machine.reboots == 1));
    assert_contracts_kept(&site);
    assert_all_serve(&site);
}

#[test]
fn halted_wave_resumes() {
    let mut site = garza_site();
    for name in ["w01", "w02", "w03"] {
        site.machine(name).reboot_fault = RebootFault::NeverReturns;
    }
    site.create_wave("w").expect("the wave is created");
    let halted = site.run_until(DAY_MS, STEP_MS, |site| {
        matches!(wave(site, "w").state, WaveState::Halted { .. })
    });
    assert!(halted, "{:?}", wave(&site, "w"));
    let done = wave(&site, "w").done.len();
    let explanation = explain_wave(&site.fleet, &WaveName::from("w")).expect("the wave is known");
    assert!(
        explanation.waits_for[0].contains("resume or cancel"),
        "{explanation:?}"
    );
    assert!(
        explanation
            .failed
            .values()
            .all(|&kind| kind == FailureKind::DidNotReturn)
    );
    site.run_until(DAY_MS / 4, STEP_MS, |_| false);
    assert!(
        wave(&site, "w").done.len() <= done + 8,
        "the halted wave continued"
    );
    for name in ["w01", "w02", "w03"] {
        site.machine(name).reboot_fault = RebootFault::None;
    }
    site.control("w", WaveControl::Resume)
        .expect("the wave resumes");
    assert!(runs_to_end(&mut site, "w"));
    site.run_until(DAY_MS, STEP_MS, |_| false);
    assert_all_serve(&site);
    assert_contracts_kept(&site);
}

#[test]
fn failed_returns_halt() {
    let mut site = garza_site();
    for machine in site.machines.values_mut() {
        machine.reboot_fault = RebootFault::ReturnsBroken;
    }
    site.create_wave("w").expect("the wave is created");
    site.run_until(DAY_MS, STEP_MS, |_| false);
    assert!(matches!(wave(&site, "w").state, WaveState::Halted { .. }));
    assert!(open_instances(&site) == 0, "every drain ended");
    assert!(site.counts.contract_violations.is_empty());
    let failed: usize = wave(&site, "w").failed.len();
    assert!(
        failed <= 6,
        "the first batch alone failed, {failed} instances"
    );
    assert_eq!(site.counts.broken_ms, 0);
}

#[test]
fn lost_zone_blocks() {
    let mut site = garza_site();
    site.create_wave("w").expect("the wave is created");
    site.run_until(10 * MINUTE_MS, STEP_MS, |_| false);
    let zone: Vec<String> = (0..12)
        .filter(|number| number % 3 == 0)
        .flat_map(|rack| (1..=4).map(move |slot| format!("w{:02}", rack * 4 + slot)))
        .collect();
    for name in &zone {
        site.machine(name).dead = true;
        site.machine(name).unlisted = true;
    }
    site.run_until(MINUTE_MS, STEP_MS, |_| false);
    let taken = site.counts.take_counts.len();
    site.run_until(5 * MINUTE_MS, STEP_MS, |_| false);
    assert_eq!(
        site.counts.take_counts.len(),
        taken,
        "an instance was taken with a zone lost"
    );
    let explanation = explain_wave(&site.fleet, &WaveName::from("w")).expect("the wave is known");
    let reasons = explanation.waits_for.join("\n");
    assert!(
        reasons.contains("more in the pool would free it"),
        "{reasons}"
    );
    let spent: u64 = ["platform-forecasts", "transfer-forecasts"]
        .iter()
        .map(|name| {
            let accounts = site.fleet.waves().accounts();
            accounts.spent_ms(&(*name).into(), site.fleet.clock_ms(), DAY_MS)
        })
        .sum();
    assert!(spent > 0, "the loss is charged to the budgets");
    for name in &zone {
        site.machine(name).dead = false;
        site.machine(name).unlisted = false;
    }
    site.run_until(MINUTE_MS, STEP_MS, |_| false);
    if !wave(&site, "w").is_running() {
        site.control("w", WaveControl::Resume)
            .expect("the wave resumes");
    }
    assert!(site.run_until(3 * DAY_MS, STEP_MS, |site| site.has_ended("w")));
    assert!(site.counts.contract_violations.is_empty());
}

#[test]
fn new_holder_continues() {
    let mut site = garza_site();
    site.create_wave("w").expect("the wave is created");
    while !site.has_ended("w") && site.now_ms() < DAY_MS {
        site.run_until(47_000, STEP_MS, |_| false);
        site.change_holder();
    }
    assert!(site.has_ended("w"));
    assert!(site.machines.values().all(|machine| machine.reboots == 1));
    assert_contracts_kept(&site);
}

#[test]
fn log_outage_pauses() {
    let mut site = garza_site();
    site.create_wave("w").expect("the wave is created");
    site.run_until(5 * MINUTE_MS, STEP_MS, |_| false);
    site.log_down = true;
    let taken = site.counts.take_counts.len();
    site.run_until(30 * MINUTE_MS, STEP_MS, |_| false);
    assert_eq!(site.counts.take_counts.len(), taken);
    site.log_down = false;
    assert!(runs_to_end(&mut site, "w"));
    assert_contracts_kept(&site);
}

#[test]
fn second_operator_rejected() {
    let mut site = garza_site();
    let presumes = site.fleet.waves().version();
    let create = |name: &str, operator: &str| -> RecordBody {
        WaveRecord::Created {
            presumes,
            wave: WaveName::from(name),
            instances: site.machines.keys().cloned().collect(),
            operator: operator.to_owned(),
        }
        .into()
    };
    let (first, second) = (create("a", "ana"), create("b", "berta"));
    site.append(1, first).expect("the first is accepted");
    let rejection = site.append(2, second).expect_err("the second is rejected");
    assert!(rejection.to_string().contains("ana"), "{rejection}");
    let conflict = site
        .create_wave("b")
        .expect_err("the instances are covered");
    assert!(
        matches!(conflict, RejectionKind::Conflict { .. }),
        "{conflict}"
    );
    let version = wave(&site, "a").version;
    site.control("a", WaveControl::Pause)
        .expect("the wave pauses");
    let outdated = WaveRecord::Controlled {
        presumes: version,
        wave: WaveName::from("a"),
        control: WaveControl::Cancel,
        operator: String::from("berta"),
    };
    assert!(
        site.append(3, outdated.into()).is_err(),
        "the wave was paused in the meantime"
    );
}

#[test]
fn stale_step_rejected() {
    let mut site = garza_site();
    site.create_wave("w").expect("the wave is created");
    let stale = site.fleet.waves().duty_version();
    site.step(STEP_MS);
    let advance = WaveAdvance {
        taken: [(InstanceName::from("w40"), BootId::new(1))].into(),
        ..WaveAdvance::default()
    };
    let record = WaveRecord::Advanced {
        presumes: stale,
        wave: WaveName::from("w"),
        advance,
    };
    let rejection = site
        .append(3, record.into())
        .expect_err("the step is outdated");
    assert!(matches!(rejection, RejectionKind::OutdatedVersion { .. }));
}

#[test]
fn raised_promise_blocks() {
    let mut site = garza_site();
    site.create_wave("w").expect("the wave is created");
    site.run_until(2 * MINUTE_MS, STEP_MS, |_| false);
    let promise = |promised: u32| {
        let contract = json!({"contract": {"promised_instances": promised}});
        json!({"services": {"transfer-forecasts": contract, "platform-forecasts": contract}})
    };
    site.change_settings(&promise(9))
        .expect("the change is valid");
    site.run_until(2 * 60 * MINUTE_MS, STEP_MS, |_| false);
    assert!(!site.has_ended("w"));
    let explanation = explain_wave(&site.fleet, &WaveName::from("w")).expect("the wave is known");
    assert!(
        explanation
            .waits_for
            .iter()
            .any(|reason| reason.contains("transfer-forecasts")),
        "{explanation:?}"
    );
    site.change_settings(&promise(7))
        .expect("the change is valid");
    assert!(runs_to_end(&mut site, "w"));
    assert!(site.counts.take_counts.values().all(|&count| count == 1));
}

#[test]
fn paused_wave_waits() {
    let mut site = garza_site();
    site.create_wave("w").expect("the wave is created");
    site.run_until(MINUTE_MS, STEP_MS, |_| false);
    site.control("w", WaveControl::Pause)
        .expect("the wave pauses");
    let taken = site.counts.take_counts.len();
    site.run_until(60 * MINUTE_MS, STEP_MS, |_| false);
    assert_eq!(site.counts.take_counts.len(), taken);
    assert_eq!(
        open_instances(&site),
        0,
        "the instances in maintenance returned"
    );
    let explanation = explain_wave(&site.fleet, &WaveName::from("w")).expect("the wave is known");
    assert_eq!(
        explanation.waits_for,
        ["test paused the wave; resume it to continue"]
    );
    site.control("w", WaveControl::Resume)
        .expect("the wave resumes");
    assert!(runs_to_end(&mut site, "w"));
    assert_contracts_kept(&site);
}

#[test]
fn cancelled_wave_ends() {
    let mut site = garza_site();
    site.create_wave("w").expect("the wave is created");
    site.run_until(2 * STEP_MS, STEP_MS, |_| false);
    assert!(open_instances(&site) > 0);
    site.control("w", WaveControl::Cancel)
        .expect("the wave is cancelled");
    assert!(site.run_until(20 * MINUTE_MS, STEP_MS, |site| site.has_ended("w")));
    site.run_until(MINUTE_MS, STEP_MS, |_| false);
    assert_all_serve(&site);
    assert_eq!(open_instances(&site), 0);
    assert!(site.machines.values().all(|machine| machine.reboots == 0));
}

#[test]
fn losses_reported_and_cleared() {
    let mut site = garza_site();
    site.machine("w01").dead = true;
    site.machine("w02").unlisted = true;
    site.run_until(MINUTE_MS, STEP_MS, |_| false);
    let lost: BTreeSet<&str> = site
        .fleet
        .waves()
        .lost_instances()
        .keys()
        .map(InstanceName::as_str)
        .collect();
    assert_eq!(lost, BTreeSet::from(["w01", "w02"]));
    site.machine("w01").dead = false;
    site.machine("w02").unlisted = false;
    site.run_until(MINUTE_MS, STEP_MS, |_| false);
    assert!(site.fleet.waves().lost_instances().is_empty());
    for machine in site.machines.values_mut() {
        machine.unlisted = true;
    }
    site.run_until(MINUTE_MS, STEP_MS, |_| false);
    assert!(
        site.fleet.waves().lost_instances().is_empty(),
        "nothing follows from an empty list"
    );
}

#[test]
fn leaving_instance_returns() {
    let mut site = garza_site();
    site.machine("w01").leaving = true;
    site.create_wave("w").expect("the wave is created");
    site.run_until(5 * MINUTE_MS, STEP_MS, |_| false);
    let state = &site
        .fleet
        .instance(&"w01".into())
        .expect("the instance is known")
        .state;
    assert!(matches!(state, InstanceState::Drained { .. }));
    site.machine("w01").leaving = false;
    assert!(runs_to_end(&mut site, "w"));
    assert_all_serve(&site);
    assert!(
        wave(&site, "w")
            .done
            .contains_key(&InstanceName::from("w01"))
    );
}

#[test]
fn missing_instance_skipped() {
    let mut site = garza_site();
    site.machine("w01").unlisted = true;
    site.machine("w01").dead = true;
    site.create_wave("w").expect("the wave is created");
    assert!(runs_to_end(&mut site, "w"));
    assert_eq!(
        wave(&site, "w").failed[&InstanceName::from("w01")].kind,
        FailureKind::Unavailable
    );
    assert_eq!(wave(&site, "w").done.len(), 48);
    assert_contracts_kept(&site);
}

#[test]
fn operator_move_waits() {
    let mut site = garza_site();
    let order = |site: &VirtualSite, name: &str, to: &str| -> RecordBody {
        WaveRecord::MoveOrdered {
            presumes: site.fleet.waves().version(),
            instance: InstanceName::from(name),
            to: PoolName::from(to),
            reason: MoveReason::Operator {
                operator: String::from("ana"),
            },
        }
        .into()
    };
    let body = order(&site, "w20", "platform-forecasts");
    site.append(2, body).expect("the move is ordered");
    site.run_until(MINUTE_MS, STEP_MS, |_| false);
    let moved = site
        .fleet
        .instance(&"w20".into())
        .expect("the instance is known");
    assert_eq!(moved.pool.as_str(), "platform-forecasts");
    let explanation = explain_instance(&site.fleet, &"w20".into()).expect("the instance is known");
    assert_eq!(explanation.moved.len(), 1);
    for name in ["w02", "w06"] {
        let body = order(&site, name, "platform-forecasts");
        site.append(2, body).expect("the move is ordered");
    }
    site.run_until(5 * MINUTE_MS, STEP_MS, |_| false);
    let explanation = explain_instance(&site.fleet, &"w06".into()).expect("the instance is known");
    assert!(
        explanation
            .waits_for
            .is_some_and(|reason| reason.contains("transfer-forecasts"))
    );
    assert_eq!(site.counts.broken_ms, 0);
}

#[test]
fn shortage_filled_once() {
    let mut site = garza_site();
    for name in ["w01", "w05"] {
        site.machine(name).dead = true;
    }
    site.run_until(10 * MINUTE_MS, STEP_MS, |_| false);
    assert_eq!(site.fleet.waves().finished_move_count(), 1);
    for _ in 0..20 {
        let dead = site.machine("w01").dead;
        site.machine("w01").dead = !dead;
        site.run_until(MINUTE_MS, STEP_MS, |_| false);
    }
    assert_eq!(
        site.fleet.waves().finished_move_count(),
        1,
        "a flapping instance moved others"
    );
    assert_eq!(site.counts.broken_ms, 0);
}

#[test]
fn cancel_finishes_reboots() {
    let mut site = garza_site();
    site.create_wave("w").expect("the wave is created");
    site.run_until(MINUTE_MS, STEP_MS, |_| false);
    let steps: Vec<MaintenanceStep> = wave(&site, "w").in_maintenance.values().copied().collect();
    assert!(
        steps
            .iter()
            .all(|step| matches!(step, MaintenanceStep::Rebooting { .. })),
        "{steps:?}"
    );
    site.control("w", WaveControl::Cancel)
        .expect("the wave is cancelled");
    site.change_holder();
    site.run_until(MINUTE_MS, STEP_MS, |_| false);
    assert_eq!(
        open_instances(&site),
        steps.len(),
        "no instance serves while it reboots"
    );
    assert!(site.run_until(20 * MINUTE_MS, STEP_MS, |site| site.has_ended("w")));
    assert_all_serve(&site);
}

#[test]
fn short_outage_ignored() {
    let mut site = garza_site();
    for _ in 0..20 {
        for name in ["w01", "w05"] {
            let dead = site.machine(name).dead;
            site.machine(name).dead = !dead;
        }
        site.run_until(MINUTE_MS / 2, STEP_MS, |_| false);
    }
    assert_eq!(site.fleet.waves().finished_move_count(), 0);
    assert!(site.fleet.waves().moves().is_empty());
}

#[test]
fn eviction_requires_reboot() {
    let mut site = garza_site();
    let left = RecordBody::EntryLeft {
        incarnation: Incarnation::new(3),
        reason: LeaveReason::Evicted {
            witnesses: [Incarnation::new(1), Incarnation::new(2)].into(),
        },
    };
    site.append(1, left)
        .expect("more than half of the members witness the eviction");
    let record = WaveRecord::MoveOrdered {
        presumes: site.fleet.waves().version(),
        instance: InstanceName::from("w20"),
        to: PoolName::from("platform-forecasts"),
        reason: MoveReason::Operator {
            operator: String::from("ana"),
        },
    };
    site.append(2, record.into()).expect("the move is ordered");
    let moved = site.run_until(60 * MINUTE_MS, STEP_MS, |site| {
        site.fleet.waves().moves().is_empty()
    });
    assert!(moved, "{:?}", site.fleet.instance(&"w20".into()));
    let instance = site
        .fleet
        .instance(&"w20".into())
        .expect("the instance is known");
    assert_eq!(instance.pool.as_str(), "platform-forecasts");
    assert!(
        site.machine("w20").reboots > 0,
        "the evicted member may still be connected to it"
    );
}

#[test]
fn dead_instance_replaced() {
    let mut site = garza_site();
    site.create_wave("w").expect("the wave is created");
    site.run_until(MINUTE_MS, STEP_MS, |_| false);
    site.machine("w01").dead = true;
    assert!(runs_to_end(&mut site, "w"));
    assert_eq!(
        site.fleet.waves().finished_move_count(),
        1,
        "one instance moves in for the dead one"
    );
    assert_contracts_kept(&site);
}

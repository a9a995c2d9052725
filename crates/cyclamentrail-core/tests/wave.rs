//! Maintenance waves in virtual time, with each failure that may meet one.

use std::collections::BTreeSet;

use cyclamentrail_core::{
    Advance, BootId, FailureKind, Incarnation, InstanceName, InstanceState, LeaveReason,
    MoveReason, OpenStep, PoolName, RecordBody, RejectionKind, WaveControl, WaveName, WaveRecord,
    WaveState, explain_instance, explain_wave,
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

fn garza() -> VirtualSite {
    VirtualSite::new(&document("garza.json"))
}

fn ends(site: &mut VirtualSite, wave: &str) -> bool {
    site.run_until(DAY_MS, STEP_MS, |site| site.has_ended(wave))
}

fn wave<'a>(site: &'a VirtualSite, name: &str) -> &'a cyclamentrail_core::Wave {
    let name = WaveName::from(name);
    site.fleet.waves().wave(&name).expect("the wave exists")
}

fn in_hand(site: &VirtualSite) -> usize {
    site.fleet
        .waves()
        .waves()
        .map(|(_, wave)| wave.open.len())
        .sum()
}

fn assert_kept(site: &VirtualSite) {
    assert!(site.counts.beyond_contract.is_empty(), "{:?}", site.counts);
    assert_eq!(site.counts.broken_ms, 0);
    assert!(site.counts.taken.values().all(|&count| count == 1));
}

fn assert_all_serve(site: &VirtualSite) {
    for (name, instance) in site.fleet.instances() {
        assert_eq!(instance.state, InstanceState::Serving, "{name}");
    }
}

#[test]
fn whole_wave() {
    let mut site = garza();
    site.create_wave("w").expect("it is created");
    assert!(ends(&mut site, "w"));
    assert_eq!(wave(&site, "w").state, WaveState::Ended);
    assert_eq!(wave(&site, "w").done.len(), 49);
    assert_eq!(site.runner().planner_work(), 0, "no pool needed room");
    assert!(site.machines.values().all(|machine| machine.reboots == 1));
    assert_kept(&site);
    assert_all_serve(&site);
}

#[test]
fn halts_and_resumes() {
    let mut site = garza();
    for name in ["w01", "w02", "w03"] {
        site.machine(name).reboot_fault = RebootFault::NeverReturns;
    }
    site.create_wave("w").expect("it is created");
    let halted = site.run_until(DAY_MS, STEP_MS, |site| {
        matches!(wave(site, "w").state, WaveState::Halted { .. })
    });
    assert!(halted, "{:?}", wave(&site, "w"));
    let done = wave(&site, "w").done.len();
    let explanation = explain_wave(&site.fleet, &WaveName::from("w")).expect("it is known");
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
    assert!(wave(&site, "w").done.len() <= done + 8, "the wave went on");
    for name in ["w01", "w02", "w03"] {
        site.machine(name).reboot_fault = RebootFault::None;
    }
    site.control("w", WaveControl::Resume).expect("it resumes");
    assert!(ends(&mut site, "w"));
    site.run_until(DAY_MS, STEP_MS, |_| false);
    assert_all_serve(&site);
    assert_kept(&site);
}

#[test]
fn broken_returns_halt() {
    let mut site = garza();
    for machine in site.machines.values_mut() {
        machine.reboot_fault = RebootFault::ReturnsBroken;
    }
    site.create_wave("w").expect("it is created");
    site.run_until(DAY_MS, STEP_MS, |_| false);
    assert!(matches!(wave(&site, "w").state, WaveState::Halted { .. }));
    assert!(in_hand(&site) == 0, "every drain ended");
    assert!(site.counts.beyond_contract.is_empty());
    let out: usize = wave(&site, "w").failed.len();
    assert!(out <= 6, "the first batch alone failed, {out} instances");
    assert_eq!(site.counts.broken_ms, 0);
}

#[test]
fn zone_lost() {
    let mut site = garza();
    site.create_wave("w").expect("it is created");
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
    let taken = site.counts.taken.len();
    site.run_until(5 * MINUTE_MS, STEP_MS, |_| false);
    assert_eq!(site.counts.taken.len(), taken, "taken with a zone lost");
    let explanation = explain_wave(&site.fleet, &WaveName::from("w")).expect("it is known");
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
    assert!(spent > 0, "the loss is on the accounts");
    for name in &zone {
        site.machine(name).dead = false;
        site.machine(name).unlisted = false;
    }
    site.run_until(MINUTE_MS, STEP_MS, |_| false);
    if !wave(&site, "w").is_running() {
        site.control("w", WaveControl::Resume).expect("it resumes");
    }
    assert!(site.run_until(3 * DAY_MS, STEP_MS, |site| site.has_ended("w")));
    assert!(site.counts.beyond_contract.is_empty());
}

#[test]
fn holder_changes() {
    let mut site = garza();
    site.create_wave("w").expect("it is created");
    while !site.has_ended("w") && site.now_ms() < DAY_MS {
        site.run_until(47_000, STEP_MS, |_| false);
        site.change_holder();
    }
    assert!(site.has_ended("w"));
    assert!(site.machines.values().all(|machine| machine.reboots == 1));
    assert_kept(&site);
}

#[test]
fn log_down() {
    let mut site = garza();
    site.create_wave("w").expect("it is created");
    site.run_until(5 * MINUTE_MS, STEP_MS, |_| false);
    site.log_down = true;
    let taken = site.counts.taken.len();
    site.run_until(30 * MINUTE_MS, STEP_MS, |_| false);
    assert_eq!(site.counts.taken.len(), taken);
    site.log_down = false;
    assert!(ends(&mut site, "w"));
    assert_kept(&site);
}

#[test]
fn operators_race() {
    let mut site = garza();
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
    site.append(1, first).expect("the first wins");
    let refused = site.append(2, second).expect_err("the second is told");
    assert!(refused.to_string().contains("ana"), "{refused}");
    let clash = site
        .create_wave("b")
        .expect_err("the instances are covered");
    assert!(matches!(clash, RejectionKind::Clash { .. }), "{clash}");
    let version = wave(&site, "a").version;
    site.control("a", WaveControl::Pause).expect("it pauses");
    let late = WaveRecord::Controlled {
        presumes: version,
        wave: WaveName::from("a"),
        control: WaveControl::Cancel,
        operator: String::from("berta"),
    };
    assert!(site.append(3, late.into()).is_err(), "it was paused before");
}

#[test]
fn stale_holder() {
    let mut site = garza();
    site.create_wave("w").expect("it is created");
    let stale = site.fleet.waves().duty_version();
    site.step(STEP_MS);
    let advance = Advance {
        taken: [(InstanceName::from("w40"), BootId::new(1))].into(),
        ..Advance::default()
    };
    let record = WaveRecord::Advanced {
        presumes: stale,
        wave: WaveName::from("w"),
        advance,
    };
    let refused = site.append(3, record.into()).expect_err("it is stale");
    assert!(matches!(refused, RejectionKind::VersionPassed { .. }));
}

#[test]
fn settings_change() {
    let mut site = garza();
    site.create_wave("w").expect("it is created");
    site.run_until(2 * MINUTE_MS, STEP_MS, |_| false);
    let promise = |promised: u32| {
        let contract = json!({"contract": {"promised_instances": promised}});
        json!({"services": {"transfer-forecasts": contract, "platform-forecasts": contract}})
    };
    site.change_settings(&promise(9)).expect("it is valid");
    site.run_until(2 * 60 * MINUTE_MS, STEP_MS, |_| false);
    assert!(!site.has_ended("w"));
    let explanation = explain_wave(&site.fleet, &WaveName::from("w")).expect("it is known");
    assert!(
        explanation
            .waits_for
            .iter()
            .any(|reason| reason.contains("transfer-forecasts")),
        "{explanation:?}"
    );
    site.change_settings(&promise(7)).expect("it is valid");
    assert!(ends(&mut site, "w"));
    assert!(site.counts.taken.values().all(|&count| count == 1));
}

#[test]
fn pause_holds() {
    let mut site = garza();
    site.create_wave("w").expect("it is created");
    site.run_until(MINUTE_MS, STEP_MS, |_| false);
    site.control("w", WaveControl::Pause).expect("it pauses");
    let taken = site.counts.taken.len();
    site.run_until(60 * MINUTE_MS, STEP_MS, |_| false);
    assert_eq!(site.counts.taken.len(), taken);
    assert_eq!(in_hand(&site), 0, "those in hand came back");
    let explanation = explain_wave(&site.fleet, &WaveName::from("w")).expect("it is known");
    assert_eq!(
        explanation.waits_for,
        ["test paused the wave; resume it to continue"]
    );
    site.control("w", WaveControl::Resume).expect("it resumes");
    assert!(ends(&mut site, "w"));
    assert_kept(&site);
}

#[test]
fn cancel_ends() {
    let mut site = garza();
    site.create_wave("w").expect("it is created");
    site.run_until(2 * STEP_MS, STEP_MS, |_| false);
    assert!(in_hand(&site) > 0);
    site.control("w", WaveControl::Cancel)
        .expect("it is cancelled");
    assert!(site.run_until(20 * MINUTE_MS, STEP_MS, |site| site.has_ended("w")));
    site.run_until(MINUTE_MS, STEP_MS, |_| false);
    assert_all_serve(&site);
    assert_eq!(in_hand(&site), 0);
    assert!(site.machines.values().all(|machine| machine.reboots == 0));
}

#[test]
fn list_lies() {
    let mut site = garza();
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
        "an empty list tells nothing"
    );
}

#[test]
fn leaver_returns() {
    let mut site = garza();
    site.machine("w01").leaving = true;
    site.create_wave("w").expect("it is created");
    site.run_until(5 * MINUTE_MS, STEP_MS, |_| false);
    let state = &site
        .fleet
        .instance(&"w01".into())
        .expect("it is known")
        .state;
    assert!(matches!(state, InstanceState::Drained { .. }));
    site.machine("w01").leaving = false;
    assert!(ends(&mut site, "w"));
    assert_all_serve(&site);
    assert!(
        wave(&site, "w")
            .done
            .contains_key(&InstanceName::from("w01"))
    );
}

#[test]
fn vanished_is_passed_over() {
    let mut site = garza();
    site.machine("w01").unlisted = true;
    site.machine("w01").dead = true;
    site.create_wave("w").expect("it is created");
    assert!(ends(&mut site, "w"));
    assert_eq!(
        wave(&site, "w").failed[&InstanceName::from("w01")].kind,
        FailureKind::Gone
    );
    assert_eq!(wave(&site, "w").done.len(), 48);
    assert_kept(&site);
}

#[test]
fn operator_moves() {
    let mut site = garza();
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
    site.append(2, body).expect("it is ordered");
    site.run_until(MINUTE_MS, STEP_MS, |_| false);
    let moved = site.fleet.instance(&"w20".into()).expect("it is known");
    assert_eq!(moved.pool.as_str(), "platform-forecasts");
    let explanation = explain_instance(&site.fleet, &"w20".into()).expect("it is known");
    assert_eq!(explanation.moved.len(), 1);
    for name in ["w02", "w06"] {
        let body = order(&site, name, "platform-forecasts");
        site.append(2, body).expect("it is ordered");
    }
    site.run_until(5 * MINUTE_MS, STEP_MS, |_| false);
    let waits = explain_instance(&site.fleet, &"w06".into()).expect("it is known");
    assert!(
        waits
            .waits_for
            .is_some_and(|reason| reason.contains("transfer-forecasts"))
    );
    assert_eq!(site.counts.broken_ms, 0);
}

#[test]
fn shortage_is_filled_once() {
    let mut site = garza();
    for name in ["w01", "w05"] {
        site.machine(name).dead = true;
    }
    site.run_until(10 * MINUTE_MS, STEP_MS, |_| false);
    assert_eq!(site.fleet.waves().moves_done(), 1);
    for _ in 0..20 {
        let dead = site.machine("w01").dead;
        site.machine("w01").dead = !dead;
        site.run_until(MINUTE_MS, STEP_MS, |_| false);
    }
    assert_eq!(
        site.fleet.waves().moves_done(),
        1,
        "a flapping instance moved others"
    );
    assert_eq!(site.counts.broken_ms, 0);
}

#[test]
fn reboot_survives_cancel() {
    let mut site = garza();
    site.create_wave("w").expect("it is created");
    site.run_until(MINUTE_MS, STEP_MS, |_| false);
    let steps: Vec<OpenStep> = wave(&site, "w").open.values().copied().collect();
    assert!(
        steps
            .iter()
            .all(|step| matches!(step, OpenStep::Rebooting { .. })),
        "{steps:?}"
    );
    site.control("w", WaveControl::Cancel)
        .expect("it is cancelled");
    site.change_holder();
    site.run_until(MINUTE_MS, STEP_MS, |_| false);
    assert_eq!(
        in_hand(&site),
        steps.len(),
        "nothing serves while it reboots"
    );
    assert!(site.run_until(20 * MINUTE_MS, STEP_MS, |site| site.has_ended("w")));
    assert_all_serve(&site);
}

#[test]
fn blips_move_nothing() {
    let mut site = garza();
    for _ in 0..20 {
        for name in ["w01", "w05"] {
            let dead = site.machine(name).dead;
            site.machine(name).dead = !dead;
        }
        site.run_until(MINUTE_MS / 2, STEP_MS, |_| false);
    }
    assert_eq!(site.fleet.waves().moves_done(), 0);
    assert!(site.fleet.waves().moves().is_empty());
}

#[test]
fn evicted_move_reboots() {
    let mut site = garza();
    let left = RecordBody::EntryLeft {
        incarnation: Incarnation::new(3),
        reason: LeaveReason::Evicted {
            witnesses: [Incarnation::new(1), Incarnation::new(2)].into(),
        },
    };
    site.append(1, left).expect("more than half witness it");
    let record = WaveRecord::MoveOrdered {
        presumes: site.fleet.waves().version(),
        instance: InstanceName::from("w20"),
        to: PoolName::from("platform-forecasts"),
        reason: MoveReason::Operator {
            operator: String::from("ana"),
        },
    };
    site.append(2, record.into()).expect("it is ordered");
    let moved = site.run_until(60 * MINUTE_MS, STEP_MS, |site| {
        site.fleet.waves().moves().is_empty()
    });
    assert!(moved, "{:?}", site.fleet.instance(&"w20".into()));
    let instance = site.fleet.instance(&"w20".into()).expect("it is known");
    assert_eq!(instance.pool.as_str(), "platform-forecasts");
    assert!(
        site.machine("w20").reboots > 0,
        "it may hold an old connection"
    );
}

#[test]
fn dead_one_moves_help() {
    let mut site = garza();
    site.create_wave("w").expect("it is created");
    site.run_until(MINUTE_MS, STEP_MS, |_| false);
    site.machine("w01").dead = true;
    assert!(ends(&mut site, "w"));
    assert_eq!(site.fleet.waves().moves_done(), 1, "one moves to make room");
    assert_kept(&site);
}

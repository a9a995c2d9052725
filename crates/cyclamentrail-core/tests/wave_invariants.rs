//! Invariants of waves for random sites, contracts and failures.
//!
//! A wave ends if there is room for it, takes each instance once and breaks no contract.

use cyclamentrail_core::{InstanceName, InstanceState, WaveControl};
use cyclamentrail_standin::{RebootFault, VirtualSite};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use serde_json::{Value, json};

const STEP_MS: u64 = 5_000;
const MINUTE_MS: u64 = 60_000;
const SEED: u64 = 6;

/// A random site: pools with their sizes and promised instances; instances are assigned to racks,
/// zones and pools in turn.
#[derive(Debug, Clone)]
struct SitePlan {
    /// Number of instances and of promised instances of each pool.
    pools: Vec<(u32, u32)>,
    survives: &'static str,
    /// Whether the cost weights let pools borrow an instance for each wave.
    borrows: bool,
}

/// Failure, repair or operator's control that occurs at a site.
#[derive(Debug, Clone)]
enum Event {
    RackDies(usize),
    InstanceUnlisted(usize),
    InstanceLeaves(usize),
    RebootFails(usize, bool),
    HolderChanges,
    HolderPauses(bool),
    LogDown(bool),
    Pause,
    Resume,
    RepairAll,
}

fn document(plan: &SitePlan) -> Value {
    let total: u32 = plan.pools.iter().map(|(size, _)| size).sum();
    let names: Vec<String> = (1..=total).map(|number| format!("w{number:03}")).collect();
    let mut zones = json!({});
    for (rack, chunk) in names.chunks(3).enumerate() {
        let zone = format!("z{}", rack % 3);
        if zones.get(&zone).is_none() {
            zones[&zone] = json!({"zone_delay_us": 1, "caller_delay_us": 1, "racks": {}});
        }
        zones[&zone]["racks"][format!("r{rack:02}")] = json!(chunk);
    }
    let mut pools = json!({});
    let mut services = json!({});
    let mut free = names.clone();
    for (index, &(size, promised)) in plan.pools.iter().enumerate() {
        let mut held = Vec::new();
        for turn in 0..size as usize {
            held.push(free.remove((turn * 3 + index) % free.len()));
        }
        pools[format!("p{index}")] = json!({"instances": held, "spare": index == 0});
        if promised == 0 && index > 0 {
            continue;
        }
        services[format!("s{index}")] = json!({
            "pool": format!("p{index}"),
            "contract": {"promised_instances": promised.max(1), "budget_instance_s": 36_000,
                         "window_s": 86_400, "survives": plan.survives},
            "default_deadline_ms": 1000, "mean_work_ms": 1.0, "mean_rate_per_s": 1.0,
        });
    }
    let weights = if plan.borrows { 4.0 } else { 1.0 };
    json!({
        "site": "random", "region": "random", "zones": zones, "pools": pools, "services": services,
        "worker": {"cores": 4, "memory_mib": 4096, "slots": 8, "connections": 64},
        "cost_weights": {"buffer": weights, "roll_out": 1.0, "moves": 1.0},
        "entries": {"e1": {"zone": "z0", "caller_address": "127.0.0.1:1001",
                           "peer_address": "127.0.0.1:1002",
                           "operator_address": "127.0.0.1:1003"}},
        "requests": {"max_deadline_ms": 60000, "connect_timeout_ms": 500,
                     "retry_budget_ratio": 0.1, "max_waiting": 256,
                     "max_body_bytes": 1_048_576, "key_memory_ms": 3_600_000},
        "caller_limits": {"max_connections": 1024, "max_requests": 1024,
                          "max_header_bytes": 32768, "header_timeout_ms": 2000,
                          "body_timeout_ms": 2000},
        "control": {"heartbeat_ms": 100, "dispatch_lease_ms": 1000, "append_delay_ms": 5,
                    "list_interval_ms": 100, "snapshot_records": 1000,
                    "platform_timeout_ms": 500},
        "platform": {"log_address": "127.0.0.1:1", "list_address": "127.0.0.1:2",
                     "control_stream": "control"},
        "token": {"environment": "T"},
        "log": {"level": "info", "destination": "stderr"},
    })
}

fn site_plans() -> impl Strategy<Value = SitePlan> {
    let pool = (2_u32..9).prop_flat_map(|size| (Just(size), 0..=size));
    let survives = prop_oneof![Just("instance"), Just("rack"), Just("zone")];
    (
        proptest::collection::vec(pool, 1..5),
        survives,
        any::<bool>(),
    )
        .prop_map(|(pools, survives, borrows)| SitePlan {
            pools,
            survives,
            borrows,
        })
}

fn events() -> impl Strategy<Value = Vec<(u64, Event)>> {
    let event = prop_oneof![
        (0_usize..12).prop_map(Event::RackDies),
        (0_usize..40).prop_map(Event::InstanceUnlisted),
        (0_usize..40).prop_map(Event::InstanceLeaves),
        ((0_usize..40), any::<bool>())
            .prop_map(|(index, returns)| Event::RebootFails(index, returns)),
        Just(Event::HolderChanges),
        any::<bool>().prop_map(Event::HolderPauses),
        any::<bool>().prop_map(Event::LogDown),
        Just(Event::Pause),
        Just(Event::Resume),
        Just(Event::RepairAll),
    ];
    proptest::collection::vec(((1_u64..12), event), 0..8)
}

fn instance_at(site: &VirtualSite, index: usize) -> String {
    let names: Vec<&InstanceName> = site.machines.keys().collect();
    names[index % names.len()].to_string()
}

fn apply_event(site: &mut VirtualSite, event: &Event) {
    match *event {
        Event::RackDies(rack) => {
            let names: Vec<InstanceName> = site
                .machines
                .keys()
                .skip(rack * 3)
                .take(3)
                .cloned()
                .collect();
            for name in names {
                site.machine(name.as_str()).dead = true;
            }
        }
        Event::InstanceUnlisted(index) => {
            let name = instance_at(site, index);
            site.machine(&name).unlisted = true;
        }
        Event::InstanceLeaves(index) => {
            let name = instance_at(site, index);
            site.machine(&name).leaving = true;
        }
        Event::RebootFails(index, returns) => {
            let name = instance_at(site, index);
            site.machine(&name).reboot_fault = if returns {
                RebootFault::ReturnsBroken
            } else {
                RebootFault::NeverReturns
            };
        }
        Event::HolderChanges => site.change_holder(),
        Event::HolderPauses(paused) => site.holder_paused = paused,
        Event::LogDown(down) => site.log_down = down,
        Event::Pause => drop(site.control("w", WaveControl::Pause)),
        Event::Resume => drop(site.control("w", WaveControl::Resume)),
        Event::RepairAll => repair_all(site),
    }
}

fn repair_all(site: &mut VirtualSite) {
    site.log_down = false;
    site.holder_paused = false;
    for machine in site.machines.values_mut() {
        machine.dead = false;
        machine.unlisted = false;
        machine.leaving = false;
        machine.failing = false;
        machine.reboot_fault = RebootFault::None;
    }
}

/// Returns whether each pool has at least two instances beyond its promise when its worst domain is
/// lost, so that the wave can always take an instance of the pool.
fn is_feasible(site: &VirtualSite) -> bool {
    let capacity = site.fleet.capacity().expect("settings are in force");
    capacity
        .pools()
        .values()
        .all(|pool| pool.promised == 0 || pool.slack() >= 2)
}

fn config(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config(40))]

    #[test]
    fn wave_keeps_contracts(plan in site_plans(), events in events()) {
        let mut site = VirtualSite::new(&document(&plan));
        let feasible = is_feasible(&site);
        site.create_wave("w").expect("the wave is created");
        for (minutes, event) in &events {
            site.run_until(minutes * MINUTE_MS, STEP_MS, |_| false);
            apply_event(&mut site, event);
        }
        repair_all(&mut site);
        site.run_until(30 * MINUTE_MS, STEP_MS, |_| false);
        drop(site.control("w", WaveControl::Resume));
        let limit_ms = 20 * MINUTE_MS * site.machines.len() as u64;
        let ended = site.run_until(limit_ms, STEP_MS, |site| site.has_ended("w"));
        prop_assert!(ended || !feasible, "{:?}", site.fleet.waves());
        prop_assert!(site.counts.contract_violations.is_empty(), "{:?}", site.counts.contract_violations);
        prop_assert!(site.counts.take_counts.values().all(|&count| count == 1));
        if ended {
            site.run_until(60 * MINUTE_MS, STEP_MS, |_| false);
            for (name, instance) in site.fleet.instances() {
                prop_assert_eq!(&instance.state, &InstanceState::Serving, "{}", name);
            }
        }
    }

    #[test]
    fn lost_rack_keeps_promise(plan in site_plans(), rack in 0_usize..12, minutes in 1_u64..60) {
        let mut site = VirtualSite::new(&document(&plan));
        let survives_loss = site.fleet.capacity().expect("settings are in force").pools().values()
            .all(|pool| pool.promised == 0 || pool.slack() >= 0);
        prop_assume!(survives_loss && plan.survives != "instance");
        site.create_wave("w").expect("the wave is created");
        site.run_until(minutes * MINUTE_MS, STEP_MS, |_| false);
        apply_event(&mut site, &Event::RackDies(rack));
        site.run_until(120 * MINUTE_MS, STEP_MS, |_| false);
        prop_assert_eq!(site.counts.broken_ms, 0);
    }
}

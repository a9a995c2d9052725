//! Moves that the planner chooses, and that they break no contract while they are carried out.

use std::collections::BTreeMap;

use cyclamentrail_core::{
    Capacity, InstanceName, MoveReason, Plan, PlanInput, PlanMethod, PoolName, plan,
};
use cyclamentrail_standin::VirtualSite;
use rstest::rstest;
use serde_json::Value;

fn site() -> VirtualSite {
    let read = |file: &str| -> Value {
        let path = format!("{}/../../sites/{file}", env!("CARGO_MANIFEST_DIR"));
        let text = std::fs::read_to_string(path).expect("the site's file is there");
        serde_json::from_str(&text).expect("the site's file is JSON")
    };
    let document = cyclamentrail_core::merge_documents(read("base.json"), &read("garza.json"));
    VirtualSite::new(&document)
}

fn plan_moves(
    capacity: &Capacity<'_>,
    needs: &[&str],
    surplus: &[&str],
    method: PlanMethod,
) -> Plan {
    let pools = capacity.settings().pools.iter();
    let homes = pools.flat_map(|(pool, listed)| {
        let instances = listed.instances.iter();
        instances.map(move |name| (name.clone(), pool.clone()))
    });
    let movable: BTreeMap<InstanceName, PoolName> = homes.collect();
    let needs = needs
        .iter()
        .map(|&pool| (PoolName::from(pool), MoveReason::Shortage));
    plan(&PlanInput {
        capacity,
        needs: needs.collect(),
        surplus: surplus.iter().map(|&pool| PoolName::from(pool)).collect(),
        movable,
        method,
    })
}

#[rstest]
fn donors_keep_promises(#[values(PlanMethod::Greedy, PlanMethod::Assignment)] method: PlanMethod) {
    let site = site();
    let mut capacity = site.fleet.capacity().expect("settings are in force");
    let needs = [
        "platform-forecasts",
        "transfer-forecasts",
        "special-event-forecasts",
    ];
    let first = plan_moves(&capacity, &needs, &[], method);
    assert_eq!(
        first,
        plan_moves(&capacity, &needs, &[], method),
        "the plan is deterministic"
    );
    assert_eq!(
        (first.moves.len(), first.unmet.len()),
        (2, 1),
        "the spare pool has two to lend"
    );
    for planned in &first.moves {
        assert!(capacity.blocking_contract(&planned.instance).is_none());
        capacity.remove_instance(&planned.instance);
        capacity.add_instance(&planned.instance, &planned.to);
    }
    assert!(capacity.pools().values().all(|pool| pool.slack() >= 0));
}

#[test]
fn surplus_returned() {
    let site = site();
    let capacity = site.fleet.capacity().expect("settings are in force");
    let plan = plan_moves(&capacity, &[], &["platform-forecasts"], PlanMethod::Greedy);
    assert_eq!(
        plan.moves.len(),
        1,
        "one instance is surplus, the others are promised or needed if the worst rack is lost"
    );
    assert_eq!(plan.moves[0].to.as_str(), "reports-and-archive");
    assert_eq!(plan.moves[0].reason, MoveReason::Surplus);
}

#[test]
fn reserve_is_minimal() {
    let site = site();
    let capacity = site.fleet.capacity().expect("settings are in force");
    for (name, pool) in capacity.pools() {
        assert_eq!(pool.reserve(), 1, "{name} has one instance in each rack");
    }
}

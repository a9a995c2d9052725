//! The laboratory for scheduling decisions, on short days with fixed seeds.

use cyclamentrail_bench::lab::{
    Description, Fault, FaultKind, Policy, Trace, draw_description, on_time_bound, play,
};
use rstest::rstest;

const TURNS: &str = include_str!("../days/turns.json");
/// Length of the days, in seconds: one round of turns.
const LENGTH_S: f64 = 18.0;
const SEED: u64 = 1;

fn turns() -> Description {
    let mut description = Description::parse(TURNS).expect("the day is well-formed");
    description.length_s = LENGTH_S;
    description.faults.clear();
    description
}

#[rstest]
#[case::no_json("{", "the description can't be read")]
#[case::unknown_key(r#"{"name": "x", "colour": "red"}"#, "unknown field `colour`")]
#[case::no_pools(
    r#"{"name": "x", "length_s": 1, "move_s": 1, "pools": []}"#,
    "pools is empty"
)]
fn description_refused(#[case] text: &str, #[case] reason: &str) {
    let error = Description::parse(text).expect_err("the description is wrong");
    assert!(error.to_string().contains(reason), "{error}");
}

#[rstest]
#[case::no_machines("\"machines\": 8", "\"machines\": 0", "pools.short-a.machines")]
#[case::negative_rate("\"jobs_per_s\": 11", "\"jobs_per_s\": -1", "pools.short-a.jobs_per_s")]
#[case::large_task("\"task_cores\": 0.9", "\"task_cores\": 99", "exceeds a machine")]
#[case::same_name("\"wide-b\"", "\"wide-a\"", "two pools have the same name")]
#[case::not_a_part("0.08", "8", "between 0 and 1")]
fn value_refused(#[case] good: &str, #[case] bad: &str, #[case] reason: &str) {
    let text = TURNS.replacen(good, bad, 1);
    let error = Description::parse(&text).expect_err("the value is wrong");
    assert!(error.to_string().contains(reason), "{error}");
}

#[test]
fn play_repeats() {
    let description = turns();
    let trace = Trace::draw(&description, SEED);
    let plays = [(); 2].map(|()| play(&description, &trace, Policy::Product));
    assert_eq!(plays[0], plays[1]);
}

/// Four pools have their turns one after the other.
#[test]
fn product_beats_first_come() {
    let description = turns();
    let trace = Trace::draw(&description, SEED);
    let on_time = |policy| play(&description, &trace, policy).counts().on_time;
    let (product, first_come) = (on_time(Policy::Product), on_time(Policy::FirstCome));
    println!(
        "on time of {}: product {product}, first come {first_come}",
        trace.jobs.len()
    );
    assert!(product > first_come);
}

/// No policy exceeds the bound, also on sites that nobody has chosen.
#[rstest]
fn bound_holds(#[values(0, 1, 2)] site: u64) {
    let mut description = draw_description(site);
    description.length_s = LENGTH_S;
    description.faults.clear();
    let trace = Trace::draw(&description, SEED);
    let bound = on_time_bound(&description, &trace);
    for policy in Policy::ALL {
        let on_time = f64::from(play(&description, &trace, policy).counts().on_time);
        assert!(
            on_time <= bound + 1e-6,
            "{on_time} by {policy:?}, the bound is {bound}"
        );
    }
}

/// More work than all machines can do: the bound is below the number of jobs.
#[test]
fn bound_limits_overload() {
    let mut description = turns();
    for pool in &mut description.pools {
        pool.jobs_per_s *= 4.0;
    }
    let trace = Trace::draw(&description, SEED);
    let bound = on_time_bound(&description, &trace);
    let jobs = u32::try_from(trace.jobs.len()).expect("a day has few jobs");
    assert!(bound < f64::from(jobs), "{bound} of {jobs}");
    assert!(bound > 0.0);
}

/// Each job has an outcome, whatever fails.
#[rstest]
#[case::store_down(FaultKind::StoreDown)]
#[case::machines_lost(FaultKind::MachinesLost(0.2))]
#[case::machines_slow(FaultKind::MachinesSlow(0.2))]
#[case::machines_fail(FaultKind::MachinesFail(0.2))]
fn fault_costs_jobs(#[case] kind: FaultKind) {
    let calm = turns();
    let mut faulty = calm.clone();
    faulty.faults = vec![Fault {
        at_s: 2.0,
        for_s: 8.0,
        kind,
    }];
    let trace = Trace::draw(&calm, SEED);
    let on_time = |description: &Description| {
        let counts = play(description, &trace, Policy::Product).counts();
        assert_eq!(
            (counts.total() + counts.cancelled) as usize,
            trace.jobs.len()
        );
        counts.on_time
    };
    let (calm, faulty) = (on_time(&calm), on_time(&faulty));
    assert!(
        faulty < calm,
        "{faulty} on time with the fault, {calm} without"
    );
}

//! Work of the ledger, counted.

use cyclamentrail_core::{ServiceName, TeamName};
use cyclamentrail_jobs::{Allowances, Ledger, Resources, TeamConfig, TeamReport, base_share};
use rstest::rstest;

/// Guards against a ledger that divides the cap of a team more than once for a report, or again though
/// nothing has changed. In a round, each shard reports once, and `held` teams aren't at their base in
/// it.
#[rstest]
#[case::small(4, 20, 20, 80)]
#[case::few_held(214, 570, 8, 1_712)]
#[case::many_held(214, 570, 64, 13_696)]
fn divisions_of_round(
    #[case] services: usize,
    #[case] teams: usize,
    #[case] held: usize,
    #[case] divisions: u64,
) {
    let teams: Vec<TeamConfig> = (0..teams)
        .map(|index| TeamConfig {
            name: TeamName::from(format!("team-{index:03}")),
            weight: 1.0,
            cap: Resources::new(100_000, 0, 0),
        })
        .collect();
    let names = (0..services).map(|index| ServiceName::from(format!("s{index:03}")));
    let names: Vec<ServiceName> = names.collect();
    let mut ledger = Ledger::new(1);
    ledger.configure(names.iter().cloned(), &teams);
    let mut shards: Vec<Allowances> = names
        .iter()
        .map(|_| {
            let mut shard = Allowances::default();
            shard.set_services(services);
            shard.set_caps(&teams);
            shard
        })
        .collect();
    let base = base_share(services);
    let mut rounds = Vec::new();
    for _ in 0..12 {
        let before = ledger.divisions();
        for (index, shard) in shards.iter_mut().enumerate() {
            let reports = (0..held).map(|offset| {
                let team = teams[(index + offset) % teams.len()].name.clone();
                let allowance = shard.of(&team);
                TeamReport {
                    team,
                    usage: base,
                    allowance,
                    wanted: 2 * base,
                    needed: 0,
                }
            });
            let reports = reports.collect();
            let report = shard.begin_report(&names[index], 1, 1, reports);
            let report = report.expect("teams aren't at their base");
            let reply = ledger.handle_report(&report);
            shard.finish_report(report.sequence, reply.as_ref());
        }
        rounds.push(ledger.divisions() - before);
    }
    println!("{rounds:?}");
    assert!(rounds.iter().all(|count| *count <= divisions), "{rounds:?}");
    assert_eq!(rounds[1], divisions);
    assert_eq!(rounds[11], 0, "nothing changes any more");
}

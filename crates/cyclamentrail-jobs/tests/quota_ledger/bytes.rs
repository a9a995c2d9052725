//! Sizes of the encoded reports and replies.

use cyclamentrail_core::{ServiceName, TeamName};
use cyclamentrail_jobs::{
    Allowances, Grantee, MAX_CHANGED_TEAMS, QuotaReply, Resources, TeamConfig, TeamReport, encode,
};
use rstest::rstest;

fn reports(teams: usize, usage: u64) -> Vec<TeamReport> {
    (0..teams)
        .map(|index| TeamReport {
            team: TeamName::from(format!("team-{index:03}")),
            usage,
            allowance: 400_000,
            wanted: usage + 100_000,
            needed: 0,
        })
        .collect()
}

/// Guards against reports that grow with the number of teams: with all teams above their base, four
/// reports a second and one full report in 33 stay within 10 KB/s.
#[rstest]
#[case(20, 600, 600)]
#[case(570, 16_000, 900)]
fn reports_are_small(
    #[case] teams: usize,
    #[case] full_bytes: usize,
    #[case] changed_bytes: usize,
) {
    let mut allowances = Allowances::default();
    allowances.set_services(4);
    let caps: Vec<TeamConfig> = reports(teams, 0)
        .into_iter()
        .map(|report| TeamConfig {
            name: report.team,
            weight: 1.0,
            cap: Resources::new(100_000, 0, 0),
        })
        .collect();
    allowances.set_caps(&caps);
    let service = ServiceName::from("service-a");
    let full = allowances
        .begin_report(&service, 100_000, 90_000, reports(teams, 250_000))
        .expect("nothing is open");
    assert_eq!(full.teams.len(), teams);
    assert!(encode(&full).len() <= full_bytes, "{}", encode(&full).len());
    let reply = QuotaReply {
        ledger: 90_000,
        caps: full.caps,
        teams: Vec::new(),
    };
    allowances.finish_report(full.sequence, Some(&reply));
    let changed = allowances
        .begin_report(&service, 100_000, 90_000, reports(teams, 350_000))
        .expect("teams are above their base");
    assert_eq!(changed.teams.len(), teams.min(MAX_CHANGED_TEAMS));
    assert!(
        encode(&changed).len() <= changed_bytes,
        "{}",
        encode(&changed).len()
    );
    let bytes_per_s = 4 * encode(&changed).len() + encode(&full).len() * 4 / 33;
    println!(
        "teams={teams} full={} changed={} per_s={bytes_per_s}",
        encode(&full).len(),
        encode(&changed).len()
    );
    assert!(bytes_per_s < 10_000);
    let quiet_reply = encode(&reply).len();
    let full_reply = encode(&QuotaReply {
        ledger: 90_000,
        caps: full.caps,
        teams: (0..MAX_CHANGED_TEAMS)
            .map(|index| Grantee {
                team: TeamName::from(format!("team-{index:03}")),
                allowance: 400_000,
            })
            .collect(),
    });
    println!("reply quiet={quiet_reply} changed={}", full_reply.len());
    assert!(full_reply.len() <= changed_bytes);
}

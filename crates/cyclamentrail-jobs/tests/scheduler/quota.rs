//! Tests of the quota of teams, with a shard in its simulated world and a ledger.

use cyclamentrail_core::{ServiceName, TeamName};
use cyclamentrail_jobs::{
    Decision, JobSpec, JobState, Ledger, Resources, TeamConfig, TeamReport, WaitReason, base_share,
};
use rstest::rstest;

use crate::world::{Simulation, job, step};

const WORKER: Resources = Resources::new(32_000, 131_072, 0);
const SERVICE: &str = "service";
/// Owner's token in reports; the ledger sees one owner only.
const OWNER: u64 = 1;

fn team(name: &str, cap_milli: u64) -> TeamConfig {
    TeamConfig {
        name: TeamName::from(name),
        weight: 1.0,
        cap: Resources::new(cap_milli, 0, 0),
    }
}

/// Returns a world of two workers with 64 cores, and `services` that share the bases.
fn world(teams: &[TeamConfig], services: usize) -> Simulation {
    let mut sim = Simulation::new(2, WORKER);
    sim.shard.set_teams(teams.iter().cloned());
    sim.shard.set_service_count(services);
    sim
}

fn services(count: usize) -> Vec<ServiceName> {
    let other = |index| ServiceName::from(format!("other-{index}"));
    let all = (1..count).map(other);
    all.chain([ServiceName::from(SERVICE)]).collect()
}

/// Returns a ledger to which all other services have reported.
fn lending_ledger(token: u64, teams: &[TeamConfig], count: usize) -> Ledger {
    let mut ledger = Ledger::new(token);
    ledger.configure(services(count), teams);
    for service in services(count).into_iter().take(count - 1) {
        let mut other = cyclamentrail_jobs::Allowances::default();
        other.set_services(count);
        other.set_caps(teams);
        let report = other.begin_report(&service, OWNER, token, Vec::new());
        ledger.handle_report(&report.expect("the ledger is new"));
    }
    ledger
}

/// Advances the world, with a report to the ledger each 250 ms.
fn run_with(sim: &mut Simulation, ledger: &mut Ledger, duration_ms: u64) {
    for _ in 0..duration_ms / 250 {
        let service = ServiceName::from(SERVICE);
        let now = sim.now();
        let report = sim
            .shard
            .begin_quota_report(now, &service, OWNER, ledger.token());
        if let Some(report) = report {
            let reply = ledger.handle_report(&report);
            sim.shard
                .finish_quota_report(report.sequence, reply.as_ref());
        }
        sim.run_for(250);
    }
}

fn waits_for_quota(sim: &Simulation) -> bool {
    sim.decisions.iter().any(|decision| {
        matches!(
            decision,
            Decision::TaskWaiting {
                reason: WaitReason::Quota,
                ..
            }
        )
    })
}

/// Without a ledger, a shard runs as much as its base, and the wait is reported as that for the quota.
#[test]
fn base_without_ledger() {
    let mut sim = world(&[team("a", 40_000)], 4);
    sim.submit_for(Some("a"), "j", job(20, 1_000, 60_000));
    sim.run_for(9_000);
    let base_milli = 40_000 * base_share(4) / 1_000_000;
    assert_eq!(sim.running() as u64, base_milli / 1_000);
    assert_eq!(
        sim.state("j"),
        Some(JobState::Running),
        "accepted, and waits"
    );
    assert!(waits_for_quota(&sim));
}

/// With all shards in contact, the whole cap but the other bases is used, and never more.
#[test]
fn loan_used_and_returned() {
    let teams = [team("a", 40_000)];
    let mut sim = world(&teams, 4);
    let mut ledger = lending_ledger(2, &teams, 4);
    sim.submit_for(Some("a"), "j", job(60, 1_000, 2_000));
    run_with(&mut sim, &mut ledger, 1_000);
    assert_eq!(sim.running(), 32, "13/16 of the cap");
    run_with(&mut sim, &mut ledger, 5_000);
    assert_eq!(sim.state("j"), Some(JobState::Completed));
    assert_eq!(ledger.reserved(&TeamName::from("a")), 250_000);
}

/// Guards against a report that names no usage for a team whose loan was returned while tasks run
/// within its base.
#[test]
fn returned_loan_reports_usage() {
    let teams = [team("a", 40_000)];
    let mut sim = world(&teams, 4);
    let mut ledger = lending_ledger(2, &teams, 4);
    sim.submit_for(Some("a"), "long", job(2, 1_000, 60_000));
    sim.submit_for(Some("a"), "short", job(20, 1_000, 2_000));
    run_with(&mut sim, &mut ledger, 1_000);
    let mut usages = Vec::new();
    for _ in 0..20 {
        let service = ServiceName::from(SERVICE);
        let now = sim.now();
        let report = sim.shard.begin_quota_report(now, &service, OWNER, 2);
        if let Some(report) = report {
            let at_base = |team: &&TeamReport| team.allowance == base_share(4);
            usages.extend(report.teams.iter().filter(at_base).map(|team| team.usage));
            let reply = ledger.handle_report(&report);
            sim.shard
                .finish_quota_report(report.sequence, reply.as_ref());
        }
        sim.run_for(250);
    }
    assert_eq!(usages, [50_000], "two of forty cores");
}

/// A job of a team under half of its cap starts within 3 s where there is room for it.
#[rstest]
#[case::larger_than_base(10_000)]
#[case::nearly_half(19_000)]
#[case::larger_than_all_loans(38_000)]
fn room_and_quota_start(#[case] cpu_milli: u64) {
    let teams = [team("a", 40_000)];
    let mut sim = Simulation::new(2, Resources::new(128_000, 131_072, 0));
    sim.shard.set_teams(teams.iter().cloned());
    sim.shard.set_service_count(4);
    let mut ledger = lending_ledger(2, &teams, 4);
    sim.submit_for(Some("a"), "j", job(1, cpu_milli, 60_000));
    run_with(&mut sim, &mut ledger, 3_000);
    assert_eq!(sim.running(), 1);
}

/// A task larger than the cap runs alone, one after the other.
#[test]
fn oversized_tasks_run_alone() {
    let teams = [team("a", 8_000)];
    let mut sim = world(&teams, 4);
    let mut ledger = lending_ledger(2, &teams, 4);
    sim.submit_for(Some("a"), "j", job(3, 10_000, 1_000));
    for _ in 0..12 {
        run_with(&mut sim, &mut ledger, 500);
        assert!(sim.running() <= 1);
    }
    assert_eq!(sim.state("j"), Some(JobState::Completed));
}

/// Guards against a gang that starts in part, or that exceeds the cap by more than one of its tasks.
#[rstest]
#[case::fits(4, 8_000, 4)]
#[case::within_one_task(5, 8_000, 5)]
#[case::too_large(8, 8_000, 0)]
fn gang_counts_whole(#[case] count: u32, #[case] cpu_milli: u64, #[case] running: usize) {
    let teams = [team("a", 40_000)];
    let mut sim = world(&teams, 4);
    let mut ledger = lending_ledger(2, &teams, 4);
    let mut gang = step(count, cpu_milli, 60_000);
    gang.gang = true;
    let spec = JobSpec {
        text: "work".into(),
        steps: vec![gang],
        schedule: None,
    };
    sim.submit_for(Some("a"), "j", spec);
    run_with(&mut sim, &mut ledger, 3_000);
    assert_eq!(sim.running(), running);
}

/// Guards against a team at its cap whose jobs keep others of the same size, or many of different
/// sizes, from free workers.
#[rstest]
#[case::same_size(1, 30, 0)]
#[case::many_sizes(40, 1, 10)]
fn team_at_cap_blocks_nobody(#[case] jobs: u64, #[case] count: u32, #[case] size_step_milli: u64) {
    let mut sim = world(&[team("a", 4_000), team("b", 60_000)], 1);
    for index in 0..jobs {
        let spec = job(count, 1_000 + index * size_step_milli, 60_000);
        sim.submit_for(Some("a"), &format!("a{index}"), spec);
    }
    sim.run_for(200);
    sim.submit_for(Some("b"), "b", job(10, 1_000, 60_000));
    sim.submit_for(None, "public", job(10, 1_000, 60_000));
    sim.run_for(500);
    assert_eq!(sim.state("b"), Some(JobState::Running));
    assert_eq!(sim.state("public"), Some(JobState::Running));
    assert_eq!(sim.running(), 21, "10 of b, 10 without a team, and 1 of a");
}

/// A cap that falls far below what runs: nothing is stopped, and nothing starts until enough ended.
/// A team that isn't configured any more has no cap.
#[test]
fn cap_changes() {
    let mut sim = world(&[team("a", 120_000)], 1);
    sim.submit_for(Some("a"), "j", job(30, 1_000, 60_000));
    sim.run_for(500);
    assert_eq!(sim.running(), 30);
    let teams = [team("a", 8_000)];
    sim.shard.set_teams(teams.iter().cloned());
    let mut ledger = lending_ledger(2, &teams, 1);
    sim.submit_for(Some("a"), "k", job(9, 1_000, 60_000));
    run_with(&mut sim, &mut ledger, 1_000);
    assert_eq!(sim.running(), 30);
    sim.cancel_for(Some("a"), "j");
    run_with(&mut sim, &mut ledger, 2_000);
    assert_eq!(sim.running(), 8, "the new cap");
    sim.shard.set_teams([]);
    sim.run_for(1_000);
    assert_eq!(sim.running(), 9);
}

/// Guards against an owner that starts tasks within its base after a cap was lowered or came back,
/// before a ledger that knows the cap has told it that no other shard uses too much.
#[rstest]
#[case::lowered(Some(team("a", 60_000)))]
#[case::returned(None)]
#[case::new_limit(Some(TeamConfig { cap: Resources::new(0, 900_000, 0), ..team("a", 0) }))]
fn limited_team_awaits_ledger(#[case] earlier: Option<TeamConfig>) {
    let teams = [team("a", 40_000)];
    let mut sim = world(&[], 4);
    sim.shard.set_teams(earlier.clone());
    let earlier: Vec<TeamConfig> = earlier.into_iter().collect();
    let mut ledger = lending_ledger(2, &earlier, 4);
    run_with(&mut sim, &mut ledger, 1_000);
    sim.shard.set_teams(teams.iter().cloned());
    sim.submit_for(Some("a"), "j", job(4, 1_000, 60_000));
    run_with(&mut sim, &mut ledger, 3_000);
    assert_eq!(sim.running(), 0, "the ledger doesn't know the cap");
    ledger.configure(services(4), &teams);
    run_with(&mut sim, &mut ledger, 3_000);
    assert_eq!(sim.running(), 0, "other shards haven't reported");
    let mut ledger = lending_ledger(3, &teams, 4);
    run_with(&mut sim, &mut ledger, 1_000);
    assert_eq!(sim.running(), 4);
}

/// Guards against a loan that comes back with the team's cap: its reply arrived while the team had no
/// cap, and the ledger has lent the amount again since.
#[rstest]
#[case::reply_without_cap(true)]
#[case::reply_with_new_cap(false)]
fn reply_after_removal(#[case] is_replied_without_cap: bool) {
    let teams = [team("a", 40_000)];
    let mut sim = world(&teams, 4);
    let mut ledger = lending_ledger(2, &teams, 4);
    sim.submit_for(Some("a"), "j", job(60, 1_000, 60_000));
    sim.run_for(250);
    let service = ServiceName::from(SERVICE);
    let now = sim.now();
    let report = sim.shard.begin_quota_report(now, &service, OWNER, 2);
    let report = report.expect("the ledger is new");
    let reply = ledger.handle_report(&report).expect("the report is new");
    assert!(reply.teams[0].allowance > base_share(4));
    sim.shard.set_teams([]);
    if is_replied_without_cap {
        sim.shard.finish_quota_report(report.sequence, Some(&reply));
    }
    sim.shard.set_teams(teams);
    if !is_replied_without_cap {
        sim.shard.finish_quota_report(report.sequence, Some(&reply));
    }
    let allowance = sim.shard.team_quotas()[0].allowance;
    assert!(allowance <= base_share(4), "{allowance}");
}

/// Runs that are being stopped count until they have ended for certain.
#[test]
fn stopping_runs_count() {
    let mut sim = world(&[team("a", 16_000)], 1);
    sim.submit_for(Some("a"), "j", job(4, 1_000, 60_000));
    sim.run_for(500);
    assert_eq!(sim.running(), 4);
    for worker in ["w0", "w1"] {
        sim.worker(worker).is_reachable = false;
    }
    sim.cancel_for(Some("a"), "j");
    sim.add_worker("w9", WORKER, "r9");
    sim.submit_for(Some("a"), "k", job(4, 1_000, 60_000));
    sim.run_for(1_500);
    assert_eq!(sim.running_on("w9"), 0, "stops aren't confirmed");
    // The starts of the second job go into the silence, too, and may be carried out late.
    sim.run_for(25_000);
    assert_eq!(sim.running_on("w9"), 4, "leases have ended");
}

/// A start that a worker carries out late counts from its placement on.
#[test]
fn late_start_counts() {
    let mut sim = world(&[team("a", 16_000)], 1);
    for worker in ["w0", "w1"] {
        sim.worker(worker).start_delay_ms = Some(2_000);
    }
    sim.submit_for(Some("a"), "j", job(8, 1_000, 60_000));
    for _ in 0..40 {
        sim.run_for(250);
        assert!(sim.running() <= 4);
    }
}

/// A new owner counts what its records name, and starts nothing beyond its base.
#[test]
fn takeover_counts_records() {
    let teams = [team("a", 40_000)];
    let mut sim = world(&teams, 4);
    let mut ledger = lending_ledger(2, &teams, 4);
    sim.submit_for(Some("a"), "j", job(60, 1_000, 60_000));
    run_with(&mut sim, &mut ledger, 1_000);
    assert_eq!(sim.running(), 32);
    sim.take_over(0);
    sim.shard.set_teams(teams.iter().cloned());
    sim.shard.set_service_count(4);
    sim.run_for(3_000);
    assert_eq!(sim.running(), 32);
    let quotas = sim.shard.team_quotas();
    assert_eq!(quotas[0].usage, 800_000);
    assert_eq!(quotas[0].allowance, base_share(4));
    assert!(quotas[0].is_waiting);
}

/// Guards against usage that drifts from what is placed, as runs complete, fail and are replaced.
#[test]
fn usage_returns_to_zero() {
    let mut sim = world(&[team("a", 200_000)], 1);
    sim.submit_for(Some("a"), "j", job(40, 1_000, 700));
    sim.submit_for(Some("a"), "k", job(10, 2_000, 300));
    sim.run_for(100);
    assert!(sim.shard.team_quotas()[0].usage > 0);
    sim.cancel_for(Some("a"), "k");
    sim.restart_under_id("w0", 300);
    sim.run_for(20_000);
    assert_eq!(sim.state("j"), Some(JobState::Completed));
    assert!(sim.shard.team_quotas().is_empty());
}

/// Without caps there is nothing to report, and no team is limited.
#[test]
fn no_caps_no_reports() {
    let mut sim = world(&[team("a", 0)], 4);
    sim.submit_for(Some("a"), "j", job(40, 1_000, 60_000));
    sim.run_for(500);
    assert_eq!(sim.running(), 40);
    let now = sim.now();
    let service = ServiceName::from(SERVICE);
    assert!(
        sim.shard
            .begin_quota_report(now, &service, OWNER, 2)
            .is_none()
    );
    assert!(!sim.shard.is_limited_by_quota());
}

//! Tests of what counts as a crash under a task, and of what doesn't.

use crate::world::{Simulation, job};
use cyclamentrail_core::{JobId, WorkerId};
use cyclamentrail_jobs::{
    CrashedRun, Decision, EndProof, JobSpec, JobState, Resources, decode, encode,
};
use rstest::rstest;

const WORKER: Resources = Resources::new(16_000, 65_536, 0);
/// Demand of a task that fills its worker, in thousandths of a core.
const WHOLE_MILLI: u64 = 16_000;
/// Time in milliseconds by which a task of a service must run again.
const LOST_AFTER_MS: u64 = 6_000;
/// Time in milliseconds from a crash until the owner has placed tasks on the restarted worker.
const BACK_AFTER_MS: u64 = 1_120;

fn service(count: u32, cpu_milli: u64) -> JobSpec {
    let mut spec = job(count, cpu_milli, 0);
    spec.steps[0].long_running = true;
    spec
}

/// Returns a pool of 28 workers over relays, four of which are idle, died and are back under other ids.
fn pool_with_dead_idle() -> Simulation {
    let mut sim = Simulation::new(28, WORKER);
    sim.deadly_tasks.restarts_as_other = true;
    sim.deadly_tasks.restart_after_ms = 1_500;
    sim.submit("service", service(24, WHOLE_MILLI));
    sim.run_for(3_000);
    sim.poll_delay_ms = 30;
    for id in idle_workers(&sim) {
        sim.crash_worker(&id);
    }
    sim.run_for(1_900);
    sim
}

fn idle_workers(sim: &Simulation) -> Vec<WorkerId> {
    let idle = sim
        .workers
        .iter()
        .filter(|(_, worker)| worker.is_alive && worker.running.is_empty());
    idle.map(|(id, _)| id.clone()).collect()
}

fn starts_of(sim: &Simulation, id: &str) -> u32 {
    sim.starts[&JobId::from(id)]
}

fn given_up(sim: &Simulation) -> usize {
    let is_given_up = |decision: &&Decision| matches!(decision, Decision::JobGivenUp { .. });
    sim.decisions.iter().filter(is_given_up).count()
}

/// Returns how many runs of a job's tasks count as crashed.
fn crashed_runs(sim: &Simulation, id: &str) -> usize {
    let job = sim.shard.job(&id.into()).expect("the job is kept");
    let steps = job.occurrences.iter().flat_map(|due| &due.steps);
    let tasks = steps.flat_map(|step| &step.tasks);
    tasks.map(|task| task.crashed_runs.len()).sum()
}

/// Guards against counting starts that workers answered with another incarnation's rejection.
#[rstest]
fn rejected_start_uncounted(#[values(1, 4, 40)] count: u32) {
    let mut sim = pool_with_dead_idle();
    sim.submit("a", job(count, 1_100, 600));
    sim.run_for(1_500);
    assert_eq!(sim.state("a"), Some(JobState::Completed));
    assert_eq!(crashed_runs(&sim, "a"), 0);
}

/// Guards against giving up a job whose starts went to workers that had crashed before.
#[test]
fn start_into_silence_uncounted() {
    let mut sim = Simulation::new(1, WORKER);
    sim.deadly_tasks.restarts_as_other = true;
    sim.deadly_tasks.restart_after_ms = 1_500;
    sim.run_for(500);
    let mut id = WorkerId::from("w0");
    sim.crash_worker(&id);
    sim.submit("a", job(1, 1_100, 600));
    for _ in 0..6 {
        sim.run_for(1_550);
        id = WorkerId::from(format!("{id}x"));
        sim.crash_worker(&id);
    }
    sim.run_for(8_000);
    assert_eq!(given_up(&sim), 0);
    assert_eq!(sim.state("a"), Some(JobState::Completed));
}

/// Guards against a task that crashes its workers before they respond, and is never given up for it.
#[rstest]
fn unanswered_deadly_given_up(#[values(false, true)] restarts_as_other: bool) {
    let mut sim = Simulation::new(9, WORKER);
    sim.deadly_tasks.restarts_as_other = restarts_as_other;
    sim.deadly_tasks.crashes_unanswered = true;
    sim.deadly_tasks.insert("deadly", 0);
    sim.submit("deadly", job(6, 1_100, 640));
    for round in 0..20 {
        sim.submit(&format!("j{round}"), job(6, 1_100, 640));
        sim.run_for(300);
    }
    sim.run_for(30_000);
    assert_eq!(sim.state("deadly"), Some(JobState::Failed));
    for round in 0..20 {
        let state = sim.state(&format!("j{round}"));
        assert_eq!(state, Some(JobState::Completed), "j{round}");
    }
}

/// Returns the workers that run something, by their ids.
fn busy_workers(sim: &Simulation) -> Vec<WorkerId> {
    let busy = sim
        .workers
        .iter()
        .filter(|(_, worker)| !worker.running.is_empty());
    busy.map(|(id, _)| id.clone()).collect()
}

/// Guards against giving up a job whose workers crashed, though no run of it has ended as failed: two
/// crashes may be a coincidence, also just after the task began, and so may several later ones.
#[rstest]
#[case::two_at_start(2, 150)]
#[case::four_later(4, 1_500)]
fn unlucky_job_completes(#[case] crashes: usize, #[case] crash_after_ms: u64) {
    let mut sim = Simulation::new(9, WORKER);
    sim.deadly_tasks.restart_after_ms = 1_500;
    sim.submit("a", job(1, 1_100, 3_000));
    for _ in 0..crashes {
        run_until_running(&mut sim, 1);
        sim.run_for(crash_after_ms);
        let [id] = &*busy_workers(&sim) else {
            panic!("one worker runs the task");
        };
        sim.crash_worker(id);
        sim.run_for(500);
    }
    sim.run_for(12_000);
    assert_eq!(sim.state("a"), Some(JobState::Completed));
    assert_eq!(given_up(&sim), 0);
}

/// Returns the pauses of tasks that were kept apart, in milliseconds.
fn pauses_ms(sim: &Simulation) -> Vec<u64> {
    let pause_ms = |decision: &Decision| match decision {
        Decision::TaskKeptApart { pause_ms, .. } => Some(*pause_ms),
        _ => None,
    };
    sim.decisions.iter().filter_map(pause_ms).collect()
}

/// Runs until as many tasks run; returns the time that it took, in milliseconds.
fn run_until_running(sim: &mut Simulation, tasks: usize) -> u64 {
    let begin_ms = sim.now().boot_ms;
    while sim.running() < tasks && sim.now().boot_ms < begin_ms + LOST_AFTER_MS {
        sim.run_for(20);
    }
    sim.now().boot_ms - begin_ms
}

/// Guards against giving up a service, and stopping what works of it, for crashes of its workers.
#[rstest]
#[case::at_start(40, false)]
#[case::soon(600, false)]
#[case::later(2_000, false)]
#[case::later_other_id(2_000, true)]
fn service_survives_crashes(#[case] crash_after_ms: u64, #[case] restarts_as_other: bool) {
    let mut sim = Simulation::new(9, WORKER);
    sim.deadly_tasks.restarts_as_other = restarts_as_other;
    sim.deadly_tasks.restart_after_ms = 1_500;
    sim.submit("a", service(6, 1_100));
    sim.run_for(1_000);
    for round in 0..24 {
        let busy = busy_workers(&sim);
        let id = &busy[round % busy.len()];
        let lost = u32::try_from(sim.running_on(id.as_str())).expect("few tasks run");
        let starts = starts_of(&sim, "a");
        sim.crash_worker(id);
        let away_ms = run_until_running(&mut sim, 6);
        assert!(away_ms < LOST_AFTER_MS, "round {round}: {away_ms} ms");
        assert_eq!(starts_of(&sim, "a"), starts + lost, "round {round}");
        sim.run_for(crash_after_ms);
    }
    assert_eq!(sim.state("a"), Some(JobState::Running));
    assert_eq!(given_up(&sim), 0);
}

/// Guards against a deadly service that takes the pool down, or is failed.
#[rstest]
fn deadly_service_kept_apart(#[values(1_000, 3_200)] restart_after_ms: u64) {
    let mut sim = Simulation::new(9, WORKER);
    sim.deadly_tasks.restart_after_ms = restart_after_ms;
    sim.deadly_tasks.insert("deadly", 1);
    sim.submit("deadly", service(3, 1_100));
    sim.submit("other", service(2, 1_100));
    sim.run_for(10_000);
    let others = starts_of(&sim, "other");
    for round in 0..100 {
        sim.submit(&format!("j{round}"), job(6, 1_100, 640));
        sim.run_for(300);
        let down = sim.workers.values().filter(|worker| !worker.is_alive);
        assert!(down.count() <= 1, "one worker is lost at a time");
    }
    sim.run_for(3_000);
    assert_eq!(sim.state("deadly"), Some(JobState::Running));
    assert_eq!(sim.running(), 4, "all others of both services run");
    assert_eq!(starts_of(&sim, "other"), others);
    for round in 0..100 {
        let starts = starts_of(&sim, &format!("j{round}"));
        assert_eq!(starts, 6, "no task of j{round} was lost with its worker");
    }
    assert_eq!(pauses_ms(&sim)[..4], [500, 1_000, 2_000, 2_000]);
    let crashes = sim.deadly_tasks.crash_count();
    assert!(crashes >= 6, "it is started again, {crashes} crashes");
}

/// Guards against blaming one for the other where workers crash by themselves and under a task.
#[test]
fn crashes_beside_deadly() {
    let mut sim = Simulation::new(12, WORKER);
    sim.deadly_tasks.insert("deadly", 0);
    sim.deadly_tasks.restart_after_ms = 1_500;
    sim.submit("service", service(6, 1_100));
    sim.run_for(1_000);
    sim.submit("deadly", job(3, 1_100, 640));
    for round in 0..20_usize {
        sim.submit(&format!("j{round}"), job(4, 1_100, 640));
        sim.run_for(1_200);
        let busy = busy_workers(&sim);
        assert!(!busy.is_empty(), "round {round}: nothing runs");
        sim.crash_worker(&busy[round % busy.len()]);
    }
    sim.run_for(15_000);
    assert_eq!(sim.state("deadly"), Some(JobState::Failed));
    assert_eq!(sim.state("service"), Some(JobState::Running));
    assert_eq!(sim.running(), 6);
    for round in 0..20 {
        let state = sim.state(&format!("j{round}"));
        assert_eq!(state, Some(JobState::Completed), "j{round}");
    }
    assert_eq!(given_up(&sim), 1);
}

/// Guards against trying one dead idle worker after the other while others are known to be alive.
#[rstest]
fn dead_idle_tried_once(#[values(1, 4)] count: u32) {
    let mut sim = pool_with_dead_idle();
    sim.submit("a", job(count, 1_100, 600));
    sim.run_for(1_500);
    let is_rejected = |decision: &&Decision| {
        let proof = EndProof::Rejected;
        matches!(decision, Decision::RunGone { proof: by, .. } if *by == proof)
    };
    let rejected = sim.decisions.iter().filter(is_rejected).count();
    assert!(rejected <= count as usize, "{rejected} rejected starts");
}

/// Returns a pool without an empty worker, in which two workers just crashed under a service soon after
/// its starts.
fn pool_without_empty() -> Simulation {
    let mut sim = Simulation::new(1, WORKER);
    sim.deadly_tasks.restart_after_ms = 1_000;
    sim.submit("service", service(1, 1_100));
    sim.run_for(100);
    for index in 1..4 {
        sim.add_worker(&format!("w{index}"), WORKER, "r1");
    }
    sim.submit("ordinary", job(3, 14_500, 60_000));
    sim.run_for(100);
    for wait_ms in [1_300, BACK_AFTER_MS] {
        assert_eq!(sim.running_on("w0"), 1);
        sim.crash_worker(&WorkerId::from("w0"));
        sim.run_for(wait_ms);
    }
    sim.announce_leaving("w0");
    sim
}

/// Guards against a suspect service that waits without limit while no worker is empty.
#[rstest]
fn suspect_service_starts_anyway(#[values(false, true)] changes_owner: bool) {
    let mut sim = pool_without_empty();
    assert_eq!(sim.running(), 3, "it waits");
    if changes_owner {
        sim.take_over(0);
    }
    let away_ms = BACK_AFTER_MS + run_until_running(&mut sim, 4);
    assert!(away_ms < LOST_AFTER_MS, "away for {away_ms} ms");
    assert_eq!(sim.starts[&JobId::from("ordinary")], 3);
}

/// Guards against taking a service's restored run, of which its worker says nothing any more, for a new one.
#[rstest]
#[case::before_lease_end(1_000)]
#[case::after_lease_end(5_500)]
fn restored_service_uncounted(#[case] restart_after_ms: u64) {
    let mut sim = Simulation::new(1, WORKER);
    sim.deadly_tasks.restart_after_ms = restart_after_ms;
    sim.submit("service", service(1, 1_100));
    for _ in 0..2 {
        sim.run_for(120_000);
        assert_eq!(sim.running(), 1);
        sim.worker("w0").is_reachable = false;
        sim.take_over(0);
        sim.run_for(200);
        sim.crash_worker(&WorkerId::from("w0"));
        let away_ms = run_until_running(&mut sim, 1);
        assert!(away_ms <= restart_after_ms + 300, "away for {away_ms} ms");
        assert_eq!(crashed_runs(&sim, "service"), 0);
    }
    assert!(pauses_ms(&sim).is_empty());
}

/// What an earlier version recorded of a crash is read as evidence of a crash under its job alone.
#[test]
fn earlier_crashes_readable() {
    let earlier = encode(&(3_u32, true, false));
    let expected = CrashedRun {
        run: 3,
        has_begun: true,
        is_new: false,
        evidence_milli: 1_000,
        was_apart: false,
    };
    let crashed: CrashedRun = decode(&earlier).expect("it is readable");
    assert_eq!(crashed, expected);
    let now = encode(&expected);
    assert!(
        decode::<(u32, bool, bool)>(&now).is_err(),
        "earlier versions can't read it"
    );
}

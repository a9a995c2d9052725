//! Tests with more work than the workers can do.

use crate::world::{Simulation, job};
use cyclamentrail_core::JobId;
use cyclamentrail_jobs::{
    Admission, AdmissionRequest, Backlog, CallerReply, Decision, JobState, Resources, Timeliness,
    admit,
};

const WORKER: Resources = Resources::new(32_000, 131_072, 0);

/// Jobs arrive at three times the rate that the workers can do, for ten seconds. Those that can't be of
/// use any more are rejected at once, and late ones take no room from those that can be on time.
#[test]
fn overload_meets_objective() {
    let mut sim = Simulation::new(4, WORKER);
    let mut callers = Vec::new();
    for index in 0..200_u64 {
        let name = format!("{index}");
        callers.push((name.clone(), sim.submit(&name, job(10, 1_800, 1_000))));
        sim.run_for(50);
    }
    sim.run_for(12_000);
    let accepted: Vec<_> = callers
        .iter()
        .filter(|(_, caller)| sim.replies[caller] == CallerReply::Accepted)
        .collect();
    let rejected = callers.len() - accepted.len();
    assert!(
        rejected > 20,
        "four workers can't do 200 jobs in time; rejected: {rejected}"
    );
    assert!(
        accepted.len() > 20,
        "the workers are idle; accepted jobs: {}",
        accepted.len()
    );
    for (name, _) in accepted {
        assert_eq!(sim.state(name), Some(JobState::Completed));
    }
    let on_time = sim.decisions.iter().filter(|decision| {
        let Decision::JobFinal { timeliness, .. } = decision else {
            return false;
        };
        *timeliness == Some(Timeliness::OnTime)
    });
    let on_time = on_time.count();
    assert!(
        on_time > 60,
        "the workers can do 7 jobs a second; on time: {on_time}"
    );
}

#[test]
fn full_backlog_rejects() {
    let mut sim = Simulation::new(1, WORKER);
    for index in 0..20 {
        sim.submit(&format!("{index}"), job(10, 1_800, 1_000));
    }
    let caller = sim.submit("last", job(10, 1_800, 1_000));
    sim.run_for(20);
    let CallerReply::Rejected { retry_after_ms, .. } = sim.replies[&caller] else {
        panic!("the job is accepted behind 20 others");
    };
    assert!(retry_after_ms >= 1_000);
}

#[test]
fn retries_spread() {
    let backlog = Backlog {
        work_ms: 120_000,
        workers: 9,
    };
    let mut retries: Vec<u64> = (0..50)
        .map(|seed| {
            let request = AdmissionRequest {
                work_ms: 500,
                critical_path_ms: 1_000,
                objective_ms: 2_200,
                jitter_seed: seed * 7_919,
            };
            match admit(backlog, request) {
                Admission::Reject { retry_after_ms } => retry_after_ms,
                Admission::Accept => panic!("thirteen seconds of work are accepted"),
            }
        })
        .collect();
    retries.sort_unstable();
    retries.dedup();
    assert!(
        retries.len() > 40,
        "too many callers retry at the same time"
    );
}

/// A queue with a late job still runs jobs first that can be on time.
#[test]
fn late_job_yields() {
    let mut sim = Simulation::new(1, Resources::new(4_000, 131_072, 0));
    let late = sim.submit("late", job(8, 4_000, 700));
    sim.run_for(3_000);
    let fresh = sim.submit("fresh", job(1, 4_000, 700));
    sim.run_for(1_900);
    assert_eq!(sim.replies[&late], CallerReply::Accepted);
    if sim.replies[&fresh] == CallerReply::Accepted {
        assert_eq!(sim.state("fresh"), Some(JobState::Completed));
        assert_eq!(sim.state("late"), Some(JobState::Running));
    }
}

/// A step that spreads its tasks over workers finds no further worker, while there is room for other
/// jobs: these used to wait as long as the first one did.
#[test]
fn spread_step_blocks_nobody() {
    let mut sim = Simulation::new(2, WORKER);
    let mut spread = job(6, 1_800, 2_000);
    spread.steps[0].max_per_worker = Some(1);
    sim.submit("spread", spread);
    sim.run_for(100);
    sim.submit("other", job(4, 1_800, 3_000));
    sim.run_for(200);
    assert_eq!(sim.starts[&JobId::from("spread")], 2);
    assert_eq!(sim.starts.get(&JobId::from("other")), Some(&4));
}

/// Returns how many tasks admission looked at for jobs that come in one second, as after a takeover.
fn tasks_counted_in_burst(jobs: u64) -> u64 {
    let mut sim = Simulation::new(40, WORKER);
    let mut elapsed_ms = 0;
    for index in 0..jobs {
        let due_ms = index * 1_000 / jobs;
        sim.run_for(due_ms - elapsed_ms);
        elapsed_ms = due_ms;
        sim.submit(&format!("{index}"), job(8, 1_800, 1_000));
    }
    sim.shard.counted_tasks()
}

/// Owners spent most of their time in counting the backlog anew for each job: twice the jobs cost four
/// times as much.
#[test]
fn admission_cost_linear() {
    let (usual, twice) = (tasks_counted_in_burst(300), tasks_counted_in_burst(600));
    assert!(twice * 2 <= usual * 5, "{usual} and {twice} tasks");
}

/// Long-running tasks aren't part of the backlog that jobs wait for: one that is accepted must not turn
/// the jobs of the same moment away.
#[test]
fn long_running_not_counted() {
    let mut sim = Simulation::new(4, WORKER);
    sim.submit("first", job(1, 1_800, 1_000));
    let mut lasting = job(400, 1_800, 60_000);
    lasting.steps[0].long_running = true;
    sim.submit("lasting", lasting);
    let caller = sim.submit("second", job(1, 1_800, 1_000));
    sim.run_for(200);
    assert_eq!(sim.replies[&caller], CallerReply::Accepted);
}

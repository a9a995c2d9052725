//! Calls to an incarnation of a worker that the next one carries out, in separate processes.

use std::time::Duration;

use anyhow::{Context, Result, ensure};
use cyclamentrail_standin::{CallKind, JOB_HOST, JOB_SERVICE, JobWorker, TaskRun};
use cyclamentrail_testkit::JobSite;
use tokio::time::{Instant, sleep};

/// Time for which tasks run: longer than a test.
const TASK_MS: u64 = 60_000;
/// Time after which a worker's clock is further ahead of that of its next incarnation than the longest
/// lease and the delay of a late start.
const AGE: Duration = Duration::from_secs(12);
/// Delay of the late start, in milliseconds: shorter than the lease that the worker has by then, so that
/// its runs still go on, and longer than the owner's calls are usually under way.
const LATE_MS: u64 = 4_000;
/// Time from the start on the new incarnation to the cut.
const UNTIL_CUT: Duration = Duration::from_millis(500);
/// Time from the registration of the new incarnation to the stop of the owner.
const UNTIL_STOP: Duration = Duration::from_millis(200);
/// Longest wait for a state of the site.
const MAX_WAIT: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Job whose start is late.
const LATE_JOB: &str = "00000000000000f1";
/// Job whose task starts on the new incarnation.
const JOB: &str = "00000000000000f2";

/// Returns whether runs of the same task overlap.
fn has_overlap(runs: &[TaskRun]) -> bool {
    let ends_before = |run: &TaskRun, other: &TaskRun| {
        let ended = run.ended;
        ended.is_some_and(|ended| ended <= other.began)
    };
    runs.iter().enumerate().any(|(index, run)| {
        let later = &runs[index + 1..];
        let is_beside = |other: &TaskRun| {
            run.task == other.task && !ends_before(run, other) && !ends_before(other, run)
        };
        later.iter().any(is_beside)
    })
}

/// Checks at the workers that no task runs on two of them at once.
fn check_runs(site: &JobSite) -> Result<()> {
    let runs: Vec<TaskRun> = site.workers.iter().flat_map(JobWorker::runs).collect();
    ensure!(!has_overlap(&runs), "two runs at once: {runs:#?}");
    Ok(())
}

/// Waits until a state of the site, and checks the runs meanwhile.
async fn wait_for(
    site: &JobSite,
    state: &str,
    is_reached: impl Fn(&JobSite) -> bool,
) -> Result<()> {
    let end = Instant::now() + MAX_WAIT;
    while !is_reached(site) {
        check_runs(site)?;
        ensure!(Instant::now() < end, "not reached: {state}");
        sleep(POLL_INTERVAL).await;
    }
    check_runs(site)
}

/// Returns whether a task of a job runs on a worker.
fn runs_on(site: &JobSite, worker: usize, job: &str) -> bool {
    let runs = site.workers[worker].runs();
    let is_running = |run: &TaskRun| run.task.starts_with(job) && run.ended.is_none();
    runs.iter().any(is_running)
}

/// Starts processes and a worker whose clock is far ahead of that of its next incarnation.
async fn aged_site(processes: usize) -> Result<JobSite> {
    let mut site = JobSite::start_named(JOB_HOST, JOB_SERVICE).await?;
    site.add_worker("i-0", TASK_MS).await?;
    for number in 0..processes {
        site.add_process(&format!("n{number}"))?;
    }
    sleep(AGE).await;
    Ok(site)
}

/// Guards against a start to the former incarnation that extends the lease of all that runs on the next
/// one beyond what the owner counts.
#[tokio::test]
async fn late_start_extends_no_lease() -> Result<()> {
    let mut site = aged_site(1).await?;
    site.workers[0].delay_next(CallKind::Start, LATE_MS);
    site.submit(0, LATE_JOB, 1).await?;
    wait_for(&site, "the late start was sent", |site| {
        !site.workers[0].is_delay_pending(CallKind::Start)
    })
    .await?;
    site.restart_worker(0).await?;
    site.workers[0].register();
    site.submit(0, JOB, 1).await?;
    wait_for(&site, "the new incarnation runs a task", |site| {
        runs_on(site, 0, JOB)
    })
    .await?;
    sleep(UNTIL_CUT).await;
    site.workers[0].set_cut(true);
    site.add_worker("i-1", TASK_MS).await?;
    wait_for(&site, "the late start was carried out", |site| {
        !site.workers[0].late_calls().is_empty()
    })
    .await?;
    let late = site.workers[0].late_calls()[0];
    ensure!(
        late.carried_out_by.is_some_and(|by| by != late.sent_to),
        "not carried out by the new incarnation: {late:?}"
    );
    for job in [JOB, LATE_JOB] {
        wait_for(&site, "both tasks run elsewhere", |site| {
            runs_on(site, 1, job)
        })
        .await?;
    }
    Ok(())
}

/// Returns the number of the process that owns the service.
fn owner(site: &JobSite) -> Result<usize> {
    let claim = site.store.newest("keyed.owners", JOB_SERVICE);
    let claim = claim.context("the service has no owner")?;
    let contains = |name: &str| {
        claim
            .windows(name.len())
            .any(|part| part == name.as_bytes())
    };
    let owner = (0..site.processes.len()).find(|number| contains(&format!("n{number}")));
    owner.context("the claim names no process")
}

/// Guards against a successor that counts a shorter lease than a start by the clock of the former
/// incarnation has granted.
#[tokio::test]
async fn handover_counts_longest_lease() -> Result<()> {
    let mut site = aged_site(2).await?;
    // Calls that arrive during the cut get no response, so that the owner doesn't see the restart.
    site.workers[0].set_cut(true);
    site.restart_worker(0).await?;
    site.workers[0].set_cut(false);
    site.submit(0, JOB, 1).await?;
    wait_for(&site, "the new incarnation runs a task", |site| {
        runs_on(site, 0, JOB)
    })
    .await?;
    site.workers[0].register();
    sleep(UNTIL_STOP).await;
    let first_owner = owner(&site)?;
    site.workers[0].set_cut(true);
    site.processes[first_owner].0.terminate()?;
    site.add_worker("i-1", TASK_MS).await?;
    wait_for(&site, "the task runs elsewhere", |site| {
        runs_on(site, 1, JOB)
    })
    .await?;
    ensure!(owner(&site)? != first_owner, "the owner didn't change");
    Ok(())
}

/// Guards against a late start of a run that was given up on the next incarnation, and that a further one
/// carries out which no owner has reached, because the owner was killed.
#[tokio::test]
async fn late_start_after_second_restart() -> Result<()> {
    let mut site = aged_site(1).await?;
    site.workers[0].delay_next(CallKind::Start, LATE_MS);
    site.submit(0, JOB, 1).await?;
    wait_for(&site, "the late start was sent", |site| {
        !site.workers[0].is_delay_pending(CallKind::Start)
    })
    .await?;
    site.restart_worker(0).await?;
    // The next incarnation takes no tasks, so that the task runs elsewhere.
    site.workers[0].give_notice();
    site.workers[0].register();
    site.add_worker("i-1", TASK_MS).await?;
    wait_for(&site, "the task runs elsewhere", |site| {
        runs_on(site, 1, JOB)
    })
    .await?;
    site.processes[0].0.kill()?;
    site.restart_worker(0).await?;
    wait_for(&site, "the late start was carried out", |site| {
        !site.workers[0].late_calls().is_empty()
    })
    .await
}

//! Jobs run by separate edge processes on a stand-in of the users' platform.

use std::time::Duration;

use anyhow::{Result, ensure};
use cyclamentrail_standin::{JOB_HOST, JOB_SERVICE, JobClient, SubmitResult};
use cyclamentrail_testkit::JobSite;
use hyper::{Method, StatusCode};

/// Time after which no shard is taken over for balance any more: longer than a shard must have been
/// assigned to a process for that.
const SHARDS_BALANCED: Duration = Duration::from_secs(13);

#[tokio::test]
async fn two_processes_complete_jobs() -> Result<()> {
    let site = JobSite::start(2, 2, 300).await?;
    site.submit(0, "00000000000000a1", 4).await?;
    site.submit(1, "00000000000000a2", 4).await?;
    for id in ["00000000000000a1", "00000000000000a2"] {
        site.wait_completed(0, id).await?;
        site.wait_completed(1, id).await?;
        site.check_done_once(id, 4)?;
    }
    let (status, _) = site
        .call(0, Method::GET, "00000000000000ff", String::new())
        .await?;
    assert_eq!(status, StatusCode::GONE);
    Ok(())
}

/// The owner of a service is killed while its job runs: the next owner takes the job over, and each
/// task is done exactly once.
#[tokio::test]
async fn killed_owner_replaced() -> Result<()> {
    let mut site = JobSite::start(2, 3, 1_500).await?;
    site.submit(0, "00000000000000b1", 6).await?;
    site.wait_started("00000000000000b1").await?;
    // Both processes are replaced in turn, so that the owner of the service is among them.
    for index in 0..2 {
        drop(site.processes.remove(0));
        site.add_process(&format!("m{index}"))?;
        site.submit(1, &format!("00000000000000c{index}"), 2)
            .await?;
    }
    for id in ["00000000000000b1", "00000000000000c0", "00000000000000c1"] {
        site.wait_completed(0, id).await?;
    }
    site.check_done_once("00000000000000b1", 6)
}

/// The store doesn't respond for some seconds while a job runs: each task is done exactly once.
#[tokio::test]
async fn outage_keeps_job() -> Result<()> {
    let site = JobSite::start(2, 2, 2_000).await?;
    site.submit(0, "00000000000000d1", 4).await?;
    site.wait_started("00000000000000d1").await?;
    site.store.set_down(true);
    tokio::time::sleep(Duration::from_secs(3)).await;
    site.store.set_down(false);
    site.wait_completed(1, "00000000000000d1").await?;
    site.check_done_once("00000000000000d1", 4)
}

/// An owner that can't read who gives notice must not start tasks by old registrations; the starts
/// that it held back are sent once it can.
#[tokio::test]
async fn old_registrations_hold_starts() -> Result<()> {
    let site = JobSite::start(1, 2, 200).await?;
    site.submit(0, "00000000000000d4", 2).await?;
    site.wait_completed(0, "00000000000000d4").await?;
    site.store.set_unreadable("keyed.servers", true);
    // Longer than the notice that workers give.
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    site.submit(0, "00000000000000d5", 2).await?;
    tokio::time::sleep(Duration::from_millis(500)).await;
    ensure!(site.runs("00000000000000d5").is_empty(), "a task started");
    site.store.set_unreadable("keyed.servers", false);
    site.wait_completed(0, "00000000000000d5").await
}

/// After an outage of the store, the consumer group rebalances its partitions. Each shard then used
/// to change its owner once or more, and callers had no owner for that time.
#[tokio::test]
async fn outage_keeps_owners() -> Result<()> {
    let site = JobSite::start(3, 2, 300).await?;
    site.submit(0, "00000000000000d2", 2).await?;
    site.wait_completed(0, "00000000000000d2").await?;
    tokio::time::sleep(SHARDS_BALANCED).await;
    let claims = site.store.count("keyed.owners");
    site.store.set_down(true);
    tokio::time::sleep(Duration::from_secs(2)).await;
    site.store.set_down(false);
    tokio::time::sleep(Duration::from_secs(2)).await;
    site.submit(1, "00000000000000d3", 2).await?;
    site.wait_completed(1, "00000000000000d3").await?;
    ensure!(
        site.store.count("keyed.owners") == claims,
        "a shard was claimed again"
    );
    Ok(())
}

/// The store keeps a takeover waiting. A submission waited in the new owner's queue until its deadline
/// had passed, and its outcome was unknown although nothing had been done for it.
#[tokio::test]
async fn stuck_takeover_rejects() -> Result<()> {
    let mut site = JobSite::start_named(JOB_HOST, JOB_SERVICE).await?;
    site.add_worker("i-0", 200).await?;
    let records = format!("keyed.jobs.{JOB_SERVICE}");
    site.store.set_unreadable(&records, true);
    site.add_process("n0")?;
    while site.store.newest("keyed.owners", JOB_SERVICE).is_none() {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let result = JobClient::new()
        .submit(site.processes[0].1, "00000000000000d6", 1)
        .await;
    ensure!(
        result == SubmitResult::Rejected,
        "the outcome is {result:?}"
    );
    site.store.set_unreadable(&records, false);
    site.submit(0, "00000000000000d7", 1).await?;
    site.wait_completed(0, "00000000000000d7").await?;
    ensure!(
        site.runs("00000000000000d6").is_empty(),
        "the rejected job ran"
    );
    Ok(())
}

/// A worker carries out a start command late and doesn't respond to it, so that the owner may have
/// started the task again: each task is done exactly once.
#[tokio::test]
async fn delayed_start_done_once() -> Result<()> {
    let site = JobSite::start(1, 1, 300).await?;
    site.submit(0, "00000000000000e0", 1).await?;
    site.wait_completed(0, "00000000000000e0").await?;
    site.workers[0].delay_next_start(2_000);
    site.submit(0, "00000000000000e1", 3).await?;
    site.wait_completed(0, "00000000000000e1").await?;
    tokio::time::sleep(Duration::from_secs(3)).await;
    site.check_done_once("00000000000000e1", 3)
}

/// The only worker is restarted while a job runs and loses its runs: the job completes on the new
/// incarnation, with each task done exactly once.
#[tokio::test]
async fn restarted_worker_completes_job() -> Result<()> {
    let mut site = JobSite::start(1, 1, 3_000).await?;
    site.submit(0, "00000000000000f1", 2).await?;
    site.wait_started("00000000000000f1").await?;
    drop(site.workers.remove(0));
    site.add_worker("i-0", 300).await?;
    site.wait_completed(0, "00000000000000f1").await?;
    site.check_done_once("00000000000000f1", 2)
}

/// A worker that ran nothing restarts under its id, and gets a start before its new incarnation is
/// registered: the registration must not be taken for the end of that run.
#[tokio::test]
async fn restart_under_id_runs_once() -> Result<()> {
    let mut site = JobSite::start(1, 1, 900).await?;
    site.submit(0, "00000000000000f2", 2).await?;
    site.wait_completed(0, "00000000000000f2").await?;
    site.restart_worker(0).await?;
    site.submit(0, "00000000000000f3", 3).await?;
    site.wait_started("00000000000000f3").await?;
    site.workers[0].register();
    site.wait_completed(0, "00000000000000f3").await?;
    let runs = site.runs("00000000000000f3");
    ensure!(runs.len() == 3, "a task ran twice: {runs:?}");
    site.check_done_once("00000000000000f3", 3)
}

/// A task crashes each worker that starts it, and the workers are back under their ids: its job is
/// given up after at most three crashes, and another job completes.
#[tokio::test]
async fn crashing_task_given_up() -> Result<()> {
    let mut site = JobSite::start(1, 3, 300).await?;
    for worker in &site.workers {
        worker.crash_on("f6.0.0.0");
    }
    site.submit(0, "00000000000000f5", 3).await?;
    site.submit(0, "00000000000000f6", 3).await?;
    let mut crashes = 0;
    while site.state(0, "00000000000000f6").await? != "failed" {
        for index in 0..site.workers.len() {
            if site.workers[index].crashed().is_some() {
                crashes += 1;
                ensure!(crashes <= 3, "the task goes on crashing workers");
                tokio::time::sleep(Duration::from_millis(500)).await;
                site.restart_worker(index).await?;
                site.workers[index].register();
            }
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    ensure!(crashes >= 2, "given up after {crashes} crashes");
    site.wait_completed(0, "00000000000000f5").await
}

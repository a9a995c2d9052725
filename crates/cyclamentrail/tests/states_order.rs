//! The state of a job never goes back, whichever process a caller asks.

use std::time::Duration;

use anyhow::{Result, ensure};
use cyclamentrail_standin::JobClient;
use cyclamentrail_testkit::{Forwarder, JobSite};
use tokio::time::{Instant, timeout};

/// Time that the task takes.
const TASK_MS: u64 = 500;
/// Time for which the owner is suspended: longer than another process needs to take its shard over,
/// shorter than its ownership is valid without another confirmation.
const PAUSE_TIME: Duration = Duration::from_millis(3_300);
/// Time for which callers' requests reach the owner before it goes on.
const ARRIVAL_TIME: Duration = Duration::from_millis(200);
/// Time limit of a call to the next owner.
const CALL_TIME: Duration = Duration::from_millis(200);
/// Number of callers that ask the suspended owner.
const CALLERS: usize = 10;
/// Index of the owner that is suspended.
const OWNER: usize = 0;
/// Index of the process that takes its shard over.
const NEXT_OWNER: usize = 1;

/// An owner that went on after a pause used to show its old view of a job that the next owner had
/// shown as completed.
#[tokio::test]
async fn completed_stays_completed() -> Result<()> {
    let mut site = JobSite::start(0, 1, TASK_MS).await?;
    let store_link = Forwarder::start(site.store.address()).await?;
    let logs = tempfile::tempdir()?;
    let log = logs.path().join("owner.log");
    let owner = site.start_logged_process("owner", store_link.address(), &log)?;
    site.processes.push(owner);
    let first_id = "00000000000000a0";
    site.submit(OWNER, first_id, 1).await?;
    site.wait_completed(OWNER, first_id).await?;
    site.add_process("next")?;
    let id = "00000000000000a1";
    site.submit(OWNER, id, 1).await?;
    site.wait_started(id).await?;
    site.processes[OWNER].0.pause()?;
    let paused = Instant::now();
    // A call that went on to the suspended owner waits there until its deadline.
    while !matches!(timeout(CALL_TIME, site.state(NEXT_OWNER, id)).await, Ok(Ok(state)) if state == "completed")
    {
        ensure!(paused.elapsed() < PAUSE_TIME, "no other owner in time");
    }
    // What the store would tell the owner arrives after the callers' requests.
    store_link.set_cut(true);
    tokio::time::sleep_until(paused + PAUSE_TIME - ARRIVAL_TIME).await;
    let address = site.processes[OWNER].1;
    let ask = || tokio::spawn(async move { JobClient::new().state(address, id).await });
    let callers: Vec<_> = (0..CALLERS).map(|_| ask()).collect();
    tokio::time::sleep_until(paused + PAUSE_TIME).await;
    site.processes[OWNER].0.resume()?;
    for caller in callers {
        let state = caller.await?;
        let goes_back = matches!(&state, Ok(state) if state != "completed");
        ensure!(!goes_back, "{state:?} after completed");
    }
    Ok(())
}

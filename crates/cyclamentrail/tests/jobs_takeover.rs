//! Takeovers from owners that the store doesn't serve any more.

use std::time::Duration;

use anyhow::{Context, Result, ensure};
use cyclamentrail_testkit::{Forwarder, JobSite};
use tokio::time::Instant;

/// Longest time to wait for the takeover.
const MAX_WAIT: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// An owner that is cut off from the store stops at once when it is asked to, and says so: its last commit
/// is fenced already, and its successor must not wait for it.
#[tokio::test]
async fn cut_off_owner_releases() -> Result<()> {
    let mut site = JobSite::start(0, 2, 200).await?;
    let folder = tempfile::tempdir()?;
    let link = Forwarder::start(site.store.address()).await?;
    let started = site.start_logged_process("n0", link.address(), &folder.path().join("n0.log"))?;
    site.processes.push(started);
    site.submit(0, "00000000000000a1", 2).await?;
    let log = folder.path().join("n1.log");
    let started = site.start_logged_process("n1", site.store.address(), &log)?;
    site.processes.push(started);
    link.set_cut(true);
    let end = Instant::now() + MAX_WAIT;
    let claim = loop {
        let lines = std::fs::read_to_string(&log)?;
        let claim = lines
            .lines()
            .find(|line| line.contains("event=shard_claimed shard=svc"));
        if let Some(claim) = claim {
            break claim.to_owned();
        }
        ensure!(Instant::now() < end, "the shard isn't taken over: {lines}");
        tokio::time::sleep(POLL_INTERVAL).await;
    };
    let (_, predecessor) = claim.split_once("predecessor=").context("no predecessor")?;
    ensure!(predecessor.contains("ReleasedAfter"), "{claim}");
    site.submit(1, "00000000000000a2", 2).await?;
    site.wait_completed(1, "00000000000000a2").await
}

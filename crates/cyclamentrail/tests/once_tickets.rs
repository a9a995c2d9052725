//! Tickets run at most once without the log.

use std::time::{Duration, Instant};

use anyhow::{Result, ensure};
use cyclamentrail_standin::LogFault;
use cyclamentrail_testkit::{Call, Site};
use futures_util::future::try_join_all;
use serde_json::Value;

/// Longest time that a test waits for a condition.
const PATIENCE: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

async fn ticket(site: &Site, entry: usize) -> Result<String> {
    let address = site.entries[entry].address("callers")?;
    let answer = site
        .client
        .post_json(address, "/v1/tickets", None, &())
        .await?;
    assert_eq!(answer.status, 201);
    let ticket: Value = serde_json::from_slice(&answer.body)?;
    Ok(ticket["idempotency_key"]
        .as_str()
        .unwrap_or_default()
        .to_owned())
}

async fn until_runs(site: &Site, call_id: &str) -> Result<()> {
    let until = Instant::now() + PATIENCE;
    while site.runs_of(call_id).await == 0 {
        ensure!(Instant::now() < until, "{call_id} never ran");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    Ok(())
}

#[tokio::test]
async fn one_run() -> Result<()> {
    let site = Site::builder().entries(3).start().await?;
    let ticket = ticket(&site, 0).await?;
    let call = Call::new("warn").key(&ticket).body("hold the crowd");
    let path = "checks/work?work_ms=300";
    let posts = (0..12).map(|number| site.post(number % 3, path, &call));
    let answers = try_join_all(posts).await?;
    for answer in &answers {
        assert_eq!((answer.status, answer.outcome.as_str()), (200, "answered"));
        assert_eq!(answer.body, answers[0].body);
    }
    assert_eq!(answers.iter().filter(|answer| !answer.replayed).count(), 1);
    assert_eq!(site.runs_of("warn").await, 1);
    let other = call.body("open");
    let answer = site.post(1, path, &other).await?;
    assert_eq!((answer.status, answer.reason.as_str()), (422, "key-reused"));
    Ok(())
}

#[tokio::test]
async fn log_outage() -> Result<()> {
    let site = Site::builder().start().await?;
    site.set_log_fault(LogFault::Down).await?;
    let ticket = ticket(&site, 0).await?;
    let call = Call::new("warn").key(&ticket);
    let told =
        try_join_all([0, 1, 0, 1].map(|entry| site.post(entry, "checks/work", &call))).await?;
    for answer in &told {
        assert_eq!(answer.outcome, "answered", "{answer:?}");
        assert_eq!(answer.body, told[0].body);
    }
    assert_eq!(site.runs_of("warn").await, 1);
    Ok(())
}

#[tokio::test]
async fn minter_killed() -> Result<()> {
    let mut site = Site::builder().entries(2).start().await?;
    let ticket = ticket(&site, 0).await?;
    let call = Call::new("warn").key(&ticket);
    let path = "checks/work?work_ms=3000";
    tokio::select! {
        _ = site.post(0, path, &call) => {}
        ran = until_runs(&site, "warn") => ran?,
    }
    site.entries[0].kill()?;
    for _ in 0..3 {
        let answer = site.post(1, path, &call).await?;
        assert_eq!(
            (answer.outcome.as_str(), answer.reason.as_str()),
            ("unknown", "owner-gone")
        );
    }
    assert_eq!(site.runs_of("warn").await, 1);
    Ok(())
}

#[tokio::test]
async fn paused_minter() -> Result<()> {
    let site = Site::builder().entries(2).start().await?;
    let ticket = ticket(&site, 0).await?;
    let call = Call::new("warn").key(&ticket).deadline_ms(1_000);
    site.entries[0].pause()?;
    let told = site.post(1, "checks/work", &call).await?;
    assert_eq!(told.outcome, "unknown", "{told:?}");
    tokio::time::sleep(Duration::from_secs(3)).await;
    site.entries[0].resume()?;
    tokio::time::sleep(Duration::from_secs(1)).await;
    let again = site.post(1, "checks/work", &call).await?;
    let runs = site.runs_of("warn").await;
    assert!(runs <= 1, "ran {runs} times");
    assert!(again.outcome != "not-run" || runs == 0, "{again:?}");
    Ok(())
}

#[tokio::test]
async fn token_needed() -> Result<()> {
    let site = Site::builder().entries(1).start().await?;
    let peers = site.entries[0].address("peers")?;
    let path = "/v1/peer/services/checks/work";
    let answer = site.client.post_json(peers, path, None, &()).await?;
    assert_eq!(answer.status, 401);
    Ok(())
}

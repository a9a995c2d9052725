//! Of all requests with one ticket at most one runs, and tickets work without the log.

use std::time::{Duration, Instant};

use anyhow::{Result, ensure};
use cyclamentrail_standin::LogFault;
use cyclamentrail_testkit::{Call, Site};
use futures_util::future::try_join_all;
use serde_json::Value;

/// Longest time that a test waits for a condition to hold.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

async fn issue_ticket(site: &Site, entry: usize) -> Result<String> {
    let address = site.entries[entry].address("callers")?;
    let response = site
        .client
        .post_json(address, "/v1/tickets", None, &())
        .await?;
    assert_eq!(response.status, 201);
    let ticket: Value = serde_json::from_slice(&response.body)?;
    Ok(ticket["idempotency_key"]
        .as_str()
        .unwrap_or_default()
        .to_owned())
}

async fn wait_for_run(site: &Site, call_id: &str) -> Result<()> {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while site.run_count(call_id).await == 0 {
        ensure!(Instant::now() < deadline, "{call_id} did not run");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    Ok(())
}

#[tokio::test]
async fn repeats_run_once() -> Result<()> {
    let site = Site::builder().entries(3).start().await?;
    let ticket = issue_ticket(&site, 0).await?;
    let call = Call::new("warn").key(&ticket).body("hold the crowd");
    let path = "checks/work?work_ms=300";
    let posts = (0..12).map(|number| site.post(number % 3, path, &call));
    let responses = try_join_all(posts).await?;
    for response in &responses {
        assert_eq!(
            (response.status, response.outcome.as_str()),
            (200, "answered")
        );
        assert_eq!(response.body, responses[0].body);
    }
    assert_eq!(
        responses
            .iter()
            .filter(|response| !response.replayed)
            .count(),
        1
    );
    assert_eq!(site.run_count("warn").await, 1);
    let other = call.body("open");
    let response = site.post(1, path, &other).await?;
    assert_eq!(
        (response.status, response.reason.as_str()),
        (422, "key-reused")
    );
    Ok(())
}

#[tokio::test]
async fn outage_keeps_tickets() -> Result<()> {
    let site = Site::builder().start().await?;
    site.set_log_fault(LogFault::Down).await?;
    let ticket = issue_ticket(&site, 0).await?;
    let call = Call::new("warn").key(&ticket);
    let responses =
        try_join_all([0, 1, 0, 1].map(|entry| site.post(entry, "checks/work", &call))).await?;
    for response in &responses {
        assert_eq!(response.outcome, "answered", "{response:?}");
        assert_eq!(response.body, responses[0].body);
    }
    assert_eq!(site.run_count("warn").await, 1);
    Ok(())
}

#[tokio::test]
async fn killed_issuer_unknown() -> Result<()> {
    let mut site = Site::builder().entries(2).start().await?;
    let ticket = issue_ticket(&site, 0).await?;
    let call = Call::new("warn").key(&ticket);
    let path = "checks/work?work_ms=3000";
    tokio::select! {
        _ = site.post(0, path, &call) => {}
        ran = wait_for_run(&site, "warn") => ran?,
    }
    site.entries[0].kill()?;
    for _ in 0..3 {
        let response = site.post(1, path, &call).await?;
        assert_eq!(
            (response.outcome.as_str(), response.reason.as_str()),
            ("unknown", "owner-gone")
        );
    }
    assert_eq!(site.run_count("warn").await, 1);
    Ok(())
}

/// A request is forwarded to the paused issuer of its ticket and times out there, and may run when
/// the issuer resumes.
#[tokio::test]
async fn paused_issuer_runs_once() -> Result<()> {
    let site = Site::builder().entries(2).start().await?;
    let ticket = issue_ticket(&site, 0).await?;
    let call = Call::new("warn").key(&ticket).deadline_ms(1_000);
    site.entries[0].pause()?;
    let first = site.post(1, "checks/work", &call).await?;
    assert_eq!(first.outcome, "unknown", "{first:?}");
    tokio::time::sleep(Duration::from_secs(3)).await;
    site.entries[0].resume()?;
    tokio::time::sleep(Duration::from_secs(1)).await;
    let repeated = site.post(1, "checks/work", &call).await?;
    let runs = site.run_count("warn").await;
    assert!(runs <= 1, "ran {runs} times");
    assert!(repeated.outcome != "not-run" || runs == 0, "{repeated:?}");
    Ok(())
}

#[tokio::test]
async fn missing_token_refused() -> Result<()> {
    let site = Site::builder().entries(1).start().await?;
    let peers = site.entries[0].address("peers")?;
    let path = "/v1/peer/services/checks/work";
    let response = site.client.post_json(peers, path, None, &()).await?;
    assert_eq!(response.status, 401);
    Ok(())
}

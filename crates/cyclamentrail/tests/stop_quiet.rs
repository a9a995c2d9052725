//! Planned stops of an entry process, which let the requests in flight finish.

use std::time::{Duration, Instant};

use anyhow::{Result, ensure};
use cyclamentrail_testkit::{Call, ClientResponse, Site};
use futures_util::future::join_all;
use serde_json::json;

/// Time limit of waits for a condition.
const MAX_WAIT: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

async fn start_site(balancer_ms: u64) -> Result<Site> {
    let patch = json!({"stop": {"balancer_ms": balancer_ms, "limit_ms": 30_000}});
    Site::builder().patch(patch).start().await
}

async fn wait_in_flight(site: &Site, expected: u32) -> Result<()> {
    let deadline = Instant::now() + MAX_WAIT;
    loop {
        let mut in_flight = 0;
        for name in site.backends.keys() {
            in_flight += site.backend_report(name).await?.in_flight;
        }
        if in_flight == expected {
            return Ok(());
        }
        ensure!(
            Instant::now() < deadline,
            "{in_flight} of {expected} in flight"
        );
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

async fn wait_unready(site: &Site, entry: usize) -> Result<()> {
    let deadline = Instant::now() + MAX_WAIT;
    let address = site.entries[entry].address("callers")?;
    while site.client.get(address, "/ready").await?.status == 200 {
        ensure!(Instant::now() < deadline, "the entry stays ready");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    Ok(())
}

async fn wait_ended(site: &mut Site, entry: usize) -> Result<bool> {
    let deadline = Instant::now() + MAX_WAIT;
    loop {
        if let Some(status) = site.entries[entry].try_wait()? {
            return Ok(status.success());
        }
        ensure!(Instant::now() < deadline, "the entry never ends");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

fn is_complete(response: &Result<ClientResponse>) -> bool {
    response
        .as_ref()
        .is_ok_and(|response| response.outcome == "answered" && !response.body.is_empty())
}

#[tokio::test]
async fn stop_finishes_requests() -> Result<()> {
    let mut site = start_site(2_000).await?;
    let calls: Vec<Call> = (0..12)
        .map(|number| Call::new(&format!("long-{number}")))
        .collect();
    let streamed_path = "renders/answers?kind=chunked&bytes=1600000&pause_ms=30";
    let long_calls = calls.iter().enumerate().map(|(number, call)| {
        let path = if number % 2 == 0 {
            "checks/work?work_ms=3000"
        } else {
            streamed_path
        };
        site.post(0, path, call)
    });
    let stop_while_running = async {
        wait_in_flight(&site, 12).await?;
        site.entries[0].terminate()?;
        wait_unready(&site, 0).await?;
        // The load balancer hasn't noticed the stop yet, so requests still arrive and are served.
        let late_calls = join_all((0..8).map(|number| {
            let call_id = format!("late-{number}");
            let site = &site;
            async move { site.call(0, "checks", &call_id).await }
        }));
        anyhow::Ok(late_calls.await)
    };
    let (long_calls, late_calls) = tokio::join!(join_all(long_calls), stop_while_running);
    assert!(long_calls.iter().all(is_complete), "{long_calls:?}");
    let late_calls = late_calls?;
    assert!(late_calls.iter().all(is_complete), "{late_calls:?}");
    assert!(wait_ended(&mut site, 0).await?, "the entry failed");
    let runs = site.runs_by_call().await;
    assert_eq!(runs.len(), 20);
    assert!(runs.values().all(|&count| count == 1), "{runs:?}");
    let members = site.state(1).await?["fleet"]["members"].clone();
    assert_eq!(members.as_array().map(Vec::len), Some(1), "{members}");
    Ok(())
}

/// A request with an idempotency key whose caller has left runs to its end before the entry stops.
#[tokio::test]
async fn stop_finishes_detached() -> Result<()> {
    let mut site = start_site(100).await?;
    let call = Call::new("warn").key("k1");
    let path = "checks/work?work_ms=2000";
    tokio::select! {
        _ = site.post(0, path, &call) => {}
        started = wait_in_flight(&site, 1) => started?,
    }
    site.entries[0].terminate()?;
    assert!(wait_ended(&mut site, 0).await?);
    let repeated = site.post(1, path, &call).await?;
    assert_eq!(
        (repeated.outcome.as_str(), repeated.replayed),
        ("answered", true)
    );
    assert_eq!(site.run_count("warn").await, 1);
    Ok(())
}

/// A second signal ends the entry without waiting for the requests in flight.
#[tokio::test]
async fn second_signal_stops() -> Result<()> {
    let mut site = start_site(100).await?;
    let call = Call::new("long").deadline_ms(60_000);
    tokio::select! {
        _ = site.post(0, "checks/work?work_ms=60000", &call) => {}
        stopped = async {
            wait_in_flight(&site, 1).await?;
            site.entries[0].terminate()?;
            wait_unready(&site, 0).await?;
            site.entries[0].terminate()
        } => stopped?,
    }
    let second_signal_at = Instant::now();
    wait_ended(&mut site, 0).await?;
    assert!(
        second_signal_at.elapsed() < Duration::from_secs(5),
        "{:?}",
        second_signal_at.elapsed()
    );
    Ok(())
}

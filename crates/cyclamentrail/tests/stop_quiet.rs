//! A planned stop of an entry cuts no request in flight.

use std::time::{Duration, Instant};

use anyhow::{Result, ensure};
use cyclamentrail_testkit::{Answer, Call, Site};
use futures_util::future::join_all;
use serde_json::json;

/// Longest time that a test waits for a condition.
const PATIENCE: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

async fn stopping_site(balancer_ms: u64) -> Result<Site> {
    let patch = json!({"stop": {"balancer_ms": balancer_ms, "limit_ms": 30_000}});
    Site::builder().patch(patch).start().await
}

async fn until_in_flight(site: &Site, wanted: u32) -> Result<()> {
    let until = Instant::now() + PATIENCE;
    loop {
        let mut in_flight = 0;
        for name in site.backends.keys() {
            in_flight += site.report(name).await?.in_flight;
        }
        if in_flight == wanted {
            return Ok(());
        }
        ensure!(Instant::now() < until, "{in_flight} of {wanted} in flight");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

async fn until_unready(site: &Site, entry: usize) -> Result<()> {
    let until = Instant::now() + PATIENCE;
    let address = site.entries[entry].address("callers")?;
    while site.client.get(address, "/ready").await?.status == 200 {
        ensure!(Instant::now() < until, "the entry stays ready");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    Ok(())
}

async fn until_ended(site: &mut Site, entry: usize) -> Result<bool> {
    let until = Instant::now() + PATIENCE;
    loop {
        if let Some(status) = site.entries[entry].try_wait()? {
            return Ok(status.success());
        }
        ensure!(Instant::now() < until, "the entry never ends");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

fn is_whole(answer: &Result<Answer>) -> bool {
    answer
        .as_ref()
        .is_ok_and(|answer| answer.outcome == "answered" && !answer.body.is_empty())
}

#[tokio::test]
async fn nothing_cut() -> Result<()> {
    let mut site = stopping_site(2_000).await?;
    let calls: Vec<Call> = (0..12)
        .map(|number| Call::new(&format!("long-{number}")))
        .collect();
    let streamed = "renders/answers?kind=chunked&bytes=1600000&pause_ms=30";
    let long = calls.iter().enumerate().map(|(number, call)| {
        let path = if number % 2 == 0 {
            "checks/work?work_ms=3000"
        } else {
            streamed
        };
        site.post(0, path, call)
    });
    let during = async {
        until_in_flight(&site, 12).await?;
        site.entries[0].terminate()?;
        until_unready(&site, 0).await?;
        // The balancer hasn't seen it yet: requests still come and are answered.
        let late = join_all((0..8).map(|number| {
            let call_id = format!("late-{number}");
            let site = &site;
            async move { site.call(0, "checks", &call_id).await }
        }));
        anyhow::Ok(late.await)
    };
    let (long, late) = tokio::join!(join_all(long), during);
    assert!(long.iter().all(is_whole), "{long:?}");
    let late = late?;
    assert!(late.iter().all(is_whole), "{late:?}");
    assert!(until_ended(&mut site, 0).await?, "the entry failed");
    let runs = site.runs().await;
    assert_eq!(runs.len(), 20);
    assert!(runs.values().all(|&count| count == 1), "{runs:?}");
    let members = site.state(1).await?["fleet"]["members"].clone();
    assert_eq!(members.as_array().map(Vec::len), Some(1), "{members}");
    Ok(())
}

#[tokio::test]
async fn detached_ends() -> Result<()> {
    let mut site = stopping_site(100).await?;
    let call = Call::new("warn").key("k1");
    let path = "checks/work?work_ms=2000";
    tokio::select! {
        _ = site.post(0, path, &call) => {}
        begun = until_in_flight(&site, 1) => begun?,
    }
    site.entries[0].terminate()?;
    assert!(until_ended(&mut site, 0).await?);
    let again = site.post(1, path, &call).await?;
    assert_eq!((again.outcome.as_str(), again.replayed), ("answered", true));
    assert_eq!(site.runs_of("warn").await, 1);
    Ok(())
}

#[tokio::test]
async fn second_signal() -> Result<()> {
    let mut site = stopping_site(100).await?;
    let call = Call::new("long").deadline_ms(60_000);
    tokio::select! {
        _ = site.post(0, "checks/work?work_ms=60000", &call) => {}
        ended = async {
            until_in_flight(&site, 1).await?;
            site.entries[0].terminate()?;
            until_unready(&site, 0).await?;
            site.entries[0].terminate()
        } => ended?,
    }
    let asked = Instant::now();
    until_ended(&mut site, 0).await?;
    assert!(
        asked.elapsed() < Duration::from_secs(5),
        "{:?}",
        asked.elapsed()
    );
    Ok(())
}

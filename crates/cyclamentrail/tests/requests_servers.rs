//! Faulty backend servers are removed from routing and restored once they work again.

use std::time::{Duration, Instant};

use anyhow::{Result, ensure};
use cyclamentrail_standin::BackendFault;
use cyclamentrail_testkit::{Load, LoadResult, Site, count_outcomes};
use rstest::rstest;

/// Longest time until a recovered server gets requests again.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(30);
/// Deadline of the requests, long enough for a busy machine.
const DEADLINE_MS: u64 = 8_000;
/// Most attempts per request, on average.
const MAX_ATTEMPTS: f64 = 1.1;

async fn start_site() -> Result<Site> {
    Site::builder().entries(2).instances(6).start().await
}

fn get_load() -> Load {
    Load::new("get").rate_per_s(100).deadline_ms(DEADLINE_MS)
}

fn post_load() -> Load {
    let load = Load::new("post").post().rate_per_s(30);
    load.deadline_ms(DEADLINE_MS)
}

fn count_successes(results: &[LoadResult]) -> usize {
    results
        .iter()
        .filter(|request| request.is_success())
        .count()
}

async fn wait_for_run(site: &Site, name: &str) -> Result<()> {
    let runs_before = site.backend_report(name).await?.runs.len();
    let deadline = Instant::now() + RECOVERY_TIMEOUT;
    let mut number = 0;
    while Instant::now() < deadline {
        number += 1;
        site.call(
            number % site.entries.len(),
            "checks",
            &format!("probe-{number}"),
        )
        .await?;
        if site.backend_report(name).await?.runs.len() > runs_before {
            return Ok(());
        }
    }
    anyhow::bail!("{name} got no request within {RECOVERY_TIMEOUT:?}")
}

#[rstest]
#[case::refuse(BackendFault::Refuse)]
#[case::fail_all(BackendFault::FailAll)]
#[case::connection_closed(BackendFault::CloseConnection)]
#[case::response_truncated(BackendFault::TruncateResponse)]
#[case::garbage(BackendFault::Garbage)]
#[case::half_open(BackendFault::HalfOpen)]
#[case::slow(BackendFault::Slow { delay_ms: 1_000 })]
#[tokio::test]
async fn faulty_server_ejected(#[case] fault: BackendFault) -> Result<()> {
    let site = start_site().await?;
    site.set_backend_fault("w01", fault).await?;
    let idempotent = get_load().seconds(4).start(&site)?;
    let non_idempotent = post_load().seconds(4).start(&site)?;
    let idempotent = idempotent.await?;
    let non_idempotent = non_idempotent.await?;
    let runs = site.check_outcomes(&idempotent).await?;
    site.check_outcomes(&non_idempotent).await?;
    let attempts: u32 = runs.values().sum();
    let requests = idempotent.len() + non_idempotent.len();
    ensure!(
        f64::from(attempts) <= f64::from(u32::try_from(requests)?) * MAX_ATTEMPTS,
        "{attempts} attempts for {requests} requests"
    );
    ensure!(
        count_successes(&idempotent) * 100 >= idempotent.len() * 97,
        "{:?}",
        count_outcomes(&idempotent)
    );
    ensure!(
        count_successes(&non_idempotent) * 100 >= non_idempotent.len() * 90,
        "{:?}",
        count_outcomes(&non_idempotent)
    );
    let faulty_runs = site.backend_report("w01").await?.runs.len();
    ensure!(
        faulty_runs * 20 <= requests,
        "w01 ran {faulty_runs} of {requests}"
    );
    site.set_backend_fault("w01", BackendFault::None).await?;
    wait_for_run(&site, "w01").await
}

#[tokio::test]
async fn all_faulty_still_probed() -> Result<()> {
    let site = Site::builder().entries(1).instances(4).start().await?;
    for name in ["w01", "w02"] {
        site.set_backend_fault(name, BackendFault::CloseConnection)
            .await?;
    }
    let results = Load::new("down").seconds(2).start(&site)?.await?;
    site.check_outcomes(&results).await?;
    ensure!(count_successes(&results) == 0);
    for name in ["w01", "w02"] {
        site.set_backend_fault(name, BackendFault::None).await?;
    }
    wait_for_run(&site, "w01").await?;
    wait_for_run(&site, "w02").await
}

#[tokio::test]
async fn killed_server_bypassed() -> Result<()> {
    let mut site = start_site().await?;
    let idempotent = get_load().seconds(3).start(&site)?;
    let non_idempotent = post_load().seconds(3).start(&site)?;
    tokio::time::sleep(Duration::from_secs(1)).await;
    site.backends.get_mut("w01").expect("w01 runs").kill()?;
    let idempotent = idempotent.await?;
    let non_idempotent = non_idempotent.await?;
    site.check_outcomes(&idempotent).await?;
    site.check_outcomes(&non_idempotent).await?;
    ensure!(
        count_successes(&idempotent) * 100 >= idempotent.len() * 99,
        "{:?}",
        count_outcomes(&idempotent)
    );
    ensure!(
        count_successes(&non_idempotent) * 100 >= non_idempotent.len() * 97,
        "{:?}",
        count_outcomes(&non_idempotent)
    );
    Ok(())
}

#[tokio::test]
async fn paused_server_restored() -> Result<()> {
    let site = start_site().await?;
    let idempotent = get_load().seconds(6).start(&site)?;
    let non_idempotent = post_load().seconds(6).start(&site)?;
    tokio::time::sleep(Duration::from_secs(1)).await;
    site.backends["w01"].pause()?;
    tokio::time::sleep(Duration::from_secs(4)).await;
    site.backends["w01"].resume()?;
    let idempotent = idempotent.await?;
    let non_idempotent = non_idempotent.await?;
    site.check_outcomes(&idempotent).await?;
    site.check_outcomes(&non_idempotent).await?;
    ensure!(
        count_successes(&idempotent) * 100 >= idempotent.len() * 97,
        "{:?}",
        count_outcomes(&idempotent)
    );
    ensure!(
        count_successes(&non_idempotent) * 100 >= non_idempotent.len() * 90,
        "{:?}",
        count_outcomes(&non_idempotent)
    );
    wait_for_run(&site, "w01").await
}

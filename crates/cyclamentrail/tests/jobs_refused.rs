//! Records that the store refuses for their content, and the jobs beside them.

use std::time::Duration;

use anyhow::{Result, ensure};
use cyclamentrail_testkit::JobSite;
use hyper::{Method, StatusCode};

/// Time within which the owner has to have found the record that is refused.
const FOUND: Duration = Duration::from_secs(6);

/// One refused record used to stop all jobs of its queue for good.
#[tokio::test]
async fn others_go_on() -> Result<()> {
    let site = JobSite::start(1, 2, 300).await?;
    site.submit(0, "00000000000000a1", 2).await?;
    site.wait_completed(0, "00000000000000a1").await?;
    // The record of the job's own fields is shorter than this, with its tasks it is longer.
    site.store.limit_value("00000000000000a2/p", 20);
    site.submit(0, "00000000000000a2", 2).await?;
    site.submit(0, "00000000000000a3", 2).await?;
    let others = tokio::time::timeout(FOUND, site.wait_completed(0, "00000000000000a3"));
    others.await??;
    site.check_done_once("00000000000000a3", 2)?;
    ensure!(site.state(0, "00000000000000a2").await? == "failed");
    ensure!(site.runs("00000000000000a2").is_empty());
    Ok(())
}

/// A submission whose own record is refused is told so, and never runs.
#[tokio::test]
async fn refused_job_rejected() -> Result<()> {
    let site = JobSite::start(1, 2, 300).await?;
    site.submit(0, "00000000000000b1", 2).await?;
    site.store.limit_value("00000000000000b2", 0);
    let body =
        String::from(r#"{"Spec":"x","Steps":[{"Count":2,"Cpu":100,"MemMb":64,"EstimateMs":300}]}"#);
    let call = site.call(0, Method::POST, "00000000000000b2", body);
    let (status, _) = tokio::time::timeout(FOUND, call).await??;
    ensure!(status == StatusCode::SERVICE_UNAVAILABLE, "{status}");
    site.wait_completed(0, "00000000000000b1").await?;
    let (status, _) = site
        .call(0, Method::GET, "00000000000000b2", String::new())
        .await?;
    ensure!(status == StatusCode::GONE, "{status}");
    ensure!(site.runs("00000000000000b2").is_empty());
    Ok(())
}

//! Reports of owners to the ledger of the teams' quota, between edge processes.

use std::time::Duration;

use anyhow::{Context, Result, ensure};
use bytes::Bytes;
use cyclamentrail_standin::{JOB_HOST, JOB_SERVICE};
use cyclamentrail_testkit::JobSite;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use serde_json::json;

/// Longest time until a ledger lends: a shard may change its owner before.
const MAX_WAIT: Duration = Duration::from_secs(25);
/// Time in which an owner without anything to report would have sent several reports.
const QUIET_TIME: Duration = Duration::from_secs(2);

/// Writes a configuration with one team, whose cap is given in thousandths of a core.
fn put_team(site: &JobSite, version: u64, cap_milli: u64) {
    let configuration = json!({
        "Version": version,
        "Routes": [{
            "Name": "r", "Host": JOB_HOST, "PathPrefix": "/q/", "Service": JOB_SERVICE,
            "Priority": 0, "TimeoutMs": 3_000, "TargetLatencyMs": 600, "MaxAttempts": 3,
            "Stretch": 2.0, "Public": true,
        }],
        "Services": [{"Name": JOB_SERVICE, "Standby": false}],
        "Tenants": [{
            "Name": "team", "ApiKeys": ["key"], "Weight": 1, "Cap": {"Cpu": cap_milli},
        }],
    });
    site.store.put("keyed.op", "config", &configuration);
}

/// Returns the sum of a metric's values over all processes.
async fn metric_sum(site: &JobSite, metric: &str) -> Result<f64> {
    let client: Client<_, Full<Bytes>> = Client::builder(TokioExecutor::new()).build_http();
    let mut sum = 0.0;
    for (process, _) in &site.processes {
        let address = process.address("metrics")?;
        let request = Request::get(format!("http://{address}/metrics")).body(Full::default())?;
        let body = client.request(request).await?.into_body().collect().await?;
        let text = String::from_utf8(body.to_bytes().to_vec())?;
        for line in text.lines().filter(|line| line.starts_with(metric)) {
            let value = line.rsplit(' ').next().context("no value")?;
            sum += value.parse::<f64>()?;
        }
    }
    Ok(sum)
}

async fn wait_lending(site: &JobSite) -> Result<()> {
    let end = tokio::time::Instant::now() + MAX_WAIT;
    while metric_sum(site, "cyclamentrail_quota_ledger_lends").await? < 1.0 {
        ensure!(tokio::time::Instant::now() < end, "no ledger lends");
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    Ok(())
}

/// Each owner reports once to a ledger, which then lends, and stays quiet while its teams are at
/// their base. When its process ends, the next holder's ledger gets the reports of all shards.
#[tokio::test]
async fn ledger_gets_all_reports() -> Result<()> {
    let mut site = JobSite::start(2, 2, 200).await?;
    put_team(&site, 4, 8_000);
    wait_lending(&site).await?;
    let answered = "cyclamentrail_quota_reports_total{outcome=\"answered\"}";
    let before = metric_sum(&site, answered).await?;
    ensure!(before >= 1.0, "a shard has reported");
    tokio::time::sleep(QUIET_TIME).await;
    let after = metric_sum(&site, answered).await?;
    ensure!(after <= before + 1.0, "{before} reports, then {after}");
    // Both processes are replaced in turn, so that the holder of the ledger is among them.
    for index in 0..2 {
        drop(site.processes.remove(0));
        site.add_process(&format!("m{index}"))?;
        wait_lending(&site).await?;
    }
    site.submit(0, "00000000000000a1", 3).await?;
    site.wait_completed(0, "00000000000000a1").await
}

/// Reports are served while a round of the machine duties waits for a service that doesn't respond.
#[tokio::test]
async fn reports_served_during_rounds() -> Result<()> {
    let silent = std::net::TcpListener::bind("127.0.0.1:0")?;
    let mut site = JobSite::start(0, 2, 200).await?;
    let line = format!("Cloud.Address={}\n", silent.local_addr()?);
    for name in ["n0", "n1"] {
        site.add_limited_process(name, &line)?;
    }
    put_team(&site, 4, 8_000);
    wait_lending(&site).await
}

/// Nothing is sent where no team has a cap.
#[tokio::test]
async fn no_caps_no_calls() -> Result<()> {
    let site = JobSite::start(2, 2, 200).await?;
    put_team(&site, 4, 0);
    site.submit(0, "00000000000000b1", 3).await?;
    site.wait_completed(0, "00000000000000b1").await?;
    tokio::time::sleep(QUIET_TIME).await;
    let reports = metric_sum(&site, "cyclamentrail_quota_reports_total").await?;
    ensure!(reports == 0.0, "{reports} reports");
    Ok(())
}

//! What operators see of jobs: metrics, state, explanations and log lines.

use std::time::Duration;

use anyhow::{Context, Result, ensure};
use bytes::Bytes;
use cyclamentrail::METRICS;
use cyclamentrail_testkit::JobSite;
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request, StatusCode};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use serde_json::{Value, json};

/// Longest time that a process may take to exit after SIGTERM.
const STOP_TIME: Duration = Duration::from_secs(20);

async fn get(site: &JobSite, process: usize, path: &str) -> Result<(StatusCode, String)> {
    let address = site.processes[process].0.address("metrics")?;
    let client: Client<_, Full<Bytes>> = Client::builder(TokioExecutor::new()).build_http();
    let request = Request::get(format!("http://{address}{path}")).body(Full::default())?;
    let response = client.request(request).await?;
    let status = response.status();
    let body = response.into_body().collect().await?.to_bytes();
    Ok((status, String::from_utf8(body.to_vec())?))
}

/// Asks again as long as the process says that it doesn't reach every owner yet.
async fn get_json(site: &JobSite, process: usize, path: &str) -> Result<Value> {
    let end = tokio::time::Instant::now() + STOP_TIME;
    let (status, text) = loop {
        let (status, text) = get(site, process, path).await?;
        if status != StatusCode::SERVICE_UNAVAILABLE || tokio::time::Instant::now() > end {
            break (status, text);
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    };
    ensure!(status == StatusCode::OK, "{status}: {text}");
    Ok(serde_json::from_str(&text)?)
}

/// Each exported metric is in the catalog with its kind, and the counters count a completed job.
#[tokio::test]
async fn exported_metrics_documented() -> Result<()> {
    let site = JobSite::start(1, 2, 200).await?;
    site.submit(0, "00000000000000a1", 3).await?;
    site.wait_completed(0, "00000000000000a1").await?;
    let (_, text) = get(&site, 0, "/metrics").await?;
    let exported = text
        .lines()
        .filter_map(|line| line.strip_prefix("# TYPE ")?.split_once(' '));
    for (name, kind) in exported {
        let metric = METRICS.iter().find(|metric| metric.name == name);
        let metric = metric.with_context(|| format!("{name} is not on the page"))?;
        ensure!(kind == metric.kind.as_str(), "{name} is a {kind}");
    }
    for line in [
        "cyclamentrail_jobs_total{service=\"svc\",outcome=\"accepted\"} 1",
        "cyclamentrail_jobs_total{service=\"svc\",outcome=\"completed\"} 1",
        "cyclamentrail_runs_ended_total{service=\"svc\",how=\"done\"} 3",
        "cyclamentrail_store_calls_total{call=\"append\",outcome=\"answered\"}",
        "cyclamentrail_shards_taken_total",
    ] {
        ensure!(text.contains(line), "{line} in {text}");
    }
    Ok(())
}

/// An operator finds the cause of a rejection by the job's id, as the operators' page describes.
#[tokio::test]
async fn rejected_job_explained() -> Result<()> {
    let site = JobSite::start(2, 1, 200).await?;
    site.submit(0, "00000000000000b1", 1).await?;
    let step = json!({"Count": 1, "Cpu": 900_000, "MemMb": 100, "EstimateMs": 500});
    let body = json!({"Spec": "work", "Steps": [step]}).to_string();
    let id = "00000000000000b2";
    let (status, _) = site.call(0, Method::POST, id, body).await?;
    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
    for process in 0..2 {
        let view = get_json(&site, process, &format!("/v1/explain/jobs/{id}")).await?;
        let line = view["decisions"][0]["line"].as_str().context("no line")?;
        assert!(line.starts_with("job_rejected"), "{line}");
        assert!(line.contains("reason=no_such_worker"), "{line}");
    }
    let (status, _) = get(&site, 0, "/v1/explain/jobs/00000000000000ff").await?;
    assert_eq!(status, StatusCode::NOT_FOUND);
    Ok(())
}

/// Waits until a process knows `machine` as the owner of the site's service.
async fn wait_owner(site: &JobSite, process: usize, machine: &str) -> Result<()> {
    let end = tokio::time::Instant::now() + STOP_TIME;
    loop {
        let state = get_json(site, process, "/state").await?;
        let owner = &state["owners"]["svc"]["node"];
        if owner == machine {
            return Ok(());
        }
        ensure!(tokio::time::Instant::now() < end, "{owner} is the owner");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// The owner of a service ran on a machine whose link and processor held up the whole service, while
/// larger machines were idle.
#[tokio::test]
async fn service_moves_to_larger() -> Result<()> {
    let mut site = JobSite::start(0, 2, 200).await?;
    site.add_limited_process("small", "Limits.CpuShare=0.12\nLimits.LinkMbps=10\n")?;
    site.submit(0, "00000000000000a7", 2).await?;
    wait_owner(&site, 0, "small").await?;
    site.add_limited_process("large", "Limits.CpuShare=0.5\nLimits.LinkMbps=200\n")?;
    wait_owner(&site, 0, "large").await?;
    site.submit(0, "00000000000000a8", 2).await?;
    site.processes[1].0.kill()?;
    wait_owner(&site, 0, "small").await?;
    site.submit(0, "00000000000000a9", 2).await?;
    for id in ["00000000000000a7", "00000000000000a8", "00000000000000a9"] {
        site.wait_completed(0, id).await?;
        site.check_done_once(id, 2)?;
    }
    Ok(())
}

/// A larger machine that joins when there are more members than partitions holds none of the shards'
/// partitions; the small ones didn't see it and kept the service.
#[tokio::test]
async fn late_larger_machine_seen() -> Result<()> {
    let mut site = JobSite::start(0, 2, 200).await?;
    site.store.set_partitions(1);
    let small = "platform.parts=1\nLimits.CpuShare=0.3\nLimits.LinkMbps=200\n";
    for name in ["small-1", "small-2"] {
        site.add_limited_process(name, small)?;
    }
    site.submit(0, "00000000000000ba", 2).await?;
    let large = "platform.parts=1\nLimits.CpuShare=0.9\nLimits.LinkMbps=200\n";
    site.add_limited_process("large", large)?;
    wait_owner(&site, 0, "large").await?;
    site.submit(0, "00000000000000bb", 2).await
}

/// A request on an open connection that a stopping process takes shortly before its listener
/// closes gets its response before the process exits: it was cut off.
#[tokio::test]
async fn late_request_answered() -> Result<()> {
    let site = JobSite::start(1, 1, 200).await?;
    let id = "00000000000000ab";
    site.submit(0, id, 1).await?;
    site.processes[0].0.terminate()?;
    tokio::time::sleep(Duration::from_millis(2_800)).await;
    // Its service has no owner any more, so that the request waits for one.
    let (status, _) = site.call(0, Method::GET, id, String::new()).await?;
    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
    Ok(())
}

/// A process that doesn't reach the owner must not tell that nobody knows a job.
#[tokio::test]
async fn unreached_owner_told() -> Result<()> {
    let mut site = JobSite::start(1, 1, 200).await?;
    site.submit(0, "00000000000000f1", 1).await?;
    site.add_process("n1")?;
    site.submit(1, "00000000000000f2", 1).await?;
    site.processes[0].0.kill()?;
    let (status, text) = get(&site, 1, "/v1/explain/jobs/00000000000000f1").await?;
    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE, "{text}");
    Ok(())
}

#[tokio::test]
async fn state_counts_jobs() -> Result<()> {
    let site = JobSite::start(1, 2, 200).await?;
    site.submit(0, "00000000000000c1", 2).await?;
    site.wait_completed(0, "00000000000000c1").await?;
    let state = get_json(&site, 0, "/state").await?;
    assert_eq!(state["is_ready"], true);
    assert_eq!(state["configuration_version"], 3);
    assert_eq!(state["shards"]["svc"]["jobs"]["completed"], 1);
    let workers = state["shards"]["svc"]["workers"].as_array();
    assert_eq!(workers.map(Vec::len), Some(2));
    Ok(())
}

/// A reader of the process's log that stalls must not hold up the process: log lines used to block
/// its jobs.
#[tokio::test]
async fn stalled_log_reader_tolerated() -> Result<()> {
    let mut site = JobSite::start(0, 2, 50).await?;
    site.add_process_with_stalled_log_reader("n0")?;
    for number in 0..60 {
        let id = format!("{:016x}", 0xd00 + number);
        site.submit(0, &id, 4).await?;
    }
    site.wait_completed(0, &format!("{:016x}", 0xd00 + 59))
        .await
}

/// A planned stop loses nothing: running tasks continue under the next owner, and submissions are
/// accepted throughout.
#[tokio::test]
async fn planned_stop_loses_nothing() -> Result<()> {
    let mut site = JobSite::start(2, 2, 2_500).await?;
    site.submit(0, "00000000000000e1", 4).await?;
    site.wait_started("00000000000000e1").await?;
    for index in 0..2 {
        let (mut process, _) = site.processes.remove(0);
        process.terminate()?;
        site.submit(0, &format!("00000000000000e{}", index + 2), 1)
            .await?;
        let end = tokio::time::Instant::now() + STOP_TIME;
        let status = loop {
            if let Some(status) = process.try_wait()? {
                break status;
            }
            ensure!(tokio::time::Instant::now() < end, "the process doesn't end");
            tokio::time::sleep(Duration::from_millis(50)).await;
        };
        ensure!(status.success(), "{status}");
        site.add_process(&format!("m{index}"))?;
    }
    for id in ["00000000000000e1", "00000000000000e2", "00000000000000e3"] {
        site.wait_completed(0, id).await?;
    }
    site.check_done_once("00000000000000e1", 4)
}

//! Owners whose calls to workers go over relays, in separate processes.

use std::time::Duration;

use anyhow::{Context, Result, ensure};
use cyclamentrail_standin::{JOB_HOST, JOB_SERVICE};
use cyclamentrail_testkit::JobSite;
use http_body_util::{BodyExt, Full};
use hyper::body::Bytes;
use hyper::{Method, Request, StatusCode};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use serde_json::{Value, json};
use tokio::time::Instant;

/// Number of workers, enough for the owner to use relays.
const WORKERS: usize = 30;
/// Longest time to wait for a state of the site.
const MAX_WAIT: Duration = Duration::from_secs(20);
/// Time within which the tasks of a lost relay's workers run again or are seen to run: the relay's
/// silence is noticed, and each call is repeated once.
const RECOVERY: Duration = Duration::from_secs(6);
const LARGE: &str = "Limits.CpuShare=0.9\nLimits.LinkMbps=200\n";
const SMALL: &str = "Limits.CpuShare=0.12\nLimits.LinkMbps=10\n";

/// Length of a job's text in bytes, near the limit of a record.
const LONG_TEXT_BYTES: usize = 250_000;
/// Length of a text in bytes that fits into no frame.
const TOO_LONG_TEXT_BYTES: usize = 8 * 1024 * 1024;
/// Longest accepted body of a submission in bytes.
const MAX_BODY_BYTES: usize = 12_000_000;

/// Index of the owner's process; the others are relays.
const OWNER: usize = 0;

async fn get(site: &JobSite, process: usize, path: &str) -> Result<String> {
    let address = site.processes[process].0.address("metrics")?;
    let client: Client<_, Full<Bytes>> = Client::builder(TokioExecutor::new()).build_http();
    let request = Request::get(format!("http://{address}{path}")).body(Full::default())?;
    let body = client.request(request).await?.into_body();
    Ok(String::from_utf8(
        body.collect().await?.to_bytes().to_vec(),
    )?)
}

/// Returns the calls that a process took as a relay, with an outcome.
async fn relayed_calls(site: &JobSite, process: usize, outcome: &str) -> Result<u64> {
    let text = get(site, process, "/metrics").await?;
    let name = format!("cyclamentrail_relayed_calls_total{{outcome=\"{outcome}\"}} ");
    let line = text.lines().find_map(|line| line.strip_prefix(&name));
    Ok(line.map(str::parse).transpose()?.unwrap_or(0))
}

/// Returns how many workers the relays that an owner may use have.
async fn relayed_workers(site: &JobSite, process: usize) -> Result<u64> {
    let state: Value = serde_json::from_str(&get(site, process, "/state").await?)?;
    let relays = state["shards"]["svc"]["relays"].as_object();
    let usable = relays.context("no relays")?.values();
    let usable = usable.filter(|relay| relay["is_usable"] == true);
    Ok(usable.filter_map(|relay| relay["workers"].as_u64()).sum())
}

/// Writes the configuration of the site anew, so that callers may submit texts of any length.
fn put_long_bodies(site: &JobSite) {
    let configuration = json!({
        "Version": 4,
        "Routes": [{
            "Name": "r", "Host": JOB_HOST, "PathPrefix": "/q/", "Service": JOB_SERVICE,
            "Priority": 0, "TimeoutMs": 3_000, "TargetLatencyMs": 600, "MaxAttempts": 3,
            "Stretch": 2.0,
        }],
        "Services": [{"Name": JOB_SERVICE, "Standby": false}],
        "Limits": {"MaxBodyBytes": MAX_BODY_BYTES},
    });
    site.store.put("keyed.op", "config", &configuration);
}

/// Starts a site with one owner and small processes that relay its calls, and waits until all
/// workers have a relay.
async fn relayed_site(relays: usize, task_ms: u64) -> Result<JobSite> {
    add_relays(JobSite::start(0, WORKERS, task_ms).await?, relays).await
}

/// Starts the processes of [`relayed_site`] on a site that has none.
async fn add_relays(mut site: JobSite, relays: usize) -> Result<JobSite> {
    site.add_limited_process("large", LARGE)?;
    site.submit(OWNER, "00000000000000f0", 1).await?;
    for index in 0..relays {
        site.add_limited_process(&format!("small-{index}"), SMALL)?;
    }
    let end = Instant::now() + MAX_WAIT;
    while relayed_workers(&site, OWNER).await.unwrap_or(0) < WORKERS as u64 {
        ensure!(Instant::now() < end, "not all workers have a relay");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    Ok(site)
}

/// Waits until all tasks of a job have started, so that their starts have been relayed.
async fn wait_all_started(site: &JobSite, id: &str, count: usize) -> Result<()> {
    let end = Instant::now() + MAX_WAIT;
    while site.runs(id).len() < count {
        ensure!(Instant::now() < end, "not all tasks of {id} have started");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    Ok(())
}

#[tokio::test]
async fn calls_go_over_relays() -> Result<()> {
    let site = relayed_site(2, 100).await?;
    let id = "00000000000000f1";
    site.submit(OWNER, id, 24).await?;
    site.wait_completed(OWNER, id).await?;
    site.check_done_once(id, 24)?;
    let mut sent = 0;
    for process in 1..site.processes.len() {
        sent += relayed_calls(&site, process, "sent").await?;
    }
    ensure!(sent >= 24, "{sent} calls were relayed");
    Ok(())
}

/// All reads share what the store can send, so that processes that own nothing leave the registry to
/// the owners.
#[tokio::test]
async fn registry_read_by_owner() -> Result<()> {
    let site = relayed_site(2, 100).await?;
    let id = "00000000000000f8";
    site.submit(OWNER, id, 24).await?;
    site.wait_completed(OWNER, id).await?;
    let read = "cyclamentrail_store_calls_total{call=\"read\",topic=\"servers\"";
    for process in 0..site.processes.len() {
        let has_read = get(&site, process, "/metrics").await?.contains(read);
        ensure!(
            has_read == (process == OWNER),
            "process {process}: {has_read}"
        );
    }
    Ok(())
}

/// The relays are lost while tasks run and while others wait for their starts.
#[tokio::test]
async fn killed_relays_bypassed() -> Result<()> {
    let mut site = relayed_site(2, 1_000).await?;
    let (first, second) = ("00000000000000f2", "00000000000000f3");
    site.submit(OWNER, first, 24).await?;
    wait_all_started(&site, first, 24).await?;
    for process in 1..site.processes.len() {
        site.processes[process].0.kill()?;
    }
    let lost = Instant::now();
    site.submit(OWNER, second, 24).await?;
    for id in [first, second] {
        site.wait_completed(OWNER, id).await?;
        site.check_done_once(id, 24)?;
    }
    ensure!(lost.elapsed() < RECOVERY, "took {:?}", lost.elapsed());
    Ok(())
}

/// Relays that are suspended hold batches. Their workers are called another way meanwhile, and what
/// the relays send after they wake up changes nothing.
#[tokio::test]
async fn late_batches_harmless() -> Result<()> {
    let site = relayed_site(2, 300).await?;
    let ids = ["00000000000000f4", "00000000000000f5"];
    for process in 1..site.processes.len() {
        site.processes[process].0.pause()?;
    }
    let paused = Instant::now();
    site.submit(OWNER, ids[0], 24).await?;
    site.wait_completed(OWNER, ids[0]).await?;
    ensure!(paused.elapsed() < RECOVERY, "took {:?}", paused.elapsed());
    // Longer than the starts that wait at the relays may be sent.
    tokio::time::sleep(Duration::from_secs(6)).await;
    for process in 1..site.processes.len() {
        site.processes[process].0.resume()?;
    }
    site.submit(OWNER, ids[1], 24).await?;
    site.wait_completed(OWNER, ids[1]).await?;
    for id in ids {
        site.check_done_once(id, 24)?;
        let runs = site.runs(id);
        ensure!(runs.len() == 24, "{} runs of {id}", runs.len());
    }
    Ok(())
}

/// The owner is lost while its calls are under way; the next one goes on under its own token.
#[tokio::test]
async fn owner_changes_midway() -> Result<()> {
    let mut site = relayed_site(2, 1_500).await?;
    site.add_limited_process("large-2", LARGE)?;
    let id = "00000000000000f6";
    site.submit(OWNER, id, 24).await?;
    site.wait_started(id).await?;
    site.processes[OWNER].0.kill()?;
    site.wait_completed(1, id).await?;
    site.check_done_once(id, 24)
}

/// Relays that stop in order tell the owner before they exit, so that no call is lost.
#[tokio::test]
async fn stopping_relays_replaced() -> Result<()> {
    let mut site = relayed_site(2, 300).await?;
    let id = "00000000000000f7";
    for process in 1..site.processes.len() {
        site.processes[process].0.terminate()?;
    }
    site.add_limited_process("small-9", SMALL)?;
    site.submit(OWNER, id, 24).await?;
    site.wait_completed(OWNER, id).await?;
    site.check_done_once(id, 24)
}

/// Submits a job with a text of `text_bytes` whose tasks each take half of a worker.
async fn submit_long(site: &JobSite, id: &str, text_bytes: usize, count: usize) -> Result<()> {
    let text = "x".repeat(text_bytes);
    let body = format!(
        r#"{{"Spec":"{text}","Steps":[{{"Count":{count},"Cpu":8000,"MemMb":64,"EstimateMs":300}}]}}"#
    );
    let (status, _) = site.call(OWNER, Method::POST, id, body).await?;
    ensure!(status == StatusCode::OK, "{status}");
    Ok(())
}

/// Waits until a job has completed, each task in its first run, and no relay was lost meanwhile.
async fn wait_completed_over_relays(site: &JobSite, id: &str, count: usize) -> Result<()> {
    let end = Instant::now() + MAX_WAIT;
    while site.state(OWNER, id).await? != "completed" {
        ensure!(Instant::now() < end, "the job doesn't end");
        let workers = relayed_workers(site, OWNER).await?;
        ensure!(workers == WORKERS as u64, "{workers} workers have a relay");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    site.check_done_once(id, count)?;
    let runs = site.runs(id).len();
    ensure!(runs == count, "{runs} runs");
    Ok(())
}

/// The starts of one interval are longer than a frame may be; the session goes on all the same.
#[tokio::test]
async fn long_texts_split() -> Result<()> {
    let site = relayed_site(1, 300).await?;
    let id = "00000000000000f9";
    submit_long(&site, id, LONG_TEXT_BYTES, 60).await?;
    wait_completed_over_relays(&site, id, 60).await
}

/// A single start is longer than a frame may be: the owner sends it itself, and the others go over the
/// relay.
#[tokio::test]
async fn long_call_sent_directly() -> Result<()> {
    let limits = "platform.RecordBytes=12000000\nplatform.CallBytes=12000000\n";
    let site = JobSite::start(0, WORKERS, 300).await?.settings(limits);
    put_long_bodies(&site);
    let site = add_relays(site, 1).await?;
    let (long, other) = ("00000000000000fa", "00000000000000fb");
    submit_long(&site, long, TOO_LONG_TEXT_BYTES, 1).await?;
    submit_long(&site, other, 10, 24).await?;
    wait_completed_over_relays(&site, long, 1).await?;
    wait_completed_over_relays(&site, other, 24).await
}

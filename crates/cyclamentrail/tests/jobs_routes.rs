//! Accepted jobs go on, and are known to callers, after their queue got another service or name, at
//! separate edge processes.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::{Context, Result, ensure};
use cyclamentrail_standin::{JOB_HOST, JOB_SERVICE, JobClient, JobWorker, StoreView, SubmitResult};
use cyclamentrail_testkit::JobSite;
use hyper::{Method, StatusCode};
use rstest::rstest;
use serde_json::{Value, json};
use tokio::time::Instant;

const PREFIX: &str = "/q/";
const OTHER_SERVICE: &str = "svc-b";
const TASK_MS: u64 = 1_000;
/// Time within which each process has put a configuration in force.
const IN_FORCE: Duration = Duration::from_secs(2);
const MAX_WAIT: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(40);
const JOB: &str = "00000000000000a1";
const NEW_JOB: &str = "00000000000000b1";
/// Topic of the directory, and the beginning of the keys of the usual service's records there.
const OWNERS_TOPIC: &str = "keyed.owners";
const QUEUES_PREFIX: &str = "~queue-set/svc/";
/// Topic of the configuration.
const OPERATORS_TOPIC: &str = "keyed.op";

/// A route of the configuration: name, prefix and service.
type RouteRow<'a> = (&'a str, &'a str, &'a str);

/// Writes a configuration with some routes to the store, and waits until it is in force.
async fn set_routes(site: &JobSite, version: u64, routes: &[RouteRow<'_>]) {
    put_routes(site, version, routes);
    tokio::time::sleep(IN_FORCE).await;
}

fn put_routes(site: &JobSite, version: u64, routes: &[RouteRow<'_>]) {
    let route = |(name, prefix, service): &RouteRow<'_>| {
        json!({
            "Name": name, "Host": JOB_HOST, "PathPrefix": prefix, "Service": service,
            "TimeoutMs": 3_000, "TargetLatencyMs": 600, "MaxAttempts": 3, "Stretch": 2.0,
        })
    };
    let configuration = json!({
        "Version": version,
        "Routes": routes.iter().map(route).collect::<Vec<Value>>(),
        "Services": [
            {"Name": JOB_SERVICE, "Standby": false}, {"Name": OTHER_SERVICE, "Standby": false},
        ],
    });
    site.store.put("keyed.op", "config", &configuration);
}

/// Starts processes, a worker of the usual service and one of the other service.
async fn start(processes: usize) -> Result<JobSite> {
    let mut site = JobSite::start(processes, 1, TASK_MS).await?;
    let other = JobWorker::start(&site.store, "j-0", OTHER_SERVICE, TASK_MS).await?;
    site.workers.push(other);
    Ok(site)
}

/// Returns the body of a job of two steps with one task each.
fn two_steps() -> String {
    let step = |after: &[u32]| json!({"Count": 1, "Cpu": 500, "MemMb": 100, "EstimateMs": 1_000, "After": after});
    json!({"Spec": "work", "Steps": [step(&[]), step(&[0])]}).to_string()
}

/// Submits a job of two steps until it is accepted, and waits for its first start.
async fn begin_job(site: &JobSite, id: &str) -> Result<()> {
    submit_until_accepted(site, 0, id).await?;
    site.wait_started(id).await?;
    Ok(())
}

/// Queries a job at all processes until each shows it as completed; it must be known all the while.
async fn wait_known_completed(site: &JobSite, id: &str) -> Result<()> {
    let deadline = Instant::now() + MAX_WAIT;
    for process in 0..site.processes.len() {
        loop {
            let (status, body) = site.call(process, Method::GET, id, String::new()).await?;
            ensure!(status != StatusCode::GONE, "process {process} says 410");
            if status == StatusCode::OK && body.windows(9).any(|part| part == b"completed") {
                break;
            }
            ensure!(Instant::now() < deadline, "{id} isn't completed: {status}");
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
    Ok(())
}

async fn pending(address: SocketAddr) -> Result<u64> {
    let client = JobClient::new();
    let (status, body) = client.call(address, Method::GET, "", String::new()).await?;
    ensure!(status == StatusCode::OK, "the count has status {status}");
    let body: Value = serde_json::from_slice(&body)?;
    body["Pending"].as_u64().context("no count")
}

/// Waits until a process has a configuration, by which it knows that there is no such queue.
async fn wait_configured(address: SocketAddr) -> Result<()> {
    let client = JobClient::new().path_prefix("/none/");
    let deadline = Instant::now() + MAX_WAIT;
    while client
        .call(address, Method::GET, "", String::new())
        .await?
        .0
        != StatusCode::NOT_FOUND
    {
        ensure!(Instant::now() < deadline, "there is no configuration");
    }
    Ok(())
}

#[rstest]
#[case::moved(&[("r", PREFIX, OTHER_SERVICE)])]
#[case::moved_and_renamed(&[("other", PREFIX, OTHER_SERVICE)])]
#[case::renamed(&[("other", PREFIX, JOB_SERVICE)])]
#[tokio::test]
async fn changed_queue_keeps_job(#[case] routes: &[RouteRow<'static>]) -> Result<()> {
    let site = start(2).await?;
    begin_job(&site, JOB).await?;
    set_routes(&site, 4, routes).await;
    wait_known_completed(&site, JOB).await?;
    site.check_done_once(JOB, 2)?;
    let (status, _) = site
        .call(1, Method::GET, "00000000000000ff", String::new())
        .await?;
    ensure!(status == StatusCode::GONE, "an unknown job has {status}");
    site.submit(1, NEW_JOB, 1).await?;
    wait_known_completed(&site, NEW_JOB).await
}

/// A submission that was repeated after the change made a second job.
#[tokio::test]
async fn repeated_submission_is_one_job() -> Result<()> {
    let site = start(2).await?;
    begin_job(&site, JOB).await?;
    set_routes(&site, 4, &[("r", PREFIX, OTHER_SERVICE)]).await;
    for process in 0..2 {
        let (status, _) = site.call(process, Method::POST, JOB, two_steps()).await?;
        ensure!(status == StatusCode::OK, "the repetition has {status}");
    }
    wait_known_completed(&site, JOB).await?;
    ensure!(site.runs(JOB).len() == 2, "{:?}", site.runs(JOB));
    site.submit(0, NEW_JOB, 1).await?;
    wait_known_completed(&site, NEW_JOB).await?;
    ensure!(
        site.workers[1].runs().len() == 1,
        "the new job runs elsewhere"
    );
    Ok(())
}

#[tokio::test]
async fn moved_job_cancelled() -> Result<()> {
    let site = start(2).await?;
    begin_job(&site, JOB).await?;
    begin_job(&site, NEW_JOB).await?;
    set_routes(&site, 4, &[("r", PREFIX, OTHER_SERVICE)]).await;
    for (process, id) in [JOB, NEW_JOB].into_iter().enumerate() {
        let (status, _) = site
            .call(process, Method::DELETE, id, String::new())
            .await?;
        ensure!(status == StatusCode::OK, "the cancel has {status}");
    }
    Ok(())
}

/// While a queue is away, its callers are told that there is none; its jobs go on.
#[rstest]
#[case::same_service(JOB_SERVICE)]
#[case::other_service(OTHER_SERVICE)]
#[tokio::test]
async fn returned_queue_knows_job(#[case] service: &str) -> Result<()> {
    let site = start(2).await?;
    begin_job(&site, JOB).await?;
    set_routes(&site, 4, &[("s", "/s/", OTHER_SERVICE)]).await;
    let (status, _) = site.call(1, Method::GET, JOB, String::new()).await?;
    ensure!(status == StatusCode::NOT_FOUND, "no queue, and {status}");
    set_routes(&site, 5, &[("r", PREFIX, service)]).await;
    wait_known_completed(&site, JOB).await?;
    site.check_done_once(JOB, 2)
}

/// A longer prefix takes requests away from a queue, and gives them back.
#[tokio::test]
async fn split_queue_knows_job() -> Result<()> {
    let site = start(1).await?;
    begin_job(&site, JOB).await?;
    let whole = ("r", PREFIX, JOB_SERVICE);
    set_routes(&site, 4, &[whole, ("s", "/q/0", OTHER_SERVICE)]).await;
    let (status, _) = site.call(0, Method::GET, JOB, String::new()).await?;
    ensure!(
        status == StatusCode::NOT_FOUND,
        "another queue, and {status}"
    );
    set_routes(&site, 5, &[whole]).await;
    wait_known_completed(&site, JOB).await
}

/// Each process that saw the change is killed, and those that take over know only what is stored.
#[tokio::test]
async fn replaced_processes_know_job() -> Result<()> {
    let mut site = start(2).await?;
    begin_job(&site, JOB).await?;
    set_routes(&site, 4, &[("r", PREFIX, OTHER_SERVICE)]).await;
    for index in 0..2 {
        drop(site.processes.remove(0));
        site.add_process(&format!("m{index}"))?;
        site.submit(1, &format!("00000000000000c{index}"), 1)
            .await?;
    }
    wait_known_completed(&site, JOB).await?;
    site.check_done_once(JOB, 2)
}

/// The owner is killed at the moment of the change, so that it writes nothing more.
#[tokio::test]
async fn owner_killed_at_change() -> Result<()> {
    let mut site = start(1).await?;
    begin_job(&site, JOB).await?;
    drop(site.processes.remove(0));
    put_routes(&site, 4, &[("r", PREFIX, OTHER_SERVICE)]);
    site.add_process("m0")?;
    wait_known_completed(&site, JOB).await?;
    site.check_done_once(JOB, 2)
}

/// A former service that can't be asked: the outcome of a repeated submission isn't known.
#[tokio::test]
async fn unreachable_former_service() -> Result<()> {
    let mut site = start(1).await?;
    begin_job(&site, JOB).await?;
    set_routes(&site, 4, &[("r", PREFIX, OTHER_SERVICE)]).await;
    wait_known_completed(&site, JOB).await?;
    drop(site.processes.remove(0));
    site.store
        .set_unreadable(&format!("keyed.jobs.{JOB_SERVICE}"), true);
    site.add_process("m0")?;
    wait_configured(site.processes[0].1).await?;
    let deadline = Instant::now() + Duration::from_secs(4);
    while Instant::now() < deadline {
        let (status, _) = site.call(0, Method::GET, JOB, String::new()).await?;
        let asks_again = [StatusCode::SERVICE_UNAVAILABLE, StatusCode::GATEWAY_TIMEOUT];
        ensure!(asks_again.contains(&status), "GET has {status}");
        let result = JobClient::new().submit(site.processes[0].1, JOB, 1).await;
        ensure!(result == SubmitResult::Unknown, "POST is {result:?}");
    }
    site.store
        .set_unreadable(&format!("keyed.jobs.{JOB_SERVICE}"), false);
    wait_known_completed(&site, JOB).await?;
    ensure!(site.workers[1].runs().is_empty(), "the job runs twice");
    Ok(())
}

/// The store doesn't respond after the change: no caller is told that the job is gone or new.
#[tokio::test]
async fn outage_keeps_moved_job() -> Result<()> {
    let site = start(2).await?;
    begin_job(&site, JOB).await?;
    set_routes(&site, 4, &[("r", PREFIX, OTHER_SERVICE)]).await;
    site.store.set_down(true);
    let deadline = Instant::now() + Duration::from_secs(4);
    while Instant::now() < deadline {
        for process in 0..2 {
            let (status, _) = site.call(process, Method::GET, JOB, String::new()).await?;
            ensure!(status != StatusCode::GONE, "process {process} says 410");
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    site.store.set_down(false);
    wait_known_completed(&site, JOB).await?;
    site.check_done_once(JOB, 2)
}

#[rstest]
#[case::moved(&[("r", PREFIX, OTHER_SERVICE)])]
#[case::renamed(&[("other", PREFIX, JOB_SERVICE)])]
#[tokio::test]
async fn changed_queue_counts_jobs(#[case] routes: &[RouteRow<'static>]) -> Result<()> {
    let mut site = start(2).await?;
    site.submit(0, JOB, 1).await?;
    wait_known_completed(&site, JOB).await?;
    site.workers[0].delay_next_start(60_000);
    drop(site.workers.remove(0));
    site.submit(0, NEW_JOB, 1).await?;
    let before = pending(site.processes[0].1).await?;
    ensure!(before == 1, "{before} jobs wait");
    set_routes(&site, 4, routes).await;
    for (_, address) in &site.processes {
        let after = pending(*address).await?;
        ensure!(after == 1, "{after} jobs wait");
    }
    Ok(())
}

/// Waits until the queues of the usual service are stored, in a record other than `previous`.
async fn wait_queues(site: &JobSite, previous: Option<&str>) -> Result<(String, Vec<u8>)> {
    let deadline = Instant::now() + MAX_WAIT;
    loop {
        let newest = site.store.newest_of(OWNERS_TOPIC, QUEUES_PREFIX);
        if let Some(newest) = newest.filter(|(key, _)| Some(key.as_str()) != previous) {
            return Ok(newest);
        }
        ensure!(Instant::now() < deadline, "the queues aren't written");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Queries a job at all processes for a while; none may say that there is no such job.
async fn check_known(site: &JobSite, id: &str, duration: Duration) -> Result<()> {
    let end = Instant::now() + duration;
    while Instant::now() < end {
        for process in 0..site.processes.len() {
            let (status, _) = site.call(process, Method::GET, id, String::new()).await?;
            ensure!(status != StatusCode::GONE, "process {process} says 410");
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    Ok(())
}

/// Jobs that were accepted before the record of their queue was written were unknown to the other
/// processes, and for good to a successor.
#[tokio::test]
async fn unwritten_queue_accepts_nothing() -> Result<()> {
    let mut site = start(0).await?;
    site.store.limit_values(QUEUES_PREFIX, 0);
    for name in ["n0", "n1"] {
        site.add_process(name)?;
    }
    wait_configured(site.processes[0].1).await?;
    let end = Instant::now() + Duration::from_secs(4);
    while Instant::now() < end {
        let (status, _) = site.call(0, Method::POST, JOB, two_steps()).await?;
        ensure!(status != StatusCode::OK, "the job is accepted");
    }
    site.store.limit_values(QUEUES_PREFIX, usize::MAX);
    begin_job(&site, JOB).await?;
    put_routes(&site, 4, &[("r", PREFIX, OTHER_SERVICE)]);
    check_known(&site, JOB, IN_FORCE).await?;
    wait_known_completed(&site, JOB).await?;
    site.check_done_once(JOB, 2)
}

/// A record that the store appended late hid the queues that a later one names.
#[tokio::test]
async fn late_record_hides_nothing() -> Result<()> {
    let mut site = start(0).await?;
    let kept = ("s", "/s/", JOB_SERVICE);
    put_routes(&site, 4, &[kept]);
    for name in ["n0", "n1"] {
        site.add_process(name)?;
    }
    let (late_key, late) = wait_queues(&site, None).await?;
    set_routes(&site, 5, &[kept, ("r", PREFIX, JOB_SERVICE)]).await;
    begin_job(&site, JOB).await?;
    set_routes(&site, 6, &[kept, ("r", PREFIX, OTHER_SERVICE)]).await;
    site.store.put_bytes(OWNERS_TOPIC, &late_key, late);
    check_known(&site, JOB, IN_FORCE).await?;
    wait_known_completed(&site, JOB).await?;
    site.check_done_once(JOB, 2)
}

/// Starts a process that owns the usual service and reads no later configuration, gives the queue to
/// the other service, and starts a process that acts on this.
async fn start_outdated() -> Result<(JobSite, StoreView)> {
    let mut site = start(0).await?;
    let view = site.store.view().await?;
    site.add_process_at("n0", view.address())?;
    begin_job(&site, JOB).await?;
    view.set_unreadable(OPERATORS_TOPIC, true);
    put_routes(&site, 4, &[("r", PREFIX, OTHER_SERVICE)]);
    Ok((site, view))
}

/// A job was accepted by both services: by the former one, whose owner acted on the earlier
/// configuration, after it had said that it doesn't know the job.
#[tokio::test]
async fn job_accepted_once() -> Result<()> {
    let (mut site, _view) = start_outdated().await?;
    let other_topic = format!("keyed.jobs.{OTHER_SERVICE}");
    site.store.set_unreadable(&other_topic, true);
    site.add_process("n1")?;
    while site.store.newest(OWNERS_TOPIC, OTHER_SERVICE).is_none() {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    let to_other = async {
        // Waits for the owner of the other service, which can't read its records yet.
        let (status, _) = site.call(1, Method::POST, NEW_JOB, two_steps()).await?;
        Ok::<_, anyhow::Error>(status)
    };
    let to_former = async {
        tokio::time::sleep(Duration::from_millis(150)).await;
        let (status, _) = site.call(0, Method::POST, NEW_JOB, two_steps()).await?;
        site.store.set_unreadable(&other_topic, false);
        Ok::<_, anyhow::Error>(status)
    };
    let (_, status) = tokio::try_join!(to_other, to_former)?;
    ensure!(status == StatusCode::OK, "the former service says {status}");
    submit_until_accepted(&site, 1, NEW_JOB).await?;
    wait_known_completed(&site, NEW_JOB).await?;
    ensure!(site.runs(NEW_JOB).len() == 2, "{:?}", site.runs(NEW_JOB));
    site.check_done_once(JOB, 2)
}

/// An owner that acts on the earlier configuration accepts no job that the other service has, and its
/// successor neither.
#[rstest]
#[case::same_owner(false)]
#[case::successor(true)]
#[tokio::test]
async fn outdated_owner_accepts_nothing(#[case] is_replaced: bool) -> Result<()> {
    let (mut site, _view) = start_outdated().await?;
    site.add_process("n1")?;
    submit_until_accepted(&site, 1, NEW_JOB).await?;
    if is_replaced {
        drop(site.processes.remove(0));
        submit_until_accepted(&site, 0, NEW_JOB).await?;
    } else {
        let (status, _) = site.call(0, Method::POST, NEW_JOB, two_steps()).await?;
        let is_true = [StatusCode::OK, StatusCode::GATEWAY_TIMEOUT].contains(&status);
        ensure!(is_true, "the repetition has {status}");
    }
    wait_known_completed(&site, NEW_JOB).await?;
    wait_known_completed(&site, JOB).await?;
    ensure!(site.runs(NEW_JOB).len() == 2, "{:?}", site.runs(NEW_JOB));
    site.check_done_once(JOB, 2)
}

/// Submits a job of two steps to a process until it is accepted.
async fn submit_until_accepted(site: &JobSite, process: usize, id: &str) -> Result<()> {
    let deadline = Instant::now() + MAX_WAIT;
    loop {
        let (status, _) = site.call(process, Method::POST, id, two_steps()).await?;
        if status == StatusCode::OK {
            return Ok(());
        }
        ensure!(Instant::now() < deadline, "{id} isn't accepted: {status}");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// A submission of a job that the former service has was refused as one that never runs: by an owner of
/// the new service that acted on the earlier configuration, or that couldn't store a new job.
#[rstest]
#[case::outdated(false)]
#[case::outage(true)]
#[tokio::test]
async fn known_job_never_refused(#[case] is_outage: bool) -> Result<()> {
    let mut site = start(0).await?;
    let view = site.store.view().await?;
    let both = [("r", PREFIX, JOB_SERVICE), ("s", "/s/", OTHER_SERVICE)];
    put_routes(&site, 4, &both);
    site.add_process_at("n0", view.address())?;
    begin_job(&site, JOB).await?;
    while site.store.newest(OWNERS_TOPIC, OTHER_SERVICE).is_none() {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    view.set_unreadable(OPERATORS_TOPIC, !is_outage);
    site.add_process("n1")?;
    wait_configured(site.processes[1].1).await?;
    set_routes(&site, 5, &[("r", PREFIX, OTHER_SERVICE)]).await;
    site.store.set_down(is_outage);
    let end = Instant::now() + Duration::from_secs(3);
    while Instant::now() < end {
        let (status, _) = site.call(1, Method::POST, JOB, two_steps()).await?;
        let is_true = [StatusCode::OK, StatusCode::GATEWAY_TIMEOUT].contains(&status);
        ensure!(is_true, "the repetition has {status}");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    site.store.set_down(false);
    view.set_unreadable(OPERATORS_TOPIC, false);
    wait_known_completed(&site, JOB).await?;
    site.check_done_once(JOB, 2)
}

/// A configuration that was corrected under its version must bring the queue back.
#[tokio::test]
async fn corrected_configuration_serves() -> Result<()> {
    let site = start(1).await?;
    begin_job(&site, JOB).await?;
    set_routes(&site, 4, &[("s", "/s/", OTHER_SERVICE)]).await;
    set_routes(&site, 4, &[("r", PREFIX, JOB_SERVICE)]).await;
    site.submit(0, NEW_JOB, 1).await?;
    wait_known_completed(&site, NEW_JOB).await?;
    wait_known_completed(&site, JOB).await
}

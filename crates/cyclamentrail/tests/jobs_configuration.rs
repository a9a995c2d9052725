//! Changes of the configuration are in force in time at separate edge processes.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::{Result, ensure};
use cyclamentrail_standin::{JOB_HOST, JOB_SERVICE, JobClient, JobStore};
use cyclamentrail_testkit::JobSite;
use hyper::{Method, StatusCode};
use rstest::rstest;
use serde_json::{Value, json};
use tokio::time::Instant;

/// Time after an outage of the store within which each process follows the configuration again.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Time between two calls of a caller.
const CALL_INTERVAL: Duration = Duration::from_millis(50);

/// Writes a configuration with a route for each prefix to the store.
fn put_routes(store: &JobStore, version: u64, prefixes: &[&str]) {
    let route = |prefix: &&str| {
        json!({
            "Name": prefix, "Host": JOB_HOST, "PathPrefix": prefix, "Service": JOB_SERVICE,
            "TimeoutMs": 3_000, "TargetLatencyMs": 600, "MaxAttempts": 3, "Stretch": 2.0,
        })
    };
    let configuration = json!({
        "Version": version,
        "Routes": prefixes.iter().map(route).collect::<Vec<Value>>(),
        "Services": [{"Name": JOB_SERVICE, "Standby": false}],
    });
    store.put("keyed.op", "config", &configuration);
}

/// Repeats a call for the number of a route's waiting jobs until it has a status.
async fn wait_for(
    client: &JobClient,
    address: SocketAddr,
    status: StatusCode,
    limit: Duration,
) -> Result<()> {
    let deadline = Instant::now() + limit;
    loop {
        let (seen, _) = client.call(address, Method::GET, "", String::new()).await?;
        if seen == status {
            return Ok(());
        }
        ensure!(
            Instant::now() < deadline,
            "{seen} instead of {status} after {limit:?}"
        );
        tokio::time::sleep(CALL_INTERVAL).await;
    }
}

/// The store is silent for some seconds and never answers what was sent to it meanwhile. A change that
/// is written when it is back must not wait for a read that hangs.
#[rstest]
#[case::short(3_500)]
#[case::medium(6_500)]
#[case::long(11_500)]
#[tokio::test]
async fn silence_holds_nothing_up(#[case] silence_ms: u64) -> Result<()> {
    let site = JobSite::start(2, 1, 200).await?;
    let added = JobClient::new().path_prefix("/added/");
    let removed = JobClient::new().path_prefix("/q/");
    for (_, address) in &site.processes {
        wait_for(&removed, *address, StatusCode::OK, CONTACT_TIME).await?;
    }
    site.store.set_losing_responses(true);
    tokio::time::sleep(Duration::from_millis(silence_ms)).await;
    site.store.set_losing_responses(false);
    put_routes(&site.store, 4, &["/added/"]);
    let deadline = Instant::now() + CONTACT_TIME;
    for (_, address) in &site.processes {
        let remaining = deadline.saturating_duration_since(Instant::now());
        wait_for(&removed, *address, StatusCode::NOT_FOUND, remaining).await?;
        let (status, _) = added.call(*address, Method::GET, "", String::new()).await?;
        ensure!(status == StatusCode::OK, "the added route gives {status}");
    }
    Ok(())
}

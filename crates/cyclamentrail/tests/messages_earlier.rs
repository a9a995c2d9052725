//! Messages of processes of an earlier version, which name no team, during a rolling update.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use anyhow::{Result, ensure};
use bytes::Bytes;
use cyclamentrail_jobs::{JobSpec, WorkerReport};
use cyclamentrail_standin::JOB_SERVICE;
use cyclamentrail_testkit::JobSite;
use http_body_util::{BodyExt, Full};
use hyper::{Request, StatusCode};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use serde::Serialize;

/// Distance of the port for other processes from that for callers.
const INTERNAL_PORT_OFFSET: u16 = 2;

/// Sends a request to the owner as an earlier version encodes it, and returns the encoded reply.
async fn ask<T: Serialize>(caller: SocketAddr, request: &str, fields: T) -> Result<Vec<u8>> {
    let address = SocketAddr::new(caller.ip(), caller.port() + INTERNAL_PORT_OFFSET);
    let call = (JOB_SERVICE, BTreeMap::from([(request, fields)]));
    let body = Bytes::from(rmp_serde::to_vec(&call)?);
    let client: Client<_, Full<Bytes>> = Client::builder(TokioExecutor::new()).build_http();
    let request = Request::post(format!("http://{address}/v1/ask")).body(Full::new(body))?;
    let response = client.request(request).await?;
    ensure!(response.status() == StatusCode::OK, "{}", response.status());
    Ok(response.into_body().collect().await?.to_bytes().to_vec())
}

/// A process of an earlier version must be able to submit, show and cancel jobs at a new owner.
#[tokio::test]
async fn earlier_requests_served() -> Result<()> {
    let site = JobSite::start(1, 1, 5_000).await?;
    site.submit(0, "00000000000000a1", 1).await?;
    let caller = site.processes[0].1;
    let spec = JobSpec {
        text: Arc::from("work"),
        steps: Vec::new(),
        schedule: None,
    };
    let reply = ask(caller, "Submit", ("00000000000000a2", "r", spec)).await?;
    ensure!(rmp_serde::from_slice::<String>(&reply)? == "Malformed");
    let reply = ask(caller, "State", "00000000000000a1").await?;
    let state: BTreeMap<String, String> = rmp_serde::from_slice(&reply)?;
    ensure!(state.contains_key("State"), "{state:?}");
    let reply = ask(caller, "Cancel", "00000000000000a1").await?;
    ensure!(rmp_serde::from_slice::<String>(&reply)? == "Cancelled");
    Ok(())
}

/// A relay of an earlier version sends reports without the mark of a partial list, and a whole list is
/// sent in the form that it reads.
#[test]
fn earlier_reports_readable() -> Result<()> {
    let earlier = rmp_serde::to_vec(&(Some(3_u64), 5_u64, [(); 0], [(); 0]))?;
    let mut report: WorkerReport = rmp_serde::from_slice(&earlier)?;
    ensure!(!report.may_lack_ends);
    ensure!(rmp_serde::to_vec(&report)? == earlier);
    report.may_lack_ends = true;
    let sent = rmp_serde::to_vec(&report)?;
    ensure!(rmp_serde::from_slice::<WorkerReport>(&sent)? == report);
    Ok(())
}

//! A caller of the system on the users' platform, and the settings of a small site there.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};

use anyhow::{Context, Result, ensure};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request, StatusCode};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde_json::{Value, json};

use super::JobStore;

/// Host of the one route.
const HOST: &str = "jobs.example";
/// Service that runs the route's tasks.
pub const JOB_SERVICE: &str = "svc";
/// Processor that a task asks for, in thousandths of a core.
const TASK_CPU_MILLI: u64 = 500;

/// Where a process listens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NodePorts {
    /// For callers.
    pub front: u16,
    /// For health checks.
    pub ready: u16,
    /// For other processes; the next one is for metrics.
    pub internal: u16,
}

impl NodePorts {
    /// Finds ports that are free on loopback.
    ///
    /// # Errors
    ///
    /// Returns why no address can be bound.
    pub fn free() -> std::io::Result<Self> {
        let listen = |port| TcpListener::bind(SocketAddr::from((Ipv4Addr::LOCALHOST, port)));
        loop {
            let held = [listen(0)?, listen(0)?, listen(0)?];
            let [front, ready, internal] = held
                .each_ref()
                .map(|listener| listener.local_addr().map(|address| address.port()));
            let ports = Self {
                front: front?,
                ready: ready?,
                internal: internal?,
            };
            // The range of internal ports ends two behind the first.
            if ports.internal < u16::MAX - 2 && listen(ports.internal + 1).is_ok() {
                return Ok(ports);
            }
        }
    }
}

/// Puts the configuration of a site with one route into its store.
pub fn put_configuration(store: &JobStore) {
    let configuration = json!({
        "Version": 3,
        "Routes": [{
            "Name": "r", "Host": HOST, "PathPrefix": "/q/", "Service": JOB_SERVICE, "Priority": 0,
            "TimeoutMs": 3_000, "TargetLatencyMs": 600, "MaxAttempts": 3, "Stretch": 2.0,
        }],
        "Services": [{"Name": JOB_SERVICE, "Standby": false}],
    });
    store.put("keyed.op", "config", &configuration);
}

/// Returns the settings file of a process on loopback.
#[must_use]
pub fn node_settings(name: &str, ports: NodePorts, store: SocketAddr) -> String {
    let NodePorts {
        front,
        ready,
        internal,
    } = ports;
    format!(
        "NodeName={name}\nZone=z\nIp=127.0.0.1\nListen.Front=127.0.0.1:{front}\n\
         Listen.Ready=127.0.0.1:{ready}\nInternalPortRange={internal},{}\n\
         platform.Address={store}\nplatform.TtlMinMs=500\n",
        internal + 2,
    )
}

/// What became of a job that was handed in.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Submitted {
    /// It is accepted.
    Accepted,
    /// It isn't accepted and never runs.
    Rejected,
    /// Nothing is known.
    Unknown,
}

/// Hands in jobs and asks for them.
#[derive(Debug, Clone)]
pub struct JobClient {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl Default for JobClient {
    fn default() -> Self {
        Self::new()
    }
}

impl JobClient {
    /// Creates a client.
    #[must_use]
    pub fn new() -> Self {
        Self {
            client: Client::builder(TokioExecutor::new()).build_http(),
        }
    }

    /// Calls a process about a job.
    ///
    /// # Errors
    ///
    /// Returns why there is no answer.
    pub async fn call(
        &self,
        address: SocketAddr,
        method: Method,
        id: &str,
        body: String,
    ) -> Result<(StatusCode, Bytes)> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{address}/q/{id}"))
            .header("host", HOST)
            .header("deadline-ms", "3000")
            .body(Full::new(Bytes::from(body)))?;
        let response = self.client.request(request).await?;
        let status = response.status();
        Ok((status, response.into_body().collect().await?.to_bytes()))
    }

    /// Hands in a job of `count` tasks once.
    pub async fn submit(&self, address: SocketAddr, id: &str, count: u32) -> Submitted {
        let step = json!({"Count": count, "Cpu": TASK_CPU_MILLI, "MemMb": 100, "EstimateMs": 500});
        let body = json!({"Spec": "work", "Steps": [step]}).to_string();
        match self.call(address, Method::POST, id, body).await {
            Ok((StatusCode::OK, _)) => Submitted::Accepted,
            Ok((StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE, _)) => {
                Submitted::Rejected
            }
            _ => Submitted::Unknown,
        }
    }

    /// Returns what a process tells of a job.
    ///
    /// # Errors
    ///
    /// Returns why it tells nothing.
    pub async fn state(&self, address: SocketAddr, id: &str) -> Result<String> {
        let (status, body) = self.call(address, Method::GET, id, String::new()).await?;
        ensure!(status == StatusCode::OK, "{id} is told as {status}");
        let body: Value = serde_json::from_slice(&body)?;
        Ok(body["State"].as_str().context("no state")?.to_owned())
    }
}

//! A client that submits jobs, and the configuration and settings of a small site.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

use anyhow::{Context, Result, ensure};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request, StatusCode};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde_json::{Value, json};

use super::JobStore;

/// Host of the site's only route, unless another one is set.
pub const JOB_HOST: &str = "jobs.example";
/// Name of the service that runs the route's tasks, unless another one is set.
pub const JOB_SERVICE: &str = "svc";
/// CPU that each task requests, in thousandths of a core.
const TASK_CPU_MILLI: u64 = 500;

/// First of the ports that processes of the site listen on.
const FIRST_PORT: u16 = 12_000;
/// Number of ports that a process listens on.
const PORTS_PER_BLOCK: u16 = 4;
/// Number of blocks of ports; the last one ends below the ports of outgoing connections.
const PORT_BLOCKS: u32 = 5_000;
/// Number of blocks between the first ones that two test processes in a row try.
const BLOCKS_PER_PROCESS: u32 = 61;

/// Ports on which a process of the site listens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ProcessPorts {
    /// Port for callers.
    pub caller: u16,
    /// Port for health checks.
    pub ready: u16,
    /// First internal port, for other processes; the next port is for metrics.
    pub internal: u16,
}

impl ProcessPorts {
    /// Finds ports that are free on the loopback address. They lie below those that the system
    /// gives to outgoing connections, which could take a port again before its process listens.
    ///
    /// # Errors
    ///
    /// Returns the error of binding the last of the ports that were tried.
    pub fn allocate() -> std::io::Result<Self> {
        let mut result = Self::try_block(next_block());
        for _ in 1..PORT_BLOCKS {
            if result.is_ok() {
                break;
            }
            result = Self::try_block(next_block());
        }
        result
    }

    /// Returns the ports of a block if all of them are free.
    fn try_block(block: u16) -> std::io::Result<Self> {
        let first = FIRST_PORT + block * PORTS_PER_BLOCK;
        let bind = |port| TcpListener::bind(SocketAddr::from((Ipv4Addr::LOCALHOST, port)));
        let ports = first..first + PORTS_PER_BLOCK;
        let _listeners = ports.map(bind).collect::<std::io::Result<Vec<_>>>()?;
        Ok(Self {
            caller: first,
            ready: first + 1,
            // The metrics listener takes the port after the first internal one.
            internal: first + 2,
        })
    }
}

/// Returns the number of the next block of ports; processes begin at different blocks.
fn next_block() -> u16 {
    static TAKEN: AtomicU32 = AtomicU32::new(0);
    let taken = TAKEN.fetch_add(1, Ordering::Relaxed);
    let block = (std::process::id().wrapping_mul(BLOCKS_PER_PROCESS) + taken) % PORT_BLOCKS;
    u16::try_from(block).unwrap_or(0)
}

/// Writes the configuration of a site with one route, from `host` to `service`, to its store.
pub fn put_configuration(store: &JobStore, host: &str, service: &str) {
    let configuration = json!({
        "Version": 3,
        "Routes": [{
            "Name": "r", "Host": host, "PathPrefix": "/q/", "Service": service, "Priority": 0,
            "TimeoutMs": 3_000, "TargetLatencyMs": 600, "MaxAttempts": 3, "Stretch": 2.0,
        }],
        "Services": [{"Name": service, "Standby": false}],
    });
    store.put("keyed.op", "config", &configuration);
}

/// Writes the configuration of a site with teams to its store: a route under `/q/` whose callers need
/// a key, and a public one under `/open/`. Each team is given with its keys.
pub fn put_team_configuration(store: &JobStore, version: u64, teams: &[(&str, &[&str])]) {
    let owned = |keys: &[&str]| keys.iter().map(|&key| String::from(key)).collect();
    let teams = teams
        .iter()
        .map(|(name, keys)| (String::from(*name), owned(keys)));
    let target = QueueTarget {
        host: JOB_HOST,
        service: JOB_SERVICE,
        others: &[],
    };
    put_teams(store, target, version, teams.collect());
}

/// Where the routes of a configuration lead.
#[derive(Debug, Clone, Copy)]
pub struct QueueTarget<'a> {
    /// Host of the requests.
    pub host: &'a str,
    /// Service that runs the tasks of new jobs.
    pub service: &'a str,
    /// Further services of the configuration, to which no route leads.
    pub others: &'a [&'a str],
}

/// Writes a configuration as [`put_team_configuration`] does, with routes from a host to a service.
pub fn put_teams(
    store: &JobStore,
    target: QueueTarget<'_>,
    version: u64,
    teams: Vec<(String, Vec<String>)>,
) {
    let QueueTarget {
        host,
        service,
        others,
    } = target;
    let route = |name: &str, prefix: &str, is_public: bool| {
        json!({
            "Name": name, "Host": host, "PathPrefix": prefix, "Service": service,
            "Priority": 0, "TimeoutMs": 3_000, "TargetLatencyMs": 600, "MaxAttempts": 3,
            "Stretch": 2.0, "Public": is_public,
        })
    };
    let teams: Vec<Value> = teams
        .into_iter()
        .map(|(name, keys)| json!({"Name": name, "ApiKeys": keys, "Weight": 10}))
        .collect();
    let services = std::iter::once(&service).chain(others);
    let services: Vec<Value> = services
        .map(|name| json!({"Name": name, "Standby": false}))
        .collect();
    let configuration = json!({
        "Version": version,
        "Routes": [route("r", "/q/", false), route("open", "/open/", true)],
        "Services": services,
        "Tenants": teams,
    });
    store.put("keyed.op", "config", &configuration);
}

/// Returns the text of a settings file for a process on the loopback address.
#[must_use]
pub fn process_settings(name: &str, ports: ProcessPorts, store: SocketAddr) -> String {
    let ProcessPorts {
        caller,
        ready,
        internal,
    } = ports;
    format!(
        "NodeName={name}\nZone=z\nIp=127.0.0.1\nListen.Front=127.0.0.1:{caller}\n\
         Listen.Ready=127.0.0.1:{ready}\nInternalPortRange={internal},{}\n\
         platform.Address={store}\nplatform.TtlMinMs=500\n",
        internal + 2,
    )
}

/// Result of submitting a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SubmitResult {
    /// The job is accepted and will run.
    Accepted,
    /// The job is rejected and never runs.
    Rejected,
    /// The call failed or had an unexpected status, so the job may or may not run.
    Unknown,
}

/// A client that submits jobs and queries their state.
#[derive(Debug, Clone)]
pub struct JobClient {
    host: Arc<str>,
    /// Key that the requests carry, if any.
    api_key: Option<Arc<str>>,
    /// Prefix of the paths of the requests.
    path_prefix: &'static str,
    client: Client<HttpConnector, Full<Bytes>>,
}

impl Default for JobClient {
    fn default() -> Self {
        Self::new()
    }
}

impl JobClient {
    /// Creates a client of a site whose host is [`JOB_HOST`].
    #[must_use]
    pub fn new() -> Self {
        Self {
            host: Arc::from(JOB_HOST),
            api_key: None,
            path_prefix: "/q/",
            client: Client::builder(TokioExecutor::new()).build_http(),
        }
    }

    /// Sets the host that the requests name.
    #[must_use]
    pub fn host(mut self, host: &str) -> Self {
        self.host = Arc::from(host);
        self
    }

    /// Sets the key that the requests carry.
    #[must_use]
    pub fn api_key(mut self, key: &str) -> Self {
        self.api_key = Some(Arc::from(key));
        self
    }

    /// Sets the prefix of the paths of the requests, which is that of a route.
    #[must_use]
    pub const fn path_prefix(mut self, path_prefix: &'static str) -> Self {
        self.path_prefix = path_prefix;
        self
    }

    /// Sends a request about the job `id` to a process and returns the status and body of the response.
    ///
    /// # Errors
    ///
    /// Returns the error if no complete response arrives.
    pub async fn call(
        &self,
        address: SocketAddr,
        method: Method,
        id: &str,
        body: String,
    ) -> Result<(StatusCode, Bytes)> {
        let mut request = Request::builder()
            .method(method)
            .uri(format!("http://{address}{}{id}", self.path_prefix))
            .header("host", &*self.host)
            .header("deadline-ms", "3000");
        if let Some(key) = &self.api_key {
            request = request.header("api-key", &**key);
        }
        let request = request.body(Full::new(Bytes::from(body)))?;
        let response = self.client.request(request).await?;
        let status = response.status();
        Ok((status, response.into_body().collect().await?.to_bytes()))
    }

    /// Submits a job with one step of `count` tasks, without retries.
    pub async fn submit(&self, address: SocketAddr, id: &str, count: u32) -> SubmitResult {
        let step = json!({"Count": count, "Cpu": TASK_CPU_MILLI, "MemMb": 100, "EstimateMs": 500});
        let body = json!({"Spec": "work", "Steps": [step]}).to_string();
        match self.call(address, Method::POST, id, body).await {
            Ok((StatusCode::OK, _)) => SubmitResult::Accepted,
            Ok((StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE, _)) => {
                SubmitResult::Rejected
            }
            _ => SubmitResult::Unknown,
        }
    }

    /// Returns the state of a job as a process reports it.
    ///
    /// # Errors
    ///
    /// Returns an error if the call fails, the status isn't 200, or the body has no state.
    pub async fn state(&self, address: SocketAddr, id: &str) -> Result<String> {
        let (status, body) = self.call(address, Method::GET, id, String::new()).await?;
        ensure!(
            status == StatusCode::OK,
            "state query of job {id} failed with status {status}"
        );
        let body: Value = serde_json::from_slice(&body)?;
        Ok(body["State"]
            .as_str()
            .context("response has no State field")?
            .to_owned())
    }
}

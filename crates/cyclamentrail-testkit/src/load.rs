//! Requests at a constant rate, and a check of the reported outcomes against the actual runs.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use anyhow::{Result, ensure};
use http_body_util::Full;
use hyper::{Method, Request};
use tokio::task::JoinHandle;

use crate::client::{Client, ClientResponse};
use crate::site::Site;

/// Requests at a constant rate, sent to all entries of a site in turn.
///
/// By default 100 `GET` requests a second for 3 seconds, with 5 ms of work and a deadline of 2 s.
#[derive(Debug, Clone)]
pub struct Load {
    call_id_prefix: String,
    path: String,
    method: Method,
    rate_per_s: u32,
    seconds: u32,
    deadline_ms: u64,
    class: Option<&'static str>,
    team: Option<&'static str>,
}

/// Result of one request of a load.
#[derive(Debug)]
pub struct LoadResult {
    /// Value of the request's `x-call-id` header.
    pub call_id: String,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Time from the start of the load until the request was sent.
    pub sent_after: Duration,
    /// Time from sending the request until the response was complete or the request failed.
    pub duration: Duration,
    /// Response of the entry; `None` when no complete response was received.
    pub response: Option<ClientResponse>,
}

impl Load {
    /// Creates a load with default values; the request with number `n` has the call id
    /// `{call_id_prefix}-{n}`, with `n` from 0.
    #[must_use]
    pub fn new(call_id_prefix: &str) -> Self {
        Self {
            call_id_prefix: call_id_prefix.to_owned(),
            path: String::from("checks/work?work_ms=5"),
            method: Method::GET,
            rate_per_s: 100,
            seconds: 3,
            deadline_ms: 2_000,
            class: None,
            team: None,
        }
    }

    /// Sets the path of the requests below `/v1/services/`.
    #[must_use]
    pub fn path(mut self, path: &str) -> Self {
        path.clone_into(&mut self.path);
        self
    }

    /// Sends `POST` requests, which may run at most once each.
    #[must_use]
    pub fn post(mut self) -> Self {
        self.method = Method::POST;
        self
    }

    /// Sets the number of requests a second.
    #[must_use]
    pub const fn rate_per_s(mut self, rate_per_s: u32) -> Self {
        self.rate_per_s = rate_per_s;
        self
    }

    /// Sets the duration of the load in seconds.
    #[must_use]
    pub const fn seconds(mut self, seconds: u32) -> Self {
        self.seconds = seconds;
        self
    }

    /// Sets the deadline of each request in milliseconds.
    #[must_use]
    pub const fn deadline_ms(mut self, deadline_ms: u64) -> Self {
        self.deadline_ms = deadline_ms;
        self
    }

    /// Sets the request class (header `x-request-class`).
    #[must_use]
    pub const fn class(mut self, class: &'static str) -> Self {
        self.class = Some(class);
        self
    }

    /// Sets the team that sends the requests (header `x-team`).
    #[must_use]
    pub const fn team(mut self, team: &'static str) -> Self {
        self.team = Some(team);
        self
    }

    /// Starts the load in a task of its own, which returns the results in sending order.
    ///
    /// # Errors
    ///
    /// Returns an error when an entry printed no address for callers.
    pub fn start(self, site: &Site) -> Result<JoinHandle<Vec<LoadResult>>> {
        let addresses: Result<Vec<SocketAddr>> = site
            .entries
            .iter()
            .map(|entry| entry.address("callers"))
            .collect();
        let addresses = addresses?;
        let client = site.client.clone();
        Ok(tokio::spawn(self.run(addresses, client)))
    }

    async fn run(self, addresses: Vec<SocketAddr>, client: Client) -> Vec<LoadResult> {
        let started = Instant::now();
        let mut requests = Vec::new();
        for number in 0..self.rate_per_s * self.seconds {
            let due = Duration::from_secs(u64::from(number)) / self.rate_per_s;
            tokio::time::sleep_until((started + due).into()).await;
            let address = addresses[number as usize % addresses.len()];
            let load = self.clone();
            let client = client.clone();
            requests.push(tokio::spawn(async move {
                load.send(number, address, &client, started).await
            }));
        }
        let mut results = Vec::new();
        for request in requests {
            results.extend(request.await);
        }
        results
    }

    async fn send(
        self,
        number: u32,
        address: SocketAddr,
        client: &Client,
        started: Instant,
    ) -> LoadResult {
        let call_id = format!("{}-{number}", self.call_id_prefix);
        let mut request = Request::builder()
            .method(self.method.clone())
            .uri(format!("http://{address}/v1/services/{}", self.path))
            .header("x-call-id", &call_id)
            .header("x-request-deadline-ms", self.deadline_ms);
        if let Some(class) = self.class {
            request = request.header("x-request-class", class);
        }
        if let Some(team) = self.team {
            request = request.header("x-team", team);
        }
        let sent = Instant::now();
        let response = match request.body(Full::default()) {
            Ok(request) => client.send(request).await.ok(),
            Err(_) => None,
        };
        LoadResult {
            call_id,
            idempotent: self.method == Method::GET,
            sent_after: sent - started,
            duration: sent.elapsed(),
            response,
        }
    }
}

impl LoadResult {
    /// Returns whether a backend server completed the request with status 200.
    #[must_use]
    pub fn is_success(&self) -> bool {
        self.response
            .as_ref()
            .is_some_and(|response| response.status == 200 && response.outcome == "answered")
    }

    /// Returns whether the response reports that no backend server ran the request.
    #[must_use]
    pub fn is_not_run(&self) -> bool {
        self.response
            .as_ref()
            .is_some_and(|response| response.outcome == "not-run")
    }
}

/// Counts results by status, outcome and reason; requests without response count as `no answer`.
#[must_use]
pub fn count_outcomes(results: &[LoadResult]) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    for result in results {
        let name = result.response.as_ref().map_or_else(
            || String::from("no answer"),
            |response| {
                format!(
                    "{} {} {}",
                    response.status, response.outcome, response.reason
                )
            },
        );
        *counts.entry(name).or_default() += 1;
    }
    counts
}

impl Site {
    /// Checks the outcome of each result against the runs that backend servers report, and returns
    /// the number of runs by call id; servers that don't respond are skipped.
    ///
    /// # Errors
    ///
    /// Returns an error that names the first call whose outcome contradicts its runs, that ran more
    /// than once though it may not, or that got the response to another call.
    pub async fn check_outcomes(&self, results: &[LoadResult]) -> Result<BTreeMap<String, u32>> {
        let runs = self.runs_by_call().await;
        for result in results {
            let count = runs.get(&result.call_id).copied().unwrap_or_default();
            check_outcome(result, count)?;
        }
        Ok(runs)
    }
}

fn check_outcome(result: &LoadResult, runs: u32) -> Result<()> {
    let call_id = &result.call_id;
    ensure!(
        result.idempotent || runs <= 1,
        "{call_id} may run only once and ran {runs} times"
    );
    let Some(response) = &result.response else {
        return Ok(());
    };
    match response.outcome.as_str() {
        "answered" => {
            let is_misrouted = response.status == 200 && response.call_id != *call_id;
            ensure!(
                !is_misrouted,
                "{call_id} got the response to {}",
                response.call_id
            );
        }
        "not-run" => ensure!(
            runs == 0,
            "{call_id} was reported as not run and ran {runs} times"
        ),
        "unknown" => {}
        other => anyhow::bail!("{call_id} has the unknown outcome {other:?}"),
    }
    Ok(())
}

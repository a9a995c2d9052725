//! A steady load of requests, and the check of what callers were told.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use anyhow::{Result, ensure};
use http_body_util::Full;
use hyper::{Method, Request};
use tokio::task::JoinHandle;

use crate::client::{Answer, Client};
use crate::site::Site;

/// Requests at a steady rate through all entries in turn.
#[derive(Debug, Clone)]
pub struct Load {
    mark: String,
    path: String,
    method: Method,
    rate_per_s: u32,
    seconds: u32,
    deadline_ms: u64,
    class: Option<&'static str>,
    team: Option<&'static str>,
}

/// How one request of a load ended.
#[derive(Debug)]
pub struct Ended {
    /// The caller's mark of the request.
    pub call_id: String,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// Time from the start of the load to the request.
    pub after: Duration,
    /// Time that the request took.
    pub took: Duration,
    /// The answer; `None` when the connection to the entry failed.
    pub answer: Option<Answer>,
}

impl Load {
    /// Creates a load of `GET` requests with 5 ms of work; `mark` begins each call's mark.
    #[must_use]
    pub fn new(mark: &str) -> Self {
        Self {
            mark: mark.to_owned(),
            path: String::from("checks/work?work_ms=5"),
            method: Method::GET,
            rate_per_s: 100,
            seconds: 3,
            deadline_ms: 2_000,
            class: None,
            team: None,
        }
    }

    /// Sets the path below the services.
    #[must_use]
    pub fn path(mut self, path: &str) -> Self {
        path.clone_into(&mut self.path);
        self
    }

    /// Sends requests that may run only once.
    #[must_use]
    pub fn post(mut self) -> Self {
        self.method = Method::POST;
        self
    }

    /// Sets the requests a second.
    #[must_use]
    pub const fn rate_per_s(mut self, rate_per_s: u32) -> Self {
        self.rate_per_s = rate_per_s;
        self
    }

    /// Sets the length in seconds.
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

    /// Sets the class of the requests.
    #[must_use]
    pub const fn class(mut self, class: &'static str) -> Self {
        self.class = Some(class);
        self
    }

    /// Sets the team of the requests.
    #[must_use]
    pub const fn team(mut self, team: &'static str) -> Self {
        self.team = Some(team);
        self
    }

    /// Starts the load; the handle returns how each request ended.
    ///
    /// # Errors
    ///
    /// Returns an error when an entry has no address.
    pub fn start(self, site: &Site) -> Result<JoinHandle<Vec<Ended>>> {
        let entries: Result<Vec<SocketAddr>> = site
            .entries
            .iter()
            .map(|entry| entry.address("callers"))
            .collect();
        let entries = entries?;
        let client = site.client.clone();
        Ok(tokio::spawn(self.run(entries, client)))
    }

    async fn run(self, entries: Vec<SocketAddr>, client: Client) -> Vec<Ended> {
        let started = Instant::now();
        let mut pending = Vec::new();
        for number in 0..self.rate_per_s * self.seconds {
            let due = Duration::from_secs(u64::from(number)) / self.rate_per_s;
            tokio::time::sleep_until((started + due).into()).await;
            let address = entries[number as usize % entries.len()];
            let call = self.clone();
            let client = client.clone();
            pending.push(tokio::spawn(async move {
                call.send(number, address, &client, started).await
            }));
        }
        let mut ended = Vec::new();
        for request in pending {
            ended.extend(request.await);
        }
        ended
    }

    async fn send(
        self,
        number: u32,
        address: SocketAddr,
        client: &Client,
        started: Instant,
    ) -> Ended {
        let call_id = format!("{}-{number}", self.mark);
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
        let answer = match request.body(Full::default()) {
            Ok(request) => client.send(request).await.ok(),
            Err(_) => None,
        };
        Ended {
            call_id,
            idempotent: self.method == Method::GET,
            after: sent - started,
            took: sent.elapsed(),
            answer,
        }
    }
}

impl Ended {
    /// Returns whether the whole answer of a working server came.
    #[must_use]
    pub fn is_good(&self) -> bool {
        self.answer
            .as_ref()
            .is_some_and(|answer| answer.status == 200 && answer.outcome == "answered")
    }

    /// Returns whether the caller was told that the request was not run.
    #[must_use]
    pub fn is_not_run(&self) -> bool {
        self.answer
            .as_ref()
            .is_some_and(|answer| answer.outcome == "not-run")
    }
}

/// Counts requests by their outcome and reason.
#[must_use]
pub fn tally(ended: &[Ended]) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    for request in ended {
        let name = request.answer.as_ref().map_or_else(
            || String::from("no answer"),
            |answer| format!("{} {} {}", answer.status, answer.outcome, answer.reason),
        );
        *counts.entry(name).or_default() += 1;
    }
    counts
}

impl Site {
    /// Checks what callers were told against the runs at the backend servers that still answer,
    /// and returns the runs of each call.
    ///
    /// # Errors
    ///
    /// Returns an error that names the first call that was told something untrue.
    pub async fn check_told(&self, ended: &[Ended]) -> Result<BTreeMap<String, u32>> {
        let runs = self.runs().await;
        for request in ended {
            let count = runs.get(&request.call_id).copied().unwrap_or_default();
            check_one(request, count)?;
        }
        Ok(runs)
    }
}

fn check_one(request: &Ended, runs: u32) -> Result<()> {
    let call_id = &request.call_id;
    ensure!(
        request.idempotent || runs <= 1,
        "{call_id} may run only once and ran {runs} times"
    );
    let Some(answer) = &request.answer else {
        return Ok(());
    };
    match answer.outcome.as_str() {
        "answered" => {
            let crossed = answer.status == 200 && answer.call_id != *call_id;
            ensure!(!crossed, "{call_id} got the answer of {}", answer.call_id);
        }
        "not-run" => ensure!(runs == 0, "{call_id} was told not run and ran {runs} times"),
        "unknown" => {}
        other => anyhow::bail!("{call_id} ended as {other:?}"),
    }
    Ok(())
}

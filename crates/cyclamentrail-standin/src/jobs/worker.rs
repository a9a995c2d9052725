//! Workers that run tasks under a lease.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use axum::Json;
use axum::Router;
use axum::extract::State;
use axum::http::{HeaderMap, StatusCode};
use axum::response::{IntoResponse, Response};
use axum::routing::post;
use serde::Deserialize;
use serde_json::{Value, json};
use tokio::task::JoinHandle;

use super::JobStore;
use crate::Served;

/// Longest lease in milliseconds.
const MAX_LEASE_MS: u64 = 6_000;
/// Time between two rounds of a worker.
const ROUND: Duration = Duration::from_millis(10);
/// Time between two registrations, in rounds.
const ROUNDS_PER_BEAT: u64 = 40;
/// Topic of the registrations.
const TOPIC: &str = "keyed.servers";

/// A run that a worker began.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TaskRun {
    /// Name of the task.
    pub task: String,
    /// Number of the run.
    pub run: u64,
    /// How it ended; empty while it runs.
    pub how: String,
}

/// One life of a worker; dropping it ends the life.
#[derive(Debug)]
pub struct JobWorker {
    shared: Arc<Shared>,
    served: Served,
    rounds: JoinHandle<()>,
}

#[derive(Debug)]
struct Shared {
    id: String,
    service: String,
    born_ms: u64,
    began: Instant,
    state: Mutex<Running>,
}

#[derive(Debug, Default)]
struct Running {
    runs: Vec<TaskRun>,
    ends_ms: HashMap<(String, u64), u64>,
    ended: Vec<(u64, String, u64, String)>,
    highest_token: u64,
    until_ms: u64,
    /// Time that a task takes.
    task_ms: u64,
    /// Time by which the next start is carried out late, unanswered.
    late_ms: Option<u64>,
}

impl JobWorker {
    /// Starts a worker of a service whose tasks take `task_ms`, and registers it in a store.
    ///
    /// # Errors
    ///
    /// Returns the error of binding its address.
    pub async fn start(
        store: &Arc<JobStore>,
        id: &str,
        service: &str,
        task_ms: u64,
    ) -> std::io::Result<Self> {
        let born = SystemTime::now().duration_since(UNIX_EPOCH);
        let shared = Arc::new(Shared {
            id: id.to_owned(),
            service: service.to_owned(),
            born_ms: born.map_or(0, |since| u64::try_from(since.as_millis()).unwrap_or(0)),
            began: Instant::now(),
            state: Mutex::new(Running {
                task_ms,
                ..Running::default()
            }),
        });
        let router = Router::new()
            .route("/run-start", post(start))
            .route("/run-stop", post(stop))
            .route("/hold", post(hold))
            .with_state(Arc::clone(&shared));
        let served = Served::start(SocketAddr::from(([127, 0, 0, 1], 0)), router).await?;
        let rounds = tokio::spawn(go_round(
            Arc::clone(&shared),
            Arc::clone(store),
            served.address(),
        ));
        Ok(Self {
            shared,
            served,
            rounds,
        })
    }

    /// Returns all runs that it began, in order.
    #[must_use]
    pub fn runs(&self) -> Vec<TaskRun> {
        self.shared.lock().runs.clone()
    }

    /// Leaves the next start unanswered and carries it out late.
    pub fn delay_next_start(&self, late_ms: u64) {
        self.shared.lock().late_ms = Some(late_ms);
    }

    /// Returns the address that it listens on.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.served.address()
    }
}

impl Drop for JobWorker {
    fn drop(&mut self) {
        self.rounds.abort();
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Running> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns its own clock in milliseconds.
    fn clock_ms(&self) -> u64 {
        u64::try_from(self.began.elapsed().as_millis()).unwrap_or(0)
    }

    fn is_meant(&self, headers: &HeaderMap) -> bool {
        let expected = headers.get("expect-instance");
        expected.is_none_or(|id| id.as_bytes() == self.id.as_bytes())
    }

    fn end_runs(&self) {
        let now_ms = self.clock_ms();
        let mut state = self.lock();
        let has_lapsed = state.until_ms < now_ms;
        let due: Vec<(String, u64, &str)> = state
            .ends_ms
            .iter()
            .filter_map(|((task, run), end_ms)| match () {
                () if has_lapsed => Some((task.clone(), *run, "lapsed")),
                () if *end_ms <= now_ms => Some((task.clone(), *run, "done")),
                () => None,
            })
            .collect();
        for (task, run, how) in due {
            state.end(&task, run, how);
        }
    }

    fn beat(&self, store: &JobStore, address: SocketAddr) {
        let entry = json!({
            "Service": self.service, "Address": address.to_string(), "Zone": "z",
            "Version": "v1", "Slots": 8, "State": "ready", "ColdRemainingMs": 0,
            "Capacity": {"Cpu": 16_000, "MemMb": 65_536, "Gpu": 0}, "Labels": ["a", "r1"],
            "ClockMs": self.clock_ms(), "Seq": 1, "born": self.born_ms,
        });
        store.put(TOPIC, &self.id, &entry);
    }
}

impl Running {
    fn end(&mut self, task: &str, run: u64, how: &str) {
        if self.ends_ms.remove(&(task.to_owned(), run)).is_none() {
            return;
        }
        for one in &mut self.runs {
            if one.task == task && one.run == run {
                how.clone_into(&mut one.how);
            }
        }
        let number = self.ended.last().map_or(1, |last| last.0 + 1);
        self.ended
            .push((number, task.to_owned(), run, how.to_owned()));
    }

    fn begin(&mut self, body: &StartBody, now_ms: u64) -> Result<(), &'static str> {
        if body.fencing_token < self.highest_token {
            return Err("fence");
        }
        self.highest_token = body.fencing_token;
        let key = (body.task.clone(), body.run);
        if self.ends_ms.contains_key(&key) {
            return Ok(());
        }
        if body.until_ms <= now_ms {
            return Err("late");
        }
        let is_old = |one: &TaskRun| one.task == body.task && one.run >= body.run;
        if self.runs.iter().any(is_old) {
            return Err("old");
        }
        self.until_ms = self.until_ms.max(body.until_ms.min(now_ms + MAX_LEASE_MS));
        self.ends_ms.insert(key, now_ms + self.task_ms);
        self.runs.push(TaskRun {
            task: body.task.clone(),
            run: body.run,
            how: String::new(),
        });
        Ok(())
    }
}

async fn go_round(shared: Arc<Shared>, store: Arc<JobStore>, address: SocketAddr) {
    let mut round = 0_u64;
    loop {
        if round.is_multiple_of(ROUNDS_PER_BEAT) {
            shared.beat(&store, address);
        }
        shared.end_runs();
        round += 1;
        tokio::time::sleep(ROUND).await;
    }
}

#[derive(Debug, Clone, Deserialize)]
struct StartBody {
    #[serde(rename = "Task")]
    task: String,
    #[serde(rename = "Run")]
    run: u64,
    #[serde(rename = "UntilMs", default)]
    until_ms: u64,
    #[serde(rename = "FencingToken", default)]
    fencing_token: u64,
}

async fn start(
    State(shared): State<Arc<Shared>>,
    headers: HeaderMap,
    Json(body): Json<StartBody>,
) -> Response {
    if !shared.is_meant(&headers) {
        return StatusCode::MISDIRECTED_REQUEST.into_response();
    }
    let late_ms = shared.lock().late_ms.take();
    if let Some(late_ms) = late_ms {
        // The order is carried out although its connection is long gone.
        tokio::spawn(async move {
            tokio::time::sleep(Duration::from_millis(late_ms)).await;
            let now_ms = shared.clock_ms();
            if let Err(reason) = shared.lock().begin(&body, now_ms) {
                println!("late start of {} rejected: {reason}", body.task);
            }
        });
        std::future::pending::<()>().await;
        return StatusCode::GATEWAY_TIMEOUT.into_response();
    }
    let now_ms = shared.clock_ms();
    let begun = shared.lock().begin(&body, now_ms);
    told(begun, now_ms)
}

fn told(result: Result<(), &'static str>, now_ms: u64) -> Response {
    match result {
        Ok(()) => Json(json!({"ClockMs": now_ms})).into_response(),
        Err(reason) => {
            let body = Json(json!({"ClockMs": now_ms, "Reason": reason}));
            (StatusCode::CONFLICT, body).into_response()
        }
    }
}

async fn stop(State(shared): State<Arc<Shared>>, Json(body): Json<StartBody>) -> Response {
    let now_ms = shared.clock_ms();
    let mut state = shared.lock();
    if body.fencing_token < state.highest_token {
        return told(Err("fence"), now_ms);
    }
    state.highest_token = body.fencing_token;
    state.end(&body.task, body.run, "stopped");
    told(Ok(()), now_ms)
}

#[derive(Debug, Deserialize)]
struct HoldBody {
    #[serde(rename = "UntilMs", default)]
    until_ms: u64,
    #[serde(rename = "FencingToken", default)]
    fencing_token: u64,
    #[serde(rename = "LastSeen", default)]
    last_seen: u64,
    #[serde(rename = "WaitMs", default)]
    wait_ms: u64,
}

async fn hold(
    State(shared): State<Arc<Shared>>,
    headers: HeaderMap,
    Json(body): Json<HoldBody>,
) -> Response {
    if !shared.is_meant(&headers) {
        return StatusCode::MISDIRECTED_REQUEST.into_response();
    }
    let end = Instant::now() + Duration::from_millis(body.wait_ms);
    loop {
        if let Some(answer) = hold_now(&shared, &body, Instant::now() >= end) {
            return answer;
        }
        tokio::time::sleep(ROUND).await;
    }
}

fn hold_now(shared: &Shared, body: &HoldBody, even_empty: bool) -> Option<Response> {
    let now_ms = shared.clock_ms();
    let mut state = shared.lock();
    if body.fencing_token < state.highest_token {
        return Some(told(Err("fence"), now_ms));
    }
    state.highest_token = body.fencing_token;
    let until_ms = body.until_ms.min(now_ms + MAX_LEASE_MS);
    state.until_ms = state.until_ms.max(until_ms);
    let ended: Vec<Value> = state
        .ended
        .iter()
        .filter(|row| row.0 > body.last_seen)
        .map(|(number, task, run, how)| json!([number, task, run, how, ""]))
        .collect();
    if ended.is_empty() && !even_empty {
        return None;
    }
    let running: Vec<Value> = state
        .ends_ms
        .keys()
        .map(|(task, run)| json!([task, run, "", 100, 0]))
        .collect();
    let report = json!({
        "ClockMs": now_ms, "Running": running, "Ended": ended, "born": shared.born_ms,
    });
    Some(Json(report).into_response())
}

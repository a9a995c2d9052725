//! Workers that simulate running tasks under a lease.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use axum::Json;
use axum::Router;
use axum::extract::{DefaultBodyLimit, State};
use axum::http::{HeaderMap, StatusCode};
use axum::response::{IntoResponse, Response};
use axum::routing::post;
use serde::Deserialize;
use serde_json::{Value, json};
use tokio::task::JoinHandle;

use super::{JobStore, MAX_BODY_BYTES};
use crate::Served;

/// Longest lease in milliseconds.
const MAX_LEASE_MS: u64 = 6_000;
/// Interval between two checks of a worker's runs.
const ROUND: Duration = Duration::from_millis(10);
/// Time from the start of a deadly task to its worker's crash.
const CRASH_AFTER: Duration = Duration::from_millis(10);
/// Number of further attempts to bind an address.
const BIND_ATTEMPTS: u32 = 100;
/// Interval between two registrations of a worker, in rounds.
const ROUNDS_PER_REGISTRATION: u64 = 40;
/// Topic of the workers' registrations.
const REGISTRATION_TOPIC: &str = "keyed.servers";

/// A task run that a worker began.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TaskRun {
    /// Name of the task.
    pub task: String,
    /// Number of the run; a later run of the same task has a higher one.
    pub run: u64,
    /// Result of the run: `done`, `stopped` or `lapsed` (the lease ran out); empty while running.
    pub result: String,
    /// When the run began.
    pub began: Instant,
    /// When the run ended; `None` while running.
    pub ended: Option<Instant>,
}

/// One incarnation of a worker; dropping the value ends the incarnation.
#[derive(Debug)]
pub struct JobWorker {
    shared: Arc<Shared>,
    served: Served,
    round_task: JoinHandle<()>,
}

/// State that the request handlers and the round task share.
#[derive(Debug)]
struct Shared {
    id: String,
    service: String,
    /// Start time of the incarnation, in milliseconds since the Unix epoch.
    started_ms: u64,
    /// Origin of the worker's clock.
    clock_origin: Instant,
    /// Whether the worker gives notice that it leaves.
    is_draining: AtomicBool,
    /// Whether the worker writes registrations.
    is_registering: AtomicBool,
    /// When a task crashed the worker, which doesn't respond any more.
    crashed: OnceLock<Instant>,
    state: Mutex<WorkerState>,
}

#[derive(Debug, Default)]
struct WorkerState {
    /// All runs that the worker began, in order.
    runs: Vec<TaskRun>,
    /// Running tasks by name and run number, with the times on the worker's clock at which they end.
    end_times_ms: HashMap<(String, u64), u64>,
    /// Highest run of each task that was stopped; it and earlier ones aren't started any more.
    stopped_runs: HashMap<String, u64>,
    /// Ended runs: sequence number of the end, task, run number and result.
    ended_runs: Vec<(u64, String, u64, String)>,
    /// Highest fencing token of any command or poll.
    highest_token: u64,
    /// End of the lease on the worker's clock.
    lease_until_ms: u64,
    /// End of the names of tasks that crash the worker, such as the last digit of their jobs' ids with
    /// step and index; `None` for no task.
    deadly_suffix: Option<String>,
    /// Duration of each task.
    task_ms: u64,
    /// Delay of the next start command, which gets no response.
    start_delay_ms: Option<u64>,
}

impl JobWorker {
    /// Starts a worker whose tasks take `task_ms`, and registers the worker in a store under `id`.
    ///
    /// # Errors
    ///
    /// Returns the error of binding the worker's address.
    pub async fn start(
        store: &Arc<JobStore>,
        id: &str,
        service: &str,
        task_ms: u64,
    ) -> std::io::Result<Self> {
        let address = SocketAddr::from(([127, 0, 0, 1], 0));
        let worker = Self::start_at(store, id, service, task_ms, address).await?;
        worker.register();
        Ok(worker)
    }

    /// Ends the worker and starts it again under its id and at its address. The new incarnation knows
    /// nothing of the earlier one, and isn't registered until [`Self::register`] is called.
    ///
    /// # Errors
    ///
    /// Returns the error of binding the worker's address.
    pub async fn restart(self, store: &Arc<JobStore>) -> std::io::Result<Self> {
        let address = self.address();
        let (id, service) = (self.shared.id.clone(), self.shared.service.clone());
        let (task_ms, deadly_suffix) = {
            let state = self.shared.lock();
            (state.task_ms, state.deadly_suffix.clone())
        };
        drop(self);
        let restarted = Self::start_at(store, &id, &service, task_ms, address).await?;
        restarted.shared.lock().deadly_suffix = deadly_suffix;
        Ok(restarted)
    }

    /// Lets the worker crash soon after the start of each task whose name ends like this.
    pub fn crash_on(&self, suffix: &str) {
        self.shared.lock().deadly_suffix = Some(suffix.to_owned());
    }

    /// Returns when a task crashed the worker; it stays silent until it is restarted.
    #[must_use]
    pub fn crashed(&self) -> Option<Instant> {
        self.shared.crashed.get().copied()
    }

    /// Writes registrations from now on.
    pub fn register(&self) {
        self.shared.is_registering.store(true, Ordering::Relaxed);
    }

    async fn start_at(
        store: &Arc<JobStore>,
        id: &str,
        service: &str,
        task_ms: u64,
        address: SocketAddr,
    ) -> std::io::Result<Self> {
        let started = SystemTime::now().duration_since(UNIX_EPOCH);
        let shared = Arc::new(Shared {
            id: id.to_owned(),
            service: service.to_owned(),
            started_ms: started.map_or(0, |since| u64::try_from(since.as_millis()).unwrap_or(0)),
            clock_origin: Instant::now(),
            is_draining: AtomicBool::new(false),
            is_registering: AtomicBool::new(false),
            crashed: OnceLock::new(),
            state: Mutex::new(WorkerState {
                task_ms,
                ..WorkerState::default()
            }),
        });
        let router = Router::new()
            .route("/run-start", post(start_run))
            .route("/run-stop", post(stop_run))
            .route("/hold", post(poll_worker))
            .layer(DefaultBodyLimit::max(MAX_BODY_BYTES))
            .with_state(Arc::clone(&shared));
        let served = bind(address, router).await?;
        let round_task = tokio::spawn(run_rounds(
            Arc::clone(&shared),
            Arc::clone(store),
            served.address(),
        ));
        Ok(Self {
            shared,
            served,
            round_task,
        })
    }

    /// Returns all runs that the worker began, in order.
    #[must_use]
    pub fn runs(&self) -> Vec<TaskRun> {
        self.shared.lock().runs.clone()
    }

    /// Gives notice: the worker registers as draining from now on, and still runs what is started.
    pub fn give_notice(&self) {
        self.shared.is_draining.store(true, Ordering::Relaxed);
    }

    /// Carries out the next start command after `delay_ms` and sends no response to it.
    pub fn delay_next_start(&self, delay_ms: u64) {
        self.shared.lock().start_delay_ms = Some(delay_ms);
    }

    /// Returns the address that the worker listens on.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.served.address()
    }
}

/// Starts a server at an address, which the connections of an earlier one may hold for a moment.
async fn bind(address: SocketAddr, router: Router) -> std::io::Result<Served> {
    let mut served = Served::start(address, router.clone()).await;
    for _ in 0..BIND_ATTEMPTS {
        if served.is_ok() {
            break;
        }
        tokio::time::sleep(ROUND).await;
        served = Served::start(address, router.clone()).await;
    }
    served
}

impl Drop for JobWorker {
    fn drop(&mut self) {
        self.round_task.abort();
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, WorkerState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the time on the worker's own clock, in milliseconds since its start.
    fn clock_ms(&self) -> u64 {
        u64::try_from(self.clock_origin.elapsed().as_millis()).unwrap_or(0)
    }

    /// Returns whether a request is addressed to this worker or to no particular one.
    fn is_addressee(&self, headers: &HeaderMap) -> bool {
        let expected = headers.get("expect-instance");
        expected.is_none_or(|id| id.as_bytes() == self.id.as_bytes())
    }

    /// Waits for ever if a task has crashed the worker.
    async fn fail_if_crashed(&self) {
        if self.crashed.get().is_some() {
            std::future::pending::<()>().await;
        }
    }

    /// Crashes the worker after a moment if a task that has started is deadly.
    fn crash_by(self: &Arc<Self>, task: &str) {
        let is_deadly = |suffix: &String| task.ends_with(suffix.as_str());
        if !self.lock().deadly_suffix.as_ref().is_some_and(is_deadly) {
            return;
        }
        let shared = Arc::clone(self);
        tokio::spawn(async move {
            tokio::time::sleep(CRASH_AFTER).await;
            shared.crashed.get_or_init(Instant::now);
        });
    }

    /// Ends all runs if the lease has run out, otherwise those whose time is over.
    fn end_due_runs(&self) {
        let now_ms = self.clock_ms();
        let mut state = self.lock();
        let has_lapsed = state.lease_until_ms < now_ms;
        let due: Vec<(String, u64, &str)> = state
            .end_times_ms
            .iter()
            .filter_map(|((task, run), end_time_ms)| match () {
                () if has_lapsed => Some((task.clone(), *run, "lapsed")),
                () if *end_time_ms <= now_ms => Some((task.clone(), *run, "done")),
                () => None,
            })
            .collect();
        for (task, run, result) in due {
            state.end_run(&task, run, result);
        }
    }

    fn register(&self, store: &JobStore, address: SocketAddr) {
        let is_draining = self.is_draining.load(Ordering::Relaxed);
        let state = if is_draining { "draining" } else { "ready" };
        let entry = json!({
            "Service": self.service, "Address": address.to_string(), "Zone": "z",
            "Version": "v1", "Slots": 8, "State": state, "ColdRemainingMs": 0,
            "Capacity": {"Cpu": 16_000, "MemMb": 65_536, "Gpu": 0}, "Labels": ["a", "r1"],
            "ClockMs": self.clock_ms(), "Seq": 1, "born": self.started_ms,
        });
        store.put(REGISTRATION_TOPIC, &self.id, &entry);
    }
}

impl WorkerState {
    /// Ends a run with a result; does nothing if the run has ended already.
    fn end_run(&mut self, task: &str, run: u64, result: &str) {
        if self.end_times_ms.remove(&(task.to_owned(), run)).is_none() {
            return;
        }
        for known in &mut self.runs {
            if known.task == task && known.run == run {
                result.clone_into(&mut known.result);
                known.ended = Some(Instant::now());
            }
        }
        let number = self.ended_runs.last().map_or(1, |last| last.0 + 1);
        self.ended_runs
            .push((number, task.to_owned(), run, result.to_owned()));
    }

    /// Begins a run and extends the lease.
    ///
    /// Returns the reason of a rejection: `fence` for an outdated fencing token, `late` for a lease
    /// end in the past, `old` if the task has had this run or a later one.
    fn begin_run(&mut self, body: &CommandBody, now_ms: u64) -> Result<(), &'static str> {
        if body.fencing_token < self.highest_token {
            return Err("fence");
        }
        self.highest_token = body.fencing_token;
        let key = (body.task.clone(), body.run);
        if self.end_times_ms.contains_key(&key) {
            return Ok(());
        }
        if body.until_ms <= now_ms {
            return Err("late");
        }
        let is_superseded = |known: &TaskRun| known.task == body.task && known.run >= body.run;
        let stopped = self.stopped_runs.get(&body.task).copied();
        if self.runs.iter().any(is_superseded) || stopped.is_some_and(|run| run >= body.run) {
            return Err("old");
        }
        self.lease_until_ms = self
            .lease_until_ms
            .max(body.until_ms.min(now_ms + MAX_LEASE_MS));
        self.end_times_ms.insert(key, now_ms + self.task_ms);
        self.runs.push(TaskRun {
            task: body.task.clone(),
            run: body.run,
            result: String::new(),
            began: Instant::now(),
            ended: None,
        });
        Ok(())
    }
}

/// Ends the runs that are due and registers the worker, until the task is aborted.
async fn run_rounds(shared: Arc<Shared>, store: Arc<JobStore>, address: SocketAddr) {
    let mut until_registration = 0_u64;
    while shared.crashed.get().is_none() {
        if until_registration == 0 && shared.is_registering.load(Ordering::Relaxed) {
            shared.register(&store, address);
            until_registration = ROUNDS_PER_REGISTRATION;
        }
        shared.end_due_runs();
        until_registration = until_registration.saturating_sub(1);
        tokio::time::sleep(ROUND).await;
    }
}

/// Body of a start or stop command.
#[derive(Debug, Clone, Deserialize)]
struct CommandBody {
    #[serde(rename = "Task")]
    task: String,
    #[serde(rename = "Run")]
    run: u64,
    #[serde(rename = "UntilMs", default)]
    until_ms: u64,
    #[serde(rename = "FencingToken", default)]
    fencing_token: u64,
}

async fn start_run(
    State(shared): State<Arc<Shared>>,
    headers: HeaderMap,
    Json(body): Json<CommandBody>,
) -> Response {
    shared.fail_if_crashed().await;
    if !shared.is_addressee(&headers) {
        return StatusCode::MISDIRECTED_REQUEST.into_response();
    }
    let delay_ms = shared.lock().start_delay_ms.take();
    if let Some(delay_ms) = delay_ms {
        // The command is carried out although the caller closed the connection long before.
        tokio::spawn(async move {
            tokio::time::sleep(Duration::from_millis(delay_ms)).await;
            let now_ms = shared.clock_ms();
            if let Err(reason) = shared.lock().begin_run(&body, now_ms) {
                println!("delayed start of task {} rejected: {reason}", body.task);
            }
        });
        std::future::pending::<()>().await;
        return StatusCode::GATEWAY_TIMEOUT.into_response();
    }
    let now_ms = shared.clock_ms();
    let result = shared.lock().begin_run(&body, now_ms);
    if result.is_ok() {
        shared.crash_by(&body.task);
    }
    command_response(result, now_ms)
}

/// Returns the response to a command that was carried out or rejected.
fn command_response(result: Result<(), &'static str>, now_ms: u64) -> Response {
    match result {
        Ok(()) => Json(json!({"ClockMs": now_ms})).into_response(),
        Err(reason) => {
            let body = Json(json!({"ClockMs": now_ms, "Reason": reason}));
            (StatusCode::CONFLICT, body).into_response()
        }
    }
}

async fn stop_run(
    State(shared): State<Arc<Shared>>,
    headers: HeaderMap,
    Json(body): Json<CommandBody>,
) -> Response {
    shared.fail_if_crashed().await;
    if !shared.is_addressee(&headers) {
        return StatusCode::MISDIRECTED_REQUEST.into_response();
    }
    let now_ms = shared.clock_ms();
    let mut state = shared.lock();
    if body.fencing_token < state.highest_token {
        return command_response(Err("fence"), now_ms);
    }
    state.highest_token = body.fencing_token;
    state.end_run(&body.task, body.run, "stopped");
    let stopped = state.stopped_runs.entry(body.task).or_default();
    *stopped = (*stopped).max(body.run);
    command_response(Ok(()), now_ms)
}

/// Body of a worker poll.
#[derive(Debug, Deserialize)]
struct PollBody {
    #[serde(rename = "UntilMs", default)]
    until_ms: u64,
    #[serde(rename = "FencingToken", default)]
    fencing_token: u64,
    /// Sequence number of the last ended run that the caller knows.
    #[serde(rename = "LastSeen", default)]
    last_seen: u64,
    #[serde(rename = "WaitMs", default)]
    wait_ms: u64,
}

/// Renews the lease and reports running tasks and newly ended runs.
///
/// Waits up to `wait_ms` while no run has ended since the last poll.
async fn poll_worker(
    State(shared): State<Arc<Shared>>,
    headers: HeaderMap,
    Json(body): Json<PollBody>,
) -> Response {
    shared.fail_if_crashed().await;
    if !shared.is_addressee(&headers) {
        return StatusCode::MISDIRECTED_REQUEST.into_response();
    }
    let deadline = Instant::now() + Duration::from_millis(body.wait_ms);
    loop {
        shared.fail_if_crashed().await;
        if let Some(response) = poll_response(&shared, &body, Instant::now() >= deadline) {
            return response;
        }
        tokio::time::sleep(ROUND).await;
    }
}

/// Returns the response to a poll, or nothing while no run has ended and the wait isn't over.
fn poll_response(shared: &Shared, body: &PollBody, is_wait_over: bool) -> Option<Response> {
    let now_ms = shared.clock_ms();
    let mut state = shared.lock();
    if body.fencing_token < state.highest_token {
        return Some(command_response(Err("fence"), now_ms));
    }
    state.highest_token = body.fencing_token;
    let until_ms = body.until_ms.min(now_ms + MAX_LEASE_MS);
    state.lease_until_ms = state.lease_until_ms.max(until_ms);
    let ended: Vec<Value> = state
        .ended_runs
        .iter()
        .filter(|ended| ended.0 > body.last_seen)
        .map(|(number, task, run, result)| json!([number, task, run, result, ""]))
        .collect();
    if ended.is_empty() && !is_wait_over {
        return None;
    }
    let running: Vec<Value> = state
        .end_times_ms
        .keys()
        .map(|(task, run)| json!([task, run, "", 100, 0]))
        .collect();
    let report = json!({
        "ClockMs": now_ms, "Running": running, "Ended": ended, "born": shared.started_ms,
    });
    Some(Json(report).into_response())
}

//! Workers that simulate running tasks under a lease.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use axum::Json;
use axum::Router;
use axum::extract::State;
use axum::http::{HeaderMap, StatusCode};
use axum::response::{IntoResponse, Response};
use axum::routing::post;
use serde_json::{Value, json};
use tokio::task::JoinHandle;

use self::calls::{Call, CommandBody, PollBody};
use self::incarnations::Incarnations;
use super::JobStore;
use crate::Served;

mod calls;
mod incarnations;

pub use self::calls::CallKind;
pub use self::incarnations::LateCall;

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
    /// When its start command arrived.
    pub requested: Instant,
    /// When the run began; later than `requested` if the command was carried out late.
    pub began: Instant,
    /// When the run ended; `None` while running.
    pub ended: Option<Instant>,
    /// When an owner acknowledged the end.
    pub acknowledged: Option<Instant>,
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
    incarnations: Arc<Incarnations>,
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
    /// Sequence number of the last end.
    last_end: u64,
    /// Ended runs that no poll has acknowledged: sequence number of the end, task, run number and result.
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
    /// Delays of the next call of each kind, which gets no response.
    delays_ms: HashMap<CallKind, u64>,
    /// Delay of all calls, which get no response.
    all_delay_ms: Option<u64>,
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
        let incarnations = Arc::default();
        let worker = Self::start_at(store, (id, service), task_ms, address, incarnations).await?;
        worker.register();
        Ok(worker)
    }

    /// Ends the worker and starts it again under its id and at its address. The new incarnation knows
    /// nothing of the earlier one, and isn't registered until [`Self::register`] is called. Calls to the
    /// earlier one that are late are carried out by the new one; a cut goes on.
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
        let incarnations = Arc::clone(&self.shared.incarnations);
        drop(self);
        let names = (id.as_str(), service.as_str());
        let restarted = Self::start_at(store, names, task_ms, address, incarnations).await?;
        restarted.shared.lock().deadly_suffix = deadly_suffix;
        Ok(restarted)
    }

    /// Lets the worker crash soon after the start of each task whose name ends like this.
    pub fn crash_on(&self, suffix: &str) {
        self.shared.lock().deadly_suffix = Some(suffix.to_owned());
    }

    /// Crashes the worker.
    pub fn crash(&self) {
        self.shared.crashed.get_or_init(Instant::now);
    }

    /// Returns when the worker crashed; it stays silent until it is restarted.
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
        (id, service): (&str, &str),
        task_ms: u64,
        address: SocketAddr,
        incarnations: Arc<Incarnations>,
    ) -> std::io::Result<Self> {
        let started = SystemTime::now().duration_since(UNIX_EPOCH);
        let shared = Arc::new(Shared {
            id: id.to_owned(),
            service: service.to_owned(),
            incarnations,
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
            .route("/pace", post(set_share))
            .route("/hold", post(poll_worker))
            .with_state(Arc::clone(&shared));
        let served = bind(address, router).await?;
        shared.incarnations.begin(&shared);
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
        self.delay_next(CallKind::Start, delay_ms);
    }

    /// Sends no response to the next call of a kind; after `delay_ms` it is carried out by the incarnation
    /// that runs then.
    pub fn delay_next(&self, kind: CallKind, delay_ms: u64) {
        self.shared.lock().delays_ms.insert(kind, delay_ms);
    }

    /// Sends no response to any call from now on; after `delay_ms` each is carried out by the incarnation
    /// that runs then.
    pub fn delay_all(&self, delay_ms: u64) {
        self.shared.lock().all_delay_ms = Some(delay_ms);
    }

    /// Returns whether the call that [`Self::delay_next`] is meant for hasn't arrived yet.
    #[must_use]
    pub fn is_delay_pending(&self, kind: CallKind) -> bool {
        self.shared.lock().delays_ms.contains_key(&kind)
    }

    /// Returns the late calls to any incarnation of the worker that were carried out, in order.
    #[must_use]
    pub fn late_calls(&self) -> Vec<LateCall> {
        self.shared.incarnations.late_calls()
    }

    /// With `true`, no call reaches the worker or gets a response, while it goes on and registers.
    pub fn set_cut(&self, is_cut: bool) {
        self.shared.incarnations.set_cut(is_cut);
    }

    /// Returns whether nothing runs on the worker.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.shared.lock().end_times_ms.is_empty()
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
        self.shared.incarnations.end();
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

    /// Waits for ever if the worker has crashed or is cut off.
    async fn wait_if_unreachable(&self) {
        if self.crashed.get().is_some() || self.incarnations.is_cut() {
            std::future::pending::<()>().await;
        }
    }

    /// Receives a call, which waits for ever if it is to be late; returns whether the worker is its
    /// addressee.
    async fn receive(&self, headers: &HeaderMap, call: &Call) -> bool {
        self.wait_if_unreachable().await;
        if !self.is_addressee(headers) {
            return false;
        }
        let delay_ms = self.lock().take_delay(call.kind());
        if let Some(delay_ms) = delay_ms {
            let (incarnations, call) = (Arc::clone(&self.incarnations), call.clone());
            let (sent_to, delay) = (self.started_ms, Duration::from_millis(delay_ms));
            tokio::spawn(async move { incarnations.carry_out_late(call, sent_to, delay).await });
            std::future::pending::<()>().await;
        }
        true
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
    /// Returns the delay of a call that has arrived; `None` if it isn't late.
    fn take_delay(&mut self, kind: CallKind) -> Option<u64> {
        self.delays_ms.remove(&kind).or(self.all_delay_ms)
    }

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
        self.last_end += 1;
        self.ended_runs
            .push((self.last_end, task.to_owned(), run, result.to_owned()));
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

async fn start_run(
    State(shared): State<Arc<Shared>>,
    headers: HeaderMap,
    Json(body): Json<CommandBody>,
) -> Response {
    let task = body.task.clone();
    let response = take_command(&shared, &headers, Call::Start(body)).await;
    if response.status() == StatusCode::OK {
        shared.crash_by(&task);
    }
    response
}

async fn stop_run(
    State(shared): State<Arc<Shared>>,
    headers: HeaderMap,
    Json(body): Json<CommandBody>,
) -> Response {
    take_command(&shared, &headers, Call::Stop(body)).await
}

async fn set_share(
    State(shared): State<Arc<Shared>>,
    headers: HeaderMap,
    Json(body): Json<CommandBody>,
) -> Response {
    take_command(&shared, &headers, Call::Share(body)).await
}

/// Receives a command and carries it out.
async fn take_command(shared: &Shared, headers: &HeaderMap, call: Call) -> Response {
    if !shared.receive(headers, &call).await {
        return StatusCode::MISDIRECTED_REQUEST.into_response();
    }
    let now_ms = shared.clock_ms();
    let result = shared.lock().carry_out(&call, now_ms, Instant::now());
    command_response(result, now_ms)
}

/// Returns the response to a call that was carried out or rejected.
fn command_response(result: Result<(), &'static str>, now_ms: u64) -> Response {
    match result {
        Ok(()) => Json(json!({"ClockMs": now_ms})).into_response(),
        Err(reason) => {
            let body = Json(json!({"ClockMs": now_ms, "Reason": reason}));
            (StatusCode::CONFLICT, body).into_response()
        }
    }
}

/// Renews the lease and reports running tasks and newly ended runs.
///
/// Waits up to `wait_ms` while no run has ended since the last poll.
async fn poll_worker(
    State(shared): State<Arc<Shared>>,
    headers: HeaderMap,
    Json(body): Json<PollBody>,
) -> Response {
    let (token, wait_ms) = (body.fencing_token, body.wait_ms);
    let call = Call::Poll(body);
    if !shared.receive(&headers, &call).await {
        return StatusCode::MISDIRECTED_REQUEST.into_response();
    }
    let now_ms = shared.clock_ms();
    let result = shared.lock().carry_out(&call, now_ms, Instant::now());
    if result.is_err() {
        return command_response(result, now_ms);
    }
    let deadline = Instant::now() + Duration::from_millis(wait_ms);
    loop {
        shared.wait_if_unreachable().await;
        if let Some(response) = poll_response(&shared, token, Instant::now() >= deadline) {
            return response;
        }
        tokio::time::sleep(ROUND).await;
    }
}

/// Returns the response to a poll, or nothing while no run has ended and the wait isn't over.
fn poll_response(shared: &Shared, token: u64, is_wait_over: bool) -> Option<Response> {
    let now_ms = shared.clock_ms();
    let state = shared.lock();
    if token < state.highest_token {
        return Some(command_response(Err("fence"), now_ms));
    }
    if state.ended_runs.is_empty() && !is_wait_over {
        return None;
    }
    let ended = state.ended_runs.iter();
    let ended = ended.map(|(number, task, run, result)| json!([number, task, run, result, ""]));
    let running = state.end_times_ms.keys();
    let running = running.map(|(task, run)| json!([task, run, "", 100, 0]));
    let report = json!({
        "ClockMs": now_ms, "Running": running.collect::<Vec<Value>>(),
        "Ended": ended.collect::<Vec<Value>>(), "born": shared.started_ms,
    });
    Some(Json(report).into_response())
}

//! Workers that run tasks as PROTOCOL.md says, all of one site in this process.
//!
//! The text of a job (`Spec`) tells how its tasks behave: `work MS` ends `done` after that time, `lasts`
//! goes on until it is stopped, `gang N MS` works once all N members of a run are there.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use axum::extract::State;
use axum::http::{HeaderMap, StatusCode};
use axum::response::{IntoResponse, Response};
use axum::routing::post;
use axum::{Json, Router};
use cyclamentrail_standin::{JobStore, Served};
use serde_json::{Value, json};
use tokio::sync::Notify;

use crate::record::Record;

/// Longest lease, `HoldMaxMs`.
pub const HOLD_MAX_MS: u64 = 6_000;
/// Time that a member of a gang waits for the others, `GangMs`.
const GANG_MS: u64 = 3_000;
/// Time between two heartbeats, `HeartbeatMs`.
const HEARTBEAT: Duration = Duration::from_millis(1_500);
/// Time that a stop takes; at most `StopMs`, which is 900.
const STOP: Duration = Duration::from_millis(100);
/// Time for which a run works on a worker that fails all that it starts.
const FAIL_AFTER: Duration = Duration::from_millis(40);
/// Time from the start of a task that lasts until it is at work.
const STARTUP: Duration = Duration::from_millis(300);
/// Most ends in one response.
const ENDS_PER_REPORT: usize = 500;

/// What a worker has.
#[derive(Debug, Clone)]
pub struct Kind {
    pub id: String,
    pub service: String,
    pub labels: Vec<String>,
    pub cpu: u64,
    pub mem_mb: u64,
}

/// How a task behaves.
#[derive(Debug, Clone, Copy)]
enum Behaviour {
    Work(u64),
    Lasts,
    Gang { count: usize, work_ms: u64 },
}

impl Behaviour {
    fn parse(text: &str) -> Self {
        let words: Vec<&str> = text.split_whitespace().collect();
        let number = |index: usize| {
            words
                .get(index)
                .and_then(|word| word.parse().ok())
                .unwrap_or(1_000)
        };
        match words.first() {
            Some(&"lasts") => Self::Lasts,
            Some(&"gang") => Self::Gang {
                count: number(1) as usize,
                work_ms: number(2),
            },
            _ => Self::Work(number(1)),
        }
    }
}

#[derive(Debug, Clone)]
struct Run {
    began: Instant,
    /// Since when the run works; a member of a gang waits for the others before.
    works_since: Option<Instant>,
    stopping: Option<Instant>,
    /// Whether the worker fails it.
    fails: bool,
    behaviour: Behaviour,
}

/// One worker with its present incarnation.
struct Worker {
    kind: Kind,
    address: SocketAddr,
    /// The server; none while the worker is down.
    served: Option<Served>,
    born_ms: u64,
    clock_origin: Instant,
    sequence: u64,
    highest_token: u64,
    lease_until_ms: u64,
    running: BTreeMap<(String, u64), Run>,
    ended: Vec<(u64, String, u64, &'static str)>,
    last_end: u64,
    /// Highest run of each task that was stopped or ended here.
    past_runs: HashMap<String, u64>,
    /// Whether every run that begins fails.
    fails_all: bool,
    /// Delay with which the next start is carried out, by whatever incarnation runs then; it gets no
    /// response.
    late_start: Option<Duration>,
    /// Whether the worker is cut off: calls get no response and aren't carried out.
    is_cut: bool,
    down_since: Option<Instant>,
    is_listed: bool,
}

impl Worker {
    fn clock_ms(&self) -> u64 {
        self.clock_origin.elapsed().as_millis() as u64
    }

    fn end(&mut self, key: &(String, u64), how: &'static str) {
        if self.running.remove(key).is_some() {
            self.last_end += 1;
            self.ended.push((self.last_end, key.0.clone(), key.1, how));
            let past = self.past_runs.entry(key.0.clone()).or_default();
            *past = (*past).max(key.1);
        }
    }
}

/// An end of a run, as the workers saw it.
#[derive(Debug, Clone)]
pub struct End {
    pub task: String,
    pub run: u64,
    pub how: &'static str,
}

/// All workers of a site.
pub struct Workers {
    workers: Mutex<Vec<Worker>>,
    /// Every end, those that were lost with their worker among them (`lost`).
    ends: Mutex<Vec<End>>,
    /// Every start that was carried out: task and run.
    starts: Mutex<Vec<(String, u64)>>,
    /// Worker whose start was left unanswered.
    delayed: Mutex<Option<usize>>,
    changed: Notify,
    store: Arc<JobStore>,
    record: Arc<Record>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |time| time.as_millis() as u64)
}

/// Returns job, occurrence and step of a task.
fn step_of(task: &str) -> &str {
    task.rsplit_once('.').map_or(task, |(step, _)| step)
}

/// Returns the job of a task.
pub fn job_of(task: &str) -> &str {
    task.split('.').next().unwrap_or(task)
}

impl Workers {
    pub async fn start(
        kinds: Vec<Kind>,
        store: &Arc<JobStore>,
        record: &Arc<Record>,
    ) -> std::io::Result<Arc<Self>> {
        let all = Arc::new(Self {
            workers: Mutex::new(Vec::new()),
            ends: Mutex::new(Vec::new()),
            starts: Mutex::new(Vec::new()),
            delayed: Mutex::new(None),
            changed: Notify::new(),
            store: Arc::clone(store),
            record: Arc::clone(record),
        });
        for (index, kind) in kinds.into_iter().enumerate() {
            let served =
                Served::start(SocketAddr::from(([127, 0, 0, 1], 0)), all.router(index)).await?;
            lock(&all.workers).push(Worker {
                kind,
                address: served.address(),
                served: Some(served),
                born_ms: unix_ms(),
                clock_origin: Instant::now(),
                sequence: 0,
                highest_token: 0,
                lease_until_ms: 0,
                running: BTreeMap::new(),
                ended: Vec::new(),
                last_end: 0,
                past_runs: HashMap::new(),
                fails_all: false,
                late_start: None,
                is_cut: false,
                down_since: None,
                is_listed: true,
            });
        }
        tokio::spawn(Arc::clone(&all).work());
        tokio::spawn(Arc::clone(&all).beat());
        Ok(all)
    }

    fn router(self: &Arc<Self>, index: usize) -> Router {
        Router::new()
            .route("/run-start", post(run_start))
            .route("/run-stop", post(run_stop))
            .route("/hold", post(hold))
            .route("/pace", post(pace))
            .with_state((Arc::clone(self), index))
    }

    pub fn count(&self) -> usize {
        lock(&self.workers).len()
    }

    pub fn is_up(&self, index: usize) -> bool {
        lock(&self.workers)[index].served.is_some()
    }

    /// Ends a worker's process: its connections break, and what ran there is lost.
    pub fn crash(&self, index: usize) {
        let mut workers = lock(&self.workers);
        let worker = &mut workers[index];
        worker.served = None;
        worker.down_since = Some(Instant::now());
        let lost = std::mem::take(&mut worker.running);
        let id = worker.kind.id.clone();
        drop(workers);
        self.record
            .line(&format!("worker {id} crashes with {} runs", lost.len()));
        for (task, run) in lost.into_keys() {
            self.record
                .line(&format!("run {task} #{run} on {id}: lost with its worker"));
            lock(&self.ends).push(End {
                task,
                run,
                how: "lost",
            });
        }
    }

    /// Starts a worker again under its id and at its address; it knows nothing of before.
    pub async fn restart(self: &Arc<Self>, index: usize) -> std::io::Result<()> {
        let address = lock(&self.workers)[index].address;
        let served = Served::start(address, self.router(index)).await?;
        {
            let mut workers = lock(&self.workers);
            let worker = &mut workers[index];
            worker.served = Some(served);
            worker.born_ms = unix_ms();
            worker.clock_origin = Instant::now();
            worker.sequence = 0;
            worker.highest_token = 0;
            worker.lease_until_ms = 0;
            worker.ended.clear();
            worker.last_end = 0;
            worker.past_runs.clear();
            worker.down_since = None;
            self.record
                .line(&format!("worker {} is up again", worker.kind.id));
        }
        self.register(index);
        Ok(())
    }

    /// Starts a new worker on the machine of one that has ended, under another id.
    pub async fn renew(self: &Arc<Self>, index: usize) -> std::io::Result<()> {
        let earlier = {
            let mut workers = lock(&self.workers);
            let id = &mut workers[index].kind.id;
            let earlier = id.clone();
            id.push('n');
            earlier
        };
        self.store.put("keyed.servers", &earlier, &Value::Null);
        self.restart(index).await
    }

    /// Sets whether every run that begins on a worker fails.
    pub fn set_failing(&self, index: usize, fails_all: bool) {
        let mut workers = lock(&self.workers);
        workers[index].fails_all = fails_all;
        let id = workers[index].kind.id.clone();
        drop(workers);
        self.record.line(&format!(
            "worker {id} fails all that it starts: {fails_all}"
        ));
    }

    /// Leaves the next start on any worker unanswered, and carries it out late.
    pub fn delay_next_start(&self, delay: Duration) {
        for worker in lock(&self.workers).iter_mut() {
            worker.late_start = Some(delay);
        }
    }

    /// Ends the wait for a start to be delayed.
    pub fn delay_no_start(&self) {
        for worker in lock(&self.workers).iter_mut() {
            worker.late_start = None;
        }
    }

    /// Cuts a worker off from the machines of the system and from the store, or ends that.
    pub fn set_cut(&self, index: usize, is_cut: bool) {
        let mut workers = lock(&self.workers);
        workers[index].is_cut = is_cut;
        let id = workers[index].kind.id.clone();
        drop(workers);
        let word = if is_cut {
            "is cut off"
        } else {
            "is reached again"
        };
        self.record.line(&format!("worker {id} {word}"));
    }

    /// Returns the worker whose start was left unanswered.
    pub fn delayed(&self) -> Option<usize> {
        *lock(&self.delayed)
    }

    /// Returns the runs that are on workers that are up: worker, task and run.
    pub fn running(&self) -> Vec<(String, String, u64)> {
        let workers = lock(&self.workers);
        let up = workers.iter().filter(|worker| worker.served.is_some());
        up.flat_map(|worker| {
            let id = worker.kind.id.clone();
            worker
                .running
                .keys()
                .map(move |(task, run)| (id.clone(), task.clone(), *run))
        })
        .collect()
    }

    pub fn register_all(&self) {
        for index in 0..self.count() {
            self.register(index);
        }
    }

    fn register(&self, index: usize) {
        let mut workers = lock(&self.workers);
        let worker = &mut workers[index];
        if worker.is_cut {
            return;
        }
        worker.sequence += 1;
        worker.is_listed = true;
        let value = json!({
            "Service": worker.kind.service, "Address": worker.address.to_string(), "Zone": "zone-a",
            "Version": "v1", "Slots": 8, "State": "ready", "ColdRemainingMs": 0,
            "Capacity": {"Cpu": worker.kind.cpu, "MemMb": worker.kind.mem_mb, "Gpu": 0},
            "Labels": worker.kind.labels, "ClockMs": worker.clock_ms(), "Seq": worker.sequence,
            "born": worker.born_ms,
        });
        let id = worker.kind.id.clone();
        drop(workers);
        self.store.put("keyed.servers", &id, &value);
    }

    /// Writes the heartbeats, and removes the entries of workers that have been silent for three.
    async fn beat(self: Arc<Self>) {
        loop {
            tokio::time::sleep(HEARTBEAT).await;
            for index in 0..self.count() {
                if self.is_up(index) {
                    self.register(index);
                    continue;
                }
                let mut workers = lock(&self.workers);
                let worker = &mut workers[index];
                let is_silent = worker
                    .down_since
                    .is_some_and(|since| since.elapsed() > 3 * HEARTBEAT);
                let is_removed = is_silent && worker.is_listed;
                worker.is_listed &= !is_removed;
                let id = worker.kind.id.clone();
                drop(workers);
                if is_removed {
                    self.store.put("keyed.servers", &id, &Value::Null);
                }
            }
        }
    }

    /// Lets time pass for all runs.
    async fn work(self: Arc<Self>) {
        loop {
            tokio::time::sleep(Duration::from_millis(10)).await;
            let ends = self.pass();
            if ends > 0 {
                self.changed.notify_waiters();
            }
        }
    }

    fn pass(&self) -> usize {
        let now = Instant::now();
        let mut workers = lock(&self.workers);
        self.assemble_gangs(&mut workers, now);
        let mut ended = Vec::new();
        for worker in workers.iter_mut().filter(|worker| worker.served.is_some()) {
            let has_lapsed = worker.clock_ms() > worker.lease_until_ms;
            let mut over = Vec::new();
            for (key, run) in &worker.running {
                let how = match (run.stopping, run.behaviour) {
                    _ if has_lapsed => Some("lapsed"),
                    (Some(since), _) => (now >= since + STOP).then_some("stopped"),
                    _ if run.fails
                        && run
                            .works_since
                            .is_some_and(|since| now >= since + FAIL_AFTER) =>
                    {
                        Some("failed")
                    }
                    (None, Behaviour::Work(ms) | Behaviour::Gang { work_ms: ms, .. }) => run
                        .works_since
                        .is_some_and(|since| now >= since + Duration::from_millis(ms))
                        .then_some("done"),
                    (None, Behaviour::Lasts) => None,
                };
                let is_gang = matches!(run.behaviour, Behaviour::Gang { .. });
                let is_alone = is_gang
                    && run.works_since.is_none()
                    && now >= run.began + Duration::from_millis(GANG_MS);
                if let Some(how) = how.or(is_alone.then_some("alone")) {
                    over.push((key.clone(), how, is_gang));
                }
            }
            for (key, how, is_gang) in over {
                worker.end(&key, how);
                ended.push((key.0, key.1, how, is_gang, worker.kind.id.clone()));
            }
        }
        let broken: Vec<(String, u64)> = ended
            .iter()
            .filter(|end| end.3 && end.2 != "done")
            .map(|end| (step_of(&end.0).to_owned(), end.1))
            .collect();
        for worker in workers.iter_mut().filter(|worker| worker.served.is_some()) {
            let members: Vec<(String, u64)> = worker
                .running
                .keys()
                .filter(|(task, run)| broken.contains(&(step_of(task).to_owned(), *run)))
                .cloned()
                .collect();
            for key in members {
                worker.end(&key, "broken");
                ended.push((key.0, key.1, "broken", true, worker.kind.id.clone()));
            }
        }
        drop(workers);
        for (task, run, how, _, worker) in &ended {
            self.record
                .line(&format!("run {task} #{run} on {worker}: {how}"));
            lock(&self.ends).push(End {
                task: task.clone(),
                run: *run,
                how,
            });
        }
        ended.len()
    }

    /// Lets the gangs work whose members are all there.
    fn assemble_gangs(&self, workers: &mut [Worker], now: Instant) {
        let mut present: HashMap<(String, u64), usize> = HashMap::new();
        let up = || workers.iter().filter(|worker| worker.served.is_some());
        for (task, run) in up().flat_map(|worker| worker.running.keys()) {
            *present.entry((step_of(task).to_owned(), *run)).or_default() += 1;
        }
        for worker in workers.iter_mut() {
            for ((task, run), entry) in &mut worker.running {
                if let Behaviour::Gang { count, .. } = entry.behaviour
                    && entry.works_since.is_none()
                    && present.get(&(step_of(task).to_owned(), *run)) >= Some(&count)
                {
                    entry.works_since = Some(now);
                }
            }
        }
    }

    /// Returns the machines as the machine service lists them.
    pub fn machines(&self) -> Vec<Value> {
        let workers = lock(&self.workers);
        let entry = |(index, worker): (usize, &Worker)| {
            let kind = &worker.kind;
            let is_up = worker.served.is_some();
            json!({
                "Machine": format!("m-{index}"), "Pool": kind.service,
                "State": if is_up { "up" } else { "down" }, "Zone": "zone-a", "Labels": kind.labels,
                "Capacity": {"Cpu": kind.cpu, "MemMb": kind.mem_mb, "Gpu": 0},
                "Id": is_up.then_some(&kind.id),
            })
        };
        workers.iter().enumerate().map(entry).collect()
    }

    /// Returns the ends of a job's runs.
    pub fn ends_of(&self, job: &str) -> Vec<End> {
        lock(&self.ends)
            .iter()
            .filter(|end| job_of(&end.task) == job)
            .cloned()
            .collect()
    }

    /// Waits forever if a worker is cut off.
    async fn wait_unless_cut(&self, index: usize) {
        if lock(&self.workers)[index].is_cut {
            std::future::pending::<()>().await;
        }
    }

    /// Returns the number of a job's runs that workers began.
    pub fn starts_of(&self, job: &str) -> usize {
        lock(&self.starts)
            .iter()
            .filter(|(task, _)| job_of(task) == job)
            .count()
    }

    /// Returns whether a worker runs a task of a job.
    pub fn runs(&self, job: &str) -> bool {
        let workers = lock(&self.workers);
        workers
            .iter()
            .any(|worker| worker.running.keys().any(|(task, _)| job_of(task) == job))
    }

    /// Returns the number of a job's runs that are on workers.
    pub fn tasks(&self, job: &str) -> usize {
        let workers = lock(&self.workers);
        let running = workers.iter().flat_map(|worker| worker.running.keys());
        running.filter(|(task, _)| job_of(task) == job).count()
    }

    /// Returns the number of runs on each worker.
    pub fn loads(&self) -> Vec<usize> {
        lock(&self.workers)
            .iter()
            .map(|worker| worker.running.len())
            .collect()
    }
}

type WorkerState = State<(Arc<Workers>, usize)>;

/// Checks what every call carries; returns the response to a call that isn't carried out.
fn check(worker: &mut Worker, headers: &HeaderMap, body: &Value) -> Option<Response> {
    let expected = headers
        .get("expect-instance")
        .and_then(|id| id.to_str().ok());
    if expected.is_some_and(|id| id != worker.kind.id) {
        return Some(StatusCode::MISDIRECTED_REQUEST.into_response());
    }
    let token = body["FencingToken"].as_u64().unwrap_or(0);
    if token < worker.highest_token {
        return Some(conflict(worker, "fence"));
    }
    worker.highest_token = token;
    None
}

fn conflict(worker: &Worker, reason: &str) -> Response {
    let body = json!({"ClockMs": worker.clock_ms(), "Reason": reason, "born": worker.born_ms});
    (StatusCode::CONFLICT, Json(body)).into_response()
}

fn accepted(worker: &Worker) -> Response {
    Json(json!({"ClockMs": worker.clock_ms(), "born": worker.born_ms})).into_response()
}

fn extend_lease(worker: &mut Worker, body: &Value) {
    if let Some(until_ms) = body["UntilMs"].as_u64() {
        let longest_ms = worker.clock_ms() + HOLD_MAX_MS;
        worker.lease_until_ms = worker.lease_until_ms.max(until_ms.min(longest_ms));
    }
}

fn task_and_run(body: &Value) -> (String, u64) {
    let task = body["Task"].as_str().unwrap_or("").to_owned();
    (task, body["Run"].as_u64().unwrap_or(0))
}

async fn run_start(
    State((all, index)): WorkerState,
    headers: HeaderMap,
    Json(body): Json<Value>,
) -> Response {
    all.wait_unless_cut(index).await;
    let delay = lock(&all.workers)[index].late_start.take();
    let Some(delay) = delay else {
        return carry_out_start(&all, index, &headers, &body);
    };
    let id = lock(&all.workers)[index].kind.id.clone();
    let (task, run) = task_and_run(&body);
    all.record.line(&format!(
        "the start of run {task} #{run} on {id} gets no answer"
    ));
    all.delay_no_start();
    *lock(&all.delayed) = Some(index);
    tokio::spawn(async move {
        tokio::time::sleep(delay).await;
        let response = carry_out_start(&all, index, &headers, &body);
        let status = response.status();
        all.record.line(&format!(
            "the late start of run {task} #{run} on {id} is carried out: {status}"
        ));
    });
    std::future::pending().await
}

fn carry_out_start(all: &Workers, index: usize, headers: &HeaderMap, body: &Value) -> Response {
    let mut workers = lock(&all.workers);
    let worker = &mut workers[index];
    if let Some(refusal) = check(worker, headers, body) {
        return refusal;
    }
    let key = task_and_run(body);
    if worker.running.contains_key(&key) {
        extend_lease(worker, body);
        return accepted(worker);
    }
    if worker
        .past_runs
        .get(&key.0)
        .is_some_and(|past| *past >= key.1)
    {
        extend_lease(worker, body);
        return conflict(worker, "old");
    }
    if body["UntilMs"].as_u64().unwrap_or(0) <= worker.clock_ms() {
        return conflict(worker, "late");
    }
    extend_lease(worker, body);
    let behaviour = Behaviour::parse(body["Spec"].as_str().unwrap_or(""));
    let is_gang = matches!(behaviour, Behaviour::Gang { .. });
    let now = Instant::now();
    let run = Run {
        began: now,
        works_since: (!is_gang).then_some(now),
        stopping: None,
        fails: worker.fails_all,
        behaviour,
    };
    worker.running.insert(key.clone(), run);
    let id = worker.kind.id.clone();
    let response = accepted(worker);
    drop(workers);
    all.record
        .line(&format!("run {} #{} begins on {id}", key.0, key.1));
    lock(&all.starts).push(key);
    response
}

async fn run_stop(
    State((all, index)): WorkerState,
    headers: HeaderMap,
    Json(body): Json<Value>,
) -> Response {
    all.wait_unless_cut(index).await;
    let mut workers = lock(&all.workers);
    let worker = &mut workers[index];
    if let Some(refusal) = check(worker, &headers, &body) {
        return refusal;
    }
    let key = task_and_run(&body);
    let past = worker.past_runs.entry(key.0.clone()).or_default();
    *past = (*past).max(key.1);
    if let Some(run) = worker.running.get_mut(&key) {
        run.stopping.get_or_insert(Instant::now());
    }
    accepted(worker)
}

async fn pace(
    State((all, index)): WorkerState,
    headers: HeaderMap,
    Json(body): Json<Value>,
) -> Response {
    all.wait_unless_cut(index).await;
    let mut workers = lock(&all.workers);
    let worker = &mut workers[index];
    check(worker, &headers, &body).unwrap_or_else(|| accepted(worker))
}

async fn hold(
    State((all, index)): WorkerState,
    headers: HeaderMap,
    Json(body): Json<Value>,
) -> Response {
    all.wait_unless_cut(index).await;
    let wait = Duration::from_millis(body["WaitMs"].as_u64().unwrap_or(0).min(2_000));
    let end = tokio::time::Instant::now() + wait;
    {
        let mut workers = lock(&all.workers);
        let worker = &mut workers[index];
        if let Some(refusal) = check(worker, &headers, &body) {
            return refusal;
        }
        extend_lease(worker, &body);
        let last_seen = body["LastSeen"].as_u64().unwrap_or(0);
        worker.ended.retain(|(number, ..)| *number > last_seen);
    }
    loop {
        let changed = all.changed.notified();
        {
            let workers = lock(&all.workers);
            let worker = &workers[index];
            let is_due = !worker.ended.is_empty() || tokio::time::Instant::now() >= end;
            if is_due && !worker.is_cut {
                return report(worker);
            }
        }
        if tokio::time::Instant::now() >= end {
            all.wait_unless_cut(index).await;
        }
        drop(tokio::time::timeout_at(end, changed).await);
    }
}

fn report(worker: &Worker) -> Response {
    let running: Vec<Value> = worker
        .running
        .iter()
        .map(|((task, number), run)| {
            let worked = run
                .works_since
                .map_or(0, |since| since.elapsed().as_millis() as u64);
            let percent = match run.behaviour {
                Behaviour::Work(ms) | Behaviour::Gang { work_ms: ms, .. } => {
                    (worked * 100 / ms.max(1)).min(99)
                }
                Behaviour::Lasts if run.began.elapsed() < STARTUP => 0,
                Behaviour::Lasts => 100,
            };
            json!([task, number, "", percent, 0])
        })
        .collect();
    let ended: Vec<Value> = worker
        .ended
        .iter()
        .take(ENDS_PER_REPORT)
        .map(|(number, task, run, how)| json!([number, task, run, how, ""]))
        .collect();
    Json(json!({
        "ClockMs": worker.clock_ms(), "Running": running, "Ended": ended, "born": worker.born_ms,
    }))
    .into_response()
}

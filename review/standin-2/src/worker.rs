//! Stand-in of a worker: registers itself, runs tasks under a lease and lists their ends.
//!
//! The text of a job tells what its tasks do: `work=MS` for a task that ends by itself after that time,
//! anything else for one that lasts.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::fs::File;
use std::io::Write as _;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use crate::clock::unix_ms;
use crate::http::{call, serve, Request, Response};
use crate::json::{object, Json};
use crate::store::append_body;

const HEARTBEAT: Duration = Duration::from_millis(1_500);
/// Time until a task that lasts is at work.
pub const STARTUP_MS: u64 = 300;
const HOLD_MAX_MS: u64 = 6_000;
const MAX_ENDS: usize = 500;

pub struct Options {
    pub id: String,
    pub machine: String,
    pub service: String,
    pub kind: String,
    pub rack: String,
    pub cpu_milli: u64,
    pub store: SocketAddr,
    /// File to which the worker writes what it runs.
    pub events: String,
}

struct Run {
    number: u32,
    since: Instant,
    /// `None` for a task that lasts.
    work_ms: Option<u64>,
}

#[derive(Default)]
struct State {
    token: u64,
    lease_end_ms: u64,
    running: BTreeMap<String, Run>,
    /// Highest number of a run that was stopped or ended here, by task.
    closed: HashMap<String, u32>,
    ends: VecDeque<(u64, String, u32, &'static str)>,
    last_end: u64,
    /// Until when the worker is cut off.
    cut_until: Option<Instant>,
    /// Length of the cut that begins when the next poll arrives.
    cut_at_poll: Option<Duration>,
    /// Whether the cut is a crash of the whole machine: nothing runs on, and nothing answers.
    goes_dark: bool,
}

struct Worker {
    options: Options,
    born_ms: u64,
    started: Instant,
    address: SocketAddr,
    state: Mutex<State>,
    ended: Condvar,
    events: Mutex<File>,
}

/// Runs the worker until the process ends.
pub fn run(listener: TcpListener, options: Options) {
    let events = File::options()
        .append(true)
        .create(true)
        .open(&options.events)
        .expect("the file for events opens");
    let worker = Arc::new(Worker {
        address: listener.local_addr().expect("the listener is bound"),
        options,
        born_ms: unix_ms(),
        started: Instant::now(),
        state: Mutex::default(),
        ended: Condvar::new(),
        events: Mutex::new(events),
    });
    worker.record("worker_up", "");
    let beating = Arc::clone(&worker);
    std::thread::spawn(move || beating.beat());
    let ending = Arc::clone(&worker);
    std::thread::spawn(move || ending.end_due_runs());
    serve(listener, move |request| worker.handle(request));
}

impl Worker {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    fn record(&self, event: &str, what: &str) {
        let line = format!("{} worker={} {event} {what}\n", unix_ms(), self.options.id);
        let mut events = self
            .events
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner());
        let _ = events.write_all(line.as_bytes());
    }

    fn clock_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64 + 1
    }

    /// Writes the registration at each heartbeat.
    fn beat(&self) {
        let mut sequence = 0;
        loop {
            sequence += 1;
            let options = &self.options;
            let capacity = object([
                ("Cpu", Json::from(options.cpu_milli)),
                ("MemMb", Json::from(65_536)),
                ("Gpu", Json::from(0)),
            ]);
            let labels = [options.kind.as_str(), options.rack.as_str()].map(Json::from);
            let entry = object([
                ("Service", Json::from(options.service.as_str())),
                ("Address", Json::from(self.address.to_string().as_str())),
                ("Zone", Json::from("zone-a")),
                ("Version", Json::from("v1")),
                ("Machine", Json::from(options.machine.as_str())),
                ("Slots", Json::from(8)),
                ("State", Json::from("ready")),
                ("ColdRemainingMs", Json::from(0)),
                ("Capacity", capacity),
                ("Labels", Json::List(labels.to_vec())),
                ("ClockMs", Json::from(self.clock_ms())),
                ("Seq", Json::from(sequence)),
                ("born", Json::from(self.born_ms)),
            ]);
            let body = append_body(&options.id, &entry.encode());
            let path = "/log-append?Topic=keyed.servers&part=0";
            let _ = call(
                options.store,
                "POST",
                path,
                &[],
                &body,
                Duration::from_millis(700),
            );
            std::thread::sleep(HEARTBEAT);
        }
    }

    /// Ends the runs whose work is done, and all runs when the lease expires.
    fn end_due_runs(&self) {
        loop {
            std::thread::sleep(Duration::from_millis(5));
            let mut state = self.lock();
            let has_lapsed = self.clock_ms() > state.lease_end_ms;
            let due = |run: &Run| {
                let lasted_ms = run.since.elapsed().as_millis() as u64;
                run.work_ms.is_some_and(|work_ms| lasted_ms >= work_ms)
            };
            let ends: Vec<(String, &'static str)> = state
                .running
                .iter()
                .filter_map(|(task, run)| {
                    let how = match (due(run), has_lapsed) {
                        (true, _) => "done",
                        (false, true) => "lapsed",
                        (false, false) => return None,
                    };
                    Some((task.clone(), how))
                })
                .collect();
            for (task, how) in ends {
                self.end(&mut state, &task, how);
            }
        }
    }

    fn end(&self, state: &mut State, task: &str, how: &'static str) {
        let Some(run) = state.running.remove(task) else {
            return;
        };
        state.closed.insert(task.to_owned(), run.number);
        state.last_end += 1;
        let number = state.last_end;
        state
            .ends
            .push_back((number, task.to_owned(), run.number, how));
        self.record("run_end", &format!("{task} run={} how={how}", run.number));
        self.ended.notify_all();
    }

    fn handle(&self, request: &Request) -> Option<Response> {
        // Not part of the platform: the case cuts the worker off when it gets its next poll.
        if request.path == "/cut-at-poll" {
            let length = Duration::from_millis(request.number("ms").unwrap_or(0));
            let mut state = self.lock();
            state.cut_at_poll = Some(length);
            state.goes_dark = request.number("dark") == Some(1);
            return Some(Response::new(200, "{}"));
        }
        if request.path == "/cut" {
            let is_cut = self.lock().is_cut();
            return Some(Response::new(200, if is_cut { "true" } else { "false" }));
        }
        {
            let mut state = self.lock();
            if request.path == "/hold" {
                if let Some(length) = state.cut_at_poll.take() {
                    state.cut_until = Some(Instant::now() + length);
                    let event = if state.goes_dark {
                        "worker_dark"
                    } else {
                        "cut_off"
                    };
                    if state.goes_dark {
                        state.running.clear();
                    }
                    self.record(event, &format!("for_ms={}", length.as_millis()));
                }
            }
            if let Some(until) = state.cut_until.filter(|until| Instant::now() < *until) {
                // Nothing of what arrives during the cut is carried out or answered.
                drop(state);
                std::thread::sleep(until.saturating_duration_since(Instant::now()));
                return None;
            }
        }
        let expected = request.headers.get("expect-instance");
        if expected.is_some_and(|expected| *expected != self.options.id) {
            return Some(Response::new(421, "{}"));
        }
        let response = match request.path.as_str() {
            "/healthz" => return Some(Response::new(200, "")),
            "/run-start" => self.start(request),
            "/run-stop" => self.stop(request),
            "/hold" => self.hold(request),
            "/pace" => self.reply(200, ""),
            _ => return Some(Response::new(404, "")),
        };
        if self.lock().is_cut() {
            return None;
        }
        Some(response)
    }

    fn reply(&self, status: u16, reason: &str) -> Response {
        let mut fields = vec![
            (String::from("ClockMs"), Json::from(self.clock_ms())),
            (String::from("born"), Json::from(self.born_ms)),
        ];
        if !reason.is_empty() {
            fields.push((String::from("Reason"), Json::from(reason)));
        }
        Response::new(status, Json::Object(fields.into_iter().collect()).encode())
    }

    fn start(&self, request: &Request) -> Response {
        let Some(body) = Json::parse(&request.body_text()) else {
            return self.reply(400, "");
        };
        let task = body.get("Task").text().to_owned();
        let number = body.get("Run").number().unwrap_or(0) as u32;
        let mut state = self.lock();
        if !state.accepts_token(&body) {
            return self.reply(409, "fence");
        }
        let until_ms = body.get("UntilMs").number().unwrap_or(0);
        if until_ms <= self.clock_ms() {
            return self.reply(409, "late");
        }
        self.extend(&mut state, until_ms);
        if state
            .running
            .get(&task)
            .is_some_and(|run| run.number == number)
        {
            return self.reply(200, "");
        }
        let is_old = state
            .closed
            .get(&task)
            .is_some_and(|closed| number <= *closed)
            || state
                .running
                .get(&task)
                .is_some_and(|run| number <= run.number);
        if is_old {
            return self.reply(409, "old");
        }
        let text = body.get("Spec").text();
        let work_ms = text.strip_prefix("work=").and_then(|ms| ms.parse().ok());
        let run = Run {
            number,
            since: Instant::now(),
            work_ms,
        };
        state.running.insert(task.clone(), run);
        self.record("run_start", &format!("{task} run={number}"));
        self.reply(200, "")
    }

    fn stop(&self, request: &Request) -> Response {
        let Some(body) = Json::parse(&request.body_text()) else {
            return self.reply(400, "");
        };
        let task = body.get("Task").text().to_owned();
        let number = body.get("Run").number().unwrap_or(0) as u32;
        let mut state = self.lock();
        if !state.accepts_token(&body) {
            return self.reply(409, "fence");
        }
        self.record("stop_ordered", &format!("{task} run={number}"));
        if state
            .running
            .get(&task)
            .is_some_and(|run| run.number <= number)
        {
            self.end(&mut state, &task, "stopped");
        } else {
            let closed = state.closed.entry(task).or_default();
            *closed = number.max(*closed);
        }
        self.reply(200, "")
    }

    fn hold(&self, request: &Request) -> Response {
        let Some(body) = Json::parse(&request.body_text()) else {
            return self.reply(400, "");
        };
        let mut state = self.lock();
        if !state.accepts_token(&body) {
            return self.reply(409, "fence");
        }
        if let Some(until_ms) = body.get("UntilMs").number() {
            self.extend(&mut state, until_ms);
        }
        let last_seen = body.get("LastSeen").number().unwrap_or(0);
        state.ends.retain(|(number, ..)| *number > last_seen);
        let wait = Duration::from_millis(body.get("WaitMs").number().unwrap_or(0).min(2_000));
        let until = Instant::now() + wait;
        while state.ends.is_empty() && Instant::now() < until {
            let left = until.saturating_duration_since(Instant::now());
            let waited = self.ended.wait_timeout(state, left);
            state = waited.unwrap_or_else(|poisoned| poisoned.into_inner()).0;
        }
        let running = state.running.iter().map(|(task, run)| {
            Json::List(vec![
                Json::from(task.as_str()),
                Json::from(u64::from(run.number)),
                Json::from(""),
                Json::from(run.percent()),
                Json::from(0),
            ])
        });
        let running = Json::List(running.collect());
        let ended = state
            .ends
            .iter()
            .take(MAX_ENDS)
            .map(|(number, task, run, how)| {
                Json::List(vec![
                    Json::from(*number),
                    Json::from(task.as_str()),
                    Json::from(u64::from(*run)),
                    Json::from(*how),
                    Json::from(""),
                ])
            });
        let report = object([
            ("ClockMs", Json::from(self.clock_ms())),
            ("born", Json::from(self.born_ms)),
            ("Running", running),
            ("Ended", Json::List(ended.collect())),
        ]);
        Response::new(200, report.encode())
    }

    fn extend(&self, state: &mut State, until_ms: u64) {
        let longest_ms = self.clock_ms() + HOLD_MAX_MS;
        state.lease_end_ms = state.lease_end_ms.max(until_ms.min(longest_ms));
    }
}

impl State {
    fn is_cut(&self) -> bool {
        self.cut_until.is_some_and(|until| Instant::now() < until)
    }

    /// Returns whether the fencing token of a call isn't lower than one that was seen before.
    fn accepts_token(&mut self, body: &Json) -> bool {
        let token = body.get("FencingToken").number().unwrap_or(0);
        let is_accepted = token >= self.token;
        self.token = self.token.max(token);
        is_accepted
    }
}

impl Run {
    fn percent(&self) -> u64 {
        let lasted_ms = self.since.elapsed().as_millis() as u64;
        let whole_ms = self.work_ms.unwrap_or(STARTUP_MS).max(1);
        (lasted_ms * 100 / whole_ms).min(100)
    }
}

//! Machines of the platform, each with one worker at a time, and the service that moves them.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use serde_json::{Value, json};

use crate::http::{self, Answer, Request};
use crate::record::Record;
use crate::store::Store;

const MAX_LEASE_MS: u64 = 6_000;
const ENDS_AT_ONCE: usize = 500;
const CHECKPOINT_MS: u64 = 1_000;
const RESTORE_MS: u64 = 250;
const STARTUP_MS: u64 = 300;
const HEARTBEAT: Duration = Duration::from_millis(1_500);
const MOVE_TIME: Duration = Duration::from_millis(1_500);

/// A run that a worker has begun, as the worker saw it.
#[derive(Clone, Debug)]
pub struct Seen {
    pub task: String,
    pub run: u64,
    pub worker: String,
    pub began_ms: u64,
    pub ended_ms: Option<u64>,
    pub how: &'static str,
    /// When `LastSeen` reached the end.
    pub noted_ms: Option<u64>,
}

pub struct Machine {
    pub name: String,
    rack: &'static str,
    pub address: SocketAddr,
    life: Mutex<Life>,
    store: Arc<Store>,
    record: Arc<Record>,
    seen: Arc<Mutex<Vec<Seen>>>,
}

/// One worker: a life of its machine.
struct Life {
    id: String,
    number: u32,
    service: String,
    born_ms: u64,
    origin: Instant,
    is_up: bool,
    is_draining: bool,
    running: BTreeMap<(String, u64), Work>,
    ended: Vec<(u64, String, u64, &'static str, String)>,
    last_number: u64,
    highest_ended: HashMap<String, u64>,
    token: u64,
    lease_until_ms: u64,
}

/// What a run does: it works for a time and ends in a way, both as its text says.
struct Work {
    /// Work that an earlier run had saved.
    earlier_ms: u64,
    saves: bool,
    lasts: bool,
    began_ms: u64,
    ends_ms: u64,
    how: &'static str,
    seen: usize,
}

impl Work {
    /// Returns how far the run is; a task that lasts shows 100 while it is at work.
    fn percent(&self, clock: u64) -> u64 {
        if self.lasts {
            return if clock >= self.began_ms + STARTUP_MS {
                100
            } else {
                0
            };
        }
        let work_ms = (self.earlier_ms + self.ends_ms - self.began_ms).max(1);
        let done_ms = self.earlier_ms + clock.saturating_sub(self.began_ms);
        (done_ms * 100 / work_ms).min(99)
    }

    /// Returns the checkpoint, which changes with each second of work.
    fn saved(&self, clock: u64) -> String {
        let done_ms = self.earlier_ms + clock.saturating_sub(self.began_ms);
        let saved_ms = done_ms / CHECKPOINT_MS * CHECKPOINT_MS;
        if !self.saves || saved_ms == 0 {
            return String::new();
        }
        format!(
            "{saved_ms:08x}{:08x}",
            saved_ms.wrapping_mul(2_654_435_761) & 0xffff_ffff
        )
    }
}

fn unix_ms() -> u64 {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(0)
}

/// Returns the id of a machine's worker in its `number`th life: like the platform's, eight digits.
fn worker_id(machine: &str, number: u32) -> String {
    let text = format!("{machine}/{number}");
    let hash = text.bytes().fold(0x811c_9dc5_u32, |hash, byte| {
        (hash ^ u32::from(byte)).wrapping_mul(0x0100_0193)
    });
    format!("i-{hash:08x}")
}

impl Life {
    fn new(machine: &str, number: u32, service: &str) -> Self {
        Self {
            id: worker_id(machine, number),
            number,
            service: service.to_owned(),
            born_ms: unix_ms(),
            origin: Instant::now(),
            is_up: true,
            is_draining: false,
            running: BTreeMap::new(),
            ended: Vec::new(),
            last_number: 0,
            highest_ended: HashMap::new(),
            token: 0,
            lease_until_ms: 0,
        }
    }

    fn clock_ms(&self) -> u64 {
        u64::try_from(self.origin.elapsed().as_millis()).unwrap_or(0)
    }
}

impl Machine {
    pub fn start(
        name: &str,
        rack: &'static str,
        service: &str,
        store: &Arc<Store>,
        record: &Arc<Record>,
        seen: &Arc<Mutex<Vec<Seen>>>,
    ) -> Arc<Self> {
        let slot: Arc<Mutex<Option<Arc<Self>>>> = Arc::default();
        let served = Arc::clone(&slot);
        let address = http::serve(move |request| {
            let machine = served.lock().unwrap().clone()?;
            machine.handle(&request)
        });
        let machine = Arc::new(Self {
            name: name.to_owned(),
            rack,
            address,
            life: Mutex::new(Life::new(name, 1, service)),
            store: Arc::clone(store),
            record: Arc::clone(record),
            seen: Arc::clone(seen),
        });
        *slot.lock().unwrap() = Some(Arc::clone(&machine));
        let ticking = Arc::clone(&machine);
        std::thread::spawn(move || ticking.tick());
        machine
    }

    /// Ends the runs that are due, and keeps the entry in the store.
    fn tick(&self) {
        let mut next_beat = Instant::now();
        loop {
            std::thread::sleep(Duration::from_millis(5));
            let mut life = self.life.lock().unwrap();
            if !life.is_up {
                next_beat = Instant::now();
                continue;
            }
            let clock = life.clock_ms();
            let has_lapsed = clock > life.lease_until_ms;
            let due: Vec<(String, u64)> = life
                .running
                .iter()
                .filter(|(_, work)| has_lapsed || work.ends_ms <= clock)
                .map(|(key, _)| key.clone())
                .collect();
            for (task, run) in due {
                let how = if has_lapsed {
                    "lapsed"
                } else {
                    life.running[&(task.clone(), run)].how
                };
                self.end(&mut life, &task, run, how);
            }
            if Instant::now() >= next_beat {
                next_beat = Instant::now() + HEARTBEAT;
                self.register(&life);
            }
        }
    }

    /// Writes the worker's entry in the store.
    fn register(&self, life: &Life) {
        let clock = life.clock_ms();
        let entry = json!({
            "Service": life.service, "Address": self.address.to_string(), "Zone": "z1",
            "Version": "v1", "Slots": 8, "State": if life.is_draining { "draining" } else { "ready" }, "ColdRemainingMs": 0,
            "Capacity": {"Cpu": 16_000, "MemMb": 65_536, "Gpu": 0},
            "Labels": ["a", self.rack], "ClockMs": clock, "Seq": clock / 1_500 + 1,
            "born": life.born_ms,
        });
        self.store
            .put("keyed.servers", &life.id, entry.to_string().as_bytes());
    }

    fn end(&self, life: &mut Life, task: &str, run: u64, how: &'static str) {
        let Some(work) = life.running.remove(&(task.to_owned(), run)) else {
            return;
        };
        life.last_number += 1;
        let saved = work.saved(life.clock_ms());
        life.ended
            .push((life.last_number, task.to_owned(), run, how, saved));
        let highest = life.highest_ended.entry(task.to_owned()).or_default();
        *highest = run.max(*highest);
        let mut seen = self.seen.lock().unwrap();
        seen[work.seen].ended_ms = Some(self.record.now_ms());
        seen[work.seen].how = how;
        drop(seen);
        self.record.write(&format!(
            "worker {} end {} {task} run {run} {how}",
            life.id, life.last_number
        ));
    }

    /// Kills the worker without notice; another one starts after `pause`, under an id of its own. The entry
    /// of the dead one goes from the store after three heartbeats of silence.
    pub fn crash(self: &Arc<Self>, pause: Duration) {
        let (id, service, _) = self.worker();
        self.record
            .write(&format!("disruption: worker {id} on {} crashes", self.name));
        let store = Arc::clone(&self.store);
        std::thread::spawn(move || {
            std::thread::sleep(3 * HEARTBEAT);
            store.put("keyed.servers", &id, b"");
        });
        self.renew(&service, pause);
    }

    /// Takes the worker away: it reports that it drains, serves on for `notice`, and leaves for good.
    pub fn leave(self: &Arc<Self>, notice: Duration) {
        let mut life = self.life.lock().unwrap();
        life.is_draining = true;
        let id = life.id.clone();
        self.register(&life);
        drop(life);
        self.record.write(&format!("platform: worker {id} drains"));
        std::thread::sleep(notice);
        self.end_life(&mut self.life.lock().unwrap());
        self.store.put("keyed.servers", &id, b"");
        self.record
            .write(&format!("platform: worker {id} has left"));
    }

    /// Moves the machine to another pool: the worker leaves at once.
    fn change_pool(self: &Arc<Self>, service: &str) {
        self.store.put("keyed.servers", &self.worker().0, b"");
        self.renew(service, MOVE_TIME);
    }

    /// Ends the worker, with all that it runs.
    fn end_life(&self, life: &mut Life) {
        life.is_up = false;
        let mut seen = self.seen.lock().unwrap();
        for ((task, run), work) in &life.running {
            seen[work.seen].ended_ms = Some(self.record.now_ms());
            seen[work.seen].how = "gone";
            self.record
                .write(&format!("worker {} gone with {task} run {run}", life.id));
        }
        drop(seen);
        life.running.clear();
    }

    /// Ends the worker and all that it runs; another one starts after `pause`.
    fn renew(self: &Arc<Self>, service: &str, pause: Duration) {
        let mut life = self.life.lock().unwrap();
        self.end_life(&mut life);
        let number = life.number + 1;
        let (machine, service) = (Arc::clone(self), service.to_owned());
        drop(life);
        std::thread::spawn(move || {
            std::thread::sleep(pause);
            let life = Life::new(&machine.name, number, &service);
            machine
                .record
                .write(&format!("worker {} starts on {}", life.id, machine.name));
            *machine.life.lock().unwrap() = life;
        });
    }

    /// Returns the id of the present worker and whether it is up.
    pub fn worker(&self) -> (String, String, bool) {
        let life = self.life.lock().unwrap();
        (life.id.clone(), life.service.clone(), life.is_up)
    }

    /// Returns the names of the tasks that run.
    pub fn running(&self) -> Vec<String> {
        self.life
            .lock()
            .unwrap()
            .running
            .keys()
            .map(|(task, _)| task.clone())
            .collect()
    }

    fn handle(&self, request: &Request) -> Answer {
        if request.method == "GET" {
            return Some((200, Vec::new()));
        }
        let body: Value = serde_json::from_slice(&request.body).ok()?;
        let expected = request.headers.get("expect-instance").cloned();
        let (task, run) = (
            body["Task"].as_str().unwrap_or(""),
            body["Run"].as_u64().unwrap_or(0),
        );
        let deadline =
            Instant::now() + Duration::from_millis(body["WaitMs"].as_u64().unwrap_or(0).min(2_000));
        loop {
            let mut life = self.life.lock().unwrap();
            if !life.is_up {
                return None;
            }
            let clock = life.clock_ms();
            let reject = |reason: &str| answer(409, json!({"ClockMs": clock, "Reason": reason}));
            if expected
                .as_ref()
                .is_some_and(|expected| *expected != life.id)
            {
                self.record.write(&format!(
                    "worker {} answers 421 to {} {task} run {run}",
                    life.id, request.path
                ));
                return answer(421, json!({"ClockMs": clock}));
            }
            let token = body["FencingToken"].as_u64().unwrap_or(0);
            if token < life.token {
                return reject("fence");
            }
            life.token = token;
            let until_ms = body["UntilMs"]
                .as_u64()
                .unwrap_or(0)
                .min(clock + MAX_LEASE_MS);
            match request.path.as_str() {
                "/run-start" => {
                    if body["UntilMs"].as_u64().unwrap_or(0) <= clock {
                        return reject("late");
                    }
                    life.lease_until_ms = life.lease_until_ms.max(until_ms);
                    if life.running.contains_key(&(task.to_owned(), run)) {
                        return answer(200, json!({"ClockMs": clock}));
                    }
                    let is_newer =
                        |(other, number): &(String, u64)| other == task && *number >= run;
                    if life
                        .highest_ended
                        .get(task)
                        .is_some_and(|highest| *highest >= run)
                        || life.running.keys().any(is_newer)
                    {
                        return reject("old");
                    }
                    self.begin(&mut life, &body, token);
                    return answer(200, json!({"ClockMs": clock}));
                }
                "/run-stop" => {
                    self.end(&mut life, task, run, "stopped");
                    let highest = life.highest_ended.entry(task.to_owned()).or_default();
                    *highest = run.max(*highest);
                    return answer(200, json!({"ClockMs": clock}));
                }
                "/pace" => return answer(200, json!({"ClockMs": clock})),
                "/hold" => {}
                _ => return answer(404, json!({})),
            }
            life.lease_until_ms = life.lease_until_ms.max(until_ms);
            let last_seen = body["LastSeen"].as_u64().unwrap_or(0);
            self.note(&mut life, last_seen);
            if life.ended.is_empty() && Instant::now() < deadline {
                drop(life);
                std::thread::sleep(Duration::from_millis(4));
                continue;
            }
            let running: Vec<Value> = life
                .running
                .iter()
                .map(|((task, run), work)| {
                    json!([task, run, work.saved(clock), work.percent(clock), 10])
                })
                .collect();
            let ended: Vec<Value> = life
                .ended
                .iter()
                .take(ENDS_AT_ONCE)
                .map(|(number, task, run, how, saved)| json!([number, task, run, how, saved]))
                .collect();
            return answer(
                200,
                json!({"ClockMs": clock, "Running": running, "Ended": ended, "born": life.born_ms}),
            );
        }
    }

    /// Begins a run; its text says how long it works, whether it saves, and whether it fails.
    fn begin(&self, life: &mut Life, body: &Value, token: u64) {
        let (task, run) = (
            body["Task"].as_str().unwrap_or(""),
            body["Run"].as_u64().unwrap_or(0),
        );
        let text = body["Spec"].as_str().unwrap_or("");
        let (how, text) = text
            .strip_prefix("fails ")
            .map_or(("done", text), |text| ("failed", text));
        let (saves, text) = text
            .strip_prefix("saves ")
            .map_or((false, text), |text| (true, text));
        let lasts = text == "lasts";
        let work_ms: u64 = if lasts {
            3_600_000
        } else {
            text.parse().unwrap_or(1_000)
        };
        let checkpoint = body["Checkpoint"].as_str().and_then(|text| text.get(..8));
        let earlier_ms = checkpoint
            .and_then(|text| u64::from_str_radix(text, 16).ok())
            .unwrap_or(0);
        let restore_ms = if earlier_ms > 0 { RESTORE_MS } else { 0 };
        let left_ms = work_ms.saturating_sub(earlier_ms) + restore_ms;
        let began_ms = self.record.now_ms();
        let mut seen = self.seen.lock().unwrap();
        let clock = life.clock_ms();
        let ends_ms = clock + left_ms;
        let work = Work {
            earlier_ms,
            saves,
            lasts,
            began_ms: clock,
            ends_ms,
            how,
            seen: seen.len(),
        };
        seen.push(Seen {
            task: task.to_owned(),
            run,
            worker: life.id.clone(),
            began_ms,
            ended_ms: None,
            how: "",
            noted_ms: None,
        });
        drop(seen);
        self.record.write(&format!(
            "worker {} start {task} run {run} token {token}",
            life.id
        ));
        life.running.insert((task.to_owned(), run), work);
    }

    /// Forgets the ends up to a number.
    fn note(&self, life: &mut Life, last_seen: u64) {
        let count = life
            .ended
            .iter()
            .take_while(|end| end.0 <= last_seen)
            .count();
        if count == 0 {
            return;
        }
        let noted: Vec<_> = life.ended.drain(..count).collect();
        let now_ms = self.record.now_ms();
        let mut seen = self.seen.lock().unwrap();
        for (_, task, run, _, _) in noted {
            let is_run =
                |seen: &&mut Seen| seen.worker == life.id && seen.task == task && seen.run == run;
            if let Some(run) = seen.iter_mut().rev().find(is_run) {
                run.noted_ms = Some(now_ms);
            }
        }
        drop(seen);
        self.record
            .write(&format!("worker {} ends noted up to {last_seen}", life.id));
    }
}

fn answer(status: u16, body: Value) -> Answer {
    Some((status, body.to_string().into_bytes()))
}

/// Starts the service that lists and moves machines.
pub fn serve_cloud(machines: Arc<Vec<Arc<Machine>>>, record: Arc<Record>) -> SocketAddr {
    http::serve(move |request| {
        if request.method == "GET" {
            let listed: Vec<Value> = machines
                .iter()
                .map(|machine| {
                    let (id, service, is_up) = machine.worker();
                    json!({
                        "Machine": machine.name, "Pool": service, "Zone": "z1",
                        "State": if is_up { "up" } else { "moving" }, "Labels": ["a", machine.rack],
                        "Capacity": {"Cpu": 16_000, "MemMb": 65_536, "Gpu": 0},
                        "Id": if is_up { id.as_str() } else { "" },
                    })
                })
                .collect();
            return answer(200, json!({"Machines": listed, "NextToken": null}));
        }
        let body: Value = serde_json::from_slice(&request.body).ok()?;
        let Some(machine) = machines
            .iter()
            .find(|machine| body["Machine"] == machine.name.as_str())
        else {
            return answer(400, json!({}));
        };
        let (_, service, is_up) = machine.worker();
        if !is_up {
            return answer(409, json!({"Reason": "busy"}));
        }
        let pool = body["Pool"].as_str().unwrap_or(&service);
        record.write(&format!(
            "cloud: {} {} to {pool}",
            request.path, machine.name
        ));
        if request.path == "/machine-move" && pool != service {
            machine.change_pool(pool);
        }
        answer(200, json!({}))
    })
}

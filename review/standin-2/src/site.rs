//! A small site of separate processes: the store, workers, and the project's own processes.

use std::fs;
use std::io::Write as _;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{exit, Child, Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::clock::unix_ms;
use crate::http::{call, serve, Response};
use crate::json::{object, Json};
use crate::store::append_body;

pub const SERVICE: &str = "render";
pub const HOST: &str = "jobs.example";
pub const PREFIX: &str = "/queue/";
/// Program and role of the deploy file.
const PROGRAM: &str = "target/release/cyclamentrail";
const ROLE: &str = "edge";
const DEADLINE_MS: u64 = 3_000;
/// Time after which a case counts as one that couldn't run.
const WATCHDOG: Duration = Duration::from_secs(112);

/// Processes that are killed at the end, whatever happens.
type Children = Arc<Mutex<Vec<Child>>>;

/// A line of the record: Unix time in milliseconds and text.
type Line = (u64, String);

#[derive(Clone)]
pub struct WorkerPlan {
    pub name: String,
    pub kind: &'static str,
    pub cpu_milli: u64,
}

struct WorkerProcess {
    plan: WorkerPlan,
    address: SocketAddr,
    /// Position in the list of children; `None` while the worker is down.
    child: Option<usize>,
}

pub struct Site {
    folder: PathBuf,
    record_path: PathBuf,
    children: Children,
    store: SocketAddr,
    fronts: Vec<SocketAddr>,
    workers: Arc<Mutex<Vec<WorkerProcess>>>,
    lines: Mutex<Vec<Line>>,
    next_front: AtomicUsize,
    pub started: Instant,
}

/// One line that a worker wrote about a run.
#[derive(Debug, Clone)]
pub struct RunEvent {
    pub unix_ms: u64,
    pub worker: String,
    pub event: String,
    pub task: String,
    pub how: String,
}

/// Ends the case as one that couldn't run.
pub fn cannot_run(children: &Children, why: &str) -> ! {
    eprintln!("couldn't run: {why}");
    kill_all(children);
    exit(2)
}

fn kill_all(children: &Children) {
    let mut children = children
        .lock()
        .unwrap_or_else(|poisoned| poisoned.into_inner());
    for child in children.iter_mut() {
        let _ = child.kill();
        let _ = child.wait();
    }
}

/// Returns a free port below those that the system gives to outgoing connections. The search begins at
/// another port in each process.
fn free_port(count: u16) -> u16 {
    static NEXT: AtomicUsize = AtomicUsize::new(0);
    let first = std::process::id() as usize * 101;
    loop {
        let offset = (first + NEXT.fetch_add(usize::from(count), Ordering::Relaxed)) % 20_000;
        let port = 10_000 + offset as u16;
        if (port..port + count).all(|port| TcpListener::bind(("127.0.0.1", port)).is_ok()) {
            return port;
        }
    }
}

fn free_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], free_port(1)))
}

impl Site {
    /// Starts the store, the workers and `edges` of the project's processes, writes a configuration with
    /// one queue, and waits until all processes are ready.
    pub fn start(case_folder: &Path, plans: &[WorkerPlan], edges: usize) -> Self {
        let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("the temporary folder is created");
        let children: Children = Arc::default();
        let watched = Arc::clone(&children);
        std::thread::spawn(move || {
            std::thread::sleep(WATCHDOG);
            cannot_run(&watched, "the case took too long");
        });
        let watched = Arc::clone(&children);
        std::panic::set_hook(Box::new(move |why| cannot_run(&watched, &why.to_string())));
        let mut site = Self {
            record_path: case_folder.join("record.txt"),
            folder,
            children,
            store: free_address(),
            fronts: Vec::new(),
            workers: Arc::default(),
            lines: Mutex::default(),
            next_front: AtomicUsize::new(0),
            started: Instant::now(),
        };
        let store = site.store.to_string();
        site.spawn_self(&["store", "--address", &store]);
        site.wait_listening(site.store);
        site.write_operator("config", &configuration());
        for plan in plans {
            let worker = WorkerProcess {
                plan: plan.clone(),
                address: free_address(),
                child: None,
            };
            site.lock_workers().push(worker);
            site.start_worker(&plan.name);
        }
        let cloud = site.serve_machines();
        for index in 1..=edges {
            site.start_edge(index, cloud);
        }
        site.wait_ready();
        site
    }

    fn lock_workers(&self) -> std::sync::MutexGuard<'_, Vec<WorkerProcess>> {
        self.workers
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    fn keep(&self, child: Child) -> usize {
        let mut children = self
            .children
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner());
        children.push(child);
        children.len() - 1
    }

    fn spawn_self(&self, arguments: &[&str]) -> usize {
        let program = std::env::current_exe().expect("the path of this program is known");
        let child = Command::new(program)
            .args(arguments)
            .stdin(Stdio::null())
            .spawn();
        match child {
            Ok(child) => self.keep(child),
            Err(error) => cannot_run(
                &self.children,
                &format!("a stand-in doesn't start: {error}"),
            ),
        }
    }

    fn start_edge(&mut self, index: usize, cloud: SocketAddr) {
        let name = format!("edge-{index}");
        let [front, ready, control] = std::array::from_fn(|_| free_address());
        let internal = free_port(2);
        let path = self.folder.join(format!("{name}.conf"));
        let text = settings(&name, [front, ready, control], internal, self.store, cloud);
        fs::write(&path, text).expect("the settings are written");
        let log = fs::File::create(self.folder.join(format!("{name}.log")));
        let log = log.expect("the log is created");
        let error_log = log.try_clone().expect("the log is shared");
        let child = Command::new(PROGRAM)
            .arg(ROLE)
            .env_clear()
            .env("PATH", std::env::var("PATH").unwrap_or_default())
            .env("CYCLAMENTRAIL_CONFIG", &path)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(error_log)
            .spawn();
        match child {
            Ok(child) => self.keep(child),
            Err(error) => cannot_run(&self.children, &format!("{PROGRAM} doesn't start: {error}")),
        };
        self.fronts.push(front);
    }

    /// Starts a worker, or starts it again at its address and under its id.
    pub fn start_worker(&self, name: &str) {
        let mut workers = self.lock_workers();
        let worker = workers.iter_mut().find(|worker| worker.plan.name == name);
        let worker = worker.expect("the worker is planned");
        let events = self.events_path();
        let child = self.spawn_self(&[
            "worker",
            "--address",
            &worker.address.to_string(),
            "--id",
            name,
            "--service",
            SERVICE,
            "--kind",
            worker.plan.kind,
            "--cpu",
            &worker.plan.cpu_milli.to_string(),
            "--store",
            &self.store.to_string(),
            "--events",
            &events.display().to_string(),
        ]);
        worker.child = Some(child);
    }

    /// Kills a worker with SIGKILL.
    pub fn kill_worker(&self, name: &str) {
        let mut workers = self.lock_workers();
        let worker = workers.iter_mut().find(|worker| worker.plan.name == name);
        let child = worker.and_then(|worker| worker.child.take());
        let mut children = self
            .children
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner());
        if let Some(child) = child.and_then(|index| children.get_mut(index)) {
            let _ = child.kill();
            let _ = child.wait();
        }
        drop(children);
        drop(workers);
        self.note(&format!("disruption: worker {name} is killed"));
    }

    /// Calls a stand-in's own control path of a worker.
    pub fn worker_control(&self, name: &str, path: &str) -> String {
        let address = self
            .lock_workers()
            .iter()
            .find(|worker| worker.plan.name == name)
            .map(|worker| worker.address)
            .expect("the worker is planned");
        let response = call(address, "POST", path, &[], &[], Duration::from_secs(1));
        let body = response.map(|response| response.body).unwrap_or_default();
        String::from_utf8_lossy(&body).into_owned()
    }

    /// Makes the store refuse calls that concern topics whose names begin so.
    pub fn begin_outage(&self, prefix: &str, ms: u64) {
        let path = format!("/outage?prefix={prefix}&ms={ms}");
        let _ = call(self.store, "POST", &path, &[], &[], Duration::from_secs(1));
        self.note(&format!(
            "disruption: the store refuses calls about {prefix:?} with 503 for {ms} ms"
        ));
    }

    /// Writes what the operator writes.
    pub fn write_operator(&self, key: &str, value: &Json) {
        let body = append_body(key, &value.encode());
        let path = "/log-append?Topic=keyed.op&part=0";
        let response = call(self.store, "POST", path, &[], &body, Duration::from_secs(1));
        if response.is_none_or(|response| response.status != 200) {
            cannot_run(&self.children, "the store doesn't take the configuration");
        }
    }

    /// Serves the list of machines, each in the pool of the service; no machine is moved.
    fn serve_machines(&self) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let address = listener.local_addr().expect("the listener is bound");
        let workers = Arc::clone(&self.workers);
        std::thread::spawn(move || {
            serve(listener, move |request| {
                if request.path != "/machines" {
                    return Some(Response::new(409, r#"{"Reason":"busy"}"#));
                }
                let workers = workers
                    .lock()
                    .unwrap_or_else(|poisoned| poisoned.into_inner());
                let machines = workers.iter().map(|worker| {
                    let state = if worker.child.is_some() { "up" } else { "down" };
                    object([
                        (
                            "Machine",
                            Json::from(format!("m-{}", worker.plan.name).as_str()),
                        ),
                        ("Pool", Json::from(SERVICE)),
                        ("State", Json::from(state)),
                        ("Zone", Json::from("zone-a")),
                        ("Id", Json::from(worker.plan.name.as_str())),
                    ])
                });
                let body = object([
                    ("Machines", Json::List(machines.collect())),
                    ("NextToken", Json::Null),
                ]);
                Some(Response::new(200, body.encode()))
            });
        });
        address
    }

    fn wait_listening(&self, address: SocketAddr) {
        let until = Instant::now() + Duration::from_secs(5);
        while std::net::TcpStream::connect(address).is_err() {
            if Instant::now() > until {
                cannot_run(&self.children, "a stand-in doesn't listen");
            }
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    /// Waits until a job is accepted and completed, so that all parts of the site are up.
    fn wait_ready(&self) {
        let until = Instant::now() + Duration::from_secs(20);
        std::thread::sleep(Duration::from_secs(3));
        for attempt in 0.. {
            let id = format!("{:016x}", 0xffff_0000_u64 + attempt);
            if self.submit_once(&id, &finite_job(1, 500, 50)) == Some(200) {
                while Instant::now() < until {
                    if self.state(&id).as_deref() == Some("completed") {
                        return;
                    }
                    std::thread::sleep(Duration::from_millis(100));
                }
            }
            if Instant::now() > until {
                cannot_run(&self.children, "the site isn't ready after 20 s");
            }
            std::thread::sleep(Duration::from_millis(300));
        }
    }

    fn events_path(&self) -> PathBuf {
        self.folder.join("events.txt")
    }

    /// Writes a line to the record.
    pub fn note(&self, text: &str) {
        println!("{:7.3} {text}", self.started.elapsed().as_secs_f64());
        let mut lines = self
            .lines
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner());
        lines.push((unix_ms(), text.to_owned()));
    }

    /// Returns the number of the process that the next call goes to.
    fn next_front(&self) -> usize {
        self.next_front.fetch_add(1, Ordering::Relaxed)
    }

    fn client_call(&self, front: usize, method: &str, id: &str, body: &[u8]) -> Option<Response> {
        let deadline = DEADLINE_MS.to_string();
        let headers = [
            ("Host", HOST),
            ("Content-Type", "application/json"),
            ("Deadline-Ms", deadline.as_str()),
        ];
        let timeout = Duration::from_millis(DEADLINE_MS);
        let front = self.fronts[front % self.fronts.len()];
        call(
            front,
            method,
            &format!("{PREFIX}{id}"),
            &headers,
            body,
            timeout,
        )
    }

    /// Submits a job once and returns the status of the answer.
    pub fn submit_once(&self, id: &str, job: &Json) -> Option<u16> {
        let response = self.client_call(self.next_front(), "POST", id, job.encode().as_bytes());
        let status = response.map(|response| response.status);
        self.note(&format!("client: POST {id} {} -> {status:?}", job.encode()));
        status
    }

    /// Submits a job; repeats the submission like a client until it is accepted.
    pub fn submit(&self, id: &str, job: &Json) {
        for _ in 0..20 {
            if self.submit_once(id, job) == Some(200) {
                return;
            }
            std::thread::sleep(Duration::from_millis(300));
        }
        cannot_run(&self.children, "a job isn't accepted");
    }

    /// Returns the state that a client is shown; `None` without one.
    pub fn state(&self, id: &str) -> Option<String> {
        self.state_at(self.next_front(), id)
    }

    /// Returns the state that a client is shown by one of the processes; `None` without an answer.
    pub fn state_at(&self, front: usize, id: &str) -> Option<String> {
        let Some(response) = self.client_call(front, "GET", id, &[]) else {
            self.note(&format!("client: GET {id} -> no answer"));
            return None;
        };
        let body = Json::parse(&String::from_utf8_lossy(&response.body));
        let shown = match response.status {
            200 => body.map(|body| body.get("State").text().to_owned()),
            status => Some(status.to_string()),
        };
        self.note(&format!("client: GET {id} -> {shown:?}"));
        shown
    }

    /// Returns what the workers have run so far.
    pub fn runs(&self) -> Vec<RunEvent> {
        let text = fs::read_to_string(self.events_path()).unwrap_or_default();
        text.lines().filter_map(parse_event).collect()
    }

    /// Waits until a condition on the runs holds.
    pub fn wait_for(&self, what: &str, limit: Duration, holds: impl Fn(&[RunEvent]) -> bool) {
        let until = Instant::now() + limit;
        while !holds(&self.runs()) {
            if Instant::now() > until {
                self.write_record();
                cannot_run(&self.children, &format!("no sign of this: {what}"));
            }
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    fn write_record(&self) {
        let lines = self
            .lines
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner());
        let mut lines = lines.clone();
        let events = fs::read_to_string(self.events_path()).unwrap_or_default();
        lines.extend(events.lines().filter_map(|line| {
            let (time, text) = line.split_once(' ')?;
            Some((time.parse().ok()?, text.to_owned()))
        }));
        lines.sort_by_key(|(time, _)| *time);
        let begin = lines.first().map_or(0, |(time, _)| *time);
        let record = fs::File::create(&self.record_path);
        let mut record = record.expect("the record is created");
        for (time, text) in lines {
            let seconds = (time - begin) as f64 / 1_000.0;
            let _ = writeln!(record, "{seconds:8.3} {text}");
        }
    }

    /// Writes the record, ends all processes and exits with what the case showed.
    pub fn finish(&self, is_broken: bool, verdict: &str) -> ! {
        let result = if is_broken {
            "the rule is broken"
        } else {
            "the rule held"
        };
        self.note(&format!("{result}: {verdict}"));
        self.write_record();
        kill_all(&self.children);
        if std::env::var("KEEP_LOGS").is_err() {
            let _ = fs::remove_dir_all(&self.folder);
        }
        exit(i32::from(is_broken))
    }
}

fn parse_event(line: &str) -> Option<RunEvent> {
    let mut words = line.split(' ');
    let unix_ms = words.next()?.parse().ok()?;
    let worker = words.next()?.strip_prefix("worker=")?.to_owned();
    let event = words.next()?.to_owned();
    let task = words.next().unwrap_or("").to_owned();
    let how = line
        .rsplit_once("how=")
        .map_or("", |(_, how)| how)
        .to_owned();
    Some(RunEvent {
        unix_ms,
        worker,
        event,
        task,
        how,
    })
}

/// Returns a job of `count` tasks that each take `work_ms`.
pub fn finite_job(count: u64, cpu_milli: u64, work_ms: u64) -> Json {
    job(
        &format!("work={work_ms}"),
        [
            ("Count", Json::from(count)),
            ("Cpu", Json::from(cpu_milli)),
            ("MemMb", Json::from(256)),
            ("EstimateMs", Json::from(work_ms)),
        ],
    )
}

/// Returns a job with one step.
pub fn job<const N: usize>(text: &str, step: [(&str, Json); N]) -> Json {
    object([
        ("Spec", Json::from(text)),
        ("Steps", Json::List(vec![object(step)])),
    ])
}

fn configuration() -> Json {
    let route = object([
        ("Name", Json::from("r-queue")),
        ("Host", Json::from(HOST)),
        ("PathPrefix", Json::from(PREFIX)),
        ("Kind", Json::from("non_idempotent")),
        ("TimeoutMs", Json::from(3_000)),
        ("TargetLatencyMs", Json::from(2_500)),
        ("Priority", Json::from(0)),
        ("Service", Json::from(SERVICE)),
        ("MaxAttempts", Json::from(4)),
        ("Stretch", Json::Number(2.2)),
    ]);
    let service = object([
        ("Name", Json::from(SERVICE)),
        ("EnforcesCapacity", Json::from(false)),
    ]);
    object([
        ("Version", Json::from(3)),
        ("Routes", Json::List(vec![route])),
        ("Services", Json::List(vec![service])),
        ("Limits", object([("MaxBodyBytes", Json::from(262_144))])),
    ])
}

/// Returns the settings of a process, as the platform writes them for a small deployment.
fn settings(
    name: &str,
    [front, ready, control]: [SocketAddr; 3],
    internal: u16,
    store: SocketAddr,
    cloud: SocketAddr,
) -> String {
    format!(
        "NodeName={name}\nRole=edge\nMachineClass=edge\nServes=edge\nIp=127.0.0.1\nZone=zone-a\n\
         Region=region-a\nZones.zone-a=region-a\nListen.Front={front}\nListen.Ready={ready}\n\
         Listen.Control={control}\nInternalPortRange={internal},{}\nBootstrap=true\n\
         Limits.CpuShare=0.25\nLimits.Cores=1\nLimits.MemoryMb=260\nLimits.MaxFds=4100\n\
         Limits.LinkMbps=1000.0\nDiscovery=platform\nEntry=vip\nHeartbeatMs=1500\n\
         Contracts=base,drain,config,cost,recover,sched,platform,upkeep\n\
         Bounds.ContactMs=3000\nBounds.AckTimeoutMs=4000\nBounds.DrainMs=2000\nBounds.GraceS=6\n\
         Bounds.ConfigApplyMs=2000\nBounds.HoldMaxMs=6000\nBounds.StopMs=900\nBounds.GangMs=3000\n\
         Bounds.cancel_ms=3000\nBounds.visible_ms=3000\nBounds.early_ms=250\nBounds.finish_s=14\n\
         Bounds.status_s=120\nBounds.NoticeMs=4500\nBounds.MoveS=1.5\nBounds.MaintenanceS=2\n\
         Bounds.FencingEnabled=false\nBounds.LeaseMs=3000\nCommands=dispatch\nAdvice=\n\
         platform.Address={store}\nplatform.form=log\nplatform.WritesPerS=800\n\
         platform.ReadsPerS=2000\nplatform.parts=24\nplatform.RecordBytes=262144\n\
         platform.CallBytes=2097152\nplatform.keep_s=300\nplatform.TtlMinMs=1000\n\
         Cloud.Address={cloud}\nCloud.RatePerS=64.0\nCloud.DutyPerS=64.0\n",
        internal + 1
    )
}

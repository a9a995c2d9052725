//! A small deployment: the store, machines, and processes of the system.

use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::http;
use crate::machine::{Machine, Seen, serve_cloud};
use crate::record::Record;
use crate::store::Store;

pub const HOST: &str = "jobs.example";
/// The clients' deadline in the users' sheets.
const DEADLINE: Duration = Duration::from_millis(3_000);
const PROGRAM: &str = "target/release/cyclamentrail";

pub struct Site {
    pub store: Arc<Store>,
    pub machines: Arc<Vec<Arc<Machine>>>,
    pub seen: Arc<Mutex<Vec<Seen>>>,
    pub record: Arc<Record>,
    pub processes: Vec<Process>,
    store_address: SocketAddr,
    cloud_address: SocketAddr,
    folder: PathBuf,
    next: std::cell::Cell<usize>,
}

pub struct Process {
    pub name: String,
    pub front: SocketAddr,
    ready: SocketAddr,
    child: Child,
}

impl Drop for Site {
    fn drop(&mut self) {
        for process in &mut self.processes {
            let _ = process.child.kill();
            let _ = process.child.wait();
        }
        let _ = std::fs::remove_file(self.folder.join("pids"));
    }
}

/// Describes a queue in the configuration.
pub fn route(name: &str, prefix: &str, service: &str) -> Value {
    json!({
        "Name": name, "Host": HOST, "PathPrefix": prefix, "Kind": "non_idempotent",
        "TimeoutMs": 3_000, "TargetLatencyMs": 600, "Priority": 0, "Service": service,
        "MaxAttempts": 3, "Stretch": 1.6,
    })
}

impl Site {
    /// Starts `processes` processes and, for each service, as many machines.
    pub fn start(
        folder: &Path,
        record: Record,
        services: &[(&str, usize)],
        processes: usize,
    ) -> Self {
        let (record, store) = (Arc::new(record), Arc::new(Store::default()));
        let seen: Arc<Mutex<Vec<Seen>>> = Arc::default();
        let served = Arc::clone(&store);
        let store_address = http::serve(move |request| served.handle(request));
        let mut machines = Vec::new();
        for (service, count) in services {
            for _ in 0..*count {
                let name = format!("m-{}", machines.len() + 1);
                // Four machines a rack, as the users' sheets have it.
                let rack = ["r1-1", "r1-2", "r1-3", "r1-4"][machines.len() / 4 % 4];
                machines.push(Machine::start(&name, rack, service, &store, &record, &seen));
            }
        }
        let machines = Arc::new(machines);
        let cloud_address = serve_cloud(Arc::clone(&machines), Arc::clone(&record));
        let mut site = Self {
            store,
            machines,
            seen,
            record,
            store_address,
            cloud_address,
            processes: Vec::new(),
            folder: folder.to_owned(),
            next: std::cell::Cell::new(0),
        };
        for number in 1..=processes {
            site.add_process(number);
        }
        site
    }

    fn add_process(&mut self, number: usize) {
        let first = free_ports(8);
        let name = format!("edge-z1-{number}");
        let [front, ready, control] = [first, first + 1, first + 2];
        let mut text = format!(
            "NodeName={name}\nRole=edge\nMachineClass=edge\nServes=edge\nIp=127.0.0.1\nZone=z1\nRegion=r\n\
             Zones.z1=r\nListen.Front=127.0.0.1:{front}\nListen.Ready=127.0.0.1:{ready}\n\
             Listen.Control=127.0.0.1:{control}\nInternalPortRange={},{}\nSeeds=\nBootstrap=true\n",
            first + 3,
            first + 7
        );
        text += &format!(
            "platform.Address={}\nCloud.Address={}\n",
            self.store_address, self.cloud_address
        );
        text += include_str!("settings.conf");
        let settings = self.folder.join(format!("{name}.conf"));
        std::fs::write(&settings, text).expect("the settings file can be written");
        let child = self.spawn(&name, &settings);
        let address = |port| SocketAddr::from(([127, 0, 0, 1], port));
        let (front, ready) = (address(front), address(ready));
        self.processes.push(Process {
            name,
            front,
            ready,
            child,
        });
    }

    fn spawn(&self, name: &str, settings: &Path) -> Child {
        let path = self.folder.join(format!("{name}.log"));
        let log = std::fs::File::options()
            .create(true)
            .append(true)
            .open(path)
            .expect("a log file");
        let child = Command::new(PROGRAM)
            .arg("edge")
            .env("CYCLAMENTRAIL_CONFIG", settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log file"))
            .stderr(log)
            .spawn()
            .expect("the program of the deploy file is built");
        // The script ends what is left, should this program be ended.
        let pids = std::fs::File::options()
            .create(true)
            .append(true)
            .open(self.folder.join("pids"));
        let written = pids.and_then(|mut pids| writeln!(pids, "{}", child.id()));
        written.expect("the file of the process ids can be written");
        child
    }

    /// The operator writes a configuration.
    pub fn configure(&self, version: u64, routes: &[Value], services: &[&str], timeout_ms: u64) {
        let services: Vec<Value> = services
            .iter()
            .map(|name| {
                json!({
                    "Name": name, "HealthPath": "/healthz", "MaxConns": 64, "Protocol": "h1",
                    "Tls": false, "EnforcesCapacity": false, "Standby": false,
                })
            })
            .collect();
        let mut routes = routes.to_vec();
        for route in &mut routes {
            route["TimeoutMs"] = json!(timeout_ms);
        }
        let body = json!({
            "Version": version, "Routes": routes, "Services": services,
            "Limits": {"MaxHeaderBytes": 16_384, "MaxBodyBytes": 262_144, "HeaderTimeoutMs": 3_000,
                       "IdleTimeoutMs": 15_000},
        });
        self.store
            .put("keyed.op", "config", body.to_string().as_bytes());
        self.record.write(&format!(
            "operator: version {version} is acknowledged: {}",
            body["Routes"]
        ));
    }

    /// Waits until all processes are ready.
    pub fn wait_ready(&self) -> bool {
        let limit = Duration::from_secs(1);
        let is_ready = |process: &Process| {
            let answer = http::call(process.ready, "GET", "/readyz", "ready", "", limit);
            answer.is_some_and(|(status, _)| status == 200)
        };
        self.wait(20_000, || self.processes.iter().all(is_ready))
    }

    /// Waits until a condition holds; returns whether it did in time.
    pub fn wait(&self, limit_ms: u64, condition: impl Fn() -> bool) -> bool {
        let deadline = Instant::now() + Duration::from_millis(limit_ms);
        while Instant::now() < deadline {
            if condition() {
                return true;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        false
    }

    /// One call of a client at a process.
    pub fn call(
        &self,
        process: usize,
        method: &str,
        path: &str,
        body: &str,
    ) -> Option<(u16, String)> {
        let process = &self.processes[process];
        let answer = http::call(process.front, method, path, HOST, body, DEADLINE);
        let shown = match &answer {
            Some((status, body)) => format!("{status} {body}"),
            None => "no answer".to_owned(),
        };
        let sent = if body.len() > 300 { "(long)" } else { body };
        self.record.write(&format!(
            "client: {method} {path} {sent} at {} -> {shown}",
            process.name
        ));
        answer
    }

    /// Hands a job in as a client does: again, at another process, until it is accepted.
    pub fn submit(&self, path: &str, body: &str) -> bool {
        for _ in 0..12 {
            let process = self.next.get();
            self.next.set((process + 1) % self.processes.len());
            if let Some((200, _)) = self.call(process, "POST", path, body) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(400));
        }
        false
    }

    /// Returns what a GET for a job shows.
    pub fn state(&self, process: usize, path: &str) -> String {
        match self.call(process, "GET", path, "") {
            Some((200, body)) => {
                let body: Value = serde_json::from_str(&body).unwrap_or_default();
                body["State"].as_str().unwrap_or("").to_owned()
            }
            Some((status, _)) => status.to_string(),
            None => "none".to_owned(),
        }
    }

    /// Returns the index of the process that owns a service, by its claim in the store.
    pub fn owner(&self, service: &str) -> Option<usize> {
        let claim = self.store.newest("keyed.owners", service)?;
        let claim = String::from_utf8_lossy(&claim).into_owned();
        self.processes
            .iter()
            .position(|process| claim.contains(&process.name))
    }

    /// Sends a process SIGTERM, as the platform does to stop it.
    pub fn terminate(&self, index: usize) {
        let process = &self.processes[index];
        self.record
            .write(&format!("disruption: SIGTERM for {}", process.name));
        let pid = process.child.id().to_string();
        let _ = Command::new("kill").args(["-TERM", &pid]).status();
    }

    /// Starts the processes again that have ended since they were sent SIGTERM.
    pub fn start_ended(&mut self) {
        for index in 0..self.processes.len() {
            if !matches!(self.processes[index].child.try_wait(), Ok(None)) {
                let name = self.processes[index].name.clone();
                let settings = self.folder.join(format!("{name}.conf"));
                self.processes[index].child = self.spawn(&name, &settings);
                self.record
                    .write(&format!("platform: {name} is started again"));
            }
        }
    }

    /// Returns all that workers have begun.
    pub fn seen(&self) -> Vec<Seen> {
        self.seen.lock().unwrap().clone()
    }
}

/// Finds `count` free ports on end.
fn free_ports(count: u16) -> u16 {
    let mut first = 20_000 + (std::process::id() % 600) as u16 * 60;
    loop {
        let ports = first..first + count;
        let bound: Vec<_> = ports
            .filter_map(|port| TcpListener::bind(("127.0.0.1", port)).ok())
            .collect();
        if bound.len() == usize::from(count) {
            static TAKEN: Mutex<Vec<u16>> = Mutex::new(Vec::new());
            let mut taken = TAKEN.lock().unwrap();
            if !taken.contains(&first) {
                taken.push(first);
                return first;
            }
        }
        first = if first > 60_000 {
            20_000
        } else {
            first + count
        };
    }
}

//! A small deployment: the project's stand-in of the store, workers, a stand-in of the machine service,
//! the processes of the system as the deploy file starts them, and a client.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use cyclamentrail_standin::{JobStore, ProcessPorts, Served};
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::machines::{Machines, Order};
use crate::proxy::{self, Cut, Watch};
use crate::record::Record;
use crate::worker::{Kind, Workers};

/// Host of all queues.
pub const HOST: &str = "jobs.example";
/// Time that a client waits for a response.
const DEADLINE: Duration = Duration::from_millis(3_000);
/// Longest time until the site serves.
const START_LIMIT: Duration = Duration::from_secs(15);

pub type Error = Box<dyn std::error::Error + Send + Sync>;

/// A queue of the configuration.
pub struct Queue {
    pub prefix: &'static str,
    pub service: &'static str,
    pub priority: u32,
    pub max_attempts: u32,
}

/// A process of the system, which is killed when the value is dropped.
struct Process {
    child: Child,
    front: SocketAddr,
    ready: SocketAddr,
}

impl Drop for Process {
    fn drop(&mut self) {
        drop(self.child.kill());
        drop(self.child.wait());
    }
}

pub struct Site {
    pub workers: Arc<Workers>,
    pub record: Arc<Record>,
    processes: Vec<Process>,
    next_process: AtomicU64,
    folder: PathBuf,
    machines: Arc<Machines>,
    served_machines: Served,
    store: Arc<JobStore>,
    cuts: Vec<Arc<Cut>>,
}

impl Drop for Site {
    fn drop(&mut self) {
        self.processes.clear();
        drop(std::fs::remove_dir_all(&self.folder));
    }
}

/// Answer of the system to a client.
#[derive(Debug, Clone)]
pub enum Answer {
    Status(u16, Value),
    /// No whole response, with the cause.
    None(String),
}

impl Answer {
    pub fn status(&self) -> u16 {
        match self {
            Self::Status(status, _) => *status,
            Self::None(_) => 0,
        }
    }
}

impl Site {
    /// Starts a deployment of `processes` machines.
    pub async fn start(
        record: &Arc<Record>,
        processes: usize,
        kinds: Vec<Kind>,
        queues: &[Queue],
    ) -> Result<Self, Error> {
        Self::start_with(record, processes, kinds, queues, None).await
    }

    /// Does the same, with links to the platform that can be cut; `watch` sees what is sent to the service
    /// for machines.
    pub async fn start_cuttable(
        record: &Arc<Record>,
        processes: usize,
        kinds: Vec<Kind>,
        queues: &[Queue],
        watch: Watch,
    ) -> Result<Self, Error> {
        Self::start_with(record, processes, kinds, queues, Some(watch)).await
    }

    async fn start_with(
        record: &Arc<Record>,
        processes: usize,
        kinds: Vec<Kind>,
        queues: &[Queue],
        watch: Option<Watch>,
    ) -> Result<Self, Error> {
        let store = Arc::new(JobStore::start(SocketAddr::from(([127, 0, 0, 1], 0))).await?);
        store.put("keyed.op", "config", &configuration(queues));
        let workers = Workers::start(kinds, &store, record).await?;
        workers.register_all();
        let (machines, served_machines) = Machines::start(&workers, record).await?;
        let folder = std::env::temp_dir().join(format!("review-3-{}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        let mut site = Self {
            workers,
            record: Arc::clone(record),
            processes: Vec::new(),
            next_process: AtomicU64::new(0),
            folder,
            machines,
            served_machines,
            store,
            cuts: Vec::new(),
        };
        for index in 0..processes {
            let mut store = site.store.address();
            let mut cloud = site.served_machines.address();
            if let Some(watch) = &watch {
                let cut = Cut::new(format!("edge-zone-a-{index}"), record);
                store = proxy::start(store, Arc::clone(&cut), None).await?;
                cloud = proxy::start(cloud, Arc::clone(&cut), Some(Arc::clone(watch))).await?;
                site.cuts.push(cut);
            }
            let process = site.start_process(index, store, cloud)?;
            site.processes.push(process);
        }
        site.wait_ready().await?;
        Ok(site)
    }

    /// Starts a process with the command of the deploy file and settings as DEPLOY.md shows them.
    fn start_process(
        &self,
        index: usize,
        store: SocketAddr,
        cloud: SocketAddr,
    ) -> Result<Process, Error> {
        let ports = ProcessPorts::allocate()?;
        let path = self.folder.join(format!("edge-{index}.conf"));
        let text = format!(
            "NodeName=edge-zone-a-{index}\nRole=edge\nMachineClass=edge\nServes=edge\nIp=127.0.0.1\n\
             Zone=zone-a\nRegion=region-a\nZones.zone-a=region-a\nListen.Front=127.0.0.1:{front}\n\
             Listen.Ready=127.0.0.1:{ready}\nInternalPortRange={first},{last}\nBootstrap=true\n\
             FaultCounted=false\nLimits.CpuShare=0.25\nLimits.Cores=1\nLimits.MemoryMb=260\n\
             Limits.MaxFds=4100\nLimits.LinkMbps=1000.0\nLimits.DiskMb=0\nDiscovery=platform\nEntry=vip\n\
             HeartbeatMs=1500\n\
             Contracts=base,drain,config,cost,recover,sched,platform,advice,upkeep,sharing\n\
             FaultTolerance.Machines=1\nFaultTolerance.Zones=0\nFaultTolerance.Regions=0\n\
             Bounds.ContactMs=3000\nBounds.AckTimeoutMs=4000\nBounds.DrainMs=2000\nBounds.GraceS=6\n\
             Bounds.ConfigApplyMs=2000\nBounds.RecoverS=12\nBounds.HoldMaxMs=6000\nBounds.StopMs=900\n\
             Bounds.GangMs=3000\nBounds.cancel_ms=3000\nBounds.visible_ms=3000\nBounds.early_ms=250\n\
             Bounds.finish_s=14\nBounds.status_s=120\nBounds.RemoteFactor=2\nBounds.CheckpointS=0.5\n\
             Bounds.RestoreMs=100\nBounds.NoticeMs=4500\nBounds.MoveS=1.5\nBounds.MaintenanceS=2\n\
             Bounds.FencingEnabled=false\nBounds.LeaseMs=3000\nBounds.ThawMs=300\nBounds.PaceMs=100\n\
             Bounds.HarmMs=4000\nCommands=dispatch\nplatform.Address={store}\nplatform.form=log\n\
             platform.WritesPerS=800\nplatform.ReadsPerS=2000\nplatform.parts=24\nplatform.AppendMs=1.0\n\
             platform.PartMbS=20.0\nplatform.ReadMbS=80.0\nplatform.RecordBytes=262144\n\
             platform.CallBytes=2097152\nplatform.keep_s=300\nplatform.PartMb=200\n\
             platform.TtlMinMs=1000\nCloud.Address={cloud}\nCloud.RatePerS=64.0\nCloud.Duties=\n\
             Cloud.DutyPerS=64.0\n",
            front = ports.caller,
            ready = ports.ready,
            first = ports.internal,
            last = ports.internal + 1,
        );
        std::fs::write(&path, text)?;
        let log = std::fs::File::create(self.folder.join(format!("edge-{index}.log")))?;
        let child = Command::new("target/release/cyclamentrail")
            .arg("edge")
            .env("CYCLAMENTRAIL_CONFIG", &path)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()
            .map_err(|error| format!("target/release/cyclamentrail: {error}; build it first"))?;
        self.record.line(&format!(
            "process edge-zone-a-{index} starts, pid {}",
            child.id()
        ));
        Ok(Process {
            child,
            front: SocketAddr::from(([127, 0, 0, 1], ports.caller)),
            ready: SocketAddr::from(([127, 0, 0, 1], ports.ready)),
        })
    }

    async fn wait_ready(&self) -> Result<(), Error> {
        let begun = Instant::now();
        for process in &self.processes {
            while call(process.ready, "GET", "/readyz", None).await.status() != 200 {
                if begun.elapsed() > START_LIMIT {
                    return Err("a process isn't ready in time".into());
                }
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
        // Traffic starts 10 s after the machines; a few are enough here.
        tokio::time::sleep(Duration::from_secs(3)).await;
        Ok(())
    }

    /// Ends the cut of a process.
    pub fn end_cut(&self, name: &str) {
        for cut in self.cuts.iter().filter(|cut| cut.name == name) {
            cut.set(false);
        }
    }

    /// Asks for a wave of upkeep.
    pub fn ask_wave(&self, number: u64, machines: &[String], duration_s: u64, cap: u64) {
        let wave =
            json!({"Wave": number, "Machines": machines, "DurationS": duration_s, "Cap": cap});
        self.record.line(&format!("op/wave/{number} {wave}"));
        self.store.put("keyed.op", &format!("wave/{number}"), &wave);
    }

    /// Returns the orders that the service for machines got.
    pub fn orders(&self) -> Vec<Order> {
        self.machines.orders()
    }

    /// Returns the number of machines that have begun their upkeep.
    pub fn kept(&self) -> usize {
        self.machines.kept()
    }

    /// Copies the logs of the processes beside the record, where the variable KEEP_LOGS asks for it.
    pub fn keep_logs(&self, folder: &Path) {
        if std::env::var("KEEP_LOGS").is_ok() {
            for index in 0..self.processes.len() {
                let name = format!("edge-{index}.log");
                drop(std::fs::copy(self.folder.join(&name), folder.join(&name)));
            }
        }
    }

    /// Sends a request to the next process in turn.
    pub async fn call(&self, method: &str, path: &str, body: Option<&Value>) -> Answer {
        let turn = self.next_process.fetch_add(1, Ordering::Relaxed) as usize;
        let process = &self.processes[turn % self.processes.len()];
        let answer = call(process.front, method, path, body).await;
        match &answer {
            Answer::Status(status, Value::Null) => {
                self.record.line(&format!("{method} {path} -> {status}"))
            }
            Answer::Status(status, body) => self
                .record
                .line(&format!("{method} {path} -> {status} {body}")),
            Answer::None(cause) => self
                .record
                .line(&format!("{method} {path} -> no answer ({cause})")),
        }
        answer
    }

    /// Hands a job in: again after no answer, 502 or 504, and a second after 429 or 503, five times at
    /// most. Returns whether it was accepted.
    pub async fn submit(&self, prefix: &str, id: &str, job: &Value) -> bool {
        for attempt in 0..5 {
            let answer = self.call("POST", &format!("{prefix}{id}"), Some(job)).await;
            match answer.status() {
                200..=299 => return true,
                429 | 503 => tokio::time::sleep(Duration::from_secs(1)).await,
                _ if attempt < 4 => tokio::time::sleep(Duration::from_millis(200)).await,
                _ => {}
            }
        }
        false
    }

    /// Returns the state of a job; asks again after no answer.
    pub async fn state(&self, prefix: &str, id: &str) -> String {
        for _ in 0..5 {
            let answer = self.call("GET", &format!("{prefix}{id}"), None).await;
            if let Answer::Status(200, body) = &answer {
                return body["State"].as_str().unwrap_or("?").to_owned();
            }
            if answer.status() == 410 {
                return String::from("410");
            }
            tokio::time::sleep(Duration::from_millis(200)).await;
        }
        String::from("no answer")
    }
}

fn configuration(queues: &[Queue]) -> Value {
    let routes: Vec<Value> = queues
        .iter()
        .enumerate()
        .map(|(index, queue)| {
            json!({
                "Name": format!("r-{index}"), "Host": HOST, "PathPrefix": queue.prefix,
                "Kind": "non_idempotent", "TimeoutMs": 3_000, "TargetLatencyMs": 600,
                "Priority": queue.priority, "Service": queue.service,
                "MaxAttempts": queue.max_attempts, "Stretch": 1.6,
            })
        })
        .collect();
    let mut services: Vec<&str> = queues.iter().map(|queue| queue.service).collect();
    services.dedup();
    let services: Vec<Value> = services.iter().map(|name| json!({"Name": name})).collect();
    json!({"Version": 3, "Routes": routes, "Services": services})
}

async fn call(address: SocketAddr, method: &str, path: &str, body: Option<&Value>) -> Answer {
    match tokio::time::timeout(DEADLINE, exchange(address, method, path, body)).await {
        Ok(Ok(answer)) => answer,
        Ok(Err(error)) => Answer::None(error.to_string()),
        Err(_elapsed) => Answer::None(String::from("deadline")),
    }
}

/// Sends one request on a connection of its own.
async fn exchange(
    address: SocketAddr,
    method: &str,
    path: &str,
    body: Option<&Value>,
) -> Result<Answer, Error> {
    let body = body.map(Value::to_string).unwrap_or_default();
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nContent-Type: application/json\r\n\
         Deadline-Ms: {}\r\nContent-Length: {}\r\nConnection: close\r\n\r\n",
        DEADLINE.as_millis(),
        body.len()
    );
    let mut stream = TcpStream::connect(address).await?;
    stream.write_all(head.as_bytes()).await?;
    stream.write_all(body.as_bytes()).await?;
    let mut response = Vec::new();
    stream.read_to_end(&mut response).await?;
    let text = String::from_utf8_lossy(&response);
    let (head, body) = text.split_once("\r\n\r\n").ok_or("no whole response")?;
    let status = head
        .split_whitespace()
        .nth(1)
        .and_then(|word| word.parse().ok());
    let value = serde_json::from_str(body).unwrap_or(Value::Null);
    Ok(Answer::Status(status.ok_or("no status")?, value))
}

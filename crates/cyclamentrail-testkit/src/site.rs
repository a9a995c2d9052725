//! A small site of separate processes.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::Write as _;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use anyhow::{Result, bail};
use cyclamentrail_core::{BootId, InstanceName};
use cyclamentrail_platform::{ListedInstance, ListedState};
use cyclamentrail_standin::{BackendFault, BackendReport, LogFault};
use http_body_util::Full;
use hyper::Request;
use serde_json::{Value, json};
use tempfile::TempDir;

use crate::client::{Answer, Client};
use crate::process::Process;

/// Token of operators and peers in tests.
pub const TOKEN: &str = "test-token";
/// Longest time that a test waits for the site to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// Interval between two looks at a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Builds a site.
#[derive(Debug, Clone)]
pub struct SiteBuilder {
    entries: usize,
    instances: usize,
    slots: u32,
    patch: Value,
}

/// A running site: two pools (`checks` and `renders`) with a service each of the same name.
#[derive(Debug)]
pub struct Site {
    /// The log service.
    pub log: Process,
    /// The instance list.
    pub list: Process,
    /// The backend servers by instance name.
    pub backends: BTreeMap<String, Process>,
    /// The entries.
    pub entries: Vec<Process>,
    /// Client of the test.
    pub client: Client,
    folder: TempDir,
}

impl SiteBuilder {
    /// Sets the number of entries.
    #[must_use]
    pub const fn entries(mut self, entries: usize) -> Self {
        self.entries = entries;
        self
    }

    /// Sets the number of instances; the first half is in pool `checks`.
    #[must_use]
    pub const fn instances(mut self, instances: usize) -> Self {
        self.instances = instances;
        self
    }

    /// Sets the slots of each instance.
    #[must_use]
    pub const fn slots(mut self, slots: u32) -> Self {
        self.slots = slots;
        self
    }

    /// Sets a JSON merge patch on the settings.
    #[must_use]
    pub fn patch(mut self, patch: Value) -> Self {
        self.patch = patch;
        self
    }

    /// Starts the site and waits until every entry is ready.
    ///
    /// # Errors
    ///
    /// Returns an error when a process doesn't start or an entry doesn't become ready.
    pub async fn start(self) -> Result<Site> {
        let log = Process::spawn("cyclamentrail-standin", &[String::from("log")], &[])?;
        let list = Process::spawn("cyclamentrail-standin", &[String::from("list")], &[])?;
        let folder = TempDir::new()?;
        let mut document = self.document(log.address("")?, list.address("")?);
        merge(&mut document, &self.patch);
        write_json(&folder, "base.json", &document)?;
        let mut site = Site {
            log,
            list,
            backends: BTreeMap::new(),
            entries: Vec::new(),
            client: Client::new(),
            folder,
        };
        for number in 0..self.instances {
            site.start_backend(&instance_name(number), self.slots, 1)
                .await?;
        }
        for number in 0..self.entries {
            site.start_entry(&format!("e{}", number + 1))?;
        }
        for number in 0..self.entries {
            site.wait_ready(number).await?;
        }
        Ok(site)
    }

    fn document(&self, log: SocketAddr, list: SocketAddr) -> Value {
        let names: Vec<String> = (0..self.instances).map(instance_name).collect();
        let (checks, renders) = names.split_at(self.instances.div_ceil(2));
        let racks: BTreeMap<String, &[String]> = names
            .chunks(4)
            .enumerate()
            .map(|(number, rack)| (format!("r{}", number + 1), rack))
            .collect();
        let service = |pool: &str| {
            json!({
                "pool": pool,
                "contract": {"promised_instances": 1, "budget_instance_s": 3600,
                             "window_s": 86400, "survives": "instance"},
                "default_deadline_ms": 5000, "mean_work_ms": 5.0, "mean_rate_per_s": 10.0,
            })
        };
        let entry = json!({
            "zone": "a", "caller_address": "127.0.0.1:0",
            "peer_address": "127.0.0.1:0", "operator_address": "127.0.0.1:0",
        });
        let entries: BTreeMap<String, &Value> = (1..=32)
            .map(|number| (format!("e{number}"), &entry))
            .collect();
        json!({
            "site": "test", "region": "test",
            "zones": {"a": {"zone_delay_us": 0, "caller_delay_us": 0, "racks": racks}},
            "worker": {"cores": 4, "memory_mib": 4096, "slots": self.slots, "connections": 64},
            "pools": {"checks": {"instances": checks}, "renders": {"instances": renders}},
            "services": {"checks": service("checks"), "renders": service("renders")},
            "cost_weights": {"buffer": 1.0, "roll_out": 1.0, "moves": 1.0},
            "entries": entries,
            "requests": {"max_deadline_ms": 60000, "connect_timeout_ms": 500,
                         "retry_budget_ratio": 0.1, "max_waiting": 256,
                         "max_body_bytes": 1_048_576, "key_memory_ms": 3_600_000},
            "caller_limits": {"max_connections": 1024, "max_requests": 1024,
                              "max_header_bytes": 32768, "header_timeout_ms": 2000,
                              "body_timeout_ms": 2000},
            "control": {"heartbeat_ms": 100, "dispatch_lease_ms": 1000, "append_delay_ms": 5,
                        "list_interval_ms": 100, "snapshot_records": 1000,
                        "platform_timeout_ms": 500},
            "platform": {"log_address": log, "list_address": list, "control_stream": "control"},
            "token": {"environment": "CYCLAMENTRAIL_TOKEN"},
            "log": {"level": "info", "destination": "stderr"},
        })
    }
}

impl Site {
    /// Returns a builder of a site with 2 entries and 4 instances of 8 slots.
    #[must_use]
    pub const fn builder() -> SiteBuilder {
        SiteBuilder {
            entries: 2,
            instances: 4,
            slots: 8,
            patch: Value::Null,
        }
    }

    /// Starts a backend server and puts it on the list.
    ///
    /// # Errors
    ///
    /// Returns an error when it doesn't start.
    pub async fn start_backend(&mut self, name: &str, slots: u32, boot: u64) -> Result<()> {
        let arguments = [
            String::from("backend"),
            format!("--name={name}"),
            format!("--slots={slots}"),
        ];
        let process = Process::spawn("cyclamentrail-standin", &arguments, &[])?;
        let listed = ListedInstance {
            name: InstanceName::from(name),
            address: process.address("")?,
            boot: BootId::new(boot),
            state: ListedState::Live,
        };
        self.backends.insert(name.to_owned(), process);
        let list = self.list.address("")?;
        self.client
            .post_json(list, "/_standin/instances", None, &listed)
            .await?;
        Ok(())
    }

    /// Starts one more entry; it isn't waited for.
    ///
    /// # Errors
    ///
    /// Returns an error when it doesn't start.
    pub fn start_entry(&mut self, name: &str) -> Result<()> {
        self.start_entry_with(name, &json!({}))
    }

    /// Starts one more entry with its own patch on the settings; it isn't waited for.
    ///
    /// # Errors
    ///
    /// Returns an error when it doesn't start.
    pub fn start_entry_with(&mut self, name: &str, patch: &Value) -> Result<()> {
        let overlay = format!("overlay-{name}.json");
        write_json(&self.folder, &overlay, patch)?;
        let file = |file: &str| self.folder.path().join(file).display().to_string();
        let arguments = [
            String::from("entry"),
            format!("--settings={}", file("base.json")),
            format!("--overlay={}", file(&overlay)),
            format!("--name={name}"),
        ];
        let environment = [("CYCLAMENTRAIL_TOKEN", TOKEN)];
        let process = Process::spawn("cyclamentrail", &arguments, &environment)?;
        self.entries.push(process);
        Ok(())
    }

    /// Waits until an entry is ready.
    ///
    /// # Errors
    ///
    /// Returns an error when it doesn't become ready in time.
    pub async fn wait_ready(&self, entry: usize) -> Result<()> {
        let until = Instant::now() + READY_TIMEOUT;
        while Instant::now() < until {
            if let Ok(state) = self.state(entry).await
                && state["may_dispatch"] == true
                && state["links"]
                    .as_object()
                    .is_some_and(|links| !links.is_empty())
            {
                return Ok(());
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        bail!("entry {entry} is not ready after {READY_TIMEOUT:?}")
    }

    /// Returns the state dump of an entry.
    ///
    /// # Errors
    ///
    /// Returns an error when the entry doesn't answer.
    pub async fn state(&self, entry: usize) -> Result<Value> {
        let address = self.entries[entry].address("operators")?;
        let request = Request::builder()
            .uri(format!("http://{address}/state"))
            .header("authorization", format!("Bearer {TOKEN}"))
            .body(Full::default())?;
        let answer = self.client.send(request).await?;
        Ok(serde_json::from_slice(&answer.body)?)
    }

    /// Asks an entry for a change of the settings; `presumes` is the version that it is made on.
    ///
    /// # Errors
    ///
    /// Returns an error when the entry doesn't answer.
    pub async fn change_settings(
        &self,
        entry: usize,
        operator: &str,
        presumes: Option<u64>,
        patch: &Value,
    ) -> Result<Answer> {
        let change = json!({"operator": operator, "presumes": presumes, "patch": patch});
        let address = self.entries[entry].address("operators")?;
        self.client
            .post_json(address, "/v1/settings", Some(TOKEN), &change)
            .await
    }

    /// Waits until the state dump of an entry meets a condition.
    ///
    /// # Errors
    ///
    /// Returns an error with the last dump when it doesn't do so in time.
    pub async fn wait_state(
        &self,
        entry: usize,
        limit: Duration,
        met: impl Fn(&Value) -> bool,
    ) -> Result<Duration> {
        let start = Instant::now();
        let mut last = Value::Null;
        while start.elapsed() < limit {
            if let Ok(state) = self.state(entry).await {
                if met(&state) {
                    return Ok(start.elapsed());
                }
                last = state;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        bail!("entry {entry} is not as expected after {limit:?}: {last}")
    }

    /// Drops the oldest records of the control stream, as retention does.
    ///
    /// # Errors
    ///
    /// Returns an error when the log service doesn't answer.
    pub async fn trim_log(&self, below: u64) -> Result<()> {
        let log = self.log.address("")?;
        let path = format!("/_standin/trim/control/{below}");
        self.client.post_json(log, &path, None, &()).await?;
        Ok(())
    }

    /// Sends a request for a service through an entry.
    ///
    /// # Errors
    ///
    /// Returns an error when there is no whole answer.
    pub async fn call(&self, entry: usize, service: &str, call_id: &str) -> Result<Answer> {
        self.call_path(entry, &format!("{service}/work?work_ms=5"), call_id)
            .await
    }

    /// Sends a request for a path below the services through an entry.
    ///
    /// # Errors
    ///
    /// Returns an error when there is no whole answer.
    pub async fn call_path(&self, entry: usize, path: &str, call_id: &str) -> Result<Answer> {
        let address = self.entries[entry].address("callers")?;
        let request = Request::builder()
            .uri(format!("http://{address}/v1/services/{path}"))
            .header("x-call-id", call_id)
            .body(Full::default())?;
        self.client.send(request).await
    }

    /// Returns what a backend server ran.
    ///
    /// # Errors
    ///
    /// Returns an error when it doesn't answer.
    pub async fn report(&self, name: &str) -> Result<BackendReport> {
        let address = self.backends[name].address("")?;
        let answer = self.client.get(address, "/_standin/report").await?;
        Ok(serde_json::from_slice(&answer.body)?)
    }

    /// Counts the runs of each call over the backend servers that still answer.
    pub async fn runs(&self) -> BTreeMap<String, u32> {
        let mut runs = BTreeMap::new();
        for name in self.backends.keys() {
            let Ok(report) = self.report(name).await else {
                continue;
            };
            for run in report.runs {
                *runs.entry(run.call_id).or_default() += 1;
            }
        }
        runs
    }

    /// Marks an instance as leaving on the list.
    ///
    /// # Errors
    ///
    /// Returns an error when the list doesn't answer.
    pub async fn mark_leaving(&self, name: &str) -> Result<()> {
        let list = self.list.address("")?;
        let path = format!("/_standin/leaving/{name}");
        self.client.post_json(list, &path, None, &()).await?;
        Ok(())
    }

    /// Puts an instance on the list that no process stands for.
    ///
    /// # Errors
    ///
    /// Returns an error when the list doesn't answer.
    pub async fn put_listed(&self, name: &str, address: SocketAddr) -> Result<()> {
        let listed = ListedInstance {
            name: InstanceName::from(name),
            address,
            boot: BootId::new(1),
            state: ListedState::Live,
        };
        let list = self.list.address("")?;
        self.client
            .post_json(list, "/_standin/instances", None, &listed)
            .await?;
        Ok(())
    }

    /// Takes an instance off the list.
    ///
    /// # Errors
    ///
    /// Returns an error when the list doesn't answer.
    pub async fn remove_listed(&self, name: &str) -> Result<()> {
        let list = self.list.address("")?;
        let path = format!("/_standin/remove/{name}");
        self.client.post_json(list, &path, None, &()).await?;
        Ok(())
    }

    /// Switches a fault of a backend server on or off.
    ///
    /// # Errors
    ///
    /// Returns an error when the backend server doesn't answer.
    pub async fn set_backend_fault(&self, name: &str, fault: BackendFault) -> Result<()> {
        let address = self.backends[name].address("")?;
        self.client
            .post_json(address, "/_standin/fault", None, &fault)
            .await?;
        Ok(())
    }

    /// Switches a fault of the log service on or off.
    ///
    /// # Errors
    ///
    /// Returns an error when the log service doesn't answer.
    pub async fn set_log_fault(&self, fault: LogFault) -> Result<()> {
        let log = self.log.address("")?;
        self.client
            .post_json(log, "/_standin/fault", None, &fault)
            .await?;
        Ok(())
    }
}

fn instance_name(number: usize) -> String {
    format!("w{:02}", number + 1)
}

fn merge(document: &mut Value, patch: &Value) {
    if !patch.is_null() {
        *document = cyclamentrail_core::merge_documents(document.take(), patch);
    }
}

fn write_json(folder: &TempDir, name: &str, value: &Value) -> Result<()> {
    let mut file = File::create(folder.path().join(name))?;
    file.write_all(&serde_json::to_vec_pretty(value)?)?;
    Ok(())
}

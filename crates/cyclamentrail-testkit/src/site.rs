//! A site of separate processes: log service, instance list, backend servers and entries.

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

use crate::client::{Client, ClientResponse};
use crate::process::Process;

/// Bearer token that entries require from operators and peers in tests.
pub const TOKEN: &str = "test-token";
/// Longest time that a test waits for an entry to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// Interval between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Sizes and settings of a [`Site`] to start.
#[derive(Debug, Clone)]
pub struct SiteBuilder {
    entries: usize,
    instances: usize,
    slots: u32,
    settings_patch: Value,
}

/// A running site with the pools `checks` and `renders` and a service of the same name on each.
///
/// Instances are named `w01`, `w02` and so on, entries `e1`, `e2` and so on. Parameters named
/// `entry` are indices into [`Site::entries`].
#[derive(Debug)]
pub struct Site {
    /// Process of the log service.
    pub log: Process,
    /// Process of the instance list service.
    pub list: Process,
    /// Processes of the backend servers by instance name.
    pub backends: BTreeMap<String, Process>,
    /// Processes of the entries in starting order.
    pub entries: Vec<Process>,
    /// HTTP client for requests to the processes.
    pub client: Client,
    /// Folder of the settings files; removed when the site is dropped.
    folder: TempDir,
}

impl SiteBuilder {
    /// Sets the number of entries, at most 32.
    #[must_use]
    pub const fn entries(mut self, entries: usize) -> Self {
        self.entries = entries;
        self
    }

    /// Sets the number of instances; the first half, rounded up, is in pool `checks`, the rest in
    /// `renders`.
    #[must_use]
    pub const fn instances(mut self, instances: usize) -> Self {
        self.instances = instances;
        self
    }

    /// Sets the number of slots of each instance.
    #[must_use]
    pub const fn slots(mut self, slots: u32) -> Self {
        self.slots = slots;
        self
    }

    /// Sets a JSON merge patch that is applied to the site's settings.
    #[must_use]
    pub fn patch(mut self, patch: Value) -> Self {
        self.settings_patch = patch;
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
        let mut settings = self.settings_document(log.address("")?, list.address("")?);
        apply_patch(&mut settings, &self.settings_patch);
        write_json(&folder, "base.json", &settings)?;
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

    fn settings_document(&self, log: SocketAddr, list: SocketAddr) -> Value {
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
            settings_patch: Value::Null,
        }
    }

    /// Starts a backend server and adds its instance to the instance list with the boot id `boot`.
    ///
    /// # Errors
    ///
    /// Returns an error when the process doesn't start.
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

    /// Starts one more entry without waiting until it is ready.
    ///
    /// # Errors
    ///
    /// Returns an error when the process doesn't start.
    pub fn start_entry(&mut self, name: &str) -> Result<()> {
        self.start_entry_with(name, &json!({}))
    }

    /// Starts one more entry with a settings patch of its own, without waiting until it is ready.
    ///
    /// # Errors
    ///
    /// Returns an error when the process doesn't start.
    pub fn start_entry_with(&mut self, name: &str, patch: &Value) -> Result<()> {
        let overlay = format!("overlay-{name}.json");
        write_json(&self.folder, &overlay, patch)?;
        let settings_path = |file: &str| self.folder.path().join(file).display().to_string();
        let arguments = [
            String::from("entry"),
            format!("--settings={}", settings_path("base.json")),
            format!("--overlay={}", settings_path(&overlay)),
            format!("--name={name}"),
        ];
        let environment = [("CYCLAMENTRAIL_TOKEN", TOKEN)];
        let process = Process::spawn("cyclamentrail", &arguments, &environment)?;
        self.entries.push(process);
        Ok(())
    }

    /// Waits until an entry may dispatch requests and has a link to a backend server.
    ///
    /// # Errors
    ///
    /// Returns an error when the entry isn't ready after 20 s.
    pub async fn wait_ready(&self, entry: usize) -> Result<()> {
        let deadline = Instant::now() + READY_TIMEOUT;
        while Instant::now() < deadline {
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

    /// Returns the state of an entry as the JSON document of its `/state` path.
    ///
    /// # Errors
    ///
    /// Returns an error when the entry doesn't respond.
    pub async fn state(&self, entry: usize) -> Result<Value> {
        let address = self.entries[entry].address("operators")?;
        let request = Request::builder()
            .uri(format!("http://{address}/state"))
            .header("authorization", format!("Bearer {TOKEN}"))
            .body(Full::default())?;
        let response = self.client.send(request).await?;
        Ok(serde_json::from_slice(&response.body)?)
    }

    /// Requests a settings change from an entry, which rejects the change when `presumed_version`
    /// is given and isn't the version in force.
    ///
    /// # Errors
    ///
    /// Returns an error when the entry doesn't respond.
    pub async fn change_settings(
        &self,
        entry: usize,
        operator: &str,
        presumed_version: Option<u64>,
        patch: &Value,
    ) -> Result<ClientResponse> {
        let change = json!({"operator": operator, "presumes": presumed_version, "patch": patch});
        let address = self.entries[entry].address("operators")?;
        self.client
            .post_json(address, "/v1/settings", Some(TOKEN), &change)
            .await
    }

    /// Waits until the state of an entry meets a condition and returns the time that this took.
    ///
    /// # Errors
    ///
    /// Returns an error with the last state when the condition isn't met before `timeout`.
    pub async fn wait_state(
        &self,
        entry: usize,
        timeout: Duration,
        is_met: impl Fn(&Value) -> bool,
    ) -> Result<Duration> {
        let start = Instant::now();
        let mut last_state = Value::Null;
        while start.elapsed() < timeout {
            if let Ok(state) = self.state(entry).await {
                if is_met(&state) {
                    return Ok(start.elapsed());
                }
                last_state = state;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        bail!("entry {entry} is not as expected after {timeout:?}: {last_state}")
    }

    /// Removes the records of the control stream below an offset, as retention does.
    ///
    /// # Errors
    ///
    /// Returns an error when the log service doesn't respond.
    pub async fn trim_log(&self, first_kept_offset: u64) -> Result<()> {
        let log = self.log.address("")?;
        let path = format!("/_standin/trim/control/{first_kept_offset}");
        self.client.post_json(log, &path, None, &()).await?;
        Ok(())
    }

    /// Sends a `GET` request with 5 ms of work to a service through an entry.
    ///
    /// # Errors
    ///
    /// Returns an error when the request fails or the response isn't complete within 30 s.
    pub async fn call(&self, entry: usize, service: &str, call_id: &str) -> Result<ClientResponse> {
        self.call_path(entry, &format!("{service}/work?work_ms=5"), call_id)
            .await
    }

    /// Sends a `GET` request to `/v1/services/{path}` through an entry.
    ///
    /// # Errors
    ///
    /// Returns an error when the request fails or the response isn't complete within 30 s.
    pub async fn call_path(
        &self,
        entry: usize,
        path: &str,
        call_id: &str,
    ) -> Result<ClientResponse> {
        let address = self.entries[entry].address("callers")?;
        let request = Request::builder()
            .uri(format!("http://{address}/v1/services/{path}"))
            .header("x-call-id", call_id)
            .body(Full::default())?;
        self.client.send(request).await
    }

    /// Returns the runs and counters that a backend server reports.
    ///
    /// # Errors
    ///
    /// Returns an error when the backend server doesn't respond.
    pub async fn backend_report(&self, name: &str) -> Result<BackendReport> {
        let address = self.backends[name].address("")?;
        let response = self.client.get(address, "/_standin/report").await?;
        Ok(serde_json::from_slice(&response.body)?)
    }

    /// Returns the number of runs by call id over all backend servers.
    ///
    /// Servers that don't respond are skipped.
    pub async fn runs_by_call(&self) -> BTreeMap<String, u32> {
        let mut runs = BTreeMap::new();
        for name in self.backends.keys() {
            let Ok(report) = self.backend_report(name).await else {
                continue;
            };
            for run in report.runs {
                *runs.entry(run.call_id).or_default() += 1;
            }
        }
        runs
    }

    /// Marks an instance on the instance list as leaving.
    ///
    /// # Errors
    ///
    /// Returns an error when the list service doesn't respond.
    pub async fn mark_leaving(&self, name: &str) -> Result<()> {
        let list = self.list.address("")?;
        let path = format!("/_standin/leaving/{name}");
        self.client.post_json(list, &path, None, &()).await?;
        Ok(())
    }

    /// Adds an instance to the instance list without starting a backend server.
    ///
    /// # Errors
    ///
    /// Returns an error when the list service doesn't respond.
    pub async fn add_listed_instance(&self, name: &str, address: SocketAddr) -> Result<()> {
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

    /// Removes an instance from the instance list.
    ///
    /// # Errors
    ///
    /// Returns an error when the list service doesn't respond.
    pub async fn remove_listed_instance(&self, name: &str) -> Result<()> {
        let list = self.list.address("")?;
        let path = format!("/_standin/remove/{name}");
        self.client.post_json(list, &path, None, &()).await?;
        Ok(())
    }

    /// Sets the simulated fault of a backend server; `BackendFault::None` ends the fault.
    ///
    /// # Errors
    ///
    /// Returns an error when the backend server doesn't respond.
    pub async fn set_backend_fault(&self, name: &str, fault: BackendFault) -> Result<()> {
        let address = self.backends[name].address("")?;
        self.client
            .post_json(address, "/_standin/fault", None, &fault)
            .await?;
        Ok(())
    }

    /// Sets the simulated fault of the log service; `LogFault::None` ends the fault.
    ///
    /// # Errors
    ///
    /// Returns an error when the log service doesn't respond.
    pub async fn set_log_fault(&self, fault: LogFault) -> Result<()> {
        let log = self.log.address("")?;
        self.client
            .post_json(log, "/_standin/fault", None, &fault)
            .await?;
        Ok(())
    }
}

/// Returns the name of the instance with an index from 0, such as `w01`.
fn instance_name(number: usize) -> String {
    format!("w{:02}", number + 1)
}

fn apply_patch(document: &mut Value, patch: &Value) {
    if !patch.is_null() {
        *document = cyclamentrail_core::merge_documents(document.take(), patch);
    }
}

fn write_json(folder: &TempDir, name: &str, value: &Value) -> Result<()> {
    let mut file = File::create(folder.path().join(name))?;
    file.write_all(&serde_json::to_vec_pretty(value)?)?;
    Ok(())
}

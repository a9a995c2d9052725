//! Stand-ins of the platform's services and of the backend servers that a site needs.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use anyhow::Result;
use cyclamentrail_core::{BootId, InstanceName, Settings, merge_documents};
use cyclamentrail_platform::{ListedInstance, ListedState};
use cyclamentrail_standin::{Backend, ListBehaviour, ListService, LogService};
use serde_json::{Value, json};
use tempfile::TempDir;

/// Time in milliseconds by which the instance list lags behind changes.
const LIST_LAG_MS: u64 = 50;
/// Time in milliseconds that a stand-in instance takes to reboot.
const REBOOT_MS: u64 = 200;

/// Running stand-ins of the platform's log, the instance list and the backend servers, with the
/// operators' token in a temporary folder.
#[derive(Debug)]
pub(super) struct StandInPlatform {
    log: LogService,
    list: ListService,
    backends: BTreeMap<InstanceName, Backend>,
    folder: TempDir,
    token: String,
}

/// Returns the loopback address with port 0, for which the system picks a free port when binding.
pub(super) fn any_loopback_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

impl StandInPlatform {
    /// Starts the platform's log, the instance list and a backend server for each instance of the site.
    ///
    /// # Errors
    ///
    /// Returns an error when the folder can't be written or a listener can't be opened.
    pub(super) async fn start(settings: &Settings) -> Result<Self> {
        let folder = TempDir::new()?;
        let token = format!("{:032x}", rand::random::<u128>());
        std::fs::write(folder.path().join("token"), &token)?;
        let list = ListService::start(any_loopback_port()).await?;
        list.set_behaviour(ListBehaviour {
            lag_ms: LIST_LAG_MS,
            reboot_ms: REBOOT_MS,
        });
        let mut backends = BTreeMap::new();
        for instance in settings.instance_racks().into_keys() {
            let backend =
                Backend::start(any_loopback_port(), instance.clone(), settings.worker.slots)
                    .await?;
            list.put(ListedInstance {
                name: instance.clone(),
                address: backend.address(),
                boot: BootId::new(1),
                state: ListedState::Live,
            });
            backends.insert(instance.clone(), backend);
        }
        Ok(Self {
            log: LogService::start(any_loopback_port()).await?,
            list,
            backends,
            folder,
            token,
        })
    }

    /// Returns the settings document with the addresses of the stand-ins, the file of the operators'
    /// token, and shorter waits in waves and at the stop of an entry, since a stand-in reboots within
    /// [`REBOOT_MS`].
    pub(super) fn patch_document(&self, document: &Value) -> Value {
        let patch = json!({
            "platform": {
                "log_address": self.log.address(),
                "list_address": self.list.address(),
            },
            "maintenance": {
                "probation_ms": 100, "return_timeout_ms": 10_000, "pass_over_after_ms": 10_000,
            },
            "stop": {"balancer_ms": 100},
            "token": {"environment": null, "file": self.folder.path().join("token")},
        });
        merge_documents(document.clone(), &patch)
    }

    /// Returns the operators' token.
    pub(super) fn token(&self) -> &str {
        &self.token
    }

    /// Returns the number of stand-in backend servers.
    pub(super) fn backend_count(&self) -> usize {
        self.backends.len()
    }

    /// Returns the number of runs of each call id, as counted by the backend servers.
    pub(super) fn runs(&self) -> BTreeMap<String, u32> {
        let mut runs = BTreeMap::new();
        for backend in self.backends.values() {
            for run in backend.report().runs {
                *runs.entry(run.call_id).or_default() += 1;
            }
        }
        runs
    }
}

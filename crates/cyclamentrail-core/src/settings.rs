//! Settings of a site: one base document with an overlay for each site.
//!
//! The overlay is merged into the base as a JSON merge patch (RFC 7386). The merged document is
//! read and validated as a whole, and each fault names the JSON pointer of its value.
//!
//! ```
//! use cyclamentrail_core::merge_documents;
//!
//! let base = serde_json::json!({"worker": {"slots": 8}});
//! let site = serde_json::json!({"worker": {"cores": 32}});
//! let merged = merge_documents(base, &site);
//! assert_eq!(merged["worker"]["slots"], 8);
//! ```

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use crate::name::{EntryName, InstanceName, PoolName, RackName, ServiceName, SiteName, ZoneName};

mod contract;
mod control;
mod load;
mod process;
mod request;
mod stop;
mod validate;

pub use contract::{ContractSettings, CostWeights, FailureDomain, MaintenanceSettings};
pub use control::ControlSettings;
pub use load::{SettingsError, SettingsFault, load_settings, merge_documents, settings_schema};
pub use process::{EntrySettings, LogLevel, LogSettings, PlatformSettings, SecretSource};
pub use request::{CallerLimits, RequestSettings};
pub use stop::StopSettings;

/// Effective settings of one site.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the site.
    pub site: SiteName,
    /// Region of the site's availability zones.
    pub region: String,
    /// Availability zones with their racks and instances.
    pub zones: BTreeMap<ZoneName, ZoneSettings>,
    /// Size of each worker; all workers of the site have the same size.
    pub worker: WorkerShape,
    /// Pools of instances.
    pub pools: BTreeMap<PoolName, PoolSettings>,
    /// Services with their pools, contracts and expected load.
    pub services: BTreeMap<ServiceName, ServiceSettings>,
    /// Weights of the costs that the planner minimizes.
    pub cost_weights: CostWeights,
    /// Entry instances with their zones and addresses.
    pub entries: BTreeMap<EntryName, EntrySettings>,
    /// Limits, time limits and retries of requests.
    pub requests: RequestSettings,
    /// Limits that protect the listeners against excessive or slow input.
    pub caller_limits: CallerLimits,
    /// Timing of membership, of the log and of the calls of the platform.
    pub control: ControlSettings,
    /// Timing of an entry's planned stop.
    #[serde(default)]
    pub stop: StopSettings,
    /// Timing and limits of maintenance waves and moves.
    #[serde(default)]
    pub maintenance: MaintenanceSettings,
    /// Addresses of the platform's services, and the control stream.
    pub platform: PlatformSettings,
    /// Source of the token that operators and peers present.
    pub token: SecretSource,
    /// Logging of the processes.
    pub log: LogSettings,
}

/// One availability zone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ZoneSettings {
    /// Round-trip time in microseconds to the other zones of the region.
    pub zone_delay_us: u64,
    /// Round-trip time in microseconds to callers.
    pub caller_delay_us: u64,
    /// Racks of the zone with their instances.
    pub racks: BTreeMap<RackName, BTreeSet<InstanceName>>,
}

/// Size of a worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct WorkerShape {
    /// Number of processor cores.
    #[schemars(range(min = 1))]
    pub cores: u32,
    /// Memory in MiB.
    #[schemars(range(min = 1))]
    pub memory_mib: u64,
    /// Largest number of requests that a worker runs at once.
    #[schemars(range(min = 1))]
    pub slots: u32,
    /// Largest number of connections that a worker accepts; at least `slots`.
    #[schemars(range(min = 1))]
    pub connections: u32,
}

/// One pool of instances.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct PoolSettings {
    /// Instances that the pool starts with; each instance is listed in exactly one pool.
    pub instances: BTreeSet<InstanceName>,
    /// Whether other pools may borrow instances of this pool.
    #[serde(default)]
    pub spare: bool,
}

/// One service with its pool, contract and expected load.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ServiceSettings {
    /// Pool whose instances serve the service.
    pub pool: PoolName,
    /// Capacity that the service is promised.
    pub contract: ContractSettings,
    /// Deadline in milliseconds of a request that doesn't state one.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[schemars(with = "u64", range(min = 1))]
    pub default_deadline_ms: Duration,
    /// Mean time in milliseconds for which one request occupies a slot.
    pub mean_work_ms: f64,
    /// Long-term mean number of requests per second.
    pub mean_rate_per_s: f64,
}

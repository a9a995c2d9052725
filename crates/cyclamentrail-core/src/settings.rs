//! Settings of a site: one base document with an overlay for each site.
//!
//! The documents are merged as JSON merge patches (RFC 7386), read with the position of each
//! fault, and validated as a whole.
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
pub use load::{Fault, LoadError, load_settings, merge_documents, settings_schema};
pub use process::{EntrySettings, LogLevel, LogSettings, PlatformSettings, SecretSource};
pub use request::{CallerLimits, RequestSettings};
pub use stop::StopSettings;

/// Effective settings of one site.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the site.
    pub site: SiteName,
    /// Region that the site's availability zones are in.
    pub region: String,
    /// Availability zones with their racks and instances.
    pub zones: BTreeMap<ZoneName, ZoneSettings>,
    /// Shape that all workers of the site share.
    pub worker: WorkerShape,
    /// Pools of instances.
    pub pools: BTreeMap<PoolName, PoolSettings>,
    /// Services and what they are promised.
    pub services: BTreeMap<ServiceName, ServiceSettings>,
    /// Weights of the costs that the planner minimises.
    pub cost_weights: CostWeights,
    /// Entry instances: what a process learns of itself.
    pub entries: BTreeMap<EntryName, EntrySettings>,
    /// Limits and retries of requests.
    pub requests: RequestSettings,
    /// Limits against bad input from callers.
    pub caller_limits: CallerLimits,
    /// Timing of membership and agreement.
    pub control: ControlSettings,
    /// Timing of an entry's planned stop.
    #[serde(default)]
    pub stop: StopSettings,
    /// Timing and limits of maintenance waves and moves.
    #[serde(default)]
    pub maintenance: MaintenanceSettings,
    /// Where the platform's services are.
    pub platform: PlatformSettings,
    /// Source of the token that operators and peers present.
    pub token: SecretSource,
    /// Logging of the process.
    pub log: LogSettings,
}

/// One availability zone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ZoneSettings {
    /// Round trip to the other zones of the region in microseconds.
    pub zone_delay_us: u64,
    /// Round trip to callers in microseconds.
    pub caller_delay_us: u64,
    /// Racks with the instances that stand in them.
    pub racks: BTreeMap<RackName, BTreeSet<InstanceName>>,
}

/// Shape of a worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct WorkerShape {
    /// Processor cores.
    #[schemars(range(min = 1))]
    pub cores: u32,
    /// Memory in MiB.
    #[schemars(range(min = 1))]
    pub memory_mib: u64,
    /// Requests that a worker runs at once.
    #[schemars(range(min = 1))]
    pub slots: u32,
    /// Connections that a worker accepts.
    #[schemars(range(min = 1))]
    pub connections: u32,
}

/// One pool of instances.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct PoolSettings {
    /// Instances that the pool starts with.
    pub instances: BTreeSet<InstanceName>,
    /// Whether other pools may borrow from this one.
    #[serde(default)]
    pub spare: bool,
}

/// One service and its limits.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ServiceSettings {
    /// Pool that the service is placed on.
    pub pool: PoolName,
    /// What the service is promised.
    pub contract: ContractSettings,
    /// Deadline in milliseconds of a request that brings none.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[schemars(with = "u64", range(min = 1))]
    pub default_deadline_ms: Duration,
    /// Mean work of one request in milliseconds of one slot.
    pub mean_work_ms: f64,
    /// Requests a second, as a long-term mean.
    pub mean_rate_per_s: f64,
}

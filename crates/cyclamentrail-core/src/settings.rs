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
use std::net::SocketAddr;
use std::time::Duration;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use crate::name::{EntryName, InstanceName, PoolName, RackName, ServiceName, SiteName, ZoneName};

mod load;
mod validate;

pub use load::{Fault, LoadError, load_settings, merge_documents, settings_schema};

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
    pub cores: u32,
    /// Memory in MiB.
    pub memory_mib: u64,
    /// Requests that a worker runs at once.
    pub slots: u32,
    /// Connections that a worker accepts.
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
    #[schemars(with = "u64")]
    pub default_deadline_ms: Duration,
    /// Mean work of one request in milliseconds of one slot.
    pub mean_work_ms: f64,
    /// Requests a second, as a long-term mean.
    pub mean_rate_per_s: f64,
}

/// What a service is promised.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ContractSettings {
    /// Instances that the service is promised.
    pub promised_instances: u32,
    /// Instance-seconds that may be missing in one window, planned and unplanned together.
    pub budget_instance_s: u64,
    /// Length of the window in seconds.
    pub window_s: u64,
    /// Failure domain whose loss the promise survives.
    pub survives: FailureDomain,
}

/// A set of instances that fail together.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, JsonSchema,
)]
#[serde(rename_all = "snake_case")]
pub enum FailureDomain {
    /// A single instance.
    Instance,
    /// All instances of a rack.
    Rack,
    /// All instances of an availability zone.
    Zone,
}

/// Weights of the costs that the users measure; only their ratio matters.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct CostWeights {
    /// Weight of one instance held as a buffer.
    pub buffer: f64,
    /// Weight of one minute of roll-out.
    pub roll_out: f64,
    /// Weight of one move between pools.
    pub moves: f64,
}

/// What one entry process learns of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// Availability zone that the entry stands in.
    pub zone: ZoneName,
    /// Listener for callers.
    #[schemars(with = "String")]
    pub caller_address: SocketAddr,
    /// Listener for the other entries.
    #[schemars(with = "String")]
    pub peer_address: SocketAddr,
    /// Listener for operators.
    #[schemars(with = "String")]
    pub operator_address: SocketAddr,
}

/// Limits and retries of requests.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct RequestSettings {
    /// Longest deadline that a caller may ask for, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[schemars(with = "u64")]
    pub max_deadline_ms: Duration,
    /// Time limit in milliseconds for a connection to a backend server.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[schemars(with = "u64")]
    pub connect_timeout_ms: Duration,
    /// Retries allowed, as a share of the requests.
    pub retry_budget_ratio: f64,
    /// Requests that may wait for a slot, per service and entry.
    pub max_waiting: u32,
    /// Largest request body in bytes.
    pub max_body_bytes: u64,
    /// Time in milliseconds for which an idempotency key is remembered.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[schemars(with = "u64")]
    pub key_memory_ms: Duration,
}

/// Limits against bad input on a listener.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct CallerLimits {
    /// Connections open at once.
    pub max_connections: u32,
    /// Requests served at once.
    pub max_requests: u32,
    /// Largest header block in bytes.
    pub max_header_bytes: u32,
    /// Time limit in milliseconds for the whole header.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[schemars(with = "u64")]
    pub header_timeout_ms: Duration,
    /// Time limit in milliseconds between two parts of a body.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[schemars(with = "u64")]
    pub body_timeout_ms: Duration,
}

/// Timing of membership and agreement.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ControlSettings {
    /// Interval in milliseconds between heartbeats to each peer.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[schemars(with = "u64")]
    pub heartbeat_ms: Duration,
    /// Time in milliseconds for which a confirmed view permits dispatch.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[schemars(with = "u64")]
    pub dispatch_lease_ms: Duration,
    /// Longest delay in milliseconds before records are appended as a batch.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[schemars(with = "u64")]
    pub append_delay_ms: Duration,
    /// Interval in milliseconds between two looks at the instance list.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[schemars(with = "u64")]
    pub list_interval_ms: Duration,
    /// Records between two snapshots.
    pub snapshot_records: u64,
    /// Time limit in milliseconds for one call of the platform.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[schemars(with = "u64")]
    pub platform_timeout_ms: Duration,
}

/// Where the platform's services are.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// Address of the log service.
    #[schemars(with = "String")]
    pub log_address: SocketAddr,
    /// Address of the list of live and leaving instances.
    #[schemars(with = "String")]
    pub list_address: SocketAddr,
    /// Stream of the log that holds the control records.
    pub control_stream: String,
}

/// Where a secret is read from; secrets never stand in the settings.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum SecretSource {
    /// An environment variable of this name.
    Environment(String),
    /// A file at this path.
    File(String),
}

/// Logging of a process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct LogSettings {
    /// Lowest level that is written: `error`, `warn`, `info`, `debug` or `trace`.
    pub level: String,
    /// Destination: `stderr`, `stdout` or a file's path.
    pub destination: String,
}

//! What one process learns of itself and of the platform.

use std::net::SocketAddr;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::name::ZoneName;

/// Pattern of an IP address with a port.
const ADDRESS_PATTERN: &str = r"^([0-9]{1,3}(\.[0-9]{1,3}){3}|\[[0-9A-Fa-f:.]+\]):[0-9]{1,5}$";

/// What one entry process learns of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// Availability zone that the entry stands in.
    pub zone: ZoneName,
    /// Listener for callers.
    #[schemars(with = "String", regex(pattern = ADDRESS_PATTERN))]
    pub caller_address: SocketAddr,
    /// Listener for the other entries.
    #[schemars(with = "String", regex(pattern = ADDRESS_PATTERN))]
    pub peer_address: SocketAddr,
    /// Listener for operators.
    #[schemars(with = "String", regex(pattern = ADDRESS_PATTERN))]
    pub operator_address: SocketAddr,
}

/// Where the platform's services are.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// Address of the log service.
    #[schemars(with = "String", regex(pattern = ADDRESS_PATTERN))]
    pub log_address: SocketAddr,
    /// Address of the list of live and leaving instances.
    #[schemars(with = "String", regex(pattern = ADDRESS_PATTERN))]
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
    /// Lowest level that is written.
    pub level: LogLevel,
    /// Destination: `stderr`, `stdout` or a file's path.
    pub destination: String,
}

/// Level of a log event.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum LogLevel {
    /// Something failed that an operator must look at.
    Error,
    /// Something failed that the system works around.
    Warn,
    /// Decisions and changes.
    Info,
    /// Details for finding faults.
    Debug,
    /// Every step.
    Trace,
}

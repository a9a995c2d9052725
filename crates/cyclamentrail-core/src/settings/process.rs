//! Settings of single processes: listeners, the platform's addresses, secrets and logging.

use std::net::SocketAddr;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::name::ZoneName;

/// Pattern of an IPv4 address, or an IPv6 address in brackets, with a port.
const ADDRESS_PATTERN: &str = r"^([0-9]{1,3}(\.[0-9]{1,3}){3}|\[[0-9A-Fa-f:.]+\]):[0-9]{1,5}$";

/// Zone and listener addresses of one entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// Availability zone of the entry.
    pub zone: ZoneName,
    /// Address and port of the listener for callers.
    #[schemars(with = "String", regex(pattern = ADDRESS_PATTERN))]
    pub caller_address: SocketAddr,
    /// Address and port of the listener for other entries.
    #[schemars(with = "String", regex(pattern = ADDRESS_PATTERN))]
    pub peer_address: SocketAddr,
    /// Address and port of the listener for operators.
    #[schemars(with = "String", regex(pattern = ADDRESS_PATTERN))]
    pub operator_address: SocketAddr,
}

/// Addresses of the platform's services, and the control stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// Address and port of the log service.
    #[schemars(with = "String", regex(pattern = ADDRESS_PATTERN))]
    pub log_address: SocketAddr,
    /// Address and port of the service that lists live and leaving instances.
    #[schemars(with = "String", regex(pattern = ADDRESS_PATTERN))]
    pub list_address: SocketAddr,
    /// Name of the log stream that holds the control records.
    pub control_stream: String,
}

/// Source of a secret; secrets are never written in the settings.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum SecretSource {
    /// Environment variable that holds the secret.
    Environment(String),
    /// Path of the file that holds the secret.
    File(String),
}

/// Logging of a process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct LogSettings {
    /// Least severe level that is written.
    pub level: LogLevel,
    /// Destination of log lines: `stderr`, `stdout` or the path of a file.
    pub destination: String,
}

/// Level of a log event.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum LogLevel {
    /// Failures that an operator has to act on.
    Error,
    /// Failures that the system handles without an operator.
    Warn,
    /// Decisions and changes.
    Info,
    /// Details for debugging.
    Debug,
    /// Every single step.
    Trace,
}

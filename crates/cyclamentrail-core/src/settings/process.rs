//! What one process learns of itself and of the platform.

use std::net::SocketAddr;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::name::ZoneName;

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

//! Limits and retries of requests, and limits against bad input.

use std::time::Duration;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

/// Limits and retries of requests.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct RequestSettings {
    /// Longest deadline that a caller may ask for, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[schemars(with = "u64", range(min = 1))]
    pub max_deadline_ms: Duration,
    /// Time limit in milliseconds for a connection to a backend server.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[schemars(with = "u64", range(min = 1))]
    pub connect_timeout_ms: Duration,
    /// Retries allowed, as a share of the requests.
    #[schemars(range(min = 0.0, max = 1.0))]
    pub retry_budget_ratio: f64,
    /// Requests that may wait for a slot, per service and entry.
    pub max_waiting: u32,
    /// Slots of each worker that long requests leave to quick ones.
    #[serde(default = "default_quick_reserved_slots")]
    pub quick_reserved_slots: u32,
    /// Largest request body in bytes.
    #[schemars(range(min = 1))]
    pub max_body_bytes: u64,
    /// Time in milliseconds for which an idempotency key is remembered.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[schemars(with = "u64", range(min = 1))]
    pub key_memory_ms: Duration,
}

const fn default_quick_reserved_slots() -> u32 {
    2
}

/// Limits against bad input on a listener.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct CallerLimits {
    /// Connections open at once.
    #[schemars(range(min = 1))]
    pub max_connections: u32,
    /// Requests served at once.
    #[schemars(range(min = 1))]
    pub max_requests: u32,
    /// Largest header block in bytes.
    #[schemars(range(min = 8192))]
    pub max_header_bytes: u32,
    /// Time limit in milliseconds for the whole header.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[schemars(with = "u64", range(min = 1))]
    pub header_timeout_ms: Duration,
    /// Time limit in milliseconds between two parts of a body.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[schemars(with = "u64", range(min = 1))]
    pub body_timeout_ms: Duration,
}

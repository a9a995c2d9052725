//! Limits, time limits and retries of requests, and limits of listeners.

use std::time::Duration;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

/// Limits, time limits and retries of requests.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct RequestSettings {
    /// Longest deadline in milliseconds that a caller may request.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[schemars(with = "u64", range(min = 1))]
    pub max_deadline_ms: Duration,
    /// Time limit in milliseconds for opening a connection to a backend server.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[schemars(with = "u64", range(min = 1))]
    pub connect_timeout_ms: Duration,
    /// Largest number of retries, as a share (0 to 1) of the number of requests.
    #[schemars(range(min = 0.0, max = 1.0))]
    pub retry_budget_ratio: f64,
    /// Largest number of requests that wait for a slot, for each service at each entry.
    pub max_waiting: u32,
    /// Slots of each worker that are reserved for quick requests and not used by long ones.
    #[serde(default = "default_quick_reserved_slots")]
    pub quick_reserved_slots: u32,
    /// Largest request body in bytes.
    #[schemars(range(min = 1))]
    pub max_body_bytes: u64,
    /// Time in milliseconds for which an idempotency key and its result are remembered.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[schemars(with = "u64", range(min = 1))]
    pub key_memory_ms: Duration,
}

const fn default_quick_reserved_slots() -> u32 {
    2
}

/// Limits that protect a listener against excessive or slow input.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct CallerLimits {
    /// Largest number of connections that are open at once.
    #[schemars(range(min = 1))]
    pub max_connections: u32,
    /// Largest number of requests that are served at once.
    #[schemars(range(min = 1))]
    pub max_requests: u32,
    /// Largest size in bytes of a request's header.
    #[schemars(range(min = 8192))]
    pub max_header_bytes: u32,
    /// Time limit in milliseconds for receiving the whole header of a request.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[schemars(with = "u64", range(min = 1))]
    pub header_timeout_ms: Duration,
    /// Longest pause in milliseconds between two parts of a request's body.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[schemars(with = "u64", range(min = 1))]
    pub body_timeout_ms: Duration,
}

//! Counts the traffic and state that control causes at one entry in a day.
//!
//! Nothing is timed. Records are encoded and folded by the core's code, and heartbeats come from
//! the core's membership on a virtual clock. HTTP heads count with the bytes that are sent; TCP and
//! IP headers don't count.

#![expect(
    clippy::cast_precision_loss,
    reason = "counts of a day are far below the limit of exact floats"
)]

mod heartbeats;
mod size;
mod trace;

pub use size::ControlSize;

use anyhow::Result;
use cyclamentrail_core::encode_snapshot;

use crate::Figure;
use heartbeats::heartbeat_bytes_per_s;
use trace::ControlDay;

const DAY_S: f64 = 86_400.0;
/// Snapshots per day that are written because the newest one is ten minutes old.
const TIMED_SNAPSHOTS: f64 = 144.0;
/// Settings changes after which a further snapshot is written.
const CHANGES_PER_SNAPSHOT: f64 = 50.0;
/// Polls of the platform's instance list per second.
const LIST_POLLS_PER_S: f64 = 2.0;
/// Long polls of the control log per second.
const LOG_POLLS_PER_S: f64 = 2.0;
/// Request and response of a poll of an unchanged instance list.
const UNCHANGED_LIST_EXCHANGE: &str = "GET /v1/instances HTTP/1.1\r\nif-none-match: \"0123456789abcdef\"\r\nhost: 10.0.0.1:7002\r\n\r\nHTTP/1.1 304 Not Modified\r\ndate: Thu, 01 Jan 2026 00:00:00 GMT\r\n\r\n";
/// Request and response heads of one read of the control log.
const LOG_READ_HEADS: &str = "GET /v1/streams/control/records?from=1000000&max=1000&wait_ms=500 HTTP/1.1\r\nhost: 10.0.0.1:7001\r\n\r\nHTTP/1.1 200 OK\r\ncontent-type: application/octet-stream\r\ncontent-length: 1000\r\ndate: Thu, 01 Jan 2026 00:00:00 GMT\r\n\r\n";
/// Size in bytes of a response body without records.
const EMPTY_READ_BYTES: f64 = 40.0;

/// Counted cost of control at one site size.
#[derive(Debug, Clone, PartialEq)]
pub struct ControlReport {
    /// Control records written in a day.
    pub records: u64,
    /// Encoded size in bytes of all control records of the day.
    pub record_bytes: u64,
    /// Size in bytes of a snapshot at the end of the day.
    pub snapshot_bytes: u64,
    /// Size in bytes of the platform's instance list as JSON.
    pub list_bytes: u64,
    /// Heartbeat bytes per second at the busiest entry, sent and received.
    pub heartbeat_bytes_per_s: f64,
    /// All control bytes per second at the entry that holds the duty, sent and received.
    pub node_bytes_per_s: f64,
}

/// Counts the control of one day at a site size with `entries` entries.
///
/// The same seed gives the same trace of records.
///
/// # Errors
///
/// Returns an error when a record, heartbeat or snapshot can't be encoded, or when the fold rejects
/// a record of the trace.
pub fn count_control_day(size: &ControlSize, entries: u64, seed: u64) -> Result<ControlReport> {
    let day = ControlDay::run(size, entries, seed)?;
    let snapshot_bytes = encode_snapshot(day.fleet())?.len() as u64;
    let list_bytes = size.list_bytes();
    let heartbeat_bytes_per_s = heartbeat_bytes_per_s(entries)?;
    let snapshots = TIMED_SNAPSHOTS + f64::from(size.settings_changes) / CHANGES_PER_SNAPSHOT;
    let list_changes = f64::from(size.drains() * 3 + size.instance_failures * 2);
    let per_day = day.bytes() as f64
        + day.records() as f64 * LOG_READ_HEADS.len() as f64
        + snapshots * snapshot_bytes as f64
        + list_changes * list_bytes as f64;
    let polling_per_s = LIST_POLLS_PER_S * UNCHANGED_LIST_EXCHANGE.len() as f64
        + LOG_POLLS_PER_S * (LOG_READ_HEADS.len() as f64 + EMPTY_READ_BYTES);
    Ok(ControlReport {
        records: day.records(),
        record_bytes: day.bytes(),
        snapshot_bytes,
        list_bytes,
        heartbeat_bytes_per_s,
        node_bytes_per_s: per_day / DAY_S + polling_per_s + heartbeat_bytes_per_s,
    })
}

impl ControlReport {
    /// Returns the figures that have bounds in `bounds.json`.
    #[must_use]
    pub fn figures(&self, size: &ControlSize) -> Vec<Figure> {
        let name = |what: &str| format!("control.{}.{what}", size.name);
        vec![
            Figure::new(name("node_bytes_per_s"), self.node_bytes_per_s),
            Figure::new(name("snapshot_bytes"), self.snapshot_bytes as f64),
            Figure::new(name("appends_per_s"), self.records as f64 / DAY_S),
        ]
    }
}

/// Returns, for each number of entries, the heartbeat bytes per second at the busiest entry.
///
/// # Errors
///
/// Returns an error when a heartbeat can't be encoded.
pub fn heartbeat_figures(entries: &[u64]) -> Result<Vec<Figure>> {
    entries
        .iter()
        .map(|&entries| {
            let name = format!("control.heartbeats.{entries}.bytes_per_s");
            Ok(Figure::new(name, heartbeat_bytes_per_s(entries)?))
        })
        .collect()
}

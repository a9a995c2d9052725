//! What control costs a node: bytes and records of a day, heartbeats, and the size of the state.
//!
//! Everything is counted: records are encoded and folded as the process does it, heartbeats come
//! from the process's own membership on a virtual clock. HTTP heads are counted as they are sent;
//! headers of TCP and IP are not counted.

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

/// Seconds in a day.
const DAY_S: f64 = 86_400.0;
/// Snapshots of a day that are written because the newest one is ten minutes old.
const TIMED_SNAPSHOTS: f64 = 144.0;
/// Changes of the settings after which a snapshot is written.
const CHANGES_PER_SNAPSHOT: f64 = 50.0;
/// Looks a second at the instance list.
const LIST_POLLS_PER_S: f64 = 2.0;
/// Long polls of the log a second.
const LOG_POLLS_PER_S: f64 = 2.0;
/// A look at the list that found no change.
const UNCHANGED_LIST_EXCHANGE: &str = "GET /v1/instances HTTP/1.1\r\nif-none-match: \"0123456789abcdef\"\r\nhost: 10.0.0.1:7002\r\n\r\nHTTP/1.1 304 Not Modified\r\ndate: Thu, 01 Jan 2026 00:00:00 GMT\r\n\r\n";
/// Heads of one read of the log.
const LOG_READ_HEADS: &str = "GET /v1/streams/control/records?from=1000000&max=1000&wait_ms=500 HTTP/1.1\r\nhost: 10.0.0.1:7001\r\n\r\nHTTP/1.1 200 OK\r\ncontent-type: application/octet-stream\r\ncontent-length: 1000\r\ndate: Thu, 01 Jan 2026 00:00:00 GMT\r\n\r\n";
/// Body of an answer without records, in bytes.
const EMPTY_READ_BYTES: f64 = 40.0;

/// Counted cost of control at one size.
#[derive(Debug, Clone, PartialEq)]
pub struct ControlReport {
    /// Records of a day.
    pub records: u64,
    /// Encoded bytes of these records.
    pub record_bytes: u64,
    /// Bytes of a snapshot at the end of the day.
    pub snapshot_bytes: u64,
    /// Bytes of the instance list as JSON.
    pub list_bytes: u64,
    /// Bytes a second of heartbeats at the busiest entry, both directions.
    pub heartbeat_bytes_per_s: f64,
    /// Bytes a second of control in all at the holder of the duty, both directions.
    pub node_bytes_per_s: f64,
}

/// Counts a day of control at a size, with some entries; the same seed gives the same trace.
///
/// # Errors
///
/// Returns an error when a record can't be encoded or the fold rejects one of the trace.
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
    /// Returns the figures that have bounds.
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

/// Returns the bytes a second of heartbeats at one entry for some numbers of entries.
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

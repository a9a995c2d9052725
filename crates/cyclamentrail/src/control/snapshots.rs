//! Snapshots of the agreed state, kept on a stream of the log beside the records.

use cyclamentrail_core::{Fleet, Offset, decode_snapshot, encode_snapshot};
use cyclamentrail_platform::ReadRequest;

use super::PlatformClient;

/// Snapshots that are tried, from the newest on, when some are damaged.
const MAX_TRIED: usize = 4;

/// Reads and writes snapshots.
#[derive(Debug, Clone)]
pub(crate) struct SnapshotStore {
    platform: PlatformClient,
}

impl SnapshotStore {
    /// Creates a store on the platform's log.
    pub(crate) const fn new(platform: PlatformClient) -> Self {
        Self { platform }
    }

    /// Returns the newest snapshot that can be used.
    pub(crate) async fn newest(&self) -> Option<Fleet> {
        let ends = self.read(Offset::default(), 0).await?;
        let (oldest, head) = (ends.oldest.get(), ends.head.get());
        for offset in (oldest..head).rev().take(MAX_TRIED) {
            let answer = self.read(Offset::new(offset), 1).await?;
            let Some(record) = answer.records.first() else {
                continue;
            };
            match decode_snapshot(&record.bytes) {
                Ok(fleet) => return Some(fleet),
                Err(error) => log::warn!(offset, error:% = error; "snapshot_skipped"),
            }
        }
        None
    }

    /// Writes a snapshot; returns the offset of the first record that it doesn't cover.
    pub(crate) async fn write(&self, fleet: &Fleet) -> Option<Offset> {
        let bytes = match encode_snapshot(fleet) {
            Ok(bytes) => bytes,
            Err(error) => {
                log::error!(error:% = error; "snapshot_not_encoded");
                return None;
            }
        };
        let length = bytes.len();
        match self.platform.append_snapshot(bytes).await {
            Ok(_) => {
                log::info!(next_offset:% = fleet.next_offset(), bytes = length; "snapshot_written");
                Some(fleet.next_offset())
            }
            Err(error) => {
                log::warn!(error:% = error; "snapshot_not_written");
                None
            }
        }
    }

    async fn read(&self, from: Offset, max: u32) -> Option<cyclamentrail_platform::ReadAnswer> {
        let request = ReadRequest {
            from,
            max,
            wait_ms: 0,
        };
        match self.platform.read_snapshots(request).await {
            Ok(answer) => Some(answer),
            Err(error) => {
                log::warn!(error:% = error; "snapshots_not_read");
                None
            }
        }
    }
}

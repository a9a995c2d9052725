//! Snapshots of the agreed state, stored in their own stream of the platform's log.

use cyclamentrail_core::{Fleet, Offset, decode_snapshot, encode_snapshot};
use cyclamentrail_platform::ReadRequest;

use super::PlatformClient;

/// Largest number of snapshots to decode, from the newest on, until one succeeds; others are
/// damaged.
const MAX_DECODE_ATTEMPTS: usize = 4;

/// Reads and writes snapshots in the platform's log.
#[derive(Debug, Clone)]
pub(crate) struct SnapshotStore {
    platform: PlatformClient,
}

impl SnapshotStore {
    /// Creates a store on the platform's log.
    pub(crate) const fn new(platform: PlatformClient) -> Self {
        Self { platform }
    }

    /// Returns the newest snapshot that can be decoded, `None` when there is none or the log can't
    /// be read.
    pub(crate) async fn newest(&self) -> Option<Fleet> {
        let bounds = self.read(Offset::default(), 0).await?;
        let (oldest, head) = (bounds.oldest.get(), bounds.head.get());
        for offset in (oldest..head).rev().take(MAX_DECODE_ATTEMPTS) {
            let response = self.read(Offset::new(offset), 1).await?;
            let Some(record) = response.records.first() else {
                continue;
            };
            match decode_snapshot(&record.bytes) {
                Ok(fleet) => return Some(fleet),
                Err(error) => log::warn!(offset, error:% = error; "snapshot_skipped"),
            }
        }
        None
    }

    /// Writes a snapshot; returns the offset of the first record that it doesn't cover, `None` when
    /// it wasn't written.
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

    async fn read(&self, from: Offset, max: u32) -> Option<cyclamentrail_platform::ReadResponse> {
        let request = ReadRequest {
            from,
            max,
            wait_ms: 0,
        };
        match self.platform.read_snapshots(request).await {
            Ok(response) => Some(response),
            Err(error) => {
                log::warn!(error:% = error; "snapshots_not_read");
                None
            }
        }
    }
}
